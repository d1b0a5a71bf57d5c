/*
 * flow-heartbeat-target: which control process takes an endpoint's heartbeats.
 */
#include "flow-heartbeat-target.h"

#include <glib.h>

/* The entry of a process; a new one replaces the one not heard for longest. */
static struct mw_heartbeat_target *
find_entry(struct mw_heartbeat_targets *targets, const struct mw_name *name)
{
    struct mw_heartbeat_target *oldest = &targets->targets[0];

    for (uint32_t i = 0; i < targets->count; i++) {
        struct mw_heartbeat_target *target = &targets->targets[i];

        if (mw_name_equal(&target->name, name)) {
            return target;
        }
        if (target->last_heartbeat_us < oldest->last_heartbeat_us) {
            oldest = target;
        }
    }
    if (targets->count < MW_HEARTBEAT_TARGETS_MAX) {
        return &targets->targets[targets->count++];
    }
    return oldest;
}

void
mw_note_heartbeat_target(struct mw_heartbeat_targets *targets, int64_t now_us,
                         const struct mw_name *name,
                         const struct mw_heartbeat *heartbeat)
{
    *find_entry(targets, name) = (struct mw_heartbeat_target){
        .name = *name,
        .zone = heartbeat->zone,
        .last_heartbeat_us = now_us,
        .leaving = heartbeat->leaving ||
                   heartbeat->protocol < MW_PROTOCOL_RELAYED_HEARTBEATS,
    };
}

/* The weight of a process for an endpoint; the highest is chosen. */
static uint32_t
weigh(const struct mw_name *endpoint, const struct mw_name *process)
{
    uint32_t mixed =
        mw_hash_name(endpoint) ^ (mw_hash_name(process) * 2654435761u);

    mixed ^= mixed >> 16;
    mixed *= 2246822519u;
    mixed ^= mixed >> 13;
    return mixed;
}

struct mw_name
mw_choose_heartbeat_target(const struct mw_heartbeat_targets *targets,
                           int64_t now_us, const struct mw_name *endpoint,
                           const struct mw_name *zone)
{
    const struct mw_heartbeat_target *best = NULL;

    for (uint32_t i = 0; i < targets->count; i++) {
        const struct mw_heartbeat_target *target = &targets->targets[i];
        bool is_near = mw_name_equal(&target->zone, zone);
        bool best_is_near = best && mw_name_equal(&best->zone, zone);

        if (target->leaving || now_us - target->last_heartbeat_us >=
                                   MW_HEARTBEAT_TARGET_TIMEOUT_US) {
            continue;
        }
        if (!best || (is_near && !best_is_near) ||
            (is_near == best_is_near &&
             weigh(endpoint, &target->name) > weigh(endpoint, &best->name))) {
            best = target;
        }
    }
    return best ? best->name : (struct mw_name){0};
}
