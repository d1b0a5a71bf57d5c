/*
 * zone-attempt: one attempt to run a gang, from allocation to its end.
 *
 * A gang on several endpoints is reserved on all of them first.  A recorded
 * job then waits until its start intent is committed.  Any refusal or loss
 * of a part stops the others: a gang never runs in part.
 */
#include "zone-impl.h"

void
mw_set_active(struct mw_zone *zone, struct mw_job *job, bool active)
{
    if (active == (job->active_index >= 0)) {
        return;
    }
    if (active) {
        job->active_index = (int)zone->active->len;
        g_ptr_array_add(zone->active, job);
        return;
    }
    int index = job->active_index;

    g_ptr_array_remove_index_fast(zone->active, (guint)index);
    job->active_index = -1;
    if ((guint)index < zone->active->len) {
        struct mw_job *moved = zone->active->pdata[index];

        moved->active_index = index;
    }
}

void
mw_send_command(struct mw_zone *zone, struct mw_job *job,
                struct mw_attempt_part *part,
                enum mw_endpoint_command_kind kind)
{
    struct mw_endpoint_command order = {
        .kind = kind,
        .attempt = {.zone = zone->name,
                    .job = job->id,
                    .epoch = job->epoch,
                    .number = job->attempt_number},
        .endpoint = part->endpoint->name,
        .address = part->endpoint->address,
        .relay = part->endpoint->relay,
        .tasks = part->tasks,
        .need = job->spec.shape.need,
        .checkpoint = job->spec.checkpoint,
        .idempotent = job->spec.idempotent,
        .resume = job->resume_from,
        .body = kind == MW_COMMAND_START ? job->body : NULL,
    };

    if (kind == MW_COMMAND_QUERY) {
        zone->counters.asked++;
    }
    zone->output.command(zone->output.opaque, &order);
}

static void
reserve(struct mw_zone *zone, struct mw_job *job)
{
    job->state = MW_JOB_RESERVING;
    for (uint32_t i = 0; i < job->part_count; i++) {
        job->parts[i].state = MW_PART_RESERVING;
        job->parts[i].query_deadline_us =
            job->placed_us + MW_QUERY_INTERVAL_US;
        mw_send_command(zone, job, &job->parts[i], MW_COMMAND_RESERVE);
    }
}

struct mw_record *
mw_intent_record(const struct mw_zone *zone, const struct mw_job *job)
{
    struct mw_record *record = mw_new_record(MW_RECORD_INTENT);

    record->intent.attempt = (struct mw_attempt_id){
        zone->name, job->id, job->epoch, job->attempt_number};
    record->intent.part_count = job->part_count;
    record->intent.parts = g_new0(struct mw_part, job->part_count);
    for (uint32_t i = 0; i < job->part_count; i++) {
        record->intent.parts[i].endpoint = job->parts[i].endpoint->name;
        record->intent.parts[i].tasks = job->parts[i].tasks;
    }
    return record;
}

static void
record_intent(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
              struct mw_job *job)
{
    struct mw_record *record = mw_intent_record(zone, job);

    job->state = MW_JOB_INTENDING;
    bool allowed = job->spec.idempotent ||
                   zone->output.can_record_durably(zone->output.opaque);
    int err = allowed ? zone->output.propose(zone->output.opaque, record)
                      : MW_ERR_NO_QUORUM;

    mw_drop_record(record);
    if (err) {
        job->state = MW_JOB_RESERVING;
        job->retry_deadline_us = now_us + MW_RETRY_DELAY_US;
        mw_stop_job(ctx, zone, now_us, job, 0, true);
    }
}

void
mw_proceed_to_start(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us, struct mw_job *job)
{
    if (job->recorded) {
        record_intent(ctx, zone, now_us, job);
    }
    else {
        mw_start_gang(ctx, zone, now_us, job);
    }
}

static void
on_preemption_done(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_job *job)
{
    job->placed_us = now_us;
    if (job->part_count > 1) {
        reserve(zone, job);
        return;
    }
    mw_proceed_to_start(ctx, zone, now_us, job);
}

