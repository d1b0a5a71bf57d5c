/*
 * flow-wait: reports task groups that wait for long although there is room,
 * and those that wait for their organisation's cap.
 *
 * LOAD   work that is not started beside idle endpoints.  No decision is made
 *        about it, so no event would tell what it waits for.
 *
 * Nothing is decided here.  A group that has had no run at work for
 * REPORT_WAIT_US is reported with the reason that keeps the most room from it,
 * and again each time its wait has doubled.  One whose organisation's cap
 * keeps tasks waiting is reported as such, the first time at once.
 */
#include "flow-crash.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-event.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-reserve.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "flow-urgent-pool.h"
#include "flow-wait.h"
#include "quota.h"

#define REPORT_WAIT_US INT64_C(3000000)
#define REPORT_INTERVAL_US INT64_C(400000)
/* groups that are looked at each interval, and those that are reported as
 * waiting for a cap; the others follow in later ones */
#define LOOKS_MAX 16

/* hold: what keeps an endpoint's room, or all room, from a group. */
enum hold {
    /* an earlier run of it is not known to be over */
    HOLD_EARLIER_RUN = 0,
    HOLD_URGENT_POOL,
    HOLD_RESERVATION,
    /* a task that may crash endpoints is on trial there */
    HOLD_TRIAL,
    HOLD_QUARANTINE,
    /* no list of its runs, or no current capacity, is known */
    HOLD_NOT_HEARD,
    /* an earlier start of it may still be executed */
    HOLD_LATE_START,
    /* none: the group waits for a rack, or for commands before it */
    HOLD_NONE,
    HOLD_KINDS
};

static const char *
hold_str(enum hold hold)
{
    static const char *const texts[] = {
        "earlier_run", "urgent_pool", "reservation", "trial",
        "quarantine",  "not_heard",   "late_start",  "room_is_free"};

    return texts[hold];
}

static uint32_t
count_placements(const struct mw_task_group *group, bool at_work)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < group->step->count; i++) {
        const struct mw_task_placement *placement = group->tasks[i].placement;

        count += placement &&
                 at_work == (placement->phase == MW_PLACEMENT_PROPOSED ||
                             placement->phase == MW_PLACEMENT_STARTING ||
                             placement->phase == MW_PLACEMENT_RUNNING);
    }
    return count;
}

/* Draining endpoints and zones that are out have no room for any group. */
static bool
may_have_room(const struct mw_flows *flows,
              const struct mw_flow_endpoint *endpoint,
              const struct mw_task_group *group)
{
    return endpoint->registered && !endpoint->deregistered &&
           !endpoint->is_leaving && !endpoint->heartbeat.draining &&
           !mw_flow_zone_is_out(flows, &endpoint->heartbeat.zone) &&
           mw_name_equal(&endpoint->heartbeat.service,
                         &group->flow->route.service) &&
           (group->step->label.len == 0 ||
            mw_flow_endpoint_has_label(endpoint, &group->step->label));
}

static enum hold
hold_of_endpoint(const struct mw_flow_endpoint *endpoint,
                 const struct mw_task_group *group, int64_t now_us)
{
    if (!endpoint->usable) {
        if (now_us < endpoint->quarantine_deadline_us) {
            return HOLD_QUARANTINE;
        }
        return HOLD_NOT_HEARD;
    }
    if (mw_urgent_pool_excludes(endpoint, group, now_us)) {
        return HOLD_URGENT_POOL;
    }
    if (mw_trial_excludes(endpoint, group)) {
        return HOLD_TRIAL;
    }
    if (mw_reservation_excludes(endpoint, group, now_us)) {
        return HOLD_RESERVATION;
    }
    return HOLD_NONE;
}

/* Counts, by hold, the waiting tasks that idle room would fit. */
static void
count_room(const struct mw_flows *flows, const struct mw_task_group *group,
           int64_t now_us, uint32_t *room)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_flow_endpoint *endpoint = value;

        uint32_t tasks;

        if (!may_have_room(flows, endpoint, group)) {
            continue;
        }
        tasks = mw_tasks_that_fit(&endpoint->heartbeat.total, &endpoint->used,
                                  &group->step->need);
        tasks = MIN(tasks, mw_flow_endpoint_limit_left(endpoint, group));
        room[hold_of_endpoint(endpoint, group, now_us)] += tasks;
    }
}

