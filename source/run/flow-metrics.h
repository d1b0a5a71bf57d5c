#ifndef MW_RUN_FLOW_METRICS_H
#define MW_RUN_FLOW_METRICS_H

#include <glib.h>

#include "mimosawind/flow-process.h"

/*
 * flow-metrics: the metrics of a control process as text.
 *
 * One line for each value, NAME VALUE; histograms have their cumulative
 * buckets, sum and count.  docs/OPERATIONS.md lists the names.
 */

/*
 * mw_add_org_metrics: use, cap, weight and waiting tasks of organisations.
 *
 * A line is NAME{org="..."} VALUE.  The sum of several organisations has
 * neither a cap nor a weight.
 */
void mw_add_org_metrics(GString *out, const struct mw_flow_org_status *orgs,
                        uint32_t count);

/* mw_format_flow_metrics: lines_dropped is that of the event log. */
GString *mw_format_flow_metrics(const struct mw_flow_control *control,
                                uint64_t lines_dropped);

#endif