void
mw_begin_attempt(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                 struct mw_job *job)
{
    job->epoch = zone->epoch;
    job->attempt_number++;
    job->intent_recorded = false;
    job->started_us = 0;
    job->placed_us = now_us;
    job->stop_error = 0;
    job->stop_requeues = false;
    job->stop_requested = false;
    mw_set_active(zone, job, true);
    if (mw_preemption_is_done(job)) {
        on_preemption_done(ctx, zone, now_us, job);
        return;
    }
    job->state = MW_JOB_RECLAIMING;
    g_ptr_array_add(zone->reclaiming, job);
    mw_preempt_for(ctx, zone, now_us, job);
}

void
mw_resume_reclaiming(struct mw_context *ctx, struct mw_zone *zone,
                     int64_t now_us)
{
    for (guint i = 0; i < zone->reclaiming->len;) {
        struct mw_job *job = zone->reclaiming->pdata[i];

        if (!mw_preemption_is_done(job)) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(zone->reclaiming, i);
        on_preemption_done(ctx, zone, now_us, job);
    }
}

void
mw_start_gang(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
              struct mw_job *job)
{
    (void)ctx;
    job->state = MW_JOB_RUNNING;
    job->started_us = now_us;
    job->ever_started = true;
    for (uint32_t i = 0; i < job->part_count; i++) {
        struct mw_attempt_part *part = &job->parts[i];

        part->state = MW_PART_RUNNING;
        part->query_deadline_us = now_us + 2 * MW_QUERY_INTERVAL_US;
        mw_send_command(zone, job, part, MW_COMMAND_START);
    }
}

void
mw_intent_applied(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                  struct mw_job *job)
{
    job->intent_recorded = true;
    if (job->stop_requested) {
        enum mw_execution_status ran =
            job->spec.idempotent ? MW_NOT_RUN : MW_MAY_HAVE_RUN;
        bool retry = job->stop_requeues && job->spec.idempotent;
        int error = job->stop_error ? job->stop_error : MW_ERR_STOPPED;

        mw_release_allocation(zone, job);
        mw_set_active(zone, job, false);
        if (retry) {
            mw_queue_job(zone, job, true);
        }
        else {
            mw_finish_job(ctx, zone, now_us, job, error, ran);
        }
        return;
    }
    mw_start_gang(ctx, zone, now_us, job);
}

bool
mw_part_is_live(const struct mw_attempt_part *part)
{
    return part->state == MW_PART_RESERVING ||
           part->state == MW_PART_RESERVED || part->state == MW_PART_RUNNING;
}

void
mw_stop_job(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
            struct mw_job *job, int error, bool requeue)
{
    job->stop_error = error;
    job->stop_requeues = requeue;
    if (job->state == MW_JOB_INTENDING) {
        job->stop_requested = true;
        return;
    }
    if (job->state == MW_JOB_QUEUED) {
        mw_unqueue_job(zone, job);
        mw_finish_job(ctx, zone, now_us, job, error, MW_NOT_RUN);
        return;
    }
    if (job->state == MW_JOB_RECLAIMING) {
        g_ptr_array_remove(zone->reclaiming, job);
    }
    job->state = MW_JOB_STOPPING;
    job->stop_deadline_us = now_us + MW_STOP_RESEND_US;
    for (uint32_t i = 0; i < job->part_count; i++) {
        struct mw_attempt_part *part = &job->parts[i];

        if (mw_part_is_live(part)) {
            mw_send_command(zone, job, part, MW_COMMAND_STOP);
            part->state = MW_PART_STOPPING;
        }
        else if (part->state == MW_PART_PLANNED) {
            part->state = MW_PART_TERMINATED;
        }
    }
    mw_check_stopped(ctx, zone, now_us, job);
}

unsigned
mw_count_parts(const struct mw_job *job, enum mw_part_state state)
{
    unsigned n = 0;

    for (uint32_t i = 0; i < job->part_count; i++) {
        n += job->parts[i].state == state;
    }
    return n;
}

