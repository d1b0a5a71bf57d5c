/*
 * flow-script: the scheduler of flows against endpoints that a script plays.
 *
 * Records are committed at once, or with `commit` after `commits hold`.
 * Orders are numbered in the order of sending; `answer N RESULT` and
 * `list ENDPOINT ...` answer them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decode.h"
#include "mimosawind/flow.h"
#include "script.h"

#define START_US 1000000000
/* heartbeats are numbered from here on */
#define HEARTBEAT_REFS 1000
/* what is due so soon is waited for after each command */
#define SOON_US 20000
#define WALL_US INT64_C(1700000000000000)

struct sent {
    uint64_t ref;
    struct mw_flow_order order;
    bool answered;
};

struct state {
    struct mw_context ctx;
    struct mw_flows *flows;
    struct mw_script *script;
    int64_t now_us;
    uint64_t fence;
    GPtrArray *uncommitted;
    bool hold_commits;
    bool refuse_records;
    GArray *sent;
    GHashTable *beats;
    uint64_t next_request;
    uint64_t beats_sent;
    /* endpoints whose first list, an empty one, has been given */
    GHashTable *first_lists;
    GArray *first_refs;
    bool lists_by_hand;
    bool quiet_events;
};

static int
propose(void *opaque, struct mw_record *record)
{
    struct state *st = opaque;

    if (st->refuse_records) {
        return MW_ERR_NOT_LEADER;
    }
    g_ptr_array_add(st->uncommitted, mw_keep_record(record));
    return 0;
}

static const char *
order_word(enum mw_flow_order_kind kind)
{
    static const char *const words[] = {"start", "stop", "hold"};

    return words[kind];
}

/* The first look at an endpoint; it has nothing, unless lists are by hand. */
static bool
is_first_list(struct state *st, const struct mw_flow_order *o)
{
    char id[MW_NAME_MAX + 1];

    g_snprintf(id, sizeof id, "%.*s", MW_FMT(mw_name_str(&o->endpoint)));
    return !st->lists_by_hand && o->kind == MW_FLOW_HOLD &&
           o->lease_deadline_us == 0 &&
           g_hash_table_add(st->first_lists, g_strdup(id));
}

static void
order(void *opaque, const struct mw_flow_order *o)
{
    struct state *st = opaque;
    struct sent sent = {.ref = o->ref, .order = *o};
    struct mw_str checkpoint = mw_blob_str(o->checkpoint);

    if (is_first_list(st, o)) {
        g_array_append_val(st->first_refs, o->ref);
        return;
    }
    g_array_append_val(st->sent, sent);
    if (o->kind == MW_FLOW_HOLD) {
        mw_say(st->script, "  #%u hold %.*s ack=%d lease=%s wait=%d",
               st->sent->len, MW_FMT(mw_name_str(&o->endpoint)),
               (int)o->acknowledged, o->lease_deadline_us ? "yes" : "no",
               (int)(o->wait_us / 1000));
        return;
    }
    mw_say(st->script, "  #%u %s %.*s.%u.%u.%u run %u on %.*s%s%.*s",
           st->sent->len, order_word(o->kind),
           MW_FMT(mw_name_str(&o->task.flow)), o->task.occurrence,
           o->task.step, o->task.index, o->run,
           MW_FMT(mw_name_str(&o->endpoint)), checkpoint.len ? " from " : "",
           MW_FMT(checkpoint));
}

static void
reply(void *opaque, const struct mw_flow_reply *r)
{
    struct state *st = opaque;
    struct mw_blob *text = mw_format_flow_reply(r);
    struct mw_str body = mw_blob_str(text);

    mw_say(st->script, "  reply %d %d %.*s%s", (int)r->ref,
           mw_flow_reply_status(r), (int)MIN(body.len, 80), body.ptr,
           r->retry_after_us ? " retry-after" : "");
    mw_drop_blob(text);
}

