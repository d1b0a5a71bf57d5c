/*
 * control-scheduler: what the zone's scheduler asks of its process.
 */
#include "control-impl.h"

/* five heartbeats */
#define ENTRY_LOST_US 1000000

static int
propose(void *opaque, struct mw_record *record)
{
    struct mw_control *control = opaque;

    return mw_log_propose(control->ctx, control->log[MW_GROUP_ZONE],
                          control->now_us, record, NULL);
}

static bool
may_record(void *opaque)
{
    struct mw_control *control = opaque;
    struct mw_log_view view;

    mw_log_look(control->log[MW_GROUP_ZONE], &view);
    return control->zone_leadership == MW_LEAD_RECORDS && view.disks >= 1 &&
           view.voters >= 2;
}

/*
 * The entry process at which the endpoint announced itself, or another one
 * of the zone while that one is leaving or not heard.
 */
static struct mw_name
entry_for_endpoint(struct mw_control *control, const struct mw_name *via)
{
    struct mw_control_peer *process = g_hash_table_lookup(control->peers, via);
    GHashTableIter iter;
    gpointer value;

    if (process && !process->heartbeat.leaving &&
        control->now_us - process->last_heartbeat_us <= ENTRY_LOST_US) {
        return *via;
    }
    g_hash_table_iter_init(&iter, control->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        process = value;
        if (process->heartbeat.role == MW_ROLE_ENTRY &&
            !process->heartbeat.leaving &&
            mw_name_equal(&process->heartbeat.zone, &control->zone_name) &&
            control->now_us - process->last_heartbeat_us <= ENTRY_LOST_US) {
            return process->name;
        }
    }
    return *via;
}

static void
order(void *opaque, const struct mw_order *order)
{
    struct mw_control *control = opaque;
    struct mw_msg *msg = mw_new_msg(MW_MSG_ORDER);
    struct mw_name way = entry_for_endpoint(control, &order->via);

    msg->order = *order;
    msg->order.body = mw_keep_blob(order->body);
    control->output.send(control->output.opaque, &way, msg);
    mw_drop_msg(msg);
}

static void
answer(void *opaque, const struct mw_waiter *waiter,
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

/* Whether a zone can take a job; what is handed is taken off its room. */
static bool
take_capacity(struct mw_control_peer *leader, const struct mw_shape *shape)
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
        /* start behind the last one, so that zones share what is moved */
        uint32_t at = (i + control->next_ref) % doc->zone_count;
        const struct mw_name *name = &doc->zones[at].name;
        struct mw_control_peer *leader =
            mw_control_zone_leader(control, control->now_us, name);

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
    const struct mw_control_peer *leader =
        mw_control_zone_leader(control, control->now_us, zone);

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
    return (struct mw_zone_output){control,      propose, may_record,
                                   order,        answer,  choose_handover_zone,
                                   send_handover};
}
