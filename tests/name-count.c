#include "name-count.h"

#include "mimosawind/str.h"

bool __real_mw_str_equal(struct mw_str a, struct mw_str b);
bool __real_mw_name_equal(const struct mw_name *a, const struct mw_name *b);
int __real_mw_same_name(const void *a, const void *b);
unsigned int __real_mw_hash_name(const void *name);

bool __wrap_mw_str_equal(struct mw_str a, struct mw_str b);
bool __wrap_mw_name_equal(const struct mw_name *a, const struct mw_name *b);
int __wrap_mw_same_name(const void *a, const void *b);
unsigned int __wrap_mw_hash_name(const void *name);

static uint64_t operations;

uint64_t
mw_name_operations(void)
{
    return operations;
}

bool
__wrap_mw_str_equal(struct mw_str a, struct mw_str b)
{
    operations++;
    return __real_mw_str_equal(a, b);
}

bool
__wrap_mw_name_equal(const struct mw_name *a, const struct mw_name *b)
{
    operations++;
    return __real_mw_name_equal(a, b);
}

int
__wrap_mw_same_name(const void *a, const void *b)
{
    operations++;
    return __real_mw_same_name(a, b);
}

unsigned int
__wrap_mw_hash_name(const void *name)
{
    operations++;
    return __real_mw_hash_name(name);
}
