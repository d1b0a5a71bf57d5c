#include "http-impl.h"

#include <strings.h>

#include "loop.h"

#define HEADER_BYTES_MAX (32 * 1024)
/* bytes of further requests that are kept while one has no reply yet */
#define PIPELINED_BYTES_MAX (64 * 1024)
/* of all connections */
#define PIPELINED_TOTAL_BYTES_MAX (16 * 1024 * 1024)
/* a client that has left more of its replies unread gets no further one */
#define UNREAD_BYTES_MAX (1024 * 1024)

/* After the reply: the client may send the next request, or is sent away. */
static void
end_request(struct mw_http_connection *connection)
{
    if (connection->keep_alive) {
        mw_reset_http_request(connection);
    }
    else {
        mw_linger(connection);
    }
}

/*
 * Passes a complete request to the owner, who may reply at once; the request
 * stays as it is until the callback returns.
 */
static void
dispatch(struct mw_http_connection *connection)
{
    struct mw_http *http = connection->http;
    struct mw_http_request request = {
        .method = mw_str_from(
            http_method_str((enum http_method)connection->parser.method)),
        .body = {(const char *)connection->body->data, connection->body->len},
        .message = connection,
    };
    char *path = NULL;

    connection->handle = http->next_handle;
    http->next_handle += MW_SOURCE_COUNT;
    request.handle = connection->handle;
    g_hash_table_insert(http->pending, &connection->handle, connection);
    connection->in_callback = true;
    connection->has_replied = false;
    if (mw_split_http_url(connection, &path, &request)) {
        http->setup.request(http->setup.opaque, &request);
    }
    else {
        mw_http_reply_error(http, request.handle, MW_ERR_INVALID,
                            MW_STR("invalid URL"));
    }
    connection->in_callback = false;
    if (connection->has_replied) {
        end_request(connection);
    }
    g_free(path);
}

static void
keep_pipelined(struct mw_http_connection *connection, struct mw_str bytes)
{
    struct mw_http *http = connection->http;

    if (connection->pipelined->len + bytes.len > PIPELINED_BYTES_MAX ||
        http->pipelined_bytes + bytes.len > PIPELINED_TOTAL_BYTES_MAX) {
        mw_drop_http_connection(connection);
        return;
    }
    http->pipelined_bytes += bytes.len;
    g_byte_array_append(connection->pipelined, (const guint8 *)bytes.ptr,
                        (guint)bytes.len);
}

static void
read_bytes(struct mw_http_connection *connection, struct mw_str bytes)
{
    while (bytes.len > 0 && connection->phase != MW_HTTP_LINGERING) {
        gssize used;

        if (connection->phase == MW_HTTP_REPLYING) {
            keep_pipelined(connection, bytes);
            return;
        }
        if (mw_conn_queued_bytes(connection->conn) > UNREAD_BYTES_MAX) {
            mw_drop_http_connection(connection);
            return;
        }
        used = mw_parse_http(connection, bytes);
        if (used < 0) {
            return;
        }
        bytes.ptr += used;
        bytes.len -= (size_t)used;
        if (connection->phase == MW_HTTP_REPLYING) {
            connection->has_more = bytes.len > 0;
            dispatch(connection);
        }
    }
}

/* Parses what arrived meanwhile, as the client's next request. */
static void
read_pipelined(struct mw_http_connection *connection)
{
    GByteArray *bytes = connection->pipelined;

    if (bytes->len == 0 || connection->phase != MW_HTTP_READING) {
        return;
    }
    connection->pipelined = g_byte_array_new();
    connection->http->pipelined_bytes -= bytes->len;
    read_bytes(connection,
               (struct mw_str){(const char *)bytes->data, bytes->len});
    g_byte_array_unref(bytes);
}

static void
on_received(void *opaque, struct mw_str bytes)
{
    struct mw_http_connection *connection = opaque;

    if (connection->phase != MW_HTTP_LINGERING) {
        connection->http->last_received_us = mw_now();
    }
    read_bytes(connection, bytes);
}

static void
on_closed(void *opaque, bool refused)
{
    (void)refused;
    mw_drop_http_connection(opaque);
}

