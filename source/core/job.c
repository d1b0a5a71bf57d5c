#include "mimosawind/job.h"

#include <glib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

bool
mw_resources_fit(const struct mw_resources *need,
                 const struct mw_resources *available)
{
    return need->accelerators <= available->accelerators &&
           need->slots <= available->slots &&
           need->processors <= available->processors &&
           need->memory_mb <= available->memory_mb;
}

void
mw_resources_add(struct mw_resources *sum, const struct mw_resources *amount,
                 uint32_t n)
{
    sum->accelerators += n * amount->accelerators;
    sum->slots += n * amount->slots;
    sum->processors += n * amount->processors;
    sum->memory_mb += n * amount->memory_mb;
}

void
mw_resources_sub(struct mw_resources *sum, const struct mw_resources *amount,
                 uint32_t n)
{
    sum->accelerators -= n * amount->accelerators;
    sum->slots -= n * amount->slots;
    sum->processors -= n * amount->processors;
    sum->memory_mb -= n * amount->memory_mb;
}

static uint32_t
sub_saturating(uint32_t a, uint32_t b)
{
    return a > b ? a - b : 0;
}

struct mw_resources
mw_resources_sub_saturating(const struct mw_resources *a,
                            const struct mw_resources *b)
{
    return (struct mw_resources){
        .accelerators = sub_saturating(a->accelerators, b->accelerators),
        .slots = sub_saturating(a->slots, b->slots),
        .processors = sub_saturating(a->processors, b->processors),
        .memory_mb = sub_saturating(a->memory_mb, b->memory_mb),
    };
}

static uint32_t
fit_count(uint32_t need, uint32_t available, uint32_t max)
{
    return need == 0 ? max : MIN(max, available / need);
}

uint32_t
mw_resources_fit_count(const struct mw_resources *need,
                       const struct mw_resources *available)
{
    uint32_t n = MW_TASKS_MAX;

    n = fit_count(need->accelerators, available->accelerators, n);
    n = fit_count(need->slots, available->slots, n);
    n = fit_count(need->processors, available->processors, n);
    return fit_count(need->memory_mb, available->memory_mb, n);
}

int
mw_check_shape(struct mw_context *ctx, const struct mw_shape *shape)
{
    if (shape->tasks < 1 || shape->tasks > MW_TASKS_MAX) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE, "tasks: %u is not in 1..%d",
                       shape->tasks, MW_TASKS_MAX);
    }
    if (shape->need.accelerators > MW_ACCELERATORS_MAX) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                       "accelerators: %u is not in 0..%d",
                       shape->need.accelerators, MW_ACCELERATORS_MAX);
    }
    if (shape->need.processors > MW_PROCESSORS_MAX) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                       "processors: %u is not in 0..%d",
                       shape->need.processors, MW_PROCESSORS_MAX);
    }
    if (shape->need.memory_mb > MW_MEMORY_MB_MAX) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                       "memory_mb: %u is not in 0..%d", shape->need.memory_mb,
                       MW_MEMORY_MB_MAX);
    }
    if (shape->need.slots != 1) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE, "slots: a task takes one");
    }
    if ((unsigned)shape->adjacent > MW_ADJACENT_ENDPOINT) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                       "adjacent: one of zone, rack, endpoint");
    }
    return 0;
}

int
mw_check_spec(struct mw_context *ctx, const struct mw_job_spec *spec)
{
    if (!mw_name_valid(&spec->key.org)) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "organisation: give letters, digits, . _ - :");
    }
    if (!mw_name_valid(&spec->key.request)) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "request: give letters, digits, . _ - :");
    }
    if (spec->class.len > 0 && !mw_name_valid(&spec->class)) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "class: give letters, digits, . _ - :");
    }
    if ((unsigned)spec->priority >= MW_PRIORITIES) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                       "priority: one of urgent, normal, batch");
    }
    return mw_check_shape(ctx, &spec->shape);
}

bool
mw_spec_is_recorded(const struct mw_job_spec *spec)
{
    return !spec->idempotent || !spec->wait;
}

bool
mw_spec_is_preemptible(const struct mw_job_spec *spec)
{
    if (!spec->idempotent) {
        return false;
    }
    return spec->checkpoint || spec->priority == MW_URGENT;
}

bool
mw_attempt_equal(const struct mw_attempt_id *a, const struct mw_attempt_id *b)
{
    return a->job == b->job && a->epoch == b->epoch &&
           a->number == b->number && mw_name_equal(&a->zone, &b->zone);
}

unsigned int
mw_hash_key(const void *key)
{
    const struct mw_job_key *k = key;

    return mw_hash_name(&k->org) * 31 + mw_hash_name(&k->request);
}

int
mw_same_key(const void *a, const void *b)
{
    const struct mw_job_key *x = a;
    const struct mw_job_key *y = b;

    return mw_name_equal(&x->org, &y->org) &&
           mw_name_equal(&x->request, &y->request);
}

static int
owner_by_prefix(const struct mw_name *request, const struct mw_name *zones,
                size_t count)
{
    for (size_t i = 0; i < count; i++) {
        size_t len = zones[i].len;

        if (request->len > len && request->ptr[len] == ':' &&
            memcmp(request->ptr, zones[i].ptr, len) == 0) {
            return (int)i;
        }
    }
    return MW_ERR_MISSING;
}

static uint64_t
score(const struct mw_job_key *key, const struct mw_name *zone)
{
    uint64_t seed = XXH3_64bits(zone->ptr, zone->len);

    seed = XXH3_64bits_withSeed(key->org.ptr, key->org.len, seed);
    return XXH3_64bits_withSeed(key->request.ptr, key->request.len, seed);
}

int
mw_owner_zone(const struct mw_job_key *key, const struct mw_name *zones,
              size_t count)
{
    int best = owner_by_prefix(&key->request, zones, count);
    uint64_t best_score = 0;

    if (best >= 0) {
        return best;
    }
    for (size_t i = 0; i < count; i++) {
        uint64_t s = score(key, &zones[i]);

        if (best < 0 || s > best_score) {
            best = (int)i;
            best_score = s;
        }
    }
    return best;
}
