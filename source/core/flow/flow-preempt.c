/*
 * flow-preempt: preemption for urgent work, and room for waiting gangs.
 *
 * LOAD   urgent gangs that arrive while less urgent work fills the
 *        endpoints.  Just enough runs of less urgent queues are stopped on
 *        the endpoints (of one rack, for a gang that prefers one) where that
 *        costs least; gangs are stopped as a whole.  The endpoints are then
 *        reserved for the urgent tasks until the victims have ended.
 *
 *        Urgent jobs of organisations beyond their guarantees, which fill
 *        the endpoints.  A group within its organisation's guarantee stops
 *        them, too, where too little other work can be stopped.
 *
 *        Urgent jobs within a guarantee of an organisation whose own other
 *        work uses up its cap.  That work is stopped, and no other: only it
 *        makes room below the cap.
 *
 *        A less urgent gang preempts nothing.  The endpoints where the runs in
 *        its way end soonest are reserved for it.
 */
#include <string.h>

#include "fair-share.h"
#include "flow-command.h"
#include "flow-endpoint-state.h"
#include "flow-event.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-preempt.h"
#include "flow-quota.h"
#include "flow-reserve.h"
#include "flow-scheduler-state.h"
#include "flow-task-state.h"
#include "quota.h"

/* a reservation outlasts the stop of the victims by this */
#define RESERVATION_MARGIN_US INT64_C(800000)
/* run time that a restart costs in addition to the lost work */
#define RESTART_COST_MS 400
/* most run time that is lost since the last checkpoint */
#define CHECKPOINT_LOSS_MS 1500
/* a run past its estimate is expected to last this much longer */
#define REMAINING_MIN_US 500000
/* a gang's reservation is renewed so often while the gang waits */
#define GANG_RESERVATION_US 1000000
/* no more gang reservations once one in so many endpoints is reserved */
#define GANG_RESERVED_ONE_IN 3
/* an accelerator costs as much as this many cores */
#define GPU_CORES 8
/* lost work of queues of priority 0 and 1 costs so much more, in times */
#define URGENT_COST_FACTOR 4
#define PRIORITY_1_COST_FACTOR 2

/* victim_scope: the runs that a preemption may stop. */
enum victim_scope {
    /* of less urgent queues */
    VICTIMS_LESS_URGENT = 0,
    /* all that are not within a guarantee */
    VICTIMS_NOT_GUARANTEED = 1
};

/* preemption_plan: what a preemption in one rack, or in all, would yield. */
struct preemption_plan {
    const struct mw_name *rack;
    /* tasks that would fit */
    uint32_t capacity;
    uint64_t cost;
};

/* cost_function: cost of stopping one run, or of waiting for its end. */
typedef uint64_t (*cost_function)(const struct mw_task_placement *placement,
                                  int64_t now_us);

/*
 * Whether the group may stop the run, for urgent groups, or wait for its end,
 * for all others.
 */
static bool
can_be_displaced(const struct mw_task_placement *placement,
                 const struct mw_task_group *group, enum victim_scope scope)
{
    if (placement->phase != MW_PLACEMENT_RUNNING) {
        return false;
    }
    return group->rank >= 2 || placement->group->flow->route.priority > 0 ||
           (scope == VICTIMS_NOT_GUARANTEED &&
            placement->group->flow->exceeds_guarantee);
}

/* Urgent work is stopped only for a guarantee that is not used up. */
static enum victim_scope
widest_scope(const struct mw_task_group *group)
{
    return group->flow->may_reclaim ? VICTIMS_NOT_GUARANTEED
                                    : VICTIMS_LESS_URGENT;
}

static bool
is_stopping(const struct mw_task_placement *placement)
{
    return placement->phase == MW_PLACEMENT_STOPPING ||
           placement->phase == MW_PLACEMENT_STOPPED;
}

/* The least urgent work is stopped first. */
static uint64_t
urgency_factor(const struct mw_task_group *group)
{
    if (group->flow->route.priority == 0) {
        return URGENT_COST_FACTOR;
    }
    return group->rank >= 3 ? 1 : PRIORITY_1_COST_FACTOR;
}

