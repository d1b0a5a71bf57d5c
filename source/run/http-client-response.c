/*
 * http-client-response: what a connection of the HTTP client receives.
 */
#include "http-client-impl.h"

#define BODY_BYTES_MAX (16 * 1024 * 1024)
#define HEADER_BYTES_MAX (32 * 1024)
/* a larger buffer is freed once the response is handled */
#define KEPT_BUFFER_BYTES_MAX (16 * 1024)

/* Returns whether there is room for more of the response. */
static bool
count_response(struct mw_client_connection *connection, size_t len)
{
    struct mw_http_client *client = connection->host->client;

    if (client->response_bytes + len > client->setup.responses_max) {
        return false;
    }
    connection->response_bytes += len;
    client->response_bytes += len;
    return true;
}

void
mw_uncount_client_response(struct mw_client_connection *connection)
{
    connection->host->client->response_bytes -= connection->response_bytes;
    connection->response_bytes = 0;
}

static int
on_header_name(http_parser *parser, const char *at, size_t len)
{
    struct mw_client_connection *connection = parser->data;

    if (connection->in_value) {
        g_string_append(connection->headers, "\r\n");
        connection->in_value = false;
    }
    g_string_append_len(connection->headers, at, (gssize)len);
    return count_response(connection, len) ? 0 : -1;
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
    struct mw_client_connection *connection = parser->data;

    if (!connection->in_value) {
        g_string_append(connection->headers, ": ");
        connection->in_value = true;
    }
    g_string_append_len(connection->headers, at, (gssize)len);
    return connection->headers->len <= HEADER_BYTES_MAX &&
                   count_response(connection, len)
               ? 0
               : -1;
}

static int
on_headers_complete(http_parser *parser)
{
    struct mw_client_connection *connection = parser->data;

    if (connection->in_value) {
        g_string_append(connection->headers, "\r\n");
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    struct mw_client_connection *connection = parser->data;

    if (connection->body->len + len > BODY_BYTES_MAX ||
        !count_response(connection, len)) {
        return -1;
    }
    g_byte_array_append(connection->body, (const guint8 *)at, (guint)len);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct mw_client_connection *connection = parser->data;

    if (parser->status_code == HTTP_STATUS_CONTINUE) {
        g_string_truncate(connection->headers, 0);
        connection->in_value = false;
        return 0;
    }
    connection->may_be_kept = http_should_keep_alive(parser);
    connection->is_complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_header_name,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

void
mw_begin_client_response(struct mw_client_connection *connection)
{
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection;
    connection->has_response = false;
    connection->is_complete = false;
    connection->in_value = false;
    mw_uncount_client_response(connection);
    g_string_truncate(connection->headers, 0);
    if (connection->body->len > KEPT_BUFFER_BYTES_MAX) {
        g_byte_array_unref(connection->body);
        connection->body = g_byte_array_new();
    }
    g_byte_array_set_size(connection->body, 0);
}

void
mw_parse_client_response(struct mw_client_connection *connection,
                         struct mw_str bytes)
{
    http_parser_execute(&connection->parser, &parser_settings, bytes.ptr,
                        bytes.len);
}
