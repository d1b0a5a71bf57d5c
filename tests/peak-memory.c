/*
 * peak-memory: memory of the process that a script runs in.
 */
#include "peak-memory.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

uint64_t
mw_peak_memory(void)
{
    char *text = NULL;
    uint64_t peak = 0;

    if (g_file_get_contents("/proc/self/status", &text, NULL, NULL)) {
        const char *line = strstr(text, "VmHWM:");

        peak = line ? g_ascii_strtoull(line + 6, NULL, 10) * 1024 : 0;
    }
    g_free(text);
    return peak;
}

void
mw_reset_peak_memory(void)
{
    FILE *file = fopen("/proc/self/clear_refs", "w");

    if (file) {
        fputs("5", file);
        fclose(file);
    }
}
