#ifndef MW_RUN_FIRST_REF_H
#define MW_RUN_FIRST_REF_H

#include <stdint.h>

/*
 * first-ref: where a process begins to number its requests to other
 * processes.
 */

/*
 * mw_draw_first_ref: a random number, so that no request of a process has the
 * ref of one of an earlier life of this process.  See message.h.
 */
uint64_t mw_draw_first_ref(void);

#endif
