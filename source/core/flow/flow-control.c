/*
 * flow-control: a control process, with a member of the region's log and the
 * flow scheduler.
 */
#include <string.h>

#include "flow-control-impl.h"

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
    struct mw_flow_event with_index = *event;
    struct mw_log_status status;

    if (event->takeover && control->log) {
        mw_log_get_status(control->log, &status);
        with_index.index = status.commit_index;
    }
    control->setup.output.event(control->setup.output.opaque, &with_index);
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
        mw_send_request_reply(control, origin, reply);
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
        !heartbeat->leaving) {
        /*
         * Without a slot it is a standby, or a former member whose slot was
         * given away while it was silent; either may become a member.
         */
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
        mw_receive_forwarded_request(ctx, control, now_us, wall_us, from,
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
    mw_serve_waiting_requests(ctx, control, wall_us);
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
