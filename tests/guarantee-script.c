/*
 * guarantee-script: seeded loads of urgent jobs on simulated endpoints, with
 * changes of the configuration and no faults.
 *
 * Several organisations send more urgent jobs than the endpoints have room
 * for, beside less urgent work.  One sends only as many as it is guaranteed.
 * A job is late if it has not started all its tasks in RECLAIM_US, although
 * all urgent jobs of its organisation since its acceptance needed no more than
 * the guarantee.
 *
 * With weights, organisation N has weight N + 1, and holds accelerators in
 * that proportion in the second half if all of them always have work waiting.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decode.h"
#include "mimosawind/flow.h"
#include "script.h"

#define START_US INT64_C(1000000000)
#define WALL_US INT64_C(1700000000000000)
#define STEP_US 5000
/* of a record, and of a command in each direction */
#define LATENCY_US 5000
#define STOP_MIN_US 50000
#define STOP_TIMEOUT_US 400000
#define HEARTBEAT_INTERVAL_US 1500000
#define CONFIG_INTERVAL_US 1000000
/* guaranteed urgent work must have started after so long */
#define RECLAIM_US 2900000
#define ORGS 4
/* the organisation that keeps within its guarantee */
#define GUARANTEED_ORG 0
#define GPUS_PER_ENDPOINT 8
/* percentage of all accelerators that is guaranteed */
#define GUARANTEED_PERCENT 62
#define WIDTH_MAX 12
#define SAMPLE_INTERVAL_US 100000
/* difference from the share by weight that is reported, percentage points */
#define SHARE_TOLERANCE 3
#define URGENT 0

/* A run on an endpoint, until its end is acknowledged. */
struct run {
    struct mw_task_id task;
    uint32_t run;
    int64_t start_us;
    int64_t end_us;
    enum mw_run_end end;
    /* 0 while it runs */
    uint64_t end_number;
};

struct endpoint {
    struct mw_flow_heartbeat heartbeat;
    GArray *runs;
    uint64_t last_end_number;
    uint64_t acknowledged_end;
    /* a renewal that waits for an end; ref 0 for none */
    uint64_t renewal_ref;
    int64_t renewal_deadline_us;
};

struct job {
    struct mw_name id;
    int org;
    int priority;
    uint32_t width;
    uint32_t gpus;
    int64_t duration_us;
    /* 0 for not yet */
    int64_t accepted_us;
    bool started[64];
    uint32_t started_count;
    int64_t started_us;
    bool ended;
    /* the organisation has needed more than its guarantee since */
    bool beyond;
    bool late;
};

/* A command or a record on its way. */
struct call {
    int64_t at_us;
    struct mw_flow_command command;
};

struct commit {
    int64_t at_us;
    struct mw_record *record;
};

struct simulation {
    struct mw_context ctx;
    struct mw_flows *flows;
    GRand *rand;
    int64_t now_us;
    int endpoint_count;
    struct endpoint *endpoints;
    GPtrArray *jobs;
    GHashTable *jobs_by_id;
    GArray *calls;
    GArray *commits;
    uint64_t version;
    uint32_t guaranteed_gpus;
    uint64_t ref;
    bool is_weighted;
    /* accelerators held, added up over samples */
    uint64_t held_gpus[ORGS];
};

static int
propose(void *opaque, struct mw_record *record)
{
    struct simulation *sim = opaque;
    struct commit commit = {sim->now_us + LATENCY_US, mw_keep_record(record)};

    g_array_append_val(sim->commits, commit);
    return 0;
}

static void
send_command(void *opaque, const struct mw_flow_command *command)
{
    struct simulation *sim = opaque;
    struct call call = {sim->now_us + LATENCY_US, *command};

    g_array_append_val(sim->calls, call);
}

static void
ignore_reply(void *opaque, const struct mw_flow_reply *reply)
{
    (void)opaque;
    (void)reply;
}

static struct job *
find_job(struct simulation *sim, const struct mw_name *id)
{
    return g_hash_table_lookup(sim->jobs_by_id, id);
}

