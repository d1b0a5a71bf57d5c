#ifndef MW_CORE_FLOW_PLACEMENT_H
#define MW_CORE_FLOW_PLACEMENT_H

#include "flow-placement-state.h"

/* flow-placement: runs on endpoints, and the resources that they take. */

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_group;

struct mw_task_placement *
mw_add_task_placement(struct mw_flows *flows,
                      struct mw_flow_endpoint *endpoint,
                      struct mw_task_group *group, uint32_t index,
                      uint32_t run, enum mw_task_placement_phase phase);
void mw_free_task_placement(struct mw_flows *flows,
                            struct mw_task_placement *placement);
struct mw_task_id mw_placed_task_id(const struct mw_task_placement *placement);
struct mw_task_placement *
mw_find_task_placement(const struct mw_flow_endpoint *endpoint,
                       const struct mw_task_id *task, uint32_t run);
/* mw_tasks_that_fit: how many tasks with this need fit into what is free. */
uint32_t mw_tasks_that_fit(const struct mw_flow_resources *total,
                           const struct mw_flow_resources *used,
                           const struct mw_flow_resources *need);
/* mw_run_is_unsent: whether no endpoint can have received a start of it. */
bool mw_run_is_unsent(const struct mw_task_placement *placement);
/* mw_run_is_wanted: whether the run should still start on its endpoint. */
bool mw_run_is_wanted(const struct mw_flows *flows,
                      const struct mw_task_placement *placement);

#endif
