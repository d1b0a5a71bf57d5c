/*
 * disk-load: reads the data files of a member at the start.
 *
 * Memory is bounded by the largest item: a file is never in memory whole.
 */
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#include "disk-impl.h"

/* bytes that are searched for a sync marker, or checked, at once */
#define PART_BYTES (64 * 1024)

/*
 * file_reader: a data file that is being read item by item, so that memory is
 * bounded by the largest item instead of the file.
 */
struct file_reader {
    int fd;
    uint64_t length;
    /* payload of the present item */
    GByteArray *payload;
    /* a read failed, which says nothing about what the file holds */
    bool failed;
};

/* Reads exactly len bytes; returns false, with failed set, if it can't. */
static bool
read_at(struct file_reader *reader, uint64_t at, uint8_t *data, size_t len)
{
    while (len > 0) {
        ssize_t n = pread(reader->fd, data, len, (off_t)at);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            errno = n == 0 ? EIO : errno;
            reader->failed = true;
            return false;
        }
        data += n;
        at += (uint64_t)n;
        len -= (size_t)n;
    }
    return true;
}

/* Whether the data holds a valid sync marker for more than offset bytes. */
static bool
contains_marker(const uint8_t *data, size_t len, uint64_t offset)
{
    for (size_t at = 0; at + MARKER_LEN <= len; at++) {
        uint64_t synced;

        if (memcmp(data + at + 4, MARKER_MAGIC, 8) != 0 ||
            mw_get_le32(data + at) != MARKER_LENGTH_FIELD ||
            mw_get_le32(data + at + 20) != (uint32_t)crc32(0, data + at, 20)) {
            continue;
        }
        memcpy(&synced, data + at + 12, sizeof synced);
        if (GUINT64_FROM_LE(synced) > offset) {
            return true;
        }
    }
    return false;
}

/*
 * Returns whether a valid sync marker follows the damage at an offset: then
 * the damaged data had been synced and must not be truncated.
 */
static bool
marker_follows(struct file_reader *reader, uint64_t from)
{
    uint8_t *data = g_malloc(PART_BYTES);
    bool found = false;

    /* a marker that ends beyond one part is whole in the next */
    for (uint64_t at = from; !found && at + MARKER_LEN <= reader->length;
         at += PART_BYTES - MARKER_LEN + 1) {
        size_t len = (size_t)MIN(reader->length - at, PART_BYTES);

        if (!read_at(reader, at, data, len)) {
            break;
        }
        found = contains_marker(data, len, from);
    }
    g_free(data);
    return found;
}

/* Whether the sync marker at an offset is valid. */
static bool
is_marker_valid(struct file_reader *reader, uint64_t at)
{
    uint8_t marker[MARKER_LEN];

    return reader->length - at >= MARKER_LEN &&
           read_at(reader, at, marker, sizeof marker) &&
           mw_get_le32(marker + 20) == (uint32_t)crc32(0, marker, 20);
}

/*
 * Whether the bytes have this checksum.  They are not kept: the length of a
 * damaged item may be that of the whole file.
 */
static bool
has_checksum(struct file_reader *reader, uint64_t at, size_t len,
             uint32_t expected)
{
    uint8_t *data = g_malloc(PART_BYTES);
    uLong checksum = crc32(0, NULL, 0);

    while (len > 0) {
        size_t part = MIN(len, PART_BYTES);

        if (!read_at(reader, at, data, part)) {
            break;
        }
        checksum = crc32(checksum, data, (uInt)part);
        at += part;
        len -= part;
    }
    g_free(data);
    return len == 0 && (uint32_t)checksum == expected;
}

/*
 * Reads the item or sync marker at an offset; returns its length, 0 if it is
 * damaged.  A marker has no payload.  No item is empty; eight zeros would be
 * an empty one with a valid checksum.
 */
