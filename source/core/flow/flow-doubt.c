/*
 * flow-doubt: lines about the runs that a leader takes over.
 *
 * LOAD   two leaders that order one task, each while the run of the other is
 *        at work.  Which of them was wrong, and why, is told by what the
 *        second one assumed of the run that it took over: its line is written
 *        at the takeover, before anything is decided about the run.
 */
#include "flow-doubt.h"

#include "flow-endpoint-state.h"
#include "flow-event.h"
#include "flow-late-start.h"
#include "flow-lease.h"
#include "flow-placement-state.h"
#include "flow-scheduler-state.h"
#include "flow-task-state.h"

/* Why a run that was taken over is in doubt; NULL if it is not. */
static const char *
get_doubt(const struct mw_task_placement *placement)
{
    if (!placement->is_taken_over || placement->identified_us > 0) {
        return NULL;
    }
    if (mw_is_muted(placement->endpoint)) {
        return "endpoint_silent";
    }
    if (!placement->endpoint->registered) {
        return "endpoint_unknown";
    }
    if (placement->was_partly_over) {
        return "gang_partly_over";
    }
    return placement->was_identified ? NULL : "not_identified";
}

uint32_t
mw_count_runs_in_doubt(const struct mw_flow_endpoint *endpoint)
{
    uint32_t count = 0;

    for (guint i = 0; i < endpoint->placements->len; i++) {
        count += get_doubt(endpoint->placements->pdata[i]) != NULL;
    }
    return count;
}

static int64_t
get_age(int64_t since_us, int64_t now_us)
{
    return since_us > 0 ? now_us - since_us : -1;
}

/* Ages are not cut off at 0: a clock may be ahead of the one that wrote. */
static void
describe_record(const struct mw_flows *flows,
                const struct mw_task_placement *placement, int64_t now_us,
                struct mw_flow_run_event *event)
{
    const struct mw_flow_task *task =
        &placement->group->tasks[placement->index];
    int64_t time_us = mw_flow_clock_time(&flows->clock, now_us);

    if (task->state != MW_TASK_ASSIGNED || task->run != placement->run) {
        return;
    }
    event->is_recorded = true;
    event->incarnation = task->incarnation;
    event->starts = task->starts;
    event->is_identified = task->is_identified;
    if (task->assigned_ms > 0) {
        int32_t age_ms =
            (int32_t)(mw_flow_clock_ms(time_us) - task->assigned_ms);

        event->has_assigned_age = true;
        event->assigned_age_us = INT64_C(1000) * age_ms;
    }
}

void
mw_describe_run(const struct mw_flows *flows,
                const struct mw_task_placement *placement, int64_t now_us,
                struct mw_flow_run_event *event)
{
    const struct mw_flow_endpoint *endpoint = placement->endpoint;

    *event = (struct mw_flow_run_event){
        .clock_term = flows->earlier_clock.term,
        .earlier_age_us = now_us - mw_earlier_calls_us(flows, endpoint),
        .is_earlier_recorded = endpoint->has_earlier_calls,
        .over_in_us = mw_run_expiry(flows, placement) - now_us,
        .listed_age_us = get_age(placement->identified_us, now_us),
        .starts_left =
            placement->starts_outstanding + placement->start_in_flight,
        .start_left_us = mw_last_execution_us(placement) - now_us,
        .first_list_age_us = get_age(endpoint->first_list_us, now_us),
        .first_list_incarnation = endpoint->first_list_incarnation,
    };
    if (mw_last_execution_us(placement) == 0) {
        event->start_left_us = 0;
    }
    describe_record(flows, placement, now_us, event);
}

static void
report_run(struct mw_flows *flows, int64_t now_us,
           struct mw_task_placement *placement, const char *doubt,
           uint32_t *lines_left)
{
    struct mw_flow_run_event run;

    if (*lines_left == 0) {
        flows->counters.doubt_lines_left_out += doubt != NULL;
        return;
    }
    (*lines_left)--;
    placement->is_takeover_reported = true;
    mw_describe_run(flows, placement, now_us, &run);
    mw_emit_taken_over_event(flows, placement, doubt, &run);
}

/* Calls the function for each run that was taken over. */
static void
visit_runs(struct mw_flows *flows,
           void (*visit)(void *opaque, struct mw_task_placement *placement),
           void *opaque)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_flow_endpoint *endpoint = value;

        for (guint i = 0; i < endpoint->placements->len; i++) {
            visit(opaque, endpoint->placements->pdata[i]);
        }
    }
}

struct takeover_report {
    struct mw_flows *flows;
    int64_t now_us;
    struct mw_flow_takeover_event counts;
    /* whether lines are written about runs in doubt, or about the others */
    bool is_doubt_turn;
    uint32_t lines_left;
};

static void
count_run(void *opaque, struct mw_task_placement *placement)
{
    struct takeover_report *report = opaque;

    report->counts.runs++;
    report->counts.in_doubt += get_doubt(placement) != NULL;
}

static void
report_in_turn(void *opaque, struct mw_task_placement *placement)
{
    struct takeover_report *report = opaque;
    const char *doubt = get_doubt(placement);

    if ((doubt != NULL) == report->is_doubt_turn) {
        report_run(report->flows, report->now_us, placement, doubt,
                   &report->lines_left);
    }
}

void
mw_report_takeover(struct mw_flows *flows, int64_t now_us)
{
    const struct mw_flow_clock *clock = &flows->earlier_clock;
    struct takeover_report report = {
        .flows = flows,
        .now_us = now_us,
        .counts = {.clock_term = clock->term,
                   .clock_age_us =
                       clock->term > 0 ? now_us - clock->learnt_us : -1},
        .lines_left = MW_TAKEOVER_LINES_MAX,
    };

    flows->doubt_lines_left = MW_LATER_DOUBT_LINES_MAX;
    visit_runs(flows, count_run, &report);
    if (report.counts.runs > MW_TAKEOVER_LINES_MAX) {
        report.counts.left_out = report.counts.runs - MW_TAKEOVER_LINES_MAX;
    }
    flows->counters.runs_taken_over += report.counts.runs;
    mw_emit_takeover_event(flows, &report.counts);
    report.is_doubt_turn = true;
    visit_runs(flows, report_in_turn, &report);
    report.is_doubt_turn = false;
    visit_runs(flows, report_in_turn, &report);
}

void
mw_report_silent_runs(struct mw_flows *flows, int64_t now_us,
                      struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        struct mw_task_placement *placement = endpoint->placements->pdata[i];
        const char *doubt = get_doubt(placement);

        if (doubt && !placement->is_takeover_reported) {
            report_run(flows, now_us, placement, doubt,
                       &flows->doubt_lines_left);
        }
    }
}
