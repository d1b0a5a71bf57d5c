#include "event-log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <unistd.h>

#define RATE_INTERVAL_US 1000000

struct mw_event_log {
    int fd;
    struct mw_name process;
    GString *buffer;
    int64_t rate_deadline_us;
    uint32_t lines;
    uint32_t task_lines;
    uint64_t dropped;
    uint64_t dropped_reported;
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

static bool
may_write(struct mw_event_log *log, int64_t now_us, bool is_task_line)
{
    if (now_us >= log->rate_deadline_us) {
        log->rate_deadline_us = now_us + RATE_INTERVAL_US;
        log->lines = 0;
        log->task_lines = 0;
    }
    if (log->lines >= MW_EVENT_LOG_LINES_PER_S ||
        (is_task_line && log->task_lines >= MW_EVENT_LOG_TASK_LINES_PER_S) ||
        log->buffer->len >= MW_EVENT_LOG_BYTES_MAX) {
        log->dropped++;
        return false;
    }
    log->lines++;
    log->task_lines += is_task_line;
    return true;
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
report_dropped(struct mw_event_log *log)
{
    json_t *line;

    if (log->dropped == log->dropped_reported) {
        return;
    }
    line = new_json_line(log, "lines_dropped", "limit");
    json_object_set_new(
        line, "count",
        json_integer((json_int_t)(log->dropped - log->dropped_reported)));
    log->dropped_reported = log->dropped;
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

void
mw_event_log_write(struct mw_event_log *log, int64_t now_us,
                   const struct mw_flow_event *event)
{
    json_t *line;

    if (!may_write(log, now_us, event->task != NULL)) {
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

    if (!may_write(log, now_us, false)) {
        return;
    }
    report_dropped(log);
    line = new_json_line(log, name, outcome);
    json_object_set_new(line, "subject", json_text(subject));
    add_line(log, line);
}

static void
set_count(json_t *line, const char *key, uint64_t value)
{
    json_object_set_new(line, key, json_integer((json_int_t)value));
}

void
mw_event_log_write_store(struct mw_event_log *log, int64_t now_us,
                         const struct mw_store_event *event)
{
    const struct mw_log_status *held = event->log;
    json_t *line;

    if (!may_write(log, now_us, false)) {
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

uint64_t
mw_event_log_dropped_count(const struct mw_event_log *log)
{
    return log->dropped;
}
