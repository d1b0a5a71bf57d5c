/*
 * control-change: changes requested by operators.
 *
 * Try and promote are recorded in the region's log, one at a time for each
 * environment; out and in are recorded in the log of the zone that they
 * name.  The answer to a promote waits up to MW_CHANGE_TIMEOUT_US for the
 * zones, and lists those in which the document is not yet in force.
 */
#include <inttypes.h>

#include "control-impl.h"

void
mw_free_change(void *data)
{
    struct mw_pending_change *change = data;

    mw_drop_msg(change->msg);
    g_string_free(change->detail, TRUE);
    g_free(change);
}

static void
send_changed(struct mw_control *control, const struct mw_name *to,
             uint64_t ref, int error, uint64_t version, struct mw_str detail)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_CHANGE_RESULT);

    if (error) {
        control->counters.changes_refused++;
    }
    msg->changed.ref = ref;
    msg->changed.error = error;
    msg->changed.version = version;
    msg->changed.detail = mw_new_blob(detail);
    control->output.send(control->output.opaque, to, msg);
    mw_drop_msg(msg);
}

static void
refuse(struct mw_context *ctx, struct mw_control *control,
       const struct mw_name *to, const struct mw_change *change, int error)
{
    send_changed(control, to, change->ref, error, change->version,
                 mw_detail(ctx));
}

static struct mw_pending_change *
add_pending(struct mw_control *control, int64_t now_us,
            const struct mw_name *from, struct mw_msg *msg)
{
    struct mw_pending_change *pending = g_new0(struct mw_pending_change, 1);

    pending->from = *from;
    pending->msg = mw_keep_msg(msg);
    pending->ref = control->next_ref++;
    pending->detail = g_string_new(NULL);
    pending->deadline_us = now_us + MW_CHANGE_TIMEOUT_US;
    g_ptr_array_add(control->pending_changes, pending);
    return pending;
}

static enum mw_environment
environment_of(const struct mw_change *change)
{
    return change->kind == MW_CHANGE_TRY ? MW_TRIAL : MW_PRODUCTION;
}

/*
 * Whether the document is in force in all of its zones.  The names of the
 * other zones are appended to `missing`.
 */
static bool
is_in_force_in_all_zones(const struct mw_control *control, int64_t now_us,
                         const struct mw_document *doc, GString *missing)
{
    for (uint32_t i = 0; i < doc->zone_count; i++) {
        const struct mw_document_zone *zone = &doc->zones[i];
        bool own = mw_name_equal(&zone->name, &control->zone_name);
        const struct mw_peer *leader =
            mw_zone_leader(control->peers, now_us, &zone->name);
        uint64_t version =
            leader ? leader->heartbeat.version[MW_PRODUCTION] : 0;

        if (own) {
            version = MAX(version, mw_zone_document_version(control->zone));
        }
        if (version < doc->version) {
            g_string_append_printf(missing, "%s%.*s", missing->len ? ", " : "",
                                   MW_FMT(mw_name_str(&zone->name)));
        }
    }
    return missing->len == 0;
}

static bool
answer_promote(struct mw_control *control, int64_t now_us,
               struct mw_pending_change *change, bool timed_out)
{
    const struct mw_document *doc = control->documents[MW_PRODUCTION].document;
    GString *missing = g_string_new(NULL);
    bool done = is_in_force_in_all_zones(control, now_us, doc, missing);

    if (done || timed_out) {
        GString *text = g_string_new(NULL);

        if (done) {
            g_string_append(text, "in force in every zone");
        }
        else {
            g_string_append_printf(text, "recorded; not yet in force in: %s",
                                   missing->str);
        }
        send_changed(control, &change->from, change->msg->change.ref, 0,
                     doc->version, (struct mw_str){text->str, text->len});
        g_string_free(text, TRUE);
    }
    g_string_free(missing, TRUE);
    return done || timed_out;
}

static void
propose_document(struct mw_context *ctx, struct mw_control *control,
                 int64_t now_us, struct mw_pending_change *pending,
                 struct mw_document *document)
{
    const struct mw_change *change = &pending->msg->change;
    enum mw_environment environment = environment_of(change);
    struct mw_region_document *region_doc = &control->documents[environment];
    struct mw_record *record = mw_new_record(MW_RECORD_DOCUMENT);

    record->document.environment = environment;
    record->document.operator= change->operator;
    record->document.document = mw_keep_document(document);
    int err = mw_log_propose(ctx, control->log[MW_GROUP_REGION], now_us,
                             record, NULL);

