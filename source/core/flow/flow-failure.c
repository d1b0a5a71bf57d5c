/*
 * flow-failure: how often a task, or a gang, has failed.
 */
#include <glib.h>

#include "flow-failure.h"
#include "flow-task-state.h"

/*
 * The last run of the task whose failure has been recorded or proposed.  A
 * record of an earlier version does not say which run was counted: then it is
 * taken to be the last one, as a failure too many would fail the flow.
 */
static uint32_t
last_counted_run(const struct mw_flow_task *task)
{
    uint32_t run = task->failed_run;

    if (run == 0 && task->failures > 0 && task->state != MW_TASK_ASSIGNED) {
        run = task->run;
    }
    return task->is_failure_proposed ? MAX(run, task->run) : run;
}

bool
mw_failure_counts(const struct mw_task_group *group,
                  const struct mw_listed_run *run)
{
    if (run->end != MW_END_FAILED) {
        return false;
    }
    if (!group->step->gang) {
        return last_counted_run(&group->tasks[run->task.index]) < run->run;
    }
    for (uint32_t i = 0; i < group->step->count; i++) {
        if (last_counted_run(&group->tasks[i]) >= run->run) {
            return false;
        }
    }
    return true;
}

void
mw_record_failure(struct mw_task_record *entry, uint32_t run)
{
    entry->failures++;
    entry->failed_run = run;
}

void
mw_note_proposed_failure(struct mw_task_group *group, uint32_t index)
{
    group->tasks[index].is_failure_proposed = true;
}

static uint32_t
count_failures(const struct mw_task_group *group, uint32_t index)
{
    uint32_t failures = 0;

    if (!group->step->gang) {
        return group->tasks[index].failures;
    }
    for (uint32_t i = 0; i < group->step->count; i++) {
        failures += group->tasks[i].failures;
    }
    return failures;
}

bool
mw_uses_up_attempts(const struct mw_task_group *group, uint32_t index)
{
    return count_failures(group, index) + 1 >= group->flow->route.attempts_max;
}
