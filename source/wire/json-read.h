#ifndef MW_WIRE_JSON_READ_H
#define MW_WIRE_JSON_READ_H

#include <glib.h>
#include <jansson.h>

#include "mimosawind/wire.h"

/*
 * json-read: strict reading of JSON objects.
 *
 * A reader keeps the first error and turns every later call into nothing,
 * so that a sequence of reads needs one check at its end.  path is the way
 * to the object, as the detail of an error shows it.
 */

#define MW_PATH_MAX 96

struct mw_reader {
    struct mw_context *ctx;
    json_t *object;
    char path[MW_PATH_MAX];
    int error;
};

/* mw_read_text: parse text; NULL and an error with its line on failure. */
json_t *mw_read_text(struct mw_context *ctx, struct mw_str text, int *error);

/* mw_read_object: begin to read an object whose keys are all in known. */
struct mw_reader mw_read_object(struct mw_context *ctx, json_t *object,
                                const char *path, const char *const *known);

/* mw_read_*: the value of a key, or the default when it is absent. */
int64_t mw_read_int(struct mw_reader *reader, const char *key, int64_t least,
                    int64_t most, int64_t otherwise);
bool mw_read_bool(struct mw_reader *reader, const char *key, bool otherwise);
void mw_read_name(struct mw_reader *reader, const char *key, bool required,
                  struct mw_name *name);

/* mw_read_string: view of a string; empty when absent and not required. */
struct mw_str mw_read_string(struct mw_reader *reader, const char *key,
                             bool required);

/* mw_read_word: index of a word in a list that ends with NULL. */
int mw_read_word(struct mw_reader *reader, const char *key,
                 const char *const *words, int otherwise);

/* mw_read_array: an array, or NULL when it is absent. */
json_t *mw_read_array(struct mw_reader *reader, const char *key, bool required,
                      size_t most);

/* mw_read_shape: a shape; accelerators when the key is absent. */
void mw_read_shape(struct mw_reader *reader, uint32_t accelerators,
                   struct mw_shape *shape);

/* mw_read_required: fail when a key is absent. */
void mw_read_required(struct mw_reader *reader, const char *key);

extern const char *const mw_adjacent_words[];
extern const char *const mw_priority_words[];

#endif
