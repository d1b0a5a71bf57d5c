/*
 * world-script: runs a simulated cluster of several zones, with control
 * processes, entry processes and fake endpoints, driven by a script.
 *
 * Messages pass through the real encoders.  A cut drops them; after the
 * disconnect timeout, the entry process is told that the connection is
 * closed.  Invariants checked after every step of simulated time: at most one
 * scheduler in a zone; no non-idempotent request starts twice; nothing starts
 * that was reported as not run; nothing starts in a zone later than five
 * seconds after it went out of service; no zone goes back to an older version
 * of the document.
 */
#include <string.h>

#include "script.h"

#define NODES_MAX 24
#define STEP_US 10000
#define LATENCY_US 1000
#define DISCONNECT_TIMEOUT_US 1500000
#define ANNOUNCE_US 500000
#define OUT_OF_SERVICE_BOUND_US 5000000
#define ENDPOINT_LEASE_US 5000000
/* more refs than a process uses in one life */
#define REFS_PER_LIFE UINT64_C(1000000)

enum node_kind {
    CONTROL = 0,
    ENTRY = 1,
    ENDPOINT = 2
};

/* A message in flight between two processes. */
struct packet {
    int from;
    int to;
    int64_t arrival_us;
    struct mw_blob *payload;
};

/* An attempt at a fake endpoint. */
struct attempt {
    struct mw_attempt_id id;
    char *request;
    bool running;
    bool finished;
    int64_t end_us;
};

struct node {
    struct cluster *cluster;
    int index;
    enum node_kind kind;
    struct mw_name name;
    struct mw_name zone;
    bool disk;
    bool up;
    bool frozen;
    struct mw_control *control;
    struct mw_entry *entry;
    struct mw_context ctx;
    uint64_t incarnation;
    /* how often it was started */
    uint64_t life_count;
    /* encoded stored items; a crash keeps the first synced_count of them */
    GPtrArray *stored[MW_GROUPS];
    uint64_t sequence[MW_GROUPS];
    guint synced_count[MW_GROUPS];
    /* of an endpoint only */
    GPtrArray *attempts;
    /* attempts reported as absent or stopped; a later start is refused */
    GHashTable *ended_attempts;
    uint64_t epoch;
    int64_t announce_deadline_us;
    int64_t lease_deadline_us;
    bool draining;
};

/* What the client of a request was last told, and the starts of its job. */
struct request_state {
    bool not_run;
    bool accepted;
    bool done;
    bool non_idempotent;
    unsigned starts;
    struct mw_attempt_id attempt;
};

struct cluster {
    struct mw_script *script;
    int count;
    struct node nodes[NODES_MAX];
    /* whether messages from one node to another are dropped */
    bool cut[NODES_MAX][NODES_MAX];
    /* links that hold back what is sent, until they are released */
    bool held[NODES_MAX][NODES_MAX];
    /* of the connections from entry processes to control processes */
    int64_t last_connected_us[NODES_MAX][NODES_MAX];
    bool disconnected[NODES_MAX][NODES_MAX];
    GPtrArray *packets;
    GHashTable *request_states;
    GHashTable *requests_by_handle;
    GString *fault;
    int64_t now_us;
    uint64_t next_handle;
    uint64_t next_incarnation;
    GRand *rand;
    bool quiet;
    bool chaos;
    int64_t out_since_us[MW_ZONES_MAX];
    uint64_t version[MW_ZONES_MAX];
    GPtrArray *zones;
    unsigned reply_count;
    unsigned request_count;
};

static void
free_packet(void *data)
{
    struct packet *packet = data;

    mw_drop_blob(packet->payload);
    g_free(packet);
}

static void
free_attempt(void *data)
{
    struct attempt *a = data;

    g_free(a->request);
    g_free(a);
}

static struct node *
find_node(struct cluster *cluster, const struct mw_name *name)
{
    for (int i = 0; i < cluster->count; i++) {
        if (mw_name_equal(&cluster->nodes[i].name, name)) {
            return &cluster->nodes[i];
        }
    }
    return NULL;
}

static struct request_state *
get_request_state(struct cluster *cluster, const char *request)
{
    struct request_state *request_state =
        g_hash_table_lookup(cluster->request_states, request);

    if (!request_state) {
        request_state = g_new0(struct request_state, 1);
        g_hash_table_insert(cluster->request_states, g_strdup(request),
                            request_state);
    }
    return request_state;
}

static int
zone_index(struct cluster *cluster, const struct mw_name *zone)
{
    for (guint i = 0; i < cluster->zones->len; i++) {
        if (mw_name_equal(cluster->zones->pdata[i], zone)) {
            return (int)i;
        }
    }
    g_ptr_array_add(cluster->zones, g_memdup2(zone, sizeof *zone));
    return (int)cluster->zones->len - 1;
}

static void
schedule_packet(struct node *from, struct node *to, struct mw_msg *msg)
{
    struct cluster *cluster = from->cluster;
    struct packet *packet;

    if (!to || !to->up || cluster->cut[from->index][to->index]) {
        return;
    }
    packet = g_new0(struct packet, 1);
    packet->from = from->index;
    packet->to = to->index;
    packet->arrival_us = cluster->now_us + LATENCY_US;
    if (cluster->chaos) {
        packet->arrival_us += g_rand_int_range(cluster->rand, 0, 20000);
    }
    packet->payload = mw_encode_msg(msg, &from->name, cluster->now_us);
    g_ptr_array_add(cluster->packets, packet);
}

static void
node_send(void *opaque, const struct mw_name *to, struct mw_msg *msg)
{
    struct node *node = opaque;

    schedule_packet(node, find_node(node->cluster, to), msg);
}

