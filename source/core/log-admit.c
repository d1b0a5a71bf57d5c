/*
 * log-admit: changes of the configuration, one at a time.
 */
#include "log-impl.h"

static void
propose_member(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
               const struct mw_log_peer *peer, uint64_t incarnation)
{
    struct mw_record *record = mw_new_record(MW_RECORD_ADMIT);

    record->admit.member = peer->name;
    record->admit.incarnation = incarnation;
    mw_log_append_entry(log, log->term, record);
    mw_drop_record(record);
    log->flush_due = true;
    mw_log_flush(log, now_us);
    mw_note(ctx, MW_PRIORITY_NOTICE, "event=%s group=%.*s member=%.*s",
            incarnation ? "admit" : "remove", MW_FMT(mw_name_str(&log->group)),
            MW_FMT(mw_name_str(&peer->name)));
}

static bool
is_caught_up(const struct mw_log *log, const struct mw_log_peer *peer,
             int64_t now_us)
{
    return peer->match >= mw_log_last(log) &&
           now_us - peer->acked_sent_us <= MW_LEASE_US;
}

/*
 * One change at a time, but for one that replaces the member of the change
 * before it: an incarnation that died while it was being admitted would
 * otherwise be waited for without end.
 */
static bool
may_follow(const struct mw_log *log, unsigned peer)
{
    uint32_t n = log->pending_count;
    const uint64_t *before;

    if (n == 0) {
        return true;
    }
    before = n > 1 ? log->pending[n - 2].members : log->config;
    return n < MW_LOG_PENDING_MAX &&
           log->pending[n - 1].members[peer] != before[peer];
}

void
mw_log_admit_next(struct mw_context *ctx, struct mw_log *log, int64_t now_us)
{
    for (unsigned i = 0; i < log->peer_count; i++) {
        struct mw_log_peer *peer = &log->peers[i];

        if (!mw_log_lease_live(log, now_us)) {
            return;
        }
        if (i == log->self || peer->incarnation == 0 ||
            mw_log_newest_config(log)[i] == peer->incarnation ||
            !may_follow(log, i) || !is_caught_up(log, peer, now_us)) {
            continue;
        }
        log->counters.admitted++;
        propose_member(ctx, log, now_us, peer, peer->incarnation);
    }
}

/*
 * Members with a disk are never removed: that nothing is committed without
 * one is what lets it lead again after every other member has restarted.
 */
void
mw_log_remove_silent(struct mw_context *ctx, struct mw_log *log,
                     int64_t now_us)
{
    if (!mw_log_lease_live(log, now_us)) {
        return;
    }
    for (unsigned i = 0; i < log->peer_count; i++) {
        struct mw_log_peer *peer = &log->peers[i];
        int64_t heard_us = MAX(peer->acked_sent_us, log->led_since_us);

        if (i == log->self || peer->disk ||
            mw_log_newest_config(log)[i] == 0 || !may_follow(log, i) ||
            now_us - heard_us < MW_SILENT_US) {
            continue;
        }
        log->counters.removed++;
        propose_member(ctx, log, now_us, peer, 0);
        return;
    }
}
