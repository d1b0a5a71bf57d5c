/*
 * flow-clock: a clock that goes on over leaders and restarts.
 */
#include "flow-clock.h"

int64_t
mw_flow_clock_time(const struct mw_flow_clock *clock, int64_t now_us)
{
    return clock->time_us + (now_us - clock->learnt_us);
}

uint32_t
mw_flow_clock_ms(int64_t time_us)
{
    uint32_t time_ms = (uint32_t)(time_us / 1000);

    return time_ms > 0 ? time_ms : 1;
}

void
mw_learn_flow_clock(struct mw_flow_clock *clock, int64_t now_us, uint64_t term,
                    int64_t time_us)
{
    if (term < clock->term || (term == clock->term &&
                               time_us <= mw_flow_clock_time(clock, now_us))) {
        return;
    }
    *clock = (struct mw_flow_clock){term, time_us, now_us};
}
