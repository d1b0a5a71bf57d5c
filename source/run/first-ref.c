#include "first-ref.h"

#include <glib.h>

#include "mimosawind/message.h"

uint64_t
mw_draw_first_ref(void)
{
    uint64_t random = (uint64_t)g_random_int() << 32 | g_random_int();

    /* the time keeps lives apart if the generator has too little entropy */
    random += (uint64_t)g_get_real_time();
    return 1 + random % MW_FIRST_REF_MAX;
}
