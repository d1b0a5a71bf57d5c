#ifndef MIMOSAWIND_DOCUMENT_H
#define MIMOSAWIND_DOCUMENT_H

#include "mimosawind/job.h"

/*
 * document: the configuration that operators put in force.
 *
 * It lists the zones, and the organisations with their tokens, limits and
 * guarantees.  There is one document in trial and one in production.  A
 * document is immutable and has a reference count.  Its text is kept byte
 * for byte, so that the document that is promoted to production is exactly
 * the one that was tried.
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

/* mw_on_out: what running jobs do when their zone goes out of service. */
enum mw_on_out {
    MW_OUT_CHECKPOINT = 0,
    MW_OUT_FINISH = 1
};

/* mw_document_zone: an availability zone and the address of its entry VMs. */
struct mw_document_zone {
    struct mw_name name;
    struct mw_name entry;
    /* out of service */
    bool out;
};

/* mw_guarantee: capacity for `count` gangs of a shape at the same time. */
struct mw_guarantee {
    struct mw_name zone;
    struct mw_shape shape;
    uint32_t count;
};

/* mw_org: an organisation, the SHA-256 digest of its token, its limits. */
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
    struct mw_document_zone *zones;
    uint32_t org_count;
    struct mw_org *orgs;
    struct mw_blob *text;
};

/* mw_new_document: new empty document with one reference. */
struct mw_document *mw_new_document(void);

/* mw_keep_document, mw_drop_document: take or release a reference. */
struct mw_document *mw_keep_document(struct mw_document *doc);
void mw_drop_document(struct mw_document *doc);

/*
 * mw_check_document: return an error for an invalid document.
 *
 * Checks for invalid names, duplicates, unknown zones and shapes outside
 * their limits.  Whether guarantees fit the endpoints is not checked here.
 * The error detail contains the path of the key.
 */
int mw_check_document(struct mw_context *ctx, const struct mw_document *doc);

/* mw_find_org: organisation by name, NULL if there is none; borrowed. */
const struct mw_org *mw_find_org(const struct mw_document *doc,
                                 const struct mw_name *name);

/* mw_find_document_zone: zone by name, NULL if there is none; borrowed. */
const struct mw_document_zone *
mw_find_document_zone(const struct mw_document *doc,
                      const struct mw_name *name);

/*
 * mw_check_next_version: compare-and-set rule for one environment.
 *
 * current is the newest document there, or NULL.  Returns 0 if next has the
 * next version and may be recorded, 1 if next is the same document as
 * current (a resend, which gets the same answer), or MW_ERR_CONFLICT if
 * next has any other version, or that of current with another text.
 */
int mw_check_next_version(struct mw_context *ctx,
                          const struct mw_document *current,
                          const struct mw_document *next);

#endif
