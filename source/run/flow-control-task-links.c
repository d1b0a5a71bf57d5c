/*
 * flow-control-task-links: the connections to other processes of the region.
 */
#include "flow-control-task-impl.h"

#include <string.h>

bool
mw_start_flow_links(struct mw_flow_control_task *t, char **message)
{
    struct mw_link_setup setup = {
        .name = t->setup.name,
        .zone = t->setup.zone,
        .role = MW_ROLE_CONTROL,
        .incarnation = (uint64_t)g_get_real_time(),
        .key = t->key,
        .owner = t->task,
        .ctx = t->ctx,
    };

    setup.listen =
        mw_region_dial_target(&t->setup.name, t->setup.link_port).address;
    t->links = mw_new_links(&setup, message);
    if (!t->links) {
        return false;
    }
    t->links_task = mw_links_task(t->links);
    return true;
}

void
mw_dial_process(struct mw_flow_control_task *t, const struct mw_name *name)
{
    struct mw_dial_target dial =
        mw_region_dial_target(name, t->setup.link_port);
    struct mw_name members[MW_MEMBERS_MAX];
    uint32_t count = mw_flow_control_get_members(t->control, members);
    bool both = mw_contains_name(members, count, &t->setup.name) &&
                mw_contains_name(members, count, name);

    if (name->len == 0 || mw_name_equal(name, &t->setup.name) ||
        (both && memcmp(name, &t->setup.name, sizeof *name) > 0)) {
        return;
    }
    mw_links_dial(t->links, &dial);
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
