/*
 * flow-queue: the order in which waiting work is placed.
 *
 * LOAD   bursts beyond the capacity of the endpoints.  Urgent work within its
 *        organisation's guarantee goes first, all other work by the priority
 *        of its queue, and within a priority the earliest deadline first.
 *        Work that has missed its deadline goes behind work that can still
 *        meet it, so that one burst does not make all later work late too.
 *
 *        Where an organisation has a weight or a cap, work of equal rank goes
 *        by the organisations' weighted shares first (policy/fair-share.h).
 */
#include <string.h>

#include "fair-share.h"
#include "flow-account.h"
#include "flow-config-versions.h"
#include "flow-guarantee.h"
#include "flow-queue.h"
#include "flow-quota.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "flow-urgent-pool.h"
#include "quota.h"

/* a result is of no use after this multiple of the latency objective */
#define TOO_LATE_FACTOR 3
/* rank of urgent work that is late: that of priority 1 */
#define LATE_RANK 2
/* TOO_LATE_FACTOR times as much can be added to any time */
#define OBJECTIVE_MAX_US ((guint64)INT64_MAX / 8)

static guint64
add_bounded(guint64 a, int64_t b)
{
    return MIN(a + MIN((guint64)b, OBJECTIVE_MAX_US), OBJECTIVE_MAX_US);
}

/*
 * The latency objective of a flow, or of each of its occurrences;
 * OBJECTIVE_MAX_US at most.
 */
static int64_t
latency_objective_us(const struct mw_flow *flow)
{
    guint64 chain_us = 0;
    guint64 scaled;

    for (uint32_t i = 0; i < flow->plan->step_count; i++) {
        chain_us = add_bounded(chain_us, flow->plan->steps[i].estimate_us);
    }
    if (!g_uint64_checked_mul(&scaled, chain_us, flow->route.slack_permille)) {
        return (int64_t)OBJECTIVE_MAX_US;
    }
    return (int64_t)add_bounded(MIN(scaled / 1000, OBJECTIVE_MAX_US),
                                flow->route.target_us);
}

static bool
needs_placement(const struct mw_task_group *group)
{
    uint32_t waiting = mw_count_waiting_tasks(group);

    return group->step->gang ? waiting == group->step->count : waiting > 0;
}

static gint
by_urgency(gconstpointer a, gconstpointer b)
{
    const struct mw_task_group *x = *(const struct mw_task_group *const *)a;
    const struct mw_task_group *y = *(const struct mw_task_group *const *)b;
    int64_t x_due_us = x->due_wall_us;
    int64_t y_due_us = y->due_wall_us;

    if (x->rank != y->rank) {
        return x->rank < y->rank ? -1 : 1;
    }
    if (x->lateness != y->lateness) {
        return x->lateness > y->lateness ? 1 : -1;
    }
    if (x_due_us != y_due_us) {
        return x_due_us < y_due_us ? -1 : 1;
    }
    if (x->flow != y->flow) {
        return memcmp(&x->flow->id, &y->flow->id, sizeof x->flow->id);
    }
    return x < y ? -1 : x > y;
}

static void
compute_rank(struct mw_task_group *group, int64_t now_us, int64_t wall_us)
{
    const struct mw_flow *flow = group->flow;
    int64_t objective_us = latency_objective_us(flow);
    int64_t from_us = flow->accepted_wall_us;

    if (flow->plan->scheduled) {
        from_us = mw_occurrence_due_us(flow->plan, group->occurrence);
    }
    if (group->ready_us == 0) {
        group->ready_us = now_us;
    }
    group->due_wall_us = from_us + objective_us;
    group->lateness = MW_ON_TIME;
    if (wall_us + group->step->estimate_us / 2 > group->due_wall_us) {
        group->lateness = MW_LATE;
    }
    if (wall_us > from_us + TOO_LATE_FACTOR * objective_us) {
        group->lateness = MW_TOO_LATE;
    }
    group->rank = 1 + flow->route.priority;
    if (!flow->guaranteed) {
        group->guaranteed_us = 0;
    }
    else if (group->guaranteed_us == 0) {
        group->guaranteed_us = now_us;
    }
    if (flow->guaranteed) {
        group->rank = 0;
    }
    else if (flow->route.priority == 0 && group->lateness != MW_ON_TIME) {
        group->rank = LATE_RANK;
    }
}

