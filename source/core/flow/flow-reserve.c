/*
 * flow-reserve: racks that are kept for urgent work.
 *
 * LOAD   urgent gangs that arrive every half second and want one rack at
 *        once, beside long work that would fill every rack.  Stopping that
 *        work takes most of the time that an urgent gang can wait, so a
 *        part of the racks takes only urgent work and, up to a limit, work
 *        that loses little when it is stopped.  The part follows the urgent
 *        demand, up to all racks: less urgent work then fills half of the
 *        region, and its long objective bears the wait.
 */
#include <string.h>

#include "flow-impl.h"

/* of the peak of urgent demand, in percent, and of all accelerators */
#define POOL_DEMAND_PERCENT 600
#define POOL_MAX_PERCENT 100
#define BUSY_PERCENT 45
/* above it, work that saves is kept out too */
#define NEARLY_FULL_PERCENT 70
/* while endpoints are idle, nothing else waits longer for those kept */
#define POOL_WAIT_US 1200000
/* the peak is forgotten by one part in so many with each pass */
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

void
mw_update_urgent_pool(struct mw_flows *flows, int64_t now_us)
{
    GPtrArray *usable = flows->usable;
    GHashTableIter iter;
    gpointer value;
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
    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_flow_endpoint *endpoint = value;

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
    flows->busy = used_gpus > total_gpus * BUSY_PERCENT / 100;
    flows->nearly_full = used_gpus > total_gpus * NEARLY_FULL_PERCENT / 100;
    g_ptr_array_sort(usable, by_rack);
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
mw_urgent_pool_excludes(const struct mw_flows *flows,
                        const struct mw_flow_endpoint *endpoint,
                        const struct mw_task_group *group, int64_t now_us)
{
    if (!flows->busy && now_us - group->ready_us > POOL_WAIT_US) {
        return false;
    }
    return endpoint->in_urgent_pool && group->rank >= 2 &&
           (flows->nearly_full || !group->step->saves) &&
           !(group->step->data_rack.len > 0 &&
             mw_name_equal(&group->step->data_rack, &endpoint->rack));
}
