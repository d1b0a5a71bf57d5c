/*
 * endpoints: fakes behind HTTP that carry out what the leader orders.
 */
#include <jansson.h>
#include <libsoup/soup.h>
#include <string.h>

#include "names.h"
#include "soak.h"

#define TICK_MS 20
#define BEAT_US 500000
/* an endpoint that drains starts anew so long after the acknowledgement */
#define GONE_US 3000000
#define CALL_S 1

/* waiting: a list that is answered once a run ends, or its time is up. */
struct waiting {
    uint64_t handle;
    int64_t deadline_us;
    uint64_t ends;
};

struct endpoint {
    struct soak_endpoints *all;
    int index;
    struct mw_fake_endpoint *fake;
    struct mw_http *http;
    struct soak_proxy *proxy;
    char ip[24];
    GArray *waiting;
    /* where heartbeats go: a control process by its place */
    int control;
    char *heartbeat_address;
    bool beating;
    int64_t beat_deadline_us;
};

struct soak_endpoints {
    struct mw_fake_endpoints *fakes;
    struct endpoint endpoints[SOAK_ENDPOINTS];
    SoupSession *session;
    guint timer;
};

/* beat: a heartbeat on its way. */
struct beat {
    struct endpoint *endpoint;
    SoupMessage *message;
    uint64_t born;
    bool draining;
};

static void
set_task(json_t *row, const struct mw_task_id *task)
{
    char *text =
        g_strdup_printf("%.*s.%u.%u.%u", MW_FMT(mw_name_str(&task->flow)),
                        task->occurrence, task->step, task->index);

    json_array_append_new(row, json_string(text));
    g_free(text);
}

