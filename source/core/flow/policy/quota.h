#ifndef MW_CORE_FLOW_POLICY_QUOTA_H
#define MW_CORE_FLOW_POLICY_QUOTA_H

#include "mimosawind/flow.h"

/*
 * quota: what each organisation uses, against its cap.
 *
 * The owner reports each run that may be at work and each that is over, and
 * the organisations of the configuration in force.  A cap of 0 is no limit.
 * Work without an organisation is counted under the empty name.
 *
 * COST   one hash lookup for a run that is added or over; about 150 bytes for
 *        each organisation that is configured or uses something
 */

/* mw_quota_limit: the resource whose cap admits the fewest tasks. */
enum mw_quota_limit {
    MW_QUOTA_CPU = 0,
    MW_QUOTA_MEMORY = 1,
    MW_QUOTA_GPUS = 2,
    MW_QUOTA_LIMITS = 3
};

/* mw_quota_org: an organisation; lent until the next change. */
struct mw_quota_org {
    struct mw_name name;
    struct mw_flow_amounts used;
    /* 0 for no limit */
    struct mw_flow_amounts cap;
    /* 1 if the configuration has none */
    uint32_t weight;
    /* held back for groups of it that were visited in this pass */
    struct mw_flow_amounts claimed;
    /* one that waits for the cap was */
    bool has_waiting_claim;
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

/* mw_each_quota_org: calls back for each, in no order. */
void mw_each_quota_org(const struct mw_quota *quota, void *opaque,
                       void (*callback)(void *opaque,
                                        const struct mw_quota_org *org));

/*
 * mw_quota_tasks_left: how many tasks of this need, wanted at most, the cap
 * admits beside what is used and claimed.
 *
 * None while any resource is above its cap.  If it is fewer than wanted,
 * *limit is the cap that admits the fewest.
 */
uint32_t mw_quota_tasks_left(const struct mw_quota *quota,
                             const struct mw_name *org,
                             const struct mw_flow_resources *need,
                             uint32_t wanted, enum mw_quota_limit *limit);
/* mw_quota_excess: by how much so many tasks more would exceed the cap. */
struct mw_flow_amounts mw_quota_excess(const struct mw_quota *quota,
                                       const struct mw_name *org,
                                       const struct mw_flow_resources *need,
                                       uint32_t tasks);
/* mw_quota_is_exceeded: whether a resource is above its cap. */
bool mw_quota_is_exceeded(const struct mw_quota *quota,
                          const struct mw_name *org);
/* mw_quota_has_cap: whether any of its resources has a cap. */
bool mw_quota_has_cap(const struct mw_quota *quota, const struct mw_name *org);
/* mw_cap_admits: whether the cap admits so many tasks if nothing is used. */
bool mw_cap_admits(const struct mw_flow_amounts *cap,
                   const struct mw_flow_resources *need, uint32_t tasks);
/* mw_quota_limit_str: the field of the configuration. */
const char *mw_quota_limit_str(enum mw_quota_limit limit);

/*
 * mw_clear_quota_claims, mw_claim_quota: hold room below the cap for a group
 * against the organisation's groups behind it.
 *
 * A claim with which those of the organisation would take more than half of
 * its cap is not made: whatever waits for the cap beside a claim then waits
 * because more than half is in use.  With is_waiting the group waits for the
 * cap; only the first of these has a claim, or many would withhold all other
 * resources that they need, too.
 */
void mw_clear_quota_claims(struct mw_quota *quota);
void mw_claim_quota(struct mw_quota *quota, const struct mw_name *org,
                    const struct mw_flow_resources *need, uint32_t tasks,
                    bool is_waiting);
/* mw_draw_quota: as mw_quota_tasks_left; claims all of these tasks. */
uint32_t mw_draw_quota(struct mw_quota *quota, const struct mw_name *org,
                       const struct mw_flow_resources *need, uint32_t wanted);

#endif
