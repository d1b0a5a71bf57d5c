/*
 * policy-mimosawind: the scheduler core, one scheduler in each zone, with
 * endpoints that execute every command at once.
 */
#include <string.h>
#include <time.h>

#include "bench.h"
#include "oracle.h"

struct scheduler {
    struct state *st;
    int index;
    struct mw_zone *zone;
    GQueue records;
    GQueue commands;
    uint32_t *used;
};

struct state {
    struct simulation *sim;
    struct scheduler schedulers[ZONES];
    struct mw_context ctx;
    GHashTable *jobs_by_request;
    GHashTable *jobs_by_id;
    uint64_t sequence;
    unsigned next_zone;
};

static int64_t
monotonic_us(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * SECOND + t.tv_nsec / 1000;
}

static int
on_propose(void *opaque, struct mw_record *record)
{
    struct scheduler *z = opaque;

    g_queue_push_tail(&z->records, mw_keep_record(record));
    return 0;
}

static bool
on_can_record_durably(void *opaque)
{
    (void)opaque;
    return true;
}

static void
on_command(void *opaque, const struct mw_endpoint_command *command)
{
    struct scheduler *z = opaque;
    struct mw_endpoint_command *copy = g_memdup2(command, sizeof *command);

    copy->body = NULL;
    g_queue_push_tail(&z->commands, copy);
}

static void submit(void *state, struct job *job);

static struct job *
find_job_by_request(struct state *st, const struct mw_name *request)
{
    return g_hash_table_lookup(st->jobs_by_request, request);
}

static void
on_answer(void *opaque, const struct mw_waiter *waiter,
          const struct mw_answer *answer)
{
    struct scheduler *z = opaque;
    struct job *job = find_job_by_request(z->st, &waiter->key.request);

    if (answer->error == MW_ERR_FAILED && job && !job->end_us) {
        sim_fail_job(z->st->sim, job);
        return;
    }
    /* as an entry process forwards an unrecorded job to another zone */
    if (answer->error == MW_ERR_OUT && job && !job->end_us) {
        submit(z->st, job);
    }
}

static bool
on_select_zone(void *opaque, const struct mw_shape *shape,
               struct mw_name *name)
{
    struct scheduler *z = opaque;

    for (int i = 0; i < ZONES; i++) {
        int index = (int)(++z->st->next_zone % ZONES);

        struct mw_zone_load load;
        uint32_t need =
            shape ? 2 * shape->tasks * shape->need.accelerators : 0;

        mw_zone_get_load(z->st->schedulers[index].zone, &load);
        if (shape && (load.queued > 0 || load.free_accelerators < need)) {
            continue;
        }
        if (index != z->index && !z->st->sim->zone_out[index]) {
            char text[2] = {(char)('0' + index), 0};

            *name = mw_name_of(mw_str_from(text));
            return true;
        }
    }
    return false;
}

static void submit_to_zone(struct state *st, struct job *job, int index);

static uint64_t
on_handover(void *opaque, const struct mw_name *zone,
            const struct mw_job_spec *spec, struct mw_blob *body)
{
    struct scheduler *z = opaque;
    struct job *job = find_job_by_request(z->st, &spec->key.request);

    (void)body;
    job->spec.hops = spec->hops;
    submit_to_zone(z->st, job, zone->ptr[0] - '0');
    mw_zone_handover_answered(&z->st->ctx, z->zone, z->st->sim->now_us,
                              &spec->key, 1, true);
    return 1;
}

static void
send_report(struct scheduler *z, const struct mw_endpoint_command *command,
            enum mw_outcome outcome)
{
    struct mw_report r = {.outcome = outcome,
                          .attempt = command->attempt,
                          .endpoint = command->endpoint};

    mw_zone_report(&z->st->ctx, z->zone, z->st->sim->now_us, &r);
}

static struct job *
find_job_by_id(struct scheduler *z, uint64_t id)
{
    uint64_t key = id * ZONES + (uint64_t)z->index;

    return g_hash_table_lookup(z->st->jobs_by_id, &key);
}

