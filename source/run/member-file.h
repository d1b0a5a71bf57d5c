#ifndef MW_RUN_MEMBER_FILE_H
#define MW_RUN_MEMBER_FILE_H

#include "mimosawind/log.h"

/*
 * member-file: the members of the log, beside the log in the data folder.
 *
 * One name a line, in the order of slots; - for a slot without an owner.  The
 * file is written under another name, synced and renamed, and the folder is
 * synced, so that it is there whole or not at all.
 */

/* mw_read_members: how many there are; 0 when there is no file. */
uint32_t mw_read_members(struct mw_str folder,
                         struct mw_name members[MW_MEMBERS_MAX]);

/* mw_write_members: returns 0 or MW_ERR_DISK with a detail. */
int mw_write_members(struct mw_context *ctx, struct mw_str folder,
                     const struct mw_name *members, uint32_t count);

#endif
