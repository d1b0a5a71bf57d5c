#ifndef MW_CORE_FLOW_CONTROL_IMPL_H
#define MW_CORE_FLOW_CONTROL_IMPL_H

#include <glib.h>

#include "flow-heartbeat-relay.h"
#include "flow-heartbeat-target.h"
#include "flow-pause.h"
#include "flow-zone-order.h"
#include "mimosawind/flow-process.h"

/*
 * flow-control-impl: the state of a control process.
 *
 * FILES
 *   flow-control.c            scheduler, messages and leadership
 *   flow-control-request.c    requests and their replies
 *   flow-control-log.c        the member of the region's log
 *   flow-control-heartbeat.c  heartbeats of endpoints
 *   flow-control-status.c     status and counters
 *   flow-heartbeat-relay.c    heartbeats that are passed on to the leader
 *   flow-heartbeat-target.c   which process takes an endpoint's heartbeats
 *   flow-pause.c              whether the process has stood still
 *   flow-zone-order.c         which order for a zone is the newest
 */

/* mw_request_origin: where the reply to a request of the scheduler goes. */
struct mw_request_origin {
    /* the scheduler's ref of the request */
    uint64_t ref;
    /* process that forwarded it; empty where this process received it */
    struct mw_name process;
    /* the ref with which it came */
    uint64_t process_ref;
};

struct mw_flow_control {
    struct mw_flow_control_setup setup;
    struct mw_log *log;
    struct mw_flows *flows;
    GHashTable *origins;
    uint64_t next_ref;
    /* time and context of the current call, for the log's callbacks */
    int64_t now_us;
    struct mw_context *ctx;
    /* as last passed to the scheduler */
    bool is_leader;
    /* still the leader of its term, but its lease has expired */
    bool suspended;
    /* term at the last change of is_leader */
    uint64_t leader_term;
    bool leaving;
    int64_t heartbeat_deadline_us;
    struct mw_pause_watch pauses;
    struct mw_zone_orders zone_orders;
    /* of the last record that was applied */
    uint64_t applied_index;
    /* forwards requests while another process is the leader */
    struct mw_flow_entry *entry;
    /* the same for heartbeats of endpoints */
    struct mw_heartbeat_relay *relay;
    struct mw_heartbeat_targets targets;
    /* MW_PROTOCOL of the leader, from its last heartbeat */
    uint32_t leader_protocol;
    /* members in the leader's last heartbeat; used by a standby */
    uint32_t heartbeat_member_count;
    struct mw_name heartbeat_members[MW_MEMBERS_MAX];
};

/* flow-control.c */
/*
 * mw_update_leadership: sets the time and the context, and tells the scheduler
 * whether this process is the leader.
 *
 * Called before the scheduler decides anything, and again after calls that may
 * have changed the leader.
 */
void mw_update_leadership(struct mw_context *ctx,
                          struct mw_flow_control *control, int64_t now_us);
/* flow-control-request.c */
/* mw_add_request_origin: returns the ref to be used with the scheduler. */
uint64_t mw_add_request_origin(struct mw_flow_control *control,
                               const struct mw_name *process,
                               uint64_t process_ref);
/* mw_send_request_reply: to the process that forwarded the request. */
void mw_send_request_reply(struct mw_flow_control *control,
                           const struct mw_request_origin *origin,
                           const struct mw_flow_reply *reply);
void mw_receive_forwarded_request(struct mw_context *ctx,
                                  struct mw_flow_control *control,
                                  int64_t now_us, int64_t wall_us,
                                  const struct mw_name *from,
                                  const struct mw_msg_flow_call *msg);
/* mw_serve_waiting_requests: those that waited for a leader, if it leads. */
void mw_serve_waiting_requests(struct mw_context *ctx,
                               struct mw_flow_control *control,
                               int64_t wall_us);

/* flow-control-log.c */
struct mw_log *mw_new_flow_control_log(struct mw_flow_control *control);

/* flow-control-heartbeat.c */
/* mw_init_heartbeat_relay, mw_tick_heartbeat_relay: of control->relay. */
void mw_init_heartbeat_relay(struct mw_flow_control *control);
void mw_tick_heartbeat_relay(struct mw_flow_control *control, int64_t now_us);
/* the messages that carry heartbeats, and the answers to them */
void mw_receive_relayed_heartbeats(struct mw_flow_control *control,
                                   int64_t now_us, const struct mw_name *from,
                                   const struct mw_msg_flow_heartbeats *msg);
void
mw_receive_heartbeat_results(struct mw_flow_control *control,
                             const struct mw_msg_flow_heartbeat_results *msg);

#endif
