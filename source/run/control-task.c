#include "control-task.h"

#include <string.h>

#include "disk.h"
#include "first-ref.h"
#include "operator-http.h"

#define LEAVE_TIMEOUT_US (MW_DRAIN_TIMEOUT_US + 5000000)

struct mw_control_task {
    struct mw_control_task_setup setup;
    struct mw_context ctx;
    struct mw_task *task;
    struct mw_task *links_task;
    struct mw_task *disk_task;
    struct mw_task *operator_task;
    struct mw_links *links;
    struct mw_disk *disk;
    struct mw_operator_http *operators;
    struct mw_control *control;
    struct mw_blob *link_counters;
    GArray *stored;
    bool leaving;
    bool ended;
    int64_t leave_deadline_us;
};

static void
end(struct mw_control_task *t, int error, struct mw_str message)
{
    if (!t->ended) {
        t->ended = true;
        t->setup.ended(t->setup.opaque, error, message);
    }
}

static void
send_to_process(void *opaque, const struct mw_name *to, struct mw_msg *msg)
{
    struct mw_control_task *t = opaque;
    bool self = mw_name_equal(to, &t->setup.control.name);

    mw_post_peer_msg(self ? t->task : t->links_task, to, msg);
}

static void
send_to_role(void *opaque, enum mw_process_role role, struct mw_msg *msg)
{
    struct mw_control_task *t = opaque;

    mw_post_broadcast(t->links_task, role, msg);
}

static void
store(void *opaque, enum mw_group group, const struct mw_stored_item *item)
{
    struct mw_control_task *t = opaque;
    struct mw_stored_blob stored = {
        .group = group, .kind = item->kind, .sequence = item->sequence};

    if (t->disk) {
        stored.blob = mw_encode_stored(item);
    }
    g_array_append_val(t->stored, stored);
}

/* Without a disk, stored items are confirmed immediately. */
static void
confirm_stored(struct mw_control_task *t)
{
    uint64_t last[MW_GROUPS] = {0};

    for (guint i = 0; i < t->stored->len; i++) {
        struct mw_stored_blob *stored =
            &g_array_index(t->stored, struct mw_stored_blob, i);

        last[stored->group] = stored->sequence;
    }
    g_array_set_size(t->stored, 0);
    for (int group = 0; group < MW_GROUPS; group++) {
        struct mw_task_msg *task_msg;

        if (last[group] == 0) {
            continue;
        }
        task_msg = mw_new_task_msg(MW_TASK_MSG_SYNCED);
        task_msg->group = (enum mw_group)group;
        task_msg->sequence = last[group];
        mw_post(t->task, task_msg);
    }
}

/* Posts all items stored in one step to the disk task in one message. */
static void
flush_stored(struct mw_control_task *t)
{
    if (t->stored->len == 0) {
        return;
    }
    if (!t->disk) {
        confirm_stored(t);
        return;
    }
    mw_post_stored(t->disk_task, &t->stored);
}

static int
restore_stored(void *opaque, struct mw_context *ctx, enum mw_group group,
               const struct mw_stored_item *item)
{
    struct mw_control_task *t = opaque;

    return mw_control_restore(ctx, t->control, group, item);
}

static int
open_disk(struct mw_control_task *t)
{
    struct mw_disk_setup setup = {
        .data_dir = t->setup.data_dir,
        .member = t->setup.control.name,
        .ctx = t->ctx,
    };
    struct mw_disk_loader loader = {t, restore_stored};
    uint64_t incarnation = t->setup.control.incarnation[MW_GROUP_ZONE];
    int err = 0;

    t->disk = mw_open_disk(&t->ctx, &setup, &incarnation, &loader, &err);
    return err;
}

static void
start_links(struct mw_control_task *t)
{
    char *message = NULL;
    struct mw_link_setup setup = {
        .name = t->setup.control.name,
        .zone = t->setup.control.zone,
        .role = MW_ROLE_CONTROL,
        .incarnation = t->setup.control.incarnation[MW_GROUP_ZONE],
        .key = t->setup.key,
        .listen = t->setup.listen,
        .dial_count = t->setup.dial_count,
        .owner = t->task,
        .ctx = t->ctx,
    };

    memcpy(setup.dials, t->setup.dials, sizeof setup.dials);
    t->links = mw_new_links(&setup, &message);
    if (!t->links) {
        mw_post_failed(t->task, MW_ERR_INVALID, mw_str_from(message));
        g_free(message);
        return;
    }
    t->links_task = mw_links_task(t->links);
}

static void
start(void *opaque, struct mw_task *task)
{
    struct mw_control_task *t = opaque;
    int err = 0;

    t->task = task;
    t->setup.control.output =
        (struct mw_control_output){t, send_to_process, send_to_role, store};
    t->setup.control.first_ref = mw_draw_first_ref();
    t->setup.control.now_us = mw_now();
    t->control = mw_new_control(&t->setup.control);
    if (t->setup.data_dir.len > 0) {
        err = open_disk(t);
    }
    if (err) {
        mw_post_failed(t->task, err, mw_detail(&t->ctx));
        return;
    }
    if (t->disk) {
        t->disk_task = mw_start_disk(t->disk, task);
    }
    start_links(t);
    if (t->links && t->setup.operator.len> 0) {
        t->operators =
            mw_new_operator_http(&t->setup.operator, t->setup.key, task);
        t->operator_task = mw_operator_http_task(t->operators);
    }
}

