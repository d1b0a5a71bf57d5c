#ifndef MW_RUN_HTTP_H
#define MW_RUN_HTTP_H

#include "task.h"

/*
 * http: an HTTP/1.1 server on the calling thread's loop.
 *
 * A connection serves one request at a time; what a client sends before the
 * reply is kept for later, up to a limit.  A client that sends requests and
 * does not read the replies loses its connection.
 *
 * Before reading a body it refuses chunked bodies, bodies above the size
 * limit, those for which there is no room beside the bodies of other
 * requests, and all requests beyond MW_HTTP_PENDING_MAX pending ones.  A
 * header for which there is no room is refused, too.  A request that has not
 * been received completely within MW_HTTP_RECEIVE_TIMEOUT_US gets an error
 * reply and its connection is closed; other requests are not affected.
 */

#define MW_HTTP_RECEIVE_TIMEOUT_US 10000000
#define MW_HTTP_PENDING_MAX 16384
#define MW_HTTP_BODIES_BYTES_MAX (32u * 1024 * 1024)
#define MW_HTTP_HEADERS_BYTES_MAX (16u * 1024 * 1024)

/* mw_http_request: borrowed; valid during the callback only. */
struct mw_http_request {
    uint64_t handle;
    struct mw_str method;
    struct mw_str path;
    struct mw_str query;
    struct mw_str body;
    /* for mw_http_header */
    void *message;
};

struct mw_http_setup {
    struct mw_name address;
    /* name of the setting that gives the address, for error messages */
    const char *setting_name;
    enum mw_request_source source;
    size_t body_max;
    /* bytes of all bodies; 0 for MW_HTTP_BODIES_BYTES_MAX, or body_max if
     * that is more */
    size_t bodies_max;
    /* bytes of all headers; 0 for MW_HTTP_HEADERS_BYTES_MAX */
    size_t headers_max;
    void *opaque;
    /* called for each request, which needs exactly one reply */
    void (*request)(void *opaque, const struct mw_http_request *request);
    /* called if the client closes before the reply; may be NULL */
    void (*client_closed)(void *opaque, uint64_t handle);
};

struct mw_http;

/*
 * mw_new_http: bind the address and serve on the calling thread's loop.
 *
 * Returns NULL and sets message on failure.
 */
struct mw_http *mw_new_http(const struct mw_http_setup *setup, char **message);
void mw_drop_http(struct mw_http *http);

/*
 * mw_http_header: value of a request header, empty if absent.
 *
 * A zero byte follows the value.
 */
struct mw_str mw_http_header(const struct mw_http_request *request,
                             const char *name);

/* mw_http_query_param: value of a query parameter, empty if absent. */
struct mw_str mw_http_query_param(const struct mw_http_request *request,
                                  struct mw_str key);

/* mw_http_reply: reply to a request; keeps a reference to text meanwhile. */
void mw_http_reply(struct mw_http *http, uint64_t handle, int status,
                   struct mw_blob *text);

/* mw_http_set_header: set a header of a reply that is not yet sent. */
void mw_http_set_header(struct mw_http *http, uint64_t handle,
                        const char *name, const char *value);

/* mw_http_reply_error: reply to a request with an error as JSON. */
void mw_http_reply_error(struct mw_http *http, uint64_t handle, int error,
                         struct mw_str detail);

/*
 * mw_http_stop_listening: accept no new connections, after those that the
 * operating system has established already.
 */
void mw_http_stop_listening(struct mw_http *http);

/*
 * mw_http_begin_leave: end each connection after a reply.
 *
 * A connection on which a further request has arrived is ended after the
 * reply to the last of them.
 */
void mw_http_begin_leave(struct mw_http *http);

/* mw_http_activity: what a graceful shutdown waits for. */
struct mw_http_activity {
    /* requests being received, or without a reply */
    uint32_t pending_count;
    /* connections on which a client may send a request */
    uint32_t open_count;
    /* these, and those whose last reply is sent or being sent */
    uint32_t connection_count;
    /* of replies, not taken by the sockets yet */
    size_t unsent_bytes;
    /* when a client last connected or sent anything; 0 for never */
    int64_t last_received_us;
};

struct mw_http_activity mw_http_get_activity(const struct mw_http *http);

/*
 * mw_http_refused_by_delay: requests refused before they were read, by the
 * delay that the client was asked for; MW_FLOW_RETRY_AFTER_MAX_S counters.
 */
const uint64_t *mw_http_refused_by_delay(const struct mw_http *http);

/* mw_http_pending_count: requests being received, or without a reply. */
guint mw_http_pending_count(const struct mw_http *http);

#endif
