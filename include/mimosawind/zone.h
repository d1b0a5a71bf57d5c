#ifndef MIMOSAWIND_ZONE_H
#define MIMOSAWIND_ZONE_H

#include "mimosawind/record.h"

/*
 * zone: the scheduler of one availability zone, without input or output.
 *
 * Keeps the state of endpoints, guaranteed shapes, queues and attempts.
 * Only the leader of the zone's log schedules; the other replicas apply
 * records so that they can take over.  Every function takes the current
 * time; nothing here reads a clock.
 *
 * JOB STATES
 *   accepting -> queued -> reclaiming -> reserving -> intending -> running
 *   -> done; a job skips the states that it does not need
 *   accepting:  the accept record of a recorded job is being committed
 *   queued:     waits for resources
 *   reclaiming: has a placement, waits until preempted work has stopped
 *   reserving:  the endpoints of a gang are reserving its parts, each under
 *               a lease
 *   intending:  the start intent of a recorded job is being committed
 *   running:    start commands have been sent
 *   stopping:   parts are being stopped; then the job is queued again or
 *               done.  Also: an error result is being committed
 *   handed:     handed over to another zone
 *   done:       has a result
 *
 * RECORDED AND UNRECORDED JOBS
 *   A recorded job is committed to the zone's log before it is accepted, and
 *   its start intent before it starts.  An unrecorded job exists only in the
 *   leader's memory.
 *
 * GUARANTEE
 *   At every step each unclaimed guaranteed shape has capacity of its own
 *   (a cell), which no non-preemptible work uses.
 *
 * UNITS   microseconds; see job.h for resources
 */

/* an endpoint without an announcement for this long is lost */
#define MW_ENDPOINT_LEASE_US 5000000
/* between status queries, and between resends of a reserve command */
#define MW_QUERY_INTERVAL_US 1000000
/* a gang not reserved on all its endpoints by then is queued again */
#define MW_RESERVE_TIMEOUT_US 5000000
/* the outcome of a non-idempotent job on a lost endpoint is then unknown */
#define MW_OUTCOME_TIMEOUT_US 10000000
#define MW_STOP_RESEND_US 1000000
/* failures after which an idempotent job is not retried */
#define MW_ATTEMPTS_MAX 3
/* consecutive failures, each of a different job */
#define MW_QUARANTINE_AFTER_FAILURES 3
/* first quarantine; doubles with each failed probe up to the maximum */
#define MW_QUARANTINE_US 10000000
#define MW_QUARANTINE_MAX_US 320000000
/* at most a quarter of the live endpoints, and at least one */
#define MW_QUARANTINE_DIVISOR 4
#define MW_QUEUED_MAX 100000
/* where the document sets no limit for the organisation */
#define MW_ORG_QUEUED_MAX 10000
/* a batch job that has waited this long moves to the normal queue */
#define MW_AGING_US 600000000
/* how long a recorded job is known after its end */
#define MW_RESULT_RETENTION_US 86400000000
#define MW_RETAINED_OUTPUT_BYTES_MAX (64u * 1024 * 1024)
/* the start rate is limited for this long after a return to service */
#define MW_SLOW_START_US 10000000
/* load balancing between zones: the wait before a job is handed over */
#define MW_BALANCE_AFTER_US 5000000
#define MW_BALANCE_HOPS_MAX 3
#define MW_BALANCE_PER_TICK 4

enum mw_job_state {
    MW_JOB_QUEUED = 0,
    MW_JOB_RECLAIMING = 1,
    MW_JOB_INTENDING = 2,
    MW_JOB_RESERVING = 3,
    MW_JOB_RUNNING = 4,
    MW_JOB_STOPPING = 5,
    MW_JOB_DONE = 6,
    MW_JOB_ACCEPTING = 7,
    MW_JOB_HANDED = 8,
    MW_JOB_STATE_COUNT = 9
};

/* mw_lead_scope: which jobs a process may handle as the zone's scheduler. */
enum mw_lead_scope {
    MW_LEAD_NONE = 0,
    /* unrecorded jobs only: no member with a disk responds */
    MW_LEAD_UNRECORDED = 1,
    /* recorded and unrecorded jobs */
    MW_LEAD_ALL = 2
};

