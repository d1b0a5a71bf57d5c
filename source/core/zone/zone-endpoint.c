/*
 * zone-endpoint: announcements, leases, and the index of free accelerators.
 */
#include <string.h>

#include "zone-impl.h"

struct mw_resources
mw_endpoint_free(const struct mw_endpoint *e)
{
    return mw_resources_sub_saturating(&e->total, &e->used);
}

struct mw_resources
mw_endpoint_capacity(const struct mw_endpoint *e, enum mw_capacity capacity)
{
    struct mw_resources free = mw_endpoint_free(e);

    if (capacity == MW_CAPACITY_FREE) {
        return free;
    }
    struct mw_resources outside =
        mw_resources_sub_saturating(&e->total, &e->cells);

    outside = mw_resources_sub_saturating(&outside, &e->nonpreemptible);
    if (capacity == MW_CAPACITY_OUTSIDE_CELLS) {
        return outside;
    }
    return (struct mw_resources){
        .accelerators = MIN(free.accelerators, outside.accelerators),
        .slots = MIN(free.slots, outside.slots),
        .processors = MIN(free.processors, outside.processors),
        .memory_mb = MIN(free.memory_mb, outside.memory_mb),
    };
}

bool
mw_endpoint_usable(const struct mw_endpoint *e)
{
    return e->up && !e->draining;
}

static void
unlink_bucket(struct mw_zone *zone, struct mw_endpoint *e)
{
    if (e->bucket < 0) {
        return;
    }
    if (e->bucket_prev) {
        e->bucket_prev->bucket_next = e->bucket_next;
    }
    else {
        zone->bucket[e->bucket] = e->bucket_next;
    }
    if (e->bucket_next) {
        e->bucket_next->bucket_prev = e->bucket_prev;
    }
    e->bucket_prev = NULL;
    e->bucket_next = NULL;
}

static void
recount_rack(struct mw_rack *rack)
{
    rack->free_accelerators = 0;
    rack->total_accelerators = 0;
    for (guint i = 0; i < rack->endpoints->len; i++) {
        struct mw_endpoint *e = rack->endpoints->pdata[i];

        if (e->bucket >= 0) {
            rack->free_accelerators += mw_endpoint_free(e).accelerators;
        }
        if (mw_endpoint_usable(e)) {
            rack->total_accelerators += e->total.accelerators;
        }
    }
}

void
mw_index_endpoint(struct mw_zone *zone, struct mw_endpoint *e)
{
    struct mw_resources free = mw_endpoint_free(e);
    bool indexed = mw_endpoint_usable(e) && free.slots > 0;
    int bucket =
        indexed ? (int)MIN(free.accelerators, MW_ACCELERATORS_MAX) : -1;

    if (bucket != e->bucket) {
        unlink_bucket(zone, e);
        e->bucket = bucket;
        if (bucket >= 0) {
            e->bucket_next = zone->bucket[bucket];
            if (e->bucket_next) {
                e->bucket_next->bucket_prev = e;
            }
            zone->bucket[bucket] = e;
        }
    }
    recount_rack(e->rack);
}

static struct mw_rack *
get_rack(struct mw_zone *zone, const struct mw_name *name)
{
    for (guint i = 0; i < zone->racks->len; i++) {
        struct mw_rack *rack = zone->racks->pdata[i];

        if (mw_name_equal(&rack->name, name)) {
            return rack;
        }
    }
    struct mw_rack *rack = g_new0(struct mw_rack, 1);

    rack->name = *name;
    rack->endpoints = g_ptr_array_new();
    g_ptr_array_add(zone->racks, rack);
    return rack;
}

