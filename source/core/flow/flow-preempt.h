#ifndef MW_CORE_FLOW_PREEMPT_H
#define MW_CORE_FLOW_PREEMPT_H

#include <stdint.h>

/* flow-preempt: preemption, and room for waiting gangs. */

struct mw_flows;
struct mw_task_group;

/* reserves the endpoints that become free soonest for a less urgent gang */
void mw_reserve_for_task_group(struct mw_flows *flows,
                               struct mw_task_group *group, uint32_t tasks,
                               int64_t now_us);
/*
 * mw_preempt_for_cap: stops less urgent runs of the group's own organisation,
 * so that its cap admits the tasks of a group within its guarantee.
 */
void mw_preempt_for_cap(struct mw_flows *flows, struct mw_task_group *group,
                        uint32_t tasks, int64_t now_us);
/* stops less urgent runs to make room for urgent tasks */
void mw_preempt_for_task_group(struct mw_flows *flows,
                               struct mw_task_group *group, uint32_t tasks,
                               int64_t now_us);

#endif
