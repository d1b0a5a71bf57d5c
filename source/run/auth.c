#include "auth.h"

#include <string.h>

#define KEY_BYTES_MIN 16
#define KEY_BYTES_MAX 4096

static GHmac *
new_hmac(struct mw_str key)
{
    return g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key.ptr, key.len);
}

static void
add(GHmac *hmac, struct mw_str text)
{
    g_hmac_update(hmac, (const guchar *)text.ptr, (gssize)text.len);
}

void
mw_frame_mac(struct mw_str key, const uint8_t *from_nonce,
             const uint8_t *to_nonce, uint64_t number, struct mw_str payload,
             uint8_t *mac)
{
    guint8 digest[32];
    gsize len = sizeof digest;
    GHmac *hmac = new_hmac(key);
    uint64_t number_be = GUINT64_TO_BE(number);

    g_hmac_update(hmac, from_nonce, MW_NONCE_LEN);
    g_hmac_update(hmac, to_nonce, MW_NONCE_LEN);
    g_hmac_update(hmac, (const guchar *)&number_be, sizeof number_be);
    add(hmac, payload);
    g_hmac_get_digest(hmac, digest, &len);
    g_hmac_unref(hmac);
    memcpy(mac, digest, MW_MAC_LEN);
}

bool
mw_mac_equal(const uint8_t *a, const uint8_t *b)
{
    unsigned differs = 0;

    for (int i = 0; i < MW_MAC_LEN; i++) {
        differs |= a[i] ^ b[i];
    }
    return differs == 0;
}

char *
mw_sign_request(struct mw_str key, struct mw_str method, struct mw_str path,
                struct mw_str time, struct mw_str body)
{
    GHmac *hmac = new_hmac(key);
    struct mw_str parts[] = {method, path, time, body};

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        uint64_t len = GUINT64_TO_BE(parts[i].len);

        g_hmac_update(hmac, (const guchar *)&len, sizeof len);
        add(hmac, parts[i]);
    }
    char *text = g_strdup(g_hmac_get_string(hmac));

    g_hmac_unref(hmac);
    return text;
}

struct mw_blob *
mw_load_key(const char *path, char **message)
{
    GError *error = NULL;
    char *text = NULL;
    gsize len = 0;

    *message = NULL;
    if (!g_file_get_contents(path, &text, &len, &error)) {
        *message = g_strdup_printf("%s; create it with: mw key > FILE",
                                   error->message);
        g_error_free(error);
        return NULL;
    }
    while (len > 0 && g_ascii_isspace(text[len - 1])) {
        len--;
    }
    if (len < KEY_BYTES_MIN || len > KEY_BYTES_MAX) {
        *message =
            g_strdup_printf("%s: a key must have %d to %d bytes; create "
                            "one with: mw key > FILE",
                            path, KEY_BYTES_MIN, KEY_BYTES_MAX);
        g_free(text);
        return NULL;
    }
    struct mw_blob *key = mw_new_blob((struct mw_str){text, len});

    g_free(text);
    return key;
}
