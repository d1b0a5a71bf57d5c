/*
 * disk-reserve: a file that keeps room for the next snapshot.
 *
 * What it contains has no meaning, and none of it is synced: after a power
 * loss it may be missing, shorter, or present although it had been removed.
 */
#include <errno.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "disk-impl.h"

/* the least to reserve: what a log adds to its snapshot before the next one */
#define RESERVE_BYTES_MIN MW_LOG_COMPACT_BYTES
/* and the most, as a part of the whole disk */
#define RESERVE_DISK_PART 8
/* bytes written at once, so that items wait little for them, and the pause */
#define FILL_BYTES (256 * 1024)
#define FILL_INTERVAL_US 50000
/* pause after the start, after a snapshot used the room, and if there is none
 */
#define FILL_DELAY_US 1000000
#define NO_ROOM_INTERVAL_US 60000000

/*
 * A log may add its least size and the size of its snapshot before the next
 * one, which is then as large as both.
 */
static uint64_t
wanted_bytes(const struct mw_disk *disk, const struct mw_disk_space *space)
{
    uint64_t largest = 0;

    for (int group = 0; group < MW_GROUPS; group++) {
        largest = MAX(largest, disk->files[group].snapshot_length);
    }
    return MIN(RESERVE_BYTES_MIN + 2 * largest,
               space->total / RESERVE_DISK_PART);
}

static char *
reserve_path(const struct mw_disk *disk)
{
    return g_strdup_printf("%s/RESERVE", disk->data_dir);
}

void
mw_open_disk_reserve(struct mw_disk *disk)
{
    struct disk_reserve *reserve = &disk->reserve;
    char *path = reserve_path(disk);
    struct stat status = {0};

    reserve->fd = open(path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    reserve->deadline_us = mw_now() + FILL_DELAY_US;
    reserve->length = 0;
    if (reserve->fd >= 0 && fstat(reserve->fd, &status) == 0) {
        reserve->length = (uint64_t)status.st_size;
        /* a power loss has left a file without its data */
        if ((uint64_t)status.st_blocks * 512 < reserve->length &&
            ftruncate(reserve->fd, 0) == 0) {
            reserve->length = 0;
        }
    }
    g_free(path);
}

void
mw_close_disk_reserve(struct mw_disk *disk)
{
    if (disk->reserve.fd >= 0) {
        close(disk->reserve.fd);
        disk->reserve.fd = -1;
    }
}

bool
mw_release_disk_reserve(struct mw_disk *disk)
{
    struct disk_reserve *reserve = &disk->reserve;
    bool had_room = reserve->length > 0;
    char *path = reserve_path(disk);

    mw_close_disk_reserve(disk);
    disk->io->remove(disk->io->opaque, path);
    reserve->length = 0;
    reserve->deadline_us = mw_now() + FILL_DELAY_US;
    g_free(path);
    return had_room;
}

/* Appends a part; returns false if the disk refuses it. */
static bool
write_part(struct mw_disk *disk, size_t len)
{
    struct disk_reserve *reserve = &disk->reserve;
    uint8_t *zeros = g_malloc0(len);
    ssize_t n = disk->io->write(disk->io->opaque, reserve->fd, zeros, len);

    g_free(zeros);
    if (n > 0) {
        reserve->length += (uint64_t)n;
    }
    return n > 0 || errno == EINTR;
}

void
mw_tick_disk_reserve(struct mw_disk *disk, int64_t now_us)
{
    struct disk_reserve *reserve = &disk->reserve;
    struct mw_disk_space space;

    if (disk->refusing || now_us < reserve->deadline_us) {
        return;
    }
    if (reserve->fd < 0) {
        mw_open_disk_reserve(disk);
    }
    reserve->deadline_us = now_us + FILL_INTERVAL_US;
    if (reserve->fd < 0 ||
        disk->io->get_space(disk->io->opaque, disk->data_dir, &space) != 0) {
        reserve->deadline_us = now_us + NO_ROOM_INTERVAL_US;
        return;
    }
    uint64_t wanted = wanted_bytes(disk, &space);

    if (reserve->length >= wanted) {
        reserve->deadline_us = now_us + NO_ROOM_INTERVAL_US;
        return;
    }
    uint64_t missing = wanted - reserve->length;

    /* the logs need the last of the room themselves */
    if (space.available < missing + wanted) {
        reserve->deadline_us = now_us + NO_ROOM_INTERVAL_US;
        return;
    }
    if (!write_part(disk, (size_t)MIN(missing, FILL_BYTES))) {
        mw_release_disk_reserve(disk);
        reserve->deadline_us = now_us + NO_ROOM_INTERVAL_US;
    }
}

int64_t
mw_disk_reserve_deadline(const struct mw_disk *disk)
{
    return disk->refusing ? INT64_MAX : disk->reserve.deadline_us;
}
