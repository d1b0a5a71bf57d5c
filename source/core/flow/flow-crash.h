#ifndef MW_CORE_FLOW_CRASH_H
#define MW_CORE_FLOW_CRASH_H

#include <stdbool.h>
#include <stdint.h>

/* flow-crash: tasks that crash endpoints. */

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_group;
struct mw_task_placement;

/*
 * mw_blame_crash: connections to the endpoint are refused since one has
 * broken; evidence against the runs that had just been started there.
 */
void mw_blame_crash(struct mw_flows *flows, struct mw_flow_endpoint *endpoint);
/*
 * mw_blame_unanswered_start: no process listens at the endpoint, and the start
 * had no response; evidence if a process had the start.
 */
void mw_blame_unanswered_start(struct mw_task_placement *placement);
/*
 * mw_blame_restart: another process is there; evidence against the runs that
 * had just been started.
 */
void mw_blame_restart(struct mw_flows *flows, int64_t now_us,
                      struct mw_flow_endpoint *endpoint);
/* mw_withdraw_blame: the same process responds again. */
void mw_withdraw_blame(struct mw_flow_endpoint *endpoint);
/* mw_recall_blame: the run was recorded under an earlier leader. */
void mw_recall_blame(struct mw_task_placement *placement);
/*
 * mw_settle_recalled_blame: a list of the endpoint has come; if it is of the
 * process that the run was assigned to, that has not crashed.
 */
void mw_settle_recalled_blame(struct mw_flow_endpoint *endpoint);
/*
 * mw_record_blame: proposes a record of the evidence against the runs of the
 * endpoint, where the log says otherwise.
 */
void mw_record_blame(struct mw_flows *flows,
                     struct mw_flow_endpoint *endpoint);
/* mw_crash_limit_is_reached: whether a task with this score is given up. */
bool mw_crash_limit_is_reached(uint32_t score);
/* mw_is_crash_suspect: whether a task with this score is kept apart. */
bool mw_is_crash_suspect(uint32_t score);
/* mw_note_survival: a list shows the run at work. */
void mw_note_survival(struct mw_task_placement *placement, int64_t listed_us);
/* mw_next_trial_us: when a list may first end a trial; INT64_MAX for never. */
int64_t mw_next_trial_us(const struct mw_flow_endpoint *endpoint);
/* mw_trial_excludes: whether a trial keeps the group off the endpoint. */
bool mw_trial_excludes(const struct mw_flow_endpoint *endpoint,
                       const struct mw_task_group *group);

#endif
