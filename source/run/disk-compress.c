/*
 * disk-compress: items that take less room, for a disk that is full.
 *
 * The payload of a compressed item is the length of the original one and a
 * zlib stream of it.
 */
#include <string.h>
#include <zlib.h>

#include "disk-impl.h"

#define LENGTH_FIELD_LEN 4
/* smaller payloads stay as they are */
#define COMPRESS_BYTES_MIN 512

static GByteArray *
compress_payload(const uint8_t *payload, size_t len)
{
    uLongf size = compressBound(len);
    GByteArray *out = g_byte_array_new();

    g_byte_array_set_size(out, (guint)(LENGTH_FIELD_LEN + size));
    mw_put_le32(out->data, (uint32_t)len);
    if (compress2(out->data + LENGTH_FIELD_LEN, &size, payload, len,
                  Z_DEFAULT_COMPRESSION) != Z_OK) {
        g_byte_array_unref(out);
        return NULL;
    }
    g_byte_array_set_size(out, (guint)(LENGTH_FIELD_LEN + size));
    return out;
}

/* Appends the item with its payload compressed, or as it is if that is less.
 */
static void
append_compressed(GByteArray *out, const uint8_t *item, size_t len)
{
    const uint8_t *payload = item + ITEM_HEADER_LEN;
    GByteArray *less =
        len < COMPRESS_BYTES_MIN ? NULL : compress_payload(payload, len);

    if (!less || less->len >= len) {
        g_byte_array_append(out, item, (guint)(ITEM_HEADER_LEN + len));
    }
    else {
        mw_append_disk_item(out, COMPRESSED_FLAG, less->data, less->len);
    }
    if (less) {
        g_byte_array_unref(less);
    }
}

GByteArray *
mw_compress_data_file(const struct mw_disk *disk, enum mw_group group,
                      const GByteArray *data)
{
    GByteArray *out = g_byte_array_new();
    size_t at = HEADER_LEN;

    g_byte_array_set_size(out, HEADER_LEN);
    mw_encode_disk_header(disk, group, MW_DISK_VERSION_COMPRESSED, out->data);
    while (at < data->len) {
        size_t len = mw_get_le32(data->data + at);

        append_compressed(out, data->data + at, len);
        at += ITEM_HEADER_LEN + len;
    }
    return out;
}

bool
mw_uncompress_item(GByteArray *payload)
{
    if (payload->len <= LENGTH_FIELD_LEN) {
        return false;
    }
    uLongf size = mw_get_le32(payload->data);
    GByteArray *original = g_byte_array_new();
    uLong rest = payload->len - LENGTH_FIELD_LEN;

    g_byte_array_set_size(original, (guint)size);
    bool valid = size > 0 && size <= ITEM_BYTES_MAX &&
                 uncompress(original->data, &size,
                            payload->data + LENGTH_FIELD_LEN, rest) == Z_OK &&
                 size == original->len;

    g_byte_array_set_size(payload, 0);
    if (valid) {
        g_byte_array_append(payload, original->data, original->len);
    }
    g_byte_array_unref(original);
    return valid;
}
