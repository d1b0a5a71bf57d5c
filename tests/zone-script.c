/*
 * zone-script: the scheduler of one zone, with fake endpoints that carry
 * out orders at once and finish when the script says so.
 *
 * After every command the guarantee is judged by the oracle, the books are
 * compared with the jobs, and the endpoints' side is checked: no request
 * marked as non-idempotent starts under two attempts, no attempt of a gang
 * runs in part for longer than a few seconds, nothing starts while the zone is
 * out.
 */
#include <string.h>

#include "oracle.h"
#include "script.h"

#define STEP_US 50000
#define ANNOUNCE_US 500000
/* a start order can get lost; the rest is stopped within this time */
#define IN_PART_US 5000000

/* A task part as the endpoint sees it. */
struct part {
    struct mw_attempt_id attempt;
    struct mw_name endpoint;
    bool running;
};

struct host {
    struct mw_announce announce;
    bool silent;
    bool mute;
    bool refusing;
    bool failing;
    int64_t announce_deadline_us;
};

struct state {
    struct mw_context ctx;
    struct mw_zone *zone;
    struct mw_name name;
    int64_t now_us;
    GQueue records;
    GQueue orders;
    GPtrArray *hosts;
    GPtrArray *parts;
    GHashTable *attempts_of;
    /* since when a job has been running in part */
    GHashTable *in_part_since;
    GString *fault;
    GString *json;
    bool first_guarantee;
    uint64_t version;
    uint64_t sequence;
    uint64_t next_ref;
    bool may_record;
    bool quiet;
    struct mw_script *script;
    unsigned judged;
    unsigned undecided;
    unsigned said_lost;
    unsigned answers;
    gsize output_size;
    GRand *rand;
};

static int
on_propose(void *opaque, struct mw_record *record)
{
    struct state *st = opaque;

    g_queue_push_tail(&st->records, mw_keep_record(record));
    return 0;
}

static bool
on_may_record(void *opaque)
{
    struct state *st = opaque;

    return st->may_record;
}

static void
on_order(void *opaque, const struct mw_order *order)
{
    struct state *st = opaque;
    struct mw_order *copy = g_memdup2(order, sizeof *order);

    copy->body = mw_keep_blob(order->body);
    g_queue_push_tail(&st->orders, copy);
}

static void
on_answer(void *opaque, const struct mw_waiter *waiter,
          const struct mw_answer *answer)
{
    struct state *st = opaque;

    st->answers++;
    if (!st->quiet) {
        mw_say(st->script, "  %.*s: %.*s %.*s%s%.*s",
               MW_FMT(mw_name_str(&waiter->key.request)),
               MW_FMT(answer->error ? mw_error_word(answer->error)
                                    : mw_job_state_word(answer->state)),
               MW_FMT(mw_ran_word(answer->ran)), answer->detail.len ? " " : "",
               MW_FMT(answer->detail));
    }
}

static bool
on_target(void *opaque, const struct mw_shape *shape, struct mw_name *zone)
{
    (void)opaque;
    *zone = mw_name_word("zb");
    /* the other zone takes what is sent away, and is never idle */
    return shape == NULL;
}

static uint64_t
on_deliver(void *opaque, const struct mw_name *zone,
           const struct mw_job_spec *spec, struct mw_blob *body)
{
    struct state *st = opaque;

    (void)body;
    if (!st->quiet) {
        mw_say(st->script, "  handed %.*s to %.*s",
               MW_FMT(mw_name_str(&spec->key.request)),
               MW_FMT(mw_name_str(zone)));
    }
    return 1;
}

static void
new_zone(struct state *st)
{
    struct mw_zone_output output = {st,        on_propose, on_may_record,
                                    on_order,  on_answer,  on_target,
                                    on_deliver};

    st->zone = mw_new_zone(&st->name, &output);
}

static void *
begin(void)
{
    struct state *st = g_new0(struct state, 1);

    st->name = mw_name_word("za");
    st->now_us = 1000000;
    st->may_record = true;
    st->hosts = g_ptr_array_new_with_free_func(g_free);
    st->parts = g_ptr_array_new_with_free_func(g_free);
    st->attempts_of =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    st->in_part_since =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    st->fault = g_string_new(NULL);
    st->json = g_string_new(NULL);
    st->rand = g_rand_new_with_seed(1);
    new_zone(st);
    mw_zone_lead(&st->ctx, st->zone, st->now_us, MW_LEAD_RECORDS, 1);
    return st;
}

static void
free_order(void *data)
{
    struct mw_order *order = data;

    mw_drop_blob(order->body);
    g_free(order);
}

