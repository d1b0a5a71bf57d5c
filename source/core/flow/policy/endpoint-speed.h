#ifndef MW_CORE_FLOW_POLICY_ENDPOINT_SPEED_H
#define MW_CORE_FLOW_POLICY_ENDPOINT_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#include "mimosawind/flow-record.h"

/*
 * endpoint-speed: how fast an endpoint works compared with the others.
 *
 * Nothing says how fast an endpoint is or how much work a task has.  Both are
 * estimated from the rates at which runs of the same step make progress, as
 * logarithms: the logarithm of a rate is the sum of the endpoint's speed and
 * of what the tasks of the step have in common.
 *
 * UNITS   natural logarithms and their variances; rates are percents of a task
 *         a microsecond; times are microseconds of a monotonic clock
 * STATE   zeroed structures are those of an unknown endpoint, of a run without
 *         progress and of a step without rates
 */

enum mw_speed_class {
    MW_SPEED_SLOW = 0,
    /* also where too little is known */
    MW_SPEED_NORMAL = 1,
    MW_SPEED_FAST = 2,
    MW_SPEED_CLASSES = 3
};

/* mw_endpoint_speed: the estimate for one endpoint. */
struct mw_endpoint_speed {
    /* 0 for an endpoint of middling speed */
    double log_speed;
    /* how much less its variance is than that of an unknown endpoint */
    double known;
    int64_t updated_us;
};

/*
 * mw_speed_mean: the mean of log_speed over the endpoints of a fleet.
 *
 * Estimates follow from comparisons only, so that all of them may drift
 * together.  A speed is slow or fast compared with this mean.
 */
struct mw_speed_mean {
    double log_speed;
    double weight;
};

/* mw_step_rate: mean rate of a step's runs on an endpoint of middling speed.
 */
struct mw_step_rate {
    double log_rate;
    /* inverse variance; 0 for no rates */
    double weight;
};

/* mw_run_progress: how fast one run makes progress. */
struct mw_run_progress {
    /* the next rate is measured from here; 0 for nowhere yet */
    int64_t from_us;
    uint32_t from_percent;
    /* the last rate, and what it would be on an endpoint of middling speed */
    double log_rate;
    double log_task_rate;
    bool has_rate;
    /* the next rate can't be compared with the last one */
    bool has_restarted;
};

/*
 * mw_begin_run_progress: the run has done percent of its work at now_us.
 *
 * To be called when a run starts from the beginning.  Without it, the first
 * listed progress is the beginning, as for a run that resumes a checkpoint.
 */
void mw_begin_run_progress(struct mw_run_progress *progress, int64_t now_us,
                           uint32_t percent);

/*
 * mw_note_run_progress: a list shows the run at percent.
 *
 * Returns true if that gives a new rate, in progress->log_rate.
 */
bool mw_note_run_progress(struct mw_run_progress *progress, int64_t now_us,
                          uint32_t percent);

/*
 * mw_learn_endpoint_speed: compares a run's new rate with those of its step.
 *
 * equal_tasks says that all tasks of the step have the same work.  Otherwise
 * only the first rate of a run is compared with other runs, and later ones
 * with its own.
 */
void mw_learn_endpoint_speed(struct mw_endpoint_speed *speed,
                             struct mw_step_rate *step,
                             struct mw_run_progress *progress, int64_t now_us,
                             bool equal_tasks);

/*
 * mw_record_endpoint_speed, mw_recall_endpoint_speed: an estimate to be kept
 * in the log, and one from there.  Values out of range are cut to it.
 */
struct mw_speed_record
mw_record_endpoint_speed(const struct mw_endpoint_speed *speed);
struct mw_endpoint_speed
mw_recall_endpoint_speed(const struct mw_speed_record *record, int64_t now_us);

void mw_add_to_speed_mean(struct mw_speed_mean *fleet,
                          const struct mw_endpoint_speed *speed);

/* mw_is_speed_known: whether another run would hardly change the estimate. */
bool mw_is_speed_known(const struct mw_endpoint_speed *speed);
/* mw_is_speed_more_certain: whether an estimate says much more than an older
 * one. */
bool mw_is_speed_more_certain(const struct mw_endpoint_speed *older,
                              const struct mw_endpoint_speed *speed);
/*
 * mw_expect_run_rate: logarithm of the rate of a run of the step there.
 *
 * *variance is that of the rate that a list shows, around the returned one.
 * To be called only for a step that has rates.
 */
double mw_expect_run_rate(const struct mw_endpoint_speed *speed,
                          const struct mw_step_rate *step, bool equal_tasks,
                          double *variance);

/*
 * mw_restart_run_progress: the run may be faster or slower from now on for a
 * reason that is not the endpoint's.
 *
 * Its next rate is not compared with its earlier ones.
 */
void mw_restart_run_progress(struct mw_run_progress *progress, int64_t now_us,
                             uint32_t percent);

enum mw_speed_class
mw_classify_endpoint_speed(const struct mw_endpoint_speed *speed,
                           const struct mw_speed_mean *fleet);

#endif
