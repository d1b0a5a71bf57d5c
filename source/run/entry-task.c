#include "entry-task.h"

#include <string.h>

#include "client-http.h"
#include "endpoint-http.h"
#include "first-ref.h"
#include "operator-http.h"

/*
 * In a graceful shutdown the process reports that it is not ready for so long
 * before it closes the listener, then waits for pending requests.
 */
#define NOT_READY_DELAY_US 500000
#define LEAVE_TIMEOUT_US 60000000

struct mw_entry_task {
    struct mw_entry_task_setup setup;
    struct mw_context ctx;
    struct mw_task *task;
    struct mw_links *links;
    struct mw_client_http *clients;
    struct mw_operator_http *operators;
    struct mw_endpoint_http *endpoints;
    struct mw_entry *entry;
    struct mw_blob *link_counters;
    /* commands without an outcome */
    uint64_t pending_commands;
    bool leaving;
    bool listener_closing;
    /* no client request is pending any more */
    bool clients_drained;
    bool ended;
    int64_t close_deadline_us;
    int64_t leave_deadline_us;
};

static void
end(struct mw_entry_task *t, int error, struct mw_str message)
{
    if (!t->ended) {
        t->ended = true;
        t->setup.ended(t->setup.opaque, error, message);
    }
}

static void
send_to_process(void *opaque, const struct mw_name *to, struct mw_msg *msg)
{
    struct mw_entry_task *t = opaque;

    mw_post_peer_msg(mw_links_task(t->links), to, msg);
}

static void
send_to_role(void *opaque, enum mw_process_role role, struct mw_msg *msg)
{
    struct mw_entry_task *t = opaque;

    mw_post_broadcast(mw_links_task(t->links), role, msg);
}

static void
post_reply(struct mw_entry_task *t, uint64_t handle, int status,
           struct mw_blob *text)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_REPLY);

    task_msg->handle = handle;
    task_msg->status = status;
    task_msg->text = text;
    switch (handle % MW_SOURCE_COUNT) {
    case MW_SOURCE_CLIENT:
        mw_post(mw_client_http_task(t->clients), task_msg);
        break;
    case MW_SOURCE_OPERATOR:
        mw_post(mw_operator_http_task(t->operators), task_msg);
        break;
    default:
        mw_post(mw_endpoint_http_task(t->endpoints), task_msg);
        break;
    }
}

static void
reply(void *opaque, uint64_t handle, const struct mw_reply *content)
{
    int status = mw_error_http_status(content->error);

    if (!content->error && !content->is_change &&
        content->state != MW_JOB_DONE) {
        status = 202;
    }
    post_reply(opaque, handle, status, mw_format_reply(content));
}

static void
execute_command(void *opaque, const struct mw_name *control,
                const struct mw_endpoint_command *command)
{
    struct mw_entry_task *t = opaque;
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_COMMAND);

    task_msg->process = *control;
    task_msg->command = *command;
    task_msg->command.body = mw_keep_blob(command->body);
    t->pending_commands += command->kind != MW_COMMAND_FORGET;
    mw_post(mw_endpoint_http_task(t->endpoints), task_msg);
}

static void
start(void *opaque, struct mw_task *task)
{
    struct mw_entry_task *t = opaque;
    char *message = NULL;
    struct mw_entry_setup entry = {
        .name = t->setup.name,
        .zone = t->setup.zone,
        .first_ref = mw_draw_first_ref(),
        .output = {t, send_to_process, send_to_role, reply, execute_command},
    };
    struct mw_link_setup links = {
        .name = t->setup.name,
        .zone = t->setup.zone,
        .role = MW_ROLE_ENTRY,
        .incarnation = (uint64_t)g_get_real_time(),
        .key = t->setup.key,
        .dial_count = t->setup.dial_count,
        .owner = task,
        .ctx = t->ctx,
    };

    t->task = task;
    memcpy(links.dials, t->setup.dials, sizeof links.dials);
    t->entry = mw_new_entry(&entry);
    t->links = mw_new_links(&links, &message);
    t->clients = mw_new_client_http(&t->setup.listen, task);
    t->operators =
        mw_new_operator_http(&t->setup.operator, t->setup.key, task);
    t->endpoints = mw_new_endpoint_http(&t->setup.endpoints, task);
}

