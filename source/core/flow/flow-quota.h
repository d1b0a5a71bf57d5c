#ifndef MW_CORE_FLOW_QUOTA_H
#define MW_CORE_FLOW_QUOTA_H

#include "mimosawind/flow.h"

/* flow-quota: what the organisations' caps admit. */

struct mw_flow_endpoint;
struct mw_flows;
struct mw_quota;
struct mw_task_group;
struct mw_task_placement;

/* mw_get_quota: with the caps of the configuration in force. */
struct mw_quota *mw_get_quota(struct mw_flows *flows);
/* mw_tasks_within_cap: how many may start, of a gang all or none. */
uint32_t mw_tasks_within_cap(struct mw_flows *flows,
                             struct mw_task_group *group, uint32_t waiting);
/*
 * mw_draw_cap_for_demand: how many waiting tasks the cap keeps from starting,
 * with the groups for which this was called since the claims were cleared.
 */
uint32_t mw_draw_cap_for_demand(struct mw_flows *flows,
                                const struct mw_task_group *group);
/* mw_note_cap_wait: this pass left tasks waiting because of the cap alone. */
void mw_note_cap_wait(struct mw_flows *flows, struct mw_task_group *group,
                      int64_t now_us);
/*
 * mw_count_stray_run: a list shows a run without a placement; it counts as use
 * of its organisation, if its flow is known, until the runs are forgotten.
 */
void mw_count_stray_run(struct mw_flows *flows,
                        struct mw_flow_endpoint *endpoint,
                        const struct mw_task_id *task);
/* mw_forget_stray_runs: they are over, or the next list follows. */
void mw_forget_stray_runs(struct mw_flows *flows,
                          struct mw_flow_endpoint *endpoint);
/* whether each step could start within the cap; org is NULL for none */
bool mw_caps_admit_plan(const struct mw_flow_org *org,
                        const struct mw_flow_plan *plan);
/*
 * mw_start_is_within_cap: false while more is in use than a cap that was
 * lowered since, unless the start or another one of its gang may have reached
 * its endpoint.
 */
bool mw_start_is_within_cap(struct mw_flows *flows,
                            const struct mw_task_placement *placement);

#endif
