/*
 * log-cluster: members of a replicated log in simulated time.
 */
#include "log-cluster.h"

#include <string.h>

#include "mimosawind/link-choice.h"

#define LATENCY_US 1000
#define US_PER_S 1000000
/* bytes of a message without entries */
#define EMPTY_MSG_BYTES 100

/* A message in flight between two members. */
struct packet {
    int from;
    int to;
    int64_t arrival_us;
    uint64_t bytes;
    struct mw_log_msg msg;
};

static void
free_packet(void *data)
{
    struct packet *packet = data;

    mw_log_msg_clear(&packet->msg);
    g_free(packet);
}

int
mw_find_cluster_member(struct mw_cluster *cluster, const struct mw_name *name)
{
    for (int i = 0; i < cluster->count; i++) {
        if (mw_name_equal(&cluster->members[i].name, name)) {
            return i;
        }
    }
    return -1;
}

static uint64_t
msg_bytes(const struct mw_log_msg *msg)
{
    uint64_t bytes = EMPTY_MSG_BYTES;

    for (uint32_t i = 0; i < msg->entry_count; i++) {
        bytes += mw_record_size(msg->entries[i].record);
    }
    return bytes;
}

/* Time until a link of limited rate has carried so many more bytes. */
static int64_t
transmission_us(struct mw_cluster *cluster, struct mw_cluster_member *to,
                uint64_t bytes)
{
    if (to->link_rate == 0) {
        return 0;
    }
    to->link_free_us = MAX(to->link_free_us, cluster->now_us) +
                       (int64_t)(bytes * US_PER_S / to->link_rate);
    return to->link_free_us - cluster->now_us;
}

/* As the product's links do, drops messages once too many bytes wait. */
static void
schedule_packet(struct mw_cluster *cluster, int from, int to,
                const struct mw_log_msg *msg, int64_t delay_us)
{
    struct mw_cluster_member *target = &cluster->members[to];
    struct packet *packet;

    if (!mw_may_queue_msg(MW_MSG_LOG, target->waiting_bytes)) {
        return;
    }
    packet = g_new0(struct packet, 1);
    packet->from = from;
    packet->to = to;
    packet->bytes = msg_bytes(msg);
    packet->arrival_us = cluster->now_us + delay_us +
                         transmission_us(cluster, target, packet->bytes);
    mw_log_msg_copy(&packet->msg, msg);
    g_ptr_array_add(cluster->packets, packet);
    target->waiting_bytes += packet->bytes;
    target->most_waiting_bytes =
        MAX(target->most_waiting_bytes, target->waiting_bytes);
}

static void
member_send(void *opaque, const struct mw_name *to,
            const struct mw_log_msg *msg)
{
    struct mw_cluster_member *m = opaque;
    struct mw_cluster *cluster = m->cluster;
    int target = mw_find_cluster_member(cluster, to);
    int64_t delay = LATENCY_US;

    m->largest_msg_bytes = MAX(m->largest_msg_bytes, msg_bytes(msg));
    if (target < 0 || cluster->cut[m->index][target]) {
        return;
    }
    if (cluster->chaos) {
        if (g_rand_int_range(cluster->rand, 0, 20) == 0) {
            return;
        }
        delay = g_rand_int_range(cluster->rand, 500, 40000);
        if (g_rand_int_range(cluster->rand, 0, 20) == 0) {
            schedule_packet(cluster, m->index, target, msg, delay * 3);
        }
    }
    schedule_packet(cluster, m->index, target, msg, delay);
}

static void
member_store(void *opaque, const struct mw_stored_item *item)
{
    struct mw_cluster_member *m = opaque;

    m->sequence = item->sequence;
    g_ptr_array_add(m->stored, mw_encode_stored(item));
}

/* config_change: a committed record that changes the configuration. */
struct config_change {
    uint64_t index;
    struct mw_record *record;
};

static void
free_config_change(void *data)
{
    struct config_change *change = data;

    mw_drop_record(change->record);
    g_free(change);
}

