/*
 * flow-urgent-pool: the urgent pool of each service, racks for urgent work.
 *
 * LOAD   urgent gangs that arrive every half second and need one rack at
 *        once, beside long work that would fill every rack.  A preemption
 *        takes most of the time that an urgent gang may wait.  The racks of
 *        the pool therefore take only urgent work and, until the service is
 *        nearly full, steps with checkpoints, which lose little when they are
 *        preempted.
 *
 *        The size of the pool follows the urgent demand, up to all racks.
 *        Less urgent work then fills only about half of the service, and its
 *        long objective leaves time for the wait, which is bounded: shortly
 *        while less than half of the accelerators are in use, and else by
 *        POOL_LONGEST_WAIT_US.
 */
#include <string.h>

#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-quota.h"
#include "flow-scheduler-state.h"
#include "flow-task-state.h"
#include "flow-urgent-pool.h"

/* size of the pool: percentage of the peak of the urgent demand */
#define POOL_DEMAND_PERCENT 600
/* and at most this percentage of all accelerators */
#define POOL_MAX_PERCENT 100
/* accelerators in use, or cores where a service has none, from which on
 * POOL_WAIT_US no longer applies */
#define HALF_FULL_PERCENT 50
/* accelerators in use, above which the pool excludes checkpointed steps */
#define NEARLY_FULL_PERCENT 70
/* other work may use the pool after such a wait, while fewer are in use */
#define POOL_WAIT_US INT64_C(1200000)
/* and after such a wait in any case */
#define POOL_LONGEST_WAIT_US INT64_C(60000000)
/* demand that is counted at most, so that it can be taken in thousandths */
#define DEMAND_MAX_GPUS (UINT32_MAX / 1000)
/* each scheduling pass lowers the peak by one part in so many */
#define PEAK_DECAY 400

static gint
by_rack(gconstpointer a, gconstpointer b)
{
    const struct mw_flow_endpoint *x =
        *(const struct mw_flow_endpoint *const *)a;
    const struct mw_flow_endpoint *y =
        *(const struct mw_flow_endpoint *const *)b;
    int order = memcmp(&x->rack, &y->rack, sizeof x->rack);

    return order ? order : memcmp(&x->id, &y->id, sizeof x->id);
}

static void
sort_by_rack(struct mw_flows *flows)
{
    GHashTableIter iter;
    gpointer value;

    if (!flows->is_rack_order_stale) {
        return;
    }
    g_ptr_array_set_size(flows->by_rack, 0);
    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(flows->by_rack, value);
    }
    g_ptr_array_sort(flows->by_rack, by_rack);
    flows->is_rack_order_stale = false;
}

/* The pool of a service, which is added if it has none. */
static struct mw_urgent_pool *
pool_of(struct mw_flows *flows, const struct mw_name *service)
{
    struct mw_urgent_pool *pool =
        g_hash_table_lookup(flows->urgent_pools, service);

    if (!pool) {
        pool = g_new0(struct mw_urgent_pool, 1);
        pool->service = *service;
        g_hash_table_insert(flows->urgent_pools, &pool->service, pool);
    }
    return pool;
}

/*
 * Whether the pool is of no use any more, as no endpoint refers to it;
 * otherwise begins a pass with it.
 */
static gboolean
begin_pass(gpointer service, gpointer value, gpointer data)
{
    struct mw_urgent_pool *pool = value;
    bool is_unused = pool->endpoint_count == 0 && pool->peak_milligpus < 1000;

    (void)service;
    (void)data;
    pool->peak_milligpus -= pool->peak_milligpus / PEAK_DECAY;
    pool->endpoint_count = 0;
    pool->total_gpus = 0;
    pool->used_gpus = 0;
    pool->total_cpu = 0;
    pool->used_cpu = 0;
    pool->total_memory_mb = 0;
    pool->demand_gpus = 0;
    pool->gpus = 0;
    pool->last_rack = NULL;
    return is_unused;
}

/* Work that waits for its organisation's cap is no demand. */
static void
add_demand(struct mw_flows *flows)
{
    for (guint f = 0; f < flows->active->len; f++) {
        const struct mw_flow *flow = flows->active->pdata[f];

        for (uint32_t u = 0;
             flow->route.priority == 0 && u < flow->group_count; u++) {
            const struct mw_task_group *group = &flow->groups[u];

            if (group->rank <= MW_URGENT_RANK_MAX) {
                pool_of(flows, &flow->route.service)->demand_gpus +=
                    (uint64_t)(group->step->count - group->done_count -
                               mw_draw_cap_for_demand(flows, group)) *
                    group->step->need.gpus;
            }
        }
    }
}

