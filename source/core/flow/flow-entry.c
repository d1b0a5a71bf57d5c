/*
 * flow-entry: forwards requests to the leader and follows who that is.
 *
 * LOAD   requests that arrive while there is no leader.  If heartbeats come
 *        from a majority of the log's members, a new leader is expected soon
 *        and the request waits for it, for MW_FLOW_LEADER_WAIT_US at most.
 *        Without a majority, as in a zone that is partitioned from the
 *        others, no leader can be reached and the request is refused at
 *        once.
 *        So is one for which there is no room beside those that wait.
 */
#include <string.h>

#include "flow-impl.h"
#include "mimosawind/flow-process.h"

/* mw_pending_request: a request without a reply. */
struct mw_pending_request {
    /* of the message to the leader */
    uint64_t ref;
    /* with which the request came */
    uint64_t request_ref;
    /* what is forwarded */
    struct mw_msg *msg;
    size_t bytes;
    int64_t deadline_us;
    /* when a request that was never forwarded is refused */
    int64_t leader_deadline_us;
    int64_t received_us;
    /* 0 until a leader may have received the request */
    uint32_t forward_count;
};

/* mw_known_member: a member of the log, and when its last heartbeat came. */
struct mw_known_member {
    struct mw_name name;
    /* 0 for never */
    int64_t last_heartbeat_us;
};

struct mw_flow_entry {
    struct mw_flow_entry_output output;
    /* name of this process, which may be a member of the log itself */
    struct mw_name self;
    uint64_t next_ref;
    /* struct mw_pending_request by ref, which owns them, and by request_ref */
    GHashTable *pending;
    GHashTable *pending_by_request_ref;
    /* of all pending requests */
    size_t pending_bytes;
    struct mw_name leader;
    /* the leader's term */
    uint64_t epoch;
    /* the leader's version of the configuration; 0 for none */
    uint64_t version;
    int64_t leader_heartbeat_us;
    uint32_t member_count;
    struct mw_known_member members[MW_MEMBERS_MAX];
    struct mw_flow_entry_counters counters;
};

static void
free_pending(void *data)
{
    struct mw_pending_request *pending = data;

    mw_drop_msg(pending->msg);
    g_free(pending);
}

struct mw_flow_entry *
mw_new_flow_entry(const struct mw_flow_entry_output *output,
                  const struct mw_name *self, uint64_t first_ref)
{
    struct mw_flow_entry *entry = g_new0(struct mw_flow_entry, 1);

    entry->output = *output;
    entry->self = *self;
    entry->next_ref = first_ref;
    entry->pending =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_pending);
    entry->pending_by_request_ref =
        g_hash_table_new(g_int64_hash, g_int64_equal);
    return entry;
}

void
mw_drop_flow_entry(struct mw_flow_entry *entry)
{
    if (entry) {
        g_hash_table_unref(entry->pending_by_request_ref);
        g_hash_table_unref(entry->pending);
        g_free(entry);
    }
}

static bool
has_leader(const struct mw_flow_entry *entry, int64_t now_us)
{
    return entry->leader.len > 0 &&
           now_us - entry->leader_heartbeat_us < MW_FLOW_LEADER_TIMEOUT_US;
}

/*
 * Whether the member's last heartbeat is more recent than timeout_us; always
 * true for this process itself.
 */
static bool
has_heartbeat(const struct mw_flow_entry *entry,
              const struct mw_known_member *member, int64_t now_us,
              int64_t timeout_us)
{
    return mw_name_equal(&member->name, &entry->self) ||
           (member->last_heartbeat_us > 0 &&
            now_us - member->last_heartbeat_us < timeout_us);
}

/*
 * Whether enough members are reachable for one of them to be elected soon.
 * The majority is of the members with a heartbeat within
 * MW_FLOW_MEMBER_EXPIRY_US: any other may have been replaced in the log.
 */
