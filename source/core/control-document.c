/*
 * control-document: distributes documents from the region's log to the zones.
 *
 * A document is in force in a zone once it is committed in the zone's own
 * log.  Heartbeats contain the version in force; a process that reports an
 * older version than the newest one known here is sent the document.
 */
#include "control-impl.h"

static void
set_document(struct mw_control *control, enum mw_environment environment,
             struct mw_document *document, const struct mw_name *operator)
{
    struct mw_region_document *current = &control->documents[environment];

    if (current->document && document->version <= current->document->version) {
        return;
    }
    mw_keep_document(document);
    mw_drop_document(current->document);
    current->document = document;
    current->operator= * operator;
    if (current->proposed && current->proposed->version <= document->version) {
        g_clear_pointer(&current->proposed, mw_drop_document);
    }
}

void
mw_region_apply(struct mw_control *control, int64_t now_us,
                struct mw_record *record)
{
    if (record->kind != MW_RECORD_DOCUMENT) {
        return;
    }
    set_document(control, record->document.environment,
                 record->document.document, &record->document.operator);
    mw_change_applied(control, now_us, record);
}

void
mw_region_reset(struct mw_control *control)
{
    for (int i = 0; i < MW_ENVIRONMENTS; i++) {
        struct mw_region_document *current = &control->documents[i];

        g_clear_pointer(&current->document, mw_drop_document);
        g_clear_pointer(&current->proposed, mw_drop_document);
    }
}

void
mw_region_collect(struct mw_control *control, void *out,
                  void (*add)(void *out, struct mw_record *record))
{
    for (int i = 0; i < MW_ENVIRONMENTS; i++) {
        struct mw_region_document *current = &control->documents[i];

        if (!current->document) {
            continue;
        }
        struct mw_record *record = mw_new_record(MW_RECORD_DOCUMENT);

        record->document.environment = (enum mw_environment)i;
        record->document.operator= current->operator;
        record->document.document = mw_keep_document(current->document);
        add(out, record);
        mw_drop_record(record);
    }
}

void
mw_control_propose_zone_document(struct mw_context *ctx,
                                 struct mw_control *control, int64_t now_us)
{
    struct mw_region_document *current = &control->documents[MW_PRODUCTION];
    uint64_t version = mw_zone_document_version(control->zone);

    if (!current->document || current->document->version <= version ||
        control->zone_proposed_version >= current->document->version) {
        return;
    }
    struct mw_record *record = mw_new_record(MW_RECORD_DOCUMENT);

    record->document.environment = MW_PRODUCTION;
    record->document.operator= current->operator;
    record->document.document = mw_keep_document(current->document);
    if (mw_log_propose(ctx, control->log[MW_GROUP_ZONE], now_us, record,
                       NULL) == 0) {
        control->zone_proposed_version = current->document->version;
    }
    mw_drop_record(record);
}

/* Returns the newer production document of the two logs, borrowed. */
static struct mw_document *
newest_document(const struct mw_control *control)
{
    struct mw_document *region = control->documents[MW_PRODUCTION].document;
    struct mw_document *zone = mw_zone_document(control->zone);

    if (!region || (zone && zone->version > region->version)) {
        return zone;
    }
    return region;
}

void
mw_control_send_newer_document(struct mw_control *control,
                               const struct mw_peer *peer)
{
    bool is_entry = peer->heartbeat.role == MW_ROLE_ENTRY;
    struct mw_document *doc =
        is_entry ? mw_zone_document(control->zone) : newest_document(control);

    if (!doc || doc->version <= peer->heartbeat.version[MW_PRODUCTION]) {
        return;
    }
    struct mw_msg *msg = mw_new_msg(MW_MSG_DOCUMENT);

    msg->document.environment = MW_PRODUCTION;
    msg->document.operator= control->documents[MW_PRODUCTION].operator;
    msg->document.document = mw_keep_document(doc);
    control->counters.documents_sent++;
    control->output.send(control->output.opaque, &peer->name, msg);
    mw_drop_msg(msg);
}

void
mw_control_receive_document(struct mw_control *control,
                            const struct mw_msg_document *document)
{
    if (document->environment == MW_PRODUCTION && document->document) {
        set_document(control, MW_PRODUCTION, document->document,
                     &document->operator);
    }
}
