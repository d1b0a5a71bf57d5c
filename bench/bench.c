/*
 * bench: simulates every policy with the same job lists and prints the
 * measures.
 *
 *   bench measures      the table and the summary lines
 *   bench slopes        costs by size, for docs/CAPACITY.md
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"

#define ARRIVAL_SPAN (120 * MINUTE)
#define ZONE_OUT_AT (40 * MINUTE)
#define ZONE_IN_AT (70 * MINUTE)
#define TICK_INTERVAL (2 * SECOND)
#define SAMPLE_INTERVAL (10 * SECOND)
#define SEEDS 3

enum event_kind {
    EVENT_ARRIVAL = 0,
    EVENT_JOB_END = 1,
    EVENT_TICK = 2,
    EVENT_ZONE_OUT = 3,
    EVENT_ZONE_IN = 4
};

struct event {
    int64_t time_us;
    uint64_t sequence;
    enum event_kind kind;
    struct job *job;
    uint32_t generation;
};

struct measures {
    double check_p99;
    double completion_mean;
    double completion_bound;
    double fragmentation;
    double work_zone_out;
    double work_return;
    /* upper bound: the work that had arrived and was not done, as a share of
     * the same capacity */
    double work_zone_out_bound;
    double work_return_bound;
    unsigned violations;
    unsigned undecided;
    double decision_p99;
    unsigned unfinished;
    unsigned failed;
};

static uint64_t last_sequence;

static int
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct event *x = a;
    const struct event *y = b;

    (void)data;
    if (x->time_us != y->time_us) {
        return x->time_us < y->time_us ? -1 : 1;
    }
    return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void
schedule_event(struct simulation *sim, int64_t time_us, enum event_kind kind,
               struct job *job)
{
    struct event *event = g_new0(struct event, 1);

    *event = (struct event){time_us, ++last_sequence, kind, job,
                            job ? job->generation : 0};
    g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
}

bool
sim_is_faulty(const struct simulation *sim, int zone, uint32_t endpoint)
{
    return sim->has_faulty_endpoint && zone == 1 && endpoint == 3;
}

void
sim_start_job(struct simulation *sim, struct job *job, int zone)
{
    int64_t left = job->runtime_us - job->progress_us;

    job->zone = zone;
    job->running = true;
    job->started_us = sim->now_us;
    job->generation++;
    schedule_event(sim, sim->now_us + MAX(left, 1), EVENT_JOB_END, job);
}

static double
job_accelerators(const struct job *job)
{
    return (double)job->spec.shape.tasks * job->spec.shape.need.accelerators;
}

void
sim_stop_job(struct simulation *sim, struct job *job)
{
    int64_t ran = sim->now_us - job->started_us;

    job->running = false;
    job->generation++;
    if (job->spec.checkpoint) {
        job->progress_us += ran;
    }
    else {
        job->progress_us = 0;
    }
}

/* The job ends with a failure that is reported to its client. */
void
sim_fail_job(struct simulation *sim, struct job *job)
{
    job->running = false;
    job->failed = true;
    job->generation++;
    job->end_us = sim->now_us;
}

/* Useful work so far, without progress lost when a job was stopped. */
static double
useful_work(const struct simulation *sim)
{
    double sum = 0;

    for (guint i = 0; i < sim->jobs->len; i++) {
        const struct job *job = sim->jobs->pdata[i];
        int64_t done = job->failed   ? 0
                       : job->end_us ? job->runtime_us
                                     : job->progress_us;

        if (job->running) {
            done += sim->now_us - job->started_us;
        }
        sum += (double)done * job_accelerators(job);
    }
    return sum;
}

/* Total work of the jobs that have arrived. */
static double
offered_work(const struct simulation *sim)
{
    double sum = 0;

    for (guint i = 0; i < sim->jobs->len; i++) {
        const struct job *job = sim->jobs->pdata[i];

        if (job->arrive_us <= sim->now_us) {
            sum += (double)job->runtime_us * job_accelerators(job);
        }
    }
    return sum;
}

/* Share of the idle accelerators that gangs of the largest size can't use. */
static double
fragmentation(struct simulation *sim)
{
    const struct deployment *d = sim->deployment;
    uint32_t tasks = d->max_gang_tasks, idle = 0, usable = 0;

    for (int z = 0; z < ZONES; z++) {
        for (int base = 0; base < d->endpoints_per_zone;
             base += d->endpoints_per_rack) {
            uint32_t fits = 0;

            for (int i = base;
                 i < MIN(base + d->endpoints_per_rack, d->endpoints_per_zone);
                 i++) {
                uint32_t free =
                    sim->policy->free_accelerators(sim->state, z, (uint32_t)i);

                idle += free;
                fits += free / d->gang_task_accelerators;
            }
            usable += fits / tasks * tasks * d->gang_task_accelerators;
        }
    }
    return idle > 0 ? 1.0 - (double)usable / idle : 0;
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

static double
percentile(GArray *values, double share)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    return g_array_index(values, double, (guint)((values->len - 1) * share));
}

