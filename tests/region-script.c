/*
 * region-script: the processes of a region that runs flows, passing messages
 * through the script.
 *
 * Messages cross the real encoders and take 1 ms; what is stored is synced
 * at the end of a step of 10 ms.  Endpoints are fakes; orders to them are
 * lost, or carried out late, in a seeded run.  After every step: one process
 * leads at most.  At the end of a seeded run: what was acknowledged is there,
 * what was refused is not, and every accepted flow has ended.
 */
#include <stdlib.h>
#include <string.h>

#include "decode.h"
#include "mimosawind/flow-process.h"
#include "region-endpoint.h"
#include "script.h"

#define NODES_MAX 12
#define STEP_US 10000
#define LATENCY_US 1000
#define SILENT_US 1500000
#define START_US 1000000000
#define WALL_US INT64_C(1700000000000000)
#define CALL_US 3000000
/* of a seeded run: trouble, then calm in which all must be well again */
#define TROUBLE_US 40000000
#define CALM_US 12000000
#define FLOWS_MAX 400
#define CATCH_UP_US 4000000
#define ENDPOINTS 4
#define BEAT_US 500000
/* of the orders, one in so many is lost, or late by up to LATE_US */
#define LOST_ORDERS 40
#define LATE_ORDERS 40
#define LATE_US 4000000

struct flight {
    int from;
    int to;
    int64_t at_us;
    struct mw_blob *payload;
};

/* call: an order on its way to an endpoint, then its answer on the way back.
 */
struct call {
    struct node *node;
    /* the life of the process that waits for the answer */
    uint64_t life;
    struct mw_flow_order order;
    struct mw_flow_answer answer;
    bool answered;
    /* held up within the endpoint, and lost with this life of it */
    bool late;
    uint64_t born;
    int64_t at_us;
};

struct node {
    struct region *region;
    int index;
    bool core;
    struct mw_name name;
    bool up;
    bool frozen;
    struct mw_flow_control *control;
    struct mw_flow_entry *entry;
    struct mw_context ctx;
    uint64_t incarnation;
    /* what its disk holds; the first of them synced */
    GPtrArray *stored;
    guint synced;
    uint64_t sequence;
    /* counts its starts */
    uint64_t life;
    uint32_t member_count;
    struct mw_name members[MW_MEMBERS_MAX];
};

/* What callers were told of one flow, which they may hand in repeatedly. */
struct told {
    unsigned asked;
    unsigned refused;
    bool accepted;
    bool ended;
};

/* What a request of a seeded run was about, by its reference. */
struct question {
    enum mw_flow_request_kind kind;
    uint64_t number;
    /* of a heartbeat: the life of the endpoint */
    uint64_t born;
};

struct region {
    struct mw_script *script;
    int count;
    /* how many members the log is to have */
    uint32_t target;
    struct node nodes[NODES_MAX];
    bool cut[NODES_MAX][NODES_MAX];
    int64_t cut_since_us[NODES_MAX][NODES_MAX];
    bool lost[NODES_MAX][NODES_MAX];
    GPtrArray *flights;
    GPtrArray *calls;
    struct mw_fake_endpoints *endpoints;
    int64_t now_us;
    uint64_t next_ref;
    uint64_t lives;
    uint64_t next_incarnation;
    bool quiet;
    GString *fault;
    GRand *rand;
    /* orders to endpoints get lost, or late */
    bool troubled;
    /* of a seeded run */
    GHashTable *asked;
    struct told told[FLOWS_MAX];
    uint64_t acknowledged;
    uint64_t next_version;
    unsigned checked;
    int64_t calm_since_us;
    bool may_wipe;
};

static void
free_flight(void *data)
{
    struct flight *flight = data;

    mw_drop_blob(flight->payload);
    g_free(flight);
}

static struct node *
find_node(struct region *region, const struct mw_name *name)
{
    for (int i = 0; i < region->count; i++) {
        if (mw_name_equal(&region->nodes[i].name, name)) {
            return &region->nodes[i];
        }
    }
    return NULL;
}

static void
fly(struct node *from, struct node *to, struct mw_msg *msg)
{
    struct region *region = from->region;
    struct flight *flight;

    if (!to || !to->up || region->cut[from->index][to->index]) {
        return;
    }
    flight = g_new0(struct flight, 1);
    flight->from = from->index;
    flight->to = to->index;
    flight->at_us = region->now_us + LATENCY_US;
    flight->payload = mw_encode_msg(msg, &from->name, region->now_us);
    g_ptr_array_add(region->flights, flight);
}

