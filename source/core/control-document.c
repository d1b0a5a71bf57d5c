/*
 * control-document: documents from the region's log to each zone's log.
 *
 * A document is in force in a zone once the zone's own log holds it.  News
 * travels by difference: each heartbeat carries the version in force, and
 * whoever is behind is sent the document.
 */
#include "control-impl.h"

static void
set_document(struct mw_control *control, enum mw_environment environment,
             struct mw_document *document, const struct mw_name *operator)
{
    struct mw_region_document *held = &control->documents[environment];

    if (held->document && document->version <= held->document->version) {
        return;
    }
    mw_keep_document(document);
    mw_drop_document(held->document);
    held->document = document;
    held->operator= * operator;
    if (held->proposed && held->proposed->version <= document->version) {
        g_clear_pointer(&held->proposed, mw_drop_document);
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
        struct mw_region_document *held = &control->documents[i];

        g_clear_pointer(&held->document, mw_drop_document);
        g_clear_pointer(&held->proposed, mw_drop_document);
    }
}

void
mw_region_collect(struct mw_control *control, void *out,
                  void (*add)(void *out, struct mw_record *record))
{
    for (int i = 0; i < MW_ENVIRONMENTS; i++) {
        struct mw_region_document *held = &control->documents[i];

        if (!held->document) {
            continue;
        }
        struct mw_record *record = mw_new_record(MW_RECORD_DOCUMENT);

        record->document.environment = (enum mw_environment)i;
        record->document.operator= held->operator;
        record->document.document = mw_keep_document(held->document);
        add(out, record);
        mw_drop_record(record);
    }
}

void
mw_control_propose_zone_document(struct mw_context *ctx,
                                 struct mw_control *control, int64_t now_us)
{
    struct mw_region_document *held = &control->documents[MW_PRODUCTION];
    uint64_t version = mw_zone_version(control->zone);

    if (!held->document || held->document->version <= version ||
        control->zone_proposed_version >= held->document->version) {
        return;
    }
    struct mw_record *record = mw_new_record(MW_RECORD_DOCUMENT);

    record->document.environment = MW_PRODUCTION;
    record->document.operator= held->operator;
    record->document.document = mw_keep_document(held->document);
    if (mw_log_propose(ctx, control->log[MW_GROUP_ZONE], now_us, record,
                       NULL) == 0) {
        control->zone_proposed_version = held->document->version;
    }
    mw_drop_record(record);
}

/* The newest production document known here, from either log. */
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
                               const struct mw_control_peer *process)
{
    bool entry = process->heartbeat.role == MW_ROLE_ENTRY;
    struct mw_document *doc =
        entry ? mw_zone_document(control->zone) : newest_document(control);

    if (!doc || doc->version <= process->heartbeat.version[MW_PRODUCTION]) {
        return;
    }
    struct mw_msg *msg = mw_new_msg(MW_MSG_DOCUMENT);

    msg->document.environment = MW_PRODUCTION;
    msg->document.operator= control->documents[MW_PRODUCTION].operator;
    msg->document.document = mw_keep_document(doc);
    control->counters.documents_sent++;
    control->output.send(control->output.opaque, &process->name, msg);
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
