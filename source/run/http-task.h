#ifndef MW_RUN_HTTP_TASK_H
#define MW_RUN_HTTP_TASK_H

#include "http.h"

/*
 * http-task: an HTTP server whose requests another task answers.
 *
 * The task that has the server passes requests to its owner as messages, and
 * the owner posts MW_TASK_MSG_REPLY back.
 */

/*
 * mw_start_http: as mw_new_http; a failure is posted to the owner.
 *
 * Returns NULL on failure.
 */
struct mw_http *mw_start_http(const struct mw_http_setup *setup,
                              struct mw_task *owner);

/* mw_reply_http: sends a MW_TASK_MSG_REPLY of the owner to its client. */
void mw_reply_http(struct mw_http *http, const struct mw_task_msg *task_msg);

/* mw_post_client_closed: the client of a request closed before the reply. */
void mw_post_client_closed(struct mw_task *owner, uint64_t handle);

#endif
