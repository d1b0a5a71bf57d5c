/*
 * log-script: drives the members of a replicated log in a simulated cluster.
 */
#include <string.h>

#include "log-cluster.h"

static struct mw_cluster_member *
member_at_word(struct mw_script *s, int word)
{
    struct mw_cluster *cluster = s->state;
    struct mw_name name = mw_name_from(mw_script_word(s, word));
    int index;

    if (strcmp(mw_script_word(s, word), "leader") == 0) {
        struct mw_cluster_member *m = mw_find_cluster_leader(cluster);

        return m ? m : &cluster->members[0];
    }
    index = mw_find_cluster_member(cluster, &name);
    return &cluster->members[MAX(index, 0)];
}

/* members NAME[/memory]...: a member with /memory has no disk */
static void
cmd_members(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;

    cluster->compact_after = (uint32_t)mw_script_option_int(s, "compact", 0);
    cluster->compact_bytes =
        (uint64_t)mw_script_option_int(s, "compact-bytes", 0);
    cluster->disk_bytes = (uint64_t)mw_script_option_int(s, "disk-bytes", 0);
    for (int i = 1; i < s->word_count; i++) {
        if (!strchr(s->words[i], '=')) {
            mw_add_cluster_member(cluster, s->words[i]);
        }
    }
    cluster->founding_member_count =
        (int)mw_script_option_int(s, "founding", 0);
    cluster->target_member_count =
        (uint32_t)mw_script_option_int(s, "target", 0);
    for (int i = 0; i < cluster->count; i++) {
        if (cluster->founding_member_count == 0 ||
            i < cluster->founding_member_count) {
            mw_start_cluster_member(&cluster->members[i]);
        }
    }
}

/* add-learner NAME: offers the leader a process with a disk as a learner */
static void
cmd_add_learner(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;
    struct mw_cluster_member *m = mw_find_cluster_leader(cluster);

    if (m) {
        mw_log_add_learner(&cluster->ctx, m->log, cluster->now_us,
                           &member_at_word(s, 1)->name);
    }
}

static void
say_fault(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;

    if (cluster->fault->len > 0) {
        mw_script_printf(s, "FAULT: %s", cluster->fault->str);
        g_string_set_size(cluster->fault, 0);
    }
}

static void
cmd_run(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;
    int64_t steps = g_ascii_strtoll(mw_script_word(s, 1), NULL, 10) * 1000 /
                    MW_CLUSTER_STEP_US;

    for (int64_t i = 0; i < steps; i++) {
        mw_step_cluster(cluster);
    }
    say_fault(s);
}

/* propose [count=N] [every=MS]: values, at once or one after the other */
static void
cmd_propose(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;
    int64_t count = mw_script_option_int(s, "count", 1);
    int64_t steps =
        mw_script_option_int(s, "every", 0) * 1000 / MW_CLUSTER_STEP_US;
    struct mw_cluster_member *m = mw_find_cluster_leader(cluster);

    for (int64_t i = 0; m && i < count; i++) {
        mw_propose_value(cluster, m, ++cluster->next_value);
        for (int64_t n = 0; n < steps; n++) {
            mw_step_cluster(cluster);
        }
        m = mw_find_cluster_leader(cluster);
    }
    if (!m) {
        mw_script_printf(s, "propose: no leader");
    }
    say_fault(s);
}

/* Returns whether the leader has taken the configuration. */
static bool
propose_config(struct mw_cluster *cluster, uint64_t version,
               struct mw_str text)
{
    struct mw_cluster_member *m = mw_find_cluster_leader(cluster);
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
    struct mw_cluster *cluster = s->state;
    gsize len = (gsize)atoi(mw_script_word(s, 2));
    char *text = g_strnfill(len, 'x');
    int64_t steps =
        mw_script_option_int(s, "every", 0) * 1000 / MW_CLUSTER_STEP_US;
    int refused = 0;

