#ifndef MW_TOOL_STORY_H
#define MW_TOOL_STORY_H

#include <glib.h>

#include "mimosawind/str.h"

/*
 * story: what became of a job, from the lines of any number of processes.
 *
 * Lines that are not event lines are passed over; what stands in front of
 * the JSON object of a line is ignored.
 */

struct mw_story;

struct mw_story *mw_new_story(void);
void mw_drop_story(struct mw_story *story);

/* mw_add_story_line: one line of a log, in any order. */
void mw_add_story_line(struct mw_story *story, struct mw_str line);

/* mw_tell_story: the lines about one job, then its cause. */
void mw_tell_story(struct mw_story *story, struct mw_str id, GString *out);

/* mw_tell_failures: each job that did not end well at once, by cause. */
void mw_tell_failures(struct mw_story *story, GString *out);

#endif
