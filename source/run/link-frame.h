#ifndef MW_RUN_LINK_FRAME_H
#define MW_RUN_LINK_FRAME_H

#include <glib.h>

#include "auth.h"

/*
 * link-frame: the bytes of a connection between processes, as frames.
 *
 * Each side sends its nonce and then its frames.
 *
 * FRAME   length in 4 bytes, big endian; MAC in 16 bytes; payload
 *
 * The length is checked before memory is allocated.  The MAC covers the
 * frame's number, so that no frame can be replayed.
 */

/* mw_frame_stream: one connection, in both directions. */
struct mw_frame_stream {
    struct mw_blob *key;
    bool has_peer_nonce;
    uint8_t nonce[MW_NONCE_LEN];
    uint8_t peer_nonce[MW_NONCE_LEN];
    /* frames so far */
    uint64_t sent_count;
    uint64_t received_count;
    /* received bytes; the first read_len of them have been read */
    GByteArray *in;
    size_t read_len;
    /* bytes that are not sent yet */
    GByteArray *out;
};

enum mw_frame_result {
    MW_FRAME_READ = 0,
    /* more bytes are needed */
    MW_FRAME_INCOMPLETE = 1,
    /* longer than MW_FRAME_BYTES_MAX */
    MW_FRAME_TOO_LONG = 2,
    MW_FRAME_WRONG_MAC = 3
};

/* mw_init_frame_stream: chooses the nonce; the key is borrowed. */
void mw_init_frame_stream(struct mw_frame_stream *stream, struct mw_blob *key,
                          GRand *rand);
void mw_clear_frame_stream(struct mw_frame_stream *stream);

/*
 * mw_append_nonce, mw_append_frame: add to the bytes that are not sent yet.
 *
 * mw_append_frame returns the length of the frame.
 */
void mw_append_nonce(struct mw_frame_stream *stream);
size_t mw_append_frame(struct mw_frame_stream *stream,
                       const struct mw_blob *payload);

/* mw_add_received: bytes for mw_read_nonce and mw_read_frame. */
void mw_add_received(struct mw_frame_stream *stream, struct mw_str bytes);

/* mw_read_nonce: of the peer; false if it has not arrived completely. */
bool mw_read_nonce(struct mw_frame_stream *stream);

/*
 * mw_read_frame: the next frame, after the peer's nonce.
 *
 * *payload is borrowed until mw_discard_read.
 */
enum mw_frame_result mw_read_frame(struct mw_frame_stream *stream,
                                   struct mw_str *payload);

/* mw_discard_read: drops the bytes of all frames that have been read. */
void mw_discard_read(struct mw_frame_stream *stream);

#endif
