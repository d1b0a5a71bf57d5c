#ifndef MIMOSAWIND_FLOW_PROCESS_H
#define MIMOSAWIND_FLOW_PROCESS_H

#include "mimosawind/message.h"

/*
 * flow-process: control and entry processes of a region that runs flows.
 *
 * A control process holds a member of the region's replicated log and the
 * flow scheduler; only the scheduler of the log's leader makes decisions.
 * An entry process forwards client requests to the leader and keeps each one
 * until it has a reply.  After a change of leader it forwards the request
 * again; that is safe, since the flow's identifier in the request makes it
 * idempotent.
 *
 * A control process that receives an operator's request while it is not the
 * leader forwards it in the same way and passes the reply on.  It does not
 * redirect: a redirection needs two responses to reach the operator, and on
 * a lossy network one of two is lost more often than a single one.
 *
 * The name of a process is its IP address, to which others connect.
 */

/* interval of a control process's heartbeats */
#define MW_FLOW_HEARTBEAT_INTERVAL_US 400000
/* requests are not forwarded to a leader without a heartbeat for this long */
#define MW_FLOW_LEADER_TIMEOUT_US 1500000
/* a member of the log without a heartbeat for this long is unreachable */
#define MW_FLOW_MEMBER_TIMEOUT_US 1000000
/* after this long the log may have replaced the member by another */
#define MW_FLOW_MEMBER_EXPIRY_US 10000000
/* longer than any election: no leader for this long, and none is expected */
#define MW_FLOW_ELECTION_MAX_US 3000000
/* a request that no leader has received is refused after this long */
#define MW_FLOW_LEADER_WAIT_US 1000000
/* requests without a reply that a process keeps at one time */
#define MW_FLOW_PENDING_MAX 4096
/* and their bytes */
#define MW_FLOW_PENDING_BYTES_MAX (16u * 1024 * 1024)
/* below 1 s, after which operators without a reply try another process */
#define MW_FLOW_FORWARD_TIMEOUT_US 900000

/*
 * mw_flow_control_output: callbacks of a control process.
 *
 * Arguments are borrowed for the length of the call.
 */
struct mw_flow_control_output {
    void *opaque;
    /* send: to one process, send_all: to every connected one of a role */
    void (*send)(void *opaque, const struct mw_name *to, struct mw_msg *msg);
    void (*send_all)(void *opaque, enum mw_process_role role,
                     struct mw_msg *msg);
    /* store: write to the disk, then call mw_flow_control_synced */
    void (*store)(void *opaque, const struct mw_stored_item *item);
    /* command to an endpoint; leads to mw_flow_control_handle_response */
    void (*command)(void *opaque, const struct mw_flow_command *command);
    /* reply: to a request that was passed to this process directly */
    void (*reply)(void *opaque, const struct mw_flow_reply *reply);
    void (*event)(void *opaque, const struct mw_flow_event *event);
    struct mw_flow_config *(*decode_config)(void *opaque,
                                            struct mw_context *ctx,
                                            struct mw_str text, int *error);
    struct mw_flow_plan *(*decode_plan)(void *opaque, struct mw_context *ctx,
                                        struct mw_str text, int *error);
};

struct mw_flow_control_setup {
    struct mw_name name;
    struct mw_name zone;
    uint64_t incarnation;
    /* members of the log; none for a standby, which only forwards requests */
    uint32_t member_count;
    struct mw_name members[MW_MEMBERS_MAX];
    /* how many of the members are founding members of the log */
    uint32_t founding_count;
    /* wanted number of members */
    uint32_t target_member_count;
    /* log entries after which a snapshot replaces them */
    uint32_t compact_after;
    /* of the random generator that spreads election timeouts */
    uint32_t random_seed;
    /* of its requests to other processes; see message.h */
    uint64_t first_ref;
    int64_t now_us;
    struct mw_flow_limits limits;
    struct mw_flow_control_output output;
};

struct mw_flow_control;

struct mw_flow_control *
mw_new_flow_control(const struct mw_flow_control_setup *setup);
void mw_drop_flow_control(struct mw_flow_control *control);

/* mw_flow_control_restore: load one stored item; in the order of storing. */
int mw_flow_control_restore(struct mw_context *ctx,
                            struct mw_flow_control *control,
                            const struct mw_stored_item *item);