static void
node_send(void *opaque, const struct mw_name *to, struct mw_msg *msg)
{
    struct node *node = opaque;

    fly(node, find_node(node->region, to), msg);
}

static void
node_send_all(void *opaque, enum mw_process_role role, struct mw_msg *msg)
{
    struct node *node = opaque;

    for (int i = 0; i < node->region->count; i++) {
        struct node *to = &node->region->nodes[i];

        if (to->core == (role == MW_ROLE_CONTROL) && to != node) {
            fly(node, to, msg);
        }
    }
}

static void
node_store(void *opaque, const struct mw_store_item *item)
{
    struct node *node = opaque;

    node->sequence = item->sequence;
    g_ptr_array_add(node->stored, mw_encode_stored(item));
}

static void
free_call(void *data)
{
    struct call *call = data;

    g_free(call->answer.runs);
    g_free(call);
}

static bool
chance(struct region *region, int in)
{
    return region->rand && g_rand_int_range(region->rand, 0, in) == 0;
}

static uint64_t
born_of(struct region *region, const struct mw_name *id)
{
    const struct mw_fake_endpoint *endpoint =
        mw_find_fake_endpoint(region->endpoints, id);

    return endpoint ? endpoint->born : 0;
}

static void
node_order(void *opaque, const struct mw_flow_order *order)
{
    struct node *node = opaque;
    struct region *region = node->region;
    struct call *call = g_new0(struct call, 1);

    call->node = node;
    call->life = node->life;
    call->order = *order;
    call->order.spec = NULL;
    call->order.checkpoint = NULL;
    call->at_us = region->now_us + LATENCY_US;
    call->born = born_of(region, &order->endpoint);
    call->answer.ref = order->ref;
    call->answer.result = MW_FLOW_NO_ANSWER;
    if (region->troubled && chance(region, LATE_ORDERS)) {
        call->late = true;
        call->at_us += g_rand_int_range(region->rand, 1, LATE_US);
    }
    g_ptr_array_add(region->calls, call);
}

/* An answer comes back, if its process still waits for it. */
static void
give_answer(struct call *call)
{
    struct node *node = call->node;

    if (node->up && node->life == call->life) {
        mw_flow_control_answer(node->control, node->region->now_us,
                               &call->answer);
    }
}

static void
carry_out(struct region *region, struct call *call)
{
    struct mw_fake_endpoint *endpoint =
        mw_find_fake_endpoint(region->endpoints, &call->order.endpoint);

    if (!endpoint || (call->late && endpoint->born != call->born) ||
        (region->troubled && chance(region, LOST_ORDERS))) {
        return;
    }
    call->answer = mw_fake_carry_out(region->endpoints, endpoint, &call->order,
                                     region->now_us, call->late);
}

/* Orders arrive, or are given up; answers take as long. */
static void
move_calls(struct region *region)
{
    for (guint i = 0; i < region->calls->len;) {
        struct call *call = region->calls->pdata[i];
        bool overdue = region->now_us >= call->order.answer_deadline_us;

        if (!call->answered && region->now_us >= call->at_us) {
            call->answered = true;
            call->at_us = region->now_us + LATENCY_US;
            carry_out(region, call);
            if (call->answer.result == MW_FLOW_NO_ANSWER) {
                call->at_us = call->order.answer_deadline_us;
            }
        }
        else if (call->late && overdue && call->node) {
            struct call given_up = *call;

            /* no answer in time; it is carried out all the same */
            given_up.answer.result = MW_FLOW_NO_ANSWER;
            give_answer(&given_up);
            call->life = 0;
        }
        if (!call->answered || region->now_us < call->at_us ||
            (call->node->up && call->node->frozen)) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(region->calls, i);
        give_answer(call);
        free_call(call);
    }
}

static void
step_endpoints(struct region *region)
{
    for (int i = 0; i < region->endpoints->count; i++) {
        struct mw_fake_endpoint *endpoint = &region->endpoints->all[i];

        mw_fake_step(endpoint, region->now_us);
        if (region->now_us < endpoint->beat_deadline_us) {
            continue;
        }
        endpoint->beat_deadline_us = region->now_us + BEAT_US;
        for (int n = 0; n < region->count; n++) {
            struct node *node = &region->nodes[n];
            struct question q = {MW_FLOW_DRAIN, (uint64_t)i, endpoint->born};
            struct mw_beat beat = mw_fake_beat(endpoint, region->now_us);
            uint64_t ref = ++region->next_ref;
            int err;

            if (!node->core || !node->up || node->frozen) {
                continue;
            }
            g_hash_table_insert(region->asked, g_memdup2(&ref, sizeof ref),
                                g_memdup2(&q, sizeof q));
            err = mw_flow_control_beat(node->control, region->now_us, &beat,
                                       ref);
            if (err == 0 && beat.draining) {
                mw_release_fake_endpoint(endpoint, region->now_us);
            }
        }
    }
}