static bool
awaits_late_start(const struct mw_task_group *group)
{
    for (uint32_t i = 0; i < group->step->count; i++) {
        if (group->tasks[i].awaits_late_start) {
            return true;
        }
    }
    return false;
}

/* What keeps the most room, if what is free is not enough. */
static enum hold
find_hold(const struct mw_task_group *group, const uint32_t *room,
          uint32_t required)
{
    enum hold hold = HOLD_EARLIER_RUN;

    if (count_placements(group, false) > 0) {
        return HOLD_EARLIER_RUN;
    }
    if (awaits_late_start(group)) {
        return HOLD_LATE_START;
    }
    if (room[HOLD_NONE] >= required) {
        return HOLD_NONE;
    }
    for (enum hold h = HOLD_EARLIER_RUN; h < HOLD_NONE; h++) {
        hold = room[h] > room[hold] ? h : hold;
    }
    return hold;
}

/* Reports the wait if there is room for a task, or for all of a gang. */
static void
report_wait(struct mw_flows *flows, const struct mw_task_group *group,
            int64_t now_us)
{
    uint32_t wanted = group->step->count - group->done_count;
    uint32_t required = group->step->gang ? wanted : 1;
    uint32_t room[HOLD_KINDS] = {0};
    uint32_t total = 0;

    count_room(flows, group, now_us, room);
    for (enum hold h = HOLD_EARLIER_RUN; h < HOLD_KINDS; h++) {
        total += room[h];
    }
    if (total < required) {
        return;
    }
    flows->counters.long_waits++;
    mw_emit_task_group_event(flows, "waits", group,
                             hold_str(find_hold(group, room, required)),
                             wanted, total, now_us - group->idle_since_us);
}

static void
report_cap_wait(struct mw_flows *flows, struct mw_task_group *group,
                int64_t now_us)
{
    int64_t waited_us = now_us - group->capped_us;

    group->cap_report_deadline_us = now_us + MAX(waited_us, REPORT_WAIT_US);
    mw_emit_task_group_event(flows, "cap_wait", group,
                             mw_quota_limit_str(group->cap_limit),
                             mw_count_waiting_tasks(group), 0, waited_us);
}

/* Whether the group's wait is due to be reported. */
static bool
is_report_due(struct mw_task_group *group, int64_t now_us, int64_t wall_us)
{
    if (group->done_count == group->step->count ||
        !mw_task_group_is_ready(group, wall_us) || group->capped_us > 0 ||
        count_placements(group, true) > 0) {
        group->idle_since_us = 0;
        return false;
    }
    if (group->idle_since_us == 0) {
        group->idle_since_us = now_us;
        group->wait_report_deadline_us = now_us + REPORT_WAIT_US;
    }
    return now_us >= group->wait_report_deadline_us;
}

void
mw_report_long_waits(struct mw_flows *flows, int64_t now_us, int64_t wall_us)
{
    uint32_t looks_left = LOOKS_MAX;
    uint32_t cap_reports_left = LOOKS_MAX;

    if (now_us < flows->wait_report_deadline_us) {
        return;
    }
    flows->wait_report_deadline_us = now_us + REPORT_INTERVAL_US;
    for (guint f = 0; f < flows->active->len; f++) {
        struct mw_flow *flow = flows->active->pdata[f];

        for (uint32_t i = 0; !flow->end_proposed && i < flow->group_count;
             i++) {
            struct mw_task_group *group = &flow->groups[i];

            if (group->capped_us > 0 && cap_reports_left > 0 &&
                now_us >= group->cap_report_deadline_us) {
                cap_reports_left--;
                report_cap_wait(flows, group, now_us);
            }
            if (!is_report_due(group, now_us, wall_us) || looks_left == 0) {
                continue;
            }
            looks_left--;
            report_wait(flows, group, now_us);
            group->wait_report_deadline_us =
                now_us + MAX(now_us - group->idle_since_us, REPORT_WAIT_US);
        }
    }
}
