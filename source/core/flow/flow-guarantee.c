/*
 * flow-guarantee: which urgent flows are within their organisation's
 * guarantee, and which use more.
 *
 * LOAD   urgent flows of many organisations that together need more than the
 *        endpoints have.  The oldest flows of an organisation that need no
 *        more than its guarantee are placed first.  They may stop urgent work
 *        of others only while their organisation runs less than its guarantee,
 *        and only runs with which another one exceeds its own.
 */
#include "flow-config-versions.h"
#include "flow-guarantee.h"
#include "flow-placement-state.h"
#include "flow-scheduler-state.h"
#include "flow-task-state.h"

/*
 * org_use: what the urgent flows of an organisation need and use.  Flows are
 * visited oldest first.
 */
struct org_use {
    uint32_t guaranteed_gpus;
    /* that the flows visited so far need, running or not */
    uint32_t needed_gpus;
    /* of the runs of all its flows */
    uint32_t running_gpus;
    /* of the runs of the flows visited so far */
    uint32_t visited_gpus;
    /* that the flows visited so far wait for and may reclaim */
    uint32_t reclaimed_gpus;
};

/* The accelerators of the flow's largest step. */
static uint32_t
peak_gpus(const struct mw_flow *flow)
{
    uint32_t most = 0;

    for (uint32_t i = 0; i < flow->plan->step_count; i++) {
        const struct mw_flow_step *step = &flow->plan->steps[i];

        most = MAX(most, step->count * step->need.gpus);
    }
    return most;
}

/* The accelerators of the flow's runs, except of runs that are being stopped.
 */
static uint32_t
running_gpus(const struct mw_flow *flow)
{
    uint32_t gpus = 0;

    for (uint32_t i = 0; i < flow->group_count; i++) {
        const struct mw_task_group *group = &flow->groups[i];

        for (uint32_t t = 0; t < group->step->count; t++) {
            const struct mw_task_placement *placement =
                group->tasks[t].placement;

            if (placement && placement->phase != MW_PLACEMENT_STOPPING &&
                placement->phase != MW_PLACEMENT_STOPPED) {
                gpus += placement->need.gpus;
            }
        }
    }
    return gpus;
}

static GHashTable *
new_org_uses(const struct mw_flow_config *config)
{
    GHashTable *uses =
        g_hash_table_new_full(mw_hash_name, mw_same_name, NULL, g_free);

    for (uint32_t i = 0; config && i < config->org_count; i++) {
        struct org_use *use = g_new0(struct org_use, 1);

        use->guaranteed_gpus = config->orgs[i].guaranteed_gpus;
        g_hash_table_insert(uses, &config->orgs[i].name, use);
    }
    return uses;
}

/* The use of a flow's organisation; NULL if no guarantee applies to it. */
static struct org_use *
find_org_use(GHashTable *uses, const struct mw_flow *flow)
{
    return flow->route.priority == 0 ? g_hash_table_lookup(uses, &flow->org)
                                     : NULL;
}

static void
apply_guarantee(struct mw_flow *flow, struct org_use *use)
{
    uint32_t need_gpus = peak_gpus(flow);
    uint32_t wanted_gpus =
        need_gpus > flow->running_gpus ? need_gpus - flow->running_gpus : 0;

    use->needed_gpus += need_gpus;
    use->visited_gpus += flow->running_gpus;
    flow->guaranteed = use->needed_gpus <= use->guaranteed_gpus;
    flow->exceeds_guarantee = use->visited_gpus > use->guaranteed_gpus;
    flow->may_reclaim =
        flow->guaranteed &&
        use->running_gpus + use->reclaimed_gpus + wanted_gpus <=
            use->guaranteed_gpus;
    if (flow->may_reclaim) {
        use->reclaimed_gpus += wanted_gpus;
    }
}

void
mw_apply_guarantees(struct mw_flows *flows)
{
    GHashTable *uses = new_org_uses(mw_get_flow_config(&flows->configs));

    for (guint f = 0; f < flows->active->len; f++) {
        struct mw_flow *flow = flows->active->pdata[f];
        struct org_use *use = find_org_use(uses, flow);

        flow->guaranteed = false;
        flow->may_reclaim = false;
        flow->exceeds_guarantee = flow->route.priority == 0;
        flow->running_gpus = use ? running_gpus(flow) : 0;
        if (use) {
            use->running_gpus += flow->running_gpus;
        }
    }
    for (guint f = 0; f < flows->active->len; f++) {
        struct mw_flow *flow = flows->active->pdata[f];
        struct org_use *use = find_org_use(uses, flow);

        if (use) {
            apply_guarantee(flow, use);
        }
    }
    g_hash_table_unref(uses);
}