static void
end(void *state)
{
    struct state *st = state;

    mw_drop_zone(st->zone);
    g_queue_clear_full(&st->records, (GDestroyNotify)mw_drop_record);
    g_queue_clear_full(&st->orders, free_order);
    g_ptr_array_unref(st->hosts);
    g_ptr_array_unref(st->parts);
    g_hash_table_unref(st->attempts_of);
    g_hash_table_unref(st->in_part_since);
    g_string_free(st->fault, TRUE);
    g_string_free(st->json, TRUE);
    g_rand_free(st->rand);
    g_free(st);
}

static struct host *
find_host(struct state *st, const struct mw_name *name)
{
    for (guint i = 0; i < st->hosts->len; i++) {
        struct host *host = st->hosts->pdata[i];

        if (mw_name_equal(&host->announce.endpoint, name)) {
            return host;
        }
    }
    return NULL;
}

static struct part *
find_part(struct state *st, const struct mw_attempt_id *attempt,
          const struct mw_name *endpoint)
{
    for (guint i = 0; i < st->parts->len; i++) {
        struct part *part = st->parts->pdata[i];

        if (mw_attempt_equal(&part->attempt, attempt) &&
            mw_name_equal(&part->endpoint, endpoint)) {
            return part;
        }
    }
    return NULL;
}

static void
report(struct state *st, const struct mw_attempt_id *attempt,
       const struct mw_name *endpoint, enum mw_outcome outcome)
{
    struct mw_report r = {
        .outcome = outcome, .attempt = *attempt, .endpoint = *endpoint};

    if (outcome == MW_OUTCOME_FINISHED) {
        char *text = g_strnfill(MAX(st->output_size, 4), 'o');

        r.output = mw_new_blob(mw_str_from(text));
        g_free(text);
    }
    mw_zone_report(&st->ctx, st->zone, st->now_us, &r);
    mw_drop_blob(r.output);
}

/* A start: the place where doubled jobs are counted. */
static void
note_start(struct state *st, const struct mw_order *order)
{
    char *key = g_strdup_printf("%" G_GUINT64_FORMAT, order->attempt.job);
    gpointer known = g_hash_table_lookup(st->attempts_of, key);
    gpointer attempt = GUINT_TO_POINTER(order->attempt.number);

    if (known && known != attempt && !order->idempotent) {
        g_string_append_printf(st->fault, "job %s started twice; ", key);
    }
    if (mw_zone_is_out(st->zone)) {
        g_string_append_printf(st->fault, "job %s started while out; ", key);
    }
    if (!order->idempotent) {
        g_hash_table_replace(st->attempts_of, key, attempt);
    }
    else {
        g_free(key);
    }
}

static void
carry_start(struct state *st, const struct mw_order *order,
            const struct host *host)
{
    struct part *part = find_part(st, &order->attempt, &order->endpoint);

    note_start(st, order);
    if (!part) {
        part = g_new0(struct part, 1);
        part->attempt = order->attempt;
        part->endpoint = order->endpoint;
        g_ptr_array_add(st->parts, part);
    }
    part->running = true;
    if (host->failing) {
        g_ptr_array_remove(st->parts, part);
        report(st, &order->attempt, &order->endpoint, MW_OUTCOME_FAILED);
        return;
    }
    report(st, &order->attempt, &order->endpoint, MW_OUTCOME_STARTED);
}

static void
carry_stop(struct state *st, const struct mw_order *order)
{
    struct part *part = find_part(st, &order->attempt, &order->endpoint);

    if (!part) {
        report(st, &order->attempt, &order->endpoint, MW_OUTCOME_ABSENT);
        return;
    }
    g_ptr_array_remove(st->parts, part);
    report(st, &order->attempt, &order->endpoint, MW_OUTCOME_STOPPED);
}

static void
carry_out(struct state *st, const struct mw_order *order)
{
    struct host *host = find_host(st, &order->endpoint);
    struct part *part = find_part(st, &order->attempt, &order->endpoint);

    if (!host || host->silent || host->mute) {
        return;
    }
    switch (order->kind) {
    case MW_ORDER_RESERVE:
        report(st, &order->attempt, &order->endpoint,
               host->refusing ? MW_OUTCOME_REFUSED : MW_OUTCOME_RESERVED);
        break;
    case MW_ORDER_START:
        carry_start(st, order, host);
        break;
    case MW_ORDER_STOP:
        carry_stop(st, order);
        break;
    case MW_ORDER_ASK:
        report(st, &order->attempt, &order->endpoint,
               part ? MW_OUTCOME_STARTED : MW_OUTCOME_ABSENT);
        break;
    default:
        break;
    }
}

