/*
 * control: handles events and does the work that is due after each of them.
 */
#include "control-impl.h"

static void
send_log(struct mw_control *control, enum mw_group group,
         const struct mw_name *to, const struct mw_log_msg *log_msg)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_LOG);

    msg->log.group = group;
    mw_log_msg_copy(&msg->log.msg, log_msg);
    control->output.send(control->output.opaque, to, msg);
    mw_drop_msg(msg);
}

static void
region_send(void *opaque, const struct mw_name *to,
            const struct mw_log_msg *msg)
{
    send_log(opaque, MW_GROUP_REGION, to, msg);
}

static void
zone_send(void *opaque, const struct mw_name *to, const struct mw_log_msg *msg)
{
    send_log(opaque, MW_GROUP_ZONE, to, msg);
}

static void
region_store(void *opaque, const struct mw_stored_item *item)
{
    struct mw_control *control = opaque;

    control->output.store(control->output.opaque, MW_GROUP_REGION, item);
}

static void
zone_store(void *opaque, const struct mw_stored_item *item)
{
    struct mw_control *control = opaque;

    control->output.store(control->output.opaque, MW_GROUP_ZONE, item);
}

static void
region_apply(void *opaque, uint64_t index, struct mw_record *record)
{
    struct mw_control *control = opaque;

    (void)index;
    mw_region_apply(control, control->now_us, record);
}

static void
zone_apply(void *opaque, uint64_t index, struct mw_record *record)
{
    struct mw_control *control = opaque;

    (void)index;
    if (control->zone_leadership == MW_LEAD_UNRECORDED) {
        /* the log commits again: restart the scheduler from the records */
        control->zone_leadership = MW_LEAD_NONE;
        mw_zone_set_leadership(control->ctx, control->zone, control->now_us,
                               MW_LEAD_NONE, 0);
    }
    mw_zone_apply(control->ctx, control->zone, control->now_us, record);
    mw_change_applied(control, control->now_us, record);
}

static void
region_reset(void *opaque)
{
    mw_region_reset(opaque);
}

static void
zone_reset(void *opaque)
{
    struct mw_control *control = opaque;

    mw_zone_reset(control->zone);
    control->zone_sequence = 0;
}

static void
region_collect(void *opaque, void *out,
               void (*add)(void *out, struct mw_record *record))
{
    mw_region_collect(opaque, out, add);
}

static void
zone_collect(void *opaque, void *out,
             void (*add)(void *out, struct mw_record *record))
{
    struct mw_control *control = opaque;

    mw_zone_snapshot(control->zone, out, add);
}

static struct mw_log *
new_log(const struct mw_control_setup *setup, struct mw_control *control,
        enum mw_group group)
{
    static const struct mw_log_output outputs[MW_GROUPS] = {
        {NULL, region_send, region_store, region_apply, region_reset,
         region_collect},
        {NULL, zone_send, zone_store, zone_apply, zone_reset, zone_collect},
    };
    struct mw_log_setup log = {
        .group = mw_name_of(group == MW_GROUP_REGION ? MW_STR("region")
                                                     : MW_STR("zone")),
        .self = setup->name,
        .member_count = setup->member_count[group],
        .incarnation = setup->incarnation[group],
        .compact_after = setup->compact_after,
        .compact_bytes = MW_LOG_COMPACT_BYTES,
        .seed = setup->seed + group,
        .now_us = setup->now_us,
        .output = outputs[group],
    };

    for (uint32_t i = 0; i < log.member_count; i++) {
        log.members[i] = setup->members[group][i];
    }
    log.output.opaque = control;
    return mw_new_log(&log);
}

struct mw_control *
mw_new_control(const struct mw_control_setup *setup)
{
    struct mw_control *control = g_new0(struct mw_control, 1);
    struct mw_zone_output output = mw_control_zone_output(control);

    control->name = setup->name;
    control->zone_name = setup->zone;
    control->output = setup->output;
    control->now_us = setup->now_us;
    control->next_ref = setup->first_ref;
    control->peers = mw_new_peers();
    control->pending_changes = g_ptr_array_new_with_free_func(mw_free_change);
    control->zone = mw_new_zone(&setup->zone, &output);
    for (int group = 0; group < MW_GROUPS; group++) {
        if (setup->member_count[group] > 0) {
            control->log[group] =
                new_log(setup, control, (enum mw_group)group);
        }
    }
    return control;
}

