/*
 * log-state: entries, writes to storage, and messages that wait for them.
 */
#include <inttypes.h>

#include "log-impl.h"

static void
clear_entry(void *data)
{
    struct mw_log_entry *entry = data;

    mw_drop_record(entry->record);
}

struct mw_log *
mw_new_log(const struct mw_log_setup *setup)
{
    struct mw_log *log = g_new0(struct mw_log, 1);

    log->group = setup->group;
    log->name = setup->self;
    log->output = setup->output;
    log->compact_after = setup->compact_after;
    log->compact_bytes = setup->compact_bytes;
    log->writable = true;
    log->rand = g_rand_new_with_seed(setup->seed);
    log->incarnation = setup->incarnation;
    log->peer_count = setup->member_count;
    log->founding_count =
        setup->founding_count ? setup->founding_count : setup->member_count;
    log->target_member_count = setup->target_member_count;
    for (unsigned i = 0; i < setup->member_count; i++) {
        log->peers[i].name = setup->members[i].name;
        log->peers[i].disk = setup->members[i].disk;
        if (mw_name_equal(&setup->members[i].name, &setup->self)) {
            log->peers[i].incarnation = setup->incarnation;
        }
    }
    log->entries = g_array_new(FALSE, TRUE, sizeof(struct mw_log_entry));
    g_array_set_clear_func(log->entries, clear_entry);
    log->retained = g_array_new(FALSE, TRUE, sizeof(struct mw_log_entry));
    g_array_set_clear_func(log->retained, clear_entry);
    log->snapshot_records =
        g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_record);
    g_queue_init(&log->deferred);
    g_queue_init(&log->pending_writes);
    mw_log_found_config(log);
    log->holdoff_deadline_us = setup->now_us + MW_ELECTION_TIMEOUT_US;
    mw_log_reset_election_timer(log, setup->now_us);
    mw_log_schedule_early(log, setup->now_us);
    return log;
}

static void
free_deferred(void *data)
{
    struct mw_log_deferred *deferred = data;

    mw_log_msg_clear(&deferred->msg);
    g_free(deferred);
}

void
mw_drop_log(struct mw_log *log)
{
    if (!log) {
        return;
    }
    for (unsigned i = 0; i < log->peer_count; i++) {
        g_clear_pointer(&log->peers[i].snapshot_records, g_ptr_array_unref);
    }
    g_queue_clear_full(&log->deferred, free_deferred);
    g_queue_clear_full(&log->pending_writes, g_free);
    g_clear_pointer(&log->incoming_records, g_ptr_array_unref);
    g_ptr_array_unref(log->snapshot_records);
    g_array_unref(log->entries);
    g_array_unref(log->retained);
    g_rand_free(log->rand);
    g_free(log);
}

uint64_t
mw_log_last_index(const struct mw_log *log)
{
    return log->snapshot_index + log->entries->len;
}

struct mw_log_entry *
mw_log_entry_at(const struct mw_log *log, uint64_t index)
{
    if (index <= log->snapshot_index) {
        return &g_array_index(log->retained, struct mw_log_entry,
                              index - mw_log_first_index(log));
    }
    return &g_array_index(log->entries, struct mw_log_entry,
                          index - log->snapshot_index - 1);
}

uint64_t
mw_log_term_at(const struct mw_log *log, uint64_t index)
{
    if (index == log->snapshot_index) {
        return log->snapshot_term;
    }
    if (index > mw_log_last_index(log) ||
        (index < log->snapshot_index && index < mw_log_first_index(log))) {
        return 0;
    }
    return mw_log_entry_at(log, index)->term;
}

struct mw_log_peer *
mw_log_find_peer(struct mw_log *log, const struct mw_name *name)
{
    for (unsigned i = 0; i < log->peer_count; i++) {
        if (mw_name_equal(&log->peers[i].name, name)) {
            return &log->peers[i];
        }
    }
    return NULL;
}

/*
 * pending_write: an unsynced item, its last entry, 0 for none, and the size
 * of the record if it is an entry.
 */
struct pending_write {
    uint64_t sequence;
    uint64_t index;
    uint64_t bytes;
};

static void
store_item(struct mw_log *log, struct mw_stored_item *item, uint64_t index)
{
    struct pending_write *write = g_new(struct pending_write, 1);

    item->sequence = ++log->store_sequence;
    *write =
        (struct pending_write){.sequence = item->sequence, .index = index};
    if (item->kind == MW_STORED_ENTRY) {
        write->bytes = mw_record_size(item->records[0]);
    }
    log->unsynced_bytes += write->bytes;
    g_queue_push_tail(&log->pending_writes, write);
    log->output.store(log->output.opaque, item);
}

void
mw_log_store_meta(struct mw_log *log)
{
    struct mw_stored_item item = {
        .kind = MW_STORED_META,
        .term = log->term,
        .vote = log->vote,
        .incarnation = log->incarnation,
        .commit = log->commit_index,
    };

    store_item(log, &item, 0);
}

