#ifndef MW_RUN_CALLER_HTTP_H
#define MW_RUN_CALLER_HTTP_H

#include "task.h"

/*
 * caller-http: the callers' listener; its interface is docs/INTERFACE.md.
 *
 * Posts MW_TASK_MSG_REQUEST with a submit or query message to the owner and
 * takes MW_TASK_MSG_REPLY with the JSON text.  MW_TASK_MSG_LEAVE closes the
 * listener; MW_TASK_MSG_LEAVE goes back once nothing is open any more.
 */

struct mw_client_http;

struct mw_client_http *mw_new_client_http(const struct mw_name *address,
                                          struct mw_task *owner);
void mw_drop_client_http(struct mw_client_http *http);
struct mw_task *mw_client_http_task(struct mw_client_http *http);

#endif
