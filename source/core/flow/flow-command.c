/*
 * flow-command: commands to endpoints, and the leases that they grant.
 */
#include "flow-capacity.h"
#include "flow-command-queue.h"
#include "flow-command.h"
#include "flow-crash.h"
#include "flow-endpoint-state.h"
#include "flow-endpoint.h"
#include "flow-event.h"
#include "flow-health.h"
#include "flow-identified-run.h"
#include "flow-late-start.h"
#include "flow-lease.h"
#include "flow-measure.h"
#include "flow-place.h"
#include "flow-placement-state.h"
#include "flow-quota.h"
#include "flow-run-end.h"
#include "flow-schedule.h"
#include "flow-scheduler-state.h"
#include "flow-silence.h"
#include "flow-speed.h"
#include "flow-state.h"
#include "flow-task-state.h"

/* a record could not be proposed: the log is full of others */
#define START_RECORD_RETRY_US INT64_C(100000)

static struct mw_flow_pending_command *
new_pending_command(struct mw_flows *flows, int64_t now_us,
                    struct mw_flow_endpoint *endpoint,
                    enum mw_flow_command_kind kind)
{
    struct mw_flow_pending_command *pending =
        g_new0(struct mw_flow_pending_command, 1);

    pending->ref = flows->next_ref++;
    pending->kind = kind;
    pending->endpoint = endpoint->id;
    pending->generation = endpoint->generation;
    pending->queued_us = now_us;
    g_hash_table_insert(flows->pending_commands, &pending->ref, pending);
    return pending;
}

/* The term in the upper bits, the generation of the endpoint in the others. */
uint64_t
mw_fencing_token(uint64_t term, uint32_t generation)
{
    return term << MW_GENERATION_BITS | generation;
}

/* Sends a command; the rest of it has been filled in by the caller. */
static void
transmit(struct mw_flows *flows, int64_t now_us,
         struct mw_flow_endpoint *endpoint,
         struct mw_flow_pending_command *pending,
         struct mw_flow_command *command)
{
    command->ref = pending->ref;
    command->kind = pending->kind;
    command->endpoint = endpoint->id;
    command->address = endpoint->heartbeat.address;
    command->fence = mw_fencing_token(flows->fence, endpoint->generation);
    command->task = pending->task;
    command->run = pending->run;
    command->response_deadline_us =
        now_us + command->long_poll_us + MW_COMMAND_TIMEOUT_US;
    pending->sent_us = now_us;
    pending->long_poll_us = command->long_poll_us;
    pending->grants_lease = command->lease_deadline_us > 0;
    pending->counts = command->long_poll_us == 0 && !endpoint->unresponsive;
    if (pending->counts) {
        mw_command_sent(&flows->command_queue);
    }
    flows->output.command(flows->output.opaque, command);
}

struct mw_blob *
mw_resume_checkpoint(const struct mw_task_group *group, uint32_t index)
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

/*
 * Records that the start may be sent once more; it is sent when that is
 * committed.  The next leader knows by this how many starts there can be: once
 * it has seen that all of them were executed, it waits for no other.  After
 * the end of this run one of them may still extend leases there.
 */
static void
propose_another_start(struct mw_flows *flows, int64_t now_us,
                      struct mw_task_placement *placement)
{
    struct mw_record *record;
    struct mw_task_record *entry;
    const struct mw_flow_task *task =
        &placement->group->tasks[placement->index];

    if (!mw_record_none_identified(flows, placement->endpoint)) {
        placement->retry_deadline_us = now_us + START_RECORD_RETRY_US;
        return;
    }
    record = mw_new_record(MW_RECORD_TASKS);
    entry = g_new0(struct mw_task_record, 1);
    record->tasks.count = 1;
    record->tasks.entries = entry;
    mw_init_task_record(placement->group, placement->index, entry);
    entry->state = MW_TASK_ASSIGNED;
    entry->endpoint = task->endpoint;
    entry->incarnation = task->incarnation;
    entry->starts = task->starts + 1;
    entry->run_crash_score = placement->crash_score;
    if (mw_propose_tasks(flows, record)) {
        placement->awaits_start_record = true;
        placement->command_pending = true;
    }
    else {
        placement->retry_deadline_us = now_us + START_RECORD_RETRY_US;
    }
    mw_drop_record(record);
}

