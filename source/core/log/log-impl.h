#ifndef MW_CORE_LOG_IMPL_H
#define MW_CORE_LOG_IMPL_H

#include <glib.h>

#include "mimosawind/log.h"

/* mw_log_deferred: a message to send once sequence has been synced. */
struct mw_log_deferred {
    uint64_t sequence;
    struct mw_name to;
    struct mw_log_msg msg;
};

/*
 * mw_log_peer: state of one slot of the group.
 *
 * incarnation is the highest received from it.  match_index is the last
 * entry known to be synced there, next_index the next entry to send.
 * acked_sent_us is the time at which the latest message that it answered
 * was sent; a lease that it grants starts then.
 */
struct mw_log_peer {
    struct mw_name name;
    bool disk;
    uint64_t incarnation;
    bool vote_granted;
    /* the vote that it granted is early */
    bool is_vote_early;
    uint64_t match_index;
    uint64_t next_index;
    /* bytes of the entries sent since match_index, or more */
    uint64_t inflight_bytes;
    /* records of the snapshot that it has received */
    uint64_t snapshot_offset;
    /* the records after those have been sent, at this time */
    bool is_chunk_in_flight;
    int64_t chunk_sent_us;
    /* next message while no reply comes */
    int64_t probe_deadline_us;
    /* records of the snapshot being sent; NULL when none is */
    GPtrArray *snapshot_records;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    struct mw_log_config snapshot_config;
    int64_t acked_sent_us;
    /* when this leader gave it the slot */
    int64_t learner_since_us;
    /* entries from this index on were last sent again, at this time */
    uint64_t resent_index;
    int64_t resent_us;
    /* no entries from the same index again before this time */
    int64_t resend_deadline_us;
};

#define MW_LOG_PENDING_CONFIGS_MAX 4

/* mw_log_pending_config: what an uncommitted ADMIT record at index leads to.
 */
struct mw_log_pending_config {
    uint64_t index;
    struct mw_log_config config;
};

enum mw_log_refusal {
    /* of a leader that may have a valid lease */
    MW_LOG_REFUSED_LEASE = 0,
    MW_LOG_REFUSED_OLDER_TERM = 1,
    MW_LOG_REFUSED_OLDER_LOG = 2,
    MW_LOG_REFUSED_OTHER_VOTE = 3,
    MW_LOG_REFUSED_DISK = 4
};

/* mw_log_report: when the lines about elections may be written again. */
struct mw_log_report {
    int64_t stand_us;
    int64_t failure_us;
    /* the same refusal, and another one */
    int64_t refusal_us;
    int64_t other_refusal_us;
    /* of the last line about a refusal */
    enum mw_log_refusal refusal;
    struct mw_name candidate;
};

struct mw_log {
    struct mw_name group;
    struct mw_log_output output;
    uint32_t compact_after;
    uint64_t compact_bytes;
    GRand *rand;
    struct mw_name name;
    /* slot of this member; MW_MEMBERS_MAX as long as it has none */
    unsigned self;
    unsigned peer_count;
    uint32_t founding_count;
    uint32_t target_member_count;
    /* by slot of latest_config; the last one is of a member without a slot */
    struct mw_log_peer peers[MW_MEMBERS_MAX + 1];
    uint64_t incarnation;

    uint64_t term;
    struct mw_name vote;
    /* highest term of a member that refused a pre-vote of this one */
    uint64_t refused_term;
    enum mw_log_role role;
    struct mw_name leader;

    /* entries[i] has index snapshot_index + 1 + i */
    GArray *entries;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    struct mw_log_config snapshot_config;
    GPtrArray *snapshot_records;
    /* retained[i] has index mw_log_first_index + i; see log-retain */
    GArray *retained;
    uint64_t retained_bytes;
    uint64_t commit_index;
    uint64_t applied_index;
    /* of the snapshot's records, and of the entries applied since */
    uint64_t snapshot_bytes;
    uint64_t applied_bytes;
    /* of the entries after commit_index; kept by a leader */
    uint64_t uncommitted_bytes;
    /* first entry of this leader's own term */
    uint64_t term_start_index;

    /* the configuration at commit_index, and the one after the last entry */
    struct mw_log_config config;
    struct mw_log_config latest_config;
    /* those of the uncommitted ADMIT records, in log order */
    uint32_t pending_config_count;
    struct mw_log_pending_config pending_configs[MW_LOG_PENDING_CONFIGS_MAX];
    /* the first uncommitted ADMIT or MEMBER record; 0 for none */
    uint64_t uncommitted_change_index;

