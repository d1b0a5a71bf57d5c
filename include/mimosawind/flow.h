#ifndef MIMOSAWIND_FLOW_H
#define MIMOSAWIND_FLOW_H

#include "mimosawind/record.h"

/*
 * flow: jobs made of steps, scheduled over the endpoints of a region.
 *
 * A flow is a job of steps; a step has tasks; a task is run on one endpoint
 * at a time, and its runs are numbered.  What must survive is replicated by
 * records; what endpoints hold is learnt from them by whoever leads.
 *
 * Nothing here reads a clock, a socket or an encoding.  Plans and
 * configurations arrive as text and are decoded by callbacks of the owner.
 *
 * UNITS   microseconds; processors in thousandths; memory in MB
 */

/* mw_flow_bounds: what the deployment grants. */
struct mw_flow_bounds {
    /* longest lease that an endpoint accepts */
    int64_t lease_max_us;
    /* longest time that a stop takes */
    int64_t stop_us;
    /* how long the state of an ended flow stays readable */
    int64_t state_kept_us;
};

struct mw_flow_org {
    struct mw_name name;
    uint32_t priority;
    uint32_t guaranteed_gpus;
};

struct mw_flow_key {
    struct mw_name key;
    uint32_t org;
};

/* mw_flow_config: one version of the configuration, immutable. */
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
    uint32_t key_count;
    struct mw_flow_key *keys;
};

#define MW_FLOW_STEPS_MAX 64
#define MW_FLOW_TASKS_MAX 4096
#define MW_FLOW_TIMES_MAX 1024

struct mw_flow_step {
    uint32_t count;
    struct mw_flow_amount need;
    int64_t estimate_us;
    uint32_t after_count;
    uint32_t after[MW_FLOW_STEPS_MAX];
    bool gang;
    /* takes longer when spread over racks */
    bool one_rack;
    bool saves;
    /* label that the endpoint must have; empty for none */
    struct mw_name label;
    /* rack that holds the data; empty for none */
    struct mw_name data_rack;
    /* most tasks of the step on one endpoint; 0 for no limit */
    uint32_t spread;
};

/* mw_flow_plan: the steps of a flow, immutable once decoded. */
struct mw_flow_plan {
    struct mw_blob *spec;
    uint32_t step_count;
    struct mw_flow_step *steps;
    /* occurrences; 1 for a flow that is due at once */
    uint32_t times;
    bool timed;
    int64_t first_wall_us;
    int64_t every_us;
    /* asks for something that is not served; the reason */
    const char *unserved;
};

enum mw_flow_order_kind {
    MW_FLOW_START = 0,
    MW_FLOW_STOP = 1,
    /* renew the lease, acknowledge ends, list */
    MW_FLOW_HOLD = 2
};

/* mw_flow_order: one call to one endpoint; lent for the callback. */
struct mw_flow_order {
    uint64_t ref;
    enum mw_flow_order_kind kind;
    struct mw_name endpoint;
    struct mw_name address;
    uint64_t fence;
    struct mw_task_id task;
    uint32_t run;
    struct mw_blob *spec;
    struct mw_blob *checkpoint;
    /* of the endpoint's clock */
    int64_t lease_deadline_us;
    uint64_t acknowledged;
    int64_t wait_us;
    /* when to give up on an answer */
    int64_t answer_deadline_us;
};

enum mw_flow_result {
    MW_FLOW_DONE = 0,
    /* nothing was done, and the endpoint says so */
    MW_FLOW_REFUSED = 1,
    /* the run is not higher than one that was stopped or ended there */
    MW_FLOW_REFUSED_OLD = 2,
    /* the endpoint has seen a higher fencing token */
    MW_FLOW_REFUSED_FENCE = 3,
    MW_FLOW_REFUSED_ROOM = 4,
    /* the endpoint says that it is not well; nothing was done */
    MW_FLOW_REFUSED_SICK = 5,
    /* another incarnation answers at the address */
    MW_FLOW_OTHER_INCARNATION = 6,
    /* the connection was refused: no process is there */
    MW_FLOW_NO_PROCESS = 7,
    /* no answer; it may have been carried out, or be later */
    MW_FLOW_NO_ANSWER = 8,
    MW_FLOW_RESULTS = 9
};

enum mw_run_end {
    MW_END_DONE = 0,
    MW_END_FAILED = 1,
    MW_END_STOPPED = 2,
    MW_END_LAPSED = 3,
    MW_END_BROKEN = 4,
    MW_END_ALONE = 5
};

