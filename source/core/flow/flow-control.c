/*
 * flow-control: a control process, with a member of the region's log and the
 * flow scheduler.
 */
#include <string.h>

#include "flow-control-impl.h"
#include "retry-after.h"

static int
flows_propose(void *opaque, struct mw_record *record)
{
    struct mw_flow_control *control = opaque;
    uint64_t index = 0;
    int err = mw_log_propose(control->ctx, control->log, control->now_us,
                             record, &index);

    if (!err && record->kind == MW_RECORD_ZONE_OUT) {
        mw_note_proposed_zone_order(&control->zone_orders,
                                    &record->zone_out.zone,
                                    record->zone_out.out, index);
    }
    return err;
}

static void
flows_command(void *opaque, const struct mw_flow_command *command)
{
    struct mw_flow_control *control = opaque;

    control->setup.output.command(control->setup.output.opaque, command);
}

static void
flows_event(void *opaque, const struct mw_flow_event *event)
{
    struct mw_flow_control *control = opaque;

    control->setup.output.event(control->setup.output.opaque, event);
}

/* Sends the reply to the process that forwarded the request. */
static void
send_reply(struct mw_flow_control *control,
           const struct mw_request_origin *origin,
           const struct mw_flow_reply *reply)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_FLOW_RETURN);

    msg->flow_return.ref = origin->process_ref;
    msg->flow_return.kind = reply->kind;
    msg->flow_return.error = reply->error;
    msg->flow_return.state = reply->state;
    msg->flow_return.queued = reply->queued;
    msg->flow_return.pending = reply->queue_length;
    msg->flow_return.retry_after_us = reply->retry_after_us;
    msg->flow_return.has_priority = reply->has_priority;
    msg->flow_return.priority = reply->priority;
    msg->flow_return.text =
        reply->text ? mw_keep_blob(reply->text) : mw_new_blob(reply->detail);
    control->setup.output.send(control->setup.output.opaque, &origin->process,
                               msg);
    mw_drop_msg(msg);
}