static struct mw_endpoint *
add_endpoint(struct mw_zone *zone, const struct mw_announcement *announce)
{
    struct mw_endpoint *e = g_new0(struct mw_endpoint, 1);

    e->name = announce->endpoint;
    e->bucket = -1;
    e->jobs = g_ptr_array_new();
    e->rack = get_rack(zone, &announce->rack);
    g_ptr_array_add(e->rack->endpoints, e);
    g_hash_table_insert(zone->endpoints, &e->name, e);
    g_ptr_array_add(zone->endpoint_list, e);
    return e;
}

static void
move_rack(struct mw_zone *zone, struct mw_endpoint *e,
          const struct mw_name *name)
{
    if (mw_name_equal(&e->rack->name, name)) {
        return;
    }
    g_ptr_array_remove(e->rack->endpoints, e);
    recount_rack(e->rack);
    e->rack = get_rack(zone, name);
    g_ptr_array_add(e->rack->endpoints, e);
}

/* The parts on this endpoint are lost; permanent: it has restarted. */
static void
lose_parts_on(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
              struct mw_endpoint *e, bool permanent)
{
    GPtrArray *jobs = g_ptr_array_copy(e->jobs, NULL, NULL);

    for (guint i = 0; i < jobs->len; i++) {
        struct mw_job *job = jobs->pdata[i];
        struct mw_attempt_part *part = mw_find_part_on(job, e);

        if (part) {
            mw_lose_part(ctx, zone, now_us, job, part, permanent);
        }
    }
    g_ptr_array_unref(jobs);
}

static void
set_endpoint_state(struct mw_context *ctx, struct mw_zone *zone,
                   struct mw_endpoint *e, bool up, bool draining)
{
    bool was_usable = mw_endpoint_usable(e);

    e->up = up;
    e->draining = draining;
    mw_index_endpoint(zone, e);
    if (was_usable == mw_endpoint_usable(e)) {
        return;
    }
    zone->live_endpoints += was_usable ? -1 : 1;
    zone->cell_plan_needed = true;
    zone->pass_needed = true;
    mw_emit_event(ctx, MW_SEVERITY_NOTICE, "event=endpoint name=%.*s state=%s",
                  MW_FMT(mw_name_str(&e->name)),
                  !up        ? "lost"
                  : draining ? "leaving"
                             : "up");
}

static void
update_largest(struct mw_zone *zone, const struct mw_resources *total)
{
    struct mw_resources *l = &zone->largest;

    l->accelerators = MAX(l->accelerators, total->accelerators);
    l->slots = MAX(l->slots, total->slots);
    l->processors = MAX(l->processors, total->processors);
    l->memory_mb = MAX(l->memory_mb, total->memory_mb);
}

static int
check_announce(struct mw_context *ctx, const struct mw_announcement *a)
{
    if (!mw_name_valid(&a->endpoint)) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "endpoint: missing or invalid name");
    }
    if (a->total.accelerators > MW_ACCELERATORS_MAX) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                       "accelerators: %u is not in 0..%d",
                       a->total.accelerators, MW_ACCELERATORS_MAX);
    }
    if (a->total.slots < 1 || a->total.slots > MW_SLOTS_MAX) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE, "slots: %u is not in 1..%d",
                       a->total.slots, MW_SLOTS_MAX);
    }
    return 0;
}

static struct mw_job *
job_of_attempt(const struct mw_zone *zone, const struct mw_attempt_id *id)
{
    struct mw_job *job = g_hash_table_lookup(zone->jobs, &id->job);

    if (!job || !mw_name_equal(&id->zone, &zone->name) ||
        job->epoch != id->epoch || job->attempt_number != id->number) {
        return NULL;
    }
    return job;
}

/* An attempt unknown to this zone: stops it, or discards its result. */
static void
stop_orphan(struct mw_zone *zone, const struct mw_endpoint *e,
            const struct mw_listed_attempt *listed)
{
    struct mw_endpoint_command order = {
        .kind = listed->finished ? MW_COMMAND_FORGET : MW_COMMAND_STOP,
        .attempt = listed->attempt,
        .endpoint = e->name,
        .address = e->address,
        .relay = e->relay,
    };

    if (zone->lead_scope != MW_LEAD_ALL) {
        /* records that name this attempt may not have been applied yet */
        return;
    }
    zone->counters.orphans_stopped++;
    zone->output.command(zone->output.opaque, &order);
}

