/*
 * log-replicate: replication of entries, commit and the leader lease.
 */
#include <inttypes.h>

#include "log-impl.h"

/* time after which entries that were sent again may be sent once more */
#define RESEND_TIMEOUT_US 500000
/* entries sent to a peer beyond those it has acknowledged */
#define INFLIGHT_ENTRIES_MAX 1024
/* and bytes of them, beyond which no further message is sent */
#define INFLIGHT_BYTES_MAX (1024 * 1024)

/* The last of the entries that stand in memory one after the other. */
static uint64_t
last_adjacent(const struct mw_log *log, uint64_t from)
{
    return from <= log->snapshot_index ? log->snapshot_index
                                       : mw_log_last_index(log);
}

/*
 * Sets the entries of one message, bounded in number and in bytes; returns
 * their number, at least one.
 */
static uint32_t
batch_entries(struct mw_log *log, uint64_t from, struct mw_log_msg *msg)
{
    uint64_t last = last_adjacent(log, from);
    size_t bytes = 0;
    uint32_t n = 0;

    msg->entries = mw_log_entry_at(log, from);
    while (from + n <= last && n < MW_LOG_MSG_RECORDS_MAX) {
        bytes += mw_record_size(msg->entries[n].record);
        if (n > 0 && bytes > MW_LOG_MSG_BYTES_MAX) {
            break;
        }
        n++;
    }
    return n;
}

/*
 * Whether the peer's log must begin with a snapshot: only the founding members
 * know the configuration before the first entry.
 */
static bool
needs_first_snapshot(const struct mw_log *log, const struct mw_log_peer *peer)
{
    return log->target_member_count > 0 && log->snapshot_index == 0 &&
           peer->next_index == 1 &&
           peer->incarnation != MW_FOUNDING_INCARNATION;
}

/* Whether there are entries to send, and few are in flight. */
static bool
may_send_entries(const struct mw_log *log, const struct mw_log_peer *peer)
{
    return !needs_first_snapshot(log, peer) &&
           peer->next_index <= mw_log_last_index(log) &&
           peer->next_index <= peer->match_index + INFLIGHT_ENTRIES_MAX &&
           peer->inflight_bytes < INFLIGHT_BYTES_MAX;
}

/* Sends the next entries, or none as a heartbeat. */
static void
send_append(struct mw_log *log, int64_t now_us, struct mw_log_peer *peer)
{
    struct mw_log_msg msg = {
        .kind = MW_LOG_APPEND,
        .index = peer->next_index - 1,
        .log_term = mw_log_term_at(log, peer->next_index - 1),
        .commit = log->commit_index,
        .sent_us = now_us,
    };

    if (may_send_entries(log, peer)) {
        msg.entry_count = batch_entries(log, peer->next_index, &msg);
    }
    for (uint32_t n = 0; n < msg.entry_count; n++) {
        peer->inflight_bytes += mw_record_size(msg.entries[n].record);
    }
    mw_log_send(log, &peer->name, &msg);
    peer->next_index += msg.entry_count;
    peer->probe_deadline_us = now_us + MW_HEARTBEAT_INTERVAL_US;
}

void
mw_log_replicate(struct mw_log *log, int64_t now_us, unsigned i)
{
    struct mw_log_peer *peer = &log->peers[i];

    /* until its incarnation is known, the peer may be a founding member */
    if (needs_first_snapshot(log, peer) && peer->incarnation != 0 &&
        log->applied_index > 0) {
        mw_log_compact(log);
    }
    if (!mw_log_has_entries_from(log, peer->next_index) ||
        peer->snapshot_records) {
        mw_log_send_snapshot(log, now_us, i);
        return;
    }
    bool is_waiting = peer->next_index <= mw_log_last_index(log) &&
                      !may_send_entries(log, peer);

    if (is_waiting && now_us < peer->probe_deadline_us) {
        return;
    }
    do {
        send_append(log, now_us, peer);
    } while (may_send_entries(log, peer));
}

void
mw_log_flush(struct mw_log *log, int64_t now_us)
{
    if (log->role != MW_LEADER) {
        return;
    }
    for (unsigned i = 0; i < log->peer_count; i++) {
        if (i != log->self) {
            mw_log_replicate(log, now_us, i);
        }
    }
    log->flush_due = false;
    log->heartbeat_deadline_us = now_us + MW_HEARTBEAT_INTERVAL_US;
}

/* Members that have synced the entry at an index. */
static uint32_t
synced_mask(const struct mw_log *log, uint64_t index)
{
    uint32_t mask = 0;

    for (unsigned i = 0; i < log->peer_count; i++) {
        uint64_t match =
            i == log->self ? log->synced_index : log->peers[i].match_index;

        if (match >= index) {
            mask |= 1u << i;
        }
    }
    return mask;
}

/*
 * Only an entry of the present term is committed by counting; it commits all
 * before it.
 */
static uint64_t
find_commit_index(const struct mw_log *log)
{
    uint64_t best = log->commit_index;

    for (unsigned i = 0; i < log->peer_count; i++) {
        uint64_t index =
            i == log->self ? log->synced_index : log->peers[i].match_index;

        if (index > best && mw_log_term_at(log, index) == log->term &&
            mw_log_has_commit_quorum(log, synced_mask(log, index), index)) {
            best = index;
        }
    }
    return best;
}

