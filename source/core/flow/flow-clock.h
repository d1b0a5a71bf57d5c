#ifndef MW_CORE_FLOW_CLOCK_H
#define MW_CORE_FLOW_CLOCK_H

#include <stdint.h>

/*
 * flow-clock: a clock that goes on over leaders and restarts.
 *
 * LOAD   control processes that are restarted in turn, while a task waits for
 *        a time to pass.  Their own clocks do not tell how long ago a record
 *        was made that they read from the disk.
 *
 * The clock is the leader's.  It is passed on in records and in the leader's
 * heartbeats; whoever leads next goes on from there.  It stands still while
 * no process that has heard of it is up, and it is never ahead: since a record
 * was made, at least as much time has passed as it shows.  For that a process
 * follows the leader of the latest term, backwards too: an earlier leader may
 * have known of more time than its successor does.
 */

/* mw_flow_clock: the last reading that was learnt. */
struct mw_flow_clock {
    /* of the leader that it is from */
    uint64_t term;
    /* what it showed, and when that was learnt, on this process's clock */
    int64_t time_us;
    int64_t learnt_us;
};

/* mw_flow_clock_time: what it shows now, in microseconds. */
int64_t mw_flow_clock_time(const struct mw_flow_clock *clock, int64_t now_us);

/* mw_flow_clock_ms: milliseconds modulo 2^32, never 0, for records. */
uint32_t mw_flow_clock_ms(int64_t time_us);

/* mw_learn_flow_clock: the leader of a term read it at time_us, or later. */
void mw_learn_flow_clock(struct mw_flow_clock *clock, int64_t now_us,
                         uint64_t term, int64_t time_us);

#endif
