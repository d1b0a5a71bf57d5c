/*
 * zone: creating and freeing a scheduler, leadership changes, and the check
 * of a document's guarantees.
 */
#include "zone-impl.h"

static void
free_endpoint(void *data)
{
    struct mw_endpoint *e = data;

    g_ptr_array_unref(e->jobs);
    g_free(e);
}

static void
free_org(void *data)
{
    struct mw_zone_org *org = data;

    g_ptr_array_unref(org->cells);
    g_free(org);
}

static void
free_rack(void *data)
{
    struct mw_rack *rack = data;

    g_ptr_array_unref(rack->endpoints);
    g_free(rack);
}

struct mw_zone *
mw_new_zone(const struct mw_name *name, const struct mw_zone_output *output)
{
    struct mw_zone *zone = g_new0(struct mw_zone, 1);

    zone->name = *name;
    zone->output = *output;
    zone->next_job = 1;
    zone->endpoints =
        g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, free_endpoint);
    zone->endpoint_list = g_ptr_array_new();
    zone->racks = g_ptr_array_new_with_free_func(free_rack);
    zone->orgs =
        g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, free_org);
    zone->org_list = g_ptr_array_new();
    zone->jobs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, mw_free_job);
    zone->jobs_by_key = g_hash_table_new(mw_hash_key, mw_same_key);
    zone->runtime_histograms =
        g_hash_table_new_full(mw_hash_key, mw_same_key, NULL, g_free);
    zone->reclaiming = g_ptr_array_new();
    zone->active = g_ptr_array_new();
    mw_init_cells(zone);
    return zone;
}

void
mw_drop_zone(struct mw_zone *zone)
{
    if (!zone) {
        return;
    }
    g_ptr_array_unref(zone->cells);
    g_ptr_array_unref(zone->active);
    g_ptr_array_unref(zone->reclaiming);
    g_hash_table_unref(zone->jobs_by_key);
    g_hash_table_unref(zone->jobs);
    g_hash_table_unref(zone->runtime_histograms);
    g_ptr_array_unref(zone->org_list);
    g_hash_table_unref(zone->orgs);
    g_ptr_array_unref(zone->racks);
    g_ptr_array_unref(zone->endpoint_list);
    g_hash_table_unref(zone->endpoints);
    mw_drop_document(zone->document);
    g_free(zone);
}

static void
remove_jobs(struct mw_zone *zone, bool (*wanted)(const struct mw_job *job))
{
    GPtrArray *jobs = mw_all_jobs(zone);

    for (guint i = 0; i < jobs->len; i++) {
        if (wanted(jobs->pdata[i])) {
            mw_remove_job(zone, jobs->pdata[i]);
        }
    }
    g_ptr_array_unref(jobs);
}

static bool
is_any(const struct mw_job *job)
{
    (void)job;
    return true;
}

static bool
is_unrecorded(const struct mw_job *job)
{
    return !job->recorded || job->state == MW_JOB_ACCEPTING;
}

void
mw_zone_reset(struct mw_zone *zone)
{
    remove_jobs(zone, is_any);
    mw_remove_cells(zone);
    mw_drop_document(zone->document);
    zone->document = NULL;
    zone->out_of_service = false;
    zone->out_sequence = 0;
    zone->next_job = 1;
}

/* Returns a job to the state that its committed records give it. */
static void
revert_to_records(struct mw_zone *zone, struct mw_job *job)
{
    mw_unqueue_job(zone, job);
    mw_release_allocation(zone, job);
    mw_set_active(zone, job, false);
    g_ptr_array_remove(zone->reclaiming, job);
    job->result_refused = false;
    if (job->state == MW_JOB_DONE && !job->result_recorded) {
        job->state = job->intent_recorded ? MW_JOB_RUNNING : MW_JOB_QUEUED;
    }
    else if (job->state != MW_JOB_DONE && job->state != MW_JOB_HANDED &&
             job->state != MW_JOB_ACCEPTING) {
        job->state = job->intent_recorded ? MW_JOB_RUNNING : MW_JOB_QUEUED;
    }
}

static void
stop_leading(struct mw_zone *zone)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, zone->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_job *job = value;

        if (job->state != MW_JOB_DONE) {
            job->error = MW_ERR_NOT_LEADER;
            job->ran = job->ever_started || job->recorded ? MW_MAY_HAVE_RUN
                                                          : MW_NOT_RUN;
        }
        mw_answer_waiters(zone, job);
        revert_to_records(zone, job);
    }
    remove_jobs(zone, is_unrecorded);
}

void
mw_zone_set_leadership(struct mw_context *ctx, struct mw_zone *zone,
                       int64_t now_us, enum mw_lead_scope lead, uint64_t epoch)
{
    if (lead == zone->lead_scope && epoch == zone->epoch) {
        return;
    }
    if (zone->leading) {
        zone->leading = false;
        stop_leading(zone);
    }
    zone->lead_scope = lead;
    zone->leading = lead != MW_LEAD_NONE;
    zone->epoch = epoch;
    if (!zone->leading) {
        return;
    }
    mw_adopt_jobs(ctx, zone, now_us);
    mw_claim_cells_for_running(zone);
    zone->cell_plan_needed = true;
    zone->pass_needed = true;
    zone->tick_deadline_us = now_us;
}

static void
fail_unplaced_cell(struct mw_context *ctx, const struct mw_cell *cell)
{
    const struct mw_shape *shape = &cell->guarantee->shape;
    static const char *const adjacent[] = {"zone", "rack", "endpoint"};

    mw_fail(ctx, MW_ERR_GUARANTEE,
            "organisation %.*s in zone %.*s: %u tasks of %u accelerators "
            "adjacent in %s do not fit beside the other guarantees",
            MW_FMT(mw_name_str(&cell->org->name)),
            MW_FMT(mw_name_str(&cell->guarantee->zone)), shape->tasks,
            shape->need.accelerators, adjacent[shape->adjacent]);
}

static void
copy_endpoint(void *opaque, const struct mw_endpoint_view *view)
{
    struct mw_zone *trial = opaque;
    struct mw_context ctx = {0};
    struct mw_announcement announce = {
        .endpoint = view->name,
        .rack = view->rack,
        .total = view->total,
        .incarnation = 1,
    };

    if (view->up && !view->draining) {
        mw_zone_announce(&ctx, trial, 0, &announce);
    }
}

int
mw_zone_check_guarantees(struct mw_context *ctx, const struct mw_zone *zone,
                         const struct mw_document *doc)
{
    struct mw_zone_output none = {0};
    struct mw_zone *trial = mw_new_zone(&zone->name, &none);
    struct mw_context quiet = {0};
    int err = 0;

    mw_zone_each_endpoint(zone, trial, copy_endpoint);
    trial->document = mw_keep_document((struct mw_document *)doc);
    mw_build_cells(&quiet, trial, 0);
    for (guint i = 0; i < trial->cells->len && !err; i++) {
        const struct mw_cell *cell = trial->cells->pdata[i];

        if (!cell->placed) {
            fail_unplaced_cell(ctx, cell);
            err = MW_ERR_GUARANTEE;
        }
    }
    mw_drop_zone(trial);
    return err;
}
