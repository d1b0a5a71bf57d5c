/*
 * policy-ours: the decision core, one scheduler a zone, with endpoints that
 * carry out every order at once.
 */
#include <string.h>
#include <time.h>

#include "bench.h"
#include "oracle.h"

struct zone_state {
    struct state *st;
    int index;
    struct mw_zone *zone;
    GQueue records;
    GQueue orders;
    uint32_t *used;
};

struct state {
    struct run *run;
    struct zone_state zones[ZONES];
    struct mw_context ctx;
    GHashTable *by_name;
    GHashTable *running;
    uint64_t sequence;
    unsigned turn;
};

static int64_t
clock_us(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * SECOND + t.tv_nsec / 1000;
}

static int
on_propose(void *opaque, struct mw_record *record)
{
    struct zone_state *z = opaque;

    g_queue_push_tail(&z->records, mw_keep_record(record));
    return 0;
}

static bool
on_may_record(void *opaque)
{
    (void)opaque;
    return true;
}

static void
on_order(void *opaque, const struct mw_order *order)
{
    struct zone_state *z = opaque;
    struct mw_order *copy = g_memdup2(order, sizeof *order);

    copy->body = NULL;
    g_queue_push_tail(&z->orders, copy);
}

static void submit(void *state, struct job *job);

static struct job *
job_named(struct state *st, const struct mw_name *request)
{
    return g_hash_table_lookup(st->by_name, request);
}

static void
on_answer(void *opaque, const struct mw_waiter *waiter,
          const struct mw_answer *answer)
{
    struct zone_state *z = opaque;
    struct job *job = job_named(z->st, &waiter->key.request);

    if (answer->error == MW_ERR_FAILED && job && !job->done_us) {
        run_fail(z->st->run, job);
        return;
    }
    /* an entry process sends a check on to another zone */
    if (answer->error == MW_ERR_OUT && job && !job->done_us) {
        submit(z->st, job);
    }
}

static bool
on_target(void *opaque, const struct mw_shape *shape, struct mw_name *name)
{
    struct zone_state *z = opaque;

    for (int i = 0; i < ZONES; i++) {
        int at = (int)(++z->st->turn % ZONES);

        struct mw_zone_load load;
        uint32_t need =
            shape ? 2 * shape->tasks * shape->need.accelerators : 0;

        mw_zone_load_of(z->st->zones[at].zone, &load);
        if (shape && (load.queued > 0 || load.free_accelerators < need)) {
            continue;
        }
        if (at != z->index && !z->st->run->zone_out[at]) {
            char text[2] = {(char)('0' + at), 0};

            *name = mw_name_of(mw_str_from(text));
            return true;
        }
    }
    return false;
}

static void send_to(struct state *st, struct job *job, int at);

static uint64_t
on_deliver(void *opaque, const struct mw_name *zone,
           const struct mw_job_spec *spec, struct mw_blob *body)
{
    struct zone_state *z = opaque;
    struct job *job = job_named(z->st, &spec->key.request);

    (void)body;
    job->spec.hops = spec->hops;
    send_to(z->st, job, zone->ptr[0] - '0');
    mw_zone_delivered(&z->st->ctx, z->zone, z->st->run->now_us, &spec->key, 1,
                      true);
    return 1;
}

static void
report(struct zone_state *z, const struct mw_order *order,
       enum mw_outcome outcome)
{
    struct mw_report r = {.outcome = outcome,
                          .attempt = order->attempt,
                          .endpoint = order->endpoint};

    mw_zone_report(&z->st->ctx, z->zone, z->st->run->now_us, &r);
}

static struct job *
job_of(struct zone_state *z, uint64_t id)
{
    uint64_t key = id * ZONES + (uint64_t)z->index;

    return g_hash_table_lookup(z->st->running, &key);
}

static void
carry_start(struct zone_state *z, const struct mw_order *order)
{
    struct job *job = job_of(z, order->attempt.job);
    uint32_t host = (uint32_t)g_ascii_strtoull(order->endpoint.ptr, NULL, 10);

    if (run_is_bad(z->st->run, z->index, host)) {
        report(z, order, MW_OUTCOME_FAILED);
        return;
    }
    job->attempt_id = order->attempt;
    if (!job->running) {
        run_start(z->st->run, job, z->index);
    }
    report(z, order, MW_OUTCOME_STARTED);
}

