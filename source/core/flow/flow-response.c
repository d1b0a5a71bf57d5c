/*
 * flow-response: responses to commands.
 */
#include "flow-capacity.h"
#include "flow-command-queue.h"
#include "flow-command.h"
#include "flow-crash.h"
#include "flow-endpoint-address.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-event.h"
#include "flow-health.h"
#include "flow-late-start.h"
#include "flow-lease.h"
#include "flow-measure.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-reconcile.h"
#include "flow-run-end.h"
#include "flow-scheduler-state.h"
#include "flow-silence.h"
#include "flow-speed.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "mimosawind/flow.h"

#define STOP_RETRY_US INT64_C(150000)
/* the delay doubles up to this while the endpoint can't be reached */
#define STOP_RETRY_MAX_US INT64_C(1200000)
/* the endpoint has seen a higher fencing token: there is another leader */
#define FENCED_RETRY_US 3200000

static void
handle_unanswered_start(struct mw_flows *flows, int64_t now_us,
                        struct mw_task_placement *placement,
                        const struct mw_flow_response *response)
{
    bool drained =
        placement->endpoint->heartbeat.draining ||
        mw_flow_zone_is_out(flows, &placement->endpoint->heartbeat.zone);

    placement->start_cut_off |= response->was_cut_off;
    if (response->result == MW_FLOW_NO_PROCESS) {
        mw_blame_unanswered_start(placement);
    }
    placement->start_unanswered = true;
    flows->counters.unanswered++;
    if (!drained && mw_may_start_again(flows, now_us, placement)) {
        placement->retry_deadline_us = now_us;
        return;
    }
    mw_give_up_start(flows, now_us, placement);
}

/*
 * The endpoint did nothing, but an earlier start without a response may still
 * arrive; such a run is stopped.
 */
static void
handle_refused_start(struct mw_flows *flows, int64_t now_us,
                     struct mw_task_placement *placement,
                     enum mw_flow_result result)
{
    struct mw_flow_endpoint *endpoint = placement->endpoint;

    flows->counters.start_refusals++;
    if (result == MW_FLOW_REFUSED_SICK || result == MW_FLOW_REFUSED_ROOM) {
        endpoint->quarantine_deadline_us = now_us + MW_REFUSAL_QUARANTINE_US;
        mw_emit_flow_endpoint_event(flows, "endpoint_sick", endpoint,
                                    mw_flow_result_str(result).ptr, 0);
    }
    if (placement->start_unanswered) {
        mw_stop_task_placement(flows, now_us, placement);
    }
    else {
        mw_lose_run(flows, now_us, placement, mw_flow_result_str(result).ptr);
    }
}

/* What is left of the starts that were sent. */
static void
note_start_response(struct mw_task_placement *placement, int64_t now_us,
                    const struct mw_flow_response *response)
{
    bool was_in_flight = placement->start_in_flight;

    placement->start_in_flight = false;
    if (response->was_repeated) {
        mw_note_unanswered_start(placement, placement->start_sent_us);
    }
    switch (response->result) {
    case MW_FLOW_DONE:
    case MW_FLOW_REFUSED_OLD:
        mw_note_executed_start(placement, now_us);
        break;
    case MW_FLOW_NO_ANSWER:
        if (was_in_flight) {
            mw_note_unanswered_start(placement, placement->start_sent_us);
        }
        break;
    default:
        /* it was not executed, and can't be any more */
        placement->starts_sent -= was_in_flight && !response->was_repeated;
        break;
    }
}

static void
handle_start_response(struct mw_flows *flows, int64_t now_us,
                      struct mw_task_placement *placement,
                      const struct mw_flow_response *response)
{
    note_start_response(placement, now_us, response);
    if (placement->phase != MW_PLACEMENT_STARTING) {
        return;
    }
    switch (response->result) {
    case MW_FLOW_DONE:
        if (placement->endpoint->is_contested) {
            /* perhaps by another process than the one that is known */
            placement->phase = MW_PLACEMENT_UNKNOWN;
            break;
        }
        placement->phase = MW_PLACEMENT_RUNNING;
        placement->last_response_us = now_us;
        placement->started_us = now_us;
        mw_note_run_start(placement, now_us);
        mw_measure_reclaim(flows, placement->group, now_us);
        break;
    case MW_FLOW_REFUSED_OLD:
        /* it has been there; the list will show how it ended */
        placement->phase = MW_PLACEMENT_STOPPED;
        placement->last_response_us = now_us;
        break;
    case MW_FLOW_REFUSED_FENCE:
        placement->retry_deadline_us = now_us + FENCED_RETRY_US;
        break;
    case MW_FLOW_REFUSED:
    case MW_FLOW_REFUSED_ROOM:
    case MW_FLOW_REFUSED_SICK:
    case MW_FLOW_REFUSED_LATE:
        handle_refused_start(flows, now_us, placement, response->result);
        break;
    default:
        handle_unanswered_start(flows, now_us, placement, response);
        break;
    }
}

