/*
 * frame-decode: decodes messages between processes, one in each frame.
 */
#include "pack.h"

static bool
is_known_error(int error)
{
    return error <= 0 && error > MW_ERR_LAST;
}

static int
unpack_hello(const Mw__Wire__Hello *wire, struct mw_hello *hello,
             struct mw_name *peer)
{
    struct mw_name name;
    int err = mw_unpack_name(wire->zone, &hello->zone);

    if (wire->version != MW_WIRE_VERSION) {
        return MW_ERR_VERSION;
    }
    if (wire->role > MW_ROLE_CONTROL) {
        return MW_ERR_OUT_OF_RANGE;
    }
    hello->role = (enum mw_process_role)wire->role;
    hello->incarnation = wire->incarnation;
    if (!err) {
        err = mw_unpack_name(wire->name, &name);
    }
    if (!err && !mw_name_valid(&name)) {
        return MW_ERR_INVALID;
    }
    if (!err && peer) {
        *peer = name;
    }
    return err;
}

static int
unpack_heartbeat(const Mw__Wire__Heartbeat *wire,
                 struct mw_heartbeat *heartbeat)
{
    if (wire->role > MW_ROLE_CONTROL) {
        return MW_ERR_OUT_OF_RANGE;
    }
    heartbeat->role = (enum mw_process_role)wire->role;
    heartbeat->leads_zone = wire->leads_zone;
    heartbeat->leads_region = wire->leads_region;
    heartbeat->out = wire->out;
    heartbeat->leaving = wire->leaving;
    heartbeat->epoch = wire->epoch;
    heartbeat->protocol = wire->protocol;
    heartbeat->applied_index = wire->applied_index;
    heartbeat->clock_us = wire->clock_us;
    heartbeat->zone_sequence = wire->zone_sequence;
    heartbeat->load.queued = wire->queued;
    heartbeat->load.free_accelerators = wire->free_accelerators;
    heartbeat->version[MW_TRIAL] = wire->trial_version;
    heartbeat->version[MW_PRODUCTION] = wire->production_version;
    if (wire->n_members > MW_MEMBERS_MAX) {
        return MW_ERR_TOO_LARGE;
    }
    for (size_t i = 0; i < wire->n_members; i++) {
        int err = mw_unpack_name(wire->members[i], &heartbeat->members[i]);

        if (err) {
            return err;
        }
        heartbeat->member_count++;
    }
    return mw_unpack_name(wire->zone, &heartbeat->zone);
}

static int
unpack_answer(const Mw__Wire__Answer *wire, struct mw_msg_answer *answer)
{
    if (!is_known_error(wire->error) || wire->ran > MW_RAN ||
        wire->state >= MW_JOB_STATE_COUNT) {
        return MW_ERR_OUT_OF_RANGE;
    }
    answer->ref = wire->ref;
    answer->error = wire->error;
    answer->ran = (enum mw_execution_status)wire->ran;
    answer->state = (enum mw_job_state)wire->state;
    answer->job = wire->job;
    answer->output = wire->has_output ? mw_unpack_blob(wire->output) : NULL;
    answer->detail = mw_unpack_blob(wire->detail);
    int err = mw_unpack_key(wire->key, &answer->key);

    return err ? err : mw_unpack_name(wire->zone, &answer->zone);
}

static int
unpack_announcement(const Mw__Wire__Announce *wire,
                    struct mw_announcement *announcement)
{
    int err = mw_unpack_name(wire->endpoint, &announcement->endpoint);

    if (wire->n_listed > MW_LISTED_MAX) {
        return MW_ERR_TOO_LARGE;
    }
    if (!err) {
        err = mw_unpack_name(wire->address, &announcement->address);
    }
    if (!err) {
        err = mw_unpack_name(wire->rack, &announcement->rack);
    }
    mw_unpack_resources(wire->total, &announcement->total);
    announcement->incarnation = wire->incarnation;
    announcement->draining = wire->leaving;
    announcement->listed = g_new0(struct mw_listed_attempt, wire->n_listed);
    announcement->listed_count = (uint32_t)wire->n_listed;
    for (size_t i = 0; i < wire->n_listed && !err; i++) {
        err = mw_unpack_attempt(wire->listed[i]->attempt,
                                &announcement->listed[i].attempt);
        announcement->listed[i].finished = wire->listed[i]->finished;
    }
    return err;
}

static int
unpack_command(const Mw__Wire__Order *wire,
               struct mw_endpoint_command *command)
{
    int err = mw_unpack_attempt(wire->attempt, &command->attempt);

