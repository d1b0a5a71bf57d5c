#include "http-client-impl.h"

#include <string.h>
#include <strings.h>

#include "loop.h"

/*
 * A deadline that passes is put off by this once, so that a response that has
 * arrived is read first: the loop looks at timers before it reads sockets.
 */
#define DEADLINE_GRACE_US 2000
/*
 * A connection that carried a response so shortly ago has a process at its
 * other end; one that is idle for longer may lead to a machine that is off.
 */
#define CONNECTION_ALIVE_US 500000
/* after a write for which the socket had too little room */
#define WRITE_RETRY_US 5000

static void send_waiting(struct mw_client_host *host);

static void
free_request(struct mw_client_request *request)
{
    mw_drop_timer(request->timer);
    g_string_free(request->text, TRUE);
    g_free(request);
}

static void
leave_idle(struct mw_client_connection *connection)
{
    if (connection->idle) {
        g_queue_delete_link(&connection->host->client->idle, connection->idle);
        connection->idle = NULL;
    }
}

static void
close_connection(struct mw_client_connection *connection)
{
    struct mw_client_host *host = connection->host;

    leave_idle(connection);
    mw_uncount_client_response(connection);
    g_ptr_array_remove_fast(host->connections, connection);
    host->client->connection_count--;
    if (connection->request) {
        /* what is left of a request must not arrive later */
        mw_conn_reset(connection->conn);
    }
    else {
        mw_conn_close(connection->conn);
    }
    g_byte_array_unref(connection->body);
    g_string_free(connection->headers, TRUE);
    g_free(connection);
}

static void
close_idle_connections(struct mw_client_host *host)
{
    for (guint i = host->connections->len; i > 0; i--) {
        struct mw_client_connection *connection =
            host->connections->pdata[i - 1];

        if (!connection->request) {
            close_connection(connection);
        }
    }
}

static void
drop_unused_host(struct mw_client_host *host)
{
    if (host->connections->len == 0 && host->waiting.length == 0) {
        g_hash_table_remove(host->client->hosts, &host->address);
    }
}

/* Reports the outcome and frees the request; then the next one is sent. */
static void
finish_request(struct mw_client_request *request,
               struct mw_http_response *response)
{
    struct mw_client_host *host = request->host;
    struct mw_http_client *client = host->client;
    void *opaque = request->opaque;

    response->was_repeated = request->was_repeated;
    response->was_cut_off = request->was_cut_off;
    response->was_undelivered = request->was_undelivered;
    free_request(request);
    send_waiting(host);
    client->setup.response(client->setup.opaque, opaque, response);
    drop_unused_host(host);
}

/* Takes the request off its connection, which is closed. */
static void
fail_request(struct mw_client_request *request, enum mw_http_outcome outcome)
{
    struct mw_http_response response = {.outcome = outcome};
    struct mw_client_host *host = request->host;

    if (request->connection) {
        close_connection(request->connection);
    }
    else {
        g_queue_remove(&host->waiting, request);
    }
    finish_request(request, &response);
}

static bool
is_written(const struct mw_client_request *request)
{
    return request->written == request->text->len;
}

/*
 * Writes what the socket takes, before the write deadline only.  All of a
 * request is written here, and none of it by the loop, which does not look at
 * the deadline.  The timer reports it if that has passed.
 */
static void
write_request(struct mw_client_request *request)
{
    struct mw_client_connection *connection = request->connection;
    int64_t now_us = mw_now();
    int64_t deadline_us = request->write_deadline_us;

    if (now_us < deadline_us && connection && connection->is_open) {
        mw_conn_limit_delivery(connection->conn, deadline_us - now_us);
        request->written += mw_conn_try_send(
            connection->conn,
            (struct mw_str){request->text->str + request->written,
                            request->text->len - request->written});
        deadline_us = is_written(request)
                          ? request->deadline_us
                          : MIN(deadline_us, now_us + WRITE_RETRY_US);
    }
    mw_arm_timer(request->timer, deadline_us);
}

static void
time_out(struct mw_client_request *request, enum mw_http_outcome outcome)
{
    request->host->client->counters.timed_out++;
    close_idle_connections(request->host);
    fail_request(request, outcome);
}

static void
on_timer(void *opaque)
{
    struct mw_client_request *request = opaque;

    if (request->is_invalid) {
        fail_request(request, MW_HTTP_REFUSED);
    }
    else if (is_written(request) && request->grace_used) {
        time_out(request, MW_HTTP_NO_RESPONSE);
    }
    else if (is_written(request)) {
        request->grace_used = true;
        mw_arm_timer(request->timer, mw_now() + DEADLINE_GRACE_US);
    }
    else if (mw_now() >= request->write_deadline_us) {
        time_out(request, MW_HTTP_NOT_SENT);
    }
    else {
        write_request(request);
    }
}