static bool
majority_reachable(const struct mw_flow_entry *entry, int64_t now_us)
{
    uint32_t reachable = 0;
    uint32_t current = 0;

    for (uint32_t i = 0; i < entry->member_count; i++) {
        const struct mw_known_member *member = &entry->members[i];

        reachable +=
            has_heartbeat(entry, member, now_us, MW_FLOW_MEMBER_TIMEOUT_US);
        current +=
            has_heartbeat(entry, member, now_us, MW_FLOW_MEMBER_EXPIRY_US);
    }
    return reachable > current / 2;
}

/* The flow's identifier is the last component of the path. */
static struct mw_name
flow_id_in(struct mw_str path)
{
    size_t at = path.len;

    while (at > 0 && path.ptr[at - 1] != '/') {
        at--;
    }
    return mw_name_of((struct mw_str){path.ptr + at, path.len - at});
}

static void
log_event(struct mw_flow_entry *entry, const char *name, const char *outcome,
          int64_t age_us, struct mw_str path)
{
    struct mw_flow_event event = {.name = name,
                                  .flow = flow_id_in(path),
                                  .endpoint = entry->leader,
                                  .outcome = outcome,
                                  .age_us = age_us,
                                  .version = entry->version,
                                  .term = entry->epoch};

    entry->output.event(entry->output.opaque, &event);
}

static void
refuse(struct mw_flow_entry *entry, uint64_t ref, int error)
{
    struct mw_flow_reply reply = {
        .ref = ref, .kind = MW_REPLY_ERROR, .error = error};

    if (error != MW_ERR_DEADLINE) {
        reply.retry_after_us = MW_FLOW_RETRY_AFTER_US;
    }
    entry->output.reply(entry->output.opaque, &reply);
}

/*
 * Refuses a request that no leader has received, so that the client can rely
 * on the reply: the flow does not run.
 */
static void
refuse_unforwarded(struct mw_flow_entry *entry, int64_t now_us, uint64_t ref,
                   struct mw_str path, int error)
{
    entry->counters.refused++;
    log_event(entry, "refused",
              error == MW_ERR_OVERLOADED ? "too_much_is_pending" : "no_leader",
              entry->leader_heartbeat_us > 0
                  ? now_us - entry->leader_heartbeat_us
                  : -1,
              path);
    refuse(entry, ref, error);
}

static void
forward(struct mw_flow_entry *entry, struct mw_pending_request *pending)
{
    entry->counters.handed_again += pending->forward_count > 0;
    pending->forward_count++;
    entry->output.send(entry->output.opaque, &entry->leader, pending->msg);
}

bool
mw_flow_entry_can_serve(const struct mw_flow_entry *entry, int64_t now_us)
{
    int64_t since_heartbeat_us = now_us - entry->leader_heartbeat_us;

    if (entry->leader_heartbeat_us == 0 ||
        since_heartbeat_us >= MW_FLOW_ELECTION_MAX_US) {
        return false;
    }
    return since_heartbeat_us < MW_FLOW_MEMBER_TIMEOUT_US ||
           majority_reachable(entry, now_us);
}

static void
add_pending(struct mw_flow_entry *entry, struct mw_pending_request *pending)
{
    g_hash_table_insert(entry->pending, &pending->ref, pending);
    g_hash_table_insert(entry->pending_by_request_ref, &pending->request_ref,
                        pending);
    entry->pending_bytes += pending->bytes;
}

static void
remove_pending(struct mw_flow_entry *entry, struct mw_pending_request *pending)
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

static bool
has_room(const struct mw_flow_entry *entry,
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
    return msg;
}

void
mw_flow_entry_request(struct mw_flow_entry *entry, int64_t now_us,
                      const struct mw_flow_request *request,
                      int64_t deadline_us)
{
    struct mw_pending_request *pending;

    entry->counters.requests++;
    if (!mw_flow_entry_can_serve(entry, now_us)) {
        refuse_unforwarded(entry, now_us, request->ref, request->path,
                           MW_ERR_NOT_LEADER);
        return;
    }
    if (!has_room(entry, request)) {
        refuse_unforwarded(entry, now_us, request->ref, request->path,
                           MW_ERR_OVERLOADED);
        return;
    }
    pending = g_new0(struct mw_pending_request, 1);
    pending->ref = entry->next_ref++;
    pending->request_ref = request->ref;
    pending->deadline_us = deadline_us;
    pending->leader_deadline_us = now_us + MW_FLOW_LEADER_WAIT_US;
    pending->received_us = now_us;
    pending->msg = new_flow_call(request, pending->ref);
    pending->bytes = request_size(request);
    add_pending(entry, pending);
    if (has_leader(entry, now_us)) {
        forward(entry, pending);
    }
}

