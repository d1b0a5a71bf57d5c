/*
 * flow-reply: replies to the requests of clients and operators.
 */
#include "flow-reply.h"
#include "flow-scheduler-state.h"
#include "retry-after.h"

void
mw_send_flow_reply(struct mw_flows *flows, struct mw_flow_reply *reply)
{
    flows->output.reply(flows->output.opaque, reply);
}

int64_t
mw_take_flow_retry_after(struct mw_flows *flows,
                         const struct mw_flow_request *request,
                         const struct mw_flow_route *route, int error)
{
    struct mw_refusal refusal = {
        .cause = MW_REFUSAL_OVERLOADED,
        .urgent =
            request->kind >= MW_FLOW_CONFIG || (route && route->priority == 0),
        .job_hash = mw_hash_job(request->path),
    };
    int64_t delay_us;

    if (error == MW_ERR_NOT_LEADER) {
        /* the process that forwarded the request decides for itself */
        return MW_RETRY_AFTER_MIN_US;
    }
    if (error != MW_ERR_OVERLOADED && error != MW_ERR_PENDING) {
        return 0;
    }
    delay_us = mw_take_retry_after(&flows->refusals, flows->now_us, &refusal);
    flows->counters.refused_by_delay[delay_us / MW_RETRY_AFTER_MIN_US - 1]++;
    return delay_us;
}

void
mw_send_flow_error(struct mw_flows *flows,
                   const struct mw_flow_request *request, int error,
                   struct mw_str detail)
{
    struct mw_flow_reply reply = {
        .ref = request->ref,
        .kind = MW_REPLY_ERROR,
        .error = error,
        .detail = detail,
        .retry_after_us =
            mw_take_flow_retry_after(flows, request, NULL, error),
    };

    mw_send_flow_reply(flows, &reply);
}

void
mw_send_flow_done(struct mw_flows *flows, uint64_t ref,
                  enum mw_flow_reply_kind kind)
{
    struct mw_flow_reply reply = {.ref = ref, .kind = kind};

    mw_send_flow_reply(flows, &reply);
}

void
mw_send_flow_accepted(struct mw_flows *flows, uint64_t ref,
                      const struct mw_flow_route *route)
{
    struct mw_flow_reply reply = {.ref = ref, .kind = MW_REPLY_ACCEPTED};

    if (route) {
        reply.has_priority = true;
        reply.priority = route->priority;
    }
    mw_send_flow_reply(flows, &reply);
}
