#include "endpoint-http.h"

#include <inttypes.h>
#include <string.h>

#include "http-client.h"
#include "http-task.h"

#define ANNOUNCE_BYTES_MAX (1024 * 1024)
#define CONNECTIONS_MAX 4096

struct mw_endpoint_http {
    struct mw_task *task;
    struct mw_task *owner;
    struct mw_name address;
    struct mw_http *http;
    struct mw_context ctx;
    struct mw_http_client *client;
};

/* The request that carries a command to an endpoint. */
struct command_request {
    struct mw_endpoint_http *server;
    struct mw_name control;
    struct mw_report report;
    enum mw_endpoint_command_kind kind;
};

static void
post_command_done(struct command_request *request)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_COMMAND_DONE);

    task_msg->process = request->control;
    task_msg->report = request->report;
    mw_post(request->server->owner, task_msg);
}

static void
read_outcome(struct command_request *request,
             const struct mw_http_response *response)
{
    int outcome =
        mw_parse_outcome(mw_http_response_header(response, "X-MW-Outcome"));

    if (response->status != 200 || outcome < 0) {
        /* of a command that was repeated, the first copy may have been taken
         */
        bool is_open =
            request->kind == MW_COMMAND_QUERY || response->was_repeated;

        request->report.outcome =
            is_open ? MW_OUTCOME_LOST : MW_OUTCOME_REFUSED;
        return;
    }
    request->report.outcome = (enum mw_outcome)outcome;
    if (outcome == MW_OUTCOME_FINISHED || outcome == MW_OUTCOME_FAILED) {
        request->report.output = mw_new_blob(response->body);
    }
}

static void
on_response(void *opaque, void *call_opaque,
            const struct mw_http_response *response)
{
    struct command_request *request = call_opaque;
    bool may_refuse = request->kind == MW_COMMAND_RESERVE ||
                      request->kind == MW_COMMAND_START;

    (void)opaque;
    request->report.outcome = MW_OUTCOME_LOST;
    if (response->outcome == MW_HTTP_RESPONSE) {
        read_outcome(request, response);
    }
    else if (response->outcome == MW_HTTP_REFUSED && may_refuse &&
             !response->was_repeated) {
        /* the command was not sent, so nothing was started */
        request->report.outcome = MW_OUTCOME_REFUSED;
    }
    if (request->kind != MW_COMMAND_FORGET) {
        post_command_done(request);
    }
    else {
        mw_drop_blob(request->report.output);
    }
    g_free(request);
}

static GString *
format_headers(const struct mw_endpoint_command *command)
{
    GString *headers = g_string_new(NULL);

    g_string_append_printf(
        headers,
        "X-MW-Order: %.*s\r\nX-MW-Tasks: %u\r\nX-MW-Accelerators: %u\r\n"
        "X-MW-Processors: %u\r\nX-MW-Memory-MB: %" PRIu64 "\r\n"
        "X-MW-Resume: %" PRIu64 "\r\nX-MW-Checkpoint: %" PRIu64 "\r\n"
        "X-MW-Lease-MS: %" PRId64 "\r\n",
        MW_FMT(mw_command_kind_str(command->kind)), command->tasks,
        command->need.accelerators, command->need.processors,
        (uint64_t)command->need.memory_mb, (uint64_t)command->resume,
        (uint64_t)command->checkpoint, (int64_t)(MW_ENDPOINT_LEASE_US / 1000));
    if (command->kind == MW_COMMAND_START && command->body) {
        g_string_append(headers, "Content-Type: application/octet-stream\r\n");
    }
    return headers;
}

/*
 * The method is PUT because commands are idempotent: a repeated command for
 * an attempt has no further effect.
 */
static void
send_command(struct mw_endpoint_http *server,
             const struct mw_task_msg *task_msg)
{
    const struct mw_endpoint_command *command = &task_msg->command;
    struct command_request *request = g_new0(struct command_request, 1);
    char *id = mw_format_attempt(&command->attempt);
    char *path = g_strconcat("/v1/attempts/", id, NULL);
    GString *headers = format_headers(command);
    struct mw_http_call call = {
        .address = command->address,
        .method = "PUT",
        .path = mw_str_from(path),
        .headers = {headers->str, headers->len},
        .deadline_us = mw_now() + MW_COMMAND_TIMEOUT_US,
        .opaque = request,
    };

    request->server = server;
    request->control = task_msg->process;
    request->kind = command->kind;
    request->report.attempt = command->attempt;
    request->report.endpoint = command->endpoint;
    if (command->kind == MW_COMMAND_START) {
        call.body = mw_blob_str(command->body);
    }
    mw_http_send(server->client, &call);
    g_string_free(headers, TRUE);
    g_free(path);
    g_free(id);
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
    struct mw_http_setup setup = {
        .address = server->address,
        .setting_name = "--endpoints",
        .source = MW_SOURCE_ENDPOINT,
        .body_max = ANNOUNCE_BYTES_MAX,
        .opaque = server,
        .request = handle_request,
    };

    struct mw_http_client_setup client = {
        .opaque = server,
        .response = on_response,
        .connections_per_address_max = MW_COMMANDS_PER_ENDPOINT_MAX,
        .connections_max = CONNECTIONS_MAX,
    };

    (void)task;
    server->client = mw_new_http_client(&client);
    server->http = mw_start_http(&setup, server->owner);
}

static void
endpoint_receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_endpoint_http *server = opaque;

    if (task_msg->kind == MW_TASK_MSG_COMMAND) {
        send_command(server, task_msg);
    }
    else if (task_msg->kind == MW_TASK_MSG_REPLY && server->http) {
        mw_reply_http(server->http, task_msg);
    }
}

static void
endpoint_stop(void *opaque)
{
    struct mw_endpoint_http *server = opaque;

    mw_drop_http_client(server->client);
    mw_drop_http(server->http);
}

struct mw_endpoint_http *
mw_new_endpoint_http(const struct mw_name *address, struct mw_task *owner)
{
    struct mw_endpoint_http *server = g_new0(struct mw_endpoint_http, 1);
    struct mw_task_callbacks work = {
        .opaque = server,
        .start = endpoint_start,
        .receive = endpoint_receive,
        .stop = endpoint_stop,
    };

    server->address = *address;
    server->owner = owner;
    server->task = mw_new_task_on_thread(owner, &work);
    return server;
}

void
mw_drop_endpoint_http(struct mw_endpoint_http *server)
{
    if (server) {
        mw_drop_task(server->task);
        g_free(server);
    }
}

struct mw_task *
mw_endpoint_http_task(struct mw_endpoint_http *server)
{
    return server->task;
}
