/*
 * client: HTTP requests of the tool.
 */
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "seal.h"
#include "tool.h"

static void
sign(SoupMessage *message, const struct mw_call *call)
{
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    char *path = g_strndup(call->path, strcspn(call->path, "?"));
    char time[24];

    g_snprintf(time, sizeof time, "%" G_GINT64_FORMAT, g_get_real_time());
    char *code =
        mw_sign_request(mw_blob_str(call->key), mw_str_from(call->method),
                        mw_str_from(path), mw_str_from(time), call->body);

    soup_message_headers_replace(headers, "X-MW-Time", time);
    soup_message_headers_replace(headers, "X-MW-Sign", code);
    g_free(code);
    g_free(path);
}

static SoupMessage *
build(const struct mw_call *call)
{
    char *url = g_strdup_printf("http://%s%s", call->address, call->path);
    SoupMessage *message = soup_message_new(call->method, url);

    g_free(url);
    if (!message) {
        return NULL;
    }
    if (call->body.len > 0) {
        GBytes *bytes = g_bytes_new(call->body.ptr, call->body.len);

        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
        g_bytes_unref(bytes);
    }
    if (call->key) {
        sign(message, call);
    }
    if (call->token) {
        char *value = g_strdup_printf("Bearer %s", call->token);

        soup_message_headers_replace(soup_message_get_request_headers(message),
                                     "Authorization", value);
        g_free(value);
    }
    return message;
}

int
mw_call_one(struct mw_call *call)
{
    SoupSession *session = soup_session_new_with_options(
        "timeout", call->timeout_s ? call->timeout_s : 15, NULL);
    SoupMessage *message = build(call);
    GError *error = NULL;
    GBytes *body = NULL;

    soup_session_set_proxy_resolver(session, NULL);
    if (!message) {
        fprintf(stderr, "mw: '%s' is not IP:PORT\n", call->address);
        g_object_unref(session);
        return MW_ERR_INVALID;
    }
    body = soup_session_send_and_read(session, message, NULL, &error);
    if (body) {
        struct mw_str text;

        text.ptr = g_bytes_get_data(body, &text.len);
        call->status = (int)soup_message_get_status(message);
        call->reply = mw_new_blob(text);
        g_bytes_unref(body);
    }
    else {
        fprintf(stderr, "mw: unreachable: %s: %s; try another process\n",
                call->address, error->message);
        g_error_free(error);
    }
    g_object_unref(message);
    g_object_unref(session);
    return body ? 0 : MW_ERR_UNREACHABLE;
}

int
mw_fail_use(const char *command, const char *text)
{
    fprintf(stderr, "mw %s: %s; try mw %s --help\n", command, text, command);
    return MW_EXIT_USAGE;
}

char *
mw_load_text(const char *command, const char *path, size_t *len)
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
text_of(json_t *reply, const char *key)
{
    const char *text = json_string_value(json_object_get(reply, key));

    return text ? text : "";
}

void
mw_print_refusal(const char *command, json_t *reply)
{
    fprintf(stderr, "mw %s: %s: %s", command, text_of(reply, "kind"),
            text_of(reply, "message"));
    if (text_of(reply, "detail")[0]) {
        fprintf(stderr, " (%s)", text_of(reply, "detail"));
    }
    if (text_of(reply, "ran")[0]) {
        fprintf(stderr, " [%s]", text_of(reply, "ran"));
    }
    fprintf(stderr, "\n");
}
