#include "endpoint-http.h"

#include <libsoup/soup.h>
#include <string.h>

#include "http.h"

#define ANNOUNCE_BYTES_MAX (1024 * 1024)
#define EXPIRE_INTERVAL_US 200000

struct mw_endpoint_http {
    struct mw_task *task;
    struct mw_task *owner;
    struct mw_name address;
    struct mw_http *http;
    struct mw_context ctx;
    SoupSession *session;
    GPtrArray *in_flight;
    int64_t expire_deadline_us;
};

/* The request that carries a command to an endpoint. */
struct command_request {
    struct mw_endpoint_http *server;
    SoupMessage *message;
    GCancellable *cancel;
    struct mw_name control;
    struct mw_report report;
    enum mw_endpoint_command_kind kind;
    int64_t deadline_us;
};

static void
set_number_header(SoupMessageHeaders *headers, const char *name,
                  uint64_t value)
{
    char text[24];

    g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, value);
    soup_message_headers_replace(headers, name, text);
}

/*
 * The method is PUT because commands are idempotent: a repeated command for
 * an attempt has no further effect.  The library reuses connections for
 * idempotent methods only.
 */
static SoupMessage *
build_message(const struct mw_endpoint_command *command)
{
    struct mw_name id = mw_format_attempt(&command->attempt);
    char *url = g_strdup_printf("http://%.*s/v1/attempts/%.*s",
                                MW_FMT(mw_name_str(&command->address)),
                                MW_FMT(mw_name_str(&id)));
    SoupMessage *message = soup_message_new("PUT", url);
    struct mw_str kind = mw_command_kind_str(command->kind);
    char text[16];

    g_free(url);
    if (!message) {
        return NULL;
    }
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);

    g_snprintf(text, sizeof text, "%.*s", MW_FMT(kind));
    soup_message_headers_replace(headers, "X-MW-Order", text);
    set_number_header(headers, "X-MW-Tasks", command->tasks);
    set_number_header(headers, "X-MW-Accelerators",
                      command->need.accelerators);
    set_number_header(headers, "X-MW-Processors", command->need.processors);
    set_number_header(headers, "X-MW-Memory-MB", command->need.memory_mb);
    set_number_header(headers, "X-MW-Resume", command->resume);
    set_number_header(headers, "X-MW-Checkpoint", command->checkpoint);
    set_number_header(headers, "X-MW-Lease-MS", MW_ENDPOINT_LEASE_US / 1000);
    if (command->kind == MW_COMMAND_START && command->body) {
        GBytes *bytes = g_bytes_new_with_free_func(
            command->body->ptr, command->body->len,
            (GDestroyNotify)mw_drop_blob, mw_keep_blob(command->body));

        soup_message_set_request_body_from_bytes(
            message, "application/octet-stream", bytes);
        g_bytes_unref(bytes);
    }
    return message;
}

static void
free_command_request(struct command_request *request)
{
    g_clear_object(&request->message);
    g_object_unref(request->cancel);
    mw_drop_blob(request->report.output);
    g_free(request);
}

static void
post_command_done(struct command_request *request)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_COMMAND_DONE);

    task_msg->process = request->control;
    task_msg->report = request->report;
    task_msg->report.output = mw_keep_blob(request->report.output);
    mw_post(request->server->owner, task_msg);
}

static void
read_outcome(struct command_request *request, GBytes *body)
{
    SoupMessageHeaders *headers =
        soup_message_get_response_headers(request->message);
    struct mw_str value =
        mw_str_from(soup_message_headers_get_one(headers, "X-MW-Outcome"));
    int outcome = mw_parse_outcome(value);

    if (soup_message_get_status(request->message) != 200 || outcome < 0) {
        request->report.outcome = request->kind == MW_COMMAND_QUERY
                                      ? MW_OUTCOME_LOST
                                      : MW_OUTCOME_REFUSED;
        return;
    }
    request->report.outcome = (enum mw_outcome)outcome;
    if (outcome == MW_OUTCOME_FINISHED || outcome == MW_OUTCOME_FAILED) {
        struct mw_str text;

        text.ptr = g_bytes_get_data(body, &text.len);
        request->report.output = mw_new_blob(text);
    }
}

static void
command_done(GObject *object, GAsyncResult *result, gpointer data)
{
    struct command_request *request = data;
    GError *error = NULL;
    GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(object),
                                                     result, &error);

    g_ptr_array_remove_fast(request->server->in_flight, request);
    request->report.outcome = MW_OUTCOME_LOST;
    if (body) {
        read_outcome(request, body);
        g_bytes_unref(body);
    }
    else if (g_error_matches(error, G_IO_ERROR,
                             G_IO_ERROR_CONNECTION_REFUSED)) {
        /* the command was not sent, so nothing was started */
        request->report.outcome = request->kind == MW_COMMAND_RESERVE ||
                                          request->kind == MW_COMMAND_START
                                      ? MW_OUTCOME_REFUSED
                                      : MW_OUTCOME_LOST;
    }
    g_clear_error(&error);
    if (request->kind != MW_COMMAND_FORGET) {
        post_command_done(request);
    }
    free_command_request(request);
}

