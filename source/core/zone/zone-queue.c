/*
 * zone-queue: the order in which queued jobs are scheduled.
 *
 * Urgent jobs first, then normal, then batch.  Within one level the order
 * is weighted fair share: first the organisation with the least usage in
 * proportion to its guarantee.  Aging moves batch jobs up a level.  When
 * the head of a queue can't be placed, a few jobs behind it are tried
 * (backfilling).
 */
#include "zone-impl.h"

#define BACKFILL_TRIES 8
#define BACKFILL_SCAN 64
#define FAILED_SHAPES_MAX 32
#define BACKFILL_RESERVE_AFTER_US 30000000
#define BACKFILL_RESERVE_MIN_ACCELERATORS 8

/* Shapes without a placement in this pass; larger ones have none either. */
struct pass {
    int64_t now_us;
    unsigned count;
    struct {
        struct mw_shape shape;
        bool preemptible;
    } failed[FAILED_SHAPES_MAX];
};

struct mw_zone_org *
mw_find_or_add_org(struct mw_zone *zone, const struct mw_name *name)
{
    struct mw_zone_org *org = g_hash_table_lookup(zone->orgs, name);

    if (org) {
        return org;
    }
    org = g_new0(struct mw_zone_org, 1);
    org->name = *name;
    org->weight = 1;
    org->queued_max = MW_ORG_QUEUED_MAX;
    org->cells = g_ptr_array_new();
    for (int i = 0; i < MW_PRIORITIES; i++) {
        g_queue_init(&org->queue[i]);
    }
    g_hash_table_insert(zone->orgs, &org->name, org);
    g_ptr_array_add(zone->org_list, org);
    return org;
}

void
mw_queue_job(struct mw_zone *zone, struct mw_job *job, bool first)
{
    GQueue *queue = &job->org->queue[job->queue_level];

    job->state = MW_JOB_QUEUED;
    mw_clear_part_outputs(job);
    job->queue_link = (GList){.data = job};
    if (first) {
        g_queue_push_head_link(queue, &job->queue_link);
    }
    else {
        g_queue_push_tail_link(queue, &job->queue_link);
    }
    job->in_queue = true;
    job->org->queued++;
    zone->queued++;
    zone->pass_needed = true;
}

void
mw_unqueue_job(struct mw_zone *zone, struct mw_job *job)
{
    if (!job->in_queue) {
        return;
    }
    g_queue_unlink(&job->org->queue[job->queue_level], &job->queue_link);
    job->in_queue = false;
    job->org->queued--;
    zone->queued--;
    mw_clear_backfill_reservation(zone, job);
    mw_clear_nominations(job);
}

static bool
allocate_outside_cells(struct mw_zone *zone, int64_t now_us,
                       struct mw_job *job)
{
    bool preemptible = mw_spec_is_preemptible(&job->spec);
    struct mw_placement placement;

    if (!mw_find_placement(zone, now_us, &job->spec.shape,
                           preemptible ? MW_CAPACITY_FREE
                                       : MW_CAPACITY_FREE_OUTSIDE_CELLS,
                           job, &placement)) {
        return false;
    }
    mw_allocate_placement(
        zone, job, &placement,
        preemptible ? MW_ALLOC_PREEMPTIBLE : MW_ALLOC_NONPREEMPTIBLE, NULL);
    if (preemptible) {
        zone->counters.placed_free++;
    }
    else {
        zone->counters.placed_firm++;
    }
    return true;
}

static bool
is_known_not_to_fit(const struct pass *pass, const struct mw_job *job)
{
    const struct mw_shape *s = &job->spec.shape;
    bool preemptible = mw_spec_is_preemptible(&job->spec);

    for (unsigned i = 0; pass && i < pass->count; i++) {
        const struct mw_shape *f = &pass->failed[i].shape;

        if (pass->failed[i].preemptible == preemptible &&
            f->adjacent == s->adjacent && f->tasks <= s->tasks &&
            mw_resources_fit(&f->need, &s->need)) {
            return true;
        }
    }
    return false;
}

static void
add_failed_shape(struct pass *pass, const struct mw_job *job)
{
    if (pass && pass->count < FAILED_SHAPES_MAX && job->failures == 0) {
        pass->failed[pass->count].shape = job->spec.shape;
        pass->failed[pass->count].preemptible =
            mw_spec_is_preemptible(&job->spec);
        pass->count++;
    }
}

static bool
try_outside_cells(struct mw_zone *zone, int64_t now_us, struct mw_job *job,
                  struct pass *pass)
{
    /* a nominated job waits for the cell from which work was preempted */
    if (mw_is_nominated(job) || is_known_not_to_fit(pass, job)) {
        return false;
    }
    if (allocate_outside_cells(zone, now_us, job)) {
        return true;
    }
    add_failed_shape(pass, job);
    return false;
}

/*
 * Allocates the endpoints of the job's backfill reservation, by preemption
 * of checkpointable work.
 */
static bool
allocate_backfill_reservation(struct mw_zone *zone, struct mw_job *job)
{
    struct mw_placement placement;
    bool preemptible = mw_spec_is_preemptible(&job->spec);

    if (!mw_find_reserved_placement(zone, job, &placement)) {
        return false;
    }
    mw_allocate_placement(
        zone, job, &placement,
        preemptible ? MW_ALLOC_PREEMPTIBLE : MW_ALLOC_NONPREEMPTIBLE, NULL);
    return true;
}

