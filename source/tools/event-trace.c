#include "event-trace.h"

#include <jansson.h>
#include <string.h>

#define US_PER_S 1e6
/* a longer wait for its first start makes a job notable */
#define LATE_START_US 1000000

struct event {
    int64_t time_us;
    /* order of arrival; decides between events of the same time */
    guint number;
    json_t *object;
};

struct mw_event_trace {
    GArray *events;
    bool sorted;
};

static void
free_event(void *data)
{
    json_decref(((struct event *)data)->object);
}

struct mw_event_trace *
mw_new_event_trace(void)
{
    struct mw_event_trace *trace = g_new0(struct mw_event_trace, 1);

    trace->events = g_array_new(FALSE, FALSE, sizeof(struct event));
    g_array_set_clear_func(trace->events, free_event);
    return trace;
}

void
mw_drop_event_trace(struct mw_event_trace *trace)
{
    g_array_unref(trace->events);
    g_free(trace);
}

void
mw_add_trace_line(struct mw_event_trace *trace, struct mw_str line)
{
    const char *json = line.len ? memchr(line.ptr, '{', line.len) : NULL;
    struct event event = {.number = trace->events->len};

    if (!json) {
        return;
    }
    event.object = json_loadb(json, line.len - (size_t)(json - line.ptr),
                              JSON_DISABLE_EOF_CHECK, NULL);
    if (!json_is_string(json_object_get(event.object, "event"))) {
        json_decref(event.object);
        return;
    }
    event.time_us = json_integer_value(json_object_get(event.object, "t_us"));
    g_array_append_val(trace->events, event);
    trace->sorted = false;
}

static gint
compare_events(gconstpointer a, gconstpointer b)
{
    const struct event *x = a;
    const struct event *y = b;

    if (x->time_us != y->time_us) {
        return x->time_us < y->time_us ? -1 : 1;
    }
    return x->number < y->number ? -1 : x->number > y->number;
}

static const char *
get_text(const struct event *event, const char *key)
{
    const char *value = json_string_value(json_object_get(event->object, key));

    return value ? value : "";
}

/* Whether an event has this name and, if given, this outcome. */
static bool
is_event(const struct event *event, const char *name, const char *outcome)
{
    return strcmp(get_text(event, "event"), name) == 0 &&
           (!outcome || strcmp(get_text(event, "outcome"), outcome) == 0);
}

/* The events of one job added up; a time is 0 while it is unknown. */
struct summary {
    int64_t first_us;
    int64_t accepted_us;
    int64_t sent_us;
    /* an endpoint is known to have executed a start */
    int64_t started_us;
    int64_t ended_us;
    /* outcome of the end, NULL while there is none */
    const char *end_outcome;
    /* outcome of a refusal, NULL for none */
    const char *refusal;
    /* why it was given up, NULL for no reason */
    const char *failure;
    bool undecided;
    bool timed_out;
    /* the resource whose cap kept it waiting, NULL for none, and since when */
    const char *cap;
    int64_t capped_us;
    /* counts of events about runs */
    guint failed;
    guint preempted;
    guint lost;
    guint stalled;
    /* lost runs that are blamed for a crash of their endpoint */
    guint crashes;
    /* how the last one of the lost runs ended */
    const char *lost_outcome;
    /* endpoints of the failed runs, each after a space */
    GString *failed_on;
};

/* A start that was sent may have reached no endpoint. */
static void
add_start(struct summary *summary, const struct event *event)
{
    if (is_event(event, "start", "sent") && summary->sent_us == 0) {
        summary->sent_us = event->time_us;
    }
    else if (summary->started_us > 0) {
        return;
    }
    else if (is_event(event, "start", "done") ||
             is_event(event, "run_seen", NULL)) {
        summary->started_us = event->time_us;
    }
    else if (is_event(event, "run_ended", NULL)) {
        summary->started_us =
            event->time_us -
            json_integer_value(json_object_get(event->object, "age_us"));
    }
}

