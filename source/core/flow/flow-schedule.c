/*
 * flow-schedule: scheduling passes.
 *
 * A pass handles expired leases, commands to send again and lease renewals
 * for each endpoint, and then places the waiting task groups by rank.
 */
#include "flow-capacity.h"
#include "flow-command-queue.h"
#include "flow-command.h"
#include "flow-crash.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-health.h"
#include "flow-identified-run.h"
#include "flow-late-start.h"
#include "flow-lease.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-preempt.h"
#include "flow-queue.h"
#include "flow-quota.h"
#include "flow-run-end.h"
#include "flow-registry.h"
#include "flow-reserve.h"
#include "flow-schedule.h"
#include "flow-scheduler-state.h"
#include "flow-silence.h"
#include "flow-speed.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "flow-urgent-pool.h"
#include "flow-wait.h"
#include "interference.h"
#include "mimosawind/flow.h"
#include "quota.h"

/* at full pace, with few endpoints */
#define FULL_PACE_RENEWALS_MIN 16

static void
expire_leases(struct mw_flows *flows, int64_t now_us,
              struct mw_flow_endpoint *endpoint)
{
    bool lost = true;

    while (lost) {
        lost = false;
        for (guint i = 0; i < endpoint->placements->len; i++) {
            struct mw_task_placement *placement =
                endpoint->placements->pdata[i];

            if (!mw_run_is_unsent(placement) &&
                now_us >= mw_run_expiry(flows, placement)) {
                mw_lose_run(flows, now_us, placement, "lease_lapsed");
                lost = true;
                break;
            }
        }
    }
}

/*
 * Whether it isn't known which process a start would reach, or what it has, or
 * whether it has room: runs without a placement are being stopped there.
 */
static bool
must_await_list(const struct mw_flow_endpoint *endpoint)
{
    return endpoint->renewal_failures > 0 || endpoint->is_contested ||
           !endpoint->list_read || endpoint->awaiting_heartbeat ||
           endpoint->unknown_runs > 0 || mw_is_muted(endpoint);
}

static void
resend_start(struct mw_flows *flows, int64_t now_us,
             struct mw_task_placement *placement)
{
    if (!mw_may_start_again(flows, now_us, placement)) {
        mw_give_up_start(flows, now_us, placement);
    }
    else if (must_await_list(placement->endpoint)) {
        return;
    }
    else if (mw_start_fits(placement, now_us)) {
        mw_send_start(flows, now_us, placement);
    }
    else {
        mw_give_up_start(flows, now_us, placement);
    }
}

static void
resend_commands(struct mw_flows *flows, int64_t now_us,
                struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        struct mw_task_placement *placement = endpoint->placements->pdata[i];

        if (placement->command_pending ||
            now_us < placement->retry_deadline_us) {
            continue;
        }
        if (placement->phase == MW_PLACEMENT_STARTING) {
            resend_start(flows, now_us, placement);
        }
        else if (placement->phase == MW_PLACEMENT_STOPPING) {
            mw_send_stop(flows, now_us, placement);
        }
    }
}

static bool
has_started_runs(const struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        const struct mw_task_placement *placement =
            endpoint->placements->pdata[i];

        if (placement->phase != MW_PLACEMENT_PROPOSED &&
            placement->phase != MW_PLACEMENT_STARTING) {
            return true;
        }
    }
    return false;
}

/*
 * Whether the renewal can be left for later: nothing waits for the list, and
 * the lease lasts for margin_us.
 */
static bool
can_renew_later(const struct mw_flow_endpoint *endpoint, int64_t now_us,
                int64_t margin_us)
{
    if (endpoint->placements->len == 0) {
        return !mw_late_starts_need_list(endpoint, now_us);
    }
    if (endpoint->committed_end > endpoint->acknowledged_end &&
        mw_is_identified(endpoint, now_us)) {
        return false;
    }
    return mw_may_long_poll(endpoint) && endpoint->list_read &&
           endpoint->unknown_runs == 0 &&
           now_us < endpoint->lease_expiry_us - margin_us;
}

static bool
needs_renewal(const struct mw_flows *flows,
              const struct mw_flow_endpoint *endpoint, int64_t now_us)
{
    if (mw_command_queue_is_late(&flows->command_queue) &&
        !endpoint->is_leaving && !endpoint->is_contested &&
        endpoint->list_read &&
        can_renew_later(endpoint, now_us, MW_LATE_RENEWAL_MARGIN_US)) {
        return false;
    }
    if (endpoint->renewal_pending || !endpoint->registered ||
        endpoint->deregistered || endpoint->uncommitted_ends > 0 ||
        now_us < endpoint->renewal_deadline_us) {
        return false;
    }
    /* its heartbeats arrive, so commands may reach it again */
    if (endpoint->renewal_failures > 0 &&
        now_us - endpoint->last_contact_us < MW_CONTACT_TIMEOUT_US) {
        return true;
    }
    return !endpoint->list_read || endpoint->unknown_runs > 0 ||
           endpoint->is_leaving || endpoint->is_contested ||
           has_started_runs(endpoint) ||
           mw_late_starts_need_list(endpoint, now_us) ||
           endpoint->committed_end > endpoint->acknowledged_end;
}

