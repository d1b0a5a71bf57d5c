/*
 * control-heartbeat: what a control process says of itself.
 */
#include "control-impl.h"

void
mw_control_send_heartbeats(struct mw_control *control, int64_t now_us)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_HEARTBEAT);
    struct mw_heartbeat *beat = &msg->heartbeat;
    struct mw_log_status view;

    mw_log_get_status(control->log[MW_GROUP_ZONE], &view);
    beat->role = MW_ROLE_CONTROL;
    beat->zone = control->zone_name;
    beat->leads_zone = control->zone_leadership != MW_LEAD_NONE;
    beat->leads_region =
        mw_control_is_leader(control, MW_GROUP_REGION, now_us);
    beat->out = mw_zone_is_out_of_service(control->zone);
    beat->zone_sequence = control->zone_sequence;
    beat->leaving = control->leaving;
    beat->epoch = view.term;
    mw_zone_get_load(control->zone, &beat->load);
    beat->version[MW_PRODUCTION] = mw_zone_document_version(control->zone);
    struct mw_document *trial = control->documents[MW_TRIAL].document;

    beat->version[MW_TRIAL] = trial ? trial->version : 0;
    control->output.send_all(control->output.opaque, MW_ROLE_CONTROL, msg);
    control->output.send_all(control->output.opaque, MW_ROLE_ENTRY, msg);
    mw_drop_msg(msg);
    control->heartbeat_deadline_us = now_us + MW_HEARTBEAT_INTERVAL_US * 2;
}
