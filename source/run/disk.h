#ifndef MW_RUN_DISK_H
#define MW_RUN_DISK_H

#include "task.h"

/*
 * disk: the task that owns the data folder.
 *
 * FILES   LOCK, region.log and zone.log; a new snapshot is written to
 *         NAME.log.new and renamed once it is synced
 * FORMAT  header: "MWLOG", version, group, member; then items, each with
 *         its length, CRC-32 and payload; and marks, which state that all
 *         before them has been synced
 *
 * Everything in one batch of mail shares one sync.  A damaged end behind
 * the last mark is cut off and counted; damage before a mark stops the
 * process with MW_ERR_DAMAGED.
 */

#define MW_DISK_VERSION 1

struct mw_disk_setup {
    struct mw_str folder;
    struct mw_name member;
    struct mw_task *owner;
    struct mw_context ctx;
};

/* mw_disk_take: receives stored items while loading; the item is lent. */
struct mw_disk_take {
    void *opaque;
    int (*take)(void *opaque, struct mw_context *ctx, enum mw_group group,
                const struct mw_store_item *item);
};

struct mw_disk;

/*
 * mw_init_folder: make a new data folder for a founding member.
 *
 * Refuses a folder that already holds data.
 */
int mw_init_folder(struct mw_context *ctx, struct mw_str folder,
                   const struct mw_name *member, uint64_t incarnation);

/*
 * mw_open_disk: lock the folder and read what it holds.
 *
 * An absent or empty folder is made under the given incarnation, so that
 * the member has to be admitted anew.  Writes the folder's incarnation.
 */
struct mw_disk *mw_open_disk(struct mw_context *ctx,
                             const struct mw_disk_setup *setup,
                             uint64_t *incarnation,
                             const struct mw_disk_take *take, int *error);

/* mw_start_disk: begin to serve mail; owner is told what is synced. */
struct mw_task *mw_start_disk(struct mw_disk *disk, struct mw_task *owner);
void mw_drop_disk(struct mw_disk *disk);

/* mw_disk_cut: items cut from damaged ends while loading. */
uint64_t mw_disk_cut(const struct mw_disk *disk);

#endif
