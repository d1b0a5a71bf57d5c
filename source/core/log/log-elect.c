/*
 * log-elect: pre-vote, elections and their timer.
 */
#include "log-impl.h"

/*
 * Least time between two early pre-votes, to which up to 100 ms are added: it
 * leaves time for the replies, and for several attempts in a hold-off.
 */
#define EARLY_INTERVAL_US 50000
/* the same after an early vote, which is synced on two disks */
#define EARLY_VOTE_INTERVAL_US 300000

void
mw_log_reset_election_timer(struct mw_log *log, int64_t now_us)
{
    log->election_jitter_us =
        g_rand_int_range(log->rand, 0, (gint32)MW_ELECTION_TIMEOUT_US);
    log->election_deadline_us =
        now_us + MW_ELECTION_TIMEOUT_US + log->election_jitter_us;
    if (log->peer_count == 1) {
        log->election_deadline_us = now_us;
    }
}

/* Random; after each vote another one, as that restarts the election timer. */
static int64_t
early_jitter_us(const struct mw_log *log)
{
    return log->election_jitter_us / 10;
}

/* None after the hold-off: the election timer is due then. */
static void
set_early_deadline(struct mw_log *log, int64_t deadline_us)
{
    log->early_deadline_us =
        deadline_us < log->holdoff_deadline_us ? deadline_us : INT64_MAX;
}

void
mw_log_schedule_early(struct mw_log *log, int64_t now_us)
{
    set_early_deadline(log, now_us + EARLY_INTERVAL_US + early_jitter_us(log));
}

/* Gives the candidate, this member or another, time to win. */
static void
postpone_early(struct mw_log *log, int64_t now_us, int64_t interval_us)
{
    if (log->early_deadline_us != INT64_MAX) {
        set_early_deadline(log, now_us + interval_us + early_jitter_us(log));
    }
}

static void
set_role(struct mw_context *ctx, struct mw_log *log, enum mw_log_role role)
{
    if (log->role == role) {
        return;
    }
    if (log->role == MW_LEADER || role == MW_LEADER) {
        mw_emit_event(ctx, MW_SEVERITY_NOTICE,
                      "event=role group=%.*s role=%.*s "
                      "term=%" G_GUINT64_FORMAT,
                      MW_FMT(mw_name_str(&log->group)),
                      MW_FMT(mw_log_role_str(role)), log->term);
    }
    log->role = role;
}

void
mw_log_become_follower(struct mw_context *ctx, struct mw_log *log,
                       int64_t now_us, uint64_t term)
{
    if (term > log->term) {
        log->term = term;
        log->vote = (struct mw_name){0};
        log->leader = (struct mw_name){0};
        mw_log_store_meta(log);
    }
    log->lease_valid = false;
    log->transferring = false;
    set_role(ctx, log, MW_FOLLOWER);
    mw_log_reset_election_timer(log, now_us);
}

void
mw_log_note_leader(struct mw_log *log, int64_t now_us,
                   const struct mw_name *leader)
{
    log->leader = *leader;
    log->leader_contact_us = now_us;
    log->report.stand_us = 0;
    log->report.failure_us = 0;
}

uint32_t
mw_log_granted_mask(const struct mw_log *log)
{
    uint32_t mask = 1u << log->self;

    for (unsigned i = 0; i < log->peer_count; i++) {
        if (log->peers[i].vote_granted) {
            mask |= 1u << i;
        }
    }
    return mask;
}

/* Early votes count only if every member has voted; see mw_log_msg. */
static bool
has_won(const struct mw_log *log)
{
    uint32_t mask = mw_log_granted_mask(log);
    bool early = log->is_own_vote_early;

    for (unsigned i = 0; i < log->peer_count; i++) {
        early |= log->peers[i].vote_granted && log->peers[i].is_vote_early;
    }
    return mw_log_has_election_quorum(log, mask) &&
           (!early || mw_log_has_all_votes(log, mask));
}

static void
request_votes(struct mw_log *log, int64_t now_us, enum mw_log_msg_kind kind,
              bool transfer)
{
    log->is_own_vote_early = !transfer && now_us < log->holdoff_deadline_us;
    for (unsigned i = 0; i < log->peer_count; i++) {
        struct mw_log_msg msg = {
            .kind = kind,
            .index = mw_log_last_index(log),
            .log_term = mw_log_term_at(log, mw_log_last_index(log)),
            .ok = transfer,
            .early = log->is_own_vote_early,
        };

        log->peers[i].vote_granted = false;
        if (i == log->self) {
            continue;
        }
        if (kind == MW_LOG_VOTE) {
            mw_log_send_after_sync(log, &log->peers[i].name, &msg);
        }
        else {
            mw_log_send(log, &log->peers[i].name, &msg);
        }
    }
}

