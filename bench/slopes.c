/*
 * slopes: marginal cost of an endpoint, job, task, organisation, record and
 * message, each from the difference of two sizes or as a mean over many.
 */
#include <fcntl.h>
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "mimosawind.h"

#define ZONE_ENDPOINTS 740

struct outputs {
    GQueue records;
    GQueue commands;
};

static int64_t
monotonic_us(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

static double
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return (double)info.uordblks + (double)info.hblkhd;
}

static int
on_propose(void *opaque, struct mw_record *record)
{
    struct outputs *outputs = opaque;

    g_queue_push_tail(&outputs->records, mw_keep_record(record));
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
    struct outputs *outputs = opaque;

    if (command->kind != MW_COMMAND_FORGET) {
        g_queue_push_tail(&outputs->commands,
                          g_memdup2(command, sizeof *command));
    }
}

static void
on_answer(void *opaque, const struct mw_waiter *waiter,
          const struct mw_answer *answer)
{
    (void)opaque;
    (void)waiter;
    (void)answer;
}

static bool
on_select_zone(void *opaque, const struct mw_shape *shape,
               struct mw_name *zone)
{
    (void)opaque;
    (void)shape;
    (void)zone;
    return false;
}

static uint64_t
on_handover(void *opaque, const struct mw_name *zone,
            const struct mw_job_spec *spec, struct mw_blob *body)
{
    (void)opaque;
    (void)zone;
    (void)spec;
    (void)body;
    return 0;
}

static struct mw_announcement
make_announcement(int i)
{
    struct mw_announcement a = {.total = {8, 32, 64, 262144},
                                .incarnation = 1};
    char text[32];

    g_snprintf(text, sizeof text, "worker-%d", i);
    a.endpoint = mw_name_of(mw_str_from(text));
    g_snprintf(text, sizeof text, "rack-%d", i / 8);
    a.rack = mw_name_of(mw_str_from(text));
    a.address = mw_name_of(MW_STR("10.0.0.1:8000"));
    return a;
}

static struct mw_zone *
new_zone(struct outputs *outputs, int endpoint_count)
{
    struct mw_zone_output output = {
        outputs,    on_propose, on_can_record_durably,
        on_command, on_answer,  on_select_zone,
        on_handover};
    struct mw_name name = mw_name_of(MW_STR("za"));
    struct mw_zone *zone = mw_new_zone(&name, &output);
    struct mw_context ctx = {0};

    for (int i = 0; i < endpoint_count; i++) {
        struct mw_announcement a = make_announcement(i);

        mw_zone_announce(&ctx, zone, 1, &a);
    }
    mw_zone_set_leadership(&ctx, zone, 1, MW_LEAD_ALL, 1);
    return zone;
}

static struct mw_document *
make_document(int orgs, uint64_t version)
{
    GString *text = g_string_new(NULL);
    struct mw_context ctx = {0};
    int err = 0;

    g_string_printf(text,
                    "{\"version\":%d,\"zones\":[{\"name\":\"za\"}],"
                    "\"organisations\":[",
                    (int)version);
    for (int i = 0; i < orgs; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"team-%d\",\"token_sha256\":\"%064d\","
            "\"queued_max\":1000000,\"guarantees\":[{\"zone\":\"za\","
            "\"tasks\":1,\"accelerators\":2,\"adjacent\":\"endpoint\"}]}",
            i ? "," : "", i, 0);
    }
    g_string_append(text, "]}");
    struct mw_document *doc =
        mw_parse_document(&ctx, (struct mw_str){text->str, text->len}, &err);

    g_string_free(text, TRUE);
    return doc;
}

static void
apply_document(struct mw_zone *zone, struct mw_document *doc)
{
    struct mw_record *record = mw_new_record(MW_RECORD_DOCUMENT);
    struct mw_context ctx = {0};

    record->document.environment = MW_PRODUCTION;
    record->document.document = mw_keep_document(doc);
    mw_zone_apply(&ctx, zone, 1, record);
    mw_drop_record(record);
}

