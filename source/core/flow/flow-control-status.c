/*
 * flow-control-status: what a control process says of itself.
 */
#include <string.h>

#include "flow-control-impl.h"

uint32_t
mw_flow_control_get_members(const struct mw_flow_control *control,
                            struct mw_name *members)
{
    if (control->log) {
        return mw_log_get_members(control->log, members);
    }
    memcpy(members, control->heartbeat_members,
           sizeof control->heartbeat_members);
    return control->heartbeat_member_count;
}

void
mw_flow_control_get_log_status(const struct mw_flow_control *control,
                               struct mw_log_status *log)
{
    *log = (struct mw_log_status){0};
    if (control->log) {
        mw_log_get_status(control->log, log);
    }
}

void
mw_flow_control_get_status(const struct mw_flow_control *control,
                           struct mw_log_status *log,
                           struct mw_flows_status *flows)
{
    mw_flow_control_get_log_status(control, log);
    mw_flows_get_status(control->flows, flows);
}

uint32_t
mw_flow_control_get_orgs(const struct mw_flow_control *control,
                         struct mw_flow_org_status *orgs)
{
    return mw_flows_get_orgs(control->flows, orgs);
}

const struct mw_flow_counters *
mw_flow_control_get_counters(const struct mw_flow_control *control)
{
    return mw_flows_get_counters(control->flows);
}

const struct mw_flow_histogram *
mw_flow_control_get_histogram(const struct mw_flow_control *control,
                              enum mw_flow_latency latency)
{
    return mw_flows_get_histogram(control->flows, latency);
}
