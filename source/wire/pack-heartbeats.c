/*
 * pack-heartbeats: converts heartbeats of endpoints on their way to the leader
 * to protobuf messages and back.
 */
#include "pack.h"

static Mw__Wire__RelayedHeartbeat *
pack_heartbeat(struct mw_scratch *scratch,
               const struct mw_relayed_heartbeat *relayed)
{
    Mw__Wire__RelayedHeartbeat *wire = mw_scratch_alloc(scratch, sizeof *wire);

    mw__wire__relayed_heartbeat__init(wire);
    wire->ref = relayed->ref;
    wire->endpoint = mw_pack_endpoint(scratch, &relayed->heartbeat);
    wire->seq = relayed->heartbeat.seq;
    wire->clock_us = relayed->heartbeat.clock_us;
    wire->leaving = relayed->heartbeat.leaving;
    return wire;
}

void
mw_pack_flow_heartbeats(struct mw_scratch *scratch,
                        const struct mw_msg_flow_heartbeats *msg,
                        Mw__Wire__FlowHeartbeats *wire)
{
    wire->n_heartbeats = msg->count;
    wire->heartbeats =
        mw_scratch_alloc(scratch, (msg->count + 1) * sizeof *wire->heartbeats);
    for (uint32_t i = 0; i < msg->count; i++) {
        wire->heartbeats[i] = pack_heartbeat(scratch, &msg->heartbeats[i]);
    }
}

int
mw_unpack_flow_heartbeats(const Mw__Wire__FlowHeartbeats *wire,
                          struct mw_msg_flow_heartbeats *msg)
{
    int err = 0;

    msg->heartbeats =
        g_new0(struct mw_relayed_heartbeat, wire->n_heartbeats + 1);
    for (size_t i = 0; i < wire->n_heartbeats && !err; i++) {
        const Mw__Wire__RelayedHeartbeat *from = wire->heartbeats[i];
        struct mw_relayed_heartbeat *to = &msg->heartbeats[msg->count++];

        to->ref = from->ref;
        to->heartbeat.seq = from->seq;
        to->heartbeat.clock_us = from->clock_us;
        to->heartbeat.leaving = from->leaving;
        err = mw_unpack_endpoint(from->endpoint, &to->heartbeat);
    }
    return err;
}

void
mw_pack_flow_heartbeat_results(struct mw_scratch *scratch,
                               const struct mw_msg_flow_heartbeat_results *msg,
                               Mw__Wire__FlowHeartbeatResults *wire)
{
    wire->n_refs = msg->count;
    wire->n_errors = msg->count;
    wire->refs =
        mw_scratch_alloc(scratch, (msg->count + 1) * sizeof *wire->refs);
    wire->errors =
        mw_scratch_alloc(scratch, (msg->count + 1) * sizeof *wire->errors);
    for (uint32_t i = 0; i < msg->count; i++) {
        wire->refs[i] = msg->results[i].ref;
        wire->errors[i] = msg->results[i].error;
    }
}

int
mw_unpack_flow_heartbeat_results(const Mw__Wire__FlowHeartbeatResults *wire,
                                 struct mw_msg_flow_heartbeat_results *msg)
{
    if (wire->n_refs != wire->n_errors) {
        return MW_ERR_INVALID;
    }
    msg->results = g_new0(struct mw_heartbeat_result, wire->n_refs + 1);
    for (size_t i = 0; i < wire->n_refs; i++) {
        msg->results[i] =
            (struct mw_heartbeat_result){wire->refs[i], wire->errors[i]};
    }
    msg->count = (uint32_t)wire->n_refs;
    return 0;
}
