#include "route-priority.h"

#include <glib.h>

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

static uint64_t
add_to_hash(uint64_t hash, struct mw_str text)
{
    for (size_t i = 0; i < text.len; i++) {
        hash = (hash ^ (unsigned char)text.ptr[i]) * UINT64_C(1099511628211);
    }
    /* a byte that no host or path contains ends the text */
    return (hash ^ 0xff) * UINT64_C(1099511628211);
}

/* FNV-1a of both; not 0. */
static uint64_t
hash_route(struct mw_str host, struct mw_str path)
{
    uint64_t hash = add_to_hash(UINT64_C(14695981039346656037), host);

    hash = add_to_hash(hash, route_prefix(path));
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
