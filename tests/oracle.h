#ifndef MW_TESTS_ORACLE_H
#define MW_TESTS_ORACLE_H

#include <glib.h>

#include "mimosawind.h"

/*
 * oracle: an exhaustive check that the guarantees of a zone can be met.
 *
 * It ignores the scheduler's own placement of the cells.  It subtracts the
 * resources of claims and of non-preemptible jobs, which cannot be taken
 * back, and searches for disjoint placements of all unclaimed guaranteed
 * shapes in the rest.
 */

enum mw_verdict {
    MW_VERDICT_HOLDS = 0,
    MW_VERDICT_VIOLATED = 1,
    /* the search exceeded its bound on steps */
    MW_VERDICT_UNDECIDED = 2,
    /* the scheduler itself reports a cell without a placement */
    MW_VERDICT_UNPLACED = 3
};

enum mw_verdict mw_oracle_check_guarantees(const struct mw_zone *zone);

/*
 * mw_oracle_check_accounting: whether the resources that each endpoint has in
 * use equal the sum over the parts of its jobs.  Appends each difference to
 * mismatches.
 */
bool mw_oracle_check_accounting(const struct mw_zone *zone,
                                GString *mismatches);

#endif