/* The outputs of all parts, in the order of the parts. */
static struct mw_blob *
join_outputs(const struct mw_job *job)
{
    GString *text = g_string_new(NULL);

    if (job->part_count == 1) {
        g_string_free(text, TRUE);
        return mw_keep_blob(job->parts[0].output);
    }
    for (uint32_t i = 0; i < job->part_count; i++) {
        struct mw_str part = mw_blob_str(job->parts[i].output);

        g_string_append_len(text, part.ptr, (gssize)part.len);
    }
    struct mw_blob *blob = mw_new_blob((struct mw_str){text->str, text->len});

    g_string_free(text, TRUE);
    return blob;
}

void
mw_complete_gang(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                 struct mw_job *job)
{
    for (uint32_t i = 0; i < job->part_count; i++) {
        mw_note_endpoint_success(ctx, zone, job->parts[i].endpoint);
    }
    mw_add_runtime_sample(zone, job, now_us - job->started_us);
    /* an output from before the leader lost its lease, if its result record
     * was never committed */
    mw_drop_blob(job->output);
    job->output = join_outputs(job);
    mw_clear_part_outputs(job);
    mw_release_allocation(zone, job);
    mw_set_active(zone, job, false);
    mw_finish_job(ctx, zone, now_us, job, 0, MW_RAN);
}

void
mw_check_stopped(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                 struct mw_job *job)
{
    unsigned finished = mw_count_parts(job, MW_PART_FINISHED);
    bool started = job->started_us != 0;

    if (job->state != MW_JOB_STOPPING) {
        return;
    }
    if (finished + mw_count_parts(job, MW_PART_TERMINATED) < job->part_count) {
        return;
    }
    if (finished == job->part_count && job->stop_error != MW_ERR_FAILED) {
        mw_complete_gang(ctx, zone, now_us, job);
        return;
    }
    mw_release_allocation(zone, job);
    mw_set_active(zone, job, false);
    if (job->stop_requeues &&
        (job->spec.idempotent || !job->intent_recorded)) {
        zone->counters.retries++;
        if (job->spec.checkpoint && job->started_us) {
            job->resume_from = job->attempt_number;
        }
        mw_queue_job(zone, job, true);
        return;
    }
    enum mw_execution_status ran = started                ? MW_MAY_HAVE_RUN
                                   : job->intent_recorded ? MW_MAY_HAVE_RUN
                                                          : MW_NOT_RUN;
    int error = job->stop_error ? job->stop_error : MW_ERR_STOPPED;

    if (error == MW_ERR_FAILED) {
        ran = MW_RAN;
    }
    mw_finish_job(ctx, zone, now_us, job, error, ran);
}

void
mw_abort_gang(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
              struct mw_job *job, int error, bool requeue)
{
    if (job->part_count > 1) {
        zone->counters.gangs_broken++;
    }
    mw_stop_job(ctx, zone, now_us, job, error, requeue);
}

void
mw_lose_part(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
             struct mw_job *job, struct mw_attempt_part *part, bool permanent)
{
    switch (job->state) {
    case MW_JOB_STOPPING:
        if (part->state == MW_PART_STOPPING) {
            part->state = MW_PART_TERMINATED;
        }
        mw_check_stopped(ctx, zone, now_us, job);
        return;
    case MW_JOB_RECLAIMING:
    case MW_JOB_INTENDING:
        mw_abort_gang(ctx, zone, now_us, job, 0, true);
        return;
    case MW_JOB_RESERVING:
        part->state = MW_PART_TERMINATED;
        mw_abort_gang(ctx, zone, now_us, job, 0, true);
        return;
    case MW_JOB_RUNNING:
        break;
    default:
        return;
    }
    if (part->state == MW_PART_FINISHED) {
        return;
    }
    if (!job->spec.idempotent && !permanent) {
        /* the endpoint may come back and report the outcome */
        part->lost_deadline_us = now_us + MW_OUTCOME_TIMEOUT_US;
        return;
    }
    part->state = MW_PART_TERMINATED;
    if (!job->spec.idempotent) {
        zone->counters.unknown++;
    }
    mw_abort_gang(ctx, zone, now_us, job,
                  job->spec.idempotent ? 0 : MW_ERR_UNKNOWN,
                  job->spec.idempotent);
}

