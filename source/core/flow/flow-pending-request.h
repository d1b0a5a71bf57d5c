#ifndef MW_CORE_FLOW_PENDING_REQUEST_H
#define MW_CORE_FLOW_PENDING_REQUEST_H

#include "flow-task-state.h"
#include "mimosawind/flow.h"

/* flow-pending-request: requests whose records are not committed yet. */

struct mw_flows;

/* mw_flow_pending_request: a request whose record is not committed yet. */
struct mw_flow_pending_request {
    uint64_t ref;
    enum mw_flow_request_kind kind;
    /* the flow, endpoint or zone */
    struct mw_name name;
    /* of the configuration */
    uint64_t version;
    int64_t received_us;
    /* of a submitted flow; nothing if another request has proposed it */
    struct mw_flow_size size;
};

/* mw_await_flow_commit: the reply is sent once the record is committed. */
struct mw_flow_pending_request *
mw_await_flow_commit(struct mw_flows *flows,
                     const struct mw_flow_request *request,
                     const struct mw_name *name, uint64_t version);
/*
 * mw_propose_for_request: proposes the record, takes over its reference and
 * awaits the commit; NULL if it could not be proposed.
 */
struct mw_flow_pending_request *mw_propose_for_request(
    struct mw_flows *flows, const struct mw_flow_request *request,
    struct mw_record *record, const struct mw_name *name, uint64_t version);
/* whether the record of a submission of this flow is not committed yet */
bool mw_submission_is_pending(const struct mw_flows *flows,
                              const struct mw_name *id);
/* mw_complete_flow_requests: replies to those that wait for the record. */
void mw_complete_flow_requests(struct mw_flows *flows,
                               const struct mw_record *record);
/* mw_fail_flow_requests: replies that the outcome is not known. */
void mw_fail_flow_requests(struct mw_flows *flows);

#endif
