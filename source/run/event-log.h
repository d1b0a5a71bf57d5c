#ifndef MW_RUN_EVENT_LOG_H
#define MW_RUN_EVENT_LOG_H

#include "mimosawind/flow.h"

/*
 * event-log: structured lines on standard output, one JSON object each.
 *
 * Each line has t_us (the time of day in microseconds, by which the lines
 * of several processes are ordered), process, event and outcome; the rest
 * is in docs/OPERATIONS.md.
 *
 * Writing never blocks: what the reader doesn't take is kept up to
 * MW_EVENT_LOG_BYTES_MAX, then dropped and counted, and a line says so once
 * there is room again.  Lines beyond MW_EVENT_LOG_LINES_PER_S in a second
 * are dropped the same way; lines about single tasks of a flow are dropped
 * first, so that a request's own lines and changes of what the process
 * believes stay.  One log belongs to one task.
 */

#define MW_EVENT_LOG_BYTES_MAX (256 * 1024)
#define MW_EVENT_LOG_LINES_PER_S 400
/* of these, for lines about single tasks; what is left tells of requests */
#define MW_EVENT_LOG_TASK_LINES_PER_S 250

struct mw_event_log;

/* mw_new_event_log: fd is made non-blocking; process names each line. */
struct mw_event_log *mw_new_event_log(int fd, struct mw_str process);
void mw_drop_event_log(struct mw_event_log *log);

/* mw_log_event: a decision; now_us, the task's clock, bounds the rate. */
void mw_log_event(struct mw_event_log *log, int64_t now_us,
                  const struct mw_flow_event *event);

/* mw_log_change: a start, stop, reload, or a dependency lost or regained. */
void mw_log_change(struct mw_event_log *log, int64_t now_us, const char *name,
                   struct mw_str subject, const char *outcome);

/* mw_flush_event_log: write what the reader takes now. */
void mw_flush_event_log(struct mw_event_log *log, int64_t now_us);

/* mw_event_log_dropped: lines that were never written. */
uint64_t mw_event_log_dropped(const struct mw_event_log *log);

#endif
