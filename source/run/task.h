#ifndef MW_RUN_TASK_H
#define MW_RUN_TASK_H

#include <glib.h>

#include "mimosawind/wire.h"

/*
 * task: a thread that owns its sockets and its state.
 *
 * A task runs one main context and sleeps in it until mail arrives, a
 * socket is ready or its next deadline passes.  Tasks share nothing but
 * immutable, counted objects, and speak only by mail.
 */

enum mw_task_msg_kind {
    /* a message from or to another process */
    MW_TASK_MSG_PEER = 0,
    /* a message to every connected process of a role */
    MW_TASK_MSG_BROADCAST = 1,
    MW_TASK_MSG_LINK = 2,
    MW_MAIL_STORE = 3,
    MW_MAIL_SYNCED = 4,
    MW_TASK_MSG_REQUEST = 5,
    MW_TASK_MSG_REPLY = 6,
    MW_TASK_MSG_CLIENT_CLOSED = 7,
    MW_TASK_MSG_COMMAND = 8,
    MW_TASK_MSG_COMMAND_DONE = 9,
    MW_TASK_MSG_ANNOUNCEMENT = 10,
    MW_TASK_MSG_STATUS = 11,
    MW_TASK_MSG_LEAVE = 12,
    MW_TASK_MSG_FAILED = 13,
    /* keep a connection to one more process */
    MW_TASK_MSG_DIAL = 14
};

enum mw_request_source {
    MW_FROM_CALLER = 0,
    MW_FROM_OPERATOR = 1,
    MW_FROM_ENDPOINT = 2,
    MW_SOURCE_COUNT = 3
};

/* mw_stored_blob: an encoded item for the data file of a group. */
struct mw_stored_blob {
    enum mw_group group;
    enum mw_store_kind kind;
    uint64_t sequence;
    struct mw_blob *blob;
};

/* mw_mail: one message between tasks; owns what it points to. */
struct mw_mail {
    enum mw_task_msg_kind kind;
    struct mw_name process;
    enum mw_process_role role;
    bool connected;
    struct mw_msg *msg;
    GArray *stored;
    enum mw_group group;
    uint64_t sequence;
    uint64_t handle;
    /* requests: the message as the edge decoded it */
    struct mw_name token_hash;
    int64_t deadline_us;
    int status;
    struct mw_blob *text;
    struct mw_order command;
    struct mw_report report;
};

struct mw_mail *mw_new_mail(enum mw_task_msg_kind kind);
void mw_drop_task_msg(struct mw_mail *mail);

struct mw_task;

/*
 * mw_task_work: what a task does, as callbacks with a context pointer.
 *
 * start and stop run inside the task's thread.  batch follows each run of
 * mails.  deadline gives the next time at which tick is due, INT64_MAX for
 * none.  Any of them may be NULL but mail.
 */
struct mw_task_work {
    void *opaque;
    void (*start)(void *opaque, struct mw_task *task);
    void (*mail)(void *opaque, struct mw_mail *mail);
    void (*batch)(void *opaque);
    int64_t (*deadline)(void *opaque);
    void (*tick)(void *opaque, int64_t now_us);
    void (*stop)(void *opaque);
};

/* mw_new_task: start the thread; it is named in dumps and debuggers. */
struct mw_task *mw_new_task(const char *name, const struct mw_task_work *work);

/*
 * mw_new_task_on_thread: a task that runs in another task's thread.
 *
 * To be called in that thread, from its start; start is called at once and
 * stop when it is dropped, in the same thread.  Still, the two speak only
 * by mail: this saves the wake-up, not the border.
 */
struct mw_task *mw_new_task_on_thread(struct mw_task *host,
                                      const struct mw_task_work *work);

/* mw_drop_task: end the thread after the mail it has, and wait for it. */
void mw_drop_task(struct mw_task *task);

/* mw_post: hand mail to a task, which then owns it. */
void mw_post(struct mw_task *task, struct mw_mail *mail);

/* mw_post_failed: tell a task of a failure that its process can't bear. */
void mw_post_failed(struct mw_task *task, int error, struct mw_str text);

/*
 * mw_post_peer_msg, mw_post_broadcast: a message to one process, or to all of
 * a role, by the task of the links.  They keep a reference of their own.
 */
void mw_post_peer_msg(struct mw_task *links, const struct mw_name *to,
                      struct mw_msg *msg);
void mw_post_broadcast(struct mw_task *links, enum mw_process_role role,
                       struct mw_msg *msg);

/* mw_new_stored_list: an empty list of struct mw_stored_blob. */
GArray *mw_new_stored_list(void);

/* mw_post_stored: hand the list to the disk's task; a new one takes over. */
void mw_post_stored(struct mw_task *disk, GArray **stored);

/* mw_post_leave: ask a task to leave in a planned way. */
void mw_post_leave(struct mw_task *task);

/* mw_post_dump: ask a task for its state, on standard error. */
void mw_post_dump(struct mw_task *task);

/* mw_write_dump: the whole text to standard error. */
void mw_write_dump(struct mw_str text);

/* mw_task_update_timer: look at the deadline again after a socket event. */
void mw_task_update_timer(struct mw_task *task);

/*
 * mw_task_coalesce_polls: a task with many sockets handles events together.
 *
 * Each turn of the main loop looks at every socket, so with many of them
 * the loop waits a moment, in proportion to their number, before it looks.
 */
void mw_task_coalesce_polls(struct mw_task *task);

/* mw_now: monotonic time in microseconds. */
int64_t mw_now(void);

#endif
