/*
 * flow-takeover: the start and the end of leadership.
 *
 * A new leader adds placements for the runs in the log, and learns from the
 * lists of their endpoints what became of them.
 */
#include "flow-command-queue.h"
#include "flow-command.h"
#include "flow-config-versions.h"
#include "flow-crash.h"
#include "flow-doubt.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-late-start.h"
#include "flow-pending-request.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-registry.h"
#include "flow-scheduler-state.h"
#include "flow-silence.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "interference.h"
#include "mimosawind/flow.h"

/*
 * Whether a run of the gang is over, and recorded so for some of its tasks
 * only: the earlier leader was about to stop the others.
 */
static bool
is_partly_over(const struct mw_task_group *group)
{
    uint32_t assigned = 0;

    for (uint32_t i = 0; group->step->gang && i < group->step->count; i++) {
        assigned += group->tasks[i].state == MW_TASK_ASSIGNED;
    }
    return assigned > 0 && assigned < group->step->count;
}

static void
restore_task_group(struct mw_flows *flows, int64_t now_us,
                   struct mw_task_group *group)
{
    bool partly_over = is_partly_over(group);

    for (uint32_t i = 0; i < group->step->count; i++) {
        struct mw_flow_task *task = &group->tasks[i];
        struct mw_flow_endpoint *endpoint;
        struct mw_task_placement *placement;

        if (task->state != MW_TASK_ASSIGNED) {
            continue;
        }
        endpoint = mw_find_flow_endpoint(flows, &task->endpoint);
        if (!endpoint) {
            endpoint = mw_add_flow_endpoint(flows, now_us, &task->endpoint,
                                            task->incarnation);
        }
        endpoint->incarnation = MAX(endpoint->incarnation, task->incarnation);
        mw_recall_silence(flows, now_us, endpoint);
        placement = mw_add_task_placement(flows, endpoint, group, i, task->run,
                                          MW_PLACEMENT_UNKNOWN);
        placement->started_us = now_us;
        placement->is_taken_over = true;
        placement->was_partly_over = partly_over;
        mw_note_earlier_start(flows, placement, now_us);
        mw_recall_blame(placement);
    }
    if (partly_over) {
        mw_stop_task_group(flows, now_us, group);
    }
}

/*
 * Adds placements for the runs that earlier leaders recorded, also of flows
 * that have ended, whose runs may not have been stopped yet.  The endpoints'
 * lists will show what became of them.
 */
static void
restore_placements(struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->flows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_flow *flow = value;

        for (uint32_t u = 0; u < flow->group_count; u++) {
            restore_task_group(flows, now_us, &flow->groups[u]);
        }
    }
}

/* Drops endpoints, placements and pending commands. */
static void
clear_leader_state(struct mw_flows *flows)
{
    mw_clear_flow_endpoints(flows);
    mw_clear_interference(flows->interference);
    mw_clear_command_queue(&flows->command_queue);
    g_hash_table_remove_all(flows->pending_commands);
    for (guint f = 0; f < flows->active->len; f++) {
        struct mw_flow *flow = flows->active->pdata[f];

        flow->end_proposed = false;
        for (uint32_t u = 0; u < flow->group_count; u++) {
            flow->groups[u].ready_us = 0;
            flow->groups[u].guaranteed_us = 0;
            flow->groups[u].preemption_deadline_us = 0;
            flow->groups[u].reserved_count = 0;
            flow->groups[u].idle_since_us = 0;
            flow->groups[u].rate = (struct mw_step_rate){0};
            flow->groups[u].capped_us = 0;
            flow->groups[u].capped_until_us = 0;
            for (uint32_t i = 0; i < flow->groups[u].step->count; i++) {
                flow->groups[u].tasks[i].uncommitted_records = 0;
                flow->groups[u].tasks[i].awaits_late_start = false;
                flow->groups[u].tasks[i].unrecorded_crash_score = 0;
                flow->groups[u].tasks[i].is_failure_proposed = false;
                flow->groups[u].tasks[i].stalls = 0;
            }
        }
    }
}

void
mw_flows_set_leadership(struct mw_flows *flows, int64_t now_us, bool is_leader,
                        uint64_t fence)
{
    if (flows->is_leader == is_leader &&
        (!is_leader || flows->fence == fence)) {
        return;
    }
    if (flows->is_leader) {
        mw_fail_flow_requests(flows);
    }
    clear_leader_state(flows);
    mw_forget_validated_configs(&flows->configs);
    flows->is_leader = is_leader;
    flows->suspended = false;
    flows->fence = fence;
    flows->now_us = now_us;
    if (is_leader) {
        flows->earlier_clock = flows->clock;
        mw_learn_flow_clock(&flows->clock, now_us, fence,
                            mw_flow_clock_time(&flows->clock, now_us));
    }
    flows->last_generation = 0;
    flows->last_restart_us = 0;
    flows->leads_since_us = now_us;
    flows->proposed_version = mw_flows_config_version(flows);
    flows->tick_deadline_us = is_leader ? now_us : INT64_MAX;
    if (is_leader) {
        restore_placements(flows, now_us);
        mw_restore_flow_endpoints(flows, now_us);
        mw_report_takeover(flows, now_us);
        flows->dirty = true;
    }
}

void
mw_flows_set_suspended(struct mw_flows *flows, bool suspended)
{
    flows->suspended = suspended;
    flows->dirty = true;
}