void
mw_send_start(struct mw_flows *flows, int64_t now_us,
              struct mw_task_placement *placement)
{
    struct mw_flow_pending_command *pending;
    bool urgent = placement->group->rank <= MW_URGENT_RANK_MAX;

    if (placement->starts_sent >=
        placement->group->tasks[placement->index].starts) {
        propose_another_start(flows, now_us, placement);
        return;
    }
    pending = new_pending_command(flows, now_us, placement->endpoint,
                                  MW_FLOW_COMMAND_START);
    pending->task = mw_placed_task_id(placement);
    pending->run = placement->run;
    placement->command_pending = true;
    mw_push_command(&flows->command_queue,
                    urgent ? MW_CLASS_URGENT_START : MW_CLASS_START, pending);
    mw_send_waiting_commands(flows, now_us);
}

static void
push_stop(struct mw_flows *flows, int64_t now_us,
          struct mw_flow_endpoint *endpoint, const struct mw_task_id *task,
          uint32_t run, bool is_stray)
{
    struct mw_flow_pending_command *pending =
        new_pending_command(flows, now_us, endpoint, MW_FLOW_COMMAND_STOP);

    pending->task = *task;
    pending->run = run;
    pending->is_stray = is_stray;
    mw_push_command(&flows->command_queue, MW_CLASS_STOP, pending);
    mw_send_waiting_commands(flows, now_us);
}

void
mw_send_stop_for_stray_run(struct mw_flows *flows, int64_t now_us,
                           struct mw_flow_endpoint *endpoint,
                           const struct mw_task_id *task, uint32_t run)
{
    push_stop(flows, now_us, endpoint, task, run, true);
}

void
mw_send_stop(struct mw_flows *flows, int64_t now_us,
             struct mw_task_placement *placement)
{
    struct mw_task_id task = mw_placed_task_id(placement);

    placement->command_pending = true;
    push_stop(flows, now_us, placement->endpoint, &task, placement->run,
              false);
}

static void
transmit_start(struct mw_flows *flows, int64_t now_us,
               struct mw_flow_pending_command *pending,
               struct mw_task_placement *placement)
{
    struct mw_task_group *group = placement->group;
    struct mw_flow_command command = {
        .spec = group->flow->plan->spec,
        .checkpoint = mw_resume_checkpoint(group, placement->index),
        .lease_deadline_us = mw_grant_lease(placement->endpoint, now_us,
                                            pending, MW_START_LEASE_US),
    };

    if (!group->started) {
        group->started = true;
        mw_count_latency(flows, MW_LATENCY_PLACE, now_us - group->ready_us);
    }
    /* the log said so of the process before, or of another start */
    placement->was_identified = false;
    placement->start_attempts++;
    placement->starts_sent++;
    placement->start_in_flight = true;
    placement->start_sent_us = now_us;
    placement->start_generation = placement->endpoint->generation;
    flows->counters.starts++;
    mw_emit_task_event(flows, "start", placement,
                       placement->start_attempts > 1 ? "sent_again" : "sent",
                       now_us - placement->endpoint->last_contact_us);
    transmit(flows, now_us, placement->endpoint, pending, &command);
}

static void
transmit_stop(struct mw_flows *flows, int64_t now_us,
              struct mw_flow_endpoint *endpoint,
              struct mw_flow_pending_command *pending,
              const struct mw_task_placement *placement)
{
    struct mw_flow_command command = {0};

    flows->counters.stops++;
    if (placement) {
        mw_emit_task_event(flows, "stop", placement, "sent",
                           now_us - endpoint->last_contact_us);
    }
    transmit(flows, now_us, endpoint, pending, &command);
}

/* The start leaves the queue without being sent. */
static void
withdraw_start(struct mw_flows *flows, int64_t now_us,
               struct mw_task_placement *placement, const char *reason)
{
    placement->command_pending = false;
    flows->counters.starts_withdrawn++;
    if (placement->start_unanswered) {
        /* an earlier start may still be executed */
        mw_give_up_start(flows, now_us, placement);
    }
    else {
        mw_lose_run(flows, now_us, placement, reason);
    }
}