/* Its draining was acknowledged, if it still is in that life. */
static void
release(struct mw_fake_endpoint *endpoint, uint64_t born, int64_t now_us)
{
    if (endpoint->born == born) {
        mw_release_fake_endpoint(endpoint, now_us);
    }
}

/* A reply of a seeded run: what it claims is kept, or compared. */
static void
note_reply(struct region *region, const struct question *q,
           const struct mw_flow_reply *reply, int status)
{
    struct told *told = &region->told[q->number % FLOWS_MAX];

    if (q->kind == MW_FLOW_DRAIN && status == 200) {
        release(&region->endpoints->all[q->number], q->born, region->now_us);
    }
    else if (q->kind == MW_FLOW_CONFIG && status == 200) {
        region->acknowledged = MAX(region->acknowledged, q->number);
    }
    else if (q->kind == MW_FLOW_SUBMIT) {
        told->accepted |= status == 200;
        told->refused += status == 503;
    }
    else if (q->kind == MW_FLOW_STATE_OF && region->checked > 0) {
        bool known = status == 200;
        bool never = told->refused == told->asked;

        region->checked++;
        told->ended = known && reply->state == MW_FLOW_COMPLETED;
        if (told->accepted && known && !told->ended) {
            g_string_append_printf(region->fault, "flow %d has not ended; ",
                                   (int)q->number);
        }
        if ((told->accepted && !known) || (never && known)) {
            g_string_append_printf(
                region->fault, "flow %d: %s, then %d; ", (int)q->number,
                told->accepted ? "accepted" : "refused", status);
        }
    }
    else if (reply->kind == MW_REPLY_CONFIG) {
        int err = 0;
        struct mw_context ctx = {0};
        struct mw_flow_config *config =
            mw_decode_flow_config(NULL, &ctx, mw_blob_str(reply->text), &err);

        if (!config || config->version < q->number) {
            g_string_append(region->fault, "an older version was read; ");
        }
        mw_drop_flow_config(config);
    }
}

static void
node_reply(void *opaque, const struct mw_flow_reply *reply)
{
    struct node *node = opaque;
    struct region *region = node->region;
    struct question *q = g_hash_table_lookup(region->asked, &reply->ref);
    int status = mw_flow_reply_status(reply);

    if (q) {
        note_reply(region, q, reply, status);
        g_hash_table_remove(region->asked, &reply->ref);
    }
    if (!region->quiet) {
        struct mw_blob *text = mw_format_flow_reply(reply);
        struct mw_str body = mw_blob_str(text);

        mw_say(region->script, "  %d ms: reply %d by %.*s: %d %.*s",
               (int)((region->now_us - START_US) / 1000), (int)reply->ref,
               MW_FMT(mw_name_str(&node->name)), status,
               (int)MIN(body.len, 60), body.ptr);
        mw_drop_blob(text);
    }
}

static void
node_event(void *opaque, const struct mw_flow_event *event)
{
    struct node *node = opaque;
    struct region *region = node->region;

    if (!region->quiet) {
        mw_say(region->script, "  %d ms: %.*s %s %s%s%.*s",
               (int)((region->now_us - START_US) / 1000),
               MW_FMT(mw_name_str(&node->name)), event->name, event->outcome,
               event->endpoint.len ? " " : "",
               MW_FMT(mw_name_str(&event->endpoint)));
    }
}

static void
build_control(struct node *node)
{
    struct region *region = node->region;
    struct mw_flow_control_setup setup = {
        .name = node->name,
        .zone = mw_name_word("za"),
        .incarnation = node->incarnation,
        .member_count = node->member_count,
        .founding_count = MIN(node->member_count, 3),
        .target = region->target,
        .compact_after = 60,
        .seed = (uint32_t)(node->index + 1) * 31 + (uint32_t)node->incarnation,
        .now_us = region->now_us,
        .bounds = {10000000, 900000, 240000000},
        .output = {node, node_send, node_send_all, node_store, node_order,
                   node_reply, node_event, mw_decode_flow_config,
                   mw_decode_flow_plan},
    };

    memcpy(setup.members, node->members, sizeof setup.members);
    mw_drop_flow_control(node->control);
    node->control = mw_new_flow_control(&setup);
}

