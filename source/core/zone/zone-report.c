/*
 * zone-report: handling the outcomes that endpoints report.
 */
#include "zone-impl.h"

static void
on_reserved(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
            struct mw_job *job, struct mw_attempt_part *part)
{
    if (part->state != MW_PART_RESERVING) {
        return;
    }
    part->state = MW_PART_RESERVED;
    if (job->state == MW_JOB_RESERVING &&
        mw_count_parts(job, MW_PART_RESERVED) == job->part_count) {
        mw_proceed_to_start(ctx, zone, now_us, job);
    }
}

static void
on_finished(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
            struct mw_job *job, struct mw_attempt_part *part,
            const struct mw_report *report)
{
    if (part->state != MW_PART_RUNNING && part->state != MW_PART_STOPPING) {
        return;
    }
    part->state = MW_PART_FINISHED;
    part->output = mw_keep_blob(report->output);
    if (job->state == MW_JOB_STOPPING) {
        mw_check_stopped(ctx, zone, now_us, job);
        return;
    }
    if (mw_count_parts(job, MW_PART_FINISHED) == job->part_count) {
        mw_complete_gang(ctx, zone, now_us, job);
    }
}

static void
on_failed(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
          struct mw_job *job, struct mw_attempt_part *part)
{
    bool was_stopping = job->state == MW_JOB_STOPPING;

    if (!mw_part_is_live(part) && part->state != MW_PART_STOPPING) {
        return;
    }
    part->state = MW_PART_TERMINATED;
    if (was_stopping) {
        mw_check_stopped(ctx, zone, now_us, job);
        return;
    }
    mw_count_job_failure(ctx, zone, now_us, part->endpoint, job);
    bool retry = job->spec.idempotent && job->failures < MW_ATTEMPTS_MAX &&
                 job->failures < zone->live_endpoints;

    if (!retry && job->failures > 1) {
        mw_discount_endpoint_failures(zone, job);
    }
    mw_abort_gang(ctx, zone, now_us, job, retry ? 0 : MW_ERR_FAILED, retry);
}

static void
on_refused(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
           struct mw_job *job, struct mw_attempt_part *part)
{
    if (job->state == MW_JOB_STOPPING || !mw_part_is_live(part)) {
        mw_lose_part(ctx, zone, now_us, job, part, true);
        return;
    }
    /* the endpoint is full or draining: not a failure of the job */
    part->state = MW_PART_TERMINATED;
    mw_count_endpoint_failure(ctx, zone, now_us, part->endpoint, job);
    job->retry_deadline_us = now_us + MW_RETRY_DELAY_US;
    mw_abort_gang(ctx, zone, now_us, job, 0, true);
}

static void
on_lost(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
        struct mw_job *job, struct mw_attempt_part *part)
{
    if (job->state == MW_JOB_RUNNING && job->recorded) {
        part->query_deadline_us = now_us;
        return;
    }
    if (job->state == MW_JOB_RUNNING || job->state == MW_JOB_RESERVING) {
        if (mw_part_is_live(part)) {
            mw_send_command(zone, job, part, MW_COMMAND_STOP);
        }
        mw_lose_part(ctx, zone, now_us, job, part, true);
    }
}

void
mw_zone_report(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
               const struct mw_report *report)
{
    struct mw_job *job = g_hash_table_lookup(zone->jobs, &report->attempt.job);
    struct mw_endpoint *e =
        g_hash_table_lookup(zone->endpoints, &report->endpoint);
    struct mw_attempt_part *part = job && e ? mw_find_part_on(job, e) : NULL;

    if (!zone->leading || !part || !job->allocated ||
        job->epoch != report->attempt.epoch ||
        job->attempt_number != report->attempt.number) {
        zone->counters.stale_reports++;
        return;
    }
    switch (report->outcome) {
    case MW_OUTCOME_RESERVED:
        on_reserved(ctx, zone, now_us, job, part);
        break;
    case MW_OUTCOME_STARTED:
        part->query_deadline_us = now_us + MW_QUERY_INTERVAL_US;
        break;
    case MW_OUTCOME_FINISHED:
        on_finished(ctx, zone, now_us, job, part, report);
        break;
    case MW_OUTCOME_FAILED:
        on_failed(ctx, zone, now_us, job, part);
        break;
    case MW_OUTCOME_STOPPED:
    case MW_OUTCOME_ABSENT:
        mw_lose_part(ctx, zone, now_us, job, part, true);
        break;
    case MW_OUTCOME_REFUSED:
        on_refused(ctx, zone, now_us, job, part);
        break;
    case MW_OUTCOME_LOST:
        on_lost(ctx, zone, now_us, job, part);
        break;
    case MW_OUTCOME_CHECKPOINTED:
        job->checkpoint_us = now_us;
        job->resume_from = job->attempt_number;
        break;
    default:
        zone->counters.stale_reports++;
        break;
    }
}
