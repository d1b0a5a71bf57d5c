#ifndef MW_CORE_FLOW_DOUBT_H
#define MW_CORE_FLOW_DOUBT_H

#include "mimosawind/flow.h"

/*
 * flow-doubt: lines about the runs that a leader takes over.
 *
 * A run that was taken over is in doubt while no list has shown it to this
 * leader, and the log does not call it identified, its endpoint is silent or
 * unknown, or it belongs to a gang that is partly over.  Nothing is decided
 * by that; it orders the lines of the log.
 */

/* lines about runs at a takeover, and after it about runs in doubt only */
#define MW_TAKEOVER_LINES_MAX 200
#define MW_LATER_DOUBT_LINES_MAX 200

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_placement;

/*
 * mw_report_takeover: a line with counts, then lines about the runs that were
 * taken over, those in doubt first.
 */
void mw_report_takeover(struct mw_flows *flows, int64_t now_us);
/*
 * mw_report_silent_runs: the endpoint was muted.  Its runs that were taken
 * over get their lines if they had none.
 */
void mw_report_silent_runs(struct mw_flows *flows, int64_t now_us,
                           struct mw_flow_endpoint *endpoint);
/* mw_count_runs_in_doubt: on the endpoint, now. */
uint32_t mw_count_runs_in_doubt(const struct mw_flow_endpoint *endpoint);
/* mw_describe_run: what the leader assumes of a run, for a line about it. */
void mw_describe_run(const struct mw_flows *flows,
                     const struct mw_task_placement *placement, int64_t now_us,
                     struct mw_flow_run_event *event);

#endif
