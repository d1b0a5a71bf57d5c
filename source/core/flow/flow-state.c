/*
 * flow-state: the replicated state of flows and tasks, and its status.
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

static void
free_flow(void *data)
{
    struct mw_flow *flow = data;

    for (uint32_t i = 0; i < flow->group_count; i++) {
        struct mw_task_group *group = &flow->groups[i];

        for (uint32_t t = 0; t < group->step->count; t++) {
            mw_drop_blob(group->tasks[t].checkpoint);
        }
        g_free(group->tasks);
    }
    g_free(flow->groups);
    mw_drop_flow_plan(flow->plan);
    mw_drop_blob(flow->plan_text);
    g_free(flow);
}

struct mw_flows *
mw_new_flows(const struct mw_flow_limits *limits,
             const struct mw_flow_output *output)
{
    struct mw_flows *flows = g_new0(struct mw_flows, 1);

    flows->limits = *limits;
    flows->output = *output;
    flows->flows =
        g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, free_flow);
    flows->active = g_ptr_array_new();
    flows->zones_out =
        g_hash_table_new_full(mw_hash_name, mw_same_name, g_free, NULL);
    flows->endpoints = g_hash_table_new_full(mw_hash_name, mw_same_name, NULL,
                                             mw_drop_flow_endpoint);
    flows->endpoint_records = g_hash_table_new_full(
        mw_hash_name, mw_same_name, NULL, (GDestroyNotify)mw_drop_record);
    flows->by_address = g_hash_table_new(mw_hash_name, mw_same_name);
    flows->by_rack = g_ptr_array_new();
    flows->usable = g_ptr_array_new();
    flows->urgent_pools =
        g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, g_free);
    flows->quota = mw_new_quota();
    flows->accounts = mw_new_flow_accounts();
    flows->interference = mw_new_interference(
        &(struct mw_interference_output){flows, mw_emit_interference_event});
    flows->pending_commands =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    flows->pending_requests =
        g_array_new(FALSE, FALSE, sizeof(struct mw_flow_pending_request));
    mw_init_flow_configs(&flows->configs, output);
    mw_init_command_queue(&flows->command_queue);
    flows->next_ref = 1;
    flows->tick_deadline_us = INT64_MAX;
    return flows;
}

void
mw_drop_flows(struct mw_flows *flows)
{
    if (!flows) {
        return;
    }
    mw_clear_flow_endpoints(flows);
    mw_clear_command_queue(&flows->command_queue);
    mw_drop_interference(flows->interference);
    g_hash_table_unref(flows->urgent_pools);
    mw_drop_quota(flows->quota);
    g_hash_table_unref(flows->accounts);
    g_ptr_array_unref(flows->usable);
    g_ptr_array_unref(flows->by_rack);
    g_hash_table_unref(flows->by_address);
    g_hash_table_unref(flows->endpoints);
    g_hash_table_unref(flows->endpoint_records);
    g_hash_table_unref(flows->pending_commands);
    g_hash_table_unref(flows->zones_out);
    g_ptr_array_unref(flows->active);
    g_hash_table_unref(flows->flows);
    g_array_unref(flows->pending_requests);
    mw_clear_flow_configs(&flows->configs);
    g_free(flows);
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

void
mw_flows_learn_clock(struct mw_flows *flows, int64_t now_us, uint64_t term,
                     int64_t time_us)
{
    mw_learn_flow_clock(&flows->clock, now_us, term, time_us);
}

int64_t
mw_flows_clock(const struct mw_flows *flows, int64_t now_us)
{
    return mw_flow_clock_time(&flows->clock, now_us);
}

const struct mw_flow_counters *
mw_flows_get_counters(const struct mw_flows *flows)
{
    return &flows->counters;
}

uint64_t
mw_flows_config_version(struct mw_flows *flows)
{
    const struct mw_flow_config *config = mw_get_flow_config(&flows->configs);

    return config ? config->version : 0;
}

void
mw_flows_get_status(struct mw_flows *flows, struct mw_flows_status *status)
{
    GHashTableIter iter;
    gpointer value;

    *status = (struct mw_flows_status){
        .config_version = mw_flows_config_version(flows),
        .flows = g_hash_table_size(flows->flows),
        .active = flows->active->len,
        .endpoints = g_hash_table_size(flows->endpoints),
        .endpoints_slow = flows->speed_counts[MW_SPEED_SLOW],
        .endpoints_fast = flows->speed_counts[MW_SPEED_FAST],
    };
    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        status->placements +=
            ((struct mw_flow_endpoint *)value)->placements->len;
    }
    status->work_kinds = mw_count_work_kinds(flows->interference);
    status->interfering_pairs = mw_count_known_pairs(flows->interference);
    status->commands_waiting =
        mw_count_waiting_commands(&flows->command_queue);
    status->commands_in_flight = flows->command_queue.in_flight;
    status->command_window = flows->command_queue.window;
}
