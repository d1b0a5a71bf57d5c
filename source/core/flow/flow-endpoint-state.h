#ifndef MW_CORE_FLOW_ENDPOINT_STATE_H
#define MW_CORE_FLOW_ENDPOINT_STATE_H

#include <glib.h>

#include "endpoint-speed.h"
#include "mimosawind/flow.h"

/* flow-endpoint-state: endpoints as the leader knows them. */

/* an endpoint without contact for so long gets no work */
#define MW_CONTACT_TIMEOUT_US INT64_C(4500000)
/* with more kinds on an endpoint, its placements are looked at one by one */
#define MW_PLACED_KINDS_MAX 8

struct mw_flows;
struct mw_task_group;
struct mw_urgent_pool;

/* mw_flow_endpoint: an endpoint as the leader knows it. */
struct mw_flow_endpoint {
    struct mw_name id;
    uint64_t incarnation;
    /*
     * Differs for each process that was found there, and rises; part of the
     * fencing token, so that a process that was called refuses calls that were
     * meant for the one before it.
     */
    uint32_t generation;
    /*
     * This leader has seen a heartbeat, or a record of one.  Otherwise the
     * endpoint is known only from the records of its runs.
     */
    bool registered;
    /* shut down or replaced; kept so that late heartbeats are recognised */
    bool deregistered;
    /* says that it leaves; deregistered once its process has ended */
    bool is_leaving;
    /* deregistered after it said that it leaves; a later heartbeat that says
     * ready contradicts this */
    bool has_left;
    struct mw_flow_heartbeat heartbeat;
    struct mw_name rack;
    /* the capacity of the heartbeat counts until then */
    int64_t capacity_deadline_us;
    /* the most of each that this incarnation had */
    struct mw_flow_resources largest_total;
    struct mw_flow_resources used;
    GPtrArray *placements;
    /* last heartbeat or list */
    int64_t last_contact_us;
    /* reading of its clock, when that was read, and how long before it may
     * have been shown */
    int64_t clock_us;
    int64_t clock_read_us;
    int64_t clock_uncertainty_us;
    /* of the process that is taken to have shown it */
    uint64_t clock_incarnation;
    /* every lease that this leader granted by this clock has expired by then,
     * but for grants that are executed late */
    int64_t lease_expiry_us;
    /* the leases of grants that can't be executed any more have expired */
    int64_t answered_expiry_us;
    /* struct mw_open_grant, by the time they were sent; NULL for none */
    GArray *open_grants;
    /* when a renewal last granted a lease */
    int64_t renewal_granted_us;
    /*
     * Until when a call that extends leases may be executed by a process that
     * is not identified.  A deadline that was reckoned on another process's
     * clock grants the longest lease there.
     */
    int64_t grant_deadline_us;
    /* the same before the renewal whose connection was lost; 0 for none */
    int64_t prior_grant_deadline_us;
    /*
     * No lease was granted there since then, on the flow clock, and none may
     * be now; 0 if one may.
     */
    int64_t silent_since_us;
    /* the record that it was heard of again is not committed yet */
    bool awaits_heard_record;
    /* the last silence, also if it is over */
    int64_t last_silence_us;
    /* when this leader last granted a lease there; 0 for never */
    int64_t granted_us;
    /* when the last calls of earlier leaders were sent, if the log says so */
    bool has_earlier_calls;
    int64_t earlier_calls_us;
    /* when this leader began: runs that the log called identified, and others;
     * where it called none so, earlier leaders may have exceeded the horizon
     * of leases */
    uint32_t earlier_identified_runs;
    uint32_t earlier_unidentified_runs;
    bool renewal_pending;
    /* the last renewal that was sent */
    uint64_t renewal_ref;
    /* the generation that a list was read of */
    uint32_t listed_generation;
    /* when the renewal was sent whose list came last, and when it came */
    int64_t list_requested_us;
    int64_t list_read_us;
    /* when this leader read the first list there, and the process that it was
     * taken to be of; 0 for none */
    int64_t first_list_us;
    uint64_t first_list_incarnation;
    /*
     * A heartbeat or the clock of a response contradicts what is known; its
     * list will show whether another incarnation is there.
     */
    bool is_contested;
    /* the heartbeat that does, if that list decides about it; or NULL */
    struct mw_flow_heartbeat *held_heartbeat;
    /* when the next renewal may be sent */
    int64_t renewal_deadline_us;
    /* numbers of the last end that was listed, recorded, acknowledged */
    uint64_t seen_end;
    uint64_t committed_end;
    uint64_t acknowledged_end;
    /* ends whose records are not committed yet */
    uint32_t uncommitted_ends;
    /* in a row */
    uint32_t renewal_failures;
    /* its last command had no response */
    bool unresponsive;
    /*
     * When the connection broke on which its list was waited for; 0 while it
     * responds, and if it only did not respond in time.
     */
    int64_t connection_lost_us;
    /* connections are refused since then */
    bool has_crashed;
    /* placements on trial */
    uint32_t trials;
    /* its list of runs is known to this leader; false requests it anew */
    bool list_read;
    /* runs of the last list without a placement */
    uint32_t unknown_runs;
    /* struct stray_use of these runs; NULL for none */
    GArray *stray_uses;
    /* struct mw_late_start; NULL for none */
    GArray *late_starts;
    uint32_t consecutive_failures;
    struct mw_endpoint_speed speed;
    /* set of the kinds that run according to the last list, and when that was
     * made; 0 and 0 for no list */
    uint64_t listed_kinds;
    int64_t kinds_listed_us;
    /* sets of the kinds beside the runs whose rates taught its speed since
     * speed_kinds_us, and in the period before */
    uint64_t speed_kinds;
    uint64_t earlier_speed_kinds;
    int64_t speed_kinds_us;
    /* mw_interference_generation, of the sets above */
    uint32_t kinds_generation;
    /* hashes of the kinds of its placements, and whether they are up to date;
     * a larger count means that there are more than these */
    uint64_t placed_kinds[MW_PLACED_KINDS_MAX];
    uint32_t placed_kind_count;
    bool has_placed_kinds;
    /* when a run last made progress or was done */
    int64_t last_progress_us;
    int64_t quarantine_deadline_us;
    /* may get work in this scheduling pass */
    bool usable;
    /* of its service, set by each pass, and whether its rack belongs to it */
    struct mw_urgent_pool *urgent_pool;
    bool in_urgent_pool;
    /* a record of its heartbeat is not committed yet, and what it says */
    bool record_pending;
    bool pending_draining;
    struct mw_flow_resources pending_total;
    /* until then a capacity that changes is recorded as nothing */
    int64_t capacity_record_deadline_us;
    /*
     * The incarnation is known from a response only; a heartbeat will say
     * which resources it has.
     */
    bool awaiting_heartbeat;
    struct mw_task_group *reserved_for;
    uint32_t reserved_rank;
    int64_t reserved_deadline_us;
};

