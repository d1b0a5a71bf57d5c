#ifndef MIMOSAWIND_LOG_H
#define MIMOSAWIND_LOG_H

#include "mimosawind/record.h"

/*
 * log: a replicated log after Raft, without input or output.
 *
 * It has pre-vote, leader leases, learners, leadership transfer and
 * snapshots that are sent in chunks.  Entries are acknowledged once they are
 * synced.  The rules for membership and quorums differ from Raft's:
 *
 * INCARNATIONS  A process that starts without stored state takes its start
 *               time as its incarnation, so that incarnations grow.  A
 *               member has a vote only under the incarnation that the log
 *               has admitted.  One that lost its disk, or has none, returns
 *               under a new incarnation, and has no vote until the leader
 *               has brought it up to date and its ADMIT record is committed.
 *               Messages of an older incarnation than the latest one known
 *               are dropped.
 *
 * CHANGES       While an ADMIT record is uncommitted, elections and commits
 *               need a quorum of the configuration before it and of the one
 *               after it.
 *
 * REMOVAL       The leader removes a member without a disk that does not
 *               respond (ADMIT with incarnation 0), so that single losses
 *               one after another do not use up the majority.  Without a
 *               target, a member with a disk is never removed.
 *
 * TARGET        Where a target number of members is set, processes passed to
 *               mw_log_add_learner become learners: a MEMBER record gives
 *               each a slot, from which on it receives the log.  A learner
 *               that has caught up is admitted while there are fewer voters
 *               than the target.  With the target reached, it is admitted
 *               only when a voter has not responded for MW_REPLACE_AFTER_US,
 *               and that voter is removed afterwards, in a second change.
 *
 *               The log of a process that joins begins with a snapshot.  A
 *               slot is given to another process once the removal of its
 *               member is committed; docs/design/membership.md lists what
 *               keeps a slot's number.
 *
 * QUORUMS       A commit needs a majority and, where a member with a disk is
 *               admitted, one such member.  A member that must hold every
 *               committed record (the only one with a disk, or one of a
 *               pair) may be elected without the votes of admitted
 *               incarnations that have been superseded.  Where one member of
 *               a pair has a disk, that one may be elected by its own vote,
 *               though it can't commit alone.
 *
 * EARLY VOTES   A member that has started within the election timeout doesn't
 *               know which lease it granted before.  Its vote is early: it
 *               grants no lease, and a candidate that counts one needs the
 *               vote of each member of each configuration that may be in
 *               force.  Any leader with a lease is one of them, and has given
 *               it up with its vote.  docs/design/recovery.md has the proof.
 *
 * UNITS         microseconds of each process's monotonic clock
 * ERRORS        MW_ERR_NOT_LEADER, MW_ERR_OVERLOADED; on restoring,
 *               MW_ERR_DAMAGED, MW_ERR_VERSION
 */

#define MW_MEMBERS_MAX 8
#define MW_HEARTBEAT_INTERVAL_US 100000
/* shorter than the election timeout, during which followers grant no vote */
#define MW_LEASE_DURATION_US 800000
#define MW_ELECTION_TIMEOUT_US 1000000
/* without contact for so long, a member without a disk is removed */
#define MW_UNRESPONSIVE_US 3000000
/* without contact for so long, a voter may be replaced by a learner */
#define MW_REPLACE_AFTER_US 2000000
/* records, and bytes of them, beyond which a leader takes no more */
#define MW_LOG_UNCOMMITTED_MAX 4096
#define MW_LOG_UNCOMMITTED_BYTES_MAX (UINT64_C(16) * 1024 * 1024)
/* bytes of entries that wait for the leader's own disk, likewise */
#define MW_LOG_UNSYNCED_BYTES_MAX (UINT64_C(16) * 1024 * 1024)
#define MW_LOG_MSG_RECORDS_MAX 512
#define MW_LOG_MSG_BYTES_MAX (256 * 1024)
/* incarnation of the founding members, admitted from the start */
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

/*
 * mw_log_slot: the member of a slot, and the incarnation under which it has a
 * vote; 0 for none.
 */
struct mw_log_slot {
    struct mw_name member;
    uint64_t incarnation;
};

struct mw_log_config {
    struct mw_log_slot slots[MW_MEMBERS_MAX];
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
    MW_LOG_MSG_KIND_COUNT = 9
};

struct mw_log_entry {
    uint64_t term;
    struct mw_record *record;
};

