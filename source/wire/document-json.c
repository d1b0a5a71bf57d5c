/*
 * document-json: parses a configuration document, which operators write.
 */
#include "json-read.h"

static int
read_guarantee(struct mw_context *ctx, json_t *value, const char *path,
               struct mw_guarantee *guarantee)
{
    static const char *const known[] = {
        "zone",       "count",     "tasks",    "accelerators",
        "processors", "memory_mb", "adjacent", NULL};
    struct mw_json_reader reader = mw_read_object(ctx, value, path, known);

    mw_read_name(&reader, "zone", true, &guarantee->zone);
    guarantee->count =
        (uint32_t)mw_read_int(&reader, "count", 1, MW_GUARANTEE_COUNT_MAX, 1);
    mw_require_key(&reader, "tasks");
    mw_read_shape(&reader, 0, &guarantee->shape);
    return reader.error;
}

static int
read_guarantees(struct mw_context *ctx, json_t *array, const char *path,
                struct mw_org *org)
{
    int err = 0;

    org->guarantee_count = (uint32_t)json_array_size(array);
    org->guarantees = g_new0(struct mw_guarantee, org->guarantee_count);
    for (uint32_t i = 0; i < org->guarantee_count && !err; i++) {
        char inner[MW_JSON_PATH_MAX];

        g_snprintf(inner, sizeof inner, "%s.guarantees[%u]", path, i);
        err = read_guarantee(ctx, json_array_get(array, i), inner,
                             &org->guarantees[i]);
    }
    return err;
}

static int
read_org(struct mw_context *ctx, json_t *value, uint32_t index,
         struct mw_org *org)
{
    static const char *const known[] = {"name", "token_sha256", "queued_max",
                                        "guarantees", NULL};
    char path[MW_JSON_PATH_MAX];

    g_snprintf(path, sizeof path, "organisations[%u]", index);
    struct mw_json_reader reader = mw_read_object(ctx, value, path, known);

    mw_read_name(&reader, "name", true, &org->name);
    struct mw_str hash = mw_read_string(&reader, "token_sha256", true);

    org->queued_max =
        (uint32_t)mw_read_int(&reader, "queued_max", 1, 1000000, 0);
    json_t *array =
        mw_read_array(&reader, "guarantees", false, MW_GUARANTEES_MAX);

    if (reader.error) {
        return reader.error;
    }
    if (mw_parse_hex(hash, &org->token_sha256) ||
        org->token_sha256.len != MW_TOKEN_HASH_LEN) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "%s.token_sha256: give the hash that mw token prints",
                       path);
    }
    return read_guarantees(ctx, array, path, org);
}

static int
read_zone(struct mw_context *ctx, json_t *value, uint32_t index,
          struct mw_document_zone *zone)
{
    static const char *const known[] = {"name", "entry", "state", NULL};
    static const char *const states[] = {"in", "out", NULL};
    char path[MW_JSON_PATH_MAX];

    g_snprintf(path, sizeof path, "zones[%u]", index);
    struct mw_json_reader reader = mw_read_object(ctx, value, path, known);

    mw_read_name(&reader, "name", true, &zone->name);
    mw_read_name(&reader, "entry", false, &zone->entry);
    zone->out = mw_read_enum(&reader, "state", states, 0) == 1;
    return reader.error;
}

static int
read_zones_and_orgs(struct mw_context *ctx, json_t *zones, json_t *orgs,
                    struct mw_document *doc)
{
    int err = 0;

    doc->zone_count = (uint32_t)json_array_size(zones);
    doc->zones = g_new0(struct mw_document_zone, doc->zone_count + 1);
    for (uint32_t i = 0; i < doc->zone_count && !err; i++) {
        err = read_zone(ctx, json_array_get(zones, i), i, &doc->zones[i]);
    }
    doc->org_count = (uint32_t)json_array_size(orgs);
    doc->orgs = g_new0(struct mw_org, doc->org_count + 1);
    for (uint32_t i = 0; i < doc->org_count && !err; i++) {
        err = read_org(ctx, json_array_get(orgs, i), i, &doc->orgs[i]);
    }
    return err;
}

static int
read_document(struct mw_context *ctx, json_t *root, struct mw_document *doc)
{
    static const char *const known[] = {"version", "on_out", "zones",
                                        "organisations", NULL};
    static const char *const on_out[] = {"checkpoint", "finish", NULL};
    struct mw_json_reader reader = mw_read_object(ctx, root, "", known);

    mw_require_key(&reader, "version");
    doc->version = (uint64_t)mw_read_int(&reader, "version", 1, INT64_MAX, 1);
    doc->on_out = (enum mw_on_out)mw_read_enum(&reader, "on_out", on_out,
                                               MW_OUT_CHECKPOINT);
    json_t *zones = mw_read_array(&reader, "zones", true, MW_ZONES_MAX);
    json_t *orgs = mw_read_array(&reader, "organisations", true, MW_ORGS_MAX);
    int err = reader.error;

    if (!err) {
        err = read_zones_and_orgs(ctx, zones, orgs, doc);
    }
    return err ? err : mw_check_document(ctx, doc);
}

struct mw_document *
mw_parse_document(struct mw_context *ctx, struct mw_str text, int *error)
{
    if (text.len > MW_DOCUMENT_BYTES_MAX) {
        *error = mw_fail(ctx, MW_ERR_TOO_LARGE,
                         "document: %zu bytes, the limit is %d", text.len,
                         MW_DOCUMENT_BYTES_MAX);
        return NULL;
    }
    json_t *root = mw_parse_json(ctx, text, error);

    if (!root) {
        return NULL;
    }
    struct mw_document *doc = mw_new_document();

    *error = read_document(ctx, root, doc);
    json_decref(root);
    if (*error) {
        mw_drop_document(doc);
        return NULL;
    }
    doc->text = mw_new_blob(text);
    return doc;
}
