#include "quota.h"

#include <glib.h>

struct mw_quota {
    /* struct mw_quota_org by name */
    GHashTable *orgs;
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
    for (uint32_t i = 0; i < count; i++) {
        struct mw_quota_org *org = get_org(quota, &orgs[i].name);

        org->cap = orgs[i].cap;
        org->weight = orgs[i].weight;
    }
}
