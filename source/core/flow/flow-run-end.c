/*
 * flow-run-end: records that runs are over, listed as ended or not.
 *
 * What the leader remembers of an end is set once its record was accepted:
 * until then the endpoint lists the end again.
 */
#include "flow-run-end.h"

#include "flow-command.h"
#include "flow-crash.h"
#include "flow-endpoint-state.h"
#include "flow-event.h"
#include "flow-failure.h"
#include "flow-identified-run.h"
#include "flow-late-start.h"
#include "flow-placement.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"

static struct mw_record *
new_tasks_record(uint32_t entries_max)
{
    struct mw_record *record = mw_new_record(MW_RECORD_TASKS);

    record->tasks.entries = g_new0(struct mw_task_record, entries_max);
    return record;
}

static struct mw_task_record *
add_task_entry(struct mw_record *record, const struct mw_task_group *group,
               uint32_t index, enum mw_task_state state, uint32_t run)
{
    struct mw_task_record *entry =
        &record->tasks.entries[record->tasks.count++];

    mw_init_task_record(group, index, entry);
    entry->state = state;
    entry->run = run;
    return entry;
}

static void
set_checkpoint(struct mw_task_record *entry, struct mw_str text)
{
    if (text.len > 0) {
        mw_drop_blob(entry->checkpoint);
        entry->checkpoint = mw_new_blob(text);
    }
}

/* Frees the entries without content: the log keeps the record for long. */
static void
trim_entries(struct mw_record *record)
{
    record->tasks.entries = g_renew(
        struct mw_task_record, record->tasks.entries, record->tasks.count);
}

/* Proposes the record and drops it; false when it could not be proposed. */
static bool
propose(struct mw_flows *flows, struct mw_record *record)
{
    bool ok;

    if (record->kind == MW_RECORD_TASKS) {
        trim_entries(record);
        ok = mw_propose_tasks(flows, record);
    }
    else {
        ok = flows->output.propose(flows->output.opaque, record) == 0;
    }
    mw_drop_record(record);
    return ok;
}

/* Also of a task that waits again: its last run may still have ended well. */
static bool
is_current_run(const struct mw_flow_task *task, uint32_t run)
{
    return task->run == run && task->state != MW_TASK_DONE;
}

static void
propose_flow_failure(struct mw_flows *flows, struct mw_flow *flow,
                     const char *reason)
{
    struct mw_record *record = mw_new_record(MW_RECORD_FLOW_STATE);

    record->flow_state.id = flow->id;
    record->flow_state.state = MW_FLOW_FAILED;
    flow->end_proposed = propose(flows, record);
    if (flow->end_proposed) {
        mw_emit_flow_event(flows, "flow_failed", &flow->id, reason);
    }
}

void
mw_fail_crashing_flow(struct mw_flows *flows, struct mw_flow *flow)
{
    if (mw_flow_is_open(flow)) {
        propose_flow_failure(flows, flow, "endpoints_crashed");
        flows->counters.crashing_flows += flow->end_proposed;
    }
}

/*
 * Adds the evidence of a run that is over to the record of its task.  The
 * record of the failed flow goes first: no leader may see only this one.
 */
static void
add_crash_score(struct mw_flows *flows, struct mw_task_record *entry,
                const struct mw_task_placement *placement)
{
    if (placement->has_survived && placement->crash_score == 0) {
        entry->crash_score = 0;
    }
    entry->crash_score += placement->crash_score;
    if (mw_crash_limit_is_reached(entry->crash_score)) {
        mw_fail_crashing_flow(flows, placement->group->flow);
    }
}

/* Records of the task contain the evidence from now on. */
static void
keep_crash_score(struct mw_task_placement *placement)
{
    struct mw_flow_task *task = &placement->group->tasks[placement->index];

    task->unrecorded_crash_score += placement->crash_score;
    placement->crash_score = 0;
}

