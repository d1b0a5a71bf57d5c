#ifndef MIMOSAWIND_LINK_CHOICE_H
#define MIMOSAWIND_LINK_CHOICE_H

#include "mimosawind/message.h"

/*
 * link-choice: which of two connections between the same processes is kept,
 * and what is queued for a process that reads slowly.
 *
 * Each of two processes may dial the other.  Both ends have to keep the same
 * connection, or each closes the one that the other keeps, and both dial
 * again.  The connection dialed by the process whose name compares greater is
 * preferred, unless it is stale: an established connection can stop carrying
 * data for good while new ones work.
 *
 * UNITS   microseconds
 */

/* without anything received for so long, a connection is stale */
#define MW_LINK_STALE_US 750000

/* with more than this to send, a connection is closed */
#define MW_LINK_QUEUE_BYTES_MAX (96u * 1024 * 1024)
/* with more than this to send, messages of the log are dropped */
#define MW_LINK_LOG_QUEUE_BYTES_MAX (8u * 1024 * 1024)

/* mw_link_end: a connection as one of its ends knows it. */
struct mw_link_end {
    /* this process has dialed, not the peer */
    bool dialed_here;
    /* of the peer, as it said */
    uint64_t peer_incarnation;
    int64_t last_receive_us;
};

/*
 * mw_replaces_link: whether a new connection to a peer replaces the present
 * one; otherwise the new one has to be closed.
 *
 * It does if the peer was started again since, if the same process has dialed
 * both, if the new one is preferred, or if the present one is stale.
 */
bool mw_replaces_link(const struct mw_name *self, const struct mw_name *peer,
                      const struct mw_link_end *present,
                      const struct mw_link_end *fresh, int64_t now_us);

/*
 * mw_may_queue_msg: whether a message is queued on a connection that has so
 * many bytes to send.
 *
 * LOAD   a member that was away and is given the log, on a link or processor
 *        that is slower than the leader.  Messages of the log are sent again
 *        until they are answered, and their copies would fill the queue.
 */
bool mw_may_queue_msg(enum mw_msg_kind kind, size_t queued_bytes);

#endif
