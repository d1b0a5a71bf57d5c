#include "flow-control-task-impl.h"

#include "flow-metrics.h"

#define LEAVE_TIMEOUT_US 3000000

static void
post_start_failure(struct mw_flow_control_task *t, int error, char *message)
{
    mw_post_failed(t->task, error,
                   message ? mw_str_from(message) : mw_detail(&t->ctx));
    g_free(message);
}

static void
start(void *opaque, struct mw_task *task)
{
    struct mw_flow_control_task *t = opaque;
    struct mw_region_process_setup process = {
        .name = t->setup.name,
        .zone = t->setup.zone,
        .role = MW_ROLE_CONTROL,
        .link_port = t->setup.link_port,
        .ctx = t->ctx,
        .opaque = t->setup.opaque,
        .ended = t->setup.ended,
    };
    char *message = NULL;
    int err;

    t->task = task;
    if (!mw_start_region_process(&t->process, &process, task, &message)) {
        post_start_failure(t, MW_ERR_INVALID, message);
        return;
    }
    err = mw_open_member_state(t);
    if (err) {
        post_start_failure(t, err, NULL);
        return;
    }
    mw_dial_known_processes(t);
    if (!t->setup.server.start(t->setup.server.opaque, t, &message)) {
        post_start_failure(t, MW_ERR_INVALID, message);
        return;
    }
    t->started = true;
    mw_flush_event_log(t->process.log, mw_now());
}

/*
 * Any member's list is used: a standby whose seeds have all been replaced, or
 * do not lead, reaches the leader only through them.
 */
static void
dial_listed_members(struct mw_flow_control_task *t,
                    const struct mw_heartbeat *heartbeat)
{
    for (uint32_t i = 0; i < heartbeat->member_count; i++) {
        mw_dial_process(t, &heartbeat->members[i]);
    }
}

static void
handle_message(struct mw_flow_control_task *t, struct mw_task_msg *task_msg)
{
    mw_flow_control_receive(&t->ctx, t->control, mw_now(), g_get_real_time(),
                            &task_msg->process, task_msg->msg);
    if (task_msg->msg->kind == MW_MSG_HEARTBEAT &&
        task_msg->msg->heartbeat.member_count > 0) {
        mw_check_membership(t);
        mw_dial_known_processes(t);
        dial_listed_members(t, &task_msg->msg->heartbeat);
    }
}

static void
handle_link_state(struct mw_flow_control_task *t,
                  const struct mw_task_msg *task_msg)
{
    if (task_msg->role == MW_ROLE_CONTROL) {
        mw_log_link_change(&t->process, task_msg);
    }
    if (task_msg->connected) {
        mw_flow_control_connected(t->control, mw_now(), &task_msg->process);
    }
    else {
        mw_flow_control_disconnected(t->control, mw_now(), &task_msg->process);
    }
}

static void
begin_leave(struct mw_flow_control_task *t)
{
    if (!t->leaving) {
        t->leaving = true;
        t->leave_deadline_us = mw_now() + LEAVE_TIMEOUT_US;
        mw_event_log_write_change(t->process.log, mw_now(), "leave",
                                  MW_STR(""), "begun");
    }
}

static void
dump(struct mw_flow_control_task *t)
{
    GString *text = mw_flow_control_task_format_metrics(t);

    mw_write_dump((struct mw_str){text->str, text->len});
    g_string_free(text, TRUE);
}

static void
receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_flow_control_task *t = opaque;

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
    case MW_TASK_MSG_SYNCED:
        mw_flow_control_synced(&t->ctx, t->control, mw_now(),
                               task_msg->sequence);
        break;
    case MW_TASK_MSG_DISK:
        mw_report_disk(t, task_msg->status, mw_blob_str(task_msg->text));
        mw_flow_control_set_writable(&t->ctx, t->control, mw_now(),
                                     task_msg->status == 0);
        break;
    case MW_TASK_MSG_LINK:
        handle_link_state(t, task_msg);
        break;
    case MW_TASK_MSG_STATUS:
        if (!task_msg->text) {
            dump(t);
        }
        break;
    case MW_TASK_MSG_DIAL:
        mw_dial_process(t, &task_msg->process);
        break;
    case MW_TASK_MSG_LEAVE:
        begin_leave(t);
        break;
    default:
        break;
    }
    mw_flush_stored(t);
}

