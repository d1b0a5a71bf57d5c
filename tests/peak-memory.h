#ifndef MW_TESTS_PEAK_MEMORY_H
#define MW_TESTS_PEAK_MEMORY_H

#include <stdint.h>

/* mw_peak_memory: most bytes of memory that this process has had at once. */
uint64_t mw_peak_memory(void);

/* mw_reset_peak_memory: count from now on. */
void mw_reset_peak_memory(void);

#endif
