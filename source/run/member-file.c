#include "member-file.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define FILE_NAME "members"
/* a slot that belongs to nobody */
#define NOBODY MW_STR("-")

static char *
path_of(struct mw_str folder, const char *suffix)
{
    return g_strdup_printf("%.*s/" FILE_NAME "%s", MW_FMT(folder), suffix);
}

uint32_t
mw_read_members(struct mw_str folder, struct mw_name members[MW_MEMBERS_MAX])
{
    char *path = path_of(folder, "");
    char *text = NULL;
    uint32_t count = 0;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        char **lines = g_strsplit(text, "\n", 0);

        for (char **line = lines; *line && count < MW_MEMBERS_MAX; line++) {
            struct mw_str name = mw_str_from(*line);

            if (name.len == 0) {
                continue;
            }
            if (!mw_str_equal(name, NOBODY)) {
                mw_set_name(&members[count], name);
            }
            count++;
        }
        g_strfreev(lines);
    }
    g_free(text);
    g_free(path);
    return count;
}

static bool
write_synced(const char *path, const GString *text)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    bool ok = fd >= 0 &&
              write(fd, text->str, text->len) == (ssize_t)text->len &&
              fsync(fd) == 0;

    if (fd >= 0) {
        close(fd);
    }
    return ok;
}

static bool
sync_folder(struct mw_str folder)
{
    char *path = g_strndup(folder.ptr, folder.len);
    int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool ok = fd >= 0 && fsync(fd) == 0;

    if (fd >= 0) {
        close(fd);
    }
    g_free(path);
    return ok;
}

int
mw_write_members(struct mw_context *ctx, struct mw_str folder,
                 const struct mw_name *members, uint32_t count)
{
    char *path = path_of(folder, "");
    char *fresh = path_of(folder, ".new");
    GString *text = g_string_new(NULL);
    int err = 0;

    for (uint32_t i = 0; i < count; i++) {
        struct mw_str name = mw_name_str(&members[i]);

        g_string_append_printf(text, "%.*s\n",
                               MW_FMT(name.len > 0 ? name : NOBODY));
    }
    if (!write_synced(fresh, text) || g_rename(fresh, path) != 0 ||
        !sync_folder(folder)) {
        err = mw_fail(ctx, MW_ERR_DISK, "%s: %s", path, g_strerror(errno));
    }
    g_string_free(text, TRUE);
    g_free(fresh);
    g_free(path);
    return err;
}
