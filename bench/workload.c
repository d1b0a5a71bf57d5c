/*
 * workload: generates random job lists for a deployment.
 */
#include <math.h>

#include "bench.h"

static double
exponential(GRand *rand, double mean)
{
    return -mean * log(1.0 - g_rand_double(rand));
}

static void
generate_job(struct job *job, const struct deployment *d, GRand *rand)
{
    static const char *const orgs[] = {"large-1", "large-2", "small-1",
                                       "small-2"};
    int org = (int)(g_rand_double(rand) * g_rand_double(rand) * 4);
    int draw = g_rand_int_range(rand, 0, 100);
    struct mw_job_spec *spec = &job->spec;
    struct mw_shape *shape = &spec->shape;

    spec->key.org = mw_name_of(mw_str_from(orgs[org]));
    spec->idempotent = true;
    shape->tasks = 1;
    shape->need = (struct mw_resources){1, 1, 1, 1024};
    if (draw < 70) {
        job->interactive = true;
        spec->priority = MW_URGENT;
        spec->wait = true;
        spec->class = mw_name_of(MW_STR("check"));
        job->runtime_us =
            (int64_t)(exponential(rand, d->mean_interactive_seconds) *
                      SECOND) +
            SECOND;
        return;
    }
    job->runtime_us = (int64_t)(exponential(rand, d->mean_long_job_minutes) *
                                (double)MINUTE) +
                      30 * SECOND;
    spec->checkpoint = draw % 4 != 0;
    spec->priority = draw < 85 ? MW_NORMAL : MW_BATCH;
    spec->class = mw_name_of(MW_STR("build"));
    if (draw < 80) {
        shape->need.accelerators = (uint32_t)g_rand_int_range(rand, 1, 5);
    }
    else if (draw < 92) {
        shape->tasks =
            (uint32_t)g_rand_int_range(rand, 2, (gint32)d->max_gang_tasks + 1);
        shape->need.accelerators = d->gang_task_accelerators;
        shape->adjacent = MW_ADJACENT_RACK;
        spec->class = mw_name_of(MW_STR("gang"));
    }
    else {
        spec->idempotent = false;
        spec->checkpoint = false;
        spec->class = mw_name_of(MW_STR("order"));
        job->runtime_us = 30 * SECOND + job->runtime_us / 20;
    }
}

/* Declared run times are wrong by a factor of up to ten either way. */
static int64_t
declare_runtime(int64_t runtime_us, GRand *rand)
{
    return (int64_t)((double)runtime_us *
                     pow(10.0, 2.0 * g_rand_double(rand) - 1.0));
}

GPtrArray *
generate_jobs(const struct deployment *d, double load, uint32_t seed,
              int64_t span_us)
{
    GRand *rand = g_rand_new_with_seed(seed);
    GPtrArray *jobs = g_ptr_array_new();
    double capacity = (double)ZONES * d->endpoints_per_zone *
                      d->endpoint_resources.accelerators;
    double work = 0, target = load * capacity * (double)span_us;
    double arrive_us = 0;

    while (work < target) {
        struct job *job = g_new0(struct job, 1);
        char name[32];

        generate_job(job, d, rand);
        job->id = jobs->len;
        g_snprintf(name, sizeof name, "j%u", job->id);
        job->spec.key.request = mw_name_of(mw_str_from(name));
        job->spec.runtime_us = declare_runtime(job->runtime_us, rand);
        work += (double)job->runtime_us * job->spec.shape.tasks *
                job->spec.shape.need.accelerators;
        /* the arrival time is proportional to the work generated so far; one
         * minute in ten is a burst at four times the rate */
        arrive_us = work / target * (double)span_us;
        job->arrive_us = (int64_t)arrive_us;
        if ((job->arrive_us / MINUTE) % 10 < 4) {
            job->arrive_us -= (job->arrive_us % (4 * MINUTE)) * 3 / 4;
        }
        job->arrive_us = MAX(job->arrive_us, 0);
        g_ptr_array_add(jobs, job);
    }
    g_rand_free(rand);
    return jobs;
}

void
free_jobs(GPtrArray *jobs)
{
    for (guint i = 0; i < jobs->len; i++) {
        struct job *job = jobs->pdata[i];

        g_free(job->allocations);
        g_free(job);
    }
    g_ptr_array_unref(jobs);
}
