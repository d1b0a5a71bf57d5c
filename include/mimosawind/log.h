#ifndef MIMOSAWIND_LOG_H
#define MIMOSAWIND_LOG_H

#include "mimosawind/record.h"

/*
 * log: a small replicated log, without input or output.
 *
 * Terms, pre-vote, leader lease, sync before acknowledgement, snapshots and
 * catch-up in bounded pieces.  A member counts only under the incarnation
 * that the log itself has admitted: one that lost its disk, or never had
 * one, returns under a new incarnation and counts for nothing until the
 * leader has brought it up to date and its ADMIT record is committed.
 *
 * While an ADMIT record is not committed, elections and commits need a
 * quorum of the configuration before it and of the one after it.
 *
 * Incarnations grow: a process takes its start time as its incarnation, and
 * a message from an older incarnation than one already heard is dropped.
 * The leader removes a member without a disk that stays silent (ADMIT with
 * incarnation 0), so that single losses one after another do not use up the
 * majority.  A member with a disk is never removed.
 *
 * Where a target is set, processes that are offered become members too.  A
 * MEMBER record gives each a slot, from which on it is sent the log; it is
 * admitted once it is caught up, while fewer than the target count.  With
 * the target reached it is admitted only when a member has been silent for
 * MW_REPLACE_AFTER_US, which is then removed: one step at a time, the new
 * member first.
 *
 * A commit needs a majority and, where a member with a disk is admitted,
 * one such member.  A member that must hold every committed record (the
 * only one with a disk, or one of a pair) may leave incarnations that it
 * knows to be dead out of the count; the one with a disk in a pair may
 * lead alone, though it can't commit alone.
 *
 * UNITS   microseconds of one monotonic clock for each process
 * ERRORS  MW_ERR_NOT_LEADER, MW_ERR_NO_QUORUM, MW_ERR_OVERLOADED
 */

#define MW_MEMBERS_MAX 8
#define MW_HEARTBEAT_US 100000
#define MW_LEASE_DURATION_US 800000
#define MW_ELECTION_TIMEOUT_US 1000000
#define MW_UNRESPONSIVE_US 3000000
#define MW_REPLACE_AFTER_US 2000000
#define MW_LOG_UNCOMMITTED_MAX 4096
#define MW_LOG_PIECE_RECORDS 512
#define MW_LOG_MSG_BYTES_MAX (256 * 1024)
#define MW_FOUNDING_INCARNATION 1

enum mw_log_role {
    MW_FOLLOWER = 0,
    MW_PRE_CANDIDATE = 1,
    MW_CANDIDATE = 2,
    MW_LEADER = 3
};

struct mw_member {
    struct mw_name name;
    bool disk;
};

enum mw_log_msg_kind {
    MW_LOG_PREVOTE = 0,
    MW_LOG_PREVOTE_REPLY = 1,
    MW_LOG_VOTE = 2,
    MW_LOG_VOTE_REPLY = 3,
    MW_LOG_APPEND = 4,
    MW_LOG_APPEND_REPLY = 5,
    MW_LOG_SNAPSHOT = 6,
    MW_LOG_SNAPSHOT_REPLY = 7,
    MW_LOG_TIMEOUT_NOW = 8,
    MW_LOG_MSG_LAST = 9
};

struct mw_log_entry {
    uint64_t term;
    struct mw_record *record;
};

/*
 * mw_log_msg: one message between members of a group.
 *
 * index and log_term name the entry before entries[0], the last entry of a
 * candidate, or the base of a snapshot.  offset and total count records of
 * a snapshot.  sent_us comes back unchanged in the reply and is read only
 * by the process that sent it; it carries the lease.
 */
struct mw_log_msg {
    enum mw_log_msg_kind kind;
    uint64_t term;
    uint64_t incarnation;
    uint64_t index;
    uint64_t log_term;
    uint64_t commit;
    uint64_t offset;
    uint64_t total;
    int64_t sent_us;
    bool ok;
    uint64_t config[MW_MEMBERS_MAX];
    uint32_t entry_count;
    struct mw_log_entry *entries;
};

enum mw_store_kind {
    /* term, vote, incarnation and the commit index known */
    MW_STORE_META = 0,
    /* an entry; it replaces the entry at its index and all after it */
    MW_STORE_ENTRY = 1,
    /* a snapshot; it replaces all before it */
    MW_STORE_BASE = 2
};

/* mw_store_item: one thing to write before sequence counts as synced. */
struct mw_store_item {
    enum mw_store_kind kind;
    uint64_t sequence;
    uint64_t term;
    uint64_t index;
    uint64_t incarnation;
    uint64_t commit;
    struct mw_name vote;
    uint64_t config[MW_MEMBERS_MAX];
    uint32_t record_count;
    struct mw_record **records;
};

/*
 * mw_log_output: what a log asks of its owner.
 *
 * send and store lend their arguments for the length of the call.  apply
 * is called once for each committed record, in order; reset empties the
 * owner's state before a snapshot is applied.  collect adds the records
 * that rebuild the owner's state to out with add.
 */