static void
event(void *opaque, const struct mw_flow_event *e)
{
    struct state *st = opaque;

    if (st->quiet_events || strcmp(e->name, "start") == 0 ||
        strcmp(e->name, "stop") == 0) {
        return;
    }
    mw_say(st->script, "  - %s %s %.*s%.*s%s%.*s", e->name, e->outcome,
           MW_FMT(mw_name_str(&e->flow)), MW_FMT(mw_name_str(&e->zone)),
           e->endpoint.len ? " " : "", MW_FMT(mw_name_str(&e->endpoint)));
}

static void
new_flows(struct state *st)
{
    struct mw_flow_bounds bounds = {
        .lease_max_us = 10000000,
        .stop_us = 900000,
        .state_kept_us = 240000000,
    };
    struct mw_flow_output output = {st,
                                    propose,
                                    order,
                                    reply,
                                    event,
                                    mw_decode_flow_config,
                                    mw_decode_flow_plan};

    st->flows = mw_new_flows(&bounds, &output);
}

static void *
begin(void)
{
    struct state *st = g_new0(struct state, 1);

    st->now_us = START_US;
    st->fence = 1;
    st->uncommitted =
        g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_record);
    st->sent = g_array_new(FALSE, TRUE, sizeof(struct sent));
    st->first_lists =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    st->first_refs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    st->beats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    new_flows(st);
    return st;
}

static void
end(void *state)
{
    struct state *st = state;

    mw_drop_flows(st->flows);
    g_ptr_array_unref(st->uncommitted);
    g_array_unref(st->sent);
    g_hash_table_unref(st->beats);
    g_hash_table_unref(st->first_lists);
    g_array_unref(st->first_refs);
    g_free(st);
}

static struct state *
enter(struct mw_script *s)
{
    struct state *st = s->state;

    st->script = s;
    return st;
}

static int64_t
wall(const struct state *st)
{
    return WALL_US + st->now_us - START_US;
}

static void
commit(struct state *st)
{
    while (st->uncommitted->len > 0) {
        struct mw_record *record = g_ptr_array_steal_index(st->uncommitted, 0);

        mw_flows_apply(&st->ctx, st->flows, st->now_us, record);
        mw_drop_record(record);
    }
}

static void
give_first_lists(struct state *st)
{
    while (st->first_refs->len > 0) {
        struct mw_flow_answer answer = {
            .ref = g_array_index(st->first_refs, uint64_t, 0), .listed = true};

        g_array_remove_index(st->first_refs, 0);
        mw_flows_answer(st->flows, st->now_us, &answer);
    }
}

/* Runs until nothing is due now. */
static void
settle(struct state *st)
{
    for (int i = 0; i < 50; i++) {
        if (!st->hold_commits) {
            commit(st);
        }
        give_first_lists(st);

        int64_t due_us = mw_flows_deadline(st->flows);

        if (due_us > st->now_us + SOON_US &&
            (st->hold_commits || st->uncommitted->len == 0)) {
            return;
        }
        if (due_us <= st->now_us + SOON_US) {
            st->now_us = MAX(st->now_us, due_us);
        }
        mw_flows_tick(&st->ctx, st->flows, st->now_us, wall(st));
    }
}

static void
cmd_lead(struct mw_script *s)
{
    struct state *st = enter(s);
    bool lead = strcmp(mw_word(s, 1), "on") == 0;

    st->fence += lead;
    g_hash_table_remove_all(st->first_lists);
    mw_flows_lead(st->flows, st->now_us, lead, st->fence);
    settle(st);
}

static void
cmd_commits(struct mw_script *s)
{
    struct state *st = enter(s);

    st->hold_commits = strcmp(mw_word(s, 1), "hold") == 0;
    settle(st);
}

static void
cmd_commit(struct mw_script *s)
{
    struct state *st = enter(s);

    commit(st);
    settle(st);
}

static void
cmd_records(struct mw_script *s)
{
    struct state *st = enter(s);

    st->refuse_records = strcmp(mw_word(s, 1), "refuse") == 0;
}

static void
cmd_suspend(struct mw_script *s)
{
    struct state *st = enter(s);

    mw_flows_suspend(st->flows, strcmp(mw_word(s, 1), "on") == 0);
    settle(st);
}

