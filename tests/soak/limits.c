/*
 * limits: the memory and the disk that a process may use.
 */
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

/* of a core machine of the smallest deployment */
#define MEMORY_KB_MAX (256 * 1024)
#define DISK_BYTES_MAX (128 * 1000 * 1000)

/* The most memory that a process has used, in KB; 0 if it has ended. */
static long
peak_memory_kb(GPid pid)
{
    char *path = g_strdup_printf("/proc/%d/status", (int)pid);
    char *text = NULL;
    const char *line;
    long kb = 0;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        line = strstr(text, "VmHWM:");
        kb = line ? strtol(line + strlen("VmHWM:"), NULL, 10) : 0;
    }
    g_free(text);
    g_free(path);
    return kb;
}

static int64_t
folder_bytes(const char *folder)
{
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;
    int64_t bytes = 0;

    while (dir && (name = g_dir_read_name(dir))) {
        char *path = g_build_filename(folder, name, NULL);
        GStatBuf status;

        bytes += g_stat(path, &status) == 0 ? status.st_size : 0;
        g_free(path);
    }
    if (dir) {
        g_dir_close(dir);
    }
    return bytes;
}

bool
soak_check_limits(GString *violations, const char *name, GPid pid,
                  const char *data_folder)
{
    long memory_kb = peak_memory_kb(pid);
    int64_t disk_bytes = folder_bytes(data_folder);

    if (memory_kb > MEMORY_KB_MAX) {
        g_string_append_printf(violations, "%s takes %ld KB of memory; ", name,
                               memory_kb);
    }
    if (disk_bytes > DISK_BYTES_MAX) {
        g_string_append_printf(violations,
                               "%s takes %" G_GINT64_FORMAT " bytes of disk; ",
                               name, disk_bytes);
    }
    return memory_kb <= MEMORY_KB_MAX && disk_bytes <= DISK_BYTES_MAX;
}