static void
become_leader(struct mw_context *ctx, struct mw_log *log, int64_t now_us)
{
    struct mw_record *record = mw_new_record(MW_RECORD_NOOP);
    bool early = log->is_own_vote_early;

    log->counters.terms_won++;
    set_role(ctx, log, MW_LEADER);
    log->report = (struct mw_log_report){0};
    log->leader = log->name;
    log->leader_since_us = now_us;
    mw_log_clear_reported_slots(log);
    mw_log_count_uncommitted(log);
    for (unsigned i = 0; i < log->peer_count; i++) {
        struct mw_log_peer *peer = &log->peers[i];

        peer->match_index = 0;
        peer->next_index = mw_log_last_index(log) + 1;
        /*
         * A granted vote is also a lease from the time of the request, unless
         * it is early: then it does not bind the voter.
         */
        bool grants_lease = peer->vote_granted && !peer->is_vote_early;

        early |= peer->vote_granted && peer->is_vote_early;
        peer->acked_sent_us = grants_lease ? log->vote_requested_us
                                           : now_us - MW_LEASE_DURATION_US;
        peer->inflight_bytes = 0;
        peer->resent_index = 0;
        peer->resent_us = 0;
        g_clear_pointer(&peer->snapshot_records, g_ptr_array_unref);
    }
    log->counters.early_elections += early;
    log->lease_valid = mw_log_is_lease_valid(log, now_us);
    log->term_start_index = mw_log_append_entry(log, log->term, record);
    mw_drop_record(record);
    log->heartbeat_deadline_us = now_us;
    mw_log_flush(log, now_us);
    mw_log_advance_commit(ctx, log, now_us);
}

void
mw_log_start_election(struct mw_context *ctx, struct mw_log *log,
                      int64_t now_us)
{
    bool transfer = log->transferring;

    log->counters.elections++;
    mw_log_become_follower(ctx, log, now_us, log->term + 1);
    set_role(ctx, log, MW_CANDIDATE);
    log->vote = log->name;
    log->vote_requested_us = now_us;
    mw_log_store_meta(log);
    request_votes(log, now_us, MW_LOG_VOTE, transfer);
    postpone_early(log, now_us, EARLY_VOTE_INTERVAL_US);
    if (has_won(log)) {
        become_leader(ctx, log, now_us);
    }
}

/* One line each time that it is not: it does not stand for election then. */
static void
report_admission(struct mw_context *ctx, struct mw_log *log, bool admitted)
{
    if (!admitted && !log->reported_unadmitted) {
        mw_emit_event(ctx, MW_SEVERITY_WARNING,
                      "event=not_admitted group=%.*s "
                      "incarnation=%" G_GUINT64_FORMAT,
                      MW_FMT(mw_name_str(&log->group)), log->incarnation);
    }
    log->reported_unadmitted = !admitted;
}

static void
stand(struct mw_context *ctx, struct mw_log *log, int64_t now_us)
{
    bool admitted = mw_log_is_admitted(log);

    if (admitted && log->writable) {
        mw_log_report_attempt(ctx, log, now_us);
    }
    if (log->refused_term > log->term) {
        /* the last pre-vote may have failed for its term */
        mw_log_become_follower(ctx, log, now_us, log->refused_term);
    }
    report_admission(ctx, log, admitted);
    if (!admitted || !log->writable) {
        return;
    }
    set_role(ctx, log, MW_PRE_CANDIDATE);
    request_votes(log, now_us, MW_LOG_PREVOTE, false);
    if (has_won(log)) {
        mw_log_start_election(ctx, log, now_us);
    }
}

void
mw_log_start_prevote(struct mw_context *ctx, struct mw_log *log,
                     int64_t now_us)
{
    mw_log_reset_election_timer(log, now_us);
    stand(ctx, log, now_us);
}

/* Whether the candidate's log is at least as up-to-date as this one. */
static bool
is_up_to_date(const struct mw_log *log, const struct mw_log_msg *msg)
{
    uint64_t last_term = mw_log_term_at(log, mw_log_last_index(log));

    if (msg->log_term != last_term) {
        return msg->log_term > last_term;
    }
    return msg->index >= mw_log_last_index(log);
}

/*
 * A member whose grant of a lease is known to be valid does not vote, unless
 * the leader itself has asked for the election.
 */
static bool
must_protect_lease(const struct mw_log *log, int64_t now_us)
{
    if (log->role == MW_LEADER) {
        return mw_log_is_lease_valid(log, now_us);
    }
    return log->leader_contact_us > 0 &&
           now_us - log->leader_contact_us < MW_ELECTION_TIMEOUT_US;
}

void
mw_log_start_early_prevote(struct mw_context *ctx, struct mw_log *log,
                           int64_t now_us)
{
    int64_t election_deadline_us = log->election_deadline_us;

    if (must_protect_lease(log, now_us) || !mw_log_is_admitted(log)) {
        log->early_deadline_us = INT64_MAX;
        return;
    }
    mw_log_schedule_early(log, now_us);
    stand(ctx, log, now_us);
    if (log->role == MW_PRE_CANDIDATE || log->role == MW_FOLLOWER) {
        log->election_deadline_us = election_deadline_us;
    }
}

