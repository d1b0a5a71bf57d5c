#ifndef MW_CORE_FLOW_INTERFERENCE_H
#define MW_CORE_FLOW_INTERFERENCE_H

#include "interference.h"
#include "mimosawind/flow.h"

/* flow-interference: which kinds of work the lists show side by side. */

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_group;
struct mw_task_placement;

/* mw_listed_placement: a run in a list, and its placement. */
struct mw_listed_placement {
    struct mw_task_placement *placement;
    const struct mw_listed_run *run;
    /* set of its kind */
    uint64_t kind;
};

/* mw_work_kind_of: hash of the group's kind of work. */
uint64_t mw_work_kind_of(struct mw_task_group *group);
/*
 * mw_learn_from_list: what a list shows of interference between its runs.
 *
 * To be called before the placements are reconciled with the list.  listed has
 * the running runs and the new ends.  is_complete says that it has all of
 * them, and that the list is not late; otherwise it is no evidence.
 */
void mw_learn_from_list(struct mw_flows *flows, int64_t now_us,
                        struct mw_flow_endpoint *endpoint,
                        struct mw_listed_placement *listed, uint32_t count,
                        bool is_complete);
/*
 * mw_note_speed_neighbours: the endpoint's speed is learnt from a rate of this
 * run; what its neighbours cost it may be taken for the speed.
 */
void mw_note_speed_neighbours(const struct mw_task_placement *placement);
/* mw_neighbour_penalty: of placing a task beside the runs of the endpoint. */
double mw_neighbour_penalty(struct mw_flow_endpoint *endpoint,
                            const struct mw_bad_neighbours *bad);

#endif