static struct mw_blob *
dump(struct mw_control_task *t, struct mw_str what)
{
    struct mw_blob *state = mw_dump_control(t->control, what, mw_now());
    struct mw_str name = mw_name_str(&t->setup.control.name);
    struct mw_str zone = mw_name_str(&t->setup.control.zone);
    char *text = g_strdup_printf(
        "{\"process\": \"%.*s\", \"zone\": \"%.*s\", \"links\": %.*s, "
        "\"tail_cut\": %" G_GUINT64_FORMAT ", \"state\": %.*s}\n",
        MW_FMT(name), MW_FMT(zone),
        MW_FMT(t->link_counters ? mw_blob_str(t->link_counters)
                                : MW_STR("{}")),
        t->disk ? mw_disk_truncated_tail_count(t->disk) : 0,
        MW_FMT(mw_blob_str(state)));
    struct mw_blob *blob = mw_new_blob(mw_str_from(text));

    g_free(text);
    mw_drop_blob(state);
    return blob;
}

static void
handle_status_request(struct mw_control_task *t, struct mw_task_msg *task_msg)
{
    struct mw_task_msg *reply;

    if (task_msg->text) {
        mw_drop_blob(t->link_counters);
        t->link_counters = mw_keep_blob(task_msg->text);
        return;
    }
    struct mw_blob *text = dump(t, mw_name_str(&task_msg->process));

    if (task_msg->handle == 0) {
        mw_write_dump(mw_blob_str(text));
        mw_drop_blob(text);
        return;
    }
    reply = mw_new_task_msg(MW_TASK_MSG_REPLY);
    reply->handle = task_msg->handle;
    reply->status = 200;
    reply->text = text;
    mw_post(t->operator_task, reply);
}

static void
refuse_change(struct mw_control_task *t, const struct mw_task_msg *task_msg)
{
    struct mw_reply content = {
        .error = MW_ERR_INVALID,
        .is_change = true,
        .detail = MW_STR("send changes to an entry process"),
    };
    struct mw_task_msg *reply = mw_new_task_msg(MW_TASK_MSG_REPLY);

    reply->handle = task_msg->handle;
    reply->status = mw_error_http_status(content.error);
    reply->text = mw_format_reply(&content);
    mw_post(t->operator_task, reply);
}

static void
begin_leave(struct mw_control_task *t)
{
    if (!t->leaving) {
        t->leaving = true;
        t->leave_deadline_us = mw_now() + LEAVE_TIMEOUT_US;
        mw_control_leave(&t->ctx, t->control, mw_now());
    }
}

static void
check_leave(struct mw_control_task *t)
{
    if (t->leaving && (mw_control_may_exit(t->control) ||
                       mw_now() >= t->leave_deadline_us)) {
        end(t, 0, MW_STR(""));
    }
}

static void
receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_control_task *t = opaque;

    if (task_msg->kind == MW_TASK_MSG_FAILED) {
        end(t, task_msg->status, mw_blob_str(task_msg->text));
        return;
    }
    if (t->ended || !t->links) {
        return;
    }
    switch (task_msg->kind) {
    case MW_TASK_MSG_PEER:
        mw_control_receive(&t->ctx, t->control, mw_now(), &task_msg->process,
                           task_msg->msg);
        break;
    case MW_TASK_MSG_SYNCED:
        mw_control_synced(&t->ctx, t->control, mw_now(), task_msg->group,
                          task_msg->sequence);
        break;
    case MW_TASK_MSG_DISK:
        mw_emit_event(
            &t->ctx, task_msg->status ? MW_SEVERITY_ERROR : MW_SEVERITY_NOTICE,
            "event=disk state=%s detail=\"%.*s\"",
            task_msg->status ? "refuses_writes" : "writes_again",
            MW_FMT(mw_blob_str(task_msg->text)));
        mw_control_set_writable(&t->ctx, t->control, mw_now(),
                                task_msg->status == 0);
        break;
    case MW_TASK_MSG_LINK:
        mw_emit_event(&t->ctx, MW_SEVERITY_NOTICE,
                      "event=link process=%.*s %s",
                      MW_FMT(mw_name_str(&task_msg->process)),
                      task_msg->connected ? "state=up" : "state=down");
        break;
    case MW_TASK_MSG_REQUEST:
        refuse_change(t, task_msg);
        break;
    case MW_TASK_MSG_STATUS:
        handle_status_request(t, task_msg);
        break;
    case MW_TASK_MSG_LEAVE:
        begin_leave(t);
        break;
    default:
        break;
    }
    flush_stored(t);
}

static void
tick(void *opaque, int64_t now_us)
{
    struct mw_control_task *t = opaque;

    if (t->ended || !t->links) {
        return;
    }
    mw_control_tick(&t->ctx, t->control, now_us);
    if (t->leaving) {
        mw_control_leave(&t->ctx, t->control, now_us);
    }
    flush_stored(t);
    check_leave(t);
}

static int64_t
deadline(void *opaque)
{
    struct mw_control_task *t = opaque;

    if (!t->control || !t->links || t->ended) {
        return INT64_MAX;
    }
    return mw_control_deadline(t->control);
}

static void
stop(void *opaque)
{
    struct mw_control_task *t = opaque;

    mw_drop_operator_http(t->operators);
    mw_drop_links(t->links);
    mw_drop_disk(t->disk);
    mw_drop_control(t->control);
}

struct mw_control_task *
mw_new_control_task(const struct mw_control_task_setup *setup)
{
    struct mw_control_task *t = g_new0(struct mw_control_task, 1);
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
    t->task = mw_new_task("control", &work);
    return t;
}

void
mw_drop_control_task(struct mw_control_task *t)
{
    if (t) {
        mw_drop_task(t->task);
        g_array_unref(t->stored);
        mw_drop_blob(t->link_counters);
        g_free(t);
    }
}

void
mw_control_task_leave(struct mw_control_task *t)
{
    mw_post_leave(t->task);
}

void
mw_control_task_dump(struct mw_control_task *t)
{
    mw_post_dump(t->task);
}