static void
add_event(struct summary *summary, const struct event *event)
{
    add_start(summary, event);
    if (is_event(event, "accepted", NULL) && summary->accepted_us == 0) {
        summary->accepted_us = event->time_us;
    }
    else if (is_event(event, "flow_ended", NULL)) {
        summary->ended_us = event->time_us;
        summary->end_outcome = get_text(event, "outcome");
    }
    else if (is_event(event, "flow_failed", NULL)) {
        summary->failure = get_text(event, "outcome");
    }
    else if (is_event(event, "refused", NULL)) {
        summary->refusal = get_text(event, "outcome");
    }
    else if (is_event(event, "run_ended", "failed")) {
        summary->failed++;
        g_string_append_printf(summary->failed_on, " %s",
                               get_text(event, "endpoint"));
    }
    else if (is_event(event, "run_over", NULL) &&
             !is_event(event, "run_over", "stopped") &&
             !is_event(event, "run_over", "not_sent")) {
        summary->lost++;
        summary->lost_outcome = get_text(event, "outcome");
        summary->crashes +=
            json_object_get(event->object, "crash_score") != NULL;
    }
    else if (is_event(event, "cap_wait", NULL) && !summary->cap) {
        summary->cap = get_text(event, "outcome");
        summary->capped_us =
            event->time_us -
            json_integer_value(json_object_get(event->object, "age_us"));
    }
    summary->undecided |= is_event(event, "undecided", NULL);
    summary->timed_out |= is_event(event, "timed_out", NULL);
    summary->preempted += is_event(event, "preempted", NULL);
    summary->stalled += is_event(event, "stalled", NULL);
}

static void
sort_events(struct mw_event_trace *trace)
{
    if (!trace->sorted) {
        g_array_sort(trace->events, compare_events);
        trace->sorted = true;
    }
}

/* The events must be sorted. */
static struct summary
summarize_job(const struct mw_event_trace *trace, const char *id)
{
    struct summary summary = {.failed_on = g_string_new(NULL)};

    for (guint i = 0; i < trace->events->len; i++) {
        const struct event *event =
            &g_array_index(trace->events, struct event, i);

        if (strcmp(get_text(event, "id"), id) == 0) {
            if (summary.first_us == 0) {
                summary.first_us = event->time_us;
            }
            add_event(&summary, event);
        }
    }
    return summary;
}

static void
append_runs(const struct summary *summary, GString *out)
{
    if (summary->failed > 0) {
        g_string_append_printf(out, "; %u runs failed on%s", summary->failed,
                               summary->failed_on->str);
    }
    if (summary->preempted > 0) {
        g_string_append_printf(out, "; preempted %u times by urgent jobs",
                               summary->preempted);
    }
    if (summary->stalled > 0) {
        g_string_append_printf(out, "; stalled %u times", summary->stalled);
    }
    if (summary->lost > 0) {
        g_string_append_printf(out, "; %u runs lost (%s)", summary->lost,
                               summary->lost_outcome);
    }
    if (summary->crashes > 0) {
        g_string_append_printf(out, "; blamed for %u crashes of endpoints",
                               summary->crashes);
    }
}

static void
append_cause(const struct summary *summary, GString *out)
{
    if (summary->accepted_us == 0 && summary->refusal) {
        g_string_append_printf(out, "refused: %s", summary->refusal);
    }
    else if (summary->accepted_us == 0 && summary->undecided) {
        g_string_append(out, "undecided: the leader changed before the "
                             "record was committed");
    }
    else if (summary->accepted_us == 0 && summary->timed_out) {
        g_string_append(out, "no answer from the leader in time");
    }
    else if (summary->accepted_us == 0) {
        g_string_append(out, "its accepted event is missing: the logs of the "
                             "leader of that time were not given, or are "
                             "incomplete");
    }
    else if (!summary->end_outcome) {
        g_string_append(out, summary->started_us ? "started and not ended"
                             : summary->sent_us
                                 ? "accepted; no start that was sent is known "
                                   "to have been executed"
                                 : "accepted and never started");
    }
    else {
        g_string_append_printf(
            out, "%s after %.3f s", summary->end_outcome,
            (double)(summary->ended_us - summary->accepted_us) / US_PER_S);
        if (summary->failure) {
            g_string_append_printf(out, ": %s", summary->failure);
        }
    }
    if (summary->started_us - summary->accepted_us > LATE_START_US &&
        summary->accepted_us) {
        g_string_append_printf(
            out, "; waited %.3f s for its first start",
            (double)(summary->started_us - summary->accepted_us) / US_PER_S);
    }
    if (summary->cap) {
        g_string_append_printf(
            out,
            "; kept waiting by its organisation's cap of %s from %+.3f s on",
            summary->cap,
            (double)(summary->capped_us - summary->first_us) / US_PER_S);
    }
    append_runs(summary, out);
}

static double
get_seconds(const struct event *event, const char *key)
{
    return (double)json_integer_value(json_object_get(event->object, key)) /
           US_PER_S;
}

