#include <string.h>

#include "pack.h"

static void
pack_intent(struct mw_scratch *scratch, const struct mw_record_intent *intent,
            Mw__Wire__Record *wire)
{
    wire->attempt = mw_pack_attempt(scratch, &intent->attempt);
    wire->n_parts = intent->part_count;
    wire->parts = mw_scratch_alloc(scratch, (intent->part_count + 1) *
                                                sizeof *wire->parts);
    for (uint32_t i = 0; i < intent->part_count; i++) {
        Mw__Wire__Part *part = mw_scratch_alloc(scratch, sizeof *part);

        mw__wire__part__init(part);
        part->endpoint = mw_pack_name(&intent->parts[i].endpoint);
        part->tasks = intent->parts[i].tasks;
        wire->parts[i] = part;
    }
}

/* has_text tells an empty text from none. */
static void
pack_text(Mw__Wire__Record *wire, const struct mw_blob *text)
{
    wire->text = mw_pack_blob(text);
    wire->has_text = text != NULL;
}

Mw__Wire__Record *
mw_pack_record(struct mw_scratch *scratch, const struct mw_record *record)
{
    Mw__Wire__Record *wire = mw_scratch_alloc(scratch, sizeof *wire);

    mw__wire__record__init(wire);
    wire->kind = record->kind;
    switch (record->kind) {
    case MW_RECORD_ADMIT:
        wire->name = mw_pack_name(&record->admit.member);
        wire->number = record->admit.incarnation;
        break;
    case MW_RECORD_DOCUMENT:
        wire->environment = record->document.environment;
        wire->operator_name = mw_pack_name(&record->document.operator);
        pack_text(wire, record->document.document->text);
        break;
    case MW_RECORD_ZONE_STATE:
        wire->out = record->zone_state.out;
        wire->number = record->zone_state.sequence;
        wire->operator_name = mw_pack_name(&record->zone_state.operator);
        break;
    case MW_RECORD_ACCEPT:
        wire->number = record->accept.job;
        wire->spec = mw_pack_spec(scratch, &record->accept.spec, 0);
        /* deadlines are not recorded */
        wire->spec->left_us = 0;
        pack_text(wire, record->accept.body);
        break;
    case MW_RECORD_INTENT:
        pack_intent(scratch, &record->intent, wire);
        break;
    case MW_RECORD_RESULT:
        wire->number = record->result.job;
        wire->error = record->result.error;
        wire->ran = record->result.ran;
        pack_text(wire, record->result.output);
        break;
    case MW_RECORD_HANDOVER:
        wire->key = mw_pack_key(scratch, &record->handover.key);
        wire->number = record->handover.hops;
        wire->name = mw_pack_name(&record->handover.zone);
        break;
    case MW_RECORD_FORGET:
        wire->number = record->forget.job;
        break;
    default:
        mw_pack_flow_record(scratch, record, wire);
        break;
    }
    return wire;
}

static struct mw_blob *
unpack_text(const Mw__Wire__Record *wire)
{
    return wire->has_text ? mw_unpack_blob(wire->text) : NULL;
}

static int
unpack_document(struct mw_context *ctx, const Mw__Wire__Record *wire,
                struct mw_record_document *document)
{
    int err = 0;

    if (wire->environment >= MW_ENVIRONMENTS) {
        return MW_ERR_OUT_OF_RANGE;
    }
    document->environment = (enum mw_environment)wire->environment;
    document->document = mw_parse_document(
        ctx, (struct mw_str){(const char *)wire->text.data, wire->text.len},
        &err);
    return err ? err
               : mw_unpack_name(wire->operator_name, &document->operator);
}

static int
unpack_intent(const Mw__Wire__Record *wire, struct mw_record_intent *intent)
{
    int err = mw_unpack_attempt(wire->attempt, &intent->attempt);

    if (err) {
        return err;
    }
    if (wire->n_parts > MW_TASKS_MAX) {
        return MW_ERR_TOO_LARGE;
    }
    intent->part_count = (uint32_t)wire->n_parts;
    intent->parts = g_new0(struct mw_part, wire->n_parts);
    for (size_t i = 0; i < wire->n_parts && !err; i++) {
        err = mw_unpack_name(wire->parts[i]->endpoint,
                             &intent->parts[i].endpoint);
        intent->parts[i].tasks = wire->parts[i]->tasks;
    }
    return err;
}

static int
unpack_result(const Mw__Wire__Record *wire, struct mw_record_result *result)
{
    if (wire->error > 0 || wire->error <= MW_ERR_LAST || wire->ran > MW_RAN) {
        return MW_ERR_OUT_OF_RANGE;
    }
    result->job = wire->number;
    result->error = wire->error;
    result->ran = (enum mw_execution_status)wire->ran;
    result->output = unpack_text(wire);
    return 0;
}

static int
unpack_fields(struct mw_context *ctx, const Mw__Wire__Record *wire,
              struct mw_record *record)
{
    int err;

