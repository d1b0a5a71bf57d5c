#include "disk-impl.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

/* interval at which a write that was refused is tried again */
#define RETRY_INTERVAL_US 500000

static const char *const group_files[MW_GROUPS] = {"region.log", "zone.log"};

char *
mw_disk_path(const struct mw_disk *disk, enum mw_group group,
             const char *suffix)
{
    return g_strdup_printf("%s/%s%s", disk->data_dir, group_files[group],
                           suffix);
}

int
mw_write_to_disk(const struct mw_disk *disk, int fd, const uint8_t *data,
                 size_t len)
{
    while (len > 0) {
        ssize_t n = disk->io->write(disk->io->opaque, fd, data, len);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return MW_ERR_DISK;
        }
        data += n;
        len -= (size_t)n;
    }
    return 0;
}

static int
sync_file_data(const struct mw_disk *disk, int fd)
{
    return disk->io->sync(disk->io->opaque, fd);
}

int
mw_sync_data_dir(const struct mw_disk *disk)
{
    return disk->io->sync_dir(disk->io->opaque, disk->data_dir) == 0
               ? 0
               : MW_ERR_DISK;
}

int
mw_disk_error(struct mw_context *ctx, const char *path)
{
    return mw_fail(ctx, MW_ERR_DISK, "%s: %s", path, g_strerror(errno));
}

static int
lock_file(struct mw_context *ctx, struct mw_disk *disk)
{
    char *path = g_strdup_printf("%s/LOCK", disk->data_dir);
    int err = 0;

    disk->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (disk->lock_fd < 0) {
        err = mw_disk_error(ctx, path);
    }
    else if (flock(disk->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        err = mw_fail(ctx, MW_ERR_LOCKED, "%s", path);
    }
    g_free(path);
    return err;
}

struct mw_disk *
mw_new_disk(const struct mw_disk_setup *setup)
{
    struct mw_disk *disk = g_new0(struct mw_disk, 1);

    disk->data_dir = g_strndup(setup->data_dir.ptr, setup->data_dir.len);
    disk->member = setup->member;
    disk->owner = setup->owner;
    disk->ctx = setup->ctx;
    disk->io = setup->io ? setup->io : &mw_system_disk_io;
    disk->is_complete = setup->is_complete;
    disk->lock_fd = -1;
    disk->reserve.fd = -1;
    for (int group = 0; group < MW_GROUPS; group++) {
        disk->files[group].fd = -1;
        disk->files[group].unsynced = g_byte_array_new();
    }
    return disk;
}

/* Returns 0, or MW_ERR_DISK with errno. */
static int
create_data_dir(const struct mw_disk *disk)
{
    char *parent = g_path_get_dirname(disk->data_dir);
    int err = 0;

    if (g_mkdir_with_parents(disk->data_dir, 0700) != 0 ||
        disk->io->sync_dir(disk->io->opaque, parent) != 0) {
        err = MW_ERR_DISK;
    }
    g_free(parent);
    return err;
}

int
mw_lock_data_dir(struct mw_context *ctx, struct mw_disk *disk)
{
    if (!g_file_test(disk->data_dir, G_FILE_TEST_IS_DIR) &&
        create_data_dir(disk)) {
        return mw_disk_error(ctx, disk->data_dir);
    }
    return lock_file(ctx, disk);
}

/* Removes a new file that an earlier process could not complete. */
static void
remove_new_file(const struct mw_disk *disk, enum mw_group group)
{
    char *path = mw_disk_path(disk, group, ".new");

    unlink(path);
    g_free(path);
}

static int
load_files(struct mw_context *ctx, struct mw_disk *disk, uint64_t *incarnation,
           const struct mw_disk_loader *loader)
{
    int err = disk->is_complete
                  ? 0
                  : mw_create_missing_files(ctx, disk, *incarnation);

    for (int group = 0; group < MW_GROUPS && !err; group++) {
        remove_new_file(disk, (enum mw_group)group);
        err = mw_load_data_file(ctx, disk, (enum mw_group)group, loader,
                                incarnation);
    }
    return err;
}

struct mw_disk *
mw_open_disk(struct mw_context *ctx, const struct mw_disk_setup *setup,
             uint64_t *incarnation, const struct mw_disk_loader *loader,
             int *error)
{
    struct mw_disk *disk = mw_new_disk(setup);

    *error = mw_lock_data_dir(ctx, disk);
    if (!*error) {
        *error = load_files(ctx, disk, incarnation, loader);
    }
    if (*error) {
        mw_drop_disk(disk);
        return NULL;
    }
    return disk;
}

/* Tells the owner; error is 0 when writes are accepted again. */
static void
post_disk_state(struct mw_disk *disk, int error, struct mw_str text)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_DISK);

    task_msg->status = error;
    task_msg->text = mw_new_blob(text);
    mw_post(disk->owner, task_msg);
}