struct mw_log_output {
    void *opaque;
    void (*send)(void *opaque, const struct mw_name *to,
                 const struct mw_log_msg *msg);
    void (*store)(void *opaque, const struct mw_store_item *item);
    void (*apply)(void *opaque, uint64_t index, struct mw_record *record);
    void (*reset)(void *opaque);
    void (*collect)(void *opaque, void *out,
                    void (*add)(void *out, struct mw_record *record));
};

struct mw_log_setup {
    struct mw_name group;
    struct mw_name self;
    uint32_t member_count;
    struct mw_member members[MW_MEMBERS_MAX];
    /* of the members, how many founded the group; 0 for all */
    uint32_t founding_count;
    /* how many members are wanted; 0 for those of the setup, for good */
    uint32_t target;
    uint64_t incarnation;
    uint32_t compact_after;
    uint32_t seed;
    int64_t now_us;
    struct mw_log_output output;
};

struct mw_log_counters {
    uint64_t proposed;
    uint64_t committed;
    uint64_t refused;
    uint64_t elections;
    uint64_t terms_won;
    uint64_t lease_lost;
    uint64_t snapshots_taken;
    uint64_t snapshots_sent;
    uint64_t snapshots_received;
    uint64_t admitted;
    uint64_t removed;
    uint64_t stale_incarnation;
};

/* mw_log_view: what others may read of a log's state. */
struct mw_log_view {
    enum mw_log_role role;
    uint64_t term;
    uint64_t commit;
    uint64_t last;
    uint64_t base;
    uint64_t incarnation;
    uint32_t voters;
    uint32_t disks;
    bool admitted;
    struct mw_name leader;
    const struct mw_log_counters *counters;
};

struct mw_log;

/* mw_new_log: a log in its first state; setup is copied. */
struct mw_log *mw_new_log(const struct mw_log_setup *setup);
void mw_drop_log(struct mw_log *log);

/* mw_log_restore: put back one stored item, in the order of storing. */
int mw_log_restore(struct mw_context *ctx, struct mw_log *log,
                   const struct mw_store_item *item);

/* mw_log_receive: take one message; anything stale is counted, not acted. */
void mw_log_receive(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                    const struct mw_name *from, const struct mw_log_msg *msg);

/* mw_log_tick: act on deadlines that have passed. */
void mw_log_tick(struct mw_context *ctx, struct mw_log *log, int64_t now_us);

/* mw_log_synced: everything stored up to sequence is on the disk. */
void mw_log_synced(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                   uint64_t sequence);

/*
 * mw_log_propose: append a record where this member leads.
 *
 * Takes its own reference.  On success writes the index at which apply will
 * be called, unless leadership is lost first.
 */
int mw_log_propose(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                   struct mw_record *record, uint64_t *index);

/*
 * mw_log_offer: a process with a disk is there that is no member.
 *
 * The leader gives it a slot when members are wanted; others do nothing.
 */
void mw_log_offer(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                  const struct mw_name *name);

/*
 * mw_log_learn: whose a slot is, as the leader says.
 *
 * For a member that was away while the slot was given: it could not know
 * whom the entries come from.  A slot that is known is left as it is.
 */
void mw_log_learn(struct mw_log *log, uint32_t slot,
                  const struct mw_name *name);

/* mw_log_members: names by slot; returns how many slots there are. */
uint32_t mw_log_members(const struct mw_log *log,
                        struct mw_name members[MW_MEMBERS_MAX]);

/* mw_log_flush: send what was proposed; one call for many proposals. */
void mw_log_flush(struct mw_log *log, int64_t now_us);

/*
 * mw_log_leads: whether this member may act as leader at now_us.
 *
 * False without a live lease, and until the first record of the term has
 * been applied, so that the owner's state holds every committed record.
 */
bool mw_log_leads(const struct mw_log *log, int64_t now_us);

/*
 * mw_log_holds_lease: whether no other member may act as leader at now_us.
 *
 * True for every leader; also for one whose first record can't be committed
 * because no member with a disk answers.  Such a member can record nothing.
 */
bool mw_log_holds_lease(const struct mw_log *log, int64_t now_us);

/* mw_log_hand_over: ask the most advanced member to take the lead. */
void mw_log_hand_over(struct mw_log *log, int64_t now_us);

/* mw_log_deadline: when mw_log_tick is next due. */
int64_t mw_log_deadline(const struct mw_log *log);

/* mw_log_look: fill a view of the state. */
void mw_log_look(const struct mw_log *log, struct mw_log_view *view);

/* mw_log_msg_clear: give back what a received or copied message holds. */
void mw_log_msg_clear(struct mw_log_msg *msg);

/* mw_log_msg_copy: deep copy with its own references. */
void mw_log_msg_copy(struct mw_log_msg *to, const struct mw_log_msg *from);

/* mw_role_word: word of a role for dumps and scripts. */
struct mw_str mw_role_word(enum mw_log_role role);

#endif
