/*
 * flow-command: commands to endpoints, and the leases that they grant.
 */
#include "flow-impl.h"

static struct mw_flow_pending_command *
add_pending_command(struct mw_flows *flows, int64_t now_us,
                    struct mw_flow_endpoint *endpoint,
                    struct mw_flow_command *command)
{
    struct mw_flow_pending_command *pending =
        g_new0(struct mw_flow_pending_command, 1);

    command->ref = flows->next_ref++;
    command->endpoint = endpoint->id;
    command->address = endpoint->heartbeat.address;
    command->fence = flows->fence;
    command->response_deadline_us =
        now_us + command->long_poll_us + MW_COMMAND_TIMEOUT_US;
    pending->ref = command->ref;
    pending->kind = command->kind;
    pending->endpoint = endpoint->id;
    pending->incarnation = endpoint->incarnation;
    pending->task = command->task;
    pending->run = command->run;
    pending->sent_us = now_us;
    g_hash_table_insert(flows->pending_commands, &pending->ref, pending);
    return pending;
}

/*
 * Returns the deadline of a new lease on the endpoint's clock, and puts off
 * the time at which the endpoint's leases count as expired here.  The reading
 * of the clock may be old, so its drift since then is added.
 */
static int64_t
grant_lease(struct mw_flow_endpoint *endpoint, int64_t now_us,
            int64_t lease_us)
{
    int64_t drift_us = (now_us - endpoint->clock_read_us) / 32;
    int64_t expiry_us = now_us + lease_us * MW_CLOCK_DRIFT_PERMILLE / 1000 +
                        drift_us + MW_LEASE_MARGIN_US;

    endpoint->lease_expiry_us = MAX(endpoint->lease_expiry_us, expiry_us);
    return mw_flow_endpoint_clock(endpoint, now_us) + lease_us;
}

/* The checkpoint to resume from; the tasks of a gang must share one. */
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
mw_send_start(struct mw_flows *flows, int64_t now_us,
              struct mw_task_placement *placement)
{
    struct mw_flow_command command = {
        .kind = MW_FLOW_COMMAND_START,
        .task = mw_placed_task_id(placement),
        .run = placement->run,
        .spec = placement->group->flow->plan->spec,
        .checkpoint = resume_checkpoint(placement->group, placement->index),
    };

    command.lease_deadline_us =
        grant_lease(placement->endpoint, now_us, MW_START_LEASE_US);
    if (!placement->group->started) {
        placement->group->started = true;
        mw_count_latency(flows, MW_LATENCY_PLACE,
                         now_us - placement->group->ready_us);
    }
    placement->command_pending = true;
    placement->start_attempts++;
    flows->counters.starts++;
    add_pending_command(flows, now_us, placement->endpoint, &command);
    mw_emit_task_event(flows, "start", placement,
                       placement->start_attempts > 1 ? "sent_again" : "sent",
                       now_us - placement->endpoint->last_contact_us);
    flows->output.command(flows->output.opaque, &command);
}

void
mw_send_stop_for_run(struct mw_flows *flows, int64_t now_us,
                     struct mw_flow_endpoint *endpoint,
                     const struct mw_task_id *task, uint32_t run)
{
    struct mw_flow_command command = {
        .kind = MW_FLOW_COMMAND_STOP, .task = *task, .run = run};

    flows->counters.stops++;
    add_pending_command(flows, now_us, endpoint, &command);
    flows->output.command(flows->output.opaque, &command);
}

void
mw_send_stop(struct mw_flows *flows, int64_t now_us,
             struct mw_task_placement *placement)
{
    struct mw_task_id task = mw_placed_task_id(placement);

    placement->command_pending = true;
    mw_emit_task_event(flows, "stop", placement, "sent",
                       now_us - placement->endpoint->last_contact_us);
    mw_send_stop_for_run(flows, now_us, placement->endpoint, &task,
                         placement->run);
}

void
mw_stop_task_placement(struct mw_flows *flows, int64_t now_us,
                       struct mw_task_placement *placement)
{
    if (placement->phase == MW_PLACEMENT_STOPPING ||
        placement->phase == MW_PLACEMENT_STOPPED) {
        return;
    }
    if (placement->phase == MW_PLACEMENT_PROPOSED) {
        /* no command was sent; a second record undoes the first */
        mw_lose_run(flows, now_us, placement, "not_sent");
        return;
    }
    placement->phase = MW_PLACEMENT_STOPPING;
    placement->retry_deadline_us = now_us;
    if (placement->endpoint->registered && !flows->suspended) {
        mw_send_stop(flows, now_us, placement);
    }
}

void
mw_stop_task_group(struct mw_flows *flows, int64_t now_us,
                   struct mw_task_group *group)
{
    for (uint32_t i = 0; i < group->step->count; i++) {
        if (group->tasks[i].placement) {
            mw_stop_task_placement(flows, now_us, group->tasks[i].placement);
        }
    }
}

/* A list that decides what became of a run is requested without delay. */
static bool
may_long_poll(const struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        const struct mw_task_placement *placement =
            endpoint->placements->pdata[i];

        if (placement->phase == MW_PLACEMENT_UNKNOWN ||
            placement->phase == MW_PLACEMENT_STOPPED) {
            return false;
        }
    }
    return endpoint->placements->len > 0;
}

void
mw_send_renewal(struct mw_flows *flows, int64_t now_us,
                struct mw_flow_endpoint *endpoint)
{
    struct mw_flow_command command = {
        .kind = MW_FLOW_COMMAND_RENEW,
        .acknowledged_end = endpoint->committed_end,
    };
    bool reachable =
        endpoint->renewal_failures == 0 && endpoint->clock_read_us > 0;

    /* a lease that may not arrive would only delay the loss of the runs */
    if (reachable && endpoint->placements->len > 0) {
        command.lease_deadline_us =
            grant_lease(endpoint, now_us,
                        MIN(MW_RENEWAL_LEASE_US,
                            flows->limits.lease_max_us - MW_LEASE_MARGIN_US));
    }
    command.long_poll_us =
        reachable && endpoint->list_read && may_long_poll(endpoint)
            ? MW_RENEWAL_LONG_POLL_US
            : 0;
    endpoint->renewal_pending = true;
    flows->counters.holds++;
    add_pending_command(flows, now_us, endpoint, &command);
    flows->output.command(flows->output.opaque, &command);
}
