/*
 * interference: which kinds of work slow each other down on one endpoint.
 *
 * LOAD   small tasks of several queues that share endpoints, of which some
 *        take twice as long beside each other: the endpoints where they meet
 *        do less work although there is room elsewhere.
 *
 * A pair has two estimates, one from a single endpoint and one from all
 * others, and is known only if both show the cost: one endpoint that turns
 * slow looks like interference with whatever came to it last.
 */
#include "interference.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* progress from which a rate is measured: percents are rounded */
#define RATE_PERCENTS_MIN 10
#define RATE_DURATION_MIN_US 100000
/* of the change of a run's rate: rounding, delay of lists, uneven progress */
#define CHANGE_VARIANCE 0.06
/* of a pair of which nothing is known: its standard deviation is 0.5 */
#define PRIOR_WEIGHT 4.0
#define HALF_LIFE_US 60e6
/* a pair with more evidence would take too long to be tried again */
#define PAIR_WEIGHT_MAX 200.0
/* with less, another endpoint takes the place of the single one */
#define ENDPOINT_WEIGHT_MIN 1.0
/* a pair with less evidence is dropped */
#define PAIR_WEIGHT_MIN 0.05
/* a sample says no more than this: a stalled run is not infinitely slow */
#define SAMPLE_MAX 1.0
/* with more kinds, a sample would say next to nothing about each */
#define SAMPLE_KINDS_MAX 8
/* a run that is 18 % slower */
#define KNOWN_COST_MIN 0.2
#define KNOWN_DEVIATIONS 3.0
/* of each of the two estimates */
#define SIDE_COST_MIN 0.1
#define SIDE_DEVIATIONS 2.0
/* a known pair below these is forgotten */
#define FORGOTTEN_COST 0.1
#define FORGOTTEN_DEVIATIONS 2.0
/* rates freed of costs that differ by more are not compared */
#define COST_CHANGE_MIN 0.1
/* a kind that no list has shown for so long makes room for others */
#define KIND_IDLE_US INT64_C(10000000)

/* estimate: a mean with its weight, the inverse variance. */
struct estimate {
    double sum;
    double weight;
};

/* kind_entry: hash 0 for none. */
struct kind_entry {
    uint64_t hash;
    int64_t seen_us;
    struct mw_work_kind kind;
};

/* pair: indexes of kinds; not used while it is not in pair_of. */
struct pair {
    bool is_used;
    bool is_known;
    uint8_t victim;
    uint8_t neighbour;
    /* the single endpoint, and the last of the others */
    uint64_t endpoint;
    uint64_t other_endpoint;
    struct estimate at_endpoint;
    struct estimate elsewhere;
    /* the weights are as of then */
    int64_t updated_us;
    int64_t seen_us;
};

struct mw_interference {
    struct mw_interference_output output;
    /* grows when a kind is evicted */
    uint32_t generation;
    uint32_t known_count;
    struct kind_entry kinds[MW_KINDS_MAX];
    struct pair pairs[MW_KIND_PAIRS_MAX];
    /* by victim and neighbour: index of the pair plus 1, or 0 */
    uint16_t pair_of[MW_KINDS_MAX][MW_KINDS_MAX];
};

struct mw_interference *
mw_new_interference(const struct mw_interference_output *output)
{
    struct mw_interference *table = g_new0(struct mw_interference, 1);

    table->output = *output;
    return table;
}

void
mw_drop_interference(struct mw_interference *table)
{
    g_free(table);
}

void
mw_clear_interference(struct mw_interference *table)
{
    struct mw_interference_output output = table->output;
    uint32_t generation = table->generation;

    memset(table, 0, sizeof *table);
    table->output = output;
    table->generation = generation + 1;
}

uint32_t
mw_interference_generation(const struct mw_interference *table)
{
    return table->generation;
}

uint64_t
mw_hash_work_kind(const struct mw_work_kind *kind)
{
    uint32_t shape[] = {kind->cpu, kind->memory_mb, kind->gpus, kind->gang};
    uint64_t seed = XXH64(kind->queue.ptr, kind->queue.len, 0);

    return MAX(XXH64(shape, sizeof shape, seed), 1);
}

static double
mean_of(const struct estimate *estimate)
{
    return estimate->sum / (estimate->weight + PRIOR_WEIGHT);
}

static double
deviation_of(const struct estimate *estimate)
{
    return 1 / sqrt(estimate->weight + PRIOR_WEIGHT);
}

static bool
shows_cost(const struct estimate *estimate, double cost_min, double deviations)
{
    double mean = mean_of(estimate);

    return mean >= cost_min && mean >= deviations * deviation_of(estimate);
}

