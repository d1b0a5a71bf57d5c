#ifndef MW_CORE_FLOW_IMPL_H
#define MW_CORE_FLOW_IMPL_H

#include <glib.h>

#include "mimosawind/flow.h"

/*
 * flow-impl: the state of the scheduler of flows.
 *
 * ORDER OF CALLS
 *   flow-request.c, flow-endpoint.c, flow-answer.c   events come in
 *   flow-observe.c                 what an endpoint lists becomes facts
 *   flow-state.c, flow-known.c     committed records become state
 *   flow-pump.c                            what is due: place, order, hold
 *   flow-queue.c, flow-place.c     who is next, and where
 *   flow-reclaim.c                 who makes room
 *   flow-reserve.c, flow-judge.c   which endpoints to use
 *   flow-order.c                   orders go out
 *
 * A task's replicated state changes only in flow-state.c.  Everything about
 * endpoints and places is the leader's own and is learnt anew by the next.
 */

/* waiting work is looked at once in so long, however much happens */
#define MW_FLOW_PASS_US 15000
#define MW_FLOW_TICK_US 50000
/* slow chores: what has ended, what is on no endpoint */
#define MW_FLOW_MAINTENANCE_US 400000
/* room that could not be made is asked for again after so long */
#define MW_PREEMPTION_RETRY_US 250000
/* an order's answer is waited for so long */
#define MW_COMMAND_TIMEOUT_US INT64_C(1000000)
/* a start may be carried out late until its own lease has passed */
#define MW_START_LEASE_US INT64_C(5000000)
#define MW_RENEWAL_LONG_POLL_US INT64_C(2000000)
#define MW_RENEWAL_RETRY_US INT64_C(400000)
/* lease beyond which work on an unreachable endpoint is given up */
#define MW_RENEWAL_LEASE_US INT64_C(7000000)
/* part of the longest lease that is never asked for */
#define MW_LEASE_MARGIN_US INT64_C(500000)
/* an endpoint's clock may be 2% slow */
#define MW_CLOCK_DRIFT_PERMILLE 1030
#define MW_CONTACT_TIMEOUT_US INT64_C(4500000)
#define MW_REFUSAL_QUARANTINE_US INT64_C(5000000)
/* one failure may be the job's; a second in a row looks like the endpoint */
#define MW_FIRST_QUARANTINE_US INT64_C(2500000)
#define MW_REPEATED_QUARANTINE_US INT64_C(12000000)
/* at most this part of the endpoints is kept out for failures: one in N */
#define MW_QUARANTINE_ONE_IN 4
/* a task whose percentage stands still for so long is given up */
#define MW_STALL_TIMEOUT_US INT64_C(4300000)
#define MW_RESERVATION_MARGIN_US INT64_C(800000)
/* a gang that wants one rack waits so long before it is spread */
#define MW_RACK_WAIT_US INT64_C(2500000)
/* urgent ones less: they must begin within the time to reclaim */
#define MW_URGENT_RACK_WAIT_US INT64_C(900000)
/* tasks wait so long for the rack that holds their data */
#define MW_DATA_LOCALITY_WAIT_US INT64_C(2000000)

enum mw_task_placement_phase {
    /* the record of the run is not committed yet */
    MW_PLACEMENT_PROPOSED = 0,
    MW_PLACEMENT_STARTING = 1,
    MW_PLACEMENT_RUNNING = 2,
    /* recorded by an earlier leader; a list must tell */
    MW_PLACEMENT_UNKNOWN = 3,
    MW_PLACEMENT_STOPPING = 4,
    /* a stop was taken; a later list must show the end, or nothing */
    MW_PLACEMENT_STOPPED = 5
};

/* mw_lateness: of work that waits, against its objective. */
enum mw_lateness {
    MW_ON_TIME = 0,
    MW_LATE = 1,
    MW_TOO_LATE = 2
};

struct mw_task_group;
struct mw_flow_endpoint;

/* mw_task_placement: one run that an endpoint has, or may have. */
struct mw_task_placement {
    struct mw_task_group *group;
    uint32_t index;
    uint32_t run;
    struct mw_flow_endpoint *endpoint;
    struct mw_flow_amount need;
    enum mw_task_placement_phase phase;
    bool command_pending;
    /* so many that what saves must wait as well */
    bool full;
    /* an order of this run had no answer, so it may come late */
    bool start_unanswered;
    uint32_t start_attempts;
    /* a list asked for after this time tells about the run */
    int64_t last_response_us;
    int64_t retry_deadline_us;
    int64_t started_us;
    uint32_t percent;
    /* when percent last changed */
    int64_t last_progress_us;
    /* the newest that a list has shown */
    struct mw_blob *checkpoint;
};

