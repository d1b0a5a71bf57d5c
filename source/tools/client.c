/*
 * client: HTTP requests of the subcommands, one at a time.
 */
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "auth.h"
#include "tool.h"

static void
add_signature(SoupMessage *message, const struct mw_tool_request *request)
{
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    char *path = g_strndup(request->path, strcspn(request->path, "?"));
    char time[24];

    g_snprintf(time, sizeof time, "%" G_GINT64_FORMAT, g_get_real_time());
    char *mac = mw_sign_request(
        mw_blob_str(request->key), mw_str_from(request->method),
        mw_str_from(path), mw_str_from(time), request->body);

    soup_message_headers_replace(headers, "X-MW-Time", time);
    soup_message_headers_replace(headers, "X-MW-Sign", mac);
    g_free(mac);
    g_free(path);
}

static SoupMessage *
new_message(const struct mw_tool_request *request)
{
    char *url =
        g_strdup_printf("http://%s%s", request->address, request->path);
    SoupMessage *message = soup_message_new(request->method, url);

    g_free(url);
    if (!message) {
        return NULL;
    }
    if (request->body.len > 0) {
        GBytes *bytes = g_bytes_new(request->body.ptr, request->body.len);

        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
        g_bytes_unref(bytes);
    }
    if (request->key) {
        add_signature(message, request);
    }
    if (request->token) {
        char *value = g_strdup_printf("Bearer %s", request->token);

        soup_message_headers_replace(soup_message_get_request_headers(message),
                                     "Authorization", value);
        g_free(value);
    }
    return message;
}

int
mw_send_tool_request(struct mw_tool_request *request)
{
    SoupSession *session = soup_session_new_with_options(
        "timeout", request->timeout_s ? request->timeout_s : 15, NULL);
    SoupMessage *message = new_message(request);
    GError *error = NULL;
    GBytes *body = NULL;

    soup_session_set_proxy_resolver(session, NULL);
    if (!message) {
        fprintf(stderr, "mw: '%s' is not an address; give IP:PORT\n",
                request->address);
        g_object_unref(session);
        return MW_ERR_INVALID;
    }
    body = soup_session_send_and_read(session, message, NULL, &error);
    if (body) {
        struct mw_str text;

        text.ptr = g_bytes_get_data(body, &text.len);
        request->status = (int)soup_message_get_status(message);
        request->reply = mw_new_blob(text);
        g_bytes_unref(body);
    }
    else {
        fprintf(stderr, "mw: unreachable: %s: %s; try another process\n",
                request->address, error->message);
        g_error_free(error);
    }
    g_object_unref(message);
    g_object_unref(session);
    return body ? 0 : MW_ERR_UNREACHABLE;
}

int
mw_usage_error(const char *command, const char *text)
{
    fprintf(stderr, "mw %s: %s; try mw %s --help\n", command, text, command);
    return MW_EXIT_USAGE;
}

char *
mw_read_text_file(const char *command, const char *path, size_t *len)
{
    GError *error = NULL;
    char *text = NULL;
    gsize size = 0;

    if (!g_file_get_contents(path, &text, &size, &error)) {
        fprintf(stderr, "mw %s: %s; give a readable file\n", command,
                error->message);
        g_error_free(error);
        return NULL;
    }
    *len = size;
    return text;
}

static const char *
get_text(json_t *reply, const char *key)
{
    const char *text = json_string_value(json_object_get(reply, key));

    return text ? text : "";
}

void
mw_print_error_reply(const char *command, json_t *reply)
{
    fprintf(stderr, "mw %s: %s: %s", command, get_text(reply, "kind"),
            get_text(reply, "message"));
    if (get_text(reply, "detail")[0]) {
        fprintf(stderr, " (%s)", get_text(reply, "detail"));
    }
    if (get_text(reply, "ran")[0]) {
        fprintf(stderr, " [%s]", get_text(reply, "ran"));
    }
    fprintf(stderr, "\n");
}
