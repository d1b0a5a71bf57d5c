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
