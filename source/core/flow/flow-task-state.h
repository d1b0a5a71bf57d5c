#ifndef MW_CORE_FLOW_TASK_STATE_H
#define MW_CORE_FLOW_TASK_STATE_H

#include "endpoint-speed.h"
#include "fair-share.h"
#include "mimosawind/flow.h"
#include "quota.h"

/* flow-task-state: flows, their groups of tasks, and the tasks. */

/* starts of a run that are counted; there are far fewer */
#define MW_TASK_STARTS_BITS 7
#define MW_TASK_STARTS_MAX ((1u << MW_TASK_STARTS_BITS) - 1)

/* see struct mw_task_group: groups up to this rank are urgent */
#define MW_URGENT_RANK_MAX 1

struct mw_flow;
struct mw_flow_account;
struct mw_task_placement;

/* mw_flow_task: the last record of a task, and its placement. */
struct mw_flow_task {
    enum mw_task_state state;
    uint32_t run;
    uint32_t failures;
    /* the last run that is counted in failures; 0 if not recorded */
    uint32_t failed_run;
    struct mw_name endpoint;
    uint64_t incarnation;
    struct mw_blob *checkpoint;
    uint16_t crash_score;
    uint16_t run_crash_score;
    /* when the run was assigned, in milliseconds of the flow clock modulo 2^32
     */
    uint32_t assigned_ms;
    /* a list has shown the run, and no start of it is left */
    bool is_identified : 1;
    /* of the leader: its run is over where it was placed, but see
     * flow-late-start.c */
    bool awaits_late_start : 1;
    /* of the leader: a record that counts the failure of the run is proposed
     */
    bool is_failure_proposed : 1;
    /* how many starts of the run may have been sent, by any leader */
    uint8_t starts : MW_TASK_STARTS_BITS;
    /* of the leader: */
    /* records of the task that are proposed and not yet committed */
    uint16_t uncommitted_records;
    /* evidence of a run that is over, not recorded yet */
    uint16_t unrecorded_crash_score;
    /* how many of its runs were stopped as stalled */
    uint16_t stalls;
    struct mw_task_placement *placement;
};

/* mw_task_group: the tasks of one step in one occurrence of a flow. */
struct mw_task_group {
    struct mw_flow *flow;
    const struct mw_flow_step *step;
    uint32_t occurrence;
    uint32_t step_index;
    struct mw_flow_task *tasks;
    uint32_t done_count;
    /* a task of it was recorded as a suspect at some time */
    bool is_suspect;
    /* of the leader: */
    /* when the group was first seen to be ready; 0 for not yet */
    int64_t ready_us;
    /* a start command has been sent */
    bool started;
    /* when it came to be within the guarantee; 0 while it is not */
    int64_t guaranteed_us;
    /* all its tasks have started */
    bool complete;
    /*
     * 0 and 1 are urgent: priority 0 within its organisation's guarantee, and
     * beyond it.  From 2 on it is the priority plus 1; urgent work that is
     * late has rank 2.
     */
    uint32_t rank;
    int64_t due_wall_us;
    enum mw_lateness lateness;
    /* of the runs that this leader has seen */
    struct mw_step_rate rate;
    /* hash of its kind of work; 0 for not yet computed */
    uint64_t kind;
    /* index of the task that wrote the gang's newest checkpoint */
    uint32_t newest_checkpoint_index;
    /* how often its runs were preempted */
    uint32_t preemption_count;
    /* when it may preempt, or reserve, again */
    int64_t preemption_deadline_us;
    /* endpoints that are reserved for it; 0 for no reservation */
    uint32_t reserved_count;
    /* when a preemption last reserved endpoints for it */
    int64_t reserved_us;
    /* since when no run is at work although it is ready; 0 while one is */
    int64_t idle_since_us;
    /* when that is reported next */
    int64_t wait_report_deadline_us;
    /* since when its organisation's cap keeps tasks waiting; 0 if none */
    int64_t capped_us;
    /* when that is reported next */
    int64_t cap_report_deadline_us;
    /* until when the cap kept a gang from starting; 0 for never */
    int64_t capped_until_us;
    /* the resource that does, while capped_us is set */
    enum mw_quota_limit cap_limit;
};

/* mw_flow_size: the memory that flows take. */
struct mw_flow_size {
    /* text of the plans, which snapshots contain, too */
    int64_t plan_bytes;
    /* decoded plans, and the state of the tasks */
    int64_t state_bytes;
};

/* mw_flow: a flow, with the groups of each occurrence in a row. */
struct mw_flow {
    struct mw_name id;
    struct mw_flow_route route;
    struct mw_name org;
    /* of its organisation in the service of its route */
    struct mw_flow_account *account;
    int64_t accepted_wall_us;
    enum mw_flow_state state;
    struct mw_blob *plan_text;
    struct mw_flow_plan *plan;
    struct mw_flow_size size;
    uint32_t group_count;
    struct mw_task_group *groups;
    uint32_t groups_done;
    /* an endpoint is known to have executed a start of one of its tasks */
    bool has_begun;
    /* when this process applied its record */
    int64_t accepted_us;
    /* of the leader: */
    /* a record that fails the flow has been proposed */
    bool end_proposed;
    /* when the leader first saw that it had ended; 0 for not yet */
    int64_t ended_us;
    /* accelerators of its runs, for an urgent flow of an organisation */
    uint32_t running_gpus;
    /*
     * It and the older urgent flows of its organisation need no more than the
     * guarantee.
     */
    bool guaranteed;
    /*
     * Its organisation would run no more than its guarantee with it, so it may
     * stop urgent work of others.
     */
    bool may_reclaim;
    /* urgent, and its organisation runs more than its guarantee with it */
    bool exceeds_guarantee;
};

#endif
