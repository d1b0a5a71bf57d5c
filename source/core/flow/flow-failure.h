#ifndef MW_CORE_FLOW_FAILURE_H
#define MW_CORE_FLOW_FAILURE_H

#include "mimosawind/flow.h"

/*
 * flow-failure: how often a task, or a gang, has failed.
 *
 * A run of a task counts once, and so does a run of a gang, however many of
 * its tasks fail, and whichever leader reads the ends: each record of a
 * failure states its run.  An end that is listed again is one of a run that
 * has been counted.
 */

struct mw_task_group;

/*
 * mw_failure_counts: whether the end of a run of the task is a failure that
 * has been neither recorded nor proposed by this leader.
 */
bool mw_failure_counts(const struct mw_task_group *group,
                       const struct mw_listed_run *run);

/* mw_record_failure: counts the run in a record of its task. */
void mw_record_failure(struct mw_task_record *entry, uint32_t run);

/* mw_note_proposed_failure: a record that counts the last run was proposed. */
void mw_note_proposed_failure(struct mw_task_group *group, uint32_t index);

/*
 * mw_uses_up_attempts: whether one more failure of the task is the last that
 * its flow may have.
 */
bool mw_uses_up_attempts(const struct mw_task_group *group, uint32_t index);

#endif
