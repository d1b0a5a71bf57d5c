#ifndef MIMOSAWIND_FLOW_H
#define MIMOSAWIND_FLOW_H

#include "mimosawind/record.h"

/*
 * flow: scheduler of workflows over the endpoints of a region.
 *
 * A flow is a workflow: a directed acyclic graph of steps.  A step has one or
 * more equal tasks; a task runs on one endpoint at a time, and its runs are
 * numbered.  A scheduled flow repeats its steps in several occurrences.
 *
 * The state of flows and tasks is replicated as records of the region's log.
 * What runs on the endpoints is not: each leader reads it from the endpoints.
 *
 * This code reads no clock, does no input or output and knows no encoding.
 * Plans and configurations arrive as text, which callbacks of the owner
 * decode.
 *
 * UNITS   microseconds; thousandths of a processor; memory in MB
 */

/* mw_flow_limits: limits that the deployment sets. */
struct mw_flow_limits {
    /* longest lease that an endpoint accepts */
    int64_t lease_max_us;
    /* longest time until a stopped run has ended */
    int64_t stop_timeout_us;
    /* how long the state of an ended flow stays readable */
    int64_t state_retention_us;
    /* of the machine; flows beyond a share of it are refused */
    int64_t memory_bytes;
};

/* mw_flow_amounts: sums of resources; in the units of mw_flow_resources. */
struct mw_flow_amounts {
    uint64_t cpu;
    uint64_t memory_mb;
    uint64_t gpus;
};

/* mw_flow_org: an organisation. */
struct mw_flow_org {
    struct mw_name name;
    uint32_t priority;
    uint32_t guaranteed_gpus;
    /* share of scarce resources in proportion to others; 1 if not given */
    uint32_t weight;
    /* what it may have running at once; 0 for no limit */
    struct mw_flow_amounts cap;
};

/* mw_flow_key: an API key, and the index of its organisation. */
struct mw_flow_key {
    struct mw_name key;
    uint32_t org;
};

struct mw_flow_config_index;

/* mw_flow_config: one version of the configuration; immutable once decoded. */
struct mw_flow_config {
    int refs;
    uint64_t version;
    /* as the operator sent it */
    struct mw_blob *text;
    uint32_t route_count;
    struct mw_flow_route *routes;
    uint32_t service_count;
    struct mw_name *services;
    uint32_t org_count;
    struct mw_flow_org *orgs;
    /* an organisation has a weight or a cap: waiting work goes by shares */
    bool has_shares;
    uint32_t key_count;
    struct mw_flow_key *keys;
    /* of the entries above that were added with mw_index_flow_... */
    struct mw_flow_config_index *index;
};

#define MW_FLOW_STEPS_MAX 64
#define MW_FLOW_TASKS_MAX 4096
#define MW_FLOW_OCCURRENCES_MAX 1024

struct mw_flow_step {
    /* tasks */
    uint32_t count;
    /* of each task */
    struct mw_flow_resources need;
    int64_t estimate_us;
    /* indexes of the steps that must be done before */
    uint32_t dependency_count;
    uint32_t dependencies[MW_FLOW_STEPS_MAX];
    /* all tasks start together or not at all */
    bool gang;
    /* prefers one rack: the tasks take longer when they span several */
    bool prefer_one_rack;
    /* tasks write checkpoints */
    bool checkpointing;
    /* label that the endpoint must have; empty for none */
    struct mw_name label;
    /* rack that holds the data; empty for none */
    struct mw_name data_rack;
    /* limit of tasks of the step on one endpoint; 0 for none */
    uint32_t max_per_endpoint;
};

/* mw_flow_plan: the steps of a flow, immutable once decoded. */
struct mw_flow_plan {
    /* passed on to the endpoints with each start */
    struct mw_blob *spec;
    uint32_t step_count;
    struct mw_flow_step *steps;
    /* number of occurrences; 1 for a flow without start times */
    uint32_t occurrence_count;
    /* occurrences have start times */
    bool scheduled;
    int64_t first_wall_us;
    int64_t interval_us;
    /* the feature it needs that is not supported; NULL for none */
    const char *unsupported;
};

enum mw_flow_command_kind {
    MW_FLOW_COMMAND_START = 0,
    MW_FLOW_COMMAND_STOP = 1,
    /* renew the lease, acknowledge ended runs, list runs */
    MW_FLOW_COMMAND_RENEW = 2
};