/* Whether the job takes only a part of an endpoint. */
static bool
is_small(const struct mw_zone *zone, const struct mw_job *job)
{
    const struct mw_shape *shape = &job->spec.shape;

    return shape->tasks == 1 &&
           shape->need.accelerators < zone->largest.accelerators;
}

/*
 * Small jobs go where the index packs them, and into a cell only if there is
 * no other capacity: a cell that holds one small job is of no use to a gang.
 */
static bool
allocate_anywhere(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                  struct mw_job *job, struct pass *pass)
{
    bool small = is_small(zone, job);

    zone->counters.tries++;
    if (small && try_outside_cells(zone, now_us, job, pass)) {
        return true;
    }
    if (mw_claim_cell(ctx, zone, now_us, job, false)) {
        return true;
    }
    if (!small && (try_outside_cells(zone, now_us, job, pass) ||
                   allocate_backfill_reservation(zone, job))) {
        return true;
    }
    if (mw_claim_cell(ctx, zone, now_us, job, true)) {
        zone->counters.reclaims++;
        return true;
    }
    return false;
}

static bool
try_in_pass(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
            struct mw_job *job, struct pass *pass)
{
    if (now_us < job->retry_deadline_us ||
        !mw_slow_start_admits(zone, now_us) ||
        !allocate_anywhere(ctx, zone, now_us, job, pass)) {
        return false;
    }
    mw_unqueue_job(zone, job);
    mw_begin_attempt(ctx, zone, now_us, job);
    return true;
}

bool
mw_try_job(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
           struct mw_job *job)
{
    return try_in_pass(ctx, zone, now_us, job, NULL);
}

static void
consider_backfill_reservation(struct mw_zone *zone, int64_t now_us,
                              struct mw_job *job)
{
    uint32_t size = job->spec.shape.tasks * job->spec.shape.need.accelerators;

    if (size >= BACKFILL_RESERVE_MIN_ACCELERATORS &&
        now_us - job->submitted_us >= BACKFILL_RESERVE_AFTER_US) {
        mw_set_backfill_reservation(zone, now_us, job);
    }
}

/* Starts the first job of a queue that can be placed, with backfilling. */
static bool
try_org(struct mw_context *ctx, struct mw_zone *zone, struct pass *pass,
        struct mw_zone_org *org, int level)
{
    GList *link = org->queue[level].head;
    int tries = 0;

    for (int i = 0; link && i < BACKFILL_SCAN && tries < BACKFILL_TRIES; i++) {
        struct mw_job *job = link->data;

        link = link->next;
        /* a shape known not to fit is no try if there is no cell to claim */
        tries += !is_known_not_to_fit(pass, job) || org->cells->len > 0;
        if (try_in_pass(ctx, zone, pass->now_us, job, pass)) {
            return true;
        }
        if (i == 0) {
            consider_backfill_reservation(zone, pass->now_us, job);
        }
    }
    return false;
}

/* The organisation with the least usage for its weight (fair share). */
static struct mw_zone_org *
next_org(const struct mw_zone *zone, int level)
{
    struct mw_zone_org *best = NULL;

    for (guint i = 0; i < zone->org_list->len; i++) {
        struct mw_zone_org *org = zone->org_list->pdata[i];

        if (org->blocked[level] || org->queue[level].length == 0) {
            continue;
        }
        if (!best || org->usage * best->weight < best->usage * org->weight) {
            best = org;
        }
    }
    return best;
}

static void
schedule_level(struct mw_context *ctx, struct mw_zone *zone, struct pass *pass,
               int level)
{
    struct mw_zone_org *org;

    for (guint i = 0; i < zone->org_list->len; i++) {
        org = zone->org_list->pdata[i];
        org->blocked[level] = false;
    }
    org = next_org(zone, level);
    while (org) {
        if (!try_org(ctx, zone, pass, org, level)) {
            org->blocked[level] = true;
        }
        org = next_org(zone, level);
    }
}

/* Moves at most one aged batch job of each organisation up a level. */
static void
promote_aged(struct mw_zone *zone, int64_t now_us)
{
    for (guint i = 0; i < zone->org_list->len; i++) {
        struct mw_zone_org *org = zone->org_list->pdata[i];
        struct mw_job *job = g_queue_peek_head(&org->queue[MW_BATCH]);

        if (!job || now_us - job->submitted_us < MW_AGING_US) {
            continue;
        }
        mw_unqueue_job(zone, job);
        job->queue_level = MW_NORMAL;
        mw_queue_job(zone, job, false);
    }
}

void
mw_schedule(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    if (!zone->leading) {
        return;
    }
    if (zone->cell_plan_needed) {
        mw_plan_cells(ctx, zone, now_us);
    }
    mw_resume_reclaiming(ctx, zone, now_us);
    if (zone->out_of_service || !zone->pass_needed) {
        return;
    }
    zone->pass_needed = false;
    zone->counters.passes++;
    if (zone->queued == 0) {
        return;
    }
    struct pass pass = {.now_us = now_us};

    promote_aged(zone, now_us);
    for (int level = 0; level < MW_PRIORITIES; level++) {
        schedule_level(ctx, zone, &pass, level);
    }
    zone->pass_needed = false;
}
