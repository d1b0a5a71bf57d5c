/*
 * submit: mw submit, mw wait and mw cancel.
 */
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "tool.h"

/* longest time that a status request waits for the end of its job */
#define LONG_POLL_MS 10000
#define RETRY_DELAY_MS 300

static struct mw_setting settings[] = {
    {.name = "entry",
     .kind = MW_SETTING_TEXT,
     .required = true,
     .help = "clients' IP:PORT of entry processes, separated by commas"},
    {.name = "tokens",
     .kind = MW_SETTING_PATH,
     .required = true,
     .help = "JSON file of organisations and their tokens"},
    {.name = "json",
     .kind = MW_SETTING_FLAG,
     .default_value = "no",
     .help = "print the replies as JSON"},
    {.name = "give-up-ms",
     .kind = MW_SETTING_NUMBER,
     .min = 1,
     .max = 86400000,
     .default_value = "60000",
     .help = "stop waiting for the jobs after this time"},
    {.name = "title",
     .kind = MW_SETTING_TEXT,
     .default_value = "jobs",
     .help = "title of the summary line"},
};

#define SETTING_COUNT G_N_ELEMENTS(settings)

struct batch {
    SoupSession *session;
    GMainLoop *loop;
    /* addresses of entry processes, used in turn */
    char **entries;
    json_t *tokens;
    GPtrArray *jobs;
    unsigned unfinished;
    /* number of requests sent; chooses the next of the entries */
    unsigned next_entry;
    bool progress;
    int64_t deadline_us;
};

/* One job of the batch, with its last reply. */
struct batch_job {
    struct batch *batch;
    json_t *spec;
    json_t *reply;
    SoupMessage *message;
    /* HTTP status of the last reply, 0 when there was none */
    int status;
    int64_t began_us;
    int64_t ended_us;
    bool accepted;
};

static void send_request(struct batch_job *job);

static const char *
get_text(json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text ? text : "";
}

static void
finish_job(struct batch_job *job)
{
    struct batch *batch = job->batch;

    job->ended_us = g_get_monotonic_time();
    batch->unfinished--;
    if (batch->progress) {
        fprintf(stderr, "\r%u of %u ended",
                batch->jobs->len - batch->unfinished, batch->jobs->len);
    }
    if (batch->unfinished == 0) {
        g_main_loop_quit(batch->loop);
    }
}

static gboolean
retry(gpointer data)
{
    send_request(data);
    return G_SOURCE_REMOVE;
}

/*
 * Whether the last reply is not final: sending the job again under the same
 * request identifier may get another one.
 */
static bool
is_retryable(const struct batch_job *job)
{
    static const char *const kinds[] = {
        "unreachable", "not_leader", "no_quorum", "overloaded",
        "leaving",     "deadline",   "pending",   NULL};
    const char *kind = get_text(job->reply, "kind");

    if (!job->reply) {
        return true;
    }
    for (const char *const *k = kinds; *k; k++) {
        if (strcmp(kind, *k) == 0) {
            return true;
        }
    }
    return false;
}

static void
handle_reply(struct batch_job *job)
{
    bool late = g_get_monotonic_time() >= job->batch->deadline_us;
    bool done = job->status == 200 &&
                strcmp(get_text(job->reply, "state"), "done") == 0;

    if (job->status == 202 && !late) {
        job->accepted = true;
        send_request(job);
    }
    else if (!done && !late && is_retryable(job)) {
        g_timeout_add(RETRY_DELAY_MS, retry, job);
    }
    else {
        finish_job(job);
    }
}

static void
on_reply(GObject *object, GAsyncResult *result, gpointer data)
{
    struct batch_job *job = data;
    GBytes *body =
        soup_session_send_and_read_finish(SOUP_SESSION(object), result, NULL);
    struct mw_str text;

    json_decref(job->reply);
    job->reply = NULL;
    job->status = 0;
    if (body) {
        text.ptr = g_bytes_get_data(body, &text.len);
        job->status = (int)soup_message_get_status(job->message);
        job->reply = json_loadb(text.ptr, text.len, 0, NULL);
        g_bytes_unref(body);
    }
    g_clear_object(&job->message);
    handle_reply(job);
}