/* of a fencing token; the term has the others */
#define MW_GENERATION_BITS 20

/* mw_flow_command: a command to an endpoint; lent for the callback. */
struct mw_flow_command {
    /* the response carries the same */
    uint64_t ref;
    enum mw_flow_command_kind kind;
    struct mw_name endpoint;
    struct mw_name address;
    /*
     * Fencing token: the term, then MW_GENERATION_BITS bits that rise with
     * each process that the leader finds at the endpoint.
     */
    uint64_t fence;
    struct mw_task_id task;
    uint32_t run;
    struct mw_blob *spec;
    struct mw_blob *checkpoint;
    /* on the endpoint's clock; 0 for no lease */
    int64_t lease_deadline_us;
    /* the endpoint may drop ended runs up to this number */
    uint64_t acknowledged_end;
    /* the endpoint may wait so long for a run to end before it responds */
    int64_t long_poll_us;
    /* without a response by then, the result is MW_FLOW_NO_ANSWER */
    int64_t response_deadline_us;
};

enum mw_flow_result {
    MW_FLOW_DONE = 0,
    /* the endpoint did nothing, for a reason not listed below */
    MW_FLOW_REFUSED = 1,
    /* the endpoint has stopped or ended this run or a later one */
    MW_FLOW_REFUSED_OLD = 2,
    /* the endpoint has seen a higher fencing token */
    MW_FLOW_REFUSED_FENCE = 3,
    /* the endpoint has too few free resources */
    MW_FLOW_REFUSED_ROOM = 4,
    /* the endpoint reports that it is unhealthy */
    MW_FLOW_REFUSED_SICK = 5,
    /* another incarnation responded at the address */
    MW_FLOW_OTHER_INCARNATION = 6,
    /* the connection was refused: no process listens */
    MW_FLOW_NO_PROCESS = 7,
    /* no response: the command may have been, or may yet be, executed */
    MW_FLOW_NO_ANSWER = 8,
    /* the start arrived after the deadline of its lease */
    MW_FLOW_REFUSED_LATE = 9,
    MW_FLOW_RESULTS = 10
};

/*
 * mw_run_end: how a run ended, as the endpoints report it.
 *
 * All but MW_END_DONE return the task to waiting; only MW_END_FAILED counts
 * as a failed attempt.
 */
enum mw_run_end {
    MW_END_DONE = 0,
    MW_END_FAILED = 1,
    MW_END_STOPPED = 2,
    MW_END_LAPSED = 3,
    MW_END_BROKEN = 4,
    MW_END_ALONE = 5
};

/* mw_listed_run: one entry of an endpoint's list of runs. */
struct mw_listed_run {
    struct mw_task_id task;
    uint32_t run;
    bool ended;
    /* sequence number of the end on its endpoint; 0 while it runs */
    uint64_t end_number;
    enum mw_run_end end;
    /* progress, while it runs */
    uint32_t percent;
    struct mw_str checkpoint;
};

/* mw_flow_response: an endpoint's response to a command; lent. */
struct mw_flow_response {
    uint64_t ref;
    enum mw_flow_result result;
    /* another copy of the command was sent before, without a response */
    bool was_repeated;
    /*
     * A process had taken the connection of the command, or of its first
     * copy, and closed it without a response.
     */
    bool was_cut_off;
    /* the endpoint's host did not acknowledge the command in time */
    bool was_undelivered;
    bool has_clock;
    int64_t clock_us;
    /* incarnation that responded; 0 when not known */
    uint64_t incarnation;
    /* runs is the endpoint's list of runs */
    bool has_list;
    uint32_t run_count;
    struct mw_listed_run *runs;
};

enum mw_flow_request_kind {
    /* from clients */
    MW_FLOW_SUBMIT = 0,
    /* of a flow, or of a queue when the path names no flow */
    MW_FLOW_READ_STATE = 1,
    MW_FLOW_CANCEL = 2,
    /* from operators */
    MW_FLOW_CONFIG = 3,
    MW_FLOW_READ_CONFIG = 4,
    MW_FLOW_ZONE_OUT = 5,
    MW_FLOW_ZONE_IN = 6,
    MW_FLOW_REQUESTS = 7,
    /* a draining endpoint's heartbeat; see mw_flows_handle_heartbeat */
    MW_FLOW_DRAIN = 8
};