/* Becomes a member, with an empty disk that carries its incarnation. */
static void
join(struct node *node, uint64_t incarnation)
{
    struct mw_store_item meta = {.kind = MW_STORE_META,
                                 .incarnation = incarnation};

    node->incarnation = incarnation;
    build_control(node);
    g_ptr_array_add(node->stored, mw_encode_stored(&meta));
    node->synced = node->stored->len;
    mw_flow_control_restore(&node->ctx, node->control, &meta);
}

static void
replay(struct node *node)
{
    for (guint i = 0; i < node->stored->len; i++) {
        struct mw_store_item item;

        if (mw_decode_stored(&node->ctx, mw_blob_str(node->stored->pdata[i]),
                             &item) ||
            mw_flow_control_restore(&node->ctx, node->control, &item)) {
            g_string_append(node->region->fault, "replay failed; ");
        }
        mw_clear_stored(&item);
    }
}

static void
start_node(struct node *node)
{
    struct mw_flow_entry_output output = {node, node_send, node_reply,
                                          node_event};

    if (node->up) {
        return;
    }
    node->up = true;
    node->life = ++node->region->lives;
    node->frozen = false;
    if (!node->core) {
        node->entry = mw_new_flow_entry(&output, &node->name);
        return;
    }
    node->incarnation = ++node->region->next_incarnation;
    build_control(node);
    replay(node);
}

static void
crash_node(struct node *node)
{
    node->up = false;
    mw_drop_flow_control(node->control);
    mw_drop_flow_entry(node->entry);
    node->control = NULL;
    node->entry = NULL;
    g_ptr_array_set_size(node->stored, (gint)node->synced);
}

static void
wipe_node(struct node *node)
{
    crash_node(node);
    g_ptr_array_set_size(node->stored, 0);
    node->synced = 0;
    node->member_count = 0;
}

/* A process without a disk learns from the others that it is a member. */
static void
check_membership(struct node *node)
{
    struct mw_name members[MW_MEMBERS_MAX] = {{0}};
    uint32_t count;

    if (!node->core) {
        return;
    }
    count = mw_flow_control_members(node->control, members);
    if (node->stored->len > 0) {
        node->member_count = MAX(node->member_count, count);
        memcpy(node->members, members, sizeof node->members);
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        if (mw_name_equal(&members[i], &node->name)) {
            node->member_count = count;
            memcpy(node->members, members, sizeof node->members);
            join(node, ++node->region->next_incarnation);
            return;
        }
    }
}

static int64_t
wall(const struct region *region)
{
    return WALL_US + region->now_us - START_US;
}

static void
deliver_one(struct region *region, const struct flight *flight)
{
    struct node *to = &region->nodes[flight->to];
    struct node *from = &region->nodes[flight->from];
    int err = 0;
    struct mw_msg *msg = mw_decode_msg(&to->ctx, mw_blob_str(flight->payload),
                                       region->now_us, NULL, &err);

    if (!msg) {
        g_string_append(region->fault, "frame refused; ");
        return;
    }
    if (to->core) {
        mw_flow_control_receive(&to->ctx, to->control, region->now_us,
                                wall(region), &from->name, msg);
        check_membership(to);
    }
    else {
        mw_flow_entry_receive(to->entry, region->now_us, &from->name, msg);
    }
    mw_drop_msg(msg);
}

static void
deliver(struct region *region)
{
    for (guint i = 0; i < region->flights->len;) {
        struct flight *flight = region->flights->pdata[i];
        struct node *to = &region->nodes[flight->to];

        if (flight->at_us > region->now_us || (to->up && to->frozen)) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(region->flights, i);
        if (to->up && !region->cut[flight->from][flight->to]) {
            deliver_one(region, flight);
        }
        free_flight(flight);
    }
}

