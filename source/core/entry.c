/*
 * entry: pending requests: forwarding, retries, and the reply to each.
 */
#include "entry-impl.h"

#define TICK_INTERVAL_US 50000
#define DEADLINE_GRACE_US 500000

static void
free_request(void *data)
{
    struct mw_request *request = data;

    mw_drop_msg(request->msg);
    mw_drop_msg(request->status_query);
    g_free(request);
}

struct mw_entry *
mw_new_entry(const struct mw_entry_setup *setup)
{
    struct mw_entry *entry = g_new0(struct mw_entry, 1);

    entry->name = setup->name;
    entry->zone = setup->zone;
    entry->output = setup->output;
    entry->next_ref = 1;
    entry->retry_credit = MW_RETRY_BUDGET_BURST * 100;
    entry->peers =
        g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, g_free);
    entry->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    entry->requests_by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
    return entry;
}

void
mw_drop_entry(struct mw_entry *entry)
{
    if (!entry) {
        return;
    }
    g_hash_table_unref(entry->requests_by_handle);
    g_hash_table_unref(entry->requests);
    g_hash_table_unref(entry->peers);
    mw_drop_document(entry->document);
    g_free(entry);
}

static void
refuse_request(struct mw_entry *entry, uint64_t handle, int error,
               enum mw_execution_status ran, struct mw_str detail)
{
    struct mw_reply reply = {.error = error,
                             .ran = ran,
                             .state = MW_JOB_DONE,
                             .zone = entry->zone,
                             .detail = detail};

    entry->counters.refused++;
    entry->output.reply(entry->output.opaque, handle, &reply);
}

static void
remove_request(struct mw_entry *entry, struct mw_request *request)
{
    g_hash_table_remove(entry->requests_by_handle, &request->handle);
    g_hash_table_remove(entry->requests, &request->ref);
}