static struct mw_blob *
dump(struct mw_entry_task *t)
{
    struct mw_blob *state = mw_dump_entry(t->entry, mw_now());
    char *text = g_strdup_printf(
        "{\"process\": \"%.*s\", \"zone\": \"%.*s\", \"links\": %.*s, "
        "\"state\": %.*s}\n",
        MW_FMT(mw_name_str(&t->setup.name)),
        MW_FMT(mw_name_str(&t->setup.zone)),
        MW_FMT(t->link_counters ? mw_blob_str(t->link_counters)
                                : MW_STR("{}")),
        MW_FMT(mw_blob_str(state)));
    struct mw_blob *blob = mw_new_blob(mw_str_from(text));

    g_free(text);
    mw_drop_blob(state);
    return blob;
}

static void
handle_status_request(struct mw_entry_task *t,
                      const struct mw_task_msg *task_msg)
{
    if (task_msg->text) {
        mw_drop_blob(t->link_counters);
        t->link_counters = mw_keep_blob(task_msg->text);
        return;
    }
    struct mw_blob *text = dump(t);

    if (task_msg->handle != 0) {
        post_reply(t, task_msg->handle, 200, text);
        return;
    }
    mw_write_dump(mw_blob_str(text));
    mw_drop_blob(text);
}

static void
reply_ready(struct mw_entry_task *t, uint64_t handle)
{
    bool ready = mw_entry_is_ready(t->entry, mw_now());

    post_reply(t, handle, ready ? 200 : 503,
               mw_new_blob(ready ? MW_STR("{\"ready\":true}")
                                 : MW_STR("{\"ready\":false}")));
}

static void
handle_request(struct mw_entry_task *t, const struct mw_task_msg *task_msg)
{
    struct mw_str token = mw_name_str(&task_msg->token_hash);
    int64_t now_us = mw_now();

    if (!task_msg->msg) {
        reply_ready(t, task_msg->handle);
        return;
    }
    switch (task_msg->msg->kind) {
    case MW_MSG_SUBMIT:
        mw_entry_submit(&t->ctx, t->entry, now_us, task_msg->handle, token,
                        &task_msg->msg->submit.spec,
                        task_msg->msg->submit.body);
        break;
    case MW_MSG_QUERY:
        mw_entry_query(&t->ctx, t->entry, now_us, task_msg->handle, token,
                       &task_msg->msg->query.key, task_msg->msg->query.cancel,
                       task_msg->msg->query.until_done, task_msg->deadline_us);
        break;
    default:
        mw_entry_change(&t->ctx, t->entry, now_us, task_msg->handle,
                        &task_msg->msg->change);
        break;
    }
}

static void
handle_announcement(struct mw_entry_task *t,
                    const struct mw_task_msg *task_msg)
{
    char text[96];
    int err = mw_entry_announce(&t->ctx, t->entry, mw_now(),
                                &task_msg->msg->announce);

    if (err) {
        struct mw_reply content = {
            .error = err, .is_change = true, .detail = mw_detail(&t->ctx)};

        post_reply(t, task_msg->handle, mw_error_http_status(err),
                   mw_format_reply(&content));
        return;
    }
    int len = g_snprintf(
        text, sizeof text, "{\"lease_ms\":%d,\"epoch\":%" G_GUINT64_FORMAT "}",
        MW_ENDPOINT_LEASE_US / 1000, mw_entry_get_epoch(t->entry));

    post_reply(t, task_msg->handle, 200,
               mw_new_blob((struct mw_str){text, (size_t)len}));
}

static void
handle_link_change(struct mw_entry_task *t, const struct mw_task_msg *task_msg)
{
    mw_emit_event(&t->ctx, MW_SEVERITY_NOTICE, "event=link process=%.*s %s",
                  MW_FMT(mw_name_str(&task_msg->process)),
                  task_msg->connected ? "state=up" : "state=down");
    if (!task_msg->connected) {
        mw_entry_disconnected(&t->ctx, t->entry, mw_now(), &task_msg->process);
    }
}