static void
note_refusal(struct mw_disk *disk, const char *what)
{
    char *text =
        g_strdup_printf("%s: %s: %s", disk->data_dir, what, g_strerror(errno));

    disk->retry_deadline_us = mw_now() + RETRY_INTERVAL_US;
    if (!disk->refusing) {
        disk->refusing = true;
        post_disk_state(disk, MW_ERR_DISK, mw_str_from(text));
    }
    g_free(text);
}

static void
note_success(struct mw_disk *disk)
{
    if (disk->refusing) {
        disk->refusing = false;
        post_disk_state(disk, 0, mw_str_from(disk->data_dir));
    }
}

static void
begin_snapshot(struct mw_disk *disk, enum mw_group group)
{
    struct data_file *file = &disk->files[group];
    uint8_t header[HEADER_LEN];

    file->is_snapshot = true;
    mw_encode_disk_header(disk, group, MW_DISK_VERSION, header);
    g_byte_array_set_size(file->unsynced, 0);
    g_byte_array_append(file->unsynced, header, sizeof header);
}

static void
append_stored(struct mw_disk *disk, const struct mw_stored_blob *stored)
{
    struct data_file *file = &disk->files[stored->group];

    if (stored->kind == MW_STORED_SNAPSHOT) {
        begin_snapshot(disk, stored->group);
    }
    mw_append_disk_blob(file->unsynced, stored->blob);
    file->unsynced_sequence = stored->sequence;
}

static void
disk_receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_disk *disk = opaque;

    if (task_msg->kind != MW_TASK_MSG_STORE) {
        return;
    }
    for (guint i = 0; i < task_msg->stored->len; i++) {
        append_stored(
            disk, &g_array_index(task_msg->stored, struct mw_stored_blob, i));
    }
}

/* Writes the new file; returns its descriptor, or -1 with errno set. */
static int
write_new_file(struct mw_disk *disk, const GByteArray *data, const char *path)
{
    int fd = disk->io->create(disk->io->opaque, path);

    if (fd >= 0 && (mw_write_to_disk(disk, fd, data->data, data->len) ||
                    sync_file_data(disk, fd) != 0)) {
        int cause = errno;

        /* leaves the room that the incomplete file takes */
        disk->io->remove(disk->io->opaque, path);
        close(fd);
        errno = cause;
        return -1;
    }
    return fd;
}

bool
mw_is_disk_full(int cause)
{
    return cause == ENOSPC || cause == EDQUOT || cause == EFBIG;
}

/*
 * Writes a snapshot that a full disk has refused: in the room of the reserve,
 * or compressed; *length is what was written.
 */
static int
write_without_room(struct mw_disk *disk, enum mw_group group, const char *path,
                   uint64_t *length)
{
    const GByteArray *data = disk->files[group].unsynced;
    int fd = -1;

    if (mw_release_disk_reserve(disk)) {
        fd = write_new_file(disk, data, path);
    }
    if (fd < 0) {
        GByteArray *less = mw_compress_data_file(disk, group, data);

        fd = write_new_file(disk, less, path);
        if (fd < 0 && mw_remove_set_aside_files(disk)) {
            fd = write_new_file(disk, less, path);
        }
        *length = less->len;
        g_byte_array_unref(less);
    }
    return fd;
}

/* Writes the new file beside the present one, then replaces that. */
static int
write_snapshot(struct mw_disk *disk, enum mw_group group)
{
    struct data_file *file = &disk->files[group];
    char *from = mw_disk_path(disk, group, ".new");
    char *to = mw_disk_path(disk, group, "");
    uint64_t length = file->unsynced->len;
    int fd = write_new_file(disk, file->unsynced, from);
    int err = 0;

    if (fd < 0 && mw_is_disk_full(errno)) {
        fd = write_without_room(disk, group, from, &length);
    }
    if (fd < 0 || disk->io->rename(disk->io->opaque, from, to) != 0 ||
        mw_sync_data_dir(disk)) {
        err = MW_ERR_DISK;
    }
    if (!err) {
        close(file->fd);
        file->fd = fd;
        file->length = length;
        file->snapshot_length = file->unsynced->len;
        file->is_snapshot = false;
    }
    else if (fd >= 0) {
        int cause = errno;

        disk->io->remove(disk->io->opaque, from);
        close(fd);
        errno = cause;
    }
    g_free(from);
    g_free(to);
    return err;
}

