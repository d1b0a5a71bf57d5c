#ifndef MW_RUN_CONTROL_TASK_H
#define MW_RUN_CONTROL_TASK_H

#include "link.h"
#include "task.h"

/*
 * control-task: a control process, run by a daemon or embedded in a program.
 *
 * Owns the control state machine; the peer connections, the disk and the
 * operators' listener are tasks of their own.
 */

struct mw_control_task_setup {
    struct mw_control_setup control;
    /* listening addresses for other processes and for operators */
    struct mw_name listen;
    struct mw_name operator;
    /* data directory, empty for a member without a disk */
    struct mw_str data_dir;
    struct mw_blob *key;
    uint32_t dial_count;
    struct mw_dial_target dials[2 * MW_MEMBERS_MAX + MW_ZONES_MAX];
    struct mw_context ctx;
    /* ended: shutdown is complete, or the process failed with a message */
    void *opaque;
    void (*ended)(void *opaque, int error, struct mw_str message);
};

struct mw_control_task;

struct mw_control_task *
mw_new_control_task(const struct mw_control_task_setup *setup);
void mw_drop_control_task(struct mw_control_task *task);

/* mw_control_task_leave: transfer leadership to other members, then end. */
void mw_control_task_leave(struct mw_control_task *task);

/* mw_control_task_dump: write the state to standard error. */
void mw_control_task_dump(struct mw_control_task *task);

#endif