/*
 * mw_waiter: a process that waits for an answer about a job.
 *
 * ref is the process's own reference to its request.  until_done asks for
 * the result rather than the current state.
 */
struct mw_waiter {
    struct mw_name process;
    uint64_t ref;
    struct mw_job_key key;
    bool until_done;
};

/* mw_answer: state or result of a job; output is borrowed for the call. */
struct mw_answer {
    int error;
    enum mw_execution_status ran;
    enum mw_job_state state;
    uint64_t job;
    struct mw_name zone;
    struct mw_blob *output;
    struct mw_str detail;
};

enum mw_endpoint_command_kind {
    MW_COMMAND_RESERVE = 0,
    MW_COMMAND_START = 1,
    MW_COMMAND_STOP = 2,
    MW_COMMAND_QUERY = 3,
    MW_COMMAND_FORGET = 4,
    MW_COMMAND_KIND_COUNT = 5
};

/*
 * mw_endpoint_command: a command to an endpoint about one attempt.
 *
 * via is the entry process that relays it: the one at which the endpoint
 * announced itself.
 */
struct mw_endpoint_command {
    enum mw_endpoint_command_kind kind;
    struct mw_attempt_id attempt;
    struct mw_name endpoint;
    struct mw_name address;
    struct mw_name relay;
    uint32_t tasks;
    struct mw_resources need;
    bool checkpoint;
    bool idempotent;
    /* the attempt whose checkpoint to resume from, 0 for none */
    uint32_t resume;
    struct mw_blob *body;
};

enum mw_outcome {
    MW_OUTCOME_RESERVED = 0,
    MW_OUTCOME_STARTED = 1,
    MW_OUTCOME_FINISHED = 2,
    MW_OUTCOME_FAILED = 3,
    /* stopped on command; may have run in part */
    MW_OUTCOME_STOPPED = 4,
    /* the endpoint never started the attempt and will not start it */
    MW_OUTCOME_ABSENT = 5,
    /* the endpoint refused the command; nothing was started */
    MW_OUTCOME_REFUSED = 6,
    /* no response; the attempt may have been started */
    MW_OUTCOME_LOST = 7,
    MW_OUTCOME_CHECKPOINTED = 8,
    MW_OUTCOME_COUNT = 9
};

/* mw_report: the outcome of a command, as reported by an endpoint. */
struct mw_report {
    enum mw_outcome outcome;
    struct mw_attempt_id attempt;
    struct mw_name endpoint;
    struct mw_blob *output;
};

/* mw_listed_attempt: an attempt that an endpoint lists in its announcement. */
struct mw_listed_attempt {
    struct mw_attempt_id attempt;
    bool finished;
};

/*
 * mw_announcement: an endpoint's periodic announcement.
 *
 * Carries its resources and all attempts that it knows; renews its lease.
 * An endpoint that restarts has a higher incarnation.  via is the process
 * that passed the announcement on.
 */
struct mw_announcement {
    struct mw_name endpoint;
    struct mw_name address;
    struct mw_name rack;
    struct mw_name relay;
    struct mw_resources total;
    uint64_t incarnation;
    bool draining;
    uint32_t listed_count;
    struct mw_listed_attempt *listed;
};

/*
 * mw_zone_output: callbacks to the owner of the scheduler.
 *
 * Arguments are borrowed for the call.  propose appends a record to the
 * zone's log; it returns 0 or a negative error and must not call
 * mw_zone_apply before it returns.  can_record_durably tells whether a
 * committed record would survive the loss of one VM and its disk.
 * select_zone chooses a zone to hand a job over to; false when there is none.
 */
struct mw_zone_output {
    void *opaque;
    int (*propose)(void *opaque, struct mw_record *record);
    bool (*can_record_durably)(void *opaque);
    void (*command)(void *opaque, const struct mw_endpoint_command *command);
    void (*answer)(void *opaque, const struct mw_waiter *waiter,
                   const struct mw_answer *answer);
    /* select_zone: a zone that can take the shape now; any when NULL */
    bool (*select_zone)(void *opaque, const struct mw_shape *shape,
                        struct mw_name *zone);
    /* deliver: sends a job to the zone it was handed over to; returns a
     * reference that the answer will carry, 0 when nothing was sent */
    uint64_t (*deliver)(void *opaque, const struct mw_name *zone,
                        const struct mw_job_spec *spec, struct mw_blob *body);
};