/* Not what a snapshot has, whose records are at the index that it covers. */
static void
note_config_change(struct mw_cluster_member *m, uint64_t index,
                   struct mw_record *record)
{
    GPtrArray *changes = m->cluster->config_changes;
    const struct config_change *last =
        changes->len > 0 ? changes->pdata[changes->len - 1] : NULL;
    struct config_change *change;
    struct mw_log_status status;

    mw_log_get_status(m->log, &status);
    if (index == status.snapshot_index || (last && last->index >= index)) {
        return;
    }
    change = g_new0(struct config_change, 1);
    change->index = index;
    change->record = mw_keep_record(record);
    g_ptr_array_add(changes, change);
}

static void
member_apply(void *opaque, uint64_t index, struct mw_record *record)
{
    struct mw_cluster_member *m = opaque;

    if (record->kind == MW_RECORD_ADMIT || record->kind == MW_RECORD_MEMBER) {
        note_config_change(m, index, record);
    }
    if (record->kind == MW_RECORD_CONFIG) {
        mw_drop_record(m->config);
        m->config = mw_keep_record(record);
    }
    if (record->kind != MW_RECORD_FORGET) {
        return;
    }
    uint64_t value = record->forget.job;

    g_array_append_val(m->values, value);
}

static void
member_reset(void *opaque)
{
    struct mw_cluster_member *m = opaque;

    g_array_set_size(m->values, 0);
    g_clear_pointer(&m->config, mw_drop_record);
}

static void
member_snapshot(void *opaque, void *out,
                void (*add)(void *out, struct mw_record *record))
{
    struct mw_cluster_member *m = opaque;

    if (m->config) {
        add(out, m->config);
    }
    for (guint i = 0; i < m->values->len; i++) {
        struct mw_record *record = mw_new_record(MW_RECORD_FORGET);

        record->forget.job = g_array_index(m->values, uint64_t, i);
        add(out, record);
        mw_drop_record(record);
    }
}

/*
 * Size of the configuration that a member is created with: a founding member
 * is given the founding members, any other process is given all members.
 */
static int
initial_member_count(const struct mw_cluster_member *m)
{
    int founding_member_count = m->cluster->founding_member_count;

    return founding_member_count > 0 && m->index < founding_member_count
               ? founding_member_count
               : MIN(m->cluster->count, MW_MEMBERS_MAX);
}

/*
 * Whether a member that starts now is told whose the slots are.  Outside the
 * simulation it learns this from the leader's heartbeats, as in seeds.
 */
static bool
must_fill_slots(const struct mw_cluster *cluster)
{
    return cluster->founding_member_count > 0 &&
           cluster->now_us > MW_CLUSTER_START_US && !cluster->chaos &&
           cluster->count <= MW_MEMBERS_MAX;
}

static void
create_log(struct mw_cluster_member *m)
{
    struct mw_cluster *cluster = m->cluster;
    struct mw_log_setup setup = {
        .self = m->name,
        .member_count = (uint32_t)initial_member_count(m),
        .founding_count = (uint32_t)cluster->founding_member_count,
        .target_member_count = cluster->target_member_count,
        .incarnation = m->incarnation,
        .compact_after = cluster->compact_after,
        .compact_bytes = cluster->compact_bytes,
        .seed = (uint32_t)(m->index * 7919 + (int)m->incarnation),
        .now_us = cluster->now_us,
        .output = {m, member_send, member_store, member_apply, member_reset,
                   member_snapshot},
    };

    for (int i = 0; i < initial_member_count(m); i++) {
        setup.members[i].name = cluster->members[i].name;
        setup.members[i].disk = cluster->members[i].disk;
    }
    if (m->slot_count > 0) {
        setup.member_count = m->slot_count;
        for (uint32_t i = 0; i < m->slot_count; i++) {
            setup.members[i] = (struct mw_member){m->slots[i], true};
        }
    }
    member_reset(m);
    m->log = mw_new_log(&setup);
}

