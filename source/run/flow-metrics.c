#include "flow-metrics.h"

#include <inttypes.h>

static void
add_histogram(GString *out, struct mw_str name,
              const struct mw_flow_histogram *histogram)
{
    uint64_t cumulative = 0;

    for (int i = 0; i < MW_LATENCY_BUCKETS - 1; i++) {
        cumulative += histogram->buckets[i];
        g_string_append_printf(
            out, "mimosawind_%.*s_seconds_bucket{le=\"%.3f\"} %" PRIu64 "\n",
            MW_FMT(name), (double)(1 << i) / 1000, cumulative);
    }
    g_string_append_printf(
        out,
        "mimosawind_%.*s_seconds_bucket{le=\"+Inf\"} %" PRIu64
        "\nmimosawind_%.*s_seconds_sum %.6f\n"
        "mimosawind_%.*s_seconds_count %" PRIu64 "\n",
        MW_FMT(name), histogram->count, MW_FMT(name),
        (double)histogram->sum_us / 1e6, MW_FMT(name), histogram->count);
}

#define COUNTER(name)                                                         \
    g_string_append_printf(out, "mimosawind_" #name " %" PRIu64 "\n",         \
                           counters->name)

/* What the member of the log holds, and how often it was made smaller. */
static void
add_log_status(GString *out, const struct mw_log_status *log)
{
    static const struct mw_log_counters none;
    const struct mw_log_counters *counters =
        log->counters ? log->counters : &none;

    g_string_append_printf(
        out,
        "mimosawind_leads %d\nmimosawind_term %" PRIu64
        "\nmimosawind_commit %" PRIu64 "\nmimosawind_log_entries %" PRIu64
        "\nmimosawind_log_bytes %" PRIu64 "\n",
        log->role == MW_LEADER, log->term, log->commit_index,
        log->last_index - log->snapshot_index, log->bytes);
    COUNTER(early_elections);
    COUNTER(snapshots_taken);
    COUNTER(snapshots_sent);
    COUNTER(snapshots_received);
}

/* Quotes, backslashes and line breaks are escaped, and nothing else. */
static char *
escape_label(struct mw_str text)
{
    GString *label = g_string_new(NULL);

    for (size_t i = 0; i < text.len; i++) {
        char c = text.ptr[i];

        if (c == '"' || c == '\\' || c == '\n') {
            g_string_append_c(label, '\\');
        }
        g_string_append_c(label, c == '\n' ? 'n' : c);
    }
    return g_string_free(label, FALSE);
}

static void
add_org_value(GString *out, const char *name, const char *label,
              uint64_t value)
{
    g_string_append_printf(out, "mimosawind_org_%s{org=\"%s\"} %" PRIu64 "\n",
                           name, label, value);
}

static void
add_org(GString *out, const struct mw_flow_org_status *org)
{
    char *label = escape_label(mw_name_str(&org->name));

    add_org_value(out, "used_cpu", label, org->used.cpu);
    add_org_value(out, "used_memory_mb", label, org->used.memory_mb);
    add_org_value(out, "used_gpus", label, org->used.gpus);
    add_org_value(out, "waiting_tasks", label, org->waiting_tasks);
    if (!org->is_sum) {
        add_org_value(out, "cap_cpu", label, org->cap.cpu);
        add_org_value(out, "cap_memory_mb", label, org->cap.memory_mb);
        add_org_value(out, "cap_gpus", label, org->cap.gpus);
        add_org_value(out, "weight", label, org->weight);
    }
    g_free(label);
}

void
mw_add_org_metrics(GString *out, const struct mw_flow_org_status *orgs,
                   uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        add_org(out, &orgs[i]);
    }
}

void
mw_add_refusals_by_delay(GString *out, const char *name,
                         const uint64_t *counts)
{
    for (int i = 0; i < MW_FLOW_RETRY_AFTER_MAX_S; i++) {
        g_string_append_printf(out,
                               "mimosawind_%s{seconds=\"%d\"} %" PRIu64 "\n",
                               name, i + 1, counts[i]);
    }
}

GString *
mw_format_flow_metrics(const struct mw_flow_control *control,
                       const struct mw_event_log_drops *drops)
{
    const struct mw_flow_counters *counters =
        mw_flow_control_get_counters(control);
    GString *out = g_string_new(NULL);
    struct mw_log_status log;
    struct mw_flows_status flows;
    struct mw_flow_org_status orgs[MW_FLOW_ORGS_NAMED_MAX + 1];

    mw_flow_control_get_status(control, &log, &flows);
    add_log_status(out, &log);
    COUNTER(accepted);
    COUNTER(refused);
    mw_add_refusals_by_delay(out, "refused_by_delay",
                             counters->refused_by_delay);
    COUNTER(resent);
    COUNTER(completed);
    COUNTER(failed);
    COUNTER(cancelled);
    COUNTER(starts);
    COUNTER(start_refusals);
    COUNTER(starts_withdrawn);
    COUNTER(unanswered);
    COUNTER(stops);
    COUNTER(holds);
    COUNTER(ends);
    COUNTER(failures);
    COUNTER(lost_runs);
    COUNTER(preempted);
    COUNTER(preemptions_impossible);
    COUNTER(reservations_lost);
    COUNTER(long_waits);
    COUNTER(cap_waits);
    COUNTER(quarantined);
    COUNTER(endpoint_crashes);
    COUNTER(crashing_flows);
    COUNTER(contests);
    COUNTER(foreign_heartbeats);
    COUNTER(neighbours_avoided);
    COUNTER(runs_taken_over);
    COUNTER(doubt_lines_left_out);
    g_string_append_printf(
        out,
        "mimosawind_flows %u\n"
        "mimosawind_flows_active %u\nmimosawind_endpoints %u\n"
        "mimosawind_endpoints_slow %u\nmimosawind_endpoints_fast %u\n"
        "mimosawind_places %u\nmimosawind_commands_waiting %u\n"
        "mimosawind_commands_in_flight %u\nmimosawind_command_window %u\n"
        "mimosawind_work_kinds %u\nmimosawind_interfering_pairs %u\n"
        "mimosawind_runs_in_doubt %u\n"
        "mimosawind_log_lines_dropped %" PRIu64 "\n"
        "mimosawind_log_doubt_lines_dropped %" PRIu64 "\n",
        flows.flows, flows.active, flows.endpoints, flows.endpoints_slow,
        flows.endpoints_fast, flows.placements, flows.commands_waiting,
        flows.commands_in_flight, flows.command_window, flows.work_kinds,
        flows.interfering_pairs, flows.runs_in_doubt, drops->lines,
        drops->doubt_lines);
    mw_add_org_metrics(out, orgs, mw_flow_control_get_orgs(control, orgs));
    for (int time = 0; time < MW_FLOW_LATENCIES; time++) {
        add_histogram(out, mw_flow_latency_str((enum mw_flow_latency)time),
                      mw_flow_control_get_histogram(
                          control, (enum mw_flow_latency)time));
    }
    return out;
}
