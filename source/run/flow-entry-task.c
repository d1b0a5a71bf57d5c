#include "flow-entry-task.h"

#include <inttypes.h>

#include "first-ref.h"
#include "flow-metrics.h"
#include "region-process.h"

#define HEARTBEAT_INTERVAL_US 500000
#define LEAVE_CHECK_INTERVAL_US 100000
/* no client has sent anything for this long: none is about to */
#define LEAVE_QUIET_US 1000000
/* from the last replies to the end, for clients to receive them */
#define LEAVE_LAST_REPLIES_US 400000

struct mw_flow_entry_task {
    struct mw_flow_entry_task_setup setup;
    struct mw_context ctx;
    struct mw_task *task;
    struct mw_region_process process;
    struct mw_flow_entry *entry;
    bool started;
    bool leaving;
    /* all requests have their replies; new ones are refused */
    bool ending;
    int64_t heartbeat_deadline_us;
    /* when the process may end: if no client is active, and in any case */
    int64_t leave_from_us;
    int64_t leave_deadline_us;
    /* when it ends unless bytes are still unsent */
    int64_t ending_deadline_us;
    int64_t leave_check_deadline_us;
};

static void
send_to_process(void *opaque, const struct mw_name *to, struct mw_msg *msg)
{
    struct mw_flow_entry_task *t = opaque;

    mw_post_peer_msg(t->process.links_task, to, msg);
}

static void
reply(void *opaque, const struct mw_flow_reply *flow_reply)
{
    struct mw_flow_entry_task *t = opaque;

    t->setup.server.reply(t->setup.server.opaque, flow_reply);
}

static void
log_event(void *opaque, const struct mw_flow_event *flow_event)
{
    struct mw_flow_entry_task *t = opaque;

    mw_event_log_write(t->process.log, mw_now(), flow_event);
}

static void
dial_seeds(struct mw_flow_entry_task *t)
{
    for (uint32_t i = 0; i < t->setup.seed_count; i++) {
        mw_dial_region_process(&t->process, &t->setup.seeds[i]);
    }
}

static void
fail_to_start(struct mw_flow_entry_task *t, char *message)
{
    mw_post_failed(t->task, MW_ERR_INVALID, mw_str_from(message));
    g_free(message);
}

static void
start(void *opaque, struct mw_task *task)
{
    struct mw_flow_entry_task *t = opaque;
    struct mw_flow_entry_output output = {t, send_to_process, reply,
                                          log_event};
    struct mw_region_process_setup process = {
        .name = t->setup.name,
        .zone = t->setup.zone,
        .role = MW_ROLE_ENTRY,
        .link_port = t->setup.link_port,
        .ctx = t->ctx,
        .opaque = t->setup.opaque,
        .ended = t->setup.ended,
    };
    char *message = NULL;

    t->task = task;
    t->entry = mw_new_flow_entry(&output, &t->setup.name, mw_draw_first_ref());
    t->heartbeat_deadline_us = mw_now();
    if (!mw_start_region_process(&t->process, &process, task, &message)) {
        fail_to_start(t, message);
        return;
    }
    dial_seeds(t);
    if (!t->setup.server.start(t->setup.server.opaque, t, &message)) {
        fail_to_start(t, message);
        return;
    }
    t->started = true;
    mw_flush_event_log(t->process.log, mw_now());
}

static void
handle_message(struct mw_flow_entry_task *t, struct mw_task_msg *task_msg)
{
    if (task_msg->msg->kind == MW_MSG_HEARTBEAT) {
        const struct mw_heartbeat *heartbeat = &task_msg->msg->heartbeat;

        for (uint32_t i = 0; i < heartbeat->member_count; i++) {
            mw_dial_region_process(&t->process, &heartbeat->members[i]);
        }
    }
    mw_flow_entry_receive(t->entry, mw_now(), &task_msg->process,
                          task_msg->msg);
}