static void
note_event(void *opaque, const struct mw_flow_event *event)
{
    struct simulation *sim = opaque;
    struct job *job = find_job(sim, &event->flow);

    if (job && strcmp(event->name, "accepted") == 0) {
        job->accepted_us = sim->now_us;
    }
    if (job && strcmp(event->name, "flow_ended") == 0) {
        job->ended = true;
    }
}

static struct endpoint *
find_endpoint(struct simulation *sim, const struct mw_name *id)
{
    for (int i = 0; i < sim->endpoint_count; i++) {
        if (mw_name_equal(&sim->endpoints[i].heartbeat.id, id)) {
            return &sim->endpoints[i];
        }
    }
    return NULL;
}

static struct run *
find_run(struct endpoint *endpoint, const struct mw_flow_command *command)
{
    for (guint i = 0; i < endpoint->runs->len; i++) {
        struct run *run = &g_array_index(endpoint->runs, struct run, i);

        if (run->run == command->run && run->end_number == 0 &&
            run->task.index == command->task.index &&
            mw_name_equal(&run->task.flow, &command->task.flow)) {
            return run;
        }
    }
    return NULL;
}

static void
note_started(struct simulation *sim, const struct mw_flow_command *command)
{
    struct job *job = find_job(sim, &command->task.flow);

    if (!job->started[command->task.index]) {
        job->started[command->task.index] = true;
        job->started_count++;
    }
    if (job->started_count == job->width && job->started_us == 0) {
        job->started_us = sim->now_us;
    }
}

static void
respond(struct simulation *sim, uint64_t ref, struct mw_flow_response response)
{
    response.ref = ref;
    response.has_clock = true;
    response.clock_us = sim->now_us - START_US;
    mw_flows_handle_response(sim->flows, sim->now_us, &response);
}

static uint32_t
percent_done(const struct simulation *sim, const struct run *run)
{
    int64_t duration_us = MAX(run->end_us - run->start_us, 1);

    return (uint32_t)MIN((sim->now_us - run->start_us) * 100 / duration_us,
                         100);
}

static void
respond_with_list(struct simulation *sim, struct endpoint *endpoint)
{
    struct mw_flow_response response = {.has_list = true};
    uint64_t ref = endpoint->renewal_ref;

    response.runs = g_new0(struct mw_listed_run, endpoint->runs->len + 1);
    for (guint i = 0; i < endpoint->runs->len; i++) {
        const struct run *run = &g_array_index(endpoint->runs, struct run, i);

        response.runs[response.run_count++] = (struct mw_listed_run){
            .task = run->task,
            .run = run->run,
            .ended = run->end_number > 0,
            .end_number = run->end_number,
            .end = run->end,
            .percent = percent_done(sim, run),
        };
    }
    endpoint->renewal_ref = 0;
    respond(sim, ref, response);
    g_free(response.runs);
}

static void
drop_acknowledged(struct endpoint *endpoint, uint64_t acknowledged)
{
    for (guint i = endpoint->runs->len; i > 0; i--) {
        const struct run *run =
            &g_array_index(endpoint->runs, struct run, i - 1);

        if (run->end_number > 0 && run->end_number <= acknowledged) {
            g_array_remove_index(endpoint->runs, i - 1);
        }
    }
}

static bool
has_ends(const struct endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->runs->len; i++) {
        if (g_array_index(endpoint->runs, struct run, i).end_number > 0) {
            return true;
        }
    }
    return false;
}

