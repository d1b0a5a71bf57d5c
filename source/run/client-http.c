#include "client-http.h"

#include <string.h>

#include "http-task.h"

#define TOKEN_BYTES_MAX 1024
#define DRAIN_CHECK_INTERVAL_US 20000

struct mw_client_http {
    struct mw_task *task;
    struct mw_task *owner;
    struct mw_name address;
    struct mw_http *http;
    struct mw_context ctx;
    bool closing;
    bool drained;
    int64_t drain_check_deadline_us;
};

/* SHA-256 of the bearer token; empty if there is none. */
static struct mw_name
token_hash(const struct mw_http_request *request)
{
    struct mw_str value = mw_http_header(request, "Authorization");
    struct mw_str scheme = MW_STR("Bearer ");
    struct mw_name hash = {0};
    gsize len = MW_TOKEN_HASH_LEN;
    GChecksum *sum;

    if (value.len <= scheme.len || value.len > TOKEN_BYTES_MAX ||
        memcmp(value.ptr, scheme.ptr, scheme.len) != 0) {
        return hash;
    }
    sum = g_checksum_new(G_CHECKSUM_SHA256);
    g_checksum_update(sum, (const guchar *)value.ptr + scheme.len,
                      (gssize)(value.len - scheme.len));
    g_checksum_get_digest(sum, (guint8 *)hash.ptr, &len);
    g_checksum_free(sum);
    hash.len = (uint8_t)len;
    return hash;
}

static struct mw_task_msg *
request_mail(const struct mw_http_request *request, struct mw_msg *msg)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_REQUEST);

    task_msg->handle = request->handle;
    task_msg->token_hash = token_hash(request);
    task_msg->msg = msg;
    return task_msg;
}

static void
submit(struct mw_client_http *server, const struct mw_http_request *request)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_SUBMIT);
    int err = mw_parse_job(&server->ctx, request->body, mw_now(),
                           &msg->submit.spec, &msg->submit.body);

    if (err) {
        mw_drop_msg(msg);
        mw_http_reply_error(server->http, request->handle, err,
                            mw_detail(&server->ctx));
        return;
    }
    mw_post(server->owner, request_mail(request, msg));
}

/* Parses ORGANISATION/REQUEST. */
static int
parse_job_key(struct mw_str path, struct mw_job_key *key)
{
    const char *slash = memchr(path.ptr, '/', path.len);

    if (!slash) {
        return MW_ERR_INVALID;
    }
    size_t first = (size_t)(slash - path.ptr);
    struct mw_str rest = {slash + 1, path.len - first - 1};

    if (mw_set_name(&key->org, (struct mw_str){path.ptr, first}) ||
        mw_set_name(&key->request, rest) || !mw_name_valid(&key->org) ||
        !mw_name_valid(&key->request)) {
        return MW_ERR_INVALID;
    }
    return 0;
}

/* Parses the query parameter wait_ms; 0 if it is absent or no number. */
static int64_t
parse_wait_us(const struct mw_http_request *request)
{
    struct mw_str text = mw_http_query_param(request, MW_STR("wait_ms"));
    int64_t wait = 0;

    for (size_t i = 0; i < text.len && i < 8; i++) {
        if (!g_ascii_isdigit(text.ptr[i])) {
            return 0;
        }
        wait = wait * 10 + (text.ptr[i] - '0');
    }
    return MIN(wait * 1000, MW_DEADLINE_MAX_US);
}

static void
query(struct mw_client_http *server, const struct mw_http_request *request,
      struct mw_str path, bool cancel)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_QUERY);
    int64_t wait = parse_wait_us(request);

    if (parse_job_key(path, &msg->query.key)) {
        mw_drop_msg(msg);
        mw_http_reply_error(server->http, request->handle, MW_ERR_INVALID,
                            MW_STR("path: /v1/jobs/ORGANISATION/REQUEST"));
        return;
    }
    msg->query.cancel = cancel;
    msg->query.until_done = cancel || wait > 0;
    struct mw_task_msg *task_msg = request_mail(request, msg);

    task_msg->deadline_us =
        mw_now() + (wait > 0 ? wait : MW_DEFAULT_DEADLINE_US / 3);
    mw_post(server->owner, task_msg);
}

