/*
 * zone-backfill: the backfill reservation for a large waiting gang.
 *
 * Without a reservation small jobs take every accelerator as it becomes free,
 * and a large gang starves.  Only as many endpoints are reserved as the gang
 * needs: those that are expected to be free first.  Other jobs may still use
 * them if they are urgent, if they are expected to end before the endpoint is
 * expected to be free, or if they are checkpointable and so can be preempted
 * when all the rest is free.
 */
#include "zone-impl.h"

static int64_t
expected_free_time(const struct mw_zone *zone, const struct mw_endpoint *e,
                   int64_t now_us)
{
    int64_t latest = now_us;

    for (guint j = 0; j < e->jobs->len; j++) {
        const struct mw_job *job = e->jobs->pdata[j];
        int64_t end = now_us + mw_expected_remaining(zone, job, now_us);

        latest = MAX(latest, end);
    }
    return latest;
}

static int
by_expected_free(const void *a, const void *b)
{
    const struct mw_endpoint *x = *(struct mw_endpoint *const *)a;
    const struct mw_endpoint *y = *(struct mw_endpoint *const *)b;

    return x->expected_free_us < y->expected_free_us
               ? -1
               : x->expected_free_us > y->expected_free_us;
}

/*
 * Sorts the endpoints of a list by the time they are expected to be free.
 * Returns how many from the front can hold the whole gang, or 0 if all
 * together can't.
 */
static guint
sort_earliest_free(const struct mw_zone *zone, int64_t now_us, GPtrArray *list,
                   const struct mw_shape *shape)
{
    uint32_t tasks = 0;

    for (guint i = 0; i < list->len; i++) {
        struct mw_endpoint *e = list->pdata[i];

        e->expected_free_us = expected_free_time(zone, e, now_us);
    }
    g_ptr_array_sort(list, by_expected_free);
    for (guint i = 0; i < list->len; i++) {
        struct mw_endpoint *e = list->pdata[i];

        tasks += mw_resources_fit_count(&shape->need, &e->total);
        if (tasks >= shape->tasks) {
            return i + 1;
        }
    }
    return 0;
}

static GPtrArray *
candidates(const GPtrArray *endpoints)
{
    GPtrArray *list = g_ptr_array_new();

    for (guint i = 0; i < endpoints->len; i++) {
        struct mw_endpoint *e = endpoints->pdata[i];

        if (mw_endpoint_usable(e) && !e->quarantined) {
            g_ptr_array_add(list, e);
        }
    }
    return list;
}

/* Returns the list that is free earlier and frees the other one. */
static GPtrArray *
keep_earlier(GPtrArray *best, guint *best_count, GPtrArray *list, guint count)
{
    const struct mw_endpoint *x, *y;

    if (count == 0) {
        g_ptr_array_unref(list);
        return best;
    }
    if (best) {
        x = best->pdata[*best_count - 1];
        y = list->pdata[count - 1];
        if (x->expected_free_us <= y->expected_free_us) {
            g_ptr_array_unref(list);
            return best;
        }
        g_ptr_array_unref(best);
    }
    *best_count = count;
    return list;
}

static GPtrArray *
choose_endpoints(const struct mw_zone *zone, int64_t now_us,
                 const struct mw_shape *shape, guint *count)
{
    GPtrArray *best = NULL;

    if (shape->adjacent == MW_ADJACENT_ZONE) {
        GPtrArray *list = candidates(zone->endpoint_list);

        return keep_earlier(NULL, count, list,
                            sort_earliest_free(zone, now_us, list, shape));
    }
    for (guint i = 0; i < zone->racks->len; i++) {
        const struct mw_rack *rack = zone->racks->pdata[i];
        GPtrArray *list = candidates(rack->endpoints);

        best = keep_earlier(best, count, list,
                            sort_earliest_free(zone, now_us, list, shape));
    }
    return best;
}

void
mw_set_backfill_reservation(struct mw_zone *zone, int64_t now_us,
                            struct mw_job *job)
{
    guint count = 0;
    GPtrArray *list;

    if (zone->reservation_holder || job->spec.shape.need.accelerators == 0) {
        return;
    }
    list = choose_endpoints(zone, now_us, &job->spec.shape, &count);
    if (!list) {
        return;
    }
    for (guint i = 0; i < count; i++) {
        struct mw_endpoint *e = list->pdata[i];

        e->reserved_for = job;
    }
    g_ptr_array_unref(list);
    zone->reservation_holder = job;
}

void
mw_clear_backfill_reservation(struct mw_zone *zone, const struct mw_job *job)
{
    if (zone->reservation_holder != job) {
        return;
    }
    for (guint i = 0; i < zone->endpoint_list->len; i++) {
        struct mw_endpoint *e = zone->endpoint_list->pdata[i];

        e->reserved_for = NULL;
    }
    zone->reservation_holder = NULL;
    zone->pass_needed = true;
}

/* Whether the job can be preempted without loss of work. */
static bool
is_checkpointable(const struct mw_job *job)
{
    return job->spec.checkpoint && mw_spec_is_preemptible(&job->spec);
}

/* What is available to the holder after preempting checkpointable work. */
static struct mw_resources
reserved_capacity(const struct mw_endpoint *e, const struct mw_job *holder)
{
    struct mw_resources remaining = e->used;
    struct mw_resources available;

    for (guint i = 0; i < e->jobs->len; i++) {
        struct mw_job *job = e->jobs->pdata[i];

        if (job->alloc_class == MW_ALLOC_PREEMPTIBLE &&
            is_checkpointable(job) && job->state == MW_JOB_RUNNING) {
            mw_resources_sub(&remaining, &job->spec.shape.need,
                             mw_find_part_on(job, e)->tasks);
        }
    }
    available = mw_resources_sub_saturating(&e->total, &remaining);
    if (!mw_spec_is_preemptible(&holder->spec)) {
        struct mw_resources outside =
            mw_endpoint_capacity(e, MW_CAPACITY_OUTSIDE_CELLS);
        uint32_t tasks =
            mw_resources_fit_count(&holder->spec.shape.need, &outside);
        struct mw_resources none = {0};

        if (tasks <
            mw_resources_fit_count(&holder->spec.shape.need, &available)) {
            return none;
        }
    }
    return available;
}

bool
mw_find_reserved_placement(struct mw_zone *zone, const struct mw_job *job,
                           struct mw_placement *placement)
{
    uint32_t left = job->spec.shape.tasks;

    placement->count = 0;
    if (zone->reservation_holder != job) {
        return false;
    }
    for (guint i = 0; i < zone->endpoint_list->len && left > 0; i++) {
        struct mw_endpoint *e = zone->endpoint_list->pdata[i];
        struct mw_resources available;
        uint32_t n;

        if (e->reserved_for != job || !mw_endpoint_usable(e) ||
            e->quarantined || mw_has_failed_on(job, e)) {
            continue;
        }
        available = reserved_capacity(e, job);
        n = MIN(mw_resources_fit_count(&job->spec.shape.need, &available),
                left);
        if (n > 0) {
            placement->parts[placement->count++] =
                (struct mw_attempt_part){.endpoint = e, .tasks = n};
            left -= n;
        }
    }
    return left == 0;
}

bool
mw_backfill_allowed(const struct mw_zone *zone, const struct mw_endpoint *e,
                    const struct mw_job *job, int64_t now_us)
{
    if (!e->reserved_for || !job || e->reserved_for == job) {
        return true;
    }
    if (job->spec.priority == MW_URGENT || is_checkpointable(job)) {
        return true;
    }
    return now_us + mw_expected_remaining(zone, job, now_us) <=
           e->expected_free_us;
}
