/*
 * flow-entry: requests on their way to the leader, and who that is.
 *
 * LOAD   requests that come while the leader is lost.  Where a majority of
 *        the log's members is heard, the next leader is a moment away: a
 *        request waits for it, MW_FLOW_NEXT_LEADER_US at most.  Where it is
 *        not, as in a zone that is cut off, nothing can be served and the
 *        request is refused at once.
 */
#include <string.h>

#include "flow-impl.h"
#include "mimosawind/flow-process.h"

/* mw_entry_call: a request that waits for the leader's answer. */
struct mw_entry_call {
    uint64_t ref;
    struct mw_msg *msg;
    int64_t deadline_us;
    /* when a call that was never handed over is refused */
    int64_t leader_deadline_us;
    int64_t taken_us;
    uint32_t handed;
    struct mw_name handed_to;
};

/* mw_member_heard: a member of the log, and its last heartbeat. */
struct mw_member_heard {
    struct mw_name name;
    int64_t heard_us;
};

struct mw_flow_entry {
    struct mw_flow_entry_output output;
    /* a member of the log itself; empty for an entry process */
    struct mw_name self;
    GHashTable *calls;
    struct mw_name leader;
    uint64_t epoch;
    uint64_t version;
    int64_t heard_us;
    uint32_t member_count;
    struct mw_member_heard members[MW_MEMBERS_MAX];
    struct mw_flow_entry_counters counters;
};

static void
free_call(void *data)
{
    struct mw_entry_call *call = data;

    mw_drop_msg(call->msg);
    g_free(call);
}

struct mw_flow_entry *
mw_new_flow_entry(const struct mw_flow_entry_output *output,
                  const struct mw_name *self)
{
    struct mw_flow_entry *entry = g_new0(struct mw_flow_entry, 1);

    entry->output = *output;
    entry->self = *self;
    entry->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
    return entry;
}

void
mw_drop_flow_entry(struct mw_flow_entry *entry)
{
    if (entry) {
        g_hash_table_unref(entry->calls);
        g_free(entry);
    }
}

static bool
has_leader(const struct mw_flow_entry *entry, int64_t now_us)
{
    return entry->leader.len > 0 &&
           now_us - entry->heard_us < MW_FLOW_LEADER_LOST_US;
}

static bool
was_heard(const struct mw_flow_entry *entry,
          const struct mw_member_heard *member, int64_t now_us,
          int64_t within_us)
{
    return mw_name_equal(&member->name, &entry->self) ||
           (member->heard_us > 0 && now_us - member->heard_us < within_us);
}

/*
 * Whether enough members are heard for one of them to lead soon.  One that
 * was not heard for long may have been replaced and counts for nothing.
 */
static bool
hears_majority(const struct mw_flow_entry *entry, int64_t now_us)
{
    uint32_t heard = 0;
    uint32_t there = 0;

    for (uint32_t i = 0; i < entry->member_count; i++) {
        const struct mw_member_heard *member = &entry->members[i];

        heard += was_heard(entry, member, now_us, MW_FLOW_MEMBER_LOST_US);
        there += was_heard(entry, member, now_us, MW_FLOW_MEMBER_GONE_US);
    }
    return heard > there / 2;
}

/* The last part of a path: the identifier of a flow. */
static struct mw_name
id_in(struct mw_str path)
{
    size_t at = path.len;

    while (at > 0 && path.ptr[at - 1] != '/') {
        at--;
    }
    return mw_name_of((struct mw_str){path.ptr + at, path.len - at});
}

