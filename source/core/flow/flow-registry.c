/*
 * flow-registry: the replicated registry of endpoints.
 *
 * LOAD   a leader that fails while endpoints are at work.  The next leader
 *        would learn of them from their heartbeats, but these go to the old
 *        leader first and arrive seconds later, and until then nothing could
 *        be placed.  Changes of an endpoint's state are therefore recorded,
 *        and the next leader requests the lists of all recorded endpoints at
 *        once.
 *
 * The draining state of an endpoint is recorded before its heartbeat is
 * acknowledged; otherwise the next leader could still give it work.
 */
#include <string.h>

#include "flow-impl.h"

/* the record of an endpoint without runs and contact is kept so long */
#define ENDPOINT_RETENTION_US INT64_C(60000000)

static const struct mw_flow_heartbeat *
recorded_heartbeat(const struct mw_flows *flows, const struct mw_name *id)
{
    const struct mw_record *record =
        g_hash_table_lookup(flows->endpoint_records, id);

    return record ? record->endpoint.heartbeat : NULL;
}

static bool
same_endpoint_state(const struct mw_flow_heartbeat *a,
                    const struct mw_flow_heartbeat *b)
{
    return a && a->incarnation == b->incarnation && a->draining == b->draining;
}

static bool
propose_endpoint_record(struct mw_flows *flows,
                        const struct mw_flow_heartbeat *heartbeat, bool gone)
{
    struct mw_record *record = mw_new_record(MW_RECORD_ENDPOINT);
    int err;

    record->endpoint.heartbeat = g_memdup2(heartbeat, sizeof *heartbeat);
    record->endpoint.heartbeat->seq = 0;
    record->endpoint.heartbeat->clock_us = 0;
    record->endpoint.gone = gone;
    err = flows->output.propose(flows->output.opaque, record);
    mw_drop_record(record);
    return err == 0;
}

bool
mw_flow_endpoint_is_recorded(const struct mw_flows *flows,
                             const struct mw_flow_endpoint *endpoint)
{
    return same_endpoint_state(recorded_heartbeat(flows, &endpoint->id),
                               &endpoint->heartbeat);
}

bool
mw_propose_flow_endpoint(struct mw_flows *flows,
                         struct mw_flow_endpoint *endpoint)
{
    if (mw_flow_endpoint_is_recorded(flows, endpoint) ||
        (endpoint->record_pending &&
         endpoint->pending_draining == endpoint->heartbeat.draining)) {
        return true;
    }
    if (!propose_endpoint_record(flows, &endpoint->heartbeat, false)) {
        return false;
    }
    endpoint->record_pending = true;
    endpoint->pending_draining = endpoint->heartbeat.draining;
    return true;
}

void
mw_propose_flow_endpoint_removal(struct mw_flows *flows,
                                 const struct mw_flow_endpoint *endpoint)
{
    const struct mw_flow_heartbeat *heartbeat =
        recorded_heartbeat(flows, &endpoint->id);

    if (heartbeat) {
        propose_endpoint_record(flows, heartbeat, true);
    }
}

void
mw_remove_stale_endpoint_records(struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_flow_endpoint *endpoint = value;

        if (endpoint->placements->len == 0 &&
            now_us - endpoint->last_contact_us > ENDPOINT_RETENTION_US) {
            endpoint->record_pending = false;
            mw_propose_flow_endpoint_removal(flows, endpoint);
        }
    }
}

void
mw_apply_flow_endpoint(struct mw_flows *flows, struct mw_record *record)
{
    const struct mw_flow_heartbeat *heartbeat = record->endpoint.heartbeat;
    const struct mw_flow_heartbeat *recorded =
        recorded_heartbeat(flows, &heartbeat->id);
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &heartbeat->id);

    if (endpoint && endpoint->incarnation == heartbeat->incarnation) {
        endpoint->record_pending = false;
    }
    if (recorded && recorded->incarnation > heartbeat->incarnation) {
        return;
    }
    if (record->endpoint.gone) {
        g_hash_table_remove(flows->endpoint_records, &heartbeat->id);
        return;
    }
    g_hash_table_replace(flows->endpoint_records,
                         &record->endpoint.heartbeat->id,
                         mw_keep_record(record));
    /* a record of an earlier leader that has been committed only now */
    if (flows->is_leader &&
        (!endpoint || endpoint->incarnation < heartbeat->incarnation)) {
        mw_register_flow_endpoint(flows, flows->now_us, heartbeat, "recalled");
    }
}

void
mw_restore_flow_endpoints(struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->endpoint_records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_record *record = value;

        mw_register_flow_endpoint(flows, now_us, record->endpoint.heartbeat,
                                  "recalled");
    }
}

static gint
by_id(gconstpointer a, gconstpointer b)
{
    const struct mw_record *x = *(const struct mw_record *const *)a;
    const struct mw_record *y = *(const struct mw_record *const *)b;

    return memcmp(&x->endpoint.heartbeat->id, &y->endpoint.heartbeat->id,
                  sizeof x->endpoint.heartbeat->id);
}

void
mw_snapshot_flow_endpoints(const struct mw_flows *flows, void *out,
                           void (*add)(void *out, struct mw_record *record))
{
    GPtrArray *all = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->endpoint_records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(all, value);
    }
    g_ptr_array_sort(all, by_id);
    for (guint i = 0; i < all->len; i++) {
        add(out, all->pdata[i]);
    }
    g_ptr_array_unref(all);
}