/*
 * How many renewals one pass may send.  At full pace these are twice as many
 * as are due if those of all endpoints are spread evenly over a long poll.
 */
static uint32_t
renewals_per_pass(const struct mw_flows *flows)
{
    uint32_t spread = (uint32_t)(2 * g_hash_table_size(flows->endpoints) *
                                 MW_FLOW_PASS_US / MW_RENEWAL_LONG_POLL_US);

    return MAX(mw_command_pace(&flows->command_queue,
                               MAX(spread, FULL_PACE_RENEWALS_MIN)),
               1);
}

/*
 * Sends the renewal in this pass, or leaves it for a later one: many at once
 * would delay the other commands.
 */
static void
send_renewal_in_turn(struct mw_flows *flows, int64_t now_us,
                     struct mw_flow_endpoint *endpoint)
{
    if (flows->renewals_left == 0 &&
        can_renew_later(endpoint, now_us, MW_URGENT_RENEWAL_MARGIN_US)) {
        flows->has_renewals_left = true;
        return;
    }
    flows->renewals_left -= flows->renewals_left > 0;
    mw_send_renewal(flows, now_us, endpoint);
}

static void
maintain_endpoint(struct mw_flows *flows, int64_t now_us,
                  struct mw_flow_endpoint *endpoint)
{
    mw_close_past_grants(flows, endpoint, now_us);
    if (endpoint->placements->len > 0 &&
        now_us >= mw_last_lease_expiry(flows, endpoint)) {
        expire_leases(flows, now_us, endpoint);
    }
    mw_settle_late_starts(flows, now_us, endpoint, 0);
    mw_record_blame(flows, endpoint);
    if (endpoint->stray_uses &&
        now_us >= mw_stray_lease_expiry(flows, endpoint)) {
        mw_forget_stray_runs(flows, endpoint);
    }
    if (!endpoint->registered) {
        return;
    }
    resend_commands(flows, now_us, endpoint);
    mw_stop_stalled_runs(flows, now_us, endpoint);
    if (needs_renewal(flows, endpoint, now_us)) {
        send_renewal_in_turn(flows, now_us, endpoint);
    }
}

static void
share_checkpoint(struct mw_task_record *entry, struct mw_blob *checkpoint)
{
    mw_drop_blob(entry->checkpoint);
    entry->checkpoint = mw_keep_blob(checkpoint);
}

/* Proposes a record of the runs; their starts are sent once it is committed.
 */
static void
propose_runs(struct mw_flows *flows, int64_t now_us,
             struct mw_task_group *group, GPtrArray *chosen)
{
    struct mw_record *record = mw_new_record(MW_RECORD_TASKS);
    uint32_t gang_run = mw_task_group_last_run(group) + 1;
    guint next = 0;

    record->tasks.entries = g_new0(struct mw_task_record, chosen->len);
    for (uint32_t i = 0; i < group->step->count && next < chosen->len; i++) {
        struct mw_flow_task *task = &group->tasks[i];
        struct mw_task_record *entry = &record->tasks.entries[next];
        struct mw_flow_endpoint *endpoint;

        if (!mw_task_is_waiting(task)) {
            continue;
        }
        endpoint = chosen->pdata[next++];
        record->tasks.count = next;
        mw_init_task_record(group, i, entry);
        entry->state = MW_TASK_ASSIGNED;
        entry->run = group->step->gang ? gang_run : task->run + 1;
        entry->endpoint = endpoint->id;
        entry->incarnation = endpoint->incarnation;
        entry->starts = 1;
        share_checkpoint(entry, mw_resume_checkpoint(group, i));
        entry->assigned_ms =
            mw_flow_clock_ms(mw_flow_clock_time(&flows->clock, now_us));
        mw_add_task_placement(flows, endpoint, group, i, entry->run,
                              MW_PLACEMENT_PROPOSED);
    }
    if (!mw_propose_tasks(flows, record)) {
        for (uint32_t i = 0; i < group->step->count; i++) {
            struct mw_task_placement *placement = group->tasks[i].placement;

            if (placement && placement->phase == MW_PLACEMENT_PROPOSED) {
                mw_free_task_placement(flows, placement);
            }
        }
    }
    mw_drop_record(record);
}

