#ifndef MW_TESTS_REGION_CALLS_H
#define MW_TESTS_REGION_CALLS_H

#include "region.h"

/*
 * region-calls: commands and heartbeats between the processes of a region and
 * its endpoints.
 *
 * Without endpoint faults a command reaches an endpoint by its identifier, and
 * a heartbeat reaches all control processes at once.  With them a command is
 * sent to an address, its list may be waited for, and a heartbeat is sent to
 * one control process.
 */

void mw_free_endpoint_call(void *call);
void mw_free_endpoint_heartbeat(void *heartbeat);

/* mw_call_endpoint: sends a command of a control process. */
void mw_call_endpoint(struct mw_region_node *node,
                      const struct mw_flow_command *command);
/* mw_advance_endpoint_calls: executes commands and delivers responses. */
void mw_advance_endpoint_calls(struct mw_region *region);

/* mw_step_region_endpoints: lets endpoints work and send heartbeats. */
void mw_step_region_endpoints(struct mw_region *region);

/*
 * mw_leave_region: an endpoint ends gracefully.  It tells a control process,
 * and the lists that are waited for may be sent before or after that.
 */
void mw_leave_region(struct mw_region *region,
                     struct mw_fake_endpoint *endpoint);

#endif
