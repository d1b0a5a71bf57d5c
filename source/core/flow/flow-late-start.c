/*
 * flow-late-start: starts that some process of an endpoint may still execute.
 *
 * LOAD   endpoints that start again under their identifier, execute commands
 *        that were meant for the process before, also seconds after their
 *        time, and are cut off.  A command names the endpoint and not its
 *        process, and a response to a start or a stop names neither.
 *
 * A run is identified while the list of a known process shows it.  Until then
 * any process of the endpoint may execute it, under the longest lease that
 * there is, as the deadline was reckoned on another process's clock.
 *
 * A run that is over where it was placed, but of which a start without a
 * response is left, keeps its task until that start can't be executed any
 * more, or a list that was requested after that shows that it was not.  The
 * task stays recorded as assigned, so that the next leader knows of the run.
 */
#include "flow-command.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-identified-run.h"
#include "flow-late-start.h"
#include "flow-lease.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-run-end.h"
#include "flow-schedule.h"
#include "flow-scheduler-state.h"
#include "flow-silence.h"
#include "flow-state.h"
#include "flow-task-state.h"

/* mw_late_start: a task whose run is over, and the endpoint may yet start. */
struct mw_late_start {
    struct mw_task_id task;
    uint32_t run;
    struct mw_blob *checkpoint;
    /* the start is executed by then, if at all */
    int64_t deadline_us;
    /* it can't be executed any more, and was not; its task is to be returned
     */
    bool is_over;
};

static void
clear_late_start(void *data)
{
    mw_drop_blob(((struct mw_late_start *)data)->checkpoint);
}

static guint
count(const struct mw_flow_endpoint *endpoint)
{
    return endpoint->late_starts ? endpoint->late_starts->len : 0;
}

static struct mw_late_start *
get(const struct mw_flow_endpoint *endpoint, guint i)
{
    return &g_array_index(endpoint->late_starts, struct mw_late_start, i);
}

/* When a start was last executed, or may last be. */
static int64_t
execution_deadline(const struct mw_task_placement *placement)
{
    int64_t deadline_us = placement->execution_deadline_us;

    if (placement->start_in_flight) {
        deadline_us =
            MAX(deadline_us, placement->start_sent_us + MW_LATE_EXECUTION_US);
    }
    return deadline_us;
}

void
mw_note_unanswered_start(struct mw_task_placement *placement, int64_t sent_us)
{
    placement->start_in_flight = false;
    placement->start_unanswered = true;
    placement->starts_outstanding++;
    placement->execution_deadline_us =
        MAX(placement->execution_deadline_us, sent_us + MW_LATE_EXECUTION_US);
}

void
mw_note_executed_start(struct mw_task_placement *placement, int64_t now_us)
{
    placement->was_executed = true;
    placement->execution_deadline_us =
        MAX(placement->execution_deadline_us, now_us);
}

/* One of the starts without a response was executed, if no other was. */
static void
settle_executed_start(struct mw_task_placement *placement, int64_t listed_us)
{
    if (!placement->was_executed && placement->starts_outstanding > 0) {
        placement->starts_outstanding -= !placement->start_in_flight;
    }
    else if (!placement->was_executed) {
        placement->start_in_flight = false;
    }
    placement->was_executed = true;
    if (placement->starts_outstanding == 0) {
        placement->execution_deadline_us =
            MIN(placement->execution_deadline_us, listed_us);
    }
}

void
mw_note_listed_start(struct mw_task_placement *placement, int64_t listed_us)
{
    settle_executed_start(placement, listed_us);
    placement->identified_us = listed_us;
}

void
mw_note_earlier_start(const struct mw_flows *flows,
                      struct mw_task_placement *placement, int64_t now_us)
{
    int64_t calls_us = mw_earlier_calls_us(flows, placement->endpoint);

