#ifndef MW_CORE_FLOW_HEARTBEAT_TARGET_H
#define MW_CORE_FLOW_HEARTBEAT_TARGET_H

#include "mimosawind/message.h"

/*
 * flow-heartbeat-target: which control process takes an endpoint's heartbeats.
 *
 * LOAD   the heartbeats of all endpoints of a region.  They are spread over
 *        the control processes that are reachable, those of the endpoint's
 *        availability zone first, by rendezvous hashing: when one process
 *        comes or goes, only its own share moves.
 */

#define MW_HEARTBEAT_TARGETS_MAX 32
/* a process without heartbeats for so long is no target */
#define MW_HEARTBEAT_TARGET_TIMEOUT_US INT64_C(1500000)

struct mw_heartbeat_target {
    struct mw_name name;
    struct mw_name zone;
    int64_t last_heartbeat_us;
    bool leaving;
};

struct mw_heartbeat_targets {
    uint32_t count;
    struct mw_heartbeat_target targets[MW_HEARTBEAT_TARGETS_MAX];
};

/* mw_note_heartbeat_target: a control process's own heartbeat arrived. */
void mw_note_heartbeat_target(struct mw_heartbeat_targets *targets,
                              int64_t now_us, const struct mw_name *name,
                              const struct mw_heartbeat *heartbeat);

/*
 * mw_choose_heartbeat_target: for an endpoint of a zone.
 *
 * Empty if no process is reachable.
 */
struct mw_name
mw_choose_heartbeat_target(const struct mw_heartbeat_targets *targets,
                           int64_t now_us, const struct mw_name *endpoint,
                           const struct mw_name *zone);

#endif