static void
note(struct mw_flow_entry *entry, const char *name, const char *outcome,
     int64_t age_us, struct mw_str path)
{
    struct mw_flow_event event = {.name = name,
                                  .flow = id_in(path),
                                  .endpoint = entry->leader,
                                  .outcome = outcome,
                                  .age_us = age_us,
                                  .version = entry->version,
                                  .number = entry->epoch};

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

/* No leader has seen it: that it does not run is true. */
static void
refuse_unhanded(struct mw_flow_entry *entry, int64_t now_us, uint64_t ref,
                struct mw_str path)
{
    entry->counters.refused++;
    note(entry, "refused", "no_leader",
         entry->heard_us > 0 ? now_us - entry->heard_us : -1, path);
    refuse(entry, ref, MW_ERR_NOT_LEADER);
}

static void
hand(struct mw_flow_entry *entry, struct mw_entry_call *call)
{
    entry->counters.handed_again += call->handed > 0;
    call->handed++;
    call->handed_to = entry->leader;
    entry->output.send(entry->output.opaque, &entry->leader, call->msg);
}

bool
mw_flow_entry_can_serve(const struct mw_flow_entry *entry, int64_t now_us)
{
    int64_t unheard_us = now_us - entry->heard_us;

    if (entry->heard_us == 0 || unheard_us >= MW_FLOW_LEADER_OVERDUE_US) {
        return false;
    }
    return unheard_us < MW_FLOW_MEMBER_LOST_US ||
           hears_majority(entry, now_us);
}

void
mw_flow_entry_request(struct mw_flow_entry *entry, int64_t now_us,
                      const struct mw_flow_request *request,
                      int64_t deadline_us)
{
    struct mw_entry_call *call;

    entry->counters.requests++;
    if (!mw_flow_entry_can_serve(entry, now_us) ||
        g_hash_table_size(entry->calls) >= MW_FLOW_CALLS_MAX) {
        refuse_unhanded(entry, now_us, request->ref, request->path);
        return;
    }
    call = g_new0(struct mw_entry_call, 1);
    call->ref = request->ref;
    call->deadline_us = deadline_us;
    call->leader_deadline_us = now_us + MW_FLOW_NEXT_LEADER_US;
    call->taken_us = now_us;
    call->msg = mw_new_msg(MW_MSG_FLOW_CALL);
    call->msg->flow_call.ref = request->ref;
    call->msg->flow_call.kind = request->kind;
    call->msg->flow_call.host = mw_new_blob(request->host);
    call->msg->flow_call.path = mw_new_blob(request->path);
    call->msg->flow_call.key = mw_new_blob(request->key);
    call->msg->flow_call.body = mw_new_blob(request->body);
    g_hash_table_insert(entry->calls, &call->ref, call);
    if (has_leader(entry, now_us)) {
        hand(entry, call);
    }
}

void
mw_flow_entry_gone(struct mw_flow_entry *entry, uint64_t ref)
{
    g_hash_table_remove(entry->calls, &ref);
}

static void
take_return(struct mw_flow_entry *entry, const struct mw_msg_flow_return *msg)
{
    struct mw_entry_call *call = g_hash_table_lookup(entry->calls, &msg->ref);
    struct mw_flow_reply reply = {
        .ref = msg->ref,
        .kind = msg->kind,
        .error = msg->error,
        .state = msg->state,
        .queued = msg->queued,
        .pending = msg->pending,
        .text = msg->text,
        .detail = mw_blob_str(msg->text),
        .retry_after_us = msg->retry_after_us,
    };
    bool undecided =
        msg->error == MW_ERR_DEADLINE ||
        (msg->error == MW_ERR_NOT_LEADER && call && call->handed > 1);

    if (call && msg->error == MW_ERR_NOT_LEADER && call->handed == 1) {
        /* it has not been seen by a leader yet: it may wait for the next */
        call->handed = 0;
        return;
    }
    if (!call || (msg->kind == MW_REPLY_ERROR && undecided)) {
        /* the next leader is asked, or the deadline ends it */
        return;
    }
    g_hash_table_remove(entry->calls, &reply.ref);
    entry->output.reply(entry->output.opaque, &reply);
}

/* To a leader that is new all calls, else those that wait for one. */
static void
hand_calls(struct mw_flow_entry *entry, bool all)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_entry_call *call = value;

        if (all || call->handed == 0) {
            hand(entry, call);
        }
    }
}

static void
set_members(struct mw_flow_entry *entry, const struct mw_heartbeat *beat)
{
    struct mw_member_heard members[MW_MEMBERS_MAX] = {{{0}, 0}};

    for (uint32_t i = 0; i < beat->member_count; i++) {
        members[i].name = beat->members[i];
        for (uint32_t k = 0; k < entry->member_count; k++) {
            if (mw_name_equal(&entry->members[k].name, &beat->members[i])) {
                members[i].heard_us = entry->members[k].heard_us;
            }
        }
    }
    entry->member_count = beat->member_count;
    memcpy(entry->members, members, sizeof entry->members);
}

