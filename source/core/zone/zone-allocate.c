/*
 * zone-allocate: allocation and release of resources, and preemption.
 */
#include <string.h>

#include "zone-impl.h"

struct mw_attempt_part *
mw_find_part_on(struct mw_job *job, const struct mw_endpoint *e)
{
    for (uint32_t i = 0; i < job->part_count; i++) {
        if (job->parts[i].endpoint == e) {
            return &job->parts[i];
        }
    }
    return NULL;
}

static struct mw_resources *
class_total(struct mw_endpoint *e, enum mw_alloc_class alloc_class)
{
    return alloc_class == MW_ALLOC_PREEMPTIBLE      ? &e->preemptible
           : alloc_class == MW_ALLOC_NONPREEMPTIBLE ? &e->nonpreemptible
                                                    : NULL;
}

void
mw_allocate_placement(struct mw_zone *zone, struct mw_job *job,
                      const struct mw_placement *placement,
                      enum mw_alloc_class alloc_class, struct mw_cell *cell)
{
    const struct mw_resources *need = &job->spec.shape.need;

    g_free(job->parts);
    job->part_count = placement->count;
    job->parts = g_memdup2(placement->parts,
                           placement->count * sizeof placement->parts[0]);
    job->alloc_class = alloc_class;
    job->cell = cell;
    job->allocated = true;
    for (uint32_t i = 0; i < job->part_count; i++) {
        struct mw_attempt_part *part = &job->parts[i];
        struct mw_endpoint *e = part->endpoint;
        struct mw_resources *held = class_total(e, alloc_class);

        mw_resources_add(&e->used, need, part->tasks);
        if (held) {
            mw_resources_add(held, need, part->tasks);
        }
        if (cell) {
            mw_resources_add(&cell->parts[part->cell_part].claimed, need,
                             part->tasks);
        }
        if (e->quarantined) {
            e->probe_job = job->id;
            zone->counters.probes++;
        }
        g_ptr_array_add(e->jobs, job);
        mw_index_endpoint(zone, e);
    }
    if (cell) {
        g_ptr_array_add(cell->claims, job);
    }
    job->org->usage +=
        (uint64_t)job->spec.shape.tasks * MAX(need->accelerators, 1);
}

void
mw_release_allocation(struct mw_zone *zone, struct mw_job *job)
{
    const struct mw_resources *need = &job->spec.shape.need;

    if (!job->allocated) {
        return;
    }
    job->allocated = false;
    for (uint32_t i = 0; i < job->part_count; i++) {
        struct mw_attempt_part *part = &job->parts[i];
        struct mw_endpoint *e = part->endpoint;
        struct mw_resources *held = class_total(e, job->alloc_class);

        mw_resources_sub(&e->used, need, part->tasks);
        if (held) {
            mw_resources_sub(held, need, part->tasks);
        }
        if (job->cell) {
            mw_resources_sub(&job->cell->parts[part->cell_part].claimed, need,
                             part->tasks);
        }
        if (e->probe_job == job->id) {
            e->probe_job = 0;
        }
        g_ptr_array_remove_fast(e->jobs, job);
        mw_index_endpoint(zone, e);
    }
    if (job->cell) {
        g_ptr_array_remove_fast(job->cell->claims, job);
        if (job->cell->claims->len == 0) {
            zone->cell_plan_needed = true;
        }
        job->cell = NULL;
    }
    if (job->alloc_class == MW_ALLOC_NONPREEMPTIBLE &&
        zone->counters.cells_lost > 0) {
        zone->cell_plan_needed = true;
    }
    job->org->usage -=
        (uint64_t)job->spec.shape.tasks * MAX(need->accelerators, 1);
    zone->pass_needed = true;
}

void
mw_clear_part_outputs(struct mw_job *job)
{
    for (uint32_t i = 0; i < job->part_count; i++) {
        g_clear_pointer(&job->parts[i].output, mw_drop_blob);
    }
}

bool
mw_preemption_is_done(const struct mw_job *job)
{
    for (uint32_t i = 0; i < job->part_count; i++) {
        const struct mw_endpoint *e = job->parts[i].endpoint;

        if (!mw_resources_fit(&e->used, &e->total)) {
            return false;
        }
    }
    return true;
}

int64_t
mw_lost_work(const struct mw_job *job, int64_t now_us)
{
    int64_t since = MAX(job->started_us, job->checkpoint_us);

    if (job->started_us == 0 || job->spec.checkpoint) {
        return 0;
    }
    return (now_us - since) * job->spec.shape.tasks *
           MAX(job->spec.shape.need.accelerators, 1);
}

static bool
is_stopping(const struct mw_job *job)
{
    return job->state == MW_JOB_STOPPING ||
           (job->state == MW_JOB_INTENDING && job->stop_requested);
}

static bool
reduces_excess(const struct mw_resources *excess,
               const struct mw_resources *need)
{
    return (excess->accelerators > 0 && need->accelerators > 0) ||
           (excess->slots > 0 && need->slots > 0) ||
           (excess->processors > 0 && need->processors > 0) ||
           (excess->memory_mb > 0 && need->memory_mb > 0);
}

/* What exceeds an endpoint's resources once stopping jobs have ended. */
static struct mw_resources
excess_after_stops(struct mw_endpoint *e)
{
    struct mw_resources stopping = {0};

    for (guint i = 0; i < e->jobs->len; i++) {
        struct mw_job *job = e->jobs->pdata[i];

        if (is_stopping(job)) {
            mw_resources_add(&stopping, &job->spec.shape.need,
                             mw_find_part_on(job, e)->tasks);
        }
    }
    struct mw_resources remaining =
        mw_resources_sub_saturating(&e->used, &stopping);

    return mw_resources_sub_saturating(&remaining, &e->total);
}

/* The preemptible job with the least lost work, then the lowest priority. */
static struct mw_job *
cheapest_victim(struct mw_endpoint *e, const struct mw_resources *excess,
                int64_t now_us, const struct mw_job *job)
{
    struct mw_job *best = NULL;
    int64_t best_lost = INT64_MAX;

    for (guint i = 0; i < e->jobs->len; i++) {
        struct mw_job *other = e->jobs->pdata[i];

        if (other == job || other->alloc_class != MW_ALLOC_PREEMPTIBLE ||
            is_stopping(other) ||
            !reduces_excess(excess, &other->spec.shape.need)) {
            continue;
        }
        int64_t lost = mw_lost_work(other, now_us);

        if (lost < best_lost || (lost == best_lost && best &&
                                 other->spec.priority > best->spec.priority)) {
            best = other;
            best_lost = lost;
        }
    }
    return best;
}

void
mw_preempt_for(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
               struct mw_job *job)
{
    for (uint32_t i = 0; i < job->part_count; i++) {
        struct mw_endpoint *e = job->parts[i].endpoint;
        struct mw_resources excess = excess_after_stops(e);

        while (excess.accelerators + excess.slots + excess.processors +
                   excess.memory_mb >
               0) {
            struct mw_job *victim = cheapest_victim(e, &excess, now_us, job);

            if (!victim) {
                break;
            }
            zone->counters.victims++;
            mw_stop_job(ctx, zone, now_us, victim, 0, true);
            excess = excess_after_stops(e);
        }
    }
}
