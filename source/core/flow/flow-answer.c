/*
 * flow-answer: what became of an order.
 */
#include "flow-impl.h"

#define START_ATTEMPTS_MAX 2
#define STOP_RETRY_US 150000
/* a higher fencing token was seen: this process no longer leads */
#define FENCED_RETRY_US 3200000

static void
handle_unanswered_start(struct mw_flows *flows, int64_t now_us,
                        struct mw_place *place)
{
    bool drained = place->endpoint->beat.draining ||
                   mw_zone_out_has(flows, &place->endpoint->beat.zone);

    place->unanswered = true;
    flows->counters.unanswered++;
    if (place->tries < START_ATTEMPTS_MAX && !drained &&
        place->group->flow->state == MW_FLOW_ACTIVE) {
        place->retry_deadline_us = now_us;
        return;
    }
    mw_stop_place(flows, now_us, place);
    if (place->group->step->gang) {
        mw_stop_task_group(flows, now_us, place->group);
    }
}

/* The endpoint did nothing; only an earlier order may still be on its way. */
static void
handle_refused_start(struct mw_flows *flows, int64_t now_us,
                     struct mw_place *place, enum mw_flow_result result)
{
    struct mw_flow_endpoint *endpoint = place->endpoint;

    flows->counters.start_refusals++;
    if (result == MW_FLOW_REFUSED_SICK || result == MW_FLOW_REFUSED_ROOM) {
        endpoint->sick_deadline_us = now_us + MW_SICK_US;
        mw_endpoint_note(flows, "endpoint_sick", endpoint,
                         mw_flow_result_word(result).ptr, 0);
    }
    if (place->unanswered) {
        mw_stop_place(flows, now_us, place);
    }
    else {
        mw_lose_run(flows, now_us, place, mw_flow_result_word(result).ptr);
    }
}

static void
handle_start_response(struct mw_flows *flows, int64_t now_us,
                      struct mw_place *place,
                      const struct mw_flow_answer *response)
{
    if (place->phase != MW_PLACE_STARTING) {
        return;
    }
    switch (response->result) {
    case MW_FLOW_DONE:
        place->phase = MW_PLACE_RUNNING;
        place->settled_us = now_us;
        place->started_us = now_us;
        break;
    case MW_FLOW_REFUSED_OLD:
        /* it was there; the list tells how it ended */
        place->phase = MW_PLACE_STOPPED;
        place->settled_us = now_us;
        break;
    case MW_FLOW_REFUSED_FENCE:
        place->retry_deadline_us = now_us + FENCED_RETRY_US;
        break;
    case MW_FLOW_REFUSED:
    case MW_FLOW_REFUSED_ROOM:
    case MW_FLOW_REFUSED_SICK:
        handle_refused_start(flows, now_us, place, response->result);
        break;
    default:
        handle_unanswered_start(flows, now_us, place);
        break;
    }
}

static void
handle_stop_response(int64_t now_us, struct mw_place *place,
                     const struct mw_flow_answer *response)
{
    if (place->phase != MW_PLACE_STOPPING) {
        return;
    }
    switch (response->result) {
    case MW_FLOW_DONE:
    case MW_FLOW_REFUSED_OLD:
        place->phase = MW_PLACE_STOPPED;
        place->settled_us = now_us;
        break;
    case MW_FLOW_REFUSED_FENCE:
        place->retry_deadline_us = now_us + FENCED_RETRY_US;
        break;
    default:
        place->retry_deadline_us = now_us + STOP_RETRY_US;
        break;
    }
}

static void
handle_renewal_response(struct mw_flows *flows, int64_t now_us,
                        struct mw_flow_endpoint *endpoint,
                        const struct mw_flow_answer *response,
                        const struct mw_flow_call *pending)
{
    endpoint->holding = false;
    if (response->result == MW_FLOW_DONE && response->listed) {
        if (endpoint->silent > 0) {
            mw_endpoint_note(flows, "endpoint_heard", endpoint, "regained",
                             now_us - endpoint->heard_us);
        }
        endpoint->silent = 0;
        endpoint->heard_us = now_us;
        endpoint->hold_deadline_us = now_us;
        mw_observe(flows, now_us, endpoint, response, pending->sent_us);
        if (endpoint->strays > 0) {
            endpoint->hold_deadline_us = now_us + MW_HOLD_RETRY_US;
        }
        return;
    }
    if (response->result == MW_FLOW_REFUSED_FENCE) {
        endpoint->hold_deadline_us = now_us + FENCED_RETRY_US;
        return;
    }
    if (endpoint->silent++ == 0) {
        mw_endpoint_note(flows, "endpoint_silent", endpoint,
                         mw_flow_result_word(response->result).ptr,
                         now_us - endpoint->heard_us);
    }
    endpoint->hold_deadline_us = now_us + MW_HOLD_RETRY_US;
}

static void
handle_response(struct mw_flows *flows, int64_t now_us,
                const struct mw_flow_call *pending,
                const struct mw_flow_answer *response)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &pending->endpoint);
    struct mw_place *place;

    if (!endpoint || endpoint->born != pending->born) {
        return;
    }
    if (response->born != 0 && response->born != endpoint->born) {
        mw_endpoint_started_anew(flows, now_us, endpoint, response->born);
        return;
    }
    if (response->result == MW_FLOW_OTHER_INCARNATION) {
        mw_depart_endpoint(flows, now_us, endpoint, "other_incarnation");
        return;
    }
    if (response->has_clock) {
        mw_note_clock(endpoint, now_us, response->clock_us);
    }
    if (pending->kind == MW_FLOW_HOLD) {
        handle_renewal_response(flows, now_us, endpoint, response, pending);
        return;
    }
    place = mw_find_run(endpoint, &pending->task, pending->run);
    if (!place) {
        return;
    }
    place->busy = false;
    mw_measure(flows, MW_TIME_ORDER, now_us - pending->sent_us);
    mw_place_note(flows, pending->kind == MW_FLOW_START ? "start" : "stop",
                  place, mw_flow_result_word(response->result).ptr,
                  now_us - pending->sent_us);
    if (pending->kind == MW_FLOW_START) {
        handle_start_response(flows, now_us, place, response);
    }
    else {
        handle_stop_response(now_us, place, response);
    }
}

/* Nothing may be decided now: every order can be sent again. */
static void
retry_command(struct mw_flows *flows, int64_t now_us,
              const struct mw_flow_call *pending)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &pending->endpoint);
    struct mw_place *place;

    if (!endpoint || endpoint->born != pending->born) {
        return;
    }
    if (pending->kind == MW_FLOW_HOLD) {
        endpoint->holding = false;
        endpoint->hold_deadline_us = now_us;
        return;
    }
    place = mw_find_run(endpoint, &pending->task, pending->run);
    if (place) {
        place->busy = false;
        place->unanswered |= pending->kind == MW_FLOW_START;
        place->retry_deadline_us = now_us;
    }
}

void
mw_flows_answer(struct mw_flows *flows, int64_t now_us,
                const struct mw_flow_answer *response)
{
    struct mw_flow_call *pending =
        g_hash_table_lookup(flows->calls, &response->ref);

    if (!pending) {
        return;
    }
    g_hash_table_steal(flows->calls, &response->ref);
    if (flows->suspended) {
        retry_command(flows, now_us, pending);
    }
    else if (flows->lead) {
        handle_response(flows, now_us, pending, response);
        flows->dirty = true;
    }
    g_free(pending);
}
