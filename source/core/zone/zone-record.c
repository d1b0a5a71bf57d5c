/*
 * zone-record: applying the records of the zone's log, and snapshots.
 */
#include <string.h>

#include "zone-impl.h"

static void
apply_document(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
               const struct mw_record_document *change)
{
    const struct mw_document_zone *old_entry, *new_entry;

    if (change->environment != MW_PRODUCTION ||
        (zone->document &&
         change->document->version <= zone->document->version)) {
        return;
    }
    old_entry = mw_find_document_zone(zone->document, &zone->name);
    new_entry = mw_find_document_zone(change->document, &zone->name);
    bool out = new_entry && new_entry->out;
    bool changed = old_entry ? old_entry->out != out : out;

    mw_remove_cells(zone);
    mw_drop_document(zone->document);
    zone->document = mw_keep_document(change->document);
    zone->document_operator = change->operator;
    mw_build_cells(ctx, zone, now_us);
    mw_emit_event(ctx, MW_SEVERITY_NOTICE,
                  "event=document zone=%.*s version=%" G_GUINT64_FORMAT,
                  MW_FMT(mw_name_str(&zone->name)), zone->document->version);
    if (changed && zone->out_of_service != out) {
        mw_set_out_of_service(ctx, zone, now_us, out);
    }
}

static void
apply_zone_state(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                 const struct mw_record_zone_state *change)
{
    if (change->sequence <= zone->out_sequence) {
        return;
    }
    zone->out_sequence = change->sequence;
    zone->out_operator = change->operator;
    if (zone->out_of_service != change->out) {
        mw_set_out_of_service(ctx, zone, now_us, change->out);
    }
}

static struct mw_endpoint *
find_or_add(struct mw_zone *zone, const struct mw_name *name)
{
    struct mw_endpoint *e = g_hash_table_lookup(zone->endpoints, name);
    struct mw_context ctx = {0};
    struct mw_announcement unknown = {.endpoint = *name, .total.slots = 1};

    if (e) {
        return e;
    }
    mw_zone_announce(&ctx, zone, 0, &unknown);
    e = g_hash_table_lookup(zone->endpoints, name);
    e->lease_deadline_us = 0;
    return e;
}

/* A start intent of another leader: the job may be running where it says. */
static void
apply_foreign_intent(struct mw_zone *zone, struct mw_job *job,
                     const struct mw_record_intent *intent)
{
    mw_clear_part_outputs(job);
    g_free(job->parts);
    job->part_count = intent->part_count;
    job->parts = g_new0(struct mw_attempt_part, intent->part_count);
    for (uint32_t i = 0; i < intent->part_count; i++) {
        job->parts[i].endpoint = find_or_add(zone, &intent->parts[i].endpoint);
        job->parts[i].tasks = intent->parts[i].tasks;
    }
    job->epoch = intent->attempt.epoch;
    job->attempt_number = intent->attempt.number;
    job->intent_recorded = true;
    job->ever_started = true;
    job->state = MW_JOB_RUNNING;
}

static void
apply_intent(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
             const struct mw_record_intent *intent)
{
    struct mw_job *job = g_hash_table_lookup(zone->jobs, &intent->attempt.job);

    if (!job || job->state == MW_JOB_DONE) {
        return;
    }
    if (zone->leading && job->state == MW_JOB_INTENDING &&
        job->epoch == intent->attempt.epoch &&
        job->attempt_number == intent->attempt.number) {
        mw_intent_applied(ctx, zone, now_us, job);
        return;
    }
    if (!zone->leading) {
        apply_foreign_intent(zone, job, intent);
    }
}

static void
apply_result(struct mw_zone *zone, int64_t now_us,
             const struct mw_record_result *result)
{
    struct mw_job *job = g_hash_table_lookup(zone->jobs, &result->job);

    if (job) {
        mw_result_applied(zone, now_us, job, result);
    }
}

static void
apply_handover(struct mw_zone *zone, int64_t now_us,
               const struct mw_record_handover *handover)
{
    struct mw_job *job =
        g_hash_table_lookup(zone->jobs_by_key, &handover->key);

    if (!job || job->state == MW_JOB_DONE) {
        return;
    }
    mw_unqueue_job(zone, job);
    mw_release_allocation(zone, job);
    mw_set_active(zone, job, false);
    g_ptr_array_remove(zone->reclaiming, job);
    job->spec.hops = handover->hops;
    if (mw_name_equal(&handover->zone, &zone->name)) {
        job->state = MW_JOB_QUEUED;
        job->handover_pending = false;
        if (zone->leading) {
            mw_queue_job(zone, job, false);
        }
        return;
    }
    zone->counters.handed++;
    job->state = MW_JOB_HANDED;
    job->handed_to = handover->zone;
    job->handover_pending = true;
    job->deliver_deadline_us = now_us;
    job->error = MW_ERR_NOT_OWNER;
    job->ran = MW_NOT_RUN;
    mw_answer_waiters(zone, job);
}