static struct estimate
whole_estimate(const struct pair *pair)
{
    return (struct estimate){pair->at_endpoint.sum + pair->elsewhere.sum,
                             pair->at_endpoint.weight +
                                 pair->elsewhere.weight};
}

static void
scale_pair(struct pair *pair, double factor)
{
    pair->at_endpoint.sum *= factor;
    pair->at_endpoint.weight *= factor;
    pair->elsewhere.sum *= factor;
    pair->elsewhere.weight *= factor;
}

static void
age_pair(struct pair *pair, int64_t now_us)
{
    scale_pair(pair,
               exp2(-(double)(now_us - pair->updated_us) / HALF_LIFE_US));
    pair->updated_us = now_us;
}

static void
report_pair(struct mw_interference *table, struct pair *pair, bool is_known)
{
    struct estimate whole = whole_estimate(pair);

    pair->is_known = is_known;
    table->known_count += is_known ? 1 : -1;
    table->output.pair(table->output.opaque, &table->kinds[pair->victim].kind,
                       &table->kinds[pair->neighbour].kind, mean_of(&whole),
                       is_known);
}

static void
drop_pair(struct mw_interference *table, struct pair *pair)
{
    if (pair->is_known) {
        report_pair(table, pair, false);
    }
    table->pair_of[pair->victim][pair->neighbour] = 0;
    *pair = (struct pair){0};
}

static void
evict_kind(struct mw_interference *table, uint32_t index)
{
    for (uint32_t i = 0; i < MW_KIND_PAIRS_MAX; i++) {
        struct pair *pair = &table->pairs[i];

        if (pair->is_used &&
            (pair->victim == index || pair->neighbour == index)) {
            drop_pair(table, pair);
        }
    }
    table->kinds[index] = (struct kind_entry){0};
    table->generation++;
}

uint64_t
mw_see_work_kind(struct mw_interference *table, int64_t now_us,
                 const struct mw_work_kind *kind)
{
    uint64_t hash = mw_hash_work_kind(kind);
    struct kind_entry *oldest = &table->kinds[0];

    for (uint32_t i = 0; i < MW_KINDS_MAX; i++) {
        struct kind_entry *entry = &table->kinds[i];

        if (entry->hash == hash) {
            entry->seen_us = now_us;
            return UINT64_C(1) << i;
        }
        if (oldest->hash != 0 &&
            (entry->hash == 0 || entry->seen_us < oldest->seen_us)) {
            oldest = entry;
        }
    }
    if (oldest->hash != 0) {
        if (now_us - oldest->seen_us < KIND_IDLE_US) {
            return 0;
        }
        evict_kind(table, (uint32_t)(oldest - table->kinds));
    }
    *oldest = (struct kind_entry){hash, now_us, *kind};
    return UINT64_C(1) << (oldest - table->kinds);
}

static void
restart_rate(struct mw_kind_rate *rate, int64_t now_us, uint32_t percent,
             uint64_t beside)
{
    rate->has_changed |= rate->from_us != 0 && beside != rate->beside;
    rate->from_us = now_us;
    rate->from_percent = (uint8_t)percent;
    rate->beside = beside;
}

void
mw_begin_kind_rate(const struct mw_interference *table,
                   struct mw_kind_rate *rate, int64_t now_us, uint64_t beside)
{
    *rate = (struct mw_kind_rate){.generation = table->generation,
                                  .is_moving = true};
    restart_rate(rate, now_us, 0, beside);
}

/* A kind was evicted since: the sets mean something else now. */
static void
renew_rate(const struct mw_interference *table, struct mw_kind_rate *rate)
{
    if (rate->generation != table->generation) {
        *rate = (struct mw_kind_rate){.generation = table->generation,
                                      .is_moving = rate->is_moving,
                                      .has_changed = rate->has_changed};
    }
}

static enum mw_rate_result
note_rate(struct mw_kind_rate *rate, double log_rate,
          struct mw_interference_sample *sample)
{
    bool is_first = !rate->has_rate;
    double last = rate->log_rate;
    uint64_t last_beside = rate->rated_beside;

    rate->has_rate = true;
    rate->log_rate = log_rate;
    rate->rated_beside = rate->beside;
    if (is_first) {
        sample->came = rate->beside;
        sample->left = 0;
        sample->residual = log_rate;
        return MW_RATE_FIRST;
    }
    if (rate->beside == last_beside) {
        rate->log_rate = (last + log_rate) / 2;
        return MW_RATE_SAME;
    }
    sample->came = rate->beside & ~last_beside;
    sample->left = last_beside & ~rate->beside;
    sample->residual = log_rate - last;
    sample->variance = CHANGE_VARIANCE;
    return MW_RATE_CHANGED;
}

