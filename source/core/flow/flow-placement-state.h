#ifndef MW_CORE_FLOW_PLACEMENT_STATE_H
#define MW_CORE_FLOW_PLACEMENT_STATE_H

#include "endpoint-speed.h"
#include "interference.h"
#include "mimosawind/flow.h"

/* flow-placement-state: runs on endpoints. */

enum mw_task_placement_phase {
    /* the record of the run is not committed yet */
    MW_PLACEMENT_PROPOSED = 0,
    MW_PLACEMENT_STARTING = 1,
    MW_PLACEMENT_RUNNING = 2,
    /*
     * Recorded under an earlier leader, or sent to a process that has ended
     * since; a list will show whether it runs.
     */
    MW_PLACEMENT_UNKNOWN = 3,
    MW_PLACEMENT_STOPPING = 4,
    /* the stop was accepted; a later list shows the end, or no such run */
    MW_PLACEMENT_STOPPED = 5
};

struct mw_task_group;
struct mw_flow_endpoint;

/*
 * mw_task_placement: a run that an endpoint executes, or may execute.
 *
 * It takes the resources of the endpoint until the run is known to be over.
 */
struct mw_task_placement {
    struct mw_task_group *group;
    /* of the task within the group */
    uint32_t index;
    uint32_t run;
    struct mw_flow_endpoint *endpoint;
    struct mw_flow_resources need;
    enum mw_task_placement_phase phase;
    bool command_pending;
    /* a start was sent, at start_sent_us, and its response is waited for */
    bool start_in_flight;
    int64_t start_sent_us;
    /* a start had no response, so it may still be executed */
    bool start_unanswered;
    /* a process had the connection of a start, and closed it instead of
     * responding */
    bool start_cut_off;
    /* how often a start was sent */
    uint32_t start_attempts;
    /* starts that were sent by any leader, but for those that were refused */
    uint32_t starts_sent;
    /* the record that allows one more start is not committed yet */
    bool awaits_start_record;
    /* starts without a response that may not have been executed yet */
    uint32_t starts_outstanding;
    /* a start has been executed, by whichever process of the endpoint */
    bool was_executed;
    /* when a start may last have been executed, or may last be executed yet */
    int64_t execution_deadline_us;
    /* when a list last identified the process that executes it; 0 for never */
    int64_t identified_us;
    /* an earlier leader has recorded that it was identified */
    bool was_identified;
    /* of the endpoint, when the start was last sent */
    uint32_t start_generation;
    /* stops in a row that did not reach the endpoint */
    uint32_t failed_stops;
    /* last response that decided the phase; later lists show the run */
    int64_t last_response_us;
    int64_t retry_deadline_us;
    int64_t started_us;
    uint32_t percent;
    struct mw_run_progress progress;
    struct mw_kind_rate kind_rate;
    /* when percent or checkpoint last changed, and when it was last listed */
    int64_t last_progress_us;
    int64_t last_listed_us;
    /* the newest that was listed */
    struct mw_blob *checkpoint;
    /* evidence that the run has crashed its endpoint; see flow-crash.c */
    uint32_t crash_score;
    /* the evidence is an earlier leader's, and no list has come since */
    bool has_recalled_blame;
    /* a list has shown it at work long enough after its start */
    bool has_survived;
    /* recorded under an earlier leader; for lines about it (flow-doubt.c):
     * part of its gang was over then, and it had its line */
    bool is_taken_over;
    bool was_partly_over;
    bool is_takeover_reported;
    /* a suspect's, until the endpoint has survived its start */
    bool is_on_trial;
};

#endif
