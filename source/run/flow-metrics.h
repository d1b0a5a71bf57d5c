#ifndef MW_RUN_FLOW_METRICS_H
#define MW_RUN_FLOW_METRICS_H

#include <glib.h>

#include "event-log.h"
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

/* mw_format_flow_metrics: drops are those of the event log. */
GString *mw_format_flow_metrics(const struct mw_flow_control *control,
                                const struct mw_event_log_drops *drops);

/* mw_add_refusals_by_delay: MW_FLOW_RETRY_AFTER_MAX_S counters. */
void mw_add_refusals_by_delay(GString *out, const char *name,
                              const uint64_t *counts);

#endif
