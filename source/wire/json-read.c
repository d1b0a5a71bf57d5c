#include "json-read.h"

#include <string.h>

const char *const mw_adjacent_names[] = {"zone", "rack", "endpoint", NULL};
const char *const mw_priority_names[] = {"urgent", "normal", "batch", NULL};

json_t *
mw_parse_json(struct mw_context *ctx, struct mw_str text, int *error)
{
    json_error_t at;
    json_t *root = json_loadb(text.ptr, text.len, JSON_REJECT_DUPLICATES, &at);

    *error = 0;
    if (!root) {
        *error = mw_fail(ctx, MW_ERR_SYNTAX, "line %d, column %d: %s", at.line,
                         at.column, at.text);
    }
    return root;
}

/* Keeps the first error of a reader; its detail names the key by its path. */
static int
set_error(struct mw_json_reader *reader, int error, const char *key,
          const char *text)
{
    if (!reader->error) {
        reader->error = mw_fail(reader->ctx, error, "%s%s%s: %s", reader->path,
                                reader->path[0] ? "." : "", key, text);
    }
    return reader->error;
}

static bool
is_known(const char *key, const char *const *known)
{
    for (; *known; known++) {
        if (strcmp(key, *known) == 0) {
            return true;
        }
    }
    return false;
}

struct mw_json_reader
mw_read_object(struct mw_context *ctx, json_t *object, const char *path,
               const char *const *known)
{
    struct mw_json_reader reader = {.ctx = ctx, .object = object};
    const char *key;
    json_t *value;

    g_strlcpy(reader.path, path, sizeof reader.path);
    if (!json_is_object(object)) {
        reader.error = mw_fail(ctx, MW_ERR_WRONG_TYPE, "%s: give an object",
                               path[0] ? path : "top");
        return reader;
    }
    json_object_foreach(object, key, value)
    {
        if (!is_known(key, known)) {
            set_error(&reader, MW_ERR_UNKNOWN_KEY, key, "remove it");
        }
    }
    return reader;
}

static json_t *
get_value(struct mw_json_reader *reader, const char *key)
{
    return reader->error ? NULL : json_object_get(reader->object, key);
}

int64_t
mw_read_int(struct mw_json_reader *reader, const char *key, int64_t min,
            int64_t max, int64_t default_value)
{
    json_t *value = get_value(reader, key);
    char text[96];

    if (!value) {
        return default_value;
    }
    if (!json_is_integer(value)) {
        set_error(reader, MW_ERR_WRONG_TYPE, key, "give a whole number");
        return default_value;
    }
    int64_t number = json_integer_value(value);

    if (number < min || number > max) {
        g_snprintf(text, sizeof text,
                   "%" G_GINT64_FORMAT " is not in %" G_GINT64_FORMAT
                   "..%" G_GINT64_FORMAT,
                   number, min, max);
        set_error(reader, MW_ERR_OUT_OF_RANGE, key, text);
        return default_value;
    }
    return number;
}

bool
mw_read_bool(struct mw_json_reader *reader, const char *key,
             bool default_value)
{
    json_t *value = get_value(reader, key);

    if (!value) {
        return default_value;
    }
    if (!json_is_boolean(value)) {
        set_error(reader, MW_ERR_WRONG_TYPE, key, "give true or false");
        return default_value;
    }
    return json_is_true(value);
}

struct mw_str
mw_read_string(struct mw_json_reader *reader, const char *key, bool required)
{
    json_t *value = get_value(reader, key);

    if (!value) {
        if (required) {
            set_error(reader, MW_ERR_MISSING, key, "give a string");
        }
        return MW_STR("");
    }
    if (!json_is_string(value)) {
        set_error(reader, MW_ERR_WRONG_TYPE, key, "give a string");
        return MW_STR("");
    }
    return (struct mw_str){json_string_value(value),
                           json_string_length(value)};
}

void
mw_read_name(struct mw_json_reader *reader, const char *key, bool required,
             struct mw_name *name)
{
    struct mw_str text = mw_read_string(reader, key, required);

    *name = (struct mw_name){0};
    if (reader->error) {
        return;
    }
    if (mw_set_name(name, text)) {
        set_error(reader, MW_ERR_TOO_LONG, key, "give at most 63 bytes");
    }
    else if ((required || text.len > 0) && !mw_name_valid(name)) {
        set_error(reader, MW_ERR_INVALID, key,
                  "give letters, digits, . _ - :");
    }
}

int
mw_read_enum(struct mw_json_reader *reader, const char *key,
             const char *const *names, int default_value)
{
    struct mw_str text = mw_read_string(reader, key, false);
    char list[80] = "one of ";

    if (reader->error || text.len == 0) {
        return default_value;
    }
    for (int i = 0; names[i]; i++) {
        if (mw_str_equal(text, mw_str_from(names[i]))) {
            return i;
        }
        g_strlcat(list, i ? ", " : "", sizeof list);
        g_strlcat(list, names[i], sizeof list);
    }
    set_error(reader, MW_ERR_OUT_OF_RANGE, key, list);
    return default_value;
}

json_t *
mw_read_array(struct mw_json_reader *reader, const char *key, bool required,
              size_t max)
{
    json_t *value = get_value(reader, key);
    char text[64];

    if (!value) {
        if (required) {
            set_error(reader, MW_ERR_MISSING, key, "give an array");
        }
        return NULL;
    }
    if (!json_is_array(value)) {
        set_error(reader, MW_ERR_WRONG_TYPE, key, "give an array");
        return NULL;
    }
    if (json_array_size(value) > max) {
        g_snprintf(text, sizeof text, "give at most %zu", max);
        set_error(reader, MW_ERR_TOO_LARGE, key, text);
        return NULL;
    }
    return value;
}

void
mw_require_key(struct mw_json_reader *reader, const char *key)
{
    if (!reader->error && !json_object_get(reader->object, key)) {
        set_error(reader, MW_ERR_MISSING, key, "give a value");
    }
}

void
mw_read_shape(struct mw_json_reader *reader, uint32_t accelerators,
              struct mw_shape *shape)
{
    shape->need.slots = 1;
    shape->tasks = (uint32_t)mw_read_int(reader, "tasks", 1, MW_TASKS_MAX, 1);
    shape->need.accelerators = (uint32_t)mw_read_int(
        reader, "accelerators", 0, MW_ACCELERATORS_MAX, accelerators);
    shape->need.processors =
        (uint32_t)mw_read_int(reader, "processors", 0, MW_PROCESSORS_MAX, 0);
    shape->need.memory_mb =
        (uint32_t)mw_read_int(reader, "memory_mb", 0, MW_MEMORY_MB_MAX, 0);
    shape->adjacent = (enum mw_adjacent)mw_read_enum(
        reader, "adjacent", mw_adjacent_names, MW_ADJACENT_ZONE);
}
