/*
 * request-json: parses requests of clients, endpoints and operators, and the
 * texts of attempts and outcomes.
 */
#include <string.h>

#include "json-read.h"

static int
read_job(struct mw_context *ctx, json_t *root, int64_t now_us,
         struct mw_job_spec *spec, struct mw_blob **body)
{
    static const char *const known[] = {
        "organisation", "request",    "class",      "tasks",
        "accelerators", "processors", "memory_mb",  "adjacent",
        "priority",     "idempotent", "checkpoint", "wait",
        "deadline_ms",  "runtime_ms", "body",       NULL};
    struct mw_json_reader reader = mw_read_object(ctx, root, "", known);

    mw_read_name(&reader, "organisation", true, &spec->key.org);
    mw_read_name(&reader, "request", true, &spec->key.request);
    mw_read_name(&reader, "class", false, &spec->class);
    mw_read_shape(&reader, 1, &spec->shape);
    spec->priority = (enum mw_priority)mw_read_enum(
        &reader, "priority", mw_priority_names, MW_NORMAL);
    mw_require_key(&reader, "idempotent");
    spec->idempotent = mw_read_bool(&reader, "idempotent", false);
    spec->checkpoint = mw_read_bool(&reader, "checkpoint", false);
    spec->wait = mw_read_bool(&reader, "wait", false);
    spec->deadline_us =
        now_us + 1000 * mw_read_int(&reader, "deadline_ms", 1,
                                    MW_DEADLINE_MAX_US / 1000,
                                    MW_DEFAULT_DEADLINE_US / 1000);
    spec->runtime_us =
        1000 * mw_read_int(&reader, "runtime_ms", 0, INT32_MAX, 0);
    struct mw_str text = mw_read_string(&reader, "body", false);

    if (!reader.error) {
        *body = mw_new_blob(text);
    }
    return reader.error;
}

int
mw_parse_job(struct mw_context *ctx, struct mw_str text, int64_t now_us,
             struct mw_job_spec *spec, struct mw_blob **body)
{
    int err = 0;
    json_t *root = mw_parse_json(ctx, text, &err);

    memset(spec, 0, sizeof *spec);
    *body = NULL;
    if (!root) {
        return err;
    }
    err = read_job(ctx, root, now_us, spec, body);
    json_decref(root);
    if (!err) {
        err = mw_check_spec(ctx, spec);
    }
    if (err) {
        g_clear_pointer(body, mw_drop_blob);
    }
    return err;
}

static int
read_listed_attempt(struct mw_context *ctx, json_t *value, uint32_t index,
                    struct mw_listed_attempt *listed)
{
    static const char *const known[] = {"id", "finished", NULL};
    char path[MW_JSON_PATH_MAX];

    g_snprintf(path, sizeof path, "attempts[%u]", index);
    struct mw_json_reader reader = mw_read_object(ctx, value, path, known);
    struct mw_str id = mw_read_string(&reader, "id", true);

    listed->finished = mw_read_bool(&reader, "finished", false);
    if (!reader.error && mw_parse_attempt(id, &listed->attempt)) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "%s.id: give ZONE.JOB.EPOCH.NUMBER", path);
    }
    return reader.error;
}

static int
read_announcement(struct mw_context *ctx, json_t *root,
                  struct mw_announcement *announcement)
{
    static const char *const known[] = {
        "endpoint", "address",    "rack",      "accelerators",
        "slots",    "processors", "memory_mb", "incarnation",
        "state",    "attempts",   NULL};
    static const char *const states[] = {"up", "leaving", NULL};
    struct mw_json_reader reader = mw_read_object(ctx, root, "", known);
    struct mw_resources *total = &announcement->total;

    mw_read_name(&reader, "endpoint", true, &announcement->endpoint);
    mw_read_name(&reader, "address", true, &announcement->address);
    mw_read_name(&reader, "rack", false, &announcement->rack);
    total->accelerators = (uint32_t)mw_read_int(&reader, "accelerators", 0,
                                                MW_ACCELERATORS_MAX, 0);
    total->slots = (uint32_t)mw_read_int(&reader, "slots", 1, MW_SLOTS_MAX, 8);
    total->processors =
        (uint32_t)mw_read_int(&reader, "processors", 0, MW_PROCESSORS_MAX, 1);
    total->memory_mb =
        (uint32_t)mw_read_int(&reader, "memory_mb", 0, MW_MEMORY_MB_MAX, 1024);
    mw_require_key(&reader, "incarnation");
    announcement->incarnation =
        (uint64_t)mw_read_int(&reader, "incarnation", 1, INT64_MAX, 1);
    announcement->draining = mw_read_enum(&reader, "state", states, 0) == 1;
    json_t *array = mw_read_array(&reader, "attempts", false, MW_LISTED_MAX);
    int err = reader.error;

    if (err) {
        return err;
    }
    announcement->listed_count = (uint32_t)json_array_size(array);
    announcement->listed =
        g_new0(struct mw_listed_attempt, announcement->listed_count);
    for (uint32_t i = 0; i < announcement->listed_count && !err; i++) {
        err = read_listed_attempt(ctx, json_array_get(array, i), i,
                                  &announcement->listed[i]);
    }
    return err;
}