/* What the leader assumed of a run that it took over, or for over. */
static void
append_assumed(const struct event *event, GString *out)
{
    if (!json_object_get(event->object, "over_in_us")) {
        return;
    }
    if (json_object_get(event->object, "assigned_age_us")) {
        g_string_append_printf(
            out, "; assigned %.3f s ago, %d starts, %s",
            get_seconds(event, "assigned_age_us"),
            (int)json_integer_value(json_object_get(event->object, "starts")),
            json_is_true(json_object_get(event->object, "identified"))
                ? "identified"
                : "not identified");
    }
    g_string_append_printf(
        out, "; earlier calls until %.3f s ago by %s; over in %.3f s",
        get_seconds(event, "earlier_age_us"), get_text(event, "earlier_by"),
        get_seconds(event, "over_in_us"));
}

static void
append_event(const struct event *event, int64_t start_us, GString *out)
{
    json_t *age = json_object_get(event->object, "age_us");
    json_t *score = json_object_get(event->object, "crash_score");

    g_string_append_printf(out, "%+10.3f s %s %s %s",
                           (double)(event->time_us - start_us) / US_PER_S,
                           get_text(event, "process"),
                           get_text(event, "event"),
                           get_text(event, "outcome"));
    if (*get_text(event, "task")) {
        g_string_append_printf(
            out, " task %s run %d", get_text(event, "task"),
            (int)json_integer_value(json_object_get(event->object, "run")));
    }
    if (*get_text(event, "endpoint")) {
        g_string_append_printf(out, " at %s", get_text(event, "endpoint"));
    }
    if (age) {
        g_string_append_printf(out, " (age %.3f s)",
                               (double)json_integer_value(age) / US_PER_S);
    }
    if (score) {
        g_string_append_printf(out, " crash score %d",
                               (int)json_integer_value(score));
    }
    append_assumed(event, out);
    g_string_append_c(out, '\n');
}

/*
 * Whether an event that belongs to no job may explain this one: a change of
 * leadership or a loss of log lines, between the job's first event and its
 * end.
 */
static bool
may_explain_job(const struct event *event, const struct summary *summary)
{
    bool lived =
        event->time_us >= summary->first_us &&
        (summary->ended_us == 0 || event->time_us <= summary->ended_us);

    return lived && (is_event(event, "lead", NULL) ||
                     is_event(event, "takeover", NULL) ||
                     is_event(event, "lines_dropped", NULL));
}

void
mw_explain_job(struct mw_event_trace *trace, struct mw_str id, GString *out)
{
    char *job_id = g_strndup(id.ptr, id.len);
    struct summary summary;

    sort_events(trace);
    summary = summarize_job(trace, job_id);
    for (guint i = 0; i < trace->events->len; i++) {
        const struct event *event =
            &g_array_index(trace->events, struct event, i);

        if (strcmp(get_text(event, "id"), job_id) == 0 ||
            may_explain_job(event, &summary)) {
            append_event(event, summary.first_us, out);
        }
    }
    g_string_append_printf(out, "%s: ", job_id);
    if (summary.first_us == 0) {
        g_string_append(out, "no event of this job in the logs");
    }
    else {
        append_cause(&summary, out);
    }
    g_string_append_c(out, '\n');
    g_string_free(summary.failed_on, TRUE);
    g_free(job_id);
}

/* Whether a job failed, has no end, or was delayed. */
static bool
is_notable(const struct summary *summary)
{
    bool ended_well =
        summary->end_outcome && strcmp(summary->end_outcome, "failed") != 0;

    return !ended_well || summary->failed > 0 || summary->preempted > 0 ||
           summary->lost > 0 ||
           summary->started_us - summary->accepted_us > LATE_START_US;
}

void
mw_explain_failures(struct mw_event_trace *trace, GString *out)
{
    GHashTable *job_ids = g_hash_table_new(g_str_hash, g_str_equal);
    guint count = 0;

    sort_events(trace);
    for (guint i = 0; i < trace->events->len; i++) {
        const struct event *event =
            &g_array_index(trace->events, struct event, i);
        const char *id = get_text(event, "id");
        struct summary summary;

        if (strlen(id) != 16 || !g_hash_table_add(job_ids, (gpointer)id)) {
            continue;
        }
        summary = summarize_job(trace, id);
        if (is_notable(&summary)) {
            count++;
            g_string_append_printf(out, "%s: ", id);
            append_cause(&summary, out);
            g_string_append_c(out, '\n');
        }
        g_string_free(summary.failed_on, TRUE);
    }
    g_string_append_printf(out, "%u of %u jobs\n", count,
                           g_hash_table_size(job_ids));
    g_hash_table_unref(job_ids);
}