static void
flows_reply(void *opaque, const struct mw_flow_reply *reply)
{
    struct mw_flow_control *control = opaque;
    struct mw_request_origin *origin =
        g_hash_table_lookup(control->origins, &reply->ref);
    struct mw_flow_reply direct = *reply;

    if (!origin) {
        return;
    }
    if (origin->process.len > 0) {
        send_reply(control, origin, reply);
    }
    else {
        direct.ref = origin->process_ref;
        control->setup.output.reply(control->setup.output.opaque, &direct);
    }
    g_hash_table_remove(control->origins, &reply->ref);
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

struct mw_flow_control *
mw_new_flow_control(const struct mw_flow_control_setup *setup)
{
    struct mw_flow_control *control = g_new0(struct mw_flow_control, 1);
    struct mw_flow_output output = {
        control,     flows_propose,       flows_command,    flows_reply,
        flows_event, flows_decode_config, flows_decode_plan};
    struct mw_flow_entry_output entry = {control, entry_send, entry_reply,
                                         flows_event};

    control->setup = *setup;
    control->next_ref = 1;
    control->now_us = setup->now_us;
    control->pauses.last_tick_us = setup->now_us;
    control->origins =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    control->flows = mw_new_flows(&setup->limits, &output);
    control->entry = mw_new_flow_entry(&entry, &setup->name, setup->first_ref);
    mw_init_heartbeat_relay(control);
    mw_init_zone_orders(&control->zone_orders);
    if (setup->member_count > 0) {
        control->log = mw_new_flow_control_log(control);
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
        mw_drop_heartbeat_relay(control->relay);
        mw_clear_zone_orders(&control->zone_orders);
        g_hash_table_unref(control->origins);
        g_free(control);
    }
}

static void
set_suspended(struct mw_flow_control *control, bool suspended)
{
    struct mw_flow_event event = {.name = "lease",
                                  .outcome = suspended ? "lost" : "regained",
                                  .age_us = -1,
                                  .term = control->leader_term};

    if (suspended == control->suspended) {
        return;
    }
    control->suspended = suspended;
    control->heartbeat_deadline_us = control->now_us;
    mw_flows_set_suspended(control->flows, suspended);
    control->setup.output.event(control->setup.output.opaque, &event);
}

void
mw_update_leadership(struct mw_context *ctx, struct mw_flow_control *control,
                     int64_t now_us)
{
    struct mw_log_status status;
    bool ready = control->log && mw_log_is_ready_leader(control->log, now_us);

    control->now_us = now_us;
    if (ctx) {
        control->ctx = ctx;
    }
    if (!control->log) {
        return;
    }
    mw_log_get_status(control->log, &status);
    if (control->is_leader && status.role == MW_LEADER &&
        status.term == control->leader_term) {
        /* once its lease is valid again, no other leader can have acted */
        set_suspended(control, !ready);
        return;
    }
    if (!ready || status.term != control->leader_term) {
        mw_void_proposed_zone_orders(&control->zone_orders);
    }
    if (ready != control->is_leader) {
        struct mw_flow_event event = {.name = "lead",
                                      .outcome = ready ? "gained" : "lost",
                                      .age_us = -1,
                                      .term = status.term};

        control->is_leader = ready;
        control->leader_term = status.term;
        control->suspended = false;
        control->heartbeat_deadline_us = now_us;
        control->setup.output.event(control->setup.output.opaque, &event);
    }
    mw_flows_set_leadership(control->flows, now_us, ready, status.term);
}

int
mw_flow_control_restore(struct mw_context *ctx,
                        struct mw_flow_control *control,
                        const struct mw_stored_item *item)
{
    control->ctx = ctx;
    return control->log ? mw_log_restore(ctx, control->log, item) : 0;
}

uint64_t
mw_add_request_origin(struct mw_flow_control *control,
                      const struct mw_name *process, uint64_t process_ref)
{
    struct mw_request_origin *origin = g_new0(struct mw_request_origin, 1);

    origin->ref = control->next_ref++;
    origin->process = *process;
    origin->process_ref = process_ref;
    g_hash_table_insert(control->origins, &origin->ref, origin);
    return origin->ref;
}

static bool
is_zone_order(enum mw_flow_request_kind kind)
{
    return kind == MW_FLOW_ZONE_OUT || kind == MW_FLOW_ZONE_IN;
}

/*
 * Whether the order may have waited at this process, while the operator gave
 * up and sent a later one elsewhere.
 */
static bool
may_have_waited(const struct mw_flow_control *control, int64_t now_us,
                enum mw_flow_request_kind kind)
{
    return is_zone_order(kind) && mw_may_have_paused(&control->pauses, now_us);
}

/* Nothing was done; the process that forwarded the order sends it again. */
static const struct mw_flow_reply paused_reply = {
    .kind = MW_REPLY_ERROR,
    .error = MW_ERR_NOT_LEADER,
    .retry_after_us = MW_RETRY_AFTER_MIN_US,
};

/* Nothing was done; the operator may send the order again at once. */
static const struct mw_flow_reply outdated_reply = {
    .kind = MW_REPLY_ERROR,
    .error = MW_ERR_OUTDATED,
};

/*
 * Whether a newer order may have been taken since this one was received, here
 * earlier or by another process.  Only the leader knows.
 */
static bool
is_outdated_order(struct mw_flow_control *control,
                  const struct mw_flow_request *request)
{
    struct mw_flow_event event = {.name = "zone_order",
                                  .outcome = "outdated",
                                  .zone = mw_name_of(request->path),
                                  .age_us = -1,
                                  .term = control->leader_term};
    struct mw_log_status status;

    if (!is_zone_order(request->kind) || !control->is_leader ||
        control->suspended) {
        return false;
    }
    mw_log_get_status(control->log, &status);
    if (!mw_zone_order_is_outdated(&control->zone_orders, &event.zone,
                                   request->kind == MW_FLOW_ZONE_OUT,
                                   request->known_index,
                                   status.snapshot_index)) {
        return false;
    }
    control->setup.output.event(control->setup.output.opaque, &event);
    return true;
}

static void
receive_forwarded(struct mw_context *ctx, struct mw_flow_control *control,
                  int64_t now_us, int64_t wall_us, const struct mw_name *from,
                  const struct mw_msg_flow_call *msg)
{
    struct mw_request_origin origin = {.process = *from,
                                       .process_ref = msg->ref};
    struct mw_flow_request request = {
        .kind = msg->kind,
        .host = mw_blob_str(msg->host),
        .path = mw_blob_str(msg->path),
        .key = mw_blob_str(msg->key),
        .body = mw_blob_str(msg->body),
        .known_index = msg->known_index,
    };

    if (may_have_waited(control, now_us, msg->kind)) {
        send_reply(control, &origin, &paused_reply);
        return;
    }
    if (is_outdated_order(control, &request)) {
        send_reply(control, &origin, &outdated_reply);
        return;
    }
    request.ref = mw_add_request_origin(control, from, msg->ref);
    mw_flows_handle_request(ctx, control->flows, now_us, wall_us, &request);
}

/* The leader's answer to a forwarded request, or to a draining heartbeat. */
static void
receive_return(struct mw_flow_control *control, int64_t now_us,
               const struct mw_name *from, struct mw_msg *msg)
{
    if (!mw_settle_heartbeat(control->relay, msg->flow_return.ref,
                             msg->flow_return.kind == MW_REPLY_ERROR
                                 ? msg->flow_return.error
                                 : 0)) {
        mw_flow_entry_receive(control->entry, now_us, from, msg);
    }
}

static void
receive_heartbeat(struct mw_flow_control *control, int64_t now_us,
                  const struct mw_name *from,
                  const struct mw_heartbeat *heartbeat)
{
    if (heartbeat->role == MW_ROLE_CONTROL) {
        mw_note_heartbeat_target(&control->targets, now_us, from, heartbeat);
    }
    if (heartbeat->leads_region) {
        control->leader_protocol = heartbeat->protocol;
        mw_flows_learn_clock(control->flows, control->now_us, heartbeat->epoch,
                             heartbeat->clock_us);
    }
    if (control->log && heartbeat->role == MW_ROLE_CONTROL &&
        heartbeat->member_count == 0) {
        /* a standby, which may become a member */
        mw_log_add_learner(control->ctx, control->log, now_us, from);
    }
    for (uint32_t i = 0; control->log && heartbeat->leads_region &&
                         i < heartbeat->member_count;
         i++) {
        mw_log_fill_slot(control->log, i, &heartbeat->members[i]);
    }
    if (heartbeat->leads_region && heartbeat->member_count > 0) {
        control->heartbeat_member_count = heartbeat->member_count;
        memcpy(control->heartbeat_members, heartbeat->members,
               sizeof control->heartbeat_members);
    }
}

void
mw_flow_control_receive(struct mw_context *ctx,
                        struct mw_flow_control *control, int64_t now_us,
                        int64_t wall_us, const struct mw_name *from,
                        struct mw_msg *msg)
{
    mw_update_leadership(ctx, control, now_us);
    switch (msg->kind) {
    case MW_MSG_LOG:
        if (control->log && msg->log.group == MW_GROUP_REGION) {
            mw_log_receive(ctx, control->log, now_us, from, &msg->log.msg);
        }
        break;
    case MW_MSG_FLOW_CALL:
        receive_forwarded(ctx, control, now_us, wall_us, from,
                          &msg->flow_call);
        break;
    case MW_MSG_HEARTBEAT:
        receive_heartbeat(control, now_us, from, &msg->heartbeat);
        mw_flow_entry_receive(control->entry, now_us, from, msg);
        break;
    case MW_MSG_FLOW_RETURN:
        receive_return(control, now_us, from, msg);
        break;
    case MW_MSG_FLOW_HEARTBEATS:
        mw_receive_relayed_heartbeats(control, now_us, from,
                                      &msg->flow_heartbeats);
        break;
    case MW_MSG_FLOW_HEARTBEAT_RESULTS:
        mw_receive_heartbeat_results(control, &msg->flow_heartbeat_results);
        break;
    default:
        break;
    }
    mw_update_leadership(ctx, control, now_us);
}

void
mw_flow_control_disconnected(struct mw_flow_control *control, int64_t now_us,
                             const struct mw_name *process)
{
    struct mw_name leader = mw_flow_control_leader(control, now_us);

    mw_flow_entry_disconnected(control->entry, now_us, process);
    if (mw_name_equal(&leader, process)) {
        mw_fail_relayed_heartbeats(control->relay);
    }
}

void
mw_flow_control_synced(struct mw_context *ctx, struct mw_flow_control *control,
                       int64_t now_us, uint64_t sequence)
{
    mw_update_leadership(ctx, control, now_us);
    if (control->log) {
        mw_log_synced(ctx, control->log, now_us, sequence);
    }
    mw_update_leadership(ctx, control, now_us);
}

void
mw_flow_control_set_writable(struct mw_context *ctx,
                             struct mw_flow_control *control, int64_t now_us,
                             bool writable)
{
    if (control->log) {
        mw_log_set_writable(ctx, control->log, now_us, writable);
    }
    mw_update_leadership(ctx, control, now_us);
}

static void
reply_directly(struct mw_flow_control *control,
               const struct mw_flow_request *request,
               const struct mw_flow_reply *reply)
{
    struct mw_flow_reply direct = *reply;

    direct.ref = request->ref;
    control->setup.output.reply(control->setup.output.opaque, &direct);
}

static void
handle_own_request(struct mw_context *ctx, struct mw_flow_control *control,
                   int64_t now_us, int64_t wall_us,
                   const struct mw_flow_request *request)
{
    static const struct mw_name no_process = {0};
    struct mw_flow_request scheduled = *request;

    scheduled.ref = mw_add_request_origin(control, &no_process, request->ref);
    mw_flows_handle_request(ctx, control->flows, now_us, wall_us, &scheduled);
}

void
mw_flow_control_request(struct mw_context *ctx,
                        struct mw_flow_control *control, int64_t now_us,
                        int64_t wall_us, const struct mw_flow_request *request)
{
    struct mw_flow_request numbered = *request;

    if (may_have_waited(control, now_us, request->kind)) {
        reply_directly(control, request, &paused_reply);
        return;
    }
    mw_update_leadership(ctx, control, now_us);
    if (!control->is_leader || control->suspended) {
        numbered.known_index = control->applied_index;
        mw_flow_entry_request(control->entry, now_us, &numbered,
                              now_us + MW_FLOW_FORWARD_TIMEOUT_US);
        return;
    }
    handle_own_request(ctx, control, now_us, wall_us, request);
}

/* local_service: what a request that is served here needs. */
struct local_service {
    struct mw_context *ctx;
    struct mw_flow_control *control;
    int64_t wall_us;
};

static void
serve_locally(void *opaque, const struct mw_flow_request *request)
{
    const struct local_service *service = opaque;

    if (is_outdated_order(service->control, request)) {
        reply_directly(service->control, request, &outdated_reply);
        return;
    }
    handle_own_request(service->ctx, service->control,
                       service->control->now_us, service->wall_us, request);
}

/* Serves the requests that waited for a leader, if this process is it now. */
static void
serve_waiting_requests(struct mw_context *ctx, struct mw_flow_control *control,
                       int64_t wall_us)
{
    struct local_service service = {ctx, control, wall_us};

    if (control->is_leader && !control->suspended &&
        mw_flow_entry_pending_count(control->entry) > 0) {
        mw_flow_entry_hand_over(control->entry, control->now_us, &service,
                                serve_locally);
    }
}

void
mw_flow_control_handle_response(struct mw_flow_control *control,
                                int64_t now_us,
                                const struct mw_flow_response *response)
{
    mw_update_leadership(NULL, control, now_us);
    mw_flows_handle_response(control->flows, now_us, response);
}

static struct mw_msg *
new_heartbeat(struct mw_flow_control *control)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_HEARTBEAT);
    struct mw_heartbeat *heartbeat = &msg->heartbeat;

    heartbeat->role = MW_ROLE_CONTROL;
    heartbeat->zone = control->setup.zone;
    heartbeat->leads_region =
        control->is_leader && !control->suspended && !control->leaving;
    heartbeat->leaving = control->leaving;
    heartbeat->version[MW_PRODUCTION] =
        mw_flows_config_version(control->flows);
    if (control->log) {
        struct mw_log_status status;

        mw_log_get_status(control->log, &status);
        heartbeat->epoch = status.term;
        heartbeat->member_count =
            mw_log_get_members(control->log, heartbeat->members);
    }
    heartbeat->protocol = MW_PROTOCOL;
    heartbeat->applied_index = control->applied_index;
    heartbeat->clock_us = mw_flows_clock(control->flows, control->now_us);
    return msg;
}

