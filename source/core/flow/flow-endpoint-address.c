/*
 * flow-endpoint-address: which endpoint an address belongs to.
 */
#include "flow-endpoint-address.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-late-start.h"
#include "flow-scheduler-state.h"

bool
mw_is_confirmed(const struct mw_flow_endpoint *endpoint)
{
    return endpoint->listed_generation == endpoint->generation;
}

/* The endpoint that has the address, if another one than this. */
static struct mw_flow_endpoint *
find_other_at(const struct mw_flows *flows, const struct mw_name *address,
              const struct mw_name *id)
{
    struct mw_flow_endpoint *other =
        g_hash_table_lookup(flows->by_address, address);

    if (!other || !other->registered || other->deregistered ||
        mw_name_equal(&other->id, id)) {
        return NULL;
    }
    return other;
}

bool
mw_is_superseded(struct mw_flows *flows, int64_t now_us,
                 const struct mw_flow_heartbeat *heartbeat)
{
    struct mw_flow_endpoint *other =
        find_other_at(flows, &heartbeat->address, &heartbeat->id);

    if (!other) {
        return false;
    }
    if (!mw_await_list(flows, now_us, other, "address")) {
        return false;
    }
    g_free(other->held_heartbeat);
    other->held_heartbeat = g_memdup2(heartbeat, sizeof *heartbeat);
    return true;
}

void
mw_set_address(struct mw_flows *flows, struct mw_flow_endpoint *endpoint,
               const struct mw_name *address)
{
    if (g_hash_table_lookup(flows->by_address, &endpoint->heartbeat.address) ==
        endpoint) {
        g_hash_table_remove(flows->by_address, &endpoint->heartbeat.address);
    }
    endpoint->heartbeat.address = *address;
    if (!find_other_at(flows, address, &endpoint->id)) {
        g_hash_table_replace(flows->by_address, &endpoint->heartbeat.address,
                             endpoint);
    }
}

void
mw_confirm_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                         struct mw_flow_endpoint *endpoint)
{
    struct mw_flow_endpoint *other =
        find_other_at(flows, &endpoint->heartbeat.address, &endpoint->id);

    if (other) {
        mw_void_outstanding_starts(other);
        mw_deregister_flow_endpoint(flows, now_us, other,
                                    "address_taken_over");
    }
    if (endpoint->registered &&
        g_hash_table_lookup(flows->by_address, &endpoint->heartbeat.address) !=
            endpoint) {
        mw_set_address(flows, endpoint, &endpoint->heartbeat.address);
    }
}

void
mw_settle_held_heartbeat(struct mw_flows *flows, int64_t now_us,
                         struct mw_flow_endpoint *endpoint)
{
    struct mw_flow_heartbeat *held;

    if (!endpoint->held_heartbeat ||
        (endpoint->is_contested && !endpoint->deregistered &&
         endpoint->renewal_failures == 0)) {
        return;
    }
    held = g_steal_pointer(&endpoint->held_heartbeat);
    if (endpoint->deregistered || endpoint->renewal_failures > 0) {
        mw_register_flow_endpoint(flows, now_us, held, "known");
    }
    g_free(held);
}