static void
cmd_lists(struct mw_script *s)
{
    enter(s)->lists_by_hand = strcmp(mw_word(s, 1), "by-hand") == 0;
}

static void
cmd_quiet(struct mw_script *s)
{
    enter(s)->quiet_events = strcmp(mw_word(s, 1), "on") == 0;
}

static void
add_label(struct mw_beat *beat, const char *text)
{
    if (*text) {
        beat->labels[beat->label_count++] = mw_name_word(text);
    }
}

/* beat ID [born= seq= zone= rack= kind= gpus= cpu= mem= state= address=] */
static void
cmd_beat(struct mw_script *s)
{
    struct state *st = enter(s);
    struct mw_beat *beat = g_hash_table_lookup(st->beats, mw_word(s, 1));
    bool fresh = !beat;
    int err;

    if (fresh) {
        beat = g_new0(struct mw_beat, 1);
        g_hash_table_insert(st->beats, g_strdup(mw_word(s, 1)), beat);
        beat->id = mw_name_word(mw_word(s, 1));
        beat->born = 1000;
        beat->total = (struct mw_flow_amount){32000, 65536, 8};
        beat->zone = mw_name_word("za");
    }
    beat->service = mw_name_word(mw_option(s, "service", "svc"));
    beat->address = mw_name_word(mw_option(s, "address", mw_word(s, 1)));
    beat->zone = mw_name_word(mw_option(s, "zone", "za"));
    beat->seq = (uint64_t)mw_option_int(s, "seq", (int64_t)beat->seq + 1);
    beat->born = (uint64_t)mw_option_int(s, "born", (int64_t)beat->born);
    beat->total.gpus = (uint32_t)mw_option_int(s, "gpus", 8);
    beat->total.cpu = (uint32_t)mw_option_int(s, "cpu", 32000);
    if (!fresh && mw_option_int(s, "born", 0) > 0) {
        g_hash_table_remove(st->first_lists, mw_word(s, 1));
    }
    beat->draining = strcmp(mw_option(s, "state", "ready"), "draining") == 0;
    beat->leaving = strcmp(mw_option(s, "state", "ready"), "leaving") == 0;
    beat->clock_us = st->now_us - START_US;
    beat->label_count = 0;
    add_label(beat, mw_option(s, "kind", "a"));
    add_label(beat, mw_option(s, "rack", "r1"));
    err = mw_flows_beat(st->flows, st->now_us, beat,
                        HEARTBEAT_REFS + ++st->beats_sent);
    if (err) {
        mw_say(s, "  heartbeat %d: %.*s",
               (int)(HEARTBEAT_REFS + st->beats_sent),
               MW_FMT(mw_error_word(err)));
    }
    settle(st);
}

static void
request(struct mw_script *s, enum mw_flow_request_kind kind, const char *path,
        const char *body)
{
    struct state *st = enter(s);
    struct mw_flow_request r = {
        .ref = ++st->next_request,
        .kind = kind,
        .host = mw_str_from("h.example"),
        .path = mw_str_from(path),
        .key = mw_str_from("k1"),
        .body = mw_str_from(body),
    };

    mw_flows_request(&st->ctx, st->flows, st->now_us, wall(st), &r);
    settle(st);
}

/* rest of the line behind the first words */
static const char *
behind(const struct mw_script *s, int words)
{
    const char *at = s->rest;

    for (int i = 1; at && i < words; i++) {
        at = strchr(at, ' ');
        at = at ? at + 1 : NULL;
    }
    return at ? at : "";
}

static void
cmd_config(struct mw_script *s)
{
    request(s, MW_FLOW_CONFIG, "", s->rest);
}

