#include "link-frame.h"

#include <string.h>

#include "mimosawind/wire.h"

#define LENGTH_LEN 4
#define HEADER_LEN (LENGTH_LEN + MW_MAC_LEN)
/* a larger buffer is freed once its frames have been read */
#define KEPT_BUFFER_BYTES_MAX (256 * 1024)

void
mw_init_frame_stream(struct mw_frame_stream *stream, struct mw_blob *key,
                     GRand *rand)
{
    *stream = (struct mw_frame_stream){.key = key};
    stream->in = g_byte_array_new();
    stream->out = g_byte_array_new();
    for (int i = 0; i < MW_NONCE_LEN; i++) {
        stream->nonce[i] = (uint8_t)g_rand_int_range(rand, 0, 256);
    }
}

void
mw_clear_frame_stream(struct mw_frame_stream *stream)
{
    g_byte_array_unref(stream->in);
    g_byte_array_unref(stream->out);
}

void
mw_append_nonce(struct mw_frame_stream *stream)
{
    g_byte_array_append(stream->out, stream->nonce, MW_NONCE_LEN);
}

size_t
mw_append_frame(struct mw_frame_stream *stream, const struct mw_blob *payload)
{
    uint32_t len = GUINT32_TO_BE((uint32_t)payload->len);
    uint8_t mac[MW_MAC_LEN];

    mw_frame_mac(mw_blob_str(stream->key), stream->nonce, stream->peer_nonce,
                 stream->sent_count++, mw_blob_str(payload), mac);
    g_byte_array_append(stream->out, (const guint8 *)&len, sizeof len);
    g_byte_array_append(stream->out, mac, sizeof mac);
    g_byte_array_append(stream->out, (const guint8 *)payload->ptr,
                        (guint)payload->len);
    return HEADER_LEN + payload->len;
}

void
mw_add_received(struct mw_frame_stream *stream, struct mw_str bytes)
{
    g_byte_array_append(stream->in, (const guint8 *)bytes.ptr,
                        (guint)bytes.len);
}

bool
mw_read_nonce(struct mw_frame_stream *stream)
{
    if (stream->in->len < MW_NONCE_LEN) {
        return false;
    }
    memcpy(stream->peer_nonce, stream->in->data, MW_NONCE_LEN);
    stream->has_peer_nonce = true;
    stream->read_len = MW_NONCE_LEN;
    return true;
}

static bool
check_mac(struct mw_frame_stream *stream, const uint8_t *mac,
          struct mw_str payload)
{
    uint8_t expected[MW_MAC_LEN];

    mw_frame_mac(mw_blob_str(stream->key), stream->peer_nonce, stream->nonce,
                 stream->received_count++, payload, expected);
    return mw_mac_equal(mac, expected);
}

enum mw_frame_result
mw_read_frame(struct mw_frame_stream *stream, struct mw_str *payload)
{
    const uint8_t *header = stream->in->data + stream->read_len;
    size_t available = stream->in->len - stream->read_len;
    uint32_t len;

    if (available < HEADER_LEN) {
        return MW_FRAME_INCOMPLETE;
    }
    memcpy(&len, header, sizeof len);
    len = GUINT32_FROM_BE(len);
    if (len > MW_FRAME_BYTES_MAX) {
        return MW_FRAME_TOO_LONG;
    }
    if (available - HEADER_LEN < len) {
        return MW_FRAME_INCOMPLETE;
    }
    *payload = (struct mw_str){(const char *)header + HEADER_LEN, len};
    stream->read_len += HEADER_LEN + (size_t)len;
    return check_mac(stream, header + LENGTH_LEN, *payload)
               ? MW_FRAME_READ
               : MW_FRAME_WRONG_MAC;
}

void
mw_discard_read(struct mw_frame_stream *stream)
{
    bool is_large = stream->in->len > KEPT_BUFFER_BYTES_MAX;

    if (stream->read_len > 0) {
        g_byte_array_remove_range(stream->in, 0, (guint)stream->read_len);
        stream->read_len = 0;
    }
    if (is_large && stream->in->len == 0) {
        g_byte_array_unref(stream->in);
        stream->in = g_byte_array_new();
    }
}