void
mw_lose_run(struct mw_flows *flows, int64_t now_us,
            struct mw_task_placement *placement, const char *reason)
{
    struct mw_task_group *group = placement->group;
    struct mw_flow_task *task = &group->tasks[placement->index];
    bool is_proposed = placement->phase == MW_PLACEMENT_PROPOSED;
    bool is_current = is_proposed || (task->state == MW_TASK_ASSIGNED &&
                                      task->run == placement->run);

    mw_emit_run_over_event(flows, placement, reason, now_us);
    flows->counters.lost_runs += !is_proposed;
    if (is_current && (mw_may_execute_start_late(placement, now_us) ||
                       !mw_may_record_run_over(flows, placement))) {
        keep_crash_score(placement);
        mw_await_late_start(placement);
    }
    else if (is_current) {
        struct mw_record *record = new_tasks_record(1);
        struct mw_task_record *entry = add_task_entry(
            record, group, placement->index, MW_TASK_WAITING, placement->run);

        set_checkpoint(entry, mw_blob_str(placement->checkpoint));
        add_crash_score(flows, entry, placement);
        keep_crash_score(placement);
        propose(flows, record);
    }
    mw_free_task_placement(flows, placement);
    if (is_current && group->step->gang) {
        mw_stop_task_group(flows, now_us, group);
    }
}

bool
mw_return_task(struct mw_flows *flows, struct mw_task_group *group,
               uint32_t index, struct mw_str checkpoint)
{
    struct mw_record *record = new_tasks_record(1);
    struct mw_task_record *entry = add_task_entry(
        record, group, index, MW_TASK_WAITING, group->tasks[index].run);

    set_checkpoint(entry, checkpoint);
    if (mw_crash_limit_is_reached(entry->crash_score)) {
        mw_fail_crashing_flow(flows, group->flow);
    }
    return propose(flows, record);
}

static void
record_done(struct mw_record *record, struct mw_task_group *group,
            const struct mw_listed_run *run)
{
    for (uint32_t i = 0; i < group->step->count; i++) {
        if ((group->step->gang || i == run->task.index) &&
            is_current_run(&group->tasks[i], run->run)) {
            add_task_entry(record, group, i, MW_TASK_DONE, run->run);
        }
    }
}

/*
 * Counts the failure in the record.  The record of the failed flow goes first;
 * returns false if it is refused, as the flow must not go on with this one
 * alone.
 */
static bool
add_failure(struct mw_flows *flows, struct mw_task_record *entry,
            struct mw_task_group *group, const struct mw_listed_run *run)
{
    if (!mw_failure_counts(group, run)) {
        return true;
    }
    if (mw_uses_up_attempts(group, run->task.index)) {
        propose_flow_failure(flows, group->flow, "attempts_used_up");
        if (!group->flow->end_proposed) {
            return false;
        }
    }
    mw_record_failure(entry, run->run);
    return true;
}

/*
 * The task waits already, because the run was taken for lost; it has failed
 * all the same.  Once the task is assigned again, that run is over for good.
 */
static bool
record_late_failure(struct mw_flows *flows, struct mw_record *record,
                    struct mw_task_group *group,
                    const struct mw_listed_run *run)
{
    struct mw_task_record *entry;

    if (!mw_task_is_waiting(&group->tasks[run->task.index]) ||
        !mw_failure_counts(group, run)) {
        return true;
    }
    entry = add_task_entry(record, group, run->task.index, MW_TASK_WAITING,
                           run->run);
    return add_failure(flows, entry, group, run);
}

/*
 * The task waits again, or stays assigned if another start of the run may be
 * executed yet.  Returns false if the end can't be recorded now.
 */
static bool
record_not_done(struct mw_flows *flows, int64_t now_us,
                struct mw_record *record, struct mw_task_group *group,
                const struct mw_task_placement *placement,
                const struct mw_listed_run *run)
{
    const struct mw_flow_task *task = &group->tasks[run->task.index];
    bool is_late = placement && mw_may_execute_start_late(placement, now_us);
    struct mw_task_record *entry;

    if (task->state != MW_TASK_ASSIGNED) {
        return record_late_failure(flows, record, group, run);
    }
    entry =
        add_task_entry(record, group, run->task.index,
                       is_late ? MW_TASK_ASSIGNED : MW_TASK_WAITING, run->run);
    set_checkpoint(entry, run->checkpoint);
    if (run->checkpoint.len > 0) {
        group->newest_checkpoint_index = run->task.index;
    }
    if (placement) {
        add_crash_score(flows, entry, placement);
    }
    return add_failure(flows, entry, group, run);
}

