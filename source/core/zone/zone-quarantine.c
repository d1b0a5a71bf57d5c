/*
 * zone-quarantine: endpoints on which every job fails.
 *
 * Such an endpoint is always free and so attracts more jobs.  Consecutive
 * failures of different jobs put it in quarantine.  While in quarantine it
 * is probed with one preemptible single-task job at a time, and a success
 * ends the quarantine.  A job that fails on every endpoint is itself at
 * fault; its failures are then discounted at these endpoints.
 */
#include "zone-impl.h"

static void
set_quarantine(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
               struct mw_endpoint *e)
{
    uint32_t most = zone->live_endpoints / MW_QUARANTINE_DIVISOR;

    if (!e->quarantined && zone->quarantined >= MAX(most, 1)) {
        return;
    }
    if (!e->quarantined) {
        zone->quarantined++;
        zone->counters.quarantined++;
        e->quarantine_us = MW_QUARANTINE_US;
        zone->cell_plan_needed = true;
        mw_emit_event(ctx, MW_SEVERITY_WARNING,
                      "event=quarantine endpoint=%.*s",
                      MW_FMT(mw_name_str(&e->name)));
    }
    else {
        e->quarantine_us = MIN(2 * e->quarantine_us, MW_QUARANTINE_MAX_US);
    }
    e->quarantined = true;
    e->probe_job = 0;
    e->probe_deadline_us = now_us + e->quarantine_us;
}

void
mw_count_endpoint_failure(struct mw_context *ctx, struct mw_zone *zone,
                          int64_t now_us, struct mw_endpoint *e,
                          const struct mw_job *job)
{
    if (e->last_failed_job != job->id) {
        e->consecutive_failures++;
        e->last_failed_job = job->id;
    }
    if (e->quarantined ||
        e->consecutive_failures >= MW_QUARANTINE_AFTER_FAILURES) {
        set_quarantine(ctx, zone, now_us, e);
    }
}

void
mw_count_job_failure(struct mw_context *ctx, struct mw_zone *zone,
                     int64_t now_us, struct mw_endpoint *e, struct mw_job *job)
{
    if (job->failures < MW_ATTEMPTS_MAX) {
        job->failed_on[job->failures] = e;
    }
    job->failures++;
    mw_count_endpoint_failure(ctx, zone, now_us, e, job);
}

static void
end_quarantine(struct mw_context *ctx, struct mw_zone *zone,
               struct mw_endpoint *e)
{
    if (!e->quarantined) {
        return;
    }
    e->quarantined = false;
    e->probe_job = 0;
    zone->quarantined--;
    zone->cell_plan_needed = true;
    zone->pass_needed = true;
    mw_emit_event(ctx, MW_SEVERITY_NOTICE,
                  "event=quarantine_end endpoint=%.*s",
                  MW_FMT(mw_name_str(&e->name)));
}

void
mw_note_endpoint_success(struct mw_context *ctx, struct mw_zone *zone,
                         struct mw_endpoint *e)
{
    e->consecutive_failures = 0;
    e->last_failed_job = 0;
    end_quarantine(ctx, zone, e);
}

void
mw_discount_endpoint_failures(struct mw_zone *zone, struct mw_job *job)
{
    for (uint32_t i = 0; i < MIN(job->failures, MW_ATTEMPTS_MAX); i++) {
        struct mw_endpoint *e = job->failed_on[i];

        if (e->consecutive_failures > 0 && !e->quarantined) {
            e->consecutive_failures--;
        }
    }
    zone->pass_needed = true;
}

bool
mw_probe_allowed(const struct mw_endpoint *e, const struct mw_job *job,
                 int64_t now_us)
{
    if (!e->quarantined) {
        return true;
    }
    return job && mw_spec_is_preemptible(&job->spec) &&
           job->spec.shape.tasks == 1 && e->probe_job == 0 &&
           now_us >= e->probe_deadline_us;
}