static void
tick_part(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
          struct mw_job *job, struct mw_attempt_part *part)
{
    if (part->lost_deadline_us > 0 && now_us >= part->lost_deadline_us &&
        part->state == MW_PART_RUNNING) {
        part->lost_deadline_us = 0;
        mw_lose_part(ctx, zone, now_us, job, part, true);
        return;
    }
    if (part->state == MW_PART_RESERVING &&
        now_us >= part->query_deadline_us) {
        part->query_deadline_us = now_us + MW_QUERY_INTERVAL_US;
        mw_send_command(zone, job, part, MW_COMMAND_RESERVE);
    }
    if (part->state == MW_PART_STOPPING && !part->endpoint->up) {
        mw_lose_part(ctx, zone, now_us, job, part, true);
        return;
    }
    if (part->state == MW_PART_STOPPING && now_us >= job->stop_deadline_us) {
        mw_send_command(zone, job, part, MW_COMMAND_STOP);
    }
}

static void
tick_job(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
         struct mw_job *job)
{
    for (uint32_t i = 0; i < job->part_count && job->allocated; i++) {
        tick_part(ctx, zone, now_us, job, &job->parts[i]);
    }
    if (job->state == MW_JOB_STOPPING && now_us >= job->stop_deadline_us) {
        job->stop_deadline_us = now_us + MW_STOP_RESEND_US;
    }
    if (job->state == MW_JOB_RESERVING &&
        now_us - job->placed_us >= MW_RESERVE_TIMEOUT_US) {
        job->retry_deadline_us = now_us + MW_RETRY_DELAY_US;
        mw_abort_gang(ctx, zone, now_us, job, 0, true);
    }
    bool late = job->spec.deadline_us > 0 && now_us >= job->spec.deadline_us;

    if (late && !job->recorded && job->state == MW_JOB_RUNNING) {
        mw_stop_job(ctx, zone, now_us, job, MW_ERR_DEADLINE, false);
    }
}

void
mw_active_tick(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    for (guint i = zone->active->len; i > 0; i--) {
        if (i <= zone->active->len) {
            tick_job(ctx, zone, now_us, zone->active->pdata[i - 1]);
        }
    }
}

/* A new leader takes over an attempt whose start intent is recorded. */
static void
adopt_attempt(struct mw_zone *zone, int64_t now_us, struct mw_job *job)
{
    struct mw_placement placement = {.count = job->part_count};

    /* an outcome reported to an earlier leader is queried again */
    mw_clear_part_outputs(job);
    for (uint32_t i = 0; i < placement.count; i++) {
        placement.parts[i] = job->parts[i];
        placement.parts[i].state = MW_PART_RUNNING;
        placement.parts[i].query_deadline_us = now_us;
        placement.parts[i].lost_deadline_us = now_us + MW_OUTCOME_TIMEOUT_US;
    }
    mw_allocate_placement(zone, job, &placement,
                          mw_spec_is_preemptible(&job->spec)
                              ? MW_ALLOC_PREEMPTIBLE
                              : MW_ALLOC_NONPREEMPTIBLE,
                          NULL);
    job->state = MW_JOB_RUNNING;
    job->started_us = now_us;
    mw_set_active(zone, job, true);
    for (uint32_t i = 0; i < job->part_count; i++) {
        if (job->parts[i].endpoint->up) {
            mw_send_command(zone, job, &job->parts[i], MW_COMMAND_QUERY);
        }
    }
}

void
mw_adopt_jobs(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    (void)ctx;
    g_hash_table_iter_init(&iter, zone->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_job *job = value;

        if (job->state == MW_JOB_RUNNING && job->intent_recorded) {
            adopt_attempt(zone, now_us, job);
        }
        else if (job->state == MW_JOB_QUEUED && !job->in_queue) {
            mw_queue_job(zone, job, false);
        }
    }
}
