/*
 * region-failures: runs fail while leaders change at any index of the log.
 *
 * Endpoints are always up and in reach, so that each end is read by some
 * leader.  At the end a flow may have failed only if one of its tasks, or a
 * gang, has as many failed runs as its route allows, and must have failed if
 * the ends of as many were acknowledged before their leases expired.
 */
#include <stdio.h>
#include <string.h>

#include "region.h"

/* time in which flows are submitted, and then to end them */
#define FAILURES_US 30000000
#define END_US 60000000
#define ENDPOINT_COUNT 6
#define FLOW_INTERVAL_MS 700
#define MEMBERS_MAX 4
/* of the routes in mw_region_config_text */
#define ATTEMPTS_MAX 2
/* a run of a flow is a bad one: some of its tasks fail, the others go on */
#define BAD_PERCENT 45
#define FAILS_PERCENT 60
#define RUN_MIN_MS 100
#define RUN_MAX_MS 1500
/* longer than it takes to stop a task whose gang has lost another one */
#define GOES_ON_MS 6000
/* the leader changes in one of so many commits */
#define CHANGE_ONE_IN_MAX 12

/* failed_run: a run of a task or gang, of which the end of a task failed. */
struct failed_run {
    uint32_t flow;
    /* of the task; 0 for a gang */
    uint32_t index;
    uint32_t run;
    /* the end of a task was acknowledged, and the lease was valid then */
    bool is_acknowledged;
};

/* listed_failure: an end that an endpoint lists until it is acknowledged. */
struct listed_failure {
    const struct mw_fake_endpoint *endpoint;
    uint64_t end_number;
    guint failed_run;
    bool lease_expired;
};

struct course {
    struct mw_region *region;
    uint32_t seed;
    uint32_t flow_count;
    /* struct failed_run, struct listed_failure */
    GArray *failed_runs;
    GArray *listed;
    uint64_t last_commit;
    int change_one_in;
};

static uint32_t
flow_number(const struct mw_task_id *task)
{
    return (uint32_t)g_ascii_strtoull(task->flow.ptr, NULL, 10);
}

/* Two of three flows are gangs, of 2 to 4 tasks. */
static bool
is_gang(uint32_t flow)
{
    return flow % 3 != 0;
}

static uint32_t
member_count(uint32_t flow)
{
    return 2 + flow % (MEMBERS_MAX - 1);
}

/* Draws a number below the bound, the same for the same run. */
static uint32_t
draw(const struct course *course, uint32_t flow, uint32_t run, uint32_t index,
     uint32_t what, uint32_t bound)
{
    uint32_t words[] = {course->seed, flow, run, index, what};
    uint32_t hash = 2166136261u;

    for (guint i = 0; i < G_N_ELEMENTS(words); i++) {
        hash = (hash ^ words[i]) * 16777619u;
        hash ^= hash >> 15;
    }
    return hash % bound;
}

/* All tasks of a gang share whether its run is bad, and how long a good one
 * takes. */
static void
plan_run(void *opaque, struct mw_fake_run *run, int64_t now_us)
{
    const struct course *course = opaque;
    uint32_t flow = flow_number(&run->task);
    uint32_t shared = is_gang(flow) ? 0 : run->task.index;
    uint32_t index = run->task.index;
    bool is_bad = draw(course, flow, run->run, shared, 0, 100) < BAD_PERCENT;
    int64_t ms = RUN_MIN_MS + draw(course, flow, run->run, shared, 1,
                                   RUN_MAX_MS - RUN_MIN_MS);

    run->fails = is_bad &&
                 (!is_gang(flow) ||
                  draw(course, flow, run->run, index, 2, 100) < FAILS_PERCENT);
    if (run->fails) {
        ms = RUN_MIN_MS +
             draw(course, flow, run->run, index, 3, RUN_MAX_MS - RUN_MIN_MS);
    }
    else if (is_bad) {
        ms = GOES_ON_MS;
    }
    run->end_us = now_us + 1000 * ms;
}

static guint
add_failed_run(struct course *course, const struct mw_fake_run *run)
{
    struct failed_run failed = {.flow = flow_number(&run->task),
                                .run = run->run};

    failed.index = is_gang(failed.flow) ? 0 : run->task.index;
    for (guint i = 0; i < course->failed_runs->len; i++) {
        const struct failed_run *known =
            &g_array_index(course->failed_runs, struct failed_run, i);

        if (known->flow == failed.flow && known->index == failed.index &&
            known->run == failed.run) {
            return i;
        }
    }
    g_array_append_val(course->failed_runs, failed);
    return course->failed_runs->len - 1;
}

static const struct mw_fake_run *
find_end(const struct mw_fake_endpoint *endpoint, uint64_t end_number)
{
    for (guint i = 0; i < endpoint->runs->len; i++) {
        const struct mw_fake_run *run =
            &g_array_index(endpoint->runs, struct mw_fake_run, i);

        if (run->ended && run->end_number == end_number) {
            return run;
        }
    }
    return NULL;
}

