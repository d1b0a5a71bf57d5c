/*
 * endpoints: fake endpoints that execute the leader's commands over HTTP.
 */
#include <jansson.h>
#include <libsoup/soup.h>
#include <string.h>

#include "http-names.h"
#include "soak.h"

#define TICK_MS 20
#define HEARTBEAT_INTERVAL_US 500000
/* time from the acknowledgement of its draining to an endpoint's restart */
#define RESTART_DELAY_US 3000000
#define REQUEST_TIMEOUT_S 1
/* how late a call without an answer is executed */
#define LATE_CALL_MIN_MS 2000
#define LATE_CALL_MAX_MS 8000
/* of three flows one has long runs, which outlast leases */
#define LONG_ONE_IN 3
#define LONG_RUN_MIN_MS 12000
#define LONG_RUN_MAX_MS 20000
/* an endpoint that restarts shows an unrelated time, of up to hours */
#define CLOCK_MAX_MS 14400000

/* pending_reply: a long poll, answered when a run ends or at its deadline. */
struct pending_reply {
    uint64_t handle;
    int64_t deadline_us;
    uint64_t end_count;
};

/* late_call: a call without an answer, which is executed later. */
struct late_call {
    int64_t received_us;
    int64_t deadline_us;
    uint64_t incarnation;
    struct mw_flow_command command;
};

struct endpoint {
    struct soak_endpoints *all;
    int index;
    struct mw_fake_endpoint *fake;
    struct mw_http *http;
    struct soak_proxy *proxy;
    char ip[24];
    GArray *pending_replies;
    GArray *late_calls;
    /* calls that grant a lease are late until then */
    int64_t late_deadline_us;
    /* index of the control process that heartbeats are sent to */
    int control_index;
    char *heartbeat_address;
    bool heartbeat_pending;
    int64_t heartbeat_deadline_us;
};

struct soak_endpoints {
    struct mw_fake_endpoints *fakes;
    struct endpoint endpoints[SOAK_ENDPOINTS];
    SoupSession *session;
    guint timer;
};

/* heartbeat: a heartbeat without a response yet. */
struct heartbeat {
    struct endpoint *endpoint;
    SoupMessage *message;
    uint64_t incarnation;
    bool draining;
};

static void
append_task_id(json_t *row, const struct mw_task_id *task)
{
    char *text =
        g_strdup_printf("%.*s.%u.%u.%u", MW_FMT(mw_name_str(&task->flow)),
                        task->occurrence, task->step, task->index);

    json_array_append_new(row, json_string(text));
    g_free(text);
}

static void
append_run(json_t *running, json_t *finished, const struct mw_listed_run *run)
{
    json_t *row = json_array();

    if (run->ended) {
        json_array_append_new(row, json_integer((json_int_t)run->end_number));
    }
    append_task_id(row, &run->task);
    json_array_append_new(row, json_integer(run->run));
    if (run->ended) {
        json_array_append_new(row, json_string(mw_run_end_str(run->end).ptr));
        json_array_append_new(row, json_string(""));
        json_array_append_new(finished, row);
    }
    else {
        json_array_append_new(row, json_string(""));
        json_array_append_new(row, json_integer(run->percent));
        json_array_append_new(running, row);
    }
}

static json_t *
format_response(const struct mw_flow_response *response)
{
    json_t *body = json_object();

    json_object_set_new(body, "clock-ms",
                        json_integer(response->clock_us / 1000));
    if (response->has_list) {
        json_object_set_new(body, "born",
                            json_integer((json_int_t)response->incarnation));
        json_t *running = json_array();
        json_t *finished = json_array();

        for (uint32_t i = 0; i < response->run_count; i++) {
            append_run(running, finished, &response->runs[i]);
        }
        json_object_set_new(body, "running", running);
        json_object_set_new(body, "finished", finished);
    }
    if (response->result == MW_FLOW_REFUSED_FENCE) {
        json_object_set_new(body, "reason", json_string("fence"));
    }
    else if (response->result == MW_FLOW_REFUSED_OLD) {
        json_object_set_new(body, "reason", json_string("old"));
    }
    else if (response->result == MW_FLOW_REFUSED_LATE) {
        json_object_set_new(body, "reason", json_string("late"));
    }
    return body;
}

