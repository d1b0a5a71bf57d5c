#ifndef MW_WIRE_JSON_READ_H
#define MW_WIRE_JSON_READ_H

#include <glib.h>
#include <jansson.h>

#include "mimosawind/wire.h"

/*
 * json-read: reads JSON objects and refuses unknown keys and wrong values.
 *
 * A reader keeps its first error.  After an error every read returns its
 * default, so that a sequence of reads needs only one check of error at its
 * end.
 */

#define MW_JSON_PATH_MAX 96

/* mw_json_reader: reads the values of one object. */
struct mw_json_reader {
    struct mw_context *ctx;
    json_t *object;
    /* path of the object from the top level, for the details of errors */
    char path[MW_JSON_PATH_MAX];
    /* first error, or 0 */
    int error;
};

/*
 * mw_parse_json: parses JSON text.
 *
 * Returns a new value and sets *error to 0, or returns NULL with *error and
 * the line and column in the detail of ctx.
 */
json_t *mw_parse_json(struct mw_context *ctx, struct mw_str text, int *error);

/*
 * mw_read_object: returns a reader of object, which it borrows.
 *
 * The reader has an error if object is not an object or has a key that is
 * not in known, a list that ends with NULL.
 */
struct mw_json_reader mw_read_object(struct mw_context *ctx, json_t *object,
                                     const char *path,
                                     const char *const *known);

/*
 * mw_read_int, mw_read_bool: return the value of a key, or default_value when
 * the key is absent.  An integer outside min..max is an error.
 */
int64_t mw_read_int(struct mw_json_reader *reader, const char *key,
                    int64_t min, int64_t max, int64_t default_value);
bool mw_read_bool(struct mw_json_reader *reader, const char *key,
                  bool default_value);

/*
 * mw_read_name: reads a name and checks its length and characters.
 *
 * An absent key is an error if it is required, and otherwise an empty name.
 */
void mw_read_name(struct mw_json_reader *reader, const char *key,
                  bool required, struct mw_name *name);

/*
 * mw_read_string: returns a string that is borrowed from the object.
 *
 * It is empty when the key is absent, which is an error if it is required.
 */
struct mw_str mw_read_string(struct mw_json_reader *reader, const char *key,
                             bool required);

/*
 * mw_read_enum: returns the index of a string in names, a list that ends with
 * NULL, or default_value when the key is absent or the string is empty.
 */
int mw_read_enum(struct mw_json_reader *reader, const char *key,
                 const char *const *names, int default_value);

/*
 * mw_read_array: returns an array that is borrowed from the object, or NULL.
 *
 * An array of more than max elements is an error.
 */
json_t *mw_read_array(struct mw_json_reader *reader, const char *key,
                      bool required, size_t max);

/*
 * mw_read_shape: reads the keys of a shape.
 *
 * accelerators is the number for each task when the key is absent.
 */
void mw_read_shape(struct mw_json_reader *reader, uint32_t accelerators,
                   struct mw_shape *shape);

/* mw_require_key: an absent key is an error. */
void mw_require_key(struct mw_json_reader *reader, const char *key);

/* JSON names of enum mw_adjacent and enum mw_priority; the last one is NULL */
extern const char *const mw_adjacent_names[];
extern const char *const mw_priority_names[];

#endif