    if (wire->kind >= MW_COMMAND_KIND_COUNT) {
        return MW_ERR_OUT_OF_RANGE;
    }
    command->kind = (enum mw_endpoint_command_kind)wire->kind;
    if (!err) {
        err = mw_unpack_name(wire->endpoint, &command->endpoint);
    }
    if (!err) {
        err = mw_unpack_name(wire->address, &command->address);
    }
    command->tasks = wire->tasks;
    mw_unpack_resources(wire->need, &command->need);
    command->checkpoint = wire->checkpoint;
    command->idempotent = wire->idempotent;
    command->resume = wire->resume;
    command->body = mw_unpack_blob(wire->body);
    return err;
}

static int
unpack_report(const Mw__Wire__Report *wire, struct mw_report *report)
{
    int err = mw_unpack_attempt(wire->attempt, &report->attempt);

    if (wire->outcome >= MW_OUTCOME_COUNT) {
        return MW_ERR_OUT_OF_RANGE;
    }
    report->outcome = (enum mw_outcome)wire->outcome;
    report->output = wire->has_output ? mw_unpack_blob(wire->output) : NULL;
    return err ? err : mw_unpack_name(wire->endpoint, &report->endpoint);
}

static struct mw_document *
parse_document(struct mw_context *ctx, ProtobufCBinaryData data, int *err)
{
    return mw_parse_document(
        ctx, (struct mw_str){(const char *)data.data, data.len}, err);
}

static int
unpack_change(struct mw_context *ctx, const Mw__Wire__Change *wire,
              struct mw_change *change)
{
    int err = mw_unpack_name(wire->operator_name, &change->operator);

    if (wire->kind > MW_CHANGE_ZONE) {
        return MW_ERR_OUT_OF_RANGE;
    }
    change->ref = wire->ref;
    change->kind = (enum mw_change_kind)wire->kind;
    change->version = wire->version;
    change->out = wire->out;
    change->known_sequence = wire->known_sequence;
    if (!err && change->kind == MW_CHANGE_TRY) {
        change->document = parse_document(ctx, wire->document, &err);
    }
    return err ? err : mw_unpack_name(wire->zone, &change->zone);
}

static int
unpack_document(struct mw_context *ctx, const Mw__Wire__Document *wire,
                struct mw_msg_document *document)
{
    int err = 0;

    if (wire->environment >= MW_ENVIRONMENTS) {
        return MW_ERR_OUT_OF_RANGE;
    }
    document->environment = (enum mw_environment)wire->environment;
    document->document = parse_document(ctx, wire->text, &err);
    return err ? err
               : mw_unpack_name(wire->operator_name, &document->operator);
}

static int
unpack_check_result(const Mw__Wire__Judged *wire,
                    struct mw_guarantee_check_result *result)
{
    if (!is_known_error(wire->error)) {
        return MW_ERR_OUT_OF_RANGE;
    }
    result->ref = wire->ref;
    result->error = wire->error;
    result->detail = mw_unpack_blob(wire->detail);
    return mw_unpack_name(wire->zone, &result->zone);
}

static int
unpack_change_result(const Mw__Wire__Changed *wire,
                     struct mw_change_result *result)
{
    if (!is_known_error(wire->error)) {
        return MW_ERR_OUT_OF_RANGE;
    }
    result->ref = wire->ref;
    result->error = wire->error;
    result->version = wire->version;
    result->detail = mw_unpack_blob(wire->detail);
    return 0;
}

static int
unpack_flow_call(const Mw__Wire__FlowCall *wire, struct mw_msg_flow_call *call)
{
    if (wire->kind >= MW_FLOW_REQUESTS) {
        return MW_ERR_OUT_OF_RANGE;
    }
    call->ref = wire->ref;
    call->kind = (enum mw_flow_request_kind)wire->kind;
    call->host = mw_unpack_blob(wire->host);
    call->path = mw_unpack_blob(wire->path);
    call->key = mw_unpack_blob(wire->key);
    call->body = mw_unpack_blob(wire->body);
    call->known_index = wire->known_index;
    return 0;
}

