#ifndef MW_RUN_CALLER_HTTP_H
#define MW_RUN_CALLER_HTTP_H

#include "task.h"

/*
 * caller-http: the callers' listener; its interface is docs/INTERFACE.md.
 *
 * Posts MW_MAIL_REQUEST with a submit or query message to the owner and
 * takes MW_MAIL_REPLY with the JSON text.  MW_MAIL_LEAVE closes the
 * listener; MW_MAIL_LEAVE goes back once nothing is open any more.
 */

struct mw_caller_http;

struct mw_caller_http *mw_new_caller_http(const struct mw_name *address,
                                          struct mw_task *owner);
void mw_drop_caller_http(struct mw_caller_http *http);
struct mw_task *mw_caller_http_task(struct mw_caller_http *http);

#endif
