/*
 * zone-hold: racks kept for a large gang that waits.
 *
 * Without this, small work takes every accelerator as it comes free and a
 * large gang starves.  Others may still use a held rack for what is
 * expected to have ended before the rack would be free anyway.
 */
#include "zone-impl.h"

static int64_t
expected_clear(const struct mw_zone *zone, const struct mw_rack *rack,
               int64_t now_us)
{
    int64_t latest = now_us;

    for (guint i = 0; i < rack->endpoints->len; i++) {
        const struct mw_endpoint *e = rack->endpoints->pdata[i];

        for (guint j = 0; j < e->jobs->len; j++) {
            const struct mw_job *job = e->jobs->pdata[j];
            int64_t end = now_us + mw_expect_left(zone, job, now_us);

            latest = MAX(latest, end);
        }
    }
    return latest;
}

static struct mw_rack *
soonest_rack(const struct mw_zone *zone, int64_t now_us, uint32_t need)
{
    struct mw_rack *best = NULL;
    int64_t best_clear = INT64_MAX;

    for (guint i = 0; i < zone->racks->len; i++) {
        struct mw_rack *rack = zone->racks->pdata[i];

        if (rack->held_by || rack->total_accelerators < need) {
            continue;
        }
        int64_t clear = expected_clear(zone, rack, now_us);

        if (clear < best_clear) {
            best = rack;
            best_clear = clear;
        }
    }
    if (best) {
        best->held_until_us = best_clear;
    }
    return best;
}

void
mw_hold_racks(struct mw_zone *zone, int64_t now_us, struct mw_job *job)
{
    const struct mw_shape *shape = &job->spec.shape;
    uint32_t need = shape->tasks * shape->need.accelerators;
    uint32_t got = 0;

    if (zone->holder || need == 0) {
        return;
    }
    while (got < need) {
        uint32_t least = shape->adjacent == MW_ADJACENT_ZONE ? 1 : need;
        struct mw_rack *rack = soonest_rack(zone, now_us, least);

        if (!rack) {
            break;
        }
        rack->held_by = job;
        rack->held_since_us = now_us;
        got += rack->total_accelerators;
    }
    zone->holder = got > 0 ? job : NULL;
}

void
mw_release_hold(struct mw_zone *zone, const struct mw_job *job)
{
    if (zone->holder != job) {
        return;
    }
    for (guint i = 0; i < zone->racks->len; i++) {
        struct mw_rack *rack = zone->racks->pdata[i];

        rack->held_by = NULL;
    }
    zone->holder = NULL;
    zone->dirty = true;
}

bool
mw_hold_allows(const struct mw_zone *zone, const struct mw_rack *rack,
               const struct mw_job *job, int64_t now_us)
{
    if (!rack->held_by || !job || rack->held_by == job) {
        return true;
    }
    if (job->spec.priority == MW_URGENT) {
        return true;
    }
    return now_us + mw_expect_left(zone, job, now_us) <= rack->held_until_us;
}
