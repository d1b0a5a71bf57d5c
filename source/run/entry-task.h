#ifndef MW_RUN_ENTRY_TASK_H
#define MW_RUN_ENTRY_TASK_H

#include "link.h"
#include "task.h"

/*
 * entry-task: an entry process, run by a daemon or embedded in a program.
 *
 * Owns the entry state machine; the peer connections and the listeners for
 * clients, operators and endpoints are tasks of their own.
 */

struct mw_entry_task_setup {
    struct mw_name name;
    struct mw_name zone;
    /* listening addresses for clients, operators and endpoints */
    struct mw_name listen;
    struct mw_name operator;
    struct mw_name endpoints;
    struct mw_blob *key;
    uint32_t dial_count;
    struct mw_dial_target dials[2 * MW_MEMBERS_MAX + MW_ZONES_MAX];
    struct mw_context ctx;
    /* ended: shutdown is complete, or the process failed with a message */
    void *opaque;
    void (*ended)(void *opaque, int error, struct mw_str message);
};

struct mw_entry_task;

struct mw_entry_task *
mw_new_entry_task(const struct mw_entry_task_setup *setup);
void mw_drop_entry_task(struct mw_entry_task *task);

/*
 * mw_entry_task_leave: begin a graceful shutdown.
 *
 * The process reports not ready, completes its pending requests, then ends.
 */
void mw_entry_task_leave(struct mw_entry_task *task);

/* mw_entry_task_dump: write the state to standard error. */
void mw_entry_task_dump(struct mw_entry_task *task);

#endif