static void
send_command(struct mw_endpoint_http *server,
             const struct mw_task_msg *task_msg)
{
    struct command_request *request = g_new0(struct command_request, 1);

    request->server = server;
    request->control = task_msg->process;
    request->kind = task_msg->command.kind;
    request->report.attempt = task_msg->command.attempt;
    request->report.endpoint = task_msg->command.endpoint;
    request->cancel = g_cancellable_new();
    request->deadline_us = mw_now() + MW_COMMAND_TIMEOUT_US;
    request->message = build_message(&task_msg->command);
    if (!request->message) {
        request->report.outcome = MW_OUTCOME_REFUSED;
        post_command_done(request);
        free_command_request(request);
        return;
    }
    g_ptr_array_add(server->in_flight, request);
    soup_session_send_and_read_async(server->session, request->message,
                                     G_PRIORITY_DEFAULT, request->cancel,
                                     command_done, request);
}

static void
endpoint_tick(void *opaque, int64_t now_us)
{
    struct mw_endpoint_http *server = opaque;

    server->expire_deadline_us = now_us + EXPIRE_INTERVAL_US;
    for (guint i = server->in_flight->len; i > 0; i--) {
        struct command_request *request = server->in_flight->pdata[i - 1];

        if (now_us >= request->deadline_us) {
            g_cancellable_cancel(request->cancel);
        }
    }
}

static int64_t
endpoint_deadline(void *opaque)
{
    struct mw_endpoint_http *server = opaque;

    return server->in_flight->len > 0 ? server->expire_deadline_us : INT64_MAX;
}

static void
handle_request(void *opaque, const struct mw_http_request *request)
{
    struct mw_endpoint_http *server = opaque;
    struct mw_msg *msg = mw_new_msg(MW_MSG_ANNOUNCE);
    int err;

    if (!mw_str_equal(request->path, MW_STR("/v1/endpoints")) ||
        !mw_str_equal(request->method, MW_STR("POST"))) {
        err =
            mw_fail(&server->ctx, MW_ERR_INVALID, "path: POST /v1/endpoints");
    }
    else {
        err = mw_parse_announce(&server->ctx, request->body, &msg->announce);
    }
    if (err) {
        mw_drop_msg(msg);
        mw_http_reply_error(server->http, request->handle, err,
                            mw_detail(&server->ctx));
        return;
    }
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_ANNOUNCEMENT);

    task_msg->handle = request->handle;
    task_msg->msg = msg;
    mw_post(server->owner, task_msg);
}

static void
endpoint_start(void *opaque, struct mw_task *task)
{
    struct mw_endpoint_http *server = opaque;
    char *message = NULL;
    struct mw_http_setup setup = {
        .address = server->address,
        .setting_name = "--endpoints",
        .source = MW_SOURCE_ENDPOINT,
        .body_max = ANNOUNCE_BYTES_MAX,
        .opaque = server,
        .request = handle_request,
    };

    (void)task;
    server->session = soup_session_new_with_options(
        "max-conns", 4096, "max-conns-per-host", MW_COMMANDS_PER_ENDPOINT_MAX,
        "timeout", 10, "idle-timeout", 30, NULL);
    soup_session_set_proxy_resolver(server->session, NULL);
    server->http = mw_new_http(&setup, &message);
    if (!server->http) {
        mw_post_failed(server->owner, MW_ERR_INVALID, mw_str_from(message));
        g_free(message);
    }
}

static void
endpoint_receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_endpoint_http *server = opaque;

    if (task_msg->kind == MW_TASK_MSG_COMMAND) {
        send_command(server, task_msg);
    }
    else if (task_msg->kind == MW_TASK_MSG_REPLY && server->http) {
        mw_http_reply(server->http, task_msg->handle, task_msg->status,
                      task_msg->text);
    }
}

static void
endpoint_stop(void *opaque)
{
    struct mw_endpoint_http *server = opaque;

    for (guint i = 0; i < server->in_flight->len; i++) {
        struct command_request *request = server->in_flight->pdata[i];

        g_cancellable_cancel(request->cancel);
    }
    soup_session_abort(server->session);
    mw_drop_http(server->http);
    g_object_unref(server->session);
}

struct mw_endpoint_http *
mw_new_endpoint_http(const struct mw_name *address, struct mw_task *owner)
{
    struct mw_endpoint_http *server = g_new0(struct mw_endpoint_http, 1);
    struct mw_task_callbacks work = {
        .opaque = server,
        .start = endpoint_start,
        .receive = endpoint_receive,
        .deadline = endpoint_deadline,
        .tick = endpoint_tick,
        .stop = endpoint_stop,
    };

    server->address = *address;
    server->owner = owner;
    server->in_flight = g_ptr_array_new();
    server->task = mw_new_task_on_thread(owner, &work);
    return server;
}

void
mw_drop_endpoint_http(struct mw_endpoint_http *server)
{
    if (server) {
        mw_drop_task(server->task);
        g_ptr_array_unref(server->in_flight);
        g_free(server);
    }
}

struct mw_task *
mw_endpoint_http_task(struct mw_endpoint_http *server)
{
    return server->task;
}