/* Records and orders until there are none. */
static void
settle(struct state *st)
{
    for (int i = 0; i < 100000; i++) {
        struct mw_record *record = g_queue_pop_head(&st->records);
        struct mw_order *order = record ? NULL : g_queue_pop_head(&st->orders);

        if (record) {
            mw_zone_apply(&st->ctx, st->zone, st->now_us, record);
            mw_drop_record(record);
        }
        else if (order) {
            carry_out(st, order);
            free_order(order);
        }
        mw_zone_tick(&st->ctx, st->zone, st->now_us);
        if (!record && !order && st->records.length == 0 &&
            st->orders.length == 0) {
            return;
        }
    }
    g_string_append(st->fault, "orders never settle; ");
}

struct gang_check {
    struct state *st;
    const struct mw_job_view *job;
    unsigned running;
    unsigned silent;
};

static void
count_part(void *opaque, const struct mw_part *part)
{
    struct gang_check *check = opaque;
    struct host *host = find_host(check->st, &part->endpoint);

    for (guint i = 0; i < check->st->parts->len; i++) {
        struct part *p = check->st->parts->pdata[i];

        if (p->attempt.job == check->job->id &&
            p->attempt.epoch == check->job->epoch &&
            p->attempt.number == check->job->attempts &&
            mw_name_equal(&p->endpoint, &part->endpoint)) {
            check->running += p->running;
        }
    }
    check->silent += host && (host->silent || host->mute);
}

static void
check_gang(void *opaque, const struct mw_job_view *view)
{
    struct gang_check check = {opaque, view, 0, 0};

    mw_zone_each_part(check.st->zone, view->id, &check, count_part);
    bool in_part = view->state == MW_JOB_RUNNING && check.silent == 0 &&
                   check.running > 0 && check.running < view->part_count;
    int64_t *since = g_hash_table_lookup(check.st->in_part_since, &view->id);

    if (!in_part) {
        g_hash_table_remove(check.st->in_part_since, &view->id);
    }
    else if (!since) {
        uint64_t *id = g_memdup2(&view->id, sizeof view->id);

        since = g_memdup2(&check.st->now_us, sizeof *since);
        g_hash_table_insert(check.st->in_part_since, id, since);
    }
    else if (check.st->now_us - *since > IN_PART_US) {
        g_string_append_printf(check.st->fault,
                               "%.*s runs in part: %u of %u; ",
                               MW_FMT(mw_name_str(&view->spec->key.request)),
                               check.running, view->part_count);
    }
}

static void
check(struct state *st)
{
    enum mw_verdict verdict = mw_oracle_judge(st->zone);

    st->judged++;
    if (verdict == MW_BROKEN) {
        g_string_append(st->fault, "guarantee broken; ");
    }
    st->undecided += verdict == MW_UNDECIDED;
    st->said_lost += verdict == MW_REPORTED_UNPLACED;
    mw_oracle_check_accounting(st->zone, st->fault);
    mw_zone_each_job(st->zone, st, check_gang);
}

static void
settle_and_check(struct mw_script *s)
{
    struct state *st = s->state;

    st->script = s;
    settle(st);
    check(st);
    if (st->fault->len > 0) {
        mw_say(s, "FAULT: %s", st->fault->str);
        g_string_set_size(st->fault, 0);
    }
}

static void
announce(struct state *st, struct host *host)
{
    GArray *listed = g_array_new(FALSE, FALSE, sizeof(struct mw_listed));

    for (guint i = 0; i < st->parts->len; i++) {
        struct part *part = st->parts->pdata[i];
        struct mw_listed one = {.attempt = part->attempt};

        if (mw_name_equal(&part->endpoint, &host->announce.endpoint)) {
            g_array_append_val(listed, one);
        }
    }
    host->announce.listed = (struct mw_listed *)(void *)listed->data;
    host->announce.listed_count = listed->len;
    mw_zone_announce(&st->ctx, st->zone, st->now_us, &host->announce);
    host->announce.listed = NULL;
    host->announce.listed_count = 0;
    g_array_unref(listed);
}

static void
advance(struct state *st, int64_t us)
{
    int64_t until = st->now_us + us;

    while (st->now_us < until) {
        st->now_us += STEP_US;
        for (guint i = 0; i < st->hosts->len; i++) {
            struct host *host = st->hosts->pdata[i];

            if (!host->silent && st->now_us >= host->announce_deadline_us) {
                host->announce_deadline_us = st->now_us + ANNOUNCE_US;
                announce(st, host);
            }
        }
        settle(st);
    }
}

