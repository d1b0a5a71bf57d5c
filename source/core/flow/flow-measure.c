/*
 * flow-measure: latency histograms of the stages of a flow.
 */
#include "flow-impl.h"

void
mw_count_latency(struct mw_flows *flows, enum mw_flow_latency latency,
                 int64_t duration_us)
{
    struct mw_flow_histogram *histogram = &flows->latencies[latency];
    int64_t bound_us = 1000;
    int bucket = 0;

    while (bucket < MW_LATENCY_BUCKETS - 1 && duration_us >= bound_us) {
        bound_us *= 2;
        bucket++;
    }
    histogram->buckets[bucket]++;
    histogram->count++;
    histogram->sum_us += (uint64_t)MAX(duration_us, 0);
}

const struct mw_flow_histogram *
mw_flows_get_histogram(const struct mw_flows *flows,
                       enum mw_flow_latency latency)
{
    return &flows->latencies[latency];
}

struct mw_str
mw_flow_latency_str(enum mw_flow_latency latency)
{
    static const struct mw_str texts[] = {MW_STR("commit"), MW_STR("place"),
                                          MW_STR("order"), MW_STR("run"),
                                          MW_STR("flow")};

    return texts[latency];
}
