/*
 * flow-state: the replicated state of flows and tasks.
 */
#include <string.h>

#include "flow-account.h"
#include "flow-command-queue.h"
#include "flow-command.h"
#include "flow-config-versions.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-event.h"
#include "flow-pending-request.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "interference.h"
#include "mimosawind/flow.h"
#include "quota.h"

bool
mw_propose_tasks(struct mw_flows *flows, struct mw_record *record)
{
    record->tasks.clock_term = flows->fence;
    record->tasks.clock_us = mw_flow_clock_time(&flows->clock, flows->now_us);
    if (flows->output.propose(flows->output.opaque, record) != 0) {
        return false;
    }
    for (uint32_t i = 0; i < record->tasks.count; i++) {
        struct mw_task_group *group;
        struct mw_flow_task *task =
            mw_find_task(flows, &record->tasks.entries[i].id, &group);

        if (task) {
            task->uncommitted_records++;
        }
    }
    return true;
}

void
mw_init_task_record(const struct mw_task_group *group, uint32_t index,
                    struct mw_task_record *record)
{
    const struct mw_flow_task *task = &group->tasks[index];

    *record = (struct mw_task_record){
        .id = {group->flow->id, group->occurrence, group->step_index, index},
        .state = MW_TASK_WAITING,
        .run = task->run,
        .failures = task->failures,
        .failed_run = task->failed_run,
        .crash_score = task->crash_score + task->unrecorded_crash_score,
        .starts = task->starts,
        .assigned_ms = task->assigned_ms,
        .checkpoint = mw_keep_blob(task->checkpoint),
    };
}

struct mw_flow *
mw_find_flow(struct mw_flows *flows, const struct mw_name *id)
{
    return g_hash_table_lookup(flows->flows, id);
}

void
mw_note_flow_begun(struct mw_flows *flows, const struct mw_name *id)
{
    struct mw_flow *flow = mw_find_flow(flows, id);

    if (flow) {
        flow->has_begun = true;
    }
}

void
mw_note_begun_by_response(struct mw_flows *flows,
                          const struct mw_flow_pending_command *pending,
                          const struct mw_flow_response *response)
{
    if (pending->kind == MW_FLOW_COMMAND_START &&
        response->result == MW_FLOW_DONE) {
        mw_note_flow_begun(flows, &pending->task.flow);
    }
}

struct mw_task_group *
mw_find_task_group(struct mw_flow *flow, uint32_t occurrence, uint32_t step)
{
    uint64_t at = (uint64_t)occurrence * flow->plan->step_count + step;

    if (step >= flow->plan->step_count || at >= flow->group_count) {
        return NULL;
    }
    return &flow->groups[at];
}

struct mw_flow_task *
mw_find_task(struct mw_flows *flows, const struct mw_task_id *id,
             struct mw_task_group **group)
{
    struct mw_flow *flow = mw_find_flow(flows, &id->flow);

    *group = flow ? mw_find_task_group(flow, id->occurrence, id->step) : NULL;
    if (!*group || id->index >= (*group)->step->count) {
        return NULL;
    }
    return &(*group)->tasks[id->index];
}

bool
mw_flow_is_open(const struct mw_flow *flow)
{
    return flow->state == MW_FLOW_ACTIVE && !flow->end_proposed;
}

bool
mw_task_is_waiting(const struct mw_flow_task *task)
{
    return task->state == MW_TASK_WAITING && !task->placement &&
           task->uncommitted_records == 0;
}

uint32_t
mw_count_waiting_tasks(const struct mw_task_group *group)
{
    uint32_t waiting = 0;

    for (uint32_t i = 0; i < group->step->count; i++) {
        waiting += mw_task_is_waiting(&group->tasks[i]);
    }
    return waiting;
}

int64_t
mw_occurrence_due_us(const struct mw_flow_plan *plan, uint32_t occurrence)
{
    int64_t first_us = MIN(plan->first_wall_us, MW_WALL_TIME_MAX_US);

    if (occurrence > 0 &&
        plan->interval_us > (MW_WALL_TIME_MAX_US - first_us) / occurrence) {
        return MW_WALL_TIME_MAX_US;
    }
    return first_us + occurrence * plan->interval_us;
}

bool
mw_task_group_is_ready(const struct mw_task_group *group, int64_t wall_us)
{
    const struct mw_flow *flow = group->flow;
    const struct mw_flow_plan *plan = flow->plan;
    uint32_t first = group->occurrence * plan->step_count;

    if (plan->scheduled &&
        wall_us < mw_occurrence_due_us(plan, group->occurrence)) {
        return false;
    }
    for (uint32_t i = 0; i < group->step->dependency_count; i++) {
        const struct mw_task_group *before =
            &flow->groups[first + group->step->dependencies[i]];

        if (before->done_count < before->step->count) {
            return false;
        }
    }
    return true;
}

/* The highest number of a run; the tasks of a gang share their run numbers. */
uint32_t
mw_task_group_last_run(const struct mw_task_group *group)
{
    uint32_t run = 0;

    for (uint32_t i = 0; i < group->step->count; i++) {
        run = MAX(run, group->tasks[i].run);
    }
    return run;
}

uint64_t
mw_flows_config_version(struct mw_flows *flows)
{
    const struct mw_flow_config *config = mw_get_flow_config(&flows->configs);

    return config ? config->version : 0;
}
