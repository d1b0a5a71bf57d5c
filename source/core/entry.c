/*
 * entry: an entry process: messages of control processes, and its timers.
 */
#include "entry-impl.h"

#define TICK_INTERVAL_US 50000

struct mw_entry *
mw_new_entry(const struct mw_entry_setup *setup)
{
    struct mw_entry *entry = g_new0(struct mw_entry, 1);

    entry->name = setup->name;
    entry->zone = setup->zone;
    entry->output = setup->output;
    entry->next_ref = setup->first_ref;
    entry->retry_credit = MW_RETRY_BUDGET_BURST * MW_RETRY_COST;
    entry->peers = mw_new_peers();
    entry->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                            mw_free_request);
    entry->requests_by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
    return entry;
}

void
mw_drop_entry(struct mw_entry *entry)
{
    if (!entry) {
        return;
    }
    g_hash_table_unref(entry->requests_by_handle);
    g_hash_table_unref(entry->requests);
    g_hash_table_unref(entry->peers);
    mw_drop_document(entry->document);
    g_free(entry);
}

void
mw_entry_client_closed(struct mw_entry *entry, uint64_t handle)
{
    struct mw_request *request =
        g_hash_table_lookup(entry->requests_by_handle, &handle);

    if (request) {
        mw_remove_request(entry, request);
    }
}

/* Whether requests may have another route after a heartbeat. */
static bool
changes_routes(const struct mw_peer *peer,
               const struct mw_heartbeat *heartbeat)
{
    return !peer || !peer->connected ||
           peer->heartbeat.leads_zone != heartbeat->leads_zone ||
           peer->heartbeat.leads_region != heartbeat->leads_region ||
           peer->heartbeat.out != heartbeat->out;
}

static void
on_heartbeat(struct mw_entry *entry, int64_t now_us,
             const struct mw_name *from, const struct mw_heartbeat *heartbeat)
{
    bool changed =
        changes_routes(g_hash_table_lookup(entry->peers, from), heartbeat);

    mw_update_peer(entry->peers, now_us, from, heartbeat);
    if (heartbeat->leads_zone &&
        mw_name_equal(&heartbeat->zone, &entry->zone)) {
        entry->epoch = MAX(entry->epoch, heartbeat->epoch);
    }
    if (changed) {
        mw_send_unassigned_requests(entry, now_us);
    }
}

static void
on_document(struct mw_entry *entry, int64_t now_us,
            const struct mw_msg_document *message)
{
    bool newer = !entry->document ||
                 message->document->version > entry->document->version;

    if (message->environment == MW_PRODUCTION && newer) {
        mw_drop_document(entry->document);
        entry->document = mw_keep_document(message->document);
        entry->heartbeat_deadline_us = now_us;
        mw_send_unassigned_requests(entry, now_us);
    }
}

void
mw_entry_receive(struct mw_context *ctx, struct mw_entry *entry,
                 int64_t now_us, const struct mw_name *from,
                 struct mw_msg *msg)
{
    (void)ctx;
    switch (msg->kind) {
    case MW_MSG_HEARTBEAT:
        on_heartbeat(entry, now_us, from, &msg->heartbeat);
        break;
    case MW_MSG_DOCUMENT:
        on_document(entry, now_us, &msg->document);
        break;
    case MW_MSG_ANSWER:
        mw_entry_on_answer(entry, now_us, from, &msg->answer);
        break;
    case MW_MSG_CHANGE_RESULT:
        mw_entry_on_changed(entry, now_us, &msg->changed);
        break;
    case MW_MSG_ORDER:
        mw_entry_on_command(entry, from, &msg->order);
        break;
    default:
        break;
    }
}

void
mw_entry_disconnected(struct mw_context *ctx, struct mw_entry *entry,
                      int64_t now_us, const struct mw_name *process)
{
    struct mw_peer *peer = g_hash_table_lookup(entry->peers, process);

    (void)ctx;
    if (peer) {
        peer->connected = false;
    }
    mw_unassign_requests(entry, now_us, process);
    entry->tick_deadline_us = now_us;
}

static void
send_heartbeat(struct mw_entry *entry, int64_t now_us)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_HEARTBEAT);

    msg->heartbeat.role = MW_ROLE_ENTRY;
    msg->heartbeat.zone = entry->zone;
    msg->heartbeat.leaving = entry->leaving;
    msg->heartbeat.version[MW_PRODUCTION] =
        entry->document ? entry->document->version : 0;
    entry->output.send_all(entry->output.opaque, MW_ROLE_CONTROL, msg);
    mw_drop_msg(msg);
    entry->heartbeat_deadline_us = now_us + 2 * MW_HEARTBEAT_INTERVAL_US;
}

void
mw_entry_tick(struct mw_context *ctx, struct mw_entry *entry, int64_t now_us)
{
    (void)ctx;
    if (now_us >= entry->tick_deadline_us) {
        entry->tick_deadline_us = now_us + TICK_INTERVAL_US;
        mw_tick_requests(entry, now_us);
    }
    if (now_us >= entry->heartbeat_deadline_us) {
        send_heartbeat(entry, now_us);
    }
}

int64_t
mw_entry_deadline(const struct mw_entry *entry)
{
    if (g_hash_table_size(entry->requests) == 0) {
        return entry->heartbeat_deadline_us;
    }
    return MIN(entry->tick_deadline_us, entry->heartbeat_deadline_us);
}

void
mw_entry_leave(struct mw_entry *entry)
{
    entry->leaving = true;
}

uint32_t
mw_entry_pending_count(const struct mw_entry *entry)
{
    return g_hash_table_size(entry->requests);
}

bool
mw_entry_is_ready(const struct mw_entry *entry, int64_t now_us)
{
    return !entry->leaving && entry->document &&
           mw_zone_leader(entry->peers, now_us, &entry->zone) != NULL;
}

const struct mw_entry_counters *
mw_entry_get_counters(const struct mw_entry *entry)
{
    return &entry->counters;
}

struct mw_document *
mw_entry_get_document(const struct mw_entry *entry)
{
    return entry->document;
}

void
mw_entry_each_peer(const struct mw_entry *entry, void *opaque,
                   void (*each)(void *opaque, const struct mw_name *name,
                                const struct mw_heartbeat *heartbeat,
                                int64_t last_heartbeat_us))
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_peer *peer = value;

        each(opaque, &peer->name, &peer->heartbeat, peer->last_heartbeat_us);
    }
}