static size_t
read_item(struct file_reader *reader, uint64_t at)
{
    uint8_t head[ITEM_HEADER_LEN];

    g_byte_array_set_size(reader->payload, 0);
    if (reader->length - at < sizeof head ||
        !read_at(reader, at, head, sizeof head)) {
        return 0;
    }
    uint32_t field = mw_get_le32(head);
    uint32_t size = field & ~COMPRESSED_FLAG;

    if (field == MARKER_LENGTH_FIELD) {
        return is_marker_valid(reader, at) ? MARKER_LEN : 0;
    }
    if (size == 0 || size > ITEM_BYTES_MAX ||
        size > reader->length - at - ITEM_HEADER_LEN) {
        return 0;
    }
    at += ITEM_HEADER_LEN;
    if (!has_checksum(reader, at, size, mw_get_le32(head + 4))) {
        return 0;
    }
    g_byte_array_set_size(reader->payload, size);
    if (!read_at(reader, at, reader->payload->data, size) ||
        ((field & COMPRESSED_FLAG) && !mw_uncompress_item(reader->payload))) {
        g_byte_array_set_size(reader->payload, 0);
        return 0;
    }
    return ITEM_HEADER_LEN + size;
}

static void
summarise_item(struct mw_disk_summary *summary,
               const struct mw_stored_item *item)
{
    summary->entries += item->kind == MW_STORED_ENTRY;
    summary->snapshots += item->kind == MW_STORED_SNAPSHOT;
    summary->term = MAX(summary->term, item->term);
    summary->last_index = MAX(summary->last_index, item->index);
    summary->commit = MAX(summary->commit, item->commit);
    if (item->kind == MW_STORED_SNAPSHOT) {
        summary->commit = MAX(summary->commit, item->index);
    }
}

static int
load_item(struct mw_context *ctx, struct mw_disk *disk, enum mw_group group,
          struct mw_str payload, const struct mw_disk_loader *loader,
          uint64_t *incarnation)
{
    struct mw_stored_item item;
    int err = mw_decode_stored(ctx, payload, &item);

    /* its checksum is valid, so another version has written it */
    if (err) {
        return MW_ERR_VERSION;
    }
    if (item.kind == MW_STORED_META) {
        *incarnation = item.incarnation;
        disk->files[group].has_identity = true;
    }
    summarise_item(&disk->files[group].summary, &item);
    /* what was synced is all there, and an operator may still recover it */
    if (loader->load(loader->opaque, ctx, group, &item)) {
        err = MW_ERR_INVALID;
    }
    mw_clear_stored(&item);
    return err;
}

static int
check_header(struct mw_context *ctx, const struct mw_disk *disk,
             enum mw_group group, struct file_reader *reader, const char *path)
{
    uint8_t header[HEADER_LEN];
    uint8_t data[HEADER_LEN];

    if (reader->length >= HEADER_LEN &&
        !read_at(reader, 0, data, sizeof data)) {
        return mw_disk_error(ctx, path);
    }
    if (reader->length < HEADER_LEN || memcmp(data, HEADER_MAGIC, 6) != 0) {
        return mw_fail(ctx, MW_ERR_DAMAGED, "%s: missing or invalid header",
                       path);
    }
    /* another version may have another header */
    if (data[6] != MW_DISK_VERSION && data[6] != MW_DISK_VERSION_COMPRESSED) {
        return mw_fail(ctx, MW_ERR_VERSION,
                       "%s: format version %d, expected %d", path, data[6],
                       MW_DISK_VERSION);
    }
    if (!mw_disk_header_is_whole(data)) {
        return mw_fail(ctx, MW_ERR_DAMAGED, "%s: invalid header", path);
    }
    mw_encode_disk_header(disk, group, data[6], header);
    if (memcmp(data, header, HEADER_LEN) != 0) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "%s: belongs to another member or group", path);
    }
    return 0;
}

/* What follows an offset can't be read: cuts it off if it was not synced. */
static int
cut_tail(struct mw_context *ctx, struct mw_disk *disk,
         struct file_reader *reader, uint64_t at, const char *path)
{
    if (!reader->failed && marker_follows(reader, at)) {
        return mw_fail(ctx, MW_ERR_DAMAGED,
                       "%s: invalid item at byte %" G_GUINT64_FORMAT, path,
                       at);
    }
    if (reader->failed) {
        return mw_disk_error(ctx, path);
    }
    disk->truncated_tails++;
    mw_emit_event(&disk->ctx, MW_SEVERITY_WARNING,
                  "event=tail_cut file=%s at=%" G_GUINT64_FORMAT
                  " bytes=%" G_GUINT64_FORMAT,
                  path, at, reader->length - at);
    return 0;
}

