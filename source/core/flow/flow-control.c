/*
 * flow-control: one member of the region's log with the scheduler of flows.
 */
#include <string.h>

#include "flow-impl.h"
#include "mimosawind/flow-process.h"

/* mw_control_call: where the answer to a request goes. */
struct mw_control_call {
    uint64_t ref;
    /* empty for a request that came in through this process */
    struct mw_name process;
    uint64_t process_ref;
};

struct mw_flow_control {
    struct mw_flow_control_setup setup;
    struct mw_log *log;
    struct mw_flows *flows;
    GHashTable *calls;
    uint64_t next_ref;
    int64_t now_us;
    struct mw_context *ctx;
    bool led;
    /* leader of its term still, but without a live lease */
    bool suspended;
    uint64_t led_term;
    bool leaving;
    int64_t heartbeat_deadline_us;
    /* requests that another process must answer, and who leads */
    struct mw_flow_entry *entry;
    /* of the leader's heartbeat, for a standby */
    uint32_t heard_member_count;
    struct mw_name heard_members[MW_MEMBERS_MAX];
};

static void
log_send(void *opaque, const struct mw_name *to, const struct mw_log_msg *msg)
{
    struct mw_flow_control *control = opaque;
    struct mw_msg *out = mw_new_msg(MW_MSG_LOG);

    out->log.group = MW_GROUP_REGION;
    mw_log_msg_copy(&out->log.msg, msg);
    control->setup.output.send(control->setup.output.opaque, to, out);
    mw_drop_msg(out);
}

static void
log_store(void *opaque, const struct mw_store_item *item)
{
    struct mw_flow_control *control = opaque;

    control->setup.output.store(control->setup.output.opaque, item);
}

static void
log_apply(void *opaque, uint64_t index, struct mw_record *record)
{
    struct mw_flow_control *control = opaque;

    (void)index;
    mw_flows_apply(control->ctx, control->flows, control->now_us, record);
}

static void
log_reset(void *opaque)
{
    struct mw_flow_control *control = opaque;

    mw_flows_reset(control->flows);
}

static void
log_collect(void *opaque, void *out,
            void (*add)(void *out, struct mw_record *record))
{
    struct mw_flow_control *control = opaque;

    mw_flows_collect(control->flows, out, add);
}

static int
flows_propose(void *opaque, struct mw_record *record)
{
    struct mw_flow_control *control = opaque;

    return mw_log_propose(control->ctx, control->log, control->now_us, record,
                          NULL);
}

static void
flows_order(void *opaque, const struct mw_flow_order *order)
{
    struct mw_flow_control *control = opaque;

    control->setup.output.order(control->setup.output.opaque, order);
}

static void
flows_event(void *opaque, const struct mw_flow_event *event)
{
    struct mw_flow_control *control = opaque;

    control->setup.output.event(control->setup.output.opaque, event);
}

static void
send_return(struct mw_flow_control *control, const struct mw_control_call *to,
            const struct mw_flow_reply *reply)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_FLOW_RETURN);

    msg->flow_return.ref = to->process_ref;
    msg->flow_return.kind = reply->kind;
    msg->flow_return.error = reply->error;
    msg->flow_return.state = reply->state;
    msg->flow_return.queued = reply->queued;
    msg->flow_return.pending = reply->pending;
    msg->flow_return.retry_after_us = reply->retry_after_us;
    msg->flow_return.text =
        reply->text ? mw_keep_blob(reply->text) : mw_new_blob(reply->detail);
    control->setup.output.send(control->setup.output.opaque, &to->process,
                               msg);
    mw_drop_msg(msg);
}

static void
flows_reply(void *opaque, const struct mw_flow_reply *reply)
{
    struct mw_flow_control *control = opaque;
    struct mw_control_call *call =
        g_hash_table_lookup(control->calls, &reply->ref);
    struct mw_flow_reply local = *reply;

    if (!call) {
        return;
    }
    if (call->process.len > 0) {
        send_return(control, call, reply);
    }
    else {
        local.ref = call->process_ref;
        control->setup.output.reply(control->setup.output.opaque, &local);
    }
    g_hash_table_remove(control->calls, &reply->ref);
}

static void
entry_send(void *opaque, const struct mw_name *to, struct mw_msg *msg)
{
    struct mw_flow_control *control = opaque;

    control->setup.output.send(control->setup.output.opaque, to, msg);
}

