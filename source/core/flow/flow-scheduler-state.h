#ifndef MW_CORE_FLOW_SCHEDULER_STATE_H
#define MW_CORE_FLOW_SCHEDULER_STATE_H

#include <glib.h>

#include "endpoint-speed.h"
#include "flow-clock.h"
#include "flow-command-queue.h"
#include "flow-config-versions.h"
#include "flow-task-state.h"
#include "mimosawind/flow.h"
#include "retry-after.h"

/*
 * flow-scheduler-state: the state of the scheduler of flows.
 *
 * FILES
 *   flow-request.c      requests of clients and operators
 *   flow-submit.c       whether a submitted flow is accepted
 *   flow-pending-request.c  requests whose records are not committed yet
 *   flow-reply.c        replies to requests
 *   flow-admission.c    whether another flow can be held
 *   flow-endpoint.c     heartbeats and incarnations
 *   flow-endpoint-address.c  which endpoint an address belongs to
 *   flow-registry.c     records of endpoints
 *   flow-silence.c      endpoints that do not answer, over changes of leader
 *   flow-response.c     responses to commands
 *   flow-late-start.c   starts that endpoints may still execute
 *   flow-identified-run.c  records of the runs that lists have shown
 *   flow-lease.c        leases, and when they have expired
 *   flow-clock.c        time that goes on over leaders and restarts
 *   flow-reconcile.c    reconciles lists of runs with placements
 *   flow-state.c        flows and tasks, and their status
 *   flow-apply.c        applies committed records
 *   flow-config-versions.c  the configuration in force
 *   flow-snapshot.c     records of a snapshot
 *   flow-schedule.c     scheduling passes
 *   flow-takeover.c     start and end of leadership
 *   flow-doubt.c        lines about the runs that a leader takes over
 *   flow-guarantee.c    use of the organisations' guarantees
 *   flow-queue.c        ranks waiting work
 *   flow-capacity.c     how long a capacity counts, whether a start fits
 *   flow-speed.c        observations for the endpoints' speeds
 *   flow-quota.c        what the organisations' caps admit
 *   flow-account.c      use of the organisations in each service
 *   flow-interference.c  which kinds of work the lists show side by side
 *   flow-place.c        chooses endpoints
 *   flow-preempt.c      preemption, and room for waiting gangs
 *   flow-reserve.c      endpoints reserved for a group
 *   flow-urgent-pool.c  the pool of racks for urgent work
 *   flow-health.c       quarantine of failing endpoints
 *   flow-crash.c        tasks that crash endpoints
 *   flow-command.c      sends commands and grants leases
 *   flow-command-queue.c  which command may be sent next
 *   flow-measure.c      latencies
 *   flow-org-status.c   use and caps of organisations, for metrics
 *   flow-wait.c         task groups that wait for long beside free room
 *   flow-event.c        lines of the event log
 *   policy/quota.c      what each organisation uses, against its cap
 *   policy/fair-share.c  the order of waiting work by weighted shares
 *
 * The replicated state of tasks changes only in flow-apply.c.  The state of
 * endpoints and placements belongs to the leader; the next leader builds its
 * own from the log and from the endpoints' lists.
 */

struct mw_interference;
struct mw_quota;

/* mw_flows: replicated state, then the state of the leader. */
struct mw_flows {
    struct mw_flow_limits limits;
    struct mw_flow_output output;
    struct mw_flow_config_versions configs;
    GHashTable *flows;
    /* of all of them */
    struct mw_flow_size held;
    /* flows that have not ended, oldest first */
    GPtrArray *active;
    GHashTable *zones_out;
    /* last record of each endpoint that is not gone, by identifier */
    GHashTable *endpoint_records;
    struct mw_flow_clock clock;

    /* the reading of the clock that this leader goes on from */
    struct mw_flow_clock earlier_clock;
    /* how many lines about runs in doubt may follow the takeover's */
    uint32_t doubt_lines_left;
    bool is_leader;
    bool suspended;
    uint64_t fence;
    /* the last generation of an endpoint */
    uint32_t last_generation;
    /* when an endpoint last started anew; 0 for never */
    int64_t last_restart_us;
    /* when this leader took over */
    int64_t leads_since_us;
    /* when long waits are looked at next */
    int64_t wait_report_deadline_us;
    GHashTable *endpoints;
    /* the endpoint that was last heard of at an address */
    GHashTable *by_address;
    /* all endpoints, sorted by rack; rebuilt by a pass if it is stale */
    GPtrArray *by_rack;
    bool is_rack_order_stale;
    /* endpoints that may get work in this pass, sorted by rack */
    GPtrArray *usable;
    /* of these endpoints, and how many are slow, normal or fast */
    struct mw_speed_mean speed_mean;
    uint32_t speed_counts[MW_SPEED_CLASSES];
    GHashTable *pending_commands;
    struct mw_command_queue command_queue;
    /* mw_send_waiting_commands is at work */
    bool is_sending;
    /* placements whose record is not committed yet */
    uint32_t proposed_runs;
    /* renewals that this pass may still send */
    uint32_t renewals_left;
    /* some were left for the next pass */
    bool has_renewals_left;
    GArray *pending_requests;
    uint64_t next_ref;
    /* highest version of the configuration that was proposed */
    uint64_t proposed_version;
    /* something changed since the last scheduling pass */
    bool dirty;
    /* time of the call that is being handled */
    int64_t now_us;
    int64_t tick_deadline_us;
    int64_t pass_deadline_us;
    int64_t maintenance_deadline_us;
    /* struct mw_urgent_pool by service */
    GHashTable *urgent_pools;
    /* use of the placements, and the caps of the version below */
    struct mw_quota *quota;
    uint64_t quota_version;
    /* set of struct mw_flow_account, of all flows since the process began */
    GHashTable *accounts;
    struct mw_retry_window refusals;
    struct mw_interference *interference;
    struct mw_flow_counters counters;
    struct mw_flow_histogram latencies[MW_FLOW_LATENCIES];
};

#endif