static void
add_run(json_t *running, json_t *finished, const struct mw_listed_run *run)
{
    json_t *row = json_array();

    if (run->ended) {
        json_array_append_new(row, json_integer((json_int_t)run->number));
    }
    set_task(row, &run->task);
    json_array_append_new(row, json_integer(run->run));
    if (run->ended) {
        json_array_append_new(row, json_string(mw_run_end_word(run->end).ptr));
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
body_of(const struct mw_flow_answer *answer)
{
    json_t *body = json_object();

    json_object_set_new(body, "clock-ms",
                        json_integer(answer->clock_us / 1000));
    json_object_set_new(body, "born", json_integer((json_int_t)answer->born));
    if (answer->listed) {
        json_t *running = json_array();
        json_t *finished = json_array();

        for (uint32_t i = 0; i < answer->run_count; i++) {
            add_run(running, finished, &answer->runs[i]);
        }
        json_object_set_new(body, "running", running);
        json_object_set_new(body, "finished", finished);
    }
    if (answer->result == MW_FLOW_REFUSED_FENCE) {
        json_object_set_new(body, "reason", json_string("fence"));
    }
    else if (answer->result == MW_FLOW_REFUSED_OLD) {
        json_object_set_new(body, "reason", json_string("old"));
    }
    else if (answer->result == MW_FLOW_REFUSED) {
        json_object_set_new(body, "reason", json_string("late"));
    }
    return body;
}

static void
reply(struct endpoint *endpoint, uint64_t handle,
      const struct mw_flow_answer *answer)
{
    json_t *body = body_of(answer);
    char *text = json_dumps(body, JSON_COMPACT);
    struct mw_blob *blob = mw_new_blob(mw_str_from(text));

    mw_http_reply(endpoint->http, handle,
                  answer->result == MW_FLOW_DONE ? 200 : 409, blob);
    mw_drop_blob(blob);
    free(text);
    json_decref(body);
}

static int64_t
number_of(const json_t *body, const char *key)
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

/* The order as the product's own type; the path tells its kind. */
static bool
parse_order(const struct mw_http_request *request, struct mw_flow_order *order)
{
    json_t *body = json_loadb(request->body.ptr, request->body.len, 0, NULL);
    bool ok = body != NULL;

    order->fence = (uint64_t)number_of(body, "fencing-token");
    order->lease_deadline_us = number_of(body, "deadline-ms") * 1000;
    order->run = (uint32_t)number_of(body, "attempt");
    order->acknowledged = (uint64_t)number_of(body, "ack-cursor");
    order->wait_us = number_of(body, "wait-ms") * 1000;
    if (mw_str_equal(request->path, MW_STR(MW_PATH_HOLD))) {
        order->kind = MW_FLOW_HOLD;
    }
    else {
        order->kind = mw_str_equal(request->path, MW_STR(MW_PATH_START))
                          ? MW_FLOW_START
                          : MW_FLOW_STOP;
        ok = ok &&
             parse_task(json_string_value(json_object_get(body, "task-id")),
                        &order->task);
    }
    json_decref(body);
    return ok;
}

static void
on_order(void *opaque, const struct mw_http_request *request)
{
    struct endpoint *endpoint = opaque;
    struct mw_flow_order order = {0};
    struct mw_flow_answer answer;
    struct mw_blob *empty = mw_new_blob(MW_STR("{}"));

    if (!mw_str_equal(mw_http_header(request, MW_HEADER_ENDPOINT),
                      mw_name_str(&endpoint->fake->id))) {
        mw_http_reply(endpoint->http, request->handle, 421, empty);
    }
    else if (!parse_order(request, &order)) {
        mw_http_reply(endpoint->http, request->handle, 400, empty);
    }
    else {
        answer = mw_fake_carry_out(endpoint->all->fakes, endpoint->fake,
                                   &order, soak_now(), false);
        if (order.wait_us > 0 && answer.result == MW_FLOW_DONE) {
            struct waiting waiting = {request->handle,
                                      soak_now() + order.wait_us,
                                      endpoint->fake->ends};

            g_array_append_val(endpoint->waiting, waiting);
        }
        else {
            reply(endpoint, request->handle, &answer);
        }
        g_free(answer.runs);
    }
    mw_drop_blob(empty);
}

static void
answer_waiting(struct endpoint *endpoint, int64_t now_us)
{
    for (guint i = endpoint->waiting->len; i > 0; i--) {
        struct waiting waiting =
            g_array_index(endpoint->waiting, struct waiting, i - 1);
        struct mw_flow_order look = {.kind = MW_FLOW_HOLD,
                                     .fence = endpoint->fake->fence};
        struct mw_flow_answer answer;

        if (now_us < waiting.deadline_us &&
            endpoint->fake->ends <= waiting.ends) {
            continue;
        }
        g_array_remove_index(endpoint->waiting, i - 1);
        answer = mw_fake_carry_out(endpoint->all->fakes, endpoint->fake, &look,
                                   now_us, false);
        reply(endpoint, waiting.handle, &answer);
        g_free(answer.runs);
    }
}

static char *
beat_text(struct endpoint *endpoint)
{
    struct mw_beat beat = mw_fake_beat(endpoint->fake, soak_now());

    return g_strdup_printf(
        "{\"service\":\"svc\",\"address\":\"%s:%d\",\"zone\":\"z%d\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"cold-left-ms\":0,"
        "\"capacity\":{\"cpu\":8000,\"mem-mb\":65536,\"gpus\":8},"
        "\"labels\":[\"a\",\"r%d\"],\"clock-ms\":%" G_GINT64_FORMAT
        ",\"seq\":%d,\"born\":%d}",
        soak_ip(101 + endpoint->index, true), SOAK_ENDPOINT_PORT,
        endpoint->index % 3, beat.draining ? "draining" : "ready",
        endpoint->index % 3, soak_now() / 1000, (int)beat.seq, (int)beat.born);
}

static void
take_answer(struct beat *beat, GBytes *bytes)
{
    struct endpoint *endpoint = beat->endpoint;
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
    if (beat->draining && beat->born == endpoint->fake->born) {
        mw_release_fake_endpoint(endpoint->fake, soak_now());
    }
}

static void
answered(GObject *object, GAsyncResult *result, gpointer data)
{
    struct beat *beat = data;
    GBytes *bytes =
        soup_session_send_and_read_finish(SOUP_SESSION(object), result, NULL);
    guint status = bytes ? soup_message_get_status(beat->message) : 0;

    beat->endpoint->beating = false;
    if (status >= 200 && status < 300) {
        take_answer(beat, bytes);
    }
    else {
        /* the next one is asked */
        beat->endpoint->control = (beat->endpoint->control + 1) % SOAK_CORES;
        g_clear_pointer(&beat->endpoint->heartbeat_address, g_free);
        beat->endpoint->beat_deadline_us = soak_now() + BEAT_US / 5;
    }
    g_clear_pointer(&bytes, g_bytes_unref);
    g_object_unref(beat->message);
    g_free(beat);
}

static void
send_beat(struct endpoint *endpoint)
{
    char *own = g_strdup_printf("%s:%d", soak_ip(1 + endpoint->control, false),
                                SOAK_CONTROL_PORT);
    char *url = g_strdup_printf(
        "http://%s" MW_PATH_INSTANCES "%.*s",
        endpoint->heartbeat_address ? endpoint->heartbeat_address : own,
        MW_FMT(mw_name_str(&endpoint->fake->id)));
    char *text = beat_text(endpoint);
    GBytes *body = g_bytes_new_take(text, strlen(text));
    struct beat *beat = g_new0(struct beat, 1);

    beat->endpoint = endpoint;
    beat->message = soup_message_new("PUT", url);
    beat->born = endpoint->fake->born;
    beat->draining = endpoint->fake->draining;
    soup_message_set_request_body_from_bytes(beat->message, "application/json",
                                             body);
    endpoint->beating = true;
    endpoint->beat_deadline_us = soak_now() + BEAT_US;
    soup_session_send_and_read_async(endpoint->all->session, beat->message,
                                     G_PRIORITY_DEFAULT, NULL, answered, beat);
    g_bytes_unref(body);
    g_free(url);
    g_free(own);
}

static gboolean
tick(gpointer data)
{
    struct soak_endpoints *all = data;
    int64_t now_us = soak_now();

    for (int i = 0; i < SOAK_ENDPOINTS; i++) {
        struct endpoint *endpoint = &all->endpoints[i];
        int64_t released_us = endpoint->fake->released_us;

        mw_fake_step(endpoint->fake, now_us);
        answer_waiting(endpoint, now_us);
        if (!endpoint->beating && now_us >= endpoint->beat_deadline_us) {
            send_beat(endpoint);
        }
        if (released_us > 0 && now_us > released_us + GONE_US) {
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
        .setting = "endpoint",
        .source = MW_FROM_ENDPOINT,
        .body_max = 1024 * 1024,
        .opaque = endpoint,
        .request = on_order,
    };

    endpoint->all = all;
    endpoint->index = index;
    endpoint->fake = &all->fakes->all[index];
    endpoint->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting));
    endpoint->control = index % SOAK_CORES;
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
soak_new_endpoints(GString *fault)
{
    struct soak_endpoints *all = g_new0(struct soak_endpoints, 1);

    all->fakes = mw_new_fake_endpoints(SOAK_ENDPOINTS, fault);
    all->session = soup_session_new_with_options("timeout", CALL_S, NULL);
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
        g_array_unref(endpoint->waiting);
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
    soak_reset(endpoint->proxy);
    endpoint->beat_deadline_us = soak_now() + BEAT_US;
}

void
soak_drain_endpoint(struct soak_endpoints *all, int index)
{
    all->endpoints[index].fake->draining = true;
    all->endpoints[index].beat_deadline_us = soak_now();
}

void
soak_set_endpoint_path(struct soak_endpoints *all, int index,
                       enum soak_path path)
{
    soak_set_path(all->endpoints[index].proxy, path);
}

void
soak_reset_endpoint(struct soak_endpoints *all, int index)
{
    soak_reset(all->endpoints[index].proxy);
}
