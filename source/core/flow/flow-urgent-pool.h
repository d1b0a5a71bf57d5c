#ifndef MW_CORE_FLOW_URGENT_POOL_H
#define MW_CORE_FLOW_URGENT_POOL_H

#include "mimosawind/flow.h"

/* flow-urgent-pool: the pool of racks for urgent work. */

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_group;

/* mw_urgent_pool: the racks of a service for urgent work; cpu in thousandths.
 */
struct mw_urgent_pool {
    struct mw_name service;
    /* decaying peak of the accelerators that urgent work needs */
    uint32_t peak_milligpus;
    /* of the current pass: */
    uint32_t endpoint_count;
    uint32_t total_gpus;
    uint32_t used_gpus;
    uint64_t total_cpu;
    uint64_t used_cpu;
    uint64_t total_memory_mb;
    uint64_t demand_gpus;
    /* of the pool, as chosen so far and as wanted */
    uint32_t gpus;
    uint32_t target_gpus;
    const struct mw_name *last_rack;
    /* HALF_FULL_PERCENT of the service, or more, is in use */
    bool half_full;
    /* more than NEARLY_FULL_PERCENT of its accelerators are */
    bool nearly_full;
};

/* mw_update_urgent_pools: also finds the usable endpoints of this pass. */
void mw_update_urgent_pools(struct mw_flows *flows, int64_t now_us);
/*
 * mw_has_waited_beside_free_half: no room is kept from the group for other
 * work that is not urgent, nor by the urgent pool.
 */
bool mw_has_waited_beside_free_half(const struct mw_flow_endpoint *endpoint,
                                    const struct mw_task_group *group,
                                    int64_t now_us);
/* whether the endpoint is kept free of this group's tasks */
bool mw_urgent_pool_excludes(const struct mw_flow_endpoint *endpoint,
                             const struct mw_task_group *group,
                             int64_t now_us);

#endif
