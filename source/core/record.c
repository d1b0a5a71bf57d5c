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
    default:
        break;
    }
    g_free(record);
}
