/*
 * frame-encode: encodes messages between processes, one in each frame.
 */
#include "pack.h"

/* Allocates and initializes the message of a frame, and sets its kind. */
#define BEGIN_BODY(kind_name, field)                                          \
    wire->body_case = MW__WIRE__FRAME__BODY_##kind_name;                      \
    wire->field = mw_scratch_alloc(scratch, sizeof *wire->field);             \
    mw__wire__##field##__init(wire->field)

static void
pack_heartbeat(struct mw_scratch *scratch,
               const struct mw_heartbeat *heartbeat, Mw__Wire__Frame *wire)
{
    BEGIN_BODY(HEARTBEAT, heartbeat);
    wire->heartbeat->role = heartbeat->role;
    wire->heartbeat->zone = mw_pack_name(&heartbeat->zone);
    wire->heartbeat->leads_zone = heartbeat->leads_zone;
    wire->heartbeat->leads_region = heartbeat->leads_region;
    wire->heartbeat->out = heartbeat->out;
    wire->heartbeat->leaving = heartbeat->leaving;
    wire->heartbeat->epoch = heartbeat->epoch;
    wire->heartbeat->queued = heartbeat->load.queued;
    wire->heartbeat->free_accelerators = heartbeat->load.free_accelerators;
    wire->heartbeat->trial_version = heartbeat->version[MW_TRIAL];
    wire->heartbeat->production_version = heartbeat->version[MW_PRODUCTION];
    wire->heartbeat->protocol = heartbeat->protocol;
    wire->heartbeat->applied_index = heartbeat->applied_index;
    wire->heartbeat->clock_us = heartbeat->clock_us;
    wire->heartbeat->zone_sequence = heartbeat->zone_sequence;
    wire->heartbeat->n_members = heartbeat->member_count;
    wire->heartbeat->members =
        mw_scratch_alloc(scratch, (heartbeat->member_count + 1) *
                                      sizeof *wire->heartbeat->members);
    for (uint32_t i = 0; i < heartbeat->member_count; i++) {
        wire->heartbeat->members[i] = mw_pack_name(&heartbeat->members[i]);
    }
}

static void
pack_answer(struct mw_scratch *scratch, const struct mw_msg_answer *answer,
            Mw__Wire__Frame *wire)
{
    BEGIN_BODY(ANSWER, answer);
    wire->answer->ref = answer->ref;
    wire->answer->key = mw_pack_key(scratch, &answer->key);
    wire->answer->error = answer->error;
    wire->answer->ran = answer->ran;
    wire->answer->state = answer->state;
    wire->answer->job = answer->job;
    wire->answer->zone = mw_pack_name(&answer->zone);
    wire->answer->output = mw_pack_blob(answer->output);
    wire->answer->has_output = answer->output != NULL;
    wire->answer->detail = mw_pack_blob(answer->detail);
}

static void
pack_announcement(struct mw_scratch *scratch,
                  const struct mw_announcement *announcement,
                  Mw__Wire__Frame *wire)
{
    BEGIN_BODY(ANNOUNCE, announce);
    wire->announce->endpoint = mw_pack_name(&announcement->endpoint);
    wire->announce->address = mw_pack_name(&announcement->address);
    wire->announce->rack = mw_pack_name(&announcement->rack);
    wire->announce->total = mw_pack_resources(scratch, &announcement->total);
    wire->announce->incarnation = announcement->incarnation;
    wire->announce->leaving = announcement->draining;
    wire->announce->n_listed = announcement->listed_count;
    wire->announce->listed =
        mw_scratch_alloc(scratch, (announcement->listed_count + 1) *
                                      sizeof *wire->announce->listed);
    for (uint32_t i = 0; i < announcement->listed_count; i++) {
        Mw__Wire__Listed *listed = mw_scratch_alloc(scratch, sizeof *listed);

        mw__wire__listed__init(listed);
        listed->attempt =
            mw_pack_attempt(scratch, &announcement->listed[i].attempt);
        listed->finished = announcement->listed[i].finished;
        wire->announce->listed[i] = listed;
    }
}