    switch (record->kind) {
    case MW_RECORD_ADMIT:
        record->admit.incarnation = wire->number;
        return mw_unpack_name(wire->name, &record->admit.member);
    case MW_RECORD_DOCUMENT:
        return unpack_document(ctx, wire, &record->document);
    case MW_RECORD_ZONE_STATE:
        record->zone_state.out = wire->out;
        record->zone_state.sequence = wire->number;
        return mw_unpack_name(wire->operator_name,
                              &record->zone_state.operator);
    case MW_RECORD_ACCEPT:
        record->accept.job = wire->number;
        record->accept.body = unpack_text(wire);
        return mw_unpack_spec(wire->spec, 0, &record->accept.spec);
    case MW_RECORD_INTENT:
        return unpack_intent(wire, &record->intent);
    case MW_RECORD_RESULT:
        return unpack_result(wire, &record->result);
    case MW_RECORD_HANDOVER:
        record->handover.hops = (uint32_t)wire->number;
        err = mw_unpack_key(wire->key, &record->handover.key);
        return err ? err : mw_unpack_name(wire->name, &record->handover.zone);
    case MW_RECORD_FORGET:
        record->forget.job = wire->number;
        return 0;
    default:
        return mw_unpack_flow_record(ctx, wire, record);
    }
}

struct mw_record *
mw_unpack_record(struct mw_context *ctx, const Mw__Wire__Record *wire)
{
    if (!wire || wire->kind >= MW_RECORD_KIND_COUNT) {
        mw_fail(ctx, MW_ERR_VERSION, "record of an unknown kind");
        return NULL;
    }
    struct mw_record *record = mw_new_record((enum mw_record_kind)wire->kind);

    if (unpack_fields(ctx, wire, record) != 0) {
        mw_drop_record(record);
        return NULL;
    }
    return record;
}

Mw__Wire__Log *
mw_pack_log(struct mw_scratch *scratch, const struct mw_msg_log *log)
{
    const struct mw_log_msg *msg = &log->msg;
    Mw__Wire__Log *wire = mw_scratch_alloc(scratch, sizeof *wire);

    mw__wire__log__init(wire);
    wire->group = log->group;
    wire->kind = msg->kind;
    wire->term = msg->term;
    wire->incarnation = msg->incarnation;
    wire->index = msg->index;
    wire->log_term = msg->log_term;
    wire->commit = msg->commit;
    wire->offset = msg->offset;
    wire->total = msg->total;
    wire->sent_us = msg->sent_us;
    wire->ok = msg->ok;
    wire->early = msg->early;
    if (msg->kind == MW_LOG_SNAPSHOT) {
        wire->n_config = MW_MEMBERS_MAX;
        wire->config = (uint64_t *)msg->config;
    }
    wire->n_entries = msg->entry_count;
    wire->entries = mw_scratch_alloc(scratch, (msg->entry_count + 1) *
                                                  sizeof *wire->entries);
    for (uint32_t i = 0; i < msg->entry_count; i++) {
        Mw__Wire__Entry *entry = mw_scratch_alloc(scratch, sizeof *entry);

        mw__wire__entry__init(entry);
        entry->term = msg->entries[i].term;
        entry->record = mw_pack_record(scratch, msg->entries[i].record);
        wire->entries[i] = entry;
    }
    return wire;
}

int
mw_unpack_log(struct mw_context *ctx, const Mw__Wire__Log *wire,
              struct mw_msg_log *log)
{
    struct mw_log_msg *msg = &log->msg;

    if (wire->group >= MW_GROUPS || wire->kind >= MW_LOG_MSG_KIND_COUNT ||
        wire->n_config > MW_MEMBERS_MAX ||
        wire->n_entries > MW_LOG_MSG_RECORDS_MAX) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                       "log message with a field out of range");
    }
    log->group = (enum mw_group)wire->group;
    msg->kind = (enum mw_log_msg_kind)wire->kind;
    msg->term = wire->term;
    msg->incarnation = wire->incarnation;
    msg->index = wire->index;
    msg->log_term = wire->log_term;
    msg->commit = wire->commit;
    msg->offset = wire->offset;
    msg->total = wire->total;
    msg->sent_us = wire->sent_us;
    msg->ok = wire->ok;
    msg->early = wire->early;
    for (size_t i = 0; i < wire->n_config; i++) {
        msg->config[i] = wire->config[i];
    }
    msg->entries = g_new0(struct mw_log_entry, wire->n_entries);
    for (size_t i = 0; i < wire->n_entries; i++) {
        struct mw_record *record =
            mw_unpack_record(ctx, wire->entries[i]->record);

        if (!record) {
            return MW_ERR_INVALID;
        }
        msg->entries[i].term = wire->entries[i]->term;
        msg->entries[i].record = record;
        msg->entry_count++;
    }
    return 0;
}
