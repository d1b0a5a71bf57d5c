#ifndef MW_WIRE_PACK_H
#define MW_WIRE_PACK_H

#include <glib.h>

#include "mimosawind/wire.h"
#include "mimosawind.pb-c.h"

/*
 * pack: between the core's structures and protobuf's.
 *
 * Packing allocates from a scratch list that is freed after encoding;
 * byte fields borrow the core's memory.
 */

struct mw_scratch {
    GPtrArray *blocks;
};

void *mw_scratch_new(struct mw_scratch *scratch, size_t size);

/* mw_encode_packed: a whole message as bytes; the scratch list is freed. */
struct mw_blob *mw_encode_packed(struct mw_scratch *scratch,
                                 const ProtobufCMessage *wire);

ProtobufCBinaryData mw_pack_name(const struct mw_name *name);
ProtobufCBinaryData mw_pack_blob(const struct mw_blob *blob);
int mw_unpack_name(ProtobufCBinaryData data, struct mw_name *name);
struct mw_blob *mw_unpack_blob(ProtobufCBinaryData data);

Mw__Wire__Amount *mw_pack_amount(struct mw_scratch *scratch,
                                 const struct mw_amount *amount);
void mw_unpack_amount(const Mw__Wire__Amount *wire, struct mw_amount *amount);
Mw__Wire__Key *mw_pack_key(struct mw_scratch *scratch,
                           const struct mw_job_key *key);
int mw_unpack_key(const Mw__Wire__Key *wire, struct mw_job_key *key);
Mw__Wire__Spec *mw_pack_spec(struct mw_scratch *scratch,
                             const struct mw_job_spec *spec, int64_t now_us);
int mw_unpack_spec(const Mw__Wire__Spec *wire, int64_t now_us,
                   struct mw_job_spec *spec);
Mw__Wire__Attempt *mw_pack_attempt(struct mw_scratch *scratch,
                                   const struct mw_attempt_id *id);
int mw_unpack_attempt(const Mw__Wire__Attempt *wire, struct mw_attempt_id *id);

Mw__Wire__Record *mw_pack_record(struct mw_scratch *scratch,
                                 const struct mw_record *record);
struct mw_record *mw_unpack_record(struct mw_context *ctx,
                                   const Mw__Wire__Record *wire);

/* mw_pack_flow_record: the kinds of record that flow-record.h tells. */
void mw_pack_flow_record(struct mw_scratch *scratch,
                         const struct mw_record *record,
                         Mw__Wire__Record *wire);
int mw_unpack_flow_record(struct mw_context *ctx, const Mw__Wire__Record *wire,
                          struct mw_record *record);

Mw__Wire__Log *mw_pack_log(struct mw_scratch *scratch,
                           const struct mw_msg_log *log);
int mw_unpack_log(struct mw_context *ctx, const Mw__Wire__Log *wire,
                  struct mw_msg_log *log);

#endif
