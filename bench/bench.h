#ifndef MW_BENCH_H
#define MW_BENCH_H

#include <glib.h>

#include "mimosawind.h"

/*
 * bench: discrete-event simulation of job lists under several scheduling
 * policies, the scheduler core among them.
 *
 * The clock is virtual.  Job arrivals, job ends, a zone outage and a faulty
 * endpoint are simulated; network delays and losses are not.
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
    /* short, urgent and waited for; check_p99_s is the latency of these */
    bool interactive;
    /* state in the simulation */
    int zone;
    int64_t progress_us;
    int64_t started_us;
    /* changes when the job starts or stops, which cancels a pending end */
    uint32_t generation;
    uint32_t failed_attempts;
    bool running;
    bool failed;
    /* when it finished or failed, 0 before */
    int64_t end_us;
    struct mw_attempt_id attempt_id;
    /* tasks on each endpoint; only the first-fit policies set it */
    uint32_t allocation_count;
    struct {
        uint32_t endpoint;
        uint32_t tasks;
    } * allocations;
};

struct deployment {
    const char *name;
    int endpoints_per_zone;
    int endpoints_per_rack;
    struct mw_resources endpoint_resources;
    uint32_t gang_task_accelerators;
    double mean_long_job_minutes;
    double mean_interactive_seconds;
    uint32_t max_gang_tasks;
};

struct simulation;

/* policy: callbacks of a scheduling policy. */
struct policy {
    const char *name;
    void *(*create)(struct simulation *sim);
    void (*destroy)(void *state);
    void (*submit)(void *state, struct job *job);
    void (*job_ended)(void *state, struct job *job);
    void (*tick)(void *state);
    void (*set_zone_out)(void *state, int zone, bool out);
    /* free accelerators of an endpoint, SIZE_MAX for one out of service */
    uint32_t (*free_accelerators)(void *state, int zone, uint32_t endpoint);
};

/* simulation: one job list under one policy. */
struct simulation {
    const struct deployment *deployment;
    const struct policy *policy;
    void *state;
    int64_t now_us;
    GPtrArray *jobs;
    GSequence *events;
    bool zone_out[ZONES];
    bool has_faulty_endpoint;
    /* results of the guarantee checks */
    unsigned violations;
    unsigned undecided;
    GArray *decision_times_us;
};

/* called by a policy when it starts, stops or fails a job */
void sim_start_job(struct simulation *sim, struct job *job, int zone);
void sim_stop_job(struct simulation *sim, struct job *job);
void sim_fail_job(struct simulation *sim, struct job *job);
bool sim_is_faulty(const struct simulation *sim, int zone, uint32_t endpoint);

GPtrArray *generate_jobs(const struct deployment *d, double load,
                         uint32_t seed, int64_t span_us);
void free_jobs(GPtrArray *jobs);

extern const struct policy first_fit_policy;
extern const struct policy first_fit_backfill_policy;
extern const struct policy mimosawind_policy;

#endif