static void
carry_out(struct zone_state *z, const struct mw_order *order)
{
    struct job *job = job_of(z, order->attempt.job);

    switch (order->kind) {
    case MW_ORDER_RESERVE:
        report(z, order, MW_OUTCOME_RESERVED);
        break;
    case MW_ORDER_START:
        carry_start(z, order);
        break;
    case MW_ORDER_STOP:
        if (job && job->running && job->zone == z->index) {
            run_stop(z->st->run, job);
        }
        report(z, order, MW_OUTCOME_STOPPED);
        break;
    default:
        break;
    }
}

/* The scheduler's numbers of jobs, by the requests' names. */
static void
note_job(void *opaque, const struct mw_job_view *view)
{
    struct zone_state *z = opaque;
    uint64_t *key = g_new(uint64_t, 1);

    *key = view->id * ZONES + (uint64_t)z->index;
    g_hash_table_replace(z->st->running, key,
                         job_named(z->st, &view->spec->key.request));
}

/* Refusals of recorded jobs are told when their record is applied. */
static void
note_result(struct zone_state *z, const struct mw_record_result *result)
{
    struct job *job = job_of(z, result->job);

    if (result->error && job && !job->done_us) {
        run_fail(z->st->run, job);
    }
}

static void
settle(struct zone_state *z)
{
    for (;;) {
        struct mw_record *record = g_queue_pop_head(&z->records);
        struct mw_order *order = record ? NULL : g_queue_pop_head(&z->orders);
        int64_t began = clock_us();
        int64_t took;

        if (record) {
            if (record->kind == MW_RECORD_ACCEPT) {
                uint64_t *key = g_new(uint64_t, 1);

                *key = record->accept.job * ZONES + (uint64_t)z->index;
                g_hash_table_replace(
                    z->st->running, key,
                    job_named(z->st, &record->accept.spec.key.request));
            }
            if (record->kind == MW_RECORD_RESULT) {
                note_result(z, &record->result);
            }
            mw_zone_apply(&z->st->ctx, z->zone, z->st->run->now_us, record);
            mw_drop_record(record);
        }
        else if (order) {
            carry_out(z, order);
            g_free(order);
        }
        mw_zone_tick(&z->st->ctx, z->zone, z->st->run->now_us);
        took = clock_us() - began;
        g_array_append_val(z->st->run->decision_us, took);
        if (!record && !order && z->records.length == 0 &&
            z->orders.length == 0) {
            return;
        }
    }
}

static void
announce(struct state *st, int index)
{
    const struct deployment *d = st->run->deployment;

    for (int i = 0; i < d->hosts_per_zone; i++) {
        char name[16], rack[16];

        g_snprintf(name, sizeof name, "%d", i);
        g_snprintf(rack, sizeof rack, "r%d", i / d->per_rack);
        struct mw_announce a = {.endpoint = mw_name_of(mw_str_from(name)),
                                .rack = mw_name_of(mw_str_from(rack)),
                                .total = d->host,
                                .incarnation = 1};

        mw_zone_announce(&st->ctx, st->zones[index].zone, st->run->now_us, &a);
    }
}

/* Half of every zone is guaranteed: gangs, pairs and single places. */
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
        int scale = MAX(d->hosts_per_zone / 16, 1);

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
        g_error("bench document: %.*s", MW_FMT(mw_detail(&ctx)));
    }
    g_string_free(text, TRUE);
    return doc;
}

static void *
begin(struct run *run)
{
    struct state *st = g_new0(struct state, 1);
    struct mw_document *doc = make_document(run->deployment);

    st->run = run;
    st->by_name = g_hash_table_new(mw_hash_name, mw_same_name);
    st->running =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    for (guint i = 0; i < run->jobs->len; i++) {
        struct job *job = run->jobs->pdata[i];

        g_hash_table_insert(st->by_name, &job->spec.key.request, job);
    }
    for (int i = 0; i < ZONES; i++) {
        struct zone_state *z = &st->zones[i];
        char text[2] = {(char)('0' + i), 0};
        struct mw_name name = mw_name_of(mw_str_from(text));
        struct mw_zone_output output = {z,         on_propose, on_may_record,
                                        on_order,  on_answer,  on_target,
                                        on_deliver};
        struct mw_record *record = mw_new_record(MW_RECORD_DOCUMENT);

        z->st = st;
        z->index = i;
        z->zone = mw_new_zone(&name, &output);
        mw_zone_lead(&st->ctx, z->zone, run->now_us, MW_LEAD_RECORDS, 1);
        announce(st, i);
        record->document.environment = MW_PRODUCTION;
        record->document.document = mw_keep_document(doc);
        mw_zone_apply(&st->ctx, z->zone, run->now_us, record);
        mw_drop_record(record);
    }
    mw_drop_document(doc);
    return st;
}

