/*
 * flow-config: lookup of queues and API keys in the configuration.
 */
#include <string.h>

#include "flow-impl.h"

void
mw_drop_flow_config(struct mw_flow_config *config)
{
    if (config && --config->refs <= 0) {
        mw_drop_blob(config->text);
        g_free(config->routes);
        g_free(config->services);
        g_free(config->orgs);
        g_free(config->keys);
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

static bool
has_prefix(struct mw_str text, struct mw_str prefix)
{
    return text.len >= prefix.len &&
           memcmp(text.ptr, prefix.ptr, prefix.len) == 0;
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
    const struct mw_flow_route *best = NULL;

    host = strip_port(host);
    for (uint32_t i = 0; i < config->route_count; i++) {
        const struct mw_flow_route *route = &config->routes[i];

        if (mw_str_equal(mw_name_str(&route->host), host) &&
            has_prefix(path, mw_name_str(&route->prefix)) &&
            (!best || route->prefix.len > best->prefix.len)) {
            best = route;
        }
    }
    return best;
}

const struct mw_flow_org *
mw_flow_find_org(const struct mw_flow_config *config, struct mw_str key)
{
    for (uint32_t i = 0; i < config->key_count; i++) {
        if (mw_str_equal(mw_name_str(&config->keys[i].key), key)) {
            return &config->orgs[config->keys[i].org];
        }
    }
    return NULL;
}
