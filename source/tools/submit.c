/*
 * submit: jobs to an entry process, and waiting for them.
 */
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "tool.h"

#define POLL_MS 10000
#define RETRY_MS 300

static struct mw_setting settings[] = {
    {.name = "entry",
     .kind = MW_SETTING_TEXT,
     .required = true,
     .help = "callers' IP:PORT; several by commas are used in turn"},
    {.name = "tokens",
     .kind = MW_SETTING_PATH,
     .required = true,
     .help = "JSON file of organisations and their tokens"},
    {.name = "json",
     .kind = MW_SETTING_FLAG,
     .otherwise = "no",
     .help = "print the replies as JSON"},
    {.name = "give-up-ms",
     .kind = MW_SETTING_NUMBER,
     .least = 1,
     .most = 86400000,
     .otherwise = "60000",
     .help = "stop waiting after this time"},
    {.name = "title",
     .kind = MW_SETTING_TEXT,
     .otherwise = "jobs",
     .help = "word in front of the closing line"},
};

#define COUNT G_N_ELEMENTS(settings)

struct batch {
    SoupSession *session;
    GMainLoop *loop;
    char **entries;
    json_t *tokens;
    GPtrArray *jobs;
    unsigned left;
    unsigned turn;
    bool progress;
    int64_t deadline_us;
};

/* One job of the list and what has become of it. */
struct one {
    struct batch *batch;
    json_t *spec;
    json_t *reply;
    SoupMessage *message;
    int status;
    int64_t began_us;
    int64_t ended_us;
    bool accepted;
};

static void send_one(struct one *one);

static const char *
text_of(json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text ? text : "";
}

static void
end_one(struct one *one)
{
    struct batch *batch = one->batch;

    one->ended_us = g_get_monotonic_time();
    batch->left--;
    if (batch->progress) {
        fprintf(stderr, "\r%u of %u ended", batch->jobs->len - batch->left,
                batch->jobs->len);
    }
    if (batch->left == 0) {
        g_main_loop_quit(batch->loop);
    }
}

static gboolean
send_again(gpointer data)
{
    send_one(data);
    return G_SOURCE_REMOVE;
}

