#include "http.h"

#include <libsoup/soup.h>
#include <string.h>

#include "link.h"

struct mw_http {
    struct mw_http_setup setup;
    SoupServer *server;
    /* struct exchange by handle */
    GHashTable *exchanges;
    uint64_t next_handle;
};

/* A request, from the arrival of its headers until its reply is sent. */
struct exchange {
    struct mw_http *http;
    SoupServerMessage *message;
    uint64_t handle;
    GSource *receive_timeout;
    bool dispatched;
    bool replied;
};

static struct mw_blob *
error_text(int error, struct mw_str detail)
{
    struct mw_reply reply = {
        .error = error, .detail = detail, .is_change = true};

    return mw_format_reply(&reply);
}

static void
set_reply(SoupServerMessage *message, int status, struct mw_blob *text)
{
    SoupMessageBody *body = soup_server_message_get_response_body(message);
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    GBytes *bytes = g_bytes_new_with_free_func(text->ptr, text->len,
                                               (GDestroyNotify)mw_drop_blob,
                                               mw_keep_blob(text));

    soup_server_message_set_status(message, (guint)status, NULL);
    soup_message_headers_replace(headers, "Content-Type", "application/json");
    if (text->len > 0) {
        soup_message_body_append_bytes(body, bytes);
    }
    soup_message_body_complete(body);
    soup_message_headers_set_content_length(headers, (goffset)text->len);
    g_bytes_unref(bytes);
}

static void
cancel_receive_timeout(struct exchange *exchange)
{
    if (exchange->receive_timeout) {
        g_source_destroy(exchange->receive_timeout);
        g_clear_pointer(&exchange->receive_timeout, g_source_unref);
    }
}

/*
 * Replies with an error before the body is read, and closes the connection.
 * The library would read the whole body first, so the reply is written to the
 * socket directly.
 */
static void
refuse_unread(SoupServerMessage *message, int error, struct mw_str detail)
{
    GSocket *socket = soup_server_message_get_socket(message);
    int status = mw_error_http_status(error);
    struct mw_blob *text = error_text(error, detail);
    char *reply =
        g_strdup_printf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                        "Content-Length: %zu\r\nConnection: close\r\n\r\n%.*s",
                        status, soup_status_get_phrase((guint)status),
                        text->len, MW_FMT(mw_blob_str(text)));

    if (socket) {
        g_socket_send(socket, reply, strlen(reply), NULL, NULL);
        g_socket_shutdown(socket, TRUE, TRUE, NULL);
    }
    g_free(reply);
    mw_drop_blob(text);
}

static gboolean
receive_timed_out(gpointer data)
{
    struct exchange *exchange = data;

    refuse_unread(exchange->message, MW_ERR_SLOW, MW_STR(""));
    g_clear_pointer(&exchange->receive_timeout, g_source_unref);
    return G_SOURCE_REMOVE;
}

static void
finished(SoupServerMessage *message, gpointer data)
{
    struct exchange *exchange = data;
    struct mw_http *http = exchange->http;

    (void)message;
    cancel_receive_timeout(exchange);
    if (exchange->dispatched && !exchange->replied &&
        http->setup.client_closed) {
        http->setup.client_closed(http->setup.opaque, exchange->handle);
    }
    g_hash_table_remove(http->exchanges, &exchange->handle);
}

static void
free_exchange(gpointer data)
{
    struct exchange *exchange = data;

    cancel_receive_timeout(exchange);
    g_signal_handlers_disconnect_by_data(exchange->message, exchange);
    g_object_unref(exchange->message);
    g_free(exchange);
}

static struct exchange *
open_exchange(struct mw_http *http, SoupServerMessage *message)
{
    struct exchange *exchange = g_new0(struct exchange, 1);

    exchange->http = http;
    exchange->message = g_object_ref(message);
    exchange->handle = http->next_handle;
    http->next_handle += MW_SOURCE_COUNT;
    exchange->receive_timeout =
        g_timeout_source_new((guint)(MW_HTTP_RECEIVE_TIMEOUT_US / 1000));
    g_source_set_callback(exchange->receive_timeout, receive_timed_out,
                          exchange, NULL);
    g_source_attach(exchange->receive_timeout,
                    g_main_context_get_thread_default());
    g_signal_connect(message, "finished", G_CALLBACK(finished), exchange);
    g_hash_table_insert(http->exchanges, &exchange->handle, exchange);
    g_object_set_data(G_OBJECT(message), "mw-exchange", exchange);
    return exchange;
}

/* Called when the headers have been read and the body has not. */
static void
check_headers(SoupServer *server, SoupServerMessage *message, const char *path,
              GHashTable *query, gpointer data)
{
    struct mw_http *http = data;
    SoupMessageHeaders *headers =
        soup_server_message_get_request_headers(message);
    SoupEncoding encoding = soup_message_headers_get_encoding(headers);
    goffset length = soup_message_headers_get_content_length(headers);
    char text[96];

    (void)server;
    (void)path;
    (void)query;
    if (g_hash_table_size(http->exchanges) >= MW_HTTP_PENDING_MAX) {
        refuse_unread(message, MW_ERR_OVERLOADED,
                      MW_STR("too many pending requests"));
        return;
    }
    if (encoding == SOUP_ENCODING_CHUNKED) {
        refuse_unread(message, MW_ERR_MISSING,
                      MW_STR("Content-Length: give the body's length"));
        return;
    }
    if (length > (goffset)http->setup.body_max) {
        int len =
            g_snprintf(text, sizeof text,
                       "body of %" G_GOFFSET_FORMAT " bytes, the limit is %zu",
                       length, http->setup.body_max);

        refuse_unread(message, MW_ERR_TOO_LARGE,
                      (struct mw_str){text, (size_t)len});
        return;
    }
    open_exchange(http, message);
}

