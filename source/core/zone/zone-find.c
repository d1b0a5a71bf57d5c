/*
 * zone-find: finding a placement for a shape.
 *
 * Single tasks and gangs without adjacency search the index from the fullest
 * endpoints to the emptiest (best fit), so that small work fills endpoints
 * that are already fragmented.  For a gang on one rack the sums of the racks
 * are compared first.  The search for a job never visits every endpoint of
 * the zone; only MW_CAPACITY_OUTSIDE_CELLS does, for placing cells.
 */
#include <string.h>

#include "zone-impl.h"

#define SCAN_MAX 16

struct search {
    struct mw_zone *zone;
    int64_t now_us;
    const struct mw_shape *shape;
    enum mw_capacity capacity;
    const struct mw_job *job;
};

bool
mw_has_failed_on(const struct mw_job *job, const struct mw_endpoint *e)
{
    for (uint32_t i = 0; job && i < MIN(job->failures, MW_ATTEMPTS_MAX); i++) {
        if (job->failed_on[i] == e) {
            return true;
        }
    }
    return false;
}

/* How many tasks of the shape the endpoint can take, 0 if not allowed. */
static uint32_t
tasks_that_fit(const struct search *s, const struct mw_endpoint *e)
{
    if (!mw_endpoint_usable(e) || mw_has_failed_on(s->job, e)) {
        return 0;
    }
    if (s->capacity == MW_CAPACITY_OUTSIDE_CELLS) {
        if (e->quarantined) {
            return 0;
        }
    }
    else if (!mw_probe_allowed(e, s->job, s->now_us) ||
             !mw_backfill_allowed(s->zone, e, s->job, s->now_us)) {
        return 0;
    }
    struct mw_resources capacity = mw_endpoint_capacity(e, s->capacity);

    return mw_resources_fit_count(&s->shape->need, &capacity);
}

static void
add_part(struct mw_placement *placement, struct mw_endpoint *e, uint32_t tasks)
{
    placement->parts[placement->count++] = (struct mw_attempt_part){
        .endpoint = e,
        .tasks = tasks,
    };
}

/* Lower is better: avoids endpoints with cells, then racks with much free. */
static uint64_t
fragmentation_cost(const struct mw_endpoint *e)
{
    uint64_t unclaimed = e->cells.accelerators;

    return unclaimed * 4096 + e->rack->free_accelerators;
}

static struct mw_endpoint *
best_in_bucket(const struct search *s, int bucket)
{
    struct mw_endpoint *best = NULL;
    int scanned = 0;

    for (struct mw_endpoint *e = s->zone->bucket[bucket];
         e && scanned < SCAN_MAX; e = e->bucket_next) {
        if (tasks_that_fit(s, e) < s->shape->tasks) {
            scanned++;
            continue;
        }
        scanned++;
        if (!best || fragmentation_cost(e) < fragmentation_cost(best)) {
            best = e;
        }
    }
    return best;
}

/*
 * Moves the front of a long bucket to its end, so that the next scan, which
 * is limited to SCAN_MAX endpoints, reaches others.
 */
static void
rotate_bucket(struct mw_zone *zone, int bucket)
{
    struct mw_endpoint *e = zone->bucket[bucket];
    struct mw_endpoint *last = e;

    for (int i = 0; last && i < SCAN_MAX; i++) {
        last = last->bucket_next;
    }
    if (!last) {
        return;
    }
    while (last->bucket_next) {
        last = last->bucket_next;
    }
    struct mw_endpoint *cut = e;

    for (int i = 1; i < SCAN_MAX; i++) {
        cut = cut->bucket_next;
    }
    zone->bucket[bucket] = cut->bucket_next;
    cut->bucket_next->bucket_prev = NULL;
    cut->bucket_next = NULL;
    last->bucket_next = e;
    e->bucket_prev = last;
}

static bool
find_one_endpoint(const struct search *s, struct mw_placement *placement)
{
    uint32_t need = s->shape->need.accelerators * s->shape->tasks;

    for (uint32_t b = need; b < MW_FREE_BUCKETS; b++) {
        struct mw_endpoint *e = best_in_bucket(s, (int)b);

        if (e) {
            add_part(placement, e, s->shape->tasks);
            return true;
        }
        rotate_bucket(s->zone, (int)b);
    }
    return false;
}

static int
by_tasks(const void *a, const void *b)
{
    const struct mw_attempt_part *x = a;
    const struct mw_attempt_part *y = b;

    if (x->tasks != y->tasks) {
        return x->tasks < y->tasks ? 1 : -1;
    }
    return 0;
}

/* Fills the rack's endpoints, those that fit the most tasks first. */
static bool
fill_rack(const struct search *s, const struct mw_rack *rack,
          struct mw_placement *placement)
{
    uint32_t left = s->shape->tasks;
    guint members = MIN(rack->endpoints->len, MW_TASKS_MAX);

    placement->count = 0;
    for (guint i = 0; i < members; i++) {
        struct mw_endpoint *e = rack->endpoints->pdata[i];
        uint32_t n = tasks_that_fit(s, e);

        if (n > 0) {
            add_part(placement, e, n);
        }
    }
    qsort(placement->parts, placement->count, sizeof placement->parts[0],
          by_tasks);
    for (uint32_t i = 0; i < placement->count; i++) {
        struct mw_attempt_part *part = &placement->parts[i];

        part->tasks = MIN(part->tasks, left);
        left -= part->tasks;
        if (left == 0) {
            placement->count = i + 1;
            return true;
        }
    }
    return false;
}