/* mw_is_muted: whether no lease may be granted there, and nothing started. */
bool mw_is_muted(const struct mw_flow_endpoint *endpoint);
struct mw_flow_endpoint *mw_find_flow_endpoint(struct mw_flows *flows,
                                               const struct mw_name *id);
/* mw_flow_endpoint_clock: what its clock should show now. */
int64_t mw_flow_endpoint_clock(const struct mw_flow_endpoint *endpoint,
                               int64_t now_us);
/* uncertainty_us: how long before now_us the clock may have shown it */
void mw_update_flow_endpoint_clock(struct mw_flow_endpoint *endpoint,
                                   int64_t now_us, int64_t clock_us,
                                   int64_t uncertainty_us);
bool mw_flow_zone_is_out(const struct mw_flows *flows,
                         const struct mw_name *zone);
bool mw_flow_endpoint_has_label(const struct mw_flow_endpoint *endpoint,
                                const struct mw_name *label);
/* mw_flow_endpoint_is_usable: whether it may get work now. */
bool mw_flow_endpoint_is_usable(const struct mw_flows *flows,
                                const struct mw_flow_endpoint *endpoint,
                                int64_t now_us);
/* whether the capacity of its last heartbeat is recent enough for a start */
bool mw_endpoint_capacity_counts(const struct mw_flow_endpoint *endpoint,
                                 int64_t now_us);

#endif