/* A connection that is silent for long enough counts as lost. */
static void
lose_links(struct region *region)
{
    for (int a = 0; a < region->count; a++) {
        for (int b = 0; b < region->count; b++) {
            struct node *node = &region->nodes[a];
            bool silent = region->cut[a][b] || !region->nodes[b].up ||
                          region->nodes[b].frozen;

            if (!silent) {
                region->cut_since_us[a][b] = region->now_us;
                region->lost[a][b] = false;
            }
            if (region->lost[a][b] || !node->up || node->frozen ||
                region->now_us - region->cut_since_us[a][b] < SILENT_US) {
                continue;
            }
            region->lost[a][b] = true;
            if (node->core) {
                mw_flow_control_lost(node->control, region->now_us,
                                     &region->nodes[b].name);
            }
            else {
                mw_flow_entry_lost(node->entry, region->now_us,
                                   &region->nodes[b].name);
            }
        }
    }
}

static void
step_node(struct node *node)
{
    int64_t now_us = node->region->now_us;

    if (!node->up || node->frozen) {
        return;
    }
    if (!node->core) {
        mw_flow_entry_tick(node->entry, now_us);
        return;
    }
    if (now_us >= mw_flow_control_deadline(node->control)) {
        mw_flow_control_tick(&node->ctx, node->control, now_us,
                             wall(node->region));
    }
    if (node->synced < node->stored->len) {
        node->synced = node->stored->len;
        mw_flow_control_synced(&node->ctx, node->control, now_us,
                               node->sequence);
    }
}

static void
check_leads(struct region *region)
{
    unsigned leads = 0;

    for (int i = 0; i < region->count; i++) {
        struct node *node = &region->nodes[i];

        leads += node->core && node->up && !node->frozen &&
                 mw_flow_control_leads(node->control, region->now_us);
    }
    if (leads > 1) {
        g_string_append_printf(region->fault, "%u lead at %d ms; ", leads,
                               (int)((region->now_us - START_US) / 1000));
    }
}

static void
advance(struct region *region, int64_t for_us)
{
    int64_t until_us = region->now_us + for_us;

    while (region->now_us < until_us) {
        region->now_us += STEP_US;
        deliver(region);
        move_calls(region);
        step_endpoints(region);
        lose_links(region);
        for (int i = 0; i < region->count; i++) {
            step_node(&region->nodes[i]);
        }
        check_leads(region);
    }
}

static void
ask(struct node *node, enum mw_flow_request_kind kind, const char *path,
    const char *body, const struct question *question)
{
    struct region *region = node->region;
    struct mw_flow_request request = {
        .ref = ++region->next_ref,
        .kind = kind,
        .host = MW_STR("h.example"),
        .path = mw_str_from(path),
        .key = MW_STR("k1"),
        .body = mw_str_from(body),
    };

    if (!node->up || node->frozen) {
        return;
    }
    if (question) {
        uint64_t *ref = g_memdup2(&request.ref, sizeof request.ref);

        g_hash_table_insert(region->asked, ref,
                            g_memdup2(question, sizeof *question));
    }
    if (node->core) {
        mw_flow_control_request(&node->ctx, node->control, region->now_us,
                                wall(region), &request);
    }
    else {
        mw_flow_entry_request(node->entry, region->now_us, &request,
                              region->now_us + CALL_US);
    }
}

static char *
config_text(uint64_t version)
{
    return g_strdup_printf(
        "{\"version\":%d,\"services\":[{\"name\":\"svc\"}],\"routes\":["
        "{\"name\":\"bulk\",\"host\":\"h.example\",\"path-prefix\":\"/b/\","
        "\"service\":\"svc\",\"priority\":2,\"max-attempts\":2,"
        "\"slack-factor\":3,\"target-latency-ms\":3000,\"timeout-ms\":3000}],"
        "\"tenants\":[{\"name\":\"org\",\"api-keys\":[\"k1\"],"
        "\"guaranteed\":{\"gpus\":8}}]}",
        (int)version);
}

#define PLAN                                                                  \
    "{\"spec\":\"s\",\"phases\":[{\"count\":1,\"cpu\":1000,\"gpus\":1}]}"

static void
add_node(struct region *region, const char *name, bool core)
{
    struct node *node = &region->nodes[region->count];

    node->region = region;
    node->index = region->count++;
    node->core = core;
    node->name = mw_name_word(name);
    node->stored =
        g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_blob);
}

