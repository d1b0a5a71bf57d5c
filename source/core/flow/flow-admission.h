#ifndef MW_CORE_FLOW_ADMISSION_H
#define MW_CORE_FLOW_ADMISSION_H

#include "flow-task-state.h"

/* flow-admission: whether another flow can be held. */

struct mw_flows;

struct mw_flow_size mw_flow_plan_size(const struct mw_flow_plan *plan,
                                      struct mw_str text);
void mw_add_flow_size(struct mw_flow_size *sum,
                      const struct mw_flow_size *size);
void mw_subtract_flow_size(struct mw_flow_size *sum,
                           const struct mw_flow_size *size);
/*
 * mw_check_flow_size: whether the leader may accept a flow of this size.
 *
 * Returns MW_ERR_IMPOSSIBLE for one that could never be held, and
 * MW_ERR_OVERLOADED for one that could be held once others have gone.
 */
int mw_check_flow_size(const struct mw_flows *flows,
                       const struct mw_flow_size *size);

#endif