static void
become_idle(struct mw_client_connection *connection)
{
    struct mw_http_client *client = connection->host->client;

    connection->is_reused = true;
    g_queue_push_tail(&client->idle, connection);
    connection->idle = client->idle.tail;
}

/* The response is complete: passes it on and frees the connection for more. */
static void
end_response(struct mw_client_connection *connection)
{
    struct mw_client_request *request = connection->request;
    GByteArray *body = g_byte_array_ref(connection->body);
    GString *headers = g_string_new_len(connection->headers->str,
                                        (gssize)connection->headers->len);
    struct mw_http_response response = {
        .outcome = MW_HTTP_RESPONSE,
        .status = (int)connection->parser.status_code,
        .body = {(const char *)body->data, body->len},
        .headers = {headers->str, headers->len},
    };

    connection->request = NULL;
    mw_uncount_client_response(connection);
    /* the response keeps the body while the connection is used again */
    g_byte_array_unref(connection->body);
    connection->body = g_byte_array_new();
    if (connection->may_be_kept && is_written(request)) {
        become_idle(connection);
    }
    else {
        close_connection(connection);
    }
    finish_request(request, &response);
    g_byte_array_unref(body);
    g_string_free(headers, TRUE);
}

static void
on_received(void *opaque, struct mw_str bytes)
{
    struct mw_client_connection *connection = opaque;
    enum http_errno error;

    if (!connection->request) {
        /* nothing was asked for */
        close_connection(connection);
        return;
    }
    connection->has_response = true;
    connection->heard_us = mw_now();
    mw_parse_client_response(connection, bytes);
    error = HTTP_PARSER_ERRNO(&connection->parser);
    if (connection->is_complete) {
        end_response(connection);
    }
    else if (error != HPE_OK) {
        fail_request(connection->request, MW_HTTP_NO_RESPONSE);
    }
}

/* Sends the request again on a new connection. */
static void
repeat_request(struct mw_client_request *request)
{
    struct mw_client_connection *failed = request->connection;

    request->was_repeated = true;
    request->written = 0;
    request->connection = NULL;
    close_connection(failed);
    g_queue_push_head(&request->host->waiting, request);
    send_waiting(request->host);
}

static void
on_closed(void *opaque, bool refused)
{
    struct mw_client_connection *connection = opaque;
    struct mw_client_request *request = connection->request;
    struct mw_client_host *host = connection->host;
    bool was_idle = connection->is_reused && !connection->has_response;

    if (!request) {
        close_connection(connection);
        drop_unused_host(host);
        return;
    }
    /* a body without a length ends with the connection */
    mw_parse_client_response(connection, MW_STR(""));
    if (connection->is_complete) {
        connection->may_be_kept = false;
        end_response(connection);
        return;
    }
    request->was_undelivered = mw_conn_timed_out(connection->conn);
    request->was_cut_off |= connection->is_taken && !request->was_undelivered;
    if (was_idle) {
        /* others that have been idle may have ended with it */
        close_idle_connections(host);
    }
    if (was_idle && !request->was_undelivered && !request->was_repeated &&
        !request->is_single) {
        repeat_request(request);
    }
    else {
        fail_request(request, refused ? MW_HTTP_REFUSED : MW_HTTP_NO_RESPONSE);
    }
}

/* The operating system has a process that listens there. */
static void
on_opened(void *opaque)
{
    struct mw_client_connection *connection = opaque;

    connection->is_taken = true;
    connection->is_open = true;
    write_request(connection->request);
}

static struct mw_client_connection *
open_connection(struct mw_client_host *host)
{
    struct mw_client_connection *connection =
        g_new0(struct mw_client_connection, 1);
    struct mw_conn_callbacks callbacks = {.opaque = connection,
                                          .opened = on_opened,
                                          .received = on_received,
                                          .closed = on_closed};

    connection->conn = mw_dial_conn(&host->address, &callbacks);
    if (!connection->conn) {
        g_free(connection);
        return NULL;
    }
    connection->host = host;
    connection->body = g_byte_array_new();
    connection->headers = g_string_new(NULL);
    g_ptr_array_add(host->connections, connection);
    host->client->connection_count++;
    host->client->counters.connections_opened++;
    return connection;
}

static struct mw_client_connection *
find_idle(const struct mw_client_host *host)
{
    for (guint i = 0; i < host->connections->len; i++) {
        struct mw_client_connection *connection = host->connections->pdata[i];

        if (!connection->request) {
            return connection;
        }
    }
    return NULL;
}

/* Closes the longest idle connection if there are too many. */
static void
make_room(struct mw_http_client *client)
{
    struct mw_client_connection *oldest = g_queue_peek_head(&client->idle);

    if (client->connection_count >= client->setup.connections_max && oldest) {
        close_connection(oldest);
    }
}