/*
 * Few large records take as much memory, and time at a start, as many small
 * ones.  A state that is large itself is not written again for each few bytes.
 * One snapshot waits for the disk at a time, however long that takes.
 */
static bool
is_compaction_due(const struct mw_log *log)
{
    uint64_t applied = log->applied_index - log->snapshot_index;

    if (log->snapshot_sequence > log->synced_sequence) {
        return false;
    }
    return (log->compact_after > 0 && applied > log->compact_after) ||
           (log->compact_bytes > 0 &&
            log->applied_bytes > log->compact_bytes + log->snapshot_bytes);
}

void
mw_log_compact_if_due(struct mw_log *log)
{
    if (is_compaction_due(log)) {
        mw_log_compact(log);
    }
}

void
mw_log_commit_to(struct mw_log *log, uint64_t commit)
{
    log->commit_index = commit;
    bool admission_committed = log->pending_config_count > 0 &&
                               log->pending_configs[0].index <= commit;

    if (log->uncommitted_change_index > 0 &&
        log->uncommitted_change_index <= commit) {
        mw_log_rebuild_config(log);
    }
    /*
     * The new configuration must be known after a restart: its voters alone
     * may be too few for a quorum of the one before it.
     */
    if (admission_committed && !log->restoring) {
        mw_log_store_meta(log);
    }
    while (log->applied_index < log->commit_index) {
        struct mw_log_entry *entry =
            mw_log_entry_at(log, ++log->applied_index);
        uint64_t bytes = mw_record_size(entry->record);

        log->counters.committed++;
        log->applied_bytes += bytes;
        log->uncommitted_bytes -= MIN(bytes, log->uncommitted_bytes);
        log->output.apply(log->output.opaque, log->applied_index,
                          entry->record);
    }
    mw_log_compact_if_due(log);
}

void
mw_log_advance_commit(struct mw_context *ctx, struct mw_log *log,
                      int64_t now_us)
{
    uint64_t commit = find_commit_index(log);

    if (commit == log->commit_index) {
        return;
    }
    bool config_committed = log->pending_config_count > 0 &&
                            log->pending_configs[0].index <= commit;

    mw_log_commit_to(log, commit);
    if (config_committed) {
        mw_log_flush(log, now_us);
    }
    mw_log_admit_caught_up(ctx, log, now_us);
}

bool
mw_log_is_lease_valid(const struct mw_log *log, int64_t now_us)
{
    uint32_t mask = 1u << log->self;

    if (log->role != MW_LEADER || log->transferring) {
        return false;
    }
    for (unsigned i = 0; i < log->peer_count; i++) {
        if (log->peers[i].acked_sent_us + MW_LEASE_DURATION_US > now_us) {
            mask |= 1u << i;
        }
    }
    return mw_log_has_election_quorum(log, mask);
}

bool
mw_log_is_ready_leader(const struct mw_log *log, int64_t now_us)
{
    return log->role == MW_LEADER &&
           log->applied_index >= log->term_start_index &&
           mw_log_is_lease_valid(log, now_us);
}

bool
mw_log_holds_lease(const struct mw_log *log, int64_t now_us)
{
    return mw_log_is_voter(log, &log->config, log->self) &&
           mw_log_is_lease_valid(log, now_us);
}

void
mw_log_count_uncommitted(struct mw_log *log)
{
    log->uncommitted_bytes = 0;
    for (uint64_t i = log->commit_index + 1; i <= mw_log_last_index(log);
         i++) {
        log->uncommitted_bytes +=
            mw_record_size(mw_log_entry_at(log, i)->record);
    }
}

/* Returns an error while too much waits for its commit, or for the disk. */
static int
check_waiting(struct mw_context *ctx, const struct mw_log *log)
{
    if (mw_log_last_index(log) - log->commit_index >= MW_LOG_UNCOMMITTED_MAX) {
        return mw_fail(ctx, MW_ERR_OVERLOADED,
                       "%d records are not committed yet",
                       MW_LOG_UNCOMMITTED_MAX);
    }
    if (log->uncommitted_bytes >= MW_LOG_UNCOMMITTED_BYTES_MAX) {
        return mw_fail(ctx, MW_ERR_OVERLOADED,
                       "%" PRIu64 " bytes of records are not committed yet",
                       log->uncommitted_bytes);
    }
    if (log->unsynced_bytes >= MW_LOG_UNSYNCED_BYTES_MAX) {
        return mw_fail(ctx, MW_ERR_OVERLOADED,
                       "%" PRIu64 " bytes wait for the leader's disk",
                       log->unsynced_bytes);
    }
    return 0;
}

int
mw_log_propose(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
               struct mw_record *record, uint64_t *index)
{
    if (!mw_log_is_ready_leader(log, now_us)) {
        log->counters.refused++;
        return mw_fail(ctx, MW_ERR_NOT_LEADER,
                       "not the leader; the leader is \"%.*s\"",
                       MW_FMT(mw_name_str(&log->leader)));
    }
    if (!log->writable) {
        log->counters.refused++;
        return mw_fail(ctx, MW_ERR_DISK, "the leader's disk refuses writes");
    }
    int err = check_waiting(ctx, log);