static void
node_send_all(void *opaque, enum mw_process_role role, struct mw_msg *msg)
{
    struct node *node = opaque;
    enum node_kind kind = role == MW_ROLE_CONTROL ? CONTROL : ENTRY;

    for (int i = 0; i < node->cluster->count; i++) {
        struct node *to = &node->cluster->nodes[i];

        if (to->kind == kind && to != node) {
            schedule_packet(node, to, msg);
        }
    }
}

static void
node_store(void *opaque, enum mw_group group,
           const struct mw_stored_item *item)
{
    struct node *node = opaque;

    node->sequence[group] = item->sequence;
    g_ptr_array_add(node->stored[group], mw_encode_stored(item));
}

static void
record_reply(struct cluster *cluster, const char *request,
             const struct mw_reply *reply)
{
    struct request_state *request_state = get_request_state(cluster, request);

    request_state->not_run = reply->error && reply->ran == MW_NOT_RUN;
    request_state->accepted |= !reply->error && reply->state != MW_JOB_DONE;
    request_state->done |= reply->state == MW_JOB_DONE &&
                           (!reply->error || reply->ran != MW_NOT_RUN);
    if (request_state->not_run && request_state->starts > 0) {
        g_string_append_printf(cluster->fault,
                               "%s reported not run after %u starts; ",
                               request, request_state->starts);
    }
}

static void
entry_reply(void *opaque, uint64_t handle, const struct mw_reply *reply)
{
    struct node *node = opaque;
    struct cluster *cluster = node->cluster;
    const char *request =
        g_hash_table_lookup(cluster->requests_by_handle, &handle);

    cluster->reply_count++;
    if (!reply->is_change && request) {
        record_reply(cluster, request, reply);
    }
    if (cluster->quiet) {
        return;
    }
    if (reply->is_change) {
        mw_script_printf(cluster->script, "  change: %.*s%s%.*s",
                         MW_FMT(mw_error_str(reply->error)),
                         reply->detail.len ? ": " : "", MW_FMT(reply->detail));
        return;
    }
    mw_script_printf(cluster->script, "  %s: %.*s %.*s%s%.*s%s%.*s", request,
                     MW_FMT(reply->error ? mw_error_str(reply->error)
                                         : mw_job_state_str(reply->state)),
                     MW_FMT(mw_execution_status_str(reply->ran)),
                     reply->output ? " " : "",
                     MW_FMT(mw_blob_str(reply->output)),
                     reply->detail.len ? ": " : "", MW_FMT(reply->detail));
}

static struct attempt *
find_attempt(struct node *endpoint, const struct mw_attempt_id *id)
{
    for (guint i = 0; i < endpoint->attempts->len; i++) {
        struct attempt *a = endpoint->attempts->pdata[i];

        if (mw_attempt_equal(&a->id, id)) {
            return a;
        }
    }
    return NULL;
}

static void
record_start(struct node *endpoint, const struct attempt *a, bool idempotent)
{
    struct cluster *cluster = endpoint->cluster;
    struct request_state *request_state =
        get_request_state(cluster, a->request);
    int64_t out = cluster->out_since_us[zone_index(cluster, &endpoint->zone)];

    if (request_state->starts == 0 ||
        !mw_attempt_equal(&request_state->attempt, &a->id)) {
        /* the parts of one attempt are one start */
        request_state->starts++;
        request_state->attempt = a->id;
    }
    if (!idempotent && request_state->starts > 1) {
        g_string_append_printf(cluster->fault, "%s started twice; ",
                               a->request);
    }
    if (request_state->not_run) {
        g_string_append_printf(cluster->fault, "%s started after not_run; ",
                               a->request);
    }
    if (out > 0 && cluster->now_us > out + OUT_OF_SERVICE_BOUND_US) {
        g_string_append_printf(cluster->fault, "%s started in a zone out; ",
                               a->request);
    }
}

static enum mw_outcome
start_on_endpoint(struct node *endpoint,
                  const struct mw_endpoint_command *command)
{
    struct attempt *a = find_attempt(endpoint, &command->attempt);
    struct mw_str body = mw_blob_str(command->body);
    char *text = g_strndup(body.ptr, body.len);
    char *separator = strchr(text, ';');

    if (!a) {
        a = g_new0(struct attempt, 1);
        a->id = command->attempt;
        g_ptr_array_add(endpoint->attempts, a);
    }
    if (!a->running && !a->finished) {
        a->running = true;
        a->end_us =
            endpoint->cluster->now_us +
            (separator ? g_ascii_strtoll(separator + 1, NULL, 10) * 1000 : 0);
        if (separator) {
            *separator = 0;
        }
        g_free(a->request);
        a->request = g_strdup(text);
        record_start(endpoint, a, command->idempotent);
    }
    g_free(text);
    return a->finished ? MW_OUTCOME_FINISHED : MW_OUTCOME_STARTED;
}

static bool
has_ended(const struct node *endpoint, const struct mw_attempt_id *attempt)
{
    char *id = mw_format_attempt(attempt);
    bool ended = g_hash_table_contains(endpoint->ended_attempts, id);

    g_free(id);
    return ended;
}

static enum mw_outcome
execute_on_endpoint(struct node *endpoint,
                    const struct mw_endpoint_command *command)
{
    struct attempt *a = find_attempt(endpoint, &command->attempt);
    bool is_start = command->kind == MW_COMMAND_START ||
                    command->kind == MW_COMMAND_RESERVE;

    if (is_start &&
        (command->attempt.epoch < endpoint->epoch || endpoint->draining ||
         has_ended(endpoint, &command->attempt))) {
        return MW_OUTCOME_REFUSED;
    }
    if (!is_start && (!a || command->kind != MW_COMMAND_QUERY)) {
        g_hash_table_add(endpoint->ended_attempts,
                         mw_format_attempt(&command->attempt));
    }
    endpoint->epoch = MAX(endpoint->epoch, command->attempt.epoch);
    switch (command->kind) {
    case MW_COMMAND_RESERVE:
        return MW_OUTCOME_RESERVED;
    case MW_COMMAND_START:
        return start_on_endpoint(endpoint, command);
    case MW_COMMAND_QUERY:
        return !a            ? MW_OUTCOME_ABSENT
               : a->finished ? MW_OUTCOME_FINISHED
                             : MW_OUTCOME_STARTED;
    default:
        if (a && a->finished && command->kind == MW_COMMAND_STOP) {
            return MW_OUTCOME_FINISHED;
        }
        if (a) {
            g_ptr_array_remove(endpoint->attempts, a);
        }
        return a ? MW_OUTCOME_STOPPED : MW_OUTCOME_ABSENT;
    }
}

