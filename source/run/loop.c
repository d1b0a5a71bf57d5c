#include "loop.h"

#include <glib.h>
#include <uv.h>

#include "task.h"

struct mw_timer {
    uv_timer_t handle;
    void *opaque;
    void (*fired)(void *opaque);
};

static __thread uv_loop_t *thread_loop;

struct uv_loop_s *
mw_thread_loop(void)
{
    return thread_loop;
}

void
mw_set_thread_loop(struct uv_loop_s *loop)
{
    thread_loop = loop;
}

static void
on_fired(uv_timer_t *handle)
{
    struct mw_timer *timer = handle->data;

    timer->fired(timer->opaque);
}

struct mw_timer *
mw_new_timer(void *opaque, void (*fired)(void *opaque))
{
    struct mw_timer *timer = g_new0(struct mw_timer, 1);

    timer->opaque = opaque;
    timer->fired = fired;
    timer->handle.data = timer;
    uv_timer_init(mw_thread_loop(), &timer->handle);
    return timer;
}

static void
free_timer(uv_handle_t *handle)
{
    g_free(handle->data);
}

void
mw_drop_timer(struct mw_timer *timer)
{
    if (timer) {
        uv_close((uv_handle_t *)&timer->handle, free_timer);
    }
}

void
mw_arm_timer(struct mw_timer *timer, int64_t deadline_us)
{
    int64_t wait_us;

    if (deadline_us == INT64_MAX) {
        uv_timer_stop(&timer->handle);
        return;
    }
    wait_us = MAX(deadline_us - mw_now(), 0);
    /* the loop's time is that of the start of this iteration */
    uv_update_time(timer->handle.loop);
    uv_timer_start(&timer->handle, on_fired, (uint64_t)(wait_us + 999) / 1000,
                   0);
}
