/*
 * flow-entry-pending: the requests without a reply, in what they wait for.
 */
#include "flow-entry-impl.h"

void
mw_free_pending_request(void *data)
{
    struct mw_pending_request *pending = data;

    mw_drop_msg(pending->msg);
    g_free(pending);
}

void
mw_forward_pending_request(struct mw_flow_entry *entry,
                           struct mw_pending_request *pending)
{
    entry->counters.handed_again += pending->forward_count > 0;
    pending->forward_count++;
    entry->output.send(entry->output.opaque, &entry->leader, pending->msg);
}

static void
add_pending(struct mw_flow_entry *entry, struct mw_pending_request *pending)
{
    g_hash_table_insert(entry->pending, &pending->ref, pending);
    g_hash_table_insert(entry->pending_by_request_ref, &pending->request_ref,
                        pending);
    entry->pending_bytes += pending->bytes;
}

void
mw_remove_pending_request(struct mw_flow_entry *entry,
                          struct mw_pending_request *pending)
{
    entry->pending_bytes -= pending->bytes;
    g_hash_table_remove(entry->pending_by_request_ref, &pending->request_ref);
    g_hash_table_remove(entry->pending, &pending->ref);
}

static size_t
request_size(const struct mw_flow_request *request)
{
    return sizeof(struct mw_pending_request) + sizeof(struct mw_msg) +
           request->host.len + request->path.len + request->key.len +
           request->body.len;
}

bool
mw_has_room_for_request(const struct mw_flow_entry *entry,
                        const struct mw_flow_request *request)
{
    return g_hash_table_size(entry->pending) < MW_FLOW_PENDING_MAX &&
           entry->pending_bytes + request_size(request) <=
               MW_FLOW_PENDING_BYTES_MAX;
}

/* The message that passes the request on to the leader. */
static struct mw_msg *
new_flow_call(const struct mw_flow_request *request, uint64_t ref)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_FLOW_CALL);

    msg->flow_call.ref = ref;
    msg->flow_call.kind = request->kind;
    msg->flow_call.host = mw_new_blob(request->host);
    msg->flow_call.path = mw_new_blob(request->path);
    msg->flow_call.key = mw_new_blob(request->key);
    msg->flow_call.body = mw_new_blob(request->body);
    msg->flow_call.known_index = request->known_index;
    return msg;
}

struct mw_pending_request *
mw_add_pending_request(struct mw_flow_entry *entry, int64_t now_us,
                       const struct mw_flow_request *request,
                       int64_t deadline_us)
{
    struct mw_pending_request *pending = g_new0(struct mw_pending_request, 1);

    pending->ref = entry->next_ref++;
    pending->request_ref = request->ref;
    pending->deadline_us = deadline_us;
    pending->leader_deadline_us = now_us + MW_FLOW_LEADER_WAIT_US;
    pending->received_us = now_us;
    pending->msg = new_flow_call(request, pending->ref);
    pending->msg->flow_call.known_index =
        MAX(request->known_index, entry->known_index);
    pending->bytes = request_size(request);
    add_pending(entry, pending);
    return pending;
}

void
mw_flow_entry_client_closed(struct mw_flow_entry *entry, uint64_t ref)
{
    struct mw_pending_request *pending =
        g_hash_table_lookup(entry->pending_by_request_ref, &ref);

    if (pending) {
        mw_remove_pending_request(entry, pending);
    }
}

static int64_t
expiry_us(const struct mw_pending_request *pending)
{
    return pending->forward_count > 0
               ? pending->deadline_us
               : MIN(pending->deadline_us, pending->leader_deadline_us);
}

static GPtrArray *
expired_requests(struct mw_flow_entry *entry, int64_t now_us)
{
    GPtrArray *expired = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_us >= expiry_us(value)) {
            g_ptr_array_add(expired, value);
        }
    }
    return expired;
}

