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

#include "flow-entry-impl.h"

struct mw_flow_entry *
mw_new_flow_entry(const struct mw_flow_entry_output *output,
                  const struct mw_name *self, uint64_t first_ref)
{
    struct mw_flow_entry *entry = g_new0(struct mw_flow_entry, 1);

    entry->output = *output;
    entry->self = *self;
    entry->next_ref = first_ref;
    entry->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                           mw_free_pending_request);
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
            !member->is_disconnected &&
            has_heartbeat(entry, member, now_us, MW_FLOW_MEMBER_TIMEOUT_US);
        current +=
            has_heartbeat(entry, member, now_us, MW_FLOW_MEMBER_EXPIRY_US);
    }
    return reachable > current / 2;
}

/* Whether a member's connection is open, as far as this process knows. */
static bool
has_link(const struct mw_flow_entry *entry)
{
    for (uint32_t i = 0; i < entry->member_count; i++) {
        if (!entry->members[i].is_disconnected) {
            return true;
        }
    }
    return entry->member_count == 0;
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
          int64_t age_us, struct mw_str path, int64_t retry_after_us)
{
    struct mw_flow_event event = {.name = name,
                                  .flow = flow_id_in(path),
                                  .endpoint = entry->leader,
                                  .outcome = outcome,
                                  .age_us = age_us,
                                  .retry_after_us = retry_after_us,
                                  .version = entry->version,
                                  .term = entry->epoch};

    entry->output.event(entry->output.opaque, &event);
}

void
mw_log_entry_event(struct mw_flow_entry *entry, const char *name,
                   const char *outcome, int64_t age_us, struct mw_str path)
{
    log_event(entry, name, outcome, age_us, path, 0);
}

void
mw_time_out_pending(struct mw_flow_entry *entry, uint64_t ref)
{
    struct mw_flow_reply reply = {
        .ref = ref, .kind = MW_REPLY_ERROR, .error = MW_ERR_DEADLINE};

    entry->output.reply(entry->output.opaque, &reply);
}

/* Operators are few, and urgent. */
static bool
is_urgent(const struct mw_flow_entry *entry,
          const struct mw_flow_request *request)
{
    return request->kind >= MW_FLOW_CONFIG ||
           mw_is_route_urgent(&entry->priorities, request->host,
                              request->path);
}

/* The delay for a client that is refused now; it is counted. */
static int64_t
take_retry_after(struct mw_flow_entry *entry, int64_t now_us,
                 const struct mw_flow_request *request, int error)
{
    struct mw_refusal refusal = {
        .cause = error == MW_ERR_OVERLOADED ? MW_REFUSAL_PENDING
                                            : MW_REFUSAL_NO_LEADER,
        .leaderless_us = entry->leader_heartbeat_us > 0
                             ? now_us - entry->leader_heartbeat_us
                             : INT64_MAX,
        .waiting = g_hash_table_size(entry->pending),
        .urgent = is_urgent(entry, request),
        .job_hash = mw_hash_job(request->path),
    };
    int64_t delay_us = mw_take_retry_after(&entry->refusals, now_us, &refusal);

    entry->counters.refused_by_delay[delay_us / MW_RETRY_AFTER_MIN_US - 1]++;
    return delay_us;
}

static const char *
refusal_reason(const struct mw_flow_entry *entry, int error)
{
    if (entry->ended) {
        return "shutdown";
    }
    return error == MW_ERR_OVERLOADED ? "too_much_is_pending" : "no_leader";
}

void
mw_refuse_unforwarded(struct mw_flow_entry *entry, int64_t now_us,
                      const struct mw_flow_request *request, int error)
{
    struct mw_flow_reply reply = {
        .ref = request->ref,
        .kind = MW_REPLY_ERROR,
        .error = error,
        .retry_after_us = take_retry_after(entry, now_us, request, error),
    };

    entry->counters.refused++;
    log_event(entry, "refused", refusal_reason(entry, error),
              entry->leader_heartbeat_us > 0
                  ? now_us - entry->leader_heartbeat_us
                  : -1,
              request->path, reply.retry_after_us);
    entry->output.reply(entry->output.opaque, &reply);
}

bool
mw_flow_entry_can_serve(const struct mw_flow_entry *entry, int64_t now_us)
{
    int64_t since_heartbeat_us = now_us - entry->leader_heartbeat_us;

    if (entry->leader_heartbeat_us == 0 ||
        since_heartbeat_us >= MW_FLOW_ELECTION_MAX_US || !has_link(entry)) {
        return false;
    }
    return since_heartbeat_us < MW_FLOW_MEMBER_TIMEOUT_US ||
           majority_reachable(entry, now_us);
}

void
mw_flow_entry_request(struct mw_flow_entry *entry, int64_t now_us,
                      const struct mw_flow_request *request,
                      int64_t deadline_us)
{
    struct mw_pending_request *pending;

    entry->counters.requests++;
    if (entry->ended || !mw_flow_entry_can_serve(entry, now_us)) {
        mw_refuse_unforwarded(entry, now_us, request, MW_ERR_NOT_LEADER);
        return;
    }
    if (!mw_has_room_for_request(entry, request)) {
        mw_refuse_unforwarded(entry, now_us, request, MW_ERR_OVERLOADED);
        return;
    }
    pending = mw_add_pending_request(entry, now_us, request, deadline_us);
    if (has_leader(entry, now_us)) {
        mw_forward_pending_request(entry, pending);
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
    if (msg->has_priority) {
        mw_learn_route_priority(
            &entry->priorities, mw_blob_str(pending->msg->flow_call.host),
            mw_blob_str(pending->msg->flow_call.path), msg->priority);
    }
    reply.ref = pending->request_ref;
    mw_remove_pending_request(entry, pending);
    entry->output.reply(entry->output.opaque, &reply);
}

/* Replaces the list of members; keeps the times of those in both lists. */
static void
set_members(struct mw_flow_entry *entry, const struct mw_heartbeat *heartbeat)
{
    struct mw_known_member members[MW_MEMBERS_MAX] = {0};

    for (uint32_t i = 0; i < heartbeat->member_count; i++) {
        members[i].name = heartbeat->members[i];
        for (uint32_t k = 0; k < entry->member_count; k++) {
            if (mw_name_equal(&entry->members[k].name,
                              &heartbeat->members[i])) {
                members[i] = entry->members[k];
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
            entry->members[i].is_disconnected = false;
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
    entry->known_index = MAX(entry->known_index, heartbeat->applied_index);
    entry->version = heartbeat->version[MW_PRODUCTION];
    if (!changed) {
        mw_forward_pending_requests(entry, now_us, false);
        return;
    }
    entry->leader = *from;
    entry->epoch = heartbeat->epoch;
    entry->counters.leaders++;
    mw_log_entry_event(entry, "leader", "found", 0, MW_STR(""));
    /* the previous leader may not have replied */
    mw_forward_pending_requests(entry, now_us, true);
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
    for (uint32_t i = 0; i < entry->member_count; i++) {
        entry->members[i].is_disconnected |=
            mw_name_equal(&entry->members[i].name, process);
    }
    if (!mw_name_equal(process, &entry->leader)) {
        return;
    }
    mw_log_entry_event(entry, "leader", "lost",
                       now_us - entry->leader_heartbeat_us, MW_STR(""));
    /*
     * Messages may be lost with the connection.  With no leader set, its next
     * heartbeat counts as a change and all pending requests are forwarded.
     */
    entry->leader = (struct mw_name){0};
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
