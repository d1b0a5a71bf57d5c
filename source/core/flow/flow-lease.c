/*
 * flow-lease: leases that endpoints are granted, and when they have expired.
 */
#include "flow-lease.h"

#include "flow-command.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-scheduler-state.h"

/* mw_open_grant: a grant that may be executed yet, or again. */
struct mw_open_grant {
    uint64_t ref;
    int64_t sent_us;
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

/* Without the margin, which the lease that it extends has already. */
static int64_t
late_lease_duration(int64_t lease_us)
{
    return lease_us * MW_CLOCK_DRIFT_PERMILLE / 1000;
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

/*
 * When a lease ends that expires at expiry_us, if the grant is executed as
 * late as it may be: by then, and while something is at work.
 */
static int64_t
extend(int64_t expiry_us, const struct mw_open_grant *grant)
{
    int64_t executed_us = MAX(
        MIN(expiry_us, grant->sent_us + MW_LATE_EXECUTION_US), grant->sent_us);

    return MAX(expiry_us, executed_us + grant->late_duration_us);
}

/* Grants are in the order in which they were sent, and each extends the lease
 * that the ones before it leave. */
static int64_t
granted_expiry(const struct mw_flow_endpoint *endpoint)
{
    int64_t expiry_us = endpoint->answered_expiry_us;

    for (guint i = 0; i < count_open(endpoint); i++) {
        expiry_us = extend(expiry_us, get_open(endpoint, i));
    }
    return expiry_us;
}

/* Counts grants that can't be executed any more as if they had been executed
 * at the last moment. */
static void
close_past_grants(struct mw_flow_endpoint *endpoint, int64_t now_us)
{
    while (count_open(endpoint) > 0 &&
           now_us >= get_open(endpoint, 0)->sent_us + MW_LATE_EXECUTION_US) {
        endpoint->answered_expiry_us =
            extend(endpoint->answered_expiry_us, get_open(endpoint, 0));
        g_array_remove_index(endpoint->open_grants, 0);
    }
}

/* The reading of the clock may be old, so its drift since then is added. */
int64_t
mw_grant_lease(struct mw_flow_endpoint *endpoint, int64_t now_us,
               const struct mw_flow_pending_command *pending, int64_t lease_us)
{
    int64_t drift_us = (now_us - endpoint->clock_read_us) / 32;
    struct mw_open_grant grant = {
        .ref = pending->ref,
        .sent_us = now_us,
        .duration_us = mw_lease_duration(lease_us) + drift_us,
        .late_duration_us = late_lease_duration(lease_us) + drift_us,
        .lease_us = lease_us,
        .incarnation = endpoint->incarnation,
    };

    close_past_grants(endpoint, now_us);
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

void
mw_settle_grant(struct mw_flow_endpoint *endpoint,
                const struct mw_flow_pending_command *pending,
                bool is_answered)
{
    for (guint i = 0; is_answered && i < count_open(endpoint); i++) {
        const struct mw_open_grant *grant = get_open(endpoint, i);

        if (grant->ref == pending->ref) {
            endpoint->answered_expiry_us =
                MAX(endpoint->answered_expiry_us,
                    grant->sent_us + grant->duration_us);
            g_array_remove_index(endpoint->open_grants, i);
            return;
        }
    }
}

bool
mw_renewal_grant_is_due(const struct mw_flow_endpoint *endpoint,
                        int64_t now_us)
{
    return now_us - endpoint->renewal_granted_us >= MW_GRANT_INTERVAL_US;
}

int64_t
mw_earlier_calls_us(const struct mw_flows *flows,
                    const struct mw_flow_endpoint *endpoint)
{
    return endpoint->has_earlier_calls ? endpoint->earlier_calls_us
                                       : flows->leads_since_us;
}

/*
 * The last renewal of an earlier leader may have been open.  The one before it
 * was sent MW_GRANT_INTERVAL_US earlier, and something has to be at work when
 * the last is executed.
 */
static int64_t
earlier_expiry(const struct mw_flows *flows,
               const struct mw_flow_endpoint *endpoint)
{
    int64_t longest_us = mw_lease_duration(flows->limits.lease_max_us);
    int64_t renewed_us = mw_lease_duration(MW_RENEWAL_LEASE_US) -
                         MW_GRANT_INTERVAL_US +
                         late_lease_duration(MW_RENEWAL_LEASE_US);

    return mw_earlier_calls_us(flows, endpoint) + MAX(longest_us, renewed_us);
}

int64_t
mw_last_lease_expiry(const struct mw_flows *flows,
                     const struct mw_flow_endpoint *endpoint)
{
    int64_t expiry_us =
        MAX(granted_expiry(endpoint), endpoint->lease_expiry_us);

    return MAX(expiry_us, earlier_expiry(flows, endpoint));
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
