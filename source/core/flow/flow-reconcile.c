/*
 * flow-reconcile: reconciles an endpoint's list of runs with the placements.
 *
 * An end is recorded before it is acknowledged to the endpoint.  A run that
 * the list lacks is over only if no command for it can still arrive there.
 */
#include <string.h>

#include "flow-command.h"
#include "flow-crash.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-event.h"
#include "flow-failure.h"
#include "flow-health.h"
#include "flow-interference.h"
#include "flow-late-start.h"
#include "flow-measure.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-quota.h"
#include "flow-reconcile.h"
#include "flow-scheduler-state.h"
#include "flow-speed.h"
#include "flow-state.h"
#include "flow-task-state.h"

/*
 * A list has at most so many ends, the others follow in the next list; a full
 * list says nothing about runs that it lacks.
 */
#define LISTED_ENDS_MAX 500

static struct mw_record *
new_tasks_record(uint32_t entries_max)
{
    struct mw_record *record = mw_new_record(MW_RECORD_TASKS);

    record->tasks.entries = g_new0(struct mw_task_record, entries_max);
    return record;
}

static struct mw_task_record *
add_task_entry(struct mw_record *record, const struct mw_task_group *group,
               uint32_t index, enum mw_task_state state, uint32_t run)
{
    struct mw_task_record *entry =
        &record->tasks.entries[record->tasks.count++];

    mw_init_task_record(group, index, entry);
    entry->state = state;
    entry->run = run;
    return entry;
}

static void
set_checkpoint(struct mw_task_record *entry, struct mw_str text)
{
    if (text.len > 0) {
        mw_drop_blob(entry->checkpoint);
        entry->checkpoint = mw_new_blob(text);
    }
}

/* Frees the entries without content: the log keeps the record for long. */
static void
trim_entries(struct mw_record *record)
{
    record->tasks.entries = g_renew(
        struct mw_task_record, record->tasks.entries, record->tasks.count);
}

/* Proposes the record and drops it; false when it could not be proposed. */
static bool
propose(struct mw_flows *flows, struct mw_record *record)
{
    bool ok;

    if (record->kind == MW_RECORD_TASKS) {
        trim_entries(record);
        ok = mw_propose_tasks(flows, record);
    }
    else {
        ok = flows->output.propose(flows->output.opaque, record) == 0;
    }
    mw_drop_record(record);
    return ok;
}

/* Also of a task that waits again: its last run may still have ended well. */
static bool
is_current_run(const struct mw_flow_task *task, uint32_t run)
{
    return task->run == run && task->state != MW_TASK_DONE;
}

static void
propose_flow_failure(struct mw_flows *flows, struct mw_flow *flow,
                     const char *reason)
{
    struct mw_record *record = mw_new_record(MW_RECORD_FLOW_STATE);

    record->flow_state.id = flow->id;
    record->flow_state.state = MW_FLOW_FAILED;
    flow->end_proposed = propose(flows, record);
    if (flow->end_proposed) {
        mw_emit_flow_event(flows, "flow_failed", &flow->id, reason);
    }
}

void
mw_fail_crashing_flow(struct mw_flows *flows, struct mw_flow *flow)
{
    if (mw_flow_is_open(flow)) {
        propose_flow_failure(flows, flow, "endpoints_crashed");
        flows->counters.crashing_flows += flow->end_proposed;
    }
}

/*
 * Adds the evidence of a run that is over to the record of its task.  The
 * record of the failed flow goes first: no leader may see only this one.
 */
static void
add_crash_score(struct mw_flows *flows, struct mw_task_record *entry,
                const struct mw_task_placement *placement)
{
    if (placement->has_survived && placement->crash_score == 0) {
        entry->crash_score = 0;
    }
    entry->crash_score += placement->crash_score;
    if (mw_crash_limit_is_reached(entry->crash_score)) {
        mw_fail_crashing_flow(flows, placement->group->flow);
    }
}

/* Records of the task contain the evidence from now on. */
static void
keep_crash_score(struct mw_task_placement *placement)
{
    struct mw_flow_task *task = &placement->group->tasks[placement->index];

    task->unrecorded_crash_score += placement->crash_score;
    placement->crash_score = 0;
}