    mw_drop_record(record);
    if (err) {
        refuse(ctx, control, &pending->from, change, err);
        g_ptr_array_remove(control->pending_changes, pending);
        return;
    }
    mw_drop_document(region_doc->proposed);
    region_doc->proposed = mw_keep_document(document);
    region_doc->proposed_operator = change->operator;
    pending->proposed = true;
    pending->deadline_us = now_us + MW_CHANGE_TIMEOUT_US;
}

static int
fail_conflict(struct mw_context *ctx, uint64_t version,
              const struct mw_name *operator)
{
    return mw_fail(ctx, MW_ERR_CONFLICT,
                   "version %" PRIu64 " was set by %.*s with another text",
                   version, MW_FMT(mw_name_str(operator)));
}

/* Returns 0 for a new change, 1 for a resend, or an error. */
static int
check_try(struct mw_context *ctx, struct mw_control *control,
          const struct mw_change *change)
{
    const struct mw_region_document *region_doc =
        &control->documents[MW_TRIAL];
    const struct mw_document *current =
        region_doc->proposed ? region_doc->proposed : region_doc->document;
    const struct mw_name *operator= region_doc->proposed
        ? &region_doc->proposed_operator
        : & region_doc->operator;
    int err = mw_check_document(ctx, change->document);

    if (err) {
        return err;
    }
    err = mw_check_next_version(ctx, current, change->document);
    if (err == MW_ERR_CONFLICT && current &&
        current->version == change->document->version) {
        return fail_conflict(ctx, current->version, operator);
    }
    return err;
}

/*
 * Proposes the document after the guarantee checks.  Another document with
 * the same version may have been proposed since the change was received, so
 * the version is checked again.
 */
static void
finish_try(struct mw_context *ctx, struct mw_control *control, int64_t now_us,
           struct mw_pending_change *pending)
{
    int err = check_try(ctx, control, &pending->msg->change);

    if (err < 0) {
        refuse(ctx, control, &pending->from, &pending->msg->change, err);
        g_ptr_array_remove(control->pending_changes, pending);
    }
    else if (err == 1) {
        pending->proposed = true;
    }
    else {
        propose_document(ctx, control, now_us, pending,
                         pending->msg->change.document);
    }
}

static void
request_guarantee_checks(struct mw_control *control,
                         struct mw_pending_change *pending)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_GUARANTEE_CHECK);

    msg->judge.ref = pending->ref;
    msg->judge.document = mw_keep_document(pending->msg->change.document);
    control->output.send_all(control->output.opaque, MW_ROLE_CONTROL, msg);
    control->output.send(control->output.opaque, &control->name, msg);
    mw_drop_msg(msg);
}

static void
receive_try(struct mw_context *ctx, struct mw_control *control, int64_t now_us,
            const struct mw_name *from, struct mw_msg *msg)
{
    int err = check_try(ctx, control, &msg->change);

    if (err < 0) {
        refuse(ctx, control, from, &msg->change, err);
        return;
    }
    struct mw_pending_change *pending =
        add_pending(control, now_us, from, msg);

    control->counters.changes_resent += err == 1;
    pending->deadline_us = now_us + MW_HEARTBEAT_INTERVAL_US * 10;
    request_guarantee_checks(control, pending);
}

static int
check_promote(struct mw_context *ctx, struct mw_control *control,
              const struct mw_change *change)
{
    const struct mw_region_document *region_doc =
        &control->documents[MW_PRODUCTION];
    const struct mw_document *current =
        region_doc->proposed ? region_doc->proposed : region_doc->document;
    const struct mw_document *trial = control->documents[MW_TRIAL].document;

    if (current && current->version == change->version) {
        return 1;
    }
    if (current && change->version < current->version) {
        return mw_fail(ctx, MW_ERR_CONFLICT,
                       "version %" PRIu64 " is in force in production",
                       current->version);
    }
    if (!trial || trial->version != change->version) {
        return mw_fail(ctx, MW_ERR_NOT_TRIED,
                       "version %" PRIu64 " is in trial, not %" PRIu64,
                       trial ? trial->version : 0, change->version);
    }
    return 0;
}

