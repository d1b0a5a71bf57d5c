#ifndef MW_CORE_FLOW_RUN_END_H
#define MW_CORE_FLOW_RUN_END_H

#include "mimosawind/flow.h"

/* flow-run-end: records that runs are over. */

struct mw_flow;
struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_group;
struct mw_task_placement;

/* what became of a listed end */
enum mw_end_result {
    /* its record could not be proposed: it must be listed again */
    MW_END_REFUSED = 0,
    MW_END_CHANGES_NOTHING = 1,
    MW_END_PROPOSED = 2
};

/*
 * mw_propose_end: proposes the record of a listed end.
 *
 * placement is that of the run, or NULL; it is not freed.  The end may be
 * acknowledged to the endpoint once its record is committed.
 */
enum mw_end_result mw_propose_end(struct mw_flows *flows, int64_t now_us,
                                  struct mw_flow_endpoint *endpoint,
                                  struct mw_task_group *group,
                                  struct mw_task_placement *placement,
                                  const struct mw_listed_run *run);
/*
 * mw_lose_run: the run is over without a listed end; its task waits again
 * and the placement is freed.
 */
void mw_lose_run(struct mw_flows *flows, int64_t now_us,
                 struct mw_task_placement *placement, const char *reason);
/* mw_return_task: proposes that the task waits again after its run is over. */
bool mw_return_task(struct mw_flows *flows, struct mw_task_group *group,
                    uint32_t index, struct mw_str checkpoint);
/* mw_fail_crashing_flow: a task of it has reached the limit of crashes. */
void mw_fail_crashing_flow(struct mw_flows *flows, struct mw_flow *flow);

#endif