    /* last item stored, last item synced, last entry synced */
    uint64_t store_sequence;
    uint64_t synced_sequence;
    uint64_t synced_index;
    GQueue deferred;
    GQueue pending_writes;
    /* of the entries among pending_writes */
    uint64_t unsynced_bytes;

    /* snapshot being received, and the term of the leader that sends it */
    GPtrArray *incoming_records;
    uint64_t incoming_index;
    uint64_t incoming_term;

    int64_t election_deadline_us;
    /* the random part of the election timeout */
    int64_t election_jitter_us;
    int64_t heartbeat_deadline_us;
    /*
     * Votes before this time after a start are early: before the restart this
     * member may have granted a lease.
     */
    int64_t holdoff_deadline_us;
    /* the next attempt to be elected with early votes; INT64_MAX for none */
    int64_t early_deadline_us;
    /* this member's vote for itself is early */
    bool is_own_vote_early;
    /* a line has said that this member is not admitted */
    bool reported_unadmitted;
    /*
     * Last message from the leader, or vote granted that is not early: for the
     * election timeout from then on this member grants no vote.
     */
    int64_t leader_contact_us;
    int64_t vote_requested_us;
    int64_t leader_since_us;
    /* leadership transfer: started by this leader, or requested of it */
    bool transferring;
    bool restoring;
    /* item of the last snapshot that was stored */
    uint64_t snapshot_sequence;
    /* the snapshot was taken while restoring and is not stored yet */
    bool snapshot_unstored;
    bool flush_due;
    /* see mw_log_set_writable */
    bool writable;
    /* whether the lease was valid on the last tick */
    bool lease_valid;
    struct mw_log_report report;
    struct mw_log_counters counters;
};

/* mw_log_last_index: index of the last entry. */
uint64_t mw_log_last_index(const struct mw_log *log);

/* mw_log_term_at: term of an entry, also a retained one; 0 if unknown. */
uint64_t mw_log_term_at(const struct mw_log *log, uint64_t index);

/*
 * mw_log_entry_at: entry by index; the log must contain or retain it.
 *
 * Those up to snapshot_index do not stand before the others in memory.
 */
struct mw_log_entry *mw_log_entry_at(const struct mw_log *log, uint64_t index);

/*
 * mw_log_first_index: the first retained entry; snapshot_index + 1 if none is.
 *
 * Entries that a snapshot has replaced are retained as long as they take no
 * more bytes than the snapshot, so that a member that has received an older
 * snapshot, or is a little late, can be sent those that it lacks.  Where they
 * take more, the snapshot is less to send.  They are not stored.
 */
uint64_t mw_log_first_index(const struct mw_log *log);

/* mw_log_has_entries_from: whether all entries from index on can be sent. */
bool mw_log_has_entries_from(const struct mw_log *log, uint64_t index);

/*
 * mw_log_retain_applied: retain what a snapshot is about to replace.
 *
 * To be followed by mw_log_trim_retained once the snapshot has been taken.
 */
void mw_log_retain_applied(struct mw_log *log);

/* mw_log_trim_retained: drop the oldest down to the size of the snapshot. */
void mw_log_trim_retained(struct mw_log *log);

/* mw_log_clear_retained: drop them all. */
void mw_log_clear_retained(struct mw_log *log);

/* mw_log_find_peer: member by name, NULL if it has no slot. */
struct mw_log_peer *mw_log_find_peer(struct mw_log *log,
                                     const struct mw_name *name);

/*
 * mw_log_admitted_incarnation: incarnation under which the member in a peer's
 * slot has a vote in a configuration; 0 if it has none.
 *
 * The slot may have had another member in that configuration.  That one has
 * no vote: a slot is given away only once the removal of its member is
 * committed.
 */
uint64_t mw_log_admitted_incarnation(const struct mw_log *log,
                                     const struct mw_log_config *config,
                                     unsigned peer);

/*
 * mw_log_is_voter: whether a peer has a vote in a configuration.
 *
 * Its latest known incarnation must be the admitted one.
 */
bool mw_log_is_voter(const struct mw_log *log,
                     const struct mw_log_config *config, unsigned peer);

/*
 * mw_log_has_election_quorum: whether the peers in mask can elect a leader,
 * or grant its lease, in every configuration from the committed one on.
 */
bool mw_log_has_election_quorum(const struct mw_log *log, uint32_t mask);

/*
 * mw_log_has_all_votes: whether the peers in mask are all members, under their
 * admitted incarnations, of every configuration from the committed one on.
 */
bool mw_log_has_all_votes(const struct mw_log *log, uint32_t mask);

/*
 * mw_log_has_commit_quorum: whether an entry at index is committed if the
 * peers in mask have synced it.
 */
bool mw_log_has_commit_quorum(const struct mw_log *log, uint32_t mask,
                              uint64_t index);

