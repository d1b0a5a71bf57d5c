/*
 * route-priority: which routes are urgent, as far as an entry process knows.
 *
 * LOAD   requests of some hundred routes through a process that doesn't have
 *        the configuration.  It learns the priority of a route's host and
 *        prefix from the leader's replies, in a table of fixed size in which
 *        a prefix replaces another that falls on the same slot.
 */
#include "route-priority.h"

#define XXH_INLINE_ALL
#include <glib.h>
#include <xxhash.h>

/* of a job's identifier, in hexadecimal digits */
#define ID_LEN 16

/* The path of the route: without the job's identifier, if there is one. */
static struct mw_str
route_prefix(struct mw_str path)
{
    if (path.len < ID_LEN) {
        return path;
    }
    for (size_t i = path.len - ID_LEN; i < path.len; i++) {
        if (!g_ascii_isxdigit(path.ptr[i])) {
            return path;
        }
    }
    return (struct mw_str){path.ptr, path.len - ID_LEN};
}

/* Never 0. */
static uint64_t
hash_route(struct mw_str host, struct mw_str path)
{
    struct mw_str prefix = route_prefix(path);
    uint64_t hash = XXH3_64bits(host.ptr, host.len);

    hash = XXH3_64bits_withSeed(prefix.ptr, prefix.len, hash);
    return hash ? hash : 1;
}

static size_t
slot_index(uint64_t hash)
{
    return (hash ^ (hash >> 32)) % MW_ROUTE_SLOTS;
}

void
mw_learn_route_priority(struct mw_route_priorities *table, struct mw_str host,
                        struct mw_str path, uint32_t priority)
{
    uint64_t hash = hash_route(host, path);

    table->slots[slot_index(hash)] = (struct mw_route_slot){hash, priority};
}

bool
mw_is_route_urgent(const struct mw_route_priorities *table, struct mw_str host,
                   struct mw_str path)
{
    uint64_t hash = hash_route(host, path);
    const struct mw_route_slot *slot = &table->slots[slot_index(hash)];

    return slot->hash == hash && slot->priority == 0;
}
