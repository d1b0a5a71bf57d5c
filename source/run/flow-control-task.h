#ifndef MW_RUN_FLOW_CONTROL_TASK_H
#define MW_RUN_FLOW_CONTROL_TASK_H

#include "event-log.h"
#include "link.h"
#include "mimosawind/flow-process.h"

/*
 * flow-control-task: a control process of a region that runs flows.
 *
 * The task owns the connections to other processes, the data directory and
 * the log.  A server, given as callbacks, owns the connections to endpoints
 * and operators.  It runs in the task's thread and calls the task there.
 */

struct mw_flow_control_task;

/* mw_flow_control_server: callbacks that serve endpoints and operators. */
struct mw_flow_control_server {
    void *opaque;
    /* returns false and sets message on failure */
    bool (*start)(void *opaque, struct mw_flow_control_task *task,
                  char **message);
    /* sends a command to an endpoint */
    void (*command)(void *opaque, const struct mw_flow_command *command);
    void (*reply)(void *opaque, const struct mw_flow_reply *reply);
    void (*stop)(void *opaque);
    /* return NULL and set error on failure */
    struct mw_flow_config *(*decode_config)(void *opaque,
                                            struct mw_context *ctx,
                                            struct mw_str text, int *error);
    struct mw_flow_plan *(*decode_plan)(void *opaque, struct mw_context *ctx,
                                        struct mw_str text, int *error);
};

struct mw_flow_control_task_setup {
    struct mw_name name;
    struct mw_name zone;
    /* TCP port on which every control process listens for the others */
    uint16_t link_port;
    /* addresses of processes to connect to first */
    struct mw_name seeds[MW_MEMBERS_MAX];
    uint32_t seed_count;
    /* first start of the whole system: the seeds become the members */
    bool founding;
    /* number of members that the log should have */
    uint32_t target_member_count;
    struct mw_str data_dir;
    /* log entries between two snapshots */
    uint32_t compact_after;
    struct mw_flow_limits limits;
    struct mw_flow_control_server server;
    struct mw_context ctx;
    /* ended: shutdown is complete, or the process failed with a message */
    void *opaque;
    void (*ended)(void *opaque, int error, struct mw_str message);
};

struct mw_flow_control_task *
mw_new_flow_control_task(const struct mw_flow_control_task_setup *setup);
void mw_drop_flow_control_task(struct mw_flow_control_task *task);

/*
 * mw_flow_control_task_dump: write the metrics to standard error.
 *
 * Can be called in any thread.
 */
void mw_flow_control_task_dump(struct mw_flow_control_task *task);

/*
 * mw_flow_control_task_leave: begin a graceful shutdown.
 *
 * Can be called in any thread.
 */
void mw_flow_control_task_leave(struct mw_flow_control_task *task);

/* calls from the server, in the task's thread */
void mw_flow_control_task_request(struct mw_flow_control_task *task,
                                  const struct mw_flow_request *request);
int mw_flow_control_task_handle_heartbeat(struct mw_flow_control_task *task,
                                          const struct mw_flow_heartbeat *beat,
                                          uint64_t ref);
void
mw_flow_control_task_handle_response(struct mw_flow_control_task *task,
                                     const struct mw_flow_response *answer);
bool mw_flow_control_task_is_leader(struct mw_flow_control_task *task);
struct mw_name
mw_flow_control_task_get_leader(struct mw_flow_control_task *task);
struct mw_name mw_flow_control_task_get_heartbeat_target(
    struct mw_flow_control_task *task,
    const struct mw_flow_heartbeat *heartbeat);
/*
 * mw_flow_control_task_add_seed: connect to one more process.
 *
 * Can be called in any thread.
 */
void mw_flow_control_task_add_seed(struct mw_flow_control_task *task,
                                   const struct mw_name *seed);
struct mw_event_log *
mw_flow_control_task_get_event_log(struct mw_flow_control_task *task);
GString *
mw_flow_control_task_format_metrics(struct mw_flow_control_task *task);

#endif