static void
begin_leave(struct mw_flow_entry_task *t)
{
    if (t->leaving) {
        return;
    }
    t->leaving = true;
    t->leave_from_us = mw_now() + t->setup.leave_min_us;
    t->leave_deadline_us = mw_now() + t->setup.leave_max_us;
    mw_event_log_write_change(t->process.log, mw_now(), "leave", MW_STR(""),
                              "begun");
    t->setup.server.leave(t->setup.server.opaque);
}

static void
dump(struct mw_flow_entry_task *t)
{
    GString *text = mw_flow_entry_task_format_metrics(t);

    mw_write_dump((struct mw_str){text->str, text->len});
    g_string_free(text, TRUE);
}

static void
receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_flow_entry_task *t = opaque;

    if (task_msg->kind == MW_TASK_MSG_FAILED) {
        mw_end_region_process(&t->process, task_msg->status,
                              mw_blob_str(task_msg->text));
        return;
    }
    if (t->process.ended || !t->started) {
        return;
    }
    switch (task_msg->kind) {
    case MW_TASK_MSG_PEER:
        handle_message(t, task_msg);
        break;
    case MW_TASK_MSG_LINK:
        mw_log_link_change(&t->process, task_msg);
        if (!task_msg->connected) {
            mw_flow_entry_disconnected(t->entry, mw_now(), &task_msg->process);
        }
        break;
    case MW_TASK_MSG_STATUS:
        if (!task_msg->text) {
            dump(t);
        }
        break;
    case MW_TASK_MSG_DIAL:
        mw_dial_region_process(&t->process, &task_msg->process);
        break;
    case MW_TASK_MSG_LEAVE:
        begin_leave(t);
        break;
    default:
        break;
    }
}

static void
send_heartbeat(struct mw_flow_entry_task *t, int64_t now_us)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_BROADCAST);

    task_msg->role = MW_ROLE_CONTROL;
    task_msg->msg = mw_new_msg(MW_MSG_HEARTBEAT);
    task_msg->msg->heartbeat.role = MW_ROLE_ENTRY;
    task_msg->msg->heartbeat.zone = t->setup.zone;
    mw_post(t->process.links_task, task_msg);
    t->heartbeat_deadline_us = now_us + HEARTBEAT_INTERVAL_US;
}

/*
 * Whether no request is to be expected any more, or it is time for the last
 * replies.  A client may send a request at any time on a connection that is
 * open, so there must have been none for a while.
 */
static bool
may_stop_serving(const struct mw_flow_entry_task *t, int64_t now_us,
                 const struct mw_http_activity *activity)
{
    if (now_us >= t->leave_deadline_us - LEAVE_LAST_REPLIES_US) {
        return true;
    }
    return now_us >= t->leave_from_us && activity->pending_count == 0 &&
           (activity->open_count == 0 ||
            now_us - activity->last_received_us >= LEAVE_QUIET_US);
}

static bool
may_end(const struct mw_flow_entry_task *t, int64_t now_us,
        const struct mw_http_activity *activity)
{
    return now_us >= t->leave_deadline_us || activity->connection_count == 0 ||
           (now_us >= t->ending_deadline_us && activity->unsent_bytes == 0);
}

static void
continue_leave(struct mw_flow_entry_task *t, int64_t now_us)
{
    struct mw_http_activity activity =
        t->setup.server.get_activity(t->setup.server.opaque);

    if (!t->ending && may_stop_serving(t, now_us, &activity)) {
        t->ending = true;
        t->ending_deadline_us = now_us + LEAVE_LAST_REPLIES_US;
        mw_flow_entry_end(t->entry, now_us);
        t->setup.server.stop_listening(t->setup.server.opaque);
        activity = t->setup.server.get_activity(t->setup.server.opaque);
    }
    if (t->ending && may_end(t, now_us, &activity)) {
        mw_end_region_process(&t->process, 0, MW_STR(""));
    }
}

