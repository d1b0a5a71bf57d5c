#ifndef MW_RUN_DISK_H
#define MW_RUN_DISK_H

#include "task.h"

/*
 * disk: the task that owns the data directory.
 *
 * FILES   LOCK, region.log and zone.log; a new file is written to NAME.log.new
 *         and renamed once it is synced; RESERVE keeps room for a snapshot,
 *         and is removed when the disk has none left; NAME.damaged is a file
 *         that was set aside
 * FORMAT  header: "MWLOG", version, group, member, CRC-32; then items, each
 *         with its length, CRC-32 and payload; and sync markers, each of
 *         which states that everything before it has been synced
 *
 * A snapshot that a full disk refuses is written once more with compressed
 * items.
 *
 * All items in one batch of messages share one sync.  Damage after the last
 * sync marker is the tail of an interrupted write: it is truncated and
 * counted.  Damage before a sync marker has lost synced data and fails with
 * MW_ERR_DAMAGED.
 *
 * A write that the disk refuses, because it is full for example, is tried
 * again until it succeeds; nothing counts as synced meanwhile.  The owner
 * receives MW_TASK_MSG_DISK when writes are first refused and when they are
 * accepted again, and should store little in between.
 */

#define MW_DISK_VERSION 1
/* of a file that may hold compressed items */
#define MW_DISK_VERSION_COMPRESSED 2

/* mw_disk_space: bytes of a file system. */
struct mw_disk_space {
    uint64_t total;
    uint64_t available;
};

/*
 * mw_disk_io: the operations that change files.
 *
 * Results and errno are those of open, write, fdatasync, rename and unlink;
 * create opens an empty file for reading and writing, and sync_dir makes the
 * names in a directory persist.
 */
struct mw_disk_io {
    void *opaque;
    int (*create)(void *opaque, const char *path);
    ssize_t (*write)(void *opaque, int fd, const void *data, size_t len);
    int (*sync)(void *opaque, int fd);
    int (*rename)(void *opaque, const char *from, const char *to);
    int (*remove)(void *opaque, const char *path);
    int (*sync_dir)(void *opaque, const char *path);
    int (*get_space)(void *opaque, const char *path,
                     struct mw_disk_space *space);
};

/* mw_system_disk_io: those of the operating system. */
extern const struct mw_disk_io mw_system_disk_io;

/* mw_disk_setup: io NULL stands for mw_system_disk_io. */
struct mw_disk_setup {
    struct mw_str data_dir;
    struct mw_name member;
    struct mw_task *owner;
    const struct mw_disk_io *io;
    /* the files are known to be complete: one that is missing was lost */
    bool is_complete;
    struct mw_context ctx;
};

/* mw_disk_loader: receives each stored item while loading; item is borrowed.
 */
struct mw_disk_loader {
    void *opaque;
    int (*load)(void *opaque, struct mw_context *ctx, enum mw_group group,
                const struct mw_stored_item *item);
};

/*
 * mw_disk_summary: what a start has read of a group's file.
 *
 * bytes does not count a damaged end.  term, commit and last_index are the
 * highest that any item states.
 */
struct mw_disk_summary {
    uint64_t bytes;
    uint64_t entries;
    uint64_t snapshots;
    uint64_t term;
    uint64_t commit;
    uint64_t last_index;
    int64_t begin_us;
    int64_t end_us;
};

struct mw_disk;

/*
 * mw_init_data_dir: create the data directory of a founding member.
 *
 * Returns MW_ERR_DUPLICATE if the directory already contains data.
 */
int mw_init_data_dir(struct mw_context *ctx, struct mw_str data_dir,
                     const struct mw_name *member, uint64_t incarnation);

/*
 * mw_create_data_files: create the files of a new member.
 *
 * What the directory contains is removed, so the caller has to know that it is
 * of an attempt that was interrupted.  The files are whole and persist when
 * this returns 0; otherwise returns MW_ERR_DISK or MW_ERR_LOCKED.
 */
int mw_create_data_files(struct mw_context *ctx,
                         const struct mw_disk_setup *setup,
                         uint64_t incarnation);

/*
 * mw_set_aside_data_files: rename the files to NAME.damaged.
 *
 * Replaces those that were set aside before.  Returns 0, MW_ERR_DISK or
 * MW_ERR_LOCKED.
 */
int mw_set_aside_data_files(struct mw_context *ctx,
                            const struct mw_disk_setup *setup);

/*
 * mw_open_disk: lock the data directory and load its files.
 *
 * A directory without data is initialised with the given incarnation, so that
 * the member has to be admitted to the log again, unless setup says that its
 * files are complete.  *incarnation is set to the one that is stored.
 *
 * Fails with MW_ERR_DAMAGED if synced data were lost, with MW_ERR_DISK if a
 * file can't be read now, and with MW_ERR_VERSION or MW_ERR_INVALID if the
 * files are whole and can't be used.
 */
struct mw_disk *mw_open_disk(struct mw_context *ctx,
                             const struct mw_disk_setup *setup,
                             uint64_t *incarnation,
                             const struct mw_disk_loader *loader, int *error);

/*
 * mw_start_disk: start the task, which handles MW_TASK_MSG_STORE.
 *
 * After each sync the owner receives MW_TASK_MSG_SYNCED with the sequence
 * number of the last item that was synced.
 */
struct mw_task *mw_start_disk(struct mw_disk *disk, struct mw_task *owner);
void mw_drop_disk(struct mw_disk *disk);

/* mw_disk_get_summary: what the start has read of a group's file; lent. */
const struct mw_disk_summary *mw_disk_get_summary(const struct mw_disk *disk,
                                                  enum mw_group group);

/* mw_disk_truncated_tail_count: number of files whose damaged tail was
 * truncated on load. */
uint64_t mw_disk_truncated_tail_count(const struct mw_disk *disk);

#endif