static void
process_pending(struct mw_zone *zone, struct outputs *outputs, int64_t now)
{
    struct mw_context ctx = {0};

    while (outputs->records.length + outputs->commands.length > 0) {
        struct mw_record *record = g_queue_pop_head(&outputs->records);
        struct mw_endpoint_command *command =
            record ? NULL : g_queue_pop_head(&outputs->commands);

        if (record) {
            mw_zone_apply(&ctx, zone, now, record);
            mw_drop_record(record);
        }
        else {
            struct mw_report r = {.outcome =
                                      command->kind == MW_COMMAND_RESERVE
                                          ? MW_OUTCOME_RESERVED
                                          : MW_OUTCOME_STARTED,
                                  .attempt = command->attempt,
                                  .endpoint = command->endpoint};

            mw_zone_report(&ctx, zone, now, &r);
            g_free(command);
        }
        mw_zone_tick(&ctx, zone, now);
    }
}

static struct mw_job_spec
make_spec(int i, uint32_t tasks, uint32_t accelerators)
{
    struct mw_job_spec spec = {
        .idempotent = true, .checkpoint = true, .priority = MW_NORMAL};
    char text[32];

    g_snprintf(text, sizeof text, "team-%d", i % 240);
    spec.key.org = mw_name_of(mw_str_from(text));
    g_snprintf(text, sizeof text, "request-%d", i);
    spec.key.request = mw_name_of(mw_str_from(text));
    spec.shape =
        (struct mw_shape){tasks, {accelerators, 1, 1, 1024}, MW_ADJACENT_ZONE};
    return spec;
}

static void
submit(struct mw_zone *zone, const struct mw_job_spec *spec)
{
    struct mw_waiter waiter = {.ref = 1, .key = spec->key};
    struct mw_context ctx = {0};

    mw_zone_submit(&ctx, zone, 1000, spec, NULL, &waiter);
}

static void
measure_memory(void)
{
    struct outputs outputs = {G_QUEUE_INIT, G_QUEUE_INIT};
    double before = heap_bytes(), after;
    struct mw_zone *zone = new_zone(&outputs, 17000);

    after = heap_bytes();
    printf("bytes_per_worker %.0f\n", (after - before) / 17000);
    struct mw_document *doc = make_document(240, 1);

    before = heap_bytes();
    apply_document(zone, doc);
    printf("bytes_per_organisation %.0f\n", (heap_bytes() - before) / 240);
    mw_drop_document(doc);
    before = heap_bytes();
    for (int i = 0; i < 2000; i++) {
        struct mw_job_spec spec = make_spec(i, 16, 0);

        submit(zone, &spec);
        process_pending(zone, &outputs, 1000);
    }
    printf("bytes_per_running_task %.0f\n", (heap_bytes() - before) / 32000);
    before = heap_bytes();
    for (int i = 10000; i < 20000; i++) {
        struct mw_job_spec spec = make_spec(i, 512, 8);

        submit(zone, &spec);
        while (outputs.records.length > 0) {
            struct mw_record *record = g_queue_pop_head(&outputs.records);
            struct mw_context ctx = {0};

            mw_zone_apply(&ctx, zone, 1000, record);
            mw_drop_record(record);
        }
    }
    printf("bytes_per_queued_job %.0f\n", (heap_bytes() - before) / 10000);
    mw_drop_zone(zone);
    before = heap_bytes();
    doc = make_document(240, 1);
    printf("bytes_per_document_of_240 %.0f\n", heap_bytes() - before);
    printf("document_text_bytes_of_240 %zu\n", doc->text->len);
    mw_drop_document(doc);
}

static int
compare_times(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return x < y ? -1 : x > y;
}

