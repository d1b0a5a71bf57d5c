/*
 * flow-silence: endpoints that do not answer, over changes of the leader.
 */
#include "flow-silence.h"
#include "flow-doubt.h"
#include "flow-endpoint-state.h"
#include "flow-event.h"
#include "flow-registry.h"
#include "flow-scheduler-state.h"

/* an endpoint that has not answered for so long is silent */
#define SILENT_AFTER_US INT64_C(1000000)
/* records in one round of maintenance */
#define SILENCE_RECORDS_MAX 64

void
mw_recall_silence(const struct mw_flows *flows, int64_t now_us,
                  struct mw_flow_endpoint *endpoint)
{
    const struct mw_record *record =
        g_hash_table_lookup(flows->endpoint_records, &endpoint->id);

    if (!record || record->endpoint.silent_since_us == 0) {
        return;
    }
    endpoint->silent_since_us = record->endpoint.silent_since_us;
    endpoint->last_silence_us = endpoint->silent_since_us;
    endpoint->has_earlier_calls = true;
    endpoint->earlier_calls_us =
        MIN(now_us, now_us - (mw_flow_clock_time(&flows->clock, now_us) -
                              endpoint->silent_since_us));
}

/* Whether it has runs, and has not answered for a while. */
static bool
is_silent(const struct mw_flows *flows, int64_t now_us,
          const struct mw_flow_endpoint *endpoint)
{
    bool never_listed = endpoint->list_read_us < flows->leads_since_us;

    return !mw_is_muted(endpoint) && endpoint->placements->len > 0 &&
           endpoint->registered && !endpoint->deregistered &&
           (never_listed || endpoint->renewal_failures > 0) &&
           now_us - MAX(endpoint->list_read_us, flows->leads_since_us) >=
               SILENT_AFTER_US &&
           g_hash_table_contains(flows->endpoint_records, &endpoint->id);
}

/* It is muted before its record is committed, which can't be taken back. */
static void
mute(struct mw_flows *flows, int64_t now_us, struct mw_flow_endpoint *endpoint)
{
    int64_t calls_us = MAX(endpoint->granted_us, flows->leads_since_us);
    int64_t since_us = mw_flow_clock_time(&flows->clock, calls_us);

    /* records tell silences by their times */
    endpoint->silent_since_us = MAX(since_us, endpoint->last_silence_us + 1);
    endpoint->last_silence_us = endpoint->silent_since_us;
    mw_propose_silence(flows, now_us, endpoint);
    mw_emit_flow_endpoint_event(flows, "endpoint_muted", endpoint, "silent",
                                now_us - calls_us);
    mw_report_silent_runs(flows, now_us, endpoint);
}

void
mw_record_silences(struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t proposed = 0;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (proposed < SILENCE_RECORDS_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_flow_endpoint *endpoint = value;

        if (is_silent(flows, now_us, endpoint)) {
            proposed++;
            mute(flows, now_us, endpoint);
        }
    }
}

void
mw_end_silence(struct mw_flows *flows, int64_t now_us,
               struct mw_flow_endpoint *endpoint)
{
    if (mw_is_muted(endpoint) && !endpoint->awaits_heard_record) {
        endpoint->awaits_heard_record =
            mw_propose_end_of_silence(flows, now_us, endpoint);
    }
}

void
mw_apply_silence(struct mw_flow_endpoint *endpoint,
                 const struct mw_record_endpoint *record)
{
    if (mw_is_muted(endpoint) &&
        record->ended_silence_us == endpoint->silent_since_us) {
        endpoint->awaits_heard_record = false;
        endpoint->silent_since_us = 0;
        /* its runs need a lease */
        endpoint->renewal_deadline_us = 0;
    }
}