/* mw_listed_run: one entry of an endpoint's list. */
struct mw_listed_run {
    struct mw_task_id task;
    uint32_t run;
    bool ended;
    /* number of the end; 0 while it runs */
    uint64_t number;
    enum mw_run_end end;
    uint32_t percent;
    struct mw_str checkpoint;
};

/* mw_flow_answer: the answer to an order; lent for the call. */
struct mw_flow_answer {
    uint64_t ref;
    enum mw_flow_result result;
    bool has_clock;
    int64_t clock_us;
    uint64_t born;
    bool listed;
    uint32_t run_count;
    struct mw_listed_run *runs;
};

enum mw_flow_request_kind {
    /* about one flow, or a queue: the path decides */
    MW_FLOW_SUBMIT = 0,
    MW_FLOW_STATE_OF = 1,
    MW_FLOW_CANCEL = 2,
    /* an operator's */
    MW_FLOW_CONFIG = 3,
    MW_FLOW_READ_CONFIG = 4,
    MW_FLOW_ZONE_OUT = 5,
    MW_FLOW_ZONE_IN = 6,
    MW_FLOW_REQUESTS = 7,
    /* an endpoint's, that it drains: comes by mw_flows_beat alone */
    MW_FLOW_DRAIN = 8
};

/* mw_flow_request: what a caller or operator asks for; lent. */
struct mw_flow_request {
    uint64_t ref;
    enum mw_flow_request_kind kind;
    struct mw_str host;
    struct mw_str path;
    struct mw_str key;
    struct mw_str body;
};

enum mw_flow_reply_kind {
    MW_REPLY_ACCEPTED = 0,
    MW_REPLY_STATE = 1,
    MW_REPLY_PENDING = 2,
    MW_REPLY_CONFIG = 3,
    MW_REPLY_DONE = 4,
    /* error tells why */
    MW_REPLY_ERROR = 5
};

/* a caller that was refused for a moment comes back after so long */
#define MW_FLOW_RETRY_AFTER_US 1000000

/* mw_flow_reply: the answer to a request; lent for the callback. */
struct mw_flow_reply {
    uint64_t ref;
    enum mw_flow_reply_kind kind;
    int error;
    struct mw_str detail;
    enum mw_flow_state state;
    /* no task has been started */
    bool queued;
    uint32_t pending;
    struct mw_blob *text;
    /* when to come back, from now; 0 for no advice */
    int64_t retry_after_us;
};

/*
 * mw_flow_event: a decision, for the log.
 *
 * name is one of the words in docs/OPERATIONS.md; the fields that do not
 * apply are 0 or empty.
 */
struct mw_flow_event {
    const char *name;
    const struct mw_task_id *task;
    struct mw_name flow;
    /* the flow's queue */
    struct mw_name queue;
    struct mw_name endpoint;
    struct mw_name zone;
    uint32_t run;
    const char *outcome;
    /* age of the input that decided it; -1 for none */
    int64_t age_us;
    uint64_t version;
    uint64_t number;
};

struct mw_flow_output {
    void *opaque;
    /* propose: returns 0 or a negative error; keeps its own reference */
    int (*propose)(void *opaque, struct mw_record *record);
    void (*order)(void *opaque, const struct mw_flow_order *order);
    void (*reply)(void *opaque, const struct mw_flow_reply *reply);
    void (*event)(void *opaque, const struct mw_flow_event *event);
    /* decode: a new object, or NULL with *error and a detail */
    struct mw_flow_config *(*decode_config)(void *opaque,
                                            struct mw_context *ctx,
                                            struct mw_str text, int *error);
    struct mw_flow_plan *(*decode_plan)(void *opaque, struct mw_context *ctx,
                                        struct mw_str text, int *error);
};

struct mw_flow_counters {
    uint64_t accepted;
    uint64_t refused;
    uint64_t resent;
    uint64_t completed;
    uint64_t failed;
    uint64_t cancelled;
    uint64_t starts;
    uint64_t start_refusals;
    uint64_t unanswered;
    uint64_t stops;
    uint64_t holds;
    uint64_t ends;
    uint64_t failures;
    uint64_t lost_runs;
    uint64_t preempted;
    uint64_t quarantined;
};

