#ifndef MW_CORE_FLOW_POLICY_QUOTA_H
#define MW_CORE_FLOW_POLICY_QUOTA_H

#include "mimosawind/flow.h"

/*
 * quota: what each organisation uses, against its cap.
 *
 * LOAD   organisations that submit more than they may run at once, beside
 *        others that need the same endpoints.
 *
 * The owner reports each run that may be at work and each that is over, and
 * the organisations of the configuration in force.  A cap of 0 is no limit.
 * Work without an organisation is counted under the empty name.
 *
 * COST   one hash lookup for a run that is added or over; about 150 bytes for
 *        each organisation that is configured or uses something
 */

/* mw_quota_org: an organisation; lent until the next change. */
struct mw_quota_org {
    struct mw_name name;
    struct mw_flow_amounts used;
    /* 0 for no limit */
    struct mw_flow_amounts cap;
    /* 1 if the configuration has none */
    uint32_t weight;
};

struct mw_quota;

struct mw_quota *mw_new_quota(void);
void mw_drop_quota(struct mw_quota *quota);

/* mw_add_quota_use: a run with this need may be at work from now on. */
void mw_add_quota_use(struct mw_quota *quota, const struct mw_name *org,
                      const struct mw_flow_resources *need);
/* mw_subtract_quota_use: a run that was added is over. */
void mw_subtract_quota_use(struct mw_quota *quota, const struct mw_name *org,
                           const struct mw_flow_resources *need);

/*
 * mw_set_quota_caps: the organisations of the configuration in force.
 *
 * All others have no cap any more; of several with one name the last counts.
 */
void mw_set_quota_caps(struct mw_quota *quota, uint32_t count,
                       const struct mw_flow_org *orgs);

/* mw_find_quota_org: NULL if it is not configured and uses nothing. */
const struct mw_quota_org *mw_find_quota_org(const struct mw_quota *quota,
                                             const struct mw_name *name);

#endif