static void
pack_command(struct mw_scratch *scratch,
             const struct mw_endpoint_command *command, Mw__Wire__Frame *wire)
{
    BEGIN_BODY(ORDER, order);
    wire->order->kind = command->kind;
    wire->order->attempt = mw_pack_attempt(scratch, &command->attempt);
    wire->order->endpoint = mw_pack_name(&command->endpoint);
    wire->order->address = mw_pack_name(&command->address);
    wire->order->tasks = command->tasks;
    wire->order->need = mw_pack_resources(scratch, &command->need);
    wire->order->checkpoint = command->checkpoint;
    wire->order->idempotent = command->idempotent;
    wire->order->resume = command->resume;
    wire->order->body = mw_pack_blob(command->body);
}

static void
pack_report(struct mw_scratch *scratch, const struct mw_report *report,
            Mw__Wire__Frame *wire)
{
    BEGIN_BODY(REPORT, report);
    wire->report->outcome = report->outcome;
    wire->report->attempt = mw_pack_attempt(scratch, &report->attempt);
    wire->report->endpoint = mw_pack_name(&report->endpoint);
    wire->report->output = mw_pack_blob(report->output);
    wire->report->has_output = report->output != NULL;
}

static void
pack_change(struct mw_scratch *scratch, const struct mw_change *change,
            Mw__Wire__Frame *wire)
{
    BEGIN_BODY(CHANGE, change);
    wire->change->ref = change->ref;
    wire->change->kind = change->kind;
    wire->change->operator_name = mw_pack_name(&change->operator);
    wire->change->version = change->version;
    if (change->document) {
        wire->change->document = mw_pack_blob(change->document->text);
    }
    wire->change->zone = mw_pack_name(&change->zone);
    wire->change->out = change->out;
    wire->change->known_sequence = change->known_sequence;
}

static void
pack_request(struct mw_scratch *scratch, const struct mw_msg *msg,
             int64_t now_us, Mw__Wire__Frame *wire)
{
    if (msg->kind == MW_MSG_SUBMIT) {
        BEGIN_BODY(SUBMIT, submit);
        wire->submit->ref = msg->submit.ref;
        wire->submit->spec = mw_pack_spec(scratch, &msg->submit.spec, now_us);
        wire->submit->body = mw_pack_blob(msg->submit.body);
        return;
    }
    BEGIN_BODY(QUERY, query);
    wire->query->ref = msg->query.ref;
    wire->query->key = mw_pack_key(scratch, &msg->query.key);
    wire->query->cancel = msg->query.cancel;
    wire->query->until_done = msg->query.until_done;
}

static void
pack_document_msg(struct mw_scratch *scratch, const struct mw_msg *msg,
                  Mw__Wire__Frame *wire)
{
    if (msg->kind == MW_MSG_DOCUMENT) {
        BEGIN_BODY(DOCUMENT, document);
        wire->document->environment = msg->document.environment;
        wire->document->operator_name = mw_pack_name(&msg->document.operator);
        wire->document->text = mw_pack_blob(msg->document.document->text);
        return;
    }
    if (msg->kind == MW_MSG_GUARANTEE_CHECK) {
        BEGIN_BODY(JUDGE, judge);
        wire->judge->ref = msg->judge.ref;
        wire->judge->text = mw_pack_blob(msg->judge.document->text);
        return;
    }
    BEGIN_BODY(JUDGED, judged);
    wire->judged->ref = msg->judged.ref;
    wire->judged->error = msg->judged.error;
    wire->judged->zone = mw_pack_name(&msg->judged.zone);
    wire->judged->detail = mw_pack_blob(msg->judged.detail);
}

static void
pack_hello_or_change_result(struct mw_scratch *scratch,
                            const struct mw_msg *msg,
                            const struct mw_name *name, Mw__Wire__Frame *wire)
{
    if (msg->kind == MW_MSG_HELLO) {
        BEGIN_BODY(HELLO, hello);
        wire->hello->role = msg->hello.role;
        wire->hello->zone = mw_pack_name(&msg->hello.zone);
        wire->hello->incarnation = msg->hello.incarnation;
        wire->hello->name = mw_pack_name(name);
        wire->hello->version = MW_WIRE_VERSION;
        return;
    }
    BEGIN_BODY(CHANGED, changed);
    wire->changed->ref = msg->changed.ref;
    wire->changed->error = msg->changed.error;
    wire->changed->version = msg->changed.version;
    wire->changed->detail = mw_pack_blob(msg->changed.detail);
}

