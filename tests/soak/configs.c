/*
 * configs: an operator that changes a large configuration in quick
 * succession, and what is read of it and served by it.
 *
 * The content of a version follows from its number: version v has the routes
 * v to v + route_count - 1, so that each version removes one route and adds
 * another.
 */
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "http-names.h"
#include "soak.h"

/* an operator moves on to another process without a reply */
#define REQUEST_TIMEOUT_S 2
/* changes that are not acknowledged yet */
#define IN_FLIGHT_MAX 8
#define RETRY_DELAY_MS 100
/* an acknowledged version is in force after this time */
#define APPLY_US 2000000
/* routes added or removed lately, of which one is asked for */
#define RECENT_ROUTES 200
/* one in this many acknowledgements is lost on its way */
#define ACKS_PER_LOSS 8
#define HOST "h.example"

enum request_kind {
    REQUEST_PUT = 0,
    REQUEST_GET = 1,
    REQUEST_ROUTE = 2
};

/* The highest version that was acknowledged up to a time. */
struct acknowledgement {
    int64_t at_us;
    int version;
};

struct soak_configs {
    SoupSession *session;
    GRand *rand;
    GString *violations;
    int route_count;
    int last_version;
    /* struct acknowledgement by time */
    GArray *acknowledgements;
    unsigned change_count;
    unsigned in_flight;
    unsigned pending_count;
    int64_t slowest_us;
    /* what is acknowledged is in force at once, as nothing is changed */
    bool settled;
    /* nothing is sent again any more */
    bool over;
    /* when the last read that gave a version was sent; 0 for none */
    int64_t last_read_us;
    void *opaque;
    void (*on_acknowledged)(void *opaque);
};

struct request {
    struct soak_configs *configs;
    SoupMessage *message;
    enum request_kind kind;
    int version;
    int route;
    int64_t first_sent_us;
    /* the highest version that must be in force for this request */
    int min_version;
    int attempt;
    /* the acknowledgement of an earlier attempt was lost */
    bool acknowledged_before;
};

static void send_request(struct request *request);

struct soak_configs *
soak_new_configs(uint32_t seed, int route_count, GString *violations)
{
    struct soak_configs *configs = g_new0(struct soak_configs, 1);

    configs->session = soup_session_new_with_options(
        "timeout", REQUEST_TIMEOUT_S, "max-conns", 64, "max-conns-per-host",
        16, NULL);
    configs->rand = g_rand_new_with_seed(seed);
    configs->violations = violations;
    configs->route_count = route_count;
    configs->acknowledgements =
        g_array_new(FALSE, FALSE, sizeof(struct acknowledgement));
    return configs;
}

void
soak_on_config_acknowledged(struct soak_configs *configs, void *opaque,
                            void (*acknowledged)(void *opaque))
{
    configs->opaque = opaque;
    configs->on_acknowledged = acknowledged;
}

void
soak_drop_configs(struct soak_configs *configs)
{
    configs->over = true;
    soup_session_abort(configs->session);
    while (configs->pending_count > 0) {
        g_main_context_iteration(NULL, TRUE);
    }
    g_object_unref(configs->session);
    g_rand_free(configs->rand);
    g_array_unref(configs->acknowledgements);
    g_free(configs);
}

static char *
make_config(const struct soak_configs *configs, int version)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(
        text, "{\"version\":%d,\"services\":[{\"name\":\"svc\"}],\"routes\":[",
        version);
    for (int i = version; i < version + configs->route_count; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"route-%07d\",\"host\":\"" HOST "\","
            "\"path-prefix\":\"/f%07d/\",\"kind\":\"non_idempotent\","
            "\"service\":\"svc\",\"priority\":2,\"max-attempts\":2,"
            "\"slack-factor\":3,\"target-latency-ms\":3000,"
            "\"timeout-ms\":%d}",
            i == version ? "" : ",", i, i, 2000 + version % 1000);
    }
    g_string_append(text,
                    "],\"tenants\":[{\"name\":\"org\",\"api-keys\":[\"k1\"],"
                    "\"guaranteed\":{\"gpus\":8}}]}");
    return g_string_free(text, FALSE);
}

