#ifndef MW_CORE_FLOW_ENDPOINT_ADDRESS_H
#define MW_CORE_FLOW_ENDPOINT_ADDRESS_H

#include "mimosawind/flow.h"

/*
 * flow-endpoint-address: which endpoint an address belongs to.
 *
 * LOAD   reports of other writers, and late ones, that name the address of an
 *        endpoint under another identifier.
 *
 * An address belongs to the endpoint whose list was last read there.
 */

struct mw_flow_endpoint;
struct mw_flows;

/* mw_is_confirmed: whether a list of its present process has been read. */
bool mw_is_confirmed(const struct mw_flow_endpoint *endpoint);
/*
 * mw_is_superseded: whether the heartbeat is left aside for another endpoint
 * at the same address that answers, as far as is known: its list, which is
 * requested now, decides.
 */
bool mw_is_superseded(struct mw_flows *flows, int64_t now_us,
                      const struct mw_flow_heartbeat *heartbeat);
/* mw_set_address: an address in use stays that of the other endpoint. */
void mw_set_address(struct mw_flows *flows, struct mw_flow_endpoint *endpoint,
                    const struct mw_name *address);
/*
 * mw_confirm_flow_endpoint: a list of the endpoint has been read at its
 * address, so no other one is there.
 */
void mw_confirm_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                              struct mw_flow_endpoint *endpoint);
/*
 * mw_settle_held_heartbeat: after a response of the endpoint, decides about
 * the heartbeat of another one at its address.
 */
void mw_settle_held_heartbeat(struct mw_flows *flows, int64_t now_us,
                              struct mw_flow_endpoint *endpoint);

#endif
