#ifndef MW_RUN_LOOP_H
#define MW_RUN_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "mimosawind/str.h"

/*
 * loop: the event loop of a thread.
 *
 * A libuv loop over epoll: an iteration costs time for the sockets that are
 * ready, not for those that are open.  Sockets and timers belong to the loop
 * of the thread that creates them, and are used only in that thread.
 */

struct uv_loop_s;

/* mw_thread_loop: loop of the calling thread; NULL if it has none. */
struct uv_loop_s *mw_thread_loop(void);

/* mw_set_thread_loop: the loop that mw_thread_loop returns from now on. */
void mw_set_thread_loop(struct uv_loop_s *loop);

/*
 * mw_timer: a timer of the calling thread's loop, which fires once.
 *
 * It may fire a little late, and never before its deadline.
 */
struct mw_timer;

struct mw_timer *mw_new_timer(void *opaque, void (*fired)(void *opaque));
void mw_drop_timer(struct mw_timer *timer);

/* mw_arm_timer: replaces an earlier deadline; INT64_MAX is for never. */
void mw_arm_timer(struct mw_timer *timer, int64_t deadline_us);

#endif
