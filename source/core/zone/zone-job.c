/*
 * zone-job: submissions, resends, queries, cancellations and answers.
 */
#include "zone-impl.h"

static void
clear_waiters(struct mw_job *job)
{
    g_array_set_size(job->waiters, 0);
}

void
mw_free_job(void *data)
{
    struct mw_job *job = data;

    mw_clear_part_outputs(job);
    g_free(job->parts);
    g_array_unref(job->waiters);
    mw_drop_blob(job->body);
    mw_drop_blob(job->output);
    g_free(job);
}

GPtrArray *
mw_all_jobs(const struct mw_zone *zone)
{
    GPtrArray *jobs = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, zone->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(jobs, value);
    }
    return jobs;
}

struct mw_job *
mw_add_job(struct mw_zone *zone, uint64_t id, const struct mw_job_spec *spec,
           struct mw_blob *body, int64_t now_us)
{
    struct mw_job *job = g_new0(struct mw_job, 1);

    job->id = id;
    job->spec = *spec;
    job->body = mw_keep_blob(body);
    job->org = mw_find_or_add_org(zone, &spec->key.org);
    job->recorded = mw_spec_is_recorded(spec);
    job->queue_level = spec->priority;
    job->waiters = g_array_new(FALSE, FALSE, sizeof(struct mw_waiter));
    job->submitted_us = now_us;
    job->active_index = -1;
    zone->next_job = MAX(zone->next_job, id + 1);
    g_hash_table_insert(zone->jobs, &job->id, job);
    g_hash_table_replace(zone->jobs_by_key, &job->spec.key, job);
    return job;
}

void
mw_remove_job(struct mw_zone *zone, struct mw_job *job)
{
    mw_unqueue_job(zone, job);
    mw_release_allocation(zone, job);
    mw_set_active(zone, job, false);
    g_ptr_array_remove(zone->reclaiming, job);
    if (g_hash_table_lookup(zone->jobs_by_key, &job->spec.key) == job) {
        g_hash_table_remove(zone->jobs_by_key, &job->spec.key);
    }
    g_hash_table_remove(zone->jobs, &job->id);
}

void
mw_answer_waiter(struct mw_zone *zone, const struct mw_waiter *waiter,
                 const struct mw_job *job, int error,
                 enum mw_execution_status ran, struct mw_str detail)
{
    struct mw_answer answer = {
        .error = error,
        .ran = ran,
        .state = job ? job->state : MW_JOB_DONE,
        .job = job ? job->id : 0,
        .zone = zone->name,
        .detail = detail,
    };

    if (job && job->state == MW_JOB_HANDED) {
        answer.zone = job->handed_to;
    }
    if (job && job->state == MW_JOB_DONE) {
        answer.output = job->output;
    }
    zone->output.answer(zone->output.opaque, waiter, &answer);
}

void
mw_answer_waiters(struct mw_zone *zone, struct mw_job *job)
{
    for (guint i = 0; i < job->waiters->len; i++) {
        struct mw_waiter *waiter =
            &g_array_index(job->waiters, struct mw_waiter, i);

        mw_answer_waiter(zone, waiter, job, job->error, job->ran, MW_STR(""));
    }
    clear_waiters(job);
}

/* Lets the endpoints discard the results of the parts. */
static void
release_part_results(struct mw_zone *zone, struct mw_job *job)
{
    for (uint32_t i = 0; zone->leading && i < job->part_count; i++) {
        if (job->started_us && job->parts[i].endpoint->up) {
            mw_send_command(zone, job, &job->parts[i], MW_COMMAND_FORGET);
        }
    }
}

static void
count_end(struct mw_zone *zone, int error)
{
    if (error == 0) {
        zone->counters.finished++;
    }
    else if (error == MW_ERR_CANCELLED) {
        zone->counters.cancelled++;
    }
    else {
        zone->counters.refused++;
    }
}

