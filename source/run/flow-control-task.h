#ifndef MW_RUN_FLOW_CONTROL_TASK_H
#define MW_RUN_FLOW_CONTROL_TASK_H

#include "event-log.h"
#include "link.h"
#include "mimosawind/flow-process.h"

/*
 * flow-control-task: a control process of a region that runs flows.
 *
 * The task owns the connections to other processes, the data folder and the
 * log; a port owns what speaks to endpoints and operators.  The port runs
 * in the task's thread, and its calls come back there.
 */

struct mw_flow_control_task;

/* mw_flow_port: what speaks to the outside. */
struct mw_flow_port {
    void *opaque;
    /* start: returns false and a message when it can't serve */
    bool (*start)(void *opaque, struct mw_flow_control_task *task,
                  char **message);
    void (*order)(void *opaque, const struct mw_flow_order *order);
    void (*reply)(void *opaque, const struct mw_flow_reply *reply);
    void (*tick)(void *opaque, int64_t now_us);
    void (*stop)(void *opaque);
    struct mw_flow_config *(*decode_config)(void *opaque,
                                            struct mw_context *ctx,
                                            struct mw_str text, int *error);
    struct mw_flow_plan *(*decode_plan)(void *opaque, struct mw_context *ctx,
                                        struct mw_str text, int *error);
};

struct mw_flow_control_task_setup {
    struct mw_name name;
    struct mw_name zone;
    /* port on which every control process listens for the others */
    uint16_t link_port;
    struct mw_name seeds[MW_MEMBERS_MAX];
    uint32_t seed_count;
    /* the first start of the whole system: the seeds are the members */
    bool founding;
    /* how many members the log is to have */
    uint32_t target;
    struct mw_str folder;
    uint32_t compact_after;
    struct mw_flow_bounds bounds;
    struct mw_flow_port port;
    struct mw_context ctx;
    void *opaque;
    void (*ended)(void *opaque, int error, struct mw_str message);
};

struct mw_flow_control_task *
mw_new_flow_control_task(const struct mw_flow_control_task_setup *setup);
void mw_drop_flow_control_task(struct mw_flow_control_task *task);

/* mw_flow_control_task_dump: state on standard error; any thread. */
void mw_flow_control_task_dump(struct mw_flow_control_task *task);

/* mw_flow_control_task_leave: planned stop; any thread. */
void mw_flow_control_task_leave(struct mw_flow_control_task *task);

/* the port's calls, in the task's thread */
void mw_flow_control_task_request(struct mw_flow_control_task *task,
                                  const struct mw_flow_request *request);
int mw_flow_control_task_beat(struct mw_flow_control_task *task,
                              const struct mw_beat *beat, uint64_t ref);
void mw_flow_control_task_answer(struct mw_flow_control_task *task,
                                 const struct mw_flow_answer *answer);
bool mw_flow_control_task_leads(struct mw_flow_control_task *task);
struct mw_name mw_flow_control_task_leader(struct mw_flow_control_task *task);
/* mw_flow_control_task_seed: one more process to know; any thread */
void mw_flow_control_task_seed(struct mw_flow_control_task *task,
                               const struct mw_name *seed);
struct mw_event_log *
mw_flow_control_task_log(struct mw_flow_control_task *task);
GString *mw_flow_control_task_metrics(struct mw_flow_control_task *task);

#endif
