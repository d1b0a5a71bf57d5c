/*
 * flow-lease: leases that endpoints are granted, and when they have expired.
 */
#include "flow-lease.h"

#include "flow-command.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-scheduler-state.h"

/* an endpoint's clock loses less than one microsecond in so many */
#define CLOCK_DRIFT_ONE_IN 32

/* mw_open_grant: a grant that may be executed yet, or again. */
struct mw_open_grant {
    uint64_t ref;
    int64_t sent_us;
    bool is_start;
    /* the call has ended; without an answer, as the grant is open */
    bool has_ended;
    /* how long it may last on this process's clock, if it is executed as soon
     * as it arrives, and if later */
    int64_t duration_us;
    int64_t late_duration_us;
    int64_t lease_us;
    /* of the endpoint's process that it was meant for */
    uint64_t incarnation;
};

int64_t
mw_lease_duration(int64_t lease_us)
{
    return lease_us * MW_CLOCK_DRIFT_PERMILLE / 1000 + MW_LEASE_MARGIN_US;
}

/* Without the margin, which the lease that it extends has already.  What it
 * grants may count from its execution by a clock that was slow meanwhile. */
static int64_t
late_lease_duration(int64_t lease_us)
{
    return (lease_us + MW_LATE_EXECUTION_US) * MW_CLOCK_DRIFT_PERMILLE / 1000 -
           MW_LATE_EXECUTION_US;
}

/* How much the clock may have lost since it was read. */
static int64_t
clock_drift(const struct mw_flow_endpoint *endpoint, int64_t now_us)
{
    return (now_us - endpoint->clock_read_us) / CLOCK_DRIFT_ONE_IN;
}

static guint
count_open(const struct mw_flow_endpoint *endpoint)
{
    return endpoint->open_grants ? endpoint->open_grants->len : 0;
}

static struct mw_open_grant *
get_open(const struct mw_flow_endpoint *endpoint, guint i)
{
    return &g_array_index(endpoint->open_grants, struct mw_open_grant, i);
}

/* By how much open grants may extend leases, however late they are executed.
 */
static int64_t
sum_extensions(const struct mw_flow_endpoint *endpoint)
{
    int64_t sum_us = 0;

    for (guint i = 0; i < count_open(endpoint); i++) {
        sum_us += get_open(endpoint, i)->late_duration_us;
    }
    return sum_us;
}

int64_t
mw_lease_horizon(const struct mw_flows *flows)
{
    int64_t longest_us = mw_lease_duration(flows->limits.lease_max_us);
    int64_t renewed_us = mw_lease_duration(MW_RENEWAL_LEASE_US) -
                         MW_GRANT_INTERVAL_US +
                         late_lease_duration(MW_RENEWAL_LEASE_US);

    return MAX(longest_us, renewed_us);
}

int64_t
mw_earlier_calls_us(const struct mw_flows *flows,
                    const struct mw_flow_endpoint *endpoint)
{
    return endpoint->has_earlier_calls ? endpoint->earlier_calls_us
                                       : flows->leads_since_us;
}

/*
 * What earlier leaders sent until mw_earlier_calls_us is executed within
 * MW_LATE_EXECUTION_US.  Where the log calls a run identified, they kept to
 * the horizon, and each run that it does not call so may have a start on its
 * way.
 */
static int64_t
unheard_expiry(const struct mw_flows *flows,
               const struct mw_flow_endpoint *endpoint)
{
    int64_t longest_us =
        MW_LATE_EXECUTION_US + mw_lease_duration(flows->limits.lease_max_us);
    int64_t bounded_us =
        mw_lease_horizon(flows) + endpoint->earlier_unidentified_runs *
                                      mw_lease_duration(MW_START_LEASE_US);
    bool is_bounded = endpoint->earlier_identified_runs > 0 ||
                      endpoint->earlier_unidentified_runs == 0;

    return mw_earlier_calls_us(flows, endpoint) +
           (is_bounded ? MIN(bounded_us, longest_us) : longest_us);
}

/*
 * Once the endpoint has executed a call of this leader, it refuses those of
 * earlier ones, as its fencing token is higher.
 */
static int64_t
earlier_expiry(const struct mw_flows *flows,
               const struct mw_flow_endpoint *endpoint)
{
    int64_t expiry_us = unheard_expiry(flows, endpoint);

    return endpoint->first_list_us > 0
               ? MIN(expiry_us,
                     endpoint->first_list_us +
                         mw_lease_duration(flows->limits.lease_max_us))
               : expiry_us;
}

