#ifndef MW_TESTS_NAME_COUNT_H
#define MW_TESTS_NAME_COUNT_H

#include <stdint.h>

/*
 * name-count: how often names were hashed and compared.
 *
 * The test program is linked with --wrap for the functions of str.h that do
 * so, and counts their calls from other files.  It shows how the work grows
 * with the input without a clock.
 */

/* mw_name_operations: hashes and comparisons since the program started. */
uint64_t mw_name_operations(void);

#endif
