#include "endpoint-http.h"

#include <libsoup/soup.h>
#include <string.h>

#include "http.h"

#define ANNOUNCE_BYTES_MAX (1024 * 1024)
#define SWEEP_US 200000

struct mw_endpoint_http {
    struct mw_task *task;
    struct mw_task *owner;
    struct mw_name address;
    struct mw_http *http;
    struct mw_context ctx;
    SoupSession *session;
    GPtrArray *calls;
    int64_t sweep_deadline_us;
};

/* An order on its way. */
struct call {
    struct mw_endpoint_http *owner;
    SoupMessage *message;
    GCancellable *cancel;
    struct mw_name control;
    struct mw_report report;
    enum mw_order_kind kind;
    int64_t deadline_us;
};

static void
set_number(SoupMessageHeaders *headers, const char *name, uint64_t value)
{
    char text[24];

    g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, value);
    soup_message_headers_replace(headers, name, text);
}

/*
 * PUT, since an order under the same name of an attempt has the same effect
 * twice; the library keeps connections for idempotent methods alone.
 */
static SoupMessage *
build_message(const struct mw_order *order)
{
    struct mw_name id = mw_format_attempt(&order->attempt);
    char *url = g_strdup_printf("http://%.*s/v1/attempts/%.*s",
                                MW_FMT(mw_name_str(&order->address)),
                                MW_FMT(mw_name_str(&id)));
    SoupMessage *message = soup_message_new("PUT", url);
    struct mw_str word = mw_order_word(order->kind);
    char text[16];

    g_free(url);
    if (!message) {
        return NULL;
    }
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);

    g_snprintf(text, sizeof text, "%.*s", MW_FMT(word));
    soup_message_headers_replace(headers, "X-MW-Order", text);
    set_number(headers, "X-MW-Tasks", order->tasks);
    set_number(headers, "X-MW-Accelerators", order->need.accelerators);
    set_number(headers, "X-MW-Processors", order->need.processors);
    set_number(headers, "X-MW-Memory-MB", order->need.memory_mb);
    set_number(headers, "X-MW-Resume", order->resume);
    set_number(headers, "X-MW-Checkpoint", order->checkpoint);
    set_number(headers, "X-MW-Lease-MS", MW_ENDPOINT_LEASE_US / 1000);
    if (order->kind == MW_ORDER_START && order->body) {
        GBytes *bytes = g_bytes_new_with_free_func(
            order->body->ptr, order->body->len, (GDestroyNotify)mw_drop_blob,
            mw_keep_blob(order->body));

        soup_message_set_request_body_from_bytes(
            message, "application/octet-stream", bytes);
        g_bytes_unref(bytes);
    }
    return message;
}

static void
free_call(struct call *call)
{
    g_clear_object(&call->message);
    g_object_unref(call->cancel);
    mw_drop_blob(call->report.output);
    g_free(call);
}

static void
post_called(struct call *call)
{
    struct mw_mail *task_msg = mw_new_mail(MW_TASK_MSG_COMMAND_DONE);

    task_msg->process = call->control;
    task_msg->report = call->report;
    task_msg->report.output = mw_keep_blob(call->report.output);
    mw_post(call->owner->owner, task_msg);
}

static void
read_outcome(struct call *call, GBytes *body)
{
    SoupMessageHeaders *headers =
        soup_message_get_response_headers(call->message);
    struct mw_str word =
        mw_str_from(soup_message_headers_get_one(headers, "X-MW-Outcome"));
    int outcome = mw_parse_outcome(word);

    if (soup_message_get_status(call->message) != 200 || outcome < 0) {
        call->report.outcome =
            call->kind == MW_ORDER_ASK ? MW_OUTCOME_LOST : MW_OUTCOME_REFUSED;
        return;
    }
    call->report.outcome = (enum mw_outcome)outcome;
    if (outcome == MW_OUTCOME_FINISHED || outcome == MW_OUTCOME_FAILED) {
        struct mw_str text;

        text.ptr = g_bytes_get_data(body, &text.len);
        call->report.output = mw_new_blob(text);
    }
}

static void
called(GObject *object, GAsyncResult *result, gpointer data)
{
    struct call *call = data;
    GError *error = NULL;
    GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(object),
                                                     result, &error);

    g_ptr_array_remove_fast(call->owner->calls, call);
    call->report.outcome = MW_OUTCOME_LOST;
    if (body) {
        read_outcome(call, body);
        g_bytes_unref(body);
    }
    else if (g_error_matches(error, G_IO_ERROR,
                             G_IO_ERROR_CONNECTION_REFUSED)) {
        /* nothing was sent, so nothing was started */
        call->report.outcome =
            call->kind == MW_ORDER_RESERVE || call->kind == MW_ORDER_START
                ? MW_OUTCOME_REFUSED
                : MW_OUTCOME_LOST;
    }
    g_clear_error(&error);
    if (call->kind != MW_ORDER_FORGET) {
        post_called(call);
    }
    free_call(call);
}