void
mw_drop_control(struct mw_control *control)
{
    if (!control) {
        return;
    }
    mw_region_reset(control);
    g_ptr_array_unref(control->pending_changes);
    g_hash_table_unref(control->peers);
    mw_drop_zone(control->zone);
    for (int group = 0; group < MW_GROUPS; group++) {
        mw_drop_log(control->log[group]);
    }
    g_free(control);
}

static void
begin_call(struct mw_control *control, struct mw_context *ctx, int64_t now_us)
{
    control->ctx = ctx;
    control->now_us = now_us;
}

int
mw_control_restore(struct mw_context *ctx, struct mw_control *control,
                   enum mw_group group, const struct mw_stored_item *item)
{
    begin_call(control, ctx, control->now_us);
    if (!control->log[group]) {
        return 0;
    }
    return mw_log_restore(ctx, control->log[group], item);
}

bool
mw_control_is_leader(const struct mw_control *control, enum mw_group group,
                     int64_t now_us)
{
    return control->log[group] &&
           mw_log_is_ready_leader(control->log[group], now_us);
}

static void
check_guarantees(struct mw_context *ctx, struct mw_control *control,
                 int64_t now_us, const struct mw_name *from,
                 const struct mw_guarantee_check *request)
{
    struct mw_msg *msg;

    if (!mw_control_is_leader(control, MW_GROUP_ZONE, now_us) ||
        !mw_find_document_zone(request->document, &control->zone_name)) {
        return;
    }
    control->counters.judged++;
    msg = mw_new_msg(MW_MSG_GUARANTEE_CHECK_RESULT);
    msg->judged.ref = request->ref;
    msg->judged.zone = control->zone_name;
    msg->judged.error =
        mw_zone_check_guarantees(ctx, control->zone, request->document);
    msg->judged.detail = mw_new_blob(
        msg->judged.error ? mw_detail(ctx)
                          : MW_STR("guarantees fit; not available while the "
                                   "zone is out of service"));
    control->output.send(control->output.opaque, from, msg);
    mw_drop_msg(msg);
}

static struct mw_waiter
waiter_of(const struct mw_name *from, uint64_t ref,
          const struct mw_job_key *key, bool until_done)
{
    return (struct mw_waiter){
        .process = *from, .ref = ref, .key = *key, .until_done = until_done};
}

/*
 * A control process gets answers only to submissions that it handed over to
 * another zone.  A zone that has the job, or has handed it over in turn, has
 * accepted it.
 */
static void
receive_handover_answer(struct mw_context *ctx, struct mw_control *control,
                        int64_t now_us, const struct mw_msg_answer *answer)
{
    bool from_leader = answer->error != MW_ERR_NOT_LEADER;
    bool accepted = from_leader && (answer->error == 0 || answer->job != 0);

    if (!accepted && (!from_leader || answer->ran != MW_NOT_RUN)) {
        /* neither accepted nor refused: the handover is sent again */
        return;
    }
    mw_zone_handover_answered(ctx, control->zone, now_us, &answer->key,
                              answer->ref, accepted);
}

static void
receive_zone_msg(struct mw_context *ctx, struct mw_control *control,
                 int64_t now_us, const struct mw_name *from,
                 struct mw_msg *msg)
{
    struct mw_waiter waiter;

