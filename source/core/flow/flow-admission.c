/*
 * flow-admission: whether another flow can be held.
 *
 * LOAD   bursts of large flows, and single flows of millions of tasks.  Every
 *        member of the log holds all flows in memory until some time after
 *        their end, and the plans also in each snapshot on its disk.
 */
#include "flow-admission.h"
#include "flow-pending-request.h"
#include "flow-scheduler-state.h"
#include "flow-task-state.h"

/* shares of the machine's memory */
#define PLANS_PERCENT INT64_C(12)
#define STATE_PERCENT INT64_C(30)

struct mw_flow_size
mw_flow_plan_size(const struct mw_flow_plan *plan, struct mw_str text)
{
    struct mw_flow_size size = {.plan_bytes = (int64_t)text.len};
    int64_t occurrence_bytes = 0;

    for (uint32_t i = 0; i < plan->step_count; i++) {
        occurrence_bytes +=
            (int64_t)sizeof(struct mw_task_group) +
            plan->steps[i].count * (int64_t)sizeof(struct mw_flow_task);
    }
    size.state_bytes = (int64_t)sizeof(struct mw_flow) +
                       plan->step_count * (int64_t)sizeof *plan->steps +
                       plan->occurrence_count * occurrence_bytes;
    return size;
}

void
mw_add_flow_size(struct mw_flow_size *sum, const struct mw_flow_size *size)
{
    sum->plan_bytes += size->plan_bytes;
    sum->state_bytes += size->state_bytes;
}

void
mw_subtract_flow_size(struct mw_flow_size *sum,
                      const struct mw_flow_size *size)
{
    sum->plan_bytes -= size->plan_bytes;
    sum->state_bytes -= size->state_bytes;
}

static bool
is_within_limits(const struct mw_flows *flows, const struct mw_flow_size *size)
{
    int64_t percent_bytes = flows->limits.memory_bytes / 100;

    return size->plan_bytes <= PLANS_PERCENT * percent_bytes &&
           size->state_bytes <= STATE_PERCENT * percent_bytes;
}

/* The size of the flows that are held, or proposed and not committed yet. */
static struct mw_flow_size
held_size(const struct mw_flows *flows)
{
    struct mw_flow_size held = flows->held;

    for (guint i = 0; i < flows->pending_requests->len; i++) {
        mw_add_flow_size(&held,
                         &g_array_index(flows->pending_requests,
                                        struct mw_flow_pending_request, i)
                              .size);
    }
    return held;
}

int
mw_check_flow_size(const struct mw_flows *flows,
                   const struct mw_flow_size *size)
{
    struct mw_flow_size sum = held_size(flows);

    if (!is_within_limits(flows, size)) {
        return MW_ERR_IMPOSSIBLE;
    }
    mw_add_flow_size(&sum, size);
    return is_within_limits(flows, &sum) ? 0 : MW_ERR_OVERLOADED;
}