static void
receive_promote(struct mw_context *ctx, struct mw_control *control,
                int64_t now_us, const struct mw_name *from, struct mw_msg *msg)
{
    int err = check_promote(ctx, control, &msg->change);

    if (err < 0) {
        refuse(ctx, control, from, &msg->change, err);
        return;
    }
    struct mw_pending_change *pending =
        add_pending(control, now_us, from, msg);

    if (err == 1) {
        control->counters.changes_resent++;
        pending->proposed = true;
        return;
    }
    propose_document(ctx, control, now_us, pending,
                     control->documents[MW_TRIAL].document);
}

static void
answer_zone(struct mw_control *control, const struct mw_name *to,
            const struct mw_change *change, uint64_t sequence)
{
    char text[160];
    int len = g_snprintf(text, sizeof text,
                         "zone %.*s is %s, recorded in the zone as change "
                         "%" PRIu64,
                         MW_FMT(mw_name_str(&change->zone)),
                         change->out ? "out" : "in", sequence);

    send_changed(control, to, change->ref, 0, sequence,
                 (struct mw_str){text, (size_t)len});
}

/*
 * Whether the change waited in a connection or a process, and one that says
 * the opposite has been recorded since it was received.
 */
static bool
is_outdated(const struct mw_control *control, const struct mw_change *change)
{
    return change->out != mw_zone_is_out_of_service(control->zone) &&
           change->known_sequence < control->zone_sequence;
}

static void
receive_zone(struct mw_context *ctx, struct mw_control *control,
             int64_t now_us, const struct mw_name *from, struct mw_msg *msg)
{
    const struct mw_change *change = &msg->change;
    struct mw_log *log = control->log[MW_GROUP_ZONE];
    struct mw_log_status view;

    mw_log_get_status(log, &view);
    if (!mw_name_equal(&change->zone, &control->zone_name)) {
        int err = mw_fail(ctx, MW_ERR_NOT_OWNER, "this is zone %.*s",
                          MW_FMT(mw_name_str(&control->zone_name)));
        refuse(ctx, control, from, change, err);
        return;
    }
    if (view.disk_voter_count == 0) {
        int err = mw_fail(ctx, MW_ERR_NO_QUORUM,
                          "the zone's log has no voter with a disk");
        refuse(ctx, control, from, change, err);
        return;
    }
    if (is_outdated(control, change)) {
        refuse(ctx, control, from, change, MW_ERR_OUTDATED);
        return;
    }
    bool is_applied =
        control->zone_proposed_sequence <= control->zone_sequence;

    if (is_applied && control->zone_sequence > 0 &&
        mw_zone_is_out_of_service(control->zone) == change->out) {
        control->counters.changes_resent++;
        answer_zone(control, from, change, control->zone_sequence);
        return;
    }
    struct mw_record *record = mw_new_record(MW_RECORD_ZONE_STATE);
    uint64_t sequence =
        MAX(control->zone_sequence, control->zone_proposed_sequence) + 1;

    record->zone_state.out = change->out;
    record->zone_state.sequence = sequence;
    record->zone_state.operator= change->operator;
    int err = mw_log_propose(ctx, log, now_us, record, NULL);

    mw_drop_record(record);
    if (err) {
        refuse(ctx, control, from, change, err);
        return;
    }
    control->zone_proposed_sequence = sequence;
    struct mw_pending_change *pending =
        add_pending(control, now_us, from, msg);

    pending->sequence = sequence;
}

void
mw_change_receive(struct mw_context *ctx, struct mw_control *control,
                  int64_t now_us, const struct mw_name *from,
                  struct mw_msg *msg)
{
    const struct mw_change *change = &msg->change;
    bool zone = change->kind == MW_CHANGE_ZONE;
    enum mw_group group = zone ? MW_GROUP_ZONE : MW_GROUP_REGION;

    control->counters.changes++;
    ctx->detail_len = 0;
    if (!mw_control_is_leader(control, group, now_us)) {
        refuse(ctx, control, from, change, MW_ERR_NOT_LEADER);
        return;
    }
    if (zone) {
        receive_zone(ctx, control, now_us, from, msg);
    }
    else if (change->kind == MW_CHANGE_TRY) {
        receive_try(ctx, control, now_us, from, msg);
    }
    else {
        receive_promote(ctx, control, now_us, from, msg);
    }
}

static struct mw_pending_change *
find_pending(struct mw_control *control, uint64_t ref)
{
    for (guint i = 0; i < control->pending_changes->len; i++) {
        struct mw_pending_change *change = control->pending_changes->pdata[i];

        if (change->ref == ref) {
            return change;
        }
    }
    return NULL;
}

