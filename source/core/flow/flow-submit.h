#ifndef MW_CORE_FLOW_SUBMIT_H
#define MW_CORE_FLOW_SUBMIT_H

#include "mimosawind/flow.h"

/* flow-submit: submitted flows. */

struct mw_flows;

/* mw_refuse_submission: replies that the flow is not run, for this reason. */
void mw_refuse_submission(struct mw_flows *flows,
                          const struct mw_flow_request *request,
                          const struct mw_flow_route *route,
                          const struct mw_name *id, int error,
                          const char *reason);
/*
 * mw_submit_flow: proposes the flow, unless it is known, or can't be run or
 * held; replies.
 */
void mw_submit_flow(struct mw_context *ctx, struct mw_flows *flows,
                    int64_t wall_us, const struct mw_flow_request *request,
                    const struct mw_flow_route *route,
                    const struct mw_flow_org *org, const struct mw_name *id);

#endif