static void
entry_reply(void *opaque, const struct mw_flow_reply *reply)
{
    struct mw_flow_control *control = opaque;

    control->setup.output.reply(control->setup.output.opaque, reply);
}

static struct mw_flow_config *
flows_decode_config(void *opaque, struct mw_context *ctx, struct mw_str text,
                    int *error)
{
    struct mw_flow_control *control = opaque;

    return control->setup.output.decode_config(control->setup.output.opaque,
                                               ctx, text, error);
}

static struct mw_flow_plan *
flows_decode_plan(void *opaque, struct mw_context *ctx, struct mw_str text,
                  int *error)
{
    struct mw_flow_control *control = opaque;

    return control->setup.output.decode_plan(control->setup.output.opaque, ctx,
                                             text, error);
}

static struct mw_log *
new_log(struct mw_flow_control *control)
{
    const struct mw_flow_control_setup *setup = &control->setup;
    struct mw_log_setup log = {
        .group = mw_name_of(MW_STR("region")),
        .self = setup->name,
        .member_count = setup->member_count,
        .founding_count = setup->founding_count,
        .target = setup->target,
        .incarnation = setup->incarnation,
        .compact_after = setup->compact_after,
        .seed = setup->seed,
        .now_us = setup->now_us,
        .output = {control, log_send, log_store, log_apply, log_reset,
                   log_collect},
    };

    for (uint32_t i = 0; i < setup->member_count; i++) {
        log.members[i].name = setup->members[i];
        log.members[i].disk = true;
    }
    return mw_new_log(&log);
}

struct mw_flow_control *
mw_new_flow_control(const struct mw_flow_control_setup *setup)
{
    struct mw_flow_control *control = g_new0(struct mw_flow_control, 1);
    struct mw_flow_output output = {
        control,     flows_propose,       flows_order,      flows_reply,
        flows_event, flows_decode_config, flows_decode_plan};
    struct mw_flow_entry_output entry = {control, entry_send, entry_reply,
                                         flows_event};

    control->setup = *setup;
    control->next_ref = 1;
    control->now_us = setup->now_us;
    control->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    control->flows = mw_new_flows(&setup->bounds, &output);
    control->entry = mw_new_flow_entry(&entry, &setup->name);
    if (setup->member_count > 0) {
        control->log = new_log(control);
    }
    return control;
}

void
mw_drop_flow_control(struct mw_flow_control *control)
{
    if (control) {
        mw_drop_log(control->log);
        mw_drop_flows(control->flows);
        mw_drop_flow_entry(control->entry);
        g_hash_table_unref(control->calls);
        g_free(control);
    }
}

static void
suspend(struct mw_flow_control *control, bool suspended)
{
    struct mw_flow_event event = {.name = "lease",
                                  .outcome = suspended ? "lost" : "regained",
                                  .age_us = -1,
                                  .number = control->led_term};

    if (suspended == control->suspended) {
        return;
    }
    control->suspended = suspended;
    control->heartbeat_deadline_us = control->now_us;
    mw_flows_suspend(control->flows, suspended);
    control->setup.output.event(control->setup.output.opaque, &event);
}

/* Sets the time and who acts, before anything is decided. */
static void
enter(struct mw_context *ctx, struct mw_flow_control *control, int64_t now_us)
{
    struct mw_log_view view;
    bool leads = control->log && mw_log_leads(control->log, now_us);

    control->now_us = now_us;
    if (ctx) {
        control->ctx = ctx;
    }
    if (!control->log) {
        return;
    }
    mw_log_look(control->log, &view);
    if (control->led && view.role == MW_LEADER &&
        view.term == control->led_term) {
        suspend(control, !leads);
        return;
    }
    if (leads != control->led) {
        struct mw_flow_event event = {.name = "lead",
                                      .outcome = leads ? "gained" : "lost",
                                      .age_us = -1,
                                      .number = view.term};

        control->led = leads;
        control->led_term = view.term;
        control->suspended = false;
        control->heartbeat_deadline_us = now_us;
        control->setup.output.event(control->setup.output.opaque, &event);
    }
    mw_flows_lead(control->flows, now_us, leads, view.term);
}

int
mw_flow_control_restore(struct mw_context *ctx,
                        struct mw_flow_control *control,
                        const struct mw_store_item *item)
{
    control->ctx = ctx;
    return control->log ? mw_log_restore(ctx, control->log, item) : 0;
}

