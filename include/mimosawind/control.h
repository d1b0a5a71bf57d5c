#ifndef MIMOSAWIND_CONTROL_H
#define MIMOSAWIND_CONTROL_H

#include "mimosawind/message.h"

/*
 * control: the state machine of a control process.
 *
 * Holds the region's log (documents), the zone's log (jobs, the zone's
 * state, the document in force in the zone) and the zone's scheduler.  A
 * process outside the region's group, such as a standby without a disk,
 * takes part in the zone's log alone.
 *
 * Every event comes in through one of the methods below with the time; what
 * is to be done goes out through the callbacks.
 */

#define MW_CHANGE_TIMEOUT_US 3000000
#define MW_DRAIN_US 60000000

struct mw_control_output {
    void *opaque;
    /* send: takes its own reference; a process not connected gets nothing */
    void (*send)(void *opaque, const struct mw_name *to, struct mw_msg *msg);
    /* send_all: to every connected process of a role */
    void (*send_all)(void *opaque, enum mw_process_role role,
                     struct mw_msg *msg);
    /* store: write the item; mw_control_synced is called afterwards */
    void (*store)(void *opaque, enum mw_group group,
                  const struct mw_store_item *item);
};

struct mw_control_setup {
    struct mw_name name;
    struct mw_name zone;
    uint64_t incarnation[MW_GROUPS];
    uint32_t member_count[MW_GROUPS];
    struct mw_member members[MW_GROUPS][MW_MEMBERS_MAX];
    uint32_t compact_after;
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

/* mw_control_restore: put back one stored item of a group. */
int mw_control_restore(struct mw_context *ctx, struct mw_control *control,
                       enum mw_group group, const struct mw_store_item *item);

/* mw_control_receive: a message from a connected process. */
void mw_control_receive(struct mw_context *ctx, struct mw_control *control,
                        int64_t now_us, const struct mw_name *from,
                        struct mw_msg *msg);

/* mw_control_synced: what was stored up to sequence is on the disk. */
void mw_control_synced(struct mw_context *ctx, struct mw_control *control,
                       int64_t now_us, enum mw_group group, uint64_t sequence);

/* mw_control_tick: act on deadlines, and send what is due. */
void mw_control_tick(struct mw_context *ctx, struct mw_control *control,
                     int64_t now_us);

/* mw_control_deadline: when mw_control_tick is next due. */
int64_t mw_control_deadline(const struct mw_control *control);

/*
 * mw_control_leave: drain, then hand over every lead before a planned stop.
 *
 * To be called again until mw_control_may_exit.  Takes no more work that
 * needs a record, and waits up to MW_DRAIN_US for answers that callers wait
 * for: where this member has the zone's only disk, nobody else could record
 * their end.
 */
void mw_control_leave(struct mw_context *ctx, struct mw_control *control,
                      int64_t now_us);

/* mw_control_may_exit: whether nothing is led here any more. */
bool mw_control_may_exit(const struct mw_control *control);

/* readers for dumps; all lent */
const struct mw_zone *mw_control_zone(const struct mw_control *control);
void mw_control_look_log(const struct mw_control *control, enum mw_group group,
                         struct mw_log_view *view);
const struct mw_control_counters *
mw_control_counters_of(const struct mw_control *control);
struct mw_document *mw_control_document(const struct mw_control *control,
                                        enum mw_environment environment);
bool mw_control_leads(const struct mw_control *control, enum mw_group group,
                      int64_t now_us);

#endif
