#include "task.h"

#include <time.h>
#include <unistd.h>

#define BATCH_MAX 256

struct mw_task {
    struct mw_task_callbacks work;
    struct mw_task *host;
    GThread *thread;
    GMainContext *context;
    GMainLoop *loop;
    GAsyncQueue *mailbox;
    GSource *source;
    int ending;
};

struct mailbox_source {
    GSource base;
    struct mw_task *task;
};

/*
 * CLOCK_BOOTTIME counts time in suspend: a lease must also expire while its
 * VM is suspended.
 */
int64_t
mw_now(void)
{
    struct timespec at;

    clock_gettime(CLOCK_BOOTTIME, &at);
    return (int64_t)at.tv_sec * 1000000 + at.tv_nsec / 1000;
}

/*
 * Converts a deadline to the clock of the main loop, which does not advance
 * in suspend.
 */
static int64_t
to_loop_time(int64_t deadline_us)
{
    if (deadline_us == INT64_MAX) {
        return -1;
    }
    return MAX(g_get_monotonic_time() + deadline_us - mw_now(), 0);
}

struct mw_task_msg *
mw_new_task_msg(enum mw_task_msg_kind kind)
{
    struct mw_task_msg *task_msg = g_new0(struct mw_task_msg, 1);

    task_msg->kind = kind;
    return task_msg;
}

void
mw_drop_task_msg(struct mw_task_msg *task_msg)
{
    for (guint i = 0; task_msg->stored && i < task_msg->stored->len; i++) {
        mw_drop_blob(
            g_array_index(task_msg->stored, struct mw_stored_blob, i).blob);
    }
    g_clear_pointer(&task_msg->stored, g_array_unref);
    mw_drop_msg(task_msg->msg);
    mw_drop_blob(task_msg->text);
    mw_drop_blob(task_msg->command.body);
    mw_drop_blob(task_msg->report.output);
    g_free(task_msg);
}

static gboolean
mailbox_prepare(GSource *source, gint *timeout)
{
    struct mw_task *task = ((struct mailbox_source *)source)->task;

    *timeout = -1;
    return g_async_queue_length(task->mailbox) > 0;
}

static gboolean
mailbox_check(GSource *source)
{
    struct mw_task *task = ((struct mailbox_source *)source)->task;

    return g_async_queue_length(task->mailbox) > 0;
}

void
mw_task_update_timer(struct mw_task *task)
{
    int64_t deadline = INT64_MAX;

    if (task->work.deadline) {
        deadline = task->work.deadline(task->work.opaque);
    }
    g_source_set_ready_time(task->source, to_loop_time(deadline));
}

static void
run_batch(struct mw_task *task)
{
    for (int i = 0; i < BATCH_MAX; i++) {
        struct mw_task_msg *task_msg = g_async_queue_try_pop(task->mailbox);

        if (!task_msg) {
            break;
        }
        task->work.receive(task->work.opaque, task_msg);
        mw_drop_task_msg(task_msg);
    }
    if (task->work.batch) {
        task->work.batch(task->work.opaque);
    }
}

static gboolean
mailbox_dispatch(GSource *source, GSourceFunc callback, gpointer data)
{
    struct mw_task *task = ((struct mailbox_source *)source)->task;

    (void)callback;
    (void)data;
    run_batch(task);
    if (task->work.deadline && task->work.tick &&
        mw_now() >= task->work.deadline(task->work.opaque)) {
        task->work.tick(task->work.opaque, mw_now());
    }
    mw_task_update_timer(task);
    if (task->loop && g_atomic_int_get(&task->ending) &&
        g_async_queue_length(task->mailbox) <= 0) {
        g_main_loop_quit(task->loop);
    }
    return G_SOURCE_CONTINUE;
}

/* with fewer sockets a loop iteration is cheap enough */
#define COALESCE_SOCKETS_MIN 150
#define COALESCE_US_PER_SOCKET 2
#define COALESCE_US_MAX 2000

static gint
poll_coalesced(GPollFD *fds, guint count, gint timeout_ms)
{
    gulong wait_us = MIN(count * COALESCE_US_PER_SOCKET, COALESCE_US_MAX);

    if (count >= COALESCE_SOCKETS_MIN) {
        g_usleep(wait_us);
        if (timeout_ms > 0) {
            timeout_ms = MAX(timeout_ms - (gint)(wait_us / 1000), 0);
        }
    }
    return g_poll(fds, count, timeout_ms);
}

void
mw_task_coalesce_polls(struct mw_task *task)
{
    g_main_context_set_poll_func(task->context, poll_coalesced);
}