static void
pack_flow(struct mw_scratch *scratch, const struct mw_msg *msg,
          Mw__Wire__Frame *wire)
{
    if (msg->kind == MW_MSG_FLOW_CALL) {
        BEGIN_BODY(FLOW_CALL, flow_call);
        wire->flow_call->ref = msg->flow_call.ref;
        wire->flow_call->kind = msg->flow_call.kind;
        wire->flow_call->host = mw_pack_blob(msg->flow_call.host);
        wire->flow_call->path = mw_pack_blob(msg->flow_call.path);
        wire->flow_call->key = mw_pack_blob(msg->flow_call.key);
        wire->flow_call->body = mw_pack_blob(msg->flow_call.body);
        wire->flow_call->known_index = msg->flow_call.known_index;
        return;
    }
    BEGIN_BODY(FLOW_RETURN, flow_return);
    wire->flow_return->ref = msg->flow_return.ref;
    wire->flow_return->kind = msg->flow_return.kind;
    wire->flow_return->error = msg->flow_return.error;
    wire->flow_return->state = msg->flow_return.state;
    wire->flow_return->queued = msg->flow_return.queued;
    wire->flow_return->pending = msg->flow_return.pending;
    wire->flow_return->text = mw_pack_blob(msg->flow_return.text);
    wire->flow_return->retry_after_us = msg->flow_return.retry_after_us;
    wire->flow_return->priority_plus_1 =
        msg->flow_return.has_priority ? msg->flow_return.priority + 1 : 0;
}

static void
pack_msg(struct mw_scratch *scratch, const struct mw_msg *msg,
         const struct mw_name *name, int64_t now_us, Mw__Wire__Frame *wire)
{
    switch (msg->kind) {
    case MW_MSG_HEARTBEAT:
        pack_heartbeat(scratch, &msg->heartbeat, wire);
        break;
    case MW_MSG_LOG:
        wire->body_case = MW__WIRE__FRAME__BODY_LOG;
        wire->log = mw_pack_log(scratch, &msg->log);
        break;
    case MW_MSG_SUBMIT:
    case MW_MSG_QUERY:
        pack_request(scratch, msg, now_us, wire);
        break;
    case MW_MSG_ANSWER:
        pack_answer(scratch, &msg->answer, wire);
        break;
    case MW_MSG_ANNOUNCE:
        pack_announcement(scratch, &msg->announce, wire);
        break;
    case MW_MSG_ORDER:
        pack_command(scratch, &msg->order, wire);
        break;
    case MW_MSG_REPORT:
        pack_report(scratch, &msg->report, wire);
        break;
    case MW_MSG_CHANGE:
        pack_change(scratch, &msg->change, wire);
        break;
    case MW_MSG_DOCUMENT:
    case MW_MSG_GUARANTEE_CHECK:
    case MW_MSG_GUARANTEE_CHECK_RESULT:
        pack_document_msg(scratch, msg, wire);
        break;
    case MW_MSG_FLOW_CALL:
    case MW_MSG_FLOW_RETURN:
        pack_flow(scratch, msg, wire);
        break;
    case MW_MSG_FLOW_HEARTBEATS:
        BEGIN_BODY(FLOW_HEARTBEATS, flow_heartbeats);
        mw_pack_flow_heartbeats(scratch, &msg->flow_heartbeats,
                                wire->flow_heartbeats);
        break;
    case MW_MSG_FLOW_HEARTBEAT_RESULTS:
        BEGIN_BODY(FLOW_HEARTBEAT_RESULTS, flow_heartbeat_results);
        mw_pack_flow_heartbeat_results(scratch, &msg->flow_heartbeat_results,
                                       wire->flow_heartbeat_results);
        break;
    default:
        pack_hello_or_change_result(scratch, msg, name, wire);
        break;
    }
}

struct mw_blob *
mw_encode_msg(const struct mw_msg *msg, const struct mw_name *name,
              int64_t now_us)
{
    struct mw_scratch scratch = {g_ptr_array_new_with_free_func(g_free)};
    Mw__Wire__Frame wire = MW__WIRE__FRAME__INIT;

    pack_msg(&scratch, msg, name, now_us, &wire);
    return mw_serialize(&scratch, &wire.base);
}
