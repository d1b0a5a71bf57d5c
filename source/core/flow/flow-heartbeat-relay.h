#ifndef MW_CORE_FLOW_HEARTBEAT_RELAY_H
#define MW_CORE_FLOW_HEARTBEAT_RELAY_H

#include "mimosawind/message.h"

/*
 * flow-heartbeat-relay: passes heartbeats of endpoints on to the leader.
 *
 * LOAD   more endpoints than one process can keep connections to.  Each
 *        control process takes the heartbeats of a part of them and sends
 *        them to the leader in batches.
 *
 * A heartbeat is acknowledged only once the leader has acknowledged it.  One
 * that has waited longer than an endpoint waits for the reply is dropped, so
 * that a process that was paused passes on nothing old.
 */

struct mw_heartbeat_relay;

struct mw_heartbeat_relay_output {
    void *opaque;
    void (*send)(void *opaque, const struct mw_name *to, struct mw_msg *msg);
    /* error is 0 for a heartbeat that is acknowledged */
    void (*reply)(void *opaque, uint64_t ref, int error);
};

/* mw_new_heartbeat_relay: first_ref is that of its messages; see message.h. */
struct mw_heartbeat_relay *
mw_new_heartbeat_relay(const struct mw_heartbeat_relay_output *output,
                       uint64_t first_ref);
void mw_drop_heartbeat_relay(struct mw_heartbeat_relay *relay);

/*
 * mw_relay_heartbeat: pass a heartbeat on with the next batch.
 *
 * Returns MW_ERR_PENDING, and ref gets one reply later, or MW_ERR_OVERLOADED.
 */
int mw_relay_heartbeat(struct mw_heartbeat_relay *relay, int64_t now_us,
                       const struct mw_flow_heartbeat *heartbeat,
                       uint64_t ref);

/*
 * mw_settle_heartbeat: the leader's answer to the message with this ref; false
 * if it is not known here.
 */
bool mw_settle_heartbeat(struct mw_heartbeat_relay *relay, uint64_t ref,
                         int error);

/* mw_fail_relayed_heartbeats: the leader they were sent to is gone. */
void mw_fail_relayed_heartbeats(struct mw_heartbeat_relay *relay);

/*
 * mw_heartbeat_relay_tick: send the batch if it is due, and give up on what
 * has waited too long.  leader is empty if there is none.
 */
void mw_heartbeat_relay_tick(struct mw_heartbeat_relay *relay, int64_t now_us,
                             const struct mw_name *leader);
int64_t mw_heartbeat_relay_deadline(const struct mw_heartbeat_relay *relay);

#endif
