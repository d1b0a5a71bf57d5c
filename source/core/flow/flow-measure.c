/*
 * flow-measure: latency histograms of the stages of a flow.
 */
#include "flow-event.h"
#include "flow-measure.h"
#include "flow-placement-state.h"
#include "flow-scheduler-state.h"
#include "flow-task-state.h"
#include "mimosawind/flow.h"

/* guaranteed work that waits longer gets a line */
#define SLOW_RECLAIM_US 1000000

void
mw_count_latency(struct mw_flows *flows, enum mw_flow_latency latency,
                 int64_t duration_us)
{
    struct mw_flow_histogram *histogram = &flows->latencies[latency];
    int64_t bound_us = 1000;
    int bucket = 0;

    while (bucket < MW_LATENCY_BUCKETS - 1 && duration_us >= bound_us) {
        bound_us *= 2;
        bucket++;
    }
    histogram->buckets[bucket]++;
    histogram->count++;
    histogram->sum_us += (uint64_t)MAX(duration_us, 0);
}

static bool
have_all_started(const struct mw_task_group *group)
{
    for (uint32_t i = 0; i < group->step->count; i++) {
        const struct mw_flow_task *task = &group->tasks[i];

        if (task->state != MW_TASK_DONE &&
            !(task->placement &&
              task->placement->phase == MW_PLACEMENT_RUNNING)) {
            return false;
        }
    }
    return true;
}

void
mw_measure_reclaim(struct mw_flows *flows, struct mw_task_group *group,
                   int64_t now_us)
{
    int64_t waited_us = now_us - group->guaranteed_us;

    if (group->complete || !have_all_started(group)) {
        return;
    }
    group->complete = true;
    if (group->guaranteed_us == 0) {
        return;
    }
    mw_count_latency(flows, MW_LATENCY_RECLAIM, waited_us);
    if (waited_us >= SLOW_RECLAIM_US) {
        mw_emit_task_group_event(flows, "reclaimed", group, "slow",
                                 group->step->count, group->step->count,
                                 waited_us);
    }
}

const struct mw_flow_histogram *
mw_flows_get_histogram(const struct mw_flows *flows,
                       enum mw_flow_latency latency)
{
    return &flows->latencies[latency];
}

struct mw_str
mw_flow_latency_str(enum mw_flow_latency latency)
{
    static const struct mw_str texts[] = {MW_STR("commit"), MW_STR("place"),
                                          MW_STR("order"),  MW_STR("run"),
                                          MW_STR("flow"),   MW_STR("reclaim")};

    return texts[latency];
}
