/*
 * quota: what each organisation uses, against its cap.
 *
 * LOAD   organisations that submit more than they may run at once, beside
 *        others that need the same endpoints.
 */
#include "quota.h"

#include <glib.h>

struct mw_quota {
    /* struct mw_quota_org by name */
    GHashTable *orgs;
    /* an organisation has a cap; without one no lookups are needed */
    bool has_caps;
};

struct mw_quota *
mw_new_quota(void)
{
    struct mw_quota *quota = g_new0(struct mw_quota, 1);

    quota->orgs =
        g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, g_free);
    return quota;
}

void
mw_drop_quota(struct mw_quota *quota)
{
    g_hash_table_unref(quota->orgs);
    g_free(quota);
}

const struct mw_quota_org *
mw_find_quota_org(const struct mw_quota *quota, const struct mw_name *name)
{
    return g_hash_table_lookup(quota->orgs, name);
}

void
mw_each_quota_org(const struct mw_quota *quota, void *opaque,
                  void (*callback)(void *opaque,
                                   const struct mw_quota_org *org))
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quota->orgs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        callback(opaque, value);
    }
}

/* The organisation, which is added if it is not known. */
static struct mw_quota_org *
get_org(struct mw_quota *quota, const struct mw_name *name)
{
    struct mw_quota_org *org = g_hash_table_lookup(quota->orgs, name);

    if (!org) {
        org = g_new0(struct mw_quota_org, 1);
        org->name = *name;
        org->weight = 1;
        g_hash_table_insert(quota->orgs, &org->name, org);
    }
    return org;
}

void
mw_add_quota_use(struct mw_quota *quota, const struct mw_name *org,
                 const struct mw_flow_resources *need)
{
    struct mw_flow_amounts *used = &get_org(quota, org)->used;

    used->cpu += need->cpu;
    used->memory_mb += need->memory_mb;
    used->gpus += need->gpus;
}

void
mw_subtract_quota_use(struct mw_quota *quota, const struct mw_name *org,
                      const struct mw_flow_resources *need)
{
    struct mw_flow_amounts *used = &get_org(quota, org)->used;

    used->cpu -= need->cpu;
    used->memory_mb -= need->memory_mb;
    used->gpus -= need->gpus;
}

static bool
has_cap(const struct mw_quota_org *org)
{
    return org->cap.cpu > 0 || org->cap.memory_mb > 0 || org->cap.gpus > 0;
}

/* Whether it uses nothing; its cap and weight are of an old configuration. */
static gboolean
forget_cap(gpointer name, gpointer value, gpointer data)
{
    struct mw_quota_org *org = value;

    (void)name;
    (void)data;
    org->cap = (struct mw_flow_amounts){0};
    org->weight = 1;
    return org->used.cpu == 0 && org->used.memory_mb == 0 &&
           org->used.gpus == 0;
}

void
mw_set_quota_caps(struct mw_quota *quota, uint32_t count,
                  const struct mw_flow_org *orgs)
{
    g_hash_table_foreach_remove(quota->orgs, forget_cap, NULL);
    quota->has_caps = false;
    for (uint32_t i = 0; i < count; i++) {
        struct mw_quota_org *org = get_org(quota, &orgs[i].name);

        org->cap = orgs[i].cap;
        org->weight = orgs[i].weight;
        quota->has_caps |= has_cap(org);
    }
}

/* The organisation if it has a cap; NULL if it has none. */
static struct mw_quota_org *
find_capped(const struct mw_quota *quota, const struct mw_name *name)
{
    struct mw_quota_org *org =
        quota->has_caps ? g_hash_table_lookup(quota->orgs, name) : NULL;

    return org && has_cap(org) ? org : NULL;
}

bool
mw_quota_has_cap(const struct mw_quota *quota, const struct mw_name *org)
{
    return find_capped(quota, org) != NULL;
}

/* A cap of 0, or a need of 0, is no limit. */
static uint64_t
times_left(uint64_t cap, uint64_t taken, uint32_t need)
{
    if (cap == 0 || need == 0) {
        return UINT64_MAX;
    }
    return taken < cap ? (cap - taken) / need : 0;
}

static bool
is_exceeded(const struct mw_quota_org *org)
{
    const struct mw_flow_amounts *cap = &org->cap;

    return (cap->cpu > 0 && org->used.cpu > cap->cpu) ||
           (cap->memory_mb > 0 && org->used.memory_mb > cap->memory_mb) ||
           (cap->gpus > 0 && org->used.gpus > cap->gpus);
}

static uint64_t
excess_of(uint64_t cap, uint64_t used, uint64_t wanted)
{
    return cap > 0 && used + wanted > cap ? used + wanted - cap : 0;
}

struct mw_flow_amounts
mw_quota_excess(const struct mw_quota *quota, const struct mw_name *name,
                const struct mw_flow_resources *need, uint32_t tasks)
{
    const struct mw_quota_org *org = find_capped(quota, name);

    if (!org) {
        return (struct mw_flow_amounts){0};
    }
    return (struct mw_flow_amounts){
        .cpu = excess_of(org->cap.cpu, org->used.cpu,
                         (uint64_t)need->cpu * tasks),
        .memory_mb = excess_of(org->cap.memory_mb, org->used.memory_mb,
                               (uint64_t)need->memory_mb * tasks),
        .gpus = excess_of(org->cap.gpus, org->used.gpus,
                          (uint64_t)need->gpus * tasks),
    };
}

