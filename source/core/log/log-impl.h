#ifndef MW_CORE_LOG_IMPL_H
#define MW_CORE_LOG_IMPL_H

#include <glib.h>

#include "mimosawind/log.h"

/* mw_log_deferred: a message that waits for the disk. */
struct mw_log_deferred {
    uint64_t sequence;
    struct mw_name to;
    struct mw_log_msg msg;
};

/* mw_log_peer: what is known of one member of the group. */
struct mw_log_peer {
    struct mw_name name;
    bool disk;
    uint64_t incarnation;
    bool vote_granted;
    uint64_t match_index;
    uint64_t next_index;
    uint64_t snapshot_offset;
    /* records of the snapshot being sent; NULL when none is */
    GPtrArray *snapshot_records;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    uint64_t snapshot_config[MW_MEMBERS_MAX];
    int64_t acked_sent_us;
    /* when it was given its slot */
    int64_t learner_since_us;
    int64_t resend_deadline_us;
};

#define MW_LOG_PENDING_CONFIGS_MAX 4

/* mw_log_config: the incarnations admitted by the record at an index. */
struct mw_log_config {
    uint64_t index;
    uint64_t incarnations[MW_MEMBERS_MAX];
};

struct mw_log {
    struct mw_name group;
    struct mw_log_output callbacks;
    uint32_t compact_after;
    GRand *rand;
    unsigned self;
    unsigned peer_count;
    uint32_t founding_count;
    uint32_t target_member_count;
    struct mw_log_peer peers[MW_MEMBERS_MAX];
    uint64_t incarnation;

    uint64_t term;
    struct mw_name vote;
    enum mw_log_role role;
    struct mw_name leader;

    /* entries[i] has index base_index + 1 + i */
    GArray *entries;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    uint64_t snapshot_config[MW_MEMBERS_MAX];
    GPtrArray *snapshot_records;
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t term_start_index;

    /* the configuration committed, and those that follow it uncommitted */
    uint64_t config[MW_MEMBERS_MAX];
    uint32_t pending_config_count;
    struct mw_log_config pending_configs[MW_LOG_PENDING_CONFIGS_MAX];

    uint64_t store_sequence;
    uint64_t synced_sequence;
    uint64_t synced_index;
    GQueue deferred;
    GQueue pending_writes;

    /* snapshot being received */
    GPtrArray *incoming_records;
    uint64_t incoming_index;

    int64_t election_deadline_us;
    int64_t heartbeat_deadline_us;
    int64_t holdoff_deadline_us;
    /* last sign of a leader, or vote: a promise not to help another */
    int64_t leader_contact_us;
    int64_t vote_requested_us;
    int64_t leader_since_us;
    bool transferring;
    bool restoring;
    bool flush_due;
    bool lease_valid;
    struct mw_log_counters counters;
};

/* mw_log_last_index: index of the last entry. */
uint64_t mw_log_last_index(const struct mw_log *log);

/* mw_log_term_at: term of an entry, 0 when it is not held. */
uint64_t mw_log_term_at(const struct mw_log *log, uint64_t index);

/* mw_log_entry_at: entry by index; it must be held. */
struct mw_log_entry *mw_log_entry_at(const struct mw_log *log, uint64_t index);

/* mw_log_find_peer: member by name, NULL for a stranger. */
struct mw_log_peer *mw_log_find_peer(struct mw_log *log,
                                     const struct mw_name *name);

/* mw_log_is_voter: whether a peer counts in a configuration. */
bool mw_log_is_voter(const struct mw_log *log, const uint64_t *config,
                     unsigned peer);

/* mw_log_has_election_quorum: whether the peers in the mask can elect or keep
 * a lead. */
bool mw_log_has_election_quorum(const struct mw_log *log, uint32_t mask);

/* mw_log_has_commit_quorum: whether entries held by the mask are committed. */
bool mw_log_has_commit_quorum(const struct mw_log *log, uint32_t mask,
                              uint64_t index);

/* mw_log_latest_config: the last configuration, committed or not. */
const uint64_t *mw_log_latest_config(const struct mw_log *log);

