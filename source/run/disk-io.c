/*
 * disk-io: the file operations of the operating system.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include "disk.h"

static int
system_create(void *opaque, const char *path)
{
    (void)opaque;
    return open(path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
}

static ssize_t
system_write(void *opaque, int fd, const void *data, size_t len)
{
    (void)opaque;
    return write(fd, data, len);
}

static int
system_sync(void *opaque, int fd)
{
    (void)opaque;
    return fdatasync(fd);
}

static int
system_rename(void *opaque, const char *from, const char *to)
{
    (void)opaque;
    return rename(from, to);
}

static int
system_remove(void *opaque, const char *path)
{
    (void)opaque;
    return unlink(path);
}

static int
system_sync_dir(void *opaque, const char *path)
{
    int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

    (void)opaque;
    if (fd < 0) {
        return -1;
    }
    int result = fsync(fd);
    int cause = errno;

    close(fd);
    errno = cause;
    return result;
}

static int
system_get_space(void *opaque, const char *path, struct mw_disk_space *space)
{
    struct statvfs status;

    (void)opaque;
    if (statvfs(path, &status) != 0) {
        return -1;
    }
    space->total = (uint64_t)status.f_blocks * status.f_frsize;
    space->available = (uint64_t)status.f_bavail * status.f_frsize;
    return 0;
}

const struct mw_disk_io mw_system_disk_io = {
    .create = system_create,
    .write = system_write,
    .sync = system_sync,
    .rename = system_rename,
    .remove = system_remove,
    .sync_dir = system_sync_dir,
    .get_space = system_get_space,
};