static bool
find_one_rack(const struct search *s, struct mw_placement *placement)
{
    uint32_t need = s->shape->need.accelerators * s->shape->tasks;
    struct mw_rack *best = NULL;
    uint32_t best_left = UINT32_MAX;

    for (guint i = 0; i < s->zone->racks->len; i++) {
        struct mw_rack *rack = s->zone->racks->pdata[i];
        uint32_t free = s->capacity == MW_CAPACITY_OUTSIDE_CELLS
                            ? rack->total_accelerators
                            : rack->free_accelerators;

        if (free < need || free - need >= best_left) {
            continue;
        }
        if (fill_rack(s, rack, placement)) {
            best = rack;
            best_left = free - need;
        }
    }
    return best && fill_rack(s, best, placement);
}

static uint32_t
gather_bucket(const struct search *s, int bucket, uint32_t left,
              struct mw_placement *placement)
{
    int misses = 0;

    for (struct mw_endpoint *e = s->zone->bucket[bucket];
         e && left > 0 && misses < SCAN_MAX && placement->count < MW_TASKS_MAX;
         e = e->bucket_next) {
        uint32_t n = MIN(tasks_that_fit(s, e), left);

        if (n == 0) {
            misses++;
            continue;
        }
        add_part(placement, e, n);
        left -= n;
    }
    return left;
}

static bool
find_across_zone(const struct search *s, struct mw_placement *placement)
{
    uint32_t left = s->shape->tasks;

    if (left == 1) {
        return find_one_endpoint(s, placement);
    }
    placement->count = 0;
    for (uint32_t b = s->shape->need.accelerators; b < MW_FREE_BUCKETS; b++) {
        left = gather_bucket(s, (int)b, left, placement);
        if (left == 0) {
            return true;
        }
    }
    return false;
}

/* Visits every endpoint: cells are placed rarely. */
static bool
find_cell_across_zone(const struct search *s, struct mw_placement *placement)
{
    uint32_t left = s->shape->tasks;

    placement->count = 0;
    for (guint i = 0; i < s->zone->endpoint_list->len && left > 0; i++) {
        struct mw_endpoint *e = s->zone->endpoint_list->pdata[i];
        uint32_t n = MIN(tasks_that_fit(s, e), left);

        if (n > 0 && placement->count < MW_TASKS_MAX) {
            add_part(placement, e, n);
            left -= n;
        }
    }
    return left == 0;
}

static bool
find_cell_endpoint(const struct search *s, struct mw_placement *placement)
{
    struct mw_endpoint *best = NULL;
    uint32_t best_available = UINT32_MAX;

    for (guint i = 0; i < s->zone->endpoint_list->len; i++) {
        struct mw_endpoint *e = s->zone->endpoint_list->pdata[i];
        uint32_t capacity = mw_endpoint_capacity(e, s->capacity).accelerators;

        if (tasks_that_fit(s, e) >= s->shape->tasks &&
            capacity < best_available) {
            best = e;
            best_available = capacity;
        }
    }
    if (best) {
        add_part(placement, best, s->shape->tasks);
    }
    return best != NULL;
}

bool
mw_find_placement(struct mw_zone *zone, int64_t now_us,
                  const struct mw_shape *shape, enum mw_capacity capacity,
                  const struct mw_job *job, struct mw_placement *placement)
{
    struct search s = {zone, now_us, shape, capacity, job};

    placement->count = 0;
    if (shape->adjacent == MW_ADJACENT_RACK) {
        return find_one_rack(&s, placement);
    }
    if (capacity == MW_CAPACITY_OUTSIDE_CELLS) {
        return shape->adjacent == MW_ADJACENT_ENDPOINT || shape->tasks == 1
                   ? find_cell_endpoint(&s, placement)
                   : find_cell_across_zone(&s, placement);
    }
    if (shape->adjacent == MW_ADJACENT_ENDPOINT) {
        return find_one_endpoint(&s, placement);
    }
    return find_across_zone(&s, placement);
}

static bool
fits_rack_empty(const struct mw_shape *shape, const struct mw_rack *rack)
{
    uint32_t tasks = 0;

    for (guint i = 0; i < rack->endpoints->len; i++) {
        const struct mw_endpoint *e = rack->endpoints->pdata[i];

        tasks += mw_resources_fit_count(&shape->need, &e->total);
    }
    return tasks >= shape->tasks;
}

bool
mw_shape_possible(const struct mw_zone *zone, const struct mw_shape *shape)
{
    struct mw_resources whole = {0};
    uint32_t tasks = 0;

    if (zone->endpoint_list->len == 0) {
        return true;
    }
    mw_resources_add(&whole, &shape->need,
                     shape->adjacent == MW_ADJACENT_ENDPOINT ? shape->tasks
                                                             : 1);
    if (!mw_resources_fit(&whole, &zone->largest)) {
        return false;
    }
    if (shape->adjacent == MW_ADJACENT_ENDPOINT || shape->tasks == 1) {
        return true;
    }
    for (guint i = 0; i < zone->racks->len; i++) {
        if (fits_rack_empty(shape, zone->racks->pdata[i])) {
            return true;
        }
    }
    if (shape->adjacent == MW_ADJACENT_RACK) {
        return false;
    }
    for (guint i = 0; i < zone->endpoint_list->len; i++) {
        const struct mw_endpoint *e = zone->endpoint_list->pdata[i];

        tasks += mw_resources_fit_count(&shape->need, &e->total);
        if (tasks >= shape->tasks) {
            return true;
        }
    }
    return false;
}
