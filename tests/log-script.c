/*
 * log-script: runs the members of a replicated log in a simulated cluster,
 * driven by a script.
 *
 * The proposed values are numbers in FORGET records.  Three invariants are
 * checked after every step of simulated time: members that applied the same
 * index applied the same record, at most one member holds the leader's lease,
 * and a ready leader has every acknowledged value.
 */
#include <string.h>

#include "mimosawind/link-choice.h"
#include "script.h"

#define MEMBERS_MAX 24
#define STEP_US 10000
#define LATENCY_US 1000
#define US_PER_S 1000000
/* bytes of a message without entries */
#define EMPTY_MSG_BYTES 100

/* simulated time at which the founding members start */
#define START_US 10000000

/* A message in flight between two members. */
struct packet {
    int from;
    int to;
    int64_t arrival_us;
    uint64_t bytes;
    struct mw_log_msg msg;
};

struct member {
    struct cluster *cluster;
    int index;
    struct mw_name name;
    bool disk;
    bool up;
    bool frozen;
    /* its disk refuses writes */
    bool disk_full;
    /* its disk takes writes, and syncs none */
    bool disk_stalled;
    struct mw_log *log;
    uint64_t incarnation;
    /* encoded stored items; a crash keeps the first synced_count of them */
    GPtrArray *stored;
    uint64_t sequence;
    guint synced_count;
    /* most entries in memory at once while the items were read */
    uint64_t most_restored;
    int64_t clock_us;
    /* bytes per second of the link to it; 0 for no limit */
    uint64_t link_rate;
    /* when everything sent to it so far has arrived */
    int64_t link_free_us;
    /* bytes on their way to it, and the most there were */
    uint64_t waiting_bytes;
    uint64_t most_waiting_bytes;
    /* the largest message that it has sent */
    uint64_t largest_msg_bytes;
    /* in seeds, what a member that joins later has stored of the slots */
    struct mw_name slots[MW_MEMBERS_MAX];
    uint32_t slot_count;
    /* the latest configuration, NULL before the first */
    struct mw_record *config;
    GArray *values;
    uint64_t applied_index;
};

struct cluster {
    int count;
    struct member members[MEMBERS_MAX];
    /* whether messages from one member to another are dropped */
    bool cut[MEMBERS_MAX][MEMBERS_MAX];
    GPtrArray *packets;
    /* values that a ready leader has applied */
    GHashTable *known_values;
    /* those of them that the owner of the log would have acknowledged */
    GArray *acknowledged;
    int64_t now_us;
    uint64_t next_incarnation;
    uint64_t next_value;
    GRand *rand;
    GString *fault;
    /* won with an early vote, by members that have ended */
    uint64_t early_elections;
    /* lose, delay and duplicate messages, and delay syncs, at random */
    bool chaos;
    bool keep_disks;
    /* disks fill up and get room again, at random */
    bool fill_disks;
    /* many members restart at once, and leaders hand over, at random */
    bool restart_many;
    /* what each disk has room for, of what no snapshot replaces; 0 for all */
    uint64_t disk_bytes;
    uint32_t compact_after;
    uint64_t compact_bytes;
    /* members of the first configuration; 0 if all members are in it */
    int founding_member_count;
    uint32_t target_member_count;
    struct mw_context ctx;
};

static void
free_packet(void *data)
{
    struct packet *packet = data;

    mw_log_msg_clear(&packet->msg);
    g_free(packet);
}

static int
find_member_index(struct cluster *cluster, const struct mw_name *name)
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
transmission_us(struct cluster *cluster, struct member *to, uint64_t bytes)
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
schedule_packet(struct cluster *cluster, int from, int to,
                const struct mw_log_msg *msg, int64_t delay_us)
{
    struct member *target = &cluster->members[to];
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
    struct member *m = opaque;
    struct cluster *cluster = m->cluster;
    int target = find_member_index(cluster, to);
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
    struct member *m = opaque;

    m->sequence = item->sequence;
    g_ptr_array_add(m->stored, mw_encode_stored(item));
}

