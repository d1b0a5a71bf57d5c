#ifndef MW_CORE_FLOW_POLICY_FAIR_SHARE_H
#define MW_CORE_FLOW_POLICY_FAIR_SHARE_H

#include "mimosawind/flow.h"

/*
 * fair-share: the order of waiting work by weighted dominant shares.
 *
 * An account is an organisation in one service, whose endpoints no other
 * service can use.  Its dominant share is the largest of use / total over the
 * resources.  As a group is taken into the order its demand is added to the
 * use of its account, so that one pass over a long queue alternates between
 * the accounts by weight instead of letting the first one take all.
 *
 * ORDER   by rank; from MW_FAIR_SHARE_RANK_MIN on, work that is too late to be
 *         of use behind all other work of the rank; then the account with the
 *         smallest share; within an account, work that is late behind work
 *         that is not, each by due time and then by identifier.  Groups of a
 *         lower rank, which are within a guarantee, are ordered without
 *         regard to accounts.
 *
 * The order is total and depends on nothing but the arguments.
 */

/* groups of lower ranks are ordered by lateness and due time alone */
#define MW_FAIR_SHARE_RANK_MIN 1

/* mw_lateness: of waiting work, against its latency objective. */
enum mw_lateness {
    MW_ON_TIME = 0,
    /* can no longer meet the objective */
    MW_LATE = 1,
    /* so late that the result is of no use any more */
    MW_TOO_LATE = 2
};

/* mw_fair_account: an organisation in one service. */
struct mw_fair_account {
    /* 0 counts as 1 */
    uint32_t weight;
    struct mw_flow_amounts use;
    /* of the service; a resource of which there is none is ignored */
    struct mw_flow_amounts total;
};

/* mw_fair_group: waiting tasks that are placed together. */
struct mw_fair_group {
    /* index into the accounts */
    uint32_t account;
    uint32_t rank;
    enum mw_lateness lateness;
    int64_t due_us;
    /* these two identify the group */
    const struct mw_name *id;
    uint32_t number;
    /* of all its waiting tasks */
    struct mw_flow_amounts demand;
    /* of the caller */
    void *opaque;
};

/*
 * mw_dominant_share: the largest of use / total, divided by the weight.
 *
 * Shares that are equal as fractions are equal as results as long as each
 * total times the weight is below 2^53.
 */
double mw_dominant_share(const struct mw_fair_account *account);

/*
 * mw_order_by_fair_share: puts the groups in order.
 *
 * The demand of all groups is added to the use of their accounts.  Takes
 * O(n log n) for n groups, and memory for a copy of them.
 */
void mw_order_by_fair_share(struct mw_fair_account *accounts,
                            uint32_t account_count,
                            struct mw_fair_group *groups,
                            uint32_t group_count);

#endif
