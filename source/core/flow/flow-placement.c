/*
 * flow-placement: runs on endpoints, and the resources that they take.
 */
#include "flow-placement.h"

#include "flow-account.h"
#include "flow-crash.h"
#include "flow-endpoint-state.h"
#include "flow-scheduler-state.h"
#include "flow-task-state.h"
#include "quota.h"

struct mw_task_placement *
mw_add_task_placement(struct mw_flows *flows,
                      struct mw_flow_endpoint *endpoint,
                      struct mw_task_group *group, uint32_t index,
                      uint32_t run, enum mw_task_placement_phase phase)
{
    struct mw_task_placement *placement = g_new0(struct mw_task_placement, 1);

    placement->group = group;
    placement->index = index;
    placement->run = run;
    placement->endpoint = endpoint;
    placement->need = group->step->need;
    placement->phase = phase;
    endpoint->used.cpu += placement->need.cpu;
    endpoint->used.memory_mb += placement->need.memory_mb;
    endpoint->used.gpus += placement->need.gpus;
    mw_add_quota_use(flows->quota, &group->flow->org, &placement->need);
    mw_add_account_use(group->flow->account, &placement->need);
    g_ptr_array_add(endpoint->placements, placement);
    endpoint->has_placed_kinds = false;
    group->tasks[index].placement = placement;
    flows->proposed_runs += phase == MW_PLACEMENT_PROPOSED;
    placement->is_on_trial =
        mw_is_crash_suspect(group->tasks[index].crash_score);
    endpoint->trials += placement->is_on_trial;
    return placement;
}

void
mw_free_task_placement(struct mw_flows *flows,
                       struct mw_task_placement *placement)
{
    struct mw_flow_endpoint *endpoint = placement->endpoint;
    struct mw_flow_task *task = &placement->group->tasks[placement->index];

    flows->proposed_runs -= placement->phase == MW_PLACEMENT_PROPOSED;
    endpoint->trials -= placement->is_on_trial;
    endpoint->used.cpu -= placement->need.cpu;
    endpoint->used.memory_mb -= placement->need.memory_mb;
    endpoint->used.gpus -= placement->need.gpus;
    mw_subtract_quota_use(flows->quota, &placement->group->flow->org,
                          &placement->need);
    mw_subtract_account_use(placement->group->flow->account, &placement->need);
    g_ptr_array_remove_fast(endpoint->placements, placement);
    endpoint->has_placed_kinds = false;
    if (task->placement == placement) {
        task->placement = NULL;
    }
    mw_drop_blob(placement->checkpoint);
    g_free(placement);
    flows->dirty = true;
}

struct mw_task_id
mw_placed_task_id(const struct mw_task_placement *placement)
{
    return (struct mw_task_id){placement->group->flow->id,
                               placement->group->occurrence,
                               placement->group->step_index, placement->index};
}

struct mw_task_placement *
mw_find_task_placement(const struct mw_flow_endpoint *endpoint,
                       const struct mw_task_id *task, uint32_t run)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        struct mw_task_placement *placement = endpoint->placements->pdata[i];

        if (placement->run == run && placement->index == task->index &&
            placement->group->step_index == task->step &&
            placement->group->occurrence == task->occurrence &&
            mw_name_equal(&placement->group->flow->id, &task->flow)) {
            return placement;
        }
    }
    return NULL;
}

bool
mw_run_is_unsent(const struct mw_task_placement *placement)
{
    return placement->phase == MW_PLACEMENT_PROPOSED ||
           (placement->phase == MW_PLACEMENT_STARTING &&
            placement->start_attempts == 0 &&
            placement->execution_deadline_us == 0);
}

bool
mw_run_is_wanted(const struct mw_flows *flows,
                 const struct mw_task_placement *placement)
{
    const struct mw_flow_task *task =
        &placement->group->tasks[placement->index];

    return placement->group->flow->state == MW_FLOW_ACTIVE &&
           task->state == MW_TASK_ASSIGNED && task->run == placement->run &&
           !placement->endpoint->heartbeat.draining &&
           !mw_flow_zone_is_out(flows, &placement->endpoint->heartbeat.zone);
}

/* None while more is used than there is: the total may have shrunk. */
static uint32_t
times_that_fit(uint32_t total, uint32_t used, uint32_t need)
{
    if (used > total) {
        return 0;
    }
    return need == 0 ? UINT32_MAX : (total - used) / need;
}

uint32_t
mw_tasks_that_fit(const struct mw_flow_resources *total,
                  const struct mw_flow_resources *used,
                  const struct mw_flow_resources *need)
{
    uint32_t capacity = times_that_fit(total->cpu, used->cpu, need->cpu);

    capacity = MIN(capacity, times_that_fit(total->memory_mb, used->memory_mb,
                                            need->memory_mb));
    capacity =
        MIN(capacity, times_that_fit(total->gpus, used->gpus, need->gpus));
    return MIN(capacity, MW_FLOW_TASKS_MAX);
}
