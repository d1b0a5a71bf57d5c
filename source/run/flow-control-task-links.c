/*
 * flow-control-task-links: the connections to other processes of the region.
 */
#include "flow-control-task-impl.h"

#include <string.h>

void
mw_dial_process(struct mw_flow_control_task *t, const struct mw_name *name)
{
    struct mw_name members[MW_MEMBERS_MAX];
    uint32_t count = mw_flow_control_get_members(t->control, members);
    bool both = mw_contains_name(members, count, &t->setup.name) &&
                mw_contains_name(members, count, name);

    if (mw_name_equal(name, &t->setup.name) ||
        (both && memcmp(name, &t->setup.name, sizeof *name) > 0)) {
        return;
    }
    mw_dial_region_process(&t->process, name);
}

void
mw_dial_known_processes(struct mw_flow_control_task *t)
{
    struct mw_name members[MW_MEMBERS_MAX];
    uint32_t count = mw_flow_control_get_members(t->control, members);

    for (uint32_t i = 0; i < count; i++) {
        mw_dial_process(t, &members[i]);
    }
    for (uint32_t i = 0; i < t->setup.seed_count; i++) {
        mw_dial_process(t, &t->setup.seeds[i]);
    }
}
