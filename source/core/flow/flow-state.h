#ifndef MW_CORE_FLOW_STATE_H
#define MW_CORE_FLOW_STATE_H

#include "mimosawind/flow.h"

/* flow-state: flows and tasks, and their records. */

/* later times never come; two such times can be added up */
#define MW_WALL_TIME_MAX_US (INT64_MAX / 4)

struct mw_flow;
struct mw_flow_task;
struct mw_flows;
struct mw_task_group;

/* proposes a TASKS record and counts it; false when that is not possible */
bool mw_propose_tasks(struct mw_flows *flows, struct mw_record *record);
/*
 * mw_init_task_record: a record of the task as it was last recorded, with the
 * evidence that is not recorded yet; waiting and on no endpoint.
 */
void mw_init_task_record(const struct mw_task_group *group, uint32_t index,
                         struct mw_task_record *record);
struct mw_flow *mw_find_flow(struct mw_flows *flows, const struct mw_name *id);
/* mw_note_flow_begun: a list shows a run of the flow, or its end. */
void mw_note_flow_begun(struct mw_flows *flows, const struct mw_name *id);
/*
 * mw_note_begun_by_response: nothing if the response is to another command, or
 * not a success; any process of the endpoint may have sent it.
 */
void mw_note_begun_by_response(struct mw_flows *flows,
                               const struct mw_flow_pending_command *pending,
                               const struct mw_flow_response *response);
struct mw_task_group *mw_find_task_group(struct mw_flow *flow,
                                         uint32_t occurrence, uint32_t step);
struct mw_flow_task *mw_find_task(struct mw_flows *flows,
                                  const struct mw_task_id *id,
                                  struct mw_task_group **group);
/* whether a task waits for a placement and no record of it is pending */
bool mw_task_is_waiting(const struct mw_flow_task *task);
uint32_t mw_count_waiting_tasks(const struct mw_task_group *group);
/* when an occurrence of a scheduled flow is due; MW_WALL_TIME_MAX_US at most
 */
int64_t mw_occurrence_due_us(const struct mw_flow_plan *plan,
                             uint32_t occurrence);
/* whether its start time has come and the steps it depends on are done */
bool mw_task_group_is_ready(const struct mw_task_group *group,
                            int64_t wall_us);
uint32_t mw_task_group_last_run(const struct mw_task_group *group);
/* whether it is active and no record that ends it has been proposed */
bool mw_flow_is_open(const struct mw_flow *flow);

#endif