void
mw_change_guarantees_checked(struct mw_context *ctx,
                             struct mw_control *control, int64_t now_us,
                             const struct mw_guarantee_check_result *judged)
{
    struct mw_pending_change *pending = find_pending(control, judged->ref);

    if (!pending || pending->proposed) {
        return;
    }
    const struct mw_change *change = &pending->msg->change;

    if (judged->error) {
        send_changed(control, &pending->from, change->ref, judged->error,
                     change->document->version, mw_blob_str(judged->detail));
        g_ptr_array_remove(control->pending_changes, pending);
        return;
    }
    pending->checked_zone_count++;
    g_string_append_printf(pending->detail, "%szone %.*s: %.*s",
                           pending->detail->len ? "; " : "",
                           MW_FMT(mw_name_str(&judged->zone)),
                           MW_FMT(mw_blob_str(judged->detail)));
    if (pending->checked_zone_count >= change->document->zone_count) {
        finish_try(ctx, control, now_us, pending);
    }
}

static void
answer_try(struct mw_control *control, struct mw_pending_change *pending)
{
    const struct mw_change *change = &pending->msg->change;
    uint32_t zones = change->document->zone_count;

    if (pending->checked_zone_count < zones) {
        g_string_append_printf(pending->detail,
                               "%s%u of %u zones did not report whether "
                               "guarantees fit",
                               pending->detail->len ? "; " : "",
                               zones - pending->checked_zone_count, zones);
    }
    send_changed(control, &pending->from, change->ref, 0,
                 change->document->version,
                 (struct mw_str){pending->detail->str, pending->detail->len});
}

/* Returns whether the change has been answered. */
static bool
tick_change(struct mw_context *ctx, struct mw_control *control, int64_t now_us,
            struct mw_pending_change *pending)
{
    const struct mw_change *change = &pending->msg->change;
    bool timed_out = now_us >= pending->deadline_us;
    const struct mw_document *applied =
        change->kind == MW_CHANGE_ZONE
            ? NULL
            : control->documents[environment_of(change)].document;

    if (change->kind == MW_CHANGE_ZONE) {
        if (control->zone_sequence >= pending->sequence) {
            answer_zone(control, &pending->from, change, pending->sequence);
            return true;
        }
    }
    else if (pending->proposed && applied &&
             applied->version >= (change->kind == MW_CHANGE_TRY
                                      ? change->document->version
                                      : change->version)) {
        if (change->kind == MW_CHANGE_TRY) {
            answer_try(control, pending);
            return true;
        }
        return answer_promote(control, now_us, pending, timed_out);
    }
    else if (timed_out && !pending->proposed) {
        finish_try(ctx, control, now_us, pending);
        return false;
    }
    if (timed_out) {
        ctx->detail_len = 0;
        refuse(ctx, control, &pending->from, change, MW_ERR_PENDING);
    }
    return timed_out;
}

void
mw_change_tick(struct mw_context *ctx, struct mw_control *control,
               int64_t now_us)
{
    for (guint i = control->pending_changes->len; i > 0; i--) {
        struct mw_pending_change *pending;

        if (i > control->pending_changes->len) {
            continue;
        }
        pending = control->pending_changes->pdata[i - 1];
        if (tick_change(ctx, control, now_us, pending)) {
            g_ptr_array_remove(control->pending_changes, pending);
        }
    }
}

void
mw_change_applied(struct mw_control *control, int64_t now_us,
                  const struct mw_record *record)
{
    (void)now_us;
    if (record->kind == MW_RECORD_ZONE_STATE) {
        control->zone_sequence =
            MAX(control->zone_sequence, record->zone_state.sequence);
    }
}

void
mw_change_leadership_lost(struct mw_control *control, enum mw_group group)
{
    for (guint i = control->pending_changes->len; i > 0; i--) {
        struct mw_pending_change *pending =
            control->pending_changes->pdata[i - 1];
        bool zone = pending->msg->change.kind == MW_CHANGE_ZONE;

        if (zone != (group == MW_GROUP_ZONE)) {
            continue;
        }
        send_changed(control, &pending->from, pending->msg->change.ref,
                     MW_ERR_NOT_LEADER, 0, MW_STR(""));
        g_ptr_array_remove(control->pending_changes, pending);
    }
    if (group == MW_GROUP_REGION) {
        for (int i = 0; i < MW_ENVIRONMENTS; i++) {
            g_clear_pointer(&control->documents[i].proposed, mw_drop_document);
        }
        return;
    }
    control->zone_proposed_version = 0;
    control->zone_proposed_sequence = 0;
}