/* mw_log_is_admitted: whether this member itself counts. */
bool mw_log_is_admitted(const struct mw_log *log);

/* mw_log_rebuild_config: follow ADMIT records in the entries held. */
void mw_log_rebuild_config(struct mw_log *log);

/* mw_log_store_meta, mw_log_store_entry, mw_log_store_snapshot: persist. */
void mw_log_store_meta(struct mw_log *log);
void mw_log_store_entry(struct mw_log *log, uint64_t index);
void mw_log_store_snapshot(struct mw_log *log);

/* mw_log_append_entry: add at the end; takes its own reference. */
uint64_t mw_log_append_entry(struct mw_log *log, uint64_t term,
                             struct mw_record *record);

/* mw_log_mark_unsynced: entries from index on no longer count as synced. */
void mw_log_mark_unsynced(struct mw_log *log, uint64_t index);

/* mw_log_truncate: drop entries from index on. */
void mw_log_truncate(struct mw_log *log, uint64_t index);

/* mw_log_send_after_sync: send once everything stored so far is synced. */
void mw_log_send_after_sync(struct mw_log *log, const struct mw_name *to,
                            const struct mw_log_msg *msg);

/* mw_log_send: send now, filling term and incarnation. */
void mw_log_send(struct mw_log *log, const struct mw_name *to,
                 struct mw_log_msg *msg);

/* mw_log_become_follower: become a follower of a term. */
void mw_log_become_follower(struct mw_context *ctx, struct mw_log *log,
                            int64_t now_us, uint64_t term);

/* mw_log_reset_election_timer: choose the next election deadline. */
void mw_log_reset_election_timer(struct mw_log *log, int64_t now_us);

/* election messages and timers */
void mw_log_start_prevote(struct mw_context *ctx, struct mw_log *log,
                          int64_t now_us);
void mw_log_start_election(struct mw_context *ctx, struct mw_log *log,
                           int64_t now_us);
void mw_log_on_vote_request(struct mw_context *ctx, struct mw_log *log,
                            int64_t now_us, struct mw_log_peer *peer,
                            const struct mw_log_msg *msg);
void mw_log_on_vote_reply(struct mw_context *ctx, struct mw_log *log,
                          int64_t now_us, struct mw_log_peer *peer,
                          const struct mw_log_msg *msg);

/* replication */
void mw_log_replicate(struct mw_log *log, int64_t now_us, unsigned peer);
void mw_log_on_append(struct mw_context *ctx, struct mw_log *log,
                      int64_t now_us, struct mw_log_peer *peer,
                      const struct mw_log_msg *msg);
void mw_log_on_append_reply(struct mw_context *ctx, struct mw_log *log,
                            int64_t now_us, struct mw_log_peer *peer,
                            const struct mw_log_msg *msg);
void mw_log_advance_commit(struct mw_context *ctx, struct mw_log *log,
                           int64_t now_us);
void mw_log_commit_to(struct mw_log *log, uint64_t commit);
bool mw_log_is_lease_valid(const struct mw_log *log, int64_t now_us);

/* snapshots */
void mw_log_compact(struct mw_log *log);
void mw_log_send_snapshot(struct mw_log *log, int64_t now_us, unsigned peer);
void mw_log_on_snapshot(struct mw_context *ctx, struct mw_log *log,
                        int64_t now_us, struct mw_log_peer *peer,
                        const struct mw_log_msg *msg);
void mw_log_on_snapshot_reply(struct mw_context *ctx, struct mw_log *log,
                              int64_t now_us, struct mw_log_peer *peer,
                              const struct mw_log_msg *msg);
void mw_log_apply_snapshot(struct mw_log *log);

/* slots: whose they are */
void mw_log_set_slot(struct mw_log *log, uint32_t slot,
                     const struct mw_name *name);
void mw_log_collect_slots(const struct mw_log *log, GPtrArray *records);

/* admission of new incarnations, removal of silent members */
void mw_log_remove_unresponsive(struct mw_context *ctx, struct mw_log *log,
                                int64_t now_us);
void mw_log_admit_caught_up(struct mw_context *ctx, struct mw_log *log,
                            int64_t now_us);

#endif
