#ifndef MW_CORE_FLOW_CAPACITY_H
#define MW_CORE_FLOW_CAPACITY_H

#include "mimosawind/flow.h"

/* flow-capacity: how long a capacity counts, whether a start fits. */

struct mw_flow_endpoint;
struct mw_task_placement;

/* mw_note_endpoint_capacity: a heartbeat, or a record of one, has come. */
void mw_note_endpoint_capacity(struct mw_flow_endpoint *endpoint,
                               int64_t now_us,
                               const struct mw_flow_heartbeat *heartbeat);
/*
 * mw_read_flow_endpoint_clock: a response to a command that was sent at
 * sent_us tells the endpoint's clock, and so how old its last heartbeat is.
 */
void mw_read_flow_endpoint_clock(struct mw_flow_endpoint *endpoint,
                                 int64_t now_us, int64_t sent_us,
                                 int64_t clock_us);
/*
 * mw_clock_fits: whether the process whose clock is known can have shown this
 * between sent_us and now_us; true if none is known.
 */
bool mw_clock_fits(const struct mw_flow_endpoint *endpoint, int64_t now_us,
                   int64_t sent_us, int64_t clock_us);
/* whether this leader has a heartbeat of it, not only a record of one */
bool mw_endpoint_is_heard(const struct mw_flow_endpoint *endpoint);
/*
 * mw_start_fits: whether the run, and all of its gang that is not sent yet,
 * still fits; an endpoint's capacity may have shrunk since it was placed.
 */
bool mw_start_fits(const struct mw_task_placement *placement, int64_t now_us);

#endif
