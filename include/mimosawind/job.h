#ifndef MIMOSAWIND_JOB_H
#define MIMOSAWIND_JOB_H

#include "mimosawind/context.h"

/*
 * job: what a caller asks for, and the names of its attempts.
 *
 * UNITS
 *   processors in whole cores, memory in mebibytes, time in microseconds
 *
 * A gang has `tasks` tasks of `need` each.  Several tasks of one gang may
 * share an endpoint; all of them start or none does.
 */

#define MW_TASKS_MAX 512
#define MW_ACCELERATORS_MAX 64
#define MW_PROCESSORS_MAX 1024
#define MW_MEMORY_MB_MAX (16 * 1024 * 1024)
#define MW_SLOTS_MAX 1024

/* mw_amount: resources of a task or of an endpoint. */
struct mw_amount {
    uint32_t accelerators;
    uint32_t slots;
    uint32_t processors;
    uint32_t memory_mb;
};

enum mw_adjacent {
    MW_ADJACENT_ZONE = 0,
    MW_ADJACENT_RACK = 1,
    MW_ADJACENT_ENDPOINT = 2
};

enum mw_priority {
    MW_URGENT = 0,
    MW_NORMAL = 1,
    MW_BATCH = 2,
    MW_PRIORITIES = 3
};

/* mw_shape: a gang of tasks and how close they must be. */
struct mw_shape {
    uint32_t tasks;
    struct mw_amount need;
    enum mw_adjacent adjacent;
};

/* mw_job_key: what makes a resent request the same request. */
struct mw_job_key {
    struct mw_name org;
    struct mw_name request;
};

/*
 * mw_job_spec: one submission.
 *
 * deadline_us is in the clock of the process that holds the spec; on the
 * wire it travels as the time left.  0 means none.  runtime_us is what the
 * caller declared and is never trusted.
 */
struct mw_job_spec {
    struct mw_job_key key;
    struct mw_name class;
    struct mw_shape shape;
    enum mw_priority priority;
    bool idempotent;
    bool checkpoint;
    bool wait;
    int64_t deadline_us;
    int64_t runtime_us;
    /* how often the job has been handed from zone to zone */
    uint32_t hops;
};

/*
 * mw_attempt_id: names one try to run one job.
 *
 * job is unique within the zone; epoch is the scheduler's term, so that no
 * two leaders ever give out the same identifier.
 */
struct mw_attempt_id {
    struct mw_name zone;
    uint64_t job;
    uint64_t epoch;
    uint32_t number;
};

/* mw_part: the tasks of an attempt that share one endpoint. */
struct mw_part {
    struct mw_name endpoint;
    uint32_t tasks;
};

/* mw_amount_fits: whether need is within room, member by member. */
bool mw_amount_fits(const struct mw_amount *need,
                    const struct mw_amount *room);

/* mw_amount_add, mw_amount_sub: sum += n * amount, sum -= n * amount. */
void mw_amount_add(struct mw_amount *sum, const struct mw_amount *amount,
                   uint32_t n);
void mw_amount_sub(struct mw_amount *sum, const struct mw_amount *amount,
                   uint32_t n);

/* mw_amount_less: a - b, member by member and never below zero. */
struct mw_amount mw_amount_less(const struct mw_amount *a,
                                const struct mw_amount *b);

/* mw_amount_times: how many times need fits into room. */
uint32_t mw_amount_times(const struct mw_amount *need,
                         const struct mw_amount *room);

/* mw_check_shape: refuse a shape outside the limits above, with a detail. */
int mw_check_shape(struct mw_context *ctx, const struct mw_shape *shape);

/* mw_check_spec: refuse a submission that is not well formed. */
int mw_check_spec(struct mw_context *ctx, const struct mw_job_spec *spec);

/* mw_spec_is_recorded: whether it must be on disk before "accepted". */
bool mw_spec_is_recorded(const struct mw_job_spec *spec);

/* mw_spec_may_stop: whether its run may be stopped and repeated. */
bool mw_spec_may_stop(const struct mw_job_spec *spec);

/* mw_attempt_equal: whether both name the same attempt. */
bool mw_attempt_equal(const struct mw_attempt_id *a,
                      const struct mw_attempt_id *b);

/* mw_hash_key, mw_same_key: callbacks for a table keyed by mw_job_key. */
unsigned int mw_hash_key(const void *key);
int mw_same_key(const void *a, const void *b);

/*
 * mw_owner_of: the zone that owns a request, by rendezvous hashing.
 *
 * Every process that knows the same zones gives the same answer; adding or
 * removing one zone moves only the requests of that zone.  A request that
 * starts with "NAME:" is owned by zone NAME where there is one.  Returns an
 * index into zones, or MW_ERR_MISSING when there are none.
 * SOURCE  robust hashing, K. W. Ross, Content Distribution (tutorial)
 */
int mw_owner_of(const struct mw_job_key *key, const struct mw_name *zones,
                size_t count);

#endif
