/*
 * zone-claim: allocation of jobs in the cells of their organisation.
 */
#include <string.h>

#include "zone-impl.h"

/*
 * How many tasks of the job fit into one part of the cell; with preempt also
 * where other work would have to stop.
 */
static uint32_t
tasks_that_fit_part(const struct mw_cell *cell, uint32_t i,
                    const struct mw_job *job, bool preempt)
{
    struct mw_resources available = mw_cell_unclaimed(cell, i);
    const struct mw_endpoint *e = cell->parts[i].endpoint;

    if (!mw_endpoint_usable(e) || e->quarantined || mw_has_failed_on(job, e)) {
        return 0;
    }
    if (!preempt) {
        struct mw_resources free = mw_endpoint_free(e);
        uint32_t n = mw_resources_fit_count(&job->spec.shape.need, &free);

        return MIN(n,
                   mw_resources_fit_count(&job->spec.shape.need, &available));
    }
    return mw_resources_fit_count(&job->spec.shape.need, &available);
}

static bool
satisfies_adjacency(const struct mw_cell *cell, const struct mw_job *job)
{
    if (job->spec.shape.adjacent != MW_ADJACENT_RACK) {
        return true;
    }
    for (uint32_t i = 1; i < cell->part_count; i++) {
        if (cell->parts[i].endpoint->rack != cell->parts[0].endpoint->rack) {
            return false;
        }
    }
    return true;
}

/* Finds a placement for the job in the cell; false if it does not fit. */
static bool
fit_cell(const struct mw_cell *cell, const struct mw_job *job, bool preempt,
         struct mw_placement *placement)
{
    const struct mw_shape *shape = &job->spec.shape;
    bool on_one_endpoint = shape->adjacent == MW_ADJACENT_ENDPOINT;
    uint32_t left = shape->tasks;

    placement->count = 0;
    if (!cell->placed || !satisfies_adjacency(cell, job) ||
        (cell->nominated_job && cell->nominated_job != job)) {
        return false;
    }
    for (uint32_t i = 0; i < cell->part_count && left > 0; i++) {
        uint32_t n = tasks_that_fit_part(cell, i, job, preempt);

        if (n == 0 || (on_one_endpoint && n < shape->tasks)) {
            continue;
        }
        n = MIN(n, left);
        placement->parts[placement->count++] = (struct mw_attempt_part){
            .endpoint = cell->parts[i].endpoint,
            .tasks = n,
            .cell_part = i,
        };
        left -= n;
    }
    return left == 0;
}

/* Accelerators and slots that would have to be preempted. */
static uint32_t
resources_to_preempt(const struct mw_job *job,
                     const struct mw_placement *placement)
{
    uint32_t sum = 0;

    for (uint32_t i = 0; i < placement->count; i++) {
        struct mw_resources need = {0};
        struct mw_resources free =
            mw_endpoint_free(placement->parts[i].endpoint);

        mw_resources_add(&need, &job->spec.shape.need,
                         placement->parts[i].tasks);
        need = mw_resources_sub_saturating(&need, &free);
        sum += need.accelerators + need.slots;
    }
    return sum;
}

static uint32_t
unclaimed_accelerators(const struct mw_cell *cell)
{
    uint32_t sum = 0;

    for (uint32_t i = 0; i < cell->part_count; i++) {
        sum += mw_cell_unclaimed(cell, i).accelerators;
    }
    return sum;
}

/* The cell with the least preemption, then with the least left unclaimed. */
static struct mw_cell *
best_cell(struct mw_zone_org *org, const struct mw_job *job, bool preempt,
          struct mw_placement *placement)
{
    struct mw_cell *best = NULL;
    uint64_t best_cost = UINT64_MAX;
    struct mw_placement candidate;

