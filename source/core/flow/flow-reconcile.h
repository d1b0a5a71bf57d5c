#ifndef MW_CORE_FLOW_RECONCILE_H
#define MW_CORE_FLOW_RECONCILE_H

#include "mimosawind/flow.h"

/* flow-reconcile: reconciles lists of runs with placements. */

struct mw_flow_endpoint;
struct mw_flow_pending_command;
struct mw_flows;

/* mw_reconcile_list: handles the list in the response to a renewal. */
void mw_reconcile_list(struct mw_flows *flows, int64_t now_us,
                       struct mw_flow_endpoint *endpoint,
                       const struct mw_flow_response *response,
                       const struct mw_flow_pending_command *renewal);

#endif
