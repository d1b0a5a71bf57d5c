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

enum mw_mail_kind {
    /* a message from or to another process */
    MW_MAIL_MSG = 0,
    /* a message to every connected process of a role */
    MW_MAIL_MSG_ALL = 1,
    MW_MAIL_LINK = 2,
    MW_MAIL_STORE = 3,
    MW_MAIL_SYNCED = 4,
    MW_MAIL_REQUEST = 5,
    MW_MAIL_REPLY = 6,
    MW_MAIL_GONE = 7,
    MW_MAIL_ORDER = 8,
    MW_MAIL_CALLED = 9,
    MW_MAIL_ANNOUNCE = 10,
    MW_MAIL_LOOK = 11,
    MW_MAIL_LEAVE = 12,
    MW_MAIL_FAILED = 13,
    /* keep a connection to one more process */
    MW_MAIL_DIAL = 14
};

enum mw_request_source {
    MW_FROM_CALLER = 0,
    MW_FROM_OPERATOR = 1,
    MW_FROM_ENDPOINT = 2,
    MW_SOURCES = 3
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
    enum mw_mail_kind kind;
    struct mw_name process;
    enum mw_process_role role;
    bool up;
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
    struct mw_order order;
    struct mw_report report;
};

struct mw_mail *mw_new_mail(enum mw_mail_kind kind);
void mw_drop_mail(struct mw_mail *mail);

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
 * mw_new_task_beside: a task that runs in another task's thread.
 *
 * To be called in that thread, from its start; start is called at once and
 * stop when it is dropped, in the same thread.  Still, the two speak only
 * by mail: this saves the wake-up, not the border.
 */
struct mw_task *mw_new_task_beside(struct mw_task *host,
                                   const struct mw_task_work *work);

/* mw_drop_task: end the thread after the mail it has, and wait for it. */
void mw_drop_task(struct mw_task *task);

/* mw_post: hand mail to a task, which then owns it. */
void mw_post(struct mw_task *task, struct mw_mail *mail);

/* mw_post_failed: tell a task of a failure that its process can't bear. */
void mw_post_failed(struct mw_task *task, int error, struct mw_str text);

/*
 * mw_post_msg, mw_post_msg_all: a message to one process, or to all of a
 * role, by the task of the links.  They keep a reference of their own.
 */
void mw_post_msg(struct mw_task *links, const struct mw_name *to,
                 struct mw_msg *msg);
void mw_post_msg_all(struct mw_task *links, enum mw_process_role role,
                     struct mw_msg *msg);

/* mw_new_stored: an empty list of struct mw_stored_blob. */
GArray *mw_new_stored(void);

/* mw_post_stored: hand the list to the disk's task; a new one takes over. */
void mw_post_stored(struct mw_task *disk, GArray **stored);

/* mw_post_leave: ask a task to leave in a planned way. */
void mw_post_leave(struct mw_task *task);

/* mw_post_dump: ask a task for its state, on standard error. */
void mw_post_dump(struct mw_task *task);

/* mw_write_dump: the whole text to standard error. */
void mw_write_dump(struct mw_str text);

/* mw_task_rearm: look at the deadline again after a socket event. */
void mw_task_rearm(struct mw_task *task);

/*
 * mw_task_gathers: a task with many sockets handles events together.
 *
 * Each turn of the main loop looks at every socket, so with many of them
 * the loop waits a moment, in proportion to their number, before it looks.
 */
void mw_task_gathers(struct mw_task *task);

/* mw_now: monotonic time in microseconds. */
int64_t mw_now(void);

#endif
