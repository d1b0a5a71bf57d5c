#ifndef MW_RUN_ENDPOINT_HTTP_H
#define MW_RUN_ENDPOINT_HTTP_H

#include "task.h"

/*
 * endpoint-http: both directions towards endpoints.
 *
 * Announcements arrive on the endpoints' listener and go to the owner as
 * MW_TASK_MSG_ANNOUNCEMENT; the owner's MW_TASK_MSG_REPLY says whether the
 * lease is renewed.  Orders arrive as MW_TASK_MSG_COMMAND and are carried out
 * as requests; their outcome goes back as MW_TASK_MSG_COMMAND_DONE.  An
 * endpoint that does not answer an order before MW_COMMAND_TIMEOUT_US counts
 * as lost, and its connection is closed: old ones go silent while new ones
 * work.
 */

#define MW_COMMAND_TIMEOUT_US 3000000
#define MW_COMMANDS_PER_ENDPOINT_MAX 64

struct mw_endpoint_http;

struct mw_endpoint_http *mw_new_endpoint_http(const struct mw_name *address,
                                              struct mw_task *owner);
void mw_drop_endpoint_http(struct mw_endpoint_http *http);
struct mw_task *mw_endpoint_http_task(struct mw_endpoint_http *http);

#endif
