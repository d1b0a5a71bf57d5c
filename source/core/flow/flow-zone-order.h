#ifndef MW_CORE_FLOW_ZONE_ORDER_H
#define MW_CORE_FLOW_ZONE_ORDER_H

#include <glib.h>

#include "mimosawind/str.h"

/*
 * flow-zone-order: which order for a zone is the newest.
 *
 * LOAD   an operator that gives up on a process and sends the order, and later
 *        ones, to another, while the first copy waits in a connection or a
 *        process.  Such an order has no number of its own.
 *
 * It is numbered by the process that receives it: with the index of the last
 * record that this process knew of.  An order for the same zone with a higher
 * index may be newer.  Only the leader judges, by its own log.
 */

/* mw_zone_orders: the last record of each zone, in this process. */
struct mw_zone_orders {
    /* struct mw_zone_order by the name of the zone */
    GHashTable *by_zone;
};

void mw_init_zone_orders(struct mw_zone_orders *orders);
void mw_clear_zone_orders(struct mw_zone_orders *orders);
/* mw_forget_zone_orders: the log begins anew, with a snapshot. */
void mw_forget_zone_orders(struct mw_zone_orders *orders);
/* mw_note_proposed_zone_order: the leader has proposed the order's record. */
void mw_note_proposed_zone_order(struct mw_zone_orders *orders,
                                 const struct mw_name *zone, bool out,
                                 uint64_t index);
/* mw_void_proposed_zone_orders: whether they are committed is not known. */
void mw_void_proposed_zone_orders(struct mw_zone_orders *orders);
/* mw_note_zone_order: the record of an order was applied. */
void mw_note_zone_order(struct mw_zone_orders *orders,
                        const struct mw_name *zone, bool out, uint64_t index);
/*
 * mw_zone_order_is_outdated: whether an order that was received when
 * known_index was the last record known may be older than another one that
 * says the opposite.
 *
 * An order that says the same is never outdated, and must be recorded: orders
 * that are older still are told by its record.  snapshot_index is that of the
 * log's snapshot, which does not tell when a zone's last order came.
 */
bool mw_zone_order_is_outdated(const struct mw_zone_orders *orders,
                               const struct mw_name *zone, bool out,
                               uint64_t known_index, uint64_t snapshot_index);

#endif
