/*
 * flow-event: events for the log, and the texts of enumerators.
 */
#include <math.h>
#include <string.h>

#include "flow-command.h"
#include "flow-doubt.h"
#include "flow-endpoint-state.h"
#include "flow-event.h"
#include "flow-lease.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "mimosawind/flow.h"

static void
emit(struct mw_flows *flows, struct mw_flow_event *event)
{
    event->term = flows->fence;
    event->version = mw_flows_config_version(flows);
    flows->output.event(flows->output.opaque, event);
}

void
mw_emit_flow_event(struct mw_flows *flows, const char *name,
                   const struct mw_name *flow, const char *outcome)
{
    const struct mw_flow *found = mw_find_flow(flows, flow);
    struct mw_flow_event event = {
        .name = name, .flow = *flow, .outcome = outcome, .age_us = -1};

    if (found) {
        event.queue = found->route.name;
    }
    emit(flows, &event);
}

void
mw_emit_refused_event(struct mw_flows *flows, const struct mw_name *flow,
                      const char *reason, int64_t retry_after_us)
{
    struct mw_flow_event event = {.name = "refused",
                                  .flow = *flow,
                                  .outcome = reason,
                                  .age_us = -1,
                                  .retry_after_us = retry_after_us};

    emit(flows, &event);
}

void
mw_emit_task_event(struct mw_flows *flows, const char *name,
                   const struct mw_task_placement *placement,
                   const char *outcome, int64_t age_us)
{
    struct mw_task_id id = mw_placed_task_id(placement);
    struct mw_flow_event event = {
        .name = name,
        .task = &id,
        .flow = id.flow,
        .endpoint = placement->endpoint->id,
        .incarnation = placement->endpoint->incarnation,
        .run = placement->run,
        .outcome = outcome,
        .age_us = age_us,
    };

    emit(flows, &event);
}

void
mw_emit_run_over_event(struct mw_flows *flows,
                       const struct mw_task_placement *placement,
                       const char *reason, int64_t now_us)
{
    const struct mw_flow_endpoint *endpoint = placement->endpoint;
    struct mw_task_id id = mw_placed_task_id(placement);
    struct mw_flow_lease_event lease;
    struct mw_flow_run_event run;
    struct mw_flow_event event = {
        .name = "run_over",
        .is_doubt = true,
        .task = &id,
        .flow = id.flow,
        .endpoint = endpoint->id,
        .incarnation = endpoint->incarnation,
        .run = placement->run,
        .outcome = reason,
        .age_us = now_us - endpoint->last_contact_us,
        .crash_score = placement->crash_score,
        .lease = &lease,
        .assumed = &run,
    };

    mw_describe_lease(flows, endpoint, now_us, &lease);
    mw_describe_run(flows, placement, now_us, &run);
    emit(flows, &event);
}

void
mw_emit_taken_over_event(struct mw_flows *flows,
                         const struct mw_task_placement *placement,
                         const char *doubt,
                         const struct mw_flow_run_event *run)
{
    const struct mw_flow_endpoint *endpoint = placement->endpoint;
    struct mw_task_id id = mw_placed_task_id(placement);
    struct mw_flow_event event = {
        .name = "taken_over",
        .is_doubt = doubt != NULL,
        .task = &id,
        .flow = id.flow,
        .endpoint = endpoint->id,
        .incarnation = endpoint->incarnation,
        .run = placement->run,
        .outcome = doubt ? doubt : "identified",
        .age_us = -1,
        .assumed = run,
    };

    emit(flows, &event);
}

void
mw_emit_takeover_event(struct mw_flows *flows,
                       const struct mw_flow_takeover_event *takeover)
{
    struct mw_flow_event event = {
        .name = "takeover",
        .is_doubt = true,
        .outcome = takeover->in_doubt > 0 ? "in_doubt" : "no_doubt",
        .age_us = -1,
        .takeover = takeover,
    };

    emit(flows, &event);
}