/* Time of a submission in a zone that is three quarters full. */
static void
measure_decisions(int endpoint_count)
{
    struct outputs outputs = {G_QUEUE_INIT, G_QUEUE_INIT};
    struct mw_zone *zone = new_zone(&outputs, endpoint_count);
    struct mw_document *doc = make_document(240, 1);
    GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    int filled_tasks = endpoint_count * 6;
    int64_t sum = 0;

    if (endpoint_count >= ZONE_ENDPOINTS) {
        apply_document(zone, doc);
    }
    else {
        struct mw_document *small = make_document(4, 1);

        apply_document(zone, small);
        mw_drop_document(small);
    }
    for (int i = 0; i < filled_tasks; i++) {
        struct mw_job_spec spec = make_spec(i, 1, 1);

        if (endpoint_count < ZONE_ENDPOINTS) {
            spec.key.org = mw_name_of(MW_STR("team-1"));
        }
        submit(zone, &spec);
        process_pending(zone, &outputs, 1000);
    }
    for (int i = 0; i < 1000; i++) {
        struct mw_job_spec spec =
            make_spec(1000000 + i, i % 10 ? 1 : 4, i % 10 ? 1 : 2);
        int64_t start_us = monotonic_us();
        int64_t us;

        if (endpoint_count < ZONE_ENDPOINTS) {
            spec.key.org = mw_name_of(MW_STR("team-1"));
        }
        spec.wait = true;
        spec.priority = MW_URGENT;
        spec.shape.adjacent = i % 10 ? MW_ADJACENT_ZONE : MW_ADJACENT_RACK;
        submit(zone, &spec);
        us = monotonic_us() - start_us;
        process_pending(zone, &outputs, 1000);
        sum += us;
        g_array_append_val(times, us);
    }
    g_array_sort(times, compare_times);
    printf("decision_us workers=%d mean %.1f p99 %d\n", endpoint_count,
           (double)sum / 1000, (int)g_array_index(times, int64_t, 989));
    struct mw_context ctx = {0};
    int64_t start_us = monotonic_us();

    for (int i = 0; i < endpoint_count; i++) {
        struct mw_announcement a = make_announcement(i);

        mw_zone_announce(&ctx, zone, 2000, &a);
    }
    printf("announce_us workers=%d %.2f\n", endpoint_count,
           (double)(monotonic_us() - start_us) / endpoint_count);
    start_us = monotonic_us();
    for (int i = 0; i < 20; i++) {
        mw_zone_tick(&ctx, zone, 300000 * (i + 1));
    }
    printf("tick_us workers=%d %.1f\n", endpoint_count,
           (double)(monotonic_us() - start_us) / 20);
    g_array_unref(times);
    mw_drop_zone(zone);
    mw_drop_document(doc);
    fflush(stdout);
}

static void
measure_message(const char *what, struct mw_msg *msg)
{
    struct mw_name name = mw_name_of(MW_STR("c-za-1"));
    struct mw_blob *blob = mw_encode_msg(msg, &name, 0);
    int64_t start_us = monotonic_us();

    for (int i = 0; i < 10000; i++) {
        mw_drop_blob(mw_encode_msg(msg, &name, 0));
    }
    printf("frame_bytes %s %zu encode_us %.2f\n", what, blob->len + 20,
           (double)(monotonic_us() - start_us) / 10000);
    mw_drop_blob(blob);
    mw_drop_msg(msg);
}

static void
measure_messages(void)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_HEARTBEAT);

    msg->heartbeat.zone = mw_name_of(MW_STR("zone-12"));
    msg->heartbeat.epoch = 1000;
    msg->heartbeat.version[MW_PRODUCTION] = 100000;
    msg->heartbeat.load.free_accelerators = 300;
    measure_message("heartbeat", msg);
    for (int n = 0; n <= 24; n += 24) {
        char what[32];

        msg = mw_new_msg(MW_MSG_ANNOUNCE);
        msg->announce = make_announcement(7);
        msg->announce.listed_count = (uint32_t)n;
        msg->announce.listed = g_new0(struct mw_listed_attempt, n);
        for (int i = 0; i < n; i++) {
            msg->announce.listed[i].attempt = (struct mw_attempt_id){
                mw_name_of(MW_STR("zone-12")), 1000000 + (uint64_t)i, 1000, 1};
        }
        g_snprintf(what, sizeof what, "announce_%d_attempts", n);
        measure_message(what, msg);
    }
    msg = mw_new_msg(MW_MSG_ORDER);
    msg->order.attempt =
        (struct mw_attempt_id){mw_name_of(MW_STR("zone-12")), 1, 1000, 1};
    msg->order.endpoint = mw_name_of(MW_STR("worker-7"));
    msg->order.address = mw_name_of(MW_STR("10.0.0.1:8000"));
    measure_message("order", msg);
    msg = mw_new_msg(MW_MSG_DOCUMENT);
    msg->document.document = make_document(240, 1);
    measure_message("document_of_240", msg);
}

static size_t
stored_size(struct mw_record *record)
{
    struct mw_stored_item item = {.kind = MW_STORED_ENTRY,
                                  .term = 1000,
                                  .index = 1000000,
                                  .record_count = 1,
                                  .records = &record};
    struct mw_blob *blob = mw_encode_stored(&item);
    size_t size = blob->len + 8;

    mw_drop_blob(blob);
    return size;
}