static void
handle_stop_response(int64_t now_us, struct mw_task_placement *placement,
                     const struct mw_flow_response *response)
{
    enum mw_flow_result result = response->result;

    if (placement->phase != MW_PLACEMENT_STOPPING) {
        return;
    }
    if (placement->endpoint->is_contested) {
        /* accepted perhaps by another process than the one that is known */
        result = MW_FLOW_NO_ANSWER;
    }
    switch (result) {
    case MW_FLOW_DONE:
    case MW_FLOW_REFUSED_OLD:
        placement->phase = MW_PLACEMENT_STOPPED;
        placement->last_response_us = now_us;
        break;
    case MW_FLOW_REFUSED_FENCE:
        placement->retry_deadline_us = now_us + FENCED_RETRY_US;
        break;
    default:
        placement->retry_deadline_us =
            now_us + MIN(STOP_RETRY_US << MIN(placement->failed_stops, 8),
                         STOP_RETRY_MAX_US);
        placement->failed_stops++;
        break;
    }
}

/* The endpoint can be reached again, so stops need not wait any longer. */
static void
resume_stops(int64_t now_us, struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        struct mw_task_placement *placement = endpoint->placements->pdata[i];

        if (placement->phase == MW_PLACEMENT_STOPPING) {
            placement->failed_stops = 0;
            placement->retry_deadline_us =
                MIN(placement->retry_deadline_us, now_us);
        }
    }
}

/* A connection that was refused, or broke before the time for a response. */
static bool
is_connection_lost(const struct mw_flow_response *response, int64_t now_us,
                   const struct mw_flow_pending_command *renewal)
{
    int64_t deadline_us =
        renewal->sent_us + renewal->long_poll_us + MW_COMMAND_TIMEOUT_US;

    return response->result == MW_FLOW_NO_PROCESS ||
           (response->result == MW_FLOW_NO_ANSWER &&
            !response->was_undelivered && now_us < deadline_us);
}

/*
 * A renewal that granted a lease lost its connection, and this is what became
 * of the next one.  If that was refused, the process that had the connection
 * has ended, and the grant counts as executed by now.
 */
static void
settle_lost_grant(struct mw_flow_endpoint *endpoint, int64_t now_us,
                  enum mw_flow_result result)
{
    if (result == MW_FLOW_NO_PROCESS &&
        endpoint->prior_grant_deadline_us > 0) {
        endpoint->grant_deadline_us =
            MAX(endpoint->prior_grant_deadline_us, now_us);
    }
    endpoint->prior_grant_deadline_us = 0;
}

static void
handle_failed_renewal(struct mw_flows *flows, int64_t now_us,
                      struct mw_flow_endpoint *endpoint,
                      const struct mw_flow_response *response,
                      const struct mw_flow_pending_command *renewal)
{
    if (endpoint->renewal_failures++ == 0) {
        mw_emit_flow_endpoint_event(flows, "endpoint_silent", endpoint,
                                    mw_flow_result_str(response->result).ptr,
                                    now_us - endpoint->last_contact_us);
        if (is_connection_lost(response, now_us, renewal)) {
            endpoint->connection_lost_us = now_us;
        }
    }
    if (response->result == MW_FLOW_NO_PROCESS &&
        endpoint->connection_lost_us > 0 && !endpoint->has_crashed) {
        endpoint->has_crashed = true;
        mw_blame_crash(flows, endpoint);
    }
    if (!renewal->grants_lease) {
        settle_lost_grant(endpoint, now_us, response->result);
    }
    endpoint->renewal_deadline_us = now_us + MW_RENEWAL_RETRY_US;
}

/* The first list of a process that executed calls for the one before it. */
static void
identify_process(struct mw_flows *flows, int64_t now_us,
                 struct mw_flow_endpoint *endpoint)
{
    endpoint->answered_expiry_us =
        MAX(endpoint->answered_expiry_us,
            now_us + mw_lease_duration(flows->limits.lease_max_us));
}

