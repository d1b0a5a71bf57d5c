/*
 * flow-reclaim: who makes room for urgent work.
 *
 * LOAD   urgent gangs that arrive while less urgent work fills the
 *        endpoints.  The cheapest group of endpoints (one rack for a gang
 *        that wants one) is cleared of just enough work of a lower rank;
 *        gangs are stopped whole.  The endpoints are then kept for the work
 *        that asked, until what was stopped has ended.
 */
#include <string.h>

#include "flow-impl.h"

/* what a start costs besides, and what is lost since the last checkpoint */
#define RESTART_MS 400
#define SAVED_LOSS_MS 1500
/* work that has outlived its estimate is taken to last so long still */
#define LEFT_LEAST_US 500000
/* room that is kept for a gang that waits: renewed while it waits */
#define WAIT_KEPT_US 1000000
/* of the endpoints, the part that is kept for waiting gangs: one in N */
#define WAIT_PART 3
/* an accelerator counts as so many cores */
#define GPU_CORES 8

/* group: endpoints that could be cleared together, and what that costs. */
struct group {
    const struct mw_name *rack;
    uint32_t room;
    uint64_t cost;
};

/* cost_function: what it costs that one run makes room. */
typedef uint64_t (*cost_function)(const struct mw_place *place,
                                  int64_t now_us);

/* What would make room for the unit: stopped, or waited for. */
static bool
may_make_room(const struct mw_place *place, const struct mw_unit *unit)
{
    return place->phase == MW_PLACE_RUNNING &&
           (unit->rank >= 2 || place->unit->flow->route.priority > 0);
}

static bool
is_leaving(const struct mw_place *place)
{
    return place->phase == MW_PLACE_STOPPING ||
           place->phase == MW_PLACE_STOPPED;
}

/*
 * Work thrown away, in thousandths of core-milliseconds.  What saves loses
 * little; who has made room before is asked last.
 */
static uint64_t
cost_of(const struct mw_place *place, int64_t now_us)
{
    const struct mw_unit *unit = place->unit;
    uint64_t ran_ms =
        (uint64_t)(now_us - place->started_us) / 1000 + RESTART_MS;
    uint64_t weight = place->need.cpu + place->need.gpus * GPU_CORES * 1000;

    if (unit->step->saves) {
        ran_ms = MIN(ran_ms, SAVED_LOSS_MS);
    }
    if (unit->step->gang) {
        weight *= unit->step->count;
    }
    /* less urgent work goes first */
    return ran_ms * weight * (unit->rank >= 3 ? 1 : 2) * (1 + unit->preempted);
}

/*
 * What is in the way of a gang that lets others end: how long it still takes.
 */
static uint64_t
time_left_of(const struct mw_place *place, int64_t now_us)
{
    int64_t left_us =
        place->unit->step->estimate_us - (now_us - place->started_us);

    return (uint64_t)MAX(left_us, LEFT_LEAST_US) / 1000;
}

static void
subtract(struct mw_flow_amount *used, const struct mw_flow_amount *need)
{
    used->cpu -= need->cpu;
    used->memory_mb -= need->memory_mb;
    used->gpus -= need->gpus;
}

static struct mw_place *
cheapest(GPtrArray *places, int64_t now_us, cost_function cost_of_one)
{
    struct mw_place *best = NULL;
    uint64_t best_cost = UINT64_MAX;

    for (guint i = 0; i < places->len; i++) {
        uint64_t cost = cost_of_one(places->pdata[i], now_us);

        if (cost < best_cost) {
            best = places->pdata[i];
            best_cost = cost;
        }
    }
    return best;
}

/*
 * Room on one endpoint for up to wanted tasks once the cheapest work has
 * gone; adds that work to victims, and its cost.
 */