    switch (msg->kind) {
    case MW_MSG_SUBMIT:
        waiter = waiter_of(from, msg->submit.ref, &msg->submit.spec.key,
                           msg->submit.spec.wait);
        mw_zone_submit(ctx, control->zone, now_us, &msg->submit.spec,
                       msg->submit.body, &waiter);
        break;
    case MW_MSG_QUERY:
        waiter = waiter_of(from, msg->query.ref, &msg->query.key,
                           msg->query.until_done);
        if (msg->query.cancel) {
            mw_zone_cancel(ctx, control->zone, now_us, &msg->query.key,
                           &waiter);
        }
        else {
            mw_zone_query(ctx, control->zone, now_us, &msg->query.key,
                          &waiter);
        }
        break;
    case MW_MSG_ANSWER:
        receive_handover_answer(ctx, control, now_us, &msg->answer);
        break;
    case MW_MSG_ANNOUNCE:
        msg->announce.relay = *from;
        mw_zone_announce(ctx, control->zone, now_us, &msg->announce);
        break;
    case MW_MSG_REPORT:
        mw_zone_report(ctx, control->zone, now_us, &msg->report);
        break;
    default:
        break;
    }
}

static enum mw_lead_scope
zone_leadership(const struct mw_control *control, int64_t now_us)
{
    const struct mw_log *log = control->log[MW_GROUP_ZONE];

    if (mw_log_is_ready_leader(log, now_us)) {
        return MW_LEAD_ALL;
    }
    return mw_log_holds_lease(log, now_us) ? MW_LEAD_UNRECORDED : MW_LEAD_NONE;
}

static void
update_zone_leadership(struct mw_context *ctx, struct mw_control *control,
                       int64_t now_us)
{
    enum mw_lead_scope lead = zone_leadership(control, now_us);
    struct mw_log_status view;

    mw_log_get_status(control->log[MW_GROUP_ZONE], &view);
    if (lead != control->zone_leadership) {
        control->zone_leadership = lead;
        control->heartbeat_deadline_us = now_us;
        mw_zone_set_leadership(ctx, control->zone, now_us, MW_LEAD_NONE, 0);
        if (lead != MW_LEAD_ALL) {
            mw_change_leadership_lost(control, MW_GROUP_ZONE);
        }
    }
    mw_zone_set_leadership(ctx, control->zone, now_us, lead,
                           lead == MW_LEAD_NONE ? 0 : view.term);
}

static void
update_leadership(struct mw_context *ctx, struct mw_control *control,
                  int64_t now_us)
{
    bool region = mw_control_is_leader(control, MW_GROUP_REGION, now_us);

    update_zone_leadership(ctx, control, now_us);
    if (region != control->is_region_leader) {
        control->is_region_leader = region;
        control->heartbeat_deadline_us = now_us;
        if (!region) {
            mw_change_leadership_lost(control, MW_GROUP_REGION);
        }
    }
}

static void
do_due_work(struct mw_context *ctx, struct mw_control *control, int64_t now_us)
{
    for (int group = 0; group < MW_GROUPS; group++) {
        struct mw_log *log = control->log[group];

        if (log && now_us >= mw_log_deadline(log)) {
            mw_log_tick(ctx, log, now_us);
        }
    }
    update_leadership(ctx, control, now_us);
    if (control->zone_leadership == MW_LEAD_ALL) {
        mw_control_propose_zone_document(ctx, control, now_us);
    }
    mw_zone_tick(ctx, control->zone, now_us);
    if (control->pending_changes->len > 0) {
        mw_change_tick(ctx, control, now_us);
    }
    if (now_us >= control->heartbeat_deadline_us) {
        mw_control_send_heartbeats(control, now_us);
    }
    for (int group = 0; group < MW_GROUPS; group++) {
        struct mw_log *log = control->log[group];

        if (log && mw_log_deadline(log) == 0) {
            mw_log_flush(log, now_us);
        }
    }
}

void
mw_control_receive(struct mw_context *ctx, struct mw_control *control,
                   int64_t now_us, const struct mw_name *from,
                   struct mw_msg *msg)
{
    struct mw_log *log;

