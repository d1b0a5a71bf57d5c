#include "operator-http.h"

#include <string.h>

#include "http-task.h"
#include "auth.h"

struct mw_operator_http {
    struct mw_task *task;
    struct mw_task *owner;
    struct mw_name address;
    struct mw_blob *key;
    struct mw_http *http;
    struct mw_context ctx;
};

static bool
is_time_in_window(struct mw_str text)
{
    guint64 sent = 0;
    char copy[32] = "";

    if (text.len == 0 || text.len >= sizeof copy) {
        return false;
    }
    memcpy(copy, text.ptr, text.len);
    if (!g_ascii_string_to_unsigned(copy, 10, 0, G_MAXINT64, &sent, NULL)) {
        return false;
    }
    return ABS(g_get_real_time() - (gint64)sent) <= MW_SIGNATURE_WINDOW_US;
}

static bool
is_signed(const struct mw_operator_http *server,
          const struct mw_http_request *request)
{
    struct mw_str time = mw_http_header(request, "X-MW-Time");
    struct mw_str signature = mw_http_header(request, "X-MW-Sign");
    unsigned differs = 0;
    char *expected;

    if (!is_time_in_window(time)) {
        return false;
    }
    expected = mw_sign_request(mw_blob_str(server->key), request->method,
                               request->path, time, request->body);
    if (strlen(expected) != signature.len) {
        differs = 1;
    }
    for (size_t i = 0; !differs && i < signature.len; i++) {
        differs |= (unsigned)(expected[i] ^ signature.ptr[i]);
    }
    g_free(expected);
    return differs == 0;
}

static void
submit_change(struct mw_operator_http *server,
              const struct mw_http_request *request)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_CHANGE);
    int err = mw_parse_change(&server->ctx, request->body, &msg->change);

    if (err) {
        mw_drop_msg(msg);
        mw_http_reply_error(server->http, request->handle, err,
                            mw_detail(&server->ctx));
        return;
    }
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_REQUEST);

    task_msg->handle = request->handle;
    task_msg->msg = msg;
    mw_post(server->owner, task_msg);
}

static void
request_status(struct mw_operator_http *server,
               const struct mw_http_request *request, struct mw_str part)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_STATUS);

    task_msg->handle = request->handle;
    task_msg->process = mw_name_of(part);
    mw_post(server->owner, task_msg);
}

static void
handle_request(void *opaque, const struct mw_http_request *request)
{
    struct mw_operator_http *server = opaque;
    struct mw_str base = MW_STR("/v1/");
    struct mw_str path = request->path;
    bool get = mw_str_equal(request->method, MW_STR("GET"));
    bool is_v1 =
        path.len > base.len && memcmp(path.ptr, base.ptr, base.len) == 0;

    if (get && mw_str_equal(path, MW_STR("/ready"))) {
        request_status(server, request, MW_STR("ready"));
    }
    else if (!is_signed(server, request)) {
        mw_http_reply_error(server->http, request->handle, MW_ERR_AUTH,
                            MW_STR("sign with the key file; clocks may differ "
                                   "by 300 s"));
    }
    else if (mw_str_equal(path, MW_STR("/v1/changes")) &&
             mw_str_equal(request->method, MW_STR("POST"))) {
        submit_change(server, request);
    }
    else if (get && is_v1) {
        request_status(
            server, request,
            (struct mw_str){path.ptr + base.len, path.len - base.len});
    }
    else {
        mw_http_reply_error(server->http, request->handle, MW_ERR_INVALID,
                            MW_STR("no such path or method; see "
                                   "docs/INTERFACE.md"));
    }
}

static void
handle_client_closed(void *opaque, uint64_t handle)
{
    struct mw_operator_http *server = opaque;

    mw_post_client_closed(server->owner, handle);
}

static void
operator_start(void *opaque, struct mw_task *task)
{
    struct mw_operator_http *server = opaque;
    struct mw_http_setup setup = {
        .address = server->address,
        .setting_name = "--operator",
        .source = MW_SOURCE_OPERATOR,
        .body_max = 2 * MW_DOCUMENT_BYTES_MAX,
        .opaque = server,
        .request = handle_request,
        .client_closed = handle_client_closed,
    };

    (void)task;
    server->http = mw_start_http(&setup, server->owner);
}

static void
operator_receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_operator_http *server = opaque;

    if (server->http && task_msg->kind == MW_TASK_MSG_REPLY) {
        mw_reply_http(server->http, task_msg);
    }
}

static void
operator_stop(void *opaque)
{
    struct mw_operator_http *server = opaque;

    mw_drop_http(server->http);
}

struct mw_operator_http *
mw_new_operator_http(const struct mw_name *address, struct mw_blob *key,
                     struct mw_task *owner)
{
    struct mw_operator_http *server = g_new0(struct mw_operator_http, 1);
    struct mw_task_callbacks work = {
        .opaque = server,
        .start = operator_start,
        .receive = operator_receive,
        .stop = operator_stop,
    };

    server->address = *address;
    server->key = mw_keep_blob(key);
    server->owner = owner;
    server->task = mw_new_task("operators", &work);
    return server;
}

void
mw_drop_operator_http(struct mw_operator_http *server)
{
    if (server) {
        mw_drop_task(server->task);
        mw_drop_blob(server->key);
        g_free(server);
    }
}

struct mw_task *
mw_operator_http_task(struct mw_operator_http *server)
{
    return server->task;
}