static void
send_response(struct endpoint *endpoint, uint64_t handle,
              const struct mw_flow_response *response)
{
    json_t *body = format_response(response);
    char *text = json_dumps(body, JSON_COMPACT);
    struct mw_blob *blob = mw_new_blob(mw_str_from(text));

    mw_http_reply(endpoint->http, handle,
                  response->result == MW_FLOW_DONE ? 200 : 409, blob);
    mw_drop_blob(blob);
    free(text);
    json_decref(body);
}

static int64_t
get_integer(const json_t *body, const char *key)
{
    return json_integer_value(json_object_get(body, key));
}

static bool
parse_task(const char *text, struct mw_task_id *task)
{
    const char *dot = text ? strchr(text, '.') : NULL;

    if (!dot) {
        return false;
    }
    task->flow = mw_name_of((struct mw_str){text, (size_t)(dot - text)});
    return sscanf(dot, ".%u.%u.%u", &task->occurrence, &task->step,
                  &task->index) == 3;
}

/* Parses a command into the scheduler's own type; the path determines its
 * kind. */
static bool
parse_command(const struct mw_http_request *request,
              struct mw_flow_command *command)
{
    json_t *body = json_loadb(request->body.ptr, request->body.len, 0, NULL);
    bool ok = body != NULL;

    command->fence = (uint64_t)get_integer(body, "fencing-token");
    command->lease_deadline_us = get_integer(body, "deadline-ms") * 1000;
    command->run = (uint32_t)get_integer(body, "attempt");
    command->acknowledged_end = (uint64_t)get_integer(body, "ack-cursor");
    command->long_poll_us = get_integer(body, "wait-ms") * 1000;
    if (mw_str_equal(request->path, MW_STR(MW_PATH_HOLD))) {
        command->kind = MW_FLOW_COMMAND_RENEW;
    }
    else {
        command->kind = mw_str_equal(request->path, MW_STR(MW_PATH_START))
                            ? MW_FLOW_COMMAND_START
                            : MW_FLOW_COMMAND_STOP;
        ok = ok &&
             parse_task(json_string_value(json_object_get(body, "task-id")),
                        &command->task);
    }
    json_decref(body);
    return ok;
}

/* Returns whether the call gets no answer, and is executed later. */
static bool
delay_call(struct endpoint *endpoint, const struct mw_flow_command *command)
{
    int64_t now_us = soak_now_us();
    struct late_call call = {
        .received_us = now_us,
        .deadline_us =
            now_us + INT64_C(1000) * g_random_int_range(LATE_CALL_MIN_MS,
                                                        LATE_CALL_MAX_MS + 1),
        .incarnation = endpoint->fake->incarnation,
        .command = *command,
    };

    if (now_us >= endpoint->late_deadline_us ||
        command->lease_deadline_us == 0) {
        return false;
    }
    g_array_append_val(endpoint->late_calls, call);
    return true;
}

/* The time that they grant counts from now. */
static void
execute_late_calls(struct endpoint *endpoint, int64_t now_us)
{
    for (guint i = endpoint->late_calls->len; i > 0; i--) {
        struct late_call call =
            g_array_index(endpoint->late_calls, struct late_call, i - 1);
        struct mw_flow_response response;

        if (now_us < call.deadline_us) {
            continue;
        }
        g_array_remove_index(endpoint->late_calls, i - 1);
        if (call.incarnation != endpoint->fake->incarnation) {
            continue;
        }
        call.command.lease_deadline_us += now_us - call.received_us;
        response =
            mw_execute_fake_command(endpoint->all->fakes, endpoint->fake,
                                    &call.command, now_us, MW_ARRIVAL_DELAYED);
        g_free(response.runs);
    }
}

