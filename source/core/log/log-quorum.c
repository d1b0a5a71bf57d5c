/*
 * log-quorum: who counts, and how many are enough.
 */
#include <string.h>

#include "log-impl.h"

bool
mw_log_is_voter(const struct mw_log *log, const uint64_t *config,
                unsigned peer)
{
    return config[peer] != 0 && config[peer] == log->peers[peer].incarnation;
}

const uint64_t *
mw_log_newest_config(const struct mw_log *log)
{
    if (log->pending_count > 0) {
        return log->pending[log->pending_count - 1].members;
    }
    return log->config;
}

bool
mw_log_is_admitted(const struct mw_log *log)
{
    return mw_log_newest_config(log)[log->self] == log->incarnation;
}

/* An admitted incarnation is dead once a newer one has been heard. */
static bool
is_dead(const struct mw_log *log, const uint64_t *config, unsigned peer)
{
    return config[peer] != 0 && log->peers[peer].incarnation != 0 &&
           log->peers[peer].incarnation != config[peer];
}

struct tally {
    unsigned voters;
    unsigned dead;
    unsigned disks;
    unsigned held;
    unsigned held_disks;
};

static struct tally
count(const struct mw_log *log, const uint64_t *config, uint32_t mask)
{
    struct tally t = {0};

    for (unsigned i = 0; i < log->peer_count; i++) {
        if (config[i] == 0) {
            continue;
        }
        t.voters++;
        t.dead += is_dead(log, config, i);
        t.disks += log->peers[i].disk;
        if ((mask & (1u << i)) && mw_log_is_voter(log, config, i)) {
            t.held++;
            t.held_disks += log->peers[i].disk;
        }
    }
    return t;
}

/* Whether nothing can have been committed without this member. */
static bool
holds_all(const struct mw_log *log, const uint64_t *config, struct tally t)
{
    if (!mw_log_is_voter(log, config, log->self)) {
        return false;
    }
    return t.voters <= 2 || (log->peers[log->self].disk && t.disks == 1);
}

static bool
elects(const struct mw_log *log, const uint64_t *config, uint32_t mask)
{
    struct tally t = count(log, config, mask);

    if (holds_all(log, config, t)) {
        bool pair =
            t.voters == 2 && log->peers[log->self].disk && t.disks == 1;

        if (pair && t.held >= 1) {
            return true;
        }
        return t.held > (t.voters - t.dead) / 2;
    }
    return t.held > t.voters / 2;
}

static bool
commits(const struct mw_log *log, const uint64_t *config, uint32_t mask)
{
    struct tally t = count(log, config, mask);

    if (t.disks > 0 && t.held_disks == 0) {
        return false;
    }
    return t.held > t.voters / 2;
}

/* Every configuration from the committed one to the newest must agree. */
bool
mw_log_quorum(const struct mw_log *log, uint32_t mask)
{
    bool agree = elects(log, log->config, mask);

    for (uint32_t i = 0; agree && i < log->pending_count; i++) {
        agree = elects(log, log->pending[i].members, mask);
    }
    return agree;
}

/*
 * An entry is committed under the configuration in force at its index, and
 * those before it must agree: only then can none of them elect a leader
 * that lacks the entry.
 */
bool
mw_log_may_commit(const struct mw_log *log, uint32_t mask, uint64_t index)
{
    const uint64_t *config = log->config;

    for (uint32_t i = 0; i < log->pending_count; i++) {
        if (log->pending[i].index > index) {
            break;
        }
        if (!elects(log, config, mask)) {
            return false;
        }
        config = log->pending[i].members;
    }
    return commits(log, config, mask);
}

static void
set_member(struct mw_log *log, uint64_t *config,
           const struct mw_record_admit *admit)
{
    for (unsigned i = 0; i < log->peer_count; i++) {
        if (mw_name_equal(&log->peers[i].name, &admit->member)) {
            config[i] = admit->incarnation;
        }
    }
}

static void
add_pending(struct mw_log *log, uint64_t index,
            const struct mw_record_admit *admit)
{
    struct mw_log_config *next;
    const uint64_t *newest = mw_log_newest_config(log);

    if (log->pending_count == MW_LOG_PENDING_MAX) {
        return;
    }
    next = &log->pending[log->pending_count];
    next->index = index;
    memcpy(next->members, newest, sizeof next->members);
    set_member(log, next->members, admit);
    log->pending_count++;
}

void
mw_log_note_config(struct mw_log *log)
{
    memcpy(log->config, log->snapshot_config, sizeof log->config);
    log->pending_count = 0;
    for (guint i = 0; i < log->entries->len; i++) {
        uint64_t index = log->snapshot_index + 1 + i;
        struct mw_record *record = mw_log_entry_at(log, index)->record;

        if (record->kind == MW_RECORD_MEMBER) {
            mw_log_set_slot(log, record->member.slot, &record->member.name);
        }
        if (record->kind != MW_RECORD_ADMIT) {
            continue;
        }
        if (index <= log->commit) {
            set_member(log, log->config, &record->admit);
        }
        else {
            add_pending(log, index, &record->admit);
        }
    }
}