static int
acknowledged_before(const struct soak_configs *configs, int64_t at_us)
{
    for (guint i = configs->acknowledgements->len; i > 0; i--) {
        const struct acknowledgement *acknowledgement = &g_array_index(
            configs->acknowledgements, struct acknowledgement, i - 1);

        if (acknowledgement->at_us <= at_us) {
            return acknowledgement->version;
        }
    }
    return 0;
}

int
soak_acknowledged_version(const struct soak_configs *configs)
{
    return acknowledged_before(configs, soak_now_us());
}

static void
note_acknowledgement(struct soak_configs *configs, int version)
{
    struct acknowledgement next = {
        soak_now_us(), MAX(version, soak_acknowledged_version(configs))};

    g_array_append_val(configs->acknowledgements, next);
    configs->on_acknowledged(configs->opaque);
}

static void
drop_request(struct request *request)
{
    g_free(request);
}

static gboolean
send_again(gpointer data)
{
    struct request *request = data;

    request->configs->pending_count--;
    if (request->configs->over) {
        drop_request(request);
    }
    else {
        send_request(request);
    }
    return G_SOURCE_REMOVE;
}

static void
send_again_later(struct request *request)
{
    request->configs->pending_count++;
    request->attempt++;
    g_timeout_add(RETRY_DELAY_MS, send_again, request);
}

static bool
is_refusal(guint status)
{
    return status >= 400 && status < 500 && status != 408 && status != 429;
}

/* Returns whether the change is sent again. */
static bool
handle_put_reply(struct request *request, guint status)
{
    struct soak_configs *configs = request->configs;

    if (is_refusal(status)) {
        g_string_append_printf(configs->violations,
                               "version %d refused with status %u; ",
                               request->version, status);
    }
    if (status == 200) {
        bool lost = !request->acknowledged_before &&
                    g_rand_int_range(configs->rand, 0, ACKS_PER_LOSS) == 0;

        if (!request->acknowledged_before) {
            int64_t taken_us = soak_now_us() - request->first_sent_us;

            configs->slowest_us = MAX(configs->slowest_us, taken_us);
            note_acknowledgement(configs, request->version);
        }
        request->acknowledged_before = true;
        if (!lost) {
            configs->change_count++;
        }
        status = lost ? 0 : 200;
    }
    if (status == 200 || is_refusal(status)) {
        configs->in_flight--;
        return false;
    }
    if (!configs->over) {
        send_again_later(request);
    }
    return !configs->over;
}

static void
handle_get_reply(const struct request *request, guint status, const char *text,
                 gsize len)
{
    struct soak_configs *configs = request->configs;
    int version = 0;
    char *sent;

    if (status != 200 || sscanf(text, "{\"version\":%d", &version) != 1) {
        return;
    }
    configs->last_read_us = MAX(configs->last_read_us, request->first_sent_us);
    if (version < request->min_version) {
        g_string_append_printf(configs->violations,
                               "version %d read, %d was acknowledged before; ",
                               version, request->min_version);
    }
    sent = make_config(configs, version);
    if (version > configs->last_version || strlen(sent) != len ||
        memcmp(sent, text, len) != 0) {
        g_string_append_printf(configs->violations,
                               "version %d read is not what was sent; ",
                               version);
    }
    g_free(sent);
}

/* Versions from the first to the last may be in force. */
static bool
is_route_in_all(const struct soak_configs *configs, int route, int first,
                int last)
{
    return route >= last && route < first + configs->route_count;
}

static bool
is_route_in_none(const struct soak_configs *configs, int route, int first,
                 int last)
{
    return route < first || route >= last + configs->route_count;
}

static void
handle_route_reply(const struct request *request, guint status)
{
    struct soak_configs *configs = request->configs;
    int first = request->min_version;
    int last = configs->last_version;
    bool wrong;

    if (status != 404 && status != 410) {
        return;
    }
    wrong = status == 404
                ? is_route_in_all(configs, request->route, first, last)
                : is_route_in_none(configs, request->route, first, last);
    if (wrong) {
        g_string_append_printf(configs->violations,
                               "route %d has status %u with versions %d to "
                               "%d; ",
                               request->route, status, first, last);
    }
}

