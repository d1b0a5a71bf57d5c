/*
 * flow-submit: whether a submitted flow is accepted.
 *
 * A reply that the flow was not run is sent only if no record was proposed.
 */
#include "flow-admission.h"
#include "flow-capacity.h"
#include "flow-endpoint-state.h"
#include "flow-event.h"
#include "flow-pending-request.h"
#include "flow-place.h"
#include "flow-quota.h"
#include "flow-reply.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-submit.h"
#include "mimosawind/flow.h"

/*
 * Whether the endpoint could hold such a task, as far as is known of it: a
 * record may say that its capacity is not known.
 */
static bool
could_hold(const struct mw_flow_endpoint *endpoint,
           const struct mw_flow_resources *need)
{
    static const struct mw_flow_resources nothing = {0};
    const struct mw_flow_resources *largest = &endpoint->largest_total;
    bool has_capacity = largest->cpu || largest->memory_mb || largest->gpus;

    return endpoint->awaiting_heartbeat ||
           (!has_capacity && !mw_endpoint_is_heard(endpoint)) ||
           mw_tasks_that_fit(largest, &nothing, need) > 0;
}

/*
 * Whether one task of each step fits some registered endpoint, if nothing else
 * runs there and it has the most that it ever had: a capacity that has shrunk
 * may grow again.  Without any endpoint of the service the flow may wait for
 * one.
 */
static bool
can_ever_run(const struct mw_flows *flows, const struct mw_flow_route *route,
             const struct mw_flow_plan *plan)
{
    GHashTableIter iter;
    gpointer value;

    for (uint32_t i = 0; i < plan->step_count; i++) {
        bool fits = false;
        bool any = false;

        g_hash_table_iter_init(&iter, flows->endpoints);
        while (!fits && g_hash_table_iter_next(&iter, NULL, &value)) {
            const struct mw_flow_endpoint *endpoint = value;

            if (!endpoint->registered ||
                !mw_name_equal(&endpoint->heartbeat.service,
                               &route->service)) {
                continue;
            }
            any = true;
            fits = could_hold(endpoint, &plan->steps[i].need);
        }
        if (any && !fits) {
            return false;
        }
    }
    return true;
}

static void
propose_flow(struct mw_flows *flows, int64_t wall_us,
             const struct mw_flow_request *request,
             const struct mw_flow_route *route, const struct mw_flow_org *org,
             const struct mw_name *id, const struct mw_flow_size *size)
{
    struct mw_record *record = mw_new_record(MW_RECORD_FLOW);
    struct mw_flow_pending_request *pending;

    record->flow.id = *id;
    record->flow.route = *route;
    if (org) {
        record->flow.org = org->name;
    }
    record->flow.accepted_wall_us = wall_us;
    record->flow.plan = mw_new_blob(request->body);
    pending = mw_propose_for_request(flows, request, record, id, 0);
    if (pending) {
        pending->size = *size;
        flows->counters.accepted++;
    }
}

void
mw_refuse_submission(struct mw_flows *flows,
                     const struct mw_flow_request *request,
                     const struct mw_flow_route *route,
                     const struct mw_name *id, int error, const char *reason)
{
    struct mw_flow_reply reply = {
        .ref = request->ref,
        .kind = MW_REPLY_ERROR,
        .error = error,
        .detail = mw_str_from(reason),
        .retry_after_us =
            mw_take_flow_retry_after(flows, request, route, error),
    };

    flows->counters.refused++;
    mw_emit_refused_event(flows, id, reason, reply.retry_after_us);
    mw_send_flow_reply(flows, &reply);
}

/* Proposes the flow, unless it can't be run or held. */
static void
admit(struct mw_flows *flows, int64_t wall_us,
      const struct mw_flow_request *request, const struct mw_flow_route *route,
      const struct mw_flow_org *org, const struct mw_name *id,
      const struct mw_flow_plan *plan)
{
    struct mw_flow_size size = mw_flow_plan_size(plan, request->body);
    int err = mw_check_flow_size(flows, &size);

    if (plan->unsupported) {
        mw_refuse_submission(flows, request, route, id, MW_ERR_IMPOSSIBLE,
                             plan->unsupported);
    }
    else if (!can_ever_run(flows, route, plan)) {
        mw_refuse_submission(flows, request, route, id, MW_ERR_IMPOSSIBLE,
                             "no_endpoint_is_large_enough");
    }
    else if (!mw_caps_admit_plan(org, plan)) {
        mw_refuse_submission(flows, request, route, id, MW_ERR_IMPOSSIBLE,
                             "cap_is_too_small");
    }
    else if (err) {
        mw_refuse_submission(flows, request, route, id, err,
                             err == MW_ERR_IMPOSSIBLE ? "too_large_to_be_held"
                                                      : "too_much_is_held");
    }
    else {
        propose_flow(flows, wall_us, request, route, org, id, &size);
    }
}

void
mw_submit_flow(struct mw_context *ctx, struct mw_flows *flows, int64_t wall_us,
               const struct mw_flow_request *request,
               const struct mw_flow_route *route,
               const struct mw_flow_org *org, const struct mw_name *id)
{
    struct mw_flow *flow = mw_find_flow(flows, id);
    struct mw_flow_plan *plan;
    int err = 0;

    if (flow) {
        flows->counters.resent++;
        mw_send_flow_accepted(flows, request->ref, route);
        return;
    }
    if (mw_submission_is_pending(flows, id)) {
        flows->counters.resent++;
        mw_await_flow_commit(flows, request, id, 0);
        return;
    }
    plan = flows->output.decode_plan(flows->output.opaque, ctx, request->body,
                                     &err);
    if (!plan) {
        mw_refuse_submission(flows, request, route, id, err, "unreadable");
        return;
    }
    admit(flows, wall_us, request, route, org, id, plan);
    mw_drop_flow_plan(plan);
}
