#ifndef MW_CORE_FLOW_COMMAND_H
#define MW_CORE_FLOW_COMMAND_H

#include "mimosawind/flow.h"

/* flow-command: sends commands and grants leases. */

/* on top of the long poll */
#define MW_COMMAND_TIMEOUT_US INT64_C(1000000)
/* a start that has waited so long is not sent, and its run is over */
#define MW_START_QUEUE_TIMEOUT_US INT64_C(2000000)
/* a start is sent only so long after the record of its run was applied */
#define MW_START_WINDOW_US INT64_C(5000000)
#define MW_START_ATTEMPTS_MAX 4
/* a call without a response is executed at most so long after it was sent */
#define MW_LATE_EXECUTION_US INT64_C(13000000)
/* a delayed start command may still be executed until this lease expires */
#define MW_START_LEASE_US INT64_C(5000000)
#define MW_RENEWAL_LONG_POLL_US INT64_C(2000000)
/* the shortest, where a list may show a stall or end a trial */
#define MW_RENEWAL_LONG_POLL_MIN_US INT64_C(250000)
#define MW_RENEWAL_RETRY_US INT64_C(400000)
/* runs on an unreachable endpoint are given up when this lease expires */
#define MW_RENEWAL_LEASE_US INT64_C(7000000)
/* while commands are late, leases are longer */
#define MW_LATE_RENEWAL_LEASE_US INT64_C(9000000)
/* kept free below the longest lease that an endpoint accepts */
#define MW_LEASE_MARGIN_US INT64_C(500000)
/* leases count as this much longer: an endpoint's clock may be 2% slow */
#define MW_CLOCK_DRIFT_PERMILLE 1030

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_group;
struct mw_task_placement;

/* mw_flow_pending_command: a command that waits, or has no response yet. */
struct mw_flow_pending_command {
    uint64_t ref;
    enum mw_flow_command_kind kind;
    struct mw_name endpoint;
    /* of the endpoint */
    uint32_t generation;
    struct mw_task_id task;
    uint32_t run;
    /* it extends leases */
    bool grants_lease;
    /* stop of a run without a placement */
    bool is_stray;
    /* counts towards the window of the queue */
    bool counts;
    int64_t queued_us;
    int64_t sent_us;
    int64_t long_poll_us;
};

/* mw_fencing_token: of a command from this leader to this generation */
uint64_t mw_fencing_token(uint64_t term, uint32_t generation);
/*
 * mw_resume_checkpoint: what the next run of the task resumes from; lent.
 *
 * The tasks of a gang must share one, so the record that assigns a run of a
 * gang gives it to all of them.
 */
struct mw_blob *mw_resume_checkpoint(const struct mw_task_group *group,
                                     uint32_t index);
void mw_send_start(struct mw_flows *flows, int64_t now_us,
                   struct mw_task_placement *placement);
void mw_send_stop(struct mw_flows *flows, int64_t now_us,
                  struct mw_task_placement *placement);
/* mw_send_stop_for_stray_run: of a run that has no placement. */
void mw_send_stop_for_stray_run(struct mw_flows *flows, int64_t now_us,
                                struct mw_flow_endpoint *endpoint,
                                const struct mw_task_id *task, uint32_t run);
/* mw_send_waiting_commands: those that the queue lets pass. */
void mw_send_waiting_commands(struct mw_flows *flows, int64_t now_us);
void mw_stop_task_placement(struct mw_flows *flows, int64_t now_us,
                            struct mw_task_placement *placement);
void mw_stop_task_group(struct mw_flows *flows, int64_t now_us,
                        struct mw_task_group *group);
/* mw_give_up_start: also stops the others of the run's gang. */
void mw_give_up_start(struct mw_flows *flows, int64_t now_us,
                      struct mw_task_placement *placement);
void mw_send_renewal(struct mw_flows *flows, int64_t now_us,
                     struct mw_flow_endpoint *endpoint);
/*
 * mw_may_long_poll: whether its list may wait for an end.
 *
 * A list that decides what became of a run is requested without delay.
 */
bool mw_may_long_poll(const struct mw_flow_endpoint *endpoint);

#endif