static void
entry_execute_command(void *opaque, const struct mw_name *control,
                      const struct mw_endpoint_command *command)
{
    struct node *node = opaque;
    struct node *endpoint = find_node(node->cluster, &command->endpoint);
    struct mw_report report = {.outcome = MW_OUTCOME_LOST,
                               .attempt = command->attempt,
                               .endpoint = command->endpoint};

    if (endpoint && endpoint->up && !endpoint->frozen &&
        !node->cluster->cut[node->index][endpoint->index]) {
        report.outcome = execute_on_endpoint(endpoint, command);
    }
    if (report.outcome == MW_OUTCOME_FINISHED) {
        struct attempt *a = find_attempt(endpoint, &command->attempt);

        report.output = mw_new_blob(mw_str_from(a->request));
    }
    if (command->kind != MW_COMMAND_FORGET) {
        mw_entry_command_done(node->entry, control, &report);
    }
    mw_drop_blob(report.output);
}

/* That of a new life of the process. */
static uint64_t
first_ref(struct node *node)
{
    return 1 + ++node->life_count * REFS_PER_LIFE;
}

static void
create_control(struct node *node)
{
    struct cluster *cluster = node->cluster;
    struct mw_control_setup setup = {
        .name = node->name,
        .zone = node->zone,
        .compact_after = 200,
        .first_ref = first_ref(node),
        .seed = (uint32_t)(node->index + 1) * 31 + (uint32_t)node->incarnation,
        .now_us = cluster->now_us,
        .output = {node, node_send, node_send_all, node_store},
    };

    for (int g = 0; g < MW_GROUPS; g++) {
        setup.incarnation[g] = node->incarnation;
    }
    for (int i = 0; i < cluster->count; i++) {
        struct node *other = &cluster->nodes[i];
        struct mw_member member = {other->name, other->disk};

        if (other->kind != CONTROL) {
            continue;
        }
        if (other->disk && node->disk) {
            setup.members[MW_GROUP_REGION]
                         [setup.member_count[MW_GROUP_REGION]++] = member;
        }
        if (mw_name_equal(&other->zone, &node->zone)) {
            setup.members[MW_GROUP_ZONE][setup.member_count[MW_GROUP_ZONE]++] =
                member;
        }
    }
    node->control = mw_new_control(&setup);
}

static void
replay_stored(struct node *node, enum mw_group group)
{
    for (guint i = 0; i < node->stored[group]->len; i++) {
        struct mw_stored_item item;
        struct mw_blob *blob = node->stored[group]->pdata[i];

        if (mw_decode_stored(&node->ctx, mw_blob_str(blob), &item) ||
            mw_control_restore(&node->ctx, node->control, group, &item)) {
            g_string_append(node->cluster->fault, "replay failed; ");
        }
        mw_clear_stored(&item);
    }
    node->synced_count[group] = node->stored[group]->len;
}

static void
start_control(struct node *node)
{
    bool empty = node->stored[MW_GROUP_ZONE]->len == 0;

    if (!node->disk || empty) {
        bool founding = node->disk && node->incarnation == 0;

        node->incarnation = founding ? MW_FOUNDING_INCARNATION
                                     : ++node->cluster->next_incarnation;
    }
    create_control(node);
    for (int g = 0; g < MW_GROUPS && node->disk; g++) {
        struct mw_stored_item meta = {.kind = MW_STORED_META,
                                      .incarnation = node->incarnation};

        if (empty) {
            g_ptr_array_add(node->stored[g], mw_encode_stored(&meta));
        }
        replay_stored(node, (enum mw_group)g);
    }
}

static void
start_node(struct node *node)
{
    struct mw_entry_setup setup = {
        .name = node->name,
        .zone = node->zone,
        .output = {node, node_send, node_send_all, entry_reply,
                   entry_execute_command},
    };

    if (node->up) {
        return;
    }
    setup.first_ref = first_ref(node);
    node->frozen = false;
    if (node->kind == CONTROL) {
        start_control(node);
    }
    else if (node->kind == ENTRY) {
        node->entry = mw_new_entry(&setup);
    }
    else {
        node->incarnation = ++node->cluster->next_incarnation;
        node->draining = false;
    }
    node->up = true;
}

static void
crash_node(struct node *node)
{
    node->up = false;
    node->frozen = false;
    mw_drop_control(node->control);
    mw_drop_entry(node->entry);
    node->control = NULL;
    node->entry = NULL;
    for (int g = 0; g < MW_GROUPS; g++) {
        guint keep = node->disk ? node->synced_count[g] : 0;

        g_ptr_array_set_size(node->stored[g], (gint)keep);
        node->synced_count[g] = keep;
    }
    if (node->kind == ENDPOINT) {
        g_ptr_array_set_size(node->attempts, 0);
    }
}

static void
lose_disk(struct node *node)
{
    crash_node(node);
    for (int g = 0; g < MW_GROUPS; g++) {
        g_ptr_array_set_size(node->stored[g], 0);
        node->synced_count[g] = 0;
    }
}