static void
tick(void *opaque, int64_t now_us)
{
    struct mw_flow_entry_task *t = opaque;

    if (t->process.ended || !t->started) {
        return;
    }
    mw_flow_entry_tick(t->entry, now_us);
    if (now_us >= t->heartbeat_deadline_us) {
        send_heartbeat(t, now_us);
    }
    if (t->leaving && now_us >= t->leave_check_deadline_us) {
        t->leave_check_deadline_us = now_us + LEAVE_CHECK_INTERVAL_US;
        continue_leave(t, now_us);
    }
    mw_flush_event_log(t->process.log, now_us);
}

static int64_t
deadline(void *opaque)
{
    struct mw_flow_entry_task *t = opaque;
    int64_t due_us = t->heartbeat_deadline_us;

    if (t->process.ended || !t->started) {
        return INT64_MAX;
    }
    if (t->leaving) {
        due_us = MIN(due_us, t->leave_check_deadline_us);
    }
    return MIN(due_us, mw_flow_entry_deadline(t->entry));
}

static void
stop(void *opaque)
{
    struct mw_flow_entry_task *t = opaque;

    if (t->started) {
        t->setup.server.stop(t->setup.server.opaque);
    }
    mw_stop_region_process(&t->process);
    mw_drop_flow_entry(t->entry);
}

struct mw_flow_entry_task *
mw_new_flow_entry_task(const struct mw_flow_entry_task_setup *setup)
{
    struct mw_flow_entry_task *t = g_new0(struct mw_flow_entry_task, 1);
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
    t->task = mw_new_task("flow-entry", &work);
    return t;
}

void
mw_drop_flow_entry_task(struct mw_flow_entry_task *t)
{
    if (t) {
        mw_drop_task(t->task);
        g_free(t);
    }
}

void
mw_flow_entry_task_dump(struct mw_flow_entry_task *t)
{
    mw_post_dump(t->task);
}

void
mw_flow_entry_task_leave(struct mw_flow_entry_task *t)
{
    mw_post_leave(t->task);
}

void
mw_flow_entry_task_request(struct mw_flow_entry_task *t,
                           const struct mw_flow_request *request,
                           int64_t deadline_us)
{
    mw_flow_entry_request(t->entry, mw_now(), request, deadline_us);
}

void
mw_flow_entry_task_client_closed(struct mw_flow_entry_task *t, uint64_t ref)
{
    mw_flow_entry_client_closed(t->entry, ref);
}

bool
mw_flow_entry_task_is_ready(const struct mw_flow_entry_task *t)
{
    return !t->leaving && mw_flow_entry_is_ready(t->entry, mw_now());
}

void
mw_flow_entry_task_add_seed(struct mw_flow_entry_task *t,
                            const struct mw_name *seed)
{
    mw_post_dial(t->task, seed);
}

GString *
mw_flow_entry_task_format_metrics(struct mw_flow_entry_task *t)
{
    const struct mw_flow_entry_counters *c =
        mw_flow_entry_get_counters(t->entry);
    GString *out = g_string_new(NULL);

    g_string_append_printf(
        out,
        "mimosawind_requests %" PRIu64 "\nmimosawind_refused %" PRIu64
        "\nmimosawind_handed_again %" PRIu64 "\nmimosawind_timed_out %" PRIu64
        "\nmimosawind_late_replies %" PRIu64 "\nmimosawind_leaders %" PRIu64
        "\nmimosawind_open %u\nmimosawind_ready %d\n"
        "mimosawind_log_lines_dropped %" PRIu64 "\n",
        c->requests, c->refused, c->handed_again, c->timed_out,
        c->late_replies, c->leaders, mw_flow_entry_pending_count(t->entry),
        mw_flow_entry_task_is_ready(t),
        mw_event_log_get_drops(t->process.log).lines);
    mw_add_refusals_by_delay(out, "refused_by_delay", c->refused_by_delay);
    return out;
}