void
mw_lose_run(struct mw_flows *flows, int64_t now_us,
            struct mw_task_placement *placement, const char *reason)
{
    struct mw_task_group *group = placement->group;
    struct mw_flow_task *task = &group->tasks[placement->index];
    bool is_proposed = placement->phase == MW_PLACEMENT_PROPOSED;
    bool is_current = is_proposed || (task->state == MW_TASK_ASSIGNED &&
                                      task->run == placement->run);

    mw_emit_run_over_event(flows, placement, reason, now_us);
    flows->counters.lost_runs += !is_proposed;
    if (is_current && mw_may_execute_start_late(placement, now_us)) {
        keep_crash_score(placement);
        mw_await_late_start(placement);
    }
    else if (is_current) {
        struct mw_record *record = new_tasks_record(1);
        struct mw_task_record *entry = add_task_entry(
            record, group, placement->index, MW_TASK_WAITING, placement->run);

        set_checkpoint(entry, mw_blob_str(placement->checkpoint));
        add_crash_score(flows, entry, placement);
        keep_crash_score(placement);
        propose(flows, record);
    }
    mw_free_task_placement(flows, placement);
    if (is_current && group->step->gang) {
        mw_stop_task_group(flows, now_us, group);
    }
}

bool
mw_return_task(struct mw_flows *flows, struct mw_task_group *group,
               uint32_t index, struct mw_str checkpoint)
{
    struct mw_record *record = new_tasks_record(1);
    struct mw_task_record *entry = add_task_entry(
        record, group, index, MW_TASK_WAITING, group->tasks[index].run);

    set_checkpoint(entry, checkpoint);
    if (mw_crash_limit_is_reached(entry->crash_score)) {
        mw_fail_crashing_flow(flows, group->flow);
    }
    return propose(flows, record);
}

static void
record_done(struct mw_record *record, struct mw_task_group *group,
            const struct mw_listed_run *run)
{
    for (uint32_t i = 0; i < group->step->count; i++) {
        if ((group->step->gang || i == run->task.index) &&
            is_current_run(&group->tasks[i], run->run)) {
            add_task_entry(record, group, i, MW_TASK_DONE, run->run);
        }
    }
}

/*
 * Counts the failure in the record.  The record of the failed flow goes first;
 * returns false if it is refused, as the flow must not go on with this one
 * alone.
 */
static bool
add_failure(struct mw_flows *flows, struct mw_task_record *entry,
            struct mw_task_group *group, const struct mw_listed_run *run)
{
    if (!mw_failure_counts(group, run)) {
        return true;
    }
    if (mw_uses_up_attempts(group, run->task.index)) {
        propose_flow_failure(flows, group->flow, "attempts_used_up");
        if (!group->flow->end_proposed) {
            return false;
        }
    }
    mw_record_failure(entry, run->run);
    return true;
}

/*
 * The task waits already, because the run was taken for lost; it has failed
 * all the same.  Once the task is assigned again, that run is over for good.
 */
static bool
record_late_failure(struct mw_flows *flows, struct mw_record *record,
                    struct mw_task_group *group,
                    const struct mw_listed_run *run)
{
    struct mw_task_record *entry;

    if (!mw_task_is_waiting(&group->tasks[run->task.index]) ||
        !mw_failure_counts(group, run)) {
        return true;
    }
    entry = add_task_entry(record, group, run->task.index, MW_TASK_WAITING,
                           run->run);
    return add_failure(flows, entry, group, run);
}

/*
 * The task waits again, or stays assigned if another start of the run may be
 * executed yet.  Returns false if the end can't be recorded now.
 */
static bool
record_not_done(struct mw_flows *flows, int64_t now_us,
                struct mw_record *record, struct mw_task_group *group,
                const struct mw_task_placement *placement,
                const struct mw_listed_run *run)
{
    const struct mw_flow_task *task = &group->tasks[run->task.index];
    bool is_late = placement && mw_may_execute_start_late(placement, now_us);
    struct mw_task_record *entry;

    if (task->state != MW_TASK_ASSIGNED) {
        return record_late_failure(flows, record, group, run);
    }
    entry =
        add_task_entry(record, group, run->task.index,
                       is_late ? MW_TASK_ASSIGNED : MW_TASK_WAITING, run->run);
    set_checkpoint(entry, run->checkpoint);
    if (run->checkpoint.len > 0) {
        group->newest_checkpoint_index = run->task.index;
    }
    if (placement) {
        add_crash_score(flows, entry, placement);
    }
    return add_failure(flows, entry, group, run);
}

