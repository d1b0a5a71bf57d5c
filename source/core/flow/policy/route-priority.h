#ifndef MW_CORE_FLOW_POLICY_ROUTE_PRIORITY_H
#define MW_CORE_FLOW_POLICY_ROUTE_PRIORITY_H

#include "mimosawind/str.h"

/*
 * route-priority: which routes are urgent, as far as an entry process knows.
 *
 * An entry process doesn't have the configuration.  It learns the priorities
 * from the leader's replies.
 */

/* some 3 % of 240 prefixes share a slot with another one */
#define MW_ROUTE_SLOTS 4096

struct mw_route_slot {
    /* of host and prefix; 0 for an empty slot */
    uint64_t hash;
    uint32_t priority;
};

struct mw_route_priorities {
    struct mw_route_slot slots[MW_ROUTE_SLOTS];
};

/*
 * mw_learn_route_priority: a request for this host and path was matched to a
 * route with this priority.
 */
void mw_learn_route_priority(struct mw_route_priorities *table,
                             struct mw_str host, struct mw_str path,
                             uint32_t priority);

/* mw_is_route_urgent: priority 0; false if it is not known. */
bool mw_is_route_urgent(const struct mw_route_priorities *table,
                        struct mw_str host, struct mw_str path);

#endif