/*
 * Returns the work that is lost, in thousandths of core-milliseconds.  Steps
 * with checkpoints lose little.  Each earlier preemption of the group raises
 * the cost, so that groups take turns.
 */
static uint64_t
preemption_cost(const struct mw_task_placement *placement, int64_t now_us)
{
    const struct mw_task_group *group = placement->group;
    uint64_t ran_ms =
        (uint64_t)(now_us - placement->started_us) / 1000 + RESTART_COST_MS;
    uint64_t weight =
        placement->need.cpu + placement->need.gpus * GPU_CORES * 1000;

    if (group->step->checkpointing) {
        ran_ms = MIN(ran_ms, CHECKPOINT_LOSS_MS);
    }
    if (group->step->gang) {
        weight *= group->step->count;
    }
    return ran_ms * weight * urgency_factor(group) *
           (1 + group->preemption_count);
}

/* The cost for a gang that waits for runs to end: their remaining time. */
static uint64_t
remaining_time(const struct mw_task_placement *placement, int64_t now_us)
{
    int64_t left_us =
        placement->group->step->estimate_us - (now_us - placement->started_us);

    return (uint64_t)MAX(left_us, REMAINING_MIN_US) / 1000;
}

static void
subtract(struct mw_flow_resources *used, const struct mw_flow_resources *need)
{
    used->cpu -= need->cpu;
    used->memory_mb -= need->memory_mb;
    used->gpus -= need->gpus;
}

static struct mw_task_placement *
cheapest_run(GPtrArray *placements, int64_t now_us, cost_function cost_of_run)
{
    struct mw_task_placement *best = NULL;
    uint64_t best_cost = UINT64_MAX;

    for (guint i = 0; i < placements->len; i++) {
        uint64_t cost = cost_of_run(placements->pdata[i], now_us);

        if (cost < best_cost) {
            best = placements->pdata[i];
            best_cost = cost;
        }
    }
    return best;
}

/*
 * Returns how many tasks, up to wanted, fit on one endpoint once the cheapest
 * runs have gone.  Adds these runs to victims and their cost to *cost, but
 * none that would make room for no further task.
 */
static uint32_t
plan_endpoint(struct mw_flow_endpoint *endpoint,
              const struct mw_task_group *group, enum victim_scope scope,
              int64_t now_us, uint32_t wanted, GPtrArray *victims,
              uint64_t *cost)
{
    cost_function cost_of_run =
        group->rank <= MW_URGENT_RANK_MAX ? preemption_cost : remaining_time;
    struct mw_flow_resources used = endpoint->used;
    GPtrArray *placements = g_ptr_array_new();
    guint useful_victims = victims->len;
    uint64_t cost_so_far = *cost;
    uint32_t best_capacity;
    uint32_t capacity;

    wanted = MIN(wanted, mw_flow_endpoint_limit_left(endpoint, group));
    for (guint i = 0; i < endpoint->placements->len; i++) {
        struct mw_task_placement *placement = endpoint->placements->pdata[i];

        if (is_stopping(placement)) {
            subtract(&used, &placement->need);
        }
        else if (can_be_displaced(placement, group, scope)) {
            g_ptr_array_add(placements, placement);
        }
    }
    capacity = mw_tasks_that_fit(&endpoint->heartbeat.total, &used,
                                 &group->step->need);
    best_capacity = capacity;
    while (capacity < wanted && placements->len > 0) {
        struct mw_task_placement *victim =
            cheapest_run(placements, now_us, cost_of_run);

        g_ptr_array_remove_fast(placements, victim);
        g_ptr_array_add(victims, victim);
        cost_so_far += cost_of_run(victim, now_us);
        subtract(&used, &victim->need);
        capacity = mw_tasks_that_fit(&endpoint->heartbeat.total, &used,
                                     &group->step->need);
        if (capacity > best_capacity) {
            best_capacity = capacity;
            useful_victims = victims->len;
            *cost = cost_so_far;
        }
    }
    g_ptr_array_set_size(victims, (gint)useful_victims);
    g_ptr_array_unref(placements);
    return MIN(best_capacity, wanted);
}

static gint
by_used_gpus(gconstpointer a, gconstpointer b)
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

/*
 * Returns the eligible endpoints of one rack, or of all if rack is NULL; those
 * with the fewest accelerators in use first.
 */
