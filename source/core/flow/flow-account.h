#ifndef MW_CORE_FLOW_ACCOUNT_H
#define MW_CORE_FLOW_ACCOUNT_H

#include <glib.h>

#include "mimosawind/flow.h"

/* flow-account: use of the organisations in each service. */

/* mw_flow_account: an organisation in one service. */
struct mw_flow_account {
    struct mw_name org;
    struct mw_name service;
    /* by its runs, in all phases */
    struct mw_flow_amounts used;
    /* among the accounts of the current pass */
    uint32_t index;
};

/* mw_new_flow_accounts: set of struct mw_flow_account, which it owns. */
GHashTable *mw_new_flow_accounts(void);
/* mw_get_flow_account: the account, which is added if there is none. */
struct mw_flow_account *mw_get_flow_account(GHashTable *accounts,
                                            const struct mw_name *org,
                                            const struct mw_name *service);
/* mw_has_account_of_service: whether there was a flow for the service. */
bool mw_has_account_of_service(GHashTable *accounts,
                               const struct mw_name *service);
/* a run with this need may be at work from now on */
void mw_add_account_use(struct mw_flow_account *account,
                        const struct mw_flow_resources *need);
/* a run that was added is over */
void mw_subtract_account_use(struct mw_flow_account *account,
                             const struct mw_flow_resources *need);

#endif
