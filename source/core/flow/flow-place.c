/*
 * flow-place: chooses endpoints for the waiting tasks of a step.
 *
 * LOAD   many small tasks beside gangs that need whole endpoints or prefer
 *        one rack.  Tasks go to the endpoint with the fewest free accelerators
 *        that fits, and gangs to the rack with the least free capacity that
 *        holds all their tasks (best fit), to avoid fragmentation.
 *
 * LOAD   urgent gangs among endpoints of unequal speed.  They go to the rack
 *        in which the slowest endpoint that they need is fastest; other work
 *        has more time and takes slow endpoints first.
 */
#include <string.h>

#include "endpoint-speed.h"
#include "flow-account.h"
#include "flow-crash.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-interference.h"
#include "flow-late-start.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-reserve.h"
#include "flow-scheduler-state.h"
#include "flow-speed.h"
#include "flow-task-state.h"
#include "flow-urgent-pool.h"
#include "interference.h"
#include "quota.h"

uint32_t
mw_flow_endpoint_limit_left(const struct mw_flow_endpoint *endpoint,
                            const struct mw_task_group *group)
{
    uint32_t placed = 0;

    if (group->step->max_per_endpoint == 0) {
        return UINT32_MAX;
    }
    for (guint i = 0; i < endpoint->placements->len; i++) {
        const struct mw_task_placement *placement =
            endpoint->placements->pdata[i];

        placed += placement->group == group;
    }
    return placed >= group->step->max_per_endpoint
               ? 0
               : group->step->max_per_endpoint - placed;
}

bool
mw_flow_endpoint_is_eligible(const struct mw_flow_endpoint *endpoint,
                             const struct mw_task_group *group, int64_t now_us)
{
    if (!endpoint->usable || !mw_name_equal(&endpoint->heartbeat.service,
                                            &group->flow->route.service)) {
        return false;
    }
    if (group->step->label.len > 0 &&
        !mw_flow_endpoint_has_label(endpoint, &group->step->label)) {
        return false;
    }
    if (mw_urgent_pool_excludes(endpoint, group, now_us) ||
        mw_trial_excludes(endpoint, group)) {
        return false;
    }
    return !mw_reservation_excludes(endpoint, group, now_us);
}

/* candidate: an endpoint with capacity for some tasks of the group. */
struct candidate {
    struct mw_flow_endpoint *endpoint;
    uint32_t capacity;
    /*
     * Urgent work prefers the urgent pool, all other work the other racks; a
     * suspect prefers endpoints without runs.
     */
    bool less_preferred;
    /* how well its speed suits the group; 0 for best */
    uint32_t speed_order;
    /* see mw_neighbour_penalty */
    double penalty;
};

/* Urgent work takes the fastest endpoints, other work the slowest. */
static uint32_t
speed_order(const struct mw_flows *flows,
            const struct mw_flow_endpoint *endpoint,
            const struct mw_task_group *group)
{
    enum mw_speed_class class = mw_flow_endpoint_speed(flows, endpoint);

    return group->rank <= MW_URGENT_RANK_MAX ? MW_SPEED_FAST - class : class;
}

static uint32_t
free_gpus(const struct mw_flow_endpoint *endpoint)
{
    uint32_t total = endpoint->heartbeat.total.gpus;

    return total > endpoint->used.gpus ? total - endpoint->used.gpus : 0;
}

static gint
by_best_fit(gconstpointer a, gconstpointer b)
{
    const struct candidate *p = a;
    const struct candidate *q = b;
    const struct mw_flow_endpoint *x = p->endpoint;
    const struct mw_flow_endpoint *y = q->endpoint;

    if (x->consecutive_failures != y->consecutive_failures) {
        return x->consecutive_failures < y->consecutive_failures ? -1 : 1;
    }
    if (p->less_preferred != q->less_preferred) {
        return p->less_preferred ? 1 : -1;
    }
    if (p->speed_order != q->speed_order) {
        return p->speed_order < q->speed_order ? -1 : 1;
    }
    if (p->penalty != q->penalty) {
        return p->penalty < q->penalty ? -1 : 1;
    }
    if (free_gpus(x) != free_gpus(y)) {
        return free_gpus(x) < free_gpus(y) ? -1 : 1;
    }
    return memcmp(&x->id, &y->id, sizeof x->id);
}

static GArray *
find_candidates(struct mw_flows *flows, const struct mw_task_group *group,
                const struct mw_bad_neighbours *bad, int64_t now_us)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct candidate));

    for (guint i = 0; i < flows->usable->len; i++) {
        struct candidate c = {.endpoint = flows->usable->pdata[i]};

        if (!mw_flow_endpoint_is_eligible(c.endpoint, group, now_us)) {
            continue;
        }
        c.capacity = mw_tasks_that_fit(&c.endpoint->heartbeat.total,
                                       &c.endpoint->used, &group->step->need);
        c.capacity =
            MIN(c.capacity, mw_flow_endpoint_limit_left(c.endpoint, group));
        c.less_preferred =
            c.endpoint->in_urgent_pool != (group->rank <= MW_URGENT_RANK_MAX);
        if (group->is_suspect) {
            c.less_preferred = c.endpoint->placements->len > 0;
        }
        c.speed_order = speed_order(flows, c.endpoint, group);
        if (c.capacity > 0) {
            c.penalty = mw_neighbour_penalty(c.endpoint, bad);
            g_array_append_val(found, c);
        }
    }
    g_array_sort(found, by_best_fit);
    return found;
}

