/*
 * pack-flow: records of flows, both ways.
 */
#include "pack.h"

static Mw__Wire__Route *
pack_route(struct mw_scratch *scratch, const struct mw_flow_route *route)
{
    Mw__Wire__Route *wire = mw_scratch_new(scratch, sizeof *wire);

    mw__wire__route__init(wire);
    wire->name = mw_pack_name(&route->name);
    wire->host = mw_pack_name(&route->host);
    wire->prefix = mw_pack_name(&route->prefix);
    wire->service = mw_pack_name(&route->service);
    wire->priority = route->priority;
    wire->attempts_max = route->attempts_max;
    wire->slack_permille = route->slack_permille;
    wire->target_us = route->target_us;
    wire->keyless = route->keyless;
    return wire;
}

static void
pack_flow(struct mw_scratch *scratch, const struct mw_record_flow *flow,
          Mw__Wire__Record *wire)
{
    wire->flow = mw_scratch_new(scratch, sizeof *wire->flow);
    mw__wire__flow__init(wire->flow);
    wire->flow->id = mw_pack_name(&flow->id);
    wire->flow->route = pack_route(scratch, &flow->route);
    wire->flow->org = mw_pack_name(&flow->org);
    wire->flow->accepted_wall_us = flow->accepted_wall_us;
    wire->flow->state = flow->state;
    wire->text = mw_pack_blob(flow->plan);
}

static void
pack_tasks(struct mw_scratch *scratch, const struct mw_record_tasks *tasks,
           Mw__Wire__Record *wire)
{
    wire->n_tasks = tasks->count;
    wire->tasks =
        mw_scratch_new(scratch, (tasks->count + 1) * sizeof *wire->tasks);
    for (uint32_t i = 0; i < tasks->count; i++) {
        const struct mw_task_note *note = &tasks->notes[i];
        Mw__Wire__TaskNote *at = mw_scratch_new(scratch, sizeof *at);

        mw__wire__task_note__init(at);
        at->flow = mw_pack_name(&note->id.flow);
        at->occurrence = note->id.occurrence;
        at->step = note->id.step;
        at->index = note->id.index;
        at->state = note->state;
        at->run = note->run;
        at->failures = note->failures;
        at->endpoint = mw_pack_name(&note->endpoint);
        at->born = note->born;
        at->checkpoint = mw_pack_blob(note->checkpoint);
        wire->tasks[i] = at;
    }
}

static void
pack_endpoint(struct mw_scratch *scratch,
              const struct mw_record_endpoint *endpoint,
              Mw__Wire__Record *wire)
{
    const struct mw_beat *beat = endpoint->beat;
    Mw__Wire__Endpoint *at = mw_scratch_new(scratch, sizeof *at);

    mw__wire__endpoint__init(at);
    at->id = mw_pack_name(&beat->id);
    at->born = beat->born;
    at->service = mw_pack_name(&beat->service);
    at->address = mw_pack_name(&beat->address);
    at->zone = mw_pack_name(&beat->zone);
    at->n_labels = beat->label_count;
    at->labels =
        mw_scratch_new(scratch, (beat->label_count + 1) * sizeof *at->labels);
    for (uint32_t i = 0; i < beat->label_count; i++) {
        at->labels[i] = mw_pack_name(&beat->labels[i]);
    }
    at->cpu = beat->total.cpu;
    at->memory_mb = beat->total.memory_mb;
    at->gpus = beat->total.gpus;
    at->draining = beat->draining;
    at->gone = endpoint->gone;
    wire->endpoint = at;
}

void
mw_pack_flow_record(struct mw_scratch *scratch, const struct mw_record *record,
                    Mw__Wire__Record *wire)
{
    switch (record->kind) {
    case MW_RECORD_CONFIG:
        wire->number = record->config.version;
        wire->text = mw_pack_blob(record->config.text);
        break;
    case MW_RECORD_MEMBER:
        wire->number = record->member.slot;
        wire->name = mw_pack_name(&record->member.name);
        break;
    case MW_RECORD_ZONE_OUT:
        wire->name = mw_pack_name(&record->zone_out.zone);
        wire->out = record->zone_out.out;
        break;
    case MW_RECORD_FLOW:
        pack_flow(scratch, &record->flow, wire);
        break;
    case MW_RECORD_FLOW_STATE:
        wire->name = mw_pack_name(&record->flow_state.id);
        wire->number = record->flow_state.state;
        wire->out = record->flow_state.forget;
        break;
    case MW_RECORD_TASKS:
        pack_tasks(scratch, &record->tasks, wire);
        break;
    case MW_RECORD_ENDPOINT:
        pack_endpoint(scratch, &record->endpoint, wire);
        break;
    default:
        break;
    }
}

static int
unpack_route(const Mw__Wire__Route *wire, struct mw_flow_route *route)
{
    int err = wire ? 0 : MW_ERR_MISSING;

    if (!err) {
        err = mw_unpack_name(wire->name, &route->name);
    }
    if (!err) {
        err = mw_unpack_name(wire->host, &route->host);
    }
    if (!err) {
        err = mw_unpack_name(wire->prefix, &route->prefix);
    }
    if (!err) {
        err = mw_unpack_name(wire->service, &route->service);
    }
    if (err) {
        return err;
    }
    route->priority = wire->priority;
    route->attempts_max = wire->attempts_max;
    route->slack_permille = wire->slack_permille;
    route->target_us = wire->target_us;
    route->keyless = wire->keyless;
    return 0;
}

