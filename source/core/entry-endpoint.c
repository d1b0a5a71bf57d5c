/*
 * entry-endpoint: forwards announcements to schedulers, and commands and
 * their outcomes between schedulers and endpoints.
 */
#include "entry-impl.h"

void
mw_entry_command_done(struct mw_entry *entry, const struct mw_name *control,
                      const struct mw_report *report)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_REPORT);

    msg->report = *report;
    msg->report.output = mw_keep_blob(report->output);
    entry->output.send(entry->output.opaque, control, msg);
    mw_drop_msg(msg);
}

void
mw_entry_on_command(struct mw_entry *entry, const struct mw_name *from,
                    const struct mw_endpoint_command *command)
{
    bool current = command->attempt.epoch >= entry->epoch ||
                   command->kind == MW_COMMAND_FORGET ||
                   command->kind == MW_COMMAND_STOP;

    entry->counters.orders++;
    if (current) {
        entry->output.execute_command(entry->output.opaque, from, command);
        return;
    }
    struct mw_report report = {.outcome = MW_OUTCOME_REFUSED,
                               .attempt = command->attempt,
                               .endpoint = command->endpoint};

    entry->counters.stale_orders++;
    mw_entry_command_done(entry, from, &report);
}

int
mw_entry_announce(struct mw_context *ctx, struct mw_entry *entry,
                  int64_t now_us, const struct mw_announcement *announce)
{
    GHashTableIter iter;
    gpointer value;
    bool leader_reachable = false;

    entry->counters.announces++;
    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_peer *peer = value;

        if (!mw_peer_is_live(peer, now_us) ||
            !mw_name_equal(&peer->heartbeat.zone, &entry->zone)) {
            continue;
        }
        struct mw_msg *msg = mw_new_msg(MW_MSG_ANNOUNCE);

        msg->announce = *announce;
        msg->announce.relay = entry->name;
        msg->announce.listed =
            g_memdup2(announce->listed,
                      announce->listed_count * sizeof *announce->listed);
        entry->output.send(entry->output.opaque, &peer->name, msg);
        mw_drop_msg(msg);
        leader_reachable = leader_reachable || peer->heartbeat.leads_zone;
    }
    if (!leader_reachable) {
        return mw_fail(ctx, MW_ERR_UNREACHABLE,
                       "no leader of zone %.*s is reachable",
                       MW_FMT(mw_name_str(&entry->zone)));
    }
    return 0;
}

uint64_t
mw_entry_get_epoch(const struct mw_entry *entry)
{
    return entry->epoch;
}