/*
 * mw_log_msg: one message between members of a group.
 *
 * index and log_term are those of the entry before entries[0], of the last
 * entry of a candidate, or of the last entry that a snapshot covers; in a
 * reply, index is the last entry that matches (a hint where ok is false), or
 * the candidate's term.  offset and total count records of a snapshot, and
 * config has the incarnations that it admits, by slot.  ok is the result in
 * a reply; in a request for a vote it says that the leader asked for the
 * election.  early says in a request for a vote that the sender has just
 * started, and in a reply, with ok false, that an early vote is granted: a
 * process of an earlier version takes that for a refusal.  The reply to APPEND
 * or SNAPSHOT returns sent_us unchanged: the leader's lease runs from the time
 * at which an answered message was sent, by the leader's own clock.
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
    bool early;
    uint64_t config[MW_MEMBERS_MAX];
    uint32_t entry_count;
    struct mw_log_entry *entries;
};

enum mw_stored_kind {
    /* term, vote, incarnation and the known commit index */
    MW_STORED_META = 0,
    /* an entry; replaces the stored entry at its index and all after it */
    MW_STORED_ENTRY = 1,
    /* a snapshot; replaces everything stored before it */
    MW_STORED_SNAPSHOT = 2
};

/*
 * mw_stored_item: an item to write to storage.
 *
 * sequence grows with every item; mw_log_synced reports it as synced.
 * config has the incarnations that a snapshot admits, by slot.
 */
