/*
 * log-retain: entries that a snapshot has replaced, kept to be sent.
 */
#include "log-impl.h"

uint64_t
mw_log_first_index(const struct mw_log *log)
{
    return log->snapshot_index + 1 - log->retained->len;
}

bool
mw_log_has_entries_from(const struct mw_log *log, uint64_t index)
{
    /* the term of the entry before is needed, too */
    return index > MIN(log->snapshot_index, mw_log_first_index(log));
}

void
mw_log_retain_applied(struct mw_log *log)
{
    for (uint64_t index = log->snapshot_index + 1; index <= log->applied_index;
         index++) {
        struct mw_log_entry entry = *mw_log_entry_at(log, index);

        mw_keep_record(entry.record);
        g_array_append_val(log->retained, entry);
        log->retained_bytes += mw_record_size(entry.record);
    }
}

void
mw_log_trim_retained(struct mw_log *log)
{
    guint count = 0;

    while (log->retained_bytes > log->snapshot_bytes) {
        const struct mw_log_entry *entry =
            &g_array_index(log->retained, struct mw_log_entry, count);

        log->retained_bytes -= mw_record_size(entry->record);
        count++;
    }
    g_array_remove_range(log->retained, 0, count);
}

void
mw_log_clear_retained(struct mw_log *log)
{
    g_array_set_size(log->retained, 0);
    log->retained_bytes = 0;
}