static GPtrArray *
eligible_endpoints(struct mw_flows *flows, const struct mw_task_group *group,
                   const struct mw_name *rack, int64_t now_us)
{
    GPtrArray *endpoints = g_ptr_array_new();

    for (guint i = 0; i < flows->usable->len; i++) {
        struct mw_flow_endpoint *endpoint = flows->usable->pdata[i];

        if ((!rack || mw_name_equal(&endpoint->rack, rack)) &&
            mw_flow_endpoint_is_eligible(endpoint, group, now_us)) {
            g_ptr_array_add(endpoints, endpoint);
        }
    }
    g_ptr_array_sort(endpoints, by_used_gpus);
    return endpoints;
}

/*
 * Plans a preemption in one rack, or in all if rack is NULL.  Adds the runs to
 * stop to victims, and the endpoints that the tasks would use to selected.
 */
static struct preemption_plan
plan_preemption(struct mw_flows *flows, const struct mw_task_group *group,
                const struct mw_name *rack, enum victim_scope scope,
                uint32_t tasks, int64_t now_us, GPtrArray *victims,
                GPtrArray *selected)
{
    GPtrArray *endpoints = eligible_endpoints(flows, group, rack, now_us);
    struct preemption_plan plan = {.rack = rack};

    for (guint i = 0; i < endpoints->len && plan.capacity < tasks; i++) {
        uint32_t capacity =
            plan_endpoint(endpoints->pdata[i], group, scope, now_us,
                          tasks - plan.capacity, victims, &plan.cost);

        plan.capacity += capacity;
        if (capacity > 0) {
            g_ptr_array_add(selected, endpoints->pdata[i]);
        }
    }
    g_ptr_array_unref(endpoints);
    return plan;
}

static const struct mw_name *
cheapest_rack(struct mw_flows *flows, const struct mw_task_group *group,
              enum victim_scope scope, uint32_t tasks, int64_t now_us)
{
    GPtrArray *victims = g_ptr_array_new();
    GPtrArray *selected = g_ptr_array_new();
    const struct mw_name *rack = NULL;
    struct preemption_plan best = {.cost = UINT64_MAX};

    for (guint i = 0; i < flows->usable->len; i++) {
        const struct mw_flow_endpoint *endpoint = flows->usable->pdata[i];
        struct preemption_plan plan;

        if (rack && mw_name_equal(rack, &endpoint->rack)) {
            continue;
        }
        rack = &endpoint->rack;
        g_ptr_array_set_size(victims, 0);
        g_ptr_array_set_size(selected, 0);
        plan = plan_preemption(flows, group, rack, scope, tasks, now_us,
                               victims, selected);
        if (plan.capacity >= tasks && plan.cost < best.cost) {
            best = plan;
        }
    }
    g_ptr_array_unref(victims);
    g_ptr_array_unref(selected);
    return best.rack;
}

/* The endpoints of the placements, in the same order. */
static GPtrArray *
collect_endpoints(const GPtrArray *placements)
{
    GPtrArray *endpoints = g_ptr_array_sized_new(placements->len);

    for (guint i = 0; i < placements->len; i++) {
        g_ptr_array_add(
            endpoints,
            ((struct mw_task_placement *)placements->pdata[i])->endpoint);
    }
    return endpoints;
}

/*
 * Stops the victims.  A victim whose start was not sent yet is freed at once,
 * and with it all such members of its gang.
 */
static void
preempt(struct mw_flows *flows, const struct mw_task_group *group,
        GPtrArray *victims, int64_t now_us)
{
    GPtrArray *endpoints = collect_endpoints(victims);

    for (guint i = 0; i < victims->len; i++) {
        const struct mw_flow_endpoint *endpoint = endpoints->pdata[i];
        struct mw_task_placement *placement = victims->pdata[i];

        if (!g_ptr_array_find(endpoint->placements, placement, NULL) ||
            is_stopping(placement)) {
            continue;
        }
        flows->counters.preempted++;
        placement->group->preemption_count++;
        mw_emit_preempted_event(flows, placement, group,
                                now_us - placement->started_us);
        if (placement->group->step->gang) {
            mw_stop_task_group(flows, now_us, placement->group);
        }
        else {
            mw_stop_task_placement(flows, now_us, placement);
        }
    }
    g_ptr_array_unref(endpoints);
}