/* mw_flow_request: a request of a client or operator; lent. */
struct mw_flow_request {
    uint64_t ref;
    enum mw_flow_request_kind kind;
    struct mw_str host;
    /* the zone, for MW_FLOW_ZONE_OUT and MW_FLOW_ZONE_IN */
    struct mw_str path;
    struct mw_str key;
    struct mw_str body;
    /*
     * The index of the last record of the log that was known to the process
     * which received the request, when it did; 0 for none.
     */
    uint64_t known_index;
};

enum mw_flow_reply_kind {
    MW_REPLY_ACCEPTED = 0,
    MW_REPLY_STATE = 1,
    MW_REPLY_QUEUE_LENGTH = 2,
    MW_REPLY_CONFIG = 3,
    MW_REPLY_DONE = 4,
    /* error and detail say why */
    MW_REPLY_ERROR = 5
};

/* longest delay before a retry of a refused request, in seconds */
#define MW_FLOW_RETRY_AFTER_MAX_S 3

/* mw_flow_reply: the reply to a request; lent for the callback. */
struct mw_flow_reply {
    uint64_t ref;
    enum mw_flow_reply_kind kind;
    int error;
    struct mw_str detail;
    enum mw_flow_state state;
    /* no run of the flow has been recorded yet */
    bool queued;
    /* queued flows of the queue */
    uint32_t queue_length;
    /* the configuration */
    struct mw_blob *text;
    /* delay before a retry, in whole seconds; 0 when none is advised */
    int64_t retry_after_us;
    /* priority of the route that the request was matched to, if known */
    bool has_priority;
    uint32_t priority;
};

/*
 * mw_flow_lease_event: what the leader reckons about an endpoint's leases.
 *
 * Ages are of what was sent or read; -1 for never.
 */
struct mw_flow_lease_event {
    /* how long a lease may last yet, and one of a grant with an answer */
    int64_t left_us;
    int64_t answered_left_us;
    /* the reading of the endpoint's clock, and the process that showed it */
    int64_t clock_age_us;
    uint64_t clock_incarnation;
    /* the last grant of this leader, and the last call of earlier ones */
    int64_t granted_age_us;
    int64_t earlier_age_us;
    /* grants that may be executed yet; of the oldest: its age, what it grants,
     * and the process that it was meant for */
    uint32_t open_count;
    int64_t open_age_us;
    int64_t open_lease_us;
    uint64_t open_incarnation;
};

/*
 * mw_flow_run_event: what the leader assumes of a run.
 *
 * Ages are of what was read; -1 for never.  Times are from now on, negative
 * for ones that have passed.
 */
struct mw_flow_run_event {
    /* the log assigns the task to this run now, and says what follows: the
     * process that it was placed on, how many starts it allows, and whether a
     * list has identified it */
    bool is_recorded;
    uint64_t incarnation;
    uint32_t starts;
    bool is_identified;
    /* of the assignment, by the flow clock; below 0 if this leader's clock is
     * behind the one of the leader that recorded it */
    bool has_assigned_age;
    int64_t assigned_age_us;
    /* of the reading that this leader's flow clock goes on from */
    uint64_t clock_term;
    /* since when calls of earlier leaders are counted: a recorded silence, or
     * the takeover */
    int64_t earlier_age_us;
    bool is_earlier_recorded;
    /* until the run is taken for over, if nothing is heard */
    int64_t over_in_us;
    /* the list that last showed it to this leader */
    int64_t listed_age_us;
    /* starts that may be executed yet, and until when; with none, when one was
     * last executed or might have been; 0 if none was sent */
    uint32_t starts_left;
    int64_t start_left_us;
    /* the first list that this leader read there, and the process that it was
     * taken to be of; 0 for none */
    int64_t first_list_age_us;
    uint64_t first_list_incarnation;
};

/* mw_flow_takeover_event: the runs that a new leader takes over. */
struct mw_flow_takeover_event {
    uint32_t runs;
    uint32_t in_doubt;
    /* runs without a line, as there are too many */
    uint32_t left_out;
    /* of the flow clock's reading that the leader goes on from: its term, 0
     * for none, and the time since it was learnt, -1 for none */
    uint64_t clock_term;
    int64_t clock_age_us;
};

