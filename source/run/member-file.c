#include "member-file.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#define FILE_NAME "members"
#define SET_ASIDE_SUFFIX ".damaged"
/* line of a slot without a member */
#define EMPTY_SLOT MW_STR("-")

static char *
path_of(struct mw_str data_dir, const char *suffix)
{
    return g_strdup_printf("%.*s/" FILE_NAME "%s", MW_FMT(data_dir), suffix);
}

static const struct mw_disk_io *
io_of(const struct mw_disk_setup *setup)
{
    return setup->io ? setup->io : &mw_system_disk_io;
}

static int
disk_error(struct mw_context *ctx, const char *path)
{
    return mw_fail(ctx, MW_ERR_DISK, "%s: %s", path, g_strerror(errno));
}

/* The last line ends, too, so a file that was cut off is not a shorter list.
 */
static uint32_t
parse_members(const char *text, struct mw_name members[MW_MEMBERS_MAX])
{
    char **lines = g_strsplit(text, "\n", 0);
    uint32_t count = 0;

    for (char **line = lines; line[0] && line[1] && count < MW_MEMBERS_MAX;
         line++) {
        struct mw_str name = mw_str_from(*line);

        if (name.len > 0 && !mw_str_equal(name, EMPTY_SLOT)) {
            mw_set_name(&members[count], name);
        }
        count += name.len > 0;
    }
    g_strfreev(lines);
    return count;
}

int
mw_read_members(struct mw_context *ctx, struct mw_str data_dir,
                struct mw_name members[MW_MEMBERS_MAX], uint32_t *count)
{
    char *path = path_of(data_dir, "");
    char *text = NULL;
    gsize len = 0;
    GError *error = NULL;
    int err = 0;

    *count = 0;
    if (g_file_get_contents(path, &text, &len, &error)) {
        *count = parse_members(text, members);
        if (*count == 0 || text[len - 1] != '\n') {
            err = mw_fail(ctx, MW_ERR_DAMAGED, "%s: not a whole list", path);
        }
    }
    else if (!g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT)) {
        err = mw_fail(ctx, MW_ERR_DISK, "%s", error->message);
    }
    g_clear_error(&error);
    g_free(text);
    g_free(path);
    return err;
}

static GString *
format_members(const struct mw_name *members, uint32_t count)
{
    GString *text = g_string_new(NULL);

    for (uint32_t i = 0; i < count; i++) {
        struct mw_str name = mw_name_str(&members[i]);

        g_string_append_printf(text, "%.*s\n",
                               MW_FMT(name.len > 0 ? name : EMPTY_SLOT));
    }
    return text;
}

static bool
write_and_sync(const struct mw_disk_io *io, const char *path,
               const GString *text)
{
    int fd = io->create(io->opaque, path);
    bool ok = fd >= 0 &&
              io->write(io->opaque, fd, text->str, text->len) ==
                  (ssize_t)text->len &&
              io->sync(io->opaque, fd) == 0;
    int cause = errno;

    if (fd >= 0) {
        close(fd);
    }
    errno = cause;
    return ok;
}

/* The new name persists when this returns true. */
static bool
rename_and_sync(const struct mw_disk_setup *setup, const char *from,
                const char *to)
{
    const struct mw_disk_io *io = io_of(setup);
    char *data_dir = g_strndup(setup->data_dir.ptr, setup->data_dir.len);
    bool ok = io->rename(io->opaque, from, to) == 0 &&
              io->sync_dir(io->opaque, data_dir) == 0;

    g_free(data_dir);
    return ok;
}

int
mw_write_members(struct mw_context *ctx, const struct mw_disk_setup *setup,
                 const struct mw_name *members, uint32_t count)
{
    char *path = path_of(setup->data_dir, "");
    char *temp_path = path_of(setup->data_dir, ".new");
    GString *text = format_members(members, count);
    int err = 0;

    if (!write_and_sync(io_of(setup), temp_path, text) ||
        !rename_and_sync(setup, temp_path, path)) {
        err = disk_error(ctx, path);
    }
    g_string_free(text, TRUE);
    g_free(temp_path);
    g_free(path);
    return err;
}

int
mw_set_aside_members(struct mw_context *ctx, const struct mw_disk_setup *setup)
{
    char *from = path_of(setup->data_dir, "");
    char *to = path_of(setup->data_dir, SET_ASIDE_SUFFIX);
    int err = rename_and_sync(setup, from, to) ? 0 : disk_error(ctx, from);

    g_free(to);
    g_free(from);
    return err;
}

uint32_t
mw_read_former_members(struct mw_str data_dir,
                       struct mw_name members[MW_MEMBERS_MAX])
{
    char *path = path_of(data_dir, SET_ASIDE_SUFFIX);
    char *text = NULL;
    uint32_t count = 0;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        count = parse_members(text, members);
    }
    g_free(text);
    g_free(path);
    return count;
}

bool
mw_members_are_set_aside(struct mw_str data_dir)
{
    char *path = path_of(data_dir, SET_ASIDE_SUFFIX);
    bool exists = g_file_test(path, G_FILE_TEST_EXISTS);

    g_free(path);
    return exists;
}