/*
 * mw_flow_control_receive: process one message of another process.
 *
 * wall_us is the time of day and is used only for the due times of flows.
 */
void mw_flow_control_receive(struct mw_context *ctx,
                             struct mw_flow_control *control, int64_t now_us,
                             int64_t wall_us, const struct mw_name *from,
                             struct mw_msg *msg);
/* mw_flow_control_synced: all items up to sequence are on the disk. */
void mw_flow_control_synced(struct mw_context *ctx,
                            struct mw_flow_control *control, int64_t now_us,
                            uint64_t sequence);
/* mw_flow_control_set_writable: as mw_log_set_writable, of the region's log.
 */
void mw_flow_control_set_writable(struct mw_context *ctx,
                                  struct mw_flow_control *control,
                                  int64_t now_us, bool writable);
/*
 * mw_flow_control_disconnected: the connection to a process was closed.
 *
 * Requests that were forwarded over it may be lost.
 */
void mw_flow_control_disconnected(struct mw_flow_control *control,
                                  int64_t now_us,
                                  const struct mw_name *process);
/*
 * mw_flow_control_request: a request of an operator.
 *
 * Leads to exactly one reply, from this process or forwarded from the leader.
 */
void mw_flow_control_request(struct mw_context *ctx,
                             struct mw_flow_control *control, int64_t now_us,
                             int64_t wall_us,
                             const struct mw_flow_request *request);
/*
 * mw_flow_control_handle_heartbeat: a heartbeat of an endpoint.
 *
 * As mw_flows_handle_heartbeat; ref comes back in the reply, and may be any
 * value.  A process that is not the leader passes the heartbeat on to it, and
 * returns MW_ERR_NOT_LEADER if it can't.
 */
int mw_flow_control_handle_heartbeat(struct mw_flow_control *control,
                                     int64_t now_us,
                                     const struct mw_flow_heartbeat *heartbeat,
                                     uint64_t ref);
/*
 * mw_flow_control_heartbeat_target: the control process to which the endpoint
 * should send its further heartbeats.
 */
struct mw_name
mw_flow_control_heartbeat_target(const struct mw_flow_control *control,
                                 int64_t now_us,
                                 const struct mw_flow_heartbeat *heartbeat);
/* mw_flow_control_handle_response: the result of a command. */
void mw_flow_control_handle_response(struct mw_flow_control *control,
                                     int64_t now_us,
                                     const struct mw_flow_response *response);
/* mw_flow_control_tick: act on deadlines that have passed. */
void mw_flow_control_tick(struct mw_context *ctx,
                          struct mw_flow_control *control, int64_t now_us,
                          int64_t wall_us);
/* mw_flow_control_deadline: when mw_flow_control_tick is next due. */
int64_t mw_flow_control_deadline(const struct mw_flow_control *control);

/* mw_flow_control_is_leader: whether this is the leader, with a valid lease.
 */
bool mw_flow_control_is_leader(struct mw_flow_control *control,
                               int64_t now_us);

/*
 * mw_flow_control_leader: the leader as last known.
 *
 * Empty if no leader is known, and if it is this process.
 */
struct mw_name mw_flow_control_leader(const struct mw_flow_control *control,
                                      int64_t now_us);

/*
 * mw_flow_control_leave: begin or continue a graceful shutdown.
 *
 * Transfers leadership to another member.  Returns true once the process is
 * not the leader and may exit.
 */
bool mw_flow_control_leave(struct mw_flow_control *control, int64_t now_us);

/*
 * mw_flow_control_get_members: members of the log, as this process knows them.
 *
 * Writes up to MW_MEMBERS_MAX names and returns how many.
 */
uint32_t mw_flow_control_get_members(const struct mw_flow_control *control,
                                     struct mw_name *members);

/* mw_flow_control_get_log_status: all 0 for a standby, which has no log. */
void mw_flow_control_get_log_status(const struct mw_flow_control *control,
                                    struct mw_log_status *log);
/* mw_flow_control_get_status: state of the log and the scheduler. */
void mw_flow_control_get_status(const struct mw_flow_control *control,
                                struct mw_log_status *log,
                                struct mw_flows_status *flows);
/* mw_flow_control_get_orgs: see mw_flows_get_orgs. */
uint32_t mw_flow_control_get_orgs(const struct mw_flow_control *control,
                                  struct mw_flow_org_status *orgs);
