#ifndef MW_RUN_TASK_H
#define MW_RUN_TASK_H

#include <glib.h>

#include "mimosawind/wire.h"

/*
 * task: a thread that owns its sockets and its state.
 *
 * A task runs the loop of its thread (see loop.h) and sleeps in it until a
 * message arrives, a socket is ready or its next deadline passes.  Tasks share
 * only immutable, reference-counted objects and communicate only by messages.
 */

enum mw_task_msg_kind {
    /* message from or to another process */
    MW_TASK_MSG_PEER = 0,
    /* message to every connected process of a role */
    MW_TASK_MSG_BROADCAST = 1,
    /* a connection to another process was opened or closed */
    MW_TASK_MSG_LINK = 2,
    /* stored items to write, and the last sequence number synced */
    MW_TASK_MSG_STORE = 3,
    MW_TASK_MSG_SYNCED = 4,
    /* HTTP request, its reply, and the client closing before the reply */
    MW_TASK_MSG_REQUEST = 5,
    MW_TASK_MSG_REPLY = 6,
    MW_TASK_MSG_CLIENT_CLOSED = 7,
    /* command for an endpoint, and its outcome */
    MW_TASK_MSG_COMMAND = 8,
    MW_TASK_MSG_COMMAND_DONE = 9,
    /* announcement received from an endpoint */
    MW_TASK_MSG_ANNOUNCEMENT = 10,
    /* with text: the counters of the links; without: asks for the state */
    MW_TASK_MSG_STATUS = 11,
    /* begin a graceful shutdown; from a listener: it is complete there */
    MW_TASK_MSG_LEAVE = 12,
    /* failure that the process can't recover from */
    MW_TASK_MSG_FAILED = 13,
    /* keep a connection to one more process */
    MW_TASK_MSG_DIAL = 14,
    /* the disk refuses writes (status is an error), or accepts them again */
    MW_TASK_MSG_DISK = 15
};

/*
 * Which listener received a request.  A request's handle modulo
 * MW_SOURCE_COUNT is its source.
 */
enum mw_request_source {
    MW_SOURCE_CLIENT = 0,
    MW_SOURCE_OPERATOR = 1,
    MW_SOURCE_ENDPOINT = 2,
    MW_SOURCE_COUNT = 3
};

/* mw_stored_blob: an encoded item for a replication group's file. */
struct mw_stored_blob {
    enum mw_group group;
    enum mw_stored_kind kind;
    uint64_t sequence;
    struct mw_blob *blob;
};

/* mw_task_msg: a message between tasks; owns what it points to. */
struct mw_task_msg {
    enum mw_task_msg_kind kind;
    /* sender, recipient or peer; in MW_TASK_MSG_STATUS the part to show */
    struct mw_name process;
    enum mw_process_role role;
    bool connected;
    struct mw_msg *msg;
    GArray *stored;
    enum mw_group group;
    uint64_t sequence;
    uint64_t handle;
    /* SHA-256 of the client's bearer token; msg is the decoded request */
    struct mw_name token_hash;
    int64_t deadline_us;
    int status;
    struct mw_blob *text;
    struct mw_endpoint_command command;
    struct mw_report report;
};

struct mw_task_msg *mw_new_task_msg(enum mw_task_msg_kind kind);
void mw_drop_task_msg(struct mw_task_msg *task_msg);

struct mw_task;

/*
 * mw_task_callbacks: the callbacks of a task, with a context pointer.
 *
 * All of them run in the task's thread.  The message handler is called for
 * each message, and batch after every batch of them.  deadline returns the
 * time at which tick is due next, INT64_MAX for none; it is read before each
 * wait.  Only the message handler is mandatory.
 */
struct mw_task_callbacks {
    void *opaque;
    void (*start)(void *opaque, struct mw_task *task);
    void (*receive)(void *opaque, struct mw_task_msg *task_msg);
    void (*batch)(void *opaque);
    int64_t (*deadline)(void *opaque);
    void (*tick)(void *opaque, int64_t now_us);
    void (*stop)(void *opaque);
};

/* mw_new_task: start a thread; debuggers show its name. */
struct mw_task *mw_new_task(const char *name,
                            const struct mw_task_callbacks *work);

/*
 * mw_new_task_on_thread: start a task that runs in the thread of another.
 *
 * Call it in that thread, from the host's start callback.  start is called
 * immediately, stop when the task is dropped.  The two tasks still
 * communicate only by messages; sharing the thread saves wake-ups.
 */
struct mw_task *mw_new_task_on_thread(struct mw_task *host,
                                      const struct mw_task_callbacks *work);

/*
 * mw_drop_task: stop a task.
 *
 * Its thread handles the messages that are queued, then ends and is joined.
 * A task on another task's thread is stopped at once and its queued messages
 * are dropped.
 */
void mw_drop_task(struct mw_task *task);

/* mw_post: queue a message for a task, which takes ownership of it. */
void mw_post(struct mw_task *task, struct mw_task_msg *task_msg);

/* mw_post_failed: report a failure that must end the process. */
void mw_post_failed(struct mw_task *task, int error, struct mw_str text);

/*
 * mw_post_peer_msg, mw_post_broadcast: send a message to one process, or to
 * all connected processes of a role, through the task that owns the links.
 * They take their own reference to msg.
 */
void mw_post_peer_msg(struct mw_task *links, const struct mw_name *to,
                      struct mw_msg *msg);
void mw_post_broadcast(struct mw_task *links, enum mw_process_role role,
                       struct mw_msg *msg);

/* mw_new_stored_list: an empty list of struct mw_stored_blob. */
GArray *mw_new_stored_list(void);

/*
 * mw_post_stored: post the list to the disk task.
 *
 * *stored is replaced by a new, empty list.
 */
void mw_post_stored(struct mw_task *disk, GArray **stored);

/* mw_post_leave: ask a task to begin a graceful shutdown. */
void mw_post_leave(struct mw_task *task);

/* mw_post_dial: ask a task to keep a connection to one more process. */
void mw_post_dial(struct mw_task *task, const struct mw_name *process);

/* mw_post_dump: ask a task to write its state to standard error. */
void mw_post_dump(struct mw_task *task);

/* mw_write_dump: write the whole text to standard error. */
void mw_write_dump(struct mw_str text);

/* mw_now: monotonic time in microseconds, including time in suspend. */
int64_t mw_now(void);

#endif
