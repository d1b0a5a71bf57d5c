/*
 * flow-speed: observations for the estimates of the endpoints' speeds.
 *
 * LOAD   endpoints of unequal speed, see endpoint-speed.c.  Urgent tasks are
 *        short, so that lists must be requested in time to show their
 *        progress, and only where there is something to learn.
 */
#include <string.h>

#include "endpoint-speed.h"
#include "flow-endpoint-state.h"
#include "flow-interference.h"
#include "flow-placement-state.h"
#include "flow-scheduler-state.h"
#include "flow-speed.h"
#include "flow-task-state.h"
#include "interference.h"

/* between lists of an endpoint whose speed is not known */
#define RATE_LIST_INTERVAL_US INT64_C(500000)

/*
 * Whether the run's rate says something about its endpoint: away from its data
 * a task is slow on any endpoint.
 */
static bool
is_comparable(const struct mw_task_placement *placement)
{
    const struct mw_name *data_rack = &placement->group->step->data_rack;

    return data_rack->len == 0 ||
           mw_name_equal(data_rack, &placement->endpoint->rack);
}

void
mw_note_run_start(struct mw_task_placement *placement, int64_t now_us)
{
    const struct mw_task_group *group = placement->group;

    /* a start without a response may have been executed long before */
    if (!group->tasks[placement->index].checkpoint &&
        !placement->start_unanswered) {
        mw_begin_run_progress(&placement->progress, now_us, 0);
    }
}

void
mw_note_run_percent(struct mw_task_placement *placement, int64_t now_us,
                    uint32_t percent)
{
    struct mw_task_group *group = placement->group;
    struct mw_run_progress *progress = &placement->progress;
    struct mw_kind_rate *kind_rate = &placement->kind_rate;

    if (!is_comparable(placement)) {
        return;
    }
    /* members of a gang are compared with each other, not with themselves */
    if (kind_rate->has_changed && progress->has_rate && !group->step->gang) {
        kind_rate->has_changed = false;
        mw_restart_run_progress(progress, now_us, percent);
    }
    else if (mw_note_run_progress(progress, now_us, percent)) {
        progress->log_rate += kind_rate->known_cost;
        mw_note_speed_neighbours(placement);
        mw_learn_endpoint_speed(&placement->endpoint->speed, &group->rate,
                                progress, now_us, group->step->gang);
    }
}

enum mw_speed_class
mw_flow_endpoint_speed(const struct mw_flows *flows,
                       const struct mw_flow_endpoint *endpoint)
{
    return mw_classify_endpoint_speed(&endpoint->speed, &flows->speed_mean);
}

void
mw_compare_speeds(struct mw_flows *flows)
{
    flows->speed_mean = (struct mw_speed_mean){0};
    memset(flows->speed_counts, 0, sizeof flows->speed_counts);
    for (guint i = 0; i < flows->usable->len; i++) {
        const struct mw_flow_endpoint *endpoint = flows->usable->pdata[i];

        mw_add_to_speed_mean(&flows->speed_mean, &endpoint->speed);
    }
    for (guint i = 0; i < flows->usable->len; i++) {
        flows->speed_counts[mw_flow_endpoint_speed(flows,
                                                   flows->usable->pdata[i])]++;
    }
}

bool
mw_has_unequal_speeds(const struct mw_flows *flows)
{
    return flows->speed_counts[MW_SPEED_SLOW] > 0 ||
           flows->speed_counts[MW_SPEED_FAST] > 0;
}

/*
 * Only gangs need this: their runs tell most of a speed, and the short ones
 * end before a long poll does.  Where all endpoints are alike there is nothing
 * to learn.
 */
int64_t
mw_next_speed_list_us(const struct mw_flows *flows,
                      const struct mw_flow_endpoint *endpoint, int64_t now_us)
{
    if (!mw_has_unequal_speeds(flows) || mw_is_speed_known(&endpoint->speed)) {
        return INT64_MAX;
    }
    for (guint i = 0; i < endpoint->placements->len; i++) {
        const struct mw_task_placement *placement =
            endpoint->placements->pdata[i];

        if (placement->phase == MW_PLACEMENT_RUNNING &&
            placement->group->step->gang && !placement->progress.has_rate) {
            return now_us + RATE_LIST_INTERVAL_US;
        }
    }
    return INT64_MAX;
}
