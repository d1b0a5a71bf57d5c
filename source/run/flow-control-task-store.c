/*
 * flow-control-task-store: lines about the data directory of a member.
 */
#include "flow-control-task-impl.h"

#include <sys/stat.h>

#define LOG_FILE_NAME "region.log"

/* 0 if there is no such file */
static uint64_t
log_file_bytes(const struct mw_flow_control_task *t)
{
    char *path =
        g_strdup_printf("%.*s/" LOG_FILE_NAME, MW_FMT(t->setup.data_dir));
    struct stat status = {0};
    int err = stat(path, &status);

    g_free(path);
    return err ? 0 : (uint64_t)status.st_size;
}

static uint64_t
count_snapshots(const struct mw_log_status *log)
{
    return log->counters ? log->counters->snapshots_taken +
                               log->counters->snapshots_received
                         : 0;
}

/* Writes a line with what the member holds. */
static void
report_held(struct mw_flow_control_task *t, const char *outcome,
            int64_t duration_us)
{
    struct mw_log_status log;
    struct mw_flows_status flows;
    struct mw_store_event event = {.outcome = outcome,
                                   .file_bytes = log_file_bytes(t),
                                   .duration_us = duration_us,
                                   .log = &log};

    mw_flow_control_get_status(t->control, &log, &flows);
    event.config_version = flows.config_version;
    t->snapshots_reported = count_snapshots(&log);
    mw_event_log_write_store(t->process.log, mw_now(), &event);
}

void
mw_report_store_reading(struct mw_flow_control_task *t)
{
    struct mw_store_event event = {.outcome = "reading",
                                   .file_bytes = log_file_bytes(t),
                                   .duration_us = -1};

    mw_event_log_write_store(t->process.log, mw_now(), &event);
    mw_flush_event_log(t->process.log, mw_now());
}

void
mw_report_store_read(struct mw_flow_control_task *t, int64_t begun_us)
{
    report_held(t, "read", mw_now() - begun_us);
}

void
mw_report_snapshots(struct mw_flow_control_task *t)
{
    struct mw_log_status log;

    if (!t->disk) {
        return;
    }
    mw_flow_control_get_log_status(t->control, &log);
    if (count_snapshots(&log) != t->snapshots_reported) {
        report_held(t, "snapshot", -1);
    }
}
