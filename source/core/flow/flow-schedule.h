#ifndef MW_CORE_FLOW_SCHEDULE_H
#define MW_CORE_FLOW_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

/* flow-schedule: scheduling passes. */

/* shortest time between two scheduling passes, however much happens */
#define MW_FLOW_PASS_US 15000
/* longest time between two ticks */
#define MW_FLOW_TICK_US 50000
/* removal of ended flows and stale endpoint records, orphaned tasks */
#define MW_FLOW_MAINTENANCE_US 400000
/* while commands are late, leases are renewed only this early */
#define MW_LATE_RENEWAL_MARGIN_US INT64_C(3500000)
/* a lease that expires so soon is renewed, whatever else is to be sent */
#define MW_URGENT_RENEWAL_MARGIN_US INT64_C(2000000)

struct mw_flows;
struct mw_task_placement;

void mw_run_scheduling_pass(struct mw_flows *flows, int64_t now_us,
                            int64_t wall_us);

#endif