    placement->starts_sent = placement->group->tasks[placement->index].starts;
    placement->starts_outstanding = placement->starts_sent;
    placement->execution_deadline_us =
        MIN(mw_start_deadline(flows, placement, now_us), calls_us) +
        MW_LATE_EXECUTION_US;
    mw_note_unidentified_grant(placement->endpoint,
                               calls_us + MW_LATE_EXECUTION_US);
    placement->was_identified =
        placement->group->tasks[placement->index].is_identified;
    placement->endpoint->earlier_identified_runs += placement->was_identified;
    placement->endpoint->earlier_unidentified_runs +=
        !placement->was_identified;
    if (placement->was_identified) {
        placement->starts_outstanding = 0;
    }
    if (now_us >= placement->execution_deadline_us) {
        placement->starts_outstanding = 0;
    }
}

void
mw_note_unidentified_grant(struct mw_flow_endpoint *endpoint,
                           int64_t deadline_us)
{
    endpoint->grant_deadline_us =
        MAX(endpoint->grant_deadline_us, deadline_us);
    if (endpoint->prior_grant_deadline_us > 0) {
        endpoint->prior_grant_deadline_us =
            MAX(endpoint->prior_grant_deadline_us, deadline_us);
    }
}

bool
mw_may_execute_start_late(const struct mw_task_placement *placement,
                          int64_t now_us)
{
    return (placement->starts_outstanding > 0 || placement->start_in_flight) &&
           now_us < execution_deadline(placement);
}

bool
mw_is_identified_run(const struct mw_task_placement *placement, int64_t now_us)
{
    return placement->phase == MW_PLACEMENT_RUNNING &&
           placement->identified_us > 0 &&
           !mw_may_run_unidentified(placement) &&
           !mw_may_execute_start_late(placement, now_us);
}

bool
mw_may_run_unidentified(const struct mw_task_placement *placement)
{
    return execution_deadline(placement) > 0 &&
           (placement->identified_us == 0 ||
            ((placement->starts_outstanding > 0 ||
              placement->start_in_flight) &&
             placement->endpoint->list_requested_us <
                 execution_deadline(placement)));
}

/*
 * A list that is older does not show that the same process is there still: no
 * process can start, execute a run and end it in less.
 */
#define IDENTIFICATION_TIMEOUT_US INT64_C(1000000)

bool
mw_is_identified(const struct mw_flow_endpoint *endpoint, int64_t now_us)
{
    return endpoint->list_read_us > 0 &&
           now_us - endpoint->list_read_us < IDENTIFICATION_TIMEOUT_US;
}

bool
mw_may_have_unlisted_runs(const struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        if (mw_may_run_unidentified(endpoint->placements->pdata[i])) {
            return true;
        }
    }
    return endpoint->list_read_us == 0 || count(endpoint) > 0;
}

/* When a run that is executed by deadline_us, by any process, is over. */
static int64_t
unidentified_expiry(const struct mw_flows *flows,
                    const struct mw_flow_endpoint *endpoint,
                    int64_t deadline_us)
{
    return MAX(deadline_us, endpoint->grant_deadline_us) +
           mw_lease_duration(flows->limits.lease_max_us);
}

int64_t
mw_run_expiry(const struct mw_flows *flows,
              const struct mw_task_placement *placement)
{
    const struct mw_flow_endpoint *endpoint = placement->endpoint;
    int64_t expiry_us = mw_last_lease_expiry(flows, endpoint);

    if (mw_may_run_unidentified(placement) && !placement->was_identified) {
        expiry_us =
            MAX(expiry_us, unidentified_expiry(flows, endpoint,
                                               execution_deadline(placement)));
    }
    return expiry_us;
}

int64_t
mw_start_deadline(const struct mw_flows *flows,
                  const struct mw_task_placement *placement, int64_t now_us)
{
    const struct mw_flow_task *task =
        &placement->group->tasks[placement->index];
    int64_t time_us = mw_flow_clock_time(&flows->clock, now_us);
    int32_t age_ms = (int32_t)(mw_flow_clock_ms(time_us) - task->assigned_ms);

    return now_us - INT64_C(1000) * MAX(age_ms, 0) + MW_START_WINDOW_US;
}

/*
 * Within the window in which the next leader expects it, and not to a process
 * that does not offer what the step requires.
 */
