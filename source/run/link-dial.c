/*
 * link-dial: the connections that this process dials, and dials again
 * whenever they end.
 */
#include "link-impl.h"

struct mw_dial_target
mw_region_dial_target(const struct mw_name *name, uint16_t port)
{
    struct mw_dial_target target = {.name = *name};
    char address[MW_NAME_MAX + 1];

    g_snprintf(address, sizeof address, "%.*s:%u", MW_FMT(mw_name_str(name)),
               port);
    target.address = mw_name_of(mw_str_from(address));
    return target;
}

void
mw_links_dial(struct mw_links *links, const struct mw_dial_target *target)
{
    for (uint32_t i = 0; i < links->dial_count; i++) {
        if (mw_name_equal(&links->dials[i].target.name, &target->name)) {
            return;
        }
    }
    if (links->dial_count < G_N_ELEMENTS(links->dials)) {
        links->dials[links->dial_count++].target = *target;
    }
}

void
mw_redial_later(struct mw_dial_state *state)
{
    state->active = false;
    state->redial_deadline_us = mw_now() + MW_LINK_REDIAL_DELAY_US;
}

/* Not while the process has dialed this one. */
static bool
should_dial(const struct mw_links *links, const struct mw_dial_state *state,
            int64_t now_us)
{
    return !state->active && now_us >= state->redial_deadline_us &&
           !g_hash_table_contains(links->by_process, &state->target.name);
}

static void
begin_dial(struct mw_links *links, uint32_t index)
{
    struct mw_dial_state *state = &links->dials[index];
    struct mw_link *link = mw_new_link(links, (int)index);
    struct mw_conn_callbacks callbacks = mw_link_callbacks(link);

    links->counters.dials++;
    link->conn = mw_dial_conn(&state->target.address, &callbacks);
    if (!link->conn) {
        mw_drop_link(link);
        mw_redial_later(state);
        return;
    }
    state->active = true;
    g_ptr_array_add(links->connections, link);
}

void
mw_dial_links(struct mw_links *links, int64_t now_us)
{
    for (uint32_t i = 0; i < links->dial_count; i++) {
        if (should_dial(links, &links->dials[i], now_us)) {
            begin_dial(links, i);
        }
    }
}
