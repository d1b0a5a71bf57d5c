#ifndef MIMOSAWIND_JOB_H
#define MIMOSAWIND_JOB_H

#include "mimosawind/context.h"

/*
 * job: what a client submits, and the identifiers of its attempts.
 *
 * UNITS
 *   processors in whole cores, memory in mebibytes, time in microseconds
 *
 * A job is a gang of `tasks` tasks, each of which needs the resources
 * `need`.  Several tasks of a gang may run on the same endpoint.  Either all
 * tasks of a gang are started or none is.
 */

/* largest values accepted in a shape */
#define MW_TASKS_MAX 512
#define MW_ACCELERATORS_MAX 64
#define MW_PROCESSORS_MAX 1024
#define MW_MEMORY_MB_MAX (16 * 1024 * 1024)
/* most slots of an endpoint */
#define MW_SLOTS_MAX 1024

/* mw_resources: resources that a task needs or an endpoint has. */
struct mw_resources {
    uint32_t accelerators;
    /* each task takes one */
    uint32_t slots;
    uint32_t processors;
    uint32_t memory_mb;
};

/* mw_adjacent: whether the tasks of a gang must share a rack or endpoint. */
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

/* mw_shape: number of tasks, resources of each, placement constraint. */
struct mw_shape {
    uint32_t tasks;
    struct mw_resources need;
    enum mw_adjacent adjacent;
};

/* mw_job_key: idempotency key; a resent request has the same key. */
struct mw_job_key {
    struct mw_name org;
    struct mw_name request;
};

/*
 * mw_job_spec: one submission.
 *
 * deadline_us is a time of the local monotonic clock, 0 for none; messages
 * carry the time left instead.  runtime_us is the client's estimate of the
 * run time; it is not trusted, so no guarantee depends on it.
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
    /* number of handovers of the job between zones */
    uint32_t hops;
};

/*
 * mw_attempt_id: identifies one attempt to run a job.
 *
 * job is unique within the zone.  epoch is the term of the leader that
 * assigned the identifier, so that two leaders never assign the same one.
 */
struct mw_attempt_id {
    struct mw_name zone;
    uint64_t job;
    uint64_t epoch;
    uint32_t number;
};

/* mw_part: the tasks of an attempt that run on one endpoint. */
struct mw_part {
    struct mw_name endpoint;
    uint32_t tasks;
};

/* mw_resources_fit: whether no member of need exceeds that of available. */
bool mw_resources_fit(const struct mw_resources *need,
                      const struct mw_resources *available);

/* mw_resources_add, mw_resources_sub: sum += n * amount, sum -= n * amount. */
void mw_resources_add(struct mw_resources *sum,
                      const struct mw_resources *amount, uint32_t n);
void mw_resources_sub(struct mw_resources *sum,
                      const struct mw_resources *amount, uint32_t n);

/* mw_resources_sub_saturating: a - b for each member, 0 where b is larger. */
struct mw_resources mw_resources_sub_saturating(const struct mw_resources *a,
                                                const struct mw_resources *b);

/* mw_resources_fit_count: how many tasks fit, at most MW_TASKS_MAX. */
uint32_t mw_resources_fit_count(const struct mw_resources *need,
                                const struct mw_resources *available);

/* mw_check_shape: return an error for a shape outside the limits above. */
int mw_check_shape(struct mw_context *ctx, const struct mw_shape *shape);

/* mw_check_spec: return an error for an invalid submission. */
int mw_check_spec(struct mw_context *ctx, const struct mw_job_spec *spec);

/*
 * mw_spec_is_recorded: whether the job is recorded.
 *
 * A recorded job is in the zone's log before the client is told that it was
 * accepted.  A job need not be recorded if it is idempotent and the client
 * waits for its result, since the client can repeat it.
 */
bool mw_spec_is_recorded(const struct mw_job_spec *spec);

/* mw_spec_is_preemptible: whether a run may be stopped and repeated later. */
bool mw_spec_is_preemptible(const struct mw_job_spec *spec);

/* mw_attempt_equal: whether both identify the same attempt. */
bool mw_attempt_equal(const struct mw_attempt_id *a,
                      const struct mw_attempt_id *b);

/* mw_hash_key, mw_same_key: callbacks for a GHashTable of mw_job_key. */
unsigned int mw_hash_key(const void *key);
int mw_same_key(const void *a, const void *b);

/*
 * mw_owner_zone: the zone that owns a request, by rendezvous hashing.
 *
 * Every process that is given the same zones returns the same owner, and
 * adding or removing a zone changes the owner of that zone's requests only.
 * A request identifier that starts with "NAME:" is owned by zone NAME if
 * there is such a zone.  Returns an index into zones, or MW_ERR_MISSING if
 * count is 0.
 * SOURCE  robust hashing, K. W. Ross, Content Distribution (tutorial)
 */
int mw_owner_zone(const struct mw_job_key *key, const struct mw_name *zones,
                  size_t count);

#endif