/* A connection for the next request; NULL if it must wait. */
static struct mw_client_connection *
get_connection(struct mw_client_host *host)
{
    struct mw_client_connection *connection = find_idle(host);

    if (connection) {
        leave_idle(connection);
        connection->is_taken =
            mw_now() - connection->heard_us < CONNECTION_ALIVE_US;
        return connection;
    }
    if (host->connections->len >=
        host->client->setup.connections_per_address_max) {
        return NULL;
    }
    make_room(host->client);
    return open_connection(host);
}

static void
send_waiting(struct mw_client_host *host)
{
    while (host->waiting.length > 0) {
        struct mw_client_connection *connection = get_connection(host);
        struct mw_client_request *request;

        if (!connection) {
            return;
        }
        request = g_queue_pop_head(&host->waiting);
        request->connection = connection;
        connection->request = request;
        mw_begin_client_response(connection);
        write_request(request);
    }
}

static void
free_host(void *data)
{
    struct mw_client_host *host = data;

    while (host->waiting.length > 0) {
        free_request(g_queue_pop_head(&host->waiting));
    }
    while (host->connections->len > 0) {
        struct mw_client_connection *connection = host->connections->pdata[0];

        if (connection->request) {
            free_request(connection->request);
        }
        close_connection(connection);
    }
    g_ptr_array_unref(host->connections);
    g_free(host);
}

struct mw_http_client *
mw_new_http_client(const struct mw_http_client_setup *setup)
{
    struct mw_http_client *client = g_new0(struct mw_http_client, 1);

    client->setup = *setup;
    if (setup->responses_max == 0) {
        client->setup.responses_max = MW_HTTP_RESPONSES_BYTES_MAX;
    }
    client->hosts =
        g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, free_host);
    g_queue_init(&client->idle);
    return client;
}

void
mw_drop_http_client(struct mw_http_client *client)
{
    if (client) {
        g_hash_table_unref(client->hosts);
        g_free(client);
    }
}

static struct mw_client_host *
get_host(struct mw_http_client *client, const struct mw_name *address)
{
    struct mw_client_host *host = g_hash_table_lookup(client->hosts, address);

    if (!host) {
        host = g_new0(struct mw_client_host, 1);
        host->address = *address;
        host->client = client;
        host->connections = g_ptr_array_new();
        g_hash_table_insert(client->hosts, &host->address, host);
    }
    return host;
}

static GString *
format_request(const struct mw_http_call *call)
{
    GString *text = g_string_sized_new(256 + call->body.len);

    g_string_append_printf(text, "%s %.*s HTTP/1.1\r\nHost: %.*s\r\n",
                           call->method, MW_FMT(call->path),
                           MW_FMT(mw_name_str(&call->address)));
    g_string_append_len(text, call->headers.ptr, (gssize)call->headers.len);
    g_string_append_printf(text, "Content-Length: %zu\r\n\r\n",
                           call->body.len);
    g_string_append_len(text, call->body.ptr, (gssize)call->body.len);
    return text;
}

void
mw_http_send(struct mw_http_client *client, const struct mw_http_call *call)
{
    struct mw_client_host *host = get_host(client, &call->address);
    struct mw_client_request *request = g_new0(struct mw_client_request, 1);
    struct sockaddr_storage address;

    request->host = host;
    request->is_single = call->is_single;
    request->is_invalid = !mw_parse_address(&call->address, &address);
    request->opaque = call->opaque;
    request->text = format_request(call);
    request->deadline_us = call->deadline_us;
    request->write_deadline_us = call->write_deadline_us > 0
                                     ? call->write_deadline_us
                                     : call->deadline_us;
    request->timer = mw_new_timer(request, on_timer);
    mw_arm_timer(request->timer,
                 request->is_invalid ? mw_now() : request->write_deadline_us);
    client->counters.requests++;
    g_queue_push_tail(&host->waiting, request);
    send_waiting(host);
}

struct mw_str
mw_http_response_header(const struct mw_http_response *response,
                        const char *name)
{
    struct mw_str rest = response->headers;
    size_t name_len = strlen(name);

    while (rest.len > 0) {
        const char *end = memchr(rest.ptr, '\r', rest.len);
        size_t len = end ? (size_t)(end - rest.ptr) : rest.len;

        if (len > name_len + 2 && rest.ptr[name_len] == ':' &&
            strncasecmp(rest.ptr, name, name_len) == 0) {
            return (struct mw_str){rest.ptr + name_len + 2,
                                   len - name_len - 2};
        }
        len = MIN(len + 2, rest.len);
        rest.ptr += len;
        rest.len -= len;
    }
    return MW_STR("");
}

const struct mw_http_client_counters *
mw_http_client_get_counters(const struct mw_http_client *client)
{
    return &client->counters;
}

uint32_t
mw_http_client_connection_count(const struct mw_http_client *client)
{
    return client->connection_count;
}