static void
complete_request(struct mw_entry *entry, struct mw_request *request,
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
    remove_request(entry, request);
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

static void
send_request(struct mw_entry *entry, int64_t now_us,
             struct mw_request *request)
{
    struct mw_name zone;
    struct mw_entry_peer *peer = mw_entry_route(entry, now_us, request, &zone);

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

static struct mw_request *
add_request(struct mw_entry *entry, uint64_t handle, enum mw_request_kind kind,
            struct mw_msg *msg, int64_t deadline_us)
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

/* Returns 0 if a new request can be accepted. */
static int
check_admission(struct mw_context *ctx, struct mw_entry *entry)
{
    entry->counters.requests++;
    ctx->detail_len = 0;
    if (entry->leaving) {
        return MW_ERR_LEAVING;
    }
    if (g_hash_table_size(entry->requests) >= MW_ENTRY_PENDING_MAX) {
        return mw_fail(ctx, MW_ERR_OVERLOADED, "%d requests are pending",
                       MW_ENTRY_PENDING_MAX);
    }
    return 0;
}

static int
authorise(struct mw_context *ctx, struct mw_entry *entry,
          struct mw_str token_hash, const struct mw_name *name)
{
    const struct mw_org *org = mw_find_org(entry->document, name);

    if (!entry->document) {
        return mw_fail(ctx, MW_ERR_UNREACHABLE,
                       "no document is in force here yet");
    }
    if (org && mw_str_equal(mw_name_str(&org->token_sha256), token_hash)) {
        return 0;
    }
    entry->counters.denied++;
    return mw_fail(ctx, MW_ERR_DENIED, "organisation %.*s",
                   MW_FMT(mw_name_str(name)));
}

/*
 * The client may have sent a recorded job before, through another entry VM,
 * so it may have run although this submission is refused for a temporary
 * reason.  Only a submission that is invalid in itself can't have run.
 */
static enum mw_execution_status
execution_status_at_refusal(int error, const struct mw_job_spec *spec)
{
    bool temporary = error == MW_ERR_LEAVING || error == MW_ERR_OVERLOADED ||
                     error == MW_ERR_UNREACHABLE;

    return temporary && mw_spec_is_recorded(spec) ? MW_MAY_HAVE_RUN
                                                  : MW_NOT_RUN;
}

void
mw_entry_submit(struct mw_context *ctx, struct mw_entry *entry, int64_t now_us,
                uint64_t handle, struct mw_str token_hash,
                const struct mw_job_spec *spec, struct mw_blob *body)
{
    int err = check_admission(ctx, entry);

    if (!err) {
        err = mw_check_spec(ctx, spec);
    }
    if (!err) {
        err = authorise(ctx, entry, token_hash, &spec->key.org);
    }
    if (err) {
        refuse_request(entry, handle, err,
                       execution_status_at_refusal(err, spec), mw_detail(ctx));
        return;
    }
    struct mw_msg *msg = mw_new_msg(MW_MSG_SUBMIT);

    msg->submit.spec = *spec;
    if (!spec->wait) {
        /* the deadline is for the answer "accepted"; the job has none */
        msg->submit.spec.deadline_us = 0;
    }
    msg->submit.body = mw_keep_blob(body);
    entry->retry_credit = MIN(entry->retry_credit + MW_RETRY_BUDGET_PERCENT,
                              MW_RETRY_BUDGET_BURST * 100);
    send_request(
        entry, now_us,
        add_request(entry, handle, MW_REQUEST_SUBMIT, msg, spec->deadline_us));
}

void
mw_entry_query(struct mw_context *ctx, struct mw_entry *entry, int64_t now_us,
               uint64_t handle, struct mw_str token_hash,
               const struct mw_job_key *key, bool cancel, bool until_done,
               int64_t deadline_us)
{
    int err = check_admission(ctx, entry);

    if (!err) {
        err = authorise(ctx, entry, token_hash, &key->org);
    }
    if (err) {
        refuse_request(entry, handle, err, MW_MAY_HAVE_RUN, mw_detail(ctx));
        return;
    }
    struct mw_msg *msg = mw_new_msg(MW_MSG_QUERY);

    msg->query.key = *key;
    msg->query.cancel = cancel;
    msg->query.until_done = until_done;
    struct mw_request *request =
        add_request(entry, handle, MW_REQUEST_QUERY, msg, deadline_us);

    request->may_have_run = true;
    send_request(entry, now_us, request);
}

void
mw_entry_change(struct mw_context *ctx, struct mw_entry *entry, int64_t now_us,
                uint64_t handle, const struct mw_change *change)
{
    int err = check_admission(ctx, entry);

    if (err) {
        refuse_request(entry, handle, err, MW_NOT_RUN, mw_detail(ctx));
        return;
    }
    struct mw_msg *msg = mw_new_msg(MW_MSG_CHANGE);

    msg->change = *change;
    msg->change.document = mw_keep_document(change->document);
    send_request(
        entry, now_us,
        add_request(entry, handle, MW_REQUEST_CHANGE, msg, now_us + 5000000));
}

void
mw_entry_client_closed(struct mw_entry *entry, uint64_t handle)
{
    struct mw_request *request =
        g_hash_table_lookup(entry->requests_by_handle, &handle);

    if (request) {
        remove_request(entry, request);
    }
}

/* Whether an answer leads to a retry rather than to a reply. */
static bool
is_retryable(const struct mw_request *request,
             const struct mw_msg_answer *answer)
{
    if (answer->error == MW_ERR_NOT_LEADER) {
        return true;
    }
    if (answer->error == MW_ERR_NOT_OWNER) {
        return true;
    }
    if (request->handed_over && answer->error &&
        (answer->ran == MW_NOT_RUN || answer->error == MW_ERR_NOT_FOUND)) {
        return true;
    }
    return !mw_request_is_recorded(request) &&
           (answer->error == MW_ERR_OUT ||
            answer->error == MW_ERR_OVERLOADED ||
            answer->error == MW_ERR_NO_CAPACITY);
}

static bool
spend_retry_credit(struct mw_entry *entry)
{
    if (entry->retry_credit < 100) {
        entry->counters.retries_denied++;
        return false;
    }
    entry->retry_credit -= 100;
    entry->counters.retries++;
    return true;
}

/* The owner handed the request over to another zone: query that zone. */
static void
follow_handover(struct mw_request *request, const struct mw_name *zone)
{
    request->handover_zone = *zone;
    request->handed_over = true;
    request->may_have_run = true;
    if (request->kind != MW_REQUEST_SUBMIT || request->status_query) {
        return;
    }
    request->status_query = mw_new_msg(MW_MSG_QUERY);
    request->status_query->query.ref = request->ref;
    request->status_query->query.key = request->msg->submit.spec.key;
    request->status_query->query.until_done = request->msg->submit.spec.wait;
}

/*
 * Retries at once, or after a heartbeat interval if the process is not the
 * leader or if the zone of a handover refuses or does not know the job.
 */
static void
retry_request(struct mw_entry *entry, int64_t now_us,
              struct mw_request *request, const struct mw_msg_answer *answer)
{
    request->tries++;
    if (answer->error == MW_ERR_NOT_OWNER) {
        follow_handover(request, &answer->zone);
    }
    else if (request->handed_over) {
        /* ask the owner again; it may have handed over to another zone */
        request->handover_zone = (struct mw_name){0};
    }
    if (answer->error == MW_ERR_NOT_LEADER ||
        (request->handed_over && answer->error != MW_ERR_NOT_OWNER)) {
        request->assigned_to = (struct mw_name){0};
        request->resend_deadline_us = now_us + MW_HEARTBEAT_INTERVAL_US;
        return;
    }
    send_request(entry, now_us, request);
}

static void
on_answer(struct mw_entry *entry, int64_t now_us, const struct mw_name *from,
          const struct mw_msg_answer *answer)
{
    struct mw_request *request =
        g_hash_table_lookup(entry->requests, &answer->ref);

    if (!request || request->kind == MW_REQUEST_CHANGE ||
        !mw_name_equal(&request->assigned_to, from)) {
        entry->counters.late_answers++;
        return;
    }
    bool handed_over =
        answer->error == MW_ERR_NOT_OWNER || request->handed_over;

    if (is_retryable(request, answer) &&
        (handed_over || spend_retry_credit(entry))) {
        request->may_have_run |= answer->ran != MW_NOT_RUN;
        retry_request(entry, now_us, request, answer);
        return;
    }
    struct mw_reply reply = {
        .error = answer->error,
        .ran = answer->ran,
        .state = answer->state,
        .job = answer->job,
        .zone = answer->zone,
        .output = answer->output,
        .detail = mw_blob_str(answer->detail),
    };

    complete_request(entry, request, &reply);
}

static void
on_changed(struct mw_entry *entry, int64_t now_us,
           const struct mw_change_result *changed)
{
    struct mw_request *request =
        g_hash_table_lookup(entry->requests, &changed->ref);

    if (!request || request->kind != MW_REQUEST_CHANGE) {
        entry->counters.late_answers++;
        return;
    }
    if (changed->error == MW_ERR_NOT_LEADER) {
        request->assigned_to = (struct mw_name){0};
        request->resend_deadline_us = now_us + MW_HEARTBEAT_INTERVAL_US;
        return;
    }
    struct mw_reply reply = {
        .error = changed->error,
        .version = changed->version,
        .zone = entry->zone,
        .detail = mw_blob_str(changed->detail),
    };

    complete_request(entry, request, &reply);
}

static void
send_unassigned(struct mw_entry *entry, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_request *request = value;

        if (request->assigned_to.len == 0) {
            send_request(entry, now_us, request);
        }
    }
}

static void
on_heartbeat(struct mw_entry *entry, int64_t now_us,
             const struct mw_name *from, const struct mw_heartbeat *heartbeat)
{
    struct mw_entry_peer *peer = g_hash_table_lookup(entry->peers, from);

    if (!peer) {
        peer = g_new0(struct mw_entry_peer, 1);
        peer->name = *from;
        g_hash_table_insert(entry->peers, &peer->name, peer);
    }
    bool changed = !peer->connected ||
                   peer->heartbeat.leads_zone != heartbeat->leads_zone ||
                   peer->heartbeat.leads_region != heartbeat->leads_region ||
                   peer->heartbeat.out != heartbeat->out;

    peer->heartbeat = *heartbeat;
    peer->last_heartbeat_us = now_us;
    peer->connected = true;
    if (heartbeat->leads_zone &&
        mw_name_equal(&heartbeat->zone, &entry->zone)) {
        entry->epoch = MAX(entry->epoch, heartbeat->epoch);
    }
    if (changed) {
        send_unassigned(entry, now_us);
    }
}

static void
on_document(struct mw_entry *entry, int64_t now_us,
            const struct mw_msg_document *message)
{
    bool newer = !entry->document ||
                 message->document->version > entry->document->version;

    if (message->environment == MW_PRODUCTION && newer) {
        mw_drop_document(entry->document);
        entry->document = mw_keep_document(message->document);
        entry->heartbeat_deadline_us = now_us;
        send_unassigned(entry, now_us);
    }
}

void
mw_entry_receive(struct mw_context *ctx, struct mw_entry *entry,
                 int64_t now_us, const struct mw_name *from,
                 struct mw_msg *msg)
{
    (void)ctx;
    switch (msg->kind) {
    case MW_MSG_HEARTBEAT:
        on_heartbeat(entry, now_us, from, &msg->heartbeat);
        break;
    case MW_MSG_DOCUMENT:
        on_document(entry, now_us, &msg->document);
        break;
    case MW_MSG_ANSWER:
        on_answer(entry, now_us, from, &msg->answer);
        break;
    case MW_MSG_CHANGE_RESULT:
        on_changed(entry, now_us, &msg->changed);
        break;
    case MW_MSG_ORDER:
        mw_entry_on_command(entry, from, &msg->order);
        break;
    default:
        break;
    }
}

void
mw_entry_disconnected(struct mw_context *ctx, struct mw_entry *entry,
                      int64_t now_us, const struct mw_name *process)
{
    struct mw_entry_peer *peer = g_hash_table_lookup(entry->peers, process);
    GHashTableIter iter;
    gpointer value;

    (void)ctx;
    if (peer) {
        peer->connected = false;
    }
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
    entry->tick_deadline_us = now_us;
}

static void
expire_request(struct mw_entry *entry, struct mw_request *request)
{
    struct mw_reply reply = {.error = MW_ERR_DEADLINE, .zone = entry->zone};
    struct mw_name zone;
    char text[160];

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
    const struct mw_document_zone *document_zone =
        mw_find_document_zone(entry->document, &zone);
    int len =
        g_snprintf(text, sizeof text, "%s; ask zone %.*s%s%.*s",
                   request->sent ? "no answer in time"
                                 : "this entry VM did not forward it",
                   MW_FMT(mw_name_str(&reply.zone)),
                   document_zone && document_zone->entry.len ? " at " : "",
                   document_zone ? (int)document_zone->entry.len : 0,
                   document_zone ? document_zone->entry.ptr : "");

    reply.detail = (struct mw_str){text, (size_t)len};
    entry->counters.deadline++;
    complete_request(entry, request, &reply);
}

static void
tick_requests(struct mw_entry *entry, int64_t now_us)
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
            send_request(entry, now_us, request);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        expire_request(entry, expired->pdata[i]);
    }
    g_ptr_array_unref(expired);
}

