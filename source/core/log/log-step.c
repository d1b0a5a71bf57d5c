/*
 * log-step: entry points for messages, timers and leadership transfer.
 */
#include "log-impl.h"

/*
 * Records a newer incarnation of the peer; returns false for a message of an
 * older one, which must be dropped.
 */
static bool
accept_incarnation(struct mw_log *log, struct mw_log_peer *peer,
                   const struct mw_log_msg *msg)
{
    if (msg->incarnation < peer->incarnation) {
        log->counters.stale_incarnation++;
        return false;
    }
    if (msg->incarnation > peer->incarnation) {
        peer->incarnation = msg->incarnation;
        peer->vote_granted = false;
        peer->match_index = 0;
        peer->next_index = 1;
        peer->inflight_bytes = 0;
        peer->resent_index = 0;
        peer->acked_sent_us = 0;
        g_clear_pointer(&peer->snapshot_records, g_ptr_array_unref);
    }
    return true;
}

static void
on_timeout_now(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
               const struct mw_log_msg *msg)
{
    if (msg->term != log->term || !mw_log_is_admitted(log) || !log->writable) {
        return;
    }
    log->transferring = true;
    mw_log_start_election(ctx, log, now_us);
}

/*
 * Whether the message asks for something to be stored, or for a vote, which
 * is a promise that must be stored.
 */
static bool
must_store(const struct mw_log_msg *msg)
{
    switch (msg->kind) {
    case MW_LOG_PREVOTE:
    case MW_LOG_VOTE:
    case MW_LOG_SNAPSHOT:
        return true;
    case MW_LOG_APPEND:
        return msg->entry_count > 0;
    default:
        return false;
    }
}

/*
 * Whether the message may come from a process without a slot.  One that is
 * behind doesn't know the slots that have been given since; a leader or a
 * candidate can have one of these.
 */
static bool
may_be_unknown(const struct mw_log *log, const struct mw_log_msg *msg)
{
    switch (msg->kind) {
    case MW_LOG_PREVOTE:
    case MW_LOG_VOTE:
    case MW_LOG_APPEND:
    case MW_LOG_SNAPSHOT:
        return log->target_member_count > 0;
    default:
        return false;
    }
}

void
mw_log_receive(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
               const struct mw_name *from, const struct mw_log_msg *msg)
{
    struct mw_log_peer *peer = mw_log_find_peer(log, from);

    if (mw_name_equal(from, &log->name) ||
        (peer ? !accept_incarnation(log, peer, msg)
              : !may_be_unknown(log, msg))) {
        return;
    }
    bool is_request = msg->kind == MW_LOG_PREVOTE || msg->kind == MW_LOG_VOTE;

    if (!log->writable && must_store(msg)) {
        if (is_request) {
            mw_log_report_refusal(ctx, log, now_us, from, msg,
                                  MW_LOG_REFUSED_DISK);
        }
        return;
    }
    bool is_prevote_reply = msg->kind == MW_LOG_PREVOTE_REPLY;

    /*
     * The term of a vote request is adopted only after the check for a valid
     * lease, and that of a refused pre-vote with the next one.
     */
    if (!is_request && !is_prevote_reply && msg->term > log->term) {
        mw_log_become_follower(ctx, log, now_us, msg->term);
    }
    switch (msg->kind) {
    case MW_LOG_PREVOTE:
    case MW_LOG_VOTE:
        mw_log_on_vote_request(ctx, log, now_us, from, msg);
        break;
    case MW_LOG_PREVOTE_REPLY:
    case MW_LOG_VOTE_REPLY:
        mw_log_on_vote_reply(ctx, log, now_us, peer, msg);
        break;
    case MW_LOG_APPEND:
        mw_log_on_append(ctx, log, now_us, from, msg);
        break;
    case MW_LOG_APPEND_REPLY:
        mw_log_on_append_reply(ctx, log, now_us, peer, msg);
        break;
    case MW_LOG_SNAPSHOT:
        mw_log_on_snapshot(ctx, log, now_us, from, msg);
        break;
    case MW_LOG_SNAPSHOT_REPLY:
        mw_log_on_snapshot_reply(ctx, log, now_us, peer, msg);
        break;
    case MW_LOG_TIMEOUT_NOW:
        on_timeout_now(ctx, log, now_us, msg);
        break;
    default:
        break;
    }
}

static void
tick_leader(struct mw_context *ctx, struct mw_log *log, int64_t now_us)
{
    bool valid = mw_log_is_lease_valid(log, now_us);

    if (log->lease_valid && !valid) {
        log->counters.lease_lost++;
        mw_emit_event(ctx, MW_SEVERITY_WARNING, "event=lease_lost group=%.*s",
                      MW_FMT(mw_name_str(&log->group)));
    }
    log->lease_valid = valid;
    if (!valid && now_us >= log->election_deadline_us) {
        mw_log_become_follower(ctx, log, now_us, log->term);
        return;
    }
    if (valid) {
        log->election_deadline_us = now_us + 2 * MW_ELECTION_TIMEOUT_US;
    }
    if (now_us >= log->heartbeat_deadline_us || log->flush_due) {
        if (!log->writable ||
            log->unsynced_bytes >= MW_LOG_UNSYNCED_BYTES_MAX) {
            mw_log_transfer_leadership(log, now_us);
        }
        mw_log_flush(log, now_us);
    }
    mw_log_admit_caught_up(ctx, log, now_us);
    mw_log_remove_unresponsive(ctx, log, now_us);
}

void
mw_log_tick(struct mw_context *ctx, struct mw_log *log, int64_t now_us)
{
    if (log->snapshot_unstored) {
        mw_log_store_all(log);
    }
    if (log->role == MW_LEADER) {
        tick_leader(ctx, log, now_us);
        return;
    }
    if (now_us >= log->election_deadline_us) {
        mw_log_start_prevote(ctx, log, now_us);
    }
    else if (now_us >= log->early_deadline_us) {
        mw_log_start_early_prevote(ctx, log, now_us);
    }
}

void
mw_log_set_writable(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                    bool writable)
{
    if (writable == log->writable) {
        return;
    }
    log->writable = writable;
    if (!writable) {
        mw_log_shrink(log);
    }
    if (!writable && log->role == MW_LEADER) {
        mw_log_transfer_leadership(log, now_us);
    }
    else if (!writable && log->role != MW_FOLLOWER) {
        mw_log_become_follower(ctx, log, now_us, log->term);
    }
}

int64_t
mw_log_deadline(const struct mw_log *log)
{
    if (log->snapshot_unstored) {
        return 0;
    }
    if (log->role == MW_LEADER) {
        return log->flush_due ? 0 : log->heartbeat_deadline_us;
    }
    return MIN(log->election_deadline_us, log->early_deadline_us);
}

void
mw_log_transfer_leadership(struct mw_log *log, int64_t now_us)
{
    struct mw_log_peer *best = NULL;

    if (log->role != MW_LEADER || log->transferring) {
        return;
    }
    for (unsigned i = 0; i < log->peer_count; i++) {
        struct mw_log_peer *peer = &log->peers[i];

        if (i != log->self && mw_log_is_voter(log, &log->config, i) &&
            (!best || peer->match_index > best->match_index)) {
            best = peer;
        }
    }
    if (!best || best->match_index < mw_log_last_index(log)) {
        return;
    }
    struct mw_log_msg msg = {.kind = MW_LOG_TIMEOUT_NOW};

    log->transferring = true;
    log->election_deadline_us = now_us + MW_ELECTION_TIMEOUT_US;
    mw_log_send(log, &best->name, &msg);
}
