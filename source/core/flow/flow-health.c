/*
 * flow-health: endpoint health, judged by the runs on the endpoint.
 *
 * LOAD   endpoints whose heartbeats are good but whose runs all fail or make
 *        no progress.  They are always free and would attract all waiting
 *        tasks.  The first failure puts an endpoint into a short quarantine,
 *        further failures in a row into a longer one.  After that it gets
 *        work again, and the next run shows whether it has recovered.
 *
 *        Tasks that work for hours, and whole percents that last for minutes.
 *        A run has the time of some percents, by its estimate and by its own
 *        pace.  Estimates may be far off, so each stall of a task doubles the
 *        time of its next run, and only the first is blamed on the endpoint.
 */
#include "flow-command.h"
#include "flow-endpoint-state.h"
#include "flow-event.h"
#include "flow-health.h"
#include "flow-placement-state.h"
#include "flow-scheduler-state.h"
#include "flow-task-state.h"

/* one failure may be the task's; a second in a row points to the endpoint */
#define FIRST_QUARANTINE_US INT64_C(2500000)
#define REPEATED_QUARANTINE_US INT64_C(12000000)
/* at most one in so many endpoints is in quarantine for failures */
#define QUARANTINE_ONE_IN 4
/* a run without progress for so long is stopped, if it is a short one */
#define STALL_TIMEOUT_US INT64_C(4300000)
/* a run without progress has stalled after the time of so many percents */
#define STALL_PERCENTS 3
/* and after this at the latest */
#define STALL_TIMEOUT_MAX_US (INT64_C(24) * 3600 * 1000000)
/* stalls that double the time of the next run */
#define STALL_DOUBLINGS_MAX 16

static uint32_t
count_quarantined(const struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_flow_endpoint *endpoint = value;

        count += endpoint->consecutive_failures > 0 &&
                 endpoint->quarantine_deadline_us > now_us;
    }
    return count;
}

static void
quarantine(struct mw_flows *flows, int64_t now_us,
           struct mw_flow_endpoint *endpoint, int64_t duration_us,
           const char *reason)
{
    if (count_quarantined(flows, now_us) >=
        g_hash_table_size(flows->endpoints) / QUARANTINE_ONE_IN) {
        return;
    }
    endpoint->quarantine_deadline_us =
        MAX(endpoint->quarantine_deadline_us, now_us + duration_us);
    flows->counters.quarantined++;
    mw_emit_flow_endpoint_event(flows, "endpoint_quarantined", endpoint,
                                reason, now_us - endpoint->last_progress_us);
}

void
mw_update_flow_endpoint_health(struct mw_flows *flows, int64_t now_us,
                               struct mw_flow_endpoint *endpoint,
                               enum mw_run_end end)
{
    if (end == MW_END_DONE) {
        endpoint->consecutive_failures = 0;
        endpoint->last_progress_us = now_us;
    }
    if (end != MW_END_FAILED) {
        return;
    }
    endpoint->consecutive_failures++;
    quarantine(flows, now_us, endpoint,
               endpoint->consecutive_failures > 1 ? REPEATED_QUARANTINE_US
                                                  : FIRST_QUARANTINE_US,
               "failed");
}

static struct mw_flow_task *
placed_task(const struct mw_task_placement *placement)
{
    return &placement->group->tasks[placement->index];
}

static int64_t
last_progress(const struct mw_task_placement *placement)
{
    return MAX(placement->last_progress_us, placement->started_us);
}

/* How long a sound run may show the same percent. */
static int64_t
stall_timeout(const struct mw_task_placement *placement)
{
    uint32_t doublings =
        MIN(placed_task(placement)->stalls, STALL_DOUBLINGS_MAX);
    int64_t percent_us = placement->group->step->estimate_us / 100;
    int64_t timeout_us;

    if (placement->percent > 0) {
        percent_us = MAX(percent_us,
                         (last_progress(placement) - placement->started_us) /
                             placement->percent);
    }
    percent_us = MIN(percent_us, STALL_TIMEOUT_MAX_US / STALL_PERCENTS);
    timeout_us = MAX(STALL_TIMEOUT_US, STALL_PERCENTS * percent_us);
    return MIN(timeout_us << doublings, STALL_TIMEOUT_MAX_US);
}

/*
 * Whether lists have shown the run without progress for too long.  A run that
 * was not listed meanwhile, because lists are late, may well make progress.
 */
static bool
makes_no_progress(const struct mw_task_placement *placement)
{
    return placement->phase == MW_PLACEMENT_RUNNING &&
           placement->last_listed_us - last_progress(placement) >=
               stall_timeout(placement);
}

/* A gang is stalled when all its runs are running and none makes progress. */
static bool
is_stalled(const struct mw_task_placement *placement)
{
    const struct mw_task_group *group = placement->group;

    if (!makes_no_progress(placement)) {
        return false;
    }
    for (uint32_t i = 0; group->step->gang && i < group->step->count; i++) {
        const struct mw_task_placement *member = group->tasks[i].placement;

        if (!member || !makes_no_progress(member)) {
            return false;
        }
    }
    return true;
}

int64_t
mw_next_stall_us(const struct mw_flow_endpoint *endpoint)
{
    int64_t next_us = INT64_MAX;

    for (guint i = 0; i < endpoint->placements->len; i++) {
        const struct mw_task_placement *placement =
            endpoint->placements->pdata[i];

        if (placement->phase == MW_PLACEMENT_RUNNING) {
            next_us = MIN(next_us,
                          last_progress(placement) + stall_timeout(placement));
        }
    }
    return next_us;
}

static void
blame_endpoint(struct mw_flows *flows, int64_t now_us,
               const struct mw_task_placement *placement)
{
    struct mw_flow_endpoint *endpoint = placement->endpoint;

    /* not the cause if other runs there make progress, or the task is slow */
    if (now_us - endpoint->last_progress_us < STALL_TIMEOUT_US ||
        placed_task(placement)->stalls > 0) {
        return;
    }
    endpoint->consecutive_failures++;
    quarantine(flows, now_us, endpoint, REPEATED_QUARANTINE_US, "stalled");
}

static void
stop_stalled_run(struct mw_flows *flows, int64_t now_us,
                 struct mw_task_placement *placement)
{
    struct mw_task_group *group = placement->group;

    mw_emit_task_event(flows, "stalled", placement, "stopped",
                       now_us - placement->last_progress_us);
    if (!group->step->gang) {
        blame_endpoint(flows, now_us, placement);
        placed_task(placement)->stalls++;
        mw_stop_task_placement(flows, now_us, placement);
        return;
    }
    for (uint32_t i = 0; i < group->step->count; i++) {
        blame_endpoint(flows, now_us, group->tasks[i].placement);
        group->tasks[i].stalls++;
    }
    mw_stop_task_group(flows, now_us, group);
}

void
mw_stop_stalled_runs(struct mw_flows *flows, int64_t now_us,
                     struct mw_flow_endpoint *endpoint)
{
    if (endpoint->renewal_failures > 0) {
        return;
    }
    for (guint i = 0; i < endpoint->placements->len; i++) {
        if (is_stalled(endpoint->placements->pdata[i])) {
            stop_stalled_run(flows, now_us, endpoint->placements->pdata[i]);
        }
    }
}
