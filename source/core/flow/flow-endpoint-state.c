/*
 * flow-endpoint-state: what the leader knows of an endpoint.
 */
#include "flow-endpoint-state.h"

#include "flow-scheduler-state.h"

bool
mw_is_muted(const struct mw_flow_endpoint *endpoint)
{
    return endpoint->silent_since_us > 0;
}

struct mw_flow_endpoint *
mw_find_flow_endpoint(struct mw_flows *flows, const struct mw_name *id)
{
    return g_hash_table_lookup(flows->endpoints, id);
}

int64_t
mw_flow_endpoint_clock(const struct mw_flow_endpoint *endpoint, int64_t now_us)
{
    return endpoint->clock_us + (now_us - endpoint->clock_read_us);
}

void
mw_update_flow_endpoint_clock(struct mw_flow_endpoint *endpoint,
                              int64_t now_us, int64_t clock_us,
                              int64_t uncertainty_us)
{
    endpoint->clock_us = clock_us;
    endpoint->clock_read_us = now_us;
    endpoint->clock_uncertainty_us = uncertainty_us;
    endpoint->clock_incarnation = endpoint->incarnation;
}

bool
mw_flow_zone_is_out(const struct mw_flows *flows, const struct mw_name *zone)
{
    return g_hash_table_contains(flows->zones_out, zone);
}

bool
mw_flow_endpoint_has_label(const struct mw_flow_endpoint *endpoint,
                           const struct mw_name *label)
{
    for (uint32_t i = 0; i < endpoint->heartbeat.label_count; i++) {
        if (mw_name_equal(&endpoint->heartbeat.labels[i], label)) {
            return true;
        }
    }
    return false;
}

bool
mw_endpoint_capacity_counts(const struct mw_flow_endpoint *endpoint,
                            int64_t now_us)
{
    return now_us < endpoint->capacity_deadline_us;
}

bool
mw_flow_endpoint_is_usable(const struct mw_flows *flows,
                           const struct mw_flow_endpoint *endpoint,
                           int64_t now_us)
{
    return endpoint->registered && !endpoint->deregistered &&
           !endpoint->is_leaving && endpoint->list_read &&
           !mw_is_muted(endpoint) && !endpoint->awaiting_heartbeat &&
           !endpoint->is_contested && endpoint->unknown_runs == 0 &&
           !endpoint->heartbeat.draining && endpoint->renewal_failures == 0 &&
           mw_endpoint_capacity_counts(endpoint, now_us) &&
           now_us - endpoint->last_contact_us < MW_CONTACT_TIMEOUT_US &&
           now_us >= endpoint->quarantine_deadline_us &&
           !mw_flow_zone_is_out(flows, &endpoint->heartbeat.zone);
}