static void
deliver_one(struct cluster *cluster, const struct packet *packet)
{
    struct node *to = &cluster->nodes[packet->to];
    struct node *from = &cluster->nodes[packet->from];
    int err = 0;
    struct mw_msg *msg = mw_decode_msg(&to->ctx, mw_blob_str(packet->payload),
                                       cluster->now_us, NULL, &err);

    if (!msg) {
        g_string_append_printf(cluster->fault, "frame not decoded: %.*s; ",
                               MW_FMT(mw_error_str(err)));
        return;
    }
    if (to->kind == CONTROL) {
        mw_control_receive(&to->ctx, to->control, cluster->now_us, &from->name,
                           msg);
    }
    else {
        mw_entry_receive(&to->ctx, to->entry, cluster->now_us, &from->name,
                         msg);
    }
    mw_drop_msg(msg);
}

static void
deliver(struct cluster *cluster)
{
    for (guint i = 0; i < cluster->packets->len;) {
        struct packet *packet = cluster->packets->pdata[i];
        struct node *to = &cluster->nodes[packet->to];

        if (packet->arrival_us > cluster->now_us || to->frozen ||
            cluster->held[packet->from][packet->to]) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(cluster->packets, i);
        if (to->up && !cluster->cut[packet->from][packet->to]) {
            deliver_one(cluster, packet);
        }
        free_packet(packet);
    }
}

static void
announce_endpoint(struct node *endpoint)
{
    struct cluster *cluster = endpoint->cluster;
    struct mw_announcement announce = {
        .endpoint = endpoint->name,
        .address = endpoint->name,
        .rack = mw_name_from("rack"),
        .total = {8, 8, 32, 65536},
        .incarnation = endpoint->incarnation,
        .draining = endpoint->draining,
        .listed_count = endpoint->attempts->len,
    };

    announce.listed =
        g_new0(struct mw_listed_attempt, endpoint->attempts->len);
    for (guint i = 0; i < endpoint->attempts->len; i++) {
        struct attempt *a = endpoint->attempts->pdata[i];

        announce.listed[i].attempt = a->id;
        announce.listed[i].finished = a->finished;
    }
    for (int i = 0; i < cluster->count; i++) {
        struct node *e = &cluster->nodes[i];

        if (e->kind == ENTRY && e->up && !e->frozen &&
            mw_name_equal(&e->zone, &endpoint->zone) &&
            !cluster->cut[endpoint->index][i]) {
            if (mw_entry_announce(&e->ctx, e->entry, cluster->now_us,
                                  &announce) == 0) {
                endpoint->lease_deadline_us =
                    cluster->now_us + ENDPOINT_LEASE_US;
                endpoint->epoch =
                    MAX(endpoint->epoch, mw_entry_get_epoch(e->entry));
            }
            break;
        }
    }
    g_free(announce.listed);
}

static void
step_endpoint(struct node *endpoint)
{
    int64_t now_us = endpoint->cluster->now_us;

    for (guint i = endpoint->attempts->len; i > 0; i--) {
        struct attempt *a = endpoint->attempts->pdata[i - 1];

        if (a->running && now_us >= a->end_us) {
            a->running = false;
            a->finished = true;
            endpoint->announce_deadline_us = now_us;
        }
        else if (!a->finished && now_us >= endpoint->lease_deadline_us) {
            g_ptr_array_remove_index(endpoint->attempts, i - 1);
        }
    }
    if (now_us >= endpoint->announce_deadline_us) {
        endpoint->announce_deadline_us = now_us + ANNOUNCE_US;
        announce_endpoint(endpoint);
    }
}

static void
sync_node(struct node *node)
{
    for (int g = 0; g < MW_GROUPS; g++) {
        if (node->synced_count[g] < node->stored[g]->len) {
            node->synced_count[g] = node->stored[g]->len;
            mw_control_synced(&node->ctx, node->control, node->cluster->now_us,
                              (enum mw_group)g, node->sequence[g]);
        }
    }
}

static void
step_node(struct node *node)
{
    struct cluster *cluster = node->cluster;

    if (!node->up || node->frozen) {
        return;
    }
    if (node->kind == CONTROL) {
        if (cluster->now_us >= mw_control_deadline(node->control)) {
            mw_control_tick(&node->ctx, node->control, cluster->now_us);
        }
        sync_node(node);
    }
    else if (node->kind == ENTRY) {
        if (cluster->now_us >= mw_entry_deadline(node->entry)) {
            mw_entry_tick(&node->ctx, node->entry, cluster->now_us);
        }
    }
    else {
        step_endpoint(node);
    }
}

/* Closes connections that have been cut for the disconnect timeout. */
static void
close_cut_connections(struct cluster *cluster)
{
    for (int e = 0; e < cluster->count; e++) {
        struct node *entry = &cluster->nodes[e];

        for (int c = 0; c < cluster->count; c++) {
            struct node *control = &cluster->nodes[c];
            bool cut = cluster->cut[e][c] || cluster->cut[c][e] ||
                       !control->up || control->frozen;

            if (entry->kind != ENTRY || control->kind != CONTROL) {
                continue;
            }
            if (!cut) {
                cluster->last_connected_us[e][c] = cluster->now_us;
                cluster->disconnected[e][c] = false;
            }
            else if (entry->up && !cluster->disconnected[e][c] &&
                     cluster->now_us - cluster->last_connected_us[e][c] >
                         DISCONNECT_TIMEOUT_US) {
                cluster->disconnected[e][c] = true;
                mw_entry_disconnected(&entry->ctx, entry->entry,
                                      cluster->now_us, &control->name);
            }
        }
    }
}