static uint64_t
add_call(struct mw_flow_control *control, const struct mw_name *process,
         uint64_t process_ref)
{
    struct mw_control_call *call = g_new0(struct mw_control_call, 1);

    call->ref = control->next_ref++;
    call->process = *process;
    call->process_ref = process_ref;
    g_hash_table_insert(control->calls, &call->ref, call);
    return call->ref;
}

static void
take_call(struct mw_context *ctx, struct mw_flow_control *control,
          int64_t now_us, int64_t wall_us, const struct mw_name *from,
          const struct mw_msg_flow_call *call)
{
    struct mw_flow_request request = {
        .ref = add_call(control, from, call->ref),
        .kind = call->kind,
        .host = mw_blob_str(call->host),
        .path = mw_blob_str(call->path),
        .key = mw_blob_str(call->key),
        .body = mw_blob_str(call->body),
    };

    mw_flows_request(ctx, control->flows, now_us, wall_us, &request);
}

static void
take_heartbeat(struct mw_flow_control *control, int64_t now_us,
               const struct mw_name *from, const struct mw_heartbeat *beat)
{
    if (control->log && beat->role == MW_ROLE_CONTROL &&
        beat->member_count == 0) {
        mw_log_offer(control->ctx, control->log, now_us, from);
    }
    for (uint32_t i = 0;
         control->log && beat->leads_region && i < beat->member_count; i++) {
        mw_log_learn(control->log, i, &beat->members[i]);
    }
    if (beat->leads_region && beat->member_count > 0) {
        control->heard_member_count = beat->member_count;
        memcpy(control->heard_members, beat->members,
               sizeof control->heard_members);
    }
}

void
mw_flow_control_receive(struct mw_context *ctx,
                        struct mw_flow_control *control, int64_t now_us,
                        int64_t wall_us, const struct mw_name *from,
                        struct mw_msg *msg)
{
    enter(ctx, control, now_us);
    switch (msg->kind) {
    case MW_MSG_LOG:
        if (control->log && msg->log.group == MW_GROUP_REGION) {
            mw_log_receive(ctx, control->log, now_us, from, &msg->log.msg);
        }
        break;
    case MW_MSG_FLOW_CALL:
        take_call(ctx, control, now_us, wall_us, from, &msg->flow_call);
        break;
    case MW_MSG_HEARTBEAT:
        take_heartbeat(control, now_us, from, &msg->heartbeat);
        mw_flow_entry_receive(control->entry, now_us, from, msg);
        break;
    case MW_MSG_FLOW_RETURN:
        mw_flow_entry_receive(control->entry, now_us, from, msg);
        break;
    default:
        break;
    }
    enter(ctx, control, now_us);
}

void
mw_flow_control_lost(struct mw_flow_control *control, int64_t now_us,
                     const struct mw_name *process)
{
    mw_flow_entry_lost(control->entry, now_us, process);
}

void
mw_flow_control_synced(struct mw_context *ctx, struct mw_flow_control *control,
                       int64_t now_us, uint64_t sequence)
{
    enter(ctx, control, now_us);
    if (control->log) {
        mw_log_synced(ctx, control->log, now_us, sequence);
    }
    enter(ctx, control, now_us);
}

void
mw_flow_control_request(struct mw_context *ctx,
                        struct mw_flow_control *control, int64_t now_us,
                        int64_t wall_us, const struct mw_flow_request *request)
{
    static const struct mw_name self = {0};
    struct mw_flow_request inner = *request;

    enter(ctx, control, now_us);
    if (!control->led || control->suspended) {
        mw_flow_entry_request(control->entry, now_us, request,
                              now_us + MW_FLOW_FORWARD_TIMEOUT_US);
        return;
    }
    inner.ref = add_call(control, &self, request->ref);
    mw_flows_request(ctx, control->flows, now_us, wall_us, &inner);
}

int
mw_flow_control_beat(struct mw_flow_control *control, int64_t now_us,
                     const struct mw_beat *beat, uint64_t ref)
{
    static const struct mw_name self = {0};
    uint64_t inner;
    int err;

    enter(NULL, control, now_us);
    inner = add_call(control, &self, ref);
    err = mw_flows_beat(control->flows, now_us, beat, inner);
    if (err != MW_ERR_PENDING) {
        g_hash_table_remove(control->calls, &inner);
    }
    return err;
}