static uint32_t
capacity_of_rack(const GArray *candidates, const struct mw_name *rack)
{
    uint32_t capacity = 0;

    for (guint i = 0; i < candidates->len; i++) {
        const struct candidate *c =
            &g_array_index(candidates, struct candidate, i);

        if (mw_name_equal(&c->endpoint->rack, rack)) {
            capacity += c->capacity;
        }
    }
    return capacity;
}

/* rack_capacity: tasks that fit into the candidates of one rack. */
struct rack_capacity {
    /* any one in the rack */
    const struct candidate *first;
    uint32_t capacity;
    /* of the candidates with each speed_order */
    uint32_t by_speed[MW_SPEED_CLASSES];
};

static struct rack_capacity *
find_rack_capacity(GArray *capacities, const struct candidate *c)
{
    struct rack_capacity fresh = {.first = c};

    for (guint i = 0; i < capacities->len; i++) {
        struct rack_capacity *r =
            &g_array_index(capacities, struct rack_capacity, i);

        if (mw_name_equal(&r->first->endpoint->rack, &c->endpoint->rack)) {
            return r;
        }
    }
    g_array_append_val(capacities, fresh);
    return &g_array_index(capacities, struct rack_capacity,
                          capacities->len - 1);
}

static GArray *
capacities_of_racks(const GArray *candidates)
{
    GArray *capacities =
        g_array_new(FALSE, FALSE, sizeof(struct rack_capacity));

    for (guint i = 0; i < candidates->len; i++) {
        const struct candidate *c =
            &g_array_index(candidates, struct candidate, i);
        struct rack_capacity *r = find_rack_capacity(capacities, c);

        r->capacity += c->capacity;
        r->by_speed[c->speed_order] += c->capacity;
    }
    return capacities;
}

/* The speed_order of the worst endpoint that the tasks need in the rack. */
static uint32_t
worst_speed_order(const struct rack_capacity *r, uint32_t wanted)
{
    uint32_t capacity = 0;
    uint32_t order = 0;

    while (order < MW_SPEED_CLASSES - 1) {
        capacity += r->by_speed[order];
        if (capacity >= wanted) {
            break;
        }
        order++;
    }
    return order;
}

/* rack_choice: a rack that holds all tasks; the lowest values are the best. */
struct rack_choice {
    const struct candidate *first;
    bool less_preferred;
    /* 0 unless the group is urgent */
    uint32_t speed_order;
    uint32_t capacity;
};

static bool
is_better_rack(const struct rack_choice *a, const struct rack_choice *b)
{
    if (a->less_preferred != b->less_preferred) {
        return !a->less_preferred;
    }
    if (a->speed_order != b->speed_order) {
        return a->speed_order < b->speed_order;
    }
    return a->capacity < b->capacity;
}

/*
 * Returns the rack with the least capacity that holds all tasks, or NULL.  A
 * rack that the group prefers wins over one that it does not, and then, for an
 * urgent group, one whose endpoints are faster.
 */
static const struct mw_name *
best_rack(const struct mw_task_group *group, const GArray *candidates,
          uint32_t wanted)
{
    GArray *capacities = capacities_of_racks(candidates);
    bool urgent = group->rank <= MW_URGENT_RANK_MAX;
    struct rack_choice best = {0};

    for (guint i = 0; i < capacities->len; i++) {
        const struct rack_capacity *r =
            &g_array_index(capacities, struct rack_capacity, i);
        struct rack_choice choice = {
            .first = r->first,
            .less_preferred = r->first->less_preferred,
            .speed_order = urgent ? worst_speed_order(r, wanted) : 0,
            .capacity = r->capacity,
        };

        if (r->capacity >= wanted &&
            (!best.first || is_better_rack(&choice, &best))) {
            best = choice;
        }
    }
    g_array_unref(capacities);
    return best.first ? &best.first->endpoint->rack : NULL;
}

/* Whether some rack could hold so many tasks if nothing else ran there. */
static bool
empty_rack_could_hold(const struct mw_flows *flows,
                      const struct mw_task_group *group, uint32_t wanted)
{
    static const struct mw_flow_resources nothing = {0};
    const struct mw_name *rack = NULL;
    uint32_t capacity = 0;

    for (guint i = 0; i < flows->usable->len && capacity < wanted; i++) {
        const struct mw_flow_endpoint *endpoint = flows->usable->pdata[i];

        if (!mw_name_equal(&endpoint->heartbeat.service,
                           &group->flow->route.service)) {
            continue;
        }
        if (!rack || !mw_name_equal(rack, &endpoint->rack)) {
            rack = &endpoint->rack;
            capacity = 0;
        }
        capacity += mw_tasks_that_fit(&endpoint->heartbeat.total, &nothing,
                                      &group->step->need);
    }
    return capacity >= wanted;
}

