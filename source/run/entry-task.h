#ifndef MW_RUN_ENTRY_TASK_H
#define MW_RUN_ENTRY_TASK_H

#include "link.h"
#include "task.h"

/*
 * entry-task: an entry process, for a daemon or to be embedded.
 */

struct mw_entry_task_setup {
    struct mw_name name;
    struct mw_name zone;
    struct mw_name listen;
    struct mw_name operator;
    struct mw_name endpoints;
    struct mw_blob *key;
    uint32_t dial_count;
    struct mw_dial dials[2 * MW_MEMBERS_MAX + MW_ZONES_MAX];
    struct mw_context ctx;
    void *opaque;
    void (*ended)(void *opaque, int error, struct mw_str message);
};

struct mw_entry_task;

struct mw_entry_task *
mw_new_entry_task(const struct mw_entry_task_setup *setup);
void mw_drop_entry_task(struct mw_entry_task *task);

/* mw_entry_task_leave: not ready, finish all that is open, then end. */
void mw_entry_task_leave(struct mw_entry_task *task);
void mw_entry_task_dump(struct mw_entry_task *task);

#endif