/* The flow has ended; records that the run is no longer on its endpoint. */
static void
record_over(struct mw_record *record, struct mw_task_group *group,
            const struct mw_listed_run *run)
{
    if (group->tasks[run->task.index].state == MW_TASK_ASSIGNED) {
        add_task_entry(record, group, run->task.index, MW_TASK_WAITING,
                       run->run);
    }
}

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

/* The record of an end, without entries if nothing follows from it; NULL if it
 * can't be recorded now. */
static struct mw_record *
new_end_record(struct mw_flows *flows, int64_t now_us,
               struct mw_task_group *group,
               const struct mw_task_placement *placement,
               const struct mw_listed_run *run)
{
    struct mw_record *record = new_tasks_record(group->step->count);
    bool ok = true;

    if (!is_current_run(&group->tasks[run->task.index], run->run)) {
        return record;
    }
    if (!mw_flow_is_open(group->flow)) {
        record_over(record, group, run);
    }
    else if (run->end == MW_END_DONE) {
        record_done(record, group, run);
    }
    else {
        ok = record_not_done(flows, now_us, record, group, placement, run);
    }
    if (!ok) {
        mw_drop_record(record);
    }
    return ok ? record : NULL;
}

/* What the leader remembers of an end that it has proposed. */
static void
note_proposed_end(struct mw_flows *flows, struct mw_task_group *group,
                  struct mw_task_placement *placement,
                  const struct mw_listed_run *run, bool is_failure,
                  bool stays_assigned)
{
    if (is_failure) {
        mw_note_proposed_failure(group, run->task.index);
        flows->counters.failures++;
    }
    if (placement) {
        keep_crash_score(placement);
    }
    if (stays_assigned) {
        mw_await_late_start(placement);
    }
}

enum end_result {
    /* it must be listed again */
    END_REFUSED = 0,
    END_CHANGES_NOTHING = 1,
    END_PROPOSED = 2
};

static enum end_result
propose_end(struct mw_flows *flows, int64_t now_us,
            struct mw_flow_endpoint *endpoint, struct mw_task_group *group,
            struct mw_task_placement *placement,
            const struct mw_listed_run *run)
{
    struct mw_record *record =
        new_end_record(flows, now_us, group, placement, run);
    struct mw_task_record *entry;
    bool is_failure;
    bool stays_assigned;

    if (!record) {
        return END_REFUSED;
    }
    if (record->tasks.count == 0) {
        mw_drop_record(record);
        return END_CHANGES_NOTHING;
    }
    /* on_end_committed() finds the endpoint and its process by this */
    entry = &record->tasks.entries[0];
    entry->endpoint = endpoint->id;
    entry->incarnation = endpoint->incarnation;
    stays_assigned = entry->state == MW_TASK_ASSIGNED;
    is_failure =
        entry->failed_run == run->run && mw_failure_counts(group, run);
    if (!propose(flows, record)) {
        return END_REFUSED;
    }
    note_proposed_end(flows, group, placement, run, is_failure,
                      stays_assigned);
    endpoint->uncommitted_ends++;
    return END_PROPOSED;
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
    enum end_result result = END_CHANGES_NOTHING;

    if (placement) {
        mw_note_listed_start(placement, now_us);
    }
    if (placement && run->end == MW_END_DONE && !group->step->gang) {
        mw_note_run_percent(placement, now_us, 100);
    }
    if (is_known) {
        result = propose_end(flows, now_us, endpoint, group, placement, run);
    }
    if (result == END_REFUSED) {
        return false;
    }
    flows->counters.ends++;
    mw_update_flow_endpoint_health(flows, now_us, endpoint, run->end);
    finish_placement(flows, now_us, placement, mw_run_end_str(run->end).ptr);
    if (result == END_PROPOSED && run->end != MW_END_DONE &&
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
