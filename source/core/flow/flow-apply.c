/*
 * flow-apply: applies committed records to the replicated state of flows and
 * tasks.
 */
#include "flow-account.h"
#include "flow-admission.h"
#include "flow-command.h"
#include "flow-config-versions.h"
#include "flow-crash.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-event.h"
#include "flow-measure.h"
#include "flow-pending-request.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-run-end.h"
#include "flow-registry.h"
#include "flow-reserve.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "mimosawind/flow.h"

static void
add_task_groups(struct mw_flow *flow)
{
    const struct mw_flow_plan *plan = flow->plan;

    flow->group_count = plan->occurrence_count * plan->step_count;
    flow->groups = g_new0(struct mw_task_group, flow->group_count);
    for (uint32_t i = 0; i < flow->group_count; i++) {
        struct mw_task_group *group = &flow->groups[i];

        group->flow = flow;
        group->step_index = i % plan->step_count;
        group->occurrence = i / plan->step_count;
        group->step = &plan->steps[group->step_index];
        group->tasks = g_new0(struct mw_flow_task, group->step->count);
    }
}

static void
apply_flow(struct mw_context *ctx, struct mw_flows *flows,
           const struct mw_record_flow *record)
{
    int err = 0;
    struct mw_flow *flow;
    struct mw_flow_plan *plan;

    if (mw_find_flow(flows, &record->id)) {
        return;
    }
    plan = flows->output.decode_plan(flows->output.opaque, ctx,
                                     mw_blob_str(record->plan), &err);
    if (!plan) {
        mw_emit_event(ctx, MW_SEVERITY_ERROR,
                      "event=flow_unreadable flow=%.*s kind=%.*s",
                      MW_FMT(mw_name_str(&record->id)),
                      MW_FMT(mw_error_str(err)));
        return;
    }
    flow = g_new0(struct mw_flow, 1);
    flow->id = record->id;
    flow->route = record->route;
    flow->org = record->org;
    flow->account =
        mw_get_flow_account(flows->accounts, &flow->org, &flow->route.service);
    flow->accepted_wall_us = record->accepted_wall_us;
    flow->state = record->state;
    flow->accepted_us = flows->now_us;
    flow->plan_text = mw_keep_blob(record->plan);
    flow->plan = plan;
    flow->size = mw_flow_plan_size(plan, mw_blob_str(record->plan));
    mw_add_flow_size(&flows->held, &flow->size);
    add_task_groups(flow);
    g_hash_table_insert(flows->flows, &flow->id, flow);
    if (flow->state == MW_FLOW_ACTIVE) {
        g_ptr_array_add(flows->active, flow);
    }
}

static void
end_flow(struct mw_flows *flows, struct mw_flow *flow,
         enum mw_flow_state state)
{
    if (flow->state != MW_FLOW_ACTIVE) {
        return;
    }
    flow->state = state;
    g_ptr_array_remove(flows->active, flow);
    flows->counters.completed += state == MW_FLOW_COMPLETED;
    flows->counters.failed += state == MW_FLOW_FAILED;
    flows->counters.cancelled += state == MW_FLOW_CANCELLED;
    if (flows->is_leader) {
        struct mw_str outcome = mw_flow_state_str(state);

        mw_count_latency(flows, MW_LATENCY_FLOW,
                         flows->now_us - flow->accepted_us);
        mw_emit_flow_event(flows, "flow_ended", &flow->id, outcome.ptr);
    }
}

static void
remove_flow(struct mw_flows *flows, struct mw_flow *flow)
{
    for (uint32_t i = 0; i < flow->group_count; i++) {
        struct mw_task_group *group = &flow->groups[i];

        for (uint32_t t = 0; t < group->step->count; t++) {
            if (group->tasks[t].placement) {
                mw_free_task_placement(flows, group->tasks[t].placement);
            }
        }
    }
    end_flow(flows, flow, MW_FLOW_CANCELLED);
    mw_subtract_flow_size(&flows->held, &flow->size);
    g_hash_table_remove(flows->flows, &flow->id);
}

