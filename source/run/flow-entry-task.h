#ifndef MW_RUN_FLOW_ENTRY_TASK_H
#define MW_RUN_FLOW_ENTRY_TASK_H

#include "event-log.h"
#include "http.h"
#include "link.h"
#include "mimosawind/flow-process.h"

/*
 * flow-entry-task: an entry process of a region that runs flows.
 *
 * The task owns the connections to control processes.  A server, given as
 * callbacks, owns the connections of clients and runs in the same thread.
 */

struct mw_flow_entry_task;

/* mw_flow_entry_server: callbacks that serve clients. */
struct mw_flow_entry_server {
    void *opaque;
    /* returns false and sets message on failure */
    bool (*start)(void *opaque, struct mw_flow_entry_task *task,
                  char **message);
    void (*reply)(void *opaque, const struct mw_flow_reply *reply);
    /* begins to report not ready and to close connections after a reply */
    void (*leave)(void *opaque);
    struct mw_http_activity (*get_activity)(void *opaque);
    /* accepts no new connections */
    void (*stop_listening)(void *opaque);
    void (*stop)(void *opaque);
};

struct mw_flow_entry_task_setup {
    struct mw_name name;
    struct mw_name zone;
    /* TCP port on which the control processes listen */
    uint16_t link_port;
    /* addresses of processes to connect to first */
    struct mw_name seeds[MW_MEMBERS_MAX];
    uint32_t seed_count;
    /* shortest and longest duration of a graceful shutdown */
    int64_t leave_min_us;
    int64_t leave_max_us;
    struct mw_flow_entry_server server;
    struct mw_context ctx;
    /* ended: shutdown is complete, or the process failed with a message */
    void *opaque;
    void (*ended)(void *opaque, int error, struct mw_str message);
};

struct mw_flow_entry_task *
mw_new_flow_entry_task(const struct mw_flow_entry_task_setup *setup);
void mw_drop_flow_entry_task(struct mw_flow_entry_task *task);

/*
 * mw_flow_entry_task_dump: write the metrics to standard error.
 *
 * Can be called in any thread.
 */
void mw_flow_entry_task_dump(struct mw_flow_entry_task *task);

/*
 * mw_flow_entry_task_leave: begin a graceful shutdown.
 *
 * Can be called in any thread.
 */
void mw_flow_entry_task_leave(struct mw_flow_entry_task *task);

/* calls from the server, in the task's thread */
void mw_flow_entry_task_request(struct mw_flow_entry_task *task,
                                const struct mw_flow_request *request,
                                int64_t deadline_us);
void mw_flow_entry_task_client_closed(struct mw_flow_entry_task *task,
                                      uint64_t ref);
bool mw_flow_entry_task_is_ready(const struct mw_flow_entry_task *task);

/*
 * mw_flow_entry_task_add_seed: connect to one more process.
 *
 * Can be called in any thread.
 */
void mw_flow_entry_task_add_seed(struct mw_flow_entry_task *task,
                                 const struct mw_name *seed);
GString *mw_flow_entry_task_format_metrics(struct mw_flow_entry_task *task);

#endif
