/*
 * flow-interference: observations for the interference between kinds of work.
 *
 * A list shows which runs are side by side on an endpoint, and how far each
 * is.  policy/interference.c turns that into costs of pairs of kinds.
 *
 * LOAD   kinds of work that slow each other down on one endpoint, in lists of
 *        hundreds of endpoints a second.
 */
#include "endpoint-speed.h"
#include "flow-endpoint-state.h"
#include "flow-interference.h"
#include "flow-placement-state.h"
#include "flow-scheduler-state.h"
#include "flow-task-state.h"
#include "interference.h"

/* neighbours count for the speed of an endpoint for one to two such periods */
#define SPEED_KINDS_PERIOD_US INT64_C(60000000)

/* Rounds up to a power of two. */
static uint32_t
round_up(uint32_t value)
{
    uint32_t rounded = 1;

    while (rounded < value && rounded <= UINT32_MAX / 2) {
        rounded *= 2;
    }
    return value == 0 ? 0 : rounded;
}

/*
 * Steps that differ little in their needs are of one kind: otherwise each
 * could be a kind of its own, with too little evidence.
 */
static struct mw_work_kind
describe_kind(const struct mw_task_group *group)
{
    const struct mw_flow_step *step = group->step;

    return (struct mw_work_kind){
        .queue = group->flow->route.name,
        .cpu = round_up(step->need.cpu),
        .memory_mb = round_up(step->need.memory_mb),
        .gpus = step->need.gpus,
        .gang = step->gang,
    };
}

uint64_t
mw_work_kind_of(struct mw_task_group *group)
{
    if (group->kind == 0) {
        struct mw_work_kind kind = describe_kind(group);

        group->kind = mw_hash_work_kind(&kind);
    }
    return group->kind;
}

/* Whether the run was at work at since_us, as far as is known. */
static bool
was_there(const struct mw_task_placement *placement, int64_t since_us)
{
    return placement->last_listed_us > 0 ||
           (placement->phase == MW_PLACEMENT_RUNNING &&
            placement->started_us <= since_us);
}

/* Whether its rate tells about its neighbours: see the design note. */
static bool
is_comparable(const struct mw_listed_placement *listed)
{
    const struct mw_task_placement *placement = listed->placement;
    const struct mw_flow_step *step = placement->group->step;

    if (placement->phase == MW_PLACEMENT_STOPPING ||
        placement->phase == MW_PLACEMENT_STOPPED ||
        (step->data_rack.len > 0 &&
         !mw_name_equal(&step->data_rack, &placement->endpoint->rack))) {
        return false;
    }
    /* a gang ends as a whole, with members that are not done */
    return listed->run->ended ? listed->run->end == MW_END_DONE && !step->gang
                              : listed->run->percent < 100;
}

/* The kinds beside a run; *is_steady: as in mw_measure_kind_rate. */
static uint64_t
find_kinds_beside(const struct mw_flow_endpoint *endpoint,
                  const struct mw_listed_placement *listed, uint32_t count,
                  uint32_t index, bool *is_steady)
{
    int64_t since_us =
        MAX(listed[index].placement->started_us, endpoint->kinds_listed_us);
    uint64_t beside = 0;
    uint64_t throughout = 0;
    uint64_t at_any_time = 0;

    for (uint32_t i = 0; i < count; i++) {
        const struct mw_listed_placement *other = &listed[i];

        if (i == index) {
            continue;
        }
        at_any_time |= other->kind;
        if (!other->run->ended) {
            beside |= other->kind;
            if (was_there(other->placement, since_us)) {
                throughout |= other->kind;
            }
        }
    }
    throughout |= beside & endpoint->listed_kinds;
    *is_steady = throughout == beside && at_any_time == beside;
    return beside;
}

/*
 * Drops what the sets of the endpoint no longer tell: neighbours of long ago,
 * and all of them once a kind was evicted, whose place another one may have.
 */
static void
refresh_kind_sets(const struct mw_flows *flows, int64_t now_us,
                  struct mw_flow_endpoint *endpoint)
{
    int64_t age_us = now_us - endpoint->speed_kinds_us;
    uint32_t generation = mw_interference_generation(flows->interference);

    if (endpoint->kinds_generation != generation) {
        endpoint->kinds_generation = generation;
        endpoint->listed_kinds = 0;
        endpoint->speed_kinds = 0;
        endpoint->earlier_speed_kinds = 0;
    }
    if (age_us >= SPEED_KINDS_PERIOD_US) {
        endpoint->earlier_speed_kinds =
            age_us < 2 * SPEED_KINDS_PERIOD_US ? endpoint->speed_kinds : 0;
        endpoint->speed_kinds = 0;
        endpoint->speed_kinds_us = now_us;
    }
}

void
mw_note_speed_neighbours(const struct mw_task_placement *placement)
{
    placement->endpoint->speed_kinds |= placement->kind_rate.beside;
}