static void
on_reply(GObject *object, GAsyncResult *result, gpointer data)
{
    struct request *request = data;
    GBytes *bytes =
        soup_session_send_and_read_finish(SOUP_SESSION(object), result, NULL);
    guint status = bytes ? soup_message_get_status(request->message) : 0;
    gsize len = 0;
    const char *text = bytes ? g_bytes_get_data(bytes, &len) : NULL;
    bool is_sent_again = false;

    request->configs->pending_count--;
    g_clear_object(&request->message);
    if (request->kind == REQUEST_PUT) {
        is_sent_again = handle_put_reply(request, status);
    }
    else if (request->kind == REQUEST_GET) {
        handle_get_reply(request, status, text, len);
    }
    else {
        handle_route_reply(request, status);
    }
    if (!is_sent_again) {
        drop_request(request);
    }
    g_clear_pointer(&bytes, g_bytes_unref);
}

static char *
make_url(const struct request *request)
{
    GRand *rand = request->configs->rand;

    if (request->kind == REQUEST_ROUTE) {
        return g_strdup_printf(
            "http://%s:%d/f%07d/%016d",
            soak_ip(g_rand_int_range(rand, 11, 11 + SOAK_ENTRIES), true),
            SOAK_FRONTEND_PORT, request->route, request->route);
    }
    return g_strdup_printf("http://%s:%d" MW_PATH_CONFIG,
                           soak_core_ip((request->version + request->attempt) %
                                        soak_core_count()),
                           SOAK_CONTROL_PORT);
}

static void
set_content(const struct request *request)
{
    SoupMessageHeaders *headers =
        soup_message_get_request_headers(request->message);

    if (request->kind == REQUEST_PUT) {
        char *text = make_config(request->configs, request->version);
        GBytes *body = g_bytes_new_take(text, strlen(text));

        soup_message_set_request_body_from_bytes(request->message,
                                                 "application/json", body);
        g_bytes_unref(body);
    }
    else if (request->kind == REQUEST_ROUTE) {
        soup_message_headers_replace(headers, "Host", HOST);
        soup_message_headers_replace(headers, MW_HEADER_KEY, "k1");
        soup_message_headers_replace(headers, MW_HEADER_DEADLINE_MS, "1000");
    }
}

static void
send_request(struct request *request)
{
    struct soak_configs *configs = request->configs;
    char *url = make_url(request);

    request->min_version = acknowledged_before(
        configs, soak_now_us() - (configs->settled ? 0 : APPLY_US));
    request->message =
        soup_message_new(request->kind == REQUEST_PUT ? "PUT" : "GET", url);
    set_content(request);
    configs->pending_count++;
    soup_session_send_and_read_async(configs->session, request->message,
                                     G_PRIORITY_DEFAULT, NULL, on_reply,
                                     request);
    g_free(url);
}

static struct request *
new_request(struct soak_configs *configs, enum request_kind kind)
{
    struct request *request = g_new0(struct request, 1);

    request->configs = configs;
    request->kind = kind;
    request->first_sent_us = soak_now_us();
    return request;
}

void
soak_send_next_config(struct soak_configs *configs)
{
    struct request *request;

    if (configs->in_flight == IN_FLIGHT_MAX) {
        return;
    }
    request = new_request(configs, REQUEST_PUT);
    request->version = ++configs->last_version;
    configs->in_flight++;
    send_request(request);
}

void
soak_read_config(struct soak_configs *configs)
{
    struct request *request = new_request(configs, REQUEST_GET);

    request->attempt = g_rand_int_range(configs->rand, 0, soak_core_count());
    send_request(request);
}

void
soak_ask_for_route(struct soak_configs *configs)
{
    struct request *request = new_request(configs, REQUEST_ROUTE);
    bool is_added = g_rand_boolean(configs->rand);

    request->route = configs->last_version -
                     g_rand_int_range(configs->rand, 0, RECENT_ROUTES) +
                     (is_added ? configs->route_count : 0);
    request->route = MAX(request->route, 1);
    send_request(request);
}

void
soak_settle_configs(struct soak_configs *configs)
{
    configs->settled = true;
}

bool
soak_all_configs_acknowledged(const struct soak_configs *configs)
{
    return configs->in_flight == 0;
}

int64_t
soak_config_last_read_us(const struct soak_configs *configs)
{
    return configs->last_read_us;
}

void
soak_get_config_counts(const struct soak_configs *configs, unsigned *changes,
                       int64_t *slowest_us)
{
    *changes = configs->change_count;
    *slowest_us = configs->slowest_us;
}
