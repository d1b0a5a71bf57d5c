/*
 * flow-crash: tasks that crash the endpoints that start them.
 *
 * LOAD   a task whose start ends the endpoint's process.  Nothing lists that
 *        end, so its attempts are not used up, and each run takes another
 *        endpoint and what else runs there with it.
 *
 * A crash is evidence against each run on the endpoint: most against a run
 * that had only just started, little against one that had been at work.  A
 * task with much evidence is a suspect.  Its runs are on trial until the
 * endpoint has survived their start; meanwhile nothing else is placed there,
 * so that a second crash tells the suspect from its neighbours.  A task that
 * reaches the limit is given up, and its flow fails.
 */
#include "flow-impl.h"

/* an endpoint that lives so long after a start has survived it */
#define SURVIVAL_US INT64_C(500000)
/* evidence of one crash, by what the run had done */
#define SCORE_AT_START 4
#define SCORE_START_UNCLEAR 2
#define SCORE_AT_WORK 1
/* two crashes at the start */
#define SCORE_LIMIT 8
#define SCORE_SUSPECT 4

bool
mw_crash_limit_is_reached(uint32_t score)
{
    return score >= SCORE_LIMIT;
}

bool
mw_is_crash_suspect(uint32_t score)
{
    return score >= SCORE_SUSPECT;
}

/* Whether the endpoint is known to have survived the start of the run. */
static bool
has_survived(const struct mw_task_placement *placement)
{
    return placement->started_us > 0 &&
           placement->endpoint->alive_us - placement->started_us >=
               SURVIVAL_US;
}

static uint32_t
crash_evidence(const struct mw_task_placement *placement)
{
    if (mw_run_is_unsent(placement)) {
        return 0;
    }
    if (has_survived(placement)) {
        return SCORE_AT_WORK;
    }
    return placement->phase == MW_PLACEMENT_RUNNING ? SCORE_AT_START
                                                    : SCORE_START_UNCLEAR;
}

void
mw_blame_crash(struct mw_flows *flows, struct mw_flow_endpoint *endpoint)
{
    if (endpoint->heartbeat.draining || endpoint->is_leaving ||
        endpoint->placements->len == 0) {
        return;
    }
    flows->counters.endpoint_crashes++;
    for (guint i = 0; i < endpoint->placements->len; i++) {
        struct mw_task_placement *placement = endpoint->placements->pdata[i];

        placement->crash_score += crash_evidence(placement);
    }
}

/*
 * An endpoint out of reach may have crashed or be cut off.  That counts only
 * if no process listened there, or the task is blamed for a crash already.
 */
void
mw_blame_lapse(struct mw_task_placement *placement)
{
    const struct mw_flow_task *task =
        &placement->group->tasks[placement->index];

    if (!has_survived(placement) && !mw_run_is_unsent(placement) &&
        (placement->endpoint->no_process || task->crash_score > 0)) {
        placement->crash_score += SCORE_START_UNCLEAR;
    }
}

void
mw_update_trial(struct mw_task_placement *placement)
{
    if (placement->is_on_trial && has_survived(placement)) {
        placement->is_on_trial = false;
        placement->endpoint->trials--;
    }
}

int64_t
mw_next_trial_us(const struct mw_flow_endpoint *endpoint)
{
    int64_t next_us = INT64_MAX;

    for (guint i = 0; endpoint->trials > 0 && i < endpoint->placements->len;
         i++) {
        const struct mw_task_placement *placement =
            endpoint->placements->pdata[i];

        if (placement->is_on_trial && placement->started_us > 0) {
            next_us = MIN(next_us, placement->started_us + SURVIVAL_US);
        }
    }
    return next_us;
}

bool
mw_trial_excludes(const struct mw_flow_endpoint *endpoint,
                  const struct mw_task_group *group)
{
    for (guint i = 0; endpoint->trials > 0 && i < endpoint->placements->len;
         i++) {
        const struct mw_task_placement *placement =
            endpoint->placements->pdata[i];

        if (placement->is_on_trial && placement->group->flow != group->flow) {
            return true;
        }
    }
    return false;
}
