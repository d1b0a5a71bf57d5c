#ifndef MW_RUN_HTTP_CLIENT_H
#define MW_RUN_HTTP_CLIENT_H

#include "task.h"

/*
 * http-client: an HTTP/1.1 client on the calling thread's loop.
 *
 * Connections are kept and reused.  A request that fails on a reused
 * connection before any byte of the response arrived is sent once more on a
 * new one, unless is_single says otherwise, so requests must be idempotent.
 * A connection without a response by the deadline is closed, and the other
 * connections to the address as well: established connections can stop
 * carrying data while new ones still work.
 *
 * No byte of a request is written after its write deadline, and a request that
 * has been written in part by then is cut off; the clock is read just before
 * each write, as the process may have stood still.  The operating system gives
 * up by then what the server's host has not acknowledged.
 *
 * A response that is too long, or for which there is no room beside others
 * that are received, counts as none, and its connection is closed.
 */

#define MW_HTTP_RESPONSES_BYTES_MAX (32u * 1024 * 1024)

struct mw_http_client;

enum mw_http_outcome {
    /* response has a status */
    MW_HTTP_RESPONSE = 0,
    /* no process listens at the address, or it is invalid: nothing was sent */
    MW_HTTP_REFUSED = 1,
    /* no response: the request may have been handled, or may yet be */
    MW_HTTP_NO_RESPONSE = 2,
    /* it, or its second copy, was not written, or in part only */
    MW_HTTP_NOT_SENT = 3
};

/* mw_http_response: borrowed for the callback. */
struct mw_http_response {
    enum mw_http_outcome outcome;
    /*
     * The request was sent twice: whatever the response to the second copy
     * says, the first may have been handled, or may yet be.
     */
    bool was_repeated;
    /*
     * A process had taken the connection that carried the request, or its
     * first copy, and the connection was closed there without a response.
     */
    bool was_cut_off;
    /* the server's host did not acknowledge it in time */
    bool was_undelivered;
    int status;
    struct mw_str body;
    /* complete header lines */
    struct mw_str headers;
};

/* mw_http_call: a request; copied, but for opaque. */
struct mw_http_call {
    /* IP:PORT */
    struct mw_name address;
    const char *method;
    struct mw_str path;
    /* complete header lines, each ended by CR LF */
    struct mw_str headers;
    struct mw_str body;
    /* for the response */
    int64_t deadline_us;
    /* not later than deadline_us; 0 for the same */
    int64_t write_deadline_us;
    /* it is never sent a second time */
    bool is_single;
    void *opaque;
};

struct mw_http_client_setup {
    void *opaque;
    /* called once for each call; call_opaque is the call's */
    void (*response)(void *opaque, void *call_opaque,
                     const struct mw_http_response *response);
    uint32_t connections_per_address_max;
    /* of all addresses; idle ones are closed for new ones */
    uint32_t connections_max;
    /* bytes of all responses that are received; 0 for
     * MW_HTTP_RESPONSES_BYTES_MAX */
    size_t responses_max;
};

struct mw_http_client_counters {
    uint64_t requests;
    uint64_t connections_opened;
    uint64_t timed_out;
};

struct mw_http_client *
mw_new_http_client(const struct mw_http_client_setup *setup);
/* mw_drop_http_client: calls without a response get none. */
void mw_drop_http_client(struct mw_http_client *client);

/*
 * mw_http_send: send a request, or queue it for a connection.
 *
 * The response callback is not called before this returns.
 */
void mw_http_send(struct mw_http_client *client,
                  const struct mw_http_call *call);

/* mw_http_response_header: value of a header, empty if absent. */
struct mw_str mw_http_response_header(const struct mw_http_response *response,
                                      const char *name);

const struct mw_http_client_counters *
mw_http_client_get_counters(const struct mw_http_client *client);
/* mw_http_client_connection_count: open connections, idle ones included. */
uint32_t mw_http_client_connection_count(const struct mw_http_client *client);

#endif