/* A vote, or the promise of one in a reply to a pre-vote. */
static void
set_granted(struct mw_log *log, int64_t now_us, const struct mw_log_msg *msg,
            bool granted, struct mw_log_msg *reply)
{
    /* a transfer is asked for by the one leader that may hold a lease */
    bool early = !msg->ok && now_us < log->holdoff_deadline_us;

    reply->ok = granted && !early;
    reply->early = granted && early;
}

static void
report_unless_granted(struct mw_context *ctx, struct mw_log *log,
                      int64_t now_us, const struct mw_name *from,
                      const struct mw_log_msg *msg,
                      const struct mw_log_msg *reply)
{
    enum mw_log_refusal reason = MW_LOG_REFUSED_OTHER_VOTE;

    if (reply->ok || reply->early) {
        return;
    }
    if (msg->term < log->term) {
        reason = MW_LOG_REFUSED_OLDER_TERM;
    }
    else if (!is_up_to_date(log, msg)) {
        reason = MW_LOG_REFUSED_OLDER_LOG;
    }
    mw_log_report_refusal(ctx, log, now_us, from, msg, reason);
}

static void
on_prevote(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
           const struct mw_name *from, const struct mw_log_msg *msg)
{
    struct mw_log_msg reply = {.kind = MW_LOG_PREVOTE_REPLY,
                               .index = msg->term};
    bool up_to_date = is_up_to_date(log, msg);

    set_granted(log, now_us, msg, msg->term >= log->term && up_to_date,
                &reply);
    if (reply.early) {
        postpone_early(log, now_us, EARLY_INTERVAL_US);
    }
    else if (msg->early && !up_to_date) {
        /* only a member with a newer log can win, such as this one */
        log->early_deadline_us =
            MIN(log->early_deadline_us, now_us + early_jitter_us(log));
    }
    report_unless_granted(ctx, log, now_us, from, msg, &reply);
    mw_log_send(log, from, &reply);
}

/*
 * A repeated vote may be the first one that is not early, and then it grants
 * the lease.  This member stops being a pre-candidate: a late reply must not
 * let it vote for itself in the next term, while the lease that it has just
 * granted is valid.
 */
static void
note_vote(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
          const struct mw_name *candidate, bool early)
{
    if (log->vote.len == 0) {
        log->vote = *candidate;
        mw_log_store_meta(log);
    }
    if (early) {
        postpone_early(log, now_us, EARLY_VOTE_INTERVAL_US);
    }
    else {
        log->leader_contact_us = now_us;
    }
    set_role(ctx, log, MW_FOLLOWER);
    mw_log_reset_election_timer(log, now_us);
}

void
mw_log_on_vote_request(struct mw_context *ctx, struct mw_log *log,
                       int64_t now_us, const struct mw_name *from,
                       const struct mw_log_msg *msg)
{
    struct mw_log_msg reply = {.kind = MW_LOG_VOTE_REPLY, .index = msg->term};

    if (must_protect_lease(log, now_us) && !msg->ok) {
        mw_log_report_refusal(ctx, log, now_us, from, msg,
                              MW_LOG_REFUSED_LEASE);
        return;
    }
    if (msg->kind == MW_LOG_PREVOTE) {
        on_prevote(ctx, log, now_us, from, msg);
        return;
    }
    if (msg->term > log->term) {
        mw_log_become_follower(ctx, log, now_us, msg->term);
    }
    bool may_vote = log->vote.len == 0 || mw_name_equal(&log->vote, from);

    set_granted(log, now_us, msg,
                msg->term == log->term && may_vote && is_up_to_date(log, msg),
                &reply);
    if (reply.ok || reply.early) {
        note_vote(ctx, log, now_us, from, reply.early);
    }
    report_unless_granted(ctx, log, now_us, from, msg, &reply);
    mw_log_send_after_sync(log, from, &reply);
}

void
mw_log_on_vote_reply(struct mw_context *ctx, struct mw_log *log,
                     int64_t now_us, struct mw_log_peer *peer,
                     const struct mw_log_msg *msg)
{
    bool expected = msg->kind == MW_LOG_PREVOTE_REPLY
                        ? log->role == MW_PRE_CANDIDATE
                        : log->role == MW_CANDIDATE && msg->term == log->term;

    bool granted = msg->ok || msg->early;

    if (expected && !granted) {
        log->refused_term = MAX(log->refused_term, msg->term);
    }
    if (!expected || !granted || msg->index != log->term) {
        return;
    }
    peer->vote_granted = true;
    peer->is_vote_early = !msg->ok;
    if (!has_won(log)) {
        return;
    }
    if (msg->kind == MW_LOG_PREVOTE_REPLY) {
        mw_log_start_election(ctx, log, now_us);
    }
    else {
        become_leader(ctx, log, now_us);
    }
}
