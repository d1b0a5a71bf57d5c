#ifndef MW_RUN_CLIENT_HTTP_H
#define MW_RUN_CLIENT_HTTP_H

#include "task.h"

/*
 * client-http: the HTTP server for clients; see docs/INTERFACE.md.
 *
 * Posts MW_TASK_MSG_REQUEST with a submit or query message to the owner,
 * which posts MW_TASK_MSG_REPLY with the JSON text back.  MW_TASK_MSG_LEAVE
 * stops listening; once no request is pending, the owner receives
 * MW_TASK_MSG_LEAVE in return.
 */

struct mw_client_http;

struct mw_client_http *mw_new_client_http(const struct mw_name *address,
                                          struct mw_task *owner);
void mw_drop_client_http(struct mw_client_http *http);
struct mw_task *mw_client_http_task(struct mw_client_http *http);

#endif
