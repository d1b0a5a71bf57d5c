#ifndef MW_RUN_LINK_IMPL_H
#define MW_RUN_LINK_IMPL_H

#include "conn.h"
#include "link-frame.h"
#include "link.h"

/*
 * link-impl: the connections of a process to other processes.
 *
 * FILES
 *   link.c             the task: accepted connections, messages to processes,
 *                      silent connections, counters
 *   link-dial.c        connections that this process dials, again and again
 *   link-connection.c  one connection: its frames, and its end
 *   link-hello.c       who the peer is; one connection is kept to each process
 *   link-frame.c       the bytes of a connection as frames
 */

/* index of the dial target of a connection that was accepted */
#define MW_LINK_ACCEPTED (-1)

/* mw_link: a connection. */
struct mw_link {
    struct mw_links *links;
    struct mw_conn *conn;
    struct mw_name process;
    enum mw_process_role role;
    /* index of the dial target, or MW_LINK_ACCEPTED */
    int dial;
    /* established */
    bool open;
    /* the peer has sent its hello, so that process, role and incarnation are
     * known */
    bool has_hello;
    uint64_t peer_incarnation;
    struct mw_frame_stream frames;
    /* when it was begun, or bytes last arrived */
    int64_t last_receive_us;
};

struct mw_dial_state {
    struct mw_dial_target target;
    /* connecting or connected */
    bool active;
    int64_t redial_deadline_us;
    /* when mw_links_dial was last called for it */
    int64_t named_us;
};

struct mw_links {
    struct mw_link_setup setup;
    struct mw_task *task;
    struct mw_context ctx;
    struct mw_listener *listener;
    /* struct mw_link */
    GPtrArray *connections;
    /* connections that have ended and are not freed yet */
    GPtrArray *closed;
    GHashTable *by_process;
    uint32_t dial_count;
    struct mw_dial_state dials[2 * MW_MEMBERS_MAX + MW_ZONES_MAX];
    int64_t tick_deadline_us;
    int64_t counters_deadline_us;
    struct mw_link_counters counters;
    GRand *rand;
};

/* link-connection.c */
/* mw_new_link: without a socket; not yet among the connections. */
struct mw_link *mw_new_link(struct mw_links *links, int dial);
void mw_drop_link(struct mw_link *link);
/* mw_link_callbacks: for the connection's socket. */
struct mw_conn_callbacks mw_link_callbacks(struct mw_link *link);
/* mw_link_opened: the connection is established; sends the nonce. */
void mw_link_opened(void *opaque);
/* mw_close_link: ends it; it is freed by the next tick at the latest. */
void mw_close_link(struct mw_link *link);
/*
 * mw_link_send: queues a frame; mw_flush_link writes all that are queued.
 *
 * Closes the connection if its queue is full.
 */
void mw_link_send(struct mw_link *link, const struct mw_blob *payload);
void mw_flush_link(struct mw_link *link);
size_t mw_link_queued_bytes(const struct mw_link *link);

/* link-dial.c */
/* mw_dial_links: begins the connections that are due. */
void mw_dial_links(struct mw_links *links, int64_t now_us);
/* mw_redial_later: the connection of a dial target has ended. */
void mw_redial_later(struct mw_dial_state *state);

/* link-hello.c */
void mw_send_hello(struct mw_link *link);
/* mw_accept_hello: false if the present connection to the process is kept. */
bool mw_accept_hello(struct mw_link *link, const struct mw_msg *msg,
                     const struct mw_name *name);
/* mw_forget_process: the connection has ended; tells the owner. */
void mw_forget_process(struct mw_link *link);

#endif
