#ifndef MW_WIRE_PACK_H
#define MW_WIRE_PACK_H

#include <glib.h>

#include "mimosawind/wire.h"
#include "mimosawind.pb-c.h"

/*
 * pack: converts the core's structures to protobuf messages and back.
 *
 * mw_pack_* builds a message.  Its memory belongs to a mw_scratch and is
 * freed after serialization; its byte fields borrow the memory of the
 * structure.
 *
 * mw_unpack_* fills a structure with copies and returns 0 or a negative
 * error.  It refuses enumerators out of range, counts above their limits and
 * names that are too long.  The caller frees what the structure holds, also
 * after an error.
 */

/* mw_scratch: memory blocks that are freed together. */
struct mw_scratch {
    GPtrArray *blocks;
};

/* mw_scratch_alloc: returns zeroed memory that lives as long as scratch. */
void *mw_scratch_alloc(struct mw_scratch *scratch, size_t size);

/* mw_serialize: returns a message as bytes, a new blob, and frees scratch. */
struct mw_blob *mw_serialize(struct mw_scratch *scratch,
                             const ProtobufCMessage *wire);

/* mw_pack_name, mw_pack_blob: borrow the bytes; NULL is an empty blob. */
ProtobufCBinaryData mw_pack_name(const struct mw_name *name);
ProtobufCBinaryData mw_pack_blob(const struct mw_blob *blob);

/* mw_unpack_name: checks the length of a name, but not its characters. */
int mw_unpack_name(ProtobufCBinaryData data, struct mw_name *name);

/* mw_unpack_blob: returns a new blob. */
struct mw_blob *mw_unpack_blob(ProtobufCBinaryData data);

/* mw_unpack_resources: a missing message stands for no resources. */
Mw__Wire__Amount *mw_pack_resources(struct mw_scratch *scratch,
                                    const struct mw_resources *resources);
void mw_unpack_resources(const Mw__Wire__Amount *wire,
                         struct mw_resources *resources);
Mw__Wire__Key *mw_pack_key(struct mw_scratch *scratch,
                           const struct mw_job_key *key);
int mw_unpack_key(const Mw__Wire__Key *wire, struct mw_job_key *key);

/*
 * mw_pack_spec, mw_unpack_spec: a job's specification.
 *
 * The message carries the time left before the deadline at now_us.  Unpacking
 * makes it a point in time again and checks the whole specification.
 */
Mw__Wire__Spec *mw_pack_spec(struct mw_scratch *scratch,
                             const struct mw_job_spec *spec, int64_t now_us);
int mw_unpack_spec(const Mw__Wire__Spec *wire, int64_t now_us,
                   struct mw_job_spec *spec);

Mw__Wire__Attempt *mw_pack_attempt(struct mw_scratch *scratch,
                                   const struct mw_attempt_id *id);
int mw_unpack_attempt(const Mw__Wire__Attempt *wire, struct mw_attempt_id *id);

/*
 * mw_pack_record, mw_unpack_record: a record of the replicated log.
 *
 * mw_unpack_record returns a new record, or NULL for an unknown kind or a
 * field that is out of range.
 */
Mw__Wire__Record *mw_pack_record(struct mw_scratch *scratch,
                                 const struct mw_record *record);
struct mw_record *mw_unpack_record(struct mw_context *ctx,
                                   const Mw__Wire__Record *wire);

/*
 * mw_pack_flow_record, mw_unpack_flow_record: the kinds of record that
 * flow-record.h declares; called by mw_pack_record and mw_unpack_record.
 */
void mw_pack_flow_record(struct mw_scratch *scratch,
                         const struct mw_record *record,
                         Mw__Wire__Record *wire);
int mw_unpack_flow_record(struct mw_context *ctx, const Mw__Wire__Record *wire,
                          struct mw_record *record);

/* mw_pack_endpoint, mw_unpack_endpoint: an endpoint, without seq and clock. */
Mw__Wire__Endpoint *
mw_pack_endpoint(struct mw_scratch *scratch,
                 const struct mw_flow_heartbeat *heartbeat);
int mw_unpack_endpoint(const Mw__Wire__Endpoint *wire,
                       struct mw_flow_heartbeat *heartbeat);

/*
 * mw_pack_flow_heartbeats, mw_pack_flow_heartbeat_results and their
 * counterparts: the body of a frame.
 */
void mw_pack_flow_heartbeats(struct mw_scratch *scratch,
                             const struct mw_msg_flow_heartbeats *msg,
                             Mw__Wire__FlowHeartbeats *wire);
int mw_unpack_flow_heartbeats(const Mw__Wire__FlowHeartbeats *wire,
                              struct mw_msg_flow_heartbeats *msg);
void
mw_pack_flow_heartbeat_results(struct mw_scratch *scratch,
                               const struct mw_msg_flow_heartbeat_results *msg,
                               Mw__Wire__FlowHeartbeatResults *wire);
int
mw_unpack_flow_heartbeat_results(const Mw__Wire__FlowHeartbeatResults *wire,
                                 struct mw_msg_flow_heartbeat_results *msg);

/* mw_pack_log, mw_unpack_log: a message between members of a log. */
Mw__Wire__Log *mw_pack_log(struct mw_scratch *scratch,
                           const struct mw_msg_log *log);
int mw_unpack_log(struct mw_context *ctx, const Mw__Wire__Log *wire,
                  struct mw_msg_log *log);

#endif