static void
cmd_endpoints(struct mw_script *s)
{
    struct state *st = s->state;
    int count = (int)mw_option_int(s, "count", 1);
    int per_rack = (int)mw_option_int(s, "per-rack", 8);

    for (int i = 0; i < count; i++) {
        struct host *host = g_new0(struct host, 1);
        char *name = g_strdup_printf("%s%d", mw_word(s, 1), i);
        char *rack = g_strdup_printf("%s-rack%d", mw_word(s, 1), i / per_rack);

        host->announce.endpoint = mw_name_word(name);
        host->announce.rack = mw_name_word(rack);
        host->announce.incarnation = 1;
        host->announce.total = (struct mw_amount){
            .accelerators = (uint32_t)mw_option_int(s, "accelerators", 8),
            .slots = (uint32_t)mw_option_int(s, "slots", 8),
            .processors = (uint32_t)mw_option_int(s, "processors", 32),
            .memory_mb = (uint32_t)mw_option_int(s, "memory", 65536),
        };
        g_ptr_array_add(st->hosts, host);
        announce(st, host);
        g_free(name);
        g_free(rack);
    }
    settle_and_check(s);
}

static void
read_shape(struct mw_script *s, struct mw_shape *shape)
{
    const char *adjacent = mw_option(s, "adjacent", "zone");

    shape->tasks = (uint32_t)mw_option_int(s, "tasks", 1);
    shape->need.accelerators = (uint32_t)mw_option_int(s, "accelerators", 1);
    shape->need.slots = 1;
    shape->need.processors = (uint32_t)mw_option_int(s, "processors", 1);
    shape->need.memory_mb = (uint32_t)mw_option_int(s, "memory", 1024);
    shape->adjacent = strcmp(adjacent, "rack") == 0 ? MW_ADJACENT_RACK
                      : strcmp(adjacent, "endpoint") == 0
                          ? MW_ADJACENT_ENDPOINT
                          : MW_ADJACENT_ZONE;
}

static void
cmd_guarantee(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_shape shape;
    static const char *const words[] = {"zone", "rack", "endpoint"};

    read_shape(s, &shape);
    g_string_append_printf(
        st->json,
        "%s{\"name\":\"%s\",\"token_sha256\":\"%064d\",\"queued_max\":%d",
        st->json->len ? "," : "", mw_word(s, 1), 0,
        (int)mw_option_int(s, "queued", 10000));
    if (mw_option_int(s, "count", 0) > 0) {
        g_string_append_printf(
            st->json,
            ",\"guarantees\":[{\"zone\":\"za\",\"count\":%d,\"tasks\":%u,"
            "\"accelerators\":%u,\"processors\":%u,\"memory_mb\":%u,"
            "\"adjacent\":\"%s\"}]",
            (int)mw_option_int(s, "count", 1), shape.tasks,
            shape.need.accelerators, shape.need.processors,
            shape.need.memory_mb, words[shape.adjacent]);
    }
    g_string_append(st->json, "}");
}

static void
cmd_document(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_record *record = mw_new_record(MW_RECORD_DOCUMENT);
    int err = 0;
    char *text = g_strdup_printf(
        "{\"version\":%d,\"on_out\":\"%s\",\"zones\":[{\"name\":\"za\"},"
        "{\"name\":\"zb\"}],\"organisations\":[%s]}",
        (int)++st->version, mw_option(s, "on-out", "checkpoint"),
        st->json->str);

    st->script = s;
    record->document.environment = MW_PRODUCTION;
    record->document.document =
        mw_parse_document(&st->ctx, mw_str_from(text), &err);
    g_string_set_size(st->json, 0);
    g_free(text);
    if (err) {
        mw_say(s, "document: %.*s: %.*s", MW_FMT(mw_error_word(err)),
               MW_FMT(mw_detail(&st->ctx)));
    }
    else {
        err = mw_zone_judge(&st->ctx, st->zone, record->document.document);
        mw_say(s, "judge: %.*s%s%.*s", MW_FMT(mw_error_word(err)),
               err ? ": " : "",
               MW_FMT(err ? mw_detail(&st->ctx) : MW_STR("")));
        mw_zone_apply(&st->ctx, st->zone, st->now_us, record);
        settle_and_check(s);
    }
    mw_drop_record(record);
}

