#ifndef MW_CORE_FLOW_ENTRY_IMPL_H
#define MW_CORE_FLOW_ENTRY_IMPL_H

#include <glib.h>

#include "mimosawind/flow-process.h"
#include "retry-after.h"
#include "route-priority.h"

/*
 * flow-entry-impl: forwarding requests to the leader.
 *
 * FILES
 *   flow-entry.c          who leads; passes requests on, and the replies
 *   flow-entry-pending.c  the requests without a reply
 */

/* mw_pending_request: a request without a reply. */
struct mw_pending_request {
    /* of the message to the leader */
    uint64_t ref;
    /* with which the request came */
    uint64_t request_ref;
    /* what is forwarded */
    struct mw_msg *msg;
    size_t bytes;
    int64_t deadline_us;
    /* when a request that was never forwarded is refused */
    int64_t leader_deadline_us;
    int64_t received_us;
    /* 0 until a leader may have received the request */
    uint32_t forward_count;
};

/* mw_known_member: a member of the log, and when its last heartbeat came. */
struct mw_known_member {
    struct mw_name name;
    /* 0 for never */
    int64_t last_heartbeat_us;
    /* its connection has been closed since */
    bool is_disconnected;
};

struct mw_flow_entry {
    struct mw_flow_entry_output output;
    /* name of this process, which may be a member of the log itself */
    struct mw_name self;
    uint64_t next_ref;
    /* struct mw_pending_request by ref, which owns them, and by request_ref */
    GHashTable *pending;
    GHashTable *pending_by_request_ref;
    /* of all pending requests */
    size_t pending_bytes;
    struct mw_name leader;
    /* the leader's term */
    uint64_t epoch;
    /* the leader's version of the configuration; 0 for none */
    uint64_t version;
    int64_t leader_heartbeat_us;
    /* the last record that a leader had applied, by its heartbeats */
    uint64_t known_index;
    uint32_t member_count;
    struct mw_known_member members[MW_MEMBERS_MAX];
    /* mw_flow_entry_end was called */
    bool ended;
    struct mw_retry_window refusals;
    struct mw_route_priorities priorities;
    struct mw_flow_entry_counters counters;
};

/* flow-entry.c */
void mw_log_entry_event(struct mw_flow_entry *entry, const char *name,
                        const char *outcome, int64_t age_us,
                        struct mw_str path);
/* mw_time_out_pending: a leader may have received the request. */
void mw_time_out_pending(struct mw_flow_entry *entry, uint64_t ref);
/*
 * mw_refuse_unforwarded: refuses a request that no leader has received, so
 * that the client can rely on the reply: the flow does not run.
 */
void mw_refuse_unforwarded(struct mw_flow_entry *entry, int64_t now_us,
                           const struct mw_flow_request *request, int error);

/* flow-entry-pending.c */
/* mw_pending_flow_request: the request as it came. */
struct mw_flow_request
mw_pending_flow_request(const struct mw_pending_request *pending);
/* mw_free_pending_request: for entry->pending. */
void mw_free_pending_request(void *pending);
bool mw_has_room_for_request(const struct mw_flow_entry *entry,
                             const struct mw_flow_request *request);
/* mw_add_pending_request: a copy of the request waits from now on. */
struct mw_pending_request *
mw_add_pending_request(struct mw_flow_entry *entry, int64_t now_us,
                       const struct mw_flow_request *request,
                       int64_t deadline_us);
void mw_remove_pending_request(struct mw_flow_entry *entry,
                               struct mw_pending_request *pending);
void mw_forward_pending_request(struct mw_flow_entry *entry,
                                struct mw_pending_request *pending);
/*
 * mw_forward_pending_requests: forwards all, or only those not forwarded yet.
 *
 * After a pause of this process some have expired: the client may have sent
 * another order since.  These are ended before.
 */
void mw_forward_pending_requests(struct mw_flow_entry *entry, int64_t now_us,
                                 bool all);

#endif
