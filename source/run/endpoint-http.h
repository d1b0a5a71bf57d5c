#ifndef MW_RUN_ENDPOINT_HTTP_H
#define MW_RUN_ENDPOINT_HTTP_H

#include "task.h"

/*
 * endpoint-http: HTTP from endpoints and to them.
 *
 * Endpoints post announcements to the listener.  Each is passed to the owner
 * as MW_TASK_MSG_ANNOUNCEMENT; the owner's MW_TASK_MSG_REPLY renews the
 * endpoint's lease or refuses to.
 *
 * Commands arrive as MW_TASK_MSG_COMMAND and are sent to their endpoints as
 * HTTP requests; the outcome is returned as MW_TASK_MSG_COMMAND_DONE.  If the
 * response takes longer than MW_COMMAND_TIMEOUT_US, the outcome is
 * MW_OUTCOME_LOST and the connection is closed, since an established
 * connection can stop carrying data while new connections still work.
 */

#define MW_COMMAND_TIMEOUT_US 3000000
#define MW_COMMANDS_PER_ENDPOINT_MAX 64

struct mw_endpoint_http;

struct mw_endpoint_http *mw_new_endpoint_http(const struct mw_name *address,
                                              struct mw_task *owner);
void mw_drop_endpoint_http(struct mw_endpoint_http *http);
struct mw_task *mw_endpoint_http_task(struct mw_endpoint_http *http);

#endif