int
mw_parse_announce(struct mw_context *ctx, struct mw_str text,
                  struct mw_announcement *announcement)
{
    int err = 0;
    json_t *root = mw_parse_json(ctx, text, &err);

    memset(announcement, 0, sizeof *announcement);
    if (!root) {
        return err;
    }
    err = read_announcement(ctx, root, announcement);
    json_decref(root);
    if (err) {
        g_clear_pointer(&announcement->listed, g_free);
        announcement->listed_count = 0;
    }
    return err;
}

static int
read_change(struct mw_context *ctx, json_t *root, struct mw_change *change)
{
    static const char *const known[] = {"change",   "operator", "version",
                                        "document", "zone",     NULL};
    /* 0 and 1 are enum mw_change_kind; 2 and 3 are both MW_CHANGE_ZONE */
    static const char *const kinds[] = {"try", "promote", "out", "in", NULL};
    struct mw_json_reader reader = mw_read_object(ctx, root, "", known);
    int kind = mw_read_enum(&reader, "change", kinds, -1);
    int err = 0;

    mw_require_key(&reader, "change");
    mw_read_name(&reader, "operator", true, &change->operator);
    change->kind = kind >= 2 ? MW_CHANGE_ZONE : (enum mw_change_kind)kind;
    change->out = kind == 2;
    if (kind >= 2) {
        mw_read_name(&reader, "zone", true, &change->zone);
    }
    if (kind == 1) {
        mw_require_key(&reader, "version");
        change->version =
            (uint64_t)mw_read_int(&reader, "version", 1, INT64_MAX, 1);
    }
    if (kind != 0 || reader.error) {
        return reader.error;
    }
    struct mw_str text = mw_read_string(&reader, "document", true);

    if (reader.error) {
        return reader.error;
    }
    change->document = mw_parse_document(ctx, text, &err);
    if (!err) {
        change->version = change->document->version;
    }
    return err;
}

int
mw_parse_change(struct mw_context *ctx, struct mw_str text,
                struct mw_change *change)
{
    int err = 0;
    json_t *root = mw_parse_json(ctx, text, &err);

    memset(change, 0, sizeof *change);
    if (!root) {
        return err;
    }
    err = read_change(ctx, root, change);
    json_decref(root);
    return err;
}

int
mw_parse_hex(struct mw_str hex, struct mw_name *bytes)
{
    *bytes = (struct mw_name){0};
    if (hex.len % 2 != 0 || hex.len / 2 > MW_NAME_MAX) {
        return MW_ERR_INVALID;
    }
    for (size_t i = 0; i < hex.len; i += 2) {
        int high = g_ascii_xdigit_value(hex.ptr[i]);
        int low = g_ascii_xdigit_value(hex.ptr[i + 1]);

        if (high < 0 || low < 0) {
            return MW_ERR_INVALID;
        }
        bytes->ptr[i / 2] = (char)(high * 16 + low);
    }
    bytes->len = (uint8_t)(hex.len / 2);
    return 0;
}

char *
mw_format_attempt(const struct mw_attempt_id *id)
{
    return g_strdup_printf(
        "%.*s.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT ".%u",
        MW_FMT(mw_name_str(&id->zone)), id->job, id->epoch, id->number);
}

/*
 * Parses the decimal number at the end of the text, which follows a dot, and
 * removes both from the text.
 */
static int
parse_last_number(struct mw_str *text, uint64_t *number)
{
    uint64_t scale = 1;
    size_t len = text->len;

    *number = 0;
    while (len > 0 && g_ascii_isdigit(text->ptr[len - 1])) {
        if (text->len - len > 18) {
            return MW_ERR_INVALID;
        }
        *number += scale * (uint64_t)(text->ptr[len - 1] - '0');
        scale *= 10;
        len--;
    }
    if (len == text->len || len < 2 || text->ptr[len - 1] != '.') {
        return MW_ERR_INVALID;
    }
    text->len = len - 1;
    return 0;
}

int
mw_parse_attempt(struct mw_str text, struct mw_attempt_id *id)
{
    uint64_t number = 0;

    memset(id, 0, sizeof *id);
    if (parse_last_number(&text, &number) || number > UINT32_MAX ||
        parse_last_number(&text, &id->epoch) ||
        parse_last_number(&text, &id->job)) {
        return MW_ERR_INVALID;
    }
    id->number = (uint32_t)number;
    if (mw_set_name(&id->zone, text) || !mw_name_valid(&id->zone)) {
        return MW_ERR_INVALID;
    }
    return 0;
}

int
mw_parse_outcome(struct mw_str word)
{
    for (int i = 0; i < MW_OUTCOME_COUNT; i++) {
        if (mw_str_equal(word, mw_outcome_str((enum mw_outcome)i))) {
            return i;
        }
    }
    return MW_ERR_INVALID;
}