struct mw_flow_request
mw_pending_flow_request(const struct mw_pending_request *pending)
{
    const struct mw_msg_flow_call *call = &pending->msg->flow_call;

    return (struct mw_flow_request){
        .ref = pending->request_ref,
        .kind = call->kind,
        .host = mw_blob_str(call->host),
        .path = mw_blob_str(call->path),
        .key = mw_blob_str(call->key),
        .body = mw_blob_str(call->body),
        .known_index = call->known_index,
    };
}

static void
expire(struct mw_flow_entry *entry, int64_t now_us,
       struct mw_pending_request *pending)
{
    struct mw_flow_request request = mw_pending_flow_request(pending);

    if (pending->forward_count == 0) {
        mw_refuse_unforwarded(entry, now_us, &request, MW_ERR_NOT_LEADER);
    }
    else {
        entry->counters.timed_out++;
        mw_log_entry_event(entry, "timed_out", "no_answer",
                           now_us - pending->received_us, request.path);
        mw_time_out_pending(entry, request.ref);
    }
    mw_remove_pending_request(entry, pending);
}

static void
end_expired(struct mw_flow_entry *entry, int64_t now_us)
{
    GPtrArray *expired = expired_requests(entry, now_us);

    for (guint i = 0; i < expired->len; i++) {
        expire(entry, now_us, expired->pdata[i]);
    }
    g_ptr_array_unref(expired);
}

static int
compare_refs(gconstpointer a, gconstpointer b)
{
    const struct mw_pending_request *x =
        *(struct mw_pending_request *const *)a;
    const struct mw_pending_request *y =
        *(struct mw_pending_request *const *)b;

    return x->ref < y->ref ? -1 : x->ref > y->ref;
}

void
mw_flow_entry_end(struct mw_flow_entry *entry, int64_t now_us)
{
    GPtrArray *all = expired_requests(entry, INT64_MAX);

    entry->ended = true;
    g_ptr_array_sort(all, compare_refs);
    for (guint i = 0; i < all->len; i++) {
        expire(entry, now_us, all->pdata[i]);
    }
    g_ptr_array_unref(all);
}

void
mw_forward_pending_requests(struct mw_flow_entry *entry, int64_t now_us,
                            bool all)
{
    GHashTableIter iter;
    gpointer value;

    end_expired(entry, now_us);
    g_hash_table_iter_init(&iter, entry->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_pending_request *pending = value;

        if (all || pending->forward_count == 0) {
            mw_forward_pending_request(entry, pending);
        }
    }
}

/* Passes the request on as it came. */
static void
hand_over(const struct mw_pending_request *pending, void *opaque,
          void (*serve)(void *opaque, const struct mw_flow_request *request))
{
    struct mw_flow_request request = mw_pending_flow_request(pending);

    serve(opaque, &request);
}

void
mw_flow_entry_hand_over(struct mw_flow_entry *entry, int64_t now_us,
                        void *opaque,
                        void (*serve)(void *opaque,
                                      const struct mw_flow_request *request))
{
    GPtrArray *all = g_ptr_array_new_with_free_func(mw_free_pending_request);
    GHashTableIter iter;
    gpointer value;

    end_expired(entry, now_us);
    g_hash_table_iter_init(&iter, entry->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(all, value);
    }
    g_hash_table_steal_all(entry->pending);
    g_hash_table_remove_all(entry->pending_by_request_ref);
    entry->pending_bytes = 0;
    g_ptr_array_sort(all, compare_refs);
    for (guint i = 0; i < all->len; i++) {
        hand_over(all->pdata[i], opaque, serve);
    }
    g_ptr_array_unref(all);
}

void
mw_flow_entry_tick(struct mw_flow_entry *entry, int64_t now_us)
{
    end_expired(entry, now_us);
}

int64_t
mw_flow_entry_deadline(const struct mw_flow_entry *entry)
{
    GHashTableIter iter;
    gpointer value;
    int64_t deadline_us = INT64_MAX;

    g_hash_table_iter_init(&iter, entry->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        deadline_us = MIN(deadline_us, expiry_us(value));
    }
    return deadline_us;
}
