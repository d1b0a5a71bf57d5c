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
 *
 * LOAD   endpoints whose capacity changes with every heartbeat.  A capacity
 *        that has shrunk is recorded at once, one that has grown only once in
 *        a while.  If it shrinks again soon it is recorded as nothing, which
 *        needs no further records: the next leader waits for a heartbeat.
 *        So is the capacity of an endpoint that has not been heard of for too
 *        long: it may have shrunk since.
 *
 * LOAD   endpoints of unequal speed, and leaders that change.  A leader needs
 *        many seconds to learn which endpoints are slow, so that an estimate
 *        is recorded when the class that follows from it has changed, or when
 *        it has become much more certain.
 */
#include <string.h>

#include "endpoint-speed.h"
#include "flow-capacity.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-event.h"
#include "flow-registry.h"
#include "flow-scheduler-state.h"
#include "flow-silence.h"
#include "flow-speed.h"

/* the record of an endpoint without runs and contact is kept so long */
#define ENDPOINT_RETENTION_US INT64_C(60000000)
/* a capacity that changes is recorded as it is once in so long */
#define CAPACITY_INTERVAL_US INT64_C(10000000)
/* records for changed speeds in one round of maintenance */
#define SPEED_RECORDS_MAX 32

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

static struct mw_record *
new_endpoint_record(const struct mw_flow_heartbeat *heartbeat,
                    const struct mw_speed_record *speed)
{
    struct mw_record *record = mw_new_record(MW_RECORD_ENDPOINT);

    record->endpoint.heartbeat = g_memdup2(heartbeat, sizeof *heartbeat);
    record->endpoint.heartbeat->seq = 0;
    record->endpoint.heartbeat->clock_us = 0;
    record->endpoint.speed = *speed;
    return record;
}

