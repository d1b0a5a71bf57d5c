#ifndef MIMOSAWIND_WIRE_H
#define MIMOSAWIND_WIRE_H

#include "mimosawind/control.h"
#include "mimosawind/entry.h"
#include "mimosawind/message.h"

/*
 * wire: encoding and decoding of messages; no decisions are made here.
 *
 * The processes of the system exchange protobuf messages in frames.
 * Clients, endpoints and operators use JSON.  Decoders check every size
 * before they allocate and trust no length that they read.
 */

#define MW_WIRE_VERSION 1
#define MW_FRAME_BYTES_MAX (64u * 1024 * 1024)
#define MW_BODY_BYTES_MAX (32u * 1024 * 1024)
/* most attempts in one announcement */
#define MW_LISTED_MAX 4096

/*
 * mw_encode_msg: encode the payload of a frame; returns a new blob.
 *
 * Deadlines are encoded as the time left at now_us.  name is the name of
 * this process, which a hello contains.
 */
struct mw_blob *mw_encode_msg(const struct mw_msg *msg,
                              const struct mw_name *name, int64_t now_us);

/*
 * mw_decode_msg: decode a payload; returns a new message or NULL.
 *
 * *error is set if NULL is returned, with a detail in the context.  *peer is
 * set to the name of the sender of a hello; it may be NULL otherwise.
 */
struct mw_msg *mw_decode_msg(struct mw_context *ctx, struct mw_str payload,
                             int64_t now_us, struct mw_name *peer, int *error);

/* mw_encode_stored: encode an item of a data file; returns a new blob. */
struct mw_blob *mw_encode_stored(const struct mw_stored_item *item);

/* mw_decode_stored: decode an item; mw_clear_stored frees its contents. */
int mw_decode_stored(struct mw_context *ctx, struct mw_str payload,
                     struct mw_stored_item *item);
void mw_clear_stored(struct mw_stored_item *item);

/*
 * mw_parse_document: parse the JSON text of a document.
 *
 * An unknown key, a wrong type or an impossible value is an error; the
 * detail contains the line of a syntax error or the path of the key.
 * Returns a new document, or NULL and sets *error.
 */
struct mw_document *mw_parse_document(struct mw_context *ctx,
                                      struct mw_str text, int *error);

/* mw_parse_job: parse a submission; *body is set to a new blob. */
int mw_parse_job(struct mw_context *ctx, struct mw_str text, int64_t now_us,
                 struct mw_job_spec *spec, struct mw_blob **body);

/* mw_parse_announce: parse an announcement; the caller frees listed. */
int mw_parse_announce(struct mw_context *ctx, struct mw_str text,
                      struct mw_announcement *announce);

/* mw_parse_change: parse a change request; its document is a new one. */
int mw_parse_change(struct mw_context *ctx, struct mw_str text,
                    struct mw_change *change);

/* mw_format_reply: reply to a client or operator as JSON; a new blob. */
struct mw_blob *mw_format_reply(const struct mw_reply *reply);

/*
 * mw_format_attempt, mw_parse_attempt: text ZONE.JOB.EPOCH.NUMBER.
 *
 * It may be longer than a name; free it with g_free.
 */
char *mw_format_attempt(const struct mw_attempt_id *id);
int mw_parse_attempt(struct mw_str text, struct mw_attempt_id *id);

/* mw_parse_outcome: outcome from its string, or MW_ERR_INVALID. */
int mw_parse_outcome(struct mw_str word);

/* mw_parse_hex: decode hexadecimal digits into the bytes of a name. */
int mw_parse_hex(struct mw_str hex, struct mw_name *bytes);

/* mw_dump_control, mw_dump_entry: dump the state as JSON; new blobs. */
struct mw_blob *mw_dump_control(const struct mw_control *control,
                                struct mw_str what, int64_t now_us);
struct mw_blob *mw_dump_entry(const struct mw_entry *entry, int64_t now_us);

#endif