/* Compares one attempt that the endpoint lists with what should run there. */
static void
reconcile_listed(struct mw_zone *zone, struct mw_endpoint *e, int64_t now_us,
                 const struct mw_listed_attempt *listed)
{
    struct mw_job *job = job_of_attempt(zone, &listed->attempt);
    struct mw_attempt_part *part = job ? mw_find_part_on(job, e) : NULL;

    if (!part || part->state == MW_PART_TERMINATED) {
        stop_orphan(zone, e, listed);
        return;
    }
    part->lost_deadline_us = 0;
    if (listed->finished && part->state == MW_PART_RUNNING) {
        mw_send_command(zone, job, part, MW_COMMAND_QUERY);
    }
    part->query_deadline_us = now_us + MW_QUERY_INTERVAL_US;
}

/* Queries the status of parts that should run here but are not listed. */
static void
query_unlisted(struct mw_zone *zone, struct mw_endpoint *e, int64_t now_us)
{
    for (guint i = 0; i < e->jobs->len; i++) {
        struct mw_job *job = e->jobs->pdata[i];
        struct mw_attempt_part *part = mw_find_part_on(job, e);

        if (!part || part->state != MW_PART_RUNNING ||
            now_us < part->query_deadline_us) {
            continue;
        }
        part->query_deadline_us = now_us + MW_QUERY_INTERVAL_US;
        mw_send_command(zone, job, part, MW_COMMAND_QUERY);
    }
}

static void
reconcile(struct mw_zone *zone, struct mw_endpoint *e, int64_t now_us,
          const struct mw_announcement *announce)
{
    if (!zone->leading) {
        return;
    }
    for (uint32_t i = 0; i < announce->listed_count; i++) {
        reconcile_listed(zone, e, now_us, &announce->listed[i]);
    }
    query_unlisted(zone, e, now_us);
}

int
mw_zone_announce(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                 const struct mw_announcement *announce)
{
    int err = check_announce(ctx, announce);

    if (err) {
        return err;
    }
    struct mw_endpoint *e =
        g_hash_table_lookup(zone->endpoints, &announce->endpoint);

    if (!e) {
        e = add_endpoint(zone, announce);
    }
    if (announce->incarnation < e->incarnation) {
        zone->counters.stale_reports++;
        return 0;
    }
    move_rack(zone, e, &announce->rack);
    e->address = announce->address;
    e->relay = announce->relay;
    e->lease_deadline_us = now_us + MW_ENDPOINT_LEASE_US;
    if (memcmp(&e->total, &announce->total, sizeof e->total) != 0) {
        e->total = announce->total;
        update_largest(zone, &e->total);
        zone->cell_plan_needed = true;
        mw_index_endpoint(zone, e);
    }
    if (announce->incarnation > e->incarnation) {
        bool restarted = e->incarnation != 0;

        e->incarnation = announce->incarnation;
        if (restarted) {
            lose_parts_on(ctx, zone, now_us, e, true);
        }
    }
    set_endpoint_state(ctx, zone, e, true, announce->draining);
    reconcile(zone, e, now_us, announce);
    return 0;
}

void
mw_expire_endpoints(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us)
{
    for (guint i = 0; i < zone->endpoint_list->len; i++) {
        struct mw_endpoint *e = zone->endpoint_list->pdata[i];

        if (!e->up || now_us < e->lease_deadline_us) {
            continue;
        }
        zone->counters.endpoints_lost++;
        set_endpoint_state(ctx, zone, e, false, e->draining);
        if (zone->leading) {
            lose_parts_on(ctx, zone, now_us, e, false);
        }
    }
}
