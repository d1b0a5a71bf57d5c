#include "script.h"
static void *
begin(void)
{
    return NULL;
}
static void
end(void *s)
{
    (void)s;
}
static const struct mw_script_command commands[] = {{NULL, 0, NULL}};
const struct mw_script_kind mw_world_scripts = {"world", commands, begin, end};