/* mw_log_is_admitted: whether this member is a voter. */
bool mw_log_is_admitted(const struct mw_log *log);

/* mw_log_changes_config: whether a record changes the configuration. */
bool mw_log_changes_config(const struct mw_record *record);

/*
 * mw_log_rebuild_config: compute the configurations from the snapshot's and
 * the entries after it, and update the peers.
 *
 * A record applies to the configuration before it, so that all members with
 * the same log compute the same ones.
 */
void mw_log_rebuild_config(struct mw_log *log);

/*
 * mw_log_found_config: set the configuration before the first entry.
 *
 * It has the founding members, and admits those of them that have a disk.
 */
void mw_log_found_config(struct mw_log *log);

/*
 * mw_log_read_snapshot_config: set the snapshot's configuration from its
 * MEMBER records and the incarnations that it admits, by slot.
 */
void mw_log_read_snapshot_config(struct mw_log *log,
                                 const uint64_t incarnations[MW_MEMBERS_MAX]);

/* mw_log_copy_incarnations: what a snapshot's configuration admits, by slot.
 */
void mw_log_copy_incarnations(const struct mw_log_config *config,
                              uint64_t incarnations[MW_MEMBERS_MAX]);

/*
 * mw_log_update_peers: give the peers the slots of latest_config.
 *
 * A peer whose slot has another member now is reset; the others stay as they
 * are.  Slots without a member keep what mw_log_fill_slot has set.
 */
void mw_log_update_peers(struct mw_log *log);

/*
 * mw_log_clear_reported_slots: drop what mw_log_fill_slot has set, as
 * leadership begins: a leader's log has all slots.
 */
void mw_log_clear_reported_slots(struct mw_log *log);

/* write one item to storage; see enum mw_stored_kind */
void mw_log_store_meta(struct mw_log *log);
void mw_log_store_entry(struct mw_log *log, uint64_t index);
void mw_log_store_snapshot(struct mw_log *log);

/*
 * mw_log_append_entry: append and store an entry; returns its index.
 *
 * Takes its own reference.
 */
uint64_t mw_log_append_entry(struct mw_log *log, uint64_t term,
                             struct mw_record *record);

/*
 * mw_log_mark_unsynced: entries from index on are no longer synced.
 *
 * Pending writes of such entries have been overtaken: their sync does not
 * raise synced_index.
 */
void mw_log_mark_unsynced(struct mw_log *log, uint64_t index);

/* mw_log_truncate: remove the entries from index on. */
void mw_log_truncate(struct mw_log *log, uint64_t index);

/*
 * mw_log_send_after_sync: send once everything stored so far is synced.
 *
 * The message is dropped if the term has changed by then.
 */
void mw_log_send_after_sync(struct mw_log *log, const struct mw_name *to,
                            const struct mw_log_msg *msg);

/* mw_log_send: send at once; sets term and incarnation. */
void mw_log_send(struct mw_log *log, const struct mw_name *to,
                 struct mw_log_msg *msg);

/*
 * mw_log_become_follower: follow in a term, and restart the election timer.
 *
 * A term below the present one does not change it.
 */
void mw_log_become_follower(struct mw_context *ctx, struct mw_log *log,
                            int64_t now_us, uint64_t term);

/* mw_log_note_leader: a leader of the present term has sent a message. */
void mw_log_note_leader(struct mw_log *log, int64_t now_us,
                        const struct mw_name *leader);

/* mw_log_reset_election_timer: set a random election deadline. */
void mw_log_reset_election_timer(struct mw_log *log, int64_t now_us);

/* mw_log_schedule_early: set the deadline of the next early attempt. */
void mw_log_schedule_early(struct mw_log *log, int64_t now_us);

/* mw_log_granted_mask: this member, and the peers that granted their vote. */
uint32_t mw_log_granted_mask(const struct mw_log *log);

/*
 * mw_log_report_attempt: write a line before this member stands for election.
 *
 * "stands" at the first attempt, "not_elected" when the last one has failed,
 * with the configurations that ask for a quorum and the votes of the last
 * attempt.  A "?" marks a voter whose admitted incarnation is not the latest
 * one known.  To be called before the votes are cleared.
 */
void mw_log_report_attempt(struct mw_context *ctx, struct mw_log *log,
                           int64_t now_us);

/* mw_log_report_refusal: write a line about a vote that is not granted. */
void mw_log_report_refusal(struct mw_context *ctx, struct mw_log *log,
                           int64_t now_us, const struct mw_name *candidate,
                           const struct mw_log_msg *msg,
                           enum mw_log_refusal reason);

/* elections */
void mw_log_start_prevote(struct mw_context *ctx, struct mw_log *log,
                          int64_t now_us);

