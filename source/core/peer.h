#ifndef MW_CORE_PEER_H
#define MW_CORE_PEER_H

#include <glib.h>

#include "mimosawind/message.h"

/*
 * peer: other processes, as their last heartbeats describe them.
 *
 * A table of peers is keyed by the name of the process.
 */

struct mw_peer {
    struct mw_name name;
    struct mw_heartbeat heartbeat;
    int64_t last_heartbeat_us;
    /* since the last heartbeat; kept up to date by entry processes only */
    bool connected;
};

/* mw_new_peers: an empty table; drop it with g_hash_table_unref. */
GHashTable *mw_new_peers(void);

/* mw_update_peer: stores a heartbeat; returns its process. */
struct mw_peer *mw_update_peer(GHashTable *peers, int64_t now_us,
                               const struct mw_name *from,
                               const struct mw_heartbeat *heartbeat);

/* mw_peer_is_live: connected, with a heartbeat in MW_PEER_TIMEOUT_US. */
bool mw_peer_is_live(const struct mw_peer *peer, int64_t now_us);

/* mw_zone_sequence: the highest number of a change of the zone's state that a
 * process of the zone has told of; 0 for none. */
uint64_t mw_zone_sequence(GHashTable *peers, const struct mw_name *zone);

/* mw_zone_leader: the zone's live leader with the highest epoch, or NULL. */
struct mw_peer *mw_zone_leader(GHashTable *peers, int64_t now_us,
                               const struct mw_name *zone);

/* mw_region_leader: a live leader of the region's log, or NULL. */
struct mw_peer *mw_region_leader(GHashTable *peers, int64_t now_us);

#endif