bool
mw_quota_is_exceeded(const struct mw_quota *quota, const struct mw_name *name)
{
    const struct mw_quota_org *org = find_capped(quota, name);

    return org && is_exceeded(org);
}

bool
mw_cap_admits(const struct mw_flow_amounts *cap,
              const struct mw_flow_resources *need, uint32_t tasks)
{
    return times_left(cap->cpu, 0, need->cpu) >= tasks &&
           times_left(cap->memory_mb, 0, need->memory_mb) >= tasks &&
           times_left(cap->gpus, 0, need->gpus) >= tasks;
}

/* The scarcest resource that is above its cap: accelerators, then cores. */
static enum mw_quota_limit
scarcest_exceeded(const struct mw_quota_org *org)
{
    const struct mw_flow_amounts *cap = &org->cap;

    if (cap->gpus > 0 && org->used.gpus > cap->gpus) {
        return MW_QUOTA_GPUS;
    }
    return cap->cpu > 0 && org->used.cpu > cap->cpu ? MW_QUOTA_CPU
                                                    : MW_QUOTA_MEMORY;
}

uint32_t
mw_quota_tasks_left(const struct mw_quota *quota, const struct mw_name *name,
                    const struct mw_flow_resources *need, uint32_t wanted,
                    enum mw_quota_limit *limit)
{
    const struct mw_quota_org *org = find_capped(quota, name);
    uint64_t left[MW_QUOTA_LIMITS];
    enum mw_quota_limit fewest = MW_QUOTA_CPU;

    if (!org) {
        return wanted;
    }
    if (is_exceeded(org)) {
        *limit = scarcest_exceeded(org);
        return 0;
    }
    left[MW_QUOTA_CPU] =
        times_left(org->cap.cpu, org->used.cpu + org->claimed.cpu, need->cpu);
    left[MW_QUOTA_MEMORY] = times_left(
        org->cap.memory_mb, org->used.memory_mb + org->claimed.memory_mb,
        need->memory_mb);
    left[MW_QUOTA_GPUS] = times_left(
        org->cap.gpus, org->used.gpus + org->claimed.gpus, need->gpus);
    for (int i = MW_QUOTA_MEMORY; i < MW_QUOTA_LIMITS; i++) {
        fewest = left[i] < left[fewest] ? (enum mw_quota_limit)i : fewest;
    }
    *limit = fewest;
    return (uint32_t)MIN(left[fewest], wanted);
}

const char *
mw_quota_limit_str(enum mw_quota_limit limit)
{
    static const char *const texts[] = {"cpu", "mem-mb", "gpus"};

    return texts[limit];
}

void
mw_clear_quota_claims(struct mw_quota *quota)
{
    GHashTableIter iter;
    gpointer value;

    if (!quota->has_caps) {
        return;
    }
    g_hash_table_iter_init(&iter, quota->orgs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_quota_org *org = value;

        org->claimed = (struct mw_flow_amounts){0};
        org->has_waiting_claim = false;
    }
}

/* Whether the claims are no more than half of each cap. */
static bool
is_within_half(const struct mw_quota_org *org)
{
    const struct mw_flow_amounts *cap = &org->cap;

    return (cap->cpu == 0 || org->claimed.cpu <= cap->cpu / 2) &&
           (cap->memory_mb == 0 ||
            org->claimed.memory_mb <= cap->memory_mb / 2) &&
           (cap->gpus == 0 || org->claimed.gpus <= cap->gpus / 2);
}

void
mw_claim_quota(struct mw_quota *quota, const struct mw_name *name,
               const struct mw_flow_resources *need, uint32_t tasks,
               bool is_waiting)
{
    struct mw_quota_org *org = find_capped(quota, name);
    struct mw_flow_amounts before;

    if (!org || (is_waiting && org->has_waiting_claim)) {
        return;
    }
    before = org->claimed;
    org->claimed.cpu += (uint64_t)need->cpu * tasks;
    org->claimed.memory_mb += (uint64_t)need->memory_mb * tasks;
    org->claimed.gpus += (uint64_t)need->gpus * tasks;
    if (!is_within_half(org)) {
        org->claimed = before;
    }
    else {
        org->has_waiting_claim |= is_waiting;
    }
}

uint32_t
mw_draw_quota(struct mw_quota *quota, const struct mw_name *name,
              const struct mw_flow_resources *need, uint32_t wanted)
{
    struct mw_quota_org *org = find_capped(quota, name);
    enum mw_quota_limit limit;
    uint32_t tasks = mw_quota_tasks_left(quota, name, need, wanted, &limit);

    if (org) {
        org->claimed.cpu += (uint64_t)need->cpu * tasks;
        org->claimed.memory_mb += (uint64_t)need->memory_mb * tasks;
        org->claimed.gpus += (uint64_t)need->gpus * tasks;
    }
    return tasks;
}
