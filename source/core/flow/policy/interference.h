#ifndef MW_CORE_FLOW_POLICY_INTERFERENCE_H
#define MW_CORE_FLOW_POLICY_INTERFERENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "mimosawind/str.h"

/*
 * interference: which kinds of work slow each other down on one endpoint.
 *
 * A pair of kinds has a cost: the logarithm of how much slower a run of the
 * one, the victim, is while a run of the other, the neighbour, is on the same
 * endpoint.  Costs are estimated from the rates at which runs make progress.
 * A pair is known once the evidence is strong; pairs that are not known have
 * no effect.  docs/design/interference.md says which evidence counts.
 *
 * UNITS   natural logarithms and their variances; rates are percents of a task
 *         a microsecond; times are microseconds of a monotonic clock
 * SETS    a set of kinds has one bit for each kind that is followed; a set is
 *         valid until a kind is evicted, which struct mw_kind_rate notices
 */

#define MW_KINDS_MAX 64
#define MW_KIND_PAIRS_MAX 512

/* mw_work_kind: tasks that are expected to use an endpoint alike. */
struct mw_work_kind {
    struct mw_name queue;
    /* upper bounds of the needs of one task */
    uint32_t cpu;
    uint32_t memory_mb;
    uint32_t gpus;
    bool gang;
};

/* mw_kind_rate: of one run; zeroed for a run that no list has shown yet. */
struct mw_kind_rate {
    /* the next rate is measured from here; 0 for nowhere yet */
    int64_t from_us;
    /* kinds beside the run since then, and during the last rate */
    uint64_t beside;
    uint64_t rated_beside;
    double log_rate;
    /* known costs of the kinds that the last list showed beside the run */
    float known_cost;
    uint32_t generation;
    uint8_t from_percent;
    /* progress has been seen since the first list */
    bool is_moving;
    bool has_rate;
    /* other kinds are beside the run, or the known cost is another; cleared by
     * the reader */
    bool has_changed;
};

enum mw_rate_result {
    MW_RATE_NONE = 0,
    /* the first rate of the run */
    MW_RATE_FIRST = 1,
    /* beside the same kinds as the rate before */
    MW_RATE_SAME = 2,
    /* beside other kinds than the rate before */
    MW_RATE_CHANGED = 3
};

/* mw_interference_sample: what is observed of one victim at a time. */
struct mw_interference_sample {
    /* set of one kind */
    uint64_t victim;
    /* kinds that slow the run now and did not before, and the reverse; for a
     * comparison with other runs, the kinds beside it and nothing */
    uint64_t came;
    uint64_t left;
    /* identifies the endpoint */
    uint64_t endpoint;
    /* logarithm of the rate less what is expected without came, beside left */
    double residual;
    double variance;
};

/* mw_interference_output: opaque is passed to the callback. */
struct mw_interference_output {
    void *opaque;
    /* the pair has become known, or is known no more */
    void (*pair)(void *opaque, const struct mw_work_kind *victim,
                 const struct mw_work_kind *neighbour, double cost,
                 bool is_known);
};

struct mw_interference;

struct mw_interference *
mw_new_interference(const struct mw_interference_output *output);
void mw_drop_interference(struct mw_interference *table);
/* mw_clear_interference: forgets everything, without a callback. */
void mw_clear_interference(struct mw_interference *table);

/*
 * mw_interference_generation: changes when a kind is evicted; sets of kinds
 * from before are not valid any more.
 */
uint32_t mw_interference_generation(const struct mw_interference *table);

/* mw_hash_work_kind: identifies the kind; never 0. */
uint64_t mw_hash_work_kind(const struct mw_work_kind *kind);

/*
 * mw_see_work_kind: an endpoint runs this kind now.
 *
 * Returns the set of this kind.  Returns 0 if it is not followed: the table is
 * full of kinds that were seen a short time ago.
 */
uint64_t mw_see_work_kind(struct mw_interference *table, int64_t now_us,
                          const struct mw_work_kind *kind);

/* mw_begin_kind_rate: the run has begun its work, beside these kinds. */
void mw_begin_kind_rate(const struct mw_interference *table,
                        struct mw_kind_rate *rate, int64_t now_us,
                        uint64_t beside);

/*
 * mw_measure_kind_rate: a list shows the run at percent beside these kinds.
 *
 * is_steady says that these, and no others, were there since the list before.
 * With MW_RATE_CHANGED, *sample has came, left, residual and variance.  With
 * MW_RATE_FIRST, it has came, and the rate in residual.
 */
enum mw_rate_result
mw_measure_kind_rate(const struct mw_interference *table,
                     struct mw_kind_rate *rate, int64_t now_us,
                     uint32_t percent, uint64_t beside, bool is_steady,
                     struct mw_interference_sample *sample);

void mw_learn_interference(struct mw_interference *table, int64_t now_us,
                           const struct mw_interference_sample *sample);

/*
 * mw_update_interference: finds the pairs that have become known or are known
 * no more, and drops those without evidence; to be called regularly.
 */
void mw_update_interference(struct mw_interference *table, int64_t now_us);

/*
 * mw_update_known_cost: sets rate->known_cost for a run of the kind victim, a
 * set of one.
 */
void mw_update_known_cost(const struct mw_interference *table,
                          struct mw_kind_rate *rate, uint64_t victim,
                          uint64_t beside);

/* mw_bad_neighbours: kinds with which a kind is in a known pair. */
struct mw_bad_neighbours {
    uint32_t count;
    /* hashes */
    uint64_t kinds[MW_KINDS_MAX];
    /* what the two cost each other */
    double costs[MW_KINDS_MAX];
};

/* mw_find_bad_neighbours: of the kind with this hash. */
void mw_find_bad_neighbours(const struct mw_interference *table, uint64_t kind,
                            struct mw_bad_neighbours *bad);

/*
 * mw_add_neighbour_penalty: adds the cost of a kind to the penalty of a place.
 *
 * *counted has a bit for each of the bad neighbours that have been added; it
 * begins with 0.
 */
void mw_add_neighbour_penalty(const struct mw_bad_neighbours *bad,
                              uint64_t kind, uint64_t *counted,
                              double *penalty);

uint32_t mw_count_work_kinds(const struct mw_interference *table);
uint32_t mw_count_known_pairs(const struct mw_interference *table);

#endif