static int
unpack_flow_return(const Mw__Wire__FlowReturn *wire,
                   struct mw_msg_flow_return *reply)
{
    if (wire->kind > MW_REPLY_ERROR || wire->state >= MW_FLOW_STATES ||
        !is_known_error(wire->error) || wire->retry_after_us < 0 ||
        wire->retry_after_us > MW_FLOW_RETRY_AFTER_MAX_S * INT64_C(1000000)) {
        return MW_ERR_OUT_OF_RANGE;
    }
    reply->ref = wire->ref;
    reply->kind = (enum mw_flow_reply_kind)wire->kind;
    reply->error = wire->error;
    reply->state = (enum mw_flow_state)wire->state;
    reply->queued = wire->queued;
    reply->pending = wire->pending;
    reply->text = mw_unpack_blob(wire->text);
    reply->retry_after_us = wire->retry_after_us;
    reply->has_priority = wire->priority_plus_1 > 0;
    reply->priority = reply->has_priority ? wire->priority_plus_1 - 1 : 0;
    return 0;
}

static int
unpack_msg(struct mw_context *ctx, const Mw__Wire__Frame *wire, int64_t now_us,
           struct mw_name *peer, struct mw_msg *msg)
{
    int err = 0;

    switch (msg->kind) {
    case MW_MSG_HELLO:
        return unpack_hello(wire->hello, &msg->hello, peer);
    case MW_MSG_HEARTBEAT:
        return unpack_heartbeat(wire->heartbeat, &msg->heartbeat);
    case MW_MSG_LOG:
        return mw_unpack_log(ctx, wire->log, &msg->log);
    case MW_MSG_SUBMIT:
        msg->submit.ref = wire->submit->ref;
        msg->submit.body = mw_unpack_blob(wire->submit->body);
        return mw_unpack_spec(wire->submit->spec, now_us, &msg->submit.spec);
    case MW_MSG_QUERY:
        msg->query.ref = wire->query->ref;
        msg->query.cancel = wire->query->cancel;
        msg->query.until_done = wire->query->until_done;
        return mw_unpack_key(wire->query->key, &msg->query.key);
    case MW_MSG_ANSWER:
        return unpack_answer(wire->answer, &msg->answer);
    case MW_MSG_ANNOUNCE:
        return unpack_announcement(wire->announce, &msg->announce);
    case MW_MSG_ORDER:
        return unpack_command(wire->order, &msg->order);
    case MW_MSG_REPORT:
        return unpack_report(wire->report, &msg->report);
    case MW_MSG_CHANGE:
        return unpack_change(ctx, wire->change, &msg->change);
    case MW_MSG_CHANGE_RESULT:
        return unpack_change_result(wire->changed, &msg->changed);
    case MW_MSG_DOCUMENT:
        return unpack_document(ctx, wire->document, &msg->document);
    case MW_MSG_GUARANTEE_CHECK:
        msg->judge.ref = wire->judge->ref;
        msg->judge.document = parse_document(ctx, wire->judge->text, &err);
        return err;
    case MW_MSG_GUARANTEE_CHECK_RESULT:
        return unpack_check_result(wire->judged, &msg->judged);
    case MW_MSG_FLOW_CALL:
        return unpack_flow_call(wire->flow_call, &msg->flow_call);
    case MW_MSG_FLOW_RETURN:
        return unpack_flow_return(wire->flow_return, &msg->flow_return);
    case MW_MSG_FLOW_HEARTBEATS:
        return mw_unpack_flow_heartbeats(wire->flow_heartbeats,
                                         &msg->flow_heartbeats);
    case MW_MSG_FLOW_HEARTBEAT_RESULTS:
        return mw_unpack_flow_heartbeat_results(wire->flow_heartbeat_results,
                                                &msg->flow_heartbeat_results);
    default:
        return mw_fail(ctx, MW_ERR_VERSION, "frame of an unknown kind");
    }
}

struct mw_msg *
mw_decode_msg(struct mw_context *ctx, struct mw_str payload, int64_t now_us,
              struct mw_name *peer, int *error)
{
    Mw__Wire__Frame *wire;

    ctx->detail_len = 0;
    if (payload.len > MW_FRAME_BYTES_MAX) {
        *error =
            mw_fail(ctx, MW_ERR_TOO_LARGE, "frame of %zu bytes", payload.len);
        return NULL;
    }
    wire = mw__wire__frame__unpack(NULL, payload.len,
                                   (const uint8_t *)payload.ptr);
    if (!wire) {
        *error = mw_fail(ctx, MW_ERR_INVALID,
                         "frame is not a valid protobuf message");
        return NULL;
    }
    struct mw_msg *msg = mw_new_msg((enum mw_msg_kind)wire->body_case);

    *error = unpack_msg(ctx, wire, now_us, peer, msg);
    mw__wire__frame__free_unpacked(wire, NULL);
    if (*error) {
        mw_drop_msg(msg);
        return NULL;
    }
    return msg;
}
