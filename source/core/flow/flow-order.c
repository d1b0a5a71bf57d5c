/*
 * flow-order: what endpoints are told, and under which lease.
 */
#include "flow-impl.h"

static struct mw_flow_call *
add_pending_command(struct mw_flows *flows, int64_t now_us,
                    struct mw_flow_endpoint *endpoint,
                    struct mw_flow_order *command)
{
    struct mw_flow_call *pending = g_new0(struct mw_flow_call, 1);

    command->ref = flows->next_ref++;
    command->endpoint = endpoint->id;
    command->address = endpoint->beat.address;
    command->fence = flows->fence;
    command->answer_deadline_us =
        now_us + command->wait_us + MW_ORDER_ANSWER_US;
    pending->ref = command->ref;
    pending->kind = command->kind;
    pending->endpoint = endpoint->id;
    pending->born = endpoint->born;
    pending->task = command->task;
    pending->run = command->run;
    pending->sent_us = now_us;
    g_hash_table_insert(flows->calls, &pending->ref, pending);
    return pending;
}

/* A lease that ends after a time on the endpoint's clock, and is noted. */
static int64_t
grant_lease(struct mw_flow_endpoint *endpoint, int64_t now_us,
            int64_t lease_us)
{
    int64_t drift_us = (now_us - endpoint->clock_at_us) / 32;
    int64_t expiry_us = now_us + lease_us * MW_CLOCK_SLOW_PERMILLE / 1000 +
                        drift_us + MW_LEASE_MARGIN_US;

    endpoint->lapse_deadline_us = MAX(endpoint->lapse_deadline_us, expiry_us);
    return mw_endpoint_clock(endpoint, now_us) + lease_us;
}

/* The members of a gang must resume from one checkpoint. */
static struct mw_blob *
resume_checkpoint(const struct mw_task_group *group, uint32_t index)
{
    struct mw_blob *checkpoint = group->tasks[index].checkpoint;

    if (!group->step->gang) {
        return checkpoint;
    }
    checkpoint = group->tasks[group->newest_checkpoint_index].checkpoint;
    for (uint32_t i = 0; i < group->step->count && !checkpoint; i++) {
        checkpoint = group->tasks[i].checkpoint;
    }
    return checkpoint;
}

void
mw_send_start(struct mw_flows *flows, int64_t now_us, struct mw_place *place)
{
    struct mw_flow_order command = {
        .kind = MW_FLOW_START,
        .task = mw_place_task_id(place),
        .run = place->run,
        .spec = place->group->flow->plan->spec,
        .checkpoint = resume_checkpoint(place->group, place->index),
    };

    command.lease_deadline_us =
        grant_lease(place->endpoint, now_us, MW_START_LEASE_US);
    if (!place->group->started) {
        place->group->started = true;
        mw_measure(flows, MW_TIME_PLACE, now_us - place->group->ready_us);
    }
    place->busy = true;
    place->tries++;
    flows->counters.starts++;
    add_pending_command(flows, now_us, place->endpoint, &command);
    mw_place_note(flows, "start", place,
                  place->tries > 1 ? "sent_again" : "sent",
                  now_us - place->endpoint->heard_us);
    flows->output.order(flows->output.opaque, &command);
}

void
mw_send_stop_of(struct mw_flows *flows, int64_t now_us,
                struct mw_flow_endpoint *endpoint,
                const struct mw_task_id *task, uint32_t run)
{
    struct mw_flow_order command = {
        .kind = MW_FLOW_STOP, .task = *task, .run = run};

    flows->counters.stops++;
    add_pending_command(flows, now_us, endpoint, &command);
    flows->output.order(flows->output.opaque, &command);
}

void
mw_send_stop(struct mw_flows *flows, int64_t now_us, struct mw_place *place)
{
    struct mw_task_id task = mw_place_task_id(place);

    place->busy = true;
    mw_place_note(flows, "stop", place, "sent",
                  now_us - place->endpoint->heard_us);
    mw_send_stop_of(flows, now_us, place->endpoint, &task, place->run);
}

void
mw_stop_place(struct mw_flows *flows, int64_t now_us, struct mw_place *place)
{
    if (place->phase == MW_PLACE_STOPPING ||
        place->phase == MW_PLACE_STOPPED) {
        return;
    }
    if (place->phase == MW_PLACE_INTENDED) {
        /* nothing was sent: the record is followed by its opposite */
        mw_lose_run(flows, now_us, place, "not_sent");
        return;
    }
    place->phase = MW_PLACE_STOPPING;
    place->retry_deadline_us = now_us;
    if (place->endpoint->known && !flows->suspended) {
        mw_send_stop(flows, now_us, place);
    }
}

void
mw_stop_task_group(struct mw_flows *flows, int64_t now_us,
                   struct mw_task_group *group)
{
    for (uint32_t i = 0; i < group->step->count; i++) {
        if (group->tasks[i].place) {
            mw_stop_place(flows, now_us, group->tasks[i].place);
        }
    }
}

/* A list that decides something is asked for without waiting for an end. */
static bool
may_long_poll(const struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->places->len; i++) {
        const struct mw_place *place = endpoint->places->pdata[i];

        if (place->phase == MW_PLACE_UNKNOWN ||
            place->phase == MW_PLACE_STOPPED) {
            return false;
        }
    }
    return endpoint->places->len > 0;
}

void
mw_send_hold(struct mw_flows *flows, int64_t now_us,
             struct mw_flow_endpoint *endpoint)
{
    struct mw_flow_order command = {
        .kind = MW_FLOW_HOLD,
        .acknowledged = endpoint->committed_end,
    };
    bool reachable = endpoint->silent == 0 && endpoint->clock_at_us > 0;

    /* a lease that may not arrive would only put off giving up */
    if (reachable && endpoint->places->len > 0) {
        command.lease_deadline_us =
            grant_lease(endpoint, now_us,
                        MIN(MW_HOLD_LEASE_US,
                            flows->bounds.lease_max_us - MW_LEASE_MARGIN_US));
    }
    command.wait_us = reachable && endpoint->listed && may_long_poll(endpoint)
                          ? MW_HOLD_WAIT_US
                          : 0;
    endpoint->holding = true;
    endpoint->look_wanted = false;
    endpoint->hold_sent_us = now_us;
    flows->counters.holds++;
    add_pending_command(flows, now_us, endpoint, &command);
    flows->output.order(flows->output.opaque, &command);
}
