#ifndef MW_RUN_REGION_PROCESS_H
#define MW_RUN_REGION_PROCESS_H

#include "event-log.h"
#include "link.h"

/*
 * region-process: what the processes of a region that runs flows share: the
 * connections to each other, the log, and how they end.
 *
 * Every control process listens for the others on the same port; processes
 * are named by their IP addresses.
 */

struct mw_region_process_setup {
    struct mw_name name;
    struct mw_name zone;
    enum mw_process_role role;
    /* TCP port on which the control processes listen */
    uint16_t link_port;
    struct mw_context ctx;
    /* ended: shutdown is complete, or the process failed with a message */
    void *opaque;
    void (*ended)(void *opaque, int error, struct mw_str message);
};

/* mw_region_process: belongs to the task of the process. */
struct mw_region_process {
    struct mw_region_process_setup setup;
    struct mw_event_log *log;
    struct mw_blob *key;
    struct mw_links *links;
    /* for mw_post_peer_msg and mw_post_broadcast */
    struct mw_task *links_task;
    bool ended;
};

/*
 * mw_start_region_process: opens the log and starts the links.
 *
 * owner is the task that the links post to; call it in its thread.  Returns
 * false and sets message on failure.
 */
bool mw_start_region_process(struct mw_region_process *process,
                             const struct mw_region_process_setup *setup,
                             struct mw_task *owner, char **message);
void mw_stop_region_process(struct mw_region_process *process);

/* mw_end_region_process: tells the owner, once; error is 0 if planned. */
void mw_end_region_process(struct mw_region_process *process, int error,
                           struct mw_str message);

/* mw_dial_region_process: keeps a connection; not to an empty name. */
void mw_dial_region_process(struct mw_region_process *process,
                            const struct mw_name *name);

/* mw_log_link_change: logs a MW_TASK_MSG_LINK. */
void mw_log_link_change(struct mw_region_process *process,
                        const struct mw_task_msg *task_msg);

#endif
