/*
 * zone-runtime: histograms of measured run times, by organisation and class.
 *
 * Declared run times are wrong by a factor of ten in either direction, so
 * they are used only until the class has a sample.  A histogram has a bucket
 * for each power of two; when it is full all counts are halved, so that old
 * samples lose weight.
 */
#include "zone-impl.h"

#define CLASSES_MAX 4096
#define DECAY_AT_SAMPLES 256

static int
bucket_of(int64_t runtime_us)
{
    int bucket = 0;

    while (runtime_us > 1 && bucket < MW_RUNTIME_BUCKETS - 1) {
        runtime_us >>= 1;
        bucket++;
    }
    return bucket;
}

static struct mw_job_key
class_key(const struct mw_job *job)
{
    return (struct mw_job_key){job->spec.key.org, job->spec.class};
}

void
mw_add_runtime_sample(struct mw_zone *zone, const struct mw_job *job,
                      int64_t runtime_us)
{
    struct mw_job_key key = class_key(job);
    struct mw_runtime_histogram *r =
        g_hash_table_lookup(zone->runtime_histograms, &key);

    if (!r) {
        if (g_hash_table_size(zone->runtime_histograms) >= CLASSES_MAX) {
            return;
        }
        r = g_new0(struct mw_runtime_histogram, 1);
        r->key = key;
        g_hash_table_insert(zone->runtime_histograms, &r->key, r);
    }
    if (r->count >= DECAY_AT_SAMPLES) {
        r->count = 0;
        for (int i = 0; i < MW_RUNTIME_BUCKETS; i++) {
            r->bucket[i] /= 2;
            r->count += r->bucket[i];
        }
    }
    r->bucket[bucket_of(runtime_us)]++;
    r->count++;
}

/*
 * The median of those measured run times that are at least as long as the
 * time the job has run so far, less that time.  A sample counts as the middle
 * of its bucket.
 */
int64_t
mw_expected_remaining(const struct mw_zone *zone, const struct mw_job *job,
                      int64_t now_us)
{
    struct mw_job_key key = class_key(job);
    const struct mw_runtime_histogram *r =
        g_hash_table_lookup(zone->runtime_histograms, &key);
    int64_t passed = job->started_us ? now_us - job->started_us : 0;
    int from = bucket_of(passed);
    uint32_t beyond = 0;

    if (!r || r->count == 0) {
        return MAX(job->spec.runtime_us - passed, passed);
    }
    for (int i = from; i < MW_RUNTIME_BUCKETS; i++) {
        beyond += r->bucket[i];
    }
    if (beyond == 0) {
        return passed;
    }
    uint32_t seen = 0;

    for (int i = from; i < MW_RUNTIME_BUCKETS; i++) {
        seen += r->bucket[i];
        if (2 * seen >= beyond) {
            int64_t middle = ((int64_t)1 << i) + ((int64_t)1 << i) / 2;

            return MAX(middle - passed, 0);
        }
    }
    return passed;
}