/* setup: three queues of falling urgency, one organisation */
static void
cmd_setup(struct mw_script *s)
{
    char *text = g_strdup_printf(
        "{\"version\":1,\"services\":[{\"name\":\"svc\"}],\"routes\":["
        "{\"name\":\"urgent\",\"host\":\"h.example\",\"path-prefix\":\"/u/\","
        "\"service\":\"svc\",\"priority\":0,\"max-attempts\":2,"
        "\"slack-factor\":1.5,\"target-latency-ms\":250,\"timeout-ms\":3000},"
        "{\"name\":\"gang\",\"host\":\"h.example\",\"path-prefix\":\"/g/\","
        "\"service\":\"svc\",\"priority\":1,\"max-attempts\":3,"
        "\"slack-factor\":3,\"target-latency-ms\":1000,\"timeout-ms\":3000},"
        "{\"name\":\"bulk\",\"host\":\"h.example\",\"path-prefix\":\"/b/\","
        "\"service\":\"svc\",\"priority\":2,\"max-attempts\":2,"
        "\"slack-factor\":3,\"target-latency-ms\":3000,\"timeout-ms\":3000}],"
        "\"tenants\":[{\"name\":\"org\",\"api-keys\":[\"k1\"],"
        "\"guaranteed\":{\"gpus\":%d}}]}",
        (int)mw_option_int(s, "guaranteed", 16));

    request(s, MW_FLOW_CONFIG, "", text);
    g_free(text);
}

static void
cmd_read_config(struct mw_script *s)
{
    request(s, MW_FLOW_READ_CONFIG, "", "");
}

static void
cmd_zone(struct mw_script *s)
{
    request(s,
            strcmp(mw_word(s, 2), "out") == 0 ? MW_FLOW_ZONE_OUT
                                              : MW_FLOW_ZONE_IN,
            mw_word(s, 1), "");
}

/* submit PATH JSON */
static void
cmd_submit(struct mw_script *s)
{
    request(s, MW_FLOW_SUBMIT, mw_word(s, 1), behind(s, 2));
}

static void
cmd_state(struct mw_script *s)
{
    request(s, MW_FLOW_STATE_OF, mw_word(s, 1), "");
}

static void
cmd_cancel(struct mw_script *s)
{
    request(s, MW_FLOW_CANCEL, mw_word(s, 1), "");
}

/* run MS: time passes in steps of 50 ms */
static void
cmd_run(struct mw_script *s)
{
    struct state *st = enter(s);
    int64_t until_us =
        st->now_us + 1000 * (int64_t)g_ascii_strtoll(mw_word(s, 1), NULL, 10);

    while (st->now_us < until_us) {
        st->now_us = MIN(st->now_us + 50000, until_us);
        mw_flows_tick(&st->ctx, st->flows, st->now_us, wall(st));
        settle(st);
    }
}

static enum mw_flow_result
result_word(const char *word)
{
    for (int i = 0; i < MW_FLOW_RESULTS; i++) {
        if (mw_str_equal(mw_flow_result_word((enum mw_flow_result)i),
                         mw_str_from(word))) {
            return (enum mw_flow_result)i;
        }
    }
    return MW_FLOW_NO_ANSWER;
}

static void
give_answer(struct state *st, struct sent *sent, struct mw_flow_answer *answer)
{
    answer->ref = sent->ref;
    answer->has_clock = answer->result != MW_FLOW_NO_ANSWER;
    answer->clock_us = st->now_us - START_US;
    sent->answered = true;
    mw_flows_answer(st->flows, st->now_us, answer);
    settle(st);
}

/* answer N RESULT; N may be FROM-TO */
static void
cmd_answer(struct mw_script *s)
{
    struct state *st = enter(s);
    const char *dash = strchr(mw_word(s, 1), '-');
    guint from = (guint)atoi(mw_word(s, 1));
    guint to = dash ? (guint)atoi(dash + 1) : from;

    for (guint n = from; n <= to && n <= st->sent->len; n++) {
        struct mw_flow_answer answer = {.result = result_word(mw_word(s, 2))};

        give_answer(st, &g_array_index(st->sent, struct sent, n - 1), &answer);
    }
}

static struct mw_task_id
parse_task(const char *text)
{
    struct mw_task_id id = {0};
    const char *dot = strchr(text, '.');

    id.flow = mw_name_of(
        (struct mw_str){text, dot ? (size_t)(dot - text) : strlen(text)});
    if (dot) {
        sscanf(dot, ".%u.%u.%u", &id.occurrence, &id.step, &id.index);
    }
    return id;
}

