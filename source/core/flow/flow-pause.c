/*
 * flow-pause: whether the process has just stood still.
 */
#include "flow-pause.h"

/* operators wait a second for a response */
#define PAUSE_MIN_US INT64_C(900000)
/* time after a pause to read all that has arrived meanwhile */
#define BACKLOG_US INT64_C(200000)

void
mw_watch_tick(struct mw_pause_watch *watch, int64_t now_us)
{
    if (now_us - watch->last_tick_us > PAUSE_MIN_US) {
        watch->backlog_deadline_us = now_us + BACKLOG_US;
    }
    watch->last_tick_us = now_us;
}

bool
mw_may_have_paused(const struct mw_pause_watch *watch, int64_t now_us)
{
    return now_us < watch->backlog_deadline_us ||
           now_us - watch->last_tick_us > PAUSE_MIN_US;
}