static struct mw_job_spec
read_spec(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_job_spec spec = {0};
    const char *priority = mw_option(s, "priority", "normal");
    int64_t deadline = mw_option_int(s, "deadline", 0);

    spec.key.org = mw_name_word(mw_word(s, 1));
    spec.key.request = mw_name_word(mw_word(s, 2));
    spec.class = mw_name_word(mw_option(s, "class", ""));
    read_shape(s, &spec.shape);
    spec.priority = priority[0] == 'u'   ? MW_URGENT
                    : priority[0] == 'b' ? MW_BATCH
                                         : MW_NORMAL;
    spec.idempotent = mw_option(s, "idempotent", "yes")[0] == 'y';
    spec.checkpoint = mw_option(s, "checkpoint", "no")[0] == 'y';
    spec.wait = mw_option(s, "wait", "no")[0] == 'y';
    spec.deadline_us = deadline ? st->now_us + deadline * 1000 : 0;
    spec.runtime_us = mw_option_int(s, "runtime", 0) * 1000;
    return spec;
}

static void
submit(struct state *st, const struct mw_job_spec *spec)
{
    struct mw_waiter waiter = {.process = mw_name_word("e"),
                               .ref = ++st->next_ref,
                               .key = spec->key,
                               .until_done = spec->wait};
    struct mw_blob *body = mw_new_blob(MW_STR("body"));

    mw_zone_submit(&st->ctx, st->zone, st->now_us, spec, body, &waiter);
    mw_drop_blob(body);
}

static void
cmd_submit(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_job_spec spec = read_spec(s);
    int64_t copies = mw_option_int(s, "copies", 1);
    struct mw_name base = spec.key.request;

    st->script = s;
    for (int64_t i = 0; i < copies; i++) {
        if (copies > 1) {
            char *name =
                g_strdup_printf("%.*s-%d", MW_FMT(mw_name_str(&base)), (int)i);

            spec.key.request = mw_name_word(name);
            g_free(name);
        }
        submit(st, &spec);
        settle(st);
    }
    settle_and_check(s);
}

struct find_job {
    const char *request;
    uint64_t id;
    uint32_t attempts;
};

static void
match_job(void *opaque, const struct mw_job_view *view)
{
    struct find_job *find = opaque;
    struct mw_str name = mw_name_str(&view->spec->key.request);

    if (mw_str_equal(name, mw_str_from(find->request))) {
        find->id = view->id;
        find->attempts = view->attempts;
    }
}

static void
end_parts(struct state *st, uint64_t id, uint32_t number,
          enum mw_outcome outcome)
{
    for (guint i = st->parts->len; i > 0; i--) {
        struct part *part =
            i <= st->parts->len ? st->parts->pdata[i - 1] : NULL;

        if (!part || part->attempt.job != id ||
            part->attempt.number != number) {
            continue;
        }
        struct part copy = *part;

        g_ptr_array_remove(st->parts, part);
        report(st, &copy.attempt, &copy.endpoint, outcome);
        if (outcome != MW_OUTCOME_FINISHED) {
            return;
        }
    }
}

static void
end_job(struct mw_script *s, enum mw_outcome outcome)
{
    struct state *st = s->state;
    struct find_job find = {.request = mw_word(s, 1)};

    st->script = s;
    st->output_size = (gsize)mw_option_int(s, "size", 4);
    mw_zone_each_job(st->zone, &find, match_job);
    end_parts(st, find.id, find.attempts, outcome);
    settle_and_check(s);
}

static void
cmd_finish(struct mw_script *s)
{
    end_job(s, MW_OUTCOME_FINISHED);
}

static void
cmd_fail(struct mw_script *s)
{
    end_job(s, MW_OUTCOME_FAILED);
}

static void
cmd_checkpoint(struct mw_script *s)
{
    end_job(s, MW_OUTCOME_CHECKPOINTED);
}

/* late REQUEST NUMBER ENDPOINT: an answer of an attempt long given up */
static void
cmd_late(struct mw_script *s)
{
    struct state *st = s->state;
    struct find_job find = {.request = mw_word(s, 1)};
    struct mw_attempt_id attempt = {.zone = st->name, .epoch = 1};
    struct mw_name endpoint = mw_name_word(mw_word(s, 3));

    st->script = s;
    mw_zone_each_job(st->zone, &find, match_job);
    attempt.job = find.id;
    attempt.number = (uint32_t)g_ascii_strtoull(mw_word(s, 2), NULL, 10);
    report(st, &attempt, &endpoint, MW_OUTCOME_FINISHED);
    settle_and_check(s);
}

static void
cmd_run(struct mw_script *s)
{
    struct state *st = s->state;

    st->script = s;
    advance(st, g_ascii_strtoll(mw_word(s, 1), NULL, 10) * 1000);
    settle_and_check(s);
}

