/*
 * log-seeds: seeded clusters with random faults.
 */
#include <string.h>

#include "log-cluster.h"

/* Cuts off or freezes a member that may hold a lease, or does neither. */
static void
hide(struct mw_cluster *cluster, struct mw_cluster_member *m)
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
restart_many(struct mw_cluster *cluster, struct mw_cluster_member *leader)
{
    bool spare = leader && g_rand_boolean(cluster->rand);

    if (spare) {
        hide(cluster, leader);
    }
    for (int i = 0; i < cluster->count; i++) {
        struct mw_cluster_member *m = &cluster->members[i];

        if (spare && m == leader) {
            continue;
        }
        if (g_rand_int_range(cluster->rand, 0, 5) > 0) {
            mw_crash_cluster_member(m);
        }
        if (g_rand_int_range(cluster->rand, 0, 5) > 0) {
            mw_start_cluster_member(m);
        }
    }
}

/* What makes elections with early votes likely, beside the other faults. */
static void
inject_restart(struct mw_cluster *cluster)
{
    int i = g_rand_int_range(cluster->rand, 0, cluster->count);
    struct mw_cluster_member *leader = mw_find_cluster_leader(cluster);

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

/* Injects a random fault, but never loses more disks than are tolerated. */
static void
inject_random_fault(struct mw_cluster *cluster)
{
    int a = g_rand_int_range(cluster->rand, 0, cluster->count);
    int b = g_rand_int_range(cluster->rand, 0, cluster->count);
    struct mw_cluster_member *m = &cluster->members[a];
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
        mw_set_cluster_disk_full(m, !m->disk_full);
        return;
    }
    switch (g_rand_int_range(cluster->rand, 0, 8)) {
    case 0:
        mw_crash_cluster_member(m);
        break;
    case 1:
        /* no disk is lost while a member is down or not readmitted */
        if (down <= 0 && !cluster->keep_disks) {
            mw_lose_cluster_disk(m);
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
            mw_start_cluster_member(&cluster->members[i]);
        }
        break;
    }
}

static bool
run_seed(struct mw_script *s, uint32_t seed, int steps)
{
    struct mw_cluster *outer = s->state;
    struct mw_cluster *cluster = mw_new_cluster();
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
            mw_add_cluster_member(cluster, s->words[i]);
        }
    }
    for (int i = 0; i < cluster->count; i++) {
        mw_start_cluster_member(&cluster->members[i]);
    }
    for (int i = 0; i < steps && cluster->fault->len == 0; i++) {
        struct mw_cluster_member *m = mw_find_cluster_leader(cluster);

        mw_step_cluster(cluster);
        if (m && m->up && cluster->founding_member_count > 0) {
            mw_tell_slots(cluster, m);
        }
        if (g_rand_int_range(cluster->rand, 0, 60) == 0) {
            inject_random_fault(cluster);
        }
        if (m && m->up && !m->frozen &&
            g_rand_int_range(cluster->rand, 0, 4) == 0) {
            mw_propose_value(cluster, m, ++cluster->next_value);
        }
    }
    if (cluster->fault->len > 0) {
        mw_script_printf(s, "seed %u: FAULT at %d ms: %s", seed,
                         (int)((cluster->now_us - MW_CLUSTER_START_US) / 1000),
                         cluster->fault->str);
        passed = false;
    }
    outer->next_value += cluster->acknowledged->len;
    outer->early_elections += cluster->early_elections;
    mw_drop_cluster(cluster);
    return passed;
}

/* Runs seeded clusters with random faults; MW_SEEDS sets how many. */
void
mw_cmd_cluster_seeds(struct mw_script *s)
{
    struct mw_cluster *cluster = s->state;
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