static void
check_schedulers(struct cluster *cluster)
{
    int leaders[MW_ZONES_MAX] = {0};

    for (int i = 0; i < cluster->count; i++) {
        struct node *node = &cluster->nodes[i];
        int zone = zone_index(cluster, &node->zone);
        uint64_t version;

        if (node->kind != CONTROL || !node->up || node->frozen ||
            !mw_control_is_leader(node->control, MW_GROUP_ZONE,
                                  cluster->now_us)) {
            continue;
        }
        leaders[zone]++;
        version = mw_zone_document_version(mw_control_get_zone(node->control));
        if (version < cluster->version[zone]) {
            g_string_append_printf(cluster->fault,
                                   "document version went back to %d; ",
                                   (int)version);
        }
        cluster->version[zone] = MAX(cluster->version[zone], version);
        bool out =
            mw_zone_is_out_of_service(mw_control_get_zone(node->control));

        if (out && cluster->out_since_us[zone] == 0) {
            cluster->out_since_us[zone] = cluster->now_us;
        }
        else if (!out) {
            cluster->out_since_us[zone] = 0;
        }
    }
    for (guint z = 0; z < cluster->zones->len; z++) {
        if (leaders[z] > 1) {
            g_string_append(cluster->fault, "two schedulers in a zone; ");
        }
    }
}

static void
step(struct cluster *cluster)
{
    cluster->now_us += STEP_US;
    deliver(cluster);
    for (int i = 0; i < cluster->count; i++) {
        step_node(&cluster->nodes[i]);
    }
    close_cut_connections(cluster);
    check_schedulers(cluster);
}

static void
advance(struct cluster *cluster, int64_t ms)
{
    for (int64_t i = 0; i < ms * 1000 / STEP_US; i++) {
        step(cluster);
    }
}

static void *
begin(void)
{
    struct cluster *cluster = g_new0(struct cluster, 1);

    cluster->packets = g_ptr_array_new_with_free_func(free_packet);
    cluster->request_states =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cluster->requests_by_handle =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    cluster->fault = g_string_new(NULL);
    cluster->zones = g_ptr_array_new_with_free_func(g_free);
    cluster->rand = g_rand_new_with_seed(1);
    cluster->now_us = 10000000;
    cluster->next_incarnation = 100;
    return cluster;
}

static void
end(void *state)
{
    struct cluster *cluster = state;

    for (int i = 0; i < cluster->count; i++) {
        struct node *node = &cluster->nodes[i];

        mw_drop_control(node->control);
        mw_drop_entry(node->entry);
        g_ptr_array_unref(node->attempts);
        g_hash_table_unref(node->ended_attempts);
        for (int g = 0; g < MW_GROUPS; g++) {
            g_ptr_array_unref(node->stored[g]);
        }
    }
    g_ptr_array_unref(cluster->packets);
    g_ptr_array_unref(cluster->zones);
    g_hash_table_unref(cluster->request_states);
    g_hash_table_unref(cluster->requests_by_handle);
    g_string_free(cluster->fault, TRUE);
    g_rand_free(cluster->rand);
    g_free(cluster);
}

static void
add_node(struct cluster *cluster, enum node_kind kind, const char *zone,
         const char *name, bool disk)
{
    struct node *node = &cluster->nodes[cluster->count];

    node->cluster = cluster;
    node->index = cluster->count++;
    node->kind = kind;
    node->name = mw_name_from(name);
    node->zone = mw_name_from(zone);
    node->disk = disk;
    node->attempts = g_ptr_array_new_with_free_func(free_attempt);
    node->ended_attempts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int g = 0; g < MW_GROUPS; g++) {
        node->stored[g] =
            g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_blob);
    }
    zone_index(cluster, &node->zone);
}

/*
 * zone NAME vms=N endpoints=N: each VM has a control process and an entry
 * process; the first VM has a disk.
 */
static void
add_zone(struct cluster *cluster, const char *zone, int vms, int endpoints)
{
    for (int i = 1; i <= vms; i++) {
        char *control = g_strdup_printf("c-%s-%d", zone, i);
        char *entry = g_strdup_printf("e-%s-%d", zone, i);

        add_node(cluster, CONTROL, zone, control, i == 1);
        add_node(cluster, ENTRY, zone, entry, false);
        g_free(control);
        g_free(entry);
    }
    for (int i = 1; i <= endpoints; i++) {
        char *endpoint = g_strdup_printf("w-%s-%d", zone, i);

        add_node(cluster, ENDPOINT, zone, endpoint, false);
        g_free(endpoint);
    }
}

static void
cmd_zone(struct mw_script *s)
{
    add_zone(s->state, mw_script_word(s, 1),
             (int)mw_script_option_int(s, "vms", 2),
             (int)mw_script_option_int(s, "endpoints", 2));
}

static void
say_fault(struct mw_script *s)
{
    struct cluster *cluster = s->state;

    if (cluster->fault->len > 0) {
        mw_script_printf(s, "FAULT: %s", cluster->fault->str);
        g_string_set_size(cluster->fault, 0);
    }
}

static void
cmd_start_all(struct mw_script *s)
{
    struct cluster *cluster = s->state;

    for (int i = 0; i < cluster->count; i++) {
        start_node(&cluster->nodes[i]);
    }
}

static void
cmd_run(struct mw_script *s)
{
    struct cluster *cluster = s->state;

    cluster->script = s;
    advance(cluster, g_ascii_strtoll(mw_script_word(s, 1), NULL, 10));
    say_fault(s);
}

static struct node *
node_at_word(struct mw_script *s, int word)
{
    struct cluster *cluster = s->state;
    struct mw_name name = mw_name_from(mw_script_word(s, word));
    struct node *node = find_node(cluster, &name);

    if (!node) {
        mw_script_printf(s, "no node %s", mw_script_word(s, word));
    }
    return node;
}

static struct mw_document *
make_document(struct cluster *cluster, int version, int queued)
{
    GString *text = g_string_new(NULL);
    struct mw_context ctx = {0};
    int err = 0;

    g_string_append_printf(text, "{\"version\":%d,\"zones\":[", version);
    for (guint i = 0; i < cluster->zones->len; i++) {
        const struct mw_name *zone = cluster->zones->pdata[i];

        g_string_append_printf(
            text, "%s{\"name\":\"%.*s\",\"entry\":\"e-%.*s-1\"}", i ? "," : "",
            MW_FMT(mw_name_str(zone)), MW_FMT(mw_name_str(zone)));
    }
    g_string_append_printf(text,
                           "],\"organisations\":[{\"name\":\"mayo\","
                           "\"queued_max\":%d,\"token_sha256\":\"%064d\"}]}",
                           queued, 0);
    struct mw_document *doc =
        mw_parse_document(&ctx, (struct mw_str){text->str, text->len}, &err);

    g_string_free(text, TRUE);
    return doc;
}