static void
execute_start(struct scheduler *z, const struct mw_endpoint_command *command)
{
    struct job *job = find_job_by_id(z, command->attempt.job);
    uint32_t endpoint =
        (uint32_t)g_ascii_strtoull(command->endpoint.ptr, NULL, 10);

    if (sim_is_faulty(z->st->sim, z->index, endpoint)) {
        send_report(z, command, MW_OUTCOME_FAILED);
        return;
    }
    job->attempt_id = command->attempt;
    if (!job->running) {
        sim_start_job(z->st->sim, job, z->index);
    }
    send_report(z, command, MW_OUTCOME_STARTED);
}

static void
execute_command(struct scheduler *z, const struct mw_endpoint_command *command)
{
    struct job *job = find_job_by_id(z, command->attempt.job);

    switch (command->kind) {
    case MW_COMMAND_RESERVE:
        send_report(z, command, MW_OUTCOME_RESERVED);
        break;
    case MW_COMMAND_START:
        execute_start(z, command);
        break;
    case MW_COMMAND_STOP:
        if (job && job->running && job->zone == z->index) {
            sim_stop_job(z->st->sim, job);
        }
        send_report(z, command, MW_OUTCOME_STOPPED);
        break;
    default:
        break;
    }
}

/* Maps the scheduler's identifier of a job to the job of this request. */
static void
index_job(void *opaque, const struct mw_job_view *view)
{
    struct scheduler *z = opaque;
    uint64_t *key = g_new(uint64_t, 1);

    *key = view->id * ZONES + (uint64_t)z->index;
    g_hash_table_replace(z->st->jobs_by_id, key,
                         find_job_by_request(z->st, &view->spec->key.request));
}

/* The refusal of a recorded job is known when the record of its result is
 * applied. */
static void
handle_result(struct scheduler *z, const struct mw_record_result *result)
{
    struct job *job = find_job_by_id(z, result->job);

    if (result->error && job && !job->end_us) {
        sim_fail_job(z->st->sim, job);
    }
}

static void
process_pending(struct scheduler *z)
{
    for (;;) {
        struct mw_record *record = g_queue_pop_head(&z->records);
        struct mw_endpoint_command *command =
            record ? NULL : g_queue_pop_head(&z->commands);
        int64_t start_us = monotonic_us();
        int64_t elapsed_us;

        if (record) {
            if (record->kind == MW_RECORD_ACCEPT) {
                uint64_t *key = g_new(uint64_t, 1);

                *key = record->accept.job * ZONES + (uint64_t)z->index;
                g_hash_table_replace(
                    z->st->jobs_by_id, key,
                    find_job_by_request(z->st,
                                        &record->accept.spec.key.request));
            }
            if (record->kind == MW_RECORD_RESULT) {
                handle_result(z, &record->result);
            }
            mw_zone_apply(&z->st->ctx, z->zone, z->st->sim->now_us, record);
            mw_drop_record(record);
        }
        else if (command) {
            execute_command(z, command);
            g_free(command);
        }
        mw_zone_tick(&z->st->ctx, z->zone, z->st->sim->now_us);
        elapsed_us = monotonic_us() - start_us;
        g_array_append_val(z->st->sim->decision_times_us, elapsed_us);
        if (!record && !command && z->records.length == 0 &&
            z->commands.length == 0) {
            return;
        }
    }
}

static void
announce_endpoints(struct state *st, int index)
{
    const struct deployment *d = st->sim->deployment;

    for (int i = 0; i < d->endpoints_per_zone; i++) {
        char name[16], rack[16];

        g_snprintf(name, sizeof name, "%d", i);
        g_snprintf(rack, sizeof rack, "r%d", i / d->endpoints_per_rack);
        struct mw_announcement a = {.endpoint = mw_name_of(mw_str_from(name)),
                                    .rack = mw_name_of(mw_str_from(rack)),
                                    .total = d->endpoint_resources,
                                    .incarnation = 1};

        mw_zone_announce(&st->ctx, st->schedulers[index].zone, st->sim->now_us,
                         &a);
    }
}