void
mw_emit_preempted_event(struct mw_flows *flows,
                        const struct mw_task_placement *victim,
                        const struct mw_task_group *group, int64_t age_us)
{
    struct mw_task_id id = mw_placed_task_id(victim);
    struct mw_flow_event event = {
        .name = "preempted",
        .task = &id,
        .flow = id.flow,
        .endpoint = victim->endpoint->id,
        .run = victim->run,
        .outcome = "for_urgent_work",
        .cause = group->flow->id,
        .age_us = age_us,
    };

    emit(flows, &event);
}

void
mw_emit_task_group_event(struct mw_flows *flows, const char *name,
                         const struct mw_task_group *group,
                         const char *outcome, uint32_t wanted,
                         uint32_t capacity, int64_t age_us)
{
    struct mw_flow_event event = {
        .name = name,
        .flow = group->flow->id,
        .queue = group->flow->route.name,
        .outcome = outcome,
        .wanted = wanted,
        .capacity = capacity,
        .age_us = age_us,
    };

    emit(flows, &event);
}

void
mw_emit_flow_endpoint_event(struct mw_flows *flows, const char *name,
                            const struct mw_flow_endpoint *endpoint,
                            const char *outcome, int64_t age_us)
{
    struct mw_flow_event event = {.name = name,
                                  .endpoint = endpoint->id,
                                  .incarnation = endpoint->incarnation,
                                  .outcome = outcome,
                                  .age_us = age_us};

    emit(flows, &event);
}

void
mw_emit_flow_zone_event(struct mw_flows *flows, const char *name,
                        const struct mw_name *zone, const char *outcome,
                        int64_t age_us)
{
    struct mw_flow_event event = {
        .name = name, .zone = *zone, .outcome = outcome, .age_us = age_us};

    emit(flows, &event);
}

/* Long enough for a name and four numbers. */
#define KIND_TEXT_SIZE (MW_NAME_MAX + 80)

static struct mw_str
format_kind(const struct mw_work_kind *kind, char *text)
{
    g_snprintf(text, KIND_TEXT_SIZE, "%.*s cpu<=%u mem-mb<=%u gpus=%u%s",
               MW_FMT(mw_name_str(&kind->queue)), kind->cpu, kind->memory_mb,
               kind->gpus, kind->gang ? " gang" : "");
    return mw_str_from(text);
}

void
mw_emit_interference_event(void *flows, const struct mw_work_kind *victim,
                           const struct mw_work_kind *neighbour, double cost,
                           bool is_known)
{
    char kind[KIND_TEXT_SIZE];
    char other[KIND_TEXT_SIZE];
    struct mw_flow_event event = {
        .name = "interference",
        .queue = victim->queue,
        .outcome = is_known ? "known" : "forgotten",
        .kind = format_kind(victim, kind),
        .neighbour = format_kind(neighbour, other),
        .slowdown_percent = (uint32_t)lround(100 * (1 - exp(-fmax(cost, 0)))),
        .age_us = -1,
    };

    emit(flows, &event);
}

struct mw_str
mw_flow_state_str(enum mw_flow_state state)
{
    static const struct mw_str texts[] = {
        MW_STR("active"), MW_STR("completed"), MW_STR("failed"),
        MW_STR("cancelled")};

    return texts[state];
}

struct mw_str
mw_run_end_str(enum mw_run_end end)
{
    static const struct mw_str texts[] = {MW_STR("done"),    MW_STR("failed"),
                                          MW_STR("stopped"), MW_STR("lapsed"),
                                          MW_STR("broken"),  MW_STR("alone")};

    return texts[end];
}

struct mw_str
mw_flow_result_str(enum mw_flow_result result)
{
    static const struct mw_str texts[] = {MW_STR("done"),
                                          MW_STR("refused"),
                                          MW_STR("refused_old"),
                                          MW_STR("refused_fence"),
                                          MW_STR("refused_room"),
                                          MW_STR("refused_sick"),
                                          MW_STR("other_incarnation"),
                                          MW_STR("no_process"),
                                          MW_STR("no_answer"),
                                          MW_STR("refused_late")};

    return texts[result];
}
