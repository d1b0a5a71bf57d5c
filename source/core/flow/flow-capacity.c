/*
 * flow-capacity: whether what is known of an endpoint's capacity still allows
 * a start.
 *
 * LOAD   endpoints whose capacity shrinks while their heartbeats are lost or
 *        arrive late.  Lists of runs, which may arrive all the while, say
 *        nothing about the capacity.  An endpoint therefore gets no start
 *        once the newest capacity that is known of it is too old.
 *
 * The age of a heartbeat is read from the endpoint's own clock, so that one
 * that was delayed on its way does not count as new.
 */
#include "flow-capacity.h"
#include "flow-command.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-placement.h"
#include "flow-task-state.h"

/* a capacity counts for so long after the endpoint has sent it */
#define CAPACITY_TIMEOUT_US INT64_C(4000000)
/* one that an earlier leader recorded: heartbeats will replace it soon */
#define RECALLED_TIMEOUT_US INT64_C(2000000)
/* a clock that is off by more is another process's */
#define CLOCK_TOLERANCE_US INT64_C(500000)
/* a heartbeat is acknowledged within a second, or sent to another process */
#define HEARTBEAT_CLOCK_UNCERTAINTY_US INT64_C(1000000)
/* clocks differ in rate by less than one part in so many */
#define CLOCK_DRIFT_ONE_IN 32

/*
 * How long the heartbeat was on its way, at least; the clock may have drifted
 * since it was read.
 */
static int64_t
heartbeat_delay(const struct mw_flow_endpoint *endpoint, int64_t now_us,
                const struct mw_flow_heartbeat *heartbeat)
{
    int64_t drift_us = (now_us - endpoint->clock_read_us) / CLOCK_DRIFT_ONE_IN;

    if (endpoint->clock_read_us == 0) {
        return 0;
    }
    return MAX(mw_flow_endpoint_clock(endpoint, now_us) - drift_us -
                   heartbeat->clock_us,
               0);
}

/* The heartbeat comes from the log, not from the endpoint. */
static bool
is_recorded(const struct mw_flow_heartbeat *heartbeat)
{
    return heartbeat->seq == 0 && heartbeat->clock_us == 0;
}

void
mw_note_endpoint_capacity(struct mw_flow_endpoint *endpoint, int64_t now_us,
                          const struct mw_flow_heartbeat *heartbeat)
{
    struct mw_flow_resources *largest = &endpoint->largest_total;
    int64_t delay_us;

    largest->cpu = MAX(largest->cpu, heartbeat->total.cpu);
    largest->memory_mb = MAX(largest->memory_mb, heartbeat->total.memory_mb);
    largest->gpus = MAX(largest->gpus, heartbeat->total.gpus);
    if (is_recorded(heartbeat)) {
        endpoint->capacity_deadline_us = now_us + RECALLED_TIMEOUT_US;
        return;
    }
    delay_us = heartbeat_delay(endpoint, now_us, heartbeat);
    endpoint->capacity_deadline_us = now_us - delay_us + CAPACITY_TIMEOUT_US;
    if (delay_us >= CAPACITY_TIMEOUT_US) {
        /* the response shows whether it was late or the clock was wrong */
        endpoint->list_read = false;
    }
    if (endpoint->clock_read_us == 0 ||
        now_us - endpoint->clock_read_us > MW_CONTACT_TIMEOUT_US) {
        mw_update_flow_endpoint_clock(endpoint, now_us,
                                      heartbeat->clock_us + delay_us,
                                      HEARTBEAT_CLOCK_UNCERTAINTY_US);
    }
}

bool
mw_clock_fits(const struct mw_flow_endpoint *endpoint, int64_t now_us,
              int64_t sent_us, int64_t clock_us)
{
    int64_t earliest_us = mw_flow_endpoint_clock(endpoint, sent_us);
    int64_t latest_us = mw_flow_endpoint_clock(endpoint, now_us) +
                        endpoint->clock_uncertainty_us;
    int64_t drift_us = (now_us - endpoint->clock_read_us) / CLOCK_DRIFT_ONE_IN;

    return endpoint->clock_read_us == 0 ||
           (clock_us >= earliest_us - drift_us - CLOCK_TOLERANCE_US &&
            clock_us <= latest_us + drift_us + CLOCK_TOLERANCE_US);
}

void
mw_read_flow_endpoint_clock(struct mw_flow_endpoint *endpoint, int64_t now_us,
                            int64_t sent_us, int64_t clock_us)
{
    int64_t age_us = MAX(clock_us - endpoint->heartbeat.clock_us, 0);

    mw_update_flow_endpoint_clock(endpoint, now_us, clock_us,
                                  now_us - sent_us);
    if (!is_recorded(&endpoint->heartbeat)) {
        endpoint->capacity_deadline_us =
            MIN(endpoint->capacity_deadline_us,
                now_us - age_us + CAPACITY_TIMEOUT_US);
    }
}

bool
mw_endpoint_is_heard(const struct mw_flow_endpoint *endpoint)
{
    return !is_recorded(&endpoint->heartbeat);
}

/* Whether the starts of both runs are sent together or not at all. */
static bool
start_together(const struct mw_task_placement *a,
               const struct mw_task_placement *b)
{
    return a == b || (a->group == b->group && a->group->step->gang);
}

/* Whether the endpoint holds the run beside those that it may have already. */
static bool
fits_on_endpoint(const struct mw_task_placement *placement, int64_t now_us)
{
    const struct mw_flow_endpoint *endpoint = placement->endpoint;
    const struct mw_flow_resources *total = &endpoint->heartbeat.total;
    struct mw_flow_resources used = {0};

    for (guint i = 0; i < endpoint->placements->len; i++) {
        const struct mw_task_placement *other = endpoint->placements->pdata[i];

        if (!mw_run_is_unsent(other) || start_together(other, placement)) {
            used.cpu += other->need.cpu;
            used.memory_mb += other->need.memory_mb;
            used.gpus += other->need.gpus;
        }
    }
    return mw_endpoint_capacity_counts(endpoint, now_us) &&
           used.cpu <= total->cpu && used.memory_mb <= total->memory_mb &&
           used.gpus <= total->gpus;
}

bool
mw_start_fits(const struct mw_task_placement *placement, int64_t now_us)
{
    const struct mw_task_group *group = placement->group;
    bool fits = fits_on_endpoint(placement, now_us);

    for (uint32_t i = 0; group->step->gang && fits && i < group->step->count;
         i++) {
        const struct mw_task_placement *member = group->tasks[i].placement;

        fits = !member || !mw_run_is_unsent(member) ||
               fits_on_endpoint(member, now_us);
    }
    return fits;
}
