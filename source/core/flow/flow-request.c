/*
 * flow-request: requests of clients and operators.
 */
#include "flow-config-versions.h"
#include "flow-event.h"
#include "flow-pending-request.h"
#include "flow-reply.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-submit.h"
#include "flow-task-state.h"
#include "mimosawind/flow.h"

#define ID_LEN 16

static bool
is_flow_id(struct mw_str text)
{
    if (text.len != ID_LEN) {
        return false;
    }
    for (size_t i = 0; i < text.len; i++) {
        if (!g_ascii_isxdigit(text.ptr[i])) {
            return false;
        }
    }
    return true;
}

static void
send_state(struct mw_flows *flows, const struct mw_flow_request *request,
           const struct mw_flow_route *route, const struct mw_flow *flow)
{
    struct mw_flow_reply reply = {
        .ref = request->ref,
        .kind = MW_REPLY_STATE,
        .state = flow->state,
        .queued = flow->state == MW_FLOW_ACTIVE && !flow->has_begun,
        .has_priority = true,
        .priority = route->priority,
    };

    mw_send_flow_reply(flows, &reply);
}

static void
cancel(struct mw_flows *flows, const struct mw_flow_request *request,
       struct mw_flow *flow)
{
    struct mw_record *record;

    if (flow->state != MW_FLOW_ACTIVE) {
        mw_send_flow_done(flows, request->ref, MW_REPLY_DONE);
        return;
    }
    record = mw_new_record(MW_RECORD_FLOW_STATE);
    record->flow_state.id = flow->id;
    record->flow_state.state = MW_FLOW_CANCELLED;
    mw_propose_for_request(flows, request, record, &flow->id, 0);
}

/*
 * Whether the flow was accepted under this route, or at its host and prefix:
 * clients know a queue by these, and a configuration may name it anew.
 */
static bool
is_of_route(const struct mw_flow *flow, const struct mw_flow_route *route)
{
    return mw_name_equal(&flow->route.name, &route->name) ||
           (mw_name_equal(&flow->route.host, &route->host) &&
            mw_name_equal(&flow->route.prefix, &route->prefix));
}

static void
send_queue_length(struct mw_flows *flows,
                  const struct mw_flow_request *request,
                  const struct mw_flow_route *route)
{
    struct mw_flow_reply reply = {.ref = request->ref,
                                  .kind = MW_REPLY_QUEUE_LENGTH};

    for (guint i = 0; i < flows->active->len; i++) {
        const struct mw_flow *flow = flows->active->pdata[i];

        reply.queue_length += !flow->has_begun && is_of_route(flow, route);
    }
    mw_send_flow_reply(flows, &reply);
}

static void
handle_flow_request(struct mw_context *ctx, struct mw_flows *flows,
                    int64_t wall_us, const struct mw_flow_request *request,
                    const struct mw_flow_route *route,
                    const struct mw_flow_org *org)
{
    struct mw_str rest = {request->path.ptr + route->prefix.len,
                          request->path.len - route->prefix.len};
    struct mw_name id = mw_name_of(rest);
    struct mw_flow *flow = mw_find_flow(flows, &id);

    if (request->kind == MW_FLOW_READ_STATE && rest.len == 0) {
        send_queue_length(flows, request, route);
        return;
    }
    if (request->kind == MW_FLOW_SUBMIT) {
        if (is_flow_id(rest)) {
            mw_submit_flow(ctx, flows, wall_us, request, route, org, &id);
        }
        else {
            mw_refuse_submission(flows, request, route, &id, MW_ERR_INVALID,
                                 "identifier_is_not_16_hex_digits");
        }
        return;
    }
    if (!flow || !is_of_route(flow, route)) {
        mw_send_flow_error(flows, request, MW_ERR_NOT_FOUND,
                           MW_STR("no such job"));
        return;
    }
    if (request->kind == MW_FLOW_CANCEL) {
        cancel(flows, request, flow);
    }
    else {
        send_state(flows, request, route, flow);
    }
}

