#ifndef MW_CORE_FLOW_REGISTRY_H
#define MW_CORE_FLOW_REGISTRY_H

#include "mimosawind/flow.h"

/* flow-registry: records of endpoints. */

struct mw_flow_endpoint;
struct mw_flows;

/* whether the log has the endpoint's incarnation and draining state */
bool mw_flow_endpoint_is_recorded(const struct mw_flows *flows,
                                  const struct mw_flow_endpoint *endpoint);
/* proposes a record if one is needed; false when that is not possible */
bool mw_propose_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                              struct mw_flow_endpoint *endpoint);
void mw_propose_flow_endpoint_removal(struct mw_flows *flows,
                                      const struct mw_flow_endpoint *endpoint);
void mw_remove_stale_endpoint_records(struct mw_flows *flows, int64_t now_us);
/*
 * mw_record_unheard_capacities: endpoints not heard of for too long are
 * recorded as having nothing, until their next heartbeat.
 */
void mw_record_unheard_capacities(struct mw_flows *flows, int64_t now_us);
/* mw_record_endpoint_speeds: proposes records of speeds that have changed. */
void mw_record_endpoint_speeds(struct mw_flows *flows, int64_t now_us);
/*
 * mw_propose_silence, mw_propose_end_of_silence: records that the endpoint was
 * not heard of, or was heard of again; see flow-silence.h.  Returns false when
 * that is not possible.
 */
bool mw_propose_silence(struct mw_flows *flows, int64_t now_us,
                        struct mw_flow_endpoint *endpoint);
bool mw_propose_end_of_silence(struct mw_flows *flows, int64_t now_us,
                               struct mw_flow_endpoint *endpoint);
void mw_apply_flow_endpoint(struct mw_flows *flows, struct mw_record *record);
/* mw_restore_flow_endpoints: registers all recorded ones at a new leader. */
void mw_restore_flow_endpoints(struct mw_flows *flows, int64_t now_us);
void mw_snapshot_flow_endpoints(const struct mw_flows *flows, void *out,
                                void (*add)(void *out,
                                            struct mw_record *record));

#endif