    begin_call(control, ctx, now_us);
    control->counters.messages++;
    update_leadership(ctx, control, now_us);
    switch (msg->kind) {
    case MW_MSG_HEARTBEAT:
        mw_control_send_newer_document(
            control,
            mw_update_peer(control->peers, now_us, from, &msg->heartbeat));
        break;
    case MW_MSG_LOG:
        log = msg->log.group < MW_GROUPS ? control->log[msg->log.group] : NULL;
        if (log) {
            mw_log_receive(ctx, log, now_us, from, &msg->log.msg);
        }
        break;
    case MW_MSG_CHANGE:
        mw_change_receive(ctx, control, now_us, from, msg);
        break;
    case MW_MSG_GUARANTEE_CHECK:
        check_guarantees(ctx, control, now_us, from, &msg->judge);
        break;
    case MW_MSG_GUARANTEE_CHECK_RESULT:
        mw_change_guarantees_checked(ctx, control, now_us, &msg->judged);
        break;
    case MW_MSG_DOCUMENT:
        mw_control_receive_document(control, &msg->document);
        break;
    default:
        receive_zone_msg(ctx, control, now_us, from, msg);
        break;
    }
    do_due_work(ctx, control, now_us);
}

void
mw_control_set_writable(struct mw_context *ctx, struct mw_control *control,
                        int64_t now_us, bool writable)
{
    for (int group = 0; group < MW_GROUPS; group++) {
        if (control->log[group]) {
            mw_log_set_writable(ctx, control->log[group], now_us, writable);
        }
    }
}

void
mw_control_synced(struct mw_context *ctx, struct mw_control *control,
                  int64_t now_us, enum mw_group group, uint64_t sequence)
{
    begin_call(control, ctx, now_us);
    mw_log_synced(ctx, control->log[group], now_us, sequence);
    do_due_work(ctx, control, now_us);
}

void
mw_control_tick(struct mw_context *ctx, struct mw_control *control,
                int64_t now_us)
{
    begin_call(control, ctx, now_us);
    do_due_work(ctx, control, now_us);
}

int64_t
mw_control_deadline(const struct mw_control *control)
{
    int64_t deadline =
        MIN(control->heartbeat_deadline_us, mw_zone_deadline(control->zone));

    for (int group = 0; group < MW_GROUPS; group++) {
        if (control->log[group]) {
            deadline = MIN(deadline, mw_log_deadline(control->log[group]));
        }
    }
    return deadline;
}

void
mw_control_leave(struct mw_context *ctx, struct mw_control *control,
                 int64_t now_us)
{
    begin_call(control, ctx, now_us);
    if (!control->leaving) {
        control->leaving = true;
        control->drain_deadline_us = now_us + MW_DRAIN_TIMEOUT_US;
        mw_zone_drain(control->zone);
    }
    if (now_us < control->drain_deadline_us &&
        mw_zone_count_awaited_jobs(control->zone) > 0) {
        do_due_work(ctx, control, now_us);
        return;
    }
    for (int group = 0; group < MW_GROUPS; group++) {
        if (control->log[group]) {
            mw_log_transfer_leadership(control->log[group], now_us);
        }
    }
    do_due_work(ctx, control, now_us);
}

bool
mw_control_may_exit(const struct mw_control *control)
{
    bool drained = control->now_us >= control->drain_deadline_us ||
                   mw_zone_count_awaited_jobs(control->zone) == 0;

    for (int group = 0; group < MW_GROUPS; group++) {
        struct mw_log_status view;

        if (!control->log[group]) {
            continue;
        }
        mw_log_get_status(control->log[group], &view);
        if (view.role == MW_LEADER && view.voter_count > 1) {
            return false;
        }
    }
    return drained;
}

const struct mw_zone *
mw_control_get_zone(const struct mw_control *control)
{
    return control->zone;
}

void
mw_control_get_log_status(const struct mw_control *control,
                          enum mw_group group, struct mw_log_status *view)
{
    *view = (struct mw_log_status){0};
    if (control->log[group]) {
        mw_log_get_status(control->log[group], view);
    }
}

const struct mw_control_counters *
mw_control_get_counters(const struct mw_control *control)
{
    return &control->counters;
}

struct mw_document *
mw_control_get_document(const struct mw_control *control,
                        enum mw_environment environment)
{
    return control->documents[environment].document;
}