/*
 * Counts what there is and what is in use.  Runs on an endpoint that can't be
 * reached may be over, and keep nothing that other work could use.
 */
static void
add_capacity(struct mw_urgent_pool *pool,
             const struct mw_flow_endpoint *endpoint)
{
    pool->endpoint_count++;
    if (!endpoint->registered || endpoint->deregistered) {
        return;
    }
    pool->total_gpus += endpoint->heartbeat.total.gpus;
    pool->total_cpu += endpoint->heartbeat.total.cpu;
    pool->total_memory_mb += endpoint->heartbeat.total.memory_mb;
    if (endpoint->renewal_failures == 0) {
        pool->used_gpus += endpoint->used.gpus;
        pool->used_cpu += endpoint->used.cpu;
    }
}

/* Adds up the pools' capacity, and finds the usable endpoints. */
static void
add_endpoints(struct mw_flows *flows, int64_t now_us)
{
    g_ptr_array_set_size(flows->usable, 0);
    sort_by_rack(flows);
    for (guint i = 0; i < flows->by_rack->len; i++) {
        struct mw_flow_endpoint *endpoint = flows->by_rack->pdata[i];
        struct mw_urgent_pool *pool = endpoint->urgent_pool;

        if (!pool ||
            !mw_name_equal(&pool->service, &endpoint->heartbeat.service)) {
            pool = pool_of(flows, &endpoint->heartbeat.service);
            endpoint->urgent_pool = pool;
        }
        endpoint->in_urgent_pool = false;
        endpoint->usable = mw_flow_endpoint_is_usable(flows, endpoint, now_us);
        add_capacity(pool, endpoint);
        if (endpoint->usable) {
            g_ptr_array_add(flows->usable, endpoint);
        }
    }
}

static bool
is_half_full(const struct mw_urgent_pool *pool)
{
    if (pool->total_gpus > 0) {
        return pool->used_gpus * 100 >= pool->total_gpus * HALF_FULL_PERCENT;
    }
    return pool->used_cpu * 100 >= pool->total_cpu * HALF_FULL_PERCENT;
}

static void
set_target(struct mw_urgent_pool *pool)
{
    uint32_t demand_gpus = (uint32_t)MIN(pool->demand_gpus, DEMAND_MAX_GPUS);

    pool->peak_milligpus = MAX(pool->peak_milligpus, demand_gpus * 1000);
    pool->half_full = is_half_full(pool);
    pool->nearly_full =
        pool->used_gpus * 100 > pool->total_gpus * NEARLY_FULL_PERCENT;
    pool->target_gpus =
        MIN(pool->peak_milligpus / 1000 * POOL_DEMAND_PERCENT / 100,
            pool->total_gpus * POOL_MAX_PERCENT / 100);
}

/* Takes whole racks, in their order, until the pool is large enough. */
static void
choose_racks(struct mw_flows *flows)
{
    for (guint i = 0; i < flows->usable->len; i++) {
        struct mw_flow_endpoint *endpoint = flows->usable->pdata[i];
        struct mw_urgent_pool *pool = endpoint->urgent_pool;

        if (pool->gpus >= pool->target_gpus &&
            !(pool->last_rack &&
              mw_name_equal(pool->last_rack, &endpoint->rack))) {
            continue;
        }
        pool->last_rack = &endpoint->rack;
        endpoint->in_urgent_pool = true;
        pool->gpus += endpoint->heartbeat.total.gpus;
    }
}

void
mw_update_urgent_pools(struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_foreach_remove(flows->urgent_pools, begin_pass, NULL);
    add_demand(flows);
    add_endpoints(flows, now_us);
    g_hash_table_iter_init(&iter, flows->urgent_pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        set_target(value);
    }
    choose_racks(flows);
}

bool
mw_has_waited_beside_free_half(const struct mw_flow_endpoint *endpoint,
                               const struct mw_task_group *group,
                               int64_t now_us)
{
    return !endpoint->urgent_pool->half_full &&
           now_us - group->ready_us > POOL_WAIT_US;
}

bool
mw_urgent_pool_excludes(const struct mw_flow_endpoint *endpoint,
                        const struct mw_task_group *group, int64_t now_us)
{
    if (mw_has_waited_beside_free_half(endpoint, group, now_us) ||
        now_us - group->ready_us > POOL_LONGEST_WAIT_US) {
        return false;
    }
    return endpoint->in_urgent_pool && group->rank > MW_URGENT_RANK_MAX &&
           (endpoint->urgent_pool->nearly_full ||
            !group->step->checkpointing) &&
           !(group->step->data_rack.len > 0 &&
             mw_name_equal(&group->step->data_rack, &endpoint->rack));
}
