/*
 * http-parse: what a connection of the HTTP server receives, as a request.
 */
#include "http-impl.h"

static int
on_message_begin(http_parser *parser)
{
    struct mw_http_connection *connection = parser->data;

    mw_reset_http_request(connection);
    mw_begin_receiving(connection);
    return 0;
}

/* Returns an error, which ends the parsing, if there is no room for it. */
static int
append_text(struct mw_http_connection *connection, const char *at, size_t len)
{
    struct mw_http *http = connection->http;

    if (http->header_bytes + len > http->setup.headers_max) {
        connection->parse_error = MW_ERR_OVERLOADED;
        return -1;
    }
    http->header_bytes += len;
    g_string_append_len(connection->text, at, (gssize)len);
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    struct mw_http_connection *connection = parser->data;

    connection->url_len += len;
    return append_text(connection, at, len);
}

/* Values end with a zero byte. */
static void
end_value(struct mw_http_connection *connection)
{
    if (connection->in_value) {
        g_string_append_c(connection->text, 0);
        connection->http->header_bytes++;
    }
}

static int
on_header_name(http_parser *parser, const char *at, size_t len)
{
    struct mw_http_connection *connection = parser->data;

    if (connection->in_value || connection->header_count == 0) {
        if (connection->header_count == MW_HTTP_HEADERS_MAX) {
            return -1;
        }
        end_value(connection);
        connection->headers[connection->header_count++] =
            (struct mw_http_header_field){.name = connection->text->len};
        connection->in_value = false;
    }
    connection->headers[connection->header_count - 1].name_len += len;
    return append_text(connection, at, len);
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
    struct mw_http_connection *connection = parser->data;
    struct mw_http_header_field *header =
        &connection->headers[connection->header_count - 1];

    if (!connection->in_value) {
        connection->in_value = true;
        header->value = connection->text->len;
    }
    header->value_len += len;
    return append_text(connection, at, len);
}

/* Returns an error for a request that is refused before its body is read. */
static int
check_headers(const struct mw_http_connection *connection, char *detail,
              size_t detail_size)
{
    const struct mw_http *http = connection->http;
    const http_parser *parser = &connection->parser;
    /* http_parser gives the highest value if there is no length */
    bool has_length = parser->content_length != UINT64_MAX;

    if (g_hash_table_size(http->pending) >= MW_HTTP_PENDING_MAX) {
        g_strlcpy(detail, "too many pending requests", detail_size);
        return MW_ERR_OVERLOADED;
    }
    if (parser->flags & F_CHUNKED) {
        g_strlcpy(detail, "Content-Length: give the body's length",
                  detail_size);
        return MW_ERR_MISSING;
    }
    if (has_length && parser->content_length > http->setup.body_max) {
        g_snprintf(detail, detail_size,
                   "body of %" G_GUINT64_FORMAT " bytes, the limit is %zu",
                   parser->content_length, http->setup.body_max);
        return MW_ERR_TOO_LARGE;
    }
    if (has_length &&
        parser->content_length > http->setup.bodies_max - http->body_bytes) {
        g_strlcpy(detail, "too many bodies of pending requests", detail_size);
        return MW_ERR_OVERLOADED;
    }
    return 0;
}

static int
on_headers_complete(http_parser *parser)
{
    struct mw_http_connection *connection = parser->data;
    char detail[96] = "";
    int err = check_headers(connection, detail, sizeof detail);

    end_value(connection);
    if (err) {
        mw_refuse_unread(connection, err, mw_str_from(detail));
        return -1;
    }
    if (parser->content_length != UINT64_MAX) {
        connection->body_bytes = (size_t)parser->content_length;
        connection->http->body_bytes += connection->body_bytes;
    }
    if (mw_find_http_header(connection, "Expect").len > 0) {
        mw_conn_send(connection->conn,
                     MW_STR("HTTP/1.1 100 Continue\r\n\r\n"));
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    struct mw_http_connection *connection = parser->data;

    g_byte_array_append(connection->body, (const guint8 *)at, (guint)len);
    return 0;
}

/* The rest of what was read is parsed after the reply. */
static int
on_message_complete(http_parser *parser)
{
    struct mw_http_connection *connection = parser->data;

    connection->keep_alive = http_should_keep_alive(parser);
    connection->phase = MW_HTTP_REPLYING;
    mw_end_receiving(connection);
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_header_name,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

gssize
mw_parse_http(struct mw_http_connection *connection, struct mw_str bytes)
{
    size_t used = http_parser_execute(&connection->parser, &parser_settings,
                                      bytes.ptr, bytes.len);
    enum http_errno error = HTTP_PARSER_ERRNO(&connection->parser);

    if (error == HPE_PAUSED) {
        http_parser_pause(&connection->parser, 0);
        return (gssize)used;
    }
    if (connection->phase == MW_HTTP_LINGERING) {
        return -1;
    }
    if (connection->parse_error) {
        mw_refuse_unread(connection, connection->parse_error,
                         MW_STR("too many headers of pending requests"));
        return -1;
    }
    if (error != HPE_OK || connection->parser.upgrade) {
        mw_refuse_unread(connection, MW_ERR_INVALID,
                         mw_str_from(http_errno_description(error)));
        return -1;
    }
    return (gssize)used;
}