void
mw_log_store_entry(struct mw_log *log, uint64_t index)
{
    struct mw_log_entry *entry = mw_log_entry_at(log, index);
    struct mw_stored_item item = {
        .kind = MW_STORED_ENTRY,
        .term = entry->term,
        .index = index,
        .commit = log->commit_index,
        .record_count = 1,
        .records = &entry->record,
    };

    store_item(log, &item, index);
}

void
mw_log_store_snapshot(struct mw_log *log)
{
    struct mw_stored_item item = {
        .kind = MW_STORED_SNAPSHOT,
        .term = log->snapshot_term,
        .index = log->snapshot_index,
        .record_count = log->snapshot_records->len,
        .records = (struct mw_record **)log->snapshot_records->pdata,
    };

    mw_log_copy_incarnations(&log->snapshot_config, item.config);
    store_item(log, &item, log->snapshot_index);
    log->snapshot_sequence = log->store_sequence;
}

uint64_t
mw_log_append_entry(struct mw_log *log, uint64_t term,
                    struct mw_record *record)
{
    struct mw_log_entry entry = {term, mw_keep_record(record)};

    g_array_append_val(log->entries, entry);
    log->uncommitted_bytes += mw_record_size(record);
    mw_log_store_entry(log, mw_log_last_index(log));
    if (mw_log_changes_config(record)) {
        mw_log_rebuild_config(log);
    }
    return mw_log_last_index(log);
}

void
mw_log_mark_unsynced(struct mw_log *log, uint64_t index)
{
    log->synced_index = MIN(log->synced_index, index ? index - 1 : 0);
    for (GList *l = log->pending_writes.head; l; l = l->next) {
        struct pending_write *write = l->data;

        if (write->index >= index) {
            write->index = 0;
        }
    }
}

void
mw_log_truncate(struct mw_log *log, uint64_t index)
{
    if (index <= log->snapshot_index || index > mw_log_last_index(log)) {
        return;
    }
    g_array_set_size(log->entries, (guint)(index - log->snapshot_index - 1));
    mw_log_mark_unsynced(log, index);
    mw_log_rebuild_config(log);
}

static void
restore_entry(struct mw_log *log, const struct mw_stored_item *item)
{
    struct mw_log_entry entry = {item->term, mw_keep_record(item->records[0])};

    mw_log_truncate(log, item->index);
    g_array_append_val(log->entries, entry);
}

static void
restore_snapshot(struct mw_log *log, const struct mw_stored_item *item)
{
    uint64_t last = mw_log_last_index(log);

    if (item->index >= last) {
        g_array_set_size(log->entries, 0);
    }
    else {
        g_array_remove_range(log->entries, 0,
                             (guint)(item->index - log->snapshot_index));
    }
    log->snapshot_index = item->index;
    log->snapshot_term = item->term;
    g_ptr_array_set_size(log->snapshot_records, 0);
    for (uint32_t i = 0; i < item->record_count; i++) {
        g_ptr_array_add(log->snapshot_records,
                        mw_keep_record(item->records[i]));
    }
    mw_log_read_snapshot_config(log, item->config);
    mw_log_apply_snapshot(log);
}

int
mw_log_restore(struct mw_context *ctx, struct mw_log *log,
               const struct mw_stored_item *item)
{
    log->restoring = true;
    switch (item->kind) {
    case MW_STORED_META:
        log->term = item->term;
        log->vote = item->vote;
        log->incarnation = item->incarnation;
        log->peers[log->self].incarnation = item->incarnation;
        break;
    case MW_STORED_ENTRY:
        if (item->index <= log->snapshot_index ||
            item->index > mw_log_last_index(log) + 1) {
            return mw_fail(ctx, MW_ERR_DAMAGED,
                           "stored entry %" PRIu64 " follows entry %" PRIu64,
                           item->index, mw_log_last_index(log));
        }
        restore_entry(log, item);
        break;
    case MW_STORED_SNAPSHOT:
        if (item->index < log->snapshot_index) {
            return mw_fail(ctx, MW_ERR_DAMAGED,
                           "stored snapshot of entry %" PRIu64
                           " follows the one of entry %" PRIu64,
                           item->index, log->snapshot_index);
        }
        restore_snapshot(log, item);
        break;
    default:
        return mw_fail(ctx, MW_ERR_VERSION, "unknown kind of stored item: %d",
                       (int)item->kind);
    }
    log->synced_index = mw_log_last_index(log);
    mw_log_rebuild_config(log);
    if (item->commit > log->commit_index &&
        item->commit <= log->synced_index) {
        mw_log_commit_to(log, item->commit);
    }
    log->restoring = false;
    return 0;
}