static int
unpack_flow(const Mw__Wire__Record *wire, struct mw_record_flow *flow)
{
    int err;

    if (!wire->flow || wire->flow->state >= MW_FLOW_STATES) {
        return MW_ERR_OUT_OF_RANGE;
    }
    flow->state = (enum mw_flow_state)wire->flow->state;
    flow->accepted_wall_us = wire->flow->accepted_wall_us;
    flow->plan = mw_unpack_blob(wire->text);
    err = mw_unpack_name(wire->flow->id, &flow->id);
    if (!err) {
        err = mw_unpack_name(wire->flow->org, &flow->org);
    }
    return err ? err : unpack_route(wire->flow->route, &flow->route);
}

static int
unpack_note(const Mw__Wire__TaskNote *wire, struct mw_task_note *note)
{
    int err = mw_unpack_name(wire->flow, &note->id.flow);

    if (wire->state >= MW_TASK_STATES) {
        return MW_ERR_OUT_OF_RANGE;
    }
    note->id.occurrence = wire->occurrence;
    note->id.step = wire->step;
    note->id.index = wire->index;
    note->state = (enum mw_task_state)wire->state;
    note->run = wire->run;
    note->failures = wire->failures;
    note->born = wire->born;
    note->checkpoint = mw_unpack_blob(wire->checkpoint);
    return err ? err : mw_unpack_name(wire->endpoint, &note->endpoint);
}

static int
unpack_tasks(const Mw__Wire__Record *wire, struct mw_record_tasks *tasks)
{
    int err = 0;

    tasks->notes = g_new0(struct mw_task_note, wire->n_tasks + 1);
    for (size_t i = 0; i < wire->n_tasks && !err; i++) {
        err = unpack_note(wire->tasks[i], &tasks->notes[i]);
        tasks->count++;
    }
    return err;
}

static int
unpack_labels(const Mw__Wire__Endpoint *wire, struct mw_beat *beat)
{
    int err = 0;

    if (wire->n_labels > G_N_ELEMENTS(beat->labels)) {
        return MW_ERR_OUT_OF_RANGE;
    }
    for (size_t i = 0; i < wire->n_labels && !err; i++) {
        err = mw_unpack_name(wire->labels[i], &beat->labels[i]);
        beat->label_count++;
    }
    return err;
}

static int
unpack_endpoint(const Mw__Wire__Endpoint *wire,
                struct mw_record_endpoint *endpoint)
{
    struct mw_beat *beat;
    int err;

    if (!wire) {
        return MW_ERR_MISSING;
    }
    beat = g_new0(struct mw_beat, 1);
    endpoint->beat = beat;
    endpoint->gone = wire->gone;
    beat->born = wire->born;
    beat->total =
        (struct mw_flow_amount){wire->cpu, wire->memory_mb, wire->gpus};
    beat->draining = wire->draining;
    err = mw_unpack_name(wire->id, &beat->id);
    if (!err) {
        err = mw_unpack_name(wire->service, &beat->service);
    }
    if (!err) {
        err = mw_unpack_name(wire->address, &beat->address);
    }
    if (!err) {
        err = mw_unpack_name(wire->zone, &beat->zone);
    }
    return err ? err : unpack_labels(wire, beat);
}

int
mw_unpack_flow_record(struct mw_context *ctx, const Mw__Wire__Record *wire,
                      struct mw_record *record)
{
    switch (record->kind) {
    case MW_RECORD_CONFIG:
        record->config.version = wire->number;
        record->config.text = mw_unpack_blob(wire->text);
        return wire->number > 0 ? 0
                                : mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                                          "configuration without a version");
    case MW_RECORD_MEMBER:
        if (wire->number >= MW_MEMBERS_MAX) {
            return mw_fail(ctx, MW_ERR_OUT_OF_RANGE, "slot of a member");
        }
        if (wire->name.len == 0) {
            return mw_fail(ctx, MW_ERR_MISSING, "slot without a name");
        }
        record->member.slot = (uint32_t)wire->number;
        return mw_unpack_name(wire->name, &record->member.name);
    case MW_RECORD_ZONE_OUT:
        record->zone_out.out = wire->out;
        return mw_unpack_name(wire->name, &record->zone_out.zone);
    case MW_RECORD_FLOW:
        return unpack_flow(wire, &record->flow);
    case MW_RECORD_FLOW_STATE:
        if (wire->number >= MW_FLOW_STATES) {
            return MW_ERR_OUT_OF_RANGE;
        }
        record->flow_state.state = (enum mw_flow_state)wire->number;
        record->flow_state.forget = wire->out;
        return mw_unpack_name(wire->name, &record->flow_state.id);
    case MW_RECORD_TASKS:
        return unpack_tasks(wire, &record->tasks);
    case MW_RECORD_ENDPOINT:
        return unpack_endpoint(wire->endpoint, &record->endpoint);
    default:
        return 0;
    }
}
