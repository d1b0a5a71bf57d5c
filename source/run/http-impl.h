#ifndef MW_RUN_HTTP_IMPL_H
#define MW_RUN_HTTP_IMPL_H

#include <http_parser.h>

#include "conn.h"
#include "http.h"
#include "mimosawind/flow.h"
#include "retry-after.h"

/*
 * http-impl: the HTTP server.
 *
 * FILES
 *   http.c             listens; passes requests to the owner and its replies
 *                      to the clients
 *   http-connection.c  receive deadlines, and the end of a connection
 *   http-parse.c       received bytes as a request
 *   http-request.c     path, query and headers of a request
 */

#define MW_HTTP_HEADERS_MAX 64

struct mw_http {
    struct mw_http_setup setup;
    struct mw_listener *listener;
    /* struct mw_http_connection */
    GHashTable *connections;
    /* those whose request has no reply, by its handle */
    GHashTable *pending;
    uint64_t next_handle;
    /* of the bodies that are received or whose request has no reply */
    size_t body_bytes;
    /* of URLs and headers of these and of requests that are received */
    size_t header_bytes;
    /* of the bytes that are kept for later */
    size_t pipelined_bytes;
    /* connections in the order of their receive deadlines */
    GQueue receiving;
    struct mw_timer *timer;
    /* connections end after a reply */
    bool leaving;
    int64_t last_received_us;
    /* requests that are refused for lack of room */
    struct mw_retry_window refusals;
    uint64_t refused_by_delay[MW_FLOW_RETRY_AFTER_MAX_S];
};

/* mw_http_header_field: a header; offsets into the connection's text. */
struct mw_http_header_field {
    size_t name;
    size_t name_len;
    size_t value;
    size_t value_len;
};

enum mw_http_phase {
    /* reads a request, or waits for one */
    MW_HTTP_READING = 0,
    /* the request waits for its reply */
    MW_HTTP_REPLYING = 1,
    /* the last reply is sent; until the client closes, what arrives is dropped
     */
    MW_HTTP_LINGERING = 2
};

/* mw_http_connection: with one request at a time. */
struct mw_http_connection {
    struct mw_http *http;
    struct mw_conn *conn;
    enum mw_http_phase phase;
    http_parser parser;
    /* of the request that is read or waits for its reply */
    uint64_t handle;
    /* URL, then names and values of the headers; a zero byte ends a value */
    GString *text;
    size_t url_len;
    struct mw_http_header_field headers[MW_HTTP_HEADERS_MAX];
    uint32_t header_count;
    bool in_value;
    GByteArray *body;
    /* length of the body that is accepted; part of the server's sum */
    size_t body_bytes;
    /* further header lines of the reply */
    GString *reply_headers;
    bool keep_alive;
    /* why the parser stopped, if not for a syntax error */
    int parse_error;
    /* the owner is looking at the request, and has replied to it */
    bool in_callback;
    bool has_replied;
    /* bytes have arrived after the request that is in the callback */
    bool has_more;
    /* bytes that arrived while the request waits for its reply */
    GByteArray *pipelined;
    /* in http->receiving until the deadline; its link, or NULL */
    GList *receiving;
    int64_t receive_deadline_us;
};

/* http-connection.c */
/* mw_free_http_connection: for http->connections. */
void mw_free_http_connection(void *connection);
/* mw_drop_http_connection: the owner hears of a request without a reply. */
void mw_drop_http_connection(struct mw_http_connection *connection);
/* mw_reset_http_request: forgets the request; waits for the next one. */
void mw_reset_http_request(struct mw_http_connection *connection);
/* mw_begin_receiving, mw_end_receiving: what has a receive deadline. */
void mw_begin_receiving(struct mw_http_connection *connection);
void mw_end_receiving(struct mw_http_connection *connection);
/* mw_on_receive_timer: the first receive deadline has passed. */
void mw_on_receive_timer(void *http);
void mw_write_http_reply(struct mw_http_connection *connection, int status,
                         struct mw_str text);
struct mw_blob *mw_http_error_text(int error, struct mw_str detail);
/* mw_refuse_unread: replies with an error before the request is read. */
void mw_refuse_unread(struct mw_http_connection *connection, int error,
                      struct mw_str detail);
/*
 * mw_linger: ends the connection, but not at once: the client would lose the
 * reply if bytes from it were still unread.
 */
void mw_linger(struct mw_http_connection *connection);

/* http-parse.c */
/*
 * mw_parse_http: parses bytes up to the end of a request.
 *
 * Returns how many were used, or -1 if the connection must not be read any
 * further.  The phase is MW_HTTP_REPLYING if the request is complete.
 */
gssize mw_parse_http(struct mw_http_connection *connection,
                     struct mw_str bytes);

/* http-request.c */
struct mw_str mw_find_http_header(const struct mw_http_connection *connection,
                                  const char *name);
/*
 * mw_split_http_url: sets the path, without escapes, and the query.
 *
 * Returns false if they are invalid.  *path holds the path; free with g_free.
 */
bool mw_split_http_url(const struct mw_http_connection *connection,
                       char **path, struct mw_http_request *request);

#endif
