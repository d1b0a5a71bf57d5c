/*
 * endpoint-speed: how fast an endpoint works compared with the others.
 *
 * LOAD   short urgent gangs among endpoints of which some take twice or three
 *        times as long as others.  A gang is as fast as its slowest member, so
 *        that most gangs are late if their endpoints are chosen without
 *        regard to speed.  Durations that callers declare are not used.
 *
 * The estimate is a Kalman filter: the less is known of the endpoint, the more
 * a rate moves it.  A rate that contradicts the estimate by far shows that the
 * endpoint has become slow, or has recovered.
 */
#include "endpoint-speed.h"

#include <math.h>

/* progress from which a rate is measured: percents are rounded */
#define RATE_PERCENTS_MIN 10
#define RATE_DURATION_MIN_US 100000
/* of an unknown endpoint */
#define UNKNOWN_VARIANCE 0.16
/* of the work of the tasks of a step, where it is not equal */
#define TASK_VARIANCE 0.12
/* an estimate with less needs no further lists */
#define KNOWN_VARIANCE_MAX 0.03
/* an estimate with so much less is worth another record */
#define MORE_CERTAIN_VARIANCE 0.06
/* of a rate, for the rounding of percents and the delay of lists */
#define RATE_VARIANCE 0.01
/* variance that is added to an estimate, a microsecond */
#define VARIANCE_GROWTH (0.0005 / 1e6)
/* a rate off by so many standard deviations shows that the speed changed */
#define CHANGE_DEVIATIONS 3.0
/* a class needs a speed so many standard deviations from the middle */
#define CLASS_DEVIATIONS 2.0
/* and so far from it in any case */
#define CLASS_LOG_SPEED_MIN 0.12
/* records have whole thousandths */
#define RECORD_SCALE 1000.0
/* no endpoint is a hundred times as fast as another */
#define LOG_SPEED_MAX 5.0

static double
variance_of(const struct mw_endpoint_speed *speed)
{
    return UNKNOWN_VARIANCE - speed->known;
}

void
mw_begin_run_progress(struct mw_run_progress *progress, int64_t now_us,
                      uint32_t percent)
{
    progress->from_us = now_us;
    progress->from_percent = percent;
}

bool
mw_note_run_progress(struct mw_run_progress *progress, int64_t now_us,
                     uint32_t percent)
{
    int64_t duration_us = now_us - progress->from_us;

    if (progress->from_us == 0 || percent < progress->from_percent) {
        mw_begin_run_progress(progress, now_us, percent);
        return false;
    }
    if (percent - progress->from_percent < RATE_PERCENTS_MIN ||
        duration_us < RATE_DURATION_MIN_US) {
        return false;
    }
    progress->log_rate =
        log((double)(percent - progress->from_percent) / (double)duration_us);
    mw_begin_run_progress(progress, now_us, percent);
    return true;
}

/* An old estimate is less certain. */
static void
age_estimate(struct mw_endpoint_speed *speed, int64_t now_us)
{
    double growth = VARIANCE_GROWTH * (double)(now_us - speed->updated_us);

    speed->known = fmax(speed->known - growth, 0);
    speed->updated_us = now_us;
}

/* expected: the rate on an endpoint of middling speed, with its variance. */
static void
update_estimate(struct mw_endpoint_speed *speed, double log_rate,
                double expected, double expected_variance)
{
    double noise = RATE_VARIANCE + expected_variance;
    double error = log_rate - expected - speed->log_speed;
    double variance = variance_of(speed);
    double gain;

    if (error * error >
        CHANGE_DEVIATIONS * CHANGE_DEVIATIONS * (variance + noise)) {
        variance = UNKNOWN_VARIANCE;
    }
    gain = variance / (variance + noise);
    speed->log_speed += gain * error;
    speed->known = UNKNOWN_VARIANCE - (1 - gain) * variance;
}

