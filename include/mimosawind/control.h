#ifndef MIMOSAWIND_CONTROL_H
#define MIMOSAWIND_CONTROL_H

#include "mimosawind/message.h"

/*
 * control: the state machine of a control process.
 *
 * Owns a member of the region's log (documents), a member of the zone's log
 * (jobs, the zone's state, the document in force in the zone) and the
 * zone's scheduler.  A process that is not a member of the region's log,
 * such as a standby without a disk, takes part in the zone's log only.
 *
 * Each event is passed to one of the functions below, with the time.  They
 * perform no input or output; they call back the owner to send and store.
 */

/* time for a change to be committed and answered */
#define MW_CHANGE_TIMEOUT_US 3000000
/* longest wait for unfinished answers in a graceful shutdown */
#define MW_DRAIN_TIMEOUT_US 60000000

struct mw_control_output {
    void *opaque;
    /* send: takes its own reference; dropped if `to` is not connected */
    void (*send)(void *opaque, const struct mw_name *to, struct mw_msg *msg);
    /* send_all: to every connected process of a role */
    void (*send_all)(void *opaque, enum mw_process_role role,
                     struct mw_msg *msg);
    /* store: write the item; the owner calls mw_control_synced when synced */
    void (*store)(void *opaque, enum mw_group group,
                  const struct mw_stored_item *item);
};

struct mw_control_setup {
    struct mw_name name;
    struct mw_name zone;
    uint64_t incarnation[MW_GROUPS];
    uint32_t member_count[MW_GROUPS];
    struct mw_member members[MW_GROUPS][MW_MEMBERS_MAX];
    uint32_t compact_after;
    /* of its requests to other processes; see message.h */
    uint64_t first_ref;
    uint32_t seed;
    int64_t now_us;
    struct mw_control_output output;
};

struct mw_control_counters {
    uint64_t messages;
    uint64_t documents_sent;
    uint64_t changes;
    uint64_t changes_refused;
    uint64_t changes_resent;
    uint64_t judged;
};

struct mw_control;

struct mw_control *mw_new_control(const struct mw_control_setup *setup);
void mw_drop_control(struct mw_control *control);

/* mw_control_restore: load one stored item of a group, before any event. */
int mw_control_restore(struct mw_context *ctx, struct mw_control *control,
                       enum mw_group group, const struct mw_stored_item *item);

/* mw_control_receive: handle a message from a connected process. */
void mw_control_receive(struct mw_context *ctx, struct mw_control *control,
                        int64_t now_us, const struct mw_name *from,
                        struct mw_msg *msg);

/* mw_control_set_writable: as mw_log_set_writable, of both logs. */
void mw_control_set_writable(struct mw_context *ctx,
                             struct mw_control *control, int64_t now_us,
                             bool writable);
/* mw_control_synced: items stored up to sequence are synced to disk. */
void mw_control_synced(struct mw_context *ctx, struct mw_control *control,
                       int64_t now_us, enum mw_group group, uint64_t sequence);

/* mw_control_tick: act on expired deadlines and send what is due. */
void mw_control_tick(struct mw_context *ctx, struct mw_control *control,
                     int64_t now_us);

/* mw_control_deadline: when mw_control_tick is next due. */
int64_t mw_control_deadline(const struct mw_control *control);

/*
 * mw_control_leave: graceful shutdown: drain, then transfer leadership.
 *
 * Call it repeatedly until mw_control_may_exit.  Accepts no more recorded
 * jobs, and waits up to MW_DRAIN_TIMEOUT_US for jobs whose clients wait for an
 * answer: if this member has the only disk of the zone, no other member
 * could record their results.
 */
void mw_control_leave(struct mw_context *ctx, struct mw_control *control,
                      int64_t now_us);

/* mw_control_may_exit: whether it is drained, with nothing to transfer. */
bool mw_control_may_exit(const struct mw_control *control);

/* state for dumps; returned pointers are borrowed */
const struct mw_zone *mw_control_get_zone(const struct mw_control *control);
void mw_control_get_log_status(const struct mw_control *control,
                               enum mw_group group,
                               struct mw_log_status *view);
const struct mw_control_counters *
mw_control_get_counters(const struct mw_control *control);
struct mw_document *mw_control_get_document(const struct mw_control *control,
                                            enum mw_environment environment);

/* mw_control_is_leader: whether it is leader of the group's log at now_us. */
bool mw_control_is_leader(const struct mw_control *control,
                          enum mw_group group, int64_t now_us);

#endif