static void
on_accepted(void *opaque, struct mw_conn *conn)
{
    struct mw_http *http = opaque;
    struct mw_http_connection *connection =
        g_new0(struct mw_http_connection, 1);
    struct mw_conn_callbacks callbacks = {
        .opaque = connection, .received = on_received, .closed = on_closed};

    http->last_received_us = mw_now();
    connection->http = http;
    connection->conn = conn;
    connection->text = g_string_new(NULL);
    connection->reply_headers = g_string_new(NULL);
    connection->body = g_byte_array_new();
    connection->pipelined = g_byte_array_new();
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    g_hash_table_add(http->connections, connection);
    mw_conn_keepalive(conn);
    mw_conn_set_callbacks(conn, &callbacks);
}

struct mw_http *
mw_new_http(const struct mw_http_setup *setup, char **message)
{
    struct mw_http *http = g_new0(struct mw_http, 1);
    struct mw_listener_callbacks callbacks = {http, on_accepted};
    const char *reason;

    http_parser_set_max_header_size(HEADER_BYTES_MAX);
    http->setup = *setup;
    if (setup->bodies_max == 0) {
        http->setup.bodies_max =
            MAX(MW_HTTP_BODIES_BYTES_MAX, setup->body_max);
    }
    if (setup->headers_max == 0) {
        http->setup.headers_max = MW_HTTP_HEADERS_BYTES_MAX;
    }
    http->next_handle = MW_SOURCE_COUNT + setup->source;
    http->connections =
        g_hash_table_new_full(NULL, NULL, mw_free_http_connection, NULL);
    http->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
    http->timer = mw_new_timer(http, mw_on_receive_timer);
    http->listener = mw_new_listener(&setup->address, &callbacks, &reason);
    if (!http->listener) {
        *message = g_strdup_printf("%s: %s; choose a free address",
                                   setup->setting_name, reason);
        mw_drop_http(http);
        return NULL;
    }
    return http;
}

void
mw_drop_http(struct mw_http *http)
{
    if (!http) {
        return;
    }
    mw_drop_listener(http->listener);
    g_hash_table_unref(http->pending);
    g_hash_table_unref(http->connections);
    mw_drop_timer(http->timer);
    g_free(http);
}

void
mw_http_reply(struct mw_http *http, uint64_t handle, int status,
              struct mw_blob *text)
{
    struct mw_http_connection *connection =
        g_hash_table_lookup(http->pending, &handle);

    if (!connection) {
        return;
    }
    g_hash_table_remove(http->pending, &handle);
    mw_write_http_reply(connection, status, mw_blob_str(text));
    if (connection->in_callback) {
        connection->has_replied = true;
        return;
    }
    end_request(connection);
    read_pipelined(connection);
}

void
mw_http_set_header(struct mw_http *http, uint64_t handle, const char *name,
                   const char *value)
{
    struct mw_http_connection *connection =
        g_hash_table_lookup(http->pending, &handle);

    if (!connection) {
        return;
    }
    if (strcasecmp(name, "Connection") == 0 &&
        strcasecmp(value, "close") == 0) {
        connection->keep_alive = false;
        return;
    }
    g_string_append_printf(connection->reply_headers, "%s: %s\r\n", name,
                           value);
}

void
mw_http_reply_error(struct mw_http *http, uint64_t handle, int error,
                    struct mw_str detail)
{
    struct mw_blob *text = mw_http_error_text(error, detail);

    mw_http_reply(http, handle, mw_error_http_status(error), text);
    mw_drop_blob(text);
}

void
mw_http_stop_listening(struct mw_http *http)
{
    if (http->listener) {
        mw_accept_waiting(http->listener);
    }
    mw_drop_listener(g_steal_pointer(&http->listener));
}

void
mw_http_begin_leave(struct mw_http *http)
{
    http->leaving = true;
}

struct mw_http_activity
mw_http_get_activity(const struct mw_http *http)
{
    struct mw_http_activity activity = {
        .pending_count = mw_http_pending_count(http),
        .connection_count = g_hash_table_size(http->connections),
        .last_received_us = http->last_received_us,
    };
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, http->connections);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const struct mw_http_connection *connection = key;

        activity.open_count += connection->phase != MW_HTTP_LINGERING;
        activity.unsent_bytes += mw_conn_queued_bytes(connection->conn);
    }
    return activity;
}

const uint64_t *
mw_http_refused_by_delay(const struct mw_http *http)
{
    return http->refused_by_delay;
}

guint
mw_http_pending_count(const struct mw_http *http)
{
    guint count = g_hash_table_size(http->pending);

    for (const GList *l = http->receiving.head; l; l = l->next) {
        count += ((const struct mw_http_connection *)l->data)->phase ==
                 MW_HTTP_READING;
    }
    return count;
}