/* Proposes the record and drops it. */
static bool
propose(struct mw_flows *flows, struct mw_record *record)
{
    int err;

    record->endpoint.clock_term = flows->fence;
    record->endpoint.clock_us =
        mw_flow_clock_time(&flows->clock, flows->now_us);
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

/* The capacity that the log holds, or will hold. */
static struct mw_flow_resources
recorded_capacity(const struct mw_flows *flows,
                  const struct mw_flow_endpoint *endpoint)
{
    return endpoint->record_pending
               ? endpoint->pending_total
               : recorded_heartbeat(flows, &endpoint->id)->total;
}

static bool
is_within(const struct mw_flow_resources *a, const struct mw_flow_resources *b)
{
    return a->cpu <= b->cpu && a->memory_mb <= b->memory_mb &&
           a->gpus <= b->gpus;
}

/* Whether to record the capacity of an endpoint that is recorded otherwise. */
static bool
must_record_capacity(const struct mw_flows *flows, int64_t now_us,
                     const struct mw_flow_endpoint *endpoint)
{
    const struct mw_flow_resources *total = &endpoint->heartbeat.total;
    struct mw_flow_resources recorded = recorded_capacity(flows, endpoint);

    if (!is_within(&recorded, total)) {
        return true;
    }
    return !is_within(total, &recorded) &&
           now_us >= endpoint->capacity_record_deadline_us;
}

static void
emit_capacity_event(struct mw_flows *flows, int64_t now_us,
                    const struct mw_flow_endpoint *endpoint)
{
    struct mw_flow_resources recorded = recorded_capacity(flows, endpoint);
    const char *outcome = "grown";

    if (now_us < endpoint->capacity_record_deadline_us) {
        outcome = "unsteady";
    }
    else if (!is_within(&recorded, &endpoint->heartbeat.total)) {
        outcome = "shrunk";
    }
    mw_emit_flow_endpoint_event(flows, "endpoint_capacity", endpoint, outcome,
                                0);
}

static bool
propose_state_and_silence(struct mw_flows *flows, int64_t now_us,
                          struct mw_flow_endpoint *endpoint,
                          int64_t silent_since_us, int64_t ended_silence_us)
{
    struct mw_flow_heartbeat heartbeat = endpoint->heartbeat;
    struct mw_speed_record speed = mw_record_endpoint_speed(&endpoint->speed);
    struct mw_record *record;

    if (now_us < endpoint->capacity_record_deadline_us ||
        !mw_endpoint_capacity_counts(endpoint, now_us)) {
        heartbeat.total = (struct mw_flow_resources){0};
    }
    record = new_endpoint_record(&heartbeat, &speed);
    record->endpoint.silent_since_us = silent_since_us;
    record->endpoint.ended_silence_us = ended_silence_us;
    if (!propose(flows, record)) {
        return false;
    }
    endpoint->record_pending = true;
    endpoint->pending_draining = heartbeat.draining;
    endpoint->pending_total = heartbeat.total;
    return true;
}

bool
mw_propose_silence(struct mw_flows *flows, int64_t now_us,
                   struct mw_flow_endpoint *endpoint)
{
    return propose_state_and_silence(flows, now_us, endpoint,
                                     endpoint->silent_since_us, 0);
}

bool
mw_propose_end_of_silence(struct mw_flows *flows, int64_t now_us,
                          struct mw_flow_endpoint *endpoint)
{
    return propose_state_and_silence(flows, now_us, endpoint, 0,
                                     endpoint->silent_since_us);
}

/* A record behind the one that ends the silence must not begin it again. */
static bool
propose_state(struct mw_flows *flows, int64_t now_us,
              struct mw_flow_endpoint *endpoint)
{
    return endpoint->awaits_heard_record
               ? mw_propose_end_of_silence(flows, now_us, endpoint)
               : mw_propose_silence(flows, now_us, endpoint);
}

bool
mw_propose_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                         struct mw_flow_endpoint *endpoint)
{
    if (!mw_flow_endpoint_is_recorded(flows, endpoint) &&
        !(endpoint->record_pending &&
          endpoint->pending_draining == endpoint->heartbeat.draining)) {
        return propose_state(flows, now_us, endpoint);
    }
    if (!must_record_capacity(flows, now_us, endpoint)) {
        return true;
    }
    emit_capacity_event(flows, now_us, endpoint);
    if (!propose_state(flows, now_us, endpoint)) {
        return false;
    }
    endpoint->capacity_record_deadline_us = MAX(
        endpoint->capacity_record_deadline_us, now_us + CAPACITY_INTERVAL_US);
    return true;
}

/* Whether the log holds a capacity that this leader no longer counts on. */
static bool
has_outdated_record(const struct mw_flows *flows, int64_t now_us,
                    const struct mw_flow_endpoint *endpoint)
{
    static const struct mw_flow_resources nothing;
    const struct mw_flow_heartbeat *recorded =
        recorded_heartbeat(flows, &endpoint->id);

    return endpoint->registered && !endpoint->deregistered &&
           !endpoint->record_pending &&
           same_endpoint_state(recorded, &endpoint->heartbeat) &&
           !is_within(&recorded->total, &nothing) &&
           !mw_endpoint_capacity_counts(endpoint, now_us);
}

void
mw_record_unheard_capacities(struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_flow_endpoint *endpoint = value;

        if (has_outdated_record(flows, now_us, endpoint)) {
            mw_emit_flow_endpoint_event(flows, "endpoint_capacity", endpoint,
                                        "unheard",
                                        now_us - endpoint->last_contact_us);
            propose_state(flows, now_us, endpoint);
        }
    }
}

/*
 * Whether the log has another class of the endpoint's speed than this leader,
 * or a much less certain estimate: the next leader compares all of them.  A
 * capacity that changes often is recorded as nothing meanwhile, and such a
 * record would be renewed for the speed.
 */