/*
 * mw_log_start_early_prevote: stand before the election timer is due.
 *
 * For a member that has just started, and for one with a newer log than such
 * a member.  Does nothing if there may be a leader.
 */
void mw_log_start_early_prevote(struct mw_context *ctx, struct mw_log *log,
                                int64_t now_us);
void mw_log_start_election(struct mw_context *ctx, struct mw_log *log,
                           int64_t now_us);

/*
 * Requests are answered to the process that they came from, also one without
 * a slot; the slots may have other members once a request has been handled.
 */
void mw_log_on_vote_request(struct mw_context *ctx, struct mw_log *log,
                            int64_t now_us, const struct mw_name *from,
                            const struct mw_log_msg *msg);
void mw_log_on_vote_reply(struct mw_context *ctx, struct mw_log *log,
                          int64_t now_us, struct mw_log_peer *peer,
                          const struct mw_log_msg *msg);

/*
 * mw_log_replicate: send a peer the entries that it lacks, or a heartbeat.
 *
 * While too much is in flight, a heartbeat each MW_HEARTBEAT_INTERVAL_US.
 * Sends the next chunk of the snapshot if the first of them is covered by it.
 */
void mw_log_replicate(struct mw_log *log, int64_t now_us, unsigned peer);
void mw_log_on_append(struct mw_context *ctx, struct mw_log *log,
                      int64_t now_us, const struct mw_name *from,
                      const struct mw_log_msg *msg);
void mw_log_on_append_reply(struct mw_context *ctx, struct mw_log *log,
                            int64_t now_us, struct mw_log_peer *peer,
                            const struct mw_log_msg *msg);

/* mw_log_count_uncommitted: set uncommitted_bytes, as leadership begins. */
void mw_log_count_uncommitted(struct mw_log *log);

/* mw_log_note_match: the peer has synced all entries up to index. */
void mw_log_note_match(struct mw_log *log, struct mw_log_peer *peer,
                       uint64_t index);

/* mw_log_advance_commit: commit and apply what a quorum has synced. */
void mw_log_advance_commit(struct mw_context *ctx, struct mw_log *log,
                           int64_t now_us);

/* mw_log_commit_to: set the commit index, apply, and compact if due. */
void mw_log_commit_to(struct mw_log *log, uint64_t commit);

/* mw_log_is_lease_valid: whether an election quorum grants the lease. */
bool mw_log_is_lease_valid(const struct mw_log *log, int64_t now_us);

/*
 * mw_log_compact: replace the applied entries by a new snapshot.
 *
 * Stores it, except while restoring: then the stored items are still being
 * read, and the next tick stores it.
 */
void mw_log_compact(struct mw_log *log);

/* mw_log_compact_if_due: compact if much has been applied since the last
 * snapshot, and that one is synced. */
void mw_log_compact_if_due(struct mw_log *log);

/* mw_log_shrink: compact if the snapshot is smaller than what it replaces. */
void mw_log_shrink(struct mw_log *log);

/* mw_log_store_all: store the snapshot, the term, the vote and the entries,
 * which replaces everything stored before. */
void mw_log_store_all(struct mw_log *log);

/*
 * mw_log_send_snapshot: send a peer the next chunk of the snapshot.
 *
 * One chunk is in flight at a time; until it is answered, a message without
 * records follows each MW_HEARTBEAT_INTERVAL_US.
 */
void mw_log_send_snapshot(struct mw_log *log, int64_t now_us, unsigned peer);
void mw_log_on_snapshot(struct mw_context *ctx, struct mw_log *log,
                        int64_t now_us, const struct mw_name *from,
                        const struct mw_log_msg *msg);
void mw_log_on_snapshot_reply(struct mw_context *ctx, struct mw_log *log,
                              int64_t now_us, struct mw_log_peer *peer,
                              const struct mw_log_msg *msg);

/* mw_log_apply_snapshot: reset the owner's state to the snapshot. */
void mw_log_apply_snapshot(struct mw_log *log);

/* mw_log_collect_slots: add a MEMBER record for each slot to a snapshot. */
void mw_log_collect_slots(const struct mw_log *log, GPtrArray *records);

/*
 * mw_log_remove_unresponsive: remove at most one voter without a disk, and
 * at most one in excess of the target.
 */
void mw_log_remove_unresponsive(struct mw_context *ctx, struct mw_log *log,
                                int64_t now_us);

/*
 * mw_log_admit_caught_up: admit learners, and new incarnations of members,
 * that have caught up.
 */
void mw_log_admit_caught_up(struct mw_context *ctx, struct mw_log *log,
                            int64_t now_us);

#endif
