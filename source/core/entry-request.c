/*
 * entry-request: pending requests: forwarding, and the reply to each.
 */
#include "entry-impl.h"

#define DEADLINE_GRACE_US 500000
/* two names and the words round them */
#define EXPIRY_DETAIL_SIZE (64 + 2 * MW_NAME_MAX)

void
mw_free_request(void *data)
{
    struct mw_request *request = data;

    mw_drop_msg(request->msg);
    mw_drop_msg(request->status_query);
    g_free(request);
}

static void
set_ref(struct mw_request *request)
{
    struct mw_msg *msg = request->msg;

    switch (request->kind) {
    case MW_REQUEST_SUBMIT:
        msg->submit.ref = request->ref;
        break;
    case MW_REQUEST_QUERY:
        msg->query.ref = request->ref;
        break;
    default:
        msg->change.ref = request->ref;
        break;
    }
}

struct mw_request *
mw_add_request(struct mw_entry *entry, uint64_t handle,
               enum mw_request_kind kind, struct mw_msg *msg,
               int64_t deadline_us)
{
    struct mw_request *request = g_new0(struct mw_request, 1);

    request->ref = entry->next_ref++;
    request->handle = handle;
    request->kind = kind;
    request->msg = msg;
    /* the scheduler answers at the deadline; wait a little for that answer */
    request->deadline_us = deadline_us + DEADLINE_GRACE_US;
    set_ref(request);
    g_hash_table_insert(entry->requests, &request->ref, request);
    g_hash_table_insert(entry->requests_by_handle, &request->handle, request);
    return request;
}

void
mw_remove_request(struct mw_entry *entry, struct mw_request *request)
{
    g_hash_table_remove(entry->requests_by_handle, &request->handle);
    g_hash_table_remove(entry->requests, &request->ref);
}

void
mw_send_request(struct mw_entry *entry, int64_t now_us,
                struct mw_request *request)
{
    struct mw_name zone;
    struct mw_peer *peer = mw_entry_route(entry, now_us, request, &zone);

    request->resend_deadline_us = now_us + MW_RESEND_INTERVAL_US;
    if (!peer) {
        request->assigned_to = (struct mw_name){0};
        return;
    }
    if (request->sent) {
        entry->counters.resends++;
    }
    request->assigned_to = peer->name;
    request->sent = true;
    bool is_query = request->handover_zone.len > 0 && request->status_query;

    entry->output.send(entry->output.opaque, &peer->name,
                       is_query ? request->status_query : request->msg);
}

void
mw_complete_request(struct mw_entry *entry, struct mw_request *request,
                    struct mw_reply *reply)
{
    entry->counters.replies++;
    reply->is_change = request->kind == MW_REQUEST_CHANGE;
    if (!reply->is_change) {
        reply->key = *mw_request_key(request);
    }
    if (reply->error && request->may_have_run && reply->ran == MW_NOT_RUN) {
        reply->ran = MW_MAY_HAVE_RUN;
    }
    entry->output.reply(entry->output.opaque, request->handle, reply);
    mw_remove_request(entry, request);
}

void
mw_send_unassigned_requests(struct mw_entry *entry, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_request *request = value;

        if (request->assigned_to.len == 0) {
            mw_send_request(entry, now_us, request);
        }
    }
}

void
mw_unassign_requests(struct mw_entry *entry, int64_t now_us,
                     const struct mw_name *process)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_request *request = value;

        if (!mw_name_equal(&request->assigned_to, process)) {
            continue;
        }
        request->assigned_to = (struct mw_name){0};
        request->may_have_run = true;
        request->tries++;
        request->resend_deadline_us = now_us;
    }
}

/* Names the zone to ask, and its entry process; *text holds the result. */
static struct mw_str
expiry_detail(const struct mw_entry *entry, const struct mw_request *request,
              const struct mw_name *zone, char text[EXPIRY_DETAIL_SIZE])
{
    const struct mw_document_zone *document_zone =
        mw_find_document_zone(entry->document, zone);
    struct mw_str name = mw_name_str(zone->len ? zone : &entry->zone);
    struct mw_str address =
        document_zone ? mw_name_str(&document_zone->entry) : MW_STR("");
    int len =
        g_snprintf(text, EXPIRY_DETAIL_SIZE, "%s; ask zone %.*s%s%.*s",
                   request->sent ? "no answer in time"
                                 : "this entry VM did not forward it",
                   MW_FMT(name), address.len ? " at " : "", MW_FMT(address));

    return (struct mw_str){text, (size_t)len};
}

static void
expire_request(struct mw_entry *entry, struct mw_request *request)
{
    struct mw_reply reply = {.error = MW_ERR_DEADLINE};
    struct mw_name zone;
    char text[EXPIRY_DETAIL_SIZE];

    /* only the zone is needed; at time 0 no peer is timed out */
    mw_entry_route(entry, 0, request, &zone);
    if (request->kind == MW_REQUEST_CHANGE) {
        bool is_zone_change = request->msg->change.kind == MW_CHANGE_ZONE;

        reply.error = is_zone_change ? MW_ERR_PENDING : MW_ERR_NO_QUORUM;
    }
    else if (!request->sent) {
        reply.error = MW_ERR_UNREACHABLE;
    }
    /* the client may have sent it before, through another entry VM */
    bool may_have_run = mw_request_is_recorded(request) || request->sent;

    reply.ran = may_have_run ? MW_MAY_HAVE_RUN : MW_NOT_RUN;
    reply.zone = zone.len ? zone : entry->zone;
    reply.detail = expiry_detail(entry, request, &zone, text);
    entry->counters.deadline++;
    mw_complete_request(entry, request, &reply);
}

void
mw_tick_requests(struct mw_entry *entry, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    GPtrArray *expired = g_ptr_array_new();

    g_hash_table_iter_init(&iter, entry->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_request *request = value;

        if (now_us >= request->deadline_us) {
            g_ptr_array_add(expired, request);
        }
        else if (request->assigned_to.len == 0 &&
                 now_us >= request->resend_deadline_us) {
            mw_send_request(entry, now_us, request);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        expire_request(entry, expired->pdata[i]);
    }
    g_ptr_array_unref(expired);
}
