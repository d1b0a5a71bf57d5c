#include "build-id.h"

/* set by the Makefile */
#ifndef MW_BUILD_ID
#define MW_BUILD_ID "unknown"
#endif

const char *
mw_build_id(void)
{
    return MW_BUILD_ID;
}