static bool
has_earlier_runs(const struct mw_flow_endpoint *endpoint)
{
    return endpoint->earlier_identified_runs > 0 ||
           endpoint->earlier_unidentified_runs > 0;
}

/*
 * When the leases have expired, but for the extensions of open grants.  What
 * the last list showed was at work then.
 */
static int64_t
settled_expiry(const struct mw_flows *flows,
               const struct mw_flow_endpoint *endpoint)
{
    int64_t expiry_us =
        MAX(endpoint->answered_expiry_us, endpoint->list_read_us);

    return has_earlier_runs(endpoint)
               ? MAX(expiry_us, earlier_expiry(flows, endpoint))
               : expiry_us;
}

/*
 * Each open grant may be executed while something is at work, in any order,
 * and none later than MW_LATE_EXECUTION_US after it was sent.
 */
static int64_t
granted_expiry(const struct mw_flows *flows,
               const struct mw_flow_endpoint *endpoint)
{
    int64_t settled_us = settled_expiry(flows, endpoint);
    int64_t last_us = settled_us;

    for (guint i = 0; i < count_open(endpoint); i++) {
        const struct mw_open_grant *grant = get_open(endpoint, i);

        last_us = MAX(last_us, grant->sent_us + MW_LATE_EXECUTION_US +
                                   grant->late_duration_us);
    }
    return MIN(settled_us + sum_extensions(endpoint), last_us);
}

/*
 * The first open grant can't be executed any more.  It counts as executed at
 * the last moment at which something was at work: the other open grants may
 * have been executed before it.
 */
static void
close_first_grant(const struct mw_flows *flows,
                  struct mw_flow_endpoint *endpoint)
{
    const struct mw_open_grant *grant = get_open(endpoint, 0);
    int64_t at_work_us = settled_expiry(flows, endpoint) +
                         sum_extensions(endpoint) - grant->late_duration_us;
    int64_t executed_us =
        MIN(at_work_us, grant->sent_us + MW_LATE_EXECUTION_US);

    endpoint->answered_expiry_us = MAX(endpoint->answered_expiry_us,
                                       executed_us + grant->late_duration_us);
    g_array_remove_index(endpoint->open_grants, 0);
}

void
mw_close_past_grants(const struct mw_flows *flows,
                     struct mw_flow_endpoint *endpoint, int64_t now_us)
{
    while (count_open(endpoint) > 0 &&
           now_us >= get_open(endpoint, 0)->sent_us + MW_LATE_EXECUTION_US) {
        close_first_grant(flows, endpoint);
    }
}

bool
mw_has_unanswered_grants(const struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < count_open(endpoint); i++) {
        if (get_open(endpoint, i)->has_ended) {
            return true;
        }
    }
    return false;
}

/*
 * When leases have expired, but for the extensions of starts on their way.
 * Their runs are not recorded as identified, and are shown by a list, or keep
 * their tasks, for as long as the start may be executed.
 */
static int64_t
bounded_expiry(const struct mw_flows *flows,
               const struct mw_flow_endpoint *endpoint)
{
    int64_t expiry_us = settled_expiry(flows, endpoint);

    for (guint i = 0; i < count_open(endpoint); i++) {
        const struct mw_open_grant *grant = get_open(endpoint, i);

        if (!grant->is_start || grant->has_ended) {
            expiry_us += grant->late_duration_us;
        }
    }
    return expiry_us;
}

int64_t
mw_lease_within_horizon(const struct mw_flows *flows,
                        const struct mw_flow_endpoint *endpoint,
                        int64_t now_us)
{
    int64_t left_us = now_us + mw_lease_horizon(flows) -
                      bounded_expiry(flows, endpoint) -
                      clock_drift(endpoint, now_us);

    return MAX(left_us, 0) * 1000 / MW_CLOCK_DRIFT_PERMILLE;
}

bool
mw_is_within_horizon(const struct mw_flows *flows,
                     const struct mw_flow_endpoint *endpoint)
{
    int64_t calls_us = MAX(endpoint->granted_us, flows->leads_since_us);

    return bounded_expiry(flows, endpoint) <=
           calls_us + mw_lease_horizon(flows);
}

