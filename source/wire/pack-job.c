#include <string.h>

#include "pack.h"

void *
mw_scratch_alloc(struct mw_scratch *scratch, size_t size)
{
    void *block = g_malloc0(size);

    g_ptr_array_add(scratch->blocks, block);
    return block;
}

struct mw_blob *
mw_serialize(struct mw_scratch *scratch, const ProtobufCMessage *wire)
{
    size_t size = protobuf_c_message_get_packed_size(wire);
    struct mw_blob *blob = g_malloc(sizeof *blob + size + 1);

    blob->refs = 1;
    blob->len = protobuf_c_message_pack(wire, (uint8_t *)blob->ptr);
    blob->ptr[blob->len] = 0;
    g_ptr_array_unref(scratch->blocks);
    return blob;
}

ProtobufCBinaryData
mw_pack_name(const struct mw_name *name)
{
    return (ProtobufCBinaryData){name->len, (uint8_t *)name->ptr};
}

ProtobufCBinaryData
mw_pack_blob(const struct mw_blob *blob)
{
    struct mw_str str = mw_blob_str(blob);

    return (ProtobufCBinaryData){str.len, (uint8_t *)str.ptr};
}

int
mw_unpack_name(ProtobufCBinaryData data, struct mw_name *name)
{
    return mw_set_name(name,
                       (struct mw_str){(const char *)data.data, data.len});
}

struct mw_blob *
mw_unpack_blob(ProtobufCBinaryData data)
{
    return mw_new_blob((struct mw_str){(const char *)data.data, data.len});
}

Mw__Wire__Amount *
mw_pack_resources(struct mw_scratch *scratch,
                  const struct mw_resources *resources)
{
    Mw__Wire__Amount *wire = mw_scratch_alloc(scratch, sizeof *wire);

    mw__wire__amount__init(wire);
    wire->accelerators = resources->accelerators;
    wire->slots = resources->slots;
    wire->processors = resources->processors;
    wire->memory_mb = resources->memory_mb;
    return wire;
}

void
mw_unpack_resources(const Mw__Wire__Amount *wire,
                    struct mw_resources *resources)
{
    memset(resources, 0, sizeof *resources);
    if (wire) {
        resources->accelerators = wire->accelerators;
        resources->slots = wire->slots;
        resources->processors = wire->processors;
        resources->memory_mb = wire->memory_mb;
    }
}

Mw__Wire__Key *
mw_pack_key(struct mw_scratch *scratch, const struct mw_job_key *key)
{
    Mw__Wire__Key *wire = mw_scratch_alloc(scratch, sizeof *wire);

    mw__wire__key__init(wire);
    wire->org = mw_pack_name(&key->org);
    wire->request = mw_pack_name(&key->request);
    return wire;
}

int
mw_unpack_key(const Mw__Wire__Key *wire, struct mw_job_key *key)
{
    if (!wire) {
        return MW_ERR_MISSING;
    }
    int err = mw_unpack_name(wire->org, &key->org);

    return err ? err : mw_unpack_name(wire->request, &key->request);
}

Mw__Wire__Spec *
mw_pack_spec(struct mw_scratch *scratch, const struct mw_job_spec *spec,
             int64_t now_us)
{
    Mw__Wire__Spec *wire = mw_scratch_alloc(scratch, sizeof *wire);

    mw__wire__spec__init(wire);
    wire->key = mw_pack_key(scratch, &spec->key);
    wire->class_name = mw_pack_name(&spec->class);
    wire->tasks = spec->shape.tasks;
    wire->need = mw_pack_resources(scratch, &spec->shape.need);
    wire->adjacent = spec->shape.adjacent;
    wire->priority = spec->priority;
    wire->idempotent = spec->idempotent;
    wire->checkpoint = spec->checkpoint;
    wire->wait = spec->wait;
    wire->left_us =
        spec->deadline_us > 0 ? MAX(spec->deadline_us - now_us, 1) : 0;
    wire->runtime_us = spec->runtime_us;
    wire->hops = spec->hops;
    return wire;
}

int
mw_unpack_spec(const Mw__Wire__Spec *wire, int64_t now_us,
               struct mw_job_spec *spec)
{
    struct mw_context no_detail = {0};

    if (!wire) {
        return MW_ERR_MISSING;
    }
    int err = mw_unpack_key(wire->key, &spec->key);

    if (err || (err = mw_unpack_name(wire->class_name, &spec->class))) {
        return err;
    }
    spec->shape.tasks = wire->tasks;
    mw_unpack_resources(wire->need, &spec->shape.need);
    spec->shape.adjacent = (enum mw_adjacent)wire->adjacent;
    spec->priority = (enum mw_priority)wire->priority;
    spec->idempotent = wire->idempotent;
    spec->checkpoint = wire->checkpoint;
    spec->wait = wire->wait;
    if (wire->left_us < 0 || wire->left_us > INT64_MAX / 2) {
        return MW_ERR_OUT_OF_RANGE;
    }
    spec->deadline_us = wire->left_us > 0 ? now_us + wire->left_us : 0;
    spec->runtime_us = wire->runtime_us;
    spec->hops = wire->hops;
    return mw_check_spec(&no_detail, spec);
}

Mw__Wire__Attempt *
mw_pack_attempt(struct mw_scratch *scratch, const struct mw_attempt_id *id)
{
    Mw__Wire__Attempt *wire = mw_scratch_alloc(scratch, sizeof *wire);

    mw__wire__attempt__init(wire);
    wire->zone = mw_pack_name(&id->zone);
    wire->job = id->job;
    wire->epoch = id->epoch;
    wire->number = id->number;
    return wire;
}

int
mw_unpack_attempt(const Mw__Wire__Attempt *wire, struct mw_attempt_id *id)
{
    if (!wire) {
        return MW_ERR_MISSING;
    }
    id->job = wire->job;
    id->epoch = wire->epoch;
    id->number = wire->number;
    return mw_unpack_name(wire->zone, &id->zone);
}
