/*
 * store-disk: a disk of limited size that can lose its power.
 */
#include "store-disk.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

struct name_change {
    /* NULL for a removed or a new file */
    char *from;
    char *to;
    bool is_new;
    /* the file that had the name; may not exist */
    char *kept;
};

static void
clear_change(void *data)
{
    struct name_change *change = data;

    g_free(change->from);
    g_free(change->to);
    g_free(change->kept);
}

/* Counts an operation; returns false if the power is lost. */
static bool
has_power(struct store_disk *disk)
{
    if (disk->operations_left == 0) {
        disk->power_lost = true;
        errno = EIO;
        return false;
    }
    disk->operations_left -= disk->operations_left > 0;
    disk->operations++;
    return true;
}

uint64_t
store_disk_used(const struct store_disk *disk)
{
    GDir *dir = g_dir_open(disk->dir, 0, NULL);
    const char *name;
    uint64_t used = 0;

    while ((name = g_dir_read_name(dir))) {
        used += (uint64_t)MAX(store_disk_size(disk, name), 0);
    }
    g_dir_close(dir);
    return used;
}

static ssize_t
disk_write(void *opaque, int fd, const void *data, size_t len)
{
    struct store_disk *disk = opaque;
    ssize_t n = -1;

    g_mutex_lock(&disk->mutex);
    if (has_power(disk)) {
        uint64_t used = store_disk_used(disk);
        uint64_t room = disk->capacity - MIN(used, disk->capacity);

        errno = ENOSPC;
        n = room > 0 || len == 0 ? write(fd, data, MIN(len, room)) : -1;
    }
    g_mutex_unlock(&disk->mutex);
    return n;
}

static void
note_synced(struct store_disk *disk, const struct stat *status)
{
    g_hash_table_insert(disk->synced, GSIZE_TO_POINTER(status->st_ino),
                        GSIZE_TO_POINTER(status->st_size));
}

static int
disk_sync(void *opaque, int fd)
{
    struct store_disk *disk = opaque;
    struct stat status;
    int result = -1;

    g_mutex_lock(&disk->mutex);
    if (has_power(disk) && fstat(fd, &status) == 0) {
        note_synced(disk, &status);
        result = 0;
    }
    g_mutex_unlock(&disk->mutex);
    return result;
}

/* Keeps the file that is to lose its name. */
static void
note_change(struct store_disk *disk, const char *from, const char *to,
            bool is_new)
{
    struct name_change change = {
        .from = g_strdup(from),
        .to = g_strdup(to),
        .is_new = is_new,
        .kept = g_strdup_printf("%s/%d", disk->attic, disk->operations),
    };

    if (link(to, change.kept) != 0) {
        g_clear_pointer(&change.kept, g_free);
    }
    g_array_append_val(disk->changes, change);
}

