/*
 * control-scheduler: callbacks of the zone's scheduler.
 */
#include "control-impl.h"

/* time of five heartbeats of an entry process */
#define ENTRY_TIMEOUT_US 1000000

static int
propose(void *opaque, struct mw_record *record)
{
    struct mw_control *control = opaque;

    return mw_log_propose(control->ctx, control->log[MW_GROUP_ZONE],
                          control->now_us, record, NULL);
}

static bool
can_record_durably(void *opaque)
{
    struct mw_control *control = opaque;
    struct mw_log_status view;

    mw_log_get_status(control->log[MW_GROUP_ZONE], &view);
    return control->zone_leadership == MW_LEAD_ALL &&
           view.disk_voter_count >= 1 && view.voter_count >= 2;
}

/*
 * Returns the entry process that forwarded the endpoint's announcement, or
 * another one of the zone if that one is shutting down or timed out.
 */
static struct mw_name
entry_for_endpoint(struct mw_control *control, const struct mw_name *via)
{
    struct mw_peer *peer = g_hash_table_lookup(control->peers, via);
    GHashTableIter iter;
    gpointer value;

    if (peer && !peer->heartbeat.leaving &&
        control->now_us - peer->last_heartbeat_us <= ENTRY_TIMEOUT_US) {
        return *via;
    }
    g_hash_table_iter_init(&iter, control->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        peer = value;
        if (peer->heartbeat.role == MW_ROLE_ENTRY &&
            !peer->heartbeat.leaving &&
            mw_name_equal(&peer->heartbeat.zone, &control->zone_name) &&
            control->now_us - peer->last_heartbeat_us <= ENTRY_TIMEOUT_US) {
            return peer->name;
        }
    }
    return *via;
}

static void
send_command(void *opaque, const struct mw_endpoint_command *command)
{
    struct mw_control *control = opaque;
    struct mw_msg *msg = mw_new_msg(MW_MSG_ORDER);
    struct mw_name entry = entry_for_endpoint(control, &command->relay);

    msg->order = *command;
    msg->order.body = mw_keep_blob(command->body);
    control->output.send(control->output.opaque, &entry, msg);
    mw_drop_msg(msg);
}

static void
send_answer(void *opaque, const struct mw_waiter *waiter,
            const struct mw_answer *answer)
{
    struct mw_control *control = opaque;
    struct mw_msg *msg = mw_new_msg(MW_MSG_ANSWER);

    msg->answer.ref = waiter->ref;
    msg->answer.key = waiter->key;
    msg->answer.error = answer->error;
    msg->answer.ran = answer->ran;
    msg->answer.state = answer->state;
    msg->answer.job = answer->job;
    msg->answer.zone = answer->zone;
    msg->answer.output = mw_keep_blob(answer->output);
    msg->answer.detail = mw_new_blob(answer->detail);
    control->output.send(control->output.opaque, &waiter->process, msg);
    mw_drop_msg(msg);
}

/*
 * Whether another zone has capacity for a job; subtracts the job from the
 * load that the leader last reported.  The zone must have no queue and twice
 * the accelerators that the job needs.
 */
static bool
take_capacity(struct mw_peer *leader, const struct mw_shape *shape)
{
    struct mw_zone_load *load = &leader->heartbeat.load;
    uint32_t need = shape ? shape->tasks * shape->need.accelerators : 0;

    if (!shape) {
        return true;
    }
    if (load->queued > 0 || load->free_accelerators < 2 * need) {
        return false;
    }
    load->free_accelerators -= need;
    return true;
}

static bool
choose_handover_zone(void *opaque, const struct mw_shape *shape,
                     struct mw_name *zone)
{
    struct mw_control *control = opaque;
    const struct mw_document *doc = mw_zone_document(control->zone);

    for (uint32_t i = 0; doc && i < doc->zone_count; i++) {
        /* round robin, so that handovers are spread over the zones */
        uint32_t index = (i + control->next_ref) % doc->zone_count;
        const struct mw_name *name = &doc->zones[index].name;
        struct mw_peer *leader =
            mw_zone_leader(control->peers, control->now_us, name);

        if (leader && !leader->heartbeat.out &&
            !mw_name_equal(name, &control->zone_name) &&
            take_capacity(leader, shape)) {
            control->next_ref++;
            *zone = *name;
            return true;
        }
    }
    return false;
}

static uint64_t
send_handover(void *opaque, const struct mw_name *zone,
              const struct mw_job_spec *spec, struct mw_blob *body)
{
    struct mw_control *control = opaque;
    const struct mw_peer *leader =
        mw_zone_leader(control->peers, control->now_us, zone);

    if (!leader) {
        return 0;
    }
    struct mw_msg *msg = mw_new_msg(MW_MSG_SUBMIT);
    uint64_t ref = control->next_ref++;

    msg->submit.ref = ref;
    msg->submit.spec = *spec;
    msg->submit.spec.wait = false;
    msg->submit.body = mw_keep_blob(body);
    control->output.send(control->output.opaque, &leader->name, msg);
    mw_drop_msg(msg);
    return ref;
}

struct mw_zone_output
mw_control_zone_output(struct mw_control *control)
{
    return (struct mw_zone_output){
        control,      propose,     can_record_durably,
        send_command, send_answer, choose_handover_zone,
        send_handover};
}