static void
report_impossible_preemption(struct mw_flows *flows,
                             const struct mw_task_group *group,
                             const char *outcome, uint32_t tasks,
                             uint32_t capacity, int64_t now_us)
{
    if (group->rank == 0) {
        flows->counters.preemptions_impossible++;
        mw_emit_task_group_event(flows, "preemption", group, outcome, tasks,
                                 capacity, now_us - group->ready_us);
    }
}

/*
 * Stops runs in one rack, or in all if rack is NULL, if that makes room for so
 * many tasks as are required.  Returns for how many it would.
 */
static uint32_t
preempt_in(struct mw_flows *flows, struct mw_task_group *group,
           const struct mw_name *rack, enum victim_scope scope, uint32_t tasks,
           uint32_t required, int64_t now_us)
{
    GPtrArray *victims = g_ptr_array_new();
    GPtrArray *selected = g_ptr_array_new();
    struct preemption_plan plan = plan_preemption(
        flows, group, rack, scope, tasks, now_us, victims, selected);

    if (plan.capacity >= required) {
        group->reserved_us = now_us;
        group->preemption_deadline_us =
            now_us + flows->limits.stop_timeout_us + RESERVATION_MARGIN_US;
        mw_reserve_endpoints(selected, group, group->preemption_deadline_us);
        preempt(flows, group, victims, now_us);
    }
    g_ptr_array_unref(victims);
    g_ptr_array_unref(selected);
    return plan.capacity;
}

static bool
preempt_in_one_rack(struct mw_flows *flows, struct mw_task_group *group,
                    uint32_t tasks, int64_t now_us)
{
    enum victim_scope widest = widest_scope(group);
    const struct mw_name *rack = NULL;

    for (enum victim_scope s = VICTIMS_LESS_URGENT; s <= widest; s++) {
        rack = cheapest_rack(flows, group, s, tasks, now_us);
        if (rack) {
            preempt_in(flows, group, rack, s, tasks, tasks, now_us);
            return true;
        }
    }
    return false;
}

/* Fewer than all tasks are enough in the widest scope, except for a gang. */
static void
preempt_anywhere(struct mw_flows *flows, struct mw_task_group *group,
                 uint32_t tasks, int64_t now_us)
{
    enum victim_scope widest = widest_scope(group);
    uint32_t capacity = 0;
    uint32_t required = tasks;

    for (enum victim_scope s = VICTIMS_LESS_URGENT; s <= widest; s++) {
        if (s == widest && !group->step->gang) {
            required = 1;
        }
        capacity = preempt_in(flows, group, NULL, s, tasks, required, now_us);
        if (capacity >= required) {
            return;
        }
    }
    report_impossible_preemption(flows, group, "too_few_victims", tasks,
                                 capacity, now_us);
}

void
mw_preempt_for_task_group(struct mw_flows *flows, struct mw_task_group *group,
                          uint32_t tasks, int64_t now_us)
{
    if (group->rank >= 2 ||
        (now_us < group->preemption_deadline_us &&
         !mw_is_reservation_broken(flows, group, now_us))) {
        return;
    }
    if (group->reserved_count > 0) {
        mw_report_lost_reservation(flows, group, tasks, now_us);
    }
    group->preemption_deadline_us = now_us + MW_PREEMPTION_RETRY_US;
    if (group->step->prefer_one_rack &&
        preempt_in_one_rack(flows, group, tasks, now_us)) {
        return;
    }
    if (mw_may_span_racks(flows, group, now_us, tasks)) {
        preempt_anywhere(flows, group, tasks, now_us);
    }
    else {
        report_impossible_preemption(flows, group, "waits_for_rack", tasks, 0,
                                     now_us);
    }
}