static void
add_to_step(struct mw_step_rate *step, double log_rate, double variance)
{
    double weight = 1 / variance;

    step->log_rate = (step->log_rate * step->weight + log_rate * weight) /
                     (step->weight + weight);
    step->weight += weight;
}

void
mw_learn_endpoint_speed(struct mw_endpoint_speed *speed,
                        struct mw_step_rate *step,
                        struct mw_run_progress *progress, int64_t now_us,
                        bool equal_tasks)
{
    struct mw_step_rate others = *step;
    double task_variance = equal_tasks ? 0 : TASK_VARIANCE;

    age_estimate(speed, now_us);
    if (!progress->has_rate) {
        add_to_step(step, progress->log_rate - speed->log_speed,
                    variance_of(speed) + RATE_VARIANCE + task_variance);
    }
    if (progress->has_rate && !equal_tasks) {
        if (!progress->has_restarted) {
            update_estimate(speed, progress->log_rate, progress->log_task_rate,
                            RATE_VARIANCE);
        }
    }
    else if (others.weight > 0) {
        update_estimate(speed, progress->log_rate, others.log_rate,
                        1 / others.weight + task_variance);
    }
    progress->log_task_rate = progress->log_rate - speed->log_speed;
    progress->has_rate = true;
    progress->has_restarted = false;
}

struct mw_speed_record
mw_record_endpoint_speed(const struct mw_endpoint_speed *speed)
{
    return (struct mw_speed_record){
        .log_speed = (int32_t)lround(speed->log_speed * RECORD_SCALE),
        .known = (uint32_t)lround(speed->known * RECORD_SCALE),
    };
}

struct mw_endpoint_speed
mw_recall_endpoint_speed(const struct mw_speed_record *record, int64_t now_us)
{
    double log_speed = record->log_speed / RECORD_SCALE;
    double known = record->known / RECORD_SCALE;

    return (struct mw_endpoint_speed){
        .log_speed = fmin(fmax(log_speed, -LOG_SPEED_MAX), LOG_SPEED_MAX),
        .known = fmin(known, UNKNOWN_VARIANCE - RATE_VARIANCE),
        .updated_us = now_us,
    };
}

void
mw_add_to_speed_mean(struct mw_speed_mean *fleet,
                     const struct mw_endpoint_speed *speed)
{
    if (speed->known > 0) {
        fleet->weight += speed->known;
        fleet->log_speed += (speed->log_speed - fleet->log_speed) *
                            speed->known / fleet->weight;
    }
}

bool
mw_is_speed_known(const struct mw_endpoint_speed *speed)
{
    return variance_of(speed) <= KNOWN_VARIANCE_MAX;
}

bool
mw_is_speed_more_certain(const struct mw_endpoint_speed *older,
                         const struct mw_endpoint_speed *speed)
{
    return speed->known - older->known > MORE_CERTAIN_VARIANCE;
}

double
mw_expect_run_rate(const struct mw_endpoint_speed *speed,
                   const struct mw_step_rate *step, bool equal_tasks,
                   double *variance)
{
    *variance = RATE_VARIANCE + 1 / step->weight + variance_of(speed) +
                (equal_tasks ? 0 : TASK_VARIANCE);
    return step->log_rate + speed->log_speed;
}

void
mw_restart_run_progress(struct mw_run_progress *progress, int64_t now_us,
                        uint32_t percent)
{
    mw_begin_run_progress(progress, now_us, percent);
    progress->has_restarted = true;
}

enum mw_speed_class
mw_classify_endpoint_speed(const struct mw_endpoint_speed *speed,
                           const struct mw_speed_mean *fleet)
{
    double difference = speed->log_speed - fleet->log_speed;
    double bound =
        fmax(CLASS_DEVIATIONS * sqrt(variance_of(speed)), CLASS_LOG_SPEED_MIN);

    if (difference < -bound) {
        return MW_SPEED_SLOW;
    }
    return difference > bound ? MW_SPEED_FAST : MW_SPEED_NORMAL;
}
