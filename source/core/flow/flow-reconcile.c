/*
 * flow-reconcile: reconciles an endpoint's list of runs with the placements.
 *
 * A run that the list lacks is over only if no command for it can still arrive
 * there.
 */
#include <string.h>

#include "flow-command.h"
#include "flow-crash.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-event.h"
#include "flow-health.h"
#include "flow-interference.h"
#include "flow-late-start.h"
#include "flow-measure.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-quota.h"
#include "flow-reconcile.h"
#include "flow-run-end.h"
#include "flow-scheduler-state.h"
#include "flow-speed.h"
#include "flow-state.h"
#include "flow-task-state.h"

/*
 * A list has at most so many ends, the others follow in the next list; a full
 * list says nothing about runs that it lacks.
 */
#define LISTED_ENDS_MAX 500

static void
finish_placement(struct mw_flows *flows, int64_t now_us,
                 struct mw_task_placement *placement, const char *outcome)
{
    if (placement) {
        mw_emit_task_event(flows, "run_ended", placement, outcome,
                           now_us - placement->started_us);
        mw_count_latency(flows, MW_LATENCY_RUN,
                         now_us - placement->started_us);
        mw_free_task_placement(flows, placement);
    }
}

/*
 * Returns false when the end could not be proposed; it must be listed again.
 *
 * A run is assigned to a single endpoint only, so the number of the run is
 * enough to identify it.  The end of a run that was taken for lost still
 * counts.
 */
static bool
handle_ended_run(struct mw_flows *flows, int64_t now_us,
                 struct mw_flow_endpoint *endpoint,
                 const struct mw_listed_run *run)
{
    struct mw_task_group *group;
    bool is_known = mw_find_task(flows, &run->task, &group) != NULL;
    struct mw_task_placement *placement =
        mw_find_task_placement(endpoint, &run->task, run->run);
    enum mw_end_result result = MW_END_CHANGES_NOTHING;

    if (placement) {
        mw_note_listed_start(placement, now_us);
    }
    if (placement && run->end == MW_END_DONE && !group->step->gang) {
        mw_note_run_percent(placement, now_us, 100);
    }
    if (is_known) {
        result =
            mw_propose_end(flows, now_us, endpoint, group, placement, run);
    }
    if (result == MW_END_REFUSED) {
        return false;
    }
    flows->counters.ends++;
    mw_update_flow_endpoint_health(flows, now_us, endpoint, run->end);
    finish_placement(flows, now_us, placement, mw_run_end_str(run->end).ptr);
    if (result == MW_END_PROPOSED && run->end != MW_END_DONE &&
        group->step->gang) {
        mw_stop_task_group(flows, now_us, group);
    }
    return true;
}

/* listed_us: when the list was made, at the latest. */
static void
handle_running_run(struct mw_flows *flows, int64_t now_us, int64_t listed_us,
                   struct mw_flow_endpoint *endpoint,
                   const struct mw_listed_run *run)
{
    struct mw_task_placement *placement =
        mw_find_task_placement(endpoint, &run->task, run->run);

    if (!placement) {
        endpoint->unknown_runs++;
        mw_count_stray_run(flows, endpoint, &run->task);
        mw_emit_flow_endpoint_event(flows, "stray_run", endpoint, "stopped",
                                    0);
        mw_send_stop_for_stray_run(flows, now_us, endpoint, &run->task,
                                   run->run);
        return;
    }
    if (placement->percent != run->percent ||
        placement->last_progress_us == 0) {
        placement->percent = run->percent;
        placement->last_progress_us = now_us;
        endpoint->last_progress_us = now_us;
    }
    if (run->percent < 100) {
        mw_note_run_percent(placement, now_us, run->percent);
    }
    placement->last_listed_us = listed_us;
    mw_note_listed_start(placement, listed_us);
    if (run->checkpoint.len > 0 &&
        !mw_str_equal(mw_blob_str(placement->checkpoint), run->checkpoint)) {
        mw_drop_blob(placement->checkpoint);
        placement->checkpoint = mw_new_blob(run->checkpoint);
        placement->last_progress_us = now_us;
        endpoint->last_progress_us = now_us;
    }
    /* it was started before the leader changed */
    placement->has_survived |= placement->phase == MW_PLACEMENT_UNKNOWN;
    if (placement->phase == MW_PLACEMENT_UNKNOWN ||
        placement->phase == MW_PLACEMENT_STARTING) {
        placement->phase = MW_PLACEMENT_RUNNING;
        placement->started_us = now_us;
        placement->last_response_us = now_us;
        mw_emit_task_event(flows, "run_seen", placement, "running", 0);
        mw_measure_reclaim(flows, placement->group, now_us);
        if (placement->group->flow->state != MW_FLOW_ACTIVE) {
            mw_stop_task_placement(flows, now_us, placement);
        }
    }
    mw_note_survival(placement, listed_us);
}

static bool
is_listed(const struct mw_flow_response *response,
          const struct mw_task_placement *placement)
{
    struct mw_task_id id = mw_placed_task_id(placement);

    for (uint32_t i = 0; i < response->run_count; i++) {
        const struct mw_listed_run *run = &response->runs[i];

        if (run->run == placement->run && run->task.index == id.index &&
            run->task.step == id.step &&
            run->task.occurrence == id.occurrence &&
            mw_name_equal(&run->task.flow, &id.flow)) {
            return true;
        }
    }
    return false;
}