static enum mw_run_end
end_word(const char *word)
{
    for (int i = MW_END_DONE; i <= MW_END_ALONE; i++) {
        if (mw_str_equal(mw_run_end_word((enum mw_run_end)i),
                         mw_str_from(word))) {
            return (enum mw_run_end)i;
        }
    }
    return MW_END_LAPSED;
}

/* TASK/RUN/PERCENT[/SAVED] runs, N/TASK/RUN/HOW[/SAVED] has ended */
static void
parse_run(char **parts, struct mw_listed_run *run)
{
    guint n = g_strv_length(parts);
    bool ended = g_ascii_isdigit(parts[0][0]) && !strchr(parts[0], '.');

    run->ended = ended;
    run->number = ended ? (uint64_t)atoi(parts[0]) : 0;
    run->task = parse_task(parts[ended]);
    run->run = (uint32_t)atoi(parts[1 + ended]);
    if (ended) {
        run->end = end_word(parts[3]);
    }
    else {
        run->percent = (uint32_t)atoi(parts[2]);
    }
    if (n > (guint)(3 + ended)) {
        run->checkpoint = mw_str_from(parts[3 + ended]);
    }
}

/* list ENDPOINT RUN...: answers the endpoint's last hold */
static void
cmd_list(struct mw_script *s)
{
    struct state *st = enter(s);
    struct mw_name endpoint = mw_name_word(mw_word(s, 1));
    struct mw_listed_run *runs =
        g_new0(struct mw_listed_run, MW_SCRIPT_WORDS_MAX);
    char **parts[MW_SCRIPT_WORDS_MAX] = {NULL};
    struct mw_flow_answer answer = {.listed = true, .runs = runs};

    for (int i = 2; i < s->word_count; i++) {
        parts[i] = g_strsplit(mw_word(s, i), "/", 0);
        parse_run(parts[i], &runs[answer.run_count++]);
    }
    for (guint n = st->sent->len; n > 0; n--) {
        struct sent *sent = &g_array_index(st->sent, struct sent, n - 1);

        if (!sent->answered && sent->order.kind == MW_FLOW_HOLD &&
            mw_name_equal(&sent->order.endpoint, &endpoint)) {
            give_answer(st, sent, &answer);
            break;
        }
        if (n == 1) {
            mw_say(s, "  nothing to list for %s", mw_word(s, 1));
        }
    }
    for (int i = 2; i < s->word_count; i++) {
        g_strfreev(parts[i]);
    }
    g_free(runs);
}

static void
keep_record(void *out, struct mw_record *record)
{
    g_ptr_array_add(out, mw_keep_record(record));
}

/* snapshot: a second process takes the state over from the records */
static void
cmd_snapshot(struct mw_script *s)
{
    struct state *st = enter(s);
    GPtrArray *records =
        g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_record);

    mw_flows_collect(st->flows, records, keep_record);
    mw_say(s, "  %u records", records->len);
    mw_drop_flows(st->flows);
    new_flows(st);
    for (guint i = 0; i < records->len; i++) {
        mw_flows_apply(&st->ctx, st->flows, st->now_us, records->pdata[i]);
    }
    g_ptr_array_unref(records);
}

static const struct mw_script_command commands[] = {
    {"lead", 1, cmd_lead},
    {"commits", 1, cmd_commits},
    {"commit", 0, cmd_commit},
    {"records", 1, cmd_records},
    {"lists", 1, cmd_lists},
    {"suspend", 1, cmd_suspend},
    {"quiet", 1, cmd_quiet},
    {"beat", 1, cmd_beat},
    {"config", 0, cmd_config},
    {"setup", 0, cmd_setup},
    {"read-config", 0, cmd_read_config},
    {"zone", 2, cmd_zone},
    {"submit", 1, cmd_submit},
    {"state", 1, cmd_state},
    {"cancel", 1, cmd_cancel},
    {"run", 1, cmd_run},
    {"answer", 2, cmd_answer},
    {"list", 1, cmd_list},
    {"snapshot", 0, cmd_snapshot},
    {NULL, 0, NULL}};

const struct mw_script_kind mw_flow_scripts = {"flow", commands, begin, end};
