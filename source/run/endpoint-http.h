#ifndef MW_RUN_ENDPOINT_HTTP_H
#define MW_RUN_ENDPOINT_HTTP_H

#include "task.h"

/*
 * endpoint-http: both directions towards endpoints.
 *
 * Announcements arrive on the endpoints' listener and go to the owner as
 * MW_MAIL_ANNOUNCE; the owner's MW_MAIL_REPLY says whether the lease is
 * renewed.  Orders arrive as MW_MAIL_ORDER and are carried out as requests;
 * their outcome goes back as MW_MAIL_CALLED.  An endpoint that does not
 * answer an order before MW_CALL_US counts as lost, and its connection is
 * closed: old ones go silent while new ones work.
 */

#define MW_CALL_US 3000000
#define MW_CALLS_PER_ENDPOINT 64

struct mw_endpoint_http;

struct mw_endpoint_http *mw_new_endpoint_http(const struct mw_name *address,
                                              struct mw_task *owner);
void mw_drop_endpoint_http(struct mw_endpoint_http *http);
struct mw_task *mw_endpoint_http_task(struct mw_endpoint_http *http);

#endif
