#ifndef MW_CORE_FLOW_PAUSE_H
#define MW_CORE_FLOW_PAUSE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * flow-pause: whether the process has just stood still, so that what it reads
 * may be older than its sender waits for a response.
 */

struct mw_pause_watch {
    /* ticks are due at least twice a second */
    int64_t last_tick_us;
    /* until then, what is read may have waited during a pause */
    int64_t backlog_deadline_us;
};

/* mw_watch_tick: at each tick of the process. */
void mw_watch_tick(struct mw_pause_watch *watch, int64_t now_us);
bool mw_may_have_paused(const struct mw_pause_watch *watch, int64_t now_us);

#endif