static void
cmd_endpoint(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_name name = mw_name_word(mw_word(s, 1));
    struct host *host = find_host(st, &name);
    const char *what = mw_word(s, 2);

    st->script = s;
    if (!host) {
        mw_say(s, "no such endpoint");
        return;
    }
    host->silent = strcmp(what, "silent") == 0;
    host->mute = strcmp(what, "mute") == 0;
    host->refusing = strcmp(what, "refusing") == 0;
    host->failing = strcmp(what, "failing") == 0;
    host->announce.leaving = strcmp(what, "leaving") == 0;
    if (strcmp(what, "restarted") == 0) {
        host->announce.incarnation++;
        for (guint i = st->parts->len; i > 0; i--) {
            struct part *part = st->parts->pdata[i - 1];

            if (mw_name_equal(&part->endpoint, &name)) {
                g_ptr_array_remove_index(st->parts, i - 1);
            }
        }
    }
    if (!host->silent) {
        announce(st, host);
    }
    settle_and_check(s);
}

static void
cmd_zone(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_record *record = mw_new_record(MW_RECORD_ZONE_STATE);

    st->script = s;
    record->zone_state.out = strcmp(mw_word(s, 1), "out") == 0;
    record->zone_state.sequence = ++st->sequence;
    mw_zone_apply(&st->ctx, st->zone, st->now_us, record);
    mw_drop_record(record);
    settle_and_check(s);
}

static void
ask(struct mw_script *s, bool cancel)
{
    struct state *st = s->state;
    struct mw_job_key key = {mw_name_word(mw_word(s, 1)),
                             mw_name_word(mw_word(s, 2))};
    struct mw_waiter waiter = {.process = mw_name_word("e"),
                               .ref = ++st->next_ref,
                               .key = key,
                               .until_done = cancel};

    st->script = s;
    if (cancel) {
        mw_zone_cancel(&st->ctx, st->zone, st->now_us, &key, &waiter);
    }
    else {
        mw_zone_query(&st->ctx, st->zone, st->now_us, &key, &waiter);
    }
    settle_and_check(s);
}

static void
cmd_cancel(struct mw_script *s)
{
    ask(s, true);
}

static void
cmd_query(struct mw_script *s)
{
    ask(s, false);
}

/* A new leader: the state is rebuilt from a snapshot's records alone. */
static void
push_record(void *out, struct mw_record *record)
{
    g_queue_push_tail(out, mw_keep_record(record));
}

static void
cmd_takeover(struct mw_script *s)
{
    struct state *st = s->state;
    GQueue records = G_QUEUE_INIT;
    uint64_t epoch = 1 + (uint64_t)mw_option_int(s, "epoch", 1);
    struct mw_record *record;

    st->script = s;
    mw_zone_collect(st->zone, &records, push_record);
    mw_drop_zone(st->zone);
    new_zone(st);
    record = g_queue_pop_head(&records);
    while (record) {
        mw_zone_apply(&st->ctx, st->zone, st->now_us, record);
        mw_drop_record(record);
        record = g_queue_pop_head(&records);
    }
    for (guint i = 0; i < st->hosts->len; i++) {
        struct host *host = st->hosts->pdata[i];

        if (!host->silent) {
            announce(st, host);
        }
    }
    mw_zone_lead(&st->ctx, st->zone, st->now_us, MW_LEAD_RECORDS, epoch);
    settle_and_check(s);
}

static void
cmd_record(struct mw_script *s)
{
    struct state *st = s->state;

    st->may_record = strcmp(mw_word(s, 1), "yes") == 0;
}

static void
say_job(void *opaque, const struct mw_job_view *view)
{
    struct mw_script *s = opaque;
    GString *line = g_string_new(NULL);

    g_string_append_printf(
        line, "%04d   %.*s %.*s attempts=%u%s%s", (int)view->id,
        MW_FMT(mw_name_str(&view->spec->key.request)),
        MW_FMT(mw_job_state_word(view->state)), view->attempts,
        view->claimed ? " claimed" : "", view->firm ? " firm" : "");
    if (view->state == MW_JOB_DONE) {
        g_string_append_printf(line, " %.*s %.*s",
                               MW_FMT(mw_error_word(view->error)),
                               MW_FMT(mw_ran_word(view->ran)));
    }
    g_ptr_array_add(s->state, g_string_free(line, FALSE));
}

static int
by_text(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

static void
cmd_jobs(struct mw_script *s)
{
    struct state *st = s->state;
    GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);

    s->state = lines;
    mw_zone_each_job(st->zone, s, say_job);
    s->state = st;
    g_ptr_array_sort(lines, by_text);
    for (guint i = 0; i < lines->len; i++) {
        mw_say(s, "%s", (char *)lines->pdata[i] + 4);
    }
}

struct cell_count {
    unsigned all;
    unsigned placed;
    unsigned claimed;
};

static void
count_cell(void *opaque, const struct mw_cell_view *view)
{
    struct cell_count *count = opaque;

    count->all++;
    count->placed += view->placed;
    count->claimed += view->claimed;
}