enum mw_rate_result
mw_measure_kind_rate(const struct mw_interference *table,
                     struct mw_kind_rate *rate, int64_t now_us,
                     uint32_t percent, uint64_t beside, bool is_steady,
                     struct mw_interference_sample *sample)
{
    enum mw_rate_result result;
    double done;

    renew_rate(table, rate);
    if (rate->from_us == 0 || percent < rate->from_percent) {
        rate->is_moving = false;
        restart_rate(rate, now_us, percent, beside);
        return MW_RATE_NONE;
    }
    done = (double)(percent - rate->from_percent);
    if (!is_steady || beside != rate->beside || !rate->is_moving) {
        /* a restore makes no progress and is no part of a rate */
        rate->is_moving |= done > 0;
        restart_rate(rate, now_us, percent, beside);
        return MW_RATE_NONE;
    }
    if (done < RATE_PERCENTS_MIN ||
        now_us - rate->from_us < RATE_DURATION_MIN_US) {
        return MW_RATE_NONE;
    }
    result =
        note_rate(rate, log(done / (double)(now_us - rate->from_us)), sample);
    restart_rate(rate, now_us, percent, beside);
    return result;
}

/* The pair that has least to lose: not known, then without recent evidence. */
static struct pair *
take_pair(struct mw_interference *table)
{
    struct pair *best = &table->pairs[0];

    for (uint32_t i = 0; i < MW_KIND_PAIRS_MAX && best->is_used; i++) {
        struct pair *pair = &table->pairs[i];

        if (!pair->is_used || (!pair->is_known && best->is_known) ||
            (pair->is_known == best->is_known &&
             pair->seen_us < best->seen_us)) {
            best = pair;
        }
    }
    if (best->is_used) {
        drop_pair(table, best);
    }
    return best;
}

static struct pair *
find_pair(struct mw_interference *table, int64_t now_us, uint32_t victim,
          uint32_t neighbour)
{
    uint16_t *index = &table->pair_of[victim][neighbour];
    struct pair *pair;

    if (*index > 0) {
        pair = &table->pairs[*index - 1];
        age_pair(pair, now_us);
    }
    else {
        pair = take_pair(table);
        *pair = (struct pair){.is_used = true,
                              .victim = (uint8_t)victim,
                              .neighbour = (uint8_t)neighbour,
                              .updated_us = now_us};
        *index = (uint16_t)(pair - table->pairs + 1);
    }
    pair->seen_us = now_us;
    return pair;
}

static void
add_to_pair(struct pair *pair, uint64_t endpoint, double cost, double weight)
{
    struct estimate *estimate = &pair->elsewhere;
    double total;

    if (pair->at_endpoint.weight < ENDPOINT_WEIGHT_MIN &&
        endpoint != pair->other_endpoint) {
        pair->endpoint = endpoint;
    }
    if (endpoint == pair->endpoint) {
        estimate = &pair->at_endpoint;
    }
    else {
        pair->other_endpoint = endpoint;
    }
    estimate->sum += weight * cost;
    estimate->weight += weight;
    total = pair->at_endpoint.weight + pair->elsewhere.weight;
    if (total > PAIR_WEIGHT_MAX) {
        scale_pair(pair, PAIR_WEIGHT_MAX / total);
    }
}

/* share: one of the pairs that a sample concerns, as it was before. */
struct share {
    struct pair *pair;
    /* 1 if the neighbour came, -1 if it left */
    double sign;
    double cost;
    double variance;
};

static uint32_t
find_shares(struct mw_interference *table, int64_t now_us,
            const struct mw_interference_sample *sample, struct share *shares)
{
    uint32_t victim = (uint32_t)__builtin_ctzll(sample->victim);
    uint32_t count = 0;

    for (uint32_t i = 0; i < MW_KINDS_MAX; i++) {
        uint64_t bit = UINT64_C(1) << i;
        struct estimate whole;
        struct pair *pair;

        if (!((sample->came | sample->left) & bit)) {
            continue;
        }
        pair = find_pair(table, now_us, victim, i);
        whole = whole_estimate(pair);
        shares[count++] = (struct share){
            .pair = pair,
            .sign = sample->came & bit ? 1 : -1,
            .cost = fmax(mean_of(&whole), 0),
            .variance = 1 / (whole.weight + PRIOR_WEIGHT),
        };
    }
    return count;
}