/*
 * mw_zone_counters: counted since the start; fields name the metrics.
 *
 * resent: submissions of a known job.  placed_claim, placed_free,
 * placed_firm: allocations in a cell, preemptible and non-preemptible.
 * reclaims: claims of a cell that was in use by others.  victims: preempted
 * jobs.  cells_lost: cells without a placement now.  gangs_broken: gangs
 * aborted because one part was lost.  asked: status queries.  unknown:
 * non-idempotent jobs lost with an endpoint.  handed: handovers; balanced:
 * those for load balancing.  passes, tries: scheduling passes, and jobs
 * tried in them.
 */
struct mw_zone_counters {
    uint64_t submitted;
    uint64_t accepted;
    uint64_t resent;
    uint64_t finished;
    uint64_t refused;
    uint64_t cancelled;
    uint64_t placed_claim;
    uint64_t placed_free;
    uint64_t placed_firm;
    uint64_t reclaims;
    uint64_t victims;
    uint64_t cells_moved;
    uint64_t cells_lost;
    uint64_t retries;
    uint64_t gangs_broken;
    uint64_t endpoints_lost;
    uint64_t quarantined;
    uint64_t probes;
    uint64_t stale_reports;
    uint64_t orphans_stopped;
    uint64_t asked;
    uint64_t unknown;
    uint64_t handed;
    uint64_t balanced;
    uint64_t outputs_dropped;
    uint64_t passes;
    uint64_t tries;
};

struct mw_zone;

struct mw_zone *mw_new_zone(const struct mw_name *name,
                            const struct mw_zone_output *output);
void mw_drop_zone(struct mw_zone *zone);

/* mw_zone_reset: removes all state that came from records. */
void mw_zone_reset(struct mw_zone *zone);

/* mw_zone_apply: applies one committed record. */
void mw_zone_apply(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_record *record);

/* mw_zone_snapshot: calls add with each record of a snapshot. */
void mw_zone_snapshot(struct mw_zone *zone, void *opaque,
                      void (*add)(void *opaque, struct mw_record *record));

/* mw_zone_set_leadership: takes or gives up leadership, under an epoch. */
void mw_zone_set_leadership(struct mw_context *ctx, struct mw_zone *zone,
                            int64_t now_us, enum mw_lead_scope lead,
                            uint64_t epoch);

/*
 * mw_zone_submit: handles a submission or a resend of one.
 *
 * Every call leads to one answer for the waiter, except for a job that was
 * handed over and comes back with more hops than it left with: the zone
 * that delivers it sends it again until the handover record is committed.
 */
void mw_zone_submit(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us, const struct mw_job_spec *spec,
                    struct mw_blob *body, const struct mw_waiter *waiter);

/* mw_zone_query: answers with the state, or with until_done the result. */
void mw_zone_query(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, const struct mw_job_key *key,
                   const struct mw_waiter *waiter);

/* mw_zone_cancel: ends a job; the answer says whether it has run. */
void mw_zone_cancel(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us, const struct mw_job_key *key,
                    const struct mw_waiter *waiter);

/* mw_zone_announce: handles an endpoint's announcement. */
int mw_zone_announce(struct mw_context *ctx, struct mw_zone *zone,
                     int64_t now_us, const struct mw_announcement *announce);

/* mw_zone_report: handles the outcome of a command; counts a stale one. */
void mw_zone_report(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us, const struct mw_report *report);

/*
 * mw_zone_handover_answered: the other zone has accepted or refused a
 * handover.
 *
 * A refusal counts only for the latest delivery: an earlier one may still
 * have been accepted.
 */
void mw_zone_handover_answered(struct mw_context *ctx, struct mw_zone *zone,
                               int64_t now_us, const struct mw_job_key *key,
                               uint64_t ref, bool accepted);