void
mw_set_job_result(struct mw_zone *zone, int64_t now_us, struct mw_job *job,
                  int error, enum mw_execution_status ran,
                  struct mw_blob *output)
{
    if (job->state != MW_JOB_DONE) {
        count_end(zone, error);
        job->done_us = now_us;
    }
    job->state = MW_JOB_DONE;
    job->error = error;
    job->ran = ran;
    if (output != job->output) {
        mw_drop_blob(job->output);
        job->output = mw_keep_blob(output);
    }
    g_clear_pointer(&job->body, mw_drop_blob);
    mw_answer_waiters(zone, job);
}

/* What the log refuses is proposed again with a later tick. */
static void
record_result(struct mw_zone *zone, struct mw_job *job)
{
    struct mw_record *record = mw_new_record(MW_RECORD_RESULT);

    if (job->ran == MW_NOT_RUN &&
        !zone->output.can_record_durably(zone->output.opaque)) {
        /* the refusal could be lost, and the accept record be recovered
         * from a disk */
        job->ran = MW_MAY_HAVE_RUN;
    }
    record->result.job = job->id;
    record->result.error = job->error;
    record->result.ran = job->ran;
    record->result.output = mw_keep_blob(job->output);
    job->result_refused =
        zone->output.propose(zone->output.opaque, record) != 0;
    mw_drop_record(record);
}

void
mw_record_refused_results(struct mw_zone *zone)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, zone->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_job *job = value;

        if (job->result_refused) {
            record_result(zone, job);
        }
    }
}

/*
 * A finished job is answered at once: it has run even if its record is never
 * committed.  A refusal is answered when its record is committed, so that no
 * later leader runs a job whose caller was told that it did not run.
 */
void
mw_finish_job(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
              struct mw_job *job, int error, enum mw_execution_status ran)
{
    (void)ctx;
    if (ran == MW_NOT_RUN && job->ever_started) {
        ran = MW_MAY_HAVE_RUN;
    }
    if (!job->recorded) {
        mw_set_job_result(zone, now_us, job, error, ran, job->output);
        release_part_results(zone, job);
        mw_remove_job(zone, job);
        return;
    }
    job->error = error;
    job->ran = ran;
    record_result(zone, job);
    if (error == 0) {
        mw_set_job_result(zone, now_us, job, error, ran, job->output);
        return;
    }
    job->state = MW_JOB_STOPPING;
}

void
mw_result_applied(struct mw_zone *zone, int64_t now_us, struct mw_job *job,
                  const struct mw_record_result *result)
{
    mw_unqueue_job(zone, job);
    mw_release_allocation(zone, job);
    mw_set_active(zone, job, false);
    mw_set_job_result(zone, now_us, job, result->error, result->ran,
                      result->output);
    job->result_recorded = true;
    release_part_results(zone, job);
}

static void
add_waiter(struct mw_job *job, const struct mw_waiter *waiter)
{
    for (guint i = 0; i < job->waiters->len; i++) {
        struct mw_waiter *w =
            &g_array_index(job->waiters, struct mw_waiter, i);

        if (w->ref == waiter->ref &&
            mw_name_equal(&w->process, &waiter->process)) {
            *w = *waiter;
            return;
        }
    }
    g_array_append_val(job->waiters, *waiter);
}

/* For a request that is known already: answers now, or when it is done. */
static void
answer_or_wait(struct mw_zone *zone, struct mw_job *job,
               const struct mw_waiter *waiter)
{
    bool answered = job->state == MW_JOB_DONE || job->state == MW_JOB_HANDED ||
                    (!waiter->until_done && job->state != MW_JOB_ACCEPTING);

    if (!answered) {
        add_waiter(job, waiter);
        return;
    }
    int error = job->state == MW_JOB_HANDED ? MW_ERR_NOT_OWNER
                : job->state == MW_JOB_DONE ? job->error
                                            : 0;
    enum mw_execution_status ran = job->state == MW_JOB_DONE     ? job->ran
                                   : job->state == MW_JOB_HANDED ? MW_NOT_RUN
                                   : job->ever_started || job->intent_recorded
                                       ? MW_MAY_HAVE_RUN
                                       : MW_NOT_RUN;

    mw_answer_waiter(zone, waiter, job, error, ran, MW_STR(""));
}