struct mw_flow_task {
    enum mw_task_state state;
    uint32_t run;
    uint32_t failures;
    struct mw_name endpoint;
    uint64_t incarnation;
    struct mw_blob *checkpoint;
    /* the leader's own */
    struct mw_task_placement *placement;
    /* records about the task that are not committed yet */
    uint32_t uncommitted_records;
};

struct mw_flow;

/* mw_task_group: one step of one occurrence of a flow. */
struct mw_task_group {
    struct mw_flow *flow;
    const struct mw_flow_step *step;
    uint32_t occurrence;
    uint32_t step_index;
    struct mw_flow_task *tasks;
    uint32_t done_count;
    /* the leader's own */
    int64_t ready_us;
    bool started;
    uint32_t rank;
    int64_t due_wall_us;
    enum mw_lateness lateness;
    /* run of the gang that has been counted as failed */
    uint32_t failed_run;
    /* task whose checkpoint is the newest of the gang */
    uint32_t newest_checkpoint_index;
    /* how often it has made room for others */
    uint32_t preemption_count;
    int64_t preemption_deadline_us;
};

struct mw_flow {
    struct mw_name id;
    struct mw_flow_route route;
    struct mw_name org;
    int64_t accepted_wall_us;
    enum mw_flow_state state;
    struct mw_blob *plan_text;
    struct mw_flow_plan *plan;
    uint32_t group_count;
    struct mw_task_group *groups;
    uint32_t groups_done;
    bool started;
    /* when this process applied its record */
    int64_t accepted_us;
    /* the leader's own */
    bool end_proposed;
    int64_t ended_us;
};

struct mw_flow_endpoint {
    struct mw_name id;
    uint64_t incarnation;
    /* it has been heard of since this process leads */
    bool registered;
    /* it has said that it ends; kept so that late heartbeats are known */
    bool deregistered;
    struct mw_beat heartbeat;
    struct mw_name rack;
    struct mw_flow_amount used;
    GPtrArray *placements;
    int64_t last_contact_us;
    int64_t clock_us;
    int64_t clock_read_us;
    /* every lease ever sent has lapsed by then */
    int64_t lease_expiry_us;
    bool renewal_pending;
    int64_t renewal_sent_us;
    int64_t renewal_deadline_us;
    bool list_wanted;
    uint64_t seen_end;
    uint64_t committed_end;
    uint64_t acknowledged_end;
    uint32_t uncommitted_ends;
    uint32_t renewal_failures;
    /* its list has been read since this process leads */
    bool list_read;
    /* runs of the last list that this process knows nothing of */
    uint32_t unknown_runs;
    uint32_t consecutive_failures;
    /* a task here was last seen to get on, or to end well */
    int64_t last_progress_us;
    int64_t quarantine_deadline_us;
    /* may get work in this pass over what waits */
    bool usable;
    /* in a rack that is kept for urgent work */
    bool in_urgent_pool;
    /* a record of what it says is on its way, and what that tells */
    bool record_pending;
    bool pending_draining;
    /* an answer told of this life; what it has, its heartbeat will say */
    bool awaiting_heartbeat;
    struct mw_task_group *reserved_for;
    uint32_t reserved_rank;
    int64_t reserved_deadline_us;
};

/* mw_flow_pending_command: an order on its way. */
struct mw_flow_pending_command {
    uint64_t ref;
    enum mw_flow_order_kind kind;
    struct mw_name endpoint;
    uint64_t incarnation;
    struct mw_task_id task;
    uint32_t run;
    int64_t sent_us;
};

/* mw_flow_pending_request: a request whose record is on its way. */
struct mw_flow_pending_request {
    uint64_t ref;
    enum mw_flow_request_kind kind;
    struct mw_name name;
    uint64_t version;
    int64_t received_us;
};

struct mw_flows {
    struct mw_flow_bounds bounds;
    struct mw_flow_output output;
    struct mw_flow_config *config;
    GHashTable *flows;
    /* flows that have not ended, oldest first */
    GPtrArray *active;
    GHashTable *zones_out;
    /* the records of the endpoints that are there, by identifier */
    GHashTable *endpoint_records;

    bool is_leader;
    bool suspended;
    uint64_t fence;
    int64_t led_since_us;
    GHashTable *endpoints;
    /* endpoints that may get work in this pass, rack by rack */
    GPtrArray *usable;
    GHashTable *pending_commands;
    GArray *pending_requests;
    uint64_t next_ref;
    uint64_t proposed_version;
    bool dirty;
    /* of the event that is being handled */
    int64_t now_us;
    int64_t tick_deadline_us;
    int64_t pass_deadline_us;
    int64_t maintenance_deadline_us;
    /* peak of the accelerators that urgent work wants, in thousandths */
    uint32_t urgent_peak_milligpus;
    /* more than half of the accelerators are in use */
    bool busy;
    /* so many that what saves must wait as well */
    bool nearly_full;
    struct mw_flow_counters counters;
    struct mw_flow_histogram latencies[MW_FLOW_TIMES];
};