/* The first members, as a region starts for the first time. */
static void
found(struct region *region, int endpoints)
{
    struct mw_name members[MW_MEMBERS_MAX] = {{0}};
    uint32_t count = 0;

    region->endpoints = mw_new_fake_endpoints(endpoints, region->fault);
    for (int i = 0; i < region->count; i++) {
        if (region->nodes[i].core && count < 3) {
            members[count++] = region->nodes[i].name;
        }
    }
    for (int i = 0; i < region->count; i++) {
        struct node *node = &region->nodes[i];
        bool founds = false;

        for (uint32_t m = 0; node->core && m < count; m++) {
            founds |= mw_name_equal(&members[m], &node->name);
        }
        if (founds) {
            node->member_count = count;
            memcpy(node->members, members, sizeof members);
            node->up = true;
            node->life = ++region->lives;
            join(node, MW_FOUNDING_INCARNATION);
        }
        else {
            start_node(node);
        }
    }
}

static void *
begin(void)
{
    struct region *region = g_new0(struct region, 1);

    region->now_us = START_US;
    region->next_incarnation = 100;
    region->target = 3;
    region->flights = g_ptr_array_new_with_free_func(free_flight);
    region->calls = g_ptr_array_new_with_free_func(free_call);
    region->fault = g_string_new(NULL);
    region->asked =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return region;
}

static void
clear_nodes(struct region *region)
{
    for (int i = 0; i < region->count; i++) {
        crash_node(&region->nodes[i]);
        g_ptr_array_unref(region->nodes[i].stored);
    }
    region->count = 0;
    memset(region->nodes, 0, sizeof region->nodes);
    memset(region->cut, 0, sizeof region->cut);
    memset(region->lost, 0, sizeof region->lost);
    memset(region->told, 0, sizeof region->told);
    g_ptr_array_set_size(region->flights, 0);
    g_ptr_array_set_size(region->calls, 0);
    g_clear_pointer(&region->endpoints, mw_drop_fake_endpoints);
    g_hash_table_remove_all(region->asked);
}

static void
end(void *state)
{
    struct region *region = state;

    clear_nodes(region);
    g_ptr_array_unref(region->flights);
    g_ptr_array_unref(region->calls);
    g_hash_table_unref(region->asked);
    g_string_free(region->fault, TRUE);
    g_free(region);
}

static struct region *
enter(struct mw_script *s)
{
    struct region *region = s->state;

    region->script = s;
    return region;
}

static struct node *
node_word(struct mw_script *s, int index)
{
    struct mw_name name = mw_name_word(mw_word(s, index));
    struct node *node = find_node(enter(s), &name);

    if (!node) {
        mw_say(s, "  no process %s", mw_word(s, index));
        return &enter(s)->nodes[0];
    }
    return node;
}

/* region CORES ENTRIES [endpoints=N] [target=N]: c1.. and e1.., started for
 * the first time */
static void
cmd_region(struct mw_script *s)
{
    struct region *region = enter(s);
    char name[16];

    region->target = (uint32_t)mw_option_int(s, "target", 3);
    for (int kind = 0; kind < 2; kind++) {
        for (int i = 1; i <= atoi(mw_word(s, 1 + kind)); i++) {
            g_snprintf(name, sizeof name, "%c%d", "ce"[kind], i);
            add_node(region, name, kind == 0);
        }
    }
    found(region, (int)mw_option_int(s, "endpoints", 0));
}

static void
cmd_run(struct mw_script *s)
{
    advance(enter(s), 1000 * g_ascii_strtoll(mw_word(s, 1), NULL, 10));
}

static void
cmd_quiet(struct mw_script *s)
{
    enter(s)->quiet = strcmp(mw_word(s, 1), "on") == 0;
}

static void
cmd_freeze(struct mw_script *s)
{
    node_word(s, 1)->frozen = true;
}

static void
cmd_thaw(struct mw_script *s)
{
    node_word(s, 1)->frozen = false;
}

static void
cmd_kill(struct mw_script *s)
{
    crash_node(node_word(s, 1));
}

static void
cmd_wipe(struct mw_script *s)
{
    wipe_node(node_word(s, 1));
}

static void
cmd_start(struct mw_script *s)
{
    start_node(node_word(s, 1));
}

static void
set_cut(struct region *region, int a, int b, bool cut)
{
    region->cut[a][b] = cut;
    region->cut[b][a] = cut;
}

/* cut A B on|off */
static void
cmd_cut(struct mw_script *s)
{
    set_cut(enter(s), node_word(s, 1)->index, node_word(s, 2)->index,
            strcmp(mw_word(s, 3), "on") == 0);
}

/* config NODE VERSION */
static void
cmd_config(struct mw_script *s)
{
    char *text = config_text((uint64_t)atoi(mw_word(s, 2)));

    ask(node_word(s, 1), MW_FLOW_CONFIG, "", text, NULL);
    g_free(text);
}