static int
admit(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
      const struct mw_job_spec *spec)
{
    const struct mw_org *org = mw_find_org(zone->document, &spec->key.org);
    struct mw_zone_org *queue;

    if (!zone->leading) {
        return mw_fail(ctx, MW_ERR_NOT_LEADER,
                       "this process is not the leader");
    }
    if (!zone->document || !org) {
        return mw_fail(ctx, MW_ERR_DENIED,
                       "organisation %.*s is not in the document in force",
                       MW_FMT(mw_name_str(&spec->key.org)));
    }
    if (zone->draining && mw_spec_is_recorded(spec)) {
        return mw_fail(ctx, MW_ERR_LEAVING, "the scheduler is shutting down");
    }
    if (spec->deadline_us > 0 && now_us >= spec->deadline_us) {
        return mw_fail(ctx, MW_ERR_DEADLINE,
                       "the deadline passed before admission");
    }
    if (!mw_shape_possible(zone, &spec->shape)) {
        return mw_fail(ctx, MW_ERR_IMPOSSIBLE,
                       "%u tasks of %u accelerators do not fit into the "
                       "empty zone",
                       spec->shape.tasks, spec->shape.need.accelerators);
    }
    queue = mw_find_or_add_org(zone, &spec->key.org);
    if (queue->queued >= queue->queued_max || zone->queued >= MW_QUEUED_MAX) {
        return mw_fail(ctx, MW_ERR_OVERLOADED, "%u jobs are queued",
                       queue->queued);
    }
    if (mw_spec_is_recorded(spec) &&
        !zone->output.can_record_durably(zone->output.opaque)) {
        return mw_fail(ctx, MW_ERR_NO_QUORUM,
                       "no synced disk and second VM in this zone");
    }
    if (zone->out_of_service && !mw_spec_is_recorded(spec)) {
        return mw_fail(ctx, MW_ERR_OUT, "zone %.*s",
                       MW_FMT(mw_name_str(&zone->name)));
    }
    return 0;
}

/*
 * A leader that may handle only unrecorded jobs may not have applied every
 * record yet: it does not know whether a recorded job has run.
 */
static void
refuse(struct mw_context *ctx, struct mw_zone *zone,
       const struct mw_job_spec *spec, const struct mw_waiter *waiter,
       int error)
{
    bool certain =
        zone->lead_scope == MW_LEAD_ALL || !mw_spec_is_recorded(spec);

    zone->counters.refused++;
    mw_answer_waiter(zone, waiter, NULL, error,
                     certain ? MW_NOT_RUN : MW_MAY_HAVE_RUN, mw_detail(ctx));
}

static void
accept_job(struct mw_context *ctx, struct mw_zone *zone, struct mw_job *job,
           const struct mw_waiter *waiter)
{
    struct mw_record *record = mw_new_record(MW_RECORD_ACCEPT);

    record->accept.job = job->id;
    record->accept.spec = job->spec;
    record->accept.body = mw_keep_blob(job->body);
    job->state = MW_JOB_ACCEPTING;
    int err = zone->output.propose(zone->output.opaque, record);

    mw_drop_record(record);
    if (err) {
        refuse(ctx, zone, &job->spec, waiter, err);
        mw_remove_job(zone, job);
        return;
    }
    add_waiter(job, waiter);
}

void
mw_zone_submit(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
               const struct mw_job_spec *spec, struct mw_blob *body,
               const struct mw_waiter *waiter)
{
    struct mw_job *known = g_hash_table_lookup(zone->jobs_by_key, &spec->key);

    zone->counters.submitted++;
    ctx->detail_len = 0;
    if (known && known->state == MW_JOB_HANDED && zone->leading &&
        spec->hops > known->spec.hops) {
        /* other zones have handed it over, back to this one; the zone that
         * delivers it resends it until the handover record is committed */
        mw_take_back_job(zone, known, spec->hops);
        return;
    }
    if (known && zone->leading) {
        zone->counters.resent++;
        answer_or_wait(zone, known, waiter);
        return;
    }
    int err = admit(ctx, zone, now_us, spec);

    if (err) {
        refuse(ctx, zone, spec, waiter, err);
        return;
    }
    struct mw_job *job = mw_add_job(zone, zone->next_job, spec, body, now_us);

    if (job->recorded) {
        accept_job(ctx, zone, job, waiter);
        return;
    }
    add_waiter(job, waiter);
    if (job->org->queue[job->queue_level].length > 0 ||
        !mw_try_job(ctx, zone, now_us, job)) {
        mw_queue_job(zone, job, false);
    }
}