static void
check_leave(struct mw_flow_control_task *t, int64_t now_us)
{
    bool may_exit;

    if (!t->leaving) {
        return;
    }
    may_exit = mw_flow_control_leave(t->control, now_us);
    if (may_exit || now_us >= t->leave_deadline_us) {
        mw_end_region_process(&t->process, 0, MW_STR(""));
    }
}

static void
tick(void *opaque, int64_t now_us)
{
    struct mw_flow_control_task *t = opaque;

    if (t->process.ended || !t->started) {
        return;
    }
    mw_reopen_member_state(t, now_us);
    mw_flow_control_tick(&t->ctx, t->control, now_us, g_get_real_time());
    mw_flush_stored(t);
    mw_report_snapshots(t);
    check_leave(t, now_us);
    mw_flush_event_log(t->process.log, now_us);
}

static int64_t
deadline(void *opaque)
{
    struct mw_flow_control_task *t = opaque;

    if (t->process.ended || !t->started) {
        return INT64_MAX;
    }
    return mw_flow_control_deadline(t->control);
}

static void
stop(void *opaque)
{
    struct mw_flow_control_task *t = opaque;

    if (t->started) {
        t->setup.server.stop(t->setup.server.opaque);
    }
    mw_stop_region_process(&t->process);
    mw_drop_disk(t->disk);
    mw_drop_flow_control(t->control);
}

struct mw_flow_control_task *
mw_new_flow_control_task(const struct mw_flow_control_task_setup *setup)
{
    struct mw_flow_control_task *t = g_new0(struct mw_flow_control_task, 1);
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
    t->stored = mw_new_stored_list();
    t->task = mw_new_task("flow-control", &work);
    return t;
}

void
mw_drop_flow_control_task(struct mw_flow_control_task *t)
{
    if (t) {
        mw_drop_task(t->task);
        g_array_unref(t->stored);
        g_free(t);
    }
}

void
mw_flow_control_task_dump(struct mw_flow_control_task *t)
{
    mw_post_dump(t->task);
}

void
mw_flow_control_task_leave(struct mw_flow_control_task *t)
{
    mw_post_leave(t->task);
}

void
mw_flow_control_task_request(struct mw_flow_control_task *t,
                             const struct mw_flow_request *request)
{
    mw_flow_control_request(&t->ctx, t->control, mw_now(), g_get_real_time(),
                            request);
    mw_flush_stored(t);
}

int
mw_flow_control_task_handle_heartbeat(struct mw_flow_control_task *t,
                                      const struct mw_flow_heartbeat *beat,
                                      uint64_t ref)
{
    int err =
        mw_flow_control_handle_heartbeat(t->control, mw_now(), beat, ref);

    mw_flush_stored(t);
    return err;
}

void
mw_flow_control_task_handle_response(struct mw_flow_control_task *t,
                                     const struct mw_flow_response *answer)
{
    mw_flow_control_handle_response(t->control, mw_now(), answer);
    mw_flush_stored(t);
}

bool
mw_flow_control_task_is_leader(struct mw_flow_control_task *t)
{
    return mw_flow_control_is_leader(t->control, mw_now());
}

struct mw_name
mw_flow_control_task_get_leader(struct mw_flow_control_task *t)
{
    return mw_flow_control_leader(t->control, mw_now());
}

struct mw_name
mw_flow_control_task_get_heartbeat_target(
    struct mw_flow_control_task *t, const struct mw_flow_heartbeat *heartbeat)
{
    return mw_flow_control_heartbeat_target(t->control, mw_now(), heartbeat);
}

void
mw_flow_control_task_add_seed(struct mw_flow_control_task *t,
                              const struct mw_name *seed)
{
    mw_post_dial(t->task, seed);
}

struct mw_event_log *
mw_flow_control_task_get_event_log(struct mw_flow_control_task *t)
{
    return t->process.log;
}

GString *
mw_flow_control_task_format_metrics(struct mw_flow_control_task *t)
{
    struct mw_event_log_drops drops = mw_event_log_get_drops(t->process.log);

    return mw_format_flow_metrics(t->control, &drops);
}
