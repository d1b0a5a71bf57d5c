#ifndef MW_CORE_FLOW_LATE_START_H
#define MW_CORE_FLOW_LATE_START_H

#include "mimosawind/flow.h"

/* flow-late-start: starts that endpoints may still execute. */

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_placement;

/* a start was sent at sent_us, and there is no response that counts */
void mw_note_unanswered_start(struct mw_task_placement *placement,
                              int64_t sent_us);
/* some process of the endpoint responded that it executes the run */
void mw_note_executed_start(struct mw_task_placement *placement,
                            int64_t now_us);
/* the process that is known there lists the run, as running or ended */
void mw_note_listed_start(struct mw_task_placement *placement,
                          int64_t listed_us);
/* the run was recorded under an earlier leader */
void mw_note_earlier_start(const struct mw_flows *flows,
                           struct mw_task_placement *placement,
                           int64_t now_us);
/* a call that extends leases was sent, and may be executed until then */
void mw_note_unidentified_grant(struct mw_flow_endpoint *endpoint,
                                int64_t deadline_us);
/*
 * mw_may_run_unidentified: whether a process that is not identified may
 * execute the run now or later.
 */
bool mw_may_run_unidentified(const struct mw_task_placement *placement);
/* whether a list has shown the run, and no start of it is left */
bool mw_is_identified_run(const struct mw_task_placement *placement,
                          int64_t now_us);
/* whether a recent list shows which process is there */
bool mw_is_identified(const struct mw_flow_endpoint *endpoint, int64_t now_us);
/* whether a process that is not identified may execute a run there */
bool mw_may_have_unlisted_runs(const struct mw_flow_endpoint *endpoint);
/* mw_run_expiry: when the run is over if nothing is heard of its endpoint */
int64_t mw_run_expiry(const struct mw_flows *flows,
                      const struct mw_task_placement *placement);
/* mw_start_deadline: a start of the run may be sent until then */
int64_t mw_start_deadline(const struct mw_flows *flows,
                          const struct mw_task_placement *placement,
                          int64_t now_us);
/* mw_may_start_again: whether a start of the run may be sent, or repeated */
bool mw_may_start_again(const struct mw_flows *flows, int64_t now_us,
                        const struct mw_task_placement *placement);
/* mw_may_execute_start_late: whether a start without a response is left. */
bool mw_may_execute_start_late(const struct mw_task_placement *placement,
                               int64_t now_us);
/* mw_last_execution_us: when a start of the run was last executed, or may last
 * be; 0 if none was sent. */
int64_t mw_last_execution_us(const struct mw_task_placement *placement);
/*
 * mw_await_late_start: the run is over where it was placed.  Its task is not
 * placed again before no process can execute the start any more; then record
 * returns it to waiting.
 */
void mw_await_late_start(const struct mw_task_placement *placement);
/* whether a list decides about late starts, and so should be requested */
bool mw_late_starts_need_list(const struct mw_flow_endpoint *endpoint,
                              int64_t now_us);
/* mw_settle_late_starts: returns tasks to waiting; requested_us: of the list
 * that came last, 0 if none did. */
void mw_settle_late_starts(struct mw_flows *flows, int64_t now_us,
                           struct mw_flow_endpoint *endpoint,
                           int64_t requested_us);
/* mw_end_late_starts: the endpoint's process has ended; starts that can't be
 * executed any more were executed there, if at all. */
void mw_end_late_starts(struct mw_flow_endpoint *endpoint, int64_t now_us);
/* the address belongs to another identifier, which refuses their starts */
void mw_void_outstanding_starts(struct mw_flow_endpoint *endpoint);
void mw_drop_late_starts(struct mw_flow_endpoint *endpoint);

#endif