    for (guint i = 0; i < org->cells->len; i++) {
        struct mw_cell *cell = org->cells->pdata[i];

        if (!fit_cell(cell, job, preempt, &candidate)) {
            continue;
        }
        uint64_t cost =
            ((uint64_t)resources_to_preempt(job, &candidate) << 32) +
            unclaimed_accelerators(cell);

        if (cost < best_cost) {
            best = cell;
            best_cost = cost;
            placement->count = candidate.count;
            memcpy(placement->parts, candidate.parts,
                   candidate.count * sizeof candidate.parts[0]);
        }
    }
    return best;
}

/*
 * An unclaimed cell whose capacity is in use by other work may move to a
 * placement that needs no preemption.
 */
static struct mw_cell *
move_cell(struct mw_zone *zone, int64_t now_us, const struct mw_job *job,
          struct mw_placement *placement)
{
    struct mw_placement moved;

    for (guint i = 0; i < job->org->cells->len; i++) {
        struct mw_cell *cell = job->org->cells->pdata[i];

        if (!cell->placed || cell->claims->len > 0 ||
            !fit_cell(cell, job, true, placement)) {
            continue;
        }
        struct mw_cell old = *cell;

        cell->parts = g_memdup2(old.parts, old.part_count * sizeof *old.parts);
        mw_unplace_cell(zone, cell);
        if (mw_find_placement(zone, now_us, &cell->guarantee->shape,
                              MW_CAPACITY_FREE_OUTSIDE_CELLS, NULL, &moved)) {
            mw_place_cell(zone, cell, &moved);
            zone->counters.cells_moved++;
            g_free(old.parts);
            if (fit_cell(cell, job, false, placement)) {
                return cell;
            }
            continue;
        }
        *cell = old;
        for (uint32_t p = 0; p < cell->part_count; p++) {
            mw_resources_add(&cell->parts[p].endpoint->cells,
                             &cell->guarantee->shape.need,
                             cell->parts[p].tasks);
        }
        return NULL;
    }
    return NULL;
}

/* Whether a claim of the same organisation may be preempted for the job. */
static bool
is_preemptible_by(const struct mw_job *claim, const struct mw_job *job)
{
    return mw_spec_is_preemptible(&claim->spec) &&
           claim->spec.priority > job->spec.priority &&
           claim->state == MW_JOB_RUNNING;
}

/* The cell that the job fits into by preemption of the least work. */
static struct mw_cell *
find_preemptible_cell(struct mw_job *job, int64_t now_us)
{
    struct mw_cell *best = NULL;
    int64_t best_lost = INT64_MAX;
    struct mw_placement candidate;

    for (guint i = 0; i < job->org->cells->len; i++) {
        struct mw_cell *cell = job->org->cells->pdata[i];
        int64_t lost = 0;
        struct mw_cell empty = *cell;

        empty.parts =
            g_memdup2(cell->parts, cell->part_count * sizeof *cell->parts);
        for (guint c = 0; c < cell->claims->len; c++) {
            struct mw_job *claim = cell->claims->pdata[c];

            if (!is_preemptible_by(claim, job)) {
                continue;
            }
            lost += mw_lost_work(claim, now_us);
            for (uint32_t p = 0; p < claim->part_count; p++) {
                mw_resources_sub(
                    &empty.parts[claim->parts[p].cell_part].claimed,
                    &claim->spec.shape.need, claim->parts[p].tasks);
            }
        }
        if (fit_cell(&empty, job, true, &candidate) && lost < best_lost) {
            best = cell;
            best_lost = lost;
        }
        g_free(empty.parts);
    }
    return best;
}

/*
 * Preempts claims of lower priority of the same organisation.  The cell is
 * nominated for the job until a later pass allocates it; otherwise the
 * preempted jobs would claim it again.
 */
static void
preempt_claims(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
               struct mw_job *job)
{
    struct mw_cell *cell = find_preemptible_cell(job, now_us);
    GPtrArray *claims;

