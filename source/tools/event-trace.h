#ifndef MW_TOOL_EVENT_TRACE_H
#define MW_TOOL_EVENT_TRACE_H

#include <glib.h>

#include "mimosawind/str.h"

/*
 * event trace: explains the outcome of jobs from the event logs of any number
 * of processes.
 *
 * An event is a JSON object with the key "event".  Lines without one are
 * ignored, and so is any text before the object, such as a time stamp.
 */

/* mw_event_trace: the events read so far. */
struct mw_event_trace;

struct mw_event_trace *mw_new_event_trace(void);
void mw_drop_event_trace(struct mw_event_trace *trace);

/* mw_add_trace_line: adds one line of a log; lines may come in any order. */
void mw_add_trace_line(struct mw_event_trace *trace, struct mw_str line);

/*
 * mw_explain_job: appends the events of the job id to out, then one line that
 * says how the job ended and why.
 *
 * Changes of leadership and events dropped from a log while the job lived
 * are listed too.
 */
void mw_explain_job(struct mw_event_trace *trace, struct mw_str id,
                    GString *out);

/*
 * mw_explain_failures: appends one line with the cause for each job that
 * failed, has no end, or was delayed by a failed or lost run, a preemption or
 * a late start, and then the number of such jobs.
 */
void mw_explain_failures(struct mw_event_trace *trace, GString *out);

#endif
