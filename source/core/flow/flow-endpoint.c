/*
 * flow-endpoint: registration of endpoints and their incarnations.
 */
#include "flow-account.h"
#include "flow-capacity.h"
#include "flow-command.h"
#include "flow-crash.h"
#include "flow-endpoint-address.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-event.h"
#include "flow-late-start.h"
#include "flow-lease.h"
#include "flow-pending-request.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-quota.h"
#include "flow-run-end.h"
#include "flow-registry.h"
#include "flow-scheduler-state.h"
#include "flow-silence.h"
#include "mimosawind/flow.h"

#define GENERATION_MAX ((UINT32_C(1) << MW_GENERATION_BITS) - 1)

static const struct mw_str rack_prefix = {"r", 1};

void
mw_drop_flow_endpoint(void *data)
{
    struct mw_flow_endpoint *endpoint = data;

    g_ptr_array_unref(endpoint->placements);
    mw_drop_late_starts(endpoint);
    mw_drop_grants(endpoint);
    g_free(endpoint->held_heartbeat);
    g_free(endpoint);
}

void
mw_clear_flow_endpoints(struct mw_flows *flows)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_flow_endpoint *endpoint = value;

        while (endpoint->placements->len > 0) {
            mw_free_task_placement(flows, endpoint->placements->pdata[0]);
        }
        mw_forget_stray_runs(flows, endpoint);
    }
    g_hash_table_remove_all(flows->by_address);
    g_ptr_array_set_size(flows->by_rack, 0);
    flows->is_rack_order_stale = true;
    g_hash_table_remove_all(flows->endpoints);
}

struct mw_flow_endpoint *
mw_add_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                     const struct mw_name *id, uint64_t incarnation)
{
    struct mw_flow_endpoint *endpoint = g_new0(struct mw_flow_endpoint, 1);

    endpoint->id = *id;
    endpoint->incarnation = incarnation;
    endpoint->placements = g_ptr_array_new();
    endpoint->last_contact_us = now_us;
    mw_begin_generation(flows, endpoint);
    g_hash_table_insert(flows->endpoints, &endpoint->id, endpoint);
    flows->is_rack_order_stale = true;
    return endpoint;
}

void
mw_begin_generation(struct mw_flows *flows, struct mw_flow_endpoint *endpoint)
{
    if (flows->last_generation < GENERATION_MAX) {
        flows->last_generation++;
    }
    endpoint->generation = flows->last_generation;
}

void
mw_lose_endpoint_runs(struct mw_flows *flows, int64_t now_us,
                      struct mw_flow_endpoint *endpoint, const char *reason)
{
    mw_emit_flow_endpoint_event(flows, "endpoint_gone", endpoint, reason,
                                now_us - endpoint->last_contact_us);
    mw_forget_stray_runs(flows, endpoint);
    while (endpoint->placements->len > 0) {
        mw_lose_run(flows, now_us,
                    endpoint->placements->pdata[endpoint->placements->len - 1],
                    reason);
    }
    flows->dirty = true;
}

/*
 * Leaves it to the next list whether the process that is there now executes
 * the run.
 */
static void
await_run(struct mw_task_placement *placement, int64_t now_us)
{
    if (placement->start_in_flight) {
        mw_note_unanswered_start(placement, placement->start_sent_us);
    }
    if (placement->phase == MW_PLACEMENT_STOPPED) {
        placement->phase = MW_PLACEMENT_STOPPING;
    }
    else if (placement->phase != MW_PLACEMENT_STOPPING) {
        placement->phase = MW_PLACEMENT_UNKNOWN;
    }
    placement->command_pending = false;
    placement->last_listed_us = 0;
    placement->identified_us = 0;
    placement->started_us = 0;
    placement->retry_deadline_us = now_us;
}

/*
 * All runs of the old incarnation are over.  But a start that no list has
 * confirmed may have been executed by the new incarnation, since commands
 * identify an endpoint by its identifier only.
 */
static void
end_incarnation(struct mw_flows *flows, int64_t now_us,
                struct mw_flow_endpoint *endpoint)
{
    GPtrArray *placements = g_ptr_array_copy(endpoint->placements, NULL, NULL);

