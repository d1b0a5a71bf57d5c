/*
 * zone-script: runs the scheduler of one zone against fake endpoints that
 * execute commands at once; their tasks end when the script says so.
 *
 * After every command of a script, the oracle checks that the guarantees can
 * be met, the resources in use are compared with those of the jobs, and the
 * endpoints' side is checked: no non-idempotent request starts under two
 * attempts, no attempt of a gang runs in part for longer than a few seconds,
 * and nothing starts while the zone is out of service.
 */
#include <string.h>

#include "oracle.h"
#include "script.h"

#define STEP_US 50000
#define ANNOUNCE_US 500000
/* if a start command is lost, the rest of its gang stops within this time */
#define PARTIAL_GANG_MAX_US 5000000

/* A part of an attempt, as its endpoint sees it. */
struct part {
    struct mw_attempt_id attempt;
    struct mw_name endpoint;
    bool running;
};

struct fake_endpoint {
    struct mw_announcement announce;
    /* neither sends announcements nor executes commands */
    bool unreachable;
    /* sends announcements, but does not execute commands */
    bool unresponsive;
    /* refuses reservations */
    bool refusing;
    /* reports every start as failed */
    bool failing;
    int64_t announce_deadline_us;
};

struct state {
    struct mw_context ctx;
    struct mw_zone *zone;
    struct mw_name name;
    int64_t now_us;
    GQueue records;
    /* the log takes no records, as too many bytes wait */
    bool log_refuses;
    GQueue commands;
    GPtrArray *endpoints;
    GPtrArray *parts;
    /* the attempt under which a non-idempotent job was started */
    GHashTable *started_attempts;
    /* time since which a job has been running in part */
    GHashTable *partial_since;
    GString *fault;
    GString *organisations_json;
    bool first_guarantee;
    uint64_t document_version;
    uint64_t sequence;
    uint64_t next_ref;
    bool records_durable;
    bool quiet;
    struct mw_script *script;
    unsigned check_count;
    unsigned undecided_count;
    unsigned unplaced_count;
    unsigned answer_count;
    gsize output_size;
    GRand *rand;
};

static int
on_propose(void *opaque, struct mw_record *record)
{
    struct state *st = opaque;

    if (st->log_refuses) {
        return MW_ERR_OVERLOADED;
    }
    g_queue_push_tail(&st->records, mw_keep_record(record));
    return 0;
}

static bool
on_can_record(void *opaque)
{
    struct state *st = opaque;

    return st->records_durable;
}

static void
on_command(void *opaque, const struct mw_endpoint_command *command)
{
    struct state *st = opaque;
    struct mw_endpoint_command *copy = g_memdup2(command, sizeof *command);

    copy->body = mw_keep_blob(command->body);
    g_queue_push_tail(&st->commands, copy);
}

static void
on_answer(void *opaque, const struct mw_waiter *waiter,
          const struct mw_answer *answer)
{
    struct state *st = opaque;

    st->answer_count++;
    if (!st->quiet) {
        mw_script_printf(
            st->script, "  %.*s: %.*s %.*s%s%.*s",
            MW_FMT(mw_name_str(&waiter->key.request)),
            MW_FMT(answer->error ? mw_error_str(answer->error)
                                 : mw_job_state_str(answer->state)),
            MW_FMT(mw_execution_status_str(answer->ran)),
            answer->detail.len ? " " : "", MW_FMT(answer->detail));
    }
}

static bool
on_select_zone(void *opaque, const struct mw_shape *shape,
               struct mw_name *zone)
{
    (void)opaque;
    *zone = mw_name_from("zb");
    /* the other zone takes handovers, but never has idle capacity */
    return shape == NULL;
}

static uint64_t
on_handover(void *opaque, const struct mw_name *zone,
            const struct mw_job_spec *spec, struct mw_blob *body)
{
    struct state *st = opaque;

    (void)body;
    if (!st->quiet) {
        mw_script_printf(st->script, "  handed over %.*s to %.*s",
                         MW_FMT(mw_name_str(&spec->key.request)),
                         MW_FMT(mw_name_str(zone)));
    }
    return 1;
}