static void
apply_flow_state(struct mw_flows *flows, int64_t now_us,
                 const struct mw_record_flow_state *record)
{
    struct mw_flow *flow = mw_find_flow(flows, &record->id);

    if (!flow) {
        return;
    }
    if (record->remove) {
        remove_flow(flows, flow);
        return;
    }
    end_flow(flows, flow, record->state);
    for (uint32_t i = 0; flows->is_leader && i < flow->group_count; i++) {
        mw_stop_task_group(flows, now_us, &flow->groups[i]);
        mw_release_reservation(flows, &flow->groups[i]);
    }
}

static void
complete_task(struct mw_flows *flows, struct mw_task_group *group,
              struct mw_flow_task *task, enum mw_task_state state)
{
    struct mw_flow *flow = group->flow;

    if (state != MW_TASK_DONE || task->state == MW_TASK_DONE) {
        return;
    }
    group->done_count++;
    if (group->done_count == group->step->count) {
        flow->groups_done++;
    }
    task->state = state;
    if (flow->groups_done == flow->group_count) {
        end_flow(flows, flow, MW_FLOW_COMPLETED);
    }
}

/* The record allows another start of a run that is being started. */
static void
resume_start(struct mw_flows *flows, int64_t now_us,
             struct mw_task_placement *placement)
{
    placement->awaits_start_record = false;
    if (placement->phase == MW_PLACEMENT_STARTING) {
        placement->command_pending = false;
        placement->retry_deadline_us = now_us;
        flows->dirty = true;
    }
}

static void
start_assigned_run(struct mw_flows *flows, int64_t now_us,
                   struct mw_flow_task *task)
{
    struct mw_task_placement *placement = task->placement;

    if (!flows->is_leader || !placement || placement->run != task->run) {
        return;
    }
    if (placement->awaits_start_record &&
        placement->starts_sent < task->starts) {
        resume_start(flows, now_us, placement);
        return;
    }
    if (placement->phase != MW_PLACEMENT_PROPOSED) {
        return;
    }
    placement->phase = MW_PLACEMENT_STARTING;
    flows->proposed_runs--;
    if (flows->suspended) {
        placement->retry_deadline_us = now_us;
    }
    else if (placement->group->flow->state != MW_FLOW_ACTIVE) {
        mw_lose_run(flows, now_us, placement, "flow_ended");
    }
    else if (task->uncommitted_records > 0) {
        /* the record behind this one says that an earlier run was done */
        mw_lose_run(flows, now_us, placement, "earlier_run_done");
    }
    else {
        mw_send_start(flows, now_us, placement);
    }
}

/*
 * Whether the record shows that a run of the task was executed.  One that
 * assigns a run does not: its start may reach no endpoint.  A task that waits
 * has an endpoint in its record only if a list showed the end of its run
 * there.
 */
static bool
shows_execution(const struct mw_task_record *entry)
{
    return entry->state == MW_TASK_DONE || entry->failures > 0 ||
           entry->checkpoint || entry->is_identified ||
           (entry->state == MW_TASK_WAITING && entry->endpoint.len > 0);
}

/* A record of an earlier version does not say when, or how often. */
static void
apply_assignment(struct mw_flows *flows, int64_t now_us,
                 struct mw_flow_task *task, const struct mw_task_record *entry,
                 bool is_new_run)
{
    int64_t time_us = mw_flow_clock_time(&flows->clock, now_us);

    task->starts =
        MIN(entry->starts > 0 ? entry->starts : MW_START_ATTEMPTS_MAX,
            MW_TASK_STARTS_MAX);
    if (entry->assigned_ms > 0) {
        task->assigned_ms = entry->assigned_ms;
    }
    else if (is_new_run) {
        task->assigned_ms = mw_flow_clock_ms(time_us);
    }
    start_assigned_run(flows, now_us, task);
}

