#ifndef MW_RUN_DISK_IMPL_H
#define MW_RUN_DISK_IMPL_H

#include "disk.h"

/*
 * disk-impl: the data files of a member.
 *
 * FILES
 *   disk.c          opens the directory, writes and syncs items
 *   disk-create.c   creates the files, and sets damaged ones aside
 *   disk-format.c   encodes the header, items and sync markers
 *   disk-load.c     reads the files at the start
 *   disk-compress.c compresses the items of a snapshot
 *   disk-reserve.c  keeps room for a snapshot
 *   disk-io.c       the operations that change files
 */

#define HEADER_MAGIC "MWLOG\n"
#define HEADER_LEN 96
/* a sync marker has this value in place of an item's length */
#define MARKER_LENGTH_FIELD 0xffffffffu
#define MARKER_MAGIC "MWSYNCED"
#define ITEM_HEADER_LEN 8
#define MARKER_LEN 24
/* far more than a process has memory for: what is written can be read */
#define ITEM_BYTES_MAX 0x3fffffffu
/* set in the length of an item whose payload is compressed */
#define COMPRESSED_FLAG 0x80000000u

struct data_file {
    int fd;
    /* bytes that are written, and how many of them have been synced */
    uint64_t length;
    uint64_t synced_length;
    /* data not synced yet, and the sequence number of its last item */
    GByteArray *unsynced;
    uint64_t unsynced_sequence;
    /* unsynced begins with a snapshot and replaces the whole file */
    bool is_snapshot;
    /* length of the file when it had just been replaced; 0 if unknown */
    uint64_t snapshot_length;
    struct mw_disk_summary summary;
    /* an item that was read states the incarnation */
    bool has_identity;
};

struct disk_reserve {
    /* -1 if it is not open */
    int fd;
    uint64_t length;
    /* when the next part is written */
    int64_t deadline_us;
};

struct mw_disk {
    char *data_dir;
    struct mw_name member;
    int lock_fd;
    struct mw_task *task;
    struct mw_task *owner;
    struct mw_context ctx;
    const struct mw_disk_io *io;
    struct data_file files[MW_GROUPS];
    struct disk_reserve reserve;
    bool is_complete;
    /* files whose damaged end was cut off while loading */
    uint64_t truncated_tails;
    /* the last write was refused */
    bool refusing;
    int64_t retry_deadline_us;
};

/* disk.c */
/* mw_new_disk: free with mw_drop_disk; opens nothing. */
struct mw_disk *mw_new_disk(const struct mw_disk_setup *setup);
/* mw_lock_data_dir: creates the directory if there is none, and locks it. */
int mw_lock_data_dir(struct mw_context *ctx, struct mw_disk *disk);
/* mw_write_to_disk: writes all of it; returns 0, or MW_ERR_DISK with errno. */
int mw_write_to_disk(const struct mw_disk *disk, int fd, const uint8_t *data,
                     size_t len);
/* mw_sync_data_dir: returns 0, or MW_ERR_DISK with errno. */
int mw_sync_data_dir(const struct mw_disk *disk);
/* mw_disk_path: of a group's file, with a suffix; free with g_free. */
char *mw_disk_path(const struct mw_disk *disk, enum mw_group group,
                   const char *suffix);
/* mw_disk_error: fails with MW_ERR_DISK, the path and the text of errno. */
int mw_disk_error(struct mw_context *ctx, const char *path);

/* mw_is_disk_full: whether this errno says so. */
bool mw_is_disk_full(int cause);

/* disk-create.c */
/* mw_remove_set_aside_files: to make room; returns whether there were any. */
bool mw_remove_set_aside_files(const struct mw_disk *disk);

/*
 * mw_create_missing_files: if a creation was interrupted, or there was none.
 *
 * region.log is created last, so the directory is complete if it exists.
 * Without it, fails with MW_ERR_DAMAGED if zone.log holds more than a new one.
 */
int mw_create_missing_files(struct mw_context *ctx, const struct mw_disk *disk,
                            uint64_t incarnation);

/* disk-format.c */
void mw_put_le32(uint8_t *at, uint32_t value);
uint32_t mw_get_le32(const uint8_t *at);

/* mw_encode_disk_header: into HEADER_LEN bytes. */
void mw_encode_disk_header(const struct mw_disk *disk, enum mw_group group,
                           uint8_t version, uint8_t *header);

/* mw_disk_header_is_whole: by its checksum. */
bool mw_disk_header_is_whole(const uint8_t *header);

/* mw_encode_disk_marker: into MARKER_LEN bytes; offset is how far was synced.
 */
void mw_encode_disk_marker(uint8_t *marker, uint64_t offset);

/* mw_append_disk_item: flags is 0 or COMPRESSED_FLAG. */
void mw_append_disk_item(GByteArray *out, uint32_t flags,
                         const uint8_t *payload, size_t len);
void mw_append_disk_blob(GByteArray *out, const struct mw_blob *payload);

/* disk-load.c */
/* mw_load_data_file: passes each stored item on and opens the file. */
int mw_load_data_file(struct mw_context *ctx, struct mw_disk *disk,
                      enum mw_group group, const struct mw_disk_loader *loader,
                      uint64_t *incarnation);

/* disk-compress.c */
/*
 * mw_compress_data_file: a new file with the same items, which are a header
 * and items without sync markers in data.
 */
GByteArray *mw_compress_data_file(const struct mw_disk *disk,
                                  enum mw_group group, const GByteArray *data);

/* mw_uncompress_item: in place; returns false, and no payload, if it is not
 * valid. */
bool mw_uncompress_item(GByteArray *payload);

/* disk-reserve.c */
/* mw_open_disk_reserve: open the file, and fill it from the next tick on. */
void mw_open_disk_reserve(struct mw_disk *disk);
void mw_close_disk_reserve(struct mw_disk *disk);

/* mw_release_disk_reserve: remove the file; returns whether it took room. */
bool mw_release_disk_reserve(struct mw_disk *disk);

/* mw_tick_disk_reserve: write the next part if one is due and fits. */
void mw_tick_disk_reserve(struct mw_disk *disk, int64_t now_us);
int64_t mw_disk_reserve_deadline(const struct mw_disk *disk);

#endif