static void
note_restored(struct mw_cluster_member *m)
{
    struct mw_log_status status;

    mw_log_get_status(m->log, &status);
    m->most_restored =
        MAX(m->most_restored, status.last_index - status.snapshot_index);
}

static void
replay_stored(struct mw_cluster_member *m)
{
    struct mw_cluster *cluster = m->cluster;

    m->most_restored = 0;
    for (guint i = 0; i < m->stored->len; i++) {
        struct mw_stored_item item;
        struct mw_blob *blob = m->stored->pdata[i];

        if (mw_decode_stored(&cluster->ctx, mw_blob_str(blob), &item) ||
            mw_log_restore(&cluster->ctx, m->log, &item)) {
            g_string_append_printf(
                cluster->fault, "member %d: replay of stored items failed; ",
                m->index);
        }
        mw_clear_stored(&item);
        note_restored(m);
    }
    g_ptr_array_set_size(m->stored, (gint)m->stored->len);
    m->synced_count = m->stored->len;
}

/*
 * Whether a member that joins later has a slot.  In seeds, and with more
 * members than slots, it is told by the leader: slots that no record gives
 * must not be known to it.
 */
static bool
has_slot(struct mw_cluster_member *m)
{
    struct mw_cluster *cluster = m->cluster;
    struct mw_cluster_member *leader;
    uint32_t own;

    if ((!cluster->chaos && cluster->count <= MW_MEMBERS_MAX) ||
        (m->index < cluster->founding_member_count && !m->disk_lost) ||
        cluster->founding_member_count == 0 || m->slot_count > 0) {
        return true;
    }
    leader = mw_find_cluster_leader(cluster);
    if (!leader) {
        return false;
    }
    m->slot_count = mw_log_get_members(leader->log, m->slots);
    for (own = 0; own < m->slot_count; own++) {
        if (mw_name_equal(&m->slots[own], &m->name)) {
            return true;
        }
    }
    m->slot_count = 0;
    return false;
}

void
mw_start_cluster_member(struct mw_cluster_member *m)
{
    if (m->up || !has_slot(m)) {
        return;
    }
    if (!m->disk || m->stored->len == 0) {
        bool founding = m->disk && m->incarnation == 0 &&
                        (m->cluster->founding_member_count == 0 ||
                         m->index < m->cluster->founding_member_count);

        m->incarnation = founding ? MW_FOUNDING_INCARNATION
                                  : ++m->cluster->next_incarnation;
    }
    create_log(m);
    if (m->disk) {
        if (m->stored->len == 0) {
            struct mw_stored_item meta = {.kind = MW_STORED_META,
                                          .incarnation = m->incarnation};

            g_ptr_array_add(m->stored, mw_encode_stored(&meta));
        }
        replay_stored(m);
    }
    m->up = true;
    m->frozen = false;
    mw_log_set_writable(&m->cluster->ctx, m->log, m->cluster->now_us,
                        !m->disk_full);
    for (int i = 0; must_fill_slots(m->cluster) && i < m->cluster->count;
         i++) {
        mw_log_fill_slot(m->log, (uint32_t)i, &m->cluster->members[i].name);
    }
}

uint64_t
mw_count_early_elections(const struct mw_cluster_member *m)
{
    struct mw_log_status status;

    mw_log_get_status(m->log, &status);
    return status.counters->early_elections;
}

void
mw_crash_cluster_member(struct mw_cluster_member *m)
{
    if (!m->up) {
        return;
    }
    m->cluster->early_elections += mw_count_early_elections(m);
    mw_drop_log(m->log);
    m->log = NULL;
    m->up = false;
    m->frozen = false;
    /* unsynced items are lost; without a disk, all items */
    g_ptr_array_set_size(m->stored, m->disk ? (gint)m->synced_count : 0);
    m->synced_count = m->stored->len;
}

void
mw_lose_cluster_disk(struct mw_cluster_member *m)
{
    mw_crash_cluster_member(m);
    g_ptr_array_set_size(m->stored, 0);
    m->synced_count = 0;
    m->slot_count = 0;
    m->disk_lost = true;
}

