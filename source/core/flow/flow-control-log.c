/*
 * flow-control-log: the member of the region's log in a control process.
 */
#include "flow-control-impl.h"

static void
log_send(void *opaque, const struct mw_name *to, const struct mw_log_msg *msg)
{
    struct mw_flow_control *control = opaque;
    struct mw_msg *out = mw_new_msg(MW_MSG_LOG);

    out->log.group = MW_GROUP_REGION;
    mw_log_msg_copy(&out->log.msg, msg);
    control->setup.output.send(control->setup.output.opaque, to, out);
    mw_drop_msg(out);
}

static void
log_store(void *opaque, const struct mw_stored_item *item)
{
    struct mw_flow_control *control = opaque;

    control->setup.output.store(control->setup.output.opaque, item);
}

/*
 * The log changes the replicated state while it handles a message; a leader
 * that this message deposed must not keep what refers to the old state, or act
 * on the new one.
 */
static void
give_up_lost_leadership(struct mw_flow_control *control)
{
    struct mw_log_status status;

    if (!control->is_leader) {
        return;
    }
    mw_log_get_status(control->log, &status);
    if (status.role != MW_LEADER || status.term != control->leader_term) {
        mw_update_leadership(NULL, control, control->now_us);
    }
}

static void
log_apply(void *opaque, uint64_t index, struct mw_record *record)
{
    struct mw_flow_control *control = opaque;

    control->applied_index = index;
    if (record->kind == MW_RECORD_ZONE_OUT) {
        mw_note_zone_order(&control->zone_orders, &record->zone_out.zone,
                           record->zone_out.out, index);
    }
    give_up_lost_leadership(control);
    mw_flows_apply(control->ctx, control->flows, control->now_us, record);
}

static void
log_reset(void *opaque)
{
    struct mw_flow_control *control = opaque;

    give_up_lost_leadership(control);
    mw_forget_zone_orders(&control->zone_orders);
    mw_flows_reset(control->flows);
}

static void
log_collect(void *opaque, void *out,
            void (*add)(void *out, struct mw_record *record))
{
    struct mw_flow_control *control = opaque;

    mw_flows_snapshot(control->flows, out, add);
}

struct mw_log *
mw_new_flow_control_log(struct mw_flow_control *control)
{
    const struct mw_flow_control_setup *setup = &control->setup;
    struct mw_log_setup log = {
        .group = mw_name_of(MW_STR("region")),
        .self = setup->name,
        .member_count = setup->member_count,
        .founding_count = setup->founding_count,
        .target_member_count = setup->target_member_count,
        .incarnation = setup->incarnation,
        .compact_after = setup->compact_after,
        .compact_bytes = MW_LOG_COMPACT_BYTES,
        .seed = setup->random_seed,
        .now_us = setup->now_us,
        .output = {control, log_send, log_store, log_apply, log_reset,
                   log_collect},
    };

    for (uint32_t i = 0; i < setup->member_count; i++) {
        log.members[i].name = setup->members[i];
        log.members[i].disk = true;
    }
    return mw_new_log(&log);
}
