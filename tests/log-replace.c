/*
 * log-replace: seeded clusters whose members are replaced one after the other,
 * with other troubles between.
 */
#include <string.h>

#include "log-cluster.h"

#define VOTER_COUNT 3
/* time from a trouble until a leader serves and all voters have caught up */
#define RECOVERY_US 20000000
/* quiet time after it, in which a successor counts as caught up */
#define CATCH_UP_US 4000000
/* time until the successor of a replaced member starts */
#define SUCCESSOR_DELAY_US 2000000
#define FREEZE_US 4000000
#define STEPS_PER_VALUE 10
#define DISK_LOSS_DELAY_MAX_US 4000000

enum trouble {
    TROUBLE_REPLACE,
    /* the successor runs before its predecessor ends */
    TROUBLE_REPLACE_AFTER_START,
    /* the leader hands over before it ends */
    TROUBLE_REPLACE_WITH_SIGNAL,
    /* the replaced member comes back with its disk, under its name */
    TROUBLE_REPLACE_AND_RETURN,
    TROUBLE_LOSE_DISK,
    TROUBLE_RESTART_ALL,
    /* and one of them has lost its disk */
    TROUBLE_RESTART_ALL_LOSE_DISK,
    TROUBLE_FREEZE,
    TROUBLE_COUNT
};

/* series: one seeded run. */
struct series {
    struct mw_cluster *cluster;
    /* the next process that has not started yet */
    int next;
    /* the process runs, or starts as soon as it can */
    bool runs[MW_CLUSTER_MEMBERS_MAX];
    int replaced_count;
};

/* Whether the leader counts the member, which runs and knows it. */
static bool
is_voter(const struct mw_cluster_member *m,
         const struct mw_cluster_member *leader)
{
    const struct mw_log_config *config = mw_log_get_config(leader->log);
    struct mw_log_status status;
    bool is_counted = false;

    if (!m->up || m->frozen) {
        return false;
    }
    for (int i = 0; i < MW_MEMBERS_MAX; i++) {
        is_counted |= config->slots[i].incarnation == m->incarnation &&
                      mw_name_equal(&config->slots[i].member, &m->name);
    }
    mw_log_get_status(m->log, &status);
    return is_counted && status.admitted;
}

/* What the heartbeats of processes without a slot do. */
static void
offer_learners(struct series *series, struct mw_cluster_member *leader)
{
    struct mw_cluster *cluster = series->cluster;

    for (int i = 0; i < cluster->count; i++) {
        struct mw_cluster_member *m = &cluster->members[i];

        if (series->runs[i] && m != leader && !m->frozen) {
            mw_log_add_learner(&cluster->ctx, leader->log, cluster->now_us,
                               &m->name);
            mw_start_cluster_member(m);
        }
    }
}

static void
run(struct series *series, int64_t duration_us)
{
    struct mw_cluster *cluster = series->cluster;
    int64_t end_us = cluster->now_us + duration_us;

    while (cluster->now_us < end_us && cluster->fault->len == 0) {
        struct mw_cluster_member *leader = mw_find_cluster_leader(cluster);

        mw_step_cluster(cluster);
        if (!leader || !leader->up) {
            continue;
        }
        mw_tell_slots(cluster, leader);
        offer_learners(series, leader);
        if (g_rand_int_range(cluster->rand, 0, STEPS_PER_VALUE) == 0) {
            mw_propose_value(cluster, leader, ++cluster->next_value);
        }
    }
}

/*
 * Whether a leader serves, and all voters that it counts run and know it.
 * One that was silent and is back may be one in excess.
 */
static bool
has_recovered(const struct series *series)
{
    struct mw_cluster *cluster = series->cluster;
    struct mw_cluster_member *leader = mw_find_cluster_leader(cluster);
    struct mw_log_status status;
    uint32_t voters = 0;

    if (!leader) {
        return false;
    }
    mw_log_get_status(leader->log, &status);
    for (int i = 0; i < cluster->count; i++) {
        voters += is_voter(&cluster->members[i], leader);
    }
    return status.voter_count >= VOTER_COUNT && voters == status.voter_count;
}

static void
recover(struct series *series, enum trouble trouble)
{
    struct mw_cluster *cluster = series->cluster;
    int64_t deadline_us = cluster->now_us + RECOVERY_US;

    while (!has_recovered(series) && cluster->now_us < deadline_us &&
           cluster->fault->len == 0) {
        run(series, MW_CLUSTER_STEP_US);
    }
    if (!has_recovered(series) && cluster->fault->len == 0) {
        g_string_append_printf(
            cluster->fault, "%s after trouble %d, with %d members replaced",
            mw_find_cluster_leader(cluster) ? "too few voters" : "no leader",
            (int)trouble, series->replaced_count);
    }
    run(series, CATCH_UP_US);
}

/* A voter: the leader, the oldest, the newest, or any. */
static struct mw_cluster_member *
pick_voter(const struct series *series)
{
    struct mw_cluster *cluster = series->cluster;
    struct mw_cluster_member *leader = mw_find_cluster_leader(cluster);
    struct mw_cluster_member *voters[MW_CLUSTER_MEMBERS_MAX] = {NULL};
    int count = 0;

    for (int i = 0; i < cluster->count; i++) {
        if (leader && is_voter(&cluster->members[i], leader)) {
            voters[count++] = &cluster->members[i];
        }
    }
    switch (g_rand_int_range(cluster->rand, 0, 4)) {
    case 0:
        return leader;
    case 1:
        return voters[0];
    case 2:
        return voters[count - 1];
    default:
        return voters[g_rand_int_range(cluster->rand, 0, count)];
    }
}