static bool
is_known_end(const struct course *course,
             const struct mw_fake_endpoint *endpoint, uint64_t end_number)
{
    for (guint i = 0; i < course->listed->len; i++) {
        const struct listed_failure *listed =
            &g_array_index(course->listed, struct listed_failure, i);

        if (listed->endpoint == endpoint && listed->end_number == end_number) {
            return true;
        }
    }
    return false;
}

static void
note_new_failures(struct course *course,
                  const struct mw_fake_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->runs->len; i++) {
        const struct mw_fake_run *run =
            &g_array_index(endpoint->runs, struct mw_fake_run, i);

        if (run->ended && run->end == MW_END_FAILED &&
            !is_known_end(course, endpoint, run->end_number)) {
            struct listed_failure listed = {
                endpoint, run->end_number, add_failed_run(course, run), false};

            g_array_append_val(course->listed, listed);
        }
    }
}

/* Ends that are listed no more were acknowledged. */
static void
note_acknowledgements(struct course *course)
{
    for (guint i = course->listed->len; i > 0; i--) {
        struct listed_failure *listed =
            &g_array_index(course->listed, struct listed_failure, i - 1);
        const struct mw_fake_run *run =
            find_end(listed->endpoint, listed->end_number);

        if (run) {
            listed->lease_expired |= run->lease_expired;
            continue;
        }
        g_array_index(course->failed_runs, struct failed_run,
                      listed->failed_run)
            .is_acknowledged |= !listed->lease_expired;
        g_array_remove_index_fast(course->listed, i - 1);
    }
}

static void
advance(struct course *course, int64_t for_us)
{
    struct mw_region *region = course->region;
    int64_t until_us = region->now_us + for_us;

    while (region->now_us < until_us) {
        mw_advance_region(region, MW_REGION_STEP_US);
        note_acknowledgements(course);
        for (int i = 0; i < region->endpoints->count; i++) {
            note_new_failures(course, &region->endpoints->all[i]);
        }
    }
}

static struct mw_region_node *
find_leader(struct mw_region *region)
{
    for (int i = 0; i < region->count; i++) {
        struct mw_region_node *node = &region->nodes[i];

        if (node->is_control && node->up && !node->frozen &&
            mw_flow_control_is_leader(node->control, region->now_us)) {
            return node;
        }
    }
    return NULL;
}

static void
plan_recovery(struct mw_region *region, struct mw_region_node *node,
              int min_ms, int max_ms)
{
    region->recovery_deadline_us[node->index] =
        region->now_us + 1000 * g_rand_int_range(region->rand, min_ms, max_ms);
}

/* The leader ends, stands still, or all control processes end. */
static void
change_leader(struct mw_region *region, struct mw_region_node *leader)
{
    switch (g_rand_int_range(region->rand, 0, 4)) {
    case 0:
        leader->frozen = true;
        plan_recovery(region, leader, 1500, 3000);
        break;
    case 1:
        for (int i = 0; i < region->count; i++) {
            if (region->nodes[i].is_control) {
                mw_crash_node(&region->nodes[i]);
                plan_recovery(region, &region->nodes[i], 200, 600);
            }
        }
        break;
    default:
        mw_crash_node(leader);
        plan_recovery(region, leader, 200, 1500);
        break;
    }
}

static void
recover_nodes(struct mw_region *region, bool now)
{
    for (int i = 0; i < region->count; i++) {
        struct mw_region_node *node = &region->nodes[i];

        if (node->is_control &&
            (now || region->now_us >= region->recovery_deadline_us[i])) {
            node->frozen = false;
            mw_start_node(node);
        }
    }
}

static bool
all_nodes_run(const struct mw_region *region)
{
    for (int i = 0; i < region->count; i++) {
        if (!region->nodes[i].up || region->nodes[i].frozen) {
            return false;
        }
    }
    return true;
}

/* At each new index of the leader's log it may be the last one of its lead. */
static void
change_leader_at_commit(struct course *course)
{
    struct mw_region *region = course->region;
    struct mw_region_node *leader = find_leader(region);
    struct mw_log_status log;

    if (!leader || !all_nodes_run(region)) {
        return;
    }
    mw_flow_control_get_log_status(leader->control, &log);
    if (log.commit_index > course->last_commit &&
        g_rand_int_range(region->rand, 0, course->change_one_in) == 0) {
        change_leader(region, leader);
    }
    course->last_commit = log.commit_index;
}

static void
submit_flow(struct course *course)
{
    struct mw_region *region = course->region;
    uint32_t flow = course->flow_count;
    struct mw_region_pending_request pending = {MW_FLOW_SUBMIT, flow, 0};
    char *path = g_strdup_printf("/b/%016u", flow);
    char *plan = g_strdup_printf(
        "{\"spec\":\"s\",\"phases\":[{\"count\":%u,\"cpu\":1000,"
        "\"gpus\":1,\"gang\":%s}]}",
        member_count(flow), is_gang(flow) ? "true" : "false");

    region->flow_replies[flow].submitted++;
    mw_send_region_request(&region->nodes[region->count - 1], MW_FLOW_SUBMIT,
                           path, plan, &pending);
    course->flow_count += course->flow_count + 1 < MW_REGION_FLOWS_MAX;
    g_free(plan);
    g_free(path);
}