static void
note_list(struct mw_flows *flows, int64_t now_us,
          struct mw_flow_endpoint *endpoint,
          const struct mw_flow_pending_command *renewal)
{
    if (endpoint->listed_generation != endpoint->generation &&
        endpoint->grant_deadline_us > 0) {
        identify_process(flows, now_us, endpoint);
    }
    endpoint->listed_generation = endpoint->generation;
    mw_confirm_flow_endpoint(flows, now_us, endpoint);
    mw_end_silence(flows, now_us, endpoint);
    endpoint->list_requested_us = renewal->sent_us;
    endpoint->list_read_us = now_us;
}

static void
handle_renewal_response(struct mw_flows *flows, int64_t now_us,
                        struct mw_flow_endpoint *endpoint,
                        const struct mw_flow_response *response,
                        const struct mw_flow_pending_command *pending)
{
    if (response->result == MW_FLOW_DONE && response->has_list) {
        if (endpoint->renewal_failures > 0) {
            mw_emit_flow_endpoint_event(flows, "endpoint_heard", endpoint,
                                        "regained",
                                        now_us - endpoint->last_contact_us);
            resume_stops(now_us, endpoint);
            mw_withdraw_blame(endpoint);
        }
        mw_settle_recalled_blame(endpoint);
        endpoint->is_contested = false;
        endpoint->renewal_failures = 0;
        endpoint->prior_grant_deadline_us = 0;
        endpoint->connection_lost_us = 0;
        endpoint->has_crashed = false;
        endpoint->last_contact_us = now_us;
        endpoint->renewal_deadline_us = now_us;
        note_list(flows, now_us, endpoint, pending);
        mw_reconcile_list(flows, now_us, endpoint, response, pending);
        if (endpoint->unknown_runs > 0 || mw_is_muted(endpoint)) {
            endpoint->renewal_deadline_us = now_us + MW_RENEWAL_RETRY_US;
        }
        return;
    }
    if (response->result == MW_FLOW_REFUSED_FENCE) {
        endpoint->renewal_deadline_us = now_us + FENCED_RETRY_US;
        return;
    }
    handle_failed_renewal(flows, now_us, endpoint, response, pending);
}

/*
 * A list that names the incarnation shows which process has carried out the
 * call; other responses may come from any process of the endpoint.
 */
static void
note_grant(int64_t now_us, struct mw_flow_endpoint *endpoint,
           const struct mw_flow_pending_command *pending,
           const struct mw_flow_response *response)
{
    if (!pending->grants_lease) {
        return;
    }
    mw_settle_grant(endpoint, pending, response->result != MW_FLOW_NO_ANSWER,
                    response->was_repeated);
    if (response->result == MW_FLOW_NO_ANSWER) {
        int64_t prior_us = MAX(endpoint->grant_deadline_us, 1);

        mw_note_unidentified_grant(endpoint,
                                   pending->sent_us + MW_LATE_EXECUTION_US);
        if (pending->kind == MW_FLOW_COMMAND_RENEW &&
            is_connection_lost(response, now_us, pending)) {
            endpoint->prior_grant_deadline_us = prior_us;
        }
    }
    else if (!response->has_list ||
             (response->incarnation != 0 &&
              response->incarnation != endpoint->incarnation)) {
        mw_note_unidentified_grant(endpoint, now_us);
    }
}

/* Whether another process of the endpoint has responded, by its clock. */
static bool
contradicts_clock(const struct mw_flow_endpoint *endpoint, int64_t now_us,
                  const struct mw_flow_pending_command *pending,
                  const struct mw_flow_response *response)
{
    return response->has_clock && !response->has_list &&
           !mw_clock_fits(endpoint, now_us, pending->sent_us,
                          response->clock_us);
}