/*
 * mw_flow_event: a decision of the scheduler, for the event log.
 *
 * docs/OPERATIONS.md lists the names.  Fields that do not apply are 0 or
 * empty.
 */
struct mw_flow_event {
    const char *name;
    const struct mw_task_id *task;
    struct mw_name flow;
    /* the flow's queue */
    struct mw_name queue;
    struct mw_name endpoint;
    /* of the endpoint, as far as it is known; 0 for none */
    uint64_t incarnation;
    struct mw_name zone;
    uint32_t run;
    const char *outcome;
    /* the flow that causes the decision about another */
    struct mw_name cause;
    /* tasks that need a place, and those that would fit; 0 and 0 for none */
    uint32_t wanted;
    uint32_t capacity;
    /* age of the information behind the decision; -1 for none */
    int64_t age_us;
    /* of a run that is taken for over: the leases of its endpoint; or NULL */
    const struct mw_flow_lease_event *lease;
    /* of a run that is taken over, or for over; or NULL */
    const struct mw_flow_run_event *assumed;
    /* of a takeover, with the index of the log up to which records were
     * applied; or NULL and 0 */
    const struct mw_flow_takeover_event *takeover;
    uint64_t index;
    /* about a run in doubt, a run that is taken for over, or a takeover: goes
     * before other lines */
    bool is_doubt;
    /* evidence that the run has crashed its endpoint; 0 for none */
    uint32_t crash_score;
    /* delay that a refused client is asked for; 0 for none */
    int64_t retry_after_us;
    /* a kind of work, and the kind that slows it by so much; valid during the
     * call */
    struct mw_str kind;
    struct mw_str neighbour;
    uint32_t slowdown_percent;
    /* of the configuration */
    uint64_t version;
    /* term of the leader */
    uint64_t term;
};

/* mw_flow_output: callbacks to the owner; opaque is passed to each. */
struct mw_flow_output {
    void *opaque;
    /* appends to the log: 0 or a negative error; keeps its own reference */
    int (*propose)(void *opaque, struct mw_record *record);
    void (*command)(void *opaque, const struct mw_flow_command *command);
    void (*reply)(void *opaque, const struct mw_flow_reply *reply);
    void (*event)(void *opaque, const struct mw_flow_event *event);
    /* return a new object, or NULL with *error and a detail in ctx */
    struct mw_flow_config *(*decode_config)(void *opaque,
                                            struct mw_context *ctx,
                                            struct mw_str text, int *error);
    struct mw_flow_plan *(*decode_plan)(void *opaque, struct mw_context *ctx,
                                        struct mw_str text, int *error);
};

/* mw_flow_counters: the members' names are the metrics' names. */
struct mw_flow_counters {
    uint64_t accepted;
    uint64_t refused;
    /* refusals with a delay, by its seconds less 1 */
    uint64_t refused_by_delay[MW_FLOW_RETRY_AFTER_MAX_S];
    /* submissions of a flow that was known already */
    uint64_t resent;
    uint64_t completed;
    uint64_t failed;
    uint64_t cancelled;
    uint64_t starts;
    uint64_t start_refusals;
    /* starts that were given up before they were sent */
    uint64_t starts_withdrawn;
    /* starts without a response */
    uint64_t unanswered;
    uint64_t stops;
    /* lease renewals */
    uint64_t holds;
    /* ended runs that endpoints listed */
    uint64_t ends;
    uint64_t failures;
    /* runs that are over without a listed end */
    uint64_t lost_runs;
    uint64_t preempted;
    /* preemptions for guaranteed work that found too few runs to stop */
    uint64_t preemptions_impossible;
    /* reservations that expired, or broke, before their group was placed */
    uint64_t reservations_lost;
    /* reports of groups that waited for long although there was room */
    uint64_t long_waits;
    /* times that a step came to wait for its organisation's cap */
    uint64_t cap_waits;
    uint64_t quarantined;
    /* endpoints whose process ended without notice, with runs there */
    uint64_t endpoint_crashes;
    /* flows that failed because a task crashed endpoints */
    uint64_t crashing_flows;
    /* times that something contradicted what was known of an endpoint's
     * process */
    uint64_t contests;
    /* heartbeats that name a service which nothing else does */
    uint64_t foreign_heartbeats;
    /* placements that went past an endpoint with a bad neighbour */
    uint64_t neighbours_avoided;
    /* runs of earlier leaders, and lines about those in doubt that were left
     * out because there were too many */
    uint64_t runs_taken_over;
    uint64_t doubt_lines_left_out;
};