static void
create_zone(struct state *st)
{
    struct mw_zone_output output = {st,         on_propose, on_can_record,
                                    on_command, on_answer,  on_select_zone,
                                    on_handover};

    st->zone = mw_new_zone(&st->name, &output);
}

static void *
begin(void)
{
    struct state *st = g_new0(struct state, 1);

    st->name = mw_name_from("za");
    st->now_us = 1000000;
    st->records_durable = true;
    st->endpoints = g_ptr_array_new_with_free_func(g_free);
    st->parts = g_ptr_array_new_with_free_func(g_free);
    st->started_attempts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    st->partial_since =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    st->fault = g_string_new(NULL);
    st->organisations_json = g_string_new(NULL);
    st->rand = g_rand_new_with_seed(1);
    create_zone(st);
    mw_zone_set_leadership(&st->ctx, st->zone, st->now_us, MW_LEAD_ALL, 1);
    return st;
}

static void
free_command(void *data)
{
    struct mw_endpoint_command *command = data;

    mw_drop_blob(command->body);
    g_free(command);
}

static void
end(void *state)
{
    struct state *st = state;

    mw_drop_zone(st->zone);
    g_queue_clear_full(&st->records, (GDestroyNotify)mw_drop_record);
    g_queue_clear_full(&st->commands, free_command);
    g_ptr_array_unref(st->endpoints);
    g_ptr_array_unref(st->parts);
    g_hash_table_unref(st->started_attempts);
    g_hash_table_unref(st->partial_since);
    g_string_free(st->fault, TRUE);
    g_string_free(st->organisations_json, TRUE);
    g_rand_free(st->rand);
    g_free(st);
}