/* mw_zone_tick: handles expired deadlines, then schedules queued jobs. */
void mw_zone_tick(struct mw_context *ctx, struct mw_zone *zone,
                  int64_t now_us);

/* mw_zone_drain: refuses new recorded jobs from now on. */
void mw_zone_drain(struct mw_zone *zone);

/* mw_zone_count_awaited_jobs: number of jobs with waiters. */
uint32_t mw_zone_count_awaited_jobs(const struct mw_zone *zone);

/* mw_zone_load: queued jobs, and accelerators that are not allocated. */
struct mw_zone_load {
    uint32_t queued;
    uint32_t free_accelerators;
};

void mw_zone_get_load(const struct mw_zone *zone, struct mw_zone_load *load);

/* mw_zone_deadline: when mw_zone_tick is next due. */
int64_t mw_zone_deadline(const struct mw_zone *zone);

/*
 * mw_zone_check_guarantees: checks whether the live endpoints can hold the
 * guarantees.
 *
 * Considers only this zone's guarantees in doc, and empty endpoints.
 * Returns 0, or MW_ERR_GUARANTEE with a detail that names the shape.
 */
int mw_zone_check_guarantees(struct mw_context *ctx,
                             const struct mw_zone *zone,
                             const struct mw_document *doc);

/* mw_zone_is_out_of_service: whether the zone is out of service. */
bool mw_zone_is_out_of_service(const struct mw_zone *zone);

/* mw_zone_document_version: version of the document in force in the zone. */
uint64_t mw_zone_document_version(const struct mw_zone *zone);

/* mw_zone_document: the document in force, borrowed; NULL before the first. */
struct mw_document *mw_zone_document(const struct mw_zone *zone);

/* mw_zone_get_counters: the counters, borrowed. */
const struct mw_zone_counters *
mw_zone_get_counters(const struct mw_zone *zone);

/* mw_endpoint_view: cells sums the cells on it, parts counts its attempts. */
struct mw_endpoint_view {
    struct mw_name name;
    struct mw_name address;
    struct mw_name rack;
    struct mw_resources total;
    struct mw_resources used;
    struct mw_resources cells;
    bool up;
    bool draining;
    bool quarantined;
    uint32_t parts;
};

/*
 * mw_job_view: a job and its latest attempt.
 *
 * claimed: allocated in a cell of its organisation.  firm: allocated
 * outside cells and not preemptible.
 */
struct mw_job_view {
    uint64_t id;
    uint64_t epoch;
    const struct mw_job_spec *spec;
    enum mw_job_state state;
    int error;
    enum mw_execution_status ran;
    uint32_t attempts;
    uint32_t part_count;
    bool claimed;
    bool nonpreemptible;
    int64_t submitted_us;
    int64_t started_us;
};

/* mw_cell_view: a guaranteed shape; placed: it has endpoints now. */
struct mw_cell_view {
    struct mw_name org;
    const struct mw_shape *shape;
    bool placed;
    bool claimed;
};

/* mw_zone_each_*: calls each for every item; the view is borrowed. */
void mw_zone_each_endpoint(const struct mw_zone *zone, void *opaque,
                           void (*each)(void *opaque,
                                        const struct mw_endpoint_view *view));
void mw_zone_each_job(const struct mw_zone *zone, void *opaque,
                      void (*each)(void *opaque,
                                   const struct mw_job_view *view));
void mw_zone_each_cell(const struct mw_zone *zone, void *opaque,
                       void (*each)(void *opaque,
                                    const struct mw_cell_view *view));

/* mw_zone_each_part: the parts of a job, while it has resources allocated. */
void mw_zone_each_part(const struct mw_zone *zone, uint64_t job, void *opaque,
                       void (*each)(void *opaque, const struct mw_part *part));

/* mw_job_state_str, mw_command_kind_str, mw_outcome_str: text of a value. */
struct mw_str mw_job_state_str(enum mw_job_state state);
struct mw_str mw_command_kind_str(enum mw_endpoint_command_kind kind);
struct mw_str mw_outcome_str(enum mw_outcome outcome);

#endif