static void
on_command(void *opaque, const struct mw_http_request *request)
{
    struct endpoint *endpoint = opaque;
    struct mw_flow_command command = {0};
    struct mw_flow_response response;
    struct mw_blob *empty = mw_new_blob(MW_STR("{}"));

    if (!mw_str_equal(mw_http_header(request, MW_HEADER_ENDPOINT),
                      mw_name_str(&endpoint->fake->id))) {
        mw_http_reply(endpoint->http, request->handle, 421, empty);
    }
    else if (!parse_command(request, &command)) {
        mw_http_reply(endpoint->http, request->handle, 400, empty);
    }
    else if (!delay_call(endpoint, &command)) {
        response = mw_execute_fake_command(endpoint->all->fakes,
                                           endpoint->fake, &command,
                                           soak_now_us(), MW_ARRIVAL_PROMPT);
        if (command.long_poll_us > 0 && response.result == MW_FLOW_DONE) {
            struct pending_reply pending = {
                request->handle, soak_now_us() + command.long_poll_us,
                endpoint->fake->last_end_number};

            g_array_append_val(endpoint->pending_replies, pending);
        }
        else {
            send_response(endpoint, request->handle, &response);
        }
        g_free(response.runs);
    }
    mw_drop_blob(empty);
}

static void
send_due_replies(struct endpoint *endpoint, int64_t now_us)
{
    for (guint i = endpoint->pending_replies->len; i > 0; i--) {
        struct pending_reply pending = g_array_index(
            endpoint->pending_replies, struct pending_reply, i - 1);
        struct mw_flow_command query = {.kind = MW_FLOW_COMMAND_RENEW,
                                        .fence = endpoint->fake->fence};
        struct mw_flow_response response;

        if (now_us < pending.deadline_us &&
            endpoint->fake->last_end_number <= pending.end_count) {
            continue;
        }
        g_array_remove_index(endpoint->pending_replies, i - 1);
        response =
            mw_execute_fake_command(endpoint->all->fakes, endpoint->fake,
                                    &query, now_us, MW_ARRIVAL_PROMPT);
        send_response(endpoint, pending.handle, &response);
        g_free(response.runs);
    }
}

static char *
format_heartbeat(struct endpoint *endpoint)
{
    struct mw_flow_heartbeat heartbeat =
        mw_fake_endpoint_heartbeat(endpoint->fake, soak_now_us());

    return g_strdup_printf(
        "{\"service\":\"svc\",\"address\":\"%s:%d\",\"zone\":\"z%d\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"cold-left-ms\":0,"
        "\"capacity\":{\"cpu\":8000,\"mem-mb\":65536,\"gpus\":8},"
        "\"labels\":[\"a\",\"r%d\"],\"clock-ms\":%" G_GINT64_FORMAT
        ",\"seq\":%d,\"born\":%d}",
        soak_ip(101 + endpoint->index, true), SOAK_ENDPOINT_PORT,
        endpoint->index % 3, heartbeat.draining ? "draining" : "ready",
        endpoint->index % 3, heartbeat.clock_us / 1000, (int)heartbeat.seq,
        (int)heartbeat.incarnation);
}

static void
handle_heartbeat_response(struct heartbeat *heartbeat, GBytes *bytes)
{
    struct endpoint *endpoint = heartbeat->endpoint;
    gsize len = 0;
    const char *text = bytes ? g_bytes_get_data(bytes, &len) : NULL;
    json_t *body = text ? json_loadb(text, len, 0, NULL) : NULL;
    const char *address =
        json_string_value(json_object_get(body, "heartbeat-addr"));

    if (address) {
        g_free(endpoint->heartbeat_address);
        endpoint->heartbeat_address = g_strdup(address);
    }
    json_decref(body);
    if (heartbeat->draining &&
        heartbeat->incarnation == endpoint->fake->incarnation) {
        mw_acknowledge_fake_drain(endpoint->fake, soak_now_us());
    }
}