/* Half of every zone is guaranteed: gangs, pairs and single endpoints. */
static struct mw_document *
make_document(const struct deployment *d)
{
    static const char *const orgs[] = {"large-1", "large-2", "small-1",
                                       "small-2"};
    GString *text = g_string_new("{\"version\":1,\"zones\":[");
    struct mw_context ctx = {0};
    int err = 0;

    for (int z = 0; z < ZONES; z++) {
        g_string_append_printf(text, "%s{\"name\":\"%d\"}", z ? "," : "", z);
    }
    g_string_append(text, "],\"organisations\":[");
    for (int o = 0; o < 4; o++) {
        int scale = MAX(d->endpoints_per_zone / 16, 1);

        g_string_append_printf(
            text,
            "%s{\"name\":\"%s\",\"token_sha256\":\"%064d\",\"queued_max\":"
            "1000000,\"guarantees\":[",
            o ? "," : "", orgs[o], 0);
        for (int z = 0; z < ZONES; z++) {
            g_string_append_printf(
                text,
                "%s{\"zone\":\"%d\",\"count\":%d,\"tasks\":%d,"
                "\"accelerators\":%d,\"adjacent\":\"%s\",\"processors\":8,"
                "\"memory_mb\":8192}",
                z ? "," : "", z, scale, o < 2 ? (o ? 2 : 4) : 1, o < 2 ? 8 : 4,
                o < 2 ? "rack" : "endpoint");
        }
        g_string_append(text, "]}");
    }
    g_string_append(text, "]}");
    struct mw_document *doc =
        mw_parse_document(&ctx, (struct mw_str){text->str, text->len}, &err);

    if (err) {
        g_error("bench: invalid document: %.*s", MW_FMT(mw_detail(&ctx)));
    }
    g_string_free(text, TRUE);
    return doc;
}

static void *
create(struct simulation *sim)
{
    struct state *st = g_new0(struct state, 1);
    struct mw_document *doc = make_document(sim->deployment);

    st->sim = sim;
    st->jobs_by_request = g_hash_table_new(mw_hash_name, mw_same_name);
    st->jobs_by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    for (guint i = 0; i < sim->jobs->len; i++) {
        struct job *job = sim->jobs->pdata[i];

        g_hash_table_insert(st->jobs_by_request, &job->spec.key.request, job);
    }
    for (int i = 0; i < ZONES; i++) {
        struct scheduler *z = &st->schedulers[i];
        char text[2] = {(char)('0' + i), 0};
        struct mw_name name = mw_name_of(mw_str_from(text));
        struct mw_zone_output output = {
            z,          on_propose, on_can_record_durably,
            on_command, on_answer,  on_select_zone,
            on_handover};
        struct mw_record *record = mw_new_record(MW_RECORD_DOCUMENT);

        z->st = st;
        z->index = i;
        z->zone = mw_new_zone(&name, &output);
        mw_zone_set_leadership(&st->ctx, z->zone, sim->now_us, MW_LEAD_ALL, 1);
        announce_endpoints(st, i);
        record->document.environment = MW_PRODUCTION;
        record->document.document = mw_keep_document(doc);
        mw_zone_apply(&st->ctx, z->zone, sim->now_us, record);
        mw_drop_record(record);
    }
    mw_drop_document(doc);
    return st;
}

static void
destroy(void *state)
{
    struct state *st = state;

    for (int i = 0; i < ZONES; i++) {
        g_queue_clear_full(&st->schedulers[i].records,
                           (GDestroyNotify)mw_drop_record);
        g_queue_clear_full(&st->schedulers[i].commands, g_free);
        mw_drop_zone(st->schedulers[i].zone);
    }
    g_hash_table_unref(st->jobs_by_request);
    g_hash_table_unref(st->jobs_by_id);
    g_free(st);
}

