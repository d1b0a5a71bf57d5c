/*
 * pack-flow: converts the records of flows to protobuf messages and back.
 */
#include "pack.h"

static Mw__Wire__Route *
pack_route(struct mw_scratch *scratch, const struct mw_flow_route *route)
{
    Mw__Wire__Route *wire = mw_scratch_alloc(scratch, sizeof *wire);

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
    wire->flow = mw_scratch_alloc(scratch, sizeof *wire->flow);
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
    wire->clock_term = tasks->clock_term;
    wire->clock_us = tasks->clock_us;
    wire->n_tasks = tasks->count;
    wire->tasks =
        mw_scratch_alloc(scratch, (tasks->count + 1) * sizeof *wire->tasks);
    for (uint32_t i = 0; i < tasks->count; i++) {
        const struct mw_task_record *task = &tasks->entries[i];
        Mw__Wire__TaskNote *message =
            mw_scratch_alloc(scratch, sizeof *message);

        mw__wire__task_note__init(message);
        message->flow = mw_pack_name(&task->id.flow);
        message->occurrence = task->id.occurrence;
        message->step = task->id.step;
        message->index = task->id.index;
        message->state = task->state;
        message->run = task->run;
        message->failures = task->failures;
        message->crash_score = task->crash_score;
        message->failed_run = task->failed_run;
        message->run_crash_score = task->run_crash_score;
        message->endpoint = mw_pack_name(&task->endpoint);
        message->born = task->incarnation;
        message->identified = task->is_identified;
        message->starts = task->starts;
        message->assigned_ms = task->assigned_ms;
        message->checkpoint = mw_pack_blob(task->checkpoint);
        wire->tasks[i] = message;
    }
}