    mw_emit_flow_endpoint_event(flows, "endpoint_gone", endpoint,
                                "started_anew",
                                now_us - endpoint->last_contact_us);
    mw_blame_restart(flows, now_us, endpoint);
    for (guint i = 0; i < placements->len; i++) {
        struct mw_task_placement *placement = placements->pdata[i];

        if (!g_ptr_array_find(endpoint->placements, placement, NULL)) {
            continue;
        }
        if (!mw_run_is_unsent(placement) &&
            mw_may_run_unidentified(placement)) {
            await_run(placement, now_us);
        }
        else {
            mw_lose_run(flows, now_us, placement, "started_anew");
        }
    }
    g_ptr_array_unref(placements);
    mw_forget_stray_runs(flows, endpoint);
    /* of commands that are on their way */
    mw_note_unidentified_grant(endpoint, now_us + MW_LATE_EXECUTION_US);
    flows->dirty = true;
}

void
mw_deregister_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                            struct mw_flow_endpoint *endpoint,
                            const char *reason)
{
    mw_lose_endpoint_runs(flows, now_us, endpoint, reason);
    if (endpoint->is_leaving) {
        mw_end_late_starts(endpoint, now_us);
    }
    endpoint->deregistered = true;
    endpoint->has_left = endpoint->is_leaving;
    endpoint->is_leaving = false;
    endpoint->record_pending = false;
    endpoint->last_contact_us = now_us;
    mw_propose_flow_endpoint_removal(flows, endpoint);
}

/*
 * An endpoint has two labels, its kind and its rack.  The name of a rack is r,
 * a part of the region and a number.
 */
static void
set_rack(struct mw_flows *flows, struct mw_flow_endpoint *endpoint)
{
    struct mw_name old = endpoint->rack;

    endpoint->rack = (struct mw_name){0};
    for (uint32_t i = 0; i < endpoint->heartbeat.label_count; i++) {
        const struct mw_name *label = &endpoint->heartbeat.labels[i];

        if (label->len > 1 && label->ptr[0] == rack_prefix.ptr[0]) {
            endpoint->rack = *label;
        }
    }
    flows->is_rack_order_stale |= !mw_name_equal(&old, &endpoint->rack);
}

void
mw_contest_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                         struct mw_flow_endpoint *endpoint,
                         const char *evidence)
{
    if (!endpoint->is_contested) {
        flows->counters.contests++;
        mw_emit_flow_endpoint_event(flows, "endpoint_contested", endpoint,
                                    evidence,
                                    now_us - endpoint->last_contact_us);
    }
    if (!endpoint->is_contested) {
        /* the renewal on its way may wait for an end, or for a process that
         * has ended */
        endpoint->renewal_pending = false;
    }
    endpoint->is_contested = true;
    endpoint->renewal_deadline_us = MIN(endpoint->renewal_deadline_us, now_us);
}

bool
mw_await_list(struct mw_flows *flows, int64_t now_us,
              struct mw_flow_endpoint *endpoint, const char *evidence)
{
    if (endpoint->deregistered || endpoint->renewal_failures > 0) {
        return false;
    }
    mw_contest_flow_endpoint(flows, now_us, endpoint, evidence);
    return true;
}

/*
 * Whether its present process was only announced, and no such process was
 * found: an earlier heartbeat may be that of the true one.
 */
static bool
is_unproven(const struct mw_flow_endpoint *endpoint)
{
    return !mw_is_confirmed(endpoint) && endpoint->placements->len == 0 &&
           !endpoint->heartbeat.draining &&
           (endpoint->deregistered || endpoint->renewal_failures > 0);
}

/*
 * Whether the heartbeat says nothing new: it is older than the last one, of an
 * endpoint that is gone, or of another incarnation than the one that is at
 * work.  An endpoint that says ready after it said that it leaves is not gone:
 * the message came from an earlier incarnation.
 */
