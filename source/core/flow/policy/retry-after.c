/*
 * retry-after: when the caller of a refused request should come back.
 *
 * LOAD   crowds of callers that are refused together: all requests of a
 *        region during an outage of the core, or bursts beyond what is held.
 *        With one delay for all they return in the same second, when the
 *        leader has just been elected.  Single refusals, urgent callers and
 *        the first second of an election keep the shortest delay.
 */
#include "retry-after.h"

#define XXH_INLINE_ALL
#include <glib.h>
#include <xxhash.h>

#define SECOND_US INT64_C(1000000)
/* so few callers can come back together without a spread */
#define ISOLATED_MAX 4
/* a crowd above this is spread over the longest delay */
#define CROWD_MAX 64
/*
 * A loss shows after 1 s of silence (MW_FLOW_MEMBER_TIMEOUT_US), and within a
 * second of that there is a new leader in most cases.
 */
#define ELECTION_US INT64_C(2000000)
/* and never longer than this: MW_FLOW_ELECTION_MAX_US */
#define OUTAGE_US INT64_C(3000000)

uint64_t
mw_hash_job(struct mw_str path)
{
    size_t at = path.len;

    while (at > 0 && path.ptr[at - 1] != '/') {
        at--;
    }
    return XXH3_64bits(path.ptr + at, path.len - at);
}

/* The longest delay, in seconds. */
static uint32_t
choose_width(const struct mw_refusal *refusal, uint64_t crowd)
{
    if (refusal->urgent || crowd <= ISOLATED_MAX) {
        return 1;
    }
    if (refusal->cause != MW_REFUSAL_NO_LEADER) {
        return crowd <= CROWD_MAX ? 2 : 3;
    }
    if (refusal->leaderless_us < ELECTION_US) {
        return 1;
    }
    return refusal->leaderless_us < OUTAGE_US ? 2 : 3;
}

int64_t
mw_choose_retry_after(const struct mw_refusal *refusal, uint32_t recent)
{
    uint64_t crowd = (uint64_t)recent + refusal->waiting + 1;
    uint64_t width = choose_width(refusal, crowd);

    return MW_RETRY_AFTER_MIN_US +
           (int64_t)(((refusal->job_hash >> 32) * width) >> 32) * SECOND_US;
}

static void
move_window(struct mw_retry_window *window, int64_t now_us)
{
    int64_t second = now_us / SECOND_US;

    if (second != window->second) {
        window->refused_before =
            second == window->second + 1 ? window->refused : 0;
        window->refused = 0;
        window->second = second;
    }
}

int64_t
mw_take_retry_after(struct mw_retry_window *window, int64_t now_us,
                    const struct mw_refusal *refusal)
{
    int64_t delay_us;

    move_window(window, now_us);
    delay_us = mw_choose_retry_after(refusal,
                                     window->refused + window->refused_before);
    window->refused++;
    return delay_us;
}