/* flow-state.c */
/* proposes a TASKS record and counts it; false when this process can't */
bool mw_propose_tasks(struct mw_flows *flows, struct mw_record *record);
struct mw_flow *mw_find_flow(struct mw_flows *flows, const struct mw_name *id);
struct mw_task_group *mw_find_task_group(struct mw_flow *flow,
                                         uint32_t occurrence, uint32_t step);
struct mw_flow_task *mw_find_task(struct mw_flows *flows,
                                  const struct mw_task_id *id,
                                  struct mw_task_group **group);
/* whether a task waits to be placed, with nothing about it undecided */
bool mw_task_is_waiting(const struct mw_flow_task *task);
bool mw_task_group_is_ready(const struct mw_task_group *group,
                            int64_t wall_us);
uint32_t mw_task_group_last_run(const struct mw_task_group *group);
bool mw_flow_is_open(const struct mw_flow *flow);

/* flow-endpoint.c */
struct mw_flow_endpoint *mw_find_flow_endpoint(struct mw_flows *flows,
                                               const struct mw_name *id);
struct mw_flow_endpoint *mw_add_flow_endpoint(struct mw_flows *flows,
                                              int64_t now_us,
                                              const struct mw_name *id,
                                              uint64_t born);
void mw_drop_flow_endpoint(void *endpoint);
/* mw_clear_flow_endpoints: all of them, with the places on them. */
void mw_clear_flow_endpoints(struct mw_flows *flows);
void mw_lose_endpoint_runs(struct mw_flows *flows, int64_t now_us,
                           struct mw_flow_endpoint *endpoint, const char *why);
int64_t mw_flow_endpoint_clock(const struct mw_flow_endpoint *endpoint,
                               int64_t now_us);
void mw_update_flow_endpoint_clock(struct mw_flow_endpoint *endpoint,
                                   int64_t now_us, int64_t clock_us);
bool mw_flow_endpoint_is_usable(const struct mw_flows *flows,
                                const struct mw_flow_endpoint *endpoint,
                                int64_t now_us);
bool mw_flow_endpoint_has_label(const struct mw_flow_endpoint *endpoint,
                                const struct mw_name *label);
/*
 * mw_register_flow_endpoint: what a heartbeat, or a record of one, tells; how
 * goes into the log line of an endpoint that was not known.  An older one than
 * the last changes nothing.
 */
void mw_register_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                               const struct mw_beat *heartbeat,
                               const char *how);
/* mw_flow_endpoint_restarted: an answer came from a later life of it. */
void mw_flow_endpoint_restarted(struct mw_flows *flows, int64_t now_us,
                                struct mw_flow_endpoint *endpoint,
                                uint64_t born);
/* mw_deregister_flow_endpoint: it has left; a later life of it is met again.
 */
void mw_deregister_flow_endpoint(struct mw_flows *flows, int64_t now_us,
                                 struct mw_flow_endpoint *endpoint,
                                 const char *why);
bool mw_flow_zone_is_out(const struct mw_flows *flows,
                         const struct mw_name *zone);

/* flow-known.c */
/* whether the log knows what the endpoint says of itself */
bool mw_flow_endpoint_is_recorded(const struct mw_flows *flows,
                                  const struct mw_flow_endpoint *endpoint);
/* proposes a record where one is needed; false when this process can't */
bool mw_propose_flow_endpoint(struct mw_flows *flows,
                              struct mw_flow_endpoint *endpoint);
void mw_propose_flow_endpoint_removal(struct mw_flows *flows,
                                      const struct mw_flow_endpoint *endpoint);
void mw_remove_unheard_endpoints(struct mw_flows *flows, int64_t now_us);
void mw_apply_flow_endpoint(struct mw_flows *flows, struct mw_record *record);
void mw_restore_flow_endpoints(struct mw_flows *flows, int64_t now_us);
void mw_snapshot_flow_endpoints(const struct mw_flows *flows, void *out,
                                void (*add)(void *out,
                                            struct mw_record *record));

/* flow-place.c */
struct mw_task_placement *
mw_add_task_placement(struct mw_flow_endpoint *endpoint,
                      struct mw_task_group *group, uint32_t index,
                      uint32_t run, enum mw_task_placement_phase phase);
void mw_free_task_placement(struct mw_flows *flows,
                            struct mw_task_placement *placement);
struct mw_task_placement *
mw_find_task_placement(const struct mw_flow_endpoint *endpoint,
                       const struct mw_task_id *task, uint32_t run);