static void
cmd_read(struct mw_script *s)
{
    ask(node_word(s, 1), MW_FLOW_READ_CONFIG, "", "", NULL);
}

/* submit NODE ID */
static void
cmd_submit(struct mw_script *s)
{
    char *path = g_strconcat("/b/", mw_word(s, 2), NULL);

    ask(node_word(s, 1), MW_FLOW_SUBMIT, path, PLAN, NULL);
    g_free(path);
}

static void
cmd_state(struct mw_script *s)
{
    char *path = g_strconcat("/b/", mw_word(s, 2), NULL);

    ask(node_word(s, 1), MW_FLOW_STATE_OF, path, "", NULL);
    g_free(path);
}

static void
cmd_fault(struct mw_script *s)
{
    struct region *region = enter(s);

    mw_say(s, "  faults: %s",
           region->fault->len ? region->fault->str : "none");
}

static struct node *
any(struct region *region, bool core)
{
    struct node *node;

    do {
        node =
            &region->nodes[g_rand_int_range(region->rand, 0, region->count)];
    } while (node->core != core);
    return node;
}

/*
 * One disk may be lost at a time: the next one only once all core machines
 * have been up, awake and connected for CATCH_UP_US since the last.
 */
static void
note_calm(struct region *region)
{
    bool calm = true;

    for (int i = 0; i < region->count; i++) {
        const struct node *node = &region->nodes[i];

        calm &= !node->core || (node->up && !node->frozen);
        for (int j = 0; j < region->count; j++) {
            calm &= !region->cut[i][j];
        }
    }
    if (!calm) {
        region->calm_since_us = region->now_us;
    }
    region->may_wipe |= region->now_us - region->calm_since_us >= CATCH_UP_US;
}

static void
ask_flow(struct region *region, enum mw_flow_request_kind kind, uint64_t n)
{
    struct question q = {kind, n, 0};
    char *path = g_strdup_printf("/b/%016d", (int)n);

    region->told[n].asked += kind == MW_FLOW_SUBMIT;
    ask(any(region, false), kind, path, kind == MW_FLOW_SUBMIT ? PLAN : "",
        &q);
    g_free(path);
}

static void
ask_config(struct region *region)
{
    struct question put = {MW_FLOW_CONFIG, ++region->next_version, 0};
    struct question read = {MW_FLOW_READ_CONFIG, region->acknowledged, 0};
    char *text = config_text(put.number);

    ask(any(region, true), MW_FLOW_CONFIG, "", text, &put);
    ask(any(region, true), MW_FLOW_READ_CONFIG, "", "", &read);
    g_free(text);
}

/* An endpoint drains and, some time later, another life of it is there. */
static void
drain_one(struct region *region)
{
    struct mw_fake_endpoint *endpoint =
        &region->endpoints->all[g_rand_int_range(region->rand, 0, ENDPOINTS)];

    if (!endpoint->draining) {
        endpoint->draining = true;
        endpoint->beat_deadline_us = region->now_us;
    }
    else if (endpoint->released_us > 0) {
        mw_restart_fake_endpoint(endpoint);
    }
}

static void
trouble(struct region *region)
{
    struct node *node = any(region, true);
    struct node *other = any(region, true);

    switch (g_rand_int_range(region->rand, 0, 8)) {
    case 7:
        drain_one(region);
        break;
    case 0:
        crash_node(node);
        break;
    case 1:
        if (region->may_wipe) {
            wipe_node(node);
            region->may_wipe = false;
            region->calm_since_us = region->now_us;
        }
        break;
    case 2:
        node->frozen = node->up;
        break;
    case 3:
        set_cut(region, node->index, other->index, node != other);
        break;
    case 4:
        node->frozen = false;
        break;
    case 5:
        set_cut(region, node->index, other->index, false);
        break;
    default:
        start_node(node);
        break;
    }
}

static void
heal(struct region *region)
{
    memset(region->cut, 0, sizeof region->cut);
    for (int i = 0; i < region->count; i++) {
        region->nodes[i].frozen = false;
        start_node(&region->nodes[i]);
    }
    for (int i = 0; i < region->endpoints->count; i++) {
        if (region->endpoints->all[i].draining) {
            mw_restart_fake_endpoint(&region->endpoints->all[i]);
        }
    }
}