static bool
is_outdated(struct mw_flows *flows, int64_t now_us,
            struct mw_flow_endpoint *endpoint,
            const struct mw_flow_heartbeat *heartbeat)
{
    if (heartbeat->incarnation < endpoint->incarnation) {
        if (is_unproven(endpoint)) {
            return false;
        }
        mw_await_list(flows, now_us, endpoint, "earlier_heartbeat");
        return true;
    }
    if (heartbeat->incarnation > endpoint->incarnation &&
        !endpoint->registered && endpoint->placements->len > 0) {
        /* known from its runs alone; a list can be requested there now */
        mw_set_address(flows, endpoint, &heartbeat->address);
        endpoint->registered = true;
        mw_await_list(flows, now_us, endpoint, "later_heartbeat");
        return true;
    }
    if (heartbeat->incarnation > endpoint->incarnation) {
        return endpoint->placements->len > 0 &&
               mw_await_list(flows, now_us, endpoint, "later_heartbeat");
    }
    if (endpoint->deregistered &&
        (!endpoint->has_left || heartbeat->draining)) {
        return true;
    }
    return endpoint->registered && heartbeat->seq <= endpoint->heartbeat.seq;
}

static void
begin_incarnation(struct mw_flows *flows, struct mw_flow_endpoint *endpoint,
                  uint64_t incarnation)
{
    endpoint->incarnation = incarnation;
    mw_begin_generation(flows, endpoint);
    endpoint->heartbeat.draining = false;
    endpoint->has_left = false;
    endpoint->is_contested = false;
    endpoint->awaiting_heartbeat = false;
    endpoint->registered = true;
    endpoint->deregistered = false;
    endpoint->is_leaving = false;
    endpoint->seen_end = 0;
    endpoint->committed_end = 0;
    endpoint->acknowledged_end = 0;
    endpoint->uncommitted_ends = 0;
    endpoint->clock_read_us = 0;
    endpoint->renewal_granted_us = 0;
    endpoint->renewal_failures = 0;
    endpoint->prior_grant_deadline_us = 0;
    endpoint->connection_lost_us = 0;
    endpoint->has_crashed = false;
    endpoint->list_read = false;
    endpoint->unknown_runs = 0;
    endpoint->consecutive_failures = 0;
    endpoint->quarantine_deadline_us = 0;
    endpoint->renewal_pending = false;
    endpoint->renewal_deadline_us = 0;
    endpoint->record_pending = false;
    endpoint->largest_total = (struct mw_flow_resources){0};
    endpoint->capacity_record_deadline_us = 0;
}

static void
store_heartbeat(struct mw_flows *flows, int64_t now_us,
                struct mw_flow_endpoint *endpoint,
                const struct mw_flow_heartbeat *heartbeat)
{
    bool was_draining = endpoint->heartbeat.draining;

    mw_set_address(flows, endpoint, &heartbeat->address);
    endpoint->heartbeat = *heartbeat;
    /* an earlier heartbeat may come later: a record does not number it */
    endpoint->heartbeat.draining |= was_draining;
    endpoint->awaiting_heartbeat = false;
    endpoint->last_contact_us = now_us;
    /* the message that it leaves came from an earlier incarnation */
    endpoint->is_leaving &= heartbeat->draining;
    set_rack(flows, endpoint);
    mw_note_endpoint_capacity(endpoint, now_us, heartbeat);
    if (heartbeat->draining && !was_draining) {
        mw_emit_flow_endpoint_event(flows, "endpoint_draining", endpoint,
                                    "noted", 0);
    }
    flows->dirty = true;
}

void
mw_register_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                          const struct mw_flow_heartbeat *heartbeat,
                          const char *outcome)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &heartbeat->id);

    /* a list may be due now */
    flows->dirty = true;
    if (endpoint && is_outdated(flows, now_us, endpoint, heartbeat)) {
        return;
    }
    if (mw_is_superseded(flows, now_us, heartbeat)) {
        return;
    }
    if (!endpoint) {
        endpoint = mw_add_flow_endpoint(flows, now_us, &heartbeat->id,
                                        heartbeat->incarnation);
    }
    else if (endpoint->incarnation != heartbeat->incarnation) {
        if (endpoint->incarnation > heartbeat->incarnation) {
            /* the record of the one that was only announced */
            mw_propose_flow_endpoint_removal(flows, endpoint);
        }
        end_incarnation(flows, now_us, endpoint);
        begin_incarnation(flows, endpoint, heartbeat->incarnation);
    }
    if (!endpoint->registered || endpoint->deregistered) {
        begin_incarnation(flows, endpoint, heartbeat->incarnation);
        mw_emit_flow_endpoint_event(flows, "endpoint_found", endpoint, outcome,
                                    0);
    }
    store_heartbeat(flows, now_us, endpoint, heartbeat);
}

