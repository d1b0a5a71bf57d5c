/*
 * flow-pending-request: requests whose records are not committed yet.
 *
 * The reply depends on the committed record; when the leadership ends first,
 * the reply leaves the outcome open.
 */
#include "flow-endpoint.h"
#include "flow-event.h"
#include "flow-measure.h"
#include "flow-pending-request.h"
#include "flow-reply.h"
#include "flow-scheduler-state.h"

struct mw_flow_pending_request *
mw_await_flow_commit(struct mw_flows *flows,
                     const struct mw_flow_request *request,
                     const struct mw_name *name, uint64_t version)
{
    struct mw_flow_pending_request pending = {.ref = request->ref,
                                              .kind = request->kind,
                                              .name = *name,
                                              .version = version,
                                              .received_us = flows->now_us};
    GArray *all = flows->pending_requests;

    g_array_append_val(all, pending);
    return &g_array_index(all, struct mw_flow_pending_request, all->len - 1);
}

struct mw_flow_pending_request *
mw_propose_for_request(struct mw_flows *flows,
                       const struct mw_flow_request *request,
                       struct mw_record *record, const struct mw_name *name,
                       uint64_t version)
{
    int err = flows->output.propose(flows->output.opaque, record);

    mw_drop_record(record);
    if (err) {
        mw_send_flow_error(flows, request, err, MW_STR(""));
        return NULL;
    }
    return mw_await_flow_commit(flows, request, name, version);
}

bool
mw_submission_is_pending(const struct mw_flows *flows,
                         const struct mw_name *id)
{
    for (guint i = 0; i < flows->pending_requests->len; i++) {
        const struct mw_flow_pending_request *pending = &g_array_index(
            flows->pending_requests, struct mw_flow_pending_request, i);

        if (pending->kind == MW_FLOW_SUBMIT &&
            mw_name_equal(&pending->name, id)) {
            return true;
        }
    }
    return false;
}

static bool
is_completed_by(const struct mw_flow_pending_request *pending,
                const struct mw_record *record)
{
    switch (record->kind) {
    case MW_RECORD_FLOW:
        return pending->kind == MW_FLOW_SUBMIT &&
               mw_name_equal(&pending->name, &record->flow.id);
    case MW_RECORD_FLOW_STATE:
        return pending->kind == MW_FLOW_CANCEL &&
               mw_name_equal(&pending->name, &record->flow_state.id);
    case MW_RECORD_CONFIG:
        return pending->kind == MW_FLOW_CONFIG &&
               pending->version <= record->config.version;
    case MW_RECORD_ENDPOINT:
        return pending->kind == MW_FLOW_DRAIN &&
               mw_name_equal(&pending->name, &record->endpoint.heartbeat->id);
    case MW_RECORD_ZONE_OUT:
        return pending->kind == (record->zone_out.out ? MW_FLOW_ZONE_OUT
                                                      : MW_FLOW_ZONE_IN) &&
               mw_name_equal(&pending->name, &record->zone_out.zone);
    default:
        return false;
    }
}

static void
emit_committed_event(struct mw_flows *flows,
                     const struct mw_flow_pending_request *pending)
{
    static const char committed[] = "committed";
    struct mw_flow_endpoint *endpoint;

    switch (pending->kind) {
    case MW_FLOW_CANCEL:
        mw_emit_flow_event(flows, "cancelled", &pending->name, committed);
        break;
    case MW_FLOW_DRAIN:
        endpoint = mw_find_flow_endpoint(flows, &pending->name);
        if (endpoint) {
            mw_emit_flow_endpoint_event(flows, "drain_acknowledged", endpoint,
                                        committed,
                                        flows->now_us - pending->received_us);
        }
        break;
    case MW_FLOW_CONFIG:
        mw_emit_flow_event(flows, "config_acknowledged", &pending->name,
                           committed);
        break;
    case MW_FLOW_ZONE_OUT:
    case MW_FLOW_ZONE_IN:
        mw_emit_flow_zone_event(flows, "zone_acknowledged", &pending->name,
                                committed,
                                flows->now_us - pending->received_us);
        break;
    default:
        mw_emit_flow_event(flows, "accepted", &pending->name, committed);
        break;
    }
}

void
mw_complete_flow_requests(struct mw_flows *flows,
                          const struct mw_record *record)
{
    for (guint i = flows->pending_requests->len; i > 0; i--) {
        struct mw_flow_pending_request pending = g_array_index(
            flows->pending_requests, struct mw_flow_pending_request, i - 1);

        if (!is_completed_by(&pending, record)) {
            continue;
        }
        g_array_remove_index(flows->pending_requests, i - 1);
        mw_count_latency(flows, MW_LATENCY_COMMIT,
                         flows->now_us - pending.received_us);
        emit_committed_event(flows, &pending);
        if (pending.kind == MW_FLOW_SUBMIT) {
            mw_send_flow_accepted(flows, pending.ref, &record->flow.route);
        }
        else {
            mw_send_flow_done(flows, pending.ref, MW_REPLY_DONE);
        }
    }
}

/* The next leader may still commit their records, or never. */
void
mw_fail_flow_requests(struct mw_flows *flows)
{
    for (guint i = 0; i < flows->pending_requests->len; i++) {
        struct mw_flow_pending_request *pending = &g_array_index(
            flows->pending_requests, struct mw_flow_pending_request, i);
        struct mw_flow_request request = {.kind = pending->kind};

        mw_emit_flow_event(flows, "undecided", &pending->name, "lead_lost");
        request.ref = pending->ref;
        mw_send_flow_error(flows, &request, MW_ERR_DEADLINE,
                           MW_STR("the leader changed; ask again"));
    }
    g_array_set_size(flows->pending_requests, 0);
}