/* All is calm: what was said must be so, and a request is served. */
static void
check_promises(struct region *region, uint64_t flows)
{
    struct question read = {MW_FLOW_READ_CONFIG, region->acknowledged, 0};

    region->checked = 1;
    for (uint64_t n = 0; n < flows; n++) {
        ask_flow(region, MW_FLOW_STATE_OF, n);
    }
    ask(any(region, true), MW_FLOW_READ_CONFIG, "", "", &read);
    advance(region, CALL_US);
    if (region->checked != flows + 1) {
        g_string_append_printf(region->fault, "%d of %d were answered; ",
                               (int)region->checked - 1, (int)flows);
    }
}

static void
run_seed(struct region *region, uint32_t seed, int cores)
{
    int64_t until_us;
    uint64_t flows = 0;
    char name[16];

    region->rand = g_rand_new_with_seed(seed);
    region->now_us = START_US;
    region->next_incarnation = 100;
    region->acknowledged = 0;
    region->next_version = 0;
    region->calm_since_us = region->now_us;
    region->may_wipe = false;
    region->checked = 0;
    for (int i = 0; i < cores + 2; i++) {
        g_snprintf(name, sizeof name, "%c%d", i < cores ? 'c' : 'e', i);
        add_node(region, name, i < cores);
    }
    found(region, ENDPOINTS);
    advance(region, 3000000);
    region->troubled = true;
    until_us = region->now_us + TROUBLE_US;
    while (region->now_us < until_us) {
        advance(region, STEP_US * g_rand_int_range(region->rand, 1, 60));
        note_calm(region);
        ask_config(region);
        ask_flow(region, MW_FLOW_SUBMIT, flows);
        flows += flows + 1 < FLOWS_MAX;
        if (g_rand_int_range(region->rand, 0, 4) == 0) {
            ask_flow(region, MW_FLOW_SUBMIT,
                     (uint64_t)g_rand_int_range(region->rand, 0, (int)flows));
        }
        if (g_rand_int_range(region->rand, 0, 3) == 0) {
            trouble(region);
        }
        if (g_rand_int_range(region->rand, 0, 40) == 0) {
            heal(region);
            advance(region, CATCH_UP_US + 1000000);
        }
    }
    heal(region);
    region->troubled = false;
    advance(region, CALM_US);
    check_promises(region, flows);
    clear_nodes(region);
    g_rand_free(region->rand);
}

static bool
seed_holds(struct mw_script *s, int seed, int cores)
{
    struct region *region = enter(s);

    region->quiet = true;
    g_string_truncate(region->fault, 0);
    run_seed(region, (uint32_t)seed, cores);
    if (region->fault->len > 0) {
        mw_say(s, "  seed %d: %.300s", seed, region->fault->str);
    }
    return region->fault->len == 0;
}

/* seed N CORES: one that found a fault once */
static void
cmd_seed(struct mw_script *s)
{
    if (seed_holds(s, atoi(mw_word(s, 1)), atoi(mw_word(s, 2)))) {
        mw_say(s, "  holds");
    }
}

/* seeds FROM COUNT CORES: each a region in trouble; MW_SEEDS runs more */
static void
cmd_seeds(struct mw_script *s)
{
    const char *more = g_getenv("MW_SEEDS");
    int from = atoi(mw_word(s, 1));
    int count = more ? atoi(more) : atoi(mw_word(s, 2));
    int faults = 0;

    for (int seed = from; seed < from + count; seed++) {
        faults += !seed_holds(s, seed, atoi(mw_word(s, 3)));
    }
    mw_say(s, "  %d seeds with faults", faults);
}

static const struct mw_script_command commands[] = {{"region", 2, cmd_region},
                                                    {"run", 1, cmd_run},
                                                    {"quiet", 1, cmd_quiet},
                                                    {"freeze", 1, cmd_freeze},
                                                    {"thaw", 1, cmd_thaw},
                                                    {"kill", 1, cmd_kill},
                                                    {"wipe", 1, cmd_wipe},
                                                    {"start", 1, cmd_start},
                                                    {"cut", 3, cmd_cut},
                                                    {"config", 2, cmd_config},
                                                    {"read", 1, cmd_read},
                                                    {"submit", 2, cmd_submit},
                                                    {"state", 2, cmd_state},
                                                    {"fault", 0, cmd_fault},
                                                    {"seeds", 3, cmd_seeds},
                                                    {"seed", 2, cmd_seed},
                                                    {NULL, 0, NULL}};

const struct mw_script_kind mw_region_scripts = {"region", commands, begin,
                                                 end};