void
mw_reserve_for_task_group(struct mw_flows *flows, struct mw_task_group *group,
                          uint32_t tasks, int64_t now_us)
{
    const struct mw_name *rack = NULL;
    GPtrArray *ignored;
    GPtrArray *selected;

    if (!group->step->gang || group->lateness == MW_TOO_LATE ||
        now_us < group->preemption_deadline_us ||
        mw_count_reserved(flows, now_us) >=
            g_hash_table_size(flows->endpoints) / GANG_RESERVED_ONE_IN) {
        return;
    }
    group->preemption_deadline_us = now_us + MW_PREEMPTION_RETRY_US;
    mw_release_reservation(flows, group);
    if (group->step->prefer_one_rack) {
        rack = cheapest_rack(flows, group, VICTIMS_LESS_URGENT, tasks, now_us);
        if (!rack && !mw_may_span_racks(flows, group, now_us, tasks)) {
            return;
        }
    }
    ignored = g_ptr_array_new();
    selected = g_ptr_array_new();
    if (plan_preemption(flows, group, rack, VICTIMS_LESS_URGENT, tasks, now_us,
                        ignored, selected)
            .capacity >= tasks) {
        group->preemption_deadline_us = now_us + GANG_RESERVATION_US;
        mw_reserve_endpoints(selected, group,
                             now_us + 2 * GANG_RESERVATION_US);
    }
    g_ptr_array_unref(ignored);
    g_ptr_array_unref(selected);
}

static void
reduce_excess(struct mw_flow_amounts *excess,
              const struct mw_flow_resources *need)
{
    excess->cpu -= MIN(excess->cpu, need->cpu);
    excess->memory_mb -= MIN(excess->memory_mb, need->memory_mb);
    excess->gpus -= MIN(excess->gpus, need->gpus);
}

static bool
is_covered(const struct mw_flow_amounts *excess)
{
    return excess->cpu == 0 && excess->memory_mb == 0 && excess->gpus == 0;
}

/*
 * Adds the runs of the group's organisation that may be stopped for it to
 * runs.  What is being stopped there already reduces the excess.
 */
static void
collect_own_runs(const struct mw_flows *flows,
                 const struct mw_task_group *group,
                 struct mw_flow_amounts *excess, GPtrArray *runs)
{
    for (guint e = 0; e < flows->by_rack->len; e++) {
        const struct mw_flow_endpoint *endpoint = flows->by_rack->pdata[e];

        for (guint i = 0; i < endpoint->placements->len; i++) {
            struct mw_task_placement *placement =
                endpoint->placements->pdata[i];

            if (!mw_name_equal(&placement->group->flow->org,
                               &group->flow->org)) {
                continue;
            }
            if (is_stopping(placement)) {
                reduce_excess(excess, &placement->need);
            }
            else if (can_be_displaced(placement, group, VICTIMS_LESS_URGENT)) {
                g_ptr_array_add(runs, placement);
            }
        }
    }
}

/* Moves the run to victims; of a gang, all its runs. */
static void
take_victim(GPtrArray *runs, const struct mw_task_placement *victim,
            struct mw_flow_amounts *excess, GPtrArray *victims)
{
    const struct mw_task_group *gang =
        victim->group->step->gang ? victim->group : NULL;

    for (guint i = runs->len; i > 0; i--) {
        struct mw_task_placement *run = runs->pdata[i - 1];

        if (run == victim || (gang && run->group == gang)) {
            reduce_excess(excess, &run->need);
            g_ptr_array_add(victims, run);
            g_ptr_array_remove_index_fast(runs, i - 1);
        }
    }
}

void
mw_preempt_for_cap(struct mw_flows *flows, struct mw_task_group *group,
                   uint32_t tasks, int64_t now_us)
{
    struct mw_flow_amounts excess;
    GPtrArray *runs;
    GPtrArray *victims;

    if (group->rank > 0 || now_us < group->preemption_deadline_us) {
        return;
    }
    excess = mw_quota_excess(mw_get_quota(flows), &group->flow->org,
                             &group->step->need, tasks);
    runs = g_ptr_array_new();
    victims = g_ptr_array_new();
    collect_own_runs(flows, group, &excess, runs);
    while (!is_covered(&excess) && runs->len > 0) {
        take_victim(runs, cheapest_run(runs, now_us, preemption_cost), &excess,
                    victims);
    }
    group->preemption_deadline_us = now_us + MW_PREEMPTION_RETRY_US;
    if (is_covered(&excess) || !group->step->gang) {
        preempt(flows, group, victims, now_us);
    }
    g_ptr_array_unref(victims);
    g_ptr_array_unref(runs);
}