static uint32_t
clear_endpoint(struct mw_flow_endpoint *endpoint, const struct mw_unit *unit,
               int64_t now_us, uint32_t wanted, GPtrArray *victims,
               uint64_t *cost)
{
    cost_function cost_of_one = unit->rank < 2 ? cost_of : time_left_of;
    struct mw_flow_amount used = endpoint->used;
    GPtrArray *places = g_ptr_array_new();
    uint32_t room;

    wanted = MIN(wanted, mw_spread_left(endpoint, unit));
    for (guint i = 0; i < endpoint->places->len; i++) {
        struct mw_place *place = endpoint->places->pdata[i];

        if (is_leaving(place)) {
            subtract(&used, &place->need);
        }
        else if (may_make_room(place, unit)) {
            g_ptr_array_add(places, place);
        }
    }
    room = mw_room_for(&endpoint->beat.total, &used, &unit->step->need);
    while (room < wanted && places->len > 0) {
        struct mw_place *victim = cheapest(places, now_us, cost_of_one);

        g_ptr_array_remove_fast(places, victim);
        g_ptr_array_add(victims, victim);
        *cost += cost_of_one(victim, now_us);
        subtract(&used, &victim->need);
        room = mw_room_for(&endpoint->beat.total, &used, &unit->step->need);
    }
    g_ptr_array_unref(places);
    return MIN(room, wanted);
}

static gint
by_load(gconstpointer a, gconstpointer b)
{
    const struct mw_flow_endpoint *x =
        *(const struct mw_flow_endpoint *const *)a;
    const struct mw_flow_endpoint *y =
        *(const struct mw_flow_endpoint *const *)b;

    if (x->used.gpus != y->used.gpus) {
        return x->used.gpus < y->used.gpus ? -1 : 1;
    }
    return memcmp(&x->id, &y->id, sizeof x->id);
}

/* Endpoints of one rack, or all, that fit the unit; the emptiest first. */
static GPtrArray *
members_of(struct mw_flows *flows, const struct mw_unit *unit,
           const struct mw_name *rack, int64_t now_us)
{
    GPtrArray *members = g_ptr_array_new();

    for (guint i = 0; i < flows->usable->len; i++) {
        struct mw_flow_endpoint *endpoint = flows->usable->pdata[i];

        if ((!rack || mw_name_equal(&endpoint->rack, rack)) &&
            mw_fits_unit(flows, endpoint, unit, now_us)) {
            g_ptr_array_add(members, endpoint);
        }
    }
    g_ptr_array_sort(members, by_load);
    return members;
}

/* Tries one group; with victims, also collects them and who is cleared. */
static struct group
clear_group(struct mw_flows *flows, const struct mw_unit *unit,
            const struct mw_name *rack, uint32_t tasks, int64_t now_us,
            GPtrArray *victims, GPtrArray *cleared)
{
    GPtrArray *members = members_of(flows, unit, rack, now_us);
    struct group group = {.rack = rack};

    for (guint i = 0; i < members->len && group.room < tasks; i++) {
        uint32_t room =
            clear_endpoint(members->pdata[i], unit, now_us, tasks - group.room,
                           victims, &group.cost);

        group.room += room;
        if (room > 0) {
            g_ptr_array_add(cleared, members->pdata[i]);
        }
    }
    g_ptr_array_unref(members);
    return group;
}

static const struct mw_name *
cheapest_rack(struct mw_flows *flows, const struct mw_unit *unit,
              uint32_t tasks, int64_t now_us)
{
    GPtrArray *victims = g_ptr_array_new();
    GPtrArray *cleared = g_ptr_array_new();
    const struct mw_name *rack = NULL;
    struct group best = {.cost = UINT64_MAX};

    for (guint i = 0; i < flows->usable->len; i++) {
        const struct mw_flow_endpoint *endpoint = flows->usable->pdata[i];
        struct group group;

        if (rack && mw_name_equal(rack, &endpoint->rack)) {
            continue;
        }
        rack = &endpoint->rack;
        g_ptr_array_set_size(victims, 0);
        g_ptr_array_set_size(cleared, 0);
        group =
            clear_group(flows, unit, rack, tasks, now_us, victims, cleared);
        if (group.room >= tasks && group.cost < best.cost) {
            best = group;
        }
    }
    g_ptr_array_unref(victims);
    g_ptr_array_unref(cleared);
    return best.rack;
}

