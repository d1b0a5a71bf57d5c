/*
 * flow-urgent-pool: the urgent pool, a set of racks for urgent work.
 *
 * LOAD   urgent gangs that arrive every half second and need one rack at
 *        once, beside long work that would fill every rack.  A preemption
 *        takes most of the time that an urgent gang may wait.  The racks of
 *        the pool therefore take only urgent work and, until the region is
 *        nearly full, steps with checkpoints, which lose little when they are
 *        preempted.
 *
 *        The size of the pool follows the urgent demand, up to all racks.
 *        Less urgent work then fills only about half of the region, and its
 *        long objective leaves time for the wait, which is bounded: shortly
 *        while less than half of the accelerators are in use, and else by
 *        POOL_LONGEST_WAIT_US.
 */
#include <string.h>

#include "flow-impl.h"

/* size of the pool: percentage of the peak of the urgent demand */
#define POOL_DEMAND_PERCENT 600
/* and at most this percentage of all accelerators */
#define POOL_MAX_PERCENT 100
/* accelerators in use, from which on POOL_WAIT_US no longer applies */
#define HALF_FULL_PERCENT 50
/* accelerators in use, above which the pool excludes checkpointed steps */
#define NEARLY_FULL_PERCENT 70
/* other work may use the pool after such a wait, while fewer are in use */
#define POOL_WAIT_US INT64_C(1200000)
/* and after such a wait in any case */
#define POOL_LONGEST_WAIT_US INT64_C(15000000)
/* each scheduling pass lowers the peak by one part in so many */
#define PEAK_DECAY 400

static uint32_t
urgent_demand(const struct mw_flows *flows)
{
    uint32_t gpus = 0;

    for (guint f = 0; f < flows->active->len; f++) {
        const struct mw_flow *flow = flows->active->pdata[f];

        for (uint32_t u = 0;
             flow->route.priority == 0 && u < flow->group_count; u++) {
            const struct mw_task_group *group = &flow->groups[u];

            if (group->rank < 2) {
                gpus += (group->step->count - group->done_count) *
                        group->step->need.gpus;
            }
        }
    }
    return gpus;
}

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

void
mw_update_urgent_pool(struct mw_flows *flows, int64_t now_us)
{
    GPtrArray *usable = flows->usable;
    uint32_t demand = urgent_demand(flows);
    uint32_t total_gpus = 0;
    uint32_t used_gpus = 0;
    uint32_t pool_gpus = 0;
    uint32_t pool_target;
    const struct mw_name *rack = NULL;

    flows->urgent_peak_milligpus -= flows->urgent_peak_milligpus / PEAK_DECAY;
    flows->urgent_peak_milligpus =
        MAX(flows->urgent_peak_milligpus, demand * 1000);
    g_ptr_array_set_size(usable, 0);
    sort_by_rack(flows);
    for (guint i = 0; i < flows->by_rack->len; i++) {
        struct mw_flow_endpoint *endpoint = flows->by_rack->pdata[i];

        endpoint->in_urgent_pool = false;
        endpoint->usable = mw_flow_endpoint_is_usable(flows, endpoint, now_us);
        if (endpoint->registered && !endpoint->deregistered) {
            total_gpus += endpoint->heartbeat.total.gpus;
            used_gpus += endpoint->used.gpus;
        }
        if (endpoint->usable) {
            g_ptr_array_add(usable, endpoint);
        }
    }
    flows->half_full = used_gpus * 100 >= total_gpus * HALF_FULL_PERCENT;
    flows->nearly_full = used_gpus > total_gpus * NEARLY_FULL_PERCENT / 100;
    pool_target =
        MIN(flows->urgent_peak_milligpus / 1000 * POOL_DEMAND_PERCENT / 100,
            total_gpus * POOL_MAX_PERCENT / 100);
    for (guint i = 0; i < usable->len; i++) {
        struct mw_flow_endpoint *endpoint = usable->pdata[i];

        if (pool_gpus >= pool_target &&
            !(rack && mw_name_equal(rack, &endpoint->rack))) {
            break;
        }
        rack = &endpoint->rack;
        endpoint->in_urgent_pool = true;
        pool_gpus += endpoint->heartbeat.total.gpus;
    }
}

bool
mw_has_waited_beside_free_half(const struct mw_flows *flows,
                               const struct mw_task_group *group,
                               int64_t now_us)
{
    return !flows->half_full && now_us - group->ready_us > POOL_WAIT_US;
}

bool
mw_urgent_pool_excludes(const struct mw_flows *flows,
                        const struct mw_flow_endpoint *endpoint,
                        const struct mw_task_group *group, int64_t now_us)
{
    if (mw_has_waited_beside_free_half(flows, group, now_us) ||
        now_us - group->ready_us > POOL_LONGEST_WAIT_US) {
        return false;
    }
    return endpoint->in_urgent_pool && group->rank >= 2 &&
           (flows->nearly_full || !group->step->checkpointing) &&
           !(group->step->data_rack.len > 0 &&
             mw_name_equal(&group->step->data_rack, &endpoint->rack));
}
