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
 * the lease of what is still at work then; several extend it one after the
 * other.
 *
 * Times, each of an endpoint and on this process's clock:
 *
 *   answered  of grants that were answered, or are past
 *   earlier   of calls of earlier leaders, unheard or since the first list
 *   settled   the latest of these, or the last list
 *   bounded   settled, and all extensions but those of starts on their way
 *   granted   settled, and all extensions
 *   last      the latest at which any lease there may expire
 *
 * The next leader knows when the last call may have been sent, and by the log
 * which runs are identified.  Where one of an endpoint's runs may be recorded
 * so, renewals grant no more than keeps every lease there, with all extensions
 * but those of starts on their way, within the horizon: the next leader counts
 * that from the last call.  Elsewhere it counts the longest lease from the
 * last moment at which a call of earlier leaders may be executed.
 */

/* a renewal grants no lease sooner after the last one that did */
#define MW_GRANT_INTERVAL_US INT64_C(1500000)
/* a shorter lease is not worth a grant that may be open */
#define MW_RENEWAL_LEASE_MIN_US INT64_C(1000000)

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
                     bool is_answered, bool was_repeated);
/* mw_close_past_grants: those that can't be executed any more. */
void mw_close_past_grants(const struct mw_flows *flows,
                          struct mw_flow_endpoint *endpoint, int64_t now_us);
/*
 * mw_lease_horizon: how long after a grant all leases there have expired, if
 * the endpoint is kept within the horizon.
 */
int64_t mw_lease_horizon(const struct mw_flows *flows);
/* mw_has_unanswered_grants: whether a call that has ended without an answer
 * may be executed yet. */
bool mw_has_unanswered_grants(const struct mw_flow_endpoint *endpoint);
/* mw_lease_within_horizon: the longest lease that a renewal may grant now. */
int64_t mw_lease_within_horizon(const struct mw_flows *flows,
                                const struct mw_flow_endpoint *endpoint,
                                int64_t now_us);
/* mw_is_within_horizon: whether all leases there expire in time. */
bool mw_is_within_horizon(const struct mw_flows *flows,
                          const struct mw_flow_endpoint *endpoint);
/* mw_renewal_grant_is_due: whether the next renewal is to grant a lease. */
bool mw_renewal_grant_is_due(const struct mw_flow_endpoint *endpoint,
                             int64_t now_us);

/*
 * mw_last_lease_expiry: when all leases have expired there that were granted
 * to the process that is known, also those of earlier leaders.
 */
int64_t mw_last_lease_expiry(const struct mw_flows *flows,
                             const struct mw_flow_endpoint *endpoint);
/* mw_stray_lease_expiry: the same for runs without a placement, which the last
 * list showed under a lease of any length. */
int64_t mw_stray_lease_expiry(const struct mw_flows *flows,
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
