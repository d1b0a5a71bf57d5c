#ifndef MW_RUN_EVENT_LOG_H
#define MW_RUN_EVENT_LOG_H

#include "mimosawind/flow.h"
#include "mimosawind/log.h"

/*
 * event-log: structured log on standard output, one JSON object per line.
 *
 * Each line has t_us (wall-clock time in microseconds, by which the lines of
 * several processes are ordered), process, event and outcome; the other keys
 * are described in docs/OPERATIONS.md.
 *
 * Writing never blocks.  Lines that the reader doesn't take are buffered up
 * to MW_EVENT_LOG_BYTES_MAX.  Lines beyond that, or beyond
 * MW_EVENT_LOG_LINES_PER_S in a second, are dropped and counted; a line with
 * their number precedes the next line that is written.  Lines about single
 * tasks of a flow have a lower limit, so that lines about requests and about
 * the state of the process remain.  Lines of events with is_doubt have a share
 * of lines and bytes beyond these limits, which others don't use up; beyond it
 * they are lines about tasks like others.  A log belongs to one task.
 */

#define MW_EVENT_LOG_BYTES_MAX (256 * 1024)
#define MW_EVENT_LOG_LINES_PER_S 400
/* how many of these may be about single tasks; the rest is for requests */
#define MW_EVENT_LOG_TASK_LINES_PER_S 250
/* only for events with is_doubt, besides the limits above */
#define MW_EVENT_LOG_DOUBT_LINES_PER_S 250
#define MW_EVENT_LOG_DOUBT_BYTES (192 * 1024)

struct mw_event_log;

/* mw_new_event_log: sets fd to non-blocking; process is part of each line. */
struct mw_event_log *mw_new_event_log(int fd, struct mw_str process);
void mw_drop_event_log(struct mw_event_log *log);

/* mw_event_log_write: log a decision; now_us is the clock for the rate limit.
 */
void mw_event_log_write(struct mw_event_log *log, int64_t now_us,
                        const struct mw_flow_event *event);

/*
 * mw_event_log_write_change: log a change of the process: stop, reload, or a
 * dependency lost or regained.
 */
void mw_event_log_write_change(struct mw_event_log *log, int64_t now_us,
                               const char *name, struct mw_str subject,
                               const char *outcome);

/*
 * mw_event_log_write_start: log the start of the process, with the code that
 * it is (build-id.h) and the version of the protocol of its links.
 */
void mw_event_log_write_start(struct mw_event_log *log, int64_t now_us,
                              struct mw_str zone, const char *outcome);

/*
 * mw_store_event: the data directory of a member of the log.
 *
 * file_bytes is the size of the log's file.  The other figures say what the
 * member holds once it has read it, and are left out if log is NULL.
 * duration_us is negative if nothing was timed.
 */
struct mw_store_event {
    const char *outcome;
    uint64_t file_bytes;
    int64_t duration_us;
    const struct mw_log_status *log;
    uint64_t config_version;
};

/* mw_event_log_write_store: log what was read from or written to the disk. */
void mw_event_log_write_store(struct mw_event_log *log, int64_t now_us,
                              const struct mw_store_event *event);

/* mw_flush_event_log: write as much as is possible without blocking. */
void mw_flush_event_log(struct mw_event_log *log, int64_t now_us);

/* mw_event_log_drops: numbers of lines that were dropped. */
struct mw_event_log_drops {
    uint64_t lines;
    /* of these, events with is_doubt */
    uint64_t doubt_lines;
};

struct mw_event_log_drops
mw_event_log_get_drops(const struct mw_event_log *log);

#endif
