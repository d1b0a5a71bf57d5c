/*
 * disk-format: encodes the header, items and sync markers of a data file.
 */
#include <string.h>
#include <zlib.h>

#include "disk-impl.h"

void
mw_put_le32(uint8_t *at, uint32_t value)
{
    value = GUINT32_TO_LE(value);
    memcpy(at, &value, sizeof value);
}

uint32_t
mw_get_le32(const uint8_t *at)
{
    uint32_t value;

    memcpy(&value, at, sizeof value);
    return GUINT32_FROM_LE(value);
}

void
mw_append_disk_item(GByteArray *out, uint32_t flags, const uint8_t *payload,
                    size_t len)
{
    uint8_t head[ITEM_HEADER_LEN];

    mw_put_le32(head, (uint32_t)len | flags);
    mw_put_le32(head + 4, (uint32_t)crc32(0, payload, (uInt)len));
    g_byte_array_append(out, head, sizeof head);
    g_byte_array_append(out, payload, (guint)len);
}

void
mw_append_disk_blob(GByteArray *out, const struct mw_blob *payload)
{
    mw_append_disk_item(out, 0, (const uint8_t *)payload->ptr, payload->len);
}

void
mw_encode_disk_marker(uint8_t *marker, uint64_t offset)
{
    uint64_t le = GUINT64_TO_LE(offset);

    mw_put_le32(marker, MARKER_LENGTH_FIELD);
    memcpy(marker + 4, MARKER_MAGIC, 8);
    memcpy(marker + 12, &le, sizeof le);
    mw_put_le32(marker + 20, (uint32_t)crc32(0, marker, 20));
}

void
mw_encode_disk_header(const struct mw_disk *disk, enum mw_group group,
                      uint8_t version, uint8_t *header)
{
    memset(header, 0, HEADER_LEN);
    memcpy(header, HEADER_MAGIC, 6);
    header[6] = version;
    header[7] = (uint8_t)group;
    header[8] = disk->member.len;
    memcpy(header + 9, disk->member.ptr, disk->member.len);
    mw_put_le32(header + HEADER_LEN - 4,
                (uint32_t)crc32(0, header, HEADER_LEN - 4));
}

bool
mw_disk_header_is_whole(const uint8_t *header)
{
    return mw_get_le32(header + HEADER_LEN - 4) ==
           (uint32_t)crc32(0, header, HEADER_LEN - 4);
}
