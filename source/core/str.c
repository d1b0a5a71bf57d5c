#include "mimosawind/str.h"

#include <glib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "mimosawind/error.h"

struct mw_str
mw_str_from(const char *text)
{
    return (struct mw_str){text, text ? strlen(text) : 0};
}

bool
mw_str_equal(struct mw_str a, struct mw_str b)
{
    return a.len == b.len && (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

int
mw_set_name(struct mw_name *name, struct mw_str text)
{
    memset(name, 0, sizeof *name);
    if (text.len > MW_NAME_MAX) {
        return MW_ERR_TOO_LONG;
    }
    *name = mw_name_of(text);
    return 0;
}

struct mw_name
mw_name_of(struct mw_str text)
{
    struct mw_name name = {0};

    name.len = (uint8_t)MIN(text.len, MW_NAME_MAX);
    if (name.len > 0) {
        memcpy(name.ptr, text.ptr, name.len);
    }
    return name;
}

struct mw_str
mw_name_str(const struct mw_name *name)
{
    return (struct mw_str){name->ptr, name->len};
}

bool
mw_name_equal(const struct mw_name *a, const struct mw_name *b)
{
    return mw_str_equal(mw_name_str(a), mw_name_str(b));
}

bool
mw_name_valid(const struct mw_name *name)
{
    for (size_t i = 0; i < name->len; i++) {
        if (!g_ascii_isalnum(name->ptr[i]) &&
            (name->ptr[i] == 0 || !strchr("._-:", name->ptr[i]))) {
            return false;
        }
    }
    return name->len > 0;
}

unsigned int
mw_hash_name(const void *name)
{
    const struct mw_name *key = name;

    return (unsigned int)XXH3_64bits(key->ptr, key->len);
}

int
mw_same_name(const void *a, const void *b)
{
    return mw_name_equal(a, b);
}

struct mw_blob *
mw_new_blob(struct mw_str text)
{
    struct mw_blob *blob = g_malloc(sizeof *blob + text.len + 1);

    blob->refs = 1;
    blob->len = text.len;
    if (text.len > 0) {
        memcpy(blob->ptr, text.ptr, text.len);
    }
    blob->ptr[text.len] = 0;
    return blob;
}

struct mw_blob *
mw_keep_blob(struct mw_blob *blob)
{
    if (blob) {
        g_atomic_int_inc(&blob->refs);
    }
    return blob;
}

void
mw_drop_blob(struct mw_blob *blob)
{
    if (blob && g_atomic_int_dec_and_test(&blob->refs)) {
        g_free(blob);
    }
}

struct mw_str
mw_blob_str(const struct mw_blob *blob)
{
    if (!blob) {
        return (struct mw_str){"", 0};
    }
    return (struct mw_str){blob->ptr, blob->len};
}