bool
mw_may_start_again(const struct mw_flows *flows, int64_t now_us,
                   const struct mw_task_placement *placement)
{
    const struct mw_flow_endpoint *endpoint = placement->endpoint;
    const struct mw_task_group *group = placement->group;

    return mw_run_is_wanted(flows, placement) &&
           now_us < mw_start_deadline(flows, placement, now_us) &&
           placement->start_attempts < MW_START_ATTEMPTS_MAX &&
           mw_name_equal(&endpoint->heartbeat.service,
                         &group->flow->route.service) &&
           (group->step->label.len == 0 ||
            mw_flow_endpoint_has_label(endpoint, &group->step->label));
}

void
mw_await_late_start(const struct mw_task_placement *placement)
{
    struct mw_flow_endpoint *endpoint = placement->endpoint;
    struct mw_flow_task *task = &placement->group->tasks[placement->index];
    struct mw_late_start late = {
        .task = mw_placed_task_id(placement),
        .run = placement->run,
        .checkpoint = mw_keep_blob(placement->checkpoint),
        .deadline_us = execution_deadline(placement),
    };

    if (!endpoint->late_starts) {
        endpoint->late_starts =
            g_array_new(FALSE, FALSE, sizeof(struct mw_late_start));
        g_array_set_clear_func(endpoint->late_starts, clear_late_start);
    }
    g_array_append_val(endpoint->late_starts, late);
    task->awaits_late_start = true;
}

bool
mw_late_starts_need_list(const struct mw_flow_endpoint *endpoint,
                         int64_t now_us)
{
    for (guint i = 0; i < count(endpoint); i++) {
        const struct mw_late_start *late = get(endpoint, i);

        if (!late->is_over && now_us >= late->deadline_us) {
            return true;
        }
    }
    return false;
}

void
mw_end_late_starts(struct mw_flow_endpoint *endpoint, int64_t now_us)
{
    for (guint i = 0; i < count(endpoint); i++) {
        struct mw_late_start *late = get(endpoint, i);

        late->is_over |= now_us >= late->deadline_us;
    }
}

/* Returns the task to waiting; false if that can't be proposed now. */
static bool
settle_late_start(struct mw_flows *flows,
                  const struct mw_flow_endpoint *endpoint,
                  const struct mw_late_start *late)
{
    struct mw_task_group *group;
    struct mw_flow_task *task = mw_find_task(flows, &late->task, &group);

    if (!task || task->state != MW_TASK_ASSIGNED || task->run != late->run ||
        !task->awaits_late_start) {
        return true;
    }
    if (!task->is_identified && !mw_is_within_horizon(flows, endpoint) &&
        !mw_record_none_identified(flows, endpoint)) {
        return false;
    }
    if (!mw_return_task(flows, group, late->task.index,
                        mw_blob_str(late->checkpoint))) {
        return false;
    }
    task->awaits_late_start = false;
    return true;
}

void
mw_settle_late_starts(struct mw_flows *flows, int64_t now_us,
                      struct mw_flow_endpoint *endpoint, int64_t requested_us)
{
    for (guint i = count(endpoint); i > 0; i--) {
        struct mw_late_start *late = get(endpoint, i - 1);

        late->is_over =
            late->is_over || requested_us >= late->deadline_us ||
            now_us >= unidentified_expiry(flows, endpoint, late->deadline_us);
        if (late->is_over && settle_late_start(flows, endpoint, late)) {
            g_array_remove_index_fast(endpoint->late_starts, i - 1);
        }
    }
}

void
mw_void_outstanding_starts(struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        struct mw_task_placement *placement = endpoint->placements->pdata[i];

        placement->starts_outstanding = 0;
        placement->start_in_flight = false;
    }
}

void
mw_drop_late_starts(struct mw_flow_endpoint *endpoint)
{
    g_clear_pointer(&endpoint->late_starts, g_array_unref);
}

int64_t
mw_last_execution_us(const struct mw_task_placement *placement)
{
    return execution_deadline(placement);
}
