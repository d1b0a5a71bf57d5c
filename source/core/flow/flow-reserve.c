/*
 * flow-reserve: endpoints that are reserved for a group until it is placed.
 *
 * A reservation keeps other work off for a limited time.  That of a group that
 * only waits for runs to end does not keep a free half of the service idle.
 */
#include "flow-endpoint-state.h"
#include "flow-event.h"
#include "flow-place.h"
#include "flow-reserve.h"
#include "flow-scheduler-state.h"
#include "flow-task-state.h"
#include "flow-urgent-pool.h"

void
mw_reserve_endpoints(GPtrArray *selected, struct mw_task_group *group,
                     int64_t deadline_us)
{
    for (guint i = 0; i < selected->len; i++) {
        struct mw_flow_endpoint *endpoint = selected->pdata[i];

        endpoint->reserved_for = group;
        endpoint->reserved_rank = group->rank;
        endpoint->reserved_deadline_us = deadline_us;
    }
    group->reserved_count = selected->len;
}

void
mw_release_reservation(struct mw_flows *flows, struct mw_task_group *group)
{
    GHashTableIter iter;
    gpointer value;

    if (group->reserved_count == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mw_flow_endpoint *endpoint = value;

        if (endpoint->reserved_for == group) {
            endpoint->reserved_for = NULL;
        }
    }
    group->reserved_count = 0;
}

bool
mw_is_reservation_broken(const struct mw_flows *flows,
                         const struct mw_task_group *group, int64_t now_us)
{
    uint32_t reserved = 0;

    if (group->reserved_count == 0 ||
        now_us < group->reserved_us + MW_PREEMPTION_RETRY_US) {
        return false;
    }
    for (guint i = 0; i < flows->usable->len; i++) {
        const struct mw_flow_endpoint *endpoint = flows->usable->pdata[i];

        reserved += endpoint->reserved_for == group;
    }
    return reserved < group->reserved_count;
}

/* Tasks of the group that fit now on the endpoints reserved for it. */
static uint32_t
reserved_capacity(const struct mw_flows *flows,
                  const struct mw_task_group *group)
{
    uint32_t capacity = 0;

    for (guint i = 0; i < flows->usable->len; i++) {
        const struct mw_flow_endpoint *endpoint = flows->usable->pdata[i];

        if (endpoint->reserved_for == group) {
            capacity += mw_tasks_that_fit(&endpoint->heartbeat.total,
                                          &endpoint->used, &group->step->need);
        }
    }
    return capacity;
}

static const char *
lost_reservation_outcome(const struct mw_flows *flows,
                         const struct mw_task_group *group, uint32_t tasks,
                         uint32_t capacity, int64_t now_us)
{
    if (mw_is_reservation_broken(flows, group, now_us)) {
        return "endpoint_lost";
    }
    return capacity >= tasks ? "not_used" : "not_free";
}

void
mw_report_lost_reservation(struct mw_flows *flows, struct mw_task_group *group,
                           uint32_t tasks, int64_t now_us)
{
    uint32_t capacity = reserved_capacity(flows, group);

    flows->counters.reservations_lost++;
    mw_emit_task_group_event(
        flows, "reservation_lost", group,
        lost_reservation_outcome(flows, group, tasks, capacity, now_us), tasks,
        capacity, now_us - group->ready_us);
    mw_release_reservation(flows, group);
}

uint32_t
mw_count_reserved(const struct mw_flows *flows, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t reserved = 0;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_flow_endpoint *endpoint = value;

        reserved +=
            endpoint->reserved_for && endpoint->reserved_deadline_us > now_us;
    }
    return reserved;
}

bool
mw_reservation_excludes(const struct mw_flow_endpoint *endpoint,
                        const struct mw_task_group *group, int64_t now_us)
{
    if (!endpoint->reserved_for || endpoint->reserved_for == group ||
        group->rank < endpoint->reserved_rank ||
        now_us >= endpoint->reserved_deadline_us) {
        return false;
    }
    return endpoint->reserved_rank <= MW_URGENT_RANK_MAX ||
           !mw_has_waited_beside_free_half(endpoint, group, now_us);
}