struct mw_task_id
mw_task_placement_id(const struct mw_task_placement *placement);
uint32_t mw_tasks_that_fit(const struct mw_flow_amount *total,
                           const struct mw_flow_amount *used,
                           const struct mw_flow_amount *need);
bool mw_flow_endpoint_is_eligible(const struct mw_flows *flows,
                                  const struct mw_flow_endpoint *endpoint,
                                  const struct mw_task_group *group,
                                  int64_t now_us);
uint32_t mw_flow_endpoint_limit_left(const struct mw_flow_endpoint *endpoint,
                                     const struct mw_task_group *group);
/* whether tasks that want one rack may be spread over several */
bool mw_may_span_racks(const struct mw_flows *flows,
                       const struct mw_task_group *group, int64_t now_us,
                       uint32_t wanted);
/* chooses endpoints for waiting tasks; returns how many were chosen */
uint32_t mw_choose_endpoints(struct mw_flows *flows,
                             struct mw_task_group *group, int64_t now_us,
                             uint32_t wanted, GPtrArray *chosen);

/* flow-queue.c */
GPtrArray *mw_rank_waiting_groups(struct mw_flows *flows, int64_t now_us,
                                  int64_t wall_us);
uint32_t mw_flow_peak_gpus(const struct mw_flow *flow);

/* flow-reclaim.c */
/* keeps what ends soonest for a gang of lower rank that waits */
void mw_reserve_for_task_group(struct mw_flows *flows,
                               struct mw_task_group *group, uint32_t tasks,
                               int64_t now_us);
void mw_preempt_for_task_group(struct mw_flows *flows,
                               struct mw_task_group *group, uint32_t tasks,
                               int64_t now_us);

/* flow-order.c */
void mw_send_start(struct mw_flows *flows, int64_t now_us,
                   struct mw_task_placement *placement);
void mw_send_stop(struct mw_flows *flows, int64_t now_us,
                  struct mw_task_placement *placement);
void mw_send_stop_for_run(struct mw_flows *flows, int64_t now_us,
                          struct mw_flow_endpoint *endpoint,
                          const struct mw_task_id *task, uint32_t run);
void mw_stop_task_placement(struct mw_flows *flows, int64_t now_us,
                            struct mw_task_placement *placement);
void mw_stop_task_group(struct mw_flows *flows, int64_t now_us,
                        struct mw_task_group *group);
void mw_send_renewal(struct mw_flows *flows, int64_t now_us,
                     struct mw_flow_endpoint *endpoint);

/* flow-observe.c */
void mw_reconcile_list(struct mw_flows *flows, int64_t now_us,
                       struct mw_flow_endpoint *endpoint,
                       const struct mw_flow_answer *answer, int64_t sent_us);
/* the run is over without a listed end: back to waiting, place freed */
void mw_lose_run(struct mw_flows *flows, int64_t now_us,
                 struct mw_task_placement *placement, const char *why);

/* flow-reserve.c */
void mw_update_urgent_pool(struct mw_flows *flows, int64_t now_us);
bool mw_urgent_pool_excludes(const struct mw_flows *flows,
                             const struct mw_flow_endpoint *endpoint,
                             const struct mw_task_group *group,
                             int64_t now_us);

/* flow-judge.c */
void mw_update_flow_endpoint_health(struct mw_flows *flows, int64_t now_us,
                                    struct mw_flow_endpoint *endpoint,
                                    enum mw_run_end end);
void mw_stop_stalled_runs(struct mw_flows *flows, int64_t now_us,
                          struct mw_flow_endpoint *endpoint);

/* flow-pump.c */
void mw_run_scheduling_pass(struct mw_flows *flows, int64_t now_us,
                            int64_t wall_us);

/* flow-request.c */
void mw_complete_flow_requests(struct mw_flows *flows,
                               const struct mw_record *record);
void mw_fail_flow_requests(struct mw_flows *flows);

/* flow-measure.c */
void mw_count_latency(struct mw_flows *flows, enum mw_flow_time time,
                      int64_t duration_us);

/* flow-event.c */
void mw_emit_flow_event(struct mw_flows *flows, const char *name,
                        const struct mw_name *flow, const char *outcome);
void mw_emit_task_event(struct mw_flows *flows, const char *name,
                        const struct mw_task_placement *placement,
                        const char *outcome, int64_t age_us);
void mw_emit_flow_zone_event(struct mw_flows *flows, const char *name,
                             const struct mw_name *zone, const char *outcome,
                             int64_t age_us);
void mw_emit_flow_endpoint_event(struct mw_flows *flows, const char *name,
                                 const struct mw_flow_endpoint *endpoint,
                                 const char *outcome, int64_t age_us);

#endif