/* The flow has ended; records that the run is no longer on its endpoint. */
static void
record_over(struct mw_record *record, struct mw_task_group *group,
            const struct mw_listed_run *run)
{
    if (group->tasks[run->task.index].state == MW_TASK_ASSIGNED) {
        add_task_entry(record, group, run->task.index, MW_TASK_WAITING,
                       run->run);
    }
}

/* The record of an end, without entries if nothing follows from it; NULL if it
 * can't be recorded now. */
static struct mw_record *
new_end_record(struct mw_flows *flows, int64_t now_us,
               struct mw_task_group *group,
               const struct mw_task_placement *placement,
               const struct mw_listed_run *run)
{
    struct mw_record *record = new_tasks_record(group->step->count);
    bool ok = true;

    if (!is_current_run(&group->tasks[run->task.index], run->run)) {
        return record;
    }
    if (!mw_flow_is_open(group->flow)) {
        record_over(record, group, run);
    }
    else if (run->end == MW_END_DONE) {
        record_done(record, group, run);
    }
    else {
        ok = record_not_done(flows, now_us, record, group, placement, run);
    }
    if (!ok) {
        mw_drop_record(record);
    }
    return ok ? record : NULL;
}

/* What the leader remembers of an end that it has proposed. */
static void
note_proposed_end(struct mw_flows *flows, struct mw_task_group *group,
                  struct mw_task_placement *placement,
                  const struct mw_listed_run *run, bool is_failure,
                  bool stays_assigned)
{
    if (is_failure) {
        mw_note_proposed_failure(group, run->task.index);
        flows->counters.failures++;
    }
    if (placement) {
        keep_crash_score(placement);
    }
    if (stays_assigned) {
        mw_await_late_start(placement);
    }
}

/* Whether the runs that the record ends may be recorded as over now. */
static bool
may_record_ends(struct mw_flows *flows, const struct mw_task_group *group,
                const struct mw_record *record)
{
    for (uint32_t i = 0; i < record->tasks.count; i++) {
        const struct mw_task_record *entry = &record->tasks.entries[i];
        const struct mw_task_placement *placement =
            group->tasks[entry->id.index].placement;

        if (entry->state != MW_TASK_ASSIGNED && placement &&
            placement->run == entry->run &&
            !mw_may_record_run_over(flows, placement)) {
            return false;
        }
    }
    return true;
}

enum mw_end_result
mw_propose_end(struct mw_flows *flows, int64_t now_us,
               struct mw_flow_endpoint *endpoint, struct mw_task_group *group,
               struct mw_task_placement *placement,
               const struct mw_listed_run *run)
{
    struct mw_record *record =
        new_end_record(flows, now_us, group, placement, run);
    struct mw_task_record *entry;
    bool is_failure;
    bool stays_assigned;

    if (!record) {
        return MW_END_REFUSED;
    }
    if (record->tasks.count == 0) {
        mw_drop_record(record);
        return MW_END_CHANGES_NOTHING;
    }
    if (!may_record_ends(flows, group, record)) {
        mw_drop_record(record);
        return MW_END_REFUSED;
    }
    /* on_end_committed() finds the endpoint and its process by this */
    record->tasks.is_listed_end = true;
    entry = &record->tasks.entries[0];
    entry->endpoint = endpoint->id;
    entry->incarnation = endpoint->incarnation;
    stays_assigned = entry->state == MW_TASK_ASSIGNED;
    is_failure =
        entry->failed_run == run->run && mw_failure_counts(group, run);
    if (!propose(flows, record)) {
        return MW_END_REFUSED;
    }
    note_proposed_end(flows, group, placement, run, is_failure,
                      stays_assigned);
    endpoint->uncommitted_ends++;
    return MW_END_PROPOSED;
}