/* mw_flow_latency: the latencies that are measured. */
enum mw_flow_latency {
    /* from a request to its committed record */
    MW_LATENCY_COMMIT = 0,
    /* from a step being ready to its first start command */
    MW_LATENCY_PLACE = 1,
    /* from a command to the endpoint's response */
    MW_LATENCY_ORDER = 2,
    /* from the response to a start to the listed end */
    MW_LATENCY_RUN = 3,
    /* from the acceptance of a flow to its end */
    MW_LATENCY_FLOW = 4,
    /* from a ready step being guaranteed until all its tasks have started */
    MW_LATENCY_RECLAIM = 5,
    MW_FLOW_LATENCIES = 6
};

/* bucket i counts latencies below 2^i milliseconds; the last, all others */
#define MW_LATENCY_BUCKETS 18

/* mw_flow_histogram: distribution of one latency. */
struct mw_flow_histogram {
    uint64_t buckets[MW_LATENCY_BUCKETS];
    uint64_t count;
    uint64_t sum_us;
};

struct mw_flows;

/* mw_new_flows: limits and output are copied. */
struct mw_flows *mw_new_flows(const struct mw_flow_limits *limits,
                              const struct mw_flow_output *output);
void mw_drop_flows(struct mw_flows *flows);

/*
 * mw_flows_apply, mw_flows_snapshot, mw_flows_reset: replicated state.
 *
 * The owner of the log applies each committed record, collects the records
 * of a snapshot, and resets the state before it applies another snapshot.
 * The context must outlive the scheduler, which decodes a configuration only
 * when it needs it.
 */
void mw_flows_apply(struct mw_context *ctx, struct mw_flows *flows,
                    int64_t now_us, struct mw_record *record);
void mw_flows_snapshot(struct mw_flows *flows, void *out,
                       void (*add)(void *out, struct mw_record *record));
void mw_flows_reset(struct mw_flows *flows);

/*
 * mw_flows_set_leadership: becomes leader with a fencing token, or ceases to
 * be it.
 *
 * A new leader assumes that each recorded run may be on its endpoint, until
 * the endpoint's list shows that it is not or all leases have expired.
 */
void mw_flows_set_leadership(struct mw_flows *flows, int64_t now_us,
                             bool is_leader, uint64_t fence);

/*
 * mw_flows_learn_clock, mw_flows_clock: the flow clock (flow-clock.h), which a
 * leader's heartbeats carry.  term is the leader's; times in microseconds.
 */
void mw_flows_learn_clock(struct mw_flows *flows, int64_t now_us,
                          uint64_t term, int64_t time_us);
int64_t mw_flows_clock(const struct mw_flows *flows, int64_t now_us);

/*
 * mw_flows_set_suspended: the leader's lease has expired, but nobody else
 * leads.
 *
 * While suspended the scheduler decides nothing and sends no commands.  It
 * keeps what it knows of endpoints, since no other leader can have acted.
 */
void mw_flows_set_suspended(struct mw_flows *flows, bool suspended);

/* mw_flows_handle_request: handles a request; it gets one reply, now or later.
 */
void mw_flows_handle_request(struct mw_context *ctx, struct mw_flows *flows,
                             int64_t now_us, int64_t wall_us,
                             const struct mw_flow_request *request);

/*
 * mw_flows_handle_heartbeat: handles an endpoint's heartbeat.
 *
 * Returns 0 when the heartbeat may be acknowledged now, or MW_ERR_PENDING
 * when ref gets a reply later: the heartbeat of a draining endpoint is
 * acknowledged after the draining state has been committed.  Any other error
 * refuses the heartbeat.
 */
int mw_flows_handle_heartbeat(struct mw_flows *flows, int64_t now_us,
                              const struct mw_flow_heartbeat *heartbeat,
                              uint64_t ref);

/* mw_flows_handle_response: handles the response to a command. */
void mw_flows_handle_response(struct mw_flows *flows, int64_t now_us,
                              const struct mw_flow_response *response);

/* mw_flows_tick: acts on deadlines and places waiting tasks. */
void mw_flows_tick(struct mw_context *ctx, struct mw_flows *flows,
                   int64_t now_us, int64_t wall_us);
