#include "http-task.h"

struct mw_http *
mw_start_http(const struct mw_http_setup *setup, struct mw_task *owner)
{
    char *message = NULL;
    struct mw_http *http = mw_new_http(setup, &message);

    if (!http) {
        mw_post_failed(owner, MW_ERR_INVALID, mw_str_from(message));
        g_free(message);
    }
    return http;
}

void
mw_reply_http(struct mw_http *http, const struct mw_task_msg *task_msg)
{
    mw_http_reply(http, task_msg->handle, task_msg->status, task_msg->text);
}

void
mw_post_client_closed(struct mw_task *owner, uint64_t handle)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_CLIENT_CLOSED);

    task_msg->handle = handle;
    mw_post(owner, task_msg);
}