static void
execute(struct simulation *sim, const struct mw_flow_command *command)
{
    struct endpoint *endpoint = find_endpoint(sim, &command->endpoint);
    struct mw_flow_response done = {.result = MW_FLOW_DONE};

    if (command->kind == MW_FLOW_COMMAND_RENEW) {
        drop_acknowledged(endpoint, command->acknowledged_end);
        endpoint->renewal_ref = command->ref;
        endpoint->renewal_deadline_us = sim->now_us + command->long_poll_us;
        return;
    }
    if (command->kind == MW_FLOW_COMMAND_START) {
        struct run run = {.task = command->task, .run = command->run};

        run.start_us = sim->now_us;
        run.end_us =
            sim->now_us + find_job(sim, &command->task.flow)->duration_us;
        g_array_append_val(endpoint->runs, run);
        note_started(sim, command);
    }
    else {
        struct run *run = find_run(endpoint, command);

        if (run) {
            run->end = MW_END_STOPPED;
            run->end_us =
                MIN(run->end_us,
                    sim->now_us + g_rand_int_range(sim->rand, STOP_MIN_US,
                                                   STOP_TIMEOUT_US));
        }
    }
    respond(sim, command->ref, done);
}

static void
step_endpoint(struct simulation *sim, struct endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->runs->len; i++) {
        struct run *run = &g_array_index(endpoint->runs, struct run, i);

        if (run->end_number == 0 && sim->now_us >= run->end_us) {
            run->end_number = ++endpoint->last_end_number;
        }
    }
    if (endpoint->renewal_ref &&
        (has_ends(endpoint) || sim->now_us >= endpoint->renewal_deadline_us)) {
        respond_with_list(sim, endpoint);
    }
}

static void
send_heartbeats(struct simulation *sim)
{
    for (int i = 0; i < sim->endpoint_count; i++) {
        struct mw_flow_heartbeat *heartbeat = &sim->endpoints[i].heartbeat;

        heartbeat->seq++;
        heartbeat->clock_us = sim->now_us - START_US;
        mw_flows_handle_heartbeat(sim->flows, sim->now_us, heartbeat, 0);
    }
}

static void
request(struct simulation *sim, enum mw_flow_request_kind kind,
        const char *path, const char *key, const char *body)
{
    struct mw_flow_request req = {
        .ref = ++sim->ref,
        .kind = kind,
        .host = mw_str_from("h.example"),
        .path = mw_str_from(path),
        .key = mw_str_from(key),
        .body = mw_str_from(body),
    };

    mw_flows_handle_request(&sim->ctx, sim->flows, sim->now_us,
                            WALL_US + sim->now_us - START_US, &req);
}

static void
send_config(struct simulation *sim)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(
        text, "{\"version\":%d,\"services\":[{\"name\":\"svc\"}],\"routes\":[",
        (int)++sim->version);
    for (int p = 0; p < 3; p++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"q%d\",\"host\":\"h.example\",\"path-prefix\":"
            "\"/%d/\",\"service\":\"svc\",\"priority\":%d,\"max-attempts\":2,"
            "\"slack-factor\":1.5,\"target-latency-ms\":250,"
            "\"timeout-ms\":3000}",
            p ? "," : "", p, p, p);
    }
    g_string_append(text, "],\"tenants\":[");
    for (int i = 0; i < ORGS; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"org%d\",\"api-keys\":[\"k%d\"],\"weight\":%d,"
            "\"guaranteed\":{\"gpus\":%u}}",
            i ? "," : "", i, i, sim->is_weighted ? i + 1 : 0,
            sim->guaranteed_gpus);
    }
    g_string_append(text, "]}");
    request(sim, MW_FLOW_CONFIG, "", "", text->str);
    g_string_free(text, TRUE);
}

/* Accelerators that the urgent jobs of an organisation need. */
static uint32_t
needed_gpus(const struct simulation *sim, int org)
{
    uint32_t gpus = 0;

    for (guint i = 0; i < sim->jobs->len; i++) {
        const struct job *job = sim->jobs->pdata[i];

        if (job->org == org && job->priority == URGENT && !job->ended) {
            gpus += job->width * job->gpus;
        }
    }
    return gpus;
}

