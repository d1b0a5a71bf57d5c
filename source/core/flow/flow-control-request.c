/*
 * flow-control-request: requests at a control process, and their replies.
 */
#include "flow-control-impl.h"
#include "retry-after.h"

/* Sends the reply to the process that forwarded the request. */
void
mw_send_request_reply(struct mw_flow_control *control,
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

void
mw_receive_forwarded_request(struct mw_context *ctx,
                             struct mw_flow_control *control, int64_t now_us,
                             int64_t wall_us, const struct mw_name *from,
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
        mw_send_request_reply(control, &origin, &paused_reply);
        return;
    }
    if (is_outdated_order(control, &request)) {
        mw_send_request_reply(control, &origin, &outdated_reply);
        return;
    }
    request.ref = mw_add_request_origin(control, from, msg->ref);
    mw_flows_handle_request(ctx, control->flows, now_us, wall_us, &request);
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
void
mw_serve_waiting_requests(struct mw_context *ctx,
                          struct mw_flow_control *control, int64_t wall_us)
{
    struct local_service service = {ctx, control, wall_us};

    if (control->is_leader && !control->suspended &&
        mw_flow_entry_pending_count(control->entry) > 0) {
        mw_flow_entry_hand_over(control->entry, control->now_us, &service,
                                serve_locally);
    }
}
