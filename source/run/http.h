#ifndef MW_RUN_HTTP_H
#define MW_RUN_HTTP_H

#include <gio/gio.h>

#include "task.h"

/*
 * http: a listener inside a task.
 *
 * Refuses, before it reads a body: one without a length, one above the
 * limit, and anything above the number of open requests.  A request that
 * does not arrive whole before MW_HTTP_RECEIVE_TIMEOUT_US is told so and cut
 * off; others on the listener never notice.
 */

#define MW_HTTP_RECEIVE_TIMEOUT_US 10000000
#define MW_HTTP_PENDING_MAX 16384

/* mw_http_request: lent for the length of the callback. */
struct mw_http_request {
    uint64_t handle;
    struct mw_str method;
    struct mw_str path;
    struct mw_str query;
    struct mw_str body;
    void *message;
};

struct mw_http_setup {
    struct mw_name address;
    const char *setting;
    enum mw_request_source source;
    size_t body_max;
    void *opaque;
    /* request: each one must be replied to exactly once */
    void (*request)(void *opaque, const struct mw_http_request *request);
    /* gone: the other end has closed before the reply; may be NULL */
    void (*gone)(void *opaque, uint64_t handle);
};

struct mw_http;

/* mw_new_http: bind and serve in the calling thread's main context. */
struct mw_http *mw_new_http(const struct mw_http_setup *setup, char **message);
void mw_drop_http(struct mw_http *http);

/* mw_http_header: value of a request header, empty when absent. */
struct mw_str mw_http_header(const struct mw_http_request *request,
                             const char *name);

/* mw_http_query_param: value of a key in the query, empty when absent. */
struct mw_str mw_http_query_param(const struct mw_http_request *request,
                                  struct mw_str key);

/* mw_http_reply: end a request; keeps the blob while it is sent. */
void mw_http_reply(struct mw_http *http, uint64_t handle, int status,
                   struct mw_blob *text);

/* mw_http_set_header: a header for the reply to come. */
void mw_http_set_header(struct mw_http *http, uint64_t handle,
                        const char *name, const char *value);

/* mw_http_refuse: end a request with an error as JSON. */
void mw_http_refuse(struct mw_http *http, uint64_t handle, int error,
                    struct mw_str detail);

/* mw_http_stop_listening: take no new connections. */
void mw_http_stop_listening(struct mw_http *http);

/* mw_http_open: requests not yet replied to or still being sent. */
guint mw_http_open(const struct mw_http *http);

#endif
