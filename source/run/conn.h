#ifndef MW_RUN_CONN_H
#define MW_RUN_CONN_H

#include <sys/socket.h>

#include "mimosawind/error.h"
#include "mimosawind/str.h"

/*
 * conn: TCP connections and listeners on the calling thread's loop.
 *
 * Bytes are written at once as far as the socket takes them, and the rest is
 * queued.  An idle connection has no buffers: all connections of a thread
 * read into one.
 */

struct mw_conn;

/* mw_conn_callbacks: none is called after mw_conn_close. */
struct mw_conn_callbacks {
    void *opaque;
    /* a dialed connection is established; may be NULL */
    void (*opened)(void *opaque);
    /* bytes arrived; borrowed for the call */
    void (*received)(void *opaque, struct mw_str bytes);
    /*
     * The connection was closed by the peer or has failed, or could not be
     * established; refused: no process listens at the address.  The
     * connection is dropped after the call.
     */
    void (*closed)(void *opaque, bool refused);
};

/*
 * mw_dial_conn: begin to connect to IP:PORT.
 *
 * Returns NULL if the address is invalid or no socket can be opened.  Bytes
 * that are sent before the connection is established are queued.
 */
struct mw_conn *mw_dial_conn(const struct mw_name *address,
                             const struct mw_conn_callbacks *callbacks);

/* mw_conn_set_callbacks: of a connection that was accepted. */
void mw_conn_set_callbacks(struct mw_conn *conn,
                           const struct mw_conn_callbacks *callbacks);

/* mw_conn_send: write bytes, or queue what the socket does not take. */
void mw_conn_send(struct mw_conn *conn, struct mw_str bytes);

/*
 * mw_conn_try_send: write as many bytes as the socket takes at once.
 *
 * Returns their number, 0 before the connection is established or after an
 * error, which mw_conn_callbacks.closed reports.  The rest is not queued.
 */
size_t mw_conn_try_send(struct mw_conn *conn, struct mw_str bytes);

/*
 * mw_conn_limit_delivery: give up what the peer's host does not acknowledge.
 *
 * What is written from now on, until the next call, is not sent any more once
 * it has gone without an acknowledgement for duration_us: the operating system
 * then closes the connection, also while this process stands still.
 */
void mw_conn_limit_delivery(struct mw_conn *conn, int64_t duration_us);

/*
 * mw_conn_timed_out: in mw_conn_callbacks.closed, whether the peer's host has
 * acknowledged too little for too long.
 */
bool mw_conn_timed_out(const struct mw_conn *conn);

/* mw_conn_queued_bytes: bytes that the socket has not taken yet. */
size_t mw_conn_queued_bytes(const struct mw_conn *conn);

/* mw_conn_close: close at once and drop the connection. */
void mw_conn_close(struct mw_conn *conn);

/* mw_conn_reset: as mw_conn_close, and written bytes that the operating system
 * has not sent are discarded. */
void mw_conn_reset(struct mw_conn *conn);

/* mw_conn_end: send what is queued and then the end of the stream. */
void mw_conn_end(struct mw_conn *conn);

/* mw_conn_keepalive: find out if the peer of an idle connection is gone. */
void mw_conn_keepalive(struct mw_conn *conn);

struct mw_listener;

struct mw_listener_callbacks {
    void *opaque;
    /* takes the connection, and sets its callbacks or closes it */
    void (*accepted)(void *opaque, struct mw_conn *conn);
};

/*
 * mw_new_listener: listen on IP:PORT.
 *
 * Returns NULL and sets reason, a static text, on failure.
 */
struct mw_listener *
mw_new_listener(const struct mw_name *address,
                const struct mw_listener_callbacks *callbacks,
                const char **reason);
void mw_drop_listener(struct mw_listener *listener);

/*
 * mw_accept_waiting: accept the connections that the operating system has
 * established; it would reset them when the listener is dropped.
 */
void mw_accept_waiting(struct mw_listener *listener);

/* mw_parse_address: convert IP:PORT; false if it is invalid. */
bool mw_parse_address(const struct mw_name *text,
                      struct sockaddr_storage *address);

#endif
