#ifndef MW_RUN_AUTH_H
#define MW_RUN_AUTH_H

#include <glib.h>

#include "mimosawind/str.h"

/*
 * auth: message authentication with the shared key.
 *
 * Each side of a connection sends a nonce in clear.  Every frame then carries
 * a truncated HMAC-SHA-256 over both nonces, the frame's sequence number and
 * its payload, so that altered, reordered and replayed frames are detected.
 */

#define MW_NONCE_LEN 16
#define MW_MAC_LEN 16

/* mw_frame_mac: compute the message authentication code of one frame. */
void mw_frame_mac(struct mw_str key, const uint8_t *from_nonce,
                  const uint8_t *to_nonce, uint64_t number,
                  struct mw_str payload, uint8_t *mac);

/* mw_mac_equal: compare two codes in constant time. */
bool mw_mac_equal(const uint8_t *a, const uint8_t *b);

/*
 * mw_sign_request: compute the value of an operator's X-MW-Sign header.
 *
 * An HMAC-SHA-256 over the length and content of each argument.  Returns
 * hexadecimal text, to be freed with g_free.
 */
char *mw_sign_request(struct mw_str key, struct mw_str method,
                      struct mw_str path, struct mw_str time,
                      struct mw_str body);

/*
 * mw_load_key: read a key file.
 *
 * White space at the end is not part of the key.  Returns NULL and sets
 * message on failure.
 */
struct mw_blob *mw_load_key(const char *path, char **message);

#endif