static int
disk_create(void *opaque, const char *path)
{
    struct store_disk *disk = opaque;
    int fd = -1;

    g_mutex_lock(&disk->mutex);
    if (has_power(disk)) {
        if (!g_file_test(path, G_FILE_TEST_EXISTS)) {
            note_change(disk, NULL, path, true);
        }
        fd = open(path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    }
    g_mutex_unlock(&disk->mutex);
    return fd;
}

static int
disk_rename(void *opaque, const char *from, const char *to)
{
    struct store_disk *disk = opaque;
    int result = -1;

    g_mutex_lock(&disk->mutex);
    if (has_power(disk)) {
        note_change(disk, from, to, false);
        result = rename(from, to);
    }
    g_mutex_unlock(&disk->mutex);
    return result;
}

static int
disk_remove(void *opaque, const char *path)
{
    struct store_disk *disk = opaque;
    int result = -1;

    g_mutex_lock(&disk->mutex);
    if (has_power(disk)) {
        note_change(disk, NULL, path, false);
        result = unlink(path);
    }
    g_mutex_unlock(&disk->mutex);
    return result;
}

static int
disk_sync_dir(void *opaque, const char *path)
{
    struct store_disk *disk = opaque;
    int result = -1;

    (void)path;
    g_mutex_lock(&disk->mutex);
    if (has_power(disk)) {
        g_array_set_size(disk->changes, 0);
        result = 0;
    }
    g_mutex_unlock(&disk->mutex);
    return result;
}

static int
disk_get_space(void *opaque, const char *path, struct mw_disk_space *space)
{
    struct store_disk *disk = opaque;
    uint64_t used = store_disk_used(disk);

    (void)path;
    if (!disk->tells_room) {
        errno = ENOSYS;
        return -1;
    }
    space->total = disk->capacity;
    space->available = disk->capacity - MIN(used, disk->capacity);
    return 0;
}

#define CAPACITY (UINT64_C(1024) * 1024 * 1024)

struct store_disk *
store_new_disk(void)
{
    struct store_disk *disk = g_new0(struct store_disk, 1);

    disk->dir = g_dir_make_tmp("mwstore.XXXXXX", NULL);
    disk->attic = g_dir_make_tmp("mwattic.XXXXXX", NULL);
    disk->capacity = CAPACITY;
    disk->operations_left = -1;
    disk->synced = g_hash_table_new(NULL, NULL);
    disk->changes = g_array_new(FALSE, FALSE, sizeof(struct name_change));
    g_array_set_clear_func(disk->changes, clear_change);
    g_mutex_init(&disk->mutex);
    disk->io = (struct mw_disk_io){disk,          disk_create,   disk_write,
                                   disk_sync,     disk_rename,   disk_remove,
                                   disk_sync_dir, disk_get_space};
    return disk;
}

static void
remove_files(const char *path)
{
    GDir *dir = g_dir_open(path, 0, NULL);
    const char *name;

    while ((name = g_dir_read_name(dir))) {
        char *file = g_build_filename(path, name, NULL);

        g_unlink(file);
        g_free(file);
    }
    g_dir_close(dir);
}

void
store_drop_disk(struct store_disk *disk)
{
    remove_files(disk->dir);
    remove_files(disk->attic);
    g_rmdir(disk->dir);
    g_rmdir(disk->attic);
    g_array_unref(disk->changes);
    g_hash_table_unref(disk->synced);
    g_mutex_clear(&disk->mutex);
    g_free(disk->dir);
    g_free(disk->attic);
    g_free(disk);
}

char *
store_disk_path(const struct store_disk *disk, const char *name)
{
    return g_build_filename(disk->dir, name, NULL);
}

int64_t
store_disk_size(const struct store_disk *disk, const char *name)
{
    char *path = store_disk_path(disk, name);
    struct stat status;
    int64_t size = stat(path, &status) == 0 ? (int64_t)status.st_size : -1;

    g_free(path);
    return size;
}

static void
copy_file(struct store_disk *disk, const struct store_disk *from,
          const char *name)
{
    char *path = store_disk_path(disk, name);
    char *source = store_disk_path(from, name);
    char *data = NULL;
    gsize len = 0;
    struct stat status;

    g_file_get_contents(source, &data, &len, NULL);
    g_file_set_contents_full(path, data, (gssize)len, G_FILE_SET_CONTENTS_NONE,
                             0600, NULL);
    if (stat(path, &status) == 0) {
        note_synced(disk, &status);
    }
    g_free(data);
    g_free(source);
    g_free(path);
}

void
store_copy_disk(struct store_disk *disk, const struct store_disk *from)
{
    GDir *dir = g_dir_open(from->dir, 0, NULL);
    const char *name;

    remove_files(disk->dir);
    remove_files(disk->attic);
    g_hash_table_remove_all(disk->synced);
    g_array_set_size(disk->changes, 0);
    disk->operations = 0;
    disk->power_lost = false;
    while ((name = g_dir_read_name(dir))) {
        copy_file(disk, from, name);
    }
    g_dir_close(dir);
}

static void
undo_change(const struct name_change *change)
{
    if (change->is_new) {
        unlink(change->to);
    }
    if (change->from) {
        rename(change->to, change->from);
    }
    if (change->kept) {
        unlink(change->to);
        link(change->kept, change->to);
    }
}

static void
lose_data(struct store_disk *disk, const char *name,
          enum store_data_loss data_loss)
{
    char *path = store_disk_path(disk, name);
    struct stat status;

    if (data_loss != STORE_DATA_KEPT && stat(path, &status) == 0) {
        off_t synced = (off_t)GPOINTER_TO_SIZE(g_hash_table_lookup(
            disk->synced, GSIZE_TO_POINTER(status.st_ino)));
        off_t unsynced = MAX(status.st_size - synced, 0);

        if (unsynced > 0 &&
            truncate(path, data_loss == STORE_DATA_TORN ? synced + unsynced / 2
                                                        : synced) != 0) {
            g_error("%s: %s", path, g_strerror(errno));
        }
    }
    g_free(path);
}

void
store_lose_power(struct store_disk *disk, unsigned lost_names,
                 enum store_data_loss data_loss)
{
    GDir *dir;
    const char *name;

    for (guint i = disk->changes->len; i > 0; i--) {
        if (lost_names & (1u << (i - 1))) {
            undo_change(
                &g_array_index(disk->changes, struct name_change, i - 1));
        }
    }
    dir = g_dir_open(disk->dir, 0, NULL);
    while ((name = g_dir_read_name(dir))) {
        lose_data(disk, name, data_loss);
    }
    g_dir_close(dir);
}