static void
compute_measures(struct simulation *sim, struct measures *m)
{
    GArray *checks = g_array_new(FALSE, FALSE, sizeof(double));
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(double));
    double mean = 0, bound = 0;

    for (guint i = 0; i < sim->jobs->len; i++) {
        const struct job *job = sim->jobs->pdata[i];
        int64_t end_us = job->end_us ? job->end_us : sim->now_us;
        double elapsed_s = (double)(end_us - job->arrive_us) / SECOND;

        m->unfinished += job->end_us == 0;
        m->failed += job->failed;
        if (job->failed) {
            continue;
        }
        mean += elapsed_s;
        bound += (double)job->runtime_us / SECOND;
        if (job->interactive) {
            g_array_append_val(checks, elapsed_s);
        }
    }
    for (guint i = 0; i < sim->decision_times_us->len; i++) {
        double us = (double)g_array_index(sim->decision_times_us, int64_t, i);

        g_array_append_val(decisions, us);
    }
    m->check_p99 = percentile(checks, 0.99);
    m->decision_p99 = percentile(decisions, 0.99);
    m->completion_mean = mean / sim->jobs->len;
    m->completion_bound = bound / sim->jobs->len;
    m->violations = sim->violations;
    m->undecided = sim->undecided;
    g_array_unref(checks);
    g_array_unref(decisions);
}

static void
handle_event(struct simulation *sim, const struct event *event)
{
    struct job *job = event->job;
    const struct policy *policy = sim->policy;

    switch (event->kind) {
    case EVENT_ARRIVAL:
        policy->submit(sim->state, job);
        break;
    case EVENT_JOB_END:
        if (job->running && job->generation == event->generation) {
            job->running = false;
            job->end_us = sim->now_us;
            policy->job_ended(sim->state, job);
        }
        break;
    case EVENT_TICK:
        policy->tick(sim->state);
        break;
    default:
        sim->zone_out[0] = event->kind == EVENT_ZONE_OUT;
        policy->set_zone_out(sim->state, 0, sim->zone_out[0]);
        break;
    }
}

static struct measures
run_simulation(const struct deployment *d, const struct policy *policy,
               double load, uint32_t seed, bool outage, bool faulty,
               int64_t span)
{
    struct simulation sim = {
        .deployment = d, .policy = policy, .has_faulty_endpoint = faulty};
    struct measures m = {0};
    double useful_at_zone_out = 0, useful_at_zone_in = 0, samples = 0,
           frag = 0;
    double capacity =
        (double)d->endpoints_per_zone * d->endpoint_resources.accelerators;

    sim.jobs = generate_jobs(d, load, seed, span);
    sim.events = g_sequence_new(g_free);
    sim.decision_times_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    sim.state = policy->create(&sim);
    for (guint i = 0; i < sim.jobs->len; i++) {
        struct job *job = sim.jobs->pdata[i];

        schedule_event(&sim, job->arrive_us, EVENT_ARRIVAL, job);
    }
    for (int64_t t = TICK_INTERVAL; t < 3 * span; t += TICK_INTERVAL) {
        schedule_event(&sim, t, EVENT_TICK, NULL);
    }
    if (outage) {
        schedule_event(&sim, ZONE_OUT_AT, EVENT_ZONE_OUT, NULL);
        schedule_event(&sim, ZONE_IN_AT, EVENT_ZONE_IN, NULL);
    }
    while (g_sequence_get_length(sim.events) > 0) {
        GSequenceIter *first = g_sequence_get_begin_iter(sim.events);
        struct event event = *(struct event *)g_sequence_get(first);

        g_sequence_remove(first);
        sim.now_us = event.time_us;
        if (event.kind == EVENT_ZONE_OUT) {
            useful_at_zone_out = useful_work(&sim);
        }
        if (event.kind == EVENT_ZONE_IN) {
            useful_at_zone_in = useful_work(&sim);
            m.work_zone_out =
                (useful_at_zone_in - useful_at_zone_out) /
                (2 * capacity * (double)(ZONE_IN_AT - ZONE_OUT_AT));
            m.work_zone_out_bound = MIN(
                1, (offered_work(&sim) - useful_at_zone_out) /
                       (2 * capacity * (double)(ZONE_IN_AT - ZONE_OUT_AT)));
        }
        if (event.kind == EVENT_TICK &&
            sim.now_us == ZONE_IN_AT + 10 * MINUTE) {
            m.work_return = (useful_work(&sim) - useful_at_zone_in) /
                            (3 * capacity * (double)(10 * MINUTE));
            m.work_return_bound =
                MIN(1, (offered_work(&sim) - useful_at_zone_in) /
                           (3 * capacity * (double)(10 * MINUTE)));
        }
        if (event.kind == EVENT_TICK && sim.now_us < span &&
            sim.now_us % SAMPLE_INTERVAL == 0) {
            frag += fragmentation(&sim);
            samples++;
        }
        handle_event(&sim, &event);
    }
    m.fragmentation = samples > 0 ? frag / samples : 0;
    compute_measures(&sim, &m);
    policy->destroy(sim.state);
    g_sequence_free(sim.events);
    g_array_unref(sim.decision_times_us);
    free_jobs(sim.jobs);
    return m;
}

