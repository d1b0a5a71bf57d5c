#ifndef MW_CORE_FLOW_SPEED_H
#define MW_CORE_FLOW_SPEED_H

#include "endpoint-speed.h"

/* flow-speed: observations for the endpoints' speeds. */

struct mw_flow_endpoint;
struct mw_flows;
struct mw_task_placement;

/* mw_note_run_start: the endpoint has accepted the start. */
void mw_note_run_start(struct mw_task_placement *placement, int64_t now_us);
/* mw_note_run_percent: a list shows this progress; 100 for a run that is done.
 */
void mw_note_run_percent(struct mw_task_placement *placement, int64_t now_us,
                         uint32_t percent);

/* mw_compare_speeds: compares the endpoints that may get work in a pass. */
void mw_compare_speeds(struct mw_flows *flows);
enum mw_speed_class
mw_flow_endpoint_speed(const struct mw_flows *flows,
                       const struct mw_flow_endpoint *endpoint);
/* mw_has_unequal_speeds: some endpoint was found to be slow, or fast. */
bool mw_has_unequal_speeds(const struct mw_flows *flows);
/*
 * mw_next_speed_list_us: when the endpoint's next list may help to learn its
 * speed; INT64_MAX for no need.
 */
int64_t mw_next_speed_list_us(const struct mw_flows *flows,
                              const struct mw_flow_endpoint *endpoint,
                              int64_t now_us);

#endif