/* Sends a command that has left the queue, if it is still wanted. */
static void
send_or_withdraw(struct mw_flows *flows, int64_t now_us,
                 struct mw_flow_pending_command *pending)
{
    struct mw_flow_endpoint *endpoint =
        mw_find_flow_endpoint(flows, &pending->endpoint);
    struct mw_task_placement *placement = NULL;
    bool is_start = pending->kind == MW_FLOW_COMMAND_START;

    if (endpoint && endpoint->generation == pending->generation) {
        placement =
            mw_find_task_placement(endpoint, &pending->task, pending->run);
    }
    else {
        endpoint = NULL;
    }
    if (placement && is_start && placement->phase == MW_PLACEMENT_STARTING) {
        if (now_us - pending->queued_us >= MW_START_QUEUE_TIMEOUT_US ||
            now_us >= mw_start_deadline(flows, placement, now_us)) {
            withdraw_start(flows, now_us, placement, "queue_timeout");
        }
        else if (placement->endpoint->is_contested ||
                 mw_is_muted(placement->endpoint)) {
            /* its list decides which process this start would reach */
            placement->command_pending = false;
            placement->retry_deadline_us = now_us;
        }
        else if (!mw_run_is_wanted(flows, placement)) {
            withdraw_start(flows, now_us, placement, "not_wanted");
        }
        else if (!mw_start_fits(placement, now_us)) {
            withdraw_start(flows, now_us, placement, "no_capacity");
        }
        else if (!mw_start_is_within_cap(flows, placement)) {
            withdraw_start(flows, now_us, placement, "cap_lowered");
        }
        else {
            transmit_start(flows, now_us, pending, placement);
            return;
        }
    }
    else if (endpoint && !is_start && (placement || pending->is_stray)) {
        transmit_stop(flows, now_us, endpoint, pending, placement);
        return;
    }
    g_hash_table_remove(flows->pending_commands, &pending->ref);
}

/* Whether both are starts of the same run of a gang, which are sent together.
 */
static bool
is_same_gang(struct mw_flows *flows, const struct mw_task_id *task,
             uint32_t run, const struct mw_flow_pending_command *next)
{
    struct mw_task_group *group;

    return next && next->kind == MW_FLOW_COMMAND_START && next->run == run &&
           next->task.occurrence == task->occurrence &&
           next->task.step == task->step &&
           mw_name_equal(&next->task.flow, &task->flow) &&
           mw_find_task(flows, task, &group) && group->step->gang;
}

/* Sends the command and, of a gang, the other starts behind it. */
static void
send_with_gang(struct mw_flows *flows, int64_t now_us,
               struct mw_flow_pending_command *pending)
{
    struct mw_command_queue *queue = &flows->command_queue;
    struct mw_task_id task = pending->task;
    uint32_t run = pending->run;
    bool is_start = pending->kind == MW_FLOW_COMMAND_START;

    send_or_withdraw(flows, now_us, pending);
    for (int i = MW_CLASS_URGENT_START; is_start && i < MW_COMMAND_CLASSES;
         i++) {
        while (
            is_same_gang(flows, &task, run,
                         mw_peek_command(queue, (enum mw_command_class)i))) {
            send_or_withdraw(flows, now_us,
                             g_queue_pop_head(&queue->waiting[i]));
        }
    }
}

void
mw_send_waiting_commands(struct mw_flows *flows, int64_t now_us)
{
    struct mw_flow_pending_command *pending;

    if (flows->is_sending || flows->suspended) {
        return;
    }
    flows->is_sending = true;
    pending = mw_pop_command(&flows->command_queue);
    while (pending) {
        send_with_gang(flows, now_us, pending);
        pending = mw_pop_command(&flows->command_queue);
    }
    flows->is_sending = false;
}