/* mw_flow_time: the steps of a job whose durations are counted. */
enum mw_flow_time {
    /* from a request to its committed record */
    MW_LATENCY_COMMIT = 0,
    /* from being due to the first start that was sent */
    MW_LATENCY_PLACE = 1,
    /* from an order to the endpoint's answer */
    MW_LATENCY_ORDER = 2,
    /* from a start's answer to the listed end */
    MW_LATENCY_RUN = 3,
    /* from the acceptance to the end of the whole job */
    MW_LATENCY_FLOW = 4,
    MW_FLOW_TIMES = 5
};

/* bucket i counts durations below 2^i milliseconds; the last, all others */
#define MW_TIME_BUCKETS 18

/* mw_flow_histogram: durations of one step. */
struct mw_flow_histogram {
    uint64_t buckets[MW_TIME_BUCKETS];
    uint64_t count;
    uint64_t sum_us;
};

struct mw_flows;

struct mw_flows *mw_new_flows(const struct mw_flow_bounds *bounds,
                              const struct mw_flow_output *output);
void mw_drop_flows(struct mw_flows *flows);

/* mw_flows_apply, mw_flows_collect, mw_flows_reset: the log's owner. */
void mw_flows_apply(struct mw_context *ctx, struct mw_flows *flows,
                    int64_t now_us, struct mw_record *record);
void mw_flows_collect(struct mw_flows *flows, void *out,
                      void (*add)(void *out, struct mw_record *record));
void mw_flows_reset(struct mw_flows *flows);

/*
 * mw_flows_lead: begin or cease to act, under a fencing token.
 *
 * What may still be in flight from earlier leaders is waited for.
 */
void mw_flows_lead(struct mw_flows *flows, int64_t now_us, bool lead,
                   uint64_t fence);

/*
 * mw_flows_suspend: the lease has run out, but nobody else leads.
 *
 * Until it is live again nothing is decided and no order goes out; what is
 * known of endpoints is kept, since no other leader can have acted.
 */
void mw_flows_suspend(struct mw_flows *flows, bool suspended);

/* mw_flows_request: leads to exactly one reply, at once or later. */
void mw_flows_request(struct mw_context *ctx, struct mw_flows *flows,
                      int64_t now_us, int64_t wall_us,
                      const struct mw_flow_request *request);

/*
 * mw_flows_beat: an endpoint's heartbeat.
 *
 * Returns 0 where it may be acknowledged now, and MW_ERR_PENDING where ref
 * gets a reply later: that an endpoint drains is acknowledged once it is
 * committed.  Another error refuses it.
 */
int mw_flows_beat(struct mw_flows *flows, int64_t now_us,
                  const struct mw_beat *beat, uint64_t ref);

/* mw_flows_answer: the result of an order. */
void mw_flows_answer(struct mw_flows *flows, int64_t now_us,
                     const struct mw_flow_answer *answer);

/* mw_flows_tick: act on deadlines, place what can be placed. */
void mw_flows_tick(struct mw_context *ctx, struct mw_flows *flows,
                   int64_t now_us, int64_t wall_us);
int64_t mw_flows_deadline(const struct mw_flows *flows);

const struct mw_flow_counters *
mw_flows_counters_of(const struct mw_flows *flows);
const struct mw_flow_histogram *
mw_flows_histogram(const struct mw_flows *flows, enum mw_flow_time time);
struct mw_str mw_flow_time_word(enum mw_flow_time time);
uint64_t mw_flows_version(const struct mw_flows *flows);

struct mw_flows_view {
    uint32_t flows;
    uint32_t active;
    uint32_t endpoints;
    uint32_t waiting_tasks;
    uint32_t places;
};

void mw_flows_look(const struct mw_flows *flows, struct mw_flows_view *view);

/* words for logs and dumps */
struct mw_str mw_flow_state_word(enum mw_flow_state state);
struct mw_str mw_run_end_word(enum mw_run_end end);
struct mw_str mw_flow_result_word(enum mw_flow_result result);

/* mw_drop_flow_config, mw_drop_flow_plan: also for objects half built. */
void mw_drop_flow_config(struct mw_flow_config *config);
void mw_drop_flow_plan(struct mw_flow_plan *plan);

/* mw_flow_find_route: by host and longest prefix; NULL for none. */
const struct mw_flow_route *
mw_flow_find_route(const struct mw_flow_config *config, struct mw_str host,
                   struct mw_str path);

/* mw_flow_find_org: whose key it is; NULL for an unknown key. */
const struct mw_flow_org *mw_flow_find_org(const struct mw_flow_config *config,
                                           struct mw_str key);

#endif