static void
handle_response(struct mw_flows *flows, int64_t now_us,
                const struct mw_flow_pending_command *pending,
                const struct mw_flow_response *response)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &pending->endpoint);
    struct mw_task_placement *placement;

    if (!endpoint || endpoint->generation != pending->generation) {
        return;
    }
    note_grant(now_us, endpoint, pending, response);
    if (response->incarnation != 0 &&
        response->incarnation != endpoint->incarnation) {
        mw_flow_endpoint_restarted(flows, now_us, endpoint,
                                   response->incarnation);
        mw_settle_held_heartbeat(flows, now_us, endpoint);
        return;
    }
    if (response->result == MW_FLOW_OTHER_INCARNATION) {
        mw_void_outstanding_starts(endpoint);
        mw_deregister_flow_endpoint(flows, now_us, endpoint,
                                    "other_incarnation");
        mw_settle_held_heartbeat(flows, now_us, endpoint);
        return;
    }
    if (contradicts_clock(endpoint, now_us, pending, response)) {
        mw_contest_flow_endpoint(flows, now_us, endpoint, "clock");
    }
    else if (response->has_clock) {
        mw_read_flow_endpoint_clock(endpoint, now_us, pending->sent_us,
                                    response->clock_us);
    }
    if (pending->kind == MW_FLOW_COMMAND_RENEW) {
        if (pending->ref == endpoint->renewal_ref) {
            endpoint->renewal_pending = false;
        }
        /* else a later renewal was answered first */
        if (pending->sent_us >= endpoint->list_requested_us) {
            handle_renewal_response(flows, now_us, endpoint, response,
                                    pending);
            mw_settle_leave(flows, now_us, endpoint, response->result);
            mw_settle_held_heartbeat(flows, now_us, endpoint);
        }
        return;
    }
    placement = mw_find_task_placement(endpoint, &pending->task, pending->run);
    if (!placement) {
        return;
    }
    placement->command_pending = false;
    mw_count_latency(flows, MW_LATENCY_ORDER, now_us - pending->sent_us);
    mw_emit_task_event(
        flows, pending->kind == MW_FLOW_COMMAND_START ? "start" : "stop",
        placement, mw_flow_result_str(response->result).ptr,
        now_us - pending->sent_us);
    if (pending->kind == MW_FLOW_COMMAND_START) {
        handle_start_response(flows, now_us, placement, response);
    }
    else {
        handle_stop_response(now_us, placement, response);
    }
}

/* While suspended the response is ignored; any command can be sent again. */
static void
retry_command(struct mw_flows *flows, int64_t now_us,
              const struct mw_flow_pending_command *pending)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &pending->endpoint);
    struct mw_task_placement *placement;

    if (!endpoint || endpoint->generation != pending->generation) {
        return;
    }
    if (pending->grants_lease) {
        mw_settle_grant(endpoint, pending, false, false);
        mw_note_unidentified_grant(endpoint,
                                   pending->sent_us + MW_LATE_EXECUTION_US);
    }
    if (pending->kind == MW_FLOW_COMMAND_RENEW) {
        endpoint->renewal_pending = false;
        endpoint->renewal_deadline_us = now_us;
        return;
    }
    placement = mw_find_task_placement(endpoint, &pending->task, pending->run);
    if (placement) {
        placement->command_pending = false;
        if (pending->kind == MW_FLOW_COMMAND_START) {
            mw_note_unanswered_start(placement, pending->sent_us);
        }
        placement->retry_deadline_us = now_us;
    }
}

/*
 * How long the response took, without the wait that was asked for; negative
 * if that is not known.
 */
static int64_t
response_time(const struct mw_flow_pending_command *pending,
              const struct mw_flow_response *response, int64_t now_us)
{
    if (response->result == MW_FLOW_NO_ANSWER) {
        return -1;
    }
    return now_us - pending->sent_us - pending->long_poll_us;
}

/* The queue learns how long it took, and what waits may be sent. */
static void
note_response(struct mw_flows *flows, int64_t now_us,
              const struct mw_flow_pending_command *pending,
              const struct mw_flow_response *response)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &pending->endpoint);

    if (endpoint && endpoint->generation == pending->generation) {
        endpoint->unresponsive = response->result == MW_FLOW_NO_ANSWER;
    }
    mw_command_responded(&flows->command_queue, now_us, pending->counts,
                         response_time(pending, response, now_us));
}

void
mw_flows_handle_response(struct mw_flows *flows, int64_t now_us,
                         const struct mw_flow_response *response)
{
    struct mw_flow_pending_command *pending =
        g_hash_table_lookup(flows->pending_commands, &response->ref);

    if (!pending) {
        return;
    }
    flows->now_us = now_us;
    g_hash_table_steal(flows->pending_commands, &response->ref);
    note_response(flows, now_us, pending, response);
    mw_note_begun_by_response(flows, pending, response);
    if (flows->suspended) {
        retry_command(flows, now_us, pending);
    }
    else if (flows->is_leader) {
        handle_response(flows, now_us, pending, response);
        flows->dirty = true;
        mw_send_waiting_commands(flows, now_us);
    }
    g_free(pending);
}
