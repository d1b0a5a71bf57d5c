#include "story.h"

#include <jansson.h>
#include <string.h>

#define US_PER_S 1e6
/* a job that waited longer for its first start is told as late */
#define LATE_START_US 1000000

struct line {
    int64_t at_us;
    guint number;
    json_t *object;
};

struct mw_story {
    GArray *lines;
    bool sorted;
};

static void
free_line(void *data)
{
    json_decref(((struct line *)data)->object);
}

struct mw_story *
mw_new_story(void)
{
    struct mw_story *story = g_new0(struct mw_story, 1);

    story->lines = g_array_new(FALSE, FALSE, sizeof(struct line));
    g_array_set_clear_func(story->lines, free_line);
    return story;
}

void
mw_drop_story(struct mw_story *story)
{
    g_array_unref(story->lines);
    g_free(story);
}

void
mw_add_story_line(struct mw_story *story, struct mw_str text)
{
    const char *at = text.len ? memchr(text.ptr, '{', text.len) : NULL;
    struct line line = {.number = story->lines->len};

    if (!at) {
        return;
    }
    line.object = json_loadb(at, text.len - (size_t)(at - text.ptr),
                             JSON_DISABLE_EOF_CHECK, NULL);
    if (!json_is_string(json_object_get(line.object, "event"))) {
        json_decref(line.object);
        return;
    }
    line.at_us = json_integer_value(json_object_get(line.object, "t_us"));
    g_array_append_val(story->lines, line);
    story->sorted = false;
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
    const struct line *x = a;
    const struct line *y = b;

    if (x->at_us != y->at_us) {
        return x->at_us < y->at_us ? -1 : 1;
    }
    return x->number < y->number ? -1 : x->number > y->number;
}

static const char *
word(const struct line *line, const char *key)
{
    const char *value = json_string_value(json_object_get(line->object, key));

    return value ? value : "";
}

static bool
is(const struct line *line, const char *event, const char *outcome)
{
    return strcmp(word(line, "event"), event) == 0 &&
           (!outcome || strcmp(word(line, "outcome"), outcome) == 0);
}

/* facts: what the lines about one job add up to. */
struct facts {
    int64_t first_us;
    int64_t accepted_us;
    int64_t started_us;
    int64_t ended_us;
    const char *end;
    const char *refused;
    bool undecided;
    bool timed_out;
    guint failed;
    guint preempted;
    guint lost;
    guint stalled;
    const char *lost_why;
    GString *failed_on;
};

static void
note_event(struct facts *f, const struct line *line)
{
    if (is(line, "accepted", NULL) && f->accepted_us == 0) {
        f->accepted_us = line->at_us;
    }
    else if (is(line, "start", "sent") && f->started_us == 0) {
        f->started_us = line->at_us;
    }
    else if (is(line, "flow_ended", NULL)) {
        f->ended_us = line->at_us;
        f->end = word(line, "outcome");
    }
    else if (is(line, "refused", NULL)) {
        f->refused = word(line, "outcome");
    }
    else if (is(line, "run_ended", "failed")) {
        f->failed++;
        g_string_append_printf(f->failed_on, " %s", word(line, "endpoint"));
    }
    else if (is(line, "run_over", NULL) && !is(line, "run_over", "stopped") &&
             !is(line, "run_over", "not_sent")) {
        f->lost++;
        f->lost_why = word(line, "outcome");
    }
    f->undecided |= is(line, "undecided", NULL);
    f->timed_out |= is(line, "timed_out", NULL);
    f->preempted += is(line, "preempted", NULL);
    f->stalled += is(line, "stalled", NULL);
}

static struct facts
gather(struct mw_story *story, const char *id)
{
    struct facts f = {.failed_on = g_string_new(NULL)};

    if (!story->sorted) {
        g_array_sort(story->lines, by_time);
        story->sorted = true;
    }
    for (guint i = 0; i < story->lines->len; i++) {
        const struct line *line = &g_array_index(story->lines, struct line, i);

        if (strcmp(word(line, "id"), id) == 0) {
            if (f.first_us == 0) {
                f.first_us = line->at_us;
            }
            note_event(&f, line);
        }
    }
    return f;
}

static void
tell_runs(const struct facts *f, GString *out)
{
    if (f->failed > 0) {
        g_string_append_printf(out, "; %u runs failed on%s", f->failed,
                               f->failed_on->str);
    }
    if (f->preempted > 0) {
        g_string_append_printf(out, "; stopped %u times for urgent work",
                               f->preempted);
    }
    if (f->stalled > 0) {
        g_string_append_printf(out, "; stood still %u times", f->stalled);
    }
    if (f->lost > 0) {
        g_string_append_printf(out, "; %u runs lost (%s)", f->lost,
                               f->lost_why);
    }
}