void
mw_flow_control_answer(struct mw_flow_control *control, int64_t now_us,
                       const struct mw_flow_answer *answer)
{
    enter(NULL, control, now_us);
    mw_flows_answer(control->flows, now_us, answer);
}

uint32_t
mw_flow_control_members(const struct mw_flow_control *control,
                        struct mw_name *members)
{
    if (control->log) {
        return mw_log_members(control->log, members);
    }
    memcpy(members, control->heard_members, sizeof control->heard_members);
    return control->heard_member_count;
}

static void
send_heartbeats(struct mw_flow_control *control, int64_t now_us)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_HEARTBEAT);
    struct mw_heartbeat *beat = &msg->heartbeat;

    beat->role = MW_ROLE_CONTROL;
    beat->zone = control->setup.zone;
    beat->leads_region =
        control->led && !control->suspended && !control->leaving;
    beat->leaving = control->leaving;
    beat->version[MW_PRODUCTION] = mw_flows_version(control->flows);
    if (control->log) {
        struct mw_log_view view;

        mw_log_look(control->log, &view);
        beat->epoch = view.term;
        beat->member_count = mw_log_members(control->log, beat->members);
    }
    control->setup.output.send_all(control->setup.output.opaque, MW_ROLE_ENTRY,
                                   msg);
    control->setup.output.send_all(control->setup.output.opaque,
                                   MW_ROLE_CONTROL, msg);
    mw_drop_msg(msg);
    control->heartbeat_deadline_us = now_us + MW_FLOW_HEARTBEAT_INTERVAL_US;
}

void
mw_flow_control_tick(struct mw_context *ctx, struct mw_flow_control *control,
                     int64_t now_us, int64_t wall_us)
{
    enter(ctx, control, now_us);
    mw_flows_tick(ctx, control->flows, now_us, wall_us);
    mw_flow_entry_tick(control->entry, now_us);
    if (control->log) {
        mw_log_tick(ctx, control->log, now_us);
    }
    enter(ctx, control, now_us);
    if (now_us >= control->heartbeat_deadline_us) {
        send_heartbeats(control, now_us);
    }
}

int64_t
mw_flow_control_deadline(const struct mw_flow_control *control)
{
    int64_t deadline_us = control->heartbeat_deadline_us;

    deadline_us = MIN(deadline_us, mw_flows_deadline(control->flows));
    deadline_us = MIN(deadline_us, mw_flow_entry_deadline(control->entry));
    if (control->log) {
        deadline_us = MIN(deadline_us, mw_log_deadline(control->log));
    }
    return deadline_us;
}

bool
mw_flow_control_leads(struct mw_flow_control *control, int64_t now_us)
{
    enter(NULL, control, now_us);
    return control->led && !control->suspended;
}

struct mw_name
mw_flow_control_leader(const struct mw_flow_control *control, int64_t now_us)
{
    struct mw_log_view view = {0};

    view.leader = mw_flow_entry_leader(control->entry, now_us);
    if (view.leader.len > 0) {
        return view.leader;
    }
    if (control->log) {
        mw_log_look(control->log, &view);
        if (mw_name_equal(&view.leader, &control->setup.name)) {
            view.leader = (struct mw_name){0};
        }
    }
    return view.leader;
}

bool
mw_flow_control_leave(struct mw_flow_control *control, int64_t now_us)
{
    struct mw_log_view view;

    if (!control->leaving) {
        control->leaving = true;
        control->heartbeat_deadline_us = now_us;
    }
    if (!control->log) {
        return true;
    }
    mw_log_look(control->log, &view);
    if (view.role == MW_LEADER) {
        mw_log_hand_over(control->log, now_us);
        return false;
    }
    return true;
}

void
mw_flow_control_look(const struct mw_flow_control *control,
                     struct mw_log_view *log, struct mw_flows_view *flows)
{
    *log = (struct mw_log_view){0};
    if (control->log) {
        mw_log_look(control->log, log);
    }
    mw_flows_look(control->flows, flows);
}

const struct mw_flow_counters *
mw_flow_control_counters(const struct mw_flow_control *control)
{
    return mw_flows_counters_of(control->flows);
}

const struct mw_flow_histogram *
mw_flow_control_histogram(const struct mw_flow_control *control,
                          enum mw_flow_time time)
{
    return mw_flows_histogram(control->flows, time);
}
