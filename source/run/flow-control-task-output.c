/*
 * flow-control-task-output: the effects of the control process: messages,
 * stored items, commands, replies and events.
 */
#include "flow-control-task-impl.h"

static void
send_to_process(void *opaque, const struct mw_name *to, struct mw_msg *msg)
{
    struct mw_flow_control_task *t = opaque;

    mw_post_peer_msg(t->process.links_task, to, msg);
}

static void
send_to_role(void *opaque, enum mw_process_role role, struct mw_msg *msg)
{
    struct mw_flow_control_task *t = opaque;

    mw_post_broadcast(t->process.links_task, role, msg);
}

static void
store(void *opaque, const struct mw_stored_item *item)
{
    struct mw_flow_control_task *t = opaque;
    struct mw_stored_blob stored = {.group = MW_GROUP_REGION,
                                    .kind = item->kind,
                                    .sequence = item->sequence,
                                    .blob = mw_encode_stored(item)};

    g_array_append_val(t->stored, stored);
}

static void
execute_command(void *opaque, const struct mw_flow_command *command)
{
    struct mw_flow_control_task *t = opaque;

    t->setup.server.command(t->setup.server.opaque, command);
}

static void
reply(void *opaque, const struct mw_flow_reply *flow_reply)
{
    struct mw_flow_control_task *t = opaque;

    t->setup.server.reply(t->setup.server.opaque, flow_reply);
}

static void
log_event(void *opaque, const struct mw_flow_event *flow_event)
{
    struct mw_flow_control_task *t = opaque;

    mw_event_log_write(t->process.log, mw_now(), flow_event);
}

static struct mw_flow_config *
decode_config(void *opaque, struct mw_context *ctx, struct mw_str text,
              int *error)
{
    struct mw_flow_control_task *t = opaque;

    return t->setup.server.decode_config(t->setup.server.opaque, ctx, text,
                                         error);
}

static struct mw_flow_plan *
decode_plan(void *opaque, struct mw_context *ctx, struct mw_str text,
            int *error)
{
    struct mw_flow_control_task *t = opaque;

    return t->setup.server.decode_plan(t->setup.server.opaque, ctx, text,
                                       error);
}

struct mw_flow_control_output
mw_flow_control_task_output(struct mw_flow_control_task *t)
{
    return (struct mw_flow_control_output){
        .opaque = t,
        .send = send_to_process,
        .send_all = send_to_role,
        .store = store,
        .command = execute_command,
        .reply = reply,
        .event = log_event,
        .decode_config = decode_config,
        .decode_plan = decode_plan,
    };
}

void
mw_flush_stored(struct mw_flow_control_task *t)
{
    if (t->stored->len == 0 || !t->disk_task) {
        return;
    }
    mw_post_stored(t->disk_task, &t->stored);
}
