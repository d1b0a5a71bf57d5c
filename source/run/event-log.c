#include "event-log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <unistd.h>

#include "build-id.h"
#include "mimosawind/wire.h"

#define RATE_INTERVAL_US 1000000

struct mw_event_log {
    int fd;
    struct mw_name process;
    GString *buffer;
    int64_t rate_deadline_us;
    uint32_t lines;
    uint32_t task_lines;
    uint32_t doubt_lines;
    struct mw_event_log_drops dropped;
    struct mw_event_log_drops reported;
};

struct mw_event_log *
mw_new_event_log(int fd, struct mw_str process)
{
    struct mw_event_log *log = g_new0(struct mw_event_log, 1);
    int flags = fcntl(fd, F_GETFL);

    if (flags >= 0) {
        fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
    log->fd = fd;
    log->process = mw_name_of(process);
    log->buffer = g_string_new(NULL);
    return log;
}

void
mw_drop_event_log(struct mw_event_log *log)
{
    if (log) {
        g_string_free(log->buffer, TRUE);
        g_free(log);
    }
}

enum line_kind {
    LINE_OF_PROCESS = 0,
    LINE_OF_TASK = 1,
    LINE_IN_DOUBT = 2
};

/* Other lines use up neither the lines nor the bytes that are kept here. */
static bool
take_reserved_line(struct mw_event_log *log)
{
    if (log->doubt_lines >= MW_EVENT_LOG_DOUBT_LINES_PER_S ||
        log->buffer->len >=
            MW_EVENT_LOG_BYTES_MAX + MW_EVENT_LOG_DOUBT_BYTES) {
        return false;
    }
    log->doubt_lines++;
    return true;
}

static bool
take_line(struct mw_event_log *log, bool is_task_line)
{
    if (log->lines >= MW_EVENT_LOG_LINES_PER_S ||
        (is_task_line && log->task_lines >= MW_EVENT_LOG_TASK_LINES_PER_S) ||
        log->buffer->len >= MW_EVENT_LOG_BYTES_MAX) {
        return false;
    }
    log->lines++;
    log->task_lines += is_task_line;
    return true;
}

static bool
may_write(struct mw_event_log *log, int64_t now_us, enum line_kind kind)
{
    if (now_us >= log->rate_deadline_us) {
        log->rate_deadline_us = now_us + RATE_INTERVAL_US;
        log->lines = 0;
        log->task_lines = 0;
        log->doubt_lines = 0;
    }
    if ((kind == LINE_IN_DOUBT && take_reserved_line(log)) ||
        take_line(log, kind != LINE_OF_PROCESS)) {
        return true;
    }
    log->dropped.lines++;
    log->dropped.doubt_lines += kind == LINE_IN_DOUBT;
    return false;
}

static json_t *
json_text(struct mw_str str)
{
    return json_stringn_nocheck(str.ptr ? str.ptr : "", str.len);
}

static void
add_line(struct mw_event_log *log, json_t *line)
{
    char *out = json_dumps(line, JSON_COMPACT);

    if (out) {
        g_string_append(log->buffer, out);
        g_string_append_c(log->buffer, '\n');
        free(out);
    }
    json_decref(line);
}

static json_t *
new_json_line(const struct mw_event_log *log, const char *name,
              const char *outcome)
{
    json_t *line = json_object();

    json_object_set_new(line, "t_us", json_integer(g_get_real_time()));
    json_object_set_new(line, "process",
                        json_text(mw_name_str(&log->process)));
    json_object_set_new(line, "event", json_string(name));
    json_object_set_new(line, "outcome", json_string(outcome));
    return line;
}

static void
set_count(json_t *line, const char *key, uint64_t value)
{
    json_object_set_new(line, key, json_integer((json_int_t)value));
}

static void
report_dropped(struct mw_event_log *log)
{
    uint64_t count = log->dropped.lines - log->reported.lines;
    uint64_t in_doubt = log->dropped.doubt_lines - log->reported.doubt_lines;
    json_t *line;

    if (count == 0) {
        return;
    }
    line = new_json_line(log, "lines_dropped", "limit");
    set_count(line, "count", count);
    if (in_doubt > 0) {
        set_count(line, "in_doubt", in_doubt);
    }
    log->reported = log->dropped;
    add_line(log, line);
}

static void
set_task(json_t *line, const struct mw_flow_event *event)
{
    char name[96];

    if (!event->task) {
        return;
    }
    g_snprintf(name, sizeof name, "%u.%u.%u", event->task->occurrence,
               event->task->step, event->task->index);
    json_object_set_new(line, "task", json_string(name));
    json_object_set_new(line, "run", json_integer(event->run));
}

static void
set_time(json_t *line, const char *key, int64_t time_us)
{
    json_object_set_new(line, key, json_integer((json_int_t)time_us));
}

/* What tells which grant, and which process's clock, a lease goes back to. */
static void
set_lease(json_t *line, const struct mw_flow_lease_event *lease)
{
    if (lease->left_us > 0) {
        set_time(line, "lease_left_us", lease->left_us);
    }
    set_time(line, "answered_left_us", lease->answered_left_us);
    set_time(line, "granted_age_us", lease->granted_age_us);
    set_time(line, "earlier_age_us", lease->earlier_age_us);
    set_time(line, "clock_age_us", lease->clock_age_us);
    set_time(line, "clock_born", (int64_t)lease->clock_incarnation);
    if (lease->open_count > 0) {
        set_time(line, "open_grants", lease->open_count);
        set_time(line, "open_age_us", lease->open_age_us);
        set_time(line, "open_lease_us", lease->open_lease_us);
        set_time(line, "open_born", (int64_t)lease->open_incarnation);
    }
}

/* What the log says of the run. */
static void
set_recorded_run(json_t *line, const struct mw_flow_run_event *run)
{
    if (!run->is_recorded) {
        return;
    }
    set_count(line, "run_born", run->incarnation);
    if (run->has_assigned_age) {
        set_time(line, "assigned_age_us", run->assigned_age_us);
    }
    set_count(line, "starts", run->starts);
    json_object_set_new(line, "identified", json_boolean(run->is_identified));
}

static void
set_assumed_run(json_t *line, const struct mw_flow_run_event *run)
{
    set_recorded_run(line, run);
    set_count(line, "flow_clock_term", run->clock_term);
    set_time(line, "earlier_age_us", run->earlier_age_us);
    json_object_set_new(
        line, "earlier_by",
        json_string(run->is_earlier_recorded ? "silence" : "takeover"));
    set_time(line, "over_in_us", run->over_in_us);
    set_time(line, "listed_age_us", run->listed_age_us);
    set_count(line, "starts_left", run->starts_left);
    set_time(line, "start_left_us", run->start_left_us);
    set_time(line, "first_list_age_us", run->first_list_age_us);
    if (run->first_list_incarnation > 0) {
        set_count(line, "first_list_born", run->first_list_incarnation);
    }
}

/* The code again: the process's start may be long ago. */
static void
set_takeover(json_t *line, const struct mw_flow_event *event)
{
    const struct mw_flow_takeover_event *takeover = event->takeover;

    set_count(line, "runs", takeover->runs);
    set_count(line, "in_doubt", takeover->in_doubt);
    set_count(line, "left_out", takeover->left_out);
    set_count(line, "index", event->index);
    set_count(line, "flow_clock_term", takeover->clock_term);
    set_time(line, "flow_clock_age_us", takeover->clock_age_us);
    json_object_set_new(line, "build", json_string(mw_build_id()));
}

static enum line_kind
get_kind(const struct mw_flow_event *event)
{
    if (event->is_doubt) {
        return LINE_IN_DOUBT;
    }
    return event->task ? LINE_OF_TASK : LINE_OF_PROCESS;
}

void
mw_event_log_write(struct mw_event_log *log, int64_t now_us,
                   const struct mw_flow_event *event)
{
    json_t *line;

    if (!may_write(log, now_us, get_kind(event))) {
        return;
    }
    report_dropped(log);
    line = new_json_line(log, event->name, event->outcome);
    if (event->flow.len > 0) {
        json_object_set_new(line, "id", json_text(mw_name_str(&event->flow)));
    }
    if (event->queue.len > 0) {
        json_object_set_new(line, "queue",
                            json_text(mw_name_str(&event->queue)));
    }
    set_task(line, event);
    if (event->endpoint.len > 0) {
        json_object_set_new(line, "endpoint",
                            json_text(mw_name_str(&event->endpoint)));
    }
    if (event->incarnation > 0) {
        json_object_set_new(line, "born",
                            json_integer((json_int_t)event->incarnation));
    }
    if (event->zone.len > 0) {
        json_object_set_new(line, "zone",
                            json_text(mw_name_str(&event->zone)));
    }
    if (event->cause.len > 0) {
        json_object_set_new(line, "cause",
                            json_text(mw_name_str(&event->cause)));
    }
    if (event->wanted > 0) {
        json_object_set_new(line, "wanted", json_integer(event->wanted));
        json_object_set_new(line, "capacity", json_integer(event->capacity));
    }
    if (event->age_us >= 0) {
        json_object_set_new(line, "age_us", json_integer(event->age_us));
    }
    if (event->lease) {
        set_lease(line, event->lease);
    }
    if (event->assumed) {
        set_assumed_run(line, event->assumed);
    }
    if (event->takeover) {
        set_takeover(line, event);
    }
    if (event->crash_score > 0) {
        json_object_set_new(line, "crash_score",
                            json_integer(event->crash_score));
    }
    if (event->retry_after_us > 0) {
        json_object_set_new(line, "retry_after_us",
                            json_integer(event->retry_after_us));
    }
    if (event->kind.len > 0) {
        json_object_set_new(line, "kind", json_text(event->kind));
        json_object_set_new(line, "neighbour", json_text(event->neighbour));
        json_object_set_new(line, "slowdown_percent",
                            json_integer(event->slowdown_percent));
    }
    json_object_set_new(line, "config",
                        json_integer((json_int_t)event->version));
    json_object_set_new(line, "term", json_integer((json_int_t)event->term));
    add_line(log, line);
}

void
mw_event_log_write_change(struct mw_event_log *log, int64_t now_us,
                          const char *name, struct mw_str subject,
                          const char *outcome)
{
    json_t *line;

    if (!may_write(log, now_us, LINE_OF_PROCESS)) {
        return;
    }
    report_dropped(log);
    line = new_json_line(log, name, outcome);
    json_object_set_new(line, "subject", json_text(subject));
    add_line(log, line);
}

void
mw_event_log_write_start(struct mw_event_log *log, int64_t now_us,
                         struct mw_str zone, const char *outcome)
{
    json_t *line;

    if (!may_write(log, now_us, LINE_OF_PROCESS)) {
        return;
    }
    report_dropped(log);
    line = new_json_line(log, "start", outcome);
    json_object_set_new(line, "subject", json_text(zone));
    json_object_set_new(line, "build", json_string(mw_build_id()));
    set_count(line, "protocol", MW_WIRE_VERSION);
    set_count(line, "pid", (uint64_t)getpid());
    add_line(log, line);
}

void
mw_event_log_write_store(struct mw_event_log *log, int64_t now_us,
                         const struct mw_store_event *event)
{
    const struct mw_log_status *held = event->log;
    json_t *line;

    if (!may_write(log, now_us, LINE_OF_PROCESS)) {
        return;
    }
    report_dropped(log);
    line = new_json_line(log, "store", event->outcome);
    set_count(line, "file_bytes", event->file_bytes);
    if (event->duration_us >= 0) {
        set_count(line, "duration_us", (uint64_t)event->duration_us);
    }
    if (held) {
        set_count(line, "held_bytes", held->bytes);
        set_count(line, "snapshot", held->snapshot_index);
        set_count(line, "commit", held->commit_index);
        set_count(line, "last", held->last_index);
        set_count(line, "config", event->config_version);
        set_count(line, "term", held->term);
    }
    add_line(log, line);
}

void
mw_flush_event_log(struct mw_event_log *log, int64_t now_us)
{
    ssize_t n = 1;

    (void)now_us;
    while (log->buffer->len > 0 && n > 0) {
        n = write(log->fd, log->buffer->str, log->buffer->len);
        if (n > 0) {
            g_string_erase(log->buffer, 0, n);
        }
        else if (n < 0 && errno == EINTR) {
            n = 1;
        }
    }
}

struct mw_event_log_drops
mw_event_log_get_drops(const struct mw_event_log *log)
{
    return log->dropped;
}