static void
end(void *state)
{
    struct state *st = state;

    for (int i = 0; i < ZONES; i++) {
        g_queue_clear_full(&st->zones[i].records,
                           (GDestroyNotify)mw_drop_record);
        g_queue_clear_full(&st->zones[i].orders, g_free);
        mw_drop_zone(st->zones[i].zone);
    }
    g_hash_table_unref(st->by_name);
    g_hash_table_unref(st->running);
    g_free(st);
}

static void
send_to(struct state *st, struct job *job, int at)
{
    struct zone_state *z = &st->zones[at];
    struct mw_waiter waiter = {.ref = job->id + 1,
                               .key = job->spec.key,
                               .until_done = job->spec.wait};
    int64_t began = clock_us();
    int64_t took;

    mw_zone_submit(&st->ctx, z->zone, st->run->now_us, &job->spec, NULL,
                   &waiter);
    took = clock_us() - began;
    g_array_append_val(st->run->decision_us, took);
    if (!mw_spec_is_recorded(&job->spec)) {
        mw_zone_each_job(z->zone, z, note_job);
    }
    settle(z);
}

static void
submit(void *state, struct job *job)
{
    struct state *st = state;
    int zone = (int)(job->id % ZONES);

    /* checks need no owner; what is recorded goes to its owner */
    while (!mw_spec_is_recorded(&job->spec) && st->run->zone_out[zone]) {
        zone = (int)(++st->turn % ZONES);
    }
    send_to(st, job, zone);
}

static void
finish_part(void *opaque, const struct mw_part *part)
{
    GArray *names = opaque;

    g_array_append_val(names, part->endpoint);
}

static void
ended(void *state, struct job *job)
{
    struct state *st = state;
    struct zone_state *z = &st->zones[job->zone];
    GArray *names = g_array_new(FALSE, FALSE, sizeof(struct mw_name));

    mw_zone_each_part(z->zone, job->attempt_id.job, names, finish_part);
    for (guint i = 0; i < names->len; i++) {
        struct mw_order order = {.attempt = job->attempt_id,
                                 .endpoint =
                                     g_array_index(names, struct mw_name, i)};

        report(z, &order, MW_OUTCOME_FINISHED);
    }
    g_array_unref(names);
    settle(z);
}

static void
tick(void *state)
{
    struct state *st = state;

    for (int i = 0; i < ZONES; i++) {
        announce(st, i);
        settle(&st->zones[i]);
        if (st->run->now_us % (10 * SECOND) == 0 &&
            st->run->deployment->hosts_per_zone <= 16) {
            enum mw_verdict v = mw_oracle_judge(st->zones[i].zone);

            st->run->violations += v == MW_BROKEN;
            st->run->undecided += v == MW_UNDECIDED;
        }
    }
}

static void
zone(void *state, int at, bool out)
{
    struct state *st = state;
    struct mw_record *record = mw_new_record(MW_RECORD_ZONE_STATE);

    record->zone_state.out = out;
    record->zone_state.sequence = ++st->sequence;
    mw_zone_apply(&st->ctx, st->zones[at].zone, st->run->now_us, record);
    mw_drop_record(record);
    settle(&st->zones[at]);
}

struct find_free {
    uint32_t at;
    uint32_t wanted;
    uint32_t free;
};

static void
match_endpoint(void *opaque, const struct mw_endpoint_view *view)
{
    struct find_free *find = opaque;

    if (find->at++ == find->wanted) {
        find->free = view->total.accelerators > view->used.accelerators
                         ? view->total.accelerators - view->used.accelerators
                         : 0;
    }
}

static uint32_t
free_of(void *state, int at, uint32_t host)
{
    struct state *st = state;
    struct find_free find = {.wanted = host};

    mw_zone_each_endpoint(st->zones[at].zone, &find, match_endpoint);
    return find.free;
}

const struct policy ours = {"mimosawind", begin, end,  submit,
                            ended,        tick,  zone, free_of};