static struct job *
new_job(struct simulation *sim, int org, int priority)
{
    static const uint32_t sizes[] = {1, 2, 4, 8, 8};
    struct job *job = g_new0(struct job, 1);
    char id[17];

    g_snprintf(id, sizeof id, "%016x", sim->jobs->len + 1);
    job->id = mw_name_from(id);
    job->org = org;
    job->priority = priority;
    job->width = (uint32_t)g_rand_int_range(sim->rand, 1, WIDTH_MAX);
    job->gpus = sizes[g_rand_int_range(sim->rand, 0, G_N_ELEMENTS(sizes))];
    job->duration_us = g_rand_int_range(sim->rand, 500000, 6000000);
    if (priority > URGENT) {
        job->duration_us += 5000000;
    }
    if (priority == 2) {
        job->width *= 2;
        job->gpus = 1;
    }
    return job;
}

static void
submit(struct simulation *sim, struct job *job)
{
    char path[32];
    char key[8];
    /* in statements: C leaves the order of a call's arguments open */
    bool checkpointing = g_rand_double(sim->rand) < 0.45 && job->priority > 0;
    bool rack_sensitive = g_rand_double(sim->rand) < 0.8 && job->priority < 2;
    double estimate_error = g_rand_double_range(sim->rand, 0.2, 1.8);
    char *plan = g_strdup_printf(
        "{\"spec\":\"s\",\"phases\":[{\"count\":%u,\"cpu\":%u,\"gpus\":%u,"
        "\"estimate-ms\":%d,\"gang\":%s,\"rack-sensitive\":%s,"
        "\"checkpointing\":%s}]}",
        job->width, job->gpus * 1000, job->gpus,
        (int)(job->duration_us * estimate_error / 1000),
        job->priority < 2 ? "true" : "false",
        rack_sensitive ? "true" : "false", checkpointing ? "true" : "false");

    g_snprintf(path, sizeof path, "/%d/%.*s", job->priority,
               MW_FMT(mw_name_str(&job->id)));
    g_snprintf(key, sizeof key, "k%d", job->org);
    g_ptr_array_add(sim->jobs, job);
    g_hash_table_insert(sim->jobs_by_id, &job->id, job);
    request(sim, MW_FLOW_SUBMIT, path, key, plan);
    g_free(plan);
}

/* GUARANTEED_ORG sends nothing that exceeds its guarantee. */
static void
maybe_submit(struct simulation *sim, int org, int priority, double per_s)
{
    struct job *job;

    if (g_rand_double(sim->rand) >= per_s * STEP_US / 1e6) {
        return;
    }
    job = new_job(sim, org, priority);
    if (org == GUARANTEED_ORG && priority == URGENT &&
        needed_gpus(sim, org) + job->width * job->gpus >
            sim->guaranteed_gpus) {
        g_free(job);
        return;
    }
    submit(sim, job);
}

static void
check_jobs(struct simulation *sim)
{
    uint32_t needed[ORGS];

    for (int i = 0; i < ORGS; i++) {
        needed[i] = needed_gpus(sim, i);
    }
    for (guint i = 0; i < sim->jobs->len; i++) {
        struct job *job = sim->jobs->pdata[i];

        if (job->priority != URGENT || job->accepted_us == 0 || job->ended ||
            job->started_us > 0) {
            continue;
        }
        job->beyond |= needed[job->org] > sim->guaranteed_gpus;
        job->late |=
            !job->beyond && sim->now_us - job->accepted_us > RECLAIM_US;
    }
}

static void
deliver(struct simulation *sim)
{
    while (sim->commits->len > 0 &&
           g_array_index(sim->commits, struct commit, 0).at_us <=
               sim->now_us) {
        struct mw_record *record =
            g_array_index(sim->commits, struct commit, 0).record;

        g_array_remove_index(sim->commits, 0);
        mw_flows_apply(&sim->ctx, sim->flows, sim->now_us, record);
        mw_drop_record(record);
    }
    while (sim->calls->len > 0 &&
           g_array_index(sim->calls, struct call, 0).at_us <= sim->now_us) {
        struct mw_flow_command command =
            g_array_index(sim->calls, struct call, 0).command;

        g_array_remove_index(sim->calls, 0);
        execute(sim, &command);
    }
}