struct mw_stored_item {
    enum mw_stored_kind kind;
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
 * mw_log_output: callbacks to the owner of a log.
 *
 * The arguments of send and store are valid during the call only.  apply is
 * called once for each committed record, in order; reset clears the owner's
 * state before a snapshot is applied.  collect calls add(out, record) for
 * each record that is needed to rebuild the owner's state.
 */
struct mw_log_output {
    void *opaque;
    void (*send)(void *opaque, const struct mw_name *to,
                 const struct mw_log_msg *msg);
    void (*store)(void *opaque, const struct mw_stored_item *item);
    void (*apply)(void *opaque, uint64_t index, struct mw_record *record);
    void (*reset)(void *opaque);
    void (*collect)(void *opaque, void *out,
                    void (*add)(void *out, struct mw_record *record));
};

/* compact_bytes of the product: what a member keeps and reads at a start */
#define MW_LOG_COMPACT_BYTES (UINT64_C(8) * 1024 * 1024)

struct mw_log_setup {
    struct mw_name group;
    struct mw_name self;
    uint32_t member_count;
    struct mw_member members[MW_MEMBERS_MAX];
    /* the first so many of members are founding members; 0 for all */
    uint32_t founding_count;
    /* number of voters to aim for; 0 for a fixed list of members */
    uint32_t target_member_count;
    uint64_t incarnation;
    /* applied entries after which a snapshot replaces them; 0 for never */
    uint32_t compact_after;
    /* and bytes of them, beyond those of the last snapshot; 0 for never */
    uint64_t compact_bytes;
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
    /* those of them won with an early vote */
    uint64_t early_elections;
    uint64_t lease_lost;
    uint64_t snapshots_taken;
    uint64_t snapshots_sent;
    uint64_t snapshots_received;
    uint64_t admitted;
    uint64_t removed;
    uint64_t stale_incarnation;
};

/* mw_log_status: a copy of a log's state; counters is lent. */
struct mw_log_status {
    enum mw_log_role role;
    uint64_t term;
    uint64_t commit_index;
    uint64_t last_index;
    uint64_t snapshot_index;
    /* of the records of the snapshot, and of those applied since */
    uint64_t bytes;
    uint64_t incarnation;
    /* admitted members, and those of them with a disk */
    uint32_t voter_count;
    uint32_t disk_voter_count;
    /* whether this member is a voter */
    bool admitted;
    struct mw_name leader;
    const struct mw_log_counters *counters;
};

struct mw_log;

/* mw_new_log: make an empty log; setup is copied. */
struct mw_log *mw_new_log(const struct mw_log_setup *setup);
void mw_drop_log(struct mw_log *log);

/*
 * mw_log_restore: load one stored item, after a restart.
 *
 * To be called for all items in the order in which they were stored.
 */
int mw_log_restore(struct mw_context *ctx, struct mw_log *log,
                   const struct mw_stored_item *item);

/*
 * mw_log_receive: handle a message from another member.
 *
 * Messages from processes without a slot are ignored, except that a group
 * with a target takes entries, snapshots and requests for votes from them.
 * Those of an older incarnation are counted and dropped.
 */
void mw_log_receive(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                    const struct mw_name *from, const struct mw_log_msg *msg);

/* mw_log_tick: handle deadlines that have passed. */
void mw_log_tick(struct mw_context *ctx, struct mw_log *log, int64_t now_us);

/* mw_log_synced: everything stored up to sequence has been synced. */
void mw_log_synced(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                   uint64_t sequence);

/*
 * mw_log_propose: append a record if this member is the leader.
 *
 * MW_ERR_OVERLOADED while too many records, or bytes of them, are not
 * committed yet, or too many bytes wait for this member's disk; a record of
 * any size is taken if there are none.
 * Takes its own reference.  On success *index is the index with which apply
 * will be called, unless leadership is lost before the commit.  index may be
 * NULL.  The entry is sent by mw_log_flush or mw_log_tick.
 */
int mw_log_propose(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                   struct mw_record *record, uint64_t *index);

/*
 * mw_log_add_learner: propose a process with a disk as a learner.
 *
 * The leader gives it a slot if there are fewer voters and learners than the
 * target, or if a voter is unresponsive and there is no learner to replace
 * it.  Other members do nothing.
 */
void mw_log_add_learner(struct mw_context *ctx, struct mw_log *log,
                        int64_t now_us, const struct mw_name *name);

/*
 * mw_log_fill_slot: set the member of a slot, as the leader reports it.
 *
 * For a member that was down when the slot was given: without it, entries
 * from that sender would be ignored.  A slot that has a member is not
 * changed.
 */
void mw_log_fill_slot(struct mw_log *log, uint32_t slot,
                      const struct mw_name *name);

/* mw_log_get_members: list names by slot; returns the number of slots. */
uint32_t mw_log_get_members(const struct mw_log *log,
                            struct mw_name members[MW_MEMBERS_MAX]);

/* mw_log_flush: send proposed entries; call once for many proposals. */
void mw_log_flush(struct mw_log *log, int64_t now_us);

/*
 * mw_log_is_ready_leader: whether this member is a ready leader at now_us.
 *
 * False without a valid lease, and until the first record of the term has
 * been applied, so that the owner's state holds every committed record.
 */
bool mw_log_is_ready_leader(const struct mw_log *log, int64_t now_us);

/*
 * mw_log_holds_lease: whether no other member can be leader at now_us.
 *
 * True for every ready leader, and also for a leader whose first record
 * can't be committed because no member with a disk responds.  Such a leader
 * can commit nothing.  False as long as this member doesn't know that its own
 * admission has been committed: the members before it may elect another
 * leader then without knowing of this one.
 */
bool mw_log_holds_lease(const struct mw_log *log, int64_t now_us);

/*
 * mw_log_transfer_leadership: ask the most up-to-date voter to become leader.
 *
 * Does nothing as long as no other voter has the whole log.
 */
void mw_log_transfer_leadership(struct mw_log *log, int64_t now_us);

/*
 * mw_log_set_writable: whether the disk accepts writes.
 *
 * A member whose disk refuses them grants no vote, stands for no election and
 * takes no entries, so that little has to be kept for the disk.  A leader
 * refuses new records, asks another member to take over, and keeps its lease
 * until one can.  When writes are first refused, a snapshot is stored if it is
 * smaller than what it replaces: the disk may be full of this very log.
 */
void mw_log_set_writable(struct mw_context *ctx, struct mw_log *log,
                         int64_t now_us, bool writable);

/* mw_log_deadline: time of the next call of mw_log_tick; 0 for at once. */
int64_t mw_log_deadline(const struct mw_log *log);

/* mw_log_get_config: the configuration at the commit index; borrowed. */
const struct mw_log_config *mw_log_get_config(const struct mw_log *log);

/* mw_log_get_status: copy the state. */
void mw_log_get_status(const struct mw_log *log, struct mw_log_status *view);

/* mw_log_msg_clear: drop the entries of a received or copied message. */
void mw_log_msg_clear(struct mw_log_msg *msg);

/* mw_log_msg_copy: copy a message with its own references to records. */
void mw_log_msg_copy(struct mw_log_msg *to, const struct mw_log_msg *from);

/* mw_log_role_str: name of a role, as in status dumps and log lines. */
struct mw_str mw_log_role_str(enum mw_log_role role);

#endif