void
mw_accept_applied(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                  const struct mw_record_accept *accept)
{
    struct mw_job *job = g_hash_table_lookup(zone->jobs, &accept->job);
    struct mw_job *same =
        g_hash_table_lookup(zone->jobs_by_key, &accept->spec.key);
    GArray *waiters = NULL;

    if (same && same != job && same->recorded) {
        if (same->state != MW_JOB_ACCEPTING) {
            /* submitted again after a lost lease: the first record counts */
            return;
        }
        waiters = g_array_ref(same->waiters);
        mw_remove_job(zone, same);
    }
    if (!job) {
        job =
            mw_add_job(zone, accept->job, &accept->spec, accept->body, now_us);
        job->replayed = true;
        /* the deadline is in the clock of the process that accepted it */
        job->spec.deadline_us = 0;
    }
    if (waiters) {
        g_array_append_vals(job->waiters, waiters->data, waiters->len);
        g_array_unref(waiters);
    }
    zone->counters.accepted++;
    if (!zone->leading) {
        job->state = MW_JOB_QUEUED;
        return;
    }
    mw_queue_job(zone, job, false);
    if (job->stop_requested) {
        mw_stop_job(ctx, zone, now_us, job, MW_ERR_CANCELLED, false);
        return;
    }
    if (!zone->output.can_record_durably(zone->output.opaque)) {
        /* the disk or the second VM was lost while the record was being
         * committed */
        mw_stop_job(ctx, zone, now_us, job, MW_ERR_NO_QUORUM, false);
        return;
    }
    for (guint i = 0; i < job->waiters->len;) {
        struct mw_waiter *w =
            &g_array_index(job->waiters, struct mw_waiter, i);

        if (w->until_done) {
            i++;
            continue;
        }
        mw_answer_waiter(zone, w, job, 0, MW_NOT_RUN, MW_STR(""));
        g_array_remove_index(job->waiters, i);
    }
}

void
mw_zone_query(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
              const struct mw_job_key *key, const struct mw_waiter *waiter)
{
    struct mw_job *job = g_hash_table_lookup(zone->jobs_by_key, key);

    (void)now_us;
    ctx->detail_len = 0;
    if (!zone->leading) {
        mw_answer_waiter(zone, waiter, NULL, MW_ERR_NOT_LEADER,
                         MW_MAY_HAVE_RUN, MW_STR(""));
        return;
    }
    if (!job) {
        mw_answer_waiter(zone, waiter, NULL, MW_ERR_NOT_FOUND, MW_MAY_HAVE_RUN,
                         MW_STR(""));
        return;
    }
    answer_or_wait(zone, job, waiter);
}

void
mw_zone_cancel(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
               const struct mw_job_key *key, const struct mw_waiter *waiter)
{
    struct mw_job *job = g_hash_table_lookup(zone->jobs_by_key, key);

    if (!zone->leading || !job || job->state == MW_JOB_DONE ||
        job->state == MW_JOB_HANDED) {
        mw_zone_query(ctx, zone, now_us, key, waiter);
        return;
    }
    add_waiter(job, waiter);
    if (job->state == MW_JOB_ACCEPTING) {
        job->stop_requested = true;
        return;
    }
    if (job->state != MW_JOB_STOPPING || job->stop_requeues) {
        bool stopping = job->state == MW_JOB_STOPPING;

        job->stop_error = MW_ERR_CANCELLED;
        job->stop_requeues = false;
        if (!stopping) {
            mw_stop_job(ctx, zone, now_us, job, MW_ERR_CANCELLED, false);
        }
    }
}