static void
handle_client_request(struct mw_context *ctx, struct mw_flows *flows,
                      int64_t wall_us, const struct mw_flow_request *request)
{
    const struct mw_flow_config *config = mw_get_flow_config(&flows->configs);
    const struct mw_flow_route *route;
    const struct mw_flow_org *org;

    if (!config) {
        mw_send_flow_error(flows, request, MW_ERR_PENDING,
                           MW_STR("no configuration yet"));
        return;
    }
    route = mw_flow_find_route(config, request->host, request->path);
    if (!route) {
        mw_send_flow_error(flows, request, MW_ERR_NO_QUEUE,
                           MW_STR("no such queue"));
        return;
    }
    org = mw_flow_find_org(config, request->key);
    if (!org && !route->keyless) {
        mw_send_flow_error(flows, request, MW_ERR_AUTH, MW_STR("unknown key"));
        return;
    }
    handle_flow_request(ctx, flows, wall_us, request, route, org);
}

/* A version that is not higher than the present one changes nothing. */
static void
handle_config(struct mw_context *ctx, struct mw_flows *flows,
              const struct mw_flow_request *request)
{
    struct mw_name none = {0};
    int err = 0;
    const struct mw_flow_config *config =
        mw_validate_flow_config(ctx, &flows->configs, request->body, &err);
    uint64_t version;
    struct mw_record *record;

    if (!config) {
        mw_emit_flow_event(flows, "config_refused", &none, "invalid");
        mw_send_flow_error(flows, request, err, mw_detail(ctx));
        return;
    }
    version = config->version;
    if (version <= mw_flows_config_version(flows)) {
        mw_emit_flow_event(flows, "config_acknowledged", &none, "not_higher");
        mw_send_flow_done(flows, request->ref, MW_REPLY_DONE);
        return;
    }
    if (version <= flows->proposed_version) {
        mw_await_flow_commit(flows, request, &none, version);
        return;
    }
    record = mw_new_record(MW_RECORD_CONFIG);
    record->config.version = version;
    record->config.text = mw_keep_blob(config->text);
    if (mw_propose_for_request(flows, request, record, &none, version)) {
        flows->proposed_version = version;
        mw_emit_flow_event(flows, "config_proposed", &none, "higher_version");
    }
}

static void
handle_read_config(struct mw_flows *flows,
                   const struct mw_flow_request *request)
{
    struct mw_flow_reply reply = {.ref = request->ref,
                                  .kind = MW_REPLY_CONFIG};
    const struct mw_flow_config *config = mw_get_flow_config(&flows->configs);

    if (!config) {
        mw_send_flow_error(flows, request, MW_ERR_PENDING,
                           MW_STR("no configuration yet"));
        return;
    }
    reply.text = config->text;
    mw_send_flow_reply(flows, &reply);
}

static void
handle_zone(struct mw_flows *flows, const struct mw_flow_request *request)
{
    struct mw_name zone = mw_name_of(request->path);
    struct mw_record *record = mw_new_record(MW_RECORD_ZONE_OUT);

    record->zone_out.zone = zone;
    record->zone_out.out = request->kind == MW_FLOW_ZONE_OUT;
    mw_emit_flow_zone_event(flows, "zone_proposed", &zone,
                            record->zone_out.out ? "out" : "in", -1);
    mw_propose_for_request(flows, request, record, &zone, 0);
}

void
mw_flows_handle_request(struct mw_context *ctx, struct mw_flows *flows,
                        int64_t now_us, int64_t wall_us,
                        const struct mw_flow_request *request)
{
    flows->now_us = now_us;
    if (!flows->is_leader || flows->suspended) {
        mw_send_flow_error(flows, request, MW_ERR_NOT_LEADER, MW_STR(""));
        return;
    }
    switch (request->kind) {
    case MW_FLOW_CONFIG:
        handle_config(ctx, flows, request);
        break;
    case MW_FLOW_READ_CONFIG:
        handle_read_config(flows, request);
        break;
    case MW_FLOW_ZONE_OUT:
    case MW_FLOW_ZONE_IN:
        handle_zone(flows, request);
        break;
    default:
        handle_client_request(ctx, flows, wall_us, request);
        break;
    }
}
