/*
 * flow-org-status: what the organisations use and wait for, for metrics.
 *
 * LOAD   hundreds of organisations: only those that use most are listed, so
 *        that the metrics stay bounded.
 */
#include <string.h>

#include "flow-quota.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "mimosawind/flow.h"
#include "quota.h"

/* The status in a table by name, which is added if there is none. */
static struct mw_flow_org_status *
get_status(GHashTable *by_name, const struct mw_name *name)
{
    struct mw_flow_org_status *status = g_hash_table_lookup(by_name, name);

    if (!status) {
        status = g_new0(struct mw_flow_org_status, 1);
        status->name = *name;
        status->weight = 1;
        g_hash_table_insert(by_name, &status->name, status);
    }
    return status;
}

static void
add_status(void *by_name, const struct mw_quota_org *org)
{
    struct mw_flow_org_status *status = get_status(by_name, &org->name);

    status->used = org->used;
    status->cap = org->cap;
    status->weight = org->weight;
}

static void
add_waiting_tasks(const struct mw_flows *flows, GHashTable *by_name)
{
    for (guint f = 0; f < flows->active->len; f++) {
        const struct mw_flow *flow = flows->active->pdata[f];
        struct mw_flow_org_status *status = get_status(by_name, &flow->org);

        for (uint32_t u = 0; u < flow->group_count; u++) {
            const struct mw_task_group *group = &flow->groups[u];

            /* a pass has seen it to be ready */
            if (group->ready_us > 0 &&
                group->done_count < group->step->count) {
                status->waiting_tasks += mw_count_waiting_tasks(group);
            }
        }
    }
}

/* The largest first: by accelerators, then processors, then memory. */
static gint
by_use(gconstpointer a, gconstpointer b)
{
    const struct mw_flow_org_status *x =
        *(const struct mw_flow_org_status *const *)a;
    const struct mw_flow_org_status *y =
        *(const struct mw_flow_org_status *const *)b;

    if (x->used.gpus != y->used.gpus) {
        return x->used.gpus > y->used.gpus ? -1 : 1;
    }
    if (x->used.cpu != y->used.cpu) {
        return x->used.cpu > y->used.cpu ? -1 : 1;
    }
    if (x->used.memory_mb != y->used.memory_mb) {
        return x->used.memory_mb > y->used.memory_mb ? -1 : 1;
    }
    return memcmp(&x->name, &y->name, sizeof x->name);
}

static void
add_to_sum(struct mw_flow_org_status *sum,
           const struct mw_flow_org_status *status)
{
    sum->used.cpu += status->used.cpu;
    sum->used.memory_mb += status->used.memory_mb;
    sum->used.gpus += status->used.gpus;
    sum->waiting_tasks += status->waiting_tasks;
}

uint32_t
mw_flows_get_orgs(struct mw_flows *flows, struct mw_flow_org_status *orgs)
{
    GHashTable *by_name =
        g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, g_free);
    struct mw_flow_org_status sum = {.name = mw_name_of(MW_STR("other")),
                                     .is_sum = true};
    uint32_t count = 0;
    GPtrArray *sorted = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    if (flows->is_leader) {
        mw_each_quota_org(mw_get_quota(flows), by_name, add_status);
        add_waiting_tasks(flows, by_name);
    }
    g_hash_table_iter_init(&iter, by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(sorted, value);
    }
    g_ptr_array_sort(sorted, by_use);
    for (guint i = 0; i < sorted->len; i++) {
        const struct mw_flow_org_status *status = sorted->pdata[i];
        bool has_name_of_sum = sorted->len > MW_FLOW_ORGS_NAMED_MAX &&
                               mw_name_equal(&status->name, &sum.name);

        if (count < MW_FLOW_ORGS_NAMED_MAX && !has_name_of_sum) {
            orgs[count++] = *status;
        }
        else {
            add_to_sum(&sum, status);
        }
    }
    if (count < sorted->len) {
        orgs[count++] = sum;
    }
    g_ptr_array_unref(sorted);
    g_hash_table_unref(by_name);
    return count;
}
