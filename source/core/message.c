#include "mimosawind/message.h"

#include <glib.h>

struct mw_msg *
mw_new_msg(enum mw_msg_kind kind)
{
    struct mw_msg *msg = g_new0(struct mw_msg, 1);

    msg->refs = 1;
    msg->kind = kind;
    return msg;
}

struct mw_msg *
mw_keep_msg(struct mw_msg *msg)
{
    if (msg) {
        g_atomic_int_inc(&msg->refs);
    }
    return msg;
}

static void
clear_contents(struct mw_msg *msg)
{
    switch (msg->kind) {
    case MW_MSG_LOG:
        mw_log_msg_clear(&msg->log.msg);
        break;
    case MW_MSG_SUBMIT:
        mw_drop_blob(msg->submit.body);
        break;
    case MW_MSG_ANSWER:
        mw_drop_blob(msg->answer.output);
        mw_drop_blob(msg->answer.detail);
        break;
    case MW_MSG_ANNOUNCE:
        g_free(msg->announce.listed);
        break;
    case MW_MSG_ORDER:
        mw_drop_blob(msg->order.body);
        break;
    case MW_MSG_REPORT:
        mw_drop_blob(msg->report.output);
        break;
    case MW_MSG_CHANGE:
        mw_drop_document(msg->change.document);
        break;
    case MW_MSG_CHANGE_RESULT:
        mw_drop_blob(msg->changed.detail);
        break;
    case MW_MSG_DOCUMENT:
        mw_drop_document(msg->document.document);
        break;
    case MW_MSG_GUARANTEE_CHECK:
        mw_drop_document(msg->judge.document);
        break;
    case MW_MSG_GUARANTEE_CHECK_RESULT:
        mw_drop_blob(msg->judged.detail);
        break;
    case MW_MSG_FLOW_CALL:
        mw_drop_blob(msg->flow_call.host);
        mw_drop_blob(msg->flow_call.path);
        mw_drop_blob(msg->flow_call.key);
        mw_drop_blob(msg->flow_call.body);
        break;
    case MW_MSG_FLOW_RETURN:
        mw_drop_blob(msg->flow_return.text);
        break;
    case MW_MSG_FLOW_HEARTBEATS:
        g_free(msg->flow_heartbeats.heartbeats);
        break;
    case MW_MSG_FLOW_HEARTBEAT_RESULTS:
        g_free(msg->flow_heartbeat_results.results);
        break;
    default:
        break;
    }
}

void
mw_drop_msg(struct mw_msg *msg)
{
    if (msg && g_atomic_int_dec_and_test(&msg->refs)) {
        clear_contents(msg);
        g_free(msg);
    }
}
