#ifndef MW_CORE_FLOW_EVENT_H
#define MW_CORE_FLOW_EVENT_H

#include "mimosawind/flow.h"

/* flow-event: lines of the event log. */

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_group;
struct mw_task_placement;
struct mw_work_kind;

void mw_emit_flow_event(struct mw_flows *flows, const char *name,
                        const struct mw_name *flow, const char *outcome);
/* mw_emit_refused_event: retry_after_us is 0 if no retry is advised. */
void mw_emit_refused_event(struct mw_flows *flows, const struct mw_name *flow,
                           const char *reason, int64_t retry_after_us);
void mw_emit_task_event(struct mw_flows *flows, const char *name,
                        const struct mw_task_placement *placement,
                        const char *outcome, int64_t age_us);
/* the run is taken for over without a listed end */
void mw_emit_run_over_event(struct mw_flows *flows,
                            const struct mw_task_placement *placement,
                            const char *reason, int64_t now_us);
/* mw_emit_taken_over_event: doubt says why the run is in doubt; NULL if it is
 * not. */
void mw_emit_taken_over_event(struct mw_flows *flows,
                              const struct mw_task_placement *placement,
                              const char *doubt,
                              const struct mw_flow_run_event *run);
void mw_emit_takeover_event(struct mw_flows *flows,
                            const struct mw_flow_takeover_event *takeover);
/* the victim is stopped for the group */
void mw_emit_preempted_event(struct mw_flows *flows,
                             const struct mw_task_placement *victim,
                             const struct mw_task_group *group,
                             int64_t age_us);
/* wanted and capacity: see mw_flow_event */
void mw_emit_task_group_event(struct mw_flows *flows, const char *name,
                              const struct mw_task_group *group,
                              const char *outcome, uint32_t wanted,
                              uint32_t capacity, int64_t age_us);
void mw_emit_flow_zone_event(struct mw_flows *flows, const char *name,
                             const struct mw_name *zone, const char *outcome,
                             int64_t age_us);
/* mw_emit_interference_event: callback of struct mw_interference_output. */
void mw_emit_interference_event(void *flows, const struct mw_work_kind *victim,
                                const struct mw_work_kind *neighbour,
                                double cost, bool is_known);
void mw_emit_flow_endpoint_event(struct mw_flows *flows, const char *name,
                                 const struct mw_flow_endpoint *endpoint,
                                 const char *outcome, int64_t age_us);

#endif
