#ifndef MIMOSAWIND_ZONE_H
#define MIMOSAWIND_ZONE_H

#include "mimosawind/record.h"

/*
 * zone: the scheduler of one availability zone, without input or output.
 *
 * Holds endpoints, guaranteed shapes, queues and attempts.  Only the leader
 * of the zone's log acts; the others apply records so that they can take
 * over.  Every method takes the time; nothing here reads a clock.
 *
 * LIFE OF A JOB
 *   queued -> reclaiming -> intending -> reserving -> running -> done
 *   reclaiming: waits until work that may be stopped has left its place
 *   intending:  the start intent of a recorded job waits for the log
 *   reserving:  every endpoint of a gang holds its place under a lease
 *   stopping:   parts are being stopped, then queued again or done
 *
 * GUARANTEE
 *   At every step each unclaimed guaranteed shape has a place of its own
 *   (a cell) on which nothing runs that may not be stopped.
 *
 * UNITS   microseconds; see job.h for resources
 */

#define MW_ENDPOINT_LEASE_US 5000000
#define MW_QUERY_INTERVAL_US 1000000
#define MW_RESERVE_TIMEOUT_US 5000000
#define MW_OUTCOME_TIMEOUT_US 10000000
#define MW_STOP_RESEND_US 1000000
#define MW_ATTEMPTS_MAX 3
#define MW_QUARANTINE_AFTER_FAILURES 3
#define MW_QUARANTINE_US 10000000
#define MW_QUARANTINE_MAX_US 320000000
#define MW_QUARANTINE_DIVISOR 4
#define MW_QUEUED_MAX 100000
#define MW_ORG_QUEUED_MAX 10000
#define MW_AGING_US 600000000
#define MW_RESULT_RETENTION_US 86400000000
#define MW_RETAINED_OUTPUT_BYTES_MAX (64u * 1024 * 1024)
#define MW_SLOW_START_US 10000000
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
    MW_JOB_STATES = 9
};

/* mw_lead: what a process may do as the zone's scheduler. */
enum mw_lead {
    MW_LEAD_NONE = 0,
    /* checks that need no record; no member with a disk answers */
    MW_LEAD_CHECKS = 1,
    MW_LEAD_RECORDS = 2
};

/* mw_waiter: who asked, and until when the answer is of use. */
struct mw_waiter {
    struct mw_name process;
    uint64_t ref;
    struct mw_job_key key;
    bool until_done;
};

/* mw_answer: what is said about a job; output is lent for the call. */
struct mw_answer {
    int error;
    enum mw_ran ran;
    enum mw_job_state state;
    uint64_t job;
    struct mw_name zone;
    struct mw_blob *output;
    struct mw_str detail;
};

enum mw_order_kind {
    MW_ORDER_RESERVE = 0,
    MW_ORDER_START = 1,
    MW_ORDER_STOP = 2,
    MW_ORDER_ASK = 3,
    MW_ORDER_FORGET = 4,
    MW_ORDER_KINDS = 5
};

/* mw_order: one instruction to one endpoint about one attempt. */
struct mw_order {
    enum mw_order_kind kind;
    struct mw_attempt_id attempt;
    struct mw_name endpoint;
    struct mw_name address;
    struct mw_name via;
    uint32_t tasks;
    struct mw_amount need;
    bool checkpoint;
    bool idempotent;
    /* attempt whose checkpoint to resume from, 0 for none */
    uint32_t resume;
    struct mw_blob *body;
};

enum mw_outcome {
    MW_OUTCOME_RESERVED = 0,
    MW_OUTCOME_STARTED = 1,
    MW_OUTCOME_FINISHED = 2,
    MW_OUTCOME_FAILED = 3,
    /* stopped on order; may have run in part */
    MW_OUTCOME_STOPPED = 4,
    /* the endpoint has never started it and will not */
    MW_OUTCOME_ABSENT = 5,
    /* the endpoint refused; nothing was started */
    MW_OUTCOME_REFUSED = 6,
    /* no answer; it may have been started */
    MW_OUTCOME_LOST = 7,
    MW_OUTCOME_CHECKPOINTED = 8,
    MW_OUTCOMES = 9
};

/* mw_report: what an endpoint says about one attempt. */
struct mw_report {
    enum mw_outcome outcome;
    struct mw_attempt_id attempt;
    struct mw_name endpoint;
    struct mw_blob *output;
};

/* mw_listed: an attempt as an endpoint lists it in an announcement. */
struct mw_listed {
    struct mw_attempt_id attempt;
    bool finished;
};

/* mw_announce: an endpoint says that it is there and what it holds. */
struct mw_announce {
    struct mw_name endpoint;
    struct mw_name address;
    struct mw_name rack;
    struct mw_name via;
    struct mw_amount total;
    uint64_t incarnation;
    bool leaving;
    uint32_t listed_count;
    struct mw_listed *listed;
};

/*
 * mw_zone_output: what the scheduler asks of its owner.
 *
 * Arguments are lent for the call.  propose returns 0 or a negative error
 * and must not call mw_zone_apply before it returns.  may_record tells
 * whether a record would outlive the loss of a VM and of its disk.  target
 * names a zone to hand work to; false when there is none.
 */
struct mw_zone_output {
    void *opaque;
    int (*propose)(void *opaque, struct mw_record *record);
    bool (*may_record)(void *opaque);
    void (*order)(void *opaque, const struct mw_order *order);
    void (*answer)(void *opaque, const struct mw_waiter *waiter,
                   const struct mw_answer *answer);
    /* target: with room for the shape now; NULL asks for any zone */
    bool (*target)(void *opaque, const struct mw_shape *shape,
                   struct mw_name *zone);
    /* deliver: returns a reference that the answer will carry, 0 for none */
    uint64_t (*deliver)(void *opaque, const struct mw_name *zone,
                        const struct mw_job_spec *spec, struct mw_blob *body);
};

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

