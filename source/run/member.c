#include "member.h"

static int
open_files(struct mw_context *ctx, const struct mw_member_setup *setup,
           uint64_t incarnation, const struct mw_name *members, uint32_t count,
           struct mw_disk **disk)
{
    const struct mw_member_loader *loader = &setup->loader;
    struct mw_disk_loader items = {loader->opaque, loader->load};
    struct mw_disk_setup files = setup->disk;
    int err = 0;

    files.is_complete = true;
    loader->begin(loader->opaque, incarnation, members, count);
    *disk = mw_open_disk(ctx, &files, &incarnation, &items, &err);
    return err;
}

static int
create_member(struct mw_context *ctx, const struct mw_member_setup *setup,
              uint64_t incarnation, const struct mw_name *members,
              uint32_t count, struct mw_disk **disk)
{
    int err = mw_create_data_files(ctx, &setup->disk, incarnation);

    if (!err) {
        err = mw_write_members(ctx, &setup->disk, members, count);
    }
    return err ? err
               : open_files(ctx, setup, incarnation, members, count, disk);
}

/* "members" is the last: until it is set aside, the files count as damaged. */
static int
give_up(struct mw_context *ctx, const struct mw_member_setup *setup)
{
    struct mw_context attempt = *ctx;
    int err = mw_set_aside_data_files(&attempt, &setup->disk);

    if (!err) {
        err = mw_set_aside_members(&attempt, &setup->disk);
    }
    if (err) {
        *ctx = attempt;
    }
    return err;
}

static bool
may_found(const struct mw_member_setup *setup)
{
    for (uint32_t i = 0; setup->founding && i < setup->founder_count; i++) {
        if (mw_name_equal(&setup->founders[i], &setup->disk.member)) {
            return !mw_members_are_set_aside(setup->disk.data_dir);
        }
    }
    return false;
}

int
mw_open_member(struct mw_context *ctx, const struct mw_member_setup *setup,
               struct mw_disk **disk, enum mw_member_outcome *outcome)
{
    struct mw_name members[MW_MEMBERS_MAX] = {{0}};
    uint32_t count = 0;
    int err = mw_read_members(ctx, setup->disk.data_dir, members, &count);

    *disk = NULL;
    *outcome = MW_MEMBER_STANDBY;
    if (!err && count > 0) {
        *outcome = MW_MEMBER_OPENED;
        err = open_files(ctx, setup, setup->incarnation, members, count, disk);
    }
    else if (!err && may_found(setup)) {
        *outcome = MW_MEMBER_FOUNDED;
        err = create_member(ctx, setup, MW_FOUNDING_INCARNATION,
                            setup->founders, setup->founder_count, disk);
    }
    if (err == MW_ERR_DAMAGED) {
        *outcome = MW_MEMBER_GIVEN_UP;
        err = give_up(ctx, setup);
    }
    if (!*disk) {
        setup->loader.begin(setup->loader.opaque, setup->incarnation, NULL, 0);
    }
    return err;
}

int
mw_join_member(struct mw_context *ctx, const struct mw_member_setup *setup,
               const struct mw_name *members, uint32_t count,
               struct mw_disk **disk)
{
    *disk = NULL;
    return create_member(ctx, setup, setup->incarnation, members, count, disk);
}
