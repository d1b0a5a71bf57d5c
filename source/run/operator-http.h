#ifndef MW_RUN_OPERATOR_HTTP_H
#define MW_RUN_OPERATOR_HTTP_H

#include "task.h"

/*
 * operator-http: the HTTP server of a process for operators.
 *
 * Every request except GET /ready must be signed with the shared key, over
 * its method, path, time and body.  POST /v1/changes is passed to the owner
 * as MW_TASK_MSG_REQUEST, GET /v1/dump and its parts as MW_TASK_MSG_STATUS.
 */

/* maximum age of a signature; the clocks may differ by as much */
#define MW_SIGNATURE_WINDOW_US 300000000

struct mw_operator_http;

struct mw_operator_http *mw_new_operator_http(const struct mw_name *address,
                                              struct mw_blob *key,
                                              struct mw_task *owner);
void mw_drop_operator_http(struct mw_operator_http *http);
struct mw_task *mw_operator_http_task(struct mw_operator_http *http);

#endif