static void
change(struct cluster *cluster, struct node *entry, struct mw_change *change)
{
    if (entry && entry->up && !entry->frozen) {
        mw_entry_change(&entry->ctx, entry->entry, cluster->now_us,
                        ++cluster->next_handle, change);
    }
}

/* change ENTRY try VERSION | promote VERSION | out ZONE | in ZONE */
static void
cmd_change(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    struct node *entry = node_at_word(s, 1);
    const char *what = mw_script_word(s, 2);
    struct mw_change c = {
        .operator= mw_name_from(mw_script_option(s, "as", "aline"))};

    cluster->script = s;
    if (strcmp(what, "try") == 0) {
        c.kind = MW_CHANGE_TRY;
        c.document = make_document(
            cluster, (int)g_ascii_strtoll(mw_script_word(s, 3), NULL, 10),
            (int)mw_script_option_int(s, "queued", 100));
    }
    else if (strcmp(what, "promote") == 0) {
        c.kind = MW_CHANGE_PROMOTE;
        c.version = (uint64_t)g_ascii_strtoll(mw_script_word(s, 3), NULL, 10);
    }
    else {
        c.kind = MW_CHANGE_ZONE;
        c.out = strcmp(what, "out") == 0;
        c.zone = mw_name_from(mw_script_word(s, 3));
    }
    change(cluster, entry, &c);
    mw_drop_document(c.document);
}

static void
submit(struct cluster *cluster, struct node *entry, const char *request,
       const struct mw_job_spec *spec, int64_t ms)
{
    uint64_t *handle = g_new(uint64_t, 1);
    char *body = g_strdup_printf("%s;%d", request, (int)ms);
    struct mw_blob *blob = mw_new_blob(mw_str_from(body));
    char token[MW_TOKEN_HASH_LEN] = {0};

    g_free(body);
    *handle = ++cluster->next_handle;
    g_hash_table_insert(cluster->requests_by_handle, handle,
                        g_strdup(request));
    /* sent anew: an earlier "not run" does not hold for this request */
    get_request_state(cluster, request)->not_run = false;
    if (entry && entry->up && !entry->frozen) {
        mw_entry_submit(&entry->ctx, entry->entry, cluster->now_us, *handle,
                        (struct mw_str){token, sizeof token}, spec, blob);
    }
    mw_drop_blob(blob);
}

static void
cmd_submit(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    struct mw_job_spec spec = {
        .key = {mw_name_from("mayo"), mw_name_from(mw_script_word(s, 2))},
        .shape = {(uint32_t)mw_script_option_int(s, "tasks", 1),
                  {(uint32_t)mw_script_option_int(s, "accelerators", 1), 1, 1,
                   64},
                  MW_ADJACENT_ZONE},
        .priority = MW_NORMAL,
        .idempotent = mw_script_option(s, "idempotent", "yes")[0] == 'y',
        .checkpoint = mw_script_option(s, "checkpoint", "no")[0] == 'y',
        .wait = mw_script_option(s, "wait", "yes")[0] == 'y',
    };

    cluster->script = s;
    spec.priority = spec.wait && spec.idempotent ? MW_URGENT : MW_NORMAL;
    spec.deadline_us =
        cluster->now_us + mw_script_option_int(s, "deadline", 10000) * 1000;
    submit(cluster, node_at_word(s, 1), mw_script_word(s, 2), &spec,
           mw_script_option_int(s, "ms", 20));
}

static void
query_or_cancel(struct mw_script *s, bool cancel)
{
    struct cluster *cluster = s->state;
    struct node *entry = node_at_word(s, 1);
    uint64_t *handle = g_new(uint64_t, 1);
    char token[MW_TOKEN_HASH_LEN] = {0};
    struct mw_job_key key = {mw_name_from("mayo"),
                             mw_name_from(mw_script_word(s, 2))};

    cluster->script = s;
    *handle = ++cluster->next_handle;
    g_hash_table_insert(cluster->requests_by_handle, handle,
                        g_strdup(mw_script_word(s, 2)));
    if (entry && entry->up) {
        mw_entry_query(&entry->ctx, entry->entry, cluster->now_us, *handle,
                       (struct mw_str){token, sizeof token}, &key, cancel,
                       cancel, cluster->now_us + 5000000);
    }
}

static void
cmd_query(struct mw_script *s)
{
    query_or_cancel(s, false);
}

static void
cmd_cancel(struct mw_script *s)
{
    query_or_cancel(s, true);
}

static void
cmd_crash(struct mw_script *s)
{
    struct node *node = node_at_word(s, 1);

    if (node && node->up) {
        crash_node(node);
    }
}

static void
cmd_lose_disk(struct mw_script *s)
{
    struct node *node = node_at_word(s, 1);

    if (node) {
        lose_disk(node);
    }
}

static void
cmd_start(struct mw_script *s)
{
    struct node *node = node_at_word(s, 1);

    if (node) {
        start_node(node);
    }
}

static void
cmd_freeze(struct mw_script *s)
{
    struct node *node = node_at_word(s, 1);

    if (node) {
        node->frozen = true;
    }
}

static void
cmd_thaw(struct mw_script *s)
{
    struct node *node = node_at_word(s, 1);

    if (node) {
        node->frozen = false;
    }
}

/* drain NODE: an endpoint takes nothing new, a process shuts down gracefully
 */