void
mw_stop_task_placement(struct mw_flows *flows, int64_t now_us,
                       struct mw_task_placement *placement)
{
    if (placement->phase == MW_PLACEMENT_STOPPING ||
        placement->phase == MW_PLACEMENT_STOPPED) {
        return;
    }
    if (mw_run_is_unsent(placement)) {
        /* a second record undoes the first */
        mw_lose_run(flows, now_us, placement, "not_sent");
        return;
    }
    /* whether the start was answered is not known */
    placement->start_unanswered |= placement->phase == MW_PLACEMENT_UNKNOWN;
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

void
mw_give_up_start(struct mw_flows *flows, int64_t now_us,
                 struct mw_task_placement *placement)
{
    struct mw_task_group *group = placement->group;

    mw_stop_task_placement(flows, now_us, placement);
    if (group->step->gang) {
        mw_stop_task_group(flows, now_us, group);
    }
}

bool
mw_may_long_poll(const struct mw_flow_endpoint *endpoint)
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

static int64_t
wanted_lease(const struct mw_flows *flows)
{
    int64_t lease_us = mw_command_queue_is_late(&flows->command_queue)
                           ? MW_LATE_RENEWAL_LEASE_US
                           : MW_RENEWAL_LEASE_US;

    return MIN(lease_us, flows->limits.lease_max_us - MW_LEASE_MARGIN_US);
}

/* The lease that a renewal may grant now. */
static int64_t
renewal_lease(const struct mw_flows *flows, int64_t now_us,
              const struct mw_flow_endpoint *endpoint)
{
    int64_t wanted_us = wanted_lease(flows);

    if (!mw_has_recorded_identified(endpoint)) {
        return wanted_us;
    }
    return MIN(wanted_us, mw_lease_within_horizon(flows, endpoint, now_us));
}

static void
grant_renewal(struct mw_flows *flows, int64_t now_us,
              struct mw_flow_endpoint *endpoint,
              const struct mw_flow_pending_command *pending,
              struct mw_flow_command *command)
{
    int64_t lease_us = renewal_lease(flows, now_us, endpoint);

    if (lease_us < MW_START_LEASE_US && mw_has_unanswered_grants(endpoint)) {
        /* later renewals may grant more once this is committed */
        mw_record_none_identified(flows, endpoint);
    }
    if (lease_us >= MW_RENEWAL_LEASE_MIN_US) {
        command->lease_deadline_us =
            mw_grant_lease(endpoint, now_us, pending, lease_us);
    }
}

void
mw_send_renewal(struct mw_flows *flows, int64_t now_us,
                struct mw_flow_endpoint *endpoint)
{
    struct mw_flow_pending_command *pending =
        new_pending_command(flows, now_us, endpoint, MW_FLOW_COMMAND_RENEW);
    struct mw_flow_command command = {0};
    bool reachable = endpoint->renewal_failures == 0 &&
                     endpoint->clock_read_us > 0 && !endpoint->is_contested;
    bool identified = reachable && (mw_is_identified(endpoint, now_us) ||
                                    !mw_may_have_unlisted_runs(endpoint));

    /* another process numbers its ends anew */
    if (identified) {
        endpoint->acknowledged_end = endpoint->committed_end;
        command.acknowledged_end = endpoint->committed_end;
    }
    /* a lease that may not arrive would only delay the loss of the runs */
    if (reachable && endpoint->placements->len > 0 && !mw_is_muted(endpoint) &&
        mw_renewal_grant_is_due(endpoint, now_us)) {
        grant_renewal(flows, now_us, endpoint, pending, &command);
    }
    if (reachable && endpoint->list_read && mw_may_long_poll(endpoint) &&
        !mw_is_muted(endpoint) &&
        endpoint->acknowledged_end == endpoint->committed_end) {
        int64_t next_us =
            MIN(mw_next_stall_us(endpoint), mw_next_trial_us(endpoint));

        next_us = MIN(next_us, mw_next_speed_list_us(flows, endpoint, now_us));

        command.long_poll_us =
            CLAMP(next_us - now_us, MW_RENEWAL_LONG_POLL_MIN_US,
                  MW_RENEWAL_LONG_POLL_US);
    }
    endpoint->renewal_pending = true;
    endpoint->renewal_ref = pending->ref;
    flows->counters.holds++;
    transmit(flows, now_us, endpoint, pending, &command);
}
