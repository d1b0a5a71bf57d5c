#ifndef MW_CORE_FLOW_RESERVE_H
#define MW_CORE_FLOW_RESERVE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* flow-reserve: endpoints reserved for a group. */

/* delay before another attempt at a preemption that was not possible */
#define MW_PREEMPTION_RETRY_US 250000

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_group;

/* mw_reserve_endpoints: struct mw_flow_endpoint, for the group alone. */
void mw_reserve_endpoints(GPtrArray *selected, struct mw_task_group *group,
                          int64_t deadline_us);
/* the endpoints that are reserved for the group are free for others again */
void mw_release_reservation(struct mw_flows *flows,
                            struct mw_task_group *group);
/* whether the group may not use the endpoint, as it is reserved for another */
bool mw_reservation_excludes(const struct mw_flow_endpoint *endpoint,
                             const struct mw_task_group *group,
                             int64_t now_us);
/*
 * mw_is_reservation_broken: whether an endpoint that is reserved for the group
 * can't be used any more, or was reserved for a more urgent group since.
 */
bool mw_is_reservation_broken(const struct mw_flows *flows,
                              const struct mw_task_group *group,
                              int64_t now_us);
/* the group was not placed while endpoints were reserved for it */
void mw_report_lost_reservation(struct mw_flows *flows,
                                struct mw_task_group *group, uint32_t tasks,
                                int64_t now_us);
/* endpoints that are reserved now */
uint32_t mw_count_reserved(const struct mw_flows *flows, int64_t now_us);

#endif