void
mw_flow_entry_client_closed(struct mw_flow_entry *entry, uint64_t ref)
{
    struct mw_pending_request *pending =
        g_hash_table_lookup(entry->pending_by_request_ref, &ref);

    if (pending) {
        remove_pending(entry, pending);
    }
}

/*
 * Passes a reply on.  The request stays pending when the error leaves open
 * whether an earlier leader accepted it, or when no leader has received it:
 * then it counts as not forwarded yet.
 */
static void
receive_reply(struct mw_flow_entry *entry,
              const struct mw_msg_flow_return *msg)
{
    struct mw_pending_request *pending =
        g_hash_table_lookup(entry->pending, &msg->ref);
    struct mw_flow_reply reply = {
        .kind = msg->kind,
        .error = msg->error,
        .state = msg->state,
        .queued = msg->queued,
        .queue_length = msg->pending,
        .text = msg->text,
        .detail = mw_blob_str(msg->text),
        .retry_after_us = msg->retry_after_us,
    };
    /* whether an earlier leader may have accepted the request */
    bool undecided = msg->error == MW_ERR_DEADLINE ||
                     (msg->error == MW_ERR_NOT_LEADER && pending &&
                      pending->forward_count > 1);

    if (pending && msg->error == MW_ERR_NOT_LEADER &&
        pending->forward_count == 1) {
        /* no leader has received it: treat it as not forwarded yet */
        pending->forward_count = 0;
        return;
    }
    if (!pending) {
        entry->counters.late_replies++;
        return;
    }
    if (msg->kind == MW_REPLY_ERROR && undecided) {
        /* pending until a leader replies, or until its deadline */
        return;
    }
    reply.ref = pending->request_ref;
    remove_pending(entry, pending);
    entry->output.reply(entry->output.opaque, &reply);
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

static void
expire(struct mw_flow_entry *entry, int64_t now_us,
       struct mw_pending_request *pending)
{
    uint64_t ref = pending->request_ref;
    struct mw_str path = mw_blob_str(pending->msg->flow_call.path);

    if (pending->forward_count == 0) {
        refuse_unforwarded(entry, now_us, ref, path, MW_ERR_NOT_LEADER);
    }
    else {
        entry->counters.timed_out++;
        log_event(entry, "timed_out", "no_answer",
                  now_us - pending->received_us, path);
        refuse(entry, ref, MW_ERR_DEADLINE);
    }
    remove_pending(entry, pending);
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

/*
 * Forwards all pending requests, or only those not forwarded yet.  After a
 * pause of this process some have expired: the client may have sent another
 * order since.
 */
static void
forward_pending(struct mw_flow_entry *entry, int64_t now_us, bool all)
{
    GHashTableIter iter;
    gpointer value;

    end_expired(entry, now_us);
    g_hash_table_iter_init(&iter, entry->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_pending_request *pending = value;

        if (all || pending->forward_count == 0) {
            forward(entry, pending);
        }
    }
}

/* Passes the request on as it came. */
static void
hand_over(const struct mw_pending_request *pending, void *opaque,
          void (*serve)(void *opaque, const struct mw_flow_request *request))
{
    const struct mw_msg_flow_call *call = &pending->msg->flow_call;
    struct mw_flow_request request = {
        .ref = pending->request_ref,
        .kind = call->kind,
        .host = mw_blob_str(call->host),
        .path = mw_blob_str(call->path),
        .key = mw_blob_str(call->key),
        .body = mw_blob_str(call->body),
    };

    serve(opaque, &request);
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
mw_flow_entry_hand_over(struct mw_flow_entry *entry, int64_t now_us,
                        void *opaque,
                        void (*serve)(void *opaque,
                                      const struct mw_flow_request *request))
{
    GPtrArray *all = g_ptr_array_new_with_free_func(free_pending);
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

/* Replaces the list of members; keeps the times of those in both lists. */
static void
set_members(struct mw_flow_entry *entry, const struct mw_heartbeat *heartbeat)
{
    struct mw_known_member members[MW_MEMBERS_MAX] = {{{0}, 0}};

    for (uint32_t i = 0; i < heartbeat->member_count; i++) {
        members[i].name = heartbeat->members[i];
        for (uint32_t k = 0; k < entry->member_count; k++) {
            if (mw_name_equal(&entry->members[k].name,
                              &heartbeat->members[i])) {
                members[i].last_heartbeat_us =
                    entry->members[k].last_heartbeat_us;
            }
        }
    }
    entry->member_count = heartbeat->member_count;
    memcpy(entry->members, members, sizeof entry->members);
}

/* The leader's list of members is used, or any list while there is none. */
static void
update_members(struct mw_flow_entry *entry, int64_t now_us,
               const struct mw_name *from,
               const struct mw_heartbeat *heartbeat)
{
    if (heartbeat->member_count > 0 &&
        (heartbeat->leads_region || entry->member_count == 0)) {
        set_members(entry, heartbeat);
    }
    for (uint32_t i = 0; i < entry->member_count; i++) {
        if (mw_name_equal(&entry->members[i].name, from)) {
            entry->members[i].last_heartbeat_us = now_us;
        }
    }
}

static void
receive_heartbeat(struct mw_flow_entry *entry, int64_t now_us,
                  const struct mw_name *from,
                  const struct mw_heartbeat *heartbeat)
{
    bool changed = !mw_name_equal(from, &entry->leader) ||
                   heartbeat->epoch != entry->epoch;

    if (heartbeat->role == MW_ROLE_CONTROL) {
        update_members(entry, now_us, from, heartbeat);
    }
    if (!heartbeat->leads_region || heartbeat->epoch < entry->epoch) {
        return;
    }
    entry->leader_heartbeat_us = now_us;
    entry->version = heartbeat->version[MW_PRODUCTION];
    if (!changed) {
        forward_pending(entry, now_us, false);
        return;
    }
    entry->leader = *from;
    entry->epoch = heartbeat->epoch;
    entry->counters.leaders++;
    log_event(entry, "leader", "found", 0, MW_STR(""));
    /* the previous leader may not have replied */
    forward_pending(entry, now_us, true);
}

void
mw_flow_entry_receive(struct mw_flow_entry *entry, int64_t now_us,
                      const struct mw_name *from, struct mw_msg *msg)
{
    if (msg->kind == MW_MSG_HEARTBEAT) {
        receive_heartbeat(entry, now_us, from, &msg->heartbeat);
    }
    else if (msg->kind == MW_MSG_FLOW_RETURN) {
        receive_reply(entry, &msg->flow_return);
    }
}

void
mw_flow_entry_disconnected(struct mw_flow_entry *entry, int64_t now_us,
                           const struct mw_name *process)
{
    if (!mw_name_equal(process, &entry->leader)) {
        return;
    }
    log_event(entry, "leader", "lost", now_us - entry->leader_heartbeat_us,
              MW_STR(""));
    /*
     * Messages may be lost with the connection.  With no leader set, its next
     * heartbeat counts as a change and all pending requests are forwarded.
     */
    entry->leader = (struct mw_name){0};
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

bool
mw_flow_entry_is_ready(const struct mw_flow_entry *entry, int64_t now_us)
{
    return mw_flow_entry_can_serve(entry, now_us) && entry->version > 0;
}

struct mw_name
mw_flow_entry_leader(const struct mw_flow_entry *entry, int64_t now_us)
{
    return has_leader(entry, now_us) ? entry->leader : (struct mw_name){0};
}

uint32_t
mw_flow_entry_pending_count(const struct mw_flow_entry *entry)
{
    return g_hash_table_size(entry->pending);
}

const struct mw_flow_entry_counters *
mw_flow_entry_get_counters(const struct mw_flow_entry *entry)
{
    return &entry->counters;
}