static void
begin_leave(struct mw_entry_task *t)
{
    if (t->leaving) {
        return;
    }
    t->leaving = true;
    mw_entry_leave(t->entry);
    t->close_deadline_us = mw_now() + NOT_READY_DELAY_US;
    t->leave_deadline_us = mw_now() + LEAVE_TIMEOUT_US;
    mw_emit_event(&t->ctx, MW_SEVERITY_NOTICE, "event=leaving open=%u",
                  mw_entry_pending_count(t->entry));
}

static void
check_leave(struct mw_entry_task *t, int64_t now_us)
{
    if (!t->leaving || t->ended) {
        return;
    }
    if (!t->listener_closing && now_us >= t->close_deadline_us) {
        t->listener_closing = true;
        mw_post_leave(mw_client_http_task(t->clients));
    }
    bool idle = t->clients_drained && mw_entry_pending_count(t->entry) == 0 &&
                t->pending_commands == 0;

    if (idle || now_us >= t->leave_deadline_us) {
        end(t, 0, MW_STR(""));
    }
}

static void
command_done(struct mw_entry_task *t, const struct mw_task_msg *task_msg)
{
    t->pending_commands -= t->pending_commands > 0;
    mw_entry_command_done(t->entry, &task_msg->process, &task_msg->report);
}

static void
receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_entry_task *t = opaque;

    switch (task_msg->kind) {
    case MW_TASK_MSG_PEER:
        mw_entry_receive(&t->ctx, t->entry, mw_now(), &task_msg->process,
                         task_msg->msg);
        break;
    case MW_TASK_MSG_LINK:
        handle_link_change(t, task_msg);
        break;
    case MW_TASK_MSG_REQUEST:
        handle_request(t, task_msg);
        break;
    case MW_TASK_MSG_CLIENT_CLOSED:
        mw_entry_client_closed(t->entry, task_msg->handle);
        break;
    case MW_TASK_MSG_COMMAND_DONE:
        command_done(t, task_msg);
        break;
    case MW_TASK_MSG_ANNOUNCEMENT:
        handle_announcement(t, task_msg);
        break;
    case MW_TASK_MSG_STATUS:
        if (task_msg->handle &&
            mw_str_equal(mw_name_str(&task_msg->process), MW_STR("ready"))) {
            reply_ready(t, task_msg->handle);
        }
        else {
            handle_status_request(t, task_msg);
        }
        break;
    case MW_TASK_MSG_LEAVE:
        if (t->listener_closing) {
            t->clients_drained = true;
        }
        else {
            begin_leave(t);
        }
        break;
    case MW_TASK_MSG_FAILED:
        end(t, task_msg->status, mw_blob_str(task_msg->text));
        break;
    default:
        break;
    }
}

static void
tick(void *opaque, int64_t now_us)
{
    struct mw_entry_task *t = opaque;

    mw_entry_tick(&t->ctx, t->entry, now_us);
    check_leave(t, now_us);
}

static int64_t
deadline(void *opaque)
{
    struct mw_entry_task *t = opaque;

    return t->entry ? mw_entry_deadline(t->entry) : INT64_MAX;
}

static void
stop(void *opaque)
{
    struct mw_entry_task *t = opaque;

    mw_drop_client_http(t->clients);
    mw_drop_operator_http(t->operators);
    mw_drop_endpoint_http(t->endpoints);
    mw_drop_links(t->links);
    mw_drop_entry(t->entry);
}

struct mw_entry_task *
mw_new_entry_task(const struct mw_entry_task_setup *setup)
{
    struct mw_entry_task *t = g_new0(struct mw_entry_task, 1);
    struct mw_task_callbacks work = {
        .opaque = t,
        .start = start,
        .receive = receive,
        .deadline = deadline,
        .tick = tick,
        .stop = stop,
    };

    t->setup = *setup;
    t->ctx = setup->ctx;
    t->task = mw_new_task("entry", &work);
    return t;
}

void
mw_drop_entry_task(struct mw_entry_task *t)
{
    if (t) {
        mw_drop_task(t->task);
        mw_drop_blob(t->link_counters);
        g_free(t);
    }
}

void
mw_entry_task_leave(struct mw_entry_task *t)
{
    mw_post_leave(t->task);
}

void
mw_entry_task_dump(struct mw_entry_task *t)
{
    mw_post_dump(t->task);
}
