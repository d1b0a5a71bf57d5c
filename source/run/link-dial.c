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

static struct mw_dial_state *
find_dial(struct mw_links *links, const struct mw_name *name)
{
    for (uint32_t i = 0; i < links->dial_count; i++) {
        if (mw_name_equal(&links->dials[i].target.name, name)) {
            return &links->dials[i];
        }
    }
    return NULL;
}

/*
 * A new one, or the one without a connection whose process has not been named
 * for the longest: a machine that was removed.  NULL if all are in use.
 */
static struct mw_dial_state *
find_free_dial(struct mw_links *links)
{
    struct mw_dial_state *oldest = NULL;

    if (links->dial_count < G_N_ELEMENTS(links->dials)) {
        return &links->dials[links->dial_count++];
    }
    for (uint32_t i = 0; i < links->dial_count; i++) {
        struct mw_dial_state *state = &links->dials[i];

        if (!state->active &&
            (!oldest || state->named_us < oldest->named_us) &&
            !g_hash_table_contains(links->by_process, &state->target.name)) {
            oldest = state;
        }
    }
    return oldest;
}

void
mw_links_dial(struct mw_links *links, const struct mw_dial_target *target)
{
    struct mw_dial_state *state = find_dial(links, &target->name);

    if (!state) {
        state = find_free_dial(links);
        if (!state) {
            return;
        }
        *state = (struct mw_dial_state){.target = *target};
    }
    state->named_us = mw_now();
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
