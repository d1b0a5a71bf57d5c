#ifndef MIMOSAWIND_WIRE_H
#define MIMOSAWIND_WIRE_H

#include "mimosawind/control.h"
#include "mimosawind/entry.h"
#include "mimosawind/message.h"

/*
 * wire: messages as bytes and bytes as messages; no decision is taken here.
 *
 * Between the system's processes: protobuf in frames.  Towards callers,
 * endpoints and operators: JSON.  Decoders check sizes before they allocate
 * and never trust a length.
 */

#define MW_WIRE_VERSION 1
#define MW_FRAME_BYTES_MAX (64u * 1024 * 1024)
#define MW_BODY_BYTES_MAX (32u * 1024 * 1024)
#define MW_LISTED_MAX 4096

/*
 * mw_encode_msg: the payload of a frame, a new blob.
 *
 * Deadlines leave as the time that is left at now_us.  name is this
 * process's own, carried in the hello.
 */
struct mw_blob *mw_encode_msg(const struct mw_msg *msg,
                              const struct mw_name *name, int64_t now_us);

/*
 * mw_decode_msg: a new message, or NULL with *error and a detail.
 *
 * peer receives the sender's name from a hello and may be NULL otherwise.
 */
struct mw_msg *mw_decode_msg(struct mw_context *ctx, struct mw_str payload,
                             int64_t now_us, struct mw_name *peer, int *error);

/* mw_encode_stored: one item of a data file, a new blob. */
struct mw_blob *mw_encode_stored(const struct mw_store_item *item);

/* mw_decode_stored: fill an item; mw_clear_stored gives it back. */
int mw_decode_stored(struct mw_context *ctx, struct mw_str payload,
                     struct mw_store_item *item);
void mw_clear_stored(struct mw_store_item *item);

/*
 * mw_parse_document: a document from its JSON text.
 *
 * Refuses the whole text for an unknown key, a wrong type or an impossible
 * value; the detail holds the line of a syntax error or the path of the
 * key.  Returns a new document, or NULL with *error.
 */
struct mw_document *mw_parse_document(struct mw_context *ctx,
                                      struct mw_str text, int *error);

/* mw_parse_job: a submission from JSON; *body is a new blob. */
int mw_parse_job(struct mw_context *ctx, struct mw_str text, int64_t now_us,
                 struct mw_job_spec *spec, struct mw_blob **body);

/* mw_parse_announce: an announcement; listed is allocated with g_malloc. */
int mw_parse_announce(struct mw_context *ctx, struct mw_str text,
                      struct mw_announce *announce);

/* mw_parse_change: an operator's request; the document is a new one. */
int mw_parse_change(struct mw_context *ctx, struct mw_str text,
                    struct mw_change *change);

/* mw_format_reply: what a caller or operator is told, as JSON. */
struct mw_blob *mw_format_reply(const struct mw_reply *reply);

/* mw_format_attempt, mw_parse_attempt: ZONE.JOB.EPOCH.NUMBER */
struct mw_name mw_format_attempt(const struct mw_attempt_id *id);
int mw_parse_attempt(struct mw_str text, struct mw_attempt_id *id);

/* mw_parse_outcome: outcome from its word, or MW_ERR_INVALID. */
int mw_parse_outcome(struct mw_str word);

/* mw_parse_hex: bytes from hexadecimal digits into a name. */
int mw_parse_hex(struct mw_str hex, struct mw_name *bytes);

/* mw_dump_control, mw_dump_entry: state dumps as JSON text. */
struct mw_blob *mw_dump_control(const struct mw_control *control,
                                struct mw_str what, int64_t now_us);
struct mw_blob *mw_dump_entry(const struct mw_entry *entry, int64_t now_us);

#endif