static void
stop_victims(struct mw_flows *flows, GPtrArray *victims, int64_t now_us)
{
    for (guint i = 0; i < victims->len; i++) {
        struct mw_place *place = victims->pdata[i];

        if (is_leaving(place)) {
            continue;
        }
        flows->counters.preempted++;
        place->unit->preempted++;
        mw_place_note(flows, "preempted", place, "for_urgent_work",
                      now_us - place->started_us);
        if (place->unit->step->gang) {
            mw_stop_unit(flows, now_us, place->unit);
        }
        else {
            mw_stop_place(flows, now_us, place);
        }
    }
}

/* Keeps endpoints for the unit that asked until the deadline. */
static void
reserve(GPtrArray *cleared, struct mw_unit *unit, int64_t deadline_us)
{
    for (guint i = 0; i < cleared->len; i++) {
        struct mw_flow_endpoint *endpoint = cleared->pdata[i];

        endpoint->reserved_for = unit;
        endpoint->reserved_rank = unit->rank;
        endpoint->reserved_deadline_us = deadline_us;
    }
}

void
mw_make_room(struct mw_flows *flows, struct mw_unit *unit, uint32_t tasks,
             int64_t now_us)
{
    const struct mw_name *rack = NULL;
    GPtrArray *victims;
    GPtrArray *cleared;
    struct group group;

    if (unit->rank >= 2 || now_us < unit->reclaim_deadline_us) {
        return;
    }
    if (unit->step->one_rack) {
        rack = cheapest_rack(flows, unit, tasks, now_us);
    }
    unit->reclaim_deadline_us = now_us + MW_RECLAIM_RETRY_US;
    if (!rack && !mw_may_spread(flows, unit, now_us, tasks)) {
        return;
    }
    victims = g_ptr_array_new();
    cleared = g_ptr_array_new();
    group = clear_group(flows, unit, rack, tasks, now_us, victims, cleared);
    if (group.room >= (unit->step->gang ? tasks : 1)) {
        unit->reclaim_deadline_us =
            now_us + flows->bounds.stop_us + MW_RESERVED_EXTRA_US;
        reserve(cleared, unit, unit->reclaim_deadline_us);
        stop_victims(flows, victims, now_us);
    }
    g_ptr_array_unref(victims);
    g_ptr_array_unref(cleared);
}

static uint32_t
count_kept(const struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t kept = 0;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_flow_endpoint *endpoint = value;

        kept +=
            endpoint->reserved_for && endpoint->reserved_deadline_us > now_us;
    }
    return kept;
}

void
mw_wait_for_room(struct mw_flows *flows, struct mw_unit *unit, uint32_t tasks,
                 int64_t now_us)
{
    const struct mw_name *rack = NULL;
    GPtrArray *ignored;
    GPtrArray *cleared;

    if (!unit->step->gang || unit->late == MW_USELESS ||
        now_us < unit->reclaim_deadline_us ||
        count_kept(flows, now_us) >=
            g_hash_table_size(flows->endpoints) / WAIT_PART) {
        return;
    }
    unit->reclaim_deadline_us = now_us + MW_RECLAIM_RETRY_US;
    if (unit->step->one_rack) {
        rack = cheapest_rack(flows, unit, tasks, now_us);
        if (!rack && !mw_may_spread(flows, unit, now_us, tasks)) {
            return;
        }
    }
    ignored = g_ptr_array_new();
    cleared = g_ptr_array_new();
    if (clear_group(flows, unit, rack, tasks, now_us, ignored, cleared).room >=
        tasks) {
        unit->reclaim_deadline_us = now_us + WAIT_KEPT_US;
        reserve(cleared, unit, now_us + 2 * WAIT_KEPT_US);
    }
    g_ptr_array_unref(ignored);
    g_ptr_array_unref(cleared);
}