static GSourceFuncs mailbox_funcs = {
    .prepare = mailbox_prepare,
    .check = mailbox_check,
    .dispatch = mailbox_dispatch,
};

static gpointer
run_task(gpointer data)
{
    struct mw_task *task = data;

    g_main_context_push_thread_default(task->context);
    if (task->work.start) {
        task->work.start(task->work.opaque, task);
    }
    mw_task_update_timer(task);
    g_main_loop_run(task->loop);
    if (task->work.stop) {
        task->work.stop(task->work.opaque);
    }
    while (g_main_context_iteration(task->context, FALSE)) {
        /* complete the pending closes of sockets */
    }
    g_main_context_pop_thread_default(task->context);
    return NULL;
}

static struct mw_task *
alloc_task(const struct mw_task_callbacks *work, GMainContext *context)
{
    struct mw_task *task = g_new0(struct mw_task, 1);

    task->work = *work;
    task->context = context;
    task->mailbox = g_async_queue_new();
    task->source = g_source_new(&mailbox_funcs, sizeof(struct mailbox_source));
    ((struct mailbox_source *)task->source)->task = task;
    g_source_attach(task->source, task->context);
    return task;
}

struct mw_task *
mw_new_task(const char *name, const struct mw_task_callbacks *work)
{
    struct mw_task *task = alloc_task(work, g_main_context_new());

    task->loop = g_main_loop_new(task->context, FALSE);
    task->thread = g_thread_new(name, run_task, task);
    return task;
}

struct mw_task *
mw_new_task_on_thread(struct mw_task *host,
                      const struct mw_task_callbacks *work)
{
    struct mw_task *task = alloc_task(work, g_main_context_ref(host->context));

    task->host = host;
    if (work->start) {
        work->start(work->opaque, task);
    }
    mw_task_update_timer(task);
    return task;
}

static void
end_thread(struct mw_task *task)
{
    g_atomic_int_set(&task->ending, 1);
    g_source_set_ready_time(task->source, 0);
    g_thread_join(task->thread);
    g_main_loop_unref(task->loop);
}

void
mw_drop_task(struct mw_task *task)
{
    struct mw_task_msg *task_msg;

    if (!task) {
        return;
    }
    if (task->thread) {
        end_thread(task);
    }
    else if (task->work.stop) {
        task->work.stop(task->work.opaque);
    }
    task_msg = g_async_queue_try_pop(task->mailbox);
    while (task_msg) {
        mw_drop_task_msg(task_msg);
        task_msg = g_async_queue_try_pop(task->mailbox);
    }
    g_source_destroy(task->source);
    g_source_unref(task->source);
    g_async_queue_unref(task->mailbox);
    g_main_context_unref(task->context);
    g_free(task);
}

void
mw_post(struct mw_task *task, struct mw_task_msg *task_msg)
{
    g_async_queue_push(task->mailbox, task_msg);
    if (!g_main_context_is_owner(task->context)) {
        g_main_context_wakeup(task->context);
    }
}

void
mw_post_failed(struct mw_task *task, int error, struct mw_str text)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_FAILED);

    task_msg->status = error;
    task_msg->text = mw_new_blob(text);
    mw_post(task, task_msg);
}

void
mw_post_peer_msg(struct mw_task *links, const struct mw_name *to,
                 struct mw_msg *msg)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_PEER);

    task_msg->process = *to;
    task_msg->msg = mw_keep_msg(msg);
    mw_post(links, task_msg);
}

void
mw_post_broadcast(struct mw_task *links, enum mw_process_role role,
                  struct mw_msg *msg)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_BROADCAST);

    task_msg->role = role;
    task_msg->msg = mw_keep_msg(msg);
    mw_post(links, task_msg);
}

GArray *
mw_new_stored_list(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct mw_stored_blob));
}

void
mw_post_stored(struct mw_task *disk, GArray **stored)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_STORE);

    task_msg->stored = *stored;
    *stored = mw_new_stored_list();
    mw_post(disk, task_msg);
}

void
mw_post_leave(struct mw_task *task)
{
    mw_post(task, mw_new_task_msg(MW_TASK_MSG_LEAVE));
}

void
mw_post_dump(struct mw_task *task)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_STATUS);

    task_msg->process = mw_name_of(MW_STR("dump"));
    mw_post(task, task_msg);
}

void
mw_write_dump(struct mw_str text)
{
    size_t at = 0;

    while (at < text.len) {
        ssize_t n = write(STDERR_FILENO, text.ptr + at, text.len - at);

        if (n <= 0) {
            return;
        }
        at += (size_t)n;
    }
}
