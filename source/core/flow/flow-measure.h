#ifndef MW_CORE_FLOW_MEASURE_H
#define MW_CORE_FLOW_MEASURE_H

#include "mimosawind/flow.h"

/* flow-measure: latencies. */

struct mw_flows;
struct mw_task_group;

/* measures how long a guaranteed group waited, once all tasks have started */
void mw_measure_reclaim(struct mw_flows *flows, struct mw_task_group *group,
                        int64_t now_us);

void mw_count_latency(struct mw_flows *flows, enum mw_flow_latency latency,
                      int64_t duration_us);

#endif
