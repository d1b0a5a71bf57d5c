#include "oracle.h"

#include <string.h>

#define SEARCH_STEPS_MAX 200000

struct endpoint_state {
    struct mw_name name;
    struct mw_name rack;
    /* left when all preemptible work is stopped */
    struct mw_resources free;
    struct mw_resources total;
    /* as the zone reports it, and as the parts of its jobs add up */
    struct mw_resources reported_used;
    struct mw_resources allocated;
    bool usable;
};

struct search {
    const struct mw_zone *zone;
    GArray *endpoints;
    GArray *unclaimed_shapes;
    /* the job whose parts are being subtracted */
    const struct mw_job_view *job;
    bool has_unplaced_cell;
    long steps;
};

static void
add_endpoint(void *opaque, const struct mw_endpoint_view *view)
{
    struct search *s = opaque;
    struct endpoint_state endpoint = {.name = view->name,
                                      .rack = view->rack,
                                      .total = view->total,
                                      .reported_used = view->used,
                                      .free = view->total,
                                      .usable = view->up && !view->draining &&
                                                !view->quarantined};

    g_array_append_val(s->endpoints, endpoint);
}

static struct endpoint_state *
find_endpoint(struct search *s, const struct mw_name *name)
{
    for (guint i = 0; i < s->endpoints->len; i++) {
        struct endpoint_state *endpoint =
            &g_array_index(s->endpoints, struct endpoint_state, i);

        if (mw_name_equal(&endpoint->name, name)) {
            return endpoint;
        }
    }
    return NULL;
}

static void
subtract_part(void *opaque, const struct mw_part *part)
{
    struct search *s = opaque;
    struct endpoint_state *endpoint = find_endpoint(s, &part->endpoint);
    const struct mw_resources *need = &s->job->spec->shape.need;
    struct mw_resources sum = {0};

    mw_resources_add(&sum, need, part->tasks);
    mw_resources_add(&endpoint->allocated, &sum, 1);
    if (s->job->claimed || !mw_spec_is_preemptible(s->job->spec)) {
        endpoint->free = mw_resources_sub_saturating(&endpoint->free, &sum);
    }
}

static void
subtract_job(void *opaque, const struct mw_job_view *view)
{
    struct search *s = opaque;

    s->job = view;
    mw_zone_each_part(s->zone, view->id, s, subtract_part);
}

static void
add_cell(void *opaque, const struct mw_cell_view *view)
{
    struct search *s = opaque;

    if (!view->placed) {
        s->has_unplaced_cell = true;
    }
    if (!view->claimed) {
        g_array_append_val(s->unclaimed_shapes, *view->shape);
    }
}

static bool place_next_shape(struct search *s, guint shape_index);

/* Tries every split of the remaining tasks over endpoints `at` and later. */
static bool
place_tasks(struct search *s, guint shape_index, uint32_t remaining, guint at,
            const struct mw_name *rack)
{
    const struct mw_shape *wanted =
        &g_array_index(s->unclaimed_shapes, struct mw_shape, shape_index);

    if (remaining == 0) {
        return place_next_shape(s, shape_index + 1);
    }
    for (guint i = at; i < s->endpoints->len; i++) {
        struct endpoint_state *endpoint =
            &g_array_index(s->endpoints, struct endpoint_state, i);
        bool in_rack = !rack || mw_name_equal(rack, &endpoint->rack);
        uint32_t fitting =
            mw_resources_fit_count(&wanted->need, &endpoint->free);

        if (!endpoint->usable || !in_rack || ++s->steps > SEARCH_STEPS_MAX) {
            continue;
        }
        fitting = MIN(fitting, remaining);
        if (wanted->adjacent == MW_ADJACENT_ENDPOINT && fitting < remaining) {
            continue;
        }
        for (uint32_t n = fitting; n > 0; n--) {
            const struct mw_name *next =
                wanted->adjacent == MW_ADJACENT_RACK ? &endpoint->rack : NULL;

            mw_resources_sub(&endpoint->free, &wanted->need, n);
            if (place_tasks(s, shape_index, remaining - n, i + 1, next)) {
                return true;
            }
            mw_resources_add(&endpoint->free, &wanted->need, n);
        }
    }
    return false;
}

static bool
place_next_shape(struct search *s, guint shape_index)
{
    if (shape_index == s->unclaimed_shapes->len) {
        return true;
    }
    const struct mw_shape *wanted =
        &g_array_index(s->unclaimed_shapes, struct mw_shape, shape_index);

    return place_tasks(s, shape_index, wanted->tasks, 0, NULL);
}

static int
compare_shape_size(const void *a, const void *b)
{
    const struct mw_shape *x = a;
    const struct mw_shape *y = b;
    uint32_t sx = x->tasks * x->need.accelerators;
    uint32_t sy = y->tasks * y->need.accelerators;

    return sx == sy ? 0 : sx < sy ? 1 : -1;
}

static void
init_search(struct search *s, const struct mw_zone *zone)
{
    *s = (struct search){.zone = zone};
    s->endpoints = g_array_new(FALSE, FALSE, sizeof(struct endpoint_state));
    s->unclaimed_shapes = g_array_new(FALSE, FALSE, sizeof(struct mw_shape));
    mw_zone_each_endpoint(zone, s, add_endpoint);
    mw_zone_each_job(zone, s, subtract_job);
    mw_zone_each_cell(zone, s, add_cell);
    g_array_sort(s->unclaimed_shapes, compare_shape_size);
}

static void
clear_search(struct search *s)
{
    g_array_unref(s->endpoints);
    g_array_unref(s->unclaimed_shapes);
}

enum mw_verdict
mw_oracle_check_guarantees(const struct mw_zone *zone)
{
    struct search s;
    enum mw_verdict verdict = MW_VERDICT_HOLDS;

    init_search(&s, zone);
    if (s.has_unplaced_cell) {
        verdict = MW_VERDICT_UNPLACED;
    }
    else if (!place_next_shape(&s, 0)) {
        verdict = s.steps > SEARCH_STEPS_MAX ? MW_VERDICT_UNDECIDED
                                             : MW_VERDICT_VIOLATED;
    }
    clear_search(&s);
    return verdict;
}

bool
mw_oracle_check_accounting(const struct mw_zone *zone, GString *mismatches)
{
    struct search s;
    bool agree = true;

    init_search(&s, zone);
    for (guint i = 0; i < s.endpoints->len; i++) {
        struct endpoint_state *endpoint =
            &g_array_index(s.endpoints, struct endpoint_state, i);

        if (memcmp(&endpoint->reported_used, &endpoint->allocated,
                   sizeof endpoint->reported_used) != 0) {
            g_string_append_printf(
                mismatches, "%.*s: %u accelerators in use, but jobs have %u; ",
                MW_FMT(mw_name_str(&endpoint->name)),
                endpoint->reported_used.accelerators,
                endpoint->allocated.accelerators);
            agree = false;
        }
    }
    clear_search(&s);
    return agree;
}