/*
 * Index of the first item that a sync keeps: as on a disk, a snapshot replaces
 * everything before it.
 */
guint
mw_first_kept_item(struct mw_cluster_member *m)
{
    for (guint i = m->stored->len; i > MAX(m->synced_count, 1); i--) {
        struct mw_stored_item item;
        struct mw_blob *blob = m->stored->pdata[i - 1];
        int err = mw_decode_stored(&m->cluster->ctx, mw_blob_str(blob), &item);
        bool is_snapshot = !err && item.kind == MW_STORED_SNAPSHOT;

        mw_clear_stored(&item);
        if (is_snapshot) {
            return i - 1;
        }
    }
    return 0;
}

void
mw_set_cluster_disk_full(struct mw_cluster_member *m, bool full)
{
    m->disk_full = full;
    if (m->up) {
        mw_log_set_writable(&m->cluster->ctx, m->log, m->cluster->now_us,
                            !full);
    }
}

/* Where disks have a size, they refuse what they have no room for. */
static void
check_disk_room(struct mw_cluster_member *m)
{
    uint64_t bytes = 0;

    if (m->cluster->disk_bytes == 0 || !m->up || m->frozen) {
        return;
    }
    for (guint i = mw_first_kept_item(m); i < m->stored->len; i++) {
        bytes += mw_blob_str(m->stored->pdata[i]).len;
    }
    mw_set_cluster_disk_full(m, bytes > m->cluster->disk_bytes);
}

static void
sync_member(struct mw_cluster_member *m)
{
    check_disk_room(m);
    if (m->up && !m->frozen && !m->disk_full && !m->disk_stalled &&
        m->synced_count < m->stored->len) {
        g_ptr_array_remove_range(m->stored, 0, mw_first_kept_item(m));
        m->synced_count = m->stored->len;
        mw_log_synced(&m->cluster->ctx, m->log, m->cluster->now_us,
                      m->sequence);
    }
}

static void
deliver(struct mw_cluster *cluster)
{
    for (guint i = 0; i < cluster->packets->len;) {
        struct packet *packet = cluster->packets->pdata[i];
        struct mw_cluster_member *to = &cluster->members[packet->to];

        if (packet->arrival_us > cluster->now_us || to->frozen) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(cluster->packets, i);
        to->waiting_bytes -= packet->bytes;
        if (to->up && !cluster->cut[packet->from][packet->to]) {
            mw_log_receive(&cluster->ctx, to->log, cluster->now_us,
                           &cluster->members[packet->from].name, &packet->msg);
        }
        free_packet(packet);
    }
}

/* Returns the first acknowledged value that the member lacks, 0 for none. */
static uint64_t
missing_value(const struct mw_cluster_member *m, const GArray *acknowledged)
{
    guint at = 0;

    for (guint k = 0; k < acknowledged->len; k++) {
        uint64_t value = g_array_index(acknowledged, uint64_t, k);

        while (at < m->values->len &&
               g_array_index(m->values, uint64_t, at) != value) {
            at++;
        }
        if (at == m->values->len) {
            return value;
        }
    }
    return 0;
}

static void
check_leaders(struct mw_cluster *cluster)
{
    int leaders = 0;

    for (int i = 0; i < cluster->count; i++) {
        struct mw_cluster_member *m = &cluster->members[i];

        if (!m->up) {
            continue;
        }
        leaders += mw_log_holds_lease(m->log, cluster->now_us);
        if (!mw_log_is_ready_leader(m->log, cluster->now_us)) {
            continue;
        }
        uint64_t value = missing_value(m, cluster->acknowledged);

        if (value) {
            g_string_append_printf(cluster->fault,
                                   "leader %d lacks acknowledged value %d; ",
                                   i, (int)value);
            return;
        }
    }
    if (leaders > 1) {
        g_string_append(cluster->fault, "two members hold the lease; ");
    }
}

