/*
 * zone-out: taking the zone out of service, and bringing it back.
 *
 * Out: nothing starts here; checks are refused as not run so that another
 * zone takes them, recorded jobs that wait are handed to another zone, and
 * running work that may be stopped leaves when the document says so.  Back:
 * starts are let in at a rate that grows, so that nothing stampedes.
 */
#include "zone-impl.h"

#define DELIVER_EVERY_US 1000000
#define RAMP_SHARE 10

static void
refuse_check(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
             struct mw_job *job)
{
    mw_unqueue_job(zone, job);
    mw_finish_job(ctx, zone, now_us, job, MW_ERR_OUT,
                  job->number ? MW_MAY_HAVE_RUN : MW_NOT_RUN);
}

static void
each_queued(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
            void (*act)(struct mw_context *ctx, struct mw_zone *zone,
                        int64_t now_us, struct mw_job *job))
{
    for (guint i = 0; i < zone->org_list->len; i++) {
        struct mw_zone_org *org = zone->org_list->pdata[i];

        for (int level = 0; level < MW_PRIORITIES; level++) {
            GList *link = org->queue[level].head;

            while (link) {
                struct mw_job *job = link->data;

                link = link->next;
                act(ctx, zone, now_us, job);
            }
        }
    }
}

static bool
must_leave(const struct mw_zone *zone, const struct mw_job *job)
{
    if (job->state == MW_JOB_RECLAIMING || job->state == MW_JOB_RESERVING) {
        return true;
    }
    return job->state == MW_JOB_RUNNING && mw_spec_may_stop(&job->spec) &&
           job->recorded && zone->document->on_out == MW_OUT_CHECKPOINT;
}

static void
stop_running(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    GPtrArray *jobs = g_ptr_array_copy(zone->active, NULL, NULL);

    for (guint i = 0; i < jobs->len; i++) {
        struct mw_job *job = jobs->pdata[i];

        if (must_leave(zone, job)) {
            mw_stop_job(ctx, zone, now_us, job, 0, true);
        }
    }
    g_ptr_array_unref(jobs);
}

void
mw_set_out(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
           bool out)
{
    zone->out = out;
    mw_note(ctx, MW_PRIORITY_NOTICE, "event=zone name=%.*s state=%s",
            MW_FMT(mw_name_str(&zone->name)), out ? "out" : "in");
    if (!out) {
        zone->return_us = now_us;
        zone->ramp_started = 0;
        zone->dirty = true;
        return;
    }
    if (zone->leading && zone->document) {
        stop_running(ctx, zone, now_us);
        mw_out_tick(ctx, zone, now_us);
    }
}

static bool
hand_over(struct mw_zone *zone, struct mw_job *job,
          const struct mw_shape *shape)
{
    struct mw_record *record = mw_new_record(MW_RECORD_HANDOVER);

    record->handover.key = job->spec.key;
    record->handover.hops = job->spec.hops + 1;
    bool handed = zone->output.target(zone->output.opaque, shape,
                                      &record->handover.zone) &&
                  zone->output.propose(zone->output.opaque, record) == 0;

    if (handed) {
        mw_unqueue_job(zone, job);
        job->state = MW_JOB_ACCEPTING;
    }
    mw_drop_record(record);
    return handed;
}

/*
 * While others wait in vain here, another zone may stand idle, most of all
 * one that has just come back: what has waited a while may move there.
 */
static void
balance(struct mw_zone *zone, int64_t now_us)
{
    int left = MW_BALANCE_PER_TICK;

    for (guint i = 0; i < zone->org_list->len && left > 0; i++) {
        struct mw_zone_org *org = zone->org_list->pdata[i];

        for (int level = 0; level < MW_PRIORITIES && left > 0; level++) {
            struct mw_job *job = g_queue_peek_head(&org->queue[level]);

            if (!job || !job->recorded ||
                (job->ever_started && !job->spec.idempotent) ||
                job->spec.hops >= MW_BALANCE_HOPS_MAX ||
                now_us - job->submitted_us < MW_BALANCE_AFTER_US) {
                continue;
            }
            if (hand_over(zone, job, &job->spec.shape)) {
                zone->counters.balanced++;
                left--;
            }
        }
    }
}

static void
send_away(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
          struct mw_job *job)
{
    if (!job->recorded) {
        refuse_check(ctx, zone, now_us, job);
        return;
    }
    hand_over(zone, job, NULL);
}

static void
deliver(struct mw_zone *zone, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, zone->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_job *job = value;

        if (job->state != MW_JOB_HANDED || !job->handed_open ||
            now_us < job->deliver_deadline_us) {
            continue;
        }
        job->deliver_deadline_us = now_us + DELIVER_EVERY_US;
        job->deliver_ref = zone->output.deliver(
            zone->output.opaque, &job->handed_to, &job->spec, job->body);
    }
}

void
mw_out_tick(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    if (zone->out) {
        each_queued(ctx, zone, now_us, send_away);
    }
    else if (zone->queued > 0) {
        balance(zone, now_us);
    }
    if (zone->counters.handed > 0) {
        deliver(zone, now_us);
    }
}

void
mw_take_back(struct mw_zone *zone, const struct mw_job *job, uint32_t hops)
{
    struct mw_record *record = mw_new_record(MW_RECORD_HANDOVER);

    record->handover.key = job->spec.key;
    record->handover.zone = zone->name;
    record->handover.hops = hops;
    zone->output.propose(zone->output.opaque, record);
    mw_drop_record(record);
}

void
mw_zone_delivered(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                  const struct mw_job_key *key, uint64_t ref, bool taken)
{
    struct mw_job *job = g_hash_table_lookup(zone->jobs_by_key, key);

    (void)ctx;
    (void)now_us;
    if (!zone->leading || !job || job->state != MW_JOB_HANDED ||
        !job->handed_open) {
        return;
    }
    if (taken) {
        job->handed_open = false;
        return;
    }
    if (ref == job->deliver_ref) {
        /* refused there before it ran: it is this zone's again */
        mw_take_back(zone, job, job->spec.hops);
    }
}

bool
mw_ramp_allows(struct mw_zone *zone, int64_t now_us)
{
    int64_t since = now_us - zone->return_us;

    if (zone->out) {
        return false;
    }
    if (zone->return_us == 0 || since >= MW_RETURN_RAMP_US) {
        return true;
    }
    int64_t allowed = (int64_t)zone->live_endpoints * 8 *
                      (since + MW_RETURN_RAMP_US / RAMP_SHARE) /
                      MW_RETURN_RAMP_US;

    if (zone->ramp_started >= allowed) {
        zone->dirty = true;
        return false;
    }
    zone->ramp_started++;
    return true;
}