static void
tell_cause(const struct facts *f, GString *out)
{
    if (f->accepted_us == 0 && f->refused) {
        g_string_append_printf(out, "refused: %s", f->refused);
    }
    else if (f->accepted_us == 0 && f->undecided) {
        g_string_append(out, "undecided: the leader changed before the "
                             "record was committed");
    }
    else if (f->accepted_us == 0 && f->timed_out) {
        g_string_append(out, "no answer from the leader in time");
    }
    else if (f->accepted_us == 0) {
        g_string_append(out, "the line of its acceptance is missing: the "
                             "logs of the leader of that time are not here, "
                             "or were cut");
    }
    else if (!f->end) {
        g_string_append(out, f->started_us ? "started and not ended"
                                           : "accepted and never started");
    }
    else {
        g_string_append_printf(out, "%s after %.3f s", f->end,
                               (double)(f->ended_us - f->accepted_us) /
                                   US_PER_S);
    }
    if (f->started_us - f->accepted_us > LATE_START_US && f->accepted_us) {
        g_string_append_printf(out, "; waited %.3f s for room",
                               (double)(f->started_us - f->accepted_us) /
                                   US_PER_S);
    }
    tell_runs(f, out);
}

static void
tell_line(const struct line *line, int64_t from_us, GString *out)
{
    json_t *age = json_object_get(line->object, "age_us");

    g_string_append_printf(
        out, "%+10.3f s %s %s %s", (double)(line->at_us - from_us) / US_PER_S,
        word(line, "process"), word(line, "event"), word(line, "outcome"));
    if (*word(line, "task")) {
        g_string_append_printf(
            out, " task %s run %d", word(line, "task"),
            (int)json_integer_value(json_object_get(line->object, "run")));
    }
    if (*word(line, "endpoint")) {
        g_string_append_printf(out, " at %s", word(line, "endpoint"));
    }
    if (age) {
        g_string_append_printf(out, " (age %.3f s)",
                               (double)json_integer_value(age) / US_PER_S);
    }
    g_string_append_c(out, '\n');
}

/* Lines of all that may matter while the job lived. */
static bool
is_context(const struct line *line, const struct facts *f)
{
    bool lived = line->at_us >= f->first_us &&
                 (f->ended_us == 0 || line->at_us <= f->ended_us);

    return lived &&
           (is(line, "lead", NULL) || is(line, "lines_dropped", NULL));
}

void
mw_tell_story(struct mw_story *story, struct mw_str id, GString *out)
{
    char *text = g_strndup(id.ptr, id.len);
    struct facts f = gather(story, text);

    for (guint i = 0; i < story->lines->len; i++) {
        const struct line *line = &g_array_index(story->lines, struct line, i);

        if (strcmp(word(line, "id"), text) == 0 || is_context(line, &f)) {
            tell_line(line, f.first_us, out);
        }
    }
    g_string_append_printf(out, "%s: ", text);
    if (f.first_us == 0) {
        g_string_append(out, "no line names it");
    }
    else {
        tell_cause(&f, out);
    }
    g_string_append_c(out, '\n');
    g_string_free(f.failed_on, TRUE);
    g_free(text);
}

static bool
is_failure(const struct facts *f)
{
    bool ended_well = f->end && strcmp(f->end, "failed") != 0;

    return !ended_well || f->failed > 0 || f->preempted > 0 || f->lost > 0 ||
           f->started_us - f->accepted_us > LATE_START_US;
}

void
mw_tell_failures(struct mw_story *story, GString *out)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    guint count = 0;

    for (guint i = 0; i < story->lines->len; i++) {
        const struct line *line = &g_array_index(story->lines, struct line, i);
        const char *id = word(line, "id");
        struct facts f;

        if (strlen(id) != 16 || !g_hash_table_add(seen, (gpointer)id)) {
            continue;
        }
        f = gather(story, id);
        if (is_failure(&f)) {
            count++;
            g_string_append_printf(out, "%s: ", id);
            tell_cause(&f, out);
            g_string_append_c(out, '\n');
        }
        g_string_free(f.failed_on, TRUE);
    }
    g_string_append_printf(out, "%u of %u jobs\n", count,
                           g_hash_table_size(seen));
    g_hash_table_unref(seen);
}