static void
on_heartbeat_response(GObject *object, GAsyncResult *result, gpointer data)
{
    struct heartbeat *heartbeat = data;
    GBytes *bytes =
        soup_session_send_and_read_finish(SOUP_SESSION(object), result, NULL);
    guint status = bytes ? soup_message_get_status(heartbeat->message) : 0;

    heartbeat->endpoint->heartbeat_pending = false;
    if (status >= 200 && status < 300) {
        handle_heartbeat_response(heartbeat, bytes);
    }
    else {
        /* try the next control process */
        heartbeat->endpoint->control_index =
            (heartbeat->endpoint->control_index + 1) % soak_core_count();
        g_clear_pointer(&heartbeat->endpoint->heartbeat_address, g_free);
        heartbeat->endpoint->heartbeat_deadline_us =
            soak_now_us() + HEARTBEAT_INTERVAL_US / 5;
    }
    g_clear_pointer(&bytes, g_bytes_unref);
    g_object_unref(heartbeat->message);
    g_free(heartbeat);
}

static void
send_heartbeat(struct endpoint *endpoint)
{
    char *own = g_strdup_printf("%s:%d", soak_core_ip(endpoint->control_index),
                                SOAK_CONTROL_PORT);
    char *url = g_strdup_printf(
        "http://%s" MW_PATH_INSTANCES "%.*s",
        endpoint->heartbeat_address ? endpoint->heartbeat_address : own,
        MW_FMT(mw_name_str(&endpoint->fake->id)));
    char *text = format_heartbeat(endpoint);
    GBytes *body = g_bytes_new_take(text, strlen(text));
    struct heartbeat *heartbeat = g_new0(struct heartbeat, 1);

    heartbeat->endpoint = endpoint;
    heartbeat->message = soup_message_new("PUT", url);
    heartbeat->incarnation = endpoint->fake->incarnation;
    heartbeat->draining = endpoint->fake->draining;
    soup_message_set_request_body_from_bytes(heartbeat->message,
                                             "application/json", body);
    endpoint->heartbeat_pending = true;
    endpoint->heartbeat_deadline_us = soak_now_us() + HEARTBEAT_INTERVAL_US;
    soup_session_send_and_read_async(endpoint->all->session,
                                     heartbeat->message, G_PRIORITY_DEFAULT,
                                     NULL, on_heartbeat_response, heartbeat);
    g_bytes_unref(body);
    g_free(url);
    g_free(own);
}

static gboolean
tick(gpointer data)
{
    struct soak_endpoints *all = data;
    int64_t now_us = soak_now_us();

    for (int i = 0; i < SOAK_ENDPOINTS; i++) {
        struct endpoint *endpoint = &all->endpoints[i];
        int64_t released_us = endpoint->fake->drain_acknowledged_us;

        mw_step_fake_endpoint(endpoint->fake, now_us);
        execute_late_calls(endpoint, now_us);
        send_due_replies(endpoint, now_us);
        if (!endpoint->heartbeat_pending &&
            now_us >= endpoint->heartbeat_deadline_us) {
            send_heartbeat(endpoint);
        }
        if (released_us > 0 && now_us > released_us + RESTART_DELAY_US) {
            soak_restart_endpoint(all, i);
        }
    }
    return G_SOURCE_CONTINUE;
}

