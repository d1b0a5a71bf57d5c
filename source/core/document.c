#include "mimosawind/document.h"

#include <glib.h>
#include <string.h>

struct mw_document *
mw_new_document(void)
{
    struct mw_document *doc = g_new0(struct mw_document, 1);

    doc->refs = 1;
    return doc;
}

struct mw_document *
mw_keep_document(struct mw_document *doc)
{
    if (doc) {
        g_atomic_int_inc(&doc->refs);
    }
    return doc;
}

void
mw_drop_document(struct mw_document *doc)
{
    if (!doc || !g_atomic_int_dec_and_test(&doc->refs)) {
        return;
    }
    for (uint32_t i = 0; i < doc->org_count; i++) {
        g_free(doc->orgs[i].guarantees);
    }
    g_free(doc->orgs);
    g_free(doc->zones);
    mw_drop_blob(doc->text);
    g_free(doc);
}

const struct mw_org *
mw_find_org(const struct mw_document *doc, const struct mw_name *name)
{
    for (uint32_t i = 0; doc && i < doc->org_count; i++) {
        if (mw_name_equal(&doc->orgs[i].name, name)) {
            return &doc->orgs[i];
        }
    }
    return NULL;
}

const struct mw_document_zone *
mw_find_document_zone(const struct mw_document *doc,
                      const struct mw_name *name)
{
    for (uint32_t i = 0; doc && i < doc->zone_count; i++) {
        if (mw_name_equal(&doc->zones[i].name, name)) {
            return &doc->zones[i];
        }
    }
    return NULL;
}

static int
check_zones(struct mw_context *ctx, const struct mw_document *doc)
{
    if (doc->zone_count < 1 || doc->zone_count > MW_ZONES_MAX) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                       "zones: give 1 to %d availability zones", MW_ZONES_MAX);
    }
    for (uint32_t i = 0; i < doc->zone_count; i++) {
        const struct mw_name *name = &doc->zones[i].name;

        if (!mw_name_valid(name) || memchr(name->ptr, ':', name->len)) {
            return mw_fail(ctx, MW_ERR_INVALID,
                           "zones[%u].name: give letters, digits, . _ -", i);
        }
        if (mw_find_document_zone(doc, name) != &doc->zones[i]) {
            return mw_fail(ctx, MW_ERR_DUPLICATE,
                           "zones[%u].name: %.*s is already in use", i,
                           MW_FMT(mw_name_str(name)));
        }
    }
    return 0;
}

static int
check_guarantee(struct mw_context *ctx, const struct mw_document *doc,
                uint32_t org, uint32_t index)
{
    const struct mw_guarantee *guarantee = &doc->orgs[org].guarantees[index];
    struct mw_context shape_ctx = {0};

    if (!mw_find_document_zone(doc, &guarantee->zone)) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "organisations[%u].guarantees[%u].zone: %.*s is not "
                       "among the zones",
                       org, index, MW_FMT(mw_name_str(&guarantee->zone)));
    }
    if (guarantee->count < 1 || guarantee->count > MW_GUARANTEE_COUNT_MAX) {
        return mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                       "organisations[%u].guarantees[%u].count: %u is not "
                       "in 1..%d",
                       org, index, guarantee->count, MW_GUARANTEE_COUNT_MAX);
    }
    int err = mw_check_shape(&shape_ctx, &guarantee->shape);
    if (err) {
        return mw_fail(ctx, err, "organisations[%u].guarantees[%u].%.*s", org,
                       index, MW_FMT(mw_detail(&shape_ctx)));
    }
    return 0;
}

static int
check_org(struct mw_context *ctx, const struct mw_document *doc, uint32_t i)
{
    const struct mw_org *org = &doc->orgs[i];

    if (!mw_name_valid(&org->name)) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "organisations[%u].name: give letters, digits, "
                       ". _ - :",
                       i);
    }
    if (mw_find_org(doc, &org->name) != org) {
        return mw_fail(ctx, MW_ERR_DUPLICATE,
                       "organisations[%u].name: %.*s is already in use", i,
                       MW_FMT(mw_name_str(&org->name)));
    }
    if (org->token_sha256.len != MW_TOKEN_HASH_LEN) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "organisations[%u].token_sha256: give what mw token "
                       "prints",
                       i);
    }
    for (uint32_t g = 0; g < org->guarantee_count; g++) {
        int err = check_guarantee(ctx, doc, i, g);

        if (err) {
            return err;
        }
    }
    return 0;
}

int
mw_check_document(struct mw_context *ctx, const struct mw_document *doc)
{
    int err = check_zones(ctx, doc);

    if (!err && doc->version < 1) {
        err = mw_fail(ctx, MW_ERR_OUT_OF_RANGE, "version: give 1 or more");
    }
    if (!err && (doc->org_count < 1 || doc->org_count > MW_ORGS_MAX)) {
        err = mw_fail(ctx, MW_ERR_OUT_OF_RANGE, "organisations: give 1 to %d",
                      MW_ORGS_MAX);
    }
    for (uint32_t i = 0; !err && i < doc->org_count; i++) {
        err = check_org(ctx, doc, i);
    }
    return err;
}

int
mw_check_next_version(struct mw_context *ctx,
                      const struct mw_document *current,
                      const struct mw_document *next)
{
    uint64_t version = current ? current->version : 0;

    if (current && next->version == version &&
        mw_str_equal(mw_blob_str(current->text), mw_blob_str(next->text))) {
        return 1;
    }
    if (next->version != version + 1) {
        return mw_fail(ctx, MW_ERR_CONFLICT,
                       "version %" G_GUINT64_FORMAT " is in force; the next "
                       "is %" G_GUINT64_FORMAT,
                       version, version + 1);
    }
    return 0;
}
