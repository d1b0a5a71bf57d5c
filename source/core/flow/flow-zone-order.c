/*
 * flow-zone-order: which order for a zone is the newest.
 */
#include "flow-zone-order.h"

/* mw_zone_order: the newest order for a zone, as far as this process knows. */
struct mw_zone_order {
    struct mw_name zone;
    /* of its last applied record */
    uint64_t index;
    bool out;
    /* of the leader: of its last proposed record; 0 for none */
    uint64_t proposed_index;
    bool proposed_out;
};

void
mw_init_zone_orders(struct mw_zone_orders *orders)
{
    orders->by_zone =
        g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, g_free);
}

void
mw_clear_zone_orders(struct mw_zone_orders *orders)
{
    g_hash_table_unref(orders->by_zone);
}

void
mw_forget_zone_orders(struct mw_zone_orders *orders)
{
    g_hash_table_remove_all(orders->by_zone);
}

static struct mw_zone_order *
get(struct mw_zone_orders *orders, const struct mw_name *zone)
{
    struct mw_zone_order *order = g_hash_table_lookup(orders->by_zone, zone);

    if (!order) {
        order = g_new0(struct mw_zone_order, 1);
        order->zone = *zone;
        g_hash_table_insert(orders->by_zone, &order->zone, order);
    }
    return order;
}

void
mw_note_proposed_zone_order(struct mw_zone_orders *orders,
                            const struct mw_name *zone, bool out,
                            uint64_t index)
{
    struct mw_zone_order *order = get(orders, zone);

    order->proposed_index = index;
    order->proposed_out = out;
}

void
mw_void_proposed_zone_orders(struct mw_zone_orders *orders)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, orders->by_zone);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct mw_zone_order *)value)->proposed_index = 0;
    }
}

void
mw_note_zone_order(struct mw_zone_orders *orders, const struct mw_name *zone,
                   bool out, uint64_t index)
{
    struct mw_zone_order *order = get(orders, zone);

    order->index = index;
    order->out = out;
}

bool
mw_zone_order_is_outdated(const struct mw_zone_orders *orders,
                          const struct mw_name *zone, bool out,
                          uint64_t known_index, uint64_t snapshot_index)
{
    static const struct mw_zone_order none;
    const struct mw_zone_order *order =
        g_hash_table_lookup(orders->by_zone, zone);
    uint64_t index;

    if (!order) {
        order = &none;
    }
    if (order->proposed_index > order->index) {
        return order->proposed_out != out;
    }
    /* a snapshot has only the zones that are out */
    index = order->index > 0 ? order->index : snapshot_index;
    return known_index < index && order->out != out;
}