static void
start_endpoint(struct soak_endpoints *all, int index)
{
    struct endpoint *endpoint = &all->endpoints[index];
    char *message = NULL;
    struct mw_http_setup setup = {
        .setting_name = "endpoint",
        .source = MW_SOURCE_ENDPOINT,
        .body_max = 1024 * 1024,
        .opaque = endpoint,
        .request = on_command,
    };

    endpoint->all = all;
    endpoint->index = index;
    endpoint->fake = &all->fakes->all[index];
    endpoint->pending_replies =
        g_array_new(FALSE, FALSE, sizeof(struct pending_reply));
    endpoint->late_calls = g_array_new(FALSE, FALSE, sizeof(struct late_call));
    endpoint->control_index = index % soak_core_count();
    g_strlcpy(endpoint->ip, soak_ip(101 + index, false), sizeof endpoint->ip);
    setup.address = mw_name_of(mw_str_from(endpoint->ip));
    setup.address.len =
        (uint8_t)g_snprintf(setup.address.ptr, MW_NAME_MAX, "%s:%d",
                            endpoint->ip, SOAK_ENDPOINT_PORT);
    endpoint->http = mw_new_http(&setup, &message);
    if (!endpoint->http) {
        g_error("soak: %s", message);
    }
    endpoint->proxy = soak_new_proxy(soak_ip(101 + index, true), endpoint->ip,
                                     SOAK_ENDPOINT_PORT);
}

struct soak_endpoints *
soak_new_endpoints(GString *violations)
{
    struct soak_endpoints *all = g_new0(struct soak_endpoints, 1);

    all->fakes = mw_new_fake_endpoints(SOAK_ENDPOINTS, violations);
    all->session =
        soup_session_new_with_options("timeout", REQUEST_TIMEOUT_S, NULL);
    for (int i = 0; i < SOAK_ENDPOINTS; i++) {
        start_endpoint(all, i);
    }
    all->timer = g_timeout_add(TICK_MS, tick, all);
    return all;
}

void
soak_drop_endpoints(struct soak_endpoints *all)
{
    g_source_remove(all->timer);
    soup_session_abort(all->session);
    while (g_main_context_iteration(NULL, FALSE)) {
    }
    for (int i = 0; i < SOAK_ENDPOINTS; i++) {
        struct endpoint *endpoint = &all->endpoints[i];

        soak_drop_proxy(endpoint->proxy);
        mw_drop_http(endpoint->http);
        g_array_unref(endpoint->pending_replies);
        g_array_unref(endpoint->late_calls);
        g_free(endpoint->heartbeat_address);
    }
    g_object_unref(all->session);
    mw_drop_fake_endpoints(all->fakes);
    g_free(all);
}

void
soak_restart_endpoint(struct soak_endpoints *all, int index)
{
    struct endpoint *endpoint = &all->endpoints[index];

    mw_restart_fake_endpoint(endpoint->fake);
    endpoint->fake->clock_start_us =
        soak_now_us() -
        INT64_C(1000) * g_random_int_range(1, CLOCK_MAX_MS + 1);
    soak_reset_connections(endpoint->proxy);
    endpoint->heartbeat_deadline_us = soak_now_us() + HEARTBEAT_INTERVAL_US;
}

static void
plan_long_run(void *opaque, struct mw_fake_run *run, int64_t now_us)
{
    (void)opaque;
    if (mw_hash_name(&run->task.flow) % LONG_ONE_IN == 0) {
        run->end_us =
            now_us + INT64_C(1000) * g_random_int_range(LONG_RUN_MIN_MS,
                                                        LONG_RUN_MAX_MS + 1);
    }
}

void
soak_use_long_runs(struct soak_endpoints *all)
{
    all->fakes->plan_run = plan_long_run;
}

void
soak_delay_calls(struct soak_endpoints *all, int index, int64_t for_us)
{
    all->endpoints[index].late_deadline_us = soak_now_us() + for_us;
}

void
soak_drain_endpoint(struct soak_endpoints *all, int index)
{
    all->endpoints[index].fake->draining = true;
    all->endpoints[index].heartbeat_deadline_us = soak_now_us();
}

void
soak_set_endpoint_proxy_mode(struct soak_endpoints *all, int index,
                             enum soak_proxy_mode mode)
{
    soak_set_proxy_mode(all->endpoints[index].proxy, mode);
}

void
soak_reset_endpoint_connections(struct soak_endpoints *all, int index)
{
    soak_reset_connections(all->endpoints[index].proxy);
}