static void
measure_records(void)
{
    struct mw_record *accept = mw_new_record(MW_RECORD_ACCEPT);
    struct mw_record *intent = mw_new_record(MW_RECORD_INTENT);

    accept->accept.spec = make_spec(1, 16, 1);
    accept->accept.job = 1000000;
    accept->accept.body = mw_new_blob(MW_STR("0123456789"));
    intent->intent.part_count = 16;
    intent->intent.parts = g_new0(struct mw_part, 16);
    for (int i = 0; i < 16; i++) {
        intent->intent.parts[i].endpoint = mw_name_of(MW_STR("worker-7000"));
    }
    printf("stored_bytes accept %zu\n", stored_size(accept));
    printf("stored_bytes intent_of_16 %zu\n", stored_size(intent));
    mw_drop_record(accept);
    mw_drop_record(intent);
}

static void
measure_disk_sync(void)
{
    char path[] = "slopes.XXXXXX";
    int fd = mkstemp(path);
    static char block[64 * 200];
    static const int batches[] = {1, 16, 64};

    for (size_t b = 0; b < G_N_ELEMENTS(batches); b++) {
        int64_t start_us = monotonic_us();
        int rounds = 200;

        for (int i = 0; i < rounds; i++) {
            if (write(fd, block, (size_t)batches[b] * 200) < 0 ||
                fdatasync(fd) != 0) {
                break;
            }
        }
        printf("sync_us records=%d %.0f\n", batches[b],
               (double)(monotonic_us() - start_us) / rounds);
    }
    close(fd);
    unlink(path);
}

static void
append_record(void *out, struct mw_record *record)
{
    g_ptr_array_add(out, mw_keep_record(record));
}

static void
measure_restart(void)
{
    struct outputs outputs = {G_QUEUE_INIT, G_QUEUE_INIT};
    struct mw_zone *zone = new_zone(&outputs, ZONE_ENDPOINTS);
    GPtrArray *all =
        g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_record);
    struct mw_document *doc = make_document(240, 1);
    struct mw_context ctx = {0};
    int64_t start_us;

    apply_document(zone, doc);
    for (int i = 0; i < 10000; i++) {
        struct mw_job_spec spec = make_spec(i, 1, 0);

        submit(zone, &spec);
        process_pending(zone, &outputs, 1000);
    }
    start_us = monotonic_us();
    mw_zone_snapshot(zone, all, append_record);
    printf("snapshot_us jobs=10000 %d records=%u\n",
           (int)(monotonic_us() - start_us), all->len);
    mw_drop_zone(zone);
    zone = new_zone(&outputs, ZONE_ENDPOINTS);
    mw_zone_set_leadership(&ctx, zone, 1, MW_LEAD_NONE, 0);
    start_us = monotonic_us();
    for (guint i = 0; i < all->len; i++) {
        mw_zone_apply(&ctx, zone, 1, all->pdata[i]);
    }
    mw_zone_set_leadership(&ctx, zone, 1, MW_LEAD_ALL, 2);
    printf("restart_us jobs=10000 %d\n", (int)(monotonic_us() - start_us));
    mw_drop_zone(zone);
    mw_drop_document(doc);
    g_ptr_array_unref(all);
}

static void
measure_owner_moves(void)
{
    struct mw_name zones[24];
    int counts[] = {3, 23};

    for (int c = 0; c < 2; c++) {
        int n = counts[c], moved = 0, modulo = 0, wrong = 0;

        for (int i = 0; i <= n; i++) {
            char text[16];

            g_snprintf(text, sizeof text, "zone-%d", i);
            zones[i] = mw_name_of(mw_str_from(text));
        }
        for (int i = 0; i < 100000; i++) {
            struct mw_job_spec spec = make_spec(i, 1, 1);
            unsigned hash = mw_hash_key(&spec.key);
            int a = mw_owner_zone(&spec.key, zones, (size_t)n);
            int b = mw_owner_zone(&spec.key, zones, (size_t)n + 1);

            moved += a != b;
            wrong += a != b && b != n;
            modulo += hash % (unsigned)n != hash % (unsigned)(n + 1);
        }
        printf("owner zones=%d->%d rendezvous_moved %.3f to_others %d "
               "modulo_moved %.3f carried_in_identifier_moved 0\n",
               n, n + 1, moved / 1e5, wrong, modulo / 1e5);
    }
}

int
main(void)
{
    static const int endpoint_counts[] = {48, 480, 740, 4800, 17000};

    measure_memory();
    for (size_t i = 0; i < G_N_ELEMENTS(endpoint_counts); i++) {
        measure_decisions(endpoint_counts[i]);
    }
    measure_messages();
    measure_records();
    measure_disk_sync();
    measure_restart();
    measure_owner_moves();
    return 0;
}