static void
step(struct simulation *sim)
{
    int64_t age_us = sim->now_us - START_US;

    if (age_us % HEARTBEAT_INTERVAL_US == 0) {
        send_heartbeats(sim);
    }
    if (age_us % CONFIG_INTERVAL_US == 0) {
        send_config(sim);
    }
    deliver(sim);
    for (int i = 0; i < sim->endpoint_count; i++) {
        step_endpoint(sim, &sim->endpoints[i]);
    }
    mw_flows_tick(&sim->ctx, sim->flows, sim->now_us,
                  WALL_US + sim->now_us - START_US);
    check_jobs(sim);
    sim->now_us += STEP_US;
}

static struct simulation *
new_simulation(uint32_t seed, int racks, int endpoints_per_rack)
{
    struct simulation *sim = g_new0(struct simulation, 1);
    struct mw_flow_limits limits = {.lease_max_us = 6000000,
                                    .stop_timeout_us = STOP_TIMEOUT_US,
                                    .state_retention_us = 240000000,
                                    .memory_bytes = INT64_C(256) << 20};
    struct mw_flow_output output = {sim,
                                    propose,
                                    send_command,
                                    ignore_reply,
                                    note_event,
                                    mw_decode_flow_config,
                                    mw_decode_flow_plan};

    sim->rand = g_rand_new_with_seed(seed);
    sim->now_us = START_US;
    sim->jobs = g_ptr_array_new_with_free_func(g_free);
    sim->jobs_by_id = g_hash_table_new(mw_hash_name, mw_same_name);
    sim->calls = g_array_new(FALSE, FALSE, sizeof(struct call));
    sim->commits = g_array_new(FALSE, FALSE, sizeof(struct commit));
    sim->endpoint_count = racks * endpoints_per_rack;
    sim->endpoints = g_new0(struct endpoint, sim->endpoint_count);
    sim->guaranteed_gpus = (uint32_t)(sim->endpoint_count * GPUS_PER_ENDPOINT *
                                      GUARANTEED_PERCENT / 100 / ORGS);
    for (int i = 0; i < sim->endpoint_count; i++) {
        struct mw_flow_heartbeat *heartbeat = &sim->endpoints[i].heartbeat;
        char name[16];

        g_snprintf(name, sizeof name, "e%d", i);
        heartbeat->id = mw_name_from(name);
        heartbeat->address = heartbeat->id;
        heartbeat->service = mw_name_from("svc");
        heartbeat->zone = mw_name_from("za");
        heartbeat->incarnation = 1;
        heartbeat->total =
            (struct mw_flow_resources){128000, 524288, GPUS_PER_ENDPOINT};
        g_snprintf(name, sizeof name, "r%d", i / endpoints_per_rack);
        heartbeat->labels[heartbeat->label_count++] = mw_name_from(name);
        sim->endpoints[i].runs = g_array_new(FALSE, FALSE, sizeof(struct run));
    }
    sim->flows = mw_new_flows(&limits, &output);
    mw_flows_set_leadership(sim->flows, sim->now_us, true, 1);
    return sim;
}

static void
drop_simulation(struct simulation *sim)
{
    mw_drop_flows(sim->flows);
    for (guint i = 0; i < sim->commits->len; i++) {
        mw_drop_record(g_array_index(sim->commits, struct commit, i).record);
    }
    for (int i = 0; i < sim->endpoint_count; i++) {
        g_array_unref(sim->endpoints[i].runs);
    }
    g_free(sim->endpoints);
    g_array_unref(sim->commits);
    g_array_unref(sim->calls);
    g_hash_table_unref(sim->jobs_by_id);
    g_ptr_array_unref(sim->jobs);
    g_rand_free(sim->rand);
    g_free(sim);
}

static void
sample_held_gpus(struct simulation *sim)
{
    for (int i = 0; i < sim->endpoint_count; i++) {
        const GArray *runs = sim->endpoints[i].runs;

        for (guint r = 0; r < runs->len; r++) {
            const struct run *run = &g_array_index(runs, struct run, r);
            const struct job *job = find_job(sim, &run->task.flow);

            if (run->end_number == 0) {
                sim->held_gpus[job->org] += job->gpus;
            }
        }
    }
}

