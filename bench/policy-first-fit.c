/*
 * policy-first-fit: first come first served on the first hosts that fit,
 * with or without passing over a job that waits.  Nothing is ever stopped.
 */
#include <string.h>

#include "bench.h"

struct host {
    struct mw_amount free;
};

struct state {
    struct run *run;
    bool backfill;
    GQueue queue[ZONES];
    struct host *hosts[ZONES];
    unsigned turn;
};

static void *
begin_state(struct run *run, bool backfill)
{
    struct state *st = g_new0(struct state, 1);
    int n = run->deployment->hosts_per_zone;

    st->run = run;
    st->backfill = backfill;
    for (int z = 0; z < ZONES; z++) {
        g_queue_init(&st->queue[z]);
        st->hosts[z] = g_new0(struct host, n);
        for (int i = 0; i < n; i++) {
            st->hosts[z][i].free = run->deployment->host;
        }
    }
    return st;
}

static void *
begin_plain(struct run *run)
{
    return begin_state(run, false);
}

static void *
begin_backfill(struct run *run)
{
    return begin_state(run, true);
}

static void
end(void *state)
{
    struct state *st = state;

    for (int z = 0; z < ZONES; z++) {
        g_queue_clear(&st->queue[z]);
        g_free(st->hosts[z]);
    }
    g_free(st);
}

static bool
find(struct state *st, struct job *job, int zone)
{
    const struct mw_shape *shape = &job->spec.shape;
    int n = st->run->deployment->hosts_per_zone;
    int rack = st->run->deployment->per_rack;
    bool near = shape->adjacent == MW_ADJACENT_RACK;

    for (int base = 0; base < n; base += near ? rack : n) {
        uint32_t left = shape->tasks;
        int last = near ? MIN(base + rack, n) : n;

        job->count = 0;
        g_free(job->held);
        job->held = g_malloc0_n(shape->tasks, sizeof *job->held);
        for (int i = base; i < last && left > 0; i++) {
            uint32_t fits = MIN(
                mw_amount_times(&shape->need, &st->hosts[zone][i].free), left);

            if (fits > 0) {
                job->held[job->count].host = (uint32_t)i;
                job->held[job->count++].tasks = fits;
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
take(struct state *st, struct job *job, int zone, bool back)
{
    for (uint32_t i = 0; i < job->count; i++) {
        struct mw_amount *free = &st->hosts[zone][job->held[i].host].free;

        if (back) {
            mw_amount_add(free, &job->spec.shape.need, job->held[i].tasks);
        }
        else {
            mw_amount_sub(free, &job->spec.shape.need, job->held[i].tasks);
        }
    }
}

/* A job on the bad host fails at once; one that may is tried again. */
static void
begin_job(struct state *st, struct job *job, int zone)
{
    for (uint32_t i = 0; i < job->count; i++) {
        if (!run_is_bad(st->run, zone, job->held[i].host)) {
            continue;
        }
        if (job->spec.idempotent && ++job->tries < 3) {
            g_queue_push_tail(&st->queue[zone], job);
        }
        else {
            run_fail(st->run, job);
        }
        return;
    }
    take(st, job, zone, false);
    run_start(st->run, job, zone);
}

static void
schedule(struct state *st, int zone)
{
    GList *link = st->queue[zone].head;

    while (link && !st->run->zone_out[zone]) {
        struct job *job = link->data;
        GList *next = link->next;

        if (find(st, job, zone)) {
            g_queue_delete_link(&st->queue[zone], link);
            begin_job(st, job, zone);
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

    while (st->run->zone_out[zone]) {
        zone = (int)(++st->turn % ZONES);
    }
    g_queue_push_tail(&st->queue[zone], job);
    schedule(st, zone);
}

static void
ended(void *state, struct job *job)
{
    take(state, job, job->zone, true);
    schedule(state, job->zone);
}

static void
tick(void *state)
{
    (void)state;
}

/* What waits moves to the other zones; what runs ends where it is. */
static void
zone(void *state, int z, bool out)
{
    struct state *st = state;

    while (out && st->queue[z].length > 0) {
        submit(st, g_queue_pop_head(&st->queue[z]));
    }
}

static uint32_t
free_of(void *state, int z, uint32_t host)
{
    struct state *st = state;

    return st->hosts[z][host].free.accelerators;
}

const struct policy first_fit = {"first-fit", begin_plain, end,  submit,
                                 ended,       tick,        zone, free_of};
const struct policy first_fit_backfill = {"first-fit-backfill",
                                          begin_backfill,
                                          end,
                                          submit,
                                          ended,
                                          tick,
                                          zone,
                                          free_of};