static void
cmd_guarantees(struct mw_script *s)
{
    struct state *st = s->state;
    struct cell_count count = {0};

    mw_zone_each_cell(st->zone, &count, count_cell);
    mw_say(s, "guarantees: %u, with a place %u, claimed %u", count.all,
           count.placed, count.claimed);
}

static void
say_endpoint(void *opaque, const struct mw_endpoint_view *view)
{
    struct mw_script *s = opaque;

    mw_say(s, "  %.*s %s used=%u guaranteed=%u",
           MW_FMT(mw_name_str(&view->name)),
           !view->up           ? "lost"
           : view->leaving     ? "leaving"
           : view->quarantined ? "quarantined"
                               : "up",
           view->used.accelerators, view->cells.accelerators);
}

static void
cmd_show(struct mw_script *s)
{
    struct state *st = s->state;

    mw_zone_each_endpoint(st->zone, s, say_endpoint);
}

static void
cmd_count(struct mw_script *s)
{
    struct state *st = s->state;
    const struct mw_zone_counters *c = mw_zone_counters_of(st->zone);

    mw_say(s,
           "victims=%d reclaims=%d moved=%d retries=%d quarantined=%d "
           "unknown=%d orphans=%d outputs_dropped=%d",
           (int)c->victims, (int)c->reclaims, (int)c->cells_moved,
           (int)c->retries, (int)c->quarantined, (int)c->unknown,
           (int)c->orphans_stopped, (int)c->outputs_dropped);
}

/* A random submission out of a small set of shapes. */
static void
random_submit(struct state *st, int i)
{
    static const struct mw_shape shapes[] = {
        {1, {1, 1, 1, 1024}, MW_ADJACENT_ZONE},
        {1, {2, 1, 2, 1024}, MW_ADJACENT_ENDPOINT},
        {2, {4, 1, 4, 2048}, MW_ADJACENT_RACK},
        {2, {8, 1, 8, 4096}, MW_ADJACENT_RACK},
        {4, {2, 1, 1, 1024}, MW_ADJACENT_ZONE},
        {1, {0, 1, 4, 1024}, MW_ADJACENT_ZONE},
        {3, {8, 1, 1, 1024}, MW_ADJACENT_ZONE},
    };
    static const char *const orgs[] = {"big", "small", "none"};
    struct mw_job_spec spec = {0};
    char *name = g_strdup_printf("r%d", i);

    spec.key.org = mw_name_word(orgs[g_rand_int_range(st->rand, 0, 3)]);
    spec.key.request = mw_name_word(name);
    spec.shape = shapes[g_rand_int_range(st->rand, 0, 7)];
    spec.priority =
        (enum mw_priority)g_rand_int_range(st->rand, 0, MW_PRIORITIES);
    spec.idempotent = g_rand_int_range(st->rand, 0, 4) > 0;
    spec.checkpoint = g_rand_int_range(st->rand, 0, 2) > 0;
    spec.wait = g_rand_int_range(st->rand, 0, 2) > 0;
    submit(st, &spec);
    g_free(name);
}

static void
random_end(struct state *st)
{
    struct part *part;
    enum mw_outcome outcome = MW_OUTCOME_FINISHED;

    if (st->parts->len == 0) {
        return;
    }
    part = st->parts
               ->pdata[g_rand_int_range(st->rand, 0, (gint32)st->parts->len)];
    if (g_rand_int_range(st->rand, 0, 10) == 0) {
        outcome = MW_OUTCOME_FAILED;
    }
    end_parts(st, part->attempt.job, part->attempt.number, outcome);
}

static void
random_trouble(struct mw_script *s)
{
    static const char *const whats[] = {"silent",    "mute",    "refusing",
                                        "failing",   "leaving", "up",
                                        "restarted", "up",      "up"};
    struct state *st = s->state;
    struct host *host =
        st->hosts
            ->pdata[g_rand_int_range(st->rand, 0, (gint32)st->hosts->len)];
    char *name =
        g_strndup(host->announce.endpoint.ptr, host->announce.endpoint.len);
    char *words[] = {(char *)"endpoint", name,
                     (char *)whats[g_rand_int_range(st->rand, 0, 9)]};
    struct mw_script inner = {.out = s->out, .word_count = 3, .state = st};

    memcpy(inner.words, words, sizeof words);
    cmd_endpoint(&inner);
    g_free(name);
}

