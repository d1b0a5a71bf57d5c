#ifndef MW_TESTS_BENCH_H
#define MW_TESTS_BENCH_H

#include <glib.h>

#include "mimosawind.h"

/*
 * bench: job lists against the decision core and the obvious policies, with
 * a clock of its own.  Arrivals, ends and the listed faults; nothing of a
 * network.
 */

#define ZONES 3
#define SECOND 1000000LL
#define MINUTE (60 * SECOND)
#define HOSTS_MAX 17000

struct job {
    unsigned id;
    struct mw_job_spec spec;
    int64_t arrive_us;
    int64_t runtime_us;
    bool check;
    /* in the run */
    int zone;
    int64_t progress_us;
    int64_t started_us;
    uint32_t attempt;
    uint32_t tries;
    bool running;
    bool failed;
    int64_t done_us;
    struct mw_attempt_id attempt_id;
    /* hosts it holds, as index and tasks, for the simple policies */
    uint32_t count;
    struct {
        uint32_t host;
        uint32_t tasks;
    } * held;
};

struct deployment {
    const char *name;
    int hosts_per_zone;
    int per_rack;
    struct mw_amount host;
    uint32_t gang_accelerators;
    double gang_minutes;
    double check_seconds;
    uint32_t largest_tasks;
};

struct run;

/* mw_policy: one way to decide, behind callbacks. */
struct policy {
    const char *name;
    void *(*begin)(struct run *run);
    void (*end)(void *state);
    void (*submit)(void *state, struct job *job);
    void (*ended)(void *state, struct job *job);
    void (*tick)(void *state);
    void (*zone)(void *state, int zone, bool out);
    /* free accelerators of a host, SIZE_MAX for one out of service */
    uint32_t (*free_of)(void *state, int zone, uint32_t host);
};

/* run: one job list under one policy. */
struct run {
    const struct deployment *deployment;
    const struct policy *policy;
    void *state;
    int64_t now_us;
    GPtrArray *jobs;
    GSequence *events;
    bool zone_out[ZONES];
    bool bad_hosts;
    unsigned violations;
    unsigned undecided;

    GArray *decision_us;
};

/* a policy tells the run what it does */
void run_start(struct run *run, struct job *job, int zone);
void run_stop(struct run *run, struct job *job);
void run_fail(struct run *run, struct job *job);
bool run_is_bad(const struct run *run, int zone, uint32_t host);

GPtrArray *make_jobs(const struct deployment *d, double load, uint32_t seed,
                     int64_t span_us);
void free_jobs(GPtrArray *jobs);

extern const struct policy first_fit;
extern const struct policy first_fit_backfill;
extern const struct policy ours;

#endif
