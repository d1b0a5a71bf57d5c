#ifndef MW_CORE_FLOW_REPLY_H
#define MW_CORE_FLOW_REPLY_H

#include "mimosawind/flow.h"

/* flow-reply: replies to requests. */

struct mw_flows;

void mw_send_flow_reply(struct mw_flows *flows, struct mw_flow_reply *reply);
/*
 * mw_take_flow_retry_after: the delay for a client that is refused for a
 * reason that may pass; 0 for any other.
 *
 * The route is NULL where the request was not matched to one.  Requests that
 * wait for their commit don't wait for what this one lacks.
 */
int64_t mw_take_flow_retry_after(struct mw_flows *flows,
                                 const struct mw_flow_request *request,
                                 const struct mw_flow_route *route, int error);
void mw_send_flow_error(struct mw_flows *flows,
                        const struct mw_flow_request *request, int error,
                        struct mw_str detail);
void mw_send_flow_done(struct mw_flows *flows, uint64_t ref,
                       enum mw_flow_reply_kind kind);
/* the reply tells the entry process the priority of the route */
void mw_send_flow_accepted(struct mw_flows *flows, uint64_t ref,
                           const struct mw_flow_route *route);

#endif