/* Kinds that a resend under the same identifier may settle. */
static bool
is_passing(const struct one *one)
{
    static const char *const kinds[] = {
        "unreachable", "not_leader", "no_quorum", "overloaded",
        "leaving",     "deadline",   "pending",   NULL};
    const char *kind = text_of(one->reply, "kind");

    if (!one->reply) {
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
decide(struct one *one)
{
    bool late = g_get_monotonic_time() >= one->batch->deadline_us;
    bool done = one->status == 200 &&
                strcmp(text_of(one->reply, "state"), "done") == 0;

    if (one->status == 202 && !late) {
        one->accepted = true;
        send_one(one);
    }
    else if (!done && !late && is_passing(one)) {
        g_timeout_add(RETRY_MS, send_again, one);
    }
    else {
        end_one(one);
    }
}

static void
answered(GObject *object, GAsyncResult *result, gpointer data)
{
    struct one *one = data;
    GBytes *body =
        soup_session_send_and_read_finish(SOUP_SESSION(object), result, NULL);
    struct mw_str text;

    json_decref(one->reply);
    one->reply = NULL;
    one->status = 0;
    if (body) {
        text.ptr = g_bytes_get_data(body, &text.len);
        one->status = (int)soup_message_get_status(one->message);
        one->reply = json_loadb(text.ptr, text.len, 0, NULL);
        g_bytes_unref(body);
    }
    g_clear_object(&one->message);
    decide(one);
}

static char *
url_of(struct one *one)
{
    struct batch *batch = one->batch;
    guint count = g_strv_length(batch->entries);
    const char *entry = batch->entries[batch->turn++ % count];

    if (!one->accepted) {
        return g_strdup_printf("http://%s/v1/jobs", entry);
    }
    return g_strdup_printf("http://%s/v1/jobs/%s/%s?wait_ms=%d", entry,
                           text_of(one->spec, "organisation"),
                           text_of(one->spec, "request"), POLL_MS);
}

static void
send_one(struct one *one)
{
    char *url = url_of(one);
    const char *org = text_of(one->spec, "organisation");
    char *token =
        g_strdup_printf("Bearer %s", text_of(one->batch->tokens, org));

    one->message = soup_message_new(one->accepted ? "GET" : "POST", url);
    g_free(url);
    if (!one->message) {
        g_free(token);
        end_one(one);
        return;
    }
    soup_message_headers_replace(
        soup_message_get_request_headers(one->message), "Authorization",
        token);
    g_free(token);
    if (!one->accepted) {
        char *text = json_dumps(one->spec, JSON_COMPACT);
        GBytes *bytes = g_bytes_new(text, strlen(text));

        soup_message_set_request_body_from_bytes(one->message,
                                                 "application/json", bytes);
        g_bytes_unref(bytes);
        free(text);
    }
    soup_session_send_and_read_async(one->batch->session, one->message,
                                     G_PRIORITY_DEFAULT, NULL, answered, one);
}

/* A job has failed unless it finished or was truthfully refused. */
static bool
has_failed(const struct one *one)
{
    const char *ran = text_of(one->reply, "ran");

    if (one->status == 200) {
        return strcmp(text_of(one->reply, "state"), "done") != 0;
    }
    return !one->reply || is_passing(one) || ran[0] == 0;
}

static void
print_one(const struct one *one)
{
    char shape[48];
    json_t *s = one->spec;
    json_t *tasks = json_object_get(s, "tasks");
    json_t *accelerators = json_object_get(s, "accelerators");
    const char *adjacent = text_of(s, "adjacent");
    const char *kind = text_of(one->reply, "kind");

    g_snprintf(shape, sizeof shape, "%dx%d %s",
               tasks ? (int)json_integer_value(tasks) : 1,
               accelerators ? (int)json_integer_value(accelerators) : 1,
               adjacent[0] ? adjacent : "zone");
    printf("%-20s %-24s %-16s %-12s %-13s %8.1f ms\n",
           text_of(s, "organisation"), text_of(s, "request"), shape,
           has_failed(one) && !kind[0] ? "no answer"
           : kind[0]                   ? kind
                                       : "finished",
           text_of(one->reply, "ran"),
           (double)(one->ended_us - one->began_us) / 1000.0);
}

static int
report(struct batch *batch)
{
    bool json =
        mw_str_equal(mw_setting_of(settings, COUNT, "json"), MW_STR("yes"));
    unsigned failed = 0;

    if (batch->progress) {
        fprintf(stderr, "\n");
    }
    if (!json) {
        printf("%-20s %-24s %-16s %-12s %-13s %11s\n", "organisation", "job",
               "shape", "answer", "ran", "time");
    }
    for (guint i = 0; i < batch->jobs->len; i++) {
        struct one *one = batch->jobs->pdata[i];

        failed += has_failed(one);
        if (json) {
            json_dumpf(one->reply, stdout, JSON_COMPACT);
            printf("\n");
        }
        else {
            print_one(one);
        }
    }
    printf("%s: %u jobs, %u failed\n",
           mw_setting_of(settings, COUNT, "title").ptr, batch->jobs->len,
           failed);
    return failed ? MW_EXIT_REFUSED : MW_EXIT_DONE;
}

static void
add_job(struct batch *batch, json_t *spec)
{
    struct one *one = g_new0(struct one, 1);

    one->batch = batch;
    one->spec = json_incref(spec);
    g_ptr_array_add(batch->jobs, one);
}

static void
run(struct batch *batch)
{
    batch->left = batch->jobs->len;
    batch->loop = g_main_loop_new(NULL, FALSE);
    batch->session = soup_session_new_with_options(
        "max-conns", 1024, "max-conns-per-host", 256, "timeout", 60, NULL);
    soup_session_set_proxy_resolver(batch->session, NULL);
    for (guint i = 0; i < batch->jobs->len; i++) {
        struct one *one = batch->jobs->pdata[i];

        one->began_us = g_get_monotonic_time();
        send_one(one);
    }
    if (batch->left > 0) {
        g_main_loop_run(batch->loop);
    }
    g_object_unref(batch->session);
    g_main_loop_unref(batch->loop);
}

static json_t *
load_json(const char *path)
{
    json_error_t at;
    json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &at);

    if (!root) {
        fprintf(stderr, "mw submit: syntax: %s: line %d: %s\n", path, at.line,
                at.text);
    }
    return root;
}

static int
prepare(int argc, char **argv, struct batch *batch, const char *about,
        const char **words, size_t want)
{
    size_t got = 0;
    int err = mw_read_settings(argc, argv, about, settings, COUNT, words, want,
                               &got);

    if (err) {
        return err > 0 ? MW_EXIT_DONE : MW_EXIT_USAGE;
    }
    if (got != want) {
        return mw_fail_use(argv[0], "a word is missing");
    }
    batch->tokens = load_json(mw_setting_of(settings, COUNT, "tokens").ptr);
    if (!batch->tokens) {
        return MW_EXIT_USAGE;
    }
    batch->entries =
        g_strsplit(mw_setting_of(settings, COUNT, "entry").ptr, ",", 0);
    batch->jobs = g_ptr_array_new();
    batch->progress = isatty(STDERR_FILENO);
    batch->deadline_us =
        g_get_monotonic_time() +
        1000 * mw_setting_number(settings, COUNT, "give-up-ms");
    return -1;
}

int
mw_run_submit(int argc, char **argv)
{
    struct batch batch = {0};
    const char *words[1];
    json_t *value;
    size_t i;
    int status = prepare(argc, argv, &batch, "mw submit JOBS.json", words, 1);

    if (status >= 0) {
        return status;
    }
    json_t *root = load_json(words[0]);

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
    run(&batch);
    status = report(&batch);
    json_decref(root);
    return status;
}

int
mw_run_wait(int argc, char **argv)
{
    struct batch batch = {0};
    const char *words[2];
    int status =
        prepare(argc, argv, &batch, "mw wait ORGANISATION REQUEST", words, 2);

    if (status >= 0) {
        return status;
    }
    json_t *spec =
        json_pack("{s:s, s:s}", "organisation", words[0], "request", words[1]);

    add_job(&batch, spec);
    ((struct one *)batch.jobs->pdata[0])->accepted = true;
    run(&batch);
    status = report(&batch);
    json_decref(spec);
    return status;
}

int
mw_run_cancel(int argc, char **argv)
{
    struct batch batch = {0};
    const char *words[2];
    int status = prepare(argc, argv, &batch, "mw cancel ORGANISATION REQUEST",
                         words, 2);

    if (status >= 0) {
        return status;
    }
    struct mw_call call = {
        .method = "DELETE",
        .address = batch.entries[0],
        .token = text_of(batch.tokens, words[0]),
        .path = g_strdup_printf("/v1/jobs/%s/%s", words[0], words[1]),
    };

    if (mw_call_one(&call)) {
        return MW_EXIT_REFUSED;
    }
    struct mw_str text = mw_blob_str(call.reply);
    json_t *reply = json_loadb(text.ptr, text.len, 0, NULL);
    bool cancelled = strcmp(text_of(reply, "kind"), "cancelled") == 0;

    printf("%.*s\n", MW_FMT(text));
    json_decref(reply);
    mw_drop_blob(call.reply);
    g_free(call.path);
    return cancelled ? MW_EXIT_DONE : MW_EXIT_REFUSED;
}