static bool
has_outdated_speed(const struct mw_flows *flows, int64_t now_us,
                   const struct mw_flow_endpoint *endpoint)
{
    const struct mw_record *record =
        g_hash_table_lookup(flows->endpoint_records, &endpoint->id);
    struct mw_speed_record wanted = mw_record_endpoint_speed(&endpoint->speed);
    struct mw_endpoint_speed recorded;
    struct mw_endpoint_speed recordable;

    if (!mw_has_unequal_speeds(flows) || !record || !endpoint->registered ||
        endpoint->deregistered || endpoint->record_pending ||
        now_us < endpoint->capacity_record_deadline_us ||
        !mw_endpoint_capacity_counts(endpoint, now_us) ||
        !same_endpoint_state(record->endpoint.heartbeat,
                             &endpoint->heartbeat)) {
        return false;
    }
    recorded = mw_recall_endpoint_speed(&record->endpoint.speed, now_us);
    /* a record is less certain than the estimate, and may be of another class
     */
    recordable = mw_recall_endpoint_speed(&wanted, now_us);
    return mw_is_speed_more_certain(&recorded, &recordable) ||
           mw_classify_endpoint_speed(&recorded, &flows->speed_mean) !=
               mw_classify_endpoint_speed(&recordable, &flows->speed_mean);
}

static void
emit_speed_event(struct mw_flows *flows,
                 const struct mw_flow_endpoint *endpoint)
{
    static const char *const outcomes[] = {"slow", "normal", "fast"};

    mw_emit_flow_endpoint_event(
        flows, "endpoint_speed", endpoint,
        outcomes[mw_flow_endpoint_speed(flows, endpoint)], 0);
}

void
mw_record_endpoint_speeds(struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t proposed = 0;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (proposed < SPEED_RECORDS_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        if (has_outdated_speed(flows, now_us, value)) {
            proposed++;
            if (propose_state(flows, now_us, value)) {
                emit_speed_event(flows, value);
            }
        }
    }
}

void
mw_propose_flow_endpoint_removal(struct mw_flows *flows,
                                 const struct mw_flow_endpoint *endpoint)
{
    static const struct mw_speed_record unknown;
    const struct mw_flow_heartbeat *heartbeat =
        recorded_heartbeat(flows, &endpoint->id);

    if (heartbeat) {
        struct mw_record *record = new_endpoint_record(heartbeat, &unknown);

        record->endpoint.gone = true;
        propose(flows, record);
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

static void
recall_speed(struct mw_flows *flows, int64_t now_us,
             const struct mw_record *record)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &record->endpoint.heartbeat->id);

    if (endpoint) {
        endpoint->speed =
            mw_recall_endpoint_speed(&record->endpoint.speed, now_us);
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

    /* silences are counted on the clock of the leader that recorded them */
    mw_learn_flow_clock(&flows->clock, flows->now_us,
                        record->endpoint.clock_term,
                        record->endpoint.clock_us);
    if (endpoint && endpoint->incarnation == heartbeat->incarnation) {
        endpoint->record_pending = false;
    }
    if (recorded && recorded->incarnation > heartbeat->incarnation) {
        if (endpoint) {
            /* if it was to end a silence, that is recorded again */
            endpoint->awaits_heard_record = false;
        }
        return;
    }
    if (endpoint && flows->is_leader) {
        mw_apply_silence(endpoint, &record->endpoint);
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
        recall_speed(flows, flows->now_us, record);
    }
    else if (flows->is_leader && !mw_endpoint_is_heard(endpoint) &&
             endpoint->incarnation == heartbeat->incarnation) {
        endpoint->heartbeat.total = heartbeat->total;
    }
}

void
mw_restore_flow_endpoints(struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    struct mw_flow_endpoint *endpoint;

    g_hash_table_iter_init(&iter, flows->endpoint_records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_record *record = value;

        mw_register_flow_endpoint(flows, now_us, record->endpoint.heartbeat,
                                  "recalled");
        recall_speed(flows, now_us, record);
        endpoint =
            mw_find_flow_endpoint(flows, &record->endpoint.heartbeat->id);
        if (endpoint) {
            mw_recall_silence(flows, now_us, endpoint);
        }
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
