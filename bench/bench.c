/*
 * bench: runs every policy over the same job lists and prints the measures.
 *
 *   bench measures      the table and the closing lines
 *   bench slopes        costs by size, for docs/CAPACITY.md
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"

#define SPAN (120 * MINUTE)
#define OUT_AT (40 * MINUTE)
#define IN_AT (70 * MINUTE)
#define TICK (2 * SECOND)
#define SAMPLE (10 * SECOND)
#define SEEDS 3

enum event_kind {
    ARRIVE = 0,
    ENDED = 1,
    TICKED = 2,
    ZONE_OUT = 3,
    ZONE_IN = 4
};

struct event {
    int64_t at_us;
    uint64_t order;
    enum event_kind kind;
    struct job *job;
    uint32_t attempt;
};

struct measures {
    double check_p99;
    double mean;
    double bound;
    double fragmentation;
    double work_out;
    double work_return;
    /* what had arrived and was not done, as a share of the same */
    double work_out_bound;
    double work_return_bound;
    unsigned violations;
    unsigned undecided;
    double decision_p99;
    unsigned unfinished;
    unsigned failed;
};

static uint64_t next_order;

static int
by_time(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct event *x = a;
    const struct event *y = b;

    (void)data;
    if (x->at_us != y->at_us) {
        return x->at_us < y->at_us ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

static void
add_event(struct run *run, int64_t at_us, enum event_kind kind,
          struct job *job)
{
    struct event *event = g_new0(struct event, 1);

    *event =
        (struct event){at_us, ++next_order, kind, job, job ? job->attempt : 0};
    g_sequence_insert_sorted(run->events, event, by_time, NULL);
}

bool
run_is_bad(const struct run *run, int zone, uint32_t host)
{
    return run->bad_hosts && zone == 1 && host == 3;
}

void
run_start(struct run *run, struct job *job, int zone)
{
    int64_t left = job->runtime_us - job->progress_us;

    job->zone = zone;
    job->running = true;
    job->started_us = run->now_us;
    job->attempt++;
    add_event(run, run->now_us + MAX(left, 1), ENDED, job);
}

static double
weight(const struct job *job)
{
    return (double)job->spec.shape.tasks * job->spec.shape.need.accelerators;
}

void
run_stop(struct run *run, struct job *job)
{
    int64_t ran = run->now_us - job->started_us;

    job->running = false;
    job->attempt++;
    if (job->spec.checkpoint) {
        job->progress_us += ran;
    }
    else {

        job->progress_us = 0;
    }
}

/* It ended in a failure that its caller is told of. */
void
run_fail(struct run *run, struct job *job)
{
    job->running = false;
    job->failed = true;
    job->attempt++;
    job->done_us = run->now_us;
}

/* Useful work so far: progress that has not been thrown away. */
static double
useful(const struct run *run)
{
    double sum = 0;

    for (guint i = 0; i < run->jobs->len; i++) {
        const struct job *job = run->jobs->pdata[i];
        int64_t done = job->failed    ? 0
                       : job->done_us ? job->runtime_us
                                      : job->progress_us;

        if (job->running) {
            done += run->now_us - job->started_us;
        }
        sum += (double)done * weight(job);
    }
    return sum;
}

/* All the work of the jobs that have arrived. */
static double
arrived(const struct run *run)
{
    double sum = 0;

    for (guint i = 0; i < run->jobs->len; i++) {
        const struct job *job = run->jobs->pdata[i];

        if (job->arrive_us <= run->now_us) {
            sum += (double)job->runtime_us * weight(job);
        }
    }
    return sum;
}

/* Share of idle accelerators that the largest gang can't use. */
static double
fragmentation(struct run *run)
{
    const struct deployment *d = run->deployment;
    uint32_t tasks = d->largest_tasks, idle = 0, usable = 0;

    for (int z = 0; z < ZONES; z++) {
        for (int base = 0; base < d->hosts_per_zone; base += d->per_rack) {
            uint32_t fits = 0;

            for (int i = base; i < MIN(base + d->per_rack, d->hosts_per_zone);
                 i++) {
                uint32_t free =
                    run->policy->free_of(run->state, z, (uint32_t)i);

                idle += free;
                fits += free / d->gang_accelerators;
            }
            usable += fits / tasks * tasks * d->gang_accelerators;
        }
    }
    return idle > 0 ? 1.0 - (double)usable / idle : 0;
}

static int
by_value(const void *a, const void *b)
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
    g_array_sort(values, by_value);
    return g_array_index(values, double, (guint)((values->len - 1) * share));
}

static void
summarise(struct run *run, struct measures *m)
{
    GArray *checks = g_array_new(FALSE, FALSE, sizeof(double));
    GArray *decisions = g_array_new(FALSE, FALSE, sizeof(double));
    double mean = 0, bound = 0;

    for (guint i = 0; i < run->jobs->len; i++) {
        const struct job *job = run->jobs->pdata[i];
        int64_t done = job->done_us ? job->done_us : run->now_us;
        double took = (double)(done - job->arrive_us) / SECOND;

        m->unfinished += job->done_us == 0;
        m->failed += job->failed;
        if (job->failed) {
            continue;
        }
        mean += took;
        bound += (double)job->runtime_us / SECOND;
        if (job->check) {
            g_array_append_val(checks, took);
        }
    }
    for (guint i = 0; i < run->decision_us->len; i++) {
        double us = (double)g_array_index(run->decision_us, int64_t, i);

        g_array_append_val(decisions, us);
    }
    m->check_p99 = percentile(checks, 0.99);
    m->decision_p99 = percentile(decisions, 0.99);
    m->mean = mean / run->jobs->len;
    m->bound = bound / run->jobs->len;
    m->violations = run->violations;
    m->undecided = run->undecided;
    g_array_unref(checks);
    g_array_unref(decisions);
}

static void
handle(struct run *run, const struct event *event)
{
    struct job *job = event->job;
    const struct policy *policy = run->policy;

    switch (event->kind) {
    case ARRIVE:
        policy->submit(run->state, job);
        break;
    case ENDED:
        if (job->running && job->attempt == event->attempt) {
            job->running = false;
            job->done_us = run->now_us;
            policy->ended(run->state, job);
        }
        break;
    case TICKED:
        policy->tick(run->state);
        break;
    default:
        run->zone_out[0] = event->kind == ZONE_OUT;
        policy->zone(run->state, 0, run->zone_out[0]);
        break;
    }
}

static struct measures
run_one(const struct deployment *d, const struct policy *policy, double load,
        uint32_t seed, bool outage, bool bad, int64_t span)
{
    struct run run = {.deployment = d, .policy = policy, .bad_hosts = bad};
    struct measures m = {0};
    double at_out = 0, at_in = 0, samples = 0, frag = 0;
    double capacity = (double)d->hosts_per_zone * d->host.accelerators;

    run.jobs = make_jobs(d, load, seed, span);
    run.events = g_sequence_new(g_free);
    run.decision_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    run.state = policy->begin(&run);
    for (guint i = 0; i < run.jobs->len; i++) {
        struct job *job = run.jobs->pdata[i];

        add_event(&run, job->arrive_us, ARRIVE, job);
    }
    for (int64_t t = TICK; t < 3 * span; t += TICK) {
        add_event(&run, t, TICKED, NULL);
    }
    if (outage) {
        add_event(&run, OUT_AT, ZONE_OUT, NULL);
        add_event(&run, IN_AT, ZONE_IN, NULL);
    }
    while (g_sequence_get_length(run.events) > 0) {
        GSequenceIter *first = g_sequence_get_begin_iter(run.events);
        struct event event = *(struct event *)g_sequence_get(first);

        g_sequence_remove(first);
        run.now_us = event.at_us;
        if (event.kind == ZONE_OUT) {
            at_out = useful(&run);
        }
        if (event.kind == ZONE_IN) {
            at_in = useful(&run);
            m.work_out =
                (at_in - at_out) / (2 * capacity * (double)(IN_AT - OUT_AT));
            m.work_out_bound =
                MIN(1, (arrived(&run) - at_out) /
                           (2 * capacity * (double)(IN_AT - OUT_AT)));
        }
        if (event.kind == TICKED && run.now_us == IN_AT + 10 * MINUTE) {
            m.work_return = (useful(&run) - at_in) /
                            (3 * capacity * (double)(10 * MINUTE));
            m.work_return_bound =
                MIN(1, (arrived(&run) - at_in) /
                           (3 * capacity * (double)(10 * MINUTE)));
        }
        if (event.kind == TICKED && run.now_us < span &&
            run.now_us % SAMPLE == 0) {
            frag += fragmentation(&run);
            samples++;
        }
        handle(&run, &event);
    }
    m.fragmentation = samples > 0 ? frag / samples : 0;
    summarise(&run, &m);
    policy->end(run.state);
    g_sequence_free(run.events);
    g_array_unref(run.decision_us);
    free_jobs(run.jobs);
    return m;
}

static struct measures
average(const struct deployment *d, const struct policy *policy, double load,
        bool outage, bool bad)
{
    struct measures sum = {0};

    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        struct measures m = run_one(d, policy, load, seed, outage, bad, SPAN);

        sum.check_p99 += m.check_p99 / SEEDS;
        sum.mean += m.mean / SEEDS;
        sum.bound += m.bound / SEEDS;
        sum.fragmentation += m.fragmentation / SEEDS;
        sum.work_out += m.work_out / SEEDS;
        sum.work_return += m.work_return / SEEDS;
        sum.work_out_bound += m.work_out_bound / SEEDS;
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
row(const struct deployment *d, double load, const char *measure,
    const struct policy *policy, double value, double bound)
{
    printf("%s %.2f %s %s %.3f %.3f\n", d->name, load, measure, policy->name,
           value, bound > 0 ? value / bound : 0);
}

static void
measure(const struct deployment *d)
{
    static const double loads[] = {0.5, 0.8, 0.95, 1.2};
    const struct policy *policies[] = {&first_fit, &first_fit_backfill, &ours};
    struct measures m[4][3] = {0}, out[3] = {0};
    unsigned violations = 0, undecided = 0;

    for (int l = 0; l < 4; l++) {
        for (int p = 0; p < 3; p++) {
            m[l][p] = average(d, policies[p], loads[l], false, false);
            row(d, loads[l], "check_p99_s", policies[p], m[l][p].check_p99, 0);
            row(d, loads[l], "completion_mean_s", policies[p], m[l][p].mean,
                m[l][p].bound);
            row(d, loads[l], "fragmentation", policies[p],
                m[l][p].fragmentation, 0);
            row(d, loads[l], "unfinished", policies[p], m[l][p].unfinished, 0);

            violations += m[l][p].violations;
            undecided += m[l][p].undecided;
        }
    }
    for (int p = 0; p < 3; p++) {
        struct measures bad = average(d, policies[p], 0.8, false, true);

        row(d, 0.8, "failed_by_bad_endpoint", policies[p], bad.failed, 0);
        row(d, 0.8, "completion_mean_bad_endpoint_s", policies[p], bad.mean,
            bad.bound);
        out[p] = average(d, policies[p], 0.95, true, false);
        row(d, 0.95, "work_zone_out", policies[p], out[p].work_out,
            out[p].work_out_bound);
        row(d, 0.95, "work_return", policies[p], out[p].work_return,
            out[p].work_return_bound);
        violations += out[p].violations;
        undecided += out[p].undecided;
    }
    printf("%s completion_p99_ratio %.3f\n", d->name,
           m[2][2].check_p99 / m[2][0].check_p99);
    printf("%s completion_mean_ratio_to_bound %.3f\n", d->name,
           m[1][2].mean / m[1][2].bound);
    printf("%s work_zone_out_ratio %.3f\n", d->name, out[2].work_out);
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
    measure(&corrib);
    measure(&inzu);
    return 0;
}
