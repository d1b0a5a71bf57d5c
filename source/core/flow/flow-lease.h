#ifndef MW_CORE_FLOW_LEASE_H
#define MW_CORE_FLOW_LEASE_H

#include "mimosawind/flow.h"

/*
 * flow-lease: leases that endpoints are granted, and when they have expired.
 *
 * LOAD   endpoints that carry out a call without an answer seconds later, with
 *        the time that it grants counted from then, and are cut off.
 *
 * A grant with an answer has been executed once, and its lease has expired
 * when its time has passed since it was sent.  One without an answer is open:
 * it may be executed until MW_LATE_EXECUTION_US after it was sent, and extends
 * the lease of what is still at work then.
 */

/* a renewal grants no lease sooner after the last one that did */
#define MW_GRANT_INTERVAL_US INT64_C(1500000)

struct mw_flow_endpoint;
struct mw_flow_lease_event;
struct mw_flow_pending_command;
struct mw_flows;

/*
 * mw_lease_duration: how long a lease may last by this process's clock.
 *
 * The endpoint's clock may be slow.
 */
int64_t mw_lease_duration(int64_t lease_us);

/*
 * mw_grant_lease: returns the deadline of a new lease on the endpoint's clock.
 *
 * The grant is open until mw_settle_grant.
 */
int64_t mw_grant_lease(struct mw_flow_endpoint *endpoint, int64_t now_us,
                       const struct mw_flow_pending_command *pending,
                       int64_t lease_us);
/*
 * mw_settle_grant: the call has its response, or none.  It stays open unless
 * it was answered, and sent once only.
 */
void mw_settle_grant(struct mw_flow_endpoint *endpoint,
                     const struct mw_flow_pending_command *pending,
                     bool is_answered);
/* mw_renewal_grant_is_due: whether the next renewal is to grant a lease. */
bool mw_renewal_grant_is_due(const struct mw_flow_endpoint *endpoint,
                             int64_t now_us);

/*
 * mw_last_lease_expiry: when all leases have expired there that were granted
 * to the process that is known, also those of earlier leaders.
 */
int64_t mw_last_lease_expiry(const struct mw_flows *flows,
                             const struct mw_flow_endpoint *endpoint);
/*
 * mw_earlier_calls_us: no earlier leader has granted a lease there, or sent a
 * start, after this time on the process's clock.
 */
int64_t mw_earlier_calls_us(const struct mw_flows *flows,
                            const struct mw_flow_endpoint *endpoint);
/* mw_drop_grants: of an endpoint that is dropped. */
void mw_drop_grants(struct mw_flow_endpoint *endpoint);
/* mw_describe_lease: for a line about a run there. */
void mw_describe_lease(const struct mw_flows *flows,
                       const struct mw_flow_endpoint *endpoint, int64_t now_us,
                       struct mw_flow_lease_event *event);

#endif
