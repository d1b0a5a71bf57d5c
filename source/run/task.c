#include "task.h"

#include <time.h>
#include <unistd.h>
#include <uv.h>

#include "loop.h"

#define BATCH_MAX 256
/* rounds over the tasks of a thread before its sockets are looked at again */
#define ROUNDS_MAX 8

/* task_thread: a thread with its loop, and the tasks that share it. */
struct task_thread {
    uv_loop_t loop;
    /* wakes the loop from other threads */
    uv_async_t wake;
    /* wakes the loop at the tasks' next deadline */
    uv_timer_t timer;
    int64_t timer_deadline_us;
    /* run before and after the loop waits; idle keeps it from waiting */
    uv_prepare_t prepare;
    uv_check_t check;
    uv_idle_t idle;
    GPtrArray *tasks;
    int ending;
};

struct mw_task {
    struct mw_task_callbacks work;
    struct task_thread *on;
    /* NULL for a task on another task's thread */
    GThread *thread;
    GAsyncQueue *mailbox;
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

static bool
has_mail(const struct mw_task *task)
{
    return g_async_queue_length(task->mailbox) > 0;
}

static int64_t
next_deadline(const struct mw_task *task)
{
    return task->work.deadline ? task->work.deadline(task->work.opaque)
                               : INT64_MAX;
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

/* Handles the task's messages and its deadline; false if there was nothing. */
static bool
run_due(struct mw_task *task)
{
    bool had_mail = has_mail(task);
    bool is_due = task->work.tick && mw_now() >= next_deadline(task);

    if (had_mail) {
        run_batch(task);
    }
    if (is_due) {
        task->work.tick(task->work.opaque, mw_now());
    }
    return had_mail || is_due;
}

static void
on_check(uv_check_t *handle)
{
    struct task_thread *on = handle->data;
    bool busy = true;

    for (int round = 0; busy && round < ROUNDS_MAX; round++) {
        busy = false;
        for (guint i = 0; i < on->tasks->len; i++) {
            busy |= run_due(on->tasks->pdata[i]);
        }
    }
}

static void
on_wake(uv_async_t *handle)
{
    /* on_check does the work */
    (void)handle;
}

static void
on_timer(uv_timer_t *handle)
{
    ((struct task_thread *)handle->data)->timer_deadline_us = INT64_MAX;
}

static void
on_idle(uv_idle_t *handle)
{
    (void)handle;
}

static void
arm_timer(struct task_thread *on, int64_t deadline_us)
{
    if (deadline_us == on->timer_deadline_us) {
        return;
    }
    on->timer_deadline_us = deadline_us;
    if (deadline_us == INT64_MAX) {
        uv_timer_stop(&on->timer);
        return;
    }
    uv_update_time(&on->loop);
    uv_timer_start(&on->timer, on_timer,
                   (uint64_t)(MAX(deadline_us - mw_now(), 0) + 999) / 1000, 0);
}

/* Sees to it that the loop waits no longer than the tasks can. */
static void
on_prepare(uv_prepare_t *handle)
{
    struct task_thread *on = handle->data;
    int64_t deadline_us = INT64_MAX;
    bool mail = false;

    for (guint i = 0; i < on->tasks->len; i++) {
        const struct mw_task *task = on->tasks->pdata[i];

        mail |= has_mail(task);
        deadline_us = MIN(deadline_us, next_deadline(task));
    }
    if (mail) {
        uv_idle_start(&on->idle, on_idle);
    }
    else {
        uv_idle_stop(&on->idle);
        arm_timer(on, deadline_us);
    }
}

static struct task_thread *
new_task_thread(void)
{
    struct task_thread *on = g_new0(struct task_thread, 1);

    uv_loop_init(&on->loop);
    uv_async_init(&on->loop, &on->wake, on_wake);
    uv_timer_init(&on->loop, &on->timer);
    uv_prepare_init(&on->loop, &on->prepare);
    uv_check_init(&on->loop, &on->check);
    uv_idle_init(&on->loop, &on->idle);
    on->timer.data = on;
    on->prepare.data = on;
    on->check.data = on;
    on->timer_deadline_us = INT64_MAX;
    on->tasks = g_ptr_array_new();
    return on;
}

/*
 * Closes the loop, once its thread has ended, and frees the connections and
 * timers that were dropped there.
 */
static void
free_task_thread(struct task_thread *on)
{
    uv_close((uv_handle_t *)&on->wake, NULL);
    uv_close((uv_handle_t *)&on->timer, NULL);
    uv_close((uv_handle_t *)&on->prepare, NULL);
    uv_close((uv_handle_t *)&on->check, NULL);
    uv_close((uv_handle_t *)&on->idle, NULL);
    uv_run(&on->loop, UV_RUN_DEFAULT);
    uv_loop_close(&on->loop);
    g_ptr_array_unref(on->tasks);
    g_free(on);
}

static bool
may_end(const struct mw_task *task)
{
    return g_atomic_int_get(&task->on->ending) && !has_mail(task);
}

static gpointer
run_task(gpointer data)
{
    struct mw_task *task = data;
    struct task_thread *on = task->on;

    mw_set_thread_loop(&on->loop);
    uv_prepare_start(&on->prepare, on_prepare);
    uv_check_start(&on->check, on_check);
    if (task->work.start) {
        task->work.start(task->work.opaque, task);
    }
    while (!may_end(task)) {
        uv_run(&on->loop, UV_RUN_ONCE);
    }
    uv_prepare_stop(&on->prepare);
    uv_check_stop(&on->check);
    if (task->work.stop) {
        task->work.stop(task->work.opaque);
    }
    return NULL;
}

static struct mw_task *
add_task(struct task_thread *on, const struct mw_task_callbacks *work)
{
    struct mw_task *task = g_new0(struct mw_task, 1);

    task->work = *work;
    task->on = on;
    task->mailbox = g_async_queue_new();
    g_ptr_array_add(on->tasks, task);
    return task;
}

struct mw_task *
mw_new_task(const char *name, const struct mw_task_callbacks *work)
{
    struct mw_task *task = add_task(new_task_thread(), work);

    task->thread = g_thread_new(name, run_task, task);
    return task;
}

struct mw_task *
mw_new_task_on_thread(struct mw_task *host,
                      const struct mw_task_callbacks *work)
{
    struct mw_task *task = add_task(host->on, work);

    if (work->start) {
        work->start(work->opaque, task);
    }
    return task;
}

static void
stop_task(struct mw_task *task)
{
    if (task->thread) {
        g_atomic_int_set(&task->on->ending, 1);
        uv_async_send(&task->on->wake);
        g_thread_join(task->thread);
        free_task_thread(task->on);
        return;
    }
    g_ptr_array_remove(task->on->tasks, task);
    if (task->work.stop) {
        task->work.stop(task->work.opaque);
    }
}

void
mw_drop_task(struct mw_task *task)
{
    struct mw_task_msg *task_msg;

    if (!task) {
        return;
    }
    stop_task(task);
    task_msg = g_async_queue_try_pop(task->mailbox);
    while (task_msg) {
        mw_drop_task_msg(task_msg);
        task_msg = g_async_queue_try_pop(task->mailbox);
    }
    g_async_queue_unref(task->mailbox);
    g_free(task);
}

void
mw_post(struct mw_task *task, struct mw_task_msg *task_msg)
{
    g_async_queue_push(task->mailbox, task_msg);
    if (mw_thread_loop() != &task->on->loop) {
        uv_async_send(&task->on->wake);
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
mw_post_dial(struct mw_task *task, const struct mw_name *process)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_DIAL);

    task_msg->process = *process;
    mw_post(task, task_msg);
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