/* misfit: a group that found no endpoint in this pass. */
struct misfit {
    const struct mw_task_group *group;
    /* tasks of which none found an endpoint: a whole gang, or 1 */
    uint32_t wanted;
};

/* Whether the group could be placed only where the misfit could be, too. */
static bool
requires_as_much(const struct mw_task_group *group,
                 const struct misfit *misfit)
{
    const struct mw_flow_step *a = group->step;
    const struct mw_flow_step *b = misfit->group->step;

    return a->need.cpu >= b->need.cpu &&
           a->need.memory_mb >= b->need.memory_mb &&
           a->need.gpus >= b->need.gpus && a->gang == b->gang &&
           a->prefer_one_rack == b->prefer_one_rack && b->data_rack.len == 0 &&
           b->max_per_endpoint == 0 && mw_name_equal(&a->label, &b->label) &&
           group->ready_us >= misfit->group->ready_us &&
           mw_rack_wait_start_us(group) >=
               mw_rack_wait_start_us(misfit->group) &&
           group->rank >= misfit->group->rank &&
           (b->checkpointing || !a->checkpointing) &&
           mw_name_equal(&group->flow->route.service,
                         &misfit->group->flow->route.service);
}

/*
 * Whether the search for endpoints can be skipped: a group that requires at
 * least as much as a misfit does not fit either.  One that has waited longer
 * may use endpoints that the misfit may not use yet, and is searched for, as
 * is one that has a reservation.
 */
static bool
is_misfit(const GArray *misfits, const struct mw_task_group *group,
          uint32_t wanted)
{
    if (group->reserved_count > 0) {
        return false;
    }
    for (guint i = 0; i < misfits->len; i++) {
        const struct misfit *misfit =
            &g_array_index(misfits, struct misfit, i);

        if (wanted >= misfit->wanted && requires_as_much(group, misfit)) {
            return true;
        }
    }
    return false;
}

/* Its flow is to fail, and the record of that is not committed. */
static bool
has_crashing_task(const struct mw_task_group *group)
{
    for (uint32_t i = 0; group->is_suspect && i < group->step->count; i++) {
        if (group->tasks[i].state != MW_TASK_DONE &&
            mw_crash_limit_is_reached(group->tasks[i].crash_score)) {
            return true;
        }
    }
    return false;
}

static void
place_task_group(struct mw_flows *flows, int64_t now_us,
                 struct mw_task_group *group, GPtrArray *chosen,
                 GArray *misfits)
{
    uint32_t waiting = mw_count_waiting_tasks(group);
    uint32_t wanted = mw_tasks_within_cap(flows, group, waiting);
    struct misfit misfit = {group, group->step->gang ? waiting : 1};
    uint32_t found = 0;

    g_ptr_array_set_size(chosen, 0);
    if (wanted > 0 && !is_misfit(misfits, group, misfit.wanted)) {
        found = mw_choose_endpoints(flows, group, now_us, wanted, chosen);
        if (found == 0) {
            g_array_append_val(misfits, misfit);
        }
    }
    if (found > 0) {
        propose_runs(flows, now_us, group, chosen);
    }
    if (found == waiting) {
        mw_release_reservation(flows, group);
    }
    if (found == wanted && wanted < waiting) {
        mw_note_cap_wait(flows, group, now_us);
        mw_preempt_for_cap(flows, group, waiting - wanted, now_us);
        return;
    }
    group->capped_us = 0;
    if (found < wanted && group->rank == 2) {
        mw_reserve_for_task_group(flows, group, wanted, now_us);
    }
    else if (found < wanted) {
        mw_preempt_for_task_group(flows, group, wanted - found, now_us);
    }
    /* runs may have been stopped for it */
    if (found < wanted && group->reserved_count > 0 &&
        group->rank <= MW_URGENT_RANK_MAX) {
        mw_claim_quota(flows->quota, &group->flow->org, &group->step->need,
                       wanted - found, false);
    }
}

static void
place_waiting_groups(struct mw_flows *flows, int64_t now_us, int64_t wall_us)
{
    GPtrArray *groups = mw_rank_waiting_groups(flows, now_us, wall_us);
    GPtrArray *chosen = g_ptr_array_new();
    GArray *misfits = g_array_new(FALSE, FALSE, sizeof(struct misfit));

    mw_clear_quota_claims(mw_get_quota(flows));
    mw_update_urgent_pools(flows, now_us);
    mw_compare_speeds(flows);
    mw_clear_quota_claims(flows->quota);
    mw_sort_waiting_groups(flows, groups);
    for (guint i = 0; i < groups->len; i++) {
        struct mw_task_group *group = groups->pdata[i];

        if (has_crashing_task(group)) {
            mw_fail_crashing_flow(flows, group->flow);
        }
        else if (group->rank <= MW_URGENT_RANK_MAX ||
                 mw_may_place_starts(&flows->command_queue,
                                     flows->proposed_runs)) {
            place_task_group(flows, now_us, group, chosen, misfits);
        }
    }
    g_array_unref(misfits);
    g_ptr_array_unref(chosen);
    g_ptr_array_unref(groups);
}

