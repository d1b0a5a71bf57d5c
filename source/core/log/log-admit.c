/*
 * log-admit: membership changes and the slots of members.
 */
#include "log-impl.h"

/* number of entries that a member may lack when it is admitted */
#define ADMISSION_LAG_MAX 128

/* Appends an ADMIT record; incarnation 0 removes the member. */
static void
propose_incarnation(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                    const struct mw_log_peer *peer, uint64_t incarnation)
{
    struct mw_record *record = mw_new_record(MW_RECORD_ADMIT);

    record->admit.member = peer->name;
    record->admit.incarnation = incarnation;
    mw_log_append_entry(log, log->term, record);
    mw_drop_record(record);
    log->flush_due = true;
    mw_log_flush(log, now_us);
    mw_emit_event(ctx, MW_SEVERITY_NOTICE, "event=%s group=%.*s member=%.*s",
                  incarnation ? "admit" : "remove",
                  MW_FMT(mw_name_str(&log->group)),
                  MW_FMT(mw_name_str(&peer->name)));
}

/*
 * A lag of up to ADMISSION_LAG_MAX entries is safe: the member adds nothing
 * to a commit quorum until it has synced its ADMIT record, and so all entries
 * before it.
 */
static bool
is_caught_up(const struct mw_log *log, const struct mw_log_peer *peer,
             int64_t now_us)
{
    return peer->match_index + ADMISSION_LAG_MAX >= mw_log_last_index(log) &&
           peer->match_index > 0 &&
           now_us - peer->acked_sent_us <= MW_LEASE_DURATION_US;
}

/*
 * One change at a time, except for another one of the same member: if the
 * process ends while it is being admitted, its ADMIT record might never be
 * committed.
 */
static bool
may_change_voter(const struct mw_log *log, unsigned peer)
{
    uint32_t n = log->pending_config_count;
    const struct mw_log_config *before;
    const struct mw_log_config *after;

    if (n == 0) {
        return true;
    }
    before = n > 1 ? &log->pending_configs[n - 2].config : &log->config;
    after = &log->pending_configs[n - 1].config;
    return n < MW_LOG_PENDING_CONFIGS_MAX &&
           mw_log_admitted_incarnation(log, after, peer) !=
               mw_log_admitted_incarnation(log, before, peer);
}

/* Whether the peer has a vote in the latest configuration. */
static bool
has_vote(const struct mw_log *log, unsigned peer)
{
    return mw_log_admitted_incarnation(log, &log->latest_config, peer) != 0;
}

/* Members of the latest configuration. */
static uint32_t
count_voters(const struct mw_log *log)
{
    uint32_t count = 0;

    for (unsigned i = 0; i < log->peer_count; i++) {
        count += has_vote(log, i);
    }
    return count;
}

/*
 * The voter that has been unresponsive the longest, and for longer than
 * MW_REPLACE_AFTER_US; -1 for none.
 */
static int
find_unresponsive(const struct mw_log *log, int64_t now_us)
{
    int found = -1;
    int64_t oldest_us = now_us - MW_REPLACE_AFTER_US;

    for (unsigned i = 0; i < log->peer_count; i++) {
        int64_t contact_us =
            MAX(log->peers[i].acked_sent_us, log->leader_since_us);

        if (i != log->self && has_vote(log, i) && contact_us < oldest_us) {
            found = (int)i;
            oldest_us = contact_us;
        }
    }
    return found;
}

/*
 * Whether to admit a peer that has caught up.  With a target, a learner is
 * admitted only below the target, or to replace an unresponsive voter.
 */
static bool
should_admit(const struct mw_log *log, unsigned peer, int64_t now_us)
{
    if (log->target_member_count == 0 || has_vote(log, peer)) {
        return true;
    }
    return count_voters(log) < log->target_member_count ||
           (count_voters(log) == log->target_member_count &&
            find_unresponsive(log, now_us) >= 0);
}