static int
load_items(struct mw_context *ctx, struct mw_disk *disk, enum mw_group group,
           struct file_reader *reader, const char *path,
           const struct mw_disk_loader *loader, uint64_t *incarnation)
{
    uint64_t at = HEADER_LEN;
    int err = 0;

    while (at < reader->length) {
        size_t size = read_item(reader, at);

        if (size == 0) {
            err = cut_tail(ctx, disk, reader, at, path);
            break;
        }
        if (reader->payload->len > 0) {
            struct mw_str payload = {(const char *)reader->payload->data,
                                     reader->payload->len};

            err = load_item(ctx, disk, group, payload, loader, incarnation);
            if (err) {
                return mw_fail(ctx, err,
                               "%s: can't load the item at byte "
                               "%" G_GUINT64_FORMAT,
                               path, at);
            }
        }
        at += size;
    }
    disk->files[group].length = at;
    disk->files[group].synced_length = at;
    return err;
}

/* Cuts off the damaged end, and syncs what an earlier process wrote. */
static int
prepare_file(struct mw_context *ctx, const struct mw_disk *disk,
             const struct data_file *file, const char *path)
{
    if (ftruncate(file->fd, (off_t)file->length) != 0 ||
        lseek(file->fd, 0, SEEK_END) < 0 ||
        disk->io->sync(disk->io->opaque, file->fd) != 0) {
        return mw_disk_error(ctx, path);
    }
    return 0;
}

static void
report_file(struct mw_disk *disk, enum mw_group group, const char *path)
{
    const struct mw_disk_summary *summary = &disk->files[group].summary;

    mw_emit_event(&disk->ctx, MW_SEVERITY_NOTICE,
                  "event=store outcome=read file=%s bytes=%" G_GUINT64_FORMAT
                  " entries=%" G_GUINT64_FORMAT " snapshots=%" G_GUINT64_FORMAT
                  " term=%" G_GUINT64_FORMAT " commit=%" G_GUINT64_FORMAT
                  " last=%" G_GUINT64_FORMAT " duration_us=%" G_GINT64_FORMAT,
                  path, summary->bytes, summary->entries, summary->snapshots,
                  summary->term, summary->commit, summary->last_index,
                  summary->end_us - summary->begin_us);
}

int
mw_load_data_file(struct mw_context *ctx, struct mw_disk *disk,
                  enum mw_group group, const struct mw_disk_loader *loader,
                  uint64_t *incarnation)
{
    char *path = mw_disk_path(disk, group, "");
    struct file_reader reader = {.fd = open(path, O_RDWR | O_CLOEXEC)};
    struct stat status = {0};
    int err = 0;

    disk->files[group].summary.begin_us = mw_now();
    reader.payload = g_byte_array_new();
    disk->files[group].fd = reader.fd;
    if (reader.fd < 0 && errno == ENOENT) {
        err = mw_fail(ctx, MW_ERR_DAMAGED, "%s is missing", path);
    }
    else if (reader.fd < 0 || fstat(reader.fd, &status) != 0) {
        err = mw_disk_error(ctx, path);
    }
    if (!err) {
        reader.length = (uint64_t)status.st_size;
        err = check_header(ctx, disk, group, &reader, path);
    }
    if (!err) {
        err = load_items(ctx, disk, group, &reader, path, loader, incarnation);
    }
    /* a new file has one, and each snapshot is followed by one */
    if (!err && !disk->files[group].has_identity) {
        err = mw_fail(ctx, MW_ERR_DAMAGED, "%s: no incarnation", path);
    }
    if (!err) {
        err = prepare_file(ctx, disk, &disk->files[group], path);
    }
    if (!err) {
        disk->files[group].summary.bytes = disk->files[group].length;
        disk->files[group].summary.end_us = mw_now();
        report_file(disk, group, path);
    }
    g_byte_array_unref(reader.payload);
    g_free(path);
    return err;
}
