/*
 * zone-cell: capacity reserved for guaranteed shapes.
 *
 * Each guaranteed shape has a cell: an amount of resources on certain
 * endpoints.  On every endpoint the cells and the non-preemptible work
 * outside them fit together, so a claim needs no more than the preemption
 * of preemptible work.  An unclaimed cell may move to any placement with
 * enough capacity.
 */
#include <string.h>

#include "zone-impl.h"

void
mw_unplace_cell(struct mw_zone *zone, struct mw_cell *cell)
{
    for (uint32_t i = 0; cell->placed && i < cell->part_count; i++) {
        struct mw_cell_part *part = &cell->parts[i];

        mw_resources_sub(&part->endpoint->cells, &cell->guarantee->shape.need,
                         part->tasks);
    }
    if (cell->placed) {
        zone->pass_needed = true;
    }
    cell->placed = false;
    g_clear_pointer(&cell->parts, g_free);
    cell->part_count = 0;
}

void
mw_place_cell(struct mw_zone *zone, struct mw_cell *cell,
              const struct mw_placement *placement)
{
    cell->part_count = placement->count;
    cell->parts = g_new0(struct mw_cell_part, placement->count);
    for (uint32_t i = 0; i < placement->count; i++) {
        struct mw_cell_part *part = &cell->parts[i];

        part->endpoint = placement->parts[i].endpoint;
        part->tasks = placement->parts[i].tasks;
        mw_resources_add(&part->endpoint->cells, &cell->guarantee->shape.need,
                         part->tasks);
    }
    cell->placed = true;
    zone->pass_needed = true;
}

struct mw_resources
mw_cell_unclaimed(const struct mw_cell *cell, uint32_t i)
{
    const struct mw_cell_part *part = &cell->parts[i];
    struct mw_resources whole = {0};

    mw_resources_add(&whole, &cell->guarantee->shape.need, part->tasks);
    return mw_resources_sub_saturating(&whole, &part->claimed);
}

static uint32_t
cell_size(const struct mw_cell *cell)
{
    const struct mw_shape *shape = &cell->guarantee->shape;

    return shape->tasks * MAX(shape->need.accelerators, 1);
}

static int
largest_first(const void *a, const void *b)
{
    const struct mw_cell *x = *(struct mw_cell *const *)a;
    const struct mw_cell *y = *(struct mw_cell *const *)b;
    uint32_t sx = cell_size(x);
    uint32_t sy = cell_size(y);

    if (x->guarantee->shape.adjacent != y->guarantee->shape.adjacent) {
        /* shapes that must be closer together are placed first */
        return (int)y->guarantee->shape.adjacent -
               (int)x->guarantee->shape.adjacent;
    }
    return sx == sy ? 0 : sx < sy ? 1 : -1;
}

/* Whether the placement of an unclaimed cell still guarantees its shape. */
static bool
is_placement_valid(const struct mw_cell *cell)
{
    for (uint32_t i = 0; i < cell->part_count; i++) {
        const struct mw_endpoint *e = cell->parts[i].endpoint;
        struct mw_resources sum = e->cells;

        mw_resources_add(&sum, &e->nonpreemptible, 1);
        if (!mw_endpoint_usable(e) || e->quarantined ||
            !mw_resources_fit(&sum, &e->total)) {
            return false;
        }
    }
    return true;
}

static bool
find_and_place_cell(struct mw_zone *zone, int64_t now_us, struct mw_cell *cell)
{
    struct mw_placement placement;

    if (!mw_find_placement(zone, now_us, &cell->guarantee->shape,
                           MW_CAPACITY_OUTSIDE_CELLS, NULL, &placement)) {
        return false;
    }
    mw_place_cell(zone, cell, &placement);
    return true;
}

static unsigned
place_missing(struct mw_zone *zone, int64_t now_us)
{
    unsigned missing = 0;

    for (guint i = 0; i < zone->cells->len; i++) {
        struct mw_cell *cell = zone->cells->pdata[i];

        if (!cell->placed && !find_and_place_cell(zone, now_us, cell)) {
            missing++;
        }
    }
    return missing;
}

/* Second try: unplaces every unclaimed cell, then places the largest first. */
static unsigned
rearrange_unclaimed(struct mw_zone *zone, int64_t now_us)
{
    for (guint i = 0; i < zone->cells->len; i++) {
        struct mw_cell *cell = zone->cells->pdata[i];

        if (cell->claims->len == 0) {
            mw_unplace_cell(zone, cell);
        }
    }
    return place_missing(zone, now_us);
}