static void
random_step(struct mw_script *s, int i)
{
    struct state *st = s->state;
    char *words[] = {(char *)"zone",
                     mw_zone_is_out(st->zone) ? (char *)"in" : (char *)"out"};
    struct mw_script inner = {.out = s->out, .word_count = 2, .state = st};

    switch (g_rand_int_range(st->rand, 0, 12)) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
        random_submit(st, i);
        break;
    case 5:
    case 6:
    case 7:
        random_end(st);
        break;
    case 8:
        random_trouble(s);
        break;
    case 9:
        if (g_rand_int_range(st->rand, 0, 6) == 0) {
            memcpy(inner.words, words, sizeof words);
            cmd_zone(&inner);
        }
        break;
    case 10:
        if (g_rand_int_range(st->rand, 0, 6) == 0) {
            inner.words[0] = (char *)"takeover";
            inner.words[1] = g_strdup_printf("epoch=%d", i + 2);
            cmd_takeover(&inner);
            g_free(inner.words[1]);
        }
        break;
    default:
        advance(st, 700000);
        break;
    }
}

static void
cmd_seeds(struct mw_script *s)
{
    struct state *outer = s->state;
    const char *more = g_getenv("MW_SEEDS");
    int64_t count =
        more ? g_ascii_strtoll(more, NULL, 10) : mw_option_int(s, "count", 10);
    int64_t from = mw_option_int(s, "from", 1);
    int faults = 0;
    unsigned judged = 0;

    for (int64_t seed = from; seed < from + count; seed++) {
        GString *told = g_string_new(NULL);
        struct mw_script inner = {.out = told};
        char *setup = g_strdup_printf(
            "endpoints w count=6 per-rack=3 accelerators=8 slots=6\n");
        bool bad = false;
        struct state *st = begin();

        inner.state = st;
        st->script = &inner;
        g_rand_set_seed(st->rand, (guint32)seed);
        inner.words[0] = (char *)"endpoints";
        inner.words[1] = (char *)"w";
        inner.words[2] = (char *)"count=6";
        inner.words[3] = (char *)"per-rack=3";
        inner.words[4] = (char *)"slots=6";
        inner.word_count = 5;
        cmd_endpoints(&inner);
        inner.words[1] = (char *)"big";
        inner.words[2] = (char *)"count=1";
        inner.words[3] = (char *)"tasks=2";
        inner.words[4] = (char *)"accelerators=8";
        inner.words[5] = (char *)"adjacent=rack";
        inner.words[6] = (char *)"processors=8";
        inner.words[7] = (char *)"memory=4096";
        inner.word_count = 8;
        cmd_guarantee(&inner);
        inner.words[1] = (char *)"small";
        inner.words[2] = (char *)"count=3";
        inner.words[3] = (char *)"tasks=1";
        inner.words[4] = (char *)"accelerators=2";
        inner.words[5] = (char *)"adjacent=endpoint";
        cmd_guarantee(&inner);
        inner.words[1] = (char *)"none";
        inner.word_count = 2;
        cmd_guarantee(&inner);
        cmd_document(&inner);
        st->quiet = true;
        g_string_set_size(told, 0);
        for (int i = 0; i < (int)mw_option_int(s, "steps", 300) && !bad; i++) {
            random_step(&inner, i);
            settle_and_check(&inner);
            bad = strstr(told->str, "FAULT") != NULL;
        }
        if (bad) {
            mw_say(s, "seed %d: %s", (int)seed, strstr(told->str, "FAULT"));
            faults++;
        }
        judged += st->judged;
        outer->answers += st->answers;
        end(st);
        g_free(setup);
        g_string_free(told, TRUE);
    }
    mw_say(s, "%d faults, %s", faults,
           judged > 0 && outer->answers > 0 ? "work was done"
                                            : "nothing was done");
}

static const struct mw_script_command commands[] = {
    {"endpoints", 1, cmd_endpoints},
    {"endpoint", 2, cmd_endpoint},
    {"organisation", 1, cmd_guarantee},
    {"document", 0, cmd_document},
    {"submit", 2, cmd_submit},
    {"finish", 1, cmd_finish},
    {"fail", 1, cmd_fail},
    {"checkpoint", 1, cmd_checkpoint},
    {"late", 3, cmd_late},
    {"run", 1, cmd_run},
    {"zone", 1, cmd_zone},
    {"cancel", 2, cmd_cancel},
    {"query", 2, cmd_query},
    {"takeover", 0, cmd_takeover},
    {"record", 1, cmd_record},
    {"jobs", 0, cmd_jobs},
    {"guarantees", 0, cmd_guarantees},
    {"show", 0, cmd_show},
    {"count", 0, cmd_count},
    {"seeds", 0, cmd_seeds},
    {NULL, 0, NULL},
};

const struct mw_script_kind mw_zone_scripts = {"zone", commands, begin, end};
