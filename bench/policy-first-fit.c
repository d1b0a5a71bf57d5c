/*
 * policy-first-fit: first come, first served, on the first endpoints that
 * fit, with or without backfilling past a job that has to wait.  There is no
 * preemption.
 */
#include <string.h>

#include "bench.h"

struct endpoint {
    struct mw_resources free;
};

struct state {
    struct simulation *sim;
    bool backfill;
    GQueue queue[ZONES];
    struct endpoint *endpoints[ZONES];
    unsigned next_zone;
};

static void *
create_state(struct simulation *sim, bool backfill)
{
    struct state *st = g_new0(struct state, 1);
    int n = sim->deployment->endpoints_per_zone;

    st->sim = sim;
    st->backfill = backfill;
    for (int z = 0; z < ZONES; z++) {
        g_queue_init(&st->queue[z]);
        st->endpoints[z] = g_new0(struct endpoint, n);
        for (int i = 0; i < n; i++) {
            st->endpoints[z][i].free = sim->deployment->endpoint_resources;
        }
    }
    return st;
}

static void *
create_plain(struct simulation *sim)
{
    return create_state(sim, false);
}

static void *
create_backfill(struct simulation *sim)
{
    return create_state(sim, true);
}

static void
destroy(void *state)
{
    struct state *st = state;

    for (int z = 0; z < ZONES; z++) {
        g_queue_clear(&st->queue[z]);
        g_free(st->endpoints[z]);
    }
    g_free(st);
}

static bool
find_allocation(struct state *st, struct job *job, int zone)
{
    const struct mw_shape *shape = &job->spec.shape;
    int n = st->sim->deployment->endpoints_per_zone;
    int rack = st->sim->deployment->endpoints_per_rack;
    bool same_rack = shape->adjacent == MW_ADJACENT_RACK;

    for (int first = 0; first < n; first += same_rack ? rack : n) {
        uint32_t left = shape->tasks;
        int last = same_rack ? MIN(first + rack, n) : n;

        job->allocation_count = 0;
        g_free(job->allocations);
        job->allocations = g_malloc0_n(shape->tasks, sizeof *job->allocations);
        for (int i = first; i < last && left > 0; i++) {
            uint32_t fits =
                MIN(mw_resources_fit_count(&shape->need,
                                           &st->endpoints[zone][i].free),
                    left);

            if (fits > 0) {
                job->allocations[job->allocation_count].endpoint = (uint32_t)i;
                job->allocations[job->allocation_count++].tasks = fits;
                left -= fits;
            }
        }
        if (left == 0) {
            return true;
        }
    }
    return false;
}

static void
update_free(struct state *st, struct job *job, int zone, bool release)
{
    for (uint32_t i = 0; i < job->allocation_count; i++) {
        struct mw_resources *free =
            &st->endpoints[zone][job->allocations[i].endpoint].free;

        if (release) {
            mw_resources_add(free, &job->spec.shape.need,
                             job->allocations[i].tasks);
        }
        else {
            mw_resources_sub(free, &job->spec.shape.need,
                             job->allocations[i].tasks);
        }
    }
}

/* A job on the faulty endpoint fails at once.  An idempotent one is queued
 * again until it has failed three times. */
static void
start_job(struct state *st, struct job *job, int zone)
{
    for (uint32_t i = 0; i < job->allocation_count; i++) {
        if (!sim_is_faulty(st->sim, zone, job->allocations[i].endpoint)) {
            continue;
        }
        if (job->spec.idempotent && ++job->failed_attempts < 3) {
            g_queue_push_tail(&st->queue[zone], job);
        }
        else {
            sim_fail_job(st->sim, job);
        }
        return;
    }
    update_free(st, job, zone, false);
    sim_start_job(st->sim, job, zone);
}

static void
schedule(struct state *st, int zone)
{
    GList *link = st->queue[zone].head;

    while (link && !st->sim->zone_out[zone]) {
        struct job *job = link->data;
        GList *next = link->next;

        if (find_allocation(st, job, zone)) {
            g_queue_delete_link(&st->queue[zone], link);
            start_job(st, job, zone);
        }
        else if (!st->backfill) {
            return;
        }
        link = next;
    }
}

static void
submit(void *state, struct job *job)
{
    struct state *st = state;
    int zone = (int)(job->id % ZONES);

    while (st->sim->zone_out[zone]) {
        zone = (int)(++st->next_zone % ZONES);
    }
    g_queue_push_tail(&st->queue[zone], job);
    schedule(st, zone);
}

static void
job_ended(void *state, struct job *job)
{
    update_free(state, job, job->zone, true);
    schedule(state, job->zone);
}

static void
tick(void *state)
{
    (void)state;
}

/* Queued jobs move to the other zones; running jobs finish where they are. */
static void
set_zone_out(void *state, int z, bool out)
{
    struct state *st = state;

    while (out && st->queue[z].length > 0) {
        submit(st, g_queue_pop_head(&st->queue[z]));
    }
}

static uint32_t
free_accelerators(void *state, int z, uint32_t endpoint)
{
    struct state *st = state;

    return st->endpoints[z][endpoint].free.accelerators;
}

const struct policy first_fit_policy = {
    "first-fit", create_plain, destroy,      submit,
    job_ended,   tick,         set_zone_out, free_accelerators};
const struct policy first_fit_backfill_policy = {
    "first-fit-backfill", create_backfill,  destroy, submit, job_ended, tick,
    set_zone_out,         free_accelerators};