/* mw_zone_reset: forget all that came from records. */
void mw_zone_reset(struct mw_zone *zone);

/* mw_zone_apply: follow one committed record. */
void mw_zone_apply(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_record *record);

/* mw_zone_collect: the records that rebuild the zone's state. */
void mw_zone_collect(struct mw_zone *zone, void *out,
                     void (*add)(void *out, struct mw_record *record));

/* mw_zone_lead: begin or cease to act, under an epoch. */
void mw_zone_lead(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                  enum mw_lead lead, uint64_t epoch);

/*
 * mw_zone_submit: take a submission or a resend of one.
 *
 * Every call leads to one answer for the waiter, but for a job that comes
 * back to this zone with more hops than it left with: whoever delivers it
 * asks again until its record is there.
 */
void mw_zone_submit(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us, const struct mw_job_spec *spec,
                    struct mw_blob *body, const struct mw_waiter *waiter);

/* mw_zone_query: answer with the state, at the end when until_done. */
void mw_zone_query(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, const struct mw_job_key *key,
                   const struct mw_waiter *waiter);

/* mw_zone_cancel: end a job; the answer says whether it has run. */
void mw_zone_cancel(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us, const struct mw_job_key *key,
                    const struct mw_waiter *waiter);

/* mw_zone_announce: an endpoint is there, or is leaving. */
int mw_zone_announce(struct mw_context *ctx, struct mw_zone *zone,
                     int64_t now_us, const struct mw_announce *announce);

/* mw_zone_report: the outcome of an order; stale ones are counted. */
void mw_zone_report(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us, const struct mw_report *report);

/*
 * mw_zone_delivered: the other zone took, or refused, what was handed.
 *
 * A refusal counts only for the latest delivery: an earlier one may have
 * been taken after all.
 */
void mw_zone_delivered(struct mw_context *ctx, struct mw_zone *zone,
                       int64_t now_us, const struct mw_job_key *key,
                       uint64_t ref, bool taken);

/* mw_zone_tick: act on deadlines, then place what can be placed. */
void mw_zone_tick(struct mw_context *ctx, struct mw_zone *zone,
                  int64_t now_us);

/* mw_zone_leave: take no more work that needs a record. */
void mw_zone_leave(struct mw_zone *zone);

/* mw_zone_waited_for: jobs whose callers wait for an answer. */
uint32_t mw_zone_waited_for(const struct mw_zone *zone);

/* mw_zone_load: jobs that wait, and accelerators that nothing holds. */
struct mw_zone_load {
    uint32_t queued;
    uint32_t free_accelerators;
};

void mw_zone_load_of(const struct mw_zone *zone, struct mw_zone_load *load);

/* mw_zone_deadline: when mw_zone_tick is next due. */
int64_t mw_zone_deadline(const struct mw_zone *zone);

/*
 * mw_zone_judge: whether guarantees fit these endpoints.
 *
 * Looks only at this zone's guarantees in doc.  Returns 0, or
 * MW_ERR_GUARANTEE with a detail that names the shape.
 */
int mw_zone_judge(struct mw_context *ctx, const struct mw_zone *zone,
                  const struct mw_document *doc);

/* mw_zone_is_out: whether the zone is out of service. */
bool mw_zone_is_out(const struct mw_zone *zone);

/* mw_zone_version: version of the document in force in the zone. */
uint64_t mw_zone_version(const struct mw_zone *zone);

/* mw_zone_document: the document in force, lent; NULL before the first. */
struct mw_document *mw_zone_document(const struct mw_zone *zone);

/* mw_zone_counters_of: the counters, lent. */
const struct mw_zone_counters *mw_zone_counters_of(const struct mw_zone *zone);

struct mw_endpoint_view {
    struct mw_name name;
    struct mw_name address;
    struct mw_name rack;
    struct mw_amount total;
    struct mw_amount used;
    struct mw_amount cells;
    bool up;
    bool leaving;
    bool quarantined;
    uint32_t parts;
};

struct mw_job_view {
    uint64_t id;
    uint64_t epoch;
    const struct mw_job_spec *spec;
    enum mw_job_state state;
    int error;
    enum mw_ran ran;
    uint32_t attempts;
    uint32_t part_count;
    bool claimed;
    bool firm;
    int64_t submitted_us;
    int64_t started_us;
};

/* mw_cell_view: one guaranteed shape and where it would be now. */
struct mw_cell_view {
    struct mw_name org;
    const struct mw_shape *shape;
    bool placed;
    bool claimed;
};

/* mw_zone_each_*: call back for each; the view is lent for the call. */
void mw_zone_each_endpoint(const struct mw_zone *zone, void *opaque,
                           void (*each)(void *opaque,
                                        const struct mw_endpoint_view *view));
void mw_zone_each_job(const struct mw_zone *zone, void *opaque,
                      void (*each)(void *opaque,
                                   const struct mw_job_view *view));
void mw_zone_each_cell(const struct mw_zone *zone, void *opaque,
                       void (*each)(void *opaque,
                                    const struct mw_cell_view *view));

/* mw_zone_each_part: the parts of one job that hold a place. */
void mw_zone_each_part(const struct mw_zone *zone, uint64_t job, void *opaque,
                       void (*each)(void *opaque, const struct mw_part *part));

/* mw_job_state_word, mw_order_word, mw_outcome_word: for dumps. */
struct mw_str mw_job_state_word(enum mw_job_state state);
struct mw_str mw_order_word(enum mw_order_kind kind);
struct mw_str mw_outcome_word(enum mw_outcome outcome);

#endif
