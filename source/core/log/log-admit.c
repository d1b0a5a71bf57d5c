/*
 * log-admit: membership changes and the slots of members.
 */
#include <string.h>

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
    const uint64_t *before;

    if (n == 0) {
        return true;
    }
    before = n > 1 ? log->pending_configs[n - 2].incarnations : log->config;
    return n < MW_LOG_PENDING_CONFIGS_MAX &&
           log->pending_configs[n - 1].incarnations[peer] != before[peer];
}

/* Members of the latest configuration. */
static uint32_t
count_voters(const struct mw_log *log)
{
    uint32_t count = 0;

    for (unsigned i = 0; i < log->peer_count; i++) {
        count += mw_log_latest_config(log)[i] != 0;
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

        if (i != log->self && mw_log_latest_config(log)[i] != 0 &&
            contact_us < oldest_us) {
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
    if (log->target_member_count == 0 ||
        mw_log_latest_config(log)[peer] != 0) {
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
            mw_log_latest_config(log)[i] == peer->incarnation ||
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

        if (i == log->self || peer->disk ||
            mw_log_latest_config(log)[i] == 0 || !may_change_voter(log, i) ||
            now_us - contact_us < MW_UNRESPONSIVE_US) {
            continue;
        }
        log->counters.removed++;
        propose_incarnation(ctx, log, now_us, peer, 0);
        return;
    }
}

void
mw_log_set_slot(struct mw_log *log, uint32_t slot, const struct mw_name *name)
{
    struct mw_log_peer *peer = &log->peers[slot];
    struct mw_log_peer *former;

    log->peer_count = MAX(log->peer_count, slot + 1);
    if (mw_name_equal(&peer->name, name)) {
        return;
    }
    former = mw_log_find_peer(log, name);
    if (former) {
        former->name = (struct mw_name){0};
    }
    g_clear_pointer(&peer->snapshot_records, g_ptr_array_unref);
    memset(peer, 0, sizeof *peer);
    peer->name = *name;
    peer->disk = true;
    peer->next_index = 1;
}

/* A snapshot replaces the MEMBER records that gave the slots. */
void
mw_log_collect_slots(const struct mw_log *log, GPtrArray *records)
{
    for (unsigned i = 0; log->target_member_count > 0 && i < log->peer_count;
         i++) {
        struct mw_record *record;

        if (log->peers[i].name.len == 0) {
            continue;
        }
        record = mw_new_record(MW_RECORD_MEMBER);
        record->member.slot = i;
        record->member.name = log->peers[i].name;
        g_ptr_array_add(records, record);
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
        if (i != log->self && log->config[i] == 0 &&
            mw_log_latest_config(log)[i] == 0) {
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

        count += mw_log_latest_config(log)[i] == 0 && peer->name.len > 0 &&
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

uint32_t
mw_log_get_members(const struct mw_log *log,
                   struct mw_name members[MW_MEMBERS_MAX])
{
    for (unsigned i = 0; i < log->peer_count; i++) {
        members[i] = log->peers[i].name;
    }
    return log->peer_count;
}

void
mw_log_fill_slot(struct mw_log *log, uint32_t slot, const struct mw_name *name)
{
    bool known = slot < log->peer_count && log->peers[slot].name.len > 0;

    if (!known && name->len > 0 && !mw_log_find_peer(log, name)) {
        mw_log_set_slot(log, slot, name);
    }
}