static void
read_states(struct course *course)
{
    struct mw_region *region = course->region;

    region->final_replies = 1;
    for (uint32_t flow = 0; flow < course->flow_count; flow++) {
        struct mw_region_pending_request pending = {MW_FLOW_READ_STATE, flow,
                                                    0};
        char *path = g_strdup_printf("/b/%016u", flow);

        mw_send_region_request(&region->nodes[region->count - 1],
                               MW_FLOW_READ_STATE, path, "", &pending);
        g_free(path);
    }
    advance(course, MW_REGION_REQUEST_TIMEOUT_US);
}

/* The most failed runs of one task, or of the gang. */
static unsigned
count_failed_runs(const struct course *course, uint32_t flow,
                  bool acknowledged_only)
{
    unsigned most = 0;

    for (uint32_t index = 0; index < MEMBERS_MAX; index++) {
        unsigned count = 0;

        for (guint i = 0; i < course->failed_runs->len; i++) {
            const struct failed_run *failed =
                &g_array_index(course->failed_runs, struct failed_run, i);

            count += failed->flow == flow && failed->index == index &&
                     (failed->is_acknowledged || !acknowledged_only);
        }
        most = MAX(most, count);
    }
    return most;
}

static void
check_flow(const struct course *course, uint32_t flow)
{
    const struct mw_region_flow_replies *replies =
        &course->region->flow_replies[flow];
    GString *violations = course->region->violations;
    unsigned failed = count_failed_runs(course, flow, false);
    unsigned acknowledged = count_failed_runs(course, flow, true);

    if (replies->failed && failed < ATTEMPTS_MAX) {
        g_string_append_printf(violations,
                               "flow %u has failed after %u failed runs; ",
                               flow, failed);
    }
    if (replies->ended && !replies->failed && acknowledged >= ATTEMPTS_MAX) {
        g_string_append_printf(violations,
                               "flow %u was completed after %u failed runs; ",
                               flow, acknowledged);
    }
}

static void
run_course(struct course *course)
{
    struct mw_region *region = course->region;
    int64_t until_us = region->now_us + FAILURES_US;
    int64_t submit_us = region->now_us;

    while (region->now_us < until_us) {
        advance(course, MW_REGION_STEP_US);
        recover_nodes(region, false);
        change_leader_at_commit(course);
        if (region->now_us >= submit_us) {
            submit_flow(course);
            submit_us =
                region->now_us +
                1000 * g_rand_int_range(region->rand, 1, FLOW_INTERVAL_MS);
        }
    }
    recover_nodes(region, true);
    advance(course, END_US);
    read_states(course);
    for (uint32_t flow = 0; flow < course->flow_count; flow++) {
        check_flow(course, flow);
    }
}

static void
start_course(struct course *course, int control_count)
{
    struct mw_region *region = course->region;
    struct mw_region_pending_request config = {MW_FLOW_CONFIG, 1, 0};
    char *text = mw_region_config_text(region, 1);
    char name[16];

    region->now_us = MW_REGION_START_US;
    region->last_incarnation = 100;
    region->final_replies = 0;
    memset(region->recovery_deadline_us, 0,
           sizeof region->recovery_deadline_us);
    for (int i = 0; i <= control_count; i++) {
        g_snprintf(name, sizeof name, "%c%d", i < control_count ? 'c' : 'e',
                   i);
        mw_add_region_node(region, name, i < control_count);
    }
    mw_start_region(region, ENDPOINT_COUNT);
    region->endpoints->rand = region->rand;
    region->endpoints->plan_run = plan_run;
    region->endpoints->plan_opaque = course;
    mw_advance_region(region, 2000000);
    mw_send_region_request(&region->nodes[0], MW_FLOW_CONFIG, "", text,
                           &config);
    mw_advance_region(region, 1000000);
    g_free(text);
}

void
mw_run_failure_seed(struct mw_region *region, uint32_t seed, int control_count)
{
    struct course course = {.region = region, .seed = seed};

    region->rand = g_rand_new_with_seed(seed);
    region->faults = 0;
    region->has_failing_runs = true;
    course.change_one_in =
        g_rand_int_range(region->rand, 1, CHANGE_ONE_IN_MAX + 1);
    region->compact_after =
        (uint32_t)g_rand_int_range(region->rand, 4, MW_REGION_COMPACT_AFTER);
    course.failed_runs = g_array_new(FALSE, FALSE, sizeof(struct failed_run));
    course.listed = g_array_new(FALSE, FALSE, sizeof(struct listed_failure));
    start_course(&course, control_count);
    run_course(&course);
    mw_clear_region(region);
    g_array_unref(course.failed_runs);
    g_array_unref(course.listed);
    region->has_failing_runs = false;
    region->compact_after = MW_REGION_COMPACT_AFTER;
    g_clear_pointer(&region->rand, g_rand_free);
}
