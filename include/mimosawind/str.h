#ifndef MIMOSAWIND_STR_H
#define MIMOSAWIND_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * str: length-counted strings.
 *
 * TYPES
 *   mw_str   a view: pointer and length, not owned, may contain zero bytes
 *   mw_name  an identifier stored by value, at most MW_NAME_MAX bytes
 *   mw_blob  immutable bytes with a reference count, shared between tasks
 *
 * A view is valid as long as the memory that it points to.  char * is used
 * only where a library or the C runtime asks for it: argv, GLib and others.
 */

#define MW_NAME_MAX 63

struct mw_str {
    const char *ptr;
    size_t len;
};

struct mw_name {
    uint8_t len;
    char ptr[MW_NAME_MAX];
};

struct mw_blob {
    int refs;
    size_t len;
    char ptr[];
};

/* MW_STR: view of a string literal. */
#define MW_STR(literal) ((struct mw_str){"" literal, sizeof(literal) - 1})
/* MW_FMT: the two printf arguments for the conversion %.*s. */
#define MW_FMT(str) (int)(str).len, (str).ptr

/* mw_str_from: view of a null-terminated string; empty view for NULL. */
struct mw_str mw_str_from(const char *text);

/* mw_str_equal: whether both views contain the same bytes. */
bool mw_str_equal(struct mw_str a, struct mw_str b);

/*
 * mw_set_name: copy a view into an identifier.
 *
 * Returns 0, or MW_ERR_TOO_LONG and an empty identifier.
 */
int mw_set_name(struct mw_name *name, struct mw_str text);

/* mw_name_of: identifier from a view, truncated to MW_NAME_MAX bytes. */
struct mw_name mw_name_of(struct mw_str text);

/* mw_name_str: view of an identifier. */
struct mw_str mw_name_str(const struct mw_name *name);

/* mw_name_equal: whether two identifiers contain the same bytes. */
bool mw_name_equal(const struct mw_name *a, const struct mw_name *b);

/*
 * mw_name_valid: whether an identifier is not empty and has only ASCII
 * letters, digits and the characters . _ - :
 */
bool mw_name_valid(const struct mw_name *name);

/* mw_hash_name, mw_same_name: callbacks for a GHashTable keyed by mw_name. */
unsigned int mw_hash_name(const void *name);
int mw_same_name(const void *a, const void *b);

/* mw_new_blob: copy a view into a new blob with one reference. */
struct mw_blob *mw_new_blob(struct mw_str text);

/* mw_keep_blob: take a reference; NULL is allowed. */
struct mw_blob *mw_keep_blob(struct mw_blob *blob);

/* mw_drop_blob: release a reference; NULL is allowed. */
void mw_drop_blob(struct mw_blob *blob);

/* mw_blob_str: view of a blob; empty view for NULL. */
struct mw_str mw_blob_str(const struct mw_blob *blob);

#endif
