#ifndef MW_RUN_FLOW_CONTROL_TASK_IMPL_H
#define MW_RUN_FLOW_CONTROL_TASK_IMPL_H

#include "disk.h"
#include "flow-control-task.h"
#include "region-process.h"

/*
 * flow-control-task-impl: the task of a control process.
 *
 * FILES
 *   flow-control-task.c         the task's callbacks, shutdown, and the calls
 *                               from the server
 *   flow-control-task-member.c  whether the process is a member of the log,
 *                               and its data directory
 *   flow-control-task-store.c   lines about the data directory
 *   flow-control-task-links.c   connections to other processes
 *   flow-control-task-output.c  effects of the control process
 */

struct mw_flow_control_task {
    struct mw_flow_control_task_setup setup;
    struct mw_context ctx;
    struct mw_task *task;
    struct mw_region_process process;
    /* NULL without a data directory, as of a standby */
    struct mw_task *disk_task;
    struct mw_disk *disk;
    struct mw_flow_control *control;
    /* items stored since the last mw_flush_stored */
    GArray *stored;
    bool started;
    /* when to open the data directory again; 0 if that did not fail */
    int64_t open_deadline_us;
    /* snapshots, taken or received, that a line has named */
    uint64_t snapshots_reported;
    bool leaving;
    int64_t leave_deadline_us;
};

/* flow-control-task-member.c */
/*
 * mw_open_member_state: at the start; creates t->control.
 *
 * If the disk refuses, because it is full for example, the process runs as a
 * standby, which only forwards requests; mw_reopen_member_state tries again
 * from time to time.
 */
int mw_open_member_state(struct mw_flow_control_task *t);
void mw_reopen_member_state(struct mw_flow_control_task *t, int64_t now_us);
/*
 * mw_check_membership: joins the log if the other members list this process
 * although it has no data: a standby that was added, or a member that lost
 * its disk.
 */
void mw_check_membership(struct mw_flow_control_task *t);
bool mw_contains_name(const struct mw_name *names, uint32_t count,
                      const struct mw_name *name);
/* mw_report_disk: logs that the disk refuses writes, or accepts them again. */
void mw_report_disk(struct mw_flow_control_task *t, int error,
                    struct mw_str detail);

/* flow-control-task-store.c */
/*
 * mw_report_store_reading: before the data directory is read; the line is
 * written at once, as reading may take long or use up the memory.
 */
void mw_report_store_reading(struct mw_flow_control_task *t);
/* mw_report_store_read: what was read, and how long it took. */
void mw_report_store_read(struct mw_flow_control_task *t, int64_t begun_us);
/* mw_report_snapshots: a line if the log has been replaced by a snapshot. */
void mw_report_snapshots(struct mw_flow_control_task *t);

/* flow-control-task-links.c */
/*
 * mw_dial_process: connects to a process.  Of two members, the one whose name
 * compares greater connects to the other.
 */
void mw_dial_process(struct mw_flow_control_task *t,
                     const struct mw_name *name);
/* mw_dial_known_processes: the members, and the seeds of the setup. */
void mw_dial_known_processes(struct mw_flow_control_task *t);

/* flow-control-task-output.c */
struct mw_flow_control_output
mw_flow_control_task_output(struct mw_flow_control_task *t);
/*
 * mw_flush_stored: posts all items of one step to the disk task at once.
 *
 * Called after each message, tick and call from the server.
 */
void mw_flush_stored(struct mw_flow_control_task *t);

#endif