void
mw_log_admit_caught_up(struct mw_context *ctx, struct mw_log *log,
                       int64_t now_us)
{
    for (unsigned i = 0; i < log->peer_count; i++) {
        struct mw_log_peer *peer = &log->peers[i];

        if (!mw_log_is_lease_valid(log, now_us)) {
            return;
        }
        if (i == log->self || peer->incarnation == 0 ||
            mw_log_is_voter(log, &log->latest_config, i) ||
            !may_change_voter(log, i) || !is_caught_up(log, peer, now_us) ||
            !should_admit(log, i, now_us)) {
            continue;
        }
        log->counters.admitted++;
        propose_incarnation(ctx, log, now_us, peer, peer->incarnation);
    }
}

/*
 * With a target, an unresponsive voter is removed once there is one too many,
 * also one with a disk: at least three have a disk then.  Without a target,
 * members with a disk are never removed: because nothing is committed without
 * one, it can become leader after all other members have restarted.
 */
static void
remove_excess_voter(struct mw_context *ctx, struct mw_log *log, int64_t now_us)
{
    int peer = find_unresponsive(log, now_us);

    if (log->target_member_count > 0 && peer >= 0 &&
        log->pending_config_count == 0 &&
        count_voters(log) > log->target_member_count) {
        log->counters.removed++;
        propose_incarnation(ctx, log, now_us, &log->peers[peer], 0);
    }
}

void
mw_log_remove_unresponsive(struct mw_context *ctx, struct mw_log *log,
                           int64_t now_us)
{
    if (!mw_log_is_lease_valid(log, now_us)) {
        return;
    }
    remove_excess_voter(ctx, log, now_us);
    for (unsigned i = 0; i < log->peer_count; i++) {
        struct mw_log_peer *peer = &log->peers[i];
        int64_t contact_us = MAX(peer->acked_sent_us, log->leader_since_us);

        if (i == log->self || peer->disk || !has_vote(log, i) ||
            !may_change_voter(log, i) ||
            now_us - contact_us < MW_UNRESPONSIVE_US) {
            continue;
        }
        log->counters.removed++;
        propose_incarnation(ctx, log, now_us, peer, 0);
        return;
    }
}

/* A new slot, or one whose member has no vote; -1 for none. */
static int
find_free_slot(const struct mw_log *log)
{
    if (log->peer_count < MW_MEMBERS_MAX) {
        return (int)log->peer_count;
    }
    for (unsigned i = 0; i < log->peer_count; i++) {
        if (i != log->self && !has_vote(log, i) &&
            mw_log_admitted_incarnation(log, &log->config, i) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Members without a vote that respond, or got their slot recently. */
static uint32_t
count_learners(const struct mw_log *log, int64_t now_us)
{
    uint32_t count = 0;

    for (unsigned i = 0; i < log->peer_count; i++) {
        const struct mw_log_peer *peer = &log->peers[i];

        count += !has_vote(log, i) && peer->name.len > 0 &&
                 now_us - MAX(peer->acked_sent_us, peer->learner_since_us) <
                     MW_UNRESPONSIVE_US;
    }
    return count;
}

void
mw_log_add_learner(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                   const struct mw_name *name)
{
    struct mw_record *record;
    uint32_t voters = count_voters(log);
    int slot = find_free_slot(log);

    if (log->target_member_count == 0 ||
        !mw_log_is_ready_leader(log, now_us) || mw_log_find_peer(log, name) ||
        slot < 0 || log->pending_config_count > 0) {
        return;
    }
    if (voters + count_learners(log, now_us) >= log->target_member_count &&
        (find_unresponsive(log, now_us) < 0 ||
         count_learners(log, now_us) > 0)) {
        return;
    }
    record = mw_new_record(MW_RECORD_MEMBER);
    record->member.slot = (uint32_t)slot;
    record->member.name = *name;
    mw_log_append_entry(log, log->term, record);
    mw_drop_record(record);
    log->peers[slot].learner_since_us = now_us;
    log->flush_due = true;
    mw_log_flush(log, now_us);
    mw_emit_event(ctx, MW_SEVERITY_NOTICE, "event=slot group=%.*s member=%.*s",
                  MW_FMT(mw_name_str(&log->group)), MW_FMT(mw_name_str(name)));
}
