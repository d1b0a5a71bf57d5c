#ifndef MIMOSAWIND_FLOW_RECORD_H
#define MIMOSAWIND_FLOW_RECORD_H

#include "mimosawind/str.h"

/*
 * flow-record: the records of the replicated log that concern flows (see
 * flow.h).
 *
 * Each record holds the new state in full, never a difference from the old
 * one.  A snapshot therefore consists of the same kinds of records.
 */

/*
 * mw_flow_route: a queue, and the host and path prefix that select it.
 *
 * A flow's latency objective is the sum of the estimates of its steps times
 * slack_permille / 1000, plus target_us.
 */
struct mw_flow_route {
    struct mw_name name;
    struct mw_name host;
    struct mw_name prefix;
    struct mw_name service;
    uint32_t priority;
    uint32_t attempts_max;
    uint32_t slack_permille;
    int64_t target_us;
    /* requests need no API key */
    bool keyless;
};

enum mw_flow_state {
    MW_FLOW_ACTIVE = 0,
    MW_FLOW_COMPLETED = 1,
    MW_FLOW_FAILED = 2,
    MW_FLOW_CANCELLED = 3,
    MW_FLOW_STATES = 4
};

enum mw_task_state {
    MW_TASK_WAITING = 0,
    /* a run is recorded on an endpoint, which may have started it */
    MW_TASK_ASSIGNED = 1,
    MW_TASK_DONE = 2,
    MW_TASK_STATES = 3
};

/* mw_record_flow: a flow as it was accepted, and its state. */
struct mw_record_flow {
    struct mw_name id;
    struct mw_flow_route route;
    struct mw_name org;
    int64_t accepted_wall_us;
    enum mw_flow_state state;
    struct mw_blob *plan;
};

struct mw_record_flow_state {
    struct mw_name id;
    enum mw_flow_state state;
    /* the flow and its tasks are deleted */
    bool remove;
};

/* mw_task_id: a task, by its occurrence, step and index within a flow. */
struct mw_task_id {
    struct mw_name flow;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
};

/* mw_task_record: the whole replicated state of one task. */
struct mw_task_record {
    struct mw_task_id id;
    enum mw_task_state state;
    uint32_t run;
    /* runs that failed, and the last of them; 0 if not recorded */
    uint32_t failures;
    uint32_t failed_run;
    /* evidence that the task crashes the endpoints that start it */
    uint32_t crash_score;
    /* of a run that is assigned: such evidence, which is added once the run
     * is over */
    uint32_t run_crash_score;
    /* of a run that is assigned: the endpoint and its incarnation */
    struct mw_name endpoint;
    uint64_t incarnation;
    /* a list of that incarnation has shown the run, and no start of it that
     * may be executed yet is left */
    bool is_identified;
    /* how many starts of the run may have been sent; 0 if not recorded */
    uint32_t starts;
    /* when the run was assigned, in milliseconds of the flow clock modulo
     * 2^32; 0 if not recorded */
    uint32_t assigned_ms;
    struct mw_blob *checkpoint;
};

struct mw_record_tasks {
    /* reading of the flow clock, and the term of the leader that made it */
    uint64_t clock_term;
    int64_t clock_us;
    /* of the leader that proposed it, and not sent to others: the first entry
     * is the end of a run that its endpoint has listed */
    bool is_listed_end;
    uint32_t count;
    struct mw_task_record *entries;
};

/* mw_flow_resources: resources that a task needs or an endpoint has. */
struct mw_flow_resources {
    uint32_t cpu;
    uint32_t memory_mb;
    uint32_t gpus;
};

/* mw_flow_heartbeat: an endpoint's heartbeat. */
struct mw_flow_heartbeat {
    struct mw_name id;
    struct mw_name service;
    struct mw_name address;
    struct mw_name zone;
    struct mw_flow_resources total;
    uint32_t label_count;
    struct mw_name labels[8];
    bool draining;
    /* the endpoint is shutting down now */
    bool leaving;
    /* number of the heartbeat within the incarnation */
    uint64_t seq;
    /* incarnation of the endpoint; a later one is higher */
    uint64_t incarnation;
    /* reading of the endpoint's clock; 0 for none */
    int64_t clock_us;
};

/*
 * mw_speed_record: an estimate of an endpoint's speed, in thousandths.
 *
 * Both are 0 for an endpoint of which nothing is known.
 */
struct mw_speed_record {
    /* natural logarithm of the speed; 0 for a middling one */
    int32_t log_speed;
    /* how much less its variance is than that of an unknown endpoint */
    uint32_t known;
};

/*
 * mw_record_endpoint: the last heartbeat of an endpoint, for the next leader.
 *
 * seq and clock_us of the heartbeat are not recorded; they are 0.
 */
struct mw_record_endpoint {
    struct mw_flow_heartbeat *heartbeat;
    /* it shut down, was replaced, or sent no heartbeat for a long time */
    bool gone;
    struct mw_speed_record speed;
    /*
     * No lease was granted there since then, on the flow clock, and none will
     * be before a record that ends this silence; 0 if that is not known.
     */
    int64_t silent_since_us;
    /* the silence that this record ends, by its time; 0 for none */
    int64_t ended_silence_us;
    /* the leader's term, and the flow clock when it was proposed; 0 and 0 in
     * records of earlier versions */
    uint64_t clock_term;
    int64_t clock_us;
};

struct mw_record_config {
    uint64_t version;
    struct mw_blob *text;
};

/* mw_record_zone_out: a zone is taken out of service, or put back. */
struct mw_record_zone_out {
    struct mw_name zone;
    bool out;
};

#endif