const struct mw_flow_histogram *
mw_flow_control_get_histogram(const struct mw_flow_control *control,
                              enum mw_flow_latency latency);
const struct mw_flow_counters *
mw_flow_control_get_counters(const struct mw_flow_control *control);

/* mw_flow_entry_output: callbacks; arguments are borrowed for the call. */
struct mw_flow_entry_output {
    void *opaque;
    void (*send)(void *opaque, const struct mw_name *to, struct mw_msg *msg);
    void (*reply)(void *opaque, const struct mw_flow_reply *reply);
    void (*event)(void *opaque, const struct mw_flow_event *event);
};

/* mw_flow_entry_counters: each is named like its metric. */
struct mw_flow_entry_counters {
    uint64_t requests;
    /* no leader has received the request */
    uint64_t refused;
    /* forwarded once more, after a change of leader */
    uint64_t handed_again;
    /* forwarded, but no reply by the deadline */
    uint64_t timed_out;
    /* replies to no pending request, which may be of an earlier life */
    uint64_t late_replies;
    /* changes of leader */
    uint64_t leaders;
};

struct mw_flow_entry;

/*
 * mw_new_flow_entry: part of a process that forwards requests to the leader.
 *
 * self is the name of the process.  If the log has a member of that name, it
 * counts as reachable without heartbeats.  first_ref is that of its requests
 * to the leader; see message.h.
 */
struct mw_flow_entry *
mw_new_flow_entry(const struct mw_flow_entry_output *output,
                  const struct mw_name *self, uint64_t first_ref);
void mw_drop_flow_entry(struct mw_flow_entry *entry);

/*
 * mw_flow_entry_request: leads to one reply, at the latest at deadline_us.
 *
 * The ref of the request comes back in the reply; no other request without a
 * reply has it.
 */
void mw_flow_entry_request(struct mw_flow_entry *entry, int64_t now_us,
                           const struct mw_flow_request *request,
                           int64_t deadline_us);
/* mw_flow_entry_client_closed: the client closed its connection; no reply. */
void mw_flow_entry_client_closed(struct mw_flow_entry *entry, uint64_t ref);
/* mw_flow_entry_receive: process a heartbeat or a forwarded reply. */
void mw_flow_entry_receive(struct mw_flow_entry *entry, int64_t now_us,
                           const struct mw_name *from, struct mw_msg *msg);
/* mw_flow_entry_disconnected: the connection to a process was closed. */
void mw_flow_entry_disconnected(struct mw_flow_entry *entry, int64_t now_us,
                                const struct mw_name *process);
/*
 * mw_flow_entry_hand_over: passes each request that is pending to the
 * callback, oldest first, and forgets it: this process leads now.
 */
void mw_flow_entry_hand_over(
    struct mw_flow_entry *entry, int64_t now_us, void *opaque,
    void (*serve)(void *opaque, const struct mw_flow_request *request));
/* mw_flow_entry_tick: end requests whose deadline has passed. */
void mw_flow_entry_tick(struct mw_flow_entry *entry, int64_t now_us);
/* mw_flow_entry_deadline: when mw_flow_entry_tick is next due. */
int64_t mw_flow_entry_deadline(const struct mw_flow_entry *entry);
/*
 * mw_flow_entry_can_serve: whether there is a leader or soon will be one.
 *
 * True if the leader's last heartbeat is recent, or if it is no older than
 * an election takes and a majority of the log's members is reachable.
 */
bool mw_flow_entry_can_serve(const struct mw_flow_entry *entry,
                             int64_t now_us);
/* mw_flow_entry_leader: where requests are forwarded; empty for none. */
struct mw_name mw_flow_entry_leader(const struct mw_flow_entry *entry,
                                    int64_t now_us);
/* mw_flow_entry_is_ready: can serve, and the leader has a configuration. */
bool mw_flow_entry_is_ready(const struct mw_flow_entry *entry, int64_t now_us);
/* mw_flow_entry_pending_count: number of requests without a reply. */
uint32_t mw_flow_entry_pending_count(const struct mw_flow_entry *entry);
const struct mw_flow_entry_counters *
mw_flow_entry_get_counters(const struct mw_flow_entry *entry);

#endif