static struct measures
average_seeds(const struct deployment *d, const struct policy *policy,
              double load, bool outage, bool faulty)
{
    struct measures sum = {0};

    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        struct measures m = run_simulation(d, policy, load, seed, outage,
                                           faulty, ARRIVAL_SPAN);

        sum.check_p99 += m.check_p99 / SEEDS;
        sum.completion_mean += m.completion_mean / SEEDS;
        sum.completion_bound += m.completion_bound / SEEDS;
        sum.fragmentation += m.fragmentation / SEEDS;
        sum.work_zone_out += m.work_zone_out / SEEDS;
        sum.work_return += m.work_return / SEEDS;
        sum.work_zone_out_bound += m.work_zone_out_bound / SEEDS;
        sum.work_return_bound += m.work_return_bound / SEEDS;
        sum.decision_p99 = MAX(sum.decision_p99, m.decision_p99);
        sum.violations += m.violations;
        sum.undecided += m.undecided;
        sum.unfinished += m.unfinished;
        sum.failed += m.failed;
    }
    return sum;
}

static void
print_row(const struct deployment *d, double load, const char *measure,
          const struct policy *policy, double value, double bound)
{
    printf("%s %.2f %s %s %.3f %.3f\n", d->name, load, measure, policy->name,
           value, bound > 0 ? value / bound : 0);
}

static void
print_measures(const struct deployment *d)
{
    static const double loads[] = {0.5, 0.8, 0.95, 1.2};
    const struct policy *policies[] = {
        &first_fit_policy, &first_fit_backfill_policy, &mimosawind_policy};
    struct measures m[4][3] = {0}, out[3] = {0};
    unsigned violations = 0, undecided = 0;

    for (int l = 0; l < 4; l++) {
        for (int p = 0; p < 3; p++) {
            m[l][p] = average_seeds(d, policies[p], loads[l], false, false);
            print_row(d, loads[l], "check_p99_s", policies[p],
                      m[l][p].check_p99, 0);
            print_row(d, loads[l], "completion_mean_s", policies[p],
                      m[l][p].completion_mean, m[l][p].completion_bound);
            print_row(d, loads[l], "fragmentation", policies[p],
                      m[l][p].fragmentation, 0);
            print_row(d, loads[l], "unfinished", policies[p],
                      m[l][p].unfinished, 0);

            violations += m[l][p].violations;
            undecided += m[l][p].undecided;
        }
    }
    for (int p = 0; p < 3; p++) {
        struct measures faulty =
            average_seeds(d, policies[p], 0.8, false, true);

        print_row(d, 0.8, "failed_by_bad_endpoint", policies[p], faulty.failed,
                  0);
        print_row(d, 0.8, "completion_mean_bad_endpoint_s", policies[p],
                  faulty.completion_mean, faulty.completion_bound);
        out[p] = average_seeds(d, policies[p], 0.95, true, false);
        print_row(d, 0.95, "work_zone_out", policies[p], out[p].work_zone_out,
                  out[p].work_zone_out_bound);
        print_row(d, 0.95, "work_return", policies[p], out[p].work_return,
                  out[p].work_return_bound);
        violations += out[p].violations;
        undecided += out[p].undecided;
    }
    printf("%s completion_p99_ratio %.3f\n", d->name,
           m[2][2].check_p99 / m[2][0].check_p99);
    printf("%s completion_mean_ratio_to_bound %.3f\n", d->name,
           m[1][2].completion_mean / m[1][2].completion_bound);
    printf("%s work_zone_out_ratio %.3f\n", d->name, out[2].work_zone_out);
    printf("%s work_return_ratio %.3f\n", d->name, out[2].work_return);
    printf("%s fragmentation_ratio %.3f\n", d->name,
           m[2][2].fragmentation / m[2][0].fragmentation);
    printf("%s guarantee_violations %u (undecided %u)\n", d->name, violations,
           undecided);
    printf("%s decision_p99_us %.0f\n", d->name, m[2][2].decision_p99);
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    static const struct deployment corrib = {
        "corrib", 16, 8, {8, 8, 32, 65536}, 8, 12, 6, 4};
    static const struct deployment inzu = {"inzu", 16, 8, {8, 8, 128, 524288},
                                           4,      20, 8, 8};

    (void)argc;
    (void)argv;
    print_measures(&corrib);
    print_measures(&inzu);
    return 0;
}