static char *
new_url(struct batch_job *job)
{
    struct batch *batch = job->batch;
    guint count = g_strv_length(batch->entries);
    const char *entry = batch->entries[batch->next_entry++ % count];

    if (!job->accepted) {
        return g_strdup_printf("http://%s/v1/jobs", entry);
    }
    return g_strdup_printf("http://%s/v1/jobs/%s/%s?wait_ms=%d", entry,
                           get_text(job->spec, "organisation"),
                           get_text(job->spec, "request"), LONG_POLL_MS);
}

static void
send_request(struct batch_job *job)
{
    char *url = new_url(job);
    const char *org = get_text(job->spec, "organisation");
    char *token =
        g_strdup_printf("Bearer %s", get_text(job->batch->tokens, org));

    job->message = soup_message_new(job->accepted ? "GET" : "POST", url);
    g_free(url);
    if (!job->message) {
        g_free(token);
        finish_job(job);
        return;
    }
    soup_message_headers_replace(
        soup_message_get_request_headers(job->message), "Authorization",
        token);
    g_free(token);
    if (!job->accepted) {
        char *text = json_dumps(job->spec, JSON_COMPACT);
        GBytes *bytes = g_bytes_new(text, strlen(text));

        soup_message_set_request_body_from_bytes(job->message,
                                                 "application/json", bytes);
        g_bytes_unref(bytes);
        free(text);
    }
    soup_session_send_and_read_async(job->batch->session, job->message,
                                     G_PRIORITY_DEFAULT, NULL, on_reply, job);
}

/*
 * Whether a job counts as failed.  Not failed are a job that is done, and
 * one with a final error whose reply tells the execution status.
 */
static bool
has_failed(const struct batch_job *job)
{
    const char *ran = get_text(job->reply, "ran");

    if (job->status == 200) {
        return strcmp(get_text(job->reply, "state"), "done") != 0;
    }
    return !job->reply || is_retryable(job) || ran[0] == 0;
}

static void
print_job(const struct batch_job *job)
{
    char shape[48];
    json_t *s = job->spec;
    json_t *tasks = json_object_get(s, "tasks");
    json_t *accelerators = json_object_get(s, "accelerators");
    const char *adjacent = get_text(s, "adjacent");
    const char *kind = get_text(job->reply, "kind");

    g_snprintf(shape, sizeof shape, "%dx%d %s",
               tasks ? (int)json_integer_value(tasks) : 1,
               accelerators ? (int)json_integer_value(accelerators) : 1,
               adjacent[0] ? adjacent : "zone");
    printf("%-20s %-24s %-16s %-12s %-13s %8.1f ms\n",
           get_text(s, "organisation"), get_text(s, "request"), shape,
           has_failed(job) && !kind[0] ? "no answer"
           : kind[0]                   ? kind
                                       : "finished",
           get_text(job->reply, "ran"),
           (double)(job->ended_us - job->began_us) / 1000.0);
}

static int
print_report(struct batch *batch)
{
    bool json = mw_str_equal(mw_get_setting(settings, SETTING_COUNT, "json"),
                             MW_STR("yes"));
    unsigned failed = 0;

    if (batch->progress) {
        fprintf(stderr, "\n");
    }
    if (!json) {
        printf("%-20s %-24s %-16s %-12s %-13s %11s\n", "organisation", "job",
               "shape", "answer", "ran", "time");
    }
    for (guint i = 0; i < batch->jobs->len; i++) {
        struct batch_job *job = batch->jobs->pdata[i];

        failed += has_failed(job);
        if (json) {
            json_dumpf(job->reply, stdout, JSON_COMPACT);
            printf("\n");
        }
        else {
            print_job(job);
        }
    }
    printf("%s: %u jobs, %u failed\n",
           mw_get_setting(settings, SETTING_COUNT, "title").ptr,
           batch->jobs->len, failed);
    return failed ? MW_EXIT_FAILURE : MW_EXIT_SUCCESS;
}

static void
add_job(struct batch *batch, json_t *spec)
{
    struct batch_job *job = g_new0(struct batch_job, 1);

    job->batch = batch;
    job->spec = json_incref(spec);
    g_ptr_array_add(batch->jobs, job);
}