static void
carry_out(struct mw_endpoint_http *ep, const struct mw_mail *task_msg)
{
    struct call *call = g_new0(struct call, 1);

    call->owner = ep;
    call->control = task_msg->process;
    call->kind = task_msg->command.kind;
    call->report.attempt = task_msg->command.attempt;
    call->report.endpoint = task_msg->command.endpoint;
    call->cancel = g_cancellable_new();
    call->deadline_us = mw_now() + MW_COMMAND_TIMEOUT_US;
    call->message = build_message(&task_msg->command);
    if (!call->message) {
        call->report.outcome = MW_OUTCOME_REFUSED;
        post_called(call);
        free_call(call);
        return;
    }
    g_ptr_array_add(ep->calls, call);
    soup_session_send_and_read_async(ep->session, call->message,
                                     G_PRIORITY_DEFAULT, call->cancel, called,
                                     call);
}

static void
endpoint_tick(void *opaque, int64_t now_us)
{
    struct mw_endpoint_http *ep = opaque;

    ep->sweep_deadline_us = now_us + SWEEP_US;
    for (guint i = ep->calls->len; i > 0; i--) {
        struct call *call = ep->calls->pdata[i - 1];

        if (now_us >= call->deadline_us) {
            g_cancellable_cancel(call->cancel);
        }
    }
}

static int64_t
endpoint_deadline(void *opaque)
{
    struct mw_endpoint_http *ep = opaque;

    return ep->calls->len > 0 ? ep->sweep_deadline_us : INT64_MAX;
}

static void
handle_request(void *opaque, const struct mw_http_request *request)
{
    struct mw_endpoint_http *ep = opaque;
    struct mw_msg *msg = mw_new_msg(MW_MSG_ANNOUNCE);
    int err;

    if (!mw_str_equal(request->path, MW_STR("/v1/endpoints")) ||
        !mw_str_equal(request->method, MW_STR("POST"))) {
        err = mw_fail(&ep->ctx, MW_ERR_INVALID, "path: POST /v1/endpoints");
    }
    else {
        err = mw_parse_announce(&ep->ctx, request->body, &msg->announce);
    }
    if (err) {
        mw_drop_msg(msg);
        mw_http_refuse(ep->http, request->handle, err, mw_detail(&ep->ctx));
        return;
    }
    struct mw_mail *task_msg = mw_new_mail(MW_TASK_MSG_ANNOUNCEMENT);

    task_msg->handle = request->handle;
    task_msg->msg = msg;
    mw_post(ep->owner, task_msg);
}

static void
endpoint_start(void *opaque, struct mw_task *task)
{
    struct mw_endpoint_http *ep = opaque;
    char *message = NULL;
    struct mw_http_setup setup = {
        .address = ep->address,
        .setting = "--endpoints",
        .source = MW_FROM_ENDPOINT,
        .body_max = ANNOUNCE_BYTES_MAX,
        .opaque = ep,
        .request = handle_request,
    };

    (void)task;
    ep->session = soup_session_new_with_options(
        "max-conns", 4096, "max-conns-per-host", MW_COMMANDS_PER_ENDPOINT_MAX,
        "timeout", 10, "idle-timeout", 30, NULL);
    soup_session_set_proxy_resolver(ep->session, NULL);
    ep->http = mw_new_http(&setup, &message);
    if (!ep->http) {
        mw_post_failed(ep->owner, MW_ERR_INVALID, mw_str_from(message));
        g_free(message);
    }
}

static void
endpoint_mail(void *opaque, struct mw_mail *task_msg)
{
    struct mw_endpoint_http *ep = opaque;

    if (task_msg->kind == MW_TASK_MSG_COMMAND) {
        carry_out(ep, task_msg);
    }
    else if (task_msg->kind == MW_TASK_MSG_REPLY && ep->http) {
        mw_http_reply(ep->http, task_msg->handle, task_msg->status,
                      task_msg->text);
    }
}

static void
endpoint_stop(void *opaque)
{
    struct mw_endpoint_http *ep = opaque;

    for (guint i = 0; i < ep->calls->len; i++) {
        struct call *call = ep->calls->pdata[i];

        g_cancellable_cancel(call->cancel);
    }
    soup_session_abort(ep->session);
    mw_drop_http(ep->http);
    g_object_unref(ep->session);
}

struct mw_endpoint_http *
mw_new_endpoint_http(const struct mw_name *address, struct mw_task *owner)
{
    struct mw_endpoint_http *ep = g_new0(struct mw_endpoint_http, 1);
    struct mw_task_work work = {
        .opaque = ep,
        .start = endpoint_start,
        .mail = endpoint_mail,
        .deadline = endpoint_deadline,
        .tick = endpoint_tick,
        .stop = endpoint_stop,
    };

    ep->address = *address;
    ep->owner = owner;
    ep->calls = g_ptr_array_new();
    ep->task = mw_new_task_on_thread(owner, &work);
    return ep;
}

void
mw_drop_endpoint_http(struct mw_endpoint_http *ep)
{
    if (ep) {
        mw_drop_task(ep->task);
        g_ptr_array_unref(ep->calls);
        g_free(ep);
    }
}

struct mw_task *
mw_endpoint_http_task(struct mw_endpoint_http *ep)
{
    return ep->task;
}
