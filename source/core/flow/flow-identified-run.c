/*
 * flow-identified-run: records of the runs that lists have shown.
 */
#include "flow-identified-run.h"

#include "flow-endpoint-state.h"
#include "flow-late-start.h"
#include "flow-lease.h"
#include "flow-placement-state.h"
#include "flow-placement.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"

/* identified runs in one record; an endpoint's are not parted */
#define IDENTIFIED_RUNS_MAX 256

static const struct mw_flow_task *
get_task(const struct mw_task_placement *placement)
{
    return &placement->group->tasks[placement->index];
}

/* Whether the log assigns the run, and no record of its task is on its way. */
static bool
is_recorded_run(const struct mw_task_placement *placement)
{
    const struct mw_flow_task *task = get_task(placement);

    return task->state == MW_TASK_ASSIGNED && task->run == placement->run &&
           task->uncommitted_records == 0;
}

/* The run is known by a list, and the log does not say so yet. */
static bool
must_record_identified(const struct mw_task_placement *placement,
                       int64_t now_us)
{
    const struct mw_flow_task *task = get_task(placement);

    return mw_is_identified_run(placement, now_us) && !task->is_identified &&
           is_recorded_run(placement);
}

/*
 * Whether the next leader may find that the run is identified.  It does not
 * find a run whose task is recorded as done or waiting.
 */
static bool
may_be_recorded_identified(const struct mw_task_placement *placement)
{
    const struct mw_flow_task *task = get_task(placement);

    if (placement->phase == MW_PLACEMENT_PROPOSED) {
        return false;
    }
    return task->uncommitted_records > 0 ||
           (is_recorded_run(placement) && task->is_identified);
}

bool
mw_has_recorded_identified(const struct mw_flow_endpoint *endpoint)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        if (may_be_recorded_identified(endpoint->placements->pdata[i])) {
            return true;
        }
    }
    return false;
}

static void
add_run(const struct mw_task_placement *placement, bool is_identified,
        GArray *entries)
{
    struct mw_task_record entry;

    mw_init_task_record(placement->group, placement->index, &entry);
    entry.state = MW_TASK_ASSIGNED;
    entry.endpoint = placement->endpoint->id;
    entry.incarnation = is_identified ? placement->endpoint->incarnation
                                      : get_task(placement)->incarnation;
    entry.is_identified = is_identified;
    entry.run_crash_score = placement->crash_score;
    g_array_append_val(entries, entry);
}

/* The log keeps the record for long, so it has no room to spare. */
static bool
propose_runs(struct mw_flows *flows, GArray *entries)
{
    struct mw_record *record = mw_new_record(MW_RECORD_TASKS);
    bool ok;

    record->tasks.count = entries->len;
    record->tasks.entries =
        g_memdup2(entries->data, entries->len * sizeof(struct mw_task_record));
    g_array_unref(entries);
    ok = record->tasks.count == 0 || mw_propose_tasks(flows, record);
    mw_drop_record(record);
    return ok;
}

/* Proposes a record that no run there is identified, but for one (or NULL). */
static bool
record_none_identified(struct mw_flows *flows,
                       const struct mw_flow_endpoint *endpoint,
                       const struct mw_task_placement *except)
{
    GArray *entries = g_array_new(FALSE, TRUE, sizeof(struct mw_task_record));
    bool is_complete = true;

    for (guint i = 0; i < endpoint->placements->len; i++) {
        const struct mw_task_placement *placement =
            endpoint->placements->pdata[i];

        if (placement == except || !may_be_recorded_identified(placement)) {
            continue;
        }
        if (is_recorded_run(placement)) {
            add_run(placement, false, entries);
        }
        else {
            is_complete = false;
        }
    }
    return propose_runs(flows, entries) && is_complete;
}

bool
mw_record_none_identified(struct mw_flows *flows,
                          const struct mw_flow_endpoint *endpoint)
{
    return record_none_identified(flows, endpoint, NULL);
}

bool
mw_may_record_run_over(struct mw_flows *flows,
                       const struct mw_task_placement *placement)
{
    const struct mw_flow_endpoint *endpoint = placement->endpoint;

    if (mw_run_is_unsent(placement) || get_task(placement)->is_identified ||
        (mw_is_within_horizon(flows, endpoint) &&
         !placement->start_in_flight)) {
        return true;
    }
    return record_none_identified(flows, endpoint, placement);
}

static void
add_identified_runs(const struct mw_flow_endpoint *endpoint, int64_t now_us,
                    GArray *entries)
{
    for (guint i = 0; i < endpoint->placements->len; i++) {
        if (must_record_identified(endpoint->placements->pdata[i], now_us)) {
            add_run(endpoint->placements->pdata[i], true, entries);
        }
    }
}

void
mw_record_identified_runs(struct mw_flows *flows, int64_t now_us)
{
    GArray *entries = g_array_new(FALSE, TRUE, sizeof(struct mw_task_record));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, flows->endpoints);
    while (entries->len < IDENTIFIED_RUNS_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_flow_endpoint *endpoint = value;

        if (mw_is_within_horizon(flows, endpoint) &&
            !mw_has_unanswered_grants(endpoint)) {
            add_identified_runs(endpoint, now_us, entries);
        }
    }
    propose_runs(flows, entries);
}
