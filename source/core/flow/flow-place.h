#ifndef MW_CORE_FLOW_PLACE_H
#define MW_CORE_FLOW_PLACE_H

#include <glib.h>

#include "flow-placement.h"

/* flow-place: chooses endpoints. */

/* a step that prefers one rack waits so long before it may span several */
#define MW_RACK_WAIT_US INT64_C(2500000)
/* urgent steps wait less: they must start within the time for preemption */
#define MW_URGENT_RACK_WAIT_US INT64_C(900000)
/* wait for capacity in the rack that holds the data (delay scheduling) */
#define MW_DATA_LOCALITY_WAIT_US INT64_C(2000000)

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_group;

/*
 * mw_flow_endpoint_is_eligible: whether the group's tasks may run there:
 * service, label, urgent pool and reservations allow it.  Free resources are
 * not considered.
 */
bool mw_flow_endpoint_is_eligible(const struct mw_flow_endpoint *endpoint,
                                  const struct mw_task_group *group,
                                  int64_t now_us);
/* mw_flow_endpoint_limit_left: tasks that the step's spread still allows. */
uint32_t mw_flow_endpoint_limit_left(const struct mw_flow_endpoint *endpoint,
                                     const struct mw_task_group *group);
/* since when the group waits for a rack: ready, and not kept by its cap */
int64_t mw_rack_wait_start_us(const struct mw_task_group *group);
/* whether tasks that prefer one rack may now span several */
bool mw_may_span_racks(const struct mw_flows *flows,
                       const struct mw_task_group *group, int64_t now_us,
                       uint32_t wanted);
/* chooses endpoints for waiting tasks; returns how many were chosen */
uint32_t mw_choose_endpoints(struct mw_flows *flows,
                             struct mw_task_group *group, int64_t now_us,
                             uint32_t wanted, GPtrArray *chosen);

#endif
