#ifndef MW_RUN_MEMBER_H
#define MW_RUN_MEMBER_H

#include "disk.h"
#include "member-file.h"

/*
 * member: opens, founds, joins and gives up membership of the region's log,
 * as far as it is kept in the data directory.
 *
 * One step says that the files of a member are complete: the file "members"
 * gets its name, after the log's files are whole and their names persist.
 *
 * Before it the process is no member, has acknowledged nothing, and what the
 * directory holds is of an attempt that was interrupted: it is created anew.
 *
 * After it the files are never created anew under the same incarnation.  If
 * one is missing or synced data are lost, the membership is given up: the
 * files are set aside under other names, "members" last, and the process is a
 * standby, which joins under a new incarnation when the other members list it,
 * as if its disk was lost.  A directory with such files never founds again.
 * Files that are whole and can't be used, because they are another member's or
 * of another version, are left as they are.
 */

/* mw_member_loader: receives what the directory holds. */
struct mw_member_loader {
    void *opaque;
    /*
     * begin: items follow.  Called again, without members, if the directory
     * turns out not to hold a member's data.
     */
    void (*begin)(void *opaque, uint64_t incarnation,
                  const struct mw_name *members, uint32_t count);
    int (*load)(void *opaque, struct mw_context *ctx, enum mw_group group,
                const struct mw_stored_item *item);
};

struct mw_member_setup {
    struct mw_disk_setup disk;
    /* whether the process may found the log, with these members */
    bool founding;
    const struct mw_name *founders;
    uint32_t founder_count;
    /* of a member that joins, and never used before */
    uint64_t incarnation;
    struct mw_member_loader loader;
};

enum mw_member_outcome {
    /* no member: *disk is NULL */
    MW_MEMBER_STANDBY = 0,
    MW_MEMBER_OPENED = 1,
    MW_MEMBER_FOUNDED = 2,
    /* no member any more: its files were set aside */
    MW_MEMBER_GIVEN_UP = 3
};

/*
 * mw_open_member: open the data directory at the start.
 *
 * Returns 0 with *outcome and *disk set, or the error of mw_open_disk, but for
 * MW_ERR_DAMAGED, which leads to MW_MEMBER_GIVEN_UP, with the cause as the
 * detail of the context.
 */
int mw_open_member(struct mw_context *ctx, const struct mw_member_setup *setup,
                   struct mw_disk **disk, enum mw_member_outcome *outcome);

/*
 * mw_join_member: create the data of a process that the members list, and open
 * them; for one that is no member.  Errors as above.
 */
int mw_join_member(struct mw_context *ctx, const struct mw_member_setup *setup,
                   const struct mw_name *members, uint32_t count,
                   struct mw_disk **disk);

#endif