static void
run_batch(struct batch *batch)
{
    batch->unfinished = batch->jobs->len;
    batch->loop = g_main_loop_new(NULL, FALSE);
    batch->session = soup_session_new_with_options(
        "max-conns", 1024, "max-conns-per-host", 256, "timeout", 60, NULL);
    soup_session_set_proxy_resolver(batch->session, NULL);
    for (guint i = 0; i < batch->jobs->len; i++) {
        struct batch_job *job = batch->jobs->pdata[i];

        job->began_us = g_get_monotonic_time();
        send_request(job);
    }
    if (batch->unfinished > 0) {
        g_main_loop_run(batch->loop);
    }
    g_object_unref(batch->session);
    g_main_loop_unref(batch->loop);
}

static json_t *
read_json_file(const char *path)
{
    json_error_t at;
    json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &at);

    if (!root) {
        fprintf(stderr, "mw submit: syntax: %s: line %d: %s\n", path, at.line,
                at.text);
    }
    return root;
}

/* Reads flags and arguments; returns an exit status, or -1 to go on. */
static int
read_arguments(int argc, char **argv, struct batch *batch, const char *about,
               const char **arguments, size_t expected)
{
    size_t count = 0;
    int err = mw_read_settings(argc, argv, about, settings, SETTING_COUNT,
                               arguments, expected, &count);

    if (err) {
        return err > 0 ? MW_EXIT_SUCCESS : MW_EXIT_USAGE;
    }
    if (count != expected) {
        return mw_usage_error(argv[0], "an argument is missing");
    }
    batch->tokens =
        read_json_file(mw_get_setting(settings, SETTING_COUNT, "tokens").ptr);
    if (!batch->tokens) {
        return MW_EXIT_USAGE;
    }
    batch->entries = g_strsplit(
        mw_get_setting(settings, SETTING_COUNT, "entry").ptr, ",", 0);
    batch->jobs = g_ptr_array_new();
    batch->progress = isatty(STDERR_FILENO);
    batch->deadline_us =
        g_get_monotonic_time() +
        1000 * mw_get_setting_number(settings, SETTING_COUNT, "give-up-ms");
    return -1;
}

int
mw_run_submit(int argc, char **argv)
{
    struct batch batch = {0};
    const char *arguments[1];
    json_t *value;
    size_t i;
    int status = read_arguments(argc, argv, &batch, "mw submit JOBS.json",
                                arguments, 1);

    if (status >= 0) {
        return status;
    }
    json_t *root = read_json_file(arguments[0]);

    if (!root) {
        return MW_EXIT_USAGE;
    }
    if (json_is_array(root)) {
        json_array_foreach(root, i, value)
        {
            add_job(&batch, value);
        }
    }
    else {
        add_job(&batch, root);
    }
    run_batch(&batch);
    status = print_report(&batch);
    json_decref(root);
    return status;
}

int
mw_run_wait(int argc, char **argv)
{
    struct batch batch = {0};
    const char *arguments[2];
    int status = read_arguments(argc, argv, &batch,
                                "mw wait ORGANISATION REQUEST", arguments, 2);

    if (status >= 0) {
        return status;
    }
    json_t *spec = json_pack("{s:s, s:s}", "organisation", arguments[0],
                             "request", arguments[1]);

    add_job(&batch, spec);
    ((struct batch_job *)batch.jobs->pdata[0])->accepted = true;
    run_batch(&batch);
    status = print_report(&batch);
    json_decref(spec);
    return status;
}

int
mw_run_cancel(int argc, char **argv)
{
    struct batch batch = {0};
    const char *arguments[2];
    int status = read_arguments(
        argc, argv, &batch, "mw cancel ORGANISATION REQUEST", arguments, 2);

    if (status >= 0) {
        return status;
    }
    struct mw_tool_request request = {
        .method = "DELETE",
        .address = batch.entries[0],
        .token = get_text(batch.tokens, arguments[0]),
        .path = g_strdup_printf("/v1/jobs/%s/%s", arguments[0], arguments[1]),
    };

    if (mw_send_tool_request(&request)) {
        return MW_EXIT_FAILURE;
    }
    struct mw_str text = mw_blob_str(request.reply);
    json_t *reply = json_loadb(text.ptr, text.len, 0, NULL);
    bool cancelled = strcmp(get_text(reply, "kind"), "cancelled") == 0;

    printf("%.*s\n", MW_FMT(text));
    json_decref(reply);
    mw_drop_blob(request.reply);
    g_free(request.path);
    return cancelled ? MW_EXIT_SUCCESS : MW_EXIT_FAILURE;
}
