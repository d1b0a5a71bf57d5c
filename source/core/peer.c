#include "peer.h"

GHashTable *
mw_new_peers(void)
{
    return g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, g_free);
}

struct mw_peer *
mw_update_peer(GHashTable *peers, int64_t now_us, const struct mw_name *from,
               const struct mw_heartbeat *heartbeat)
{
    struct mw_peer *peer = g_hash_table_lookup(peers, from);

    if (!peer) {
        peer = g_new0(struct mw_peer, 1);
        peer->name = *from;
        g_hash_table_insert(peers, &peer->name, peer);
    }
    peer->heartbeat = *heartbeat;
    peer->last_heartbeat_us = now_us;
    peer->connected = true;
    return peer;
}

bool
mw_peer_is_live(const struct mw_peer *peer, int64_t now_us)
{
    return peer->connected &&
           now_us - peer->last_heartbeat_us <= MW_PEER_TIMEOUT_US;
}

uint64_t
mw_zone_sequence(GHashTable *peers, const struct mw_name *zone)
{
    uint64_t sequence = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_heartbeat *heartbeat =
            &((struct mw_peer *)value)->heartbeat;

        if (mw_name_equal(&heartbeat->zone, zone)) {
            sequence = MAX(sequence, heartbeat->zone_sequence);
        }
    }
    return sequence;
}

struct mw_peer *
mw_zone_leader(GHashTable *peers, int64_t now_us, const struct mw_name *zone)
{
    struct mw_peer *leader = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_peer *peer = value;

        if (!mw_peer_is_live(peer, now_us) || !peer->heartbeat.leads_zone ||
            !mw_name_equal(&peer->heartbeat.zone, zone)) {
            continue;
        }
        if (!leader || peer->heartbeat.epoch > leader->heartbeat.epoch) {
            leader = peer;
        }
    }
    return leader;
}

struct mw_peer *
mw_region_leader(GHashTable *peers, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_peer *peer = value;

        if (mw_peer_is_live(peer, now_us) && peer->heartbeat.leads_region) {
            return peer;
        }
    }
    return NULL;
}