    if (!cell || cell->nominated_job) {
        return;
    }
    cell->nominated_job = job;
    claims = g_ptr_array_copy(cell->claims, NULL, NULL);
    for (guint c = 0; c < claims->len; c++) {
        struct mw_job *claim = claims->pdata[c];

        if (is_preemptible_by(claim, job)) {
            zone->counters.victims++;
            mw_stop_job(ctx, zone, now_us, claim, 0, true);
        }
    }
    g_ptr_array_unref(claims);
}

bool
mw_is_nominated(const struct mw_job *job)
{
    for (guint i = 0; i < job->org->cells->len; i++) {
        const struct mw_cell *cell = job->org->cells->pdata[i];

        if (cell->nominated_job == job) {
            return true;
        }
    }
    return false;
}

void
mw_clear_nominations(struct mw_job *job)
{
    for (guint i = 0; i < job->org->cells->len; i++) {
        struct mw_cell *cell = job->org->cells->pdata[i];

        if (cell->nominated_job == job) {
            cell->nominated_job = NULL;
        }
    }
}

bool
mw_claim_cell(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
              struct mw_job *job, bool preempt)
{
    struct mw_placement placement;
    struct mw_cell *cell = NULL;

    if (job->org->cells->len == 0) {
        return false;
    }
    if (preempt) {
        cell = move_cell(zone, now_us, job, &placement);
    }
    if (!cell) {
        cell = best_cell(job->org, job, preempt, &placement);
    }
    if (!cell) {
        if (preempt && job->spec.priority == MW_URGENT) {
            preempt_claims(ctx, zone, now_us, job);
        }
        return false;
    }
    mw_allocate_placement(zone, job, &placement, MW_ALLOC_CELL, cell);
    zone->counters.placed_claim++;
    return true;
}

/* Whether a job's shape fits within that of the cell's guarantee. */
static bool
guarantee_covers(const struct mw_cell *cell, const struct mw_job *job)
{
    const struct mw_shape *g = &cell->guarantee->shape;
    const struct mw_shape *s = &job->spec.shape;

    return mw_resources_fit(&s->need, &g->need) && s->tasks <= g->tasks &&
           (g->adjacent == s->adjacent || g->adjacent == MW_ADJACENT_ZONE);
}

/* Places the cell on the endpoints of the job, if it fits beside others. */
static bool
place_cell_at_parts(struct mw_zone *zone, struct mw_cell *cell,
                    struct mw_job *job)
{
    struct mw_placement placement = {.count = job->part_count};

    memcpy(placement.parts, job->parts, job->part_count * sizeof *job->parts);
    for (uint32_t i = 0; i < placement.count; i++) {
        struct mw_resources need = {0};
        struct mw_endpoint *e = placement.parts[i].endpoint;
        struct mw_resources available;

        mw_resources_add(&need, &cell->guarantee->shape.need,
                         placement.parts[i].tasks);
        available = mw_resources_sub_saturating(&e->total, &e->cells);
        if (!mw_resources_fit(&need, &available)) {
            return false;
        }
    }
    mw_place_cell(zone, cell, &placement);
    return true;
}

void
mw_place_cell_at_job(struct mw_zone *zone, struct mw_job *job)
{
    for (guint i = 0; i < job->org->cells->len; i++) {
        struct mw_cell *cell = job->org->cells->pdata[i];

        if (cell->claims->len > 0 || cell->placed ||
            !guarantee_covers(cell, job) ||
            job->spec.shape.tasks != cell->guarantee->shape.tasks) {
            continue;
        }
        if (!place_cell_at_parts(zone, cell, job)) {
            continue;
        }
        struct mw_placement placement = {.count = job->part_count};

        memcpy(placement.parts, job->parts,
               job->part_count * sizeof *job->parts);
        for (uint32_t p = 0; p < placement.count; p++) {
            placement.parts[p].cell_part = p;
        }
        mw_release_allocation(zone, job);
        mw_allocate_placement(zone, job, &placement, MW_ALLOC_CELL, cell);
        return;
    }
}
