#ifndef MW_CORE_FLOW_WAIT_H
#define MW_CORE_FLOW_WAIT_H

#include <stdint.h>

/* flow-wait: task groups that wait for long beside free room. */

struct mw_flows;

/*
 * mw_report_long_waits: emit an event for each task group that has waited for
 * long although there is room, with what keeps the room from it.
 *
 * To be called after a scheduling pass, since the room that the pass has left
 * counts.  wall_us is the time of day.  Few groups are reported in one call,
 * the others in later ones; one group again each time its wait has doubled.
 */
void mw_report_long_waits(struct mw_flows *flows, int64_t now_us,
                          int64_t wall_us);

#endif