static void
cmd_drain(struct mw_script *s)
{
    struct node *node = node_at_word(s, 1);

    if (node && node->kind == ENDPOINT) {
        node->draining = true;
        node->announce_deadline_us = 0;
    }
    else if (node && node->kind == ENTRY) {
        mw_entry_leave(node->entry);
    }
    else if (node) {
        mw_control_leave(&node->ctx, node->control, node->cluster->now_us);
    }
}

static bool
matches(const struct node *node, const char *word)
{
    struct mw_str text = mw_str_from(word);

    return mw_str_equal(mw_name_str(&node->name), text) ||
           mw_str_equal(mw_name_str(&node->zone), text);
}

/* cut A B [oneway]: A and B are nodes or whole zones; B may be "rest" */
static void
cmd_cut(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    bool oneway = strcmp(mw_script_word(s, 3), "oneway") == 0;
    bool rest = strcmp(mw_script_word(s, 2), "rest") == 0;

    for (int a = 0; a < cluster->count; a++) {
        for (int b = 0; b < cluster->count; b++) {
            bool in_a = matches(&cluster->nodes[a], mw_script_word(s, 1));
            bool in_b =
                rest ? !matches(&cluster->nodes[b], mw_script_word(s, 1))
                     : matches(&cluster->nodes[b], mw_script_word(s, 2));

            if (in_a && in_b && a != b) {
                cluster->cut[a][b] = true;
                cluster->cut[b][a] |= !oneway;
            }
        }
    }
}

/* hold A B on|off: the link of two nodes holds messages back, then passes them
 * on */
static void
cmd_hold(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    const struct node *a = node_at_word(s, 1);
    const struct node *b = node_at_word(s, 2);
    bool held = strcmp(mw_script_word(s, 3), "on") == 0;

    cluster->held[a->index][b->index] = held;
    cluster->held[b->index][a->index] = held;
}

static void
cmd_heal(struct mw_script *s)
{
    struct cluster *cluster = s->state;

    memset(cluster->cut, 0, sizeof cluster->cut);
}

static void
cmd_show(struct mw_script *s)
{
    struct cluster *cluster = s->state;

    for (int i = 0; i < cluster->count; i++) {
        struct node *node = &cluster->nodes[i];
        struct mw_log_status status;

        if (node->kind != CONTROL) {
            continue;
        }
        if (!node->up) {
            mw_script_printf(s, "  %.*s down",
                             MW_FMT(mw_name_str(&node->name)));
            continue;
        }
        mw_control_get_log_status(node->control, MW_GROUP_ZONE, &status);
        mw_script_printf(
            s, "  %.*s %s%s voters=%u version=%d %s",
            MW_FMT(mw_name_str(&node->name)),
            mw_control_is_leader(node->control, MW_GROUP_ZONE, cluster->now_us)
                ? "zone leader"
                : "follower",
            mw_control_is_leader(node->control, MW_GROUP_REGION,
                                 cluster->now_us)
                ? ", region leader"
                : "",
            status.voter_count,
            (int)mw_zone_document_version(mw_control_get_zone(node->control)),
            mw_zone_is_out_of_service(mw_control_get_zone(node->control))
                ? "out"
                : "in");
    }
}

static void
cmd_starts(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    struct request_state *request_state =
        get_request_state(cluster, mw_script_word(s, 1));

    mw_script_printf(s, "  %s started %u times", mw_script_word(s, 1),
                     request_state->starts);
}

/* Checks that the client of each accepted job can learn how it ended. */
static void
check_accepted_ended(struct cluster *cluster)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, cluster->request_states);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct request_state *request_state = value;

        if (request_state->accepted && !request_state->done &&
            !request_state->not_run) {
            g_string_append_printf(
                cluster->fault, "%s accepted but never ended; ", (char *)key);
        }
    }
}

static struct node *
random_node(struct cluster *cluster, int kind)
{
    for (int i = 0; i < 200; i++) {
        int at = g_rand_int_range(cluster->rand, 0, cluster->count);
        struct node *node = &cluster->nodes[at];

        if (kind < 0 || (int)node->kind == kind) {
            return node;
        }
    }
    return &cluster->nodes[0];
}

static void
random_submit(struct cluster *cluster)
{
    bool resend = cluster->request_count > 0 &&
                  g_rand_int_range(cluster->rand, 0, 3) == 0;
    unsigned n = resend ? (unsigned)g_rand_int_range(
                              cluster->rand, 0, (gint32)cluster->request_count)
                        : cluster->request_count++;
    char *name = g_strdup_printf("r%u", n);
    /* the kind of job is derived from the number, so that resends agree */
    struct mw_job_spec spec = {
        .key = {mw_name_from("mayo"), mw_name_from(name)},
        .shape = {1 + n % 3 / 2, {1 + n % 4, 1, 1, 64}, MW_ADJACENT_ZONE},
        .priority = MW_NORMAL,
        .idempotent = n % 2 == 0,
        .checkpoint = n % 4 == 0,
        .wait = n % 3 != 0,
        .deadline_us = cluster->now_us + 8000000,
    };

    /* an unrecorded job would run again for a resend; resend others only */
    if (!resend || mw_spec_is_recorded(&spec)) {
        submit(cluster, random_node(cluster, ENTRY), name, &spec,
               20 + n % 5 * 400);
    }
    g_free(name);
}

/*
 * Injects a random fault that the design tolerates: at most one control
 * process is down or frozen at a time.
 */