static void
check_prefixes(struct mw_cluster *cluster)
{
    for (int i = 1; i < cluster->count; i++) {
        for (int k = 0; k < i; k++) {
            GArray *a = cluster->members[i].values;
            GArray *b = cluster->members[k].values;
            guint len = MIN(a->len, b->len);

            if (cluster->members[i].up && cluster->members[k].up && len > 0 &&
                memcmp(a->data, b->data, len * sizeof(uint64_t)) != 0) {
                g_string_append_printf(cluster->fault,
                                       "%d and %d applied different records; ",
                                       i, k);
                return;
            }
        }
    }
}

static void
expect_change(struct mw_log_config *config, const struct mw_record *record)
{
    bool gives_slot = record->kind == MW_RECORD_MEMBER;
    const struct mw_name *name =
        gives_slot ? &record->member.name : &record->admit.member;

    for (int i = 0; i < MW_MEMBERS_MAX; i++) {
        struct mw_log_slot *slot = &config->slots[i];

        if (gives_slot && record->member.slot == (uint32_t)i) {
            *slot = (struct mw_log_slot){.member = *name};
        }
        else if (mw_name_equal(&slot->member, name)) {
            slot->incarnation = gives_slot ? 0 : record->admit.incarnation;
            slot->member = gives_slot ? (struct mw_name){0} : *name;
        }
    }
}

/* What the committed records up to an index lead to. */
static struct mw_log_config
expected_config(const struct mw_cluster *cluster, uint64_t index)
{
    struct mw_log_config config = {0};

    for (int i = 0; i < cluster->founding_member_count; i++) {
        config.slots[i].member = cluster->members[i].name;
        config.slots[i].incarnation = MW_FOUNDING_INCARNATION;
    }
    for (guint i = 0; i < cluster->config_changes->len; i++) {
        const struct config_change *change = cluster->config_changes->pdata[i];

        if (change->index <= index) {
            expect_change(&config, change->record);
        }
    }
    return config;
}

static bool
is_same_config(const struct mw_log_config *a, const struct mw_log_config *b)
{
    bool is_same = true;

    for (int i = 0; i < MW_MEMBERS_MAX; i++) {
        is_same &= mw_name_equal(&a->slots[i].member, &b->slots[i].member) &&
                   a->slots[i].incarnation == b->slots[i].incarnation;
    }
    return is_same;
}

/* A process that has joined and received nothing yet has no configuration. */
static void
check_configs(struct mw_cluster *cluster)
{
    for (int i = 0; cluster->target_member_count > 0 && i < cluster->count;
         i++) {
        struct mw_cluster_member *m = &cluster->members[i];
        struct mw_log_status status = {0};
        struct mw_log_config expected;

        if (m->up) {
            mw_log_get_status(m->log, &status);
        }
        if (status.commit_index == m->compared_index ||
            status.commit_index == 0) {
            continue;
        }
        m->compared_index = status.commit_index;
        expected = expected_config(cluster, status.commit_index);
        if (!is_same_config(mw_log_get_config(m->log), &expected)) {
            g_string_append_printf(
                cluster->fault, "%d has another configuration at index %d; ",
                i, (int)status.commit_index);
        }
    }
}

/*
 * Counts what a leader has applied as acknowledged, provided that a member
 * with a disk and a second member are admitted: without these the owner of
 * the log acknowledges nothing.
 */
static void
record_acknowledged(struct mw_cluster *cluster)
{
    for (int i = 0; i < cluster->count; i++) {
        struct mw_cluster_member *m = &cluster->members[i];
        struct mw_log_status status;

        if (!m->up || !mw_log_is_ready_leader(m->log, cluster->now_us)) {
            continue;
        }
        mw_log_get_status(m->log, &status);
        for (guint k = 0; k < m->values->len; k++) {
            uint64_t value = g_array_index(m->values, uint64_t, k);

            if (g_hash_table_add(cluster->known_values,
                                 GSIZE_TO_POINTER(value)) &&
                status.disk_voter_count >= 1 && status.voter_count >= 2) {
                g_array_append_val(cluster->acknowledged, value);
            }
        }
    }
}