static void
replace(struct series *series, enum trouble trouble)
{
    struct mw_cluster *cluster = series->cluster;
    struct mw_cluster_member *former = pick_voter(series);
    struct mw_cluster_member *successor = &cluster->members[series->next++];
    struct mw_cluster_member *leader = mw_find_cluster_leader(cluster);

    if (trouble == TROUBLE_REPLACE_AFTER_START) {
        series->runs[successor->index] = true;
        run(series, SUCCESSOR_DELAY_US);
    }
    if (trouble == TROUBLE_REPLACE_WITH_SIGNAL && former == leader) {
        mw_log_transfer_leadership(leader->log, cluster->now_us);
        run(series, 10 * MW_CLUSTER_STEP_US);
    }
    series->runs[former->index] = false;
    if (trouble == TROUBLE_REPLACE_AND_RETURN) {
        mw_crash_cluster_member(former);
    }
    else {
        mw_lose_cluster_disk(former);
    }
    series->replaced_count++;
    run(series, SUCCESSOR_DELAY_US);
    series->runs[successor->index] = true;
    recover(series, trouble);
    if (trouble == TROUBLE_REPLACE_AND_RETURN) {
        series->runs[former->index] = true;
        mw_start_cluster_member(former);
    }
}

static void
lose_disk(struct series *series)
{
    struct mw_cluster *cluster = series->cluster;
    struct mw_cluster_member *m = pick_voter(series);

    mw_lose_cluster_disk(m);
    series->runs[m->index] = false;
    run(series, g_rand_int_range(cluster->rand, 0, DISK_LOSS_DELAY_MAX_US));
    series->runs[m->index] = true;
}

static void
restart_all(struct series *series, bool is_disk_lost)
{
    struct mw_cluster *cluster = series->cluster;
    struct mw_cluster_member *lost = is_disk_lost ? pick_voter(series) : NULL;

    for (int i = 0; i < cluster->count; i++) {
        struct mw_cluster_member *m = &cluster->members[i];
        bool was_up = m->up;

        mw_crash_cluster_member(m);
        if (m == lost) {
            mw_lose_cluster_disk(m);
        }
        else if (was_up) {
            mw_start_cluster_member(m);
        }
    }
}

static void
freeze(struct series *series)
{
    struct mw_cluster_member *m = pick_voter(series);

    m->frozen = true;
    run(series, FREEZE_US);
    m->frozen = false;
}

static void
make_trouble(struct series *series, enum trouble trouble)
{
    switch (trouble) {
    case TROUBLE_LOSE_DISK:
        lose_disk(series);
        break;
    case TROUBLE_RESTART_ALL:
    case TROUBLE_RESTART_ALL_LOSE_DISK:
        restart_all(series, trouble == TROUBLE_RESTART_ALL_LOSE_DISK);
        break;
    case TROUBLE_FREEZE:
        freeze(series);
        break;
    default:
        replace(series, trouble);
        break;
    }
    recover(series, trouble);
}

static void
add_processes(struct mw_cluster *cluster)
{
    for (int i = 0; i < MW_CLUSTER_MEMBERS_MAX; i++) {
        char name[MW_NAME_MAX];

        g_snprintf(name, sizeof name, "m%02d", i);
        mw_add_cluster_member(cluster, name);
    }
    cluster->chaos = true;
    cluster->founding_member_count = VOTER_COUNT;
    cluster->target_member_count = VOTER_COUNT;
}

static bool
run_series(struct mw_script *s, uint32_t seed)
{
    struct mw_cluster *outer = s->state;
    struct mw_cluster *cluster = mw_new_cluster();
    struct series series = {.cluster = cluster, .next = VOTER_COUNT};
    int troubles = (int)mw_script_option_int(s, "troubles", 30);
    bool passed;

    g_rand_set_seed(cluster->rand, seed);
    cluster->compact_after = outer->compact_after;
    add_processes(cluster);
    for (int i = 0; i < VOTER_COUNT; i++) {
        series.runs[i] = true;
        mw_start_cluster_member(&cluster->members[i]);
    }
    recover(&series, TROUBLE_COUNT);
    for (int i = 0; i < troubles && cluster->fault->len == 0; i++) {
        make_trouble(&series, (enum trouble)g_rand_int_range(cluster->rand, 0,
                                                             TROUBLE_COUNT));
    }
    passed = cluster->fault->len == 0;
    if (!passed) {
        mw_script_printf(s, "seed %u: FAULT at %d ms: %s", seed,
                         (int)((cluster->now_us - MW_CLUSTER_START_US) / 1000),
                         cluster->fault->str);
    }
    outer->next_value += (uint64_t)series.replaced_count;
    mw_drop_cluster(cluster);
    return passed;
}

/*
 * replacements [from=SEED] [count=N] [troubles=N] [compact=N]: seeded series
 * of troubles, of which half replace a member; MW_SEEDS sets how many series
 */
void
mw_cmd_cluster_replacements(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;
    int64_t from = mw_script_option_int(s, "from", 1);
    int64_t count = mw_script_option_int(s, "count", 10);
    const char *seed_count = g_getenv("MW_SEEDS");
    int faults = 0;

    if (seed_count) {
        count = g_ascii_strtoll(seed_count, NULL, 10);
    }
    cluster->compact_after = (uint32_t)mw_script_option_int(s, "compact", 0);
    cluster->next_value = 0;
    for (int64_t i = 0; i < count; i++) {
        faults += !run_series(s, (uint32_t)(from + i));
    }
    if (cluster->next_value == 0) {
        mw_script_printf(s, "no member was replaced");
    }
    mw_script_printf(s, "%d faults", faults);
}
