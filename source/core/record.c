#include "mimosawind/record.h"

#include <glib.h>

struct mw_record *
mw_new_record(enum mw_record_kind kind)
{
    struct mw_record *record = g_new0(struct mw_record, 1);

    record->refs = 1;
    record->kind = kind;
    return record;
}

struct mw_record *
mw_keep_record(struct mw_record *record)
{
    if (record) {
        g_atomic_int_inc(&record->refs);
    }
    return record;
}

static size_t
tasks_size(const struct mw_record_tasks *tasks)
{
    size_t size = tasks->count * sizeof *tasks->entries;

    for (uint32_t i = 0; i < tasks->count; i++) {
        size += mw_blob_str(tasks->entries[i].checkpoint).len;
    }
    return size;
}

size_t
mw_record_size(const struct mw_record *record)
{
    switch (record->kind) {
    case MW_RECORD_DOCUMENT:
        return sizeof *record +
               mw_blob_str(record->document.document->text).len;
    case MW_RECORD_ACCEPT:
        return sizeof *record + mw_blob_str(record->accept.body).len;
    case MW_RECORD_INTENT:
        return sizeof *record +
               record->intent.part_count * sizeof *record->intent.parts;
    case MW_RECORD_RESULT:
        return sizeof *record + mw_blob_str(record->result.output).len;
    case MW_RECORD_CONFIG:
        return sizeof *record + mw_blob_str(record->config.text).len;
    case MW_RECORD_FLOW:
        return sizeof *record + mw_blob_str(record->flow.plan).len;
    case MW_RECORD_TASKS:
        return sizeof *record + tasks_size(&record->tasks);
    case MW_RECORD_ENDPOINT:
        return sizeof *record + sizeof *record->endpoint.heartbeat;
    default:
        return sizeof *record;
    }
}

static void
drop_tasks(struct mw_record_tasks *tasks)
{
    for (uint32_t i = 0; i < tasks->count; i++) {
        mw_drop_blob(tasks->entries[i].checkpoint);
    }
    g_free(tasks->entries);
}

void
mw_drop_record(struct mw_record *record)
{
    if (!record || !g_atomic_int_dec_and_test(&record->refs)) {
        return;
    }
    switch (record->kind) {
    case MW_RECORD_DOCUMENT:
        mw_drop_document(record->document.document);
        break;
    case MW_RECORD_ACCEPT:
        mw_drop_blob(record->accept.body);
        break;
    case MW_RECORD_INTENT:
        g_free(record->intent.parts);
        break;
    case MW_RECORD_RESULT:
        mw_drop_blob(record->result.output);
        break;
    case MW_RECORD_CONFIG:
        mw_drop_blob(record->config.text);
        break;
    case MW_RECORD_FLOW:
        mw_drop_blob(record->flow.plan);
        break;
    case MW_RECORD_TASKS:
        drop_tasks(&record->tasks);
        break;
    case MW_RECORD_ENDPOINT:
        g_free(record->endpoint.heartbeat);
        break;
    default:
        break;
    }
    g_free(record);
}
