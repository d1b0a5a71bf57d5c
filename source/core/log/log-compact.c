/*
 * log-compact: taking snapshots, and sending them in chunks.
 */
#include "log-impl.h"

static void
add_record(void *out, struct mw_record *record)
{
    g_ptr_array_add(out, mw_keep_record(record));
}

static uint64_t
total_size(const GPtrArray *records)
{
    uint64_t size = 0;

    for (guint i = 0; i < records->len; i++) {
        size += mw_record_size(records->pdata[i]);
    }
    return size;
}

static void
note_snapshot_size(struct mw_log *log)
{
    log->snapshot_bytes = total_size(log->snapshot_records);
    log->applied_bytes = 0;
}

void
mw_log_store_all(struct mw_log *log)
{
    log->snapshot_unstored = false;
    mw_log_store_snapshot(log);
    mw_log_store_meta(log);
    /* the stored snapshot replaces these too */
    for (guint i = 0; i < log->entries->len; i++) {
        mw_log_store_entry(log, log->snapshot_index + 1 + i);
    }
}

/* The records of a snapshot of what is applied now. */
static GPtrArray *
collect_records(struct mw_log *log)
{
    GPtrArray *records =
        g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_record);

    mw_log_collect_slots(log, records);
    log->output.collect(log->output.opaque, records, add_record);
    return records;
}

/* Replaces the applied entries by records, which it takes. */
static void
replace_applied(struct mw_log *log, GPtrArray *records)
{
    uint64_t term = mw_log_term_at(log, log->applied_index);

    if (!log->restoring) {
        mw_log_retain_applied(log);
    }
    log->snapshot_config = log->config;
    g_array_remove_range(log->entries, 0,
                         (guint)(log->applied_index - log->snapshot_index));
    log->snapshot_index = log->applied_index;
    log->snapshot_term = term;
    g_ptr_array_unref(log->snapshot_records);
    log->snapshot_records = records;
    note_snapshot_size(log);
    mw_log_trim_retained(log);
    log->counters.snapshots_taken++;
    if (log->restoring) {
        log->snapshot_unstored = true;
        return;
    }
    mw_log_store_all(log);
}

void
mw_log_compact(struct mw_log *log)
{
    replace_applied(log, collect_records(log));
}

void
mw_log_shrink(struct mw_log *log)
{
    GPtrArray *records;

    if (log->applied_index == log->snapshot_index) {
        return;
    }
    records = collect_records(log);
    if (total_size(records) < log->snapshot_bytes + log->applied_bytes) {
        replace_applied(log, records);
    }
    else {
        g_ptr_array_unref(records);
    }
}

void
mw_log_apply_snapshot(struct mw_log *log)
{
    log->output.reset(log->output.opaque);
    note_snapshot_size(log);
    for (guint i = 0; i < log->snapshot_records->len; i++) {
        log->output.apply(log->output.opaque, log->snapshot_index,
                          log->snapshot_records->pdata[i]);
    }
    log->commit_index = log->snapshot_index;
    log->applied_index = log->snapshot_index;
    mw_log_rebuild_config(log);
}

/*
 * A transfer goes on to its end, so that it comes to one however often a
 * newer snapshot is taken.
 */
static bool
is_transfer_outdated(const struct mw_log *log, const struct mw_log_peer *peer)
{
    return peer->snapshot_index < log->snapshot_index &&
           peer->snapshot_offset == 0 && !peer->is_chunk_in_flight;
}

static void
start_snapshot_transfer(struct mw_log *log, struct mw_log_peer *peer)
{
    g_clear_pointer(&peer->snapshot_records, g_ptr_array_unref);
    peer->snapshot_records = g_ptr_array_ref(log->snapshot_records);
    peer->snapshot_index = log->snapshot_index;
    peer->snapshot_term = log->snapshot_term;
    peer->snapshot_config = log->snapshot_config;
    peer->snapshot_offset = 0;
    peer->is_chunk_in_flight = false;
    log->counters.snapshots_sent++;
}

/*
 * Sets the records of the next message, bounded in number and in bytes;
 * returns their number, at least one if any are left.
 */
static uint32_t
fill_chunk(const struct mw_log_peer *peer, struct mw_log_entry *chunk)
{
    const GPtrArray *records = peer->snapshot_records;
    size_t bytes = 0;
    uint32_t n = 0;

    while (peer->snapshot_offset + n < records->len &&
           n < MW_LOG_MSG_RECORDS_MAX) {
        struct mw_record *record = records->pdata[peer->snapshot_offset + n];

        bytes += mw_record_size(record);
        if (n > 0 && bytes > MW_LOG_MSG_BYTES_MAX) {
            break;
        }
        chunk[n++] = (struct mw_log_entry){peer->snapshot_term, record};
    }
    return n;
}

static void
send_part(struct mw_log *log, int64_t now_us, struct mw_log_peer *peer,
          struct mw_log_msg *msg)
{
    msg->kind = MW_LOG_SNAPSHOT;
    msg->index = peer->snapshot_index;
    msg->log_term = peer->snapshot_term;
    msg->commit = log->commit_index;
    msg->total = peer->snapshot_records->len;
    msg->sent_us = now_us;
    mw_log_copy_incarnations(&peer->snapshot_config, msg->config);
    mw_log_send(log, &peer->name, msg);
    peer->probe_deadline_us = now_us + MW_HEARTBEAT_INTERVAL_US;
}