    for (int i = 0; i < atoi(mw_script_word(s, 1)); i++) {
        refused += !propose_config(cluster, (uint64_t)i + 1,
                                   (struct mw_str){text, len});
        for (int64_t n = 0; n < steps; n++) {
            mw_step_cluster(cluster);
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
    struct mw_cluster_member *m = member_at_word(s, 1);

    m->link_rate = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);
    m->most_waiting_bytes = m->waiting_bytes;
}

/* most-waiting NAME BOUND: whether at most BOUND bytes were on their way */
static void
cmd_most_waiting(struct mw_script *s)
{
    struct mw_cluster_member *m = member_at_word(s, 1);
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
    struct mw_cluster_member *m = member_at_word(s, 1);
    uint64_t bound = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);

    mw_script_printf(s, "%s",
                     m->largest_msg_bytes <= bound ? "messages are small"
                                                   : "messages are large");
}

static void
cmd_crash(struct mw_script *s)
{
    mw_crash_cluster_member(member_at_word(s, 1));
}

static void
cmd_lose_disk(struct mw_script *s)
{
    mw_lose_cluster_disk(member_at_word(s, 1));
}

static void
cmd_start(struct mw_script *s)
{
    mw_start_cluster_member(member_at_word(s, 1));
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
    mw_set_cluster_disk_full(member_at_word(s, 1), true);
}

static void
cmd_disk_free(struct mw_script *s)
{
    mw_set_cluster_disk_full(member_at_word(s, 1), false);
}

/* upgrade COMPACT COMPACT_BYTES: what a member takes a snapshot after, from
 * its next start on */
static void
cmd_upgrade(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;

    cluster->compact_after = (uint32_t)atoi(mw_script_word(s, 1));
    cluster->compact_bytes = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);
}

/* restored NAME BOUND: whether its last start had at most BOUND entries in
 * memory at once */
static void
cmd_restored(struct mw_script *s)
{
    struct mw_cluster_member *m = member_at_word(s, 1);
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
    struct mw_cluster_member *m = member_at_word(s, 1);
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
    struct mw_cluster_member *m = member_at_word(s, 1);
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
    struct mw_cluster_member *m = member_at_word(s, 1);
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
    struct mw_cluster *cluster = s->state;
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
    struct mw_cluster *cluster = s->state;
    int a = member_at_word(s, 1)->index;

    for (int i = 0; i < cluster->count; i++) {
        cluster->cut[a][i] = true;
        cluster->cut[i][a] = true;
    }
}

static void
cmd_heal(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;

    memset(cluster->cut, 0, sizeof cluster->cut);
}

static void
cmd_show(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;

    for (int i = 0; i < cluster->count; i++) {
        struct mw_cluster_member *m = &cluster->members[i];
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
    struct mw_cluster *cluster = s->state;
    struct mw_cluster_member *m = mw_find_cluster_leader(cluster);

    mw_script_printf(s, "%s", m ? "has a leader" : "no leader");
}

static void
cmd_counters(struct mw_script *s)
{
    struct mw_cluster_member *m = member_at_word(s, 1);
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
    struct mw_cluster_member *m = member_at_word(s, 1);

    mw_script_printf(s, "%d elections with early votes",
                     (int)mw_count_early_elections(m));
}

/* transfer: the leader asks another member to take over */
static void
cmd_transfer(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;
    struct mw_cluster_member *m = mw_find_cluster_leader(cluster);

    if (m) {
        mw_log_transfer_leadership(m->log, cluster->now_us);
    }
}

static void
print_event(void *opaque, int priority, struct mw_str line)
{
    (void)priority;
    mw_script_printf(opaque, "%.*s", MW_FMT(line));
}

/* report: from now on, what the members write to their logs, by all of them */
static void
cmd_report(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;

    cluster->ctx.opaque = s;
    cluster->ctx.emit_event = print_event;
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
    {"report", 0, cmd_report},
    {"transfer", 0, cmd_transfer},
    {"seeds", 1, mw_cmd_cluster_seeds},
    {"replacements", 0, mw_cmd_cluster_replacements},
    {"add-learner", 1, cmd_add_learner},
    {NULL, 0, NULL},
};

const struct mw_script_kind mw_log_scripts = {"log", commands, mw_new_cluster,
                                              mw_drop_cluster};