static void
handle_request(SoupServer *server, SoupServerMessage *message,
               const char *path, GHashTable *query, gpointer data)
{
    struct mw_http *http = data;
    struct exchange *exchange =
        g_object_get_data(G_OBJECT(message), "mw-exchange");
    GUri *uri = soup_server_message_get_uri(message);
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    GBytes *bytes;
    struct mw_http_request request;

    (void)server;
    (void)query;
    if (!exchange) {
        return;
    }
    cancel_receive_timeout(exchange);
    bytes = soup_message_body_flatten(body);
    request = (struct mw_http_request){
        .handle = exchange->handle,
        .method = mw_str_from(soup_server_message_get_method(message)),
        .path = mw_str_from(path),
        .query = mw_str_from(g_uri_get_query(uri)),
        .message = message,
    };
    request.body.ptr = g_bytes_get_data(bytes, &request.body.len);
    exchange->dispatched = true;
    soup_server_message_pause(message);
    http->setup.request(http->setup.opaque, &request);
    g_bytes_unref(bytes);
}

struct mw_http *
mw_new_http(const struct mw_http_setup *setup, char **message)
{
    struct mw_http *http = g_new0(struct mw_http, 1);
    GSocketAddress *address = mw_parse_address(&setup->address);
    GError *error = NULL;

    http->setup = *setup;
    http->next_handle = MW_SOURCE_COUNT + setup->source;
    http->exchanges = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                            free_exchange);
    http->server = soup_server_new("server-header", "mimosawind", NULL);
    soup_server_add_early_handler(http->server, NULL, check_headers, http,
                                  NULL);
    soup_server_add_handler(http->server, NULL, handle_request, http, NULL);
    if (!soup_server_listen(http->server, address, 0, &error)) {
        *message = g_strdup_printf("%s: %s; choose a free address",
                                   setup->setting_name, error->message);
        g_error_free(error);
        g_object_unref(address);
        mw_drop_http(http);
        return NULL;
    }
    g_object_unref(address);
    return http;
}

void
mw_drop_http(struct mw_http *http)
{
    if (!http) {
        return;
    }
    g_hash_table_unref(http->exchanges);
    soup_server_disconnect(http->server);
    g_object_unref(http->server);
    g_free(http);
}

struct mw_str
mw_http_header(const struct mw_http_request *request, const char *name)
{
    SoupMessageHeaders *headers = soup_server_message_get_request_headers(
        (SoupServerMessage *)request->message);

    return mw_str_from(soup_message_headers_get_one(headers, name));
}

struct mw_str
mw_http_query_param(const struct mw_http_request *request, struct mw_str key)
{
    struct mw_str rest = request->query;

    while (rest.len > 0) {
        const char *end = memchr(rest.ptr, '&', rest.len);
        size_t len = end ? (size_t)(end - rest.ptr) : rest.len;

        if (len > key.len && rest.ptr[key.len] == '=' &&
            memcmp(rest.ptr, key.ptr, key.len) == 0) {
            return (struct mw_str){rest.ptr + key.len + 1, len - key.len - 1};
        }
        rest.ptr += end ? len + 1 : len;
        rest.len -= end ? len + 1 : len;
    }
    return MW_STR("");
}

void
mw_http_reply(struct mw_http *http, uint64_t handle, int status,
              struct mw_blob *text)
{
    struct exchange *exchange = g_hash_table_lookup(http->exchanges, &handle);

    if (!exchange || exchange->replied) {
        return;
    }
    exchange->replied = true;
    set_reply(exchange->message, status, text);
    soup_server_message_unpause(exchange->message);
}

void
mw_http_set_header(struct mw_http *http, uint64_t handle, const char *name,
                   const char *value)
{
    struct exchange *exchange = g_hash_table_lookup(http->exchanges, &handle);

    if (exchange && !exchange->replied) {
        soup_message_headers_replace(
            soup_server_message_get_response_headers(exchange->message), name,
            value);
    }
}

void
mw_http_reply_error(struct mw_http *http, uint64_t handle, int error,
                    struct mw_str detail)
{
    struct mw_blob *text = error_text(error, detail);

    mw_http_reply(http, handle, mw_error_http_status(error), text);
    mw_drop_blob(text);
}

void
mw_http_stop_listening(struct mw_http *http)
{
    GSList *listeners = soup_server_get_listeners(http->server);

    for (GSList *l = listeners; l; l = l->next) {
        g_socket_close(l->data, NULL);
    }
    g_slist_free(listeners);
}

guint
mw_http_pending_count(const struct mw_http *http)
{
    return g_hash_table_size(http->exchanges);
}
