#ifndef MIMOSAWIND_FLOW_RECORD_H
#define MIMOSAWIND_FLOW_RECORD_H

#include "mimosawind/str.h"

/*
 * flow-record: what the log keeps of flows, see flow.h.
 *
 * Each record states what is so from there on; none is a difference, so a
 * snapshot is made of the same records.
 */

/* mw_flow_route: a queue. */
struct mw_flow_route {
    struct mw_name name;
    struct mw_name host;
    struct mw_name prefix;
    struct mw_name service;
    uint32_t priority;
    uint32_t attempts_max;
    /* objective: chain of work times this, in thousandths, plus target */
    uint32_t slack_permille;
    int64_t target_us;
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
    /* a run is recorded; it may be on its endpoint */
    MW_TASK_ASSIGNED = 1,
    MW_TASK_DONE = 2,
    MW_TASK_STATES = 3
};

/* mw_record_flow: a flow as it was accepted. */
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
    bool forget;
};

/* mw_task_id: occurrence, step and index within a flow. */
struct mw_task_id {
    struct mw_name flow;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
};

/* mw_task_note: the replicated state of one task from here on. */
struct mw_task_note {
    struct mw_task_id id;
    enum mw_task_state state;
    uint32_t run;
    uint32_t failures;
    struct mw_name endpoint;
    uint64_t born;
    struct mw_blob *checkpoint;
};

struct mw_record_tasks {
    uint32_t count;
    struct mw_task_note *notes;
};

/* mw_flow_amount: what a task takes, or an endpoint has. */
struct mw_flow_amount {
    uint32_t cpu;
    uint32_t memory_mb;
    uint32_t gpus;
};

/* mw_beat: what an endpoint says about itself. */
struct mw_beat {
    struct mw_name id;
    struct mw_name service;
    struct mw_name address;
    struct mw_name zone;
    struct mw_flow_amount total;
    uint32_t label_count;
    struct mw_name labels[8];
    bool draining;
    /* the endpoint says that it ends now */
    bool leaving;
    uint64_t seq;
    uint64_t born;
    int64_t clock_us;
};

/*
 * mw_record_endpoint: what endpoints say of themselves, for the next leader.
 *
 * seq and clock_us of the heartbeat are left out: 0.
 */
struct mw_record_endpoint {
    struct mw_beat *beat;
    /* it has left, or has not been heard of for long */
    bool gone;
};

struct mw_record_config {
    uint64_t version;
    struct mw_blob *text;
};

struct mw_record_zone_out {
    struct mw_name zone;
    bool out;
};

#endif
