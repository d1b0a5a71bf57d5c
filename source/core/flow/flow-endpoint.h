#ifndef MW_CORE_FLOW_ENDPOINT_H
#define MW_CORE_FLOW_ENDPOINT_H

#include "flow-endpoint-state.h"

/* flow-endpoint: heartbeats and incarnations. */

struct mw_flow_endpoint;
struct mw_flows;

/* mw_add_flow_endpoint: an endpoint that is not registered yet. */
struct mw_flow_endpoint *mw_add_flow_endpoint(struct mw_flows *flows,
                                              int64_t now_us,
                                              const struct mw_name *id,
                                              uint64_t incarnation);
void mw_drop_flow_endpoint(void *endpoint);
/* mw_clear_flow_endpoints: drops all of them with their placements. */
void mw_clear_flow_endpoints(struct mw_flows *flows);
/* mw_lose_endpoint_runs: all its runs are over, see mw_lose_run. */
void mw_lose_endpoint_runs(struct mw_flows *flows, int64_t now_us,
                           struct mw_flow_endpoint *endpoint,
                           const char *reason);
/* mw_begin_generation: calls from now on are meant for another process. */
void mw_begin_generation(struct mw_flows *flows,
                         struct mw_flow_endpoint *endpoint);
/*
 * mw_register_flow_endpoint: handles a heartbeat, or a record of one.
 *
 * A heartbeat that is older than the last one changes nothing.  outcome goes
 * into the event of an endpoint that was not registered.
 */
void mw_register_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                               const struct mw_flow_heartbeat *heartbeat,
                               const char *outcome);
/* mw_flow_endpoint_restarted: a later incarnation sent a response. */
void mw_flow_endpoint_restarted(struct mw_flows *flows, int64_t now_us,
                                struct mw_flow_endpoint *endpoint,
                                uint64_t incarnation);
/*
 * mw_contest_flow_endpoint: something contradicts what is known of the
 * endpoint's process; its list is requested, which shows what is there.
 */
void mw_contest_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                              struct mw_flow_endpoint *endpoint,
                              const char *evidence);
/*
 * mw_await_list: whether a heartbeat that contradicts what is known of the
 * endpoint is left aside: it may be late, and incarnations are dated by clocks
 * that jump.  The endpoint's next list, which is requested now, shows what is
 * there.  False if the endpoint is gone or does not answer.
 */
bool mw_await_list(struct mw_flows *flows, int64_t now_us,
                   struct mw_flow_endpoint *endpoint, const char *evidence);
/*
 * mw_deregister_flow_endpoint: this incarnation has gone; a later one may
 * register again.
 */
void mw_deregister_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                                 struct mw_flow_endpoint *endpoint,
                                 const char *reason);
/*
 * mw_settle_leave: after the response to a renewal, deregisters an endpoint
 * that leaves if its process has ended, or if it does not respond and has no
 * runs.
 */
void mw_settle_leave(struct mw_flows *flows, int64_t now_us,
                     struct mw_flow_endpoint *endpoint,
                     enum mw_flow_result result);

#endif
