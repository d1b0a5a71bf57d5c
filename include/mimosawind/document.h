#ifndef MIMOSAWIND_DOCUMENT_H
#define MIMOSAWIND_DOCUMENT_H

#include "mimosawind/job.h"

/*
 * document: what operators put in force, one for each environment.
 *
 * A document is immutable and shared by reference count.  Its text is kept
 * byte for byte, so that promote moves exactly what was tried.
 */

#define MW_ZONES_MAX 32
#define MW_ORGS_MAX 1024
#define MW_GUARANTEES_MAX 256
#define MW_DOCUMENT_BYTES_MAX (1024 * 1024)
#define MW_GUARANTEE_COUNT_MAX 1024
/* bytes of a SHA-256 digest */
#define MW_TOKEN_HASH_LEN 32

enum mw_environment {
    MW_TRIAL = 0,
    MW_PRODUCTION = 1,
    MW_ENVIRONMENTS = 2
};

enum mw_on_out {
    MW_OUT_CHECKPOINT = 0,
    MW_OUT_FINISH = 1
};

/* mw_zone_entry: an availability zone and where its own entry VMs are. */
struct mw_zone_entry {
    struct mw_name name;
    struct mw_name entry;
    bool out;
};

/* mw_guarantee: `count` disjoint shapes that are there when asked for. */
struct mw_guarantee {
    struct mw_name zone;
    struct mw_shape shape;
    uint32_t count;
};

/* mw_org: an organisation, its token's SHA-256 digest, and its limits. */
struct mw_org {
    struct mw_name name;
    struct mw_name token_sha256;
    uint32_t queued_max;
    uint32_t guarantee_count;
    struct mw_guarantee *guarantees;
};

struct mw_document {
    int refs;
    uint64_t version;
    enum mw_on_out on_out;
    uint32_t zone_count;
    struct mw_zone_entry *zones;
    uint32_t org_count;
    struct mw_org *orgs;
    struct mw_blob *text;
};

/* mw_new_document: empty document with one reference. */
struct mw_document *mw_new_document(void);

/* mw_keep_document, mw_drop_document: take or give back a reference. */
struct mw_document *mw_keep_document(struct mw_document *doc);
void mw_drop_document(struct mw_document *doc);

/*
 * mw_check_document: refuse a document that contradicts itself.
 *
 * Looks at names, duplicates, unknown zones and impossible shapes; needs no
 * knowledge of endpoints.  The detail names the path of the key.
 */
int mw_check_document(struct mw_context *ctx, const struct mw_document *doc);

/* mw_find_org: organisation by name, NULL when there is none. */
const struct mw_org *mw_find_org(const struct mw_document *doc,
                                 const struct mw_name *name);

/* mw_find_zone_entry: zone by name, NULL when there is none. */
const struct mw_zone_entry *mw_find_zone_entry(const struct mw_document *doc,
                                               const struct mw_name *name);

/*
 * mw_check_next_version: compare-and-set rule for one environment.
 *
 * current may be NULL.  Returns 0 when the change may be recorded, 1 when
 * the very same document already holds that version (a resend: answer as
 * before), MW_ERR_CONFLICT when another document holds it or the number is
 * not the next one.
 */
int mw_check_next_version(struct mw_context *ctx,
                          const struct mw_document *current,
                          const struct mw_document *next);

#endif