/* Whether leases exceed the horizon where the task's run was placed. */
static bool
exceeds_horizon(struct mw_flows *flows, const struct mw_flow_task *task)
{
    const struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &task->endpoint);

    return endpoint && !task->is_identified &&
           !mw_is_within_horizon(flows, endpoint) &&
           !mw_record_none_identified(flows, endpoint);
}

/*
 * Returns tasks to waiting that are recorded as assigned but have no
 * placement: their runs are known to be over.
 */
static void
release_orphaned_tasks(struct mw_flows *flows)
{
    struct mw_record *record = mw_new_record(MW_RECORD_TASKS);
    GArray *entries = g_array_new(FALSE, TRUE, sizeof(struct mw_task_record));

    for (guint f = 0; f < flows->active->len; f++) {
        struct mw_flow *flow = flows->active->pdata[f];

        for (uint32_t u = 0; u < flow->group_count; u++) {
            struct mw_task_group *group = &flow->groups[u];

            for (uint32_t i = 0; i < group->step->count; i++) {
                const struct mw_flow_task *task = &group->tasks[i];
                struct mw_task_record entry;

                if (task->state != MW_TASK_ASSIGNED || task->placement ||
                    task->awaits_late_start || task->uncommitted_records > 0 ||
                    exceeds_horizon(flows, task)) {
                    continue;
                }
                mw_init_task_record(group, i, &entry);
                g_array_append_val(entries, entry);
            }
        }
    }
    record->tasks.count = entries->len;
    record->tasks.entries =
        (struct mw_task_record *)(void *)g_array_free(entries, FALSE);
    if (record->tasks.count > 0) {
        mw_propose_tasks(flows, record);
    }
    mw_drop_record(record);
}

void
mw_run_scheduling_pass(struct mw_flows *flows, int64_t now_us, int64_t wall_us)
{
    GHashTableIter iter;
    gpointer value;

    mw_update_command_queue(&flows->command_queue, now_us);
    flows->renewals_left = renewals_per_pass(flows);
    flows->has_renewals_left = false;
    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        maintain_endpoint(flows, now_us, value);
    }
    place_waiting_groups(flows, now_us, wall_us);
    mw_report_long_waits(flows, now_us, wall_us);
    flows->dirty = flows->has_renewals_left;
}

static void
remove_ended_flows(struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->flows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_flow *flow = value;
        struct mw_record *record;

        if (flow->state == MW_FLOW_ACTIVE) {
            continue;
        }
        if (flow->ended_us == 0) {
            flow->ended_us = now_us;
        }
        if (now_us - flow->ended_us < flows->limits.state_retention_us) {
            continue;
        }
        flow->ended_us = now_us;
        record = mw_new_record(MW_RECORD_FLOW_STATE);
        record->flow_state.id = flow->id;
        record->flow_state.state = flow->state;
        record->flow_state.remove = true;
        flows->output.propose(flows->output.opaque, record);
        mw_drop_record(record);
    }
}

void
mw_flows_tick(struct mw_context *ctx, struct mw_flows *flows, int64_t now_us,
              int64_t wall_us)
{
    (void)ctx;
    flows->now_us = now_us;
    if (!flows->is_leader || flows->suspended) {
        return;
    }
    mw_send_waiting_commands(flows, now_us);
    if (now_us >= flows->tick_deadline_us) {
        flows->tick_deadline_us = now_us + MW_FLOW_TICK_US;
    }
    if (now_us >= flows->maintenance_deadline_us) {
        flows->maintenance_deadline_us = now_us + MW_FLOW_MAINTENANCE_US;
        release_orphaned_tasks(flows);
        remove_ended_flows(flows, now_us);
        mw_remove_stale_endpoint_records(flows, now_us);
        mw_record_unheard_capacities(flows, now_us);
        mw_record_endpoint_speeds(flows, now_us);
        mw_record_identified_runs(flows, now_us);
        mw_record_silences(flows, now_us);
        mw_update_interference(flows->interference, now_us);
    }
    if (now_us >= flows->pass_deadline_us) {
        flows->pass_deadline_us = now_us + MW_FLOW_PASS_US;
        mw_run_scheduling_pass(flows, now_us, wall_us);
    }
}

int64_t
mw_flows_deadline(const struct mw_flows *flows)
{
    if (!flows->is_leader || flows->suspended) {
        return INT64_MAX;
    }
    return flows->dirty ? MIN(flows->pass_deadline_us, flows->tick_deadline_us)
                        : flows->tick_deadline_us;
}
