/*
 * flow-quota: what the organisations' caps admit.
 *
 * LOAD   organisations that submit far more than their caps admit.  What waits
 *        for its cap neither reserves endpoints nor preempts, and is not
 *        searched for endpoints.
 *
 * docs/design/quota.md tells what counts as use.
 */
#include "flow-command.h"
#include "flow-config-versions.h"
#include "flow-endpoint-state.h"
#include "flow-placement.h"
#include "flow-quota.h"
#include "flow-reserve.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "quota.h"

struct mw_quota *
mw_get_quota(struct mw_flows *flows)
{
    const struct mw_flow_config *config = mw_get_flow_config(&flows->configs);
    uint64_t version = config ? config->version : 0;

    if (version != flows->quota_version) {
        mw_set_quota_caps(flows->quota, config ? config->org_count : 0,
                          config ? config->orgs : NULL);
        flows->quota_version = version;
    }
    return flows->quota;
}

uint32_t
mw_tasks_within_cap(struct mw_flows *flows, struct mw_task_group *group,
                    uint32_t waiting)
{
    uint32_t left =
        mw_quota_tasks_left(mw_get_quota(flows), &group->flow->org,
                            &group->step->need, waiting, &group->cap_limit);

    return group->step->gang && left < waiting ? 0 : left;
}

uint32_t
mw_draw_cap_for_demand(struct mw_flows *flows,
                       const struct mw_task_group *group)
{
    const struct mw_name *org = &group->flow->org;
    const struct mw_flow_resources *need = &group->step->need;
    enum mw_quota_limit limit;
    uint32_t waiting;

    if (!mw_quota_has_cap(flows->quota, org)) {
        return 0;
    }
    waiting = mw_count_waiting_tasks(group);
    if (group->step->gang && mw_quota_tasks_left(flows->quota, org, need,
                                                 waiting, &limit) < waiting) {
        return waiting;
    }
    return waiting - mw_draw_quota(flows->quota, org, need, waiting);
}

void
mw_note_cap_wait(struct mw_flows *flows, struct mw_task_group *group,
                 int64_t now_us)
{
    if (group->capped_us == 0) {
        group->capped_us = now_us;
        group->cap_report_deadline_us = now_us;
        flows->counters.cap_waits++;
    }
    /* it waits for no room, so neither time runs */
    group->guaranteed_us = 0;
    if (group->step->gang) {
        group->capped_until_us = now_us;
    }
    if (group->reserved_count > 0) {
        mw_release_reservation(flows, group);
        group->preemption_deadline_us = 0;
    }
    mw_claim_quota(flows->quota, &group->flow->org, &group->step->need,
                   group->step->gang ? group->step->count : 1, true);
}

/* stray_use: what a run without a placement uses. */
struct stray_use {
    struct mw_name org;
    struct mw_flow_resources need;
};

void
mw_count_stray_run(struct mw_flows *flows, struct mw_flow_endpoint *endpoint,
                   const struct mw_task_id *task)
{
    struct mw_task_group *group;
    struct stray_use use;

    if (!mw_find_task(flows, task, &group)) {
        return;
    }
    use = (struct stray_use){group->flow->org, group->step->need};
    if (!endpoint->stray_uses) {
        endpoint->stray_uses = g_array_new(FALSE, FALSE, sizeof use);
    }
    g_array_append_val(endpoint->stray_uses, use);
    mw_add_quota_use(flows->quota, &use.org, &use.need);
}

void
mw_forget_stray_runs(struct mw_flows *flows, struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; endpoint->stray_uses && i < endpoint->stray_uses->len;
         i++) {
        const struct stray_use *use =
            &g_array_index(endpoint->stray_uses, struct stray_use, i);

        mw_subtract_quota_use(flows->quota, &use->org, &use->need);
    }
    g_clear_pointer(&endpoint->stray_uses, g_array_unref);
}

bool
mw_caps_admit_plan(const struct mw_flow_org *org,
                   const struct mw_flow_plan *plan)
{
    for (uint32_t i = 0; org && i < plan->step_count; i++) {
        const struct mw_flow_step *step = &plan->steps[i];

        if (!mw_cap_admits(&org->cap, &step->need,
                           step->gang ? step->count : 1)) {
            return false;
        }
    }
    return true;
}

/* Whether a start of the gang may have reached its endpoint. */
static bool
has_sent_starts(const struct mw_task_group *group)
{
    for (uint32_t i = 0; i < group->step->count; i++) {
        const struct mw_task_placement *placement = group->tasks[i].placement;

        if (placement && !mw_run_is_unsent(placement)) {
            return true;
        }
    }
    return false;
}

bool
mw_start_is_within_cap(struct mw_flows *flows,
                       const struct mw_task_placement *placement)
{
    const struct mw_task_group *group = placement->group;

    if (!mw_quota_is_exceeded(mw_get_quota(flows), &group->flow->org)) {
        return true;
    }
    if (group->step->gang) {
        return has_sent_starts(group);
    }
    return placement->phase != MW_PLACEMENT_UNKNOWN &&
           !mw_run_is_unsent(placement);
}
