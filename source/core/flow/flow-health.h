#ifndef MW_CORE_FLOW_HEALTH_H
#define MW_CORE_FLOW_HEALTH_H

#include "mimosawind/flow.h"

/* flow-health: quarantine of failing endpoints. */

#define MW_REFUSAL_QUARANTINE_US INT64_C(5000000)

struct mw_flow_endpoint;
struct mw_flows;

/*
 * mw_next_stall_us: when a list may first show that a run of the endpoint has
 * stalled; INT64_MAX for never.
 */
int64_t mw_next_stall_us(const struct mw_flow_endpoint *endpoint);
void mw_update_flow_endpoint_health(struct mw_flows *flows, int64_t now_us,
                                    struct mw_flow_endpoint *endpoint,
                                    enum mw_run_end end);
void mw_stop_stalled_runs(struct mw_flows *flows, int64_t now_us,
                          struct mw_flow_endpoint *endpoint);

#endif