void
mw_plan_cells(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    zone->cell_plan_needed = false;
    for (guint i = 0; i < zone->cells->len; i++) {
        struct mw_cell *cell = zone->cells->pdata[i];

        if (cell->placed && cell->claims->len == 0 &&
            !is_placement_valid(cell)) {
            mw_unplace_cell(zone, cell);
        }
    }
    unsigned missing = place_missing(zone, now_us);

    if (missing > 0) {
        missing = rearrange_unclaimed(zone, now_us);
    }
    if (missing != zone->counters.cells_lost) {
        mw_emit_event(ctx, MW_SEVERITY_WARNING,
                      "event=guarantees zone=%.*s without_place=%u of=%u",
                      MW_FMT(mw_name_str(&zone->name)), missing,
                      zone->cells->len);
    }
    zone->counters.cells_lost = missing;
}

static void
free_cell(void *data)
{
    struct mw_cell *cell = data;

    g_ptr_array_unref(cell->claims);
    g_free(cell->parts);
    g_free(cell);
}

static void
add_cells(struct mw_zone *zone, struct mw_zone_org *org,
          const struct mw_guarantee *guarantee)
{
    for (uint32_t n = 0; n < guarantee->count; n++) {
        struct mw_cell *cell = g_new0(struct mw_cell, 1);

        cell->org = org;
        cell->guarantee = guarantee;
        cell->claims = g_ptr_array_new();
        g_ptr_array_add(zone->cells, cell);
        g_ptr_array_add(org->cells, cell);
        org->weight += cell_size(cell);
    }
}

/* Jobs in the cell keep running, with an allocation outside of cells. */
static void
release_claims(struct mw_cell *cell)
{
    for (guint i = 0; i < cell->claims->len; i++) {
        struct mw_job *job = cell->claims->pdata[i];
        bool preemptible = mw_spec_is_preemptible(&job->spec);

        job->alloc_class =
            preemptible ? MW_ALLOC_PREEMPTIBLE : MW_ALLOC_NONPREEMPTIBLE;
        job->cell = NULL;
        for (uint32_t p = 0; p < job->part_count; p++) {
            struct mw_endpoint *e = job->parts[p].endpoint;

            mw_resources_add(preemptible ? &e->preemptible
                                         : &e->nonpreemptible,
                             &job->spec.shape.need, job->parts[p].tasks);
        }
    }
    g_ptr_array_set_size(cell->claims, 0);
}

void
mw_remove_cells(struct mw_zone *zone)
{
    for (guint i = 0; i < zone->cells->len; i++) {
        struct mw_cell *cell = zone->cells->pdata[i];

        release_claims(cell);
        mw_unplace_cell(zone, cell);
    }
    for (guint i = 0; i < zone->org_list->len; i++) {
        struct mw_zone_org *org = zone->org_list->pdata[i];

        g_ptr_array_set_size(org->cells, 0);
        org->weight = 1;
    }
    g_ptr_array_set_size(zone->cells, 0);
}

void
mw_claim_cells_for_running(struct mw_zone *zone)
{
    for (guint i = 0; i < zone->active->len; i++) {
        struct mw_job *job = zone->active->pdata[i];

        if (job->part_count > 0 && job->alloc_class != MW_ALLOC_CELL) {
            mw_place_cell_at_job(zone, job);
        }
    }
}

void
mw_build_cells(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us)
{
    mw_remove_cells(zone);
    for (uint32_t i = 0; zone->document && i < zone->document->org_count;
         i++) {
        const struct mw_org *spec = &zone->document->orgs[i];
        struct mw_zone_org *org = mw_find_or_add_org(zone, &spec->name);

        org->queued_max =
            spec->queued_max ? spec->queued_max : MW_ORG_QUEUED_MAX;
        for (uint32_t g = 0; g < spec->guarantee_count; g++) {
            if (mw_name_equal(&spec->guarantees[g].zone, &zone->name)) {
                add_cells(zone, org, &spec->guarantees[g]);
            }
        }
    }
    g_ptr_array_sort(zone->cells, largest_first);
    mw_claim_cells_for_running(zone);
    mw_plan_cells(ctx, zone, now_us);
}

void
mw_init_cells(struct mw_zone *zone)
{
    zone->cells = g_ptr_array_new_with_free_func(free_cell);
}