/*
 * Removes what was written since the last sync, after a failed write or sync:
 * part of it may be missing in the file.
 */
static int
undo_unsynced_writes(struct data_file *file)
{
    file->length = file->synced_length;
    if (ftruncate(file->fd, (off_t)file->length) != 0 ||
        lseek(file->fd, (off_t)file->length, SEEK_SET) < 0) {
        return MW_ERR_DISK;
    }
    return 0;
}

static int
append_unsynced(const struct mw_disk *disk, struct data_file *file)
{
    if (mw_write_to_disk(disk, file->fd, file->unsynced->data,
                         file->unsynced->len) ||
        sync_file_data(disk, file->fd) != 0) {
        int cause = errno;

        undo_unsynced_writes(file);
        errno = cause;
        return MW_ERR_DISK;
    }
    file->length += file->unsynced->len;
    return 0;
}

/* The marker itself is not synced here, but by the next sync of the file. */
static void
write_marker(const struct mw_disk *disk, struct data_file *file)
{
    uint8_t marker[MARKER_LEN];

    mw_encode_disk_marker(marker, file->length);
    if (mw_write_to_disk(disk, file->fd, marker, sizeof marker) == 0) {
        file->length += sizeof marker;
    }
    else {
        undo_unsynced_writes(file);
    }
}

static void
sync_file(struct mw_disk *disk, enum mw_group group)
{
    struct data_file *file = &disk->files[group];
    struct mw_task_msg *task_msg;

    if (file->unsynced->len == 0) {
        return;
    }
    if (file->is_snapshot ? write_snapshot(disk, group)
                          : append_unsynced(disk, file)) {
        note_refusal(disk, group_files[group]);
        return;
    }
    file->synced_length = file->length;
    note_success(disk);
    write_marker(disk, file);
    g_byte_array_set_size(file->unsynced, 0);
    task_msg = mw_new_task_msg(MW_TASK_MSG_SYNCED);
    task_msg->group = group;
    task_msg->sequence = file->unsynced_sequence;
    mw_post(disk->owner, task_msg);
}

static void
disk_batch(void *opaque)
{
    struct mw_disk *disk = opaque;

    if (disk->refusing && mw_now() < disk->retry_deadline_us) {
        return;
    }
    for (int group = 0; group < MW_GROUPS; group++) {
        sync_file(disk, (enum mw_group)group);
    }
}

static int64_t
disk_deadline(void *opaque)
{
    const struct mw_disk *disk = opaque;

    return disk->refusing ? disk->retry_deadline_us
                          : mw_disk_reserve_deadline(disk);
}

static void
disk_tick(void *opaque, int64_t now_us)
{
    disk_batch(opaque);
    mw_tick_disk_reserve(opaque, now_us);
}

struct mw_task *
mw_start_disk(struct mw_disk *disk, struct mw_task *owner)
{
    struct mw_task_callbacks work = {
        .opaque = disk,
        .receive = disk_receive,
        .batch = disk_batch,
        .deadline = disk_deadline,
        .tick = disk_tick,
    };

    disk->owner = owner;
    mw_open_disk_reserve(disk);
    disk->task = mw_new_task("disk", &work);
    return disk->task;
}

void
mw_drop_disk(struct mw_disk *disk)
{
    if (!disk) {
        return;
    }
    mw_drop_task(disk->task);
    for (int group = 0; group < MW_GROUPS; group++) {
        struct data_file *file = &disk->files[group];

        if (file->fd >= 0) {
            close(file->fd);
        }
        g_byte_array_unref(file->unsynced);
    }
    mw_close_disk_reserve(disk);
    if (disk->lock_fd >= 0) {
        close(disk->lock_fd);
    }
    g_free(disk->data_dir);
    g_free(disk);
}

uint64_t
mw_disk_truncated_tail_count(const struct mw_disk *disk)
{
    return disk->truncated_tails;
}

const struct mw_disk_summary *
mw_disk_get_summary(const struct mw_disk *disk, enum mw_group group)
{
    return &disk->files[group].summary;
}