static void
hear_member(struct mw_flow_entry *entry, int64_t now_us,
            const struct mw_name *from, const struct mw_heartbeat *beat)
{
    if (beat->member_count > 0 &&
        (beat->leads_region || entry->member_count == 0)) {
        set_members(entry, beat);
    }
    for (uint32_t i = 0; i < entry->member_count; i++) {
        if (mw_name_equal(&entry->members[i].name, from)) {
            entry->members[i].heard_us = now_us;
        }
    }
}

static void
take_heartbeat(struct mw_flow_entry *entry, int64_t now_us,
               const struct mw_name *from, const struct mw_heartbeat *beat)
{
    bool changed =
        !mw_name_equal(from, &entry->leader) || beat->epoch != entry->epoch;

    if (beat->role == MW_ROLE_CONTROL) {
        hear_member(entry, now_us, from, beat);
    }
    if (!beat->leads_region || beat->epoch < entry->epoch) {
        return;
    }
    entry->heard_us = now_us;
    entry->version = beat->version[MW_PRODUCTION];
    if (!changed) {
        hand_calls(entry, false);
        return;
    }
    entry->leader = *from;
    entry->epoch = beat->epoch;
    entry->counters.leaders++;
    note(entry, "leader", "found", 0, MW_STR(""));
    hand_calls(entry, true);
}

void
mw_flow_entry_receive(struct mw_flow_entry *entry, int64_t now_us,
                      const struct mw_name *from, struct mw_msg *msg)
{
    if (msg->kind == MW_MSG_HEARTBEAT) {
        take_heartbeat(entry, now_us, from, &msg->heartbeat);
    }
    else if (msg->kind == MW_MSG_FLOW_RETURN) {
        take_return(entry, &msg->flow_return);
    }
}

/* What was handed over may be lost with the connection. */
void
mw_flow_entry_lost(struct mw_flow_entry *entry, int64_t now_us,
                   const struct mw_name *process)
{
    if (!mw_name_equal(process, &entry->leader)) {
        return;
    }
    note(entry, "leader", "lost", now_us - entry->heard_us, MW_STR(""));
    entry->leader = (struct mw_name){0};
}

static int64_t
due_us(const struct mw_entry_call *call)
{
    return call->handed > 0 ? call->deadline_us
                            : MIN(call->deadline_us, call->leader_deadline_us);
}

static GPtrArray *
overdue(struct mw_flow_entry *entry, int64_t now_us)
{
    GPtrArray *calls = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_us >= due_us(value)) {
            g_ptr_array_add(calls, value);
        }
    }
    return calls;
}

static void
give_up(struct mw_flow_entry *entry, int64_t now_us,
        struct mw_entry_call *call)
{
    uint64_t ref = call->ref;
    struct mw_str path = mw_blob_str(call->msg->flow_call.path);

    if (call->handed == 0) {
        refuse_unhanded(entry, now_us, ref, path);
    }
    else {
        entry->counters.timed_out++;
        note(entry, "timed_out", "no_answer", now_us - call->taken_us, path);
        refuse(entry, ref, MW_ERR_DEADLINE);
    }
    g_hash_table_remove(entry->calls, &ref);
}

void
mw_flow_entry_tick(struct mw_flow_entry *entry, int64_t now_us)
{
    GPtrArray *calls = overdue(entry, now_us);

    for (guint i = 0; i < calls->len; i++) {
        give_up(entry, now_us, calls->pdata[i]);
    }
    g_ptr_array_unref(calls);
}

int64_t
mw_flow_entry_deadline(const struct mw_flow_entry *entry)
{
    GHashTableIter iter;
    gpointer value;
    int64_t deadline_us = INT64_MAX;

    g_hash_table_iter_init(&iter, entry->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        deadline_us = MIN(deadline_us, due_us(value));
    }
    return deadline_us;
}

bool
mw_flow_entry_ready(const struct mw_flow_entry *entry, int64_t now_us)
{
    return mw_flow_entry_can_serve(entry, now_us) && entry->version > 0;
}

struct mw_name
mw_flow_entry_leader(const struct mw_flow_entry *entry, int64_t now_us)
{
    return has_leader(entry, now_us) ? entry->leader : (struct mw_name){0};
}

uint32_t
mw_flow_entry_open(const struct mw_flow_entry *entry)
{
    return g_hash_table_size(entry->calls);
}

const struct mw_flow_entry_counters *
mw_flow_entry_counters_of(const struct mw_flow_entry *entry)
{
    return &entry->counters;
}
