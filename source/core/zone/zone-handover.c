/*
 * zone-handover: taking the zone out of service, handover, and return to
 * service.
 *
 * Out of service: nothing starts here.  Unrecorded jobs are refused as not
 * run, so that another zone can take them; recorded jobs that are queued are
 * handed over to another zone; running preemptible jobs are stopped if the
 * document says so.  After the return the allowed number of starts grows
 * gradually (slow start), to avoid a burst of starts.
 */
#include "zone-impl.h"

#define DELIVER_INTERVAL_US 1000000
#define SLOW_START_INITIAL_DIVISOR 10

static void
refuse_unrecorded(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                  struct mw_job *job)
{
    mw_unqueue_job(zone, job);
    mw_finish_job(ctx, zone, now_us, job, MW_ERR_OUT,
                  job->attempt_number ? MW_MAY_HAVE_RUN : MW_NOT_RUN);
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

/* Whether an attempt is stopped when the zone goes out of service. */
static bool
must_stop(const struct mw_zone *zone, const struct mw_job *job)
{
    if (job->state == MW_JOB_RECLAIMING || job->state == MW_JOB_RESERVING) {
        return true;
    }
    return job->state == MW_JOB_RUNNING &&
           mw_spec_is_preemptible(&job->spec) && job->recorded &&
           zone->document->on_out == MW_OUT_CHECKPOINT;
}

static void
stop_running(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    GPtrArray *jobs = g_ptr_array_copy(zone->active, NULL, NULL);

    for (guint i = 0; i < jobs->len; i++) {
        struct mw_job *job = jobs->pdata[i];

        if (must_stop(zone, job)) {
            mw_stop_job(ctx, zone, now_us, job, 0, true);
        }
    }
    g_ptr_array_unref(jobs);
}

void
mw_set_out_of_service(struct mw_context *ctx, struct mw_zone *zone,
                      int64_t now_us, bool out)
{
    zone->out_of_service = out;
    mw_emit_event(ctx, MW_SEVERITY_NOTICE, "event=zone name=%.*s state=%s",
                  MW_FMT(mw_name_str(&zone->name)), out ? "out" : "in");
    if (!out) {
        zone->in_service_since_us = now_us;
        zone->slow_start_count = 0;
        zone->pass_needed = true;
        return;
    }
    if (zone->leading && zone->document) {
        stop_running(ctx, zone, now_us);
        mw_handover_tick(ctx, zone, now_us);
    }
}

static bool
hand_over(struct mw_zone *zone, struct mw_job *job,
          const struct mw_shape *shape)
{
    struct mw_record *record = mw_new_record(MW_RECORD_HANDOVER);

    record->handover.key = job->spec.key;
    record->handover.hops = job->spec.hops + 1;
    bool proposed = zone->output.select_zone(zone->output.opaque, shape,
                                             &record->handover.zone) &&
                    zone->output.propose(zone->output.opaque, record) == 0;

    if (proposed) {
        mw_unqueue_job(zone, job);
        job->state = MW_JOB_ACCEPTING;
    }
    mw_drop_record(record);
    return proposed;
}

/*
 * Load balancing between zones: while jobs are queued here another zone may
 * be idle, above all one that has just returned to service.  Jobs that have
 * waited for some time may move there.
 */
static void
balance_load(struct mw_zone *zone, int64_t now_us)
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
hand_over_or_refuse(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us, struct mw_job *job)
{
    if (!job->recorded) {
        refuse_unrecorded(ctx, zone, now_us, job);
        return;
    }
    hand_over(zone, job, NULL);
}

/* Sends each job that was handed over until the other zone has answered. */
static void
deliver(struct mw_zone *zone, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, zone->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_job *job = value;

        if (job->state != MW_JOB_HANDED || !job->handover_pending ||
            now_us < job->deliver_deadline_us) {
            continue;
        }
        job->deliver_deadline_us = now_us + DELIVER_INTERVAL_US;
        job->deliver_ref = zone->output.deliver(
            zone->output.opaque, &job->handed_to, &job->spec, job->body);
    }
}

void
mw_handover_tick(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    if (zone->out_of_service) {
        each_queued(ctx, zone, now_us, hand_over_or_refuse);
    }
    else if (zone->queued > 0) {
        balance_load(zone, now_us);
    }
    if (zone->counters.handed > 0) {
        deliver(zone, now_us);
    }
}

void
mw_take_back_job(struct mw_zone *zone, const struct mw_job *job, uint32_t hops)
{
    struct mw_record *record = mw_new_record(MW_RECORD_HANDOVER);

    record->handover.key = job->spec.key;
    record->handover.zone = zone->name;
    record->handover.hops = hops;
    zone->output.propose(zone->output.opaque, record);
    mw_drop_record(record);
}

void
mw_zone_handover_answered(struct mw_context *ctx, struct mw_zone *zone,
                          int64_t now_us, const struct mw_job_key *key,
                          uint64_t ref, bool accepted)
{
    struct mw_job *job = g_hash_table_lookup(zone->jobs_by_key, key);

    (void)ctx;
    (void)now_us;
    if (!zone->leading || !job || job->state != MW_JOB_HANDED ||
        !job->handover_pending) {
        return;
    }
    if (accepted) {
        job->handover_pending = false;
        return;
    }
    if (ref == job->deliver_ref) {
        /* the other zone refused it before it ran: take it back */
        mw_take_back_job(zone, job, job->spec.hops);
    }
}

bool
mw_slow_start_admits(struct mw_zone *zone, int64_t now_us)
{
    int64_t since = now_us - zone->in_service_since_us;

    if (zone->out_of_service) {
        return false;
    }
    if (zone->in_service_since_us == 0 || since >= MW_SLOW_START_US) {
        return true;
    }
    int64_t allowed = (int64_t)zone->live_endpoints * 8 *
                      (since + MW_SLOW_START_US / SLOW_START_INITIAL_DIVISOR) /
                      MW_SLOW_START_US;

    if (zone->slow_start_count >= allowed) {
        zone->pass_needed = true;
        return false;
    }
    zone->slow_start_count++;
    return true;
}