static void
send_chunk(struct mw_log *log, int64_t now_us, struct mw_log_peer *peer)
{
    struct mw_log_entry chunk[MW_LOG_MSG_RECORDS_MAX];
    struct mw_log_msg msg = {
        .offset = peer->snapshot_offset,
        .entry_count = fill_chunk(peer, chunk),
        .entries = chunk,
    };

    send_part(log, now_us, peer, &msg);
    peer->is_chunk_in_flight = true;
    peer->chunk_sent_us = now_us;
}

/*
 * Serves as a heartbeat while a chunk is in flight: without records, so that
 * a slow link is not filled with copies.  The reply says what was received.
 */
static void
send_probe(struct mw_log *log, int64_t now_us, struct mw_log_peer *peer)
{
    struct mw_log_msg msg = {.offset = peer->snapshot_records->len};

    send_part(log, now_us, peer, &msg);
}

void
mw_log_send_snapshot(struct mw_log *log, int64_t now_us, unsigned i)
{
    struct mw_log_peer *peer = &log->peers[i];

    if (!peer->snapshot_records || is_transfer_outdated(log, peer)) {
        start_snapshot_transfer(log, peer);
    }
    if (!peer->is_chunk_in_flight) {
        send_chunk(log, now_us, peer);
    }
    else if (now_us >= peer->probe_deadline_us) {
        send_probe(log, now_us, peer);
    }
}

/* offset is the number of records received so far. */
static void
reply_snapshot(struct mw_log *log, const struct mw_name *from,
               const struct mw_log_msg *msg, uint64_t offset, bool done)
{
    struct mw_log_msg reply = {
        .kind = MW_LOG_SNAPSHOT_REPLY,
        .index = msg->index,
        .offset = offset,
        .ok = done,
        .sent_us = msg->sent_us,
    };

    mw_log_send_after_sync(log, from, &reply);
}

/* Replaces the whole log by the snapshot that has been received. */
static void
install_snapshot(struct mw_log *log, const struct mw_log_msg *msg)
{
    g_array_set_size(log->entries, 0);
    mw_log_clear_retained(log);
    log->snapshot_index = msg->index;
    log->snapshot_term = msg->log_term;
    g_ptr_array_unref(log->snapshot_records);
    log->snapshot_records = g_steal_pointer(&log->incoming_records);
    mw_log_read_snapshot_config(log, msg->config);
    mw_log_mark_unsynced(log, 0);
    log->counters.snapshots_received++;
    mw_log_apply_snapshot(log);
    mw_log_store_all(log);
}

void
mw_log_on_snapshot(struct mw_context *ctx, struct mw_log *log, int64_t now_us,
                   const struct mw_name *from, const struct mw_log_msg *msg)
{
    if (msg->term < log->term) {
        return;
    }
    mw_log_become_follower(ctx, log, now_us, msg->term);
    mw_log_note_leader(log, now_us, from);
    if (mw_log_term_at(log, msg->index) == msg->log_term &&
        msg->index > log->commit_index) {
        /*
         * The log contains the entry already.  Those after it are kept, as
         * they may have been acknowledged.
         */
        mw_log_commit_to(log, msg->index);
    }
    if (msg->index <= log->commit_index) {
        reply_snapshot(log, from, msg, msg->total, true);
        return;
    }
    if (log->incoming_index != msg->index || log->incoming_term != msg->term) {
        g_clear_pointer(&log->incoming_records, g_ptr_array_unref);
        log->incoming_records =
            g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_record);
        log->incoming_index = msg->index;
        log->incoming_term = msg->term;
    }
    if (!log->incoming_records || msg->offset != log->incoming_records->len) {
        reply_snapshot(log, from, msg,
                       log->incoming_records ? log->incoming_records->len : 0,
                       false);
        return;
    }
    for (uint32_t i = 0; i < msg->entry_count; i++) {
        g_ptr_array_add(log->incoming_records,
                        mw_keep_record(msg->entries[i].record));
    }
    uint64_t received = log->incoming_records->len;

    if (received >= msg->total) {
        install_snapshot(log, msg);
        reply_snapshot(log, from, msg, received, true);
        return;
    }
    reply_snapshot(log, from, msg, received, false);
}

/*
 * A chunk is sent again once a later message has been answered and the chunk
 * has not been received, however long it takes.
 */
static void
note_received(struct mw_log_peer *peer, const struct mw_log_msg *msg)
{
    uint64_t received = MIN(msg->offset, peer->snapshot_records->len);

    if (received > peer->snapshot_offset ||
        msg->sent_us >= peer->chunk_sent_us) {
        peer->snapshot_offset = received;
        peer->is_chunk_in_flight = false;
    }
}

void
mw_log_on_snapshot_reply(struct mw_context *ctx, struct mw_log *log,
                         int64_t now_us, struct mw_log_peer *peer,
                         const struct mw_log_msg *msg)
{
    if (log->role != MW_LEADER || msg->term != log->term) {
        return;
    }
    peer->acked_sent_us = MAX(peer->acked_sent_us, msg->sent_us);
    if (msg->ok) {
        if (msg->index >= peer->snapshot_index) {
            g_clear_pointer(&peer->snapshot_records, g_ptr_array_unref);
        }
        mw_log_note_match(log, peer, msg->index);
        mw_log_advance_commit(ctx, log, now_us);
    }
    else if (peer->snapshot_records && msg->index == peer->snapshot_index) {
        note_received(peer, msg);
    }
    mw_log_replicate(log, now_us, (unsigned)(peer - log->peers));
}
