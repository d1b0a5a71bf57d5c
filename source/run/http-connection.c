/*
 * http-connection: a connection of the HTTP server: how long it may receive,
 * what it sends, and its end.
 */
#include "http-impl.h"

#include "loop.h"

/* a larger buffer is freed once the reply is sent */
#define KEPT_BUFFER_BYTES_MAX (16 * 1024)

static void
arm_receive_timer(struct mw_http *http)
{
    const struct mw_http_connection *first =
        g_queue_peek_head(&http->receiving);

    mw_arm_timer(http->timer, first ? first->receive_deadline_us : INT64_MAX);
}

void
mw_end_receiving(struct mw_http_connection *connection)
{
    if (connection->receiving) {
        g_queue_delete_link(&connection->http->receiving,
                            connection->receiving);
        connection->receiving = NULL;
    }
}

void
mw_begin_receiving(struct mw_http_connection *connection)
{
    struct mw_http *http = connection->http;

    connection->receive_deadline_us = mw_now() + MW_HTTP_RECEIVE_TIMEOUT_US;
    g_queue_push_tail(&http->receiving, connection);
    connection->receiving = http->receiving.tail;
    if (http->receiving.length == 1) {
        arm_receive_timer(http);
    }
}

void
mw_free_http_connection(void *data)
{
    struct mw_http_connection *connection = data;

    mw_end_receiving(connection);
    connection->http->body_bytes -= connection->body_bytes;
    connection->http->header_bytes -= connection->text->len;
    connection->http->pipelined_bytes -= connection->pipelined->len;
    mw_conn_close(connection->conn);
    g_string_free(connection->text, TRUE);
    g_string_free(connection->reply_headers, TRUE);
    g_byte_array_unref(connection->body);
    g_byte_array_unref(connection->pipelined);
    g_free(connection);
}

/* URL and headers are not needed any more. */
static void
clear_text(struct mw_http_connection *connection)
{
    connection->http->header_bytes -= connection->text->len;
    if (connection->text->allocated_len > KEPT_BUFFER_BYTES_MAX) {
        g_string_free(connection->text, TRUE);
        connection->text = g_string_new(NULL);
    }
    g_string_truncate(connection->text, 0);
}

/* The body is not needed any more. */
static void
clear_body(struct mw_http_connection *connection)
{
    connection->http->body_bytes -= connection->body_bytes;
    connection->body_bytes = 0;
    if (connection->body->len > KEPT_BUFFER_BYTES_MAX) {
        g_byte_array_unref(connection->body);
        connection->body = g_byte_array_new();
    }
    g_byte_array_set_size(connection->body, 0);
}

void
mw_reset_http_request(struct mw_http_connection *connection)
{
    mw_end_receiving(connection);
    connection->phase = MW_HTTP_READING;
    connection->url_len = 0;
    connection->header_count = 0;
    connection->in_value = false;
    clear_text(connection);
    g_string_truncate(connection->reply_headers, 0);
    clear_body(connection);
}

void
mw_drop_http_connection(struct mw_http_connection *connection)
{
    struct mw_http *http = connection->http;
    uint64_t handle = connection->handle;
    bool was_replying = connection->phase == MW_HTTP_REPLYING;

    if (was_replying) {
        g_hash_table_remove(http->pending, &handle);
    }
    g_hash_table_remove(http->connections, connection);
    if (was_replying && http->setup.client_closed) {
        http->setup.client_closed(http->setup.opaque, handle);
    }
}

struct mw_blob *
mw_http_error_text(int error, struct mw_str detail)
{
    struct mw_reply reply = {
        .error = error, .detail = detail, .is_change = true};

    return mw_format_reply(&reply);
}

void
mw_write_http_reply(struct mw_http_connection *connection, int status,
                    struct mw_str text)
{
    GString *out = g_string_sized_new(256 + text.len);
    bool has_more = connection->in_callback ? connection->has_more
                                            : connection->pipelined->len > 0;

    if (connection->http->leaving && !has_more) {
        connection->keep_alive = false;
    }
    g_string_append_printf(
        out,
        "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
        "Content-Length: %zu\r\n",
        status, http_status_str((enum http_status)status), text.len);
    g_string_append_len(out, connection->reply_headers->str,
                        (gssize)connection->reply_headers->len);
    if (!connection->keep_alive) {
        g_string_append(out, "Connection: close\r\n");
    }
    g_string_append(out, "\r\n");
    if (connection->parser.method != HTTP_HEAD) {
        g_string_append_len(out, text.ptr, (gssize)text.len);
    }
    mw_conn_send(connection->conn, (struct mw_str){out->str, out->len});
    g_string_free(out, TRUE);
}

void
mw_linger(struct mw_http_connection *connection)
{
    connection->phase = MW_HTTP_LINGERING;
    clear_body(connection);
    clear_text(connection);
    mw_conn_end(connection->conn);
    mw_end_receiving(connection);
    mw_begin_receiving(connection);
}

/* The priority of the route is not known here: nobody is urgent. */
static void
add_retry_after(struct mw_http_connection *connection)
{
    struct mw_http *http = connection->http;
    struct mw_refusal refusal = {
        .cause = MW_REFUSAL_PENDING,
        .waiting = g_hash_table_size(http->pending),
        .job_hash = mw_hash_job(
            (struct mw_str){connection->text->str, connection->url_len}),
    };
    int64_t delay_us =
        mw_take_retry_after(&http->refusals, mw_now(), &refusal);
    int seconds = (int)(delay_us / MW_RETRY_AFTER_MIN_US);

    http->refused_by_delay[seconds - 1]++;
    g_string_append_printf(connection->reply_headers, "Retry-After: %d\r\n",
                           seconds);
}

void
mw_refuse_unread(struct mw_http_connection *connection, int error,
                 struct mw_str detail)
{
    struct mw_blob *text = mw_http_error_text(error, detail);

    connection->keep_alive = false;
    if (error == MW_ERR_OVERLOADED) {
        add_retry_after(connection);
    }
    mw_write_http_reply(connection, mw_error_http_status(error),
                        mw_blob_str(text));
    mw_drop_blob(text);
    mw_linger(connection);
}

void
mw_on_receive_timer(void *opaque)
{
    struct mw_http *http = opaque;
    struct mw_http_connection *connection =
        g_queue_peek_head(&http->receiving);
    int64_t now_us = mw_now();

    while (connection && now_us >= connection->receive_deadline_us) {
        if (connection->phase == MW_HTTP_LINGERING) {
            mw_drop_http_connection(connection);
        }
        else {
            mw_refuse_unread(connection, MW_ERR_SLOW, MW_STR(""));
        }
        connection = g_queue_peek_head(&http->receiving);
    }
    arm_receive_timer(http);
}