Mw__Wire__Endpoint *
mw_pack_endpoint(struct mw_scratch *scratch,
                 const struct mw_flow_heartbeat *heartbeat)
{
    Mw__Wire__Endpoint *message = mw_scratch_alloc(scratch, sizeof *message);

    mw__wire__endpoint__init(message);
    message->id = mw_pack_name(&heartbeat->id);
    message->born = heartbeat->incarnation;
    message->service = mw_pack_name(&heartbeat->service);
    message->address = mw_pack_name(&heartbeat->address);
    message->zone = mw_pack_name(&heartbeat->zone);
    message->n_labels = heartbeat->label_count;
    message->labels = mw_scratch_alloc(scratch, (heartbeat->label_count + 1) *
                                                    sizeof *message->labels);
    for (uint32_t i = 0; i < heartbeat->label_count; i++) {
        message->labels[i] = mw_pack_name(&heartbeat->labels[i]);
    }
    message->cpu = heartbeat->total.cpu;
    message->memory_mb = heartbeat->total.memory_mb;
    message->gpus = heartbeat->total.gpus;
    message->draining = heartbeat->draining;
    return message;
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
        wire->out = record->flow_state.remove;
        break;
    case MW_RECORD_TASKS:
        pack_tasks(scratch, &record->tasks, wire);
        break;
    case MW_RECORD_ENDPOINT:
        wire->endpoint = mw_pack_endpoint(scratch, record->endpoint.heartbeat);
        wire->endpoint->gone = record->endpoint.gone;
        wire->endpoint->log_speed = record->endpoint.speed.log_speed;
        wire->endpoint->speed_known = record->endpoint.speed.known;
        wire->endpoint->silent_since_us = record->endpoint.silent_since_us;
        wire->endpoint->ended_silence_us = record->endpoint.ended_silence_us;
        wire->clock_term = record->endpoint.clock_term;
        wire->clock_us = record->endpoint.clock_us;
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
unpack_task(const Mw__Wire__TaskNote *wire, struct mw_task_record *task)
{
    int err = mw_unpack_name(wire->flow, &task->id.flow);

    if (wire->state >= MW_TASK_STATES) {
        return MW_ERR_OUT_OF_RANGE;
    }
    task->id.occurrence = wire->occurrence;
    task->id.step = wire->step;
    task->id.index = wire->index;
    task->state = (enum mw_task_state)wire->state;
    task->run = wire->run;
    task->failures = wire->failures;
    task->crash_score = wire->crash_score;
    task->failed_run = wire->failed_run;
    task->run_crash_score = wire->run_crash_score;
    task->incarnation = wire->born;
    task->is_identified = wire->identified;
    task->starts = wire->starts;
    task->assigned_ms = wire->assigned_ms;
    task->checkpoint = mw_unpack_blob(wire->checkpoint);
    return err ? err : mw_unpack_name(wire->endpoint, &task->endpoint);
}

static int
unpack_tasks(const Mw__Wire__Record *wire, struct mw_record_tasks *tasks)
{
    int err = 0;

    tasks->clock_term = wire->clock_term;
    tasks->clock_us = wire->clock_us;
    tasks->entries = g_new0(struct mw_task_record, wire->n_tasks + 1);
    for (size_t i = 0; i < wire->n_tasks && !err; i++) {
        err = unpack_task(wire->tasks[i], &tasks->entries[i]);
        tasks->count++;
    }
    return err;
}

static int
unpack_labels(const Mw__Wire__Endpoint *wire,
              struct mw_flow_heartbeat *heartbeat)
{
    int err = 0;

    if (wire->n_labels > G_N_ELEMENTS(heartbeat->labels)) {
        return MW_ERR_OUT_OF_RANGE;
    }
    for (size_t i = 0; i < wire->n_labels && !err; i++) {
        err = mw_unpack_name(wire->labels[i], &heartbeat->labels[i]);
        heartbeat->label_count++;
    }
    return err;
}

int
mw_unpack_endpoint(const Mw__Wire__Endpoint *wire,
                   struct mw_flow_heartbeat *heartbeat)
{
    int err;

    if (!wire) {
        return MW_ERR_MISSING;
    }
    heartbeat->incarnation = wire->born;
    heartbeat->total =
        (struct mw_flow_resources){wire->cpu, wire->memory_mb, wire->gpus};
    heartbeat->draining = wire->draining;
    err = mw_unpack_name(wire->id, &heartbeat->id);
    if (!err) {
        err = mw_unpack_name(wire->service, &heartbeat->service);
    }
    if (!err) {
        err = mw_unpack_name(wire->address, &heartbeat->address);
    }
    if (!err) {
        err = mw_unpack_name(wire->zone, &heartbeat->zone);
    }
    return err ? err : unpack_labels(wire, heartbeat);
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
            return mw_fail(ctx, MW_ERR_OUT_OF_RANGE,
                           "slot of a member is out of range");
        }
        if (wire->name.len == 0) {
            return mw_fail(ctx, MW_ERR_MISSING, "member without a name");
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
        record->flow_state.remove = wire->out;
        return mw_unpack_name(wire->name, &record->flow_state.id);
    case MW_RECORD_TASKS:
        return unpack_tasks(wire, &record->tasks);
    case MW_RECORD_ENDPOINT:
        record->endpoint.heartbeat = g_new0(struct mw_flow_heartbeat, 1);
        record->endpoint.gone = wire->endpoint && wire->endpoint->gone;
        if (wire->endpoint) {
            record->endpoint.speed.log_speed = wire->endpoint->log_speed;
            record->endpoint.speed.known = wire->endpoint->speed_known;
            record->endpoint.silent_since_us = wire->endpoint->silent_since_us;
            record->endpoint.ended_silence_us =
                wire->endpoint->ended_silence_us;
        }
        record->endpoint.clock_term = wire->clock_term;
        record->endpoint.clock_us = wire->clock_us;
        return mw_unpack_endpoint(wire->endpoint, record->endpoint.heartbeat);
    default:
        return 0;
    }
}
