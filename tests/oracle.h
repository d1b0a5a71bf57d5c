#ifndef MW_TESTS_ORACLE_H
#define MW_TESTS_ORACLE_H

#include <glib.h>

#include "mimosawind.h"

/*
 * oracle: a slow and obvious check of the guarantee.
 *
 * Forgets every decision of the scheduler but what holds accelerators, and
 * searches for a disjoint place of each unclaimed guaranteed shape on what
 * is left when all work that may be stopped is gone.
 */

enum mw_verdict {
    MW_HOLDS = 0,
    MW_BROKEN = 1,
    /* the search was given up */
    MW_UNDECIDED = 2,
    /* the scheduler itself says that a shape has no place */
    MW_SAID_LOST = 3
};

enum mw_verdict mw_oracle_judge(const struct mw_zone *zone);

/* mw_oracle_accounts: whether the books agree with the jobs' parts. */
bool mw_oracle_accounts(const struct mw_zone *zone, GString *fault);

#endif
