#ifndef MW_CORE_FLOW_IDENTIFIED_RUN_H
#define MW_CORE_FLOW_IDENTIFIED_RUN_H

#include "mimosawind/flow.h"

/*
 * flow-identified-run: records of the runs that lists have shown.
 *
 * LOAD   leaders that change while endpoints are out of reach.  Without these
 *        records the next leader would have to assume of each run that its
 *        start may still be executed, and of its endpoint that leases there
 *        exceed the horizon (flow-lease.h).
 *
 * The log says that a run is identified only while the leases of its endpoint
 * keep to the horizon.
 */

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_placement;

/*
 * mw_has_recorded_identified: whether the next leader may find that a run
 * there is identified, by records that are committed or on their way.
 */
bool mw_has_recorded_identified(const struct mw_flow_endpoint *endpoint);
/*
 * mw_record_none_identified: proposes a record by which the next leader finds
 * no identified run there.  Once it is committed, leases may exceed the
 * horizon.
 *
 * Returns false if another record of a run there is on its way, or none can be
 * proposed now.
 */
bool mw_record_none_identified(struct mw_flows *flows,
                               const struct mw_flow_endpoint *endpoint);
/*
 * mw_may_record_run_over: whether the run may be recorded as over.
 *
 * The next leader counts a start for each run that is not identified, and no
 * longer for this one.  If leases there exceed the horizon, a record that no
 * other run there is identified is proposed first; returns false if that can't
 * be done now.
 */
bool mw_may_record_run_over(struct mw_flows *flows,
                            const struct mw_task_placement *placement);
/*
 * mw_record_identified_runs: proposes a record of those that the log does not
 * call identified, where leases keep to the horizon and every call was
 * answered.
 */
void mw_record_identified_runs(struct mw_flows *flows, int64_t now_us);

#endif
