/*
 * log-quorum: configurations, voters and quorums.
 */
#include "log-impl.h"

uint64_t
mw_log_admitted_incarnation(const struct mw_log *log,
                            const struct mw_log_config *config, unsigned peer)
{
    const struct mw_log_slot *slot = &config->slots[peer];

    if (peer == MW_MEMBERS_MAX ||
        !mw_name_equal(&slot->member, &log->peers[peer].name)) {
        return 0;
    }
    return slot->incarnation;
}

bool
mw_log_is_voter(const struct mw_log *log, const struct mw_log_config *config,
                unsigned peer)
{
    uint64_t incarnation = mw_log_admitted_incarnation(log, config, peer);

    return incarnation != 0 && incarnation == log->peers[peer].incarnation;
}

bool
mw_log_is_admitted(const struct mw_log *log)
{
    return mw_log_is_voter(log, &log->latest_config, log->self);
}

/*
 * Whether a later incarnation of a member is known than the admitted one,
 * which has ended then.  An earlier one that is known only shows that this
 * member has not heard from the admitted one yet.
 */
static bool
is_superseded(const struct mw_log *log, const struct mw_log_config *config,
              unsigned peer)
{
    uint64_t incarnation = mw_log_admitted_incarnation(log, config, peer);

    return incarnation != 0 && log->peers[peer].incarnation > incarnation;
}

/*
 * config_tally: number of members by kind; those in the mask are counted only
 * under their admitted incarnation.
 */
struct config_tally {
    unsigned voters;
    unsigned superseded;
    unsigned voters_with_disk;
    unsigned in_mask;
    unsigned in_mask_with_disk;
};

static struct config_tally
tally_config(const struct mw_log *log, const struct mw_log_config *config,
             uint32_t mask)
{
    struct config_tally t = {0};

    for (unsigned i = 0; i < log->peer_count; i++) {
        if (mw_log_admitted_incarnation(log, config, i) == 0) {
            continue;
        }
        t.voters++;
        t.superseded += is_superseded(log, config, i);
        t.voters_with_disk += log->peers[i].disk;
        if ((mask & (1u << i)) && mw_log_is_voter(log, config, i)) {
            t.in_mask++;
            t.in_mask_with_disk += log->peers[i].disk;
        }
    }
    return t;
}

/* Whether nothing can have been committed without this member. */
static bool
holds_all_committed(const struct mw_log *log,
                    const struct mw_log_config *config, struct config_tally t)
{
    if (!mw_log_is_voter(log, config, log->self)) {
        return false;
    }
    return t.voters <= 2 ||
           (log->peers[log->self].disk && t.voters_with_disk == 1);
}

static bool
config_elects(const struct mw_log *log, const struct mw_log_config *config,
              uint32_t mask)
{
    struct config_tally t = tally_config(log, config, mask);

    if (holds_all_committed(log, config, t)) {
        /* the only disk in a pair: no commit was possible without it */
        bool pair = t.voters == 2 && log->peers[log->self].disk &&
                    t.voters_with_disk == 1;

        if (pair && t.in_mask >= 1) {
            return true;
        }
        return t.in_mask > (t.voters - t.superseded) / 2;
    }
    return t.in_mask > t.voters / 2;
}

static bool
config_commits(const struct mw_log *log, const struct mw_log_config *config,
               uint32_t mask)
{
    struct config_tally t = tally_config(log, config, mask);

    if (t.voters_with_disk > 0 && t.in_mask_with_disk == 0) {
        return false;
    }
    return t.in_mask > t.voters / 2;
}

bool
mw_log_has_election_quorum(const struct mw_log *log, uint32_t mask)
{
    bool has_quorum = config_elects(log, &log->config, mask);

    for (uint32_t i = 0; has_quorum && i < log->pending_config_count; i++) {
        has_quorum = config_elects(log, &log->pending_configs[i].config, mask);
    }
    return has_quorum;
}

static bool
config_has_all_votes(const struct mw_log *log,
                     const struct mw_log_config *config, uint32_t mask)
{
    for (unsigned i = 0; i < log->peer_count; i++) {
        if (mw_log_admitted_incarnation(log, config, i) != 0 &&
            (!(mask & (1u << i)) || !mw_log_is_voter(log, config, i))) {
            return false;
        }
    }
    return true;
}

bool
mw_log_has_all_votes(const struct mw_log *log, uint32_t mask)
{
    bool has_all = config_has_all_votes(log, &log->config, mask);

    for (uint32_t i = 0; has_all && i < log->pending_config_count; i++) {
        has_all =
            config_has_all_votes(log, &log->pending_configs[i].config, mask);
    }
    return has_all;
}

/*
 * An entry needs a commit quorum of the configuration in effect at its index
 * and an election quorum of each one before it, from the committed one on:
 * otherwise one of these could elect a leader that lacks the entry.
 */
bool
mw_log_has_commit_quorum(const struct mw_log *log, uint32_t mask,
                         uint64_t index)
{
    const struct mw_log_config *config = &log->config;

    for (uint32_t i = 0; i < log->pending_config_count; i++) {
        if (log->pending_configs[i].index > index) {
            break;
        }
        if (!config_elects(log, config, mask)) {
            return false;
        }
        config = &log->pending_configs[i].config;
    }
    return config_commits(log, config, mask);
}
