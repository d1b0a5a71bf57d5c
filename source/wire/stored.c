/*
 * stored: encodes and decodes one item of a data file.
 */
#include <string.h>

#include "pack.h"

struct mw_blob *
mw_encode_stored(const struct mw_stored_item *item)
{
    struct mw_scratch scratch = {g_ptr_array_new_with_free_func(g_free)};
    Mw__Wire__Stored wire = MW__WIRE__STORED__INIT;

    wire.kind = item->kind;
    wire.term = item->term;
    wire.index = item->index;
    wire.incarnation = item->incarnation;
    wire.commit = item->commit;
    wire.vote = mw_pack_name(&item->vote);
    if (item->kind == MW_STORED_SNAPSHOT) {
        wire.n_config = MW_MEMBERS_MAX;
        wire.config = (uint64_t *)item->config;
    }
    wire.n_records = item->record_count;
    wire.records = mw_scratch_alloc(&scratch, (item->record_count + 1) *
                                                  sizeof *wire.records);
    for (uint32_t i = 0; i < item->record_count; i++) {
        wire.records[i] = mw_pack_record(&scratch, item->records[i]);
    }
    return mw_serialize(&scratch, &wire.base);
}

static int
unpack_item(struct mw_context *ctx, const Mw__Wire__Stored *wire,
            struct mw_stored_item *item)
{
    if (wire->kind > MW_STORED_SNAPSHOT || wire->n_config > MW_MEMBERS_MAX) {
        return mw_fail(ctx, MW_ERR_VERSION,
                       "unknown format of a stored item of kind %u",
                       wire->kind);
    }
    item->kind = (enum mw_stored_kind)wire->kind;
    item->term = wire->term;
    item->index = wire->index;
    item->incarnation = wire->incarnation;
    item->commit = wire->commit;
    for (size_t i = 0; i < wire->n_config; i++) {
        item->config[i] = wire->config[i];
    }
    if (item->kind == MW_STORED_ENTRY && wire->n_records != 1) {
        return mw_fail(ctx, MW_ERR_DAMAGED,
                       "entry without exactly one record");
    }
    item->records = g_new0(struct mw_record *, wire->n_records + 1);
    for (size_t i = 0; i < wire->n_records; i++) {
        item->records[i] = mw_unpack_record(ctx, wire->records[i]);
        if (!item->records[i]) {
            return MW_ERR_DAMAGED;
        }
        item->record_count++;
    }
    return mw_unpack_name(wire->vote, &item->vote);
}

int
mw_decode_stored(struct mw_context *ctx, struct mw_str payload,
                 struct mw_stored_item *item)
{
    Mw__Wire__Stored *wire = mw__wire__stored__unpack(
        NULL, payload.len, (const uint8_t *)payload.ptr);

    memset(item, 0, sizeof *item);
    if (!wire) {
        return mw_fail(ctx, MW_ERR_DAMAGED,
                       "item is not a valid protobuf message");
    }
    int err = unpack_item(ctx, wire, item);

    mw__wire__stored__free_unpacked(wire, NULL);
    if (err) {
        mw_clear_stored(item);
    }
    return err;
}

void
mw_clear_stored(struct mw_stored_item *item)
{
    for (uint32_t i = 0; i < item->record_count; i++) {
        mw_drop_record(item->records[i]);
    }
    g_clear_pointer(&item->records, g_free);
    item->record_count = 0;
}
