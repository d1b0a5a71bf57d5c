#ifndef MW_CORE_FLOW_POLICY_RETRY_AFTER_H
#define MW_CORE_FLOW_POLICY_RETRY_AFTER_H

#include "mimosawind/str.h"

/*
 * retry-after: when the caller of a refused request should come back.
 *
 * Delays are whole seconds: HTTP's Retry-After has no others.
 */

#define MW_RETRY_AFTER_MIN_US INT64_C(1000000)
/* callers give up after 3 s */
#define MW_RETRY_AFTER_MAX_US INT64_C(3000000)

enum mw_refusal_cause {
    /* no leader can be reached */
    MW_REFUSAL_NO_LEADER = 0,
    /* too many requests, or too many bytes of them, have no reply */
    MW_REFUSAL_PENDING = 1,
    /* the scheduler holds too much */
    MW_REFUSAL_OVERLOADED = 2
};

/* mw_refusal: what is known of a request that is refused. */
struct mw_refusal {
    enum mw_refusal_cause cause;
    /* since the leader was last heard of; INT64_MAX for never */
    int64_t leaderless_us;
    /* requests that wait for what this one was refused for */
    uint32_t waiting;
    /* of the caller's route; false where it is not known */
    bool urgent;
    /* mw_hash_job of the request's path */
    uint64_t job_hash;
};

/* mw_retry_window: refusals of the present second and of the one before. */
struct mw_retry_window {
    int64_t second;
    uint32_t refused;
    uint32_t refused_before;
};

/*
 * mw_hash_job: hash of the job's identifier, the last component of the path;
 * uniform in all its bits.
 */
uint64_t mw_hash_job(struct mw_str path);

/*
 * mw_choose_retry_after: the delay, in microseconds of whole seconds.
 *
 * recent is the number of requests refused in the last two seconds.
 */
int64_t mw_choose_retry_after(const struct mw_refusal *refusal,
                              uint32_t recent);

/*
 * mw_take_retry_after: the same, with the refusals of the window, to which
 * this one is added.
 */
int64_t mw_take_retry_after(struct mw_retry_window *window, int64_t now_us,
                            const struct mw_refusal *refusal);

#endif
