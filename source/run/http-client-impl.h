#ifndef MW_RUN_HTTP_CLIENT_IMPL_H
#define MW_RUN_HTTP_CLIENT_IMPL_H

#include <http_parser.h>

#include "conn.h"
#include "http-client.h"

/*
 * http-client-impl: the HTTP client.
 *
 * FILES
 *   http-client.c           connections to addresses, requests and their
 *                           deadlines
 *   http-client-response.c  received bytes as a response
 */

struct mw_http_client {
    struct mw_http_client_setup setup;
    GHashTable *hosts;
    /* idle connections, the longest idle first */
    GQueue idle;
    uint32_t connection_count;
    /* of the responses that are received */
    size_t response_bytes;
    struct mw_http_client_counters counters;
};

/*
 * mw_client_host: the connections to an address, and the requests that wait
 * for one.
 */
struct mw_client_host {
    struct mw_name address;
    struct mw_http_client *client;
    /* struct mw_client_connection */
    GPtrArray *connections;
    /* struct mw_client_request */
    GQueue waiting;
};

struct mw_client_request {
    struct mw_client_host *host;
    void *opaque;
    /* as it is sent */
    GString *text;
    /* bytes of text that the socket has taken */
    size_t written;
    int64_t deadline_us;
    int64_t write_deadline_us;
    struct mw_timer *timer;
    bool grace_used;
    /* the address is invalid: it can't be sent */
    bool is_invalid;
    bool is_single;
    /* it has been sent on a connection that failed at once */
    bool was_repeated;
    /* a process had taken its connection and closed it */
    bool was_cut_off;
    bool was_undelivered;
    /* NULL while it waits */
    struct mw_client_connection *connection;
};

struct mw_client_connection {
    struct mw_client_host *host;
    struct mw_conn *conn;
    http_parser parser;
    /* NULL while idle */
    struct mw_client_request *request;
    /* it has carried a response before this request */
    bool is_reused;
    /* the connection is established */
    bool is_open;
    /* a process was at its other end when the request was sent */
    bool is_taken;
    /* when a byte arrived last */
    int64_t heard_us;
    /* a byte of the response has arrived */
    bool has_response;
    bool may_be_kept;
    /* the response is complete */
    bool is_complete;
    /* link in client->idle, or NULL */
    GList *idle;
    GByteArray *body;
    GString *headers;
    bool in_value;
    /* of the response; part of the client's sum */
    size_t response_bytes;
};

/* mw_begin_client_response: forgets the last one; a request is sent. */
void mw_begin_client_response(struct mw_client_connection *connection);
/*
 * mw_parse_client_response: parses bytes up to the end of a response; none
 * stand for the end of the connection.
 */
void mw_parse_client_response(struct mw_client_connection *connection,
                              struct mw_str bytes);
/* mw_uncount_client_response: it is passed on, or not received any further. */
void mw_uncount_client_response(struct mw_client_connection *connection);

#endif