/*
 * The list was requested after the last response about the run, from a process
 * that refuses starts which were meant for the one before it.
 */
static void
handle_run_not_there(struct mw_flows *flows, int64_t now_us,
                     struct mw_task_placement *placement)
{
    if (placement->phase == MW_PLACEMENT_UNKNOWN &&
        placement->crash_score == 0 &&
        mw_may_start_again(flows, now_us, placement) &&
        mw_start_is_within_cap(flows, placement)) {
        placement->start_unanswered = true;
        placement->phase = MW_PLACEMENT_STARTING;
        placement->retry_deadline_us = now_us;
    }
    else {
        mw_lose_run(flows, now_us, placement,
                    placement->phase == MW_PLACEMENT_STOPPING ? "stopped"
                                                              : "not_there");
    }
}

/* The list was requested after the last response about the run. */
static void
handle_missing_run(struct mw_flows *flows, int64_t now_us,
                   struct mw_task_placement *placement)
{
    bool is_refused =
        placement->start_generation != placement->endpoint->generation;

    switch (placement->phase) {
    case MW_PLACEMENT_STOPPED:
        mw_lose_run(flows, now_us, placement, "stopped");
        break;
    case MW_PLACEMENT_STOPPING:
        if (is_refused) {
            handle_run_not_there(flows, now_us, placement);
        }
        break;
    case MW_PLACEMENT_RUNNING:
        mw_stop_task_placement(flows, now_us, placement);
        break;
    case MW_PLACEMENT_UNKNOWN:
        if (is_refused) {
            handle_run_not_there(flows, now_us, placement);
        }
        else {
            mw_stop_task_placement(flows, now_us, placement);
        }
        break;
    default:
        break;
    }
}

/* A list with more runs, or a later one, is no evidence of interference. */
#define COMPARED_RUNS_MAX 128
#define COMPARED_LIST_LATE_US 100000

static void
compare_listed_runs(struct mw_flows *flows, int64_t now_us, int64_t listed_us,
                    struct mw_flow_endpoint *endpoint,
                    const struct mw_flow_response *response)
{
    struct mw_listed_placement listed[COMPARED_RUNS_MAX];
    uint32_t count = 0;
    bool is_complete = now_us - listed_us <= COMPARED_LIST_LATE_US;

    for (uint32_t i = 0; i < response->run_count; i++) {
        const struct mw_listed_run *run = &response->runs[i];
        struct mw_task_placement *placement;

        if (run->ended && run->end_number <= endpoint->seen_end) {
            continue;
        }
        placement = mw_find_task_placement(endpoint, &run->task, run->run);
        if (placement && count < COMPARED_RUNS_MAX) {
            listed[count++] = (struct mw_listed_placement){placement, run, 0};
        }
        else {
            is_complete = false;
        }
    }
    mw_learn_from_list(flows, now_us, endpoint, listed, count, is_complete);
}

void
mw_reconcile_list(struct mw_flows *flows, int64_t now_us,
                  struct mw_flow_endpoint *endpoint,
                  const struct mw_flow_response *response,
                  const struct mw_flow_pending_command *renewal)
{
    GPtrArray *placements;
    /* the endpoint waits for an end, but no longer than it was asked to */
    int64_t listed_us = MIN(now_us, renewal->sent_us + renewal->long_poll_us);
    uint32_t ends = 0;

    endpoint->list_read = true;
    if (endpoint->first_list_us == 0) {
        endpoint->first_list_us = now_us;
        endpoint->first_list_incarnation = endpoint->incarnation;
    }
    endpoint->unknown_runs = 0;
    mw_forget_stray_runs(flows, endpoint);
    compare_listed_runs(flows, now_us, listed_us, endpoint, response);
    for (uint32_t i = 0; i < response->run_count; i++) {
        const struct mw_listed_run *run = &response->runs[i];

        mw_note_flow_begun(flows, &run->task.flow);
        if (!run->ended) {
            handle_running_run(flows, now_us, listed_us, endpoint, run);
            continue;
        }
        ends++;
        if (run->end_number > endpoint->seen_end) {
            if (!handle_ended_run(flows, now_us, endpoint, run)) {
                return;
            }
            endpoint->seen_end = run->end_number;
        }
    }
    if (endpoint->uncommitted_ends == 0) {
        endpoint->committed_end = endpoint->seen_end;
    }
    if (ends >= LISTED_ENDS_MAX) {
        return;
    }
    placements = g_ptr_array_copy(endpoint->placements, NULL, NULL);
    for (guint i = 0; i < placements->len; i++) {
        struct mw_task_placement *placement = placements->pdata[i];

        /* handling a member of the same gang may have freed this one */
        if (g_ptr_array_find(endpoint->placements, placement, NULL) &&
            renewal->sent_us > placement->last_response_us &&
            !is_listed(response, placement)) {
            handle_missing_run(flows, now_us, placement);
        }
    }
    g_ptr_array_unref(placements);
    mw_settle_late_starts(flows, now_us, endpoint,
                          endpoint->unknown_runs > 0 ? 0 : renewal->sent_us);
}