static struct fake_endpoint *
find_endpoint(struct state *st, const struct mw_name *name)
{
    for (guint i = 0; i < st->endpoints->len; i++) {
        struct fake_endpoint *endpoint = st->endpoints->pdata[i];

        if (mw_name_equal(&endpoint->announce.endpoint, name)) {
            return endpoint;
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
send_report(struct state *st, const struct mw_attempt_id *attempt,
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

/* Records a start and checks that it is allowed. */
static void
record_start(struct state *st, const struct mw_endpoint_command *command)
{
    char *key = g_strdup_printf("%" G_GUINT64_FORMAT, command->attempt.job);
    gpointer known = g_hash_table_lookup(st->started_attempts, key);
    gpointer attempt = GUINT_TO_POINTER(command->attempt.number);

    if (known && known != attempt && !command->idempotent) {
        g_string_append_printf(st->fault, "job %s started twice; ", key);
    }
    if (mw_zone_is_out_of_service(st->zone)) {
        g_string_append_printf(st->fault, "job %s started while out; ", key);
    }
    if (!command->idempotent) {
        g_hash_table_replace(st->started_attempts, key, attempt);
    }
    else {
        g_free(key);
    }
}

static void
execute_start(struct state *st, const struct mw_endpoint_command *command,
              const struct fake_endpoint *endpoint)
{
    struct part *part = find_part(st, &command->attempt, &command->endpoint);

    record_start(st, command);
    if (!part) {
        part = g_new0(struct part, 1);
        part->attempt = command->attempt;
        part->endpoint = command->endpoint;
        g_ptr_array_add(st->parts, part);
    }
    part->running = true;
    if (endpoint->failing) {
        g_ptr_array_remove(st->parts, part);
        send_report(st, &command->attempt, &command->endpoint,
                    MW_OUTCOME_FAILED);
        return;
    }
    send_report(st, &command->attempt, &command->endpoint, MW_OUTCOME_STARTED);
}

static void
execute_stop(struct state *st, const struct mw_endpoint_command *command)
{
    struct part *part = find_part(st, &command->attempt, &command->endpoint);

    if (!part) {
        send_report(st, &command->attempt, &command->endpoint,
                    MW_OUTCOME_ABSENT);
        return;
    }
    g_ptr_array_remove(st->parts, part);
    send_report(st, &command->attempt, &command->endpoint, MW_OUTCOME_STOPPED);
}

static void
execute_command(struct state *st, const struct mw_endpoint_command *command)
{
    struct fake_endpoint *endpoint = find_endpoint(st, &command->endpoint);
    struct part *part = find_part(st, &command->attempt, &command->endpoint);

    if (!endpoint || endpoint->unreachable || endpoint->unresponsive) {
        return;
    }
    switch (command->kind) {
    case MW_COMMAND_RESERVE:
        send_report(st, &command->attempt, &command->endpoint,
                    endpoint->refusing ? MW_OUTCOME_REFUSED
                                       : MW_OUTCOME_RESERVED);
        break;
    case MW_COMMAND_START:
        execute_start(st, command, endpoint);
        break;
    case MW_COMMAND_STOP:
        execute_stop(st, command);
        break;
    case MW_COMMAND_QUERY:
        send_report(st, &command->attempt, &command->endpoint,
                    part ? MW_OUTCOME_STARTED : MW_OUTCOME_ABSENT);
        break;
    default:
        break;
    }
}

/* Applies records and executes commands until there are none. */
static void
settle(struct state *st)
{
    for (int i = 0; i < 100000; i++) {
        struct mw_record *record = g_queue_pop_head(&st->records);
        struct mw_endpoint_command *command =
            record ? NULL : g_queue_pop_head(&st->commands);

        if (record) {
            mw_zone_apply(&st->ctx, st->zone, st->now_us, record);
            mw_drop_record(record);
        }
        else if (command) {
            execute_command(st, command);
            free_command(command);
        }
        mw_zone_tick(&st->ctx, st->zone, st->now_us);
        if (!record && !command && st->records.length == 0 &&
            st->commands.length == 0) {
            return;
        }
    }
    g_string_append(st->fault, "records and commands do not settle; ");
}

struct gang_check {
    struct state *st;
    const struct mw_job_view *job;
    unsigned running;
    unsigned unreachable;
};

static void
count_gang_part(void *opaque, const struct mw_part *part)
{
    struct gang_check *check = opaque;
    struct fake_endpoint *endpoint = find_endpoint(check->st, &part->endpoint);

    for (guint i = 0; i < check->st->parts->len; i++) {
        struct part *p = check->st->parts->pdata[i];

        if (p->attempt.job == check->job->id &&
            p->attempt.epoch == check->job->epoch &&
            p->attempt.number == check->job->attempts &&
            mw_name_equal(&p->endpoint, &part->endpoint)) {
            check->running += p->running;
        }
    }
    check->unreachable +=
        endpoint && (endpoint->unreachable || endpoint->unresponsive);
}

static void
check_gang(void *opaque, const struct mw_job_view *view)
{
    struct gang_check check = {opaque, view, 0, 0};

    mw_zone_each_part(check.st->zone, view->id, &check, count_gang_part);
    bool partial = view->state == MW_JOB_RUNNING && check.unreachable == 0 &&
                   check.running > 0 && check.running < view->part_count;
    int64_t *since = g_hash_table_lookup(check.st->partial_since, &view->id);

    if (!partial) {
        g_hash_table_remove(check.st->partial_since, &view->id);
    }
    else if (!since) {
        uint64_t *id = g_memdup2(&view->id, sizeof view->id);

        since = g_memdup2(&check.st->now_us, sizeof *since);
        g_hash_table_insert(check.st->partial_since, id, since);
    }
    else if (check.st->now_us - *since > PARTIAL_GANG_MAX_US) {
        g_string_append_printf(check.st->fault,
                               "%.*s runs in part: %u of %u; ",
                               MW_FMT(mw_name_str(&view->spec->key.request)),
                               check.running, view->part_count);
    }
}

static void
check_invariants(struct state *st)
{
    enum mw_verdict verdict = mw_oracle_check_guarantees(st->zone);

    st->check_count++;
    if (verdict == MW_VERDICT_VIOLATED) {
        g_string_append(st->fault, "guarantee violated; ");
    }
    st->undecided_count += verdict == MW_VERDICT_UNDECIDED;
    st->unplaced_count += verdict == MW_VERDICT_UNPLACED;
    mw_oracle_check_accounting(st->zone, st->fault);
    mw_zone_each_job(st->zone, st, check_gang);
}

static void
settle_and_check(struct mw_script *s)
{
    struct state *st = s->state;

    st->script = s;
    settle(st);
    check_invariants(st);
    if (st->fault->len > 0) {
        mw_script_printf(s, "FAULT: %s", st->fault->str);
        g_string_set_size(st->fault, 0);
    }
}

static void
announce(struct state *st, struct fake_endpoint *endpoint)
{
    GArray *listed =
        g_array_new(FALSE, FALSE, sizeof(struct mw_listed_attempt));

    for (guint i = 0; i < st->parts->len; i++) {
        struct part *part = st->parts->pdata[i];
        struct mw_listed_attempt one = {.attempt = part->attempt};

        if (mw_name_equal(&part->endpoint, &endpoint->announce.endpoint)) {
            g_array_append_val(listed, one);
        }
    }
    endpoint->announce.listed =
        (struct mw_listed_attempt *)(void *)listed->data;
    endpoint->announce.listed_count = listed->len;
    mw_zone_announce(&st->ctx, st->zone, st->now_us, &endpoint->announce);
    endpoint->announce.listed = NULL;
    endpoint->announce.listed_count = 0;
    g_array_unref(listed);
}

static void
advance(struct state *st, int64_t us)
{
    int64_t until = st->now_us + us;

    while (st->now_us < until) {
        st->now_us += STEP_US;
        for (guint i = 0; i < st->endpoints->len; i++) {
            struct fake_endpoint *endpoint = st->endpoints->pdata[i];

            if (!endpoint->unreachable &&
                st->now_us >= endpoint->announce_deadline_us) {
                endpoint->announce_deadline_us = st->now_us + ANNOUNCE_US;
                announce(st, endpoint);
            }
        }
        settle(st);
    }
}

static void
cmd_endpoints(struct mw_script *s)
{
    struct state *st = s->state;
    int count = (int)mw_script_option_int(s, "count", 1);
    int per_rack = (int)mw_script_option_int(s, "per-rack", 8);

    for (int i = 0; i < count; i++) {
        struct fake_endpoint *endpoint = g_new0(struct fake_endpoint, 1);
        char *name = g_strdup_printf("%s%d", mw_script_word(s, 1), i);
        char *rack =
            g_strdup_printf("%s-rack%d", mw_script_word(s, 1), i / per_rack);

        endpoint->announce.endpoint = mw_name_from(name);
        endpoint->announce.rack = mw_name_from(rack);
        endpoint->announce.incarnation = 1;
        endpoint->announce.total = (struct mw_resources){
            .accelerators =
                (uint32_t)mw_script_option_int(s, "accelerators", 8),
            .slots = (uint32_t)mw_script_option_int(s, "slots", 8),
            .processors = (uint32_t)mw_script_option_int(s, "processors", 32),
            .memory_mb = (uint32_t)mw_script_option_int(s, "memory", 65536),
        };
        g_ptr_array_add(st->endpoints, endpoint);
        announce(st, endpoint);
        g_free(name);
        g_free(rack);
    }
    settle_and_check(s);
}

static void
read_shape(struct mw_script *s, struct mw_shape *shape)
{
    const char *adjacent = mw_script_option(s, "adjacent", "zone");

    shape->tasks = (uint32_t)mw_script_option_int(s, "tasks", 1);
    shape->need.accelerators =
        (uint32_t)mw_script_option_int(s, "accelerators", 1);
    shape->need.slots = 1;
    shape->need.processors =
        (uint32_t)mw_script_option_int(s, "processors", 1);
    shape->need.memory_mb = (uint32_t)mw_script_option_int(s, "memory", 1024);
    shape->adjacent = strcmp(adjacent, "rack") == 0 ? MW_ADJACENT_RACK
                      : strcmp(adjacent, "endpoint") == 0
                          ? MW_ADJACENT_ENDPOINT
                          : MW_ADJACENT_ZONE;
}

static void
cmd_organisation(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_shape shape;
    static const char *const words[] = {"zone", "rack", "endpoint"};

    read_shape(s, &shape);
    g_string_append_printf(
        st->organisations_json,
        "%s{\"name\":\"%s\",\"token_sha256\":\"%064d\",\"queued_max\":%d",
        st->organisations_json->len ? "," : "", mw_script_word(s, 1), 0,
        (int)mw_script_option_int(s, "queued", 10000));
    if (mw_script_option_int(s, "count", 0) > 0) {
        g_string_append_printf(
            st->organisations_json,
            ",\"guarantees\":[{\"zone\":\"za\",\"count\":%d,\"tasks\":%u,"
            "\"accelerators\":%u,\"processors\":%u,\"memory_mb\":%u,"
            "\"adjacent\":\"%s\"}]",
            (int)mw_script_option_int(s, "count", 1), shape.tasks,
            shape.need.accelerators, shape.need.processors,
            shape.need.memory_mb, words[shape.adjacent]);
    }
    g_string_append(st->organisations_json, "}");
}

/* Puts a document with the organisations named since the last one in force. */
static void
cmd_document(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_record *record = mw_new_record(MW_RECORD_DOCUMENT);
    int err = 0;
    char *text = g_strdup_printf(
        "{\"version\":%d,\"on_out\":\"%s\",\"zones\":[{\"name\":\"za\"},"
        "{\"name\":\"zb\"}],\"organisations\":[%s]}",
        (int)++st->document_version,
        mw_script_option(s, "on-out", "checkpoint"),
        st->organisations_json->str);

    st->script = s;
    record->document.environment = MW_PRODUCTION;
    record->document.document =
        mw_parse_document(&st->ctx, mw_str_from(text), &err);
    g_string_set_size(st->organisations_json, 0);
    g_free(text);
    if (err) {
        mw_script_printf(s, "document: %.*s: %.*s", MW_FMT(mw_error_str(err)),
                         MW_FMT(mw_detail(&st->ctx)));
    }
    else {
        err = mw_zone_check_guarantees(&st->ctx, st->zone,
                                       record->document.document);
        mw_script_printf(s, "guarantee check: %.*s%s%.*s",
                         MW_FMT(mw_error_str(err)), err ? ": " : "",
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
    const char *priority = mw_script_option(s, "priority", "normal");
    int64_t deadline = mw_script_option_int(s, "deadline", 0);

    spec.key.org = mw_name_from(mw_script_word(s, 1));
    spec.key.request = mw_name_from(mw_script_word(s, 2));
    spec.class = mw_name_from(mw_script_option(s, "class", ""));
    read_shape(s, &spec.shape);
    spec.priority = priority[0] == 'u'   ? MW_URGENT
                    : priority[0] == 'b' ? MW_BATCH
                                         : MW_NORMAL;
    spec.idempotent = mw_script_option(s, "idempotent", "yes")[0] == 'y';
    spec.checkpoint = mw_script_option(s, "checkpoint", "no")[0] == 'y';
    spec.wait = mw_script_option(s, "wait", "no")[0] == 'y';
    spec.deadline_us = deadline ? st->now_us + deadline * 1000 : 0;
    spec.runtime_us = mw_script_option_int(s, "runtime", 0) * 1000;
    return spec;
}

static void
submit(struct state *st, const struct mw_job_spec *spec)
{
    struct mw_waiter waiter = {.process = mw_name_from("e"),
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
    int64_t copies = mw_script_option_int(s, "copies", 1);
    struct mw_name base = spec.key.request;

    st->script = s;
    for (int64_t i = 0; i < copies; i++) {
        if (copies > 1) {
            char *name =
                g_strdup_printf("%.*s-%d", MW_FMT(mw_name_str(&base)), (int)i);

            spec.key.request = mw_name_from(name);
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
find_job_by_request(void *opaque, const struct mw_job_view *view)
{
    struct find_job *find = opaque;
    struct mw_str name = mw_name_str(&view->spec->key.request);

    if (mw_str_equal(name, mw_str_from(find->request))) {
        find->id = view->id;
        find->attempts = view->attempts;
    }
}

static void
report_parts(struct state *st, uint64_t id, uint32_t number,
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
        send_report(st, &copy.attempt, &copy.endpoint, outcome);
        if (outcome != MW_OUTCOME_FINISHED) {
            return;
        }
    }
}

static void
report_job(struct mw_script *s, enum mw_outcome outcome)
{
    struct state *st = s->state;
    struct find_job find = {.request = mw_script_word(s, 1)};

    st->script = s;
    st->output_size = (gsize)mw_script_option_int(s, "size", 4);
    mw_zone_each_job(st->zone, &find, find_job_by_request);
    report_parts(st, find.id, find.attempts, outcome);
    settle_and_check(s);
}

static void
cmd_finish(struct mw_script *s)
{
    report_job(s, MW_OUTCOME_FINISHED);
}

static void
cmd_fail(struct mw_script *s)
{
    report_job(s, MW_OUTCOME_FAILED);
}

static void
cmd_checkpoint(struct mw_script *s)
{
    report_job(s, MW_OUTCOME_CHECKPOINTED);
}

/* late-report REQUEST NUMBER ENDPOINT: reports the end of a past attempt */
static void
cmd_late_report(struct mw_script *s)
{
    struct state *st = s->state;
    struct find_job find = {.request = mw_script_word(s, 1)};
    struct mw_attempt_id attempt = {.zone = st->name, .epoch = 1};
    struct mw_name endpoint = mw_name_from(mw_script_word(s, 3));

    st->script = s;
    mw_zone_each_job(st->zone, &find, find_job_by_request);
    attempt.job = find.id;
    attempt.number =
        (uint32_t)g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);
    send_report(st, &attempt, &endpoint, MW_OUTCOME_FINISHED);
    settle_and_check(s);
}

static void
cmd_run(struct mw_script *s)
{
    struct state *st = s->state;

    st->script = s;
    advance(st, g_ascii_strtoll(mw_script_word(s, 1), NULL, 10) * 1000);
    settle_and_check(s);
}

/* endpoint NAME STATE: sets the state; "restarted" also ends its tasks */
static void
cmd_endpoint(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_name name = mw_name_from(mw_script_word(s, 1));
    struct fake_endpoint *endpoint = find_endpoint(st, &name);
    const char *what = mw_script_word(s, 2);

    st->script = s;
    if (!endpoint) {
        mw_script_printf(s, "no such endpoint");
        return;
    }
    endpoint->unreachable = strcmp(what, "unreachable") == 0;
    endpoint->unresponsive = strcmp(what, "unresponsive") == 0;
    endpoint->refusing = strcmp(what, "refusing") == 0;
    endpoint->failing = strcmp(what, "failing") == 0;
    endpoint->announce.draining = strcmp(what, "draining") == 0;
    if (strcmp(what, "restarted") == 0) {
        endpoint->announce.incarnation++;
        for (guint i = st->parts->len; i > 0; i--) {
            struct part *part = st->parts->pdata[i - 1];

            if (mw_name_equal(&part->endpoint, &name)) {
                g_ptr_array_remove_index(st->parts, i - 1);
            }
        }
    }
    if (!endpoint->unreachable) {
        announce(st, endpoint);
    }
    settle_and_check(s);
}

/* zone out|in: takes the zone out of service or returns it to service */
static void
cmd_zone(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_record *record = mw_new_record(MW_RECORD_ZONE_STATE);

    st->script = s;
    record->zone_state.out = strcmp(mw_script_word(s, 1), "out") == 0;
    record->zone_state.sequence = ++st->sequence;
    mw_zone_apply(&st->ctx, st->zone, st->now_us, record);
    mw_drop_record(record);
    settle_and_check(s);
}

static void
query_or_cancel(struct mw_script *s, bool cancel)
{
    struct state *st = s->state;
    struct mw_job_key key = {mw_name_from(mw_script_word(s, 1)),
                             mw_name_from(mw_script_word(s, 2))};
    struct mw_waiter waiter = {.process = mw_name_from("e"),
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
    query_or_cancel(s, true);
}

static void
cmd_query(struct mw_script *s)
{
    query_or_cancel(s, false);
}

static void
push_record(void *out, struct mw_record *record)
{
    g_queue_push_tail(out, mw_keep_record(record));
}

/* Makes a new leader, whose state is rebuilt from a snapshot alone. */
static void
cmd_takeover(struct mw_script *s)
{
    struct state *st = s->state;
    GQueue records = G_QUEUE_INIT;
    uint64_t epoch = 1 + (uint64_t)mw_script_option_int(s, "epoch", 1);
    struct mw_record *record;

    st->script = s;
    mw_zone_snapshot(st->zone, &records, push_record);
    mw_drop_zone(st->zone);
    create_zone(st);
    record = g_queue_pop_head(&records);
    while (record) {
        mw_zone_apply(&st->ctx, st->zone, st->now_us, record);
        mw_drop_record(record);
        record = g_queue_pop_head(&records);
    }
    for (guint i = 0; i < st->endpoints->len; i++) {
        struct fake_endpoint *endpoint = st->endpoints->pdata[i];

        if (!endpoint->unreachable) {
            announce(st, endpoint);
        }
    }
    mw_zone_set_leadership(&st->ctx, st->zone, st->now_us, MW_LEAD_ALL, epoch);
    settle_and_check(s);
}

/* durable yes|no: whether records can be committed durably */
/* log-refuses on|off */
static void
cmd_log_refuses(struct mw_script *s)
{
    struct state *st = s->state;

    st->log_refuses = strcmp(mw_script_word(s, 1), "on") == 0;
}

static void
cmd_durable(struct mw_script *s)
{
    struct state *st = s->state;

    st->records_durable = strcmp(mw_script_word(s, 1), "yes") == 0;
}

static void
say_job(void *opaque, const struct mw_job_view *view)
{
    struct mw_script *s = opaque;
    GString *line = g_string_new(NULL);

    g_string_append_printf(line, "%04d   %.*s %.*s attempts=%u%s%s",
                           (int)view->id,
                           MW_FMT(mw_name_str(&view->spec->key.request)),
                           MW_FMT(mw_job_state_str(view->state)),
                           view->attempts, view->claimed ? " claimed" : "",
                           view->nonpreemptible ? " nonpreemptible" : "");
    if (view->state == MW_JOB_DONE) {
        g_string_append_printf(line, " %.*s %.*s",
                               MW_FMT(mw_error_str(view->error)),
                               MW_FMT(mw_execution_status_str(view->ran)));
    }
    g_ptr_array_add(s->state, g_string_free(line, FALSE));
}

static int
compare_lines(const void *a, const void *b)
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
    g_ptr_array_sort(lines, compare_lines);
    for (guint i = 0; i < lines->len; i++) {
        mw_script_printf(s, "%s", (char *)lines->pdata[i] + 4);
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
    mw_script_printf(s, "guarantees: %u, placed %u, claimed %u", count.all,
                     count.placed, count.claimed);
}

static void
say_endpoint(void *opaque, const struct mw_endpoint_view *view)
{
    struct mw_script *s = opaque;

    mw_script_printf(s, "  %.*s %s used=%u guaranteed=%u",
                     MW_FMT(mw_name_str(&view->name)),
                     !view->up           ? "lost"
                     : view->draining    ? "draining"
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
cmd_counters(struct mw_script *s)
{
    struct state *st = s->state;
    const struct mw_zone_counters *c = mw_zone_get_counters(st->zone);

    mw_script_printf(
        s,
        "victims=%d reclaims=%d moved=%d retries=%d quarantined=%d "
        "unknown=%d orphans=%d outputs_dropped=%d",
        (int)c->victims, (int)c->reclaims, (int)c->cells_moved,
        (int)c->retries, (int)c->quarantined, (int)c->unknown,
        (int)c->orphans_stopped, (int)c->outputs_dropped);
}

/* Submits a job with one of a small set of shapes. */
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

    spec.key.org = mw_name_from(orgs[g_rand_int_range(st->rand, 0, 3)]);
    spec.key.request = mw_name_from(name);
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
random_job_end(struct state *st)
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
    report_parts(st, part->attempt.job, part->attempt.number, outcome);
}

static void
random_endpoint_fault(struct mw_script *s)
{
    static const char *const states[] = {
        "unreachable", "unresponsive", "refusing", "failing", "draining",
        "up",          "restarted",    "up",       "up"};
    struct state *st = s->state;
    struct fake_endpoint *endpoint =
        st->endpoints
            ->pdata[g_rand_int_range(st->rand, 0, (gint32)st->endpoints->len)];
    char *name = g_strndup(endpoint->announce.endpoint.ptr,
                           endpoint->announce.endpoint.len);
    char *words[] = {(char *)"endpoint", name,
                     (char *)states[g_rand_int_range(st->rand, 0, 9)]};
    struct mw_script inner = {.out = s->out, .word_count = 3, .state = st};

    memcpy(inner.words, words, sizeof words);
    cmd_endpoint(&inner);
    g_free(name);
}

static void
random_step(struct mw_script *s, int i)
{
    struct state *st = s->state;
    char *words[] = {(char *)"zone", mw_zone_is_out_of_service(st->zone)
                                         ? (char *)"in"
                                         : (char *)"out"};
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
        random_job_end(st);
        break;
    case 8:
        random_endpoint_fault(s);
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

/* Runs seeded scripts of random steps; MW_SEEDS sets how many. */
static void
cmd_seeds(struct mw_script *s)
{
    struct state *outer = s->state;
    const char *seed_count = g_getenv("MW_SEEDS");
    int64_t count = seed_count ? g_ascii_strtoll(seed_count, NULL, 10)
                               : mw_script_option_int(s, "count", 10);
    int64_t from = mw_script_option_int(s, "from", 1);
    int faults = 0;
    unsigned check_count = 0;

    for (int64_t seed = from; seed < from + count; seed++) {
        GString *output = g_string_new(NULL);
        struct mw_script inner = {.out = output};
        char *setup = g_strdup_printf(
            "endpoints w count=6 per-rack=3 accelerators=8 slots=6\n");
        bool failed = false;
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
        cmd_organisation(&inner);
        inner.words[1] = (char *)"small";
        inner.words[2] = (char *)"count=3";
        inner.words[3] = (char *)"tasks=1";
        inner.words[4] = (char *)"accelerators=2";
        inner.words[5] = (char *)"adjacent=endpoint";
        cmd_organisation(&inner);
        inner.words[1] = (char *)"none";
        inner.word_count = 2;
        cmd_organisation(&inner);
        cmd_document(&inner);
        st->quiet = true;
        g_string_set_size(output, 0);
        for (int i = 0;
             i < (int)mw_script_option_int(s, "steps", 300) && !failed; i++) {
            random_step(&inner, i);
            settle_and_check(&inner);
            failed = strstr(output->str, "FAULT") != NULL;
        }
        if (failed) {
            mw_script_printf(s, "seed %d: %s", (int)seed,
                             strstr(output->str, "FAULT"));
            faults++;
        }
        check_count += st->check_count;
        outer->answer_count += st->answer_count;
        end(st);
        g_free(setup);
        g_string_free(output, TRUE);
    }
    mw_script_printf(s, "%d faults, %s", faults,
                     check_count > 0 && outer->answer_count > 0
                         ? "clients got replies"
                         : "no client got a reply");
}

static const struct mw_script_command commands[] = {
    {"endpoints", 1, cmd_endpoints},
    {"endpoint", 2, cmd_endpoint},
    {"organisation", 1, cmd_organisation},
    {"document", 0, cmd_document},
    {"submit", 2, cmd_submit},
    {"finish", 1, cmd_finish},
    {"fail", 1, cmd_fail},
    {"checkpoint", 1, cmd_checkpoint},
    {"late-report", 3, cmd_late_report},
    {"run", 1, cmd_run},
    {"zone", 1, cmd_zone},
    {"cancel", 2, cmd_cancel},
    {"query", 2, cmd_query},
    {"takeover", 0, cmd_takeover},
    {"durable", 1, cmd_durable},
    {"log-refuses", 1, cmd_log_refuses},
    {"jobs", 0, cmd_jobs},
    {"guarantees", 0, cmd_guarantees},
    {"show", 0, cmd_show},
    {"counters", 0, cmd_counters},
    {"seeds", 0, cmd_seeds},
    {NULL, 0, NULL},
};

const struct mw_script_kind mw_zone_scripts = {"zone", commands, begin, end};