void
mw_flow_control_connected(struct mw_flow_control *control, int64_t now_us,
                          const struct mw_name *process)
{
    struct mw_msg *msg;

    mw_update_leadership(NULL, control, now_us);
    msg = new_heartbeat(control);
    control->setup.output.send(control->setup.output.opaque, process, msg);
    mw_drop_msg(msg);
}

static void
send_heartbeats(struct mw_flow_control *control, int64_t now_us)
{
    struct mw_msg *msg = new_heartbeat(control);

    mw_note_heartbeat_target(&control->targets, now_us, &control->setup.name,
                             &msg->heartbeat);
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
    mw_watch_tick(&control->pauses, now_us);
    mw_update_leadership(ctx, control, now_us);
    serve_waiting_requests(ctx, control, wall_us);
    mw_flows_tick(ctx, control->flows, now_us, wall_us);
    mw_flow_entry_tick(control->entry, now_us);
    mw_tick_heartbeat_relay(control, now_us);
    if (control->log) {
        mw_log_tick(ctx, control->log, now_us);
    }
    mw_update_leadership(ctx, control, now_us);
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
    deadline_us =
        MIN(deadline_us, mw_heartbeat_relay_deadline(control->relay));
    if (control->log) {
        deadline_us = MIN(deadline_us, mw_log_deadline(control->log));
    }
    return deadline_us;
}

bool
mw_flow_control_is_leader(struct mw_flow_control *control, int64_t now_us)
{
    mw_update_leadership(NULL, control, now_us);
    return control->is_leader && !control->suspended;
}

struct mw_name
mw_flow_control_leader(const struct mw_flow_control *control, int64_t now_us)
{
    struct mw_log_status status = {0};

    status.leader = mw_flow_entry_leader(control->entry, now_us);
    if (status.leader.len > 0) {
        return status.leader;
    }
    if (control->log) {
        mw_log_get_status(control->log, &status);
        if (mw_name_equal(&status.leader, &control->setup.name)) {
            /* without a lease, or without a record of its term yet */
            status.leader = (struct mw_name){0};
        }
    }
    return status.leader;
}

bool
mw_flow_control_leave(struct mw_flow_control *control, int64_t now_us)
{
    struct mw_log_status status;

    if (!control->leaving) {
        control->leaving = true;
        control->heartbeat_deadline_us = now_us;
    }
    if (!control->log) {
        return true;
    }
    mw_log_get_status(control->log, &status);
    if (status.role == MW_LEADER) {
        mw_log_transfer_leadership(control->log, now_us);
        return false;
    }
    return true;
}
