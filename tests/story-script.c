/*
 * story-script: what mw explain prints for recorded lines of the event log.
 *
 * line TEXT adds a line, explain ID prints what happened to a job and why,
 * failures prints the cause for each job that failed.
 */
#include <string.h>

#include "script.h"
#include "event-trace.h"

struct state {
    struct mw_event_trace *story;
};

static void *
begin(void)
{
    struct state *st = g_new0(struct state, 1);

    st->story = mw_new_event_trace();
    return st;
}

static void
end(void *state)
{
    struct state *st = state;

    mw_drop_event_trace(st->story);
    g_free(st);
}

static void
cmd_line(struct mw_script *s)
{
    struct state *st = s->state;

    mw_add_trace_line(st->story, mw_str_from(s->rest));
}

static void
cmd_explain(struct mw_script *s)
{
    struct state *st = s->state;

    mw_explain_job(st->story, mw_str_from(mw_script_word(s, 1)), s->out);
}

static void
cmd_failures(struct mw_script *s)
{
    struct state *st = s->state;

    mw_explain_failures(st->story, s->out);
}

static const struct mw_script_command commands[] = {
    {"line", 0, cmd_line},
    {"explain", 1, cmd_explain},
    {"failures", 0, cmd_failures},
    {NULL, 0, NULL}};

const struct mw_script_kind mw_story_scripts = {"story", commands, begin, end};
