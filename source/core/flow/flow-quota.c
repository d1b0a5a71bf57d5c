/*
 * flow-quota: the organisations' caps, as the configuration in force has them.
 */
#include "flow-impl.h"

struct mw_quota *
mw_get_quota(struct mw_flows *flows)
{
    const struct mw_flow_config *config = mw_get_flow_config(&flows->configs);
    uint64_t version = config ? config->version : 0;

    if (version != flows->quota_version) {
        mw_set_quota_caps(flows->quota, config ? config->org_count : 0,
                          config ? config->orgs : NULL);
        flows->quota_version = version;
    }
    return flows->quota;
}
