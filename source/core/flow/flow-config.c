/*
 * flow-config: lookup of queues and API keys in the configuration.
 */
#include <glib.h>
#include <string.h>

#include "mimosawind/flow.h"

/* mw_flow_config_index: points to the entries of the configuration. */
struct mw_flow_config_index {
    /* services by name */
    GHashTable *services;
    /* routes by host and path prefix */
    GHashTable *routes;
    /* bit n is set if a route has a path prefix of n bytes */
    uint64_t prefix_lengths;
    /* struct mw_flow_key by its key */
    GHashTable *keys;
};

static guint
hash_route(gconstpointer data)
{
    const struct mw_flow_route *route = data;

    return mw_hash_name(&route->host) * 31 + mw_hash_name(&route->prefix);
}

static gboolean
is_same_queue(gconstpointer a, gconstpointer b)
{
    const struct mw_flow_route *x = a;
    const struct mw_flow_route *y = b;

    return mw_name_equal(&x->prefix, &y->prefix) &&
           mw_name_equal(&x->host, &y->host);
}

static struct mw_flow_config_index *
get_index(struct mw_flow_config *config)
{
    if (!config->index) {
        config->index = g_new0(struct mw_flow_config_index, 1);
        config->index->services = g_hash_table_new(mw_hash_name, mw_same_name);
        config->index->routes = g_hash_table_new(hash_route, is_same_queue);
        config->index->keys = g_hash_table_new(mw_hash_name, mw_same_name);
    }
    return config->index;
}

static void
drop_index(struct mw_flow_config_index *index)
{
    if (index) {
        g_hash_table_unref(index->services);
        g_hash_table_unref(index->routes);
        g_hash_table_unref(index->keys);
        g_free(index);
    }
}

void
mw_index_flow_service(struct mw_flow_config *config,
                      const struct mw_name *service)
{
    g_hash_table_add(get_index(config)->services, (gpointer)service);
}

bool
mw_flow_config_has_service(const struct mw_flow_config *config,
                           const struct mw_name *service)
{
    return config->index &&
           g_hash_table_contains(config->index->services, service);
}

int
mw_index_flow_route(struct mw_flow_config *config,
                    const struct mw_flow_route *route)
{
    struct mw_flow_config_index *index = get_index(config);

    if (!g_hash_table_contains(index->services, &route->service)) {
        return MW_ERR_INVALID;
    }
    if (g_hash_table_contains(index->routes, route)) {
        return MW_ERR_DUPLICATE;
    }
    g_hash_table_add(index->routes, (gpointer)route);
    index->prefix_lengths |= UINT64_C(1) << route->prefix.len;
    return 0;
}

int
mw_index_flow_key(struct mw_flow_config *config, const struct mw_flow_key *key)
{
    struct mw_flow_config_index *index = get_index(config);
    const struct mw_flow_key *other =
        g_hash_table_lookup(index->keys, &key->key);

    if (other) {
        return other->org == key->org ? 0 : MW_ERR_DUPLICATE;
    }
    g_hash_table_insert(index->keys, (gpointer)&key->key, (gpointer)key);
    return 0;
}

void
mw_drop_flow_config(struct mw_flow_config *config)
{
    if (config && --config->refs <= 0) {
        mw_drop_blob(config->text);
        g_free(config->routes);
        g_free(config->services);
        g_free(config->orgs);
        g_free(config->keys);
        drop_index(config->index);
        g_free(config);
    }
}

void
mw_drop_flow_plan(struct mw_flow_plan *plan)
{
    if (plan) {
        mw_drop_blob(plan->spec);
        g_free(plan->steps);
        g_free(plan);
    }
}

/* Queues are selected by host name only, without the port. */
static struct mw_str
strip_port(struct mw_str host)
{
    const char *colon = host.len ? memchr(host.ptr, ':', host.len) : NULL;

    if (colon) {
        host.len = (size_t)(colon - host.ptr);
    }
    return host;
}

const struct mw_flow_route *
mw_flow_find_route(const struct mw_flow_config *config, struct mw_str host,
                   struct mw_str path)
{
    const struct mw_flow_config_index *index = config->index;
    const struct mw_flow_route *route = NULL;
    struct mw_flow_route wanted = {0};

    if (!index || mw_set_name(&wanted.host, strip_port(host)) != 0) {
        return NULL;
    }
    for (size_t len = MIN(path.len, MW_NAME_MAX); len > 0 && !route; len--) {
        if (index->prefix_lengths >> len & 1) {
            wanted.prefix = mw_name_of((struct mw_str){path.ptr, len});
            route = g_hash_table_lookup(index->routes, &wanted);
        }
    }
    return route;
}

const struct mw_flow_org *
mw_flow_find_org(const struct mw_flow_config *config, struct mw_str key)
{
    const struct mw_flow_key *found;
    struct mw_name name;

    if (!config->index || mw_set_name(&name, key) != 0) {
        return NULL;
    }
    found = g_hash_table_lookup(config->index->keys, &name);
    return found ? &config->orgs[found->org] : NULL;
}