/* The reading of the clock may be old, so its drift since then is added. */
int64_t
mw_grant_lease(struct mw_flow_endpoint *endpoint, int64_t now_us,
               const struct mw_flow_pending_command *pending, int64_t lease_us)
{
    int64_t drift_us = clock_drift(endpoint, now_us);
    struct mw_open_grant grant = {
        .ref = pending->ref,
        .sent_us = now_us,
        .is_start = pending->kind == MW_FLOW_COMMAND_START,
        .duration_us = mw_lease_duration(lease_us) + drift_us,
        .late_duration_us = late_lease_duration(lease_us) + drift_us,
        .lease_us = lease_us,
        .incarnation = endpoint->incarnation,
    };

    if (!endpoint->open_grants) {
        endpoint->open_grants =
            g_array_new(FALSE, FALSE, sizeof(struct mw_open_grant));
    }
    g_array_append_val(endpoint->open_grants, grant);
    endpoint->granted_us = now_us;
    if (pending->kind == MW_FLOW_COMMAND_RENEW) {
        endpoint->renewal_granted_us = now_us;
    }
    endpoint->lease_expiry_us =
        MAX(endpoint->lease_expiry_us, now_us + grant.duration_us);
    return mw_flow_endpoint_clock(endpoint, now_us) + lease_us;
}

static struct mw_open_grant *
find_open(const struct mw_flow_endpoint *endpoint, uint64_t ref, guint *index)
{
    for (*index = 0; *index < count_open(endpoint); (*index)++) {
        if (get_open(endpoint, *index)->ref == ref) {
            return get_open(endpoint, *index);
        }
    }
    return NULL;
}

void
mw_settle_grant(struct mw_flow_endpoint *endpoint,
                const struct mw_flow_pending_command *pending,
                bool is_answered, bool was_repeated)
{
    guint index;
    struct mw_open_grant *grant = find_open(endpoint, pending->ref, &index);

    if (!grant) {
        return;
    }
    grant->has_ended = true;
    if (is_answered) {
        endpoint->answered_expiry_us = MAX(
            endpoint->answered_expiry_us, grant->sent_us + grant->duration_us);
    }
    if (is_answered && !was_repeated) {
        g_array_remove_index(endpoint->open_grants, index);
    }
}

bool
mw_renewal_grant_is_due(const struct mw_flow_endpoint *endpoint,
                        int64_t now_us)
{
    return now_us - endpoint->renewal_granted_us >= MW_GRANT_INTERVAL_US;
}

int64_t
mw_last_lease_expiry(const struct mw_flows *flows,
                     const struct mw_flow_endpoint *endpoint)
{
    int64_t expiry_us =
        MAX(granted_expiry(flows, endpoint), endpoint->lease_expiry_us);

    return MAX(expiry_us, earlier_expiry(flows, endpoint));
}

int64_t
mw_stray_lease_expiry(const struct mw_flows *flows,
                      const struct mw_flow_endpoint *endpoint)
{
    int64_t listed_us = endpoint->list_read_us +
                        mw_lease_duration(flows->limits.lease_max_us) +
                        sum_extensions(endpoint);

    return MAX(mw_last_lease_expiry(flows, endpoint), listed_us);
}

void
mw_drop_grants(struct mw_flow_endpoint *endpoint)
{
    g_clear_pointer(&endpoint->open_grants, g_array_unref);
}

void
mw_describe_lease(const struct mw_flows *flows,
                  const struct mw_flow_endpoint *endpoint, int64_t now_us,
                  struct mw_flow_lease_event *event)
{
    *event = (struct mw_flow_lease_event){
        .left_us = mw_last_lease_expiry(flows, endpoint) - now_us,
        .clock_age_us = endpoint->clock_read_us > 0
                            ? now_us - endpoint->clock_read_us
                            : -1,
        .clock_incarnation = endpoint->clock_incarnation,
        .granted_age_us =
            endpoint->granted_us > 0 ? now_us - endpoint->granted_us : -1,
        .answered_left_us = endpoint->answered_expiry_us > 0
                                ? endpoint->answered_expiry_us - now_us
                                : 0,
        .earlier_age_us = now_us - mw_earlier_calls_us(flows, endpoint),
        .open_count = count_open(endpoint),
    };
    if (event->open_count > 0) {
        const struct mw_open_grant *first = get_open(endpoint, 0);

        event->open_age_us = now_us - first->sent_us;
        event->open_lease_us = first->lease_us;
        event->open_incarnation = first->incarnation;
    }
}
