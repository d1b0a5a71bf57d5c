/*
 * flow-scheduler: the scheduler of flows as a whole: how it is created and
 * dropped, its clock and its status.
 */
#include <string.h>

#include "flow-account.h"
#include "flow-command-queue.h"
#include "flow-command.h"
#include "flow-config-versions.h"
#include "flow-doubt.h"
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
        const struct mw_flow_endpoint *endpoint = value;

        status->placements += endpoint->placements->len;
        status->runs_in_doubt += mw_count_runs_in_doubt(endpoint);
    }
    status->work_kinds = mw_count_work_kinds(flows->interference);
    status->interfering_pairs = mw_count_known_pairs(flows->interference);
    status->commands_waiting =
        mw_count_waiting_commands(&flows->command_queue);
    status->commands_in_flight = flows->command_queue.in_flight;
    status->command_window = flows->command_queue.window;
}