void
mw_zone_apply(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
              struct mw_record *record)
{
    struct mw_job *job;

    switch (record->kind) {
    case MW_RECORD_DOCUMENT:
        apply_document(ctx, zone, now_us, &record->document);
        break;
    case MW_RECORD_ZONE_STATE:
        apply_zone_state(ctx, zone, now_us, &record->zone_state);
        break;
    case MW_RECORD_ACCEPT:
        mw_accept_applied(ctx, zone, now_us, &record->accept);
        break;
    case MW_RECORD_INTENT:
        apply_intent(ctx, zone, now_us, &record->intent);
        break;
    case MW_RECORD_RESULT:
        apply_result(zone, now_us, &record->result);
        break;
    case MW_RECORD_HANDOVER:
        apply_handover(zone, now_us, &record->handover);
        break;
    case MW_RECORD_FORGET:
        job = g_hash_table_lookup(zone->jobs, &record->forget.job);
        if (job) {
            mw_remove_job(zone, job);
        }
        break;
    default:
        break;
    }
}

static void
collect_document(struct mw_zone *zone, void *opaque,
                 void (*add)(void *opaque, struct mw_record *record))
{
    struct mw_record *record;

    if (zone->document) {
        record = mw_new_record(MW_RECORD_DOCUMENT);
        record->document.environment = MW_PRODUCTION;
        record->document.operator= zone->document_operator;
        record->document.document = mw_keep_document(zone->document);
        add(opaque, record);
        mw_drop_record(record);
    }
    if (zone->out_sequence > 0) {
        record = mw_new_record(MW_RECORD_ZONE_STATE);
        record->zone_state.out = zone->out_of_service;
        record->zone_state.sequence = zone->out_sequence;
        record->zone_state.operator= zone->out_operator;
        add(opaque, record);
        mw_drop_record(record);
    }
}

static void
collect_intent(struct mw_zone *zone, const struct mw_job *job, void *opaque,
               void (*add)(void *opaque, struct mw_record *record))
{
    struct mw_record *record = mw_intent_record(zone, job);

    add(opaque, record);
    mw_drop_record(record);
}

static void
collect_end(const struct mw_job *job, void *opaque,
            void (*add)(void *opaque, struct mw_record *record))
{
    struct mw_record *record;

    if (job->result_recorded) {
        record = mw_new_record(MW_RECORD_RESULT);
        record->result.job = job->id;
        record->result.error = job->error;
        record->result.ran = job->ran;
        record->result.output = mw_keep_blob(job->output);
        add(opaque, record);
        mw_drop_record(record);
    }
    if (job->state == MW_JOB_HANDED) {
        record = mw_new_record(MW_RECORD_HANDOVER);
        record->handover.key = job->spec.key;
        record->handover.zone = job->handed_to;
        record->handover.hops = job->spec.hops;
        add(opaque, record);
        mw_drop_record(record);
    }
}

static int
by_id(const void *a, const void *b)
{
    const struct mw_job *x = *(struct mw_job *const *)a;
    const struct mw_job *y = *(struct mw_job *const *)b;

    return x->id < y->id ? -1 : x->id > y->id;
}

void
mw_zone_snapshot(struct mw_zone *zone, void *opaque,
                 void (*add)(void *opaque, struct mw_record *record))
{
    GPtrArray *jobs = mw_all_jobs(zone);

    collect_document(zone, opaque, add);
    g_ptr_array_sort(jobs, by_id);
    for (guint i = 0; i < jobs->len; i++) {
        struct mw_job *job = jobs->pdata[i];

        if (!job->recorded || job->state == MW_JOB_ACCEPTING) {
            continue;
        }
        struct mw_record *record = mw_new_record(MW_RECORD_ACCEPT);

        record->accept.job = job->id;
        record->accept.spec = job->spec;
        record->accept.body = mw_keep_blob(job->body);
        add(opaque, record);
        mw_drop_record(record);
        if (job->intent_recorded && !job->result_recorded) {
            collect_intent(zone, job, opaque, add);
        }
        collect_end(job, opaque, add);
    }
    g_ptr_array_unref(jobs);
}