    if (err) {
        log->counters.refused++;
        return err;
    }
    uint64_t at = mw_log_append_entry(log, log->term, record);

    if (index) {
        *index = at;
    }
    log->counters.proposed++;
    log->flush_due = true;
    return 0;
}

/* index: the last entry that matches, or a hint where one may match. */
static void
reply_append(struct mw_log *log, const struct mw_name *from,
             const struct mw_log_msg *msg, bool ok, uint64_t index)
{
    struct mw_log_msg reply = {
        .kind = MW_LOG_APPEND_REPLY,
        .ok = ok,
        .index = index,
        .sent_us = msg->sent_us,
    };

    mw_log_send_after_sync(log, from, &reply);
}

/* Appends what is missing; entries of another term are replaced. */
static void
merge_entries(struct mw_log *log, const struct mw_log_msg *msg)
{
    for (uint32_t i = 0; i < msg->entry_count; i++) {
        uint64_t index = msg->index + 1 + i;

        if (index <= log->snapshot_index) {
            continue;
        }
        if (index <= mw_log_last_index(log)) {
            if (mw_log_term_at(log, index) == msg->entries[i].term) {
                continue;
            }
            mw_log_truncate(log, index);
        }
        mw_log_append_entry(log, msg->entries[i].term, msg->entries[i].record);
    }
}

void
mw_log_on_append(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                 const struct mw_name *from, const struct mw_log_msg *msg)
{
    if (msg->term < log->term) {
        reply_append(log, from, msg, false, 0);
        return;
    }
    mw_log_become_follower(ctx, log, now_us, msg->term);
    mw_log_note_leader(log, now_us, from);
    bool is_gap = msg->index > mw_log_last_index(log);
    bool in_snapshot = msg->index < log->snapshot_index;

    if (is_gap ||
        (!in_snapshot && mw_log_term_at(log, msg->index) != msg->log_term)) {
        uint64_t hint = is_gap ? mw_log_last_index(log) : msg->index - 1;

        reply_append(log, from, msg, false, MAX(hint, log->commit_index));
        return;
    }
    merge_entries(log, msg);
    uint64_t match = msg->index + msg->entry_count;

    if (msg->commit > log->commit_index) {
        uint64_t commit = MIN(msg->commit, match);

        if (commit > log->commit_index) {
            mw_log_commit_to(log, commit);
        }
    }
    reply_append(log, from, msg, true, match);
}

void
mw_log_note_match(struct mw_log *log, struct mw_log_peer *peer, uint64_t index)
{
    uint64_t from = MAX(peer->match_index + 1, mw_log_first_index(log));

    for (uint64_t i = from; i <= MIN(index, mw_log_last_index(log)); i++) {
        uint64_t bytes = mw_record_size(mw_log_entry_at(log, i)->record);

        peer->inflight_bytes -= MIN(bytes, peer->inflight_bytes);
    }
    peer->match_index = MAX(peer->match_index, index);
    if (peer->next_index <= peer->match_index + 1) {
        peer->next_index = peer->match_index + 1;
        peer->inflight_bytes = 0;
    }
}

/*
 * The peer lacks entries before the one that was sent: they were lost, or it
 * has others.  A link keeps the order, so that messages which were on their
 * way at the last time say nothing new.  A peer that takes no entries, as its
 * disk is full, is not sent the same ones each time.
 */
static void
send_again(struct mw_log *log, int64_t now_us, struct mw_log_peer *peer,
           const struct mw_log_msg *msg)
{
    uint64_t next = MIN(peer->next_index, msg->index + 1);

    if (msg->sent_us < peer->resent_us ||
        (next == peer->resent_index && now_us < peer->resend_deadline_us)) {
        return;
    }
    peer->next_index = next;
    peer->inflight_bytes = 0;
    peer->resent_index = next;
    peer->resent_us = now_us;
    peer->resend_deadline_us = now_us + RESEND_TIMEOUT_US;
    mw_log_replicate(log, now_us, (unsigned)(peer - log->peers));
}

void
mw_log_on_append_reply(struct mw_context *ctx, struct mw_log *log,
                       int64_t now_us, struct mw_log_peer *peer,
                       const struct mw_log_msg *msg)
{
    if (log->role != MW_LEADER || msg->term != log->term) {
        return;
    }
    peer->acked_sent_us = MAX(peer->acked_sent_us, msg->sent_us);
    if (!msg->ok) {
        send_again(log, now_us, peer, msg);
        return;
    }
    if (msg->index > peer->match_index) {
        mw_log_note_match(log, peer, msg->index);
        mw_log_advance_commit(ctx, log, now_us);
    }
    if (may_send_entries(log, peer) || needs_first_snapshot(log, peer)) {
        mw_log_replicate(log, now_us, (unsigned)(peer - log->peers));
    }
    mw_log_admit_caught_up(ctx, log, now_us);
}
