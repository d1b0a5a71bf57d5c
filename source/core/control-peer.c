/*
 * control-peer: the state of other processes, from their heartbeats.
 */
#include "control-impl.h"

struct mw_control_peer *
mw_control_update_peer(struct mw_control *control, int64_t now_us,
                       const struct mw_name *from,
                       const struct mw_heartbeat *heartbeat)
{
    struct mw_control_peer *peer = g_hash_table_lookup(control->peers, from);

    if (!peer) {
        peer = g_new0(struct mw_control_peer, 1);
        peer->name = *from;
        g_hash_table_insert(control->peers, &peer->name, peer);
    }
    peer->heartbeat = *heartbeat;
    peer->last_heartbeat_us = now_us;
    return peer;
}

struct mw_control_peer *
mw_control_zone_leader(const struct mw_control *control, int64_t now_us,
                       const struct mw_name *zone)
{
    struct mw_control_peer *leader = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_control_peer *peer = value;

        if (!peer->heartbeat.leads_zone ||
            now_us - peer->last_heartbeat_us > MW_PEER_TIMEOUT_US ||
            !mw_name_equal(&peer->heartbeat.zone, zone)) {
            continue;
        }
        if (!leader || peer->heartbeat.epoch > leader->heartbeat.epoch) {
            leader = peer;
        }
    }
    return leader;
}

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
