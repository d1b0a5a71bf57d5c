#ifndef MW_CORE_FLOW_QUEUE_H
#define MW_CORE_FLOW_QUEUE_H

#include <glib.h>
#include <stdint.h>

/* flow-queue: ranks waiting work. */

struct mw_flows;

/* mw_rank_waiting_groups: groups to place, with their ranks; not in order. */
GPtrArray *mw_rank_waiting_groups(struct mw_flows *flows, int64_t now_us,
                                  int64_t wall_us);
/*
 * mw_sort_waiting_groups: puts groups to place in order, the first to place
 * first.
 *
 * To be called after mw_update_urgent_pools, which adds up the services'
 * capacities.
 */
void mw_sort_waiting_groups(struct mw_flows *flows, GPtrArray *groups);

#endif
