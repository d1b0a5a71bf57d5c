#ifndef MW_TESTS_LOG_CLUSTER_H
#define MW_TESTS_LOG_CLUSTER_H

#include <glib.h>

#include "mimosawind/log.h"
#include "script.h"

/*
 * log-cluster: members of a replicated log in simulated time.
 *
 * The proposed values are numbers in FORGET records.  Four invariants are
 * checked after every step: members that applied the same index applied the
 * same record, at most one member holds the leader's lease, a ready leader has
 * every acknowledged value, and where members can be replaced, each has the
 * configuration that the committed records up to its commit index lead to.
 */

#define MW_CLUSTER_MEMBERS_MAX 64
#define MW_CLUSTER_STEP_US 10000
/* simulated time at which the founding members start */
#define MW_CLUSTER_START_US 10000000

struct mw_cluster_member {
    struct mw_cluster *cluster;
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
    /* a founding member that has lost its disk joins as any other process */
    bool disk_lost;
    /* the latest configuration, NULL before the first */
    struct mw_record *config;
    GArray *values;
    /* its configuration was last compared at this index */
    uint64_t compared_index;
};

struct mw_cluster {
    int count;
    struct mw_cluster_member members[MW_CLUSTER_MEMBERS_MAX];
    /* whether messages from one member to another are dropped */
    bool cut[MW_CLUSTER_MEMBERS_MAX][MW_CLUSTER_MEMBERS_MAX];
    GPtrArray *packets;
    /* values that a ready leader has applied */
    GHashTable *known_values;
    /* those of them that the owner of the log would have acknowledged */
    GArray *acknowledged;
    /* ADMIT and MEMBER records, as the first member has applied them */
    GPtrArray *config_changes;
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

/* mw_new_cluster, mw_drop_cluster: state of a script. */
void *mw_new_cluster(void);
void mw_drop_cluster(void *cluster);

/* mw_add_cluster_member: NAME, or NAME/memory for one without a disk. */
void mw_add_cluster_member(struct mw_cluster *cluster, const char *text);

/* mw_find_cluster_member: index by name, -1 for none. */
int mw_find_cluster_member(struct mw_cluster *cluster,
                           const struct mw_name *name);

/* mw_find_cluster_leader: the ready leader, NULL for none. */
struct mw_cluster_member *mw_find_cluster_leader(struct mw_cluster *cluster);

/*
 * mw_start_cluster_member: start with what is stored.
 *
 * Does nothing if the member runs, or has nothing stored and no leader has
 * given it a slot.
 */
void mw_start_cluster_member(struct mw_cluster_member *m);

/* mw_crash_cluster_member: end at once; what is not synced is lost. */
void mw_crash_cluster_member(struct mw_cluster_member *m);
void mw_lose_cluster_disk(struct mw_cluster_member *m);
void mw_set_cluster_disk_full(struct mw_cluster_member *m, bool full);

/* mw_first_kept_item: index of the first item that a sync keeps. */
guint mw_first_kept_item(struct mw_cluster_member *m);

/* mw_step_cluster: one step of MW_CLUSTER_STEP_US, and the invariants. */
void mw_step_cluster(struct mw_cluster *cluster);

/* mw_propose_value: returns whether the leader has taken it. */
bool mw_propose_value(struct mw_cluster *cluster, struct mw_cluster_member *m,
                      uint64_t value);

/* mw_tell_slots: do what the leader's heartbeats do. */
void mw_tell_slots(struct mw_cluster *cluster,
                   const struct mw_cluster_member *leader);

uint64_t mw_count_early_elections(const struct mw_cluster_member *m);

/* commands: seeds with random faults, seeds with series of replacements */
void mw_cmd_cluster_seeds(struct mw_script *s);
void mw_cmd_cluster_replacements(struct mw_script *s);

#endif