void
mw_step_cluster(struct mw_cluster *cluster)
{
    cluster->now_us += MW_CLUSTER_STEP_US;
    for (int i = 0; i < cluster->count; i++) {
        struct mw_cluster_member *m = &cluster->members[i];

        if (m->up && !m->frozen &&
            cluster->now_us >= mw_log_deadline(m->log)) {
            mw_log_tick(&cluster->ctx, m->log, cluster->now_us);
        }
    }
    deliver(cluster);
    for (int i = 0; i < cluster->count; i++) {
        if (!cluster->chaos || g_rand_int_range(cluster->rand, 0, 3) > 0) {
            sync_member(&cluster->members[i]);
        }
    }
    check_prefixes(cluster);
    check_configs(cluster);
    check_leaders(cluster);
    record_acknowledged(cluster);
}

struct mw_cluster_member *
mw_find_cluster_leader(struct mw_cluster *cluster)
{
    for (int i = 0; i < cluster->count; i++) {
        struct mw_cluster_member *m = &cluster->members[i];

        if (m->up && !m->frozen &&
            mw_log_is_ready_leader(m->log, cluster->now_us)) {
            return m;
        }
    }
    return NULL;
}

bool
mw_propose_value(struct mw_cluster *cluster, struct mw_cluster_member *m,
                 uint64_t value)
{
    struct mw_record *record = mw_new_record(MW_RECORD_FORGET);
    int err;

    record->forget.job = value;
    err = mw_log_propose(&cluster->ctx, m->log, cluster->now_us, record, NULL);
    mw_drop_record(record);
    mw_log_flush(m->log, cluster->now_us);
    return err == 0;
}

void *
mw_new_cluster(void)
{
    struct mw_cluster *cluster = g_new0(struct mw_cluster, 1);

    cluster->packets = g_ptr_array_new_with_free_func(free_packet);
    cluster->known_values = g_hash_table_new(NULL, NULL);
    cluster->acknowledged = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    cluster->fault = g_string_new(NULL);
    cluster->config_changes =
        g_ptr_array_new_with_free_func(free_config_change);
    cluster->rand = g_rand_new_with_seed(1);
    cluster->next_incarnation = 100;
    cluster->now_us = MW_CLUSTER_START_US;
    return cluster;
}

void
mw_drop_cluster(void *state)
{
    struct mw_cluster *cluster = state;

    for (int i = 0; i < cluster->count; i++) {
        mw_drop_log(cluster->members[i].log);
        g_clear_pointer(&cluster->members[i].config, mw_drop_record);
        g_ptr_array_unref(cluster->members[i].stored);
        g_array_unref(cluster->members[i].values);
    }
    g_ptr_array_unref(cluster->packets);
    g_hash_table_unref(cluster->known_values);
    g_array_unref(cluster->acknowledged);
    g_ptr_array_unref(cluster->config_changes);
    g_string_free(cluster->fault, TRUE);
    g_rand_free(cluster->rand);
    g_free(cluster);
}

void
mw_add_cluster_member(struct mw_cluster *cluster, const char *text)
{
    struct mw_cluster_member *m = &cluster->members[cluster->count];
    char *name = g_strdup(text);
    char *slash = strchr(name, '/');

    m->disk = slash == NULL;
    if (slash) {
        *slash = 0;
    }
    m->cluster = cluster;
    m->index = cluster->count++;
    m->name = mw_name_from(name);
    m->stored = g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_blob);
    m->values = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_free(name);
}

/* Does what the leader's heartbeats do. */
void
mw_tell_slots(struct mw_cluster *cluster,
              const struct mw_cluster_member *leader)
{
    struct mw_name members[MW_MEMBERS_MAX];
    uint32_t count = mw_log_get_members(leader->log, members);

    for (int i = 0; i < cluster->count; i++) {
        struct mw_cluster_member *m = &cluster->members[i];

        for (uint32_t slot = 0; m->up && !m->frozen && slot < count; slot++) {
            mw_log_fill_slot(m->log, slot, &members[slot]);
        }
    }
}