/* mw_flows_deadline: when to call mw_flows_tick; INT64_MAX for never. */
int64_t mw_flows_deadline(const struct mw_flows *flows);

const struct mw_flow_counters *
mw_flows_get_counters(const struct mw_flows *flows);
const struct mw_flow_histogram *
mw_flows_get_histogram(const struct mw_flows *flows,
                       enum mw_flow_latency latency);
struct mw_str mw_flow_latency_str(enum mw_flow_latency latency);
/* mw_flows_config_version: of the configuration; 0 for none. */
uint64_t mw_flows_config_version(struct mw_flows *flows);

struct mw_flows_status {
    uint64_t config_version;
    uint32_t flows;
    uint32_t active;
    uint32_t endpoints;
    /* of the endpoints that may get work */
    uint32_t endpoints_slow;
    uint32_t endpoints_fast;
    uint32_t placements;
    /* of the placements: runs of earlier leaders that no list has shown to
     * this one, and that are not certain by the log (flow-doubt.h) */
    uint32_t runs_in_doubt;
    /* commands that wait to be sent, those sent without a response, and the
     * limit of the latter */
    uint32_t commands_waiting;
    uint32_t commands_in_flight;
    uint32_t command_window;
    /* kinds of work that are followed for interference, and the pairs of them
     * that are known to interfere */
    uint32_t work_kinds;
    uint32_t interfering_pairs;
};

void mw_flows_get_status(struct mw_flows *flows,
                         struct mw_flows_status *status);

/* organisations that the metrics name; all others are added up */
#define MW_FLOW_ORGS_NAMED_MAX 32

/* mw_flow_org_status: use and cap of an organisation. */
struct mw_flow_org_status {
    /* of ready steps */
    uint64_t waiting_tasks;
    struct mw_flow_amounts used;
    struct mw_flow_amounts cap;
    uint32_t weight;
    /* the sum of several, without cap and weight; its name is "other" */
    bool is_sum;
    struct mw_name name;
};

/*
 * mw_flows_get_orgs: the organisations with the most in use, then the sum of
 * all others if there are any; none unless this process leads.
 *
 * Writes at most MW_FLOW_ORGS_NAMED_MAX + 1 of them and returns how many.
 */
uint32_t mw_flows_get_orgs(struct mw_flows *flows,
                           struct mw_flow_org_status *orgs);

/* text of enumerators for logs and replies */
struct mw_str mw_flow_state_str(enum mw_flow_state state);
struct mw_str mw_run_end_str(enum mw_run_end end);
struct mw_str mw_flow_result_str(enum mw_flow_result result);

/* mw_drop_flow_config, mw_drop_flow_plan: accept half-built objects. */
void mw_drop_flow_config(struct mw_flow_config *config);
void mw_drop_flow_plan(struct mw_flow_plan *plan);

/*
 * mw_index_flow_service, mw_index_flow_route, mw_index_flow_key: add an entry
 * of the configuration to its index, from which it is found.
 *
 * The entry must be complete and must not move afterwards.  Returns 0, or
 * MW_ERR_INVALID for a route of a service that was not added, or
 * MW_ERR_DUPLICATE for a route with the host and the path prefix of another
 * or an API key of another organisation.  A duplicate is not added.  The time
 * does not depend on the number of entries.
 */
void mw_index_flow_service(struct mw_flow_config *config,
                           const struct mw_name *service);
int mw_index_flow_route(struct mw_flow_config *config,
                        const struct mw_flow_route *route);
int mw_index_flow_key(struct mw_flow_config *config,
                      const struct mw_flow_key *key);

/* mw_flow_config_has_service: whether the configuration names the service. */
bool mw_flow_config_has_service(const struct mw_flow_config *config,
                                const struct mw_name *service);

/*
 * mw_flow_find_route: by host and longest path prefix; NULL for none.
 *
 * A port after the host is ignored.  All bytes count, upper and lower case.
 */
const struct mw_flow_route *
mw_flow_find_route(const struct mw_flow_config *config, struct mw_str host,
                   struct mw_str path);

/* mw_flow_find_org: owner of an API key; NULL for an unknown key. */
const struct mw_flow_org *mw_flow_find_org(const struct mw_flow_config *config,
                                           struct mw_str key);

#endif