static void
apply_task_entry(struct mw_flows *flows, int64_t now_us,
                 const struct mw_task_record *entry)
{
    bool is_new_run;
    struct mw_task_group *group;
    struct mw_flow_task *task = mw_find_task(flows, &entry->id, &group);

    if (!task) {
        return;
    }
    if (flows->is_leader && task->uncommitted_records > 0) {
        task->uncommitted_records--;
    }
    if (task->state == MW_TASK_DONE) {
        return;
    }
    if (entry->checkpoint != task->checkpoint) {
        mw_drop_blob(task->checkpoint);
        task->checkpoint = mw_keep_blob(entry->checkpoint);
    }
    complete_task(flows, group, task, entry->state);
    if (entry->state != MW_TASK_ASSIGNED || entry->run != task->run) {
        task->awaits_late_start = false;
    }
    is_new_run = task->state != MW_TASK_ASSIGNED || task->run != entry->run;
    if (entry->run != task->run) {
        task->is_failure_proposed = false;
    }
    task->state = entry->state;
    task->run = entry->run;
    task->is_identified = entry->is_identified;
    task->failures = entry->failures;
    task->failed_run = entry->failed_run;
    task->crash_score = (uint16_t)MIN(entry->crash_score, UINT16_MAX);
    task->run_crash_score = (uint16_t)MIN(entry->run_crash_score, UINT16_MAX);
    task->unrecorded_crash_score = 0;
    group->is_suspect |= mw_is_crash_suspect(entry->crash_score);
    task->endpoint = entry->endpoint;
    task->incarnation = entry->incarnation;
    group->flow->has_begun |= shows_execution(entry);
    if (entry->state == MW_TASK_ASSIGNED) {
        apply_assignment(flows, now_us, task, entry, is_new_run);
    }
}

static void
apply_zone(struct mw_flows *flows, const struct mw_record_zone_out *record)
{
    if (record->out) {
        g_hash_table_add(flows->zones_out,
                         g_memdup2(&record->zone, sizeof record->zone));
    }
    else {
        g_hash_table_remove(flows->zones_out, &record->zone);
    }
}

/*
 * When the records of all listed ends are committed, they may be acknowledged
 * to the endpoint.
 */
static void
on_end_committed(struct mw_flows *flows, const struct mw_task_record *entry)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &entry->endpoint);

    if (!endpoint || entry->incarnation != endpoint->incarnation ||
        endpoint->uncommitted_ends == 0) {
        return;
    }
    endpoint->uncommitted_ends--;
    if (endpoint->uncommitted_ends == 0) {
        endpoint->committed_end = endpoint->seen_end;
    }
}

/* Whether this leader, since it leads, has counted it as not committed. */
static bool
is_counted_end(const struct mw_flows *flows,
               const struct mw_record_tasks *tasks)
{
    return flows->is_leader && tasks->is_listed_end &&
           tasks->clock_term == flows->fence;
}

static void
apply_tasks(struct mw_flows *flows, int64_t now_us,
            const struct mw_record_tasks *tasks)
{
    mw_learn_flow_clock(&flows->clock, now_us, tasks->clock_term,
                        tasks->clock_us);
    for (uint32_t i = 0; i < tasks->count; i++) {
        apply_task_entry(flows, now_us, &tasks->entries[i]);
    }
    if (is_counted_end(flows, tasks)) {
        on_end_committed(flows, &tasks->entries[0]);
    }
}

void
mw_flows_apply(struct mw_context *ctx, struct mw_flows *flows, int64_t now_us,
               struct mw_record *record)
{
    flows->now_us = now_us;
    switch (record->kind) {
    case MW_RECORD_CONFIG:
        mw_commit_flow_config(ctx, &flows->configs, record);
        break;
    case MW_RECORD_ZONE_OUT:
        apply_zone(flows, &record->zone_out);
        break;
    case MW_RECORD_FLOW:
        apply_flow(ctx, flows, &record->flow);
        break;
    case MW_RECORD_FLOW_STATE:
        apply_flow_state(flows, now_us, &record->flow_state);
        break;
    case MW_RECORD_TASKS:
        apply_tasks(flows, now_us, &record->tasks);
        break;
    case MW_RECORD_ENDPOINT:
        mw_apply_flow_endpoint(flows, record);
        break;
    default:
        return;
    }
    flows->dirty = true;
    if (flows->is_leader) {
        mw_complete_flow_requests(flows, record);
    }
}

void
mw_flows_reset(struct mw_flows *flows)
{
    g_ptr_array_set_size(flows->active, 0);
    g_hash_table_remove_all(flows->flows);
    flows->held = (struct mw_flow_size){0};
    g_hash_table_remove_all(flows->zones_out);
    g_hash_table_remove_all(flows->endpoint_records);
    mw_reset_flow_configs(&flows->configs);
}
