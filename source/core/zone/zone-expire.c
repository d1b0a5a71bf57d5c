/*
 * zone-expire: deadlines of queued jobs, and how long ended jobs and their
 * outputs are kept.
 */
#include "zone-impl.h"

#define TICK_INTERVAL_US 250000
#define FORGET_INTERVAL_US 60000000

static void
expire_queued(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
              GQueue *queue)
{
    GList *link = queue->head;

    while (link) {
        struct mw_job *job = link->data;
        int64_t deadline = job->spec.deadline_us;

        link = link->next;
        if (deadline > 0 && now_us >= deadline) {
            mw_unqueue_job(zone, job);
            mw_finish_job(ctx, zone, now_us, job, MW_ERR_DEADLINE,
                          job->attempt_number ? MW_MAY_HAVE_RUN : MW_NOT_RUN);
        }
    }
}

/*
 * Limits the memory for outputs of ended jobs.  Beyond the limit the oldest
 * output is dropped by a result record without output; the job stays known.
 */
static void
limit_retained_outputs(struct mw_zone *zone)
{
    struct mw_job *oldest = NULL;
    size_t bytes = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, zone->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_job *job = value;

        if (!job->result_recorded || !job->output) {
            continue;
        }
        bytes += job->output->len;
        if (!oldest || job->done_us < oldest->done_us) {
            oldest = job;
        }
    }
    if (bytes <= MW_RETAINED_OUTPUT_BYTES_MAX) {
        return;
    }
    struct mw_record *record = mw_new_record(MW_RECORD_RESULT);

    record->result.job = oldest->id;
    record->result.error = oldest->error;
    record->result.ran = oldest->ran;
    zone->counters.outputs_dropped++;
    zone->output.propose(zone->output.opaque, record);
    mw_drop_record(record);
}

static void
forget_expired(struct mw_zone *zone, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, zone->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_job *job = value;

        if (!job->result_recorded ||
            now_us - job->done_us < MW_RESULT_RETENTION_US) {
            continue;
        }
        struct mw_record *record = mw_new_record(MW_RECORD_FORGET);

        record->forget.job = job->id;
        if (zone->output.propose(zone->output.opaque, record) == 0) {
            job->done_us = now_us;
        }
        mw_drop_record(record);
    }
}

static void
tick_timers(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    mw_expire_endpoints(ctx, zone, now_us);
    if (!zone->leading) {
        return;
    }
    for (guint i = 0; i < zone->org_list->len; i++) {
        struct mw_zone_org *org = zone->org_list->pdata[i];

        for (int level = 0; level < MW_PRIORITIES; level++) {
            expire_queued(ctx, zone, now_us, &org->queue[level]);
        }
    }
    mw_active_tick(ctx, zone, now_us);
    mw_handover_tick(ctx, zone, now_us);
    mw_record_refused_results(zone);
    limit_retained_outputs(zone);
    if (now_us >= zone->forget_deadline_us) {
        zone->forget_deadline_us = now_us + FORGET_INTERVAL_US;
        forget_expired(zone, now_us);
    }
    if (zone->queued > 0) {
        zone->pass_needed = true;
    }
}

void
mw_zone_tick(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    if (now_us >= zone->tick_deadline_us) {
        zone->tick_deadline_us = now_us + TICK_INTERVAL_US;
        tick_timers(ctx, zone, now_us);
    }
    mw_schedule(ctx, zone, now_us);
}

int64_t
mw_zone_deadline(const struct mw_zone *zone)
{
    return zone->tick_deadline_us;
}
