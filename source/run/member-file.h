#ifndef MW_RUN_MEMBER_FILE_H
#define MW_RUN_MEMBER_FILE_H

#include "disk.h"
#include "mimosawind/log.h"

/*
 * member-file: the file "members" in the data directory, next to the log.
 *
 * It has one member name per line, in the order of the slots, and - for an
 * empty slot.  It is replaced atomically: written under a temporary name,
 * synced, renamed, and the directory synced.
 */

/*
 * mw_read_members: read the slots and their number.
 *
 * *count is 0 if there is no file.  Returns 0, MW_ERR_DISK if it can't be
 * read now, or MW_ERR_DAMAGED if it is not a whole list.
 */
int mw_read_members(struct mw_context *ctx, struct mw_str data_dir,
                    struct mw_name members[MW_MEMBERS_MAX], uint32_t *count);

/* mw_write_members: replace the file; returns 0 or MW_ERR_DISK. */
int mw_write_members(struct mw_context *ctx, const struct mw_disk_setup *setup,
                     const struct mw_name *members, uint32_t count);

/* mw_set_aside_members: rename the file; returns 0 or MW_ERR_DISK. */
int mw_set_aside_members(struct mw_context *ctx,
                         const struct mw_disk_setup *setup);

/*
 * mw_read_former_members: the slots of the file that was set aside, and their
 * number; 0 if there is no such file.
 */
uint32_t mw_read_former_members(struct mw_str data_dir,
                                struct mw_name members[MW_MEMBERS_MAX]);

/* mw_members_are_set_aside: whether there is such a file, whole or not. */
bool mw_members_are_set_aside(struct mw_str data_dir);

#endif