static void
handle_request(void *opaque, const struct mw_http_request *request)
{
    struct mw_client_http *server = opaque;
    struct mw_str jobs = MW_STR("/v1/jobs");
    struct mw_str path = request->path;
    bool under = path.len > jobs.len + 1 &&
                 memcmp(path.ptr, jobs.ptr, jobs.len) == 0 &&
                 path.ptr[jobs.len] == '/';
    struct mw_str rest = {path.ptr + jobs.len + 1,
                          under ? path.len - jobs.len - 1 : 0};

    if (server->closing) {
        mw_http_reply_error(server->http, request->handle, MW_ERR_LEAVING,
                            MW_STR(""));
    }
    else if (mw_str_equal(path, jobs) &&
             mw_str_equal(request->method, MW_STR("POST"))) {
        submit(server, request);
    }
    else if (under && mw_str_equal(request->method, MW_STR("GET"))) {
        query(server, request, rest, false);
    }
    else if (under && mw_str_equal(request->method, MW_STR("DELETE"))) {
        query(server, request, rest, true);
    }
    else if (mw_str_equal(path, MW_STR("/ready"))) {
        mw_post(server->owner, request_mail(request, NULL));
    }
    else {
        mw_http_reply_error(server->http, request->handle, MW_ERR_INVALID,
                            MW_STR("no such path or method; see "
                                   "docs/INTERFACE.md"));
    }
}

static void
handle_client_closed(void *opaque, uint64_t handle)
{
    struct mw_client_http *server = opaque;

    mw_post_client_closed(server->owner, handle);
}

static void
client_start(void *opaque, struct mw_task *task)
{
    struct mw_client_http *server = opaque;
    struct mw_http_setup setup = {
        .address = server->address,
        .setting_name = "--listen",
        .source = MW_SOURCE_CLIENT,
        .body_max = MW_BODY_BYTES_MAX,
        .opaque = server,
        .request = handle_request,
        .client_closed = handle_client_closed,
    };

    (void)task;
    server->http = mw_start_http(&setup, server->owner);
}

static void
client_receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_client_http *server = opaque;

    if (!server->http) {
        return;
    }
    if (task_msg->kind == MW_TASK_MSG_REPLY) {
        mw_reply_http(server->http, task_msg);
    }
    else if (task_msg->kind == MW_TASK_MSG_LEAVE && !server->closing) {
        server->closing = true;
        mw_http_stop_listening(server->http);
    }
}

static int64_t
client_deadline(void *opaque)
{
    struct mw_client_http *server = opaque;

    return server->closing && !server->drained
               ? server->drain_check_deadline_us
               : INT64_MAX;
}

static void
client_tick(void *opaque, int64_t now_us)
{
    struct mw_client_http *server = opaque;

    server->drain_check_deadline_us = now_us + DRAIN_CHECK_INTERVAL_US;
    if (mw_http_pending_count(server->http) == 0) {
        server->drained = true;
        mw_post_leave(server->owner);
    }
}

static void
client_stop(void *opaque)
{
    struct mw_client_http *server = opaque;

    mw_drop_http(server->http);
}

struct mw_client_http *
mw_new_client_http(const struct mw_name *address, struct mw_task *owner)
{
    struct mw_client_http *server = g_new0(struct mw_client_http, 1);
    struct mw_task_callbacks work = {
        .opaque = server,
        .start = client_start,
        .receive = client_receive,
        .deadline = client_deadline,
        .tick = client_tick,
        .stop = client_stop,
    };

    server->address = *address;
    server->owner = owner;
    server->task = mw_new_task("callers", &work);
    return server;
}

void
mw_drop_client_http(struct mw_client_http *server)
{
    if (server) {
        mw_drop_task(server->task);
        g_free(server);
    }
}

struct mw_task *
mw_client_http_task(struct mw_client_http *server)
{
    return server->task;
}