static void
inject_random_fault(struct cluster *cluster)
{
    struct node *node = random_node(cluster, -1);
    struct node *other = random_node(cluster, -1);
    struct mw_change c = {.kind = MW_CHANGE_ZONE,
                          .operator= mw_name_from("x"),
                          .zone = node->zone,
                          .out = g_rand_boolean(cluster->rand)};
    bool control_fault = false;

    for (int i = 0; i < cluster->count; i++) {
        struct node *n = &cluster->nodes[i];

        control_fault |= n->kind == CONTROL && (!n->up || n->frozen);
    }
    switch (g_rand_int_range(cluster->rand, 0, 9)) {
    case 0:
    case 1:
        if (node->up && (node->kind != CONTROL || !control_fault)) {
            crash_node(node);
        }
        break;
    case 2:
        node->frozen = node->up && (node->kind != CONTROL || !control_fault);
        break;
    case 3:
        cluster->cut[node->index][other->index] = true;
        cluster->cut[other->index][node->index] =
            g_rand_boolean(cluster->rand);
        break;
    case 4:
        change(cluster, random_node(cluster, ENTRY), &c);
        break;
    default:
        memset(cluster->cut, 0, sizeof cluster->cut);
        for (int i = 0; i < cluster->count; i++) {
            cluster->nodes[i].frozen = false;
            start_node(&cluster->nodes[i]);
        }
        break;
    }
}

static void
promote_document(struct cluster *cluster, uint64_t version)
{
    struct node *entry = random_node(cluster, ENTRY);
    struct mw_change c = {.kind = MW_CHANGE_TRY, .operator= mw_name_from("x")};

    c.document = make_document(cluster, (int)version, 100);
    change(cluster, entry, &c);
    mw_drop_document(c.document);
    advance(cluster, 2500);
    c = (struct mw_change){.kind = MW_CHANGE_PROMOTE,
                           .operator= mw_name_from("x"),
                           .version = version};
    change(cluster, entry, &c);
    advance(cluster, 1500);
}

/* Ends all faults, queries every job and checks that it has ended. */
static void
recover_and_check(struct mw_script *s, struct cluster *cluster)
{
    struct node *entry;

    memset(cluster->cut, 0, sizeof cluster->cut);
    for (int i = 0; i < cluster->count; i++) {
        cluster->nodes[i].frozen = false;
        start_node(&cluster->nodes[i]);
    }
    for (guint z = 0; z < cluster->zones->len; z++) {
        struct mw_change c = {.kind = MW_CHANGE_ZONE,
                              .operator= mw_name_from("x"),
                              .zone =
                                  *(struct mw_name *)cluster->zones->pdata[z]};

        change(cluster, random_node(cluster, ENTRY), &c);
    }
    advance(cluster, 40000);
    entry = random_node(cluster, ENTRY);
    for (unsigned n = 0; n < cluster->request_count; n++) {
        struct mw_script inner = {
            .out = s->out, .word_count = 3, .state = cluster};

        inner.words[1] = g_strndup(entry->name.ptr, entry->name.len);
        inner.words[2] = g_strdup_printf("r%u", n);
        query_or_cancel(&inner, false);
        g_free(inner.words[1]);
        g_free(inner.words[2]);
    }
    advance(cluster, 6000);
    check_accepted_ended(cluster);
}

static bool
run_seed(struct mw_script *s, uint32_t seed, int steps)
{
    struct cluster *cluster = begin();
    struct cluster *outer = s->state;
    bool passed;

    cluster->script = s;
    cluster->quiet = true;
    g_rand_set_seed(cluster->rand, seed);
    add_zone(cluster, "za", 3, 2);
    add_zone(cluster, "zb", 2, 2);
    add_zone(cluster, "zc", 2, 2);
    for (int i = 0; i < cluster->count; i++) {
        start_node(&cluster->nodes[i]);
    }
    advance(cluster, 6000);
    promote_document(cluster, 1);
    cluster->chaos = true;
    for (int i = 0; i < steps && cluster->fault->len == 0; i++) {
        step(cluster);
        if (g_rand_int_range(cluster->rand, 0, 100) == 0) {
            inject_random_fault(cluster);
        }
        if (g_rand_int_range(cluster->rand, 0, 20) == 0) {
            random_submit(cluster);
        }
    }
    if (cluster->fault->len == 0) {
        recover_and_check(s, cluster);
    }
    passed = cluster->fault->len == 0;
    if (!passed) {
        mw_script_printf(s, "seed %u: FAULT at %d ms: %s", seed,
                         (int)((cluster->now_us - 10000000) / 1000),
                         cluster->fault->str);
    }
    outer->reply_count += cluster->reply_count;
    end(cluster);
    return passed;
}

/* Runs seeded clusters with random faults; MW_SEEDS sets how many. */
static void
cmd_seeds(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    const char *seed_count = g_getenv("MW_SEEDS");
    int64_t count = seed_count ? g_ascii_strtoll(seed_count, NULL, 10)
                               : mw_script_option_int(s, "count", 5);
    int64_t from = mw_script_option_int(s, "from", 1);
    int faults = 0;

    for (int64_t i = 0; i < count; i++) {
        faults += !run_seed(s, (uint32_t)(from + i),
                            (int)mw_script_option_int(s, "steps", 2000));
    }
    mw_script_printf(s, "%d faults, %s", faults,
                     cluster->reply_count > 0 ? "clients got replies"
                                              : "no client got a reply");
}

static const struct mw_script_command commands[] = {
    {"zone", 1, cmd_zone},
    {"start-all", 0, cmd_start_all},
    {"run", 1, cmd_run},
    {"change", 3, cmd_change},
    {"submit", 2, cmd_submit},
    {"query", 2, cmd_query},
    {"cancel", 2, cmd_cancel},
    {"crash", 1, cmd_crash},
    {"lose-disk", 1, cmd_lose_disk},
    {"start", 1, cmd_start},
    {"freeze", 1, cmd_freeze},
    {"thaw", 1, cmd_thaw},
    {"cut", 2, cmd_cut},
    {"hold", 3, cmd_hold},
    {"heal", 0, cmd_heal},
    {"drain", 1, cmd_drain},
    {"show", 0, cmd_show},
    {"starts", 1, cmd_starts},
    {"seeds", 0, cmd_seeds},
    {NULL, 0, NULL},
};

const struct mw_script_kind mw_world_scripts = {"world", commands, begin, end};