/* Prints the organisations whose share differs from that by weight. */
static void
print_wrong_shares(struct mw_script *s, const struct simulation *sim,
                   uint32_t seed)
{
    double all = 0;

    for (int org = 0; org < ORGS; org++) {
        all += (double)sim->held_gpus[org];
    }
    for (int org = 0; org < ORGS; org++) {
        double percent = 100 * (double)sim->held_gpus[org] / MAX(all, 1);
        double wanted = 200.0 * (org + 1) / (ORGS * (ORGS + 1));

        if (ABS(percent - wanted) > SHARE_TOLERANCE) {
            mw_script_printf(s, "  seed %u: org%d holds %d %%, not %d", seed,
                             org, (int)percent, (int)wanted);
        }
    }
}

static void
print_late_jobs(struct mw_script *s, const struct simulation *sim,
                uint32_t seed)
{
    int late = 0;
    int checked = 0;

    for (guint i = 0; i < sim->jobs->len; i++) {
        const struct job *job = sim->jobs->pdata[i];

        if (job->priority != URGENT || job->beyond || !job->accepted_us) {
            continue;
        }
        checked++;
        if (job->late && late++ < 3) {
            mw_script_printf(s,
                             "  seed %u: job %u of org%d, %u tasks of %u, "
                             "accepted at %d ms, not started in time",
                             seed, i + 1, job->org, job->width, job->gpus,
                             (int)((job->accepted_us - START_US) / 1000));
        }
    }
    if (late > 0 || checked == 0) {
        mw_script_printf(s, "  seed %u: %d of %d guaranteed jobs late", seed,
                         late, checked);
    }
}

/* play SECONDS seeds=N first=N racks=N endpoints=N urgent=PER_S other=PER_S
 * weights=1 shares=1: urgent is the rate of each organisation but
 * GUARANTEED_ORG; shares reports shares that differ from the weights, where
 * nothing is urgent */
static void
cmd_play(struct mw_script *s)
{
    int64_t seconds = g_ascii_strtoll(mw_script_word(s, 1), NULL, 10);
    const char *from_env = g_getenv("MW_SEEDS");
    uint32_t first = (uint32_t)mw_script_option_int(s, "first", 1);
    uint32_t seeds = (uint32_t)mw_script_option_int(s, "seeds", 1);
    double urgent = (double)mw_script_option_int(s, "urgent", 2);
    double other = (double)mw_script_option_int(s, "other", 1);
    bool checks_shares = mw_script_option_int(s, "shares", 0) != 0;

    if (from_env) {
        seeds = (uint32_t)atoi(from_env);
    }
    for (uint32_t seed = first; seed < first + seeds; seed++) {
        struct simulation *sim =
            new_simulation(seed, (int)mw_script_option_int(s, "racks", 4),
                           (int)mw_script_option_int(s, "endpoints", 5));

        sim->is_weighted = mw_script_option_int(s, "weights", 0) != 0;
        while (sim->now_us < START_US + seconds * 1000000) {
            for (int org = 0; org < ORGS; org++) {
                maybe_submit(sim, org, URGENT, urgent);
                maybe_submit(sim, org, 1, other);
                maybe_submit(sim, org, 2, other);
            }
            step(sim);
            if (sim->now_us >= START_US + seconds * 500000 &&
                sim->now_us % SAMPLE_INTERVAL_US == 0) {
                sample_held_gpus(sim);
            }
        }
        if (checks_shares) {
            print_wrong_shares(s, sim, seed);
        }
        print_late_jobs(s, sim, seed);
        drop_simulation(sim);
    }
    mw_script_printf(s, "  played");
}

static void *
begin(void)
{
    return g_new0(int, 1);
}

static void
end(void *state)
{
    g_free(state);
}

static const struct mw_script_command commands[] = {{"play", 1, cmd_play},
                                                    {NULL, 0, NULL}};

const struct mw_script_kind mw_guarantee_scripts = {"guarantee", commands,
                                                    begin, end};
