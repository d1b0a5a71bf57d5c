/*
 * flow-crash: tasks that crash the endpoints that start them.
 *
 * LOAD   a task whose start ends the endpoint's process.  Nothing lists that
 *        end, so its attempts are not used up, and each run takes another
 *        endpoint and what else runs there with it.
 *
 * A run has evidence against it only if a process had its start: it answered,
 * a list shows the run, or it took the connection of the start and closed it
 * without a response.  A start that was refused, or had no response in time,
 * may have reached no process: another one may have crashed before.
 *
 * Strong evidence against a run is a connection that broke soon after the
 * endpoint had answered its start, and was refused from then on; weak evidence
 * is a start whose own connection was closed before connections were refused,
 * or a crash later than that, up to AT_WORK_US after the start.  An endpoint
 * that is only out of reach, or crashes while the run has been at work for
 * longer, is no evidence.  A machine that goes silent refuses no connection;
 * if another process is there later, it is weak evidence against a run that no
 * list has shown to survive its start, unless others start anew at that time,
 * too.  Such a run is not started there again.  Evidence counts once the run
 * is known to be over; until then a record of the run says so, for the next
 * leader.
 *
 * A task whose score reaches SCORE_SUSPECT is a suspect.  Its group prefers
 * endpoints without runs, and no other flow is placed beside it until the
 * endpoint has survived the start; a run that does, and ends without such
 * evidence, clears the score of its task.  At SCORE_LIMIT the flow fails.
 */
#include "flow-command.h"
#include "flow-crash.h"
#include "flow-endpoint-state.h"
#include "flow-placement-state.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"

/* an endpoint that lives so long after a start has survived it */
#define SURVIVAL_US INT64_C(500000)
/* a crash later after the start says nothing about the task */
#define AT_WORK_US INT64_C(60000000)
/* score of a crash soon after an answered start */
#define SCORE_START_ANSWERED 2
/* score of a crash before the start was answered */
#define SCORE_START_UNANSWERED 1
/* score of a crash while the run was at work */
#define SCORE_AT_WORK 1
/* score of a start after which another process is there */
#define SCORE_STARTED_ANEW 1
/* endpoints that start anew within less of each other have another cause */
#define RESTARTS_APART_US INT64_C(2000000)
/* a task with this score is kept apart */
#define SCORE_SUSPECT 2
/* a task with this score fails its flow */
#define SCORE_LIMIT 4

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

void
mw_blame_unanswered_start(struct mw_task_placement *placement)
{
    if (placement->start_cut_off) {
        placement->crash_score =
            MAX(placement->crash_score, SCORE_START_UNANSWERED);
    }
}

static void
blame(struct mw_task_placement *placement, int64_t crash_us)
{
    int64_t worked_us = crash_us - placement->started_us;
    uint32_t score = 0;

    if (placement->phase == MW_PLACEMENT_RUNNING && !placement->has_survived &&
        worked_us < SURVIVAL_US) {
        score = SCORE_START_ANSWERED;
    }
    else if (placement->phase == MW_PLACEMENT_RUNNING &&
             worked_us < AT_WORK_US) {
        score = SCORE_AT_WORK;
    }
    placement->crash_score = MAX(placement->crash_score, score);
    if (placement->phase == MW_PLACEMENT_STARTING) {
        mw_blame_unanswered_start(placement);
    }
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
        blame(endpoint->placements->pdata[i], endpoint->connection_lost_us);
    }
    mw_record_blame(flows, endpoint);
}

void
mw_blame_restart(struct mw_flows *flows, int64_t now_us,
                 struct mw_flow_endpoint *endpoint)
{
    bool is_alone = flows->last_restart_us == 0 ||
                    now_us - flows->last_restart_us >= RESTARTS_APART_US;

    flows->last_restart_us = now_us;
    if (!is_alone || endpoint->heartbeat.draining || endpoint->is_leaving) {
        return;
    }
    for (guint i = 0; i < endpoint->placements->len; i++) {
        struct mw_task_placement *placement = endpoint->placements->pdata[i];

        if (placement->phase == MW_PLACEMENT_RUNNING &&
            placement->started_us > 0 && !placement->has_survived) {
            placement->crash_score =
                MAX(placement->crash_score, SCORE_STARTED_ANEW);
        }
    }
}

void
mw_recall_blame(struct mw_task_placement *placement)
{
    placement->crash_score =
        placement->group->tasks[placement->index].run_crash_score;
    placement->has_recalled_blame = placement->crash_score > 0;
}

void
mw_settle_recalled_blame(struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        struct mw_task_placement *placement = endpoint->placements->pdata[i];
        const struct mw_flow_task *task =
            &placement->group->tasks[placement->index];

        if (placement->has_recalled_blame &&
            task->incarnation == endpoint->incarnation) {
            placement->crash_score = 0;
        }
        placement->has_recalled_blame = false;
    }
}

/* The log says otherwise about the run, and no other record is on its way. */
static bool
must_record_blame(const struct mw_task_placement *placement)
{
    const struct mw_flow_task *task =
        &placement->group->tasks[placement->index];

    return placement->crash_score != task->run_crash_score &&
           task->state == MW_TASK_ASSIGNED && task->run == placement->run &&
           task->uncommitted_records == 0;
}

static void
add_blamed_run(struct mw_record *record,
               const struct mw_task_placement *placement)
{
    const struct mw_flow_task *task =
        &placement->group->tasks[placement->index];
    struct mw_task_record *entry =
        &record->tasks.entries[record->tasks.count++];

    mw_init_task_record(placement->group, placement->index, entry);
    entry->state = MW_TASK_ASSIGNED;
    entry->endpoint = task->endpoint;
    entry->incarnation = task->incarnation;
    entry->is_identified = task->is_identified;
    entry->run_crash_score = placement->crash_score;
}

void
mw_record_blame(struct mw_flows *flows, struct mw_flow_endpoint *endpoint)
{
    struct mw_record *record;
    uint32_t count = 0;

    for (guint i = 0; i < endpoint->placements->len; i++) {
        count += must_record_blame(endpoint->placements->pdata[i]);
    }
    if (count == 0) {
        return;
    }
    record = mw_new_record(MW_RECORD_TASKS);
    record->tasks.entries = g_new0(struct mw_task_record, count);
    for (guint i = 0; i < endpoint->placements->len; i++) {
        if (must_record_blame(endpoint->placements->pdata[i])) {
            add_blamed_run(record, endpoint->placements->pdata[i]);
        }
    }
    mw_propose_tasks(flows, record);
    mw_drop_record(record);
}

void
mw_withdraw_blame(struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        struct mw_task_placement *placement = endpoint->placements->pdata[i];

        placement->crash_score = 0;
    }
}

void
mw_note_survival(struct mw_task_placement *placement, int64_t listed_us)
{
    if (placement->started_us == 0 ||
        listed_us - placement->started_us < SURVIVAL_US) {
        return;
    }
    placement->has_survived = true;
    if (placement->is_on_trial) {
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
