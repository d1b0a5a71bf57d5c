/*
 * flow-control-heartbeat: heartbeats of endpoints at a control process.
 */
#include "flow-control-impl.h"

/* added to the refs of heartbeats, to tell them from those of requests */
#define HEARTBEAT_REFS (2 * MW_FIRST_REF_MAX)

static void
relay_send(void *opaque, const struct mw_name *to, struct mw_msg *msg)
{
    struct mw_flow_control *control = opaque;

    control->setup.output.send(control->setup.output.opaque, to, msg);
}

static void
relay_reply(void *opaque, uint64_t ref, int error)
{
    struct mw_flow_control *control = opaque;
    struct mw_flow_reply reply = {
        .ref = ref,
        .kind = error ? MW_REPLY_ERROR : MW_REPLY_DONE,
        .error = error,
    };

    control->setup.output.reply(control->setup.output.opaque, &reply);
}

void
mw_init_heartbeat_relay(struct mw_flow_control *control)
{
    struct mw_heartbeat_relay_output output = {control, relay_send,
                                               relay_reply};

    control->relay = mw_new_heartbeat_relay(&output, control->setup.first_ref +
                                                         HEARTBEAT_REFS);
}

void
mw_tick_heartbeat_relay(struct mw_flow_control *control, int64_t now_us)
{
    struct mw_name leader = mw_flow_control_leader(control, now_us);

    mw_heartbeat_relay_tick(control->relay, now_us, &leader);
}

/* Answers at once what needs no record; the rest is answered one by one. */
void
mw_receive_relayed_heartbeats(struct mw_flow_control *control, int64_t now_us,
                              const struct mw_name *from,
                              const struct mw_msg_flow_heartbeats *msg)
{
    struct mw_msg *out = mw_new_msg(MW_MSG_FLOW_HEARTBEAT_RESULTS);
    struct mw_msg_flow_heartbeat_results *results =
        &out->flow_heartbeat_results;

    results->results = g_new0(struct mw_heartbeat_result, msg->count + 1);
    for (uint32_t i = 0; i < msg->count; i++) {
        uint64_t ref =
            mw_add_request_origin(control, from, msg->heartbeats[i].ref);
        int err = mw_flows_handle_heartbeat(
            control->flows, now_us, &msg->heartbeats[i].heartbeat, ref);

        if (err != MW_ERR_PENDING) {
            g_hash_table_remove(control->origins, &ref);
            results->results[results->count++] =
                (struct mw_heartbeat_result){msg->heartbeats[i].ref, err};
        }
    }
    if (results->count > 0) {
        control->setup.output.send(control->setup.output.opaque, from, out);
    }
    mw_drop_msg(out);
}

void
mw_receive_heartbeat_results(struct mw_flow_control *control,
                             const struct mw_msg_flow_heartbeat_results *msg)
{
    for (uint32_t i = 0; i < msg->count; i++) {
        mw_settle_heartbeat(control->relay, msg->results[i].ref,
                            msg->results[i].error);
    }
}

/* Whether there is another process that leads and takes heartbeats. */
static bool
can_relay(const struct mw_flow_control *control, int64_t now_us)
{
    return mw_flow_control_leader(control, now_us).len > 0 &&
           control->leader_protocol >= MW_PROTOCOL_RELAYED_HEARTBEATS;
}

struct mw_name
mw_flow_control_heartbeat_target(const struct mw_flow_control *control,
                                 int64_t now_us,
                                 const struct mw_flow_heartbeat *heartbeat)
{
    struct mw_name target = mw_choose_heartbeat_target(
        &control->targets, now_us, &heartbeat->id, &heartbeat->zone);

    return target.len > 0 ? target : control->setup.name;
}

int
mw_flow_control_handle_heartbeat(struct mw_flow_control *control,
                                 int64_t now_us,
                                 const struct mw_flow_heartbeat *heartbeat,
                                 uint64_t ref)
{
    static const struct mw_name no_process = {0};
    uint64_t scheduler_ref;
    int err;

    mw_update_leadership(NULL, control, now_us);
    if (!control->is_leader || control->suspended) {
        return can_relay(control, now_us)
                   ? mw_relay_heartbeat(control->relay, now_us, heartbeat, ref)
                   : MW_ERR_NOT_LEADER;
    }
    scheduler_ref = mw_add_request_origin(control, &no_process, ref);
    err = mw_flows_handle_heartbeat(control->flows, now_us, heartbeat,
                                    scheduler_ref);
    if (err != MW_ERR_PENDING) {
        g_hash_table_remove(control->origins, &scheduler_ref);
    }
    return err;
}