static void
member_apply(void *opaque, uint64_t index, struct mw_record *record)
{
    struct member *m = opaque;
    if (record->kind == MW_RECORD_CONFIG) {
        mw_drop_record(m->config);
        m->config = mw_keep_record(record);
    }
    if (record->kind != MW_RECORD_FORGET) {
        return;
    }
    uint64_t value = record->forget.job;

    g_array_append_val(m->values, value);
    m->applied_index = index;
}

static void
member_reset(void *opaque)
{
    struct member *m = opaque;

    g_array_set_size(m->values, 0);
    g_clear_pointer(&m->config, mw_drop_record);
}

static void
member_snapshot(void *opaque, void *out,
                void (*add)(void *out, struct mw_record *record))
{
    struct member *m = opaque;

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
initial_member_count(const struct member *m)
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
must_fill_slots(const struct cluster *cluster)
{
    return cluster->founding_member_count > 0 && cluster->now_us > START_US &&
           !cluster->chaos && cluster->count <= MW_MEMBERS_MAX;
}

static void
create_log(struct member *m)
{
    struct cluster *cluster = m->cluster;
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
note_restored(struct member *m)
{
    struct mw_log_status status;

    mw_log_get_status(m->log, &status);
    m->most_restored =
        MAX(m->most_restored, status.last_index - status.snapshot_index);
}

static void
replay_stored(struct member *m)
{
    struct cluster *cluster = m->cluster;

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

static struct member *find_leader(struct cluster *cluster);

/*
 * Whether a member that joins later has a slot.  In seeds, and with more
 * members than slots, it is told by the leader: slots that no record gives
 * must not be known to it.
 */
static bool
has_slot(struct member *m)
{
    struct cluster *cluster = m->cluster;
    struct member *leader;
    uint32_t own;

    if ((!cluster->chaos && cluster->count <= MW_MEMBERS_MAX) ||
        m->index < cluster->founding_member_count ||
        cluster->founding_member_count == 0 || m->slot_count > 0) {
        return true;
    }
    leader = find_leader(cluster);
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

static void
start_member(struct member *m)
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

static uint64_t
count_early_elections(const struct member *m)
{
    struct mw_log_status status;

    mw_log_get_status(m->log, &status);
    return status.counters->early_elections;
}

static void
crash_member(struct member *m)
{
    if (!m->up) {
        return;
    }
    m->cluster->early_elections += count_early_elections(m);
    mw_drop_log(m->log);
    m->log = NULL;
    m->up = false;
    m->frozen = false;
    /* unsynced items are lost; without a disk, all items */
    g_ptr_array_set_size(m->stored, m->disk ? (gint)m->synced_count : 0);
    m->synced_count = m->stored->len;
}

static void
lose_disk(struct member *m)
{
    crash_member(m);
    g_ptr_array_set_size(m->stored, 0);
    m->synced_count = 0;
}

/*
 * Index of the first item that a sync keeps: as on a disk, a snapshot replaces
 * everything before it.
 */
static guint
first_kept(struct member *m)
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

static void
set_disk_full(struct member *m, bool full)
{
    m->disk_full = full;
    if (m->up) {
        mw_log_set_writable(&m->cluster->ctx, m->log, m->cluster->now_us,
                            !full);
    }
}

/* Where disks have a size, they refuse what they have no room for. */
static void
check_disk_room(struct member *m)
{
    uint64_t bytes = 0;

    if (m->cluster->disk_bytes == 0 || !m->up || m->frozen) {
        return;
    }
    for (guint i = first_kept(m); i < m->stored->len; i++) {
        bytes += mw_blob_str(m->stored->pdata[i]).len;
    }
    set_disk_full(m, bytes > m->cluster->disk_bytes);
}

static void
sync_member(struct member *m)
{
    check_disk_room(m);
    if (m->up && !m->frozen && !m->disk_full && !m->disk_stalled &&
        m->synced_count < m->stored->len) {
        g_ptr_array_remove_range(m->stored, 0, first_kept(m));
        m->synced_count = m->stored->len;
        mw_log_synced(&m->cluster->ctx, m->log, m->cluster->now_us,
                      m->sequence);
    }
}

static void
deliver(struct cluster *cluster)
{
    for (guint i = 0; i < cluster->packets->len;) {
        struct packet *packet = cluster->packets->pdata[i];
        struct member *to = &cluster->members[packet->to];

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
missing_value(const struct member *m, const GArray *acknowledged)
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
check_leaders(struct cluster *cluster)
{
    int leaders = 0;

    for (int i = 0; i < cluster->count; i++) {
        struct member *m = &cluster->members[i];

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
check_prefixes(struct cluster *cluster)
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

/*
 * Counts what a leader has applied as acknowledged, provided that a member
 * with a disk and a second member are admitted: without these the owner of
 * the log acknowledges nothing.
 */
static void
record_acknowledged(struct cluster *cluster)
{
    for (int i = 0; i < cluster->count; i++) {
        struct member *m = &cluster->members[i];
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

static void
step(struct cluster *cluster)
{
    cluster->now_us += STEP_US;
    for (int i = 0; i < cluster->count; i++) {
        struct member *m = &cluster->members[i];

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
    check_leaders(cluster);
    record_acknowledged(cluster);
}

static struct member *
find_leader(struct cluster *cluster)
{
    for (int i = 0; i < cluster->count; i++) {
        struct member *m = &cluster->members[i];

        if (m->up && !m->frozen &&
            mw_log_is_ready_leader(m->log, cluster->now_us)) {
            return m;
        }
    }
    return NULL;
}

static bool
propose(struct cluster *cluster, struct member *m, uint64_t value)
{
    struct mw_record *record = mw_new_record(MW_RECORD_FORGET);
    int err;

    record->forget.job = value;
    err = mw_log_propose(&cluster->ctx, m->log, cluster->now_us, record, NULL);
    mw_drop_record(record);
    mw_log_flush(m->log, cluster->now_us);
    return err == 0;
}

static void *
begin(void)
{
    struct cluster *cluster = g_new0(struct cluster, 1);

    cluster->packets = g_ptr_array_new_with_free_func(free_packet);
    cluster->known_values = g_hash_table_new(NULL, NULL);
    cluster->acknowledged = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    cluster->fault = g_string_new(NULL);
    cluster->rand = g_rand_new_with_seed(1);
    cluster->next_incarnation = 100;
    cluster->now_us = START_US;
    return cluster;
}

static void
end(void *state)
{
    struct cluster *cluster = state;

    for (int i = 0; i < cluster->count; i++) {
        mw_drop_log(cluster->members[i].log);
        g_clear_pointer(&cluster->members[i].config, mw_drop_record);
        g_ptr_array_unref(cluster->members[i].stored);
        g_array_unref(cluster->members[i].values);
    }
    g_ptr_array_unref(cluster->packets);
    g_hash_table_unref(cluster->known_values);
    g_array_unref(cluster->acknowledged);
    g_string_free(cluster->fault, TRUE);
    g_rand_free(cluster->rand);
    g_free(cluster);
}

static void
add_member(struct cluster *cluster, const char *text)
{
    struct member *m = &cluster->members[cluster->count];
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

static struct member *member_at_word(struct mw_script *s, int word);

/* members NAME[/memory]...: a member with /memory has no disk */
static void
cmd_members(struct mw_script *s)
{
    struct cluster *cluster = s->state;

    cluster->compact_after = (uint32_t)mw_script_option_int(s, "compact", 0);
    cluster->compact_bytes =
        (uint64_t)mw_script_option_int(s, "compact-bytes", 0);
    cluster->disk_bytes = (uint64_t)mw_script_option_int(s, "disk-bytes", 0);
    for (int i = 1; i < s->word_count; i++) {
        if (!strchr(s->words[i], '=')) {
            add_member(cluster, s->words[i]);
        }
    }
    cluster->founding_member_count =
        (int)mw_script_option_int(s, "founding", 0);
    cluster->target_member_count =
        (uint32_t)mw_script_option_int(s, "target", 0);
    for (int i = 0; i < cluster->count; i++) {
        if (cluster->founding_member_count == 0 ||
            i < cluster->founding_member_count) {
            start_member(&cluster->members[i]);
        }
    }
}

/* add-learner NAME: offers the leader a process with a disk as a learner */
static void
cmd_add_learner(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    struct member *m = find_leader(cluster);

    if (m) {
        mw_log_add_learner(&cluster->ctx, m->log, cluster->now_us,
                           &member_at_word(s, 1)->name);
    }
}

static struct member *
member_at_word(struct mw_script *s, int word)
{
    struct cluster *cluster = s->state;
    struct mw_name name = mw_name_from(mw_script_word(s, word));
    int index;

    if (strcmp(mw_script_word(s, word), "leader") == 0) {
        struct member *m = find_leader(cluster);

        return m ? m : &cluster->members[0];
    }
    index = find_member_index(cluster, &name);
    return &cluster->members[MAX(index, 0)];
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
cmd_run(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    int64_t steps =
        g_ascii_strtoll(mw_script_word(s, 1), NULL, 10) * 1000 / STEP_US;

    for (int64_t i = 0; i < steps; i++) {
        step(cluster);
    }
    say_fault(s);
}

/* propose [count=N] [every=MS]: values, at once or one after the other */
static void
cmd_propose(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    int64_t count = mw_script_option_int(s, "count", 1);
    int64_t steps = mw_script_option_int(s, "every", 0) * 1000 / STEP_US;
    struct member *m = find_leader(cluster);

    for (int64_t i = 0; m && i < count; i++) {
        propose(cluster, m, ++cluster->next_value);
        for (int64_t n = 0; n < steps; n++) {
            step(cluster);
        }
        m = find_leader(cluster);
    }
    if (!m) {
        mw_script_printf(s, "propose: no leader");
    }
    say_fault(s);
}

/* Returns whether the leader has taken the configuration. */
static bool
propose_config(struct cluster *cluster, uint64_t version, struct mw_str text)
{
    struct member *m = find_leader(cluster);
    struct mw_record *record;
    int err;

    if (!m) {
        return false;
    }
    record = mw_new_record(MW_RECORD_CONFIG);
    record->config.version = version;
    record->config.text = mw_new_blob(text);
    err = mw_log_propose(&cluster->ctx, m->log, cluster->now_us, record, NULL);
    mw_drop_record(record);
    mw_log_flush(m->log, cluster->now_us);
    return err == 0;
}

/*
 * change-config COUNT BYTES [every=MS]: so many configurations of this size,
 * at once or one after the other; says how many of them are refused
 */
static void
cmd_change_config(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    gsize len = (gsize)atoi(mw_script_word(s, 2));
    char *text = g_strnfill(len, 'x');
    int64_t steps = mw_script_option_int(s, "every", 0) * 1000 / STEP_US;
    int refused = 0;

    for (int i = 0; i < atoi(mw_script_word(s, 1)); i++) {
        refused += !propose_config(cluster, (uint64_t)i + 1,
                                   (struct mw_str){text, len});
        for (int64_t n = 0; n < steps; n++) {
            step(cluster);
        }
    }
    if (refused > 0) {
        mw_script_printf(s, "%d refused", refused);
    }
    say_fault(s);
    g_free(text);
}

/*
 * slow-link NAME BYTES: bytes per second of the link to a member; the bytes
 * on their way are counted from then on
 */
static void
cmd_slow_link(struct mw_script *s)
{
    struct member *m = member_at_word(s, 1);

    m->link_rate = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);
    m->most_waiting_bytes = m->waiting_bytes;
}

/* most-waiting NAME BOUND: whether at most BOUND bytes were on their way */
static void
cmd_most_waiting(struct mw_script *s)
{
    struct member *m = member_at_word(s, 1);
    uint64_t bound = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);

    mw_script_printf(s, "%s",
                     m->most_waiting_bytes <= bound
                         ? "few bytes were on their way"
                         : "many bytes were on their way");
    m->most_waiting_bytes = 0;
}

/* largest-message NAME BOUND: whether none that it sent was larger */
static void
cmd_largest_message(struct mw_script *s)
{
    struct member *m = member_at_word(s, 1);
    uint64_t bound = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);

    mw_script_printf(s, "%s",
                     m->largest_msg_bytes <= bound ? "messages are small"
                                                   : "messages are large");
}

static void
cmd_crash(struct mw_script *s)
{
    crash_member(member_at_word(s, 1));
}

static void
cmd_lose_disk(struct mw_script *s)
{
    lose_disk(member_at_word(s, 1));
}

static void
cmd_start(struct mw_script *s)
{
    start_member(member_at_word(s, 1));
}

static void
cmd_freeze(struct mw_script *s)
{
    member_at_word(s, 1)->frozen = true;
}

static void
cmd_thaw(struct mw_script *s)
{
    member_at_word(s, 1)->frozen = false;
}

static void
cmd_disk_full(struct mw_script *s)
{
    set_disk_full(member_at_word(s, 1), true);
}

static void
cmd_disk_free(struct mw_script *s)
{
    set_disk_full(member_at_word(s, 1), false);
}

/* upgrade COMPACT COMPACT_BYTES: what a member takes a snapshot after, from
 * its next start on */
static void
cmd_upgrade(struct mw_script *s)
{
    struct cluster *cluster = s->state;

    cluster->compact_after = (uint32_t)atoi(mw_script_word(s, 1));
    cluster->compact_bytes = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);
}

/* restored NAME BOUND: whether its last start had at most BOUND entries in
 * memory at once */
static void
cmd_restored(struct mw_script *s)
{
    struct member *m = member_at_word(s, 1);
    guint64 bound = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);

    mw_script_printf(s, "%s",
                     m->most_restored <= bound
                         ? "few entries were in memory"
                         : "the whole log was in memory");
}

/* stored NAME BOUND: whether its disk holds at most BOUND items */
static void
cmd_stored(struct mw_script *s)
{
    struct member *m = member_at_word(s, 1);
    guint64 bound = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);

    mw_script_printf(s, "%s",
                     m->stored->len <= bound ? "few items are stored"
                                             : "many items are stored");
}

static void
cmd_disk_stall(struct mw_script *s)
{
    member_at_word(s, 1)->disk_stalled = true;
}

static void
cmd_disk_resume(struct mw_script *s)
{
    member_at_word(s, 1)->disk_stalled = false;
}

/* unsynced NAME BOUND: whether at most BOUND items wait for the disk */
static void
cmd_unsynced(struct mw_script *s)
{
    struct member *m = member_at_word(s, 1);
    gint64 bound = g_ascii_strtoll(mw_script_word(s, 2), NULL, 10);

    mw_script_printf(s, "%s",
                     m->stored->len - m->synced_count <= bound
                         ? "few items wait for the disk"
                         : "many items wait for the disk");
}

/* unsynced-bytes NAME BOUND: whether at most BOUND bytes wait for the disk */
static void
cmd_unsynced_bytes(struct mw_script *s)
{
    struct member *m = member_at_word(s, 1);
    guint64 bound = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);
    uint64_t bytes = 0;

    for (guint i = m->synced_count; i < m->stored->len; i++) {
        bytes += mw_blob_str(m->stored->pdata[i]).len;
    }
    mw_script_printf(s, "%s",
                     bytes <= bound ? "few bytes wait for the disk"
                                    : "many bytes wait for the disk");
}

static void
cmd_cut(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    int a = member_at_word(s, 1)->index;
    int b = member_at_word(s, 2)->index;

    cluster->cut[a][b] = true;
    if (strcmp(mw_script_word(s, 3), "oneway") != 0) {
        cluster->cut[b][a] = true;
    }
}

static void
cmd_isolate(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    int a = member_at_word(s, 1)->index;

    for (int i = 0; i < cluster->count; i++) {
        cluster->cut[a][i] = true;
        cluster->cut[i][a] = true;
    }
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
        struct member *m = &cluster->members[i];
        struct mw_log_status status;

        if (!m->up) {
            mw_script_printf(s, "%.*s down", MW_FMT(mw_name_str(&m->name)));
            continue;
        }
        mw_log_get_status(m->log, &status);
        mw_script_printf(
            s, "%.*s %s%s voters=%u values=%u%s",
            MW_FMT(mw_name_str(&m->name)),
            mw_log_is_ready_leader(m->log, cluster->now_us) ? "leader"
            : mw_log_holds_lease(m->log, cluster->now_us)   ? "holds-lease"
                                                            : "follower",
            status.admitted ? "" : " not-admitted", status.voter_count,
            m->values->len, m->frozen ? " frozen" : "");
    }
}

static void
cmd_has_leader(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    struct member *m = find_leader(cluster);

    mw_script_printf(s, "%s", m ? "has a leader" : "no leader");
}

static void
cmd_counters(struct mw_script *s)
{
    struct member *m = member_at_word(s, 1);
    struct mw_log_status status;

    mw_log_get_status(m->log, &status);
    mw_script_printf(
        s,
        "snapshots taken %s, received %s; admitted %s, removed %s, "
        "leases lost %s",
        status.counters->snapshots_taken ? "yes" : "no",
        status.counters->snapshots_received ? "yes" : "no",
        status.counters->admitted ? "yes" : "no",
        status.counters->removed ? "yes" : "no",
        status.counters->lease_lost ? "yes" : "no");
}

/* early-elections NAME: how many it has won with early votes */
static void
cmd_early_elections(struct mw_script *s)
{
    struct member *m = member_at_word(s, 1);

    mw_script_printf(s, "%d elections with early votes",
                     (int)count_early_elections(m));
}

/* transfer: the leader asks another member to take over */
static void
cmd_transfer(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    struct member *m = find_leader(cluster);

    if (m) {
        mw_log_transfer_leadership(m->log, cluster->now_us);
    }
}

/* Cuts off or freezes a member that may hold a lease, or does neither. */
static void
hide(struct cluster *cluster, struct member *m)
{
    int kind = g_rand_int_range(cluster->rand, 0, 3);

    for (int i = 0; kind == 0 && i < cluster->count; i++) {
        cluster->cut[m->index][i] = cluster->cut[i][m->index] = i != m->index;
    }
    m->frozen = kind == 1;
}

/*
 * Most members restart, some of them a little later than the others; often
 * the leader is out of reach then and does not restart.
 */
static void
restart_many(struct cluster *cluster, struct member *leader)
{
    bool spare = leader && g_rand_boolean(cluster->rand);

    if (spare) {
        hide(cluster, leader);
    }
    for (int i = 0; i < cluster->count; i++) {
        struct member *m = &cluster->members[i];

        if (spare && m == leader) {
            continue;
        }
        if (g_rand_int_range(cluster->rand, 0, 5) > 0) {
            crash_member(m);
        }
        if (g_rand_int_range(cluster->rand, 0, 5) > 0) {
            start_member(m);
        }
    }
}

/* What makes elections with early votes likely, beside the other faults. */
static void
inject_restart(struct cluster *cluster)
{
    int i = g_rand_int_range(cluster->rand, 0, cluster->count);
    struct member *leader = find_leader(cluster);

    if (g_rand_int_range(cluster->rand, 0, 3) > 0) {
        restart_many(cluster, leader);
    }
    else if (leader && g_rand_boolean(cluster->rand)) {
        mw_log_transfer_leadership(leader->log, cluster->now_us);
    }
    else if (leader) {
        mw_log_add_learner(&cluster->ctx, leader->log, cluster->now_us,
                           &cluster->members[i].name);
    }
}

/* Does what the leader's heartbeats do. */
static void
tell_slots(struct cluster *cluster, const struct member *leader)
{
    struct mw_name members[MW_MEMBERS_MAX];
    uint32_t count = mw_log_get_members(leader->log, members);

    for (int i = 0; i < cluster->count; i++) {
        struct member *m = &cluster->members[i];

        for (uint32_t slot = 0; m->up && !m->frozen && slot < count; slot++) {
            mw_log_fill_slot(m->log, slot, &members[slot]);
        }
    }
}

/* Injects a random fault, but never loses more disks than are tolerated. */
static void
inject_random_fault(struct cluster *cluster)
{
    int a = g_rand_int_range(cluster->rand, 0, cluster->count);
    int b = g_rand_int_range(cluster->rand, 0, cluster->count);
    struct member *m = &cluster->members[a];
    int down = 0;

    for (int i = 0; i < cluster->count; i++) {
        struct mw_log_status status = {0};

        if (cluster->members[i].up) {
            mw_log_get_status(cluster->members[i].log, &status);
        }
        down += !cluster->members[i].up || !status.admitted;
    }
    if (cluster->target_member_count > 0) {
        /* spare processes are not admitted */
        down -= cluster->count - (int)cluster->target_member_count;
    }
    if (cluster->restart_many && g_rand_boolean(cluster->rand)) {
        inject_restart(cluster);
        return;
    }
    if (cluster->fill_disks && g_rand_boolean(cluster->rand)) {
        set_disk_full(m, !m->disk_full);
        return;
    }
    switch (g_rand_int_range(cluster->rand, 0, 8)) {
    case 0:
        crash_member(m);
        break;
    case 1:
        /* no disk is lost while a member is down or not readmitted */
        if (down <= 0 && !cluster->keep_disks) {
            lose_disk(m);
        }
        break;
    case 2:
        cluster->cut[a][b] = a != b;
        break;
    case 3:
        cluster->cut[a][b] = cluster->cut[b][a] = a != b;
        break;
    case 4:
        memset(cluster->cut, 0, sizeof cluster->cut);
        break;
    case 5:
        m->frozen = m->up;
        break;
    default:
        for (int i = 0; i < cluster->count; i++) {
            cluster->members[i].frozen = false;
            start_member(&cluster->members[i]);
        }
        break;
    }
}

static bool
run_seed(struct mw_script *s, uint32_t seed, int steps)
{
    struct cluster *outer = s->state;
    struct cluster *cluster = begin();
    bool passed = true;

    g_rand_set_seed(cluster->rand, seed);
    cluster->chaos = true;
    cluster->keep_disks = mw_script_option_int(s, "keep-disks", 0) != 0;
    cluster->fill_disks = mw_script_option_int(s, "fill-disks", 0) != 0;
    cluster->restart_many = mw_script_option_int(s, "restart-many", 0) != 0;
    cluster->founding_member_count =
        (int)mw_script_option_int(s, "founding", 0);
    cluster->target_member_count =
        (uint32_t)mw_script_option_int(s, "target", 0);
    cluster->compact_after = outer->compact_after;
    for (int i = 1; i < s->word_count; i++) {
        if (!strchr(s->words[i], '=')) {
            add_member(cluster, s->words[i]);
        }
    }
    for (int i = 0; i < cluster->count; i++) {
        start_member(&cluster->members[i]);
    }
    for (int i = 0; i < steps && cluster->fault->len == 0; i++) {
        struct member *m = find_leader(cluster);

        step(cluster);
        if (m && m->up && cluster->founding_member_count > 0) {
            tell_slots(cluster, m);
        }
        if (g_rand_int_range(cluster->rand, 0, 60) == 0) {
            inject_random_fault(cluster);
        }
        if (m && m->up && !m->frozen &&
            g_rand_int_range(cluster->rand, 0, 4) == 0) {
            propose(cluster, m, ++cluster->next_value);
        }
    }
    if (cluster->fault->len > 0) {
        mw_script_printf(s, "seed %u: FAULT at %d ms: %s", seed,
                         (int)((cluster->now_us - START_US) / 1000),
                         cluster->fault->str);
        passed = false;
    }
    outer->next_value += cluster->acknowledged->len;
    outer->early_elections += cluster->early_elections;
    end(cluster);
    return passed;
}

/* Runs seeded clusters with random faults; MW_SEEDS sets how many. */
static void
cmd_seeds(struct mw_script *s)
{
    struct cluster *cluster = s->state;
    int64_t from = mw_script_option_int(s, "from", 1);
    int64_t count = mw_script_option_int(s, "count", 10);
    int steps = (int)mw_script_option_int(s, "steps", 3000);
    int faults = 0;
    const char *seed_count = g_getenv("MW_SEEDS");

    if (seed_count) {
        count = g_ascii_strtoll(seed_count, NULL, 10);
    }
    cluster->compact_after = (uint32_t)mw_script_option_int(s, "compact", 0);
    cluster->next_value = 0;
    for (int64_t i = 0; i < count; i++) {
        faults += !run_seed(s, (uint32_t)(from + i), steps);
    }
    if (cluster->next_value == 0) {
        mw_script_printf(s, "no value was acknowledged");
    }
    if (mw_script_option_int(s, "restart-many", 0) != 0 &&
        cluster->early_elections == 0) {
        mw_script_printf(s, "no election with early votes");
    }
    mw_script_printf(s, "%d faults", faults);
}

static const struct mw_script_command commands[] = {
    {"members", 1, cmd_members},
    {"run", 1, cmd_run},
    {"propose", 0, cmd_propose},
    {"change-config", 2, cmd_change_config},
    {"slow-link", 2, cmd_slow_link},
    {"most-waiting", 2, cmd_most_waiting},
    {"largest-message", 2, cmd_largest_message},
    {"crash", 1, cmd_crash},
    {"lose-disk", 1, cmd_lose_disk},
    {"start", 1, cmd_start},
    {"freeze", 1, cmd_freeze},
    {"thaw", 1, cmd_thaw},
    {"disk-full", 1, cmd_disk_full},
    {"disk-free", 1, cmd_disk_free},
    {"disk-stall", 1, cmd_disk_stall},
    {"disk-resume", 1, cmd_disk_resume},
    {"unsynced", 2, cmd_unsynced},
    {"unsynced-bytes", 2, cmd_unsynced_bytes},
    {"upgrade", 2, cmd_upgrade},
    {"restored", 2, cmd_restored},
    {"stored", 2, cmd_stored},
    {"cut", 2, cmd_cut},
    {"isolate", 1, cmd_isolate},
    {"heal", 0, cmd_heal},
    {"show", 0, cmd_show},
    {"has-leader", 0, cmd_has_leader},
    {"counters", 1, cmd_counters},
    {"early-elections", 1, cmd_early_elections},
    {"transfer", 0, cmd_transfer},
    {"seeds", 1, cmd_seeds},
    {"add-learner", 1, cmd_add_learner},
    {NULL, 0, NULL},
};

const struct mw_script_kind mw_log_scripts = {"log", commands, begin, end};