void
mw_learn_interference(struct mw_interference *table, int64_t now_us,
                      const struct mw_interference_sample *sample)
{
    struct share shares[SAMPLE_KINDS_MAX];
    double expected = 0;
    double variance = sample->variance;
    uint32_t count;

    if (__builtin_popcountll(sample->came | sample->left) > SAMPLE_KINDS_MAX) {
        return;
    }
    count = find_shares(table, now_us, sample, shares);
    for (uint32_t i = 0; i < count; i++) {
        expected -= shares[i].sign * shares[i].cost;
        variance += shares[i].variance;
    }
    for (uint32_t i = 0; i < count; i++) {
        const struct share *share = &shares[i];
        double others = expected + share->sign * share->cost;
        double cost = -share->sign * (sample->residual - others);

        add_to_pair(share->pair, sample->endpoint,
                    CLAMP(cost, -SAMPLE_MAX, SAMPLE_MAX),
                    1 / (variance - share->variance));
    }
}

void
mw_update_interference(struct mw_interference *table, int64_t now_us)
{
    for (uint32_t i = 0; i < MW_KIND_PAIRS_MAX; i++) {
        struct pair *pair = &table->pairs[i];
        struct estimate whole;

        if (!pair->is_used) {
            continue;
        }
        age_pair(pair, now_us);
        whole = whole_estimate(pair);
        if (pair->is_known &&
            !shows_cost(&whole, FORGOTTEN_COST, FORGOTTEN_DEVIATIONS)) {
            report_pair(table, pair, false);
        }
        else if (!pair->is_known &&
                 shows_cost(&whole, KNOWN_COST_MIN, KNOWN_DEVIATIONS) &&
                 shows_cost(&pair->at_endpoint, SIDE_COST_MIN,
                            SIDE_DEVIATIONS) &&
                 shows_cost(&pair->elsewhere, SIDE_COST_MIN,
                            SIDE_DEVIATIONS)) {
            report_pair(table, pair, true);
        }
        if (whole.weight < PAIR_WEIGHT_MIN) {
            drop_pair(table, pair);
        }
    }
}

/* 0 unless the pair is known. */
static double
known_pair_cost(const struct mw_interference *table, uint32_t victim,
                uint32_t neighbour)
{
    uint16_t index = table->pair_of[victim][neighbour];
    struct estimate whole;

    if (index == 0 || !table->pairs[index - 1].is_known) {
        return 0;
    }
    whole = whole_estimate(&table->pairs[index - 1]);
    return mean_of(&whole);
}

void
mw_update_known_cost(const struct mw_interference *table,
                     struct mw_kind_rate *rate, uint64_t victim,
                     uint64_t beside)
{
    double cost = 0;

    for (; table->known_count > 0 && beside != 0; beside &= beside - 1) {
        cost += known_pair_cost(table, (uint32_t)__builtin_ctzll(victim),
                                (uint32_t)__builtin_ctzll(beside));
    }
    rate->has_changed |= fabs(cost - rate->known_cost) > COST_CHANGE_MIN;
    rate->known_cost = (float)cost;
}

static uint32_t
find_kind(const struct mw_interference *table, uint64_t hash)
{
    uint32_t index = 0;

    while (index < MW_KINDS_MAX && table->kinds[index].hash != hash) {
        index++;
    }
    return index;
}

void
mw_find_bad_neighbours(const struct mw_interference *table, uint64_t kind,
                       struct mw_bad_neighbours *bad)
{
    uint32_t index;

    bad->count = 0;
    if (table->known_count == 0) {
        return;
    }
    index = find_kind(table, kind);
    for (uint32_t i = 0; index < MW_KINDS_MAX && i < MW_KINDS_MAX; i++) {
        double cost = known_pair_cost(table, index, i) +
                      (i == index ? 0 : known_pair_cost(table, i, index));

        if (cost > 0) {
            bad->kinds[bad->count] = table->kinds[i].hash;
            bad->costs[bad->count++] = cost;
        }
    }
}

void
mw_add_neighbour_penalty(const struct mw_bad_neighbours *bad, uint64_t kind,
                         uint64_t *counted, double *penalty)
{
    for (uint32_t i = 0; i < bad->count; i++) {
        uint64_t bit = UINT64_C(1) << i;

        if (bad->kinds[i] == kind && !(*counted & bit)) {
            *counted |= bit;
            *penalty += bad->costs[i];
        }
    }
}

uint32_t
mw_count_work_kinds(const struct mw_interference *table)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < MW_KINDS_MAX; i++) {
        count += table->kinds[i].hash != 0;
    }
    return count;
}

uint32_t
mw_count_known_pairs(const struct mw_interference *table)
{
    return table->known_count;
}