static void
send_heartbeat(struct mw_entry *entry, int64_t now_us)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_HEARTBEAT);

    msg->heartbeat.role = MW_ROLE_ENTRY;
    msg->heartbeat.zone = entry->zone;
    msg->heartbeat.leaving = entry->leaving;
    msg->heartbeat.version[MW_PRODUCTION] =
        entry->document ? entry->document->version : 0;
    entry->output.send_all(entry->output.opaque, MW_ROLE_CONTROL, msg);
    mw_drop_msg(msg);
    entry->heartbeat_deadline_us = now_us + 2 * MW_HEARTBEAT_INTERVAL_US;
}

void
mw_entry_tick(struct mw_context *ctx, struct mw_entry *entry, int64_t now_us)
{
    (void)ctx;
    if (now_us >= entry->tick_deadline_us) {
        entry->tick_deadline_us = now_us + TICK_INTERVAL_US;
        tick_requests(entry, now_us);
    }
    if (now_us >= entry->heartbeat_deadline_us) {
        send_heartbeat(entry, now_us);
    }
}

int64_t
mw_entry_deadline(const struct mw_entry *entry)
{
    if (g_hash_table_size(entry->requests) == 0) {
        return entry->heartbeat_deadline_us;
    }
    return MIN(entry->tick_deadline_us, entry->heartbeat_deadline_us);
}

void
mw_entry_leave(struct mw_entry *entry)
{
    entry->leaving = true;
}

uint32_t
mw_entry_pending_count(const struct mw_entry *entry)
{
    return g_hash_table_size(entry->requests);
}

bool
mw_entry_is_ready(const struct mw_entry *entry, int64_t now_us)
{
    return !entry->leaving && entry->document &&
           mw_entry_leader(entry, now_us, &entry->zone) != NULL;
}

const struct mw_entry_counters *
mw_entry_get_counters(const struct mw_entry *entry)
{
    return &entry->counters;
}

struct mw_document *
mw_entry_get_document(const struct mw_entry *entry)
{
    return entry->document;
}

void
mw_entry_each_peer(const struct mw_entry *entry, void *opaque,
                   void (*each)(void *opaque, const struct mw_name *name,
                                const struct mw_heartbeat *heartbeat,
                                int64_t last_heartbeat_us))
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_entry_peer *peer = value;

        each(opaque, &peer->name, &peer->heartbeat, peer->last_heartbeat_us);
    }
}
