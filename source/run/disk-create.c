/*
 * disk-create: creates the data files of a member, and sets damaged ones
 * aside.
 *
 * Each file is written under another name, synced and renamed, so that it is
 * whole if it exists.  The names persist one after the other.
 */
#include <errno.h>
#include <sys/stat.h>
#include <unistd.h>

#include "disk-impl.h"

#define SET_ASIDE_SUFFIX ".damaged"

/* The content of a new file. */
static GByteArray *
new_file_data(const struct mw_disk *disk, enum mw_group group,
              uint64_t incarnation)
{
    struct mw_stored_item item = {.kind = MW_STORED_META,
                                  .incarnation = incarnation};
    struct mw_blob *payload = mw_encode_stored(&item);
    GByteArray *data = g_byte_array_new();
    uint8_t header[HEADER_LEN];

    mw_encode_disk_header(disk, group, MW_DISK_VERSION, header);
    g_byte_array_append(data, header, sizeof header);
    mw_append_disk_blob(data, payload);
    mw_drop_blob(payload);
    return data;
}

bool
mw_remove_set_aside_files(const struct mw_disk *disk)
{
    bool removed = false;

    for (int group = 0; group < MW_GROUPS; group++) {
        char *path =
            mw_disk_path(disk, (enum mw_group)group, SET_ASIDE_SUFFIX);

        removed |= disk->io->remove(disk->io->opaque, path) == 0;
        g_free(path);
    }
    return removed;
}

static int
write_file(const struct mw_disk *disk, const char *path,
           const GByteArray *data)
{
    int fd = disk->io->create(disk->io->opaque, path);
    int err = 0;

    if (fd < 0) {
        return MW_ERR_DISK;
    }
    if (mw_write_to_disk(disk, fd, data->data, data->len) ||
        disk->io->sync(disk->io->opaque, fd) != 0) {
        int cause = errno;

        disk->io->remove(disk->io->opaque, path);
        errno = cause;
        err = MW_ERR_DISK;
    }
    close(fd);
    return err;
}

static int
create_file(struct mw_context *ctx, const struct mw_disk *disk,
            enum mw_group group, uint64_t incarnation)
{
    GByteArray *data = new_file_data(disk, group, incarnation);
    char *from = mw_disk_path(disk, group, ".new");
    char *to = mw_disk_path(disk, group, "");
    int err = write_file(disk, from, data);

    if (err && mw_is_disk_full(errno) && mw_remove_set_aside_files(disk)) {
        err = write_file(disk, from, data);
    }
    if (!err && disk->io->rename(disk->io->opaque, from, to) != 0) {
        err = MW_ERR_DISK;
    }
    if (err || mw_sync_data_dir(disk)) {
        err = mw_disk_error(ctx, to);
    }
    g_byte_array_unref(data);
    g_free(from);
    g_free(to);
    return err;
}

/* region.log is the last one; see mw_create_missing_files. */
static int
create_files(struct mw_context *ctx, const struct mw_disk *disk,
             uint64_t incarnation)
{
    int err = create_file(ctx, disk, MW_GROUP_ZONE, incarnation);

    return err ? err : create_file(ctx, disk, MW_GROUP_REGION, incarnation);
}

/* -1 if there is no such file. */
static int64_t
file_size(const struct mw_disk *disk, enum mw_group group)
{
    char *path = mw_disk_path(disk, group, "");
    struct stat status;
    int64_t size = stat(path, &status) == 0 ? (int64_t)status.st_size : -1;

    g_free(path);
    return size;
}

/*
 * Whether zone.log, without region.log, holds more than its creation left.
 * The largest incarnation makes the longest new file.
 */
static bool
has_lost_region_file(const struct mw_disk *disk)
{
    GByteArray *data = new_file_data(disk, MW_GROUP_ZONE, UINT64_MAX);
    bool is_lost = file_size(disk, MW_GROUP_ZONE) > (int64_t)data->len;

    g_byte_array_unref(data);
    return is_lost;
}

int
mw_create_missing_files(struct mw_context *ctx, const struct mw_disk *disk,
                        uint64_t incarnation)
{
    if (file_size(disk, MW_GROUP_REGION) >= 0) {
        return 0;
    }
    if (has_lost_region_file(disk)) {
        return mw_fail(ctx, MW_ERR_DAMAGED, "%s: region.log is missing",
                       disk->data_dir);
    }
    return create_files(ctx, disk, incarnation);
}

int
mw_init_data_dir(struct mw_context *ctx, struct mw_str data_dir,
                 const struct mw_name *member, uint64_t incarnation)
{
    struct mw_disk_setup setup = {.data_dir = data_dir, .member = *member};
    struct mw_disk *disk = mw_new_disk(&setup);
    int err = mw_lock_data_dir(ctx, disk);

    if (!err && (file_size(disk, MW_GROUP_REGION) >= 0 ||
                 has_lost_region_file(disk))) {
        err = mw_fail(ctx, MW_ERR_DUPLICATE, "%s already contains data",
                      disk->data_dir);
    }
    if (!err) {
        err = create_files(ctx, disk, incarnation);
    }
    mw_drop_disk(disk);
    return err;
}

/* A file that does not exist is no error. */
static int
remove_file(struct mw_context *ctx, const struct mw_disk *disk,
            enum mw_group group)
{
    char *path = mw_disk_path(disk, group, "");
    int err = 0;

    if (disk->io->remove(disk->io->opaque, path) != 0 && errno != ENOENT) {
        err = mw_disk_error(ctx, path);
    }
    g_free(path);
    return err;
}

int
mw_create_data_files(struct mw_context *ctx, const struct mw_disk_setup *setup,
                     uint64_t incarnation)
{
    struct mw_disk *disk = mw_new_disk(setup);
    int err = mw_lock_data_dir(ctx, disk);

    for (int group = 0; group < MW_GROUPS && !err; group++) {
        err = remove_file(ctx, disk, (enum mw_group)group);
    }
    if (!err) {
        err = create_files(ctx, disk, incarnation);
    }
    mw_drop_disk(disk);
    return err;
}

static int
set_aside(struct mw_context *ctx, const struct mw_disk *disk,
          enum mw_group group)
{
    char *from = mw_disk_path(disk, group, "");
    char *to = mw_disk_path(disk, group, SET_ASIDE_SUFFIX);
    int err = 0;

    if (disk->io->rename(disk->io->opaque, from, to) != 0 && errno != ENOENT) {
        err = mw_disk_error(ctx, from);
    }
    g_free(from);
    g_free(to);
    return err;
}

int
mw_set_aside_data_files(struct mw_context *ctx,
                        const struct mw_disk_setup *setup)
{
    struct mw_disk *disk = mw_new_disk(setup);
    int err = mw_lock_data_dir(ctx, disk);

    for (int group = 0; group < MW_GROUPS && !err; group++) {
        err = set_aside(ctx, disk, (enum mw_group)group);
    }
    if (!err && mw_sync_data_dir(disk)) {
        err = mw_disk_error(ctx, disk->data_dir);
    }
    mw_drop_disk(disk);
    return err;
}