void
mw_flow_endpoint_restarted(struct mw_flows *flows, int64_t now_us,
                           struct mw_flow_endpoint *endpoint,
                           uint64_t incarnation)
{
    end_incarnation(flows, now_us, endpoint);
    begin_incarnation(flows, endpoint, incarnation);
    endpoint->heartbeat.seq = 0;
    endpoint->awaiting_heartbeat = true;
}

/*
 * The endpoint gets no more work and is asked for its list until its process
 * has ended.  The message names no incarnation: it may be late and come from
 * an earlier one, and the runs that are at work now must not be given up.
 */
static void
handle_leave(struct mw_flows *flows, int64_t now_us, const struct mw_name *id)
{
    struct mw_flow_endpoint *endpoint = mw_find_flow_endpoint(flows, id);

    if (!endpoint || endpoint->deregistered) {
        return;
    }
    endpoint->is_leaving = true;
    endpoint->renewal_deadline_us = now_us;
    flows->dirty = true;
}

void
mw_settle_leave(struct mw_flows *flows, int64_t now_us,
                struct mw_flow_endpoint *endpoint, enum mw_flow_result result)
{
    if (!endpoint->is_leaving || endpoint->deregistered) {
        return;
    }
    if (result == MW_FLOW_NO_PROCESS ||
        (result != MW_FLOW_DONE && endpoint->placements->len == 0)) {
        mw_deregister_flow_endpoint(flows, now_us, endpoint, "left");
    }
    else if (endpoint->placements->len == 0) {
        endpoint->renewal_deadline_us = now_us + MW_RENEWAL_RETRY_US;
    }
}

/*
 * Whether the heartbeat is of an endpoint that may get work, or has had some:
 * its service is in the configuration, or it is known by this service, or
 * there were flows for it.
 */
static bool
names_known_service(struct mw_flows *flows,
                    const struct mw_flow_heartbeat *heartbeat)
{
    const struct mw_flow_config *config = mw_get_flow_config(&flows->configs);
    const struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &heartbeat->id);

    return !config ||
           mw_flow_config_has_service(config, &heartbeat->service) ||
           (endpoint && endpoint->registered &&
            mw_name_equal(&endpoint->heartbeat.service,
                          &heartbeat->service)) ||
           mw_has_account_of_service(flows->accounts, &heartbeat->service);
}

int
mw_flows_handle_heartbeat(struct mw_flows *flows, int64_t now_us,
                          const struct mw_flow_heartbeat *heartbeat,
                          uint64_t ref)
{
    struct mw_flow_endpoint *endpoint;
    struct mw_flow_pending_request pending = {
        .ref = ref, .kind = MW_FLOW_DRAIN, .name = heartbeat->id};

    flows->now_us = now_us;
    if (!flows->is_leader || flows->suspended) {
        return MW_ERR_NOT_LEADER;
    }
    if (heartbeat->leaving) {
        handle_leave(flows, now_us, &heartbeat->id);
        return 0;
    }
    if (!names_known_service(flows, heartbeat)) {
        flows->counters.foreign_heartbeats++;
        return 0;
    }
    mw_register_flow_endpoint(flows, now_us, heartbeat, "known");
    endpoint = mw_find_flow_endpoint(flows, &heartbeat->id);
    if (!endpoint || endpoint->deregistered ||
        endpoint->incarnation != heartbeat->incarnation) {
        return 0;
    }
    if (!mw_propose_flow_endpoint(flows, now_us, endpoint)) {
        return heartbeat->draining ? MW_ERR_OVERLOADED : 0;
    }
    if (!heartbeat->draining ||
        mw_flow_endpoint_is_recorded(flows, endpoint)) {
        return 0;
    }
    pending.received_us = now_us;
    g_array_append_val(flows->pending_requests, pending);
    return MW_ERR_PENDING;
}