GPtrArray *
mw_rank_waiting_groups(struct mw_flows *flows, int64_t now_us, int64_t wall_us)
{
    GPtrArray *groups = g_ptr_array_new();

    mw_apply_guarantees(flows);
    for (guint f = 0; f < flows->active->len; f++) {
        struct mw_flow *flow = flows->active->pdata[f];

        for (uint32_t i = 0; !flow->end_proposed && i < flow->group_count;
             i++) {
            struct mw_task_group *group = &flow->groups[i];

            if (group->done_count == group->step->count ||
                !mw_task_group_is_ready(group, wall_us)) {
                continue;
            }
            compute_rank(group, now_us, wall_us);
            if (needs_placement(group)) {
                g_ptr_array_add(groups, group);
            }
        }
    }
    return groups;
}

static struct mw_flow_amounts
total_of_service(struct mw_flows *flows, const struct mw_name *service)
{
    const struct mw_urgent_pool *pool =
        g_hash_table_lookup(flows->urgent_pools, service);

    if (!pool) {
        return (struct mw_flow_amounts){0};
    }
    return (struct mw_flow_amounts){pool->total_cpu, pool->total_memory_mb,
                                    pool->total_gpus};
}

/* Returns struct mw_fair_account, and sets the indexes of flows->accounts. */
static GArray *
collect_accounts(struct mw_flows *flows)
{
    const struct mw_quota *quota = mw_get_quota(flows);
    GArray *collected =
        g_array_new(FALSE, FALSE, sizeof(struct mw_fair_account));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_flow_account *account = value;
        const struct mw_quota_org *org =
            mw_find_quota_org(quota, &account->org);
        struct mw_fair_account fair = {
            .weight = org ? org->weight : 1,
            .use = account->used,
            .total = total_of_service(flows, &account->service),
        };

        account->index = collected->len;
        g_array_append_val(collected, fair);
    }
    return collected;
}

static struct mw_fair_group
describe_group(struct mw_task_group *group)
{
    uint64_t waiting = mw_count_waiting_tasks(group);

    return (struct mw_fair_group){
        .account = group->flow->account->index,
        .rank = group->rank,
        .lateness = group->lateness,
        .due_us = group->due_wall_us,
        .id = &group->flow->id,
        .number = (uint32_t)(group - group->flow->groups),
        .demand = {waiting * group->step->need.cpu,
                   waiting * group->step->need.memory_mb,
                   waiting * group->step->need.gpus},
        .opaque = group,
    };
}

static void
sort_by_share(struct mw_flows *flows, GPtrArray *groups)
{
    GArray *accounts = collect_accounts(flows);
    struct mw_fair_group *described = g_new(struct mw_fair_group, groups->len);

    for (guint i = 0; i < groups->len; i++) {
        described[i] = describe_group(groups->pdata[i]);
    }
    mw_order_by_fair_share((struct mw_fair_account *)(void *)accounts->data,
                           accounts->len, described, groups->len);
    for (guint i = 0; i < groups->len; i++) {
        groups->pdata[i] = described[i].opaque;
    }
    g_free(described);
    g_array_unref(accounts);
}

void
mw_sort_waiting_groups(struct mw_flows *flows, GPtrArray *groups)
{
    const struct mw_flow_config *config = mw_get_flow_config(&flows->configs);

    if (config && config->has_shares) {
        sort_by_share(flows, groups);
    }
    else {
        g_ptr_array_sort(groups, by_urgency);
    }
}