/*
 * Compares the run with others of its step.  False if that says nothing:
 * without others, without neighbours, or if the endpoint's speed was learnt
 * beside the same neighbours and contains what they cost.
 */
static bool
compare_with_step(const struct mw_task_placement *placement,
                  struct mw_interference_sample *sample)
{
    const struct mw_task_group *group = placement->group;
    const struct mw_flow_endpoint *endpoint = placement->endpoint;

    if (group->rate.weight <= 0 || sample->came == 0 ||
        (sample->came &
         (endpoint->speed_kinds | endpoint->earlier_speed_kinds))) {
        return false;
    }
    sample->residual -= mw_expect_run_rate(
        &endpoint->speed, &group->rate, group->step->gang, &sample->variance);
    return true;
}

static void
learn_from_run(struct mw_flows *flows, int64_t now_us,
               const struct mw_listed_placement *listed, uint64_t beside,
               bool is_steady)
{
    struct mw_task_placement *placement = listed->placement;
    const struct mw_task_group *group = placement->group;
    struct mw_kind_rate *rate = &placement->kind_rate;
    struct mw_interference_sample sample = {
        .victim = listed->kind,
        .endpoint = mw_hash_name(&placement->endpoint->id),
    };
    enum mw_rate_result result;

    if (placement->last_listed_us == 0 &&
        placement->phase == MW_PLACEMENT_RUNNING &&
        !group->tasks[placement->index].checkpoint) {
        mw_begin_kind_rate(flows->interference, rate, placement->started_us,
                           beside);
    }
    result =
        mw_measure_kind_rate(flows->interference, rate, now_us,
                             listed->run->ended ? 100 : listed->run->percent,
                             beside, is_steady, &sample);
    if (result == MW_RATE_CHANGED ||
        (result == MW_RATE_FIRST && compare_with_step(placement, &sample))) {
        mw_learn_interference(flows->interference, now_us, &sample);
    }
    mw_update_known_cost(flows->interference, rate, listed->kind, beside);
}

void
mw_learn_from_list(struct mw_flows *flows, int64_t now_us,
                   struct mw_flow_endpoint *endpoint,
                   struct mw_listed_placement *listed, uint32_t count,
                   bool is_complete)
{
    uint64_t running = 0;

    for (uint32_t i = 0; i < count; i++) {
        struct mw_work_kind kind = describe_kind(listed[i].placement->group);

        listed[i].kind = mw_see_work_kind(flows->interference, now_us, &kind);
        running |= listed[i].run->ended ? 0 : listed[i].kind;
        is_complete &= listed[i].kind != 0;
    }
    refresh_kind_sets(flows, now_us, endpoint);
    for (uint32_t i = 0; i < count; i++) {
        bool is_steady;
        uint64_t beside =
            find_kinds_beside(endpoint, listed, count, i, &is_steady);

        if (listed[i].kind != 0 && is_comparable(&listed[i])) {
            learn_from_run(flows, now_us, &listed[i], beside,
                           is_complete && is_steady);
        }
    }
    endpoint->listed_kinds = running;
    endpoint->kinds_listed_us = now_us;
}

static void
add_placed_kind(struct mw_flow_endpoint *endpoint, uint64_t kind)
{
    uint32_t at = 0;

    while (at < endpoint->placed_kind_count &&
           endpoint->placed_kinds[at] != kind) {
        at++;
    }
    if (at < MW_PLACED_KINDS_MAX) {
        endpoint->placed_kinds[at] = kind;
    }
    endpoint->placed_kind_count = MAX(endpoint->placed_kind_count, at + 1);
}

static void
find_placed_kinds(struct mw_flow_endpoint *endpoint)
{
    endpoint->placed_kind_count = 0;
    for (guint i = 0; i < endpoint->placements->len &&
                      endpoint->placed_kind_count <= MW_PLACED_KINDS_MAX;
         i++) {
        const struct mw_task_placement *placement =
            endpoint->placements->pdata[i];

        add_placed_kind(endpoint, mw_work_kind_of(placement->group));
    }
    endpoint->has_placed_kinds = true;
}

double
mw_neighbour_penalty(struct mw_flow_endpoint *endpoint,
                     const struct mw_bad_neighbours *bad)
{
    uint64_t counted = 0;
    double penalty = 0;

    if (bad->count == 0) {
        return 0;
    }
    if (!endpoint->has_placed_kinds) {
        find_placed_kinds(endpoint);
    }
    if (endpoint->placed_kind_count <= MW_PLACED_KINDS_MAX) {
        for (uint32_t i = 0; i < endpoint->placed_kind_count; i++) {
            mw_add_neighbour_penalty(bad, endpoint->placed_kinds[i], &counted,
                                     &penalty);
        }
        return penalty;
    }
    for (guint i = 0; i < endpoint->placements->len; i++) {
        const struct mw_task_placement *placement =
            endpoint->placements->pdata[i];

        mw_add_neighbour_penalty(bad, mw_work_kind_of(placement->group),
                                 &counted, &penalty);
    }
    return penalty;
}