int64_t
mw_rack_wait_start_us(const struct mw_task_group *group)
{
    return MAX(group->ready_us, group->capped_until_us);
}

bool
mw_may_span_racks(const struct mw_flows *flows,
                  const struct mw_task_group *group, int64_t now_us,
                  uint32_t wanted)
{
    int64_t after_us = group->rank <= MW_URGENT_RANK_MAX
                           ? MW_URGENT_RACK_WAIT_US
                           : MW_RACK_WAIT_US;

    return !group->step->prefer_one_rack ||
           now_us - mw_rack_wait_start_us(group) >= after_us ||
           !empty_rack_could_hold(flows, group, wanted);
}

static const struct mw_name *
rack_in_use(const struct mw_task_group *group)
{
    for (uint32_t i = 0; i < group->step->count; i++) {
        if (group->tasks[i].placement) {
            return &group->tasks[i].placement->endpoint->rack;
        }
    }
    return NULL;
}

/*
 * Chooses the rack for the tasks; *rack is NULL if any will do.  Returns false
 * when the tasks should wait for a better one.
 */
static bool
choose_rack(const struct mw_flows *flows, const struct mw_task_group *group,
            const GArray *candidates, int64_t now_us, uint32_t wanted,
            const struct mw_name **rack)
{
    int64_t waited_us = now_us - mw_rack_wait_start_us(group);
    uint32_t required = group->step->gang ? wanted : 1;

    *rack = NULL;
    if (group->step->data_rack.len > 0) {
        if (capacity_of_rack(candidates, &group->step->data_rack) >=
            required) {
            *rack = &group->step->data_rack;
            return true;
        }
        if (waited_us < MW_DATA_LOCALITY_WAIT_US) {
            return false;
        }
    }
    if (!group->step->prefer_one_rack) {
        return true;
    }
    *rack = rack_in_use(group);
    if (*rack && capacity_of_rack(candidates, *rack) >= required) {
        return true;
    }
    *rack = best_rack(group, candidates, wanted);
    return *rack || mw_may_span_racks(flows, group, now_us, wanted);
}

static uint32_t
take_endpoints(const GArray *candidates, const struct mw_name *rack,
               uint32_t wanted, GPtrArray *chosen)
{
    for (guint i = 0; i < candidates->len && chosen->len < wanted; i++) {
        const struct candidate *c =
            &g_array_index(candidates, struct candidate, i);

        if (rack && !mw_name_equal(&c->endpoint->rack, rack)) {
            continue;
        }
        for (uint32_t n = 0; n < c->capacity && chosen->len < wanted; n++) {
            g_ptr_array_add(chosen, c->endpoint);
        }
    }
    return chosen->len;
}

/*
 * Whether an endpoint with a bad neighbour would have come before the last one
 * that was chosen.
 */
static bool
has_avoided_neighbour(const GArray *candidates, const struct mw_name *rack,
                      const struct mw_flow_endpoint *last_chosen)
{
    const struct candidate *chosen = NULL;

    for (guint i = 0; i < candidates->len; i++) {
        struct candidate c = g_array_index(candidates, struct candidate, i);

        if (c.endpoint == last_chosen) {
            chosen = &g_array_index(candidates, struct candidate, i);
        }
        else if (chosen && c.penalty > chosen->penalty &&
                 (!rack || mw_name_equal(&c.endpoint->rack, rack))) {
            c.penalty = chosen->penalty;
            if (by_best_fit(&c, chosen) < 0) {
                return true;
            }
        }
    }
    return false;
}

uint32_t
mw_choose_endpoints(struct mw_flows *flows, struct mw_task_group *group,
                    int64_t now_us, uint32_t wanted, GPtrArray *chosen)
{
    struct mw_bad_neighbours bad;
    GArray *candidates;
    const struct mw_name *rack;
    uint32_t found = 0;

    mw_find_bad_neighbours(flows->interference, mw_work_kind_of(group), &bad);
    candidates = find_candidates(flows, group, &bad, now_us);
    if (choose_rack(flows, group, candidates, now_us, wanted, &rack)) {
        found = take_endpoints(candidates, rack, wanted, chosen);
    }
    if (group->step->gang && found < wanted) {
        g_ptr_array_set_size(chosen, 0);
        found = 0;
    }
    if (found > 0 && bad.count > 0) {
        flows->counters.neighbours_avoided += has_avoided_neighbour(
            candidates, rack, g_ptr_array_index(chosen, found - 1));
    }
    g_array_unref(candidates);
    return found;
}
