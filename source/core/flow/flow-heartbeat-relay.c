/*
 * flow-heartbeat-relay: passes heartbeats of endpoints on to the leader.
 */
#include "flow-heartbeat-relay.h"

#include <glib.h>

/* endpoints wait a second for the reply */
#define REPLY_TIMEOUT_US INT64_C(800000)
#define BATCH_DELAY_US INT64_C(20000)
#define BATCH_MAX 128
#define PENDING_MAX 8192

/* relayed: a heartbeat without a reply. */
struct relayed {
    /* of the message to the leader */
    uint64_t ref;
    /* with which the heartbeat came */
    uint64_t heartbeat_ref;
    int64_t deadline_us;
    /* NULL once it has been sent */
    struct mw_flow_heartbeat *heartbeat;
};

struct mw_heartbeat_relay {
    struct mw_heartbeat_relay_output output;
    uint64_t next_ref;
    /* struct relayed by ref, and in the order of their deadlines */
    GHashTable *pending;
    GQueue order;
    /* of the order, how many at its end have not been sent */
    uint32_t unsent;
    int64_t batch_deadline_us;
};

static void
free_relayed(void *data)
{
    struct relayed *relayed = data;

    g_free(relayed->heartbeat);
    g_free(relayed);
}

struct mw_heartbeat_relay *
mw_new_heartbeat_relay(const struct mw_heartbeat_relay_output *output,
                       uint64_t first_ref)
{
    struct mw_heartbeat_relay *relay = g_new0(struct mw_heartbeat_relay, 1);

    relay->output = *output;
    relay->next_ref = first_ref;
    relay->pending =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_relayed);
    relay->batch_deadline_us = INT64_MAX;
    return relay;
}

void
mw_drop_heartbeat_relay(struct mw_heartbeat_relay *relay)
{
    if (relay) {
        g_queue_clear(&relay->order);
        g_hash_table_unref(relay->pending);
        g_free(relay);
    }
}

int
mw_relay_heartbeat(struct mw_heartbeat_relay *relay, int64_t now_us,
                   const struct mw_flow_heartbeat *heartbeat, uint64_t ref)
{
    struct relayed *relayed;

    if (g_hash_table_size(relay->pending) >= PENDING_MAX) {
        return MW_ERR_OVERLOADED;
    }
    relayed = g_new0(struct relayed, 1);
    relayed->ref = relay->next_ref++;
    relayed->heartbeat_ref = ref;
    relayed->deadline_us = now_us + REPLY_TIMEOUT_US;
    relayed->heartbeat = g_memdup2(heartbeat, sizeof *heartbeat);
    g_hash_table_insert(relay->pending, &relayed->ref, relayed);
    g_queue_push_tail(&relay->order, relayed);
    relay->unsent++;
    if (relay->unsent == 1) {
        relay->batch_deadline_us = now_us + BATCH_DELAY_US;
    }
    if (relay->unsent >= BATCH_MAX) {
        relay->batch_deadline_us = now_us;
    }
    return MW_ERR_PENDING;
}

/* Removes it from both indexes and replies. */
static void
settle(struct mw_heartbeat_relay *relay, struct relayed *relayed, int error)
{
    uint64_t ref = relayed->heartbeat_ref;

    relay->unsent -= relayed->heartbeat != NULL;
    g_queue_remove(&relay->order, relayed);
    g_hash_table_remove(relay->pending, &relayed->ref);
    relay->output.reply(relay->output.opaque, ref, error);
}

bool
mw_settle_heartbeat(struct mw_heartbeat_relay *relay, uint64_t ref, int error)
{
    struct relayed *relayed = g_hash_table_lookup(relay->pending, &ref);

    if (relayed) {
        settle(relay, relayed, error);
    }
    return relayed != NULL;
}

void
mw_fail_relayed_heartbeats(struct mw_heartbeat_relay *relay)
{
    while (relay->order.length > 0) {
        settle(relay, g_queue_peek_head(&relay->order), MW_ERR_NOT_LEADER);
    }
}

static void
give_up_overdue(struct mw_heartbeat_relay *relay, int64_t now_us)
{
    struct relayed *first = g_queue_peek_head(&relay->order);

    while (first && now_us >= first->deadline_us) {
        settle(relay, first, MW_ERR_DEADLINE);
        first = g_queue_peek_head(&relay->order);
    }
}

static void
send_batch(struct mw_heartbeat_relay *relay, const struct mw_name *leader)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_FLOW_HEARTBEATS);
    struct mw_msg_flow_heartbeats *body = &msg->flow_heartbeats;

    body->heartbeats = g_new0(struct mw_relayed_heartbeat, relay->unsent);
    for (GList *l = relay->order.tail; l && relay->unsent > 0; l = l->prev) {
        struct relayed *relayed = l->data;

        body->heartbeats[body->count++] =
            (struct mw_relayed_heartbeat){relayed->ref, *relayed->heartbeat};
        g_clear_pointer(&relayed->heartbeat, g_free);
        relay->unsent--;
    }
    relay->output.send(relay->output.opaque, leader, msg);
    mw_drop_msg(msg);
}

void
mw_heartbeat_relay_tick(struct mw_heartbeat_relay *relay, int64_t now_us,
                        const struct mw_name *leader)
{
    give_up_overdue(relay, now_us);
    if (now_us < relay->batch_deadline_us) {
        return;
    }
    relay->batch_deadline_us = INT64_MAX;
    if (leader->len == 0) {
        mw_fail_relayed_heartbeats(relay);
    }
    else if (relay->unsent > 0) {
        send_batch(relay, leader);
    }
}

int64_t
mw_heartbeat_relay_deadline(const struct mw_heartbeat_relay *relay)
{
    int64_t deadline_us = relay->batch_deadline_us;

    if (relay->order.length > 0) {
        const struct relayed *first = relay->order.head->data;

        deadline_us = MIN(deadline_us, first->deadline_us);
    }
    return deadline_us;
}