static void
submit_to_zone(struct state *st, struct job *job, int index)
{
    struct scheduler *z = &st->schedulers[index];
    struct mw_waiter waiter = {.ref = job->id + 1,
                               .key = job->spec.key,
                               .until_done = job->spec.wait};
    int64_t start_us = monotonic_us();
    int64_t elapsed_us;

    mw_zone_submit(&st->ctx, z->zone, st->sim->now_us, &job->spec, NULL,
                   &waiter);
    elapsed_us = monotonic_us() - start_us;
    g_array_append_val(st->sim->decision_times_us, elapsed_us);
    if (!mw_spec_is_recorded(&job->spec)) {
        mw_zone_each_job(z->zone, z, index_job);
    }
    process_pending(z);
}

static void
submit(void *state, struct job *job)
{
    struct state *st = state;
    int zone = (int)(job->id % ZONES);

    /* an unrecorded job may run in any zone; a recorded one goes to its owner
     */
    while (!mw_spec_is_recorded(&job->spec) && st->sim->zone_out[zone]) {
        zone = (int)(++st->next_zone % ZONES);
    }
    submit_to_zone(st, job, zone);
}

static void
append_endpoint(void *opaque, const struct mw_part *part)
{
    GArray *names = opaque;

    g_array_append_val(names, part->endpoint);
}

static void
job_ended(void *state, struct job *job)
{
    struct state *st = state;
    struct scheduler *z = &st->schedulers[job->zone];
    GArray *names = g_array_new(FALSE, FALSE, sizeof(struct mw_name));

    mw_zone_each_part(z->zone, job->attempt_id.job, names, append_endpoint);
    for (guint i = 0; i < names->len; i++) {
        struct mw_endpoint_command command = {
            .attempt = job->attempt_id,
            .endpoint = g_array_index(names, struct mw_name, i)};

        send_report(z, &command, MW_OUTCOME_FINISHED);
    }
    g_array_unref(names);
    process_pending(z);
}

static void
tick(void *state)
{
    struct state *st = state;

    for (int i = 0; i < ZONES; i++) {
        announce_endpoints(st, i);
        process_pending(&st->schedulers[i]);
        if (st->sim->now_us % (10 * SECOND) == 0 &&
            st->sim->deployment->endpoints_per_zone <= 16) {
            enum mw_verdict v =
                mw_oracle_check_guarantees(st->schedulers[i].zone);

            st->sim->violations += v == MW_VERDICT_VIOLATED;
            st->sim->undecided += v == MW_VERDICT_UNDECIDED;
        }
    }
}

static void
set_zone_out(void *state, int index, bool out)
{
    struct state *st = state;
    struct mw_record *record = mw_new_record(MW_RECORD_ZONE_STATE);

    record->zone_state.out = out;
    record->zone_state.sequence = ++st->sequence;
    mw_zone_apply(&st->ctx, st->schedulers[index].zone, st->sim->now_us,
                  record);
    mw_drop_record(record);
    process_pending(&st->schedulers[index]);
}

struct endpoint_search {
    uint32_t index;
    uint32_t target;
    uint32_t free;
};

static void
visit_endpoint(void *opaque, const struct mw_endpoint_view *view)
{
    struct endpoint_search *search = opaque;

    if (search->index++ == search->target) {
        search->free = view->total.accelerators > view->used.accelerators
                           ? view->total.accelerators - view->used.accelerators
                           : 0;
    }
}

static uint32_t
free_accelerators(void *state, int index, uint32_t endpoint)
{
    struct state *st = state;
    struct endpoint_search search = {.target = endpoint};

    mw_zone_each_endpoint(st->schedulers[index].zone, &search, visit_endpoint);
    return search.free;
}

const struct policy mimosawind_policy = {
    "mimosawind", create, destroy,      submit,
    job_ended,    tick,   set_zone_out, free_accelerators};