void
mw_log_send(struct mw_log *log, const struct mw_name *to,
            struct mw_log_msg *msg)
{
    msg->term = log->term;
    msg->incarnation = log->incarnation;
    log->output.send(log->output.opaque, to, msg);
}

/*
 * Whether a waiting message says the same as a later one that waits for the
 * same item: a reply to an earlier heartbeat.
 */
static bool
is_repeated(const struct mw_log *log, const struct mw_log_deferred *waiting,
            const struct mw_name *to, const struct mw_log_msg *msg)
{
    return waiting->sequence == log->store_sequence &&
           waiting->msg.term == log->term && waiting->msg.kind == msg->kind &&
           waiting->msg.index == msg->index &&
           waiting->msg.offset == msg->offset && waiting->msg.ok == msg->ok &&
           mw_name_equal(&waiting->to, to);
}

/* Replies to heartbeats do not add up while the disk syncs nothing. */
static void
drop_repeated(struct mw_log *log, const struct mw_name *to,
              const struct mw_log_msg *msg)
{
    struct mw_log_deferred *last = g_queue_peek_tail(&log->deferred);

    if (last && is_repeated(log, last, to, msg)) {
        free_deferred(g_queue_pop_tail(&log->deferred));
    }
}

void
mw_log_send_after_sync(struct mw_log *log, const struct mw_name *to,
                       const struct mw_log_msg *msg)
{
    struct mw_log_deferred *deferred = g_new0(struct mw_log_deferred, 1);

    mw_log_msg_copy(&deferred->msg, msg);
    deferred->msg.term = log->term;
    deferred->msg.incarnation = log->incarnation;
    deferred->to = *to;
    deferred->sequence = log->store_sequence;
    if (deferred->sequence <= log->synced_sequence) {
        log->output.send(log->output.opaque, to, &deferred->msg);
        free_deferred(deferred);
        return;
    }
    drop_repeated(log, to, msg);
    g_queue_push_tail(&log->deferred, deferred);
}

static void
send_deferred(struct mw_log *log)
{
    struct mw_log_deferred *deferred = g_queue_peek_head(&log->deferred);

    while (deferred && deferred->sequence <= log->synced_sequence) {
        g_queue_pop_head(&log->deferred);
        if (deferred->msg.term == log->term) {
            log->output.send(log->output.opaque, &deferred->to,
                             &deferred->msg);
        }
        free_deferred(deferred);
        deferred = g_queue_peek_head(&log->deferred);
    }
}

void
mw_log_synced(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
              uint64_t sequence)
{
    struct pending_write *write = g_queue_peek_head(&log->pending_writes);

    log->synced_sequence = MAX(log->synced_sequence, sequence);
    while (write && write->sequence <= log->synced_sequence) {
        log->synced_index = MAX(log->synced_index, write->index);
        log->unsynced_bytes -= write->bytes;
        g_free(g_queue_pop_head(&log->pending_writes));
        write = g_queue_peek_head(&log->pending_writes);
    }
    send_deferred(log);
    mw_log_compact_if_due(log);
    if (log->role == MW_LEADER) {
        mw_log_advance_commit(ctx, log, now_us);
    }
}

void
mw_log_msg_clear(struct mw_log_msg *msg)
{
    for (uint32_t i = 0; i < msg->entry_count; i++) {
        mw_drop_record(msg->entries[i].record);
    }
    g_free(msg->entries);
    msg->entries = NULL;
    msg->entry_count = 0;
}

void
mw_log_msg_copy(struct mw_log_msg *to, const struct mw_log_msg *from)
{
    *to = *from;
    to->entries =
        g_memdup2(from->entries, from->entry_count * sizeof *from->entries);
    for (uint32_t i = 0; i < to->entry_count; i++) {
        mw_keep_record(to->entries[i].record);
    }
}

const struct mw_log_config *
mw_log_get_config(const struct mw_log *log)
{
    return &log->config;
}

void
mw_log_get_status(const struct mw_log *log, struct mw_log_status *view)
{
    *view = (struct mw_log_status){
        .role = log->role,
        .term = log->term,
        .commit_index = log->commit_index,
        .last_index = mw_log_last_index(log),
        .snapshot_index = log->snapshot_index,
        .bytes = log->snapshot_bytes + log->applied_bytes,
        .incarnation = log->incarnation,
        .admitted = mw_log_is_admitted(log),
        .leader = log->leader,
        .counters = &log->counters,
    };
    for (unsigned i = 0; i < log->peer_count; i++) {
        bool is_voter = mw_log_admitted_incarnation(log, &log->config, i) != 0;

        view->voter_count += is_voter;
        view->disk_voter_count += is_voter && log->peers[i].disk;
    }
}

struct mw_str
mw_log_role_str(enum mw_log_role role)
{
    static const struct mw_str words[] = {
        MW_STR("follower"), MW_STR("pre-candidate"), MW_STR("candidate"),
        MW_STR("leader")};

    return words[role];
}
