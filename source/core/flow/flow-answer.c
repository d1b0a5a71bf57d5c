/*
 * flow-answer: what became of an order.
 */
#include "flow-impl.h"

#define START_TRIES_MAX 2
#define RETRY_US 150000
/* a higher fencing token was seen: this process no longer leads */
#define FENCED_RETRY_US 3200000

static void
start_unanswered(struct mw_flows *flows, int64_t now_us,
                 struct mw_place *place)
{
    bool drained = place->endpoint->beat.draining ||
                   mw_zone_out_has(flows, &place->endpoint->beat.zone);

    place->unanswered = true;
    flows->counters.unanswered++;
    if (place->tries < START_TRIES_MAX && !drained &&
        place->unit->flow->state == MW_FLOW_ACTIVE) {
        place->retry_deadline_us = now_us;
        return;
    }
    mw_stop_place(flows, now_us, place);
    if (place->unit->step->gang) {
        mw_stop_unit(flows, now_us, place->unit);
    }
}

/* The endpoint did nothing; only an earlier order may still be on its way. */
static void
start_refused(struct mw_flows *flows, int64_t now_us, struct mw_place *place,
              enum mw_flow_result result)
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
on_start(struct mw_flows *flows, int64_t now_us, struct mw_place *place,
         const struct mw_flow_answer *answer)
{
    if (place->phase != MW_PLACE_STARTING) {
        return;
    }
    switch (answer->result) {
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
        start_refused(flows, now_us, place, answer->result);
        break;
    default:
        start_unanswered(flows, now_us, place);
        break;
    }
}

static void
on_stop(int64_t now_us, struct mw_place *place,
        const struct mw_flow_answer *answer)
{
    if (place->phase != MW_PLACE_STOPPING) {
        return;
    }
    switch (answer->result) {
    case MW_FLOW_DONE:
    case MW_FLOW_REFUSED_OLD:
        place->phase = MW_PLACE_STOPPED;
        place->settled_us = now_us;
        break;
    case MW_FLOW_REFUSED_FENCE:
        place->retry_deadline_us = now_us + FENCED_RETRY_US;
        break;
    default:
        place->retry_deadline_us = now_us + RETRY_US;
        break;
    }
}

static void
on_hold(struct mw_flows *flows, int64_t now_us,
        struct mw_flow_endpoint *endpoint, const struct mw_flow_answer *answer,
        const struct mw_flow_call *call)
{
    endpoint->holding = false;
    if (answer->result == MW_FLOW_DONE && answer->listed) {
        if (endpoint->silent > 0) {
            mw_endpoint_note(flows, "endpoint_heard", endpoint, "regained",
                             now_us - endpoint->heard_us);
        }
        endpoint->silent = 0;
        endpoint->heard_us = now_us;
        endpoint->hold_deadline_us = now_us;
        mw_observe(flows, now_us, endpoint, answer, call->sent_us);
        if (endpoint->strays > 0) {
            endpoint->hold_deadline_us = now_us + MW_HOLD_RETRY_US;
        }
        return;
    }
    if (answer->result == MW_FLOW_REFUSED_FENCE) {
        endpoint->hold_deadline_us = now_us + FENCED_RETRY_US;
        return;
    }
    if (endpoint->silent++ == 0) {
        mw_endpoint_note(flows, "endpoint_silent", endpoint,
                         mw_flow_result_word(answer->result).ptr,
                         now_us - endpoint->heard_us);
    }
    endpoint->hold_deadline_us = now_us + MW_HOLD_RETRY_US;
}

static void
take_answer(struct mw_flows *flows, int64_t now_us,
            const struct mw_flow_call *call,
            const struct mw_flow_answer *answer)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &call->endpoint);
    struct mw_place *place;

    if (!endpoint || endpoint->born != call->born) {
        return;
    }
    if (answer->born != 0 && answer->born != endpoint->born) {
        mw_endpoint_started_anew(flows, now_us, endpoint, answer->born);
        return;
    }
    if (answer->result == MW_FLOW_OTHER_INCARNATION) {
        mw_depart_endpoint(flows, now_us, endpoint, "other_incarnation");
        return;
    }
    if (answer->has_clock) {
        mw_note_clock(endpoint, now_us, answer->clock_us);
    }
    if (call->kind == MW_FLOW_HOLD) {
        on_hold(flows, now_us, endpoint, answer, call);
        return;
    }
    place = mw_find_run(endpoint, &call->task, call->run);
    if (!place) {
        return;
    }
    place->busy = false;
    mw_measure(flows, MW_TIME_ORDER, now_us - call->sent_us);
    mw_place_note(flows, call->kind == MW_FLOW_START ? "start" : "stop", place,
                  mw_flow_result_word(answer->result).ptr,
                  now_us - call->sent_us);
    if (call->kind == MW_FLOW_START) {
        on_start(flows, now_us, place, answer);
    }
    else {
        on_stop(now_us, place, answer);
    }
}

/* Nothing may be decided now: every order can be sent again. */
static void
ask_again(struct mw_flows *flows, int64_t now_us,
          const struct mw_flow_call *call)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &call->endpoint);
    struct mw_place *place;

    if (!endpoint || endpoint->born != call->born) {
        return;
    }
    if (call->kind == MW_FLOW_HOLD) {
        endpoint->holding = false;
        endpoint->hold_deadline_us = now_us;
        return;
    }
    place = mw_find_run(endpoint, &call->task, call->run);
    if (place) {
        place->busy = false;
        place->unanswered |= call->kind == MW_FLOW_START;
        place->retry_deadline_us = now_us;
    }
}

void
mw_flows_answer(struct mw_flows *flows, int64_t now_us,
                const struct mw_flow_answer *answer)
{
    struct mw_flow_call *call =
        g_hash_table_lookup(flows->calls, &answer->ref);

    if (!call) {
        return;
    }
    g_hash_table_steal(flows->calls, &answer->ref);
    if (flows->suspended) {
        ask_again(flows, now_us, call);
    }
    else if (flows->lead) {
        take_answer(flows, now_us, call, answer);
        flows->dirty = true;
    }
    g_free(call);
}
