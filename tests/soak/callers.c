/*
 * callers: callers and operators, who remember what they were told.
 */
#include <libsoup/soup.h>
#include <jansson.h>
#include <string.h>

#include "names.h"
#include "soak.h"

#define FLOWS_MAX 4000
#define CALL_S 4
/* resends of one submission that got no answer */
#define TRIES_MAX 4
#define HOST "h.example"

enum kind {
    SUBMIT = 0,
    STATE = 1,
    CONFIG = 2,
    READ = 3
};

struct told {
    unsigned asked;
    unsigned refused;
    bool accepted;
    bool ended;
    /* an answer to the last question about it, while all is calm */
    bool answered;
    unsigned status;
};

struct soak_callers {
    SoupSession *session;
    GRand *rand;
    GString *fault;
    struct told told[FLOWS_MAX];
    int flows;
    int version;
    int acknowledged;
    unsigned open;
    void *opaque;
    void (*on_acknowledged)(void *opaque);
    /* the trouble is over and all submissions are answered */
    bool settling;
};

struct question {
    struct soak_callers *callers;
    SoupMessage *message;
    enum kind kind;
    int number;
    /* what had been acknowledged when it was asked */
    int least;
    bool accepted;
    int tries;
};

static void ask(struct soak_callers *callers, enum kind kind, int number,
                int tries);

struct soak_callers *
soak_new_callers(uint32_t seed, GString *fault)
{
    struct soak_callers *callers = g_new0(struct soak_callers, 1);

    callers->session = soup_session_new_with_options(
        "timeout", CALL_S, "max-conns", 64, "max-conns-per-host", 16, NULL);
    callers->rand = g_rand_new_with_seed(seed);
    callers->fault = fault;
    return callers;
}

void
soak_on_acknowledged(struct soak_callers *callers, void *opaque,
                     void (*acknowledged)(void *opaque))
{
    callers->opaque = opaque;
    callers->on_acknowledged = acknowledged;
}

void
soak_drop_callers(struct soak_callers *callers)
{
    soup_session_abort(callers->session);
    while (callers->open > 0) {
        g_main_context_iteration(NULL, TRUE);
    }
    g_object_unref(callers->session);
    g_rand_free(callers->rand);
    g_free(callers);
}

static char *
config_text(int version)
{
    return g_strdup_printf(
        "{\"version\":%d,\"services\":[{\"name\":\"svc\"}],\"routes\":["
        "{\"name\":\"bulk\",\"host\":\"" HOST "\",\"path-prefix\":\"/b/\","
        "\"service\":\"svc\",\"priority\":2,\"max-attempts\":2,"
        "\"slack-factor\":3,\"target-latency-ms\":3000,\"timeout-ms\":3000}],"
        "\"tenants\":[{\"name\":\"org\",\"api-keys\":[\"k1\"],"
        "\"guaranteed\":{\"gpus\":8}}]}",
        version);
}

static void
take_submit(struct question *q, guint status)
{
    struct soak_callers *callers = q->callers;
    struct told *told = &callers->told[q->number];

    told->accepted |= status == 200;
    told->refused += status == 503 || status == 429;
    if (status == 401 || status == 404) {
        g_string_append_printf(callers->fault, "flow %d got %u; ", q->number,
                               status);
    }
    if ((status == 0 || status == 504) && q->tries < TRIES_MAX) {
        ask(callers, SUBMIT, q->number, q->tries + 1);
    }
}

static void
take_state(struct question *q, guint status, const json_t *body)
{
    struct soak_callers *callers = q->callers;
    struct told *told = &callers->told[q->number];
    const char *state = json_string_value(json_object_get(body, "state"));

    if (status == 200 || status == 410) {
        told->answered = true;
        told->status = status;
    }
    if (state && strcmp(state, "completed") == 0) {
        told->ended = true;
    }
    if (state && strcmp(state, "failed") == 0) {
        g_string_append_printf(callers->fault, "flow %d has failed; ",
                               q->number);
    }
    if (status == 410 && q->accepted) {
        g_string_append_printf(callers->fault,
                               "flow %d was accepted, is 410; ", q->number);
    }
}

static void
take_answer(struct question *q, guint status, const json_t *body)
{
    struct soak_callers *callers = q->callers;

    if (q->kind == SUBMIT) {
        take_submit(q, status);
    }
    else if (q->kind == STATE) {
        take_state(q, status, body);
    }
    else if (q->kind == CONFIG && status == 200) {
        callers->acknowledged = MAX(callers->acknowledged, q->number);
        callers->on_acknowledged(callers->opaque);
    }
    else if (q->kind == READ && status == 200 &&
             json_integer_value(json_object_get(body, "version")) < q->least) {
        g_string_append_printf(
            callers->fault, "version %d was read after %d; ",
            (int)json_integer_value(json_object_get(body, "version")),
            q->least);
    }
}

static void
answered(GObject *object, GAsyncResult *result, gpointer data)
{
    struct question *q = data;
    GBytes *bytes =
        soup_session_send_and_read_finish(SOUP_SESSION(object), result, NULL);
    guint status = bytes ? soup_message_get_status(q->message) : 0;
    gsize len = 0;
    const char *text = bytes ? g_bytes_get_data(bytes, &len) : NULL;
    json_t *body = text ? json_loadb(text, len, 0, NULL) : NULL;

    q->callers->open--;
    take_answer(q, status, body);
    json_decref(body);
    g_clear_pointer(&bytes, g_bytes_unref);
    g_object_unref(q->message);
    g_free(q);
}

static char *
url_of(struct soak_callers *callers, enum kind kind, int number)
{
    if (kind == CONFIG || kind == READ) {
        return g_strdup_printf(
            "http://%s:%d" MW_PATH_CONFIG,
            soak_ip(g_rand_int_range(callers->rand, 1, 1 + SOAK_CORES), false),
            SOAK_CONTROL_PORT);
    }
    return g_strdup_printf(
        "http://%s:%d/b/%016d",
        soak_ip(g_rand_int_range(callers->rand, 11, 11 + SOAK_ENTRIES), true),
        SOAK_FRONTEND_PORT, number);
}

static void
set_body(SoupMessage *message, char *text)
{
    GBytes *body = g_bytes_new_take(text, strlen(text));

    soup_message_set_request_body_from_bytes(message, "application/json",
                                             body);
    g_bytes_unref(body);
}

static void
ask(struct soak_callers *callers, enum kind kind, int number, int tries)
{
    static const char *const methods[] = {"POST", "GET", "PUT", "GET"};
    char *url = url_of(callers, kind, number);
    struct question *q = g_new0(struct question, 1);
    SoupMessageHeaders *headers;

    q->callers = callers;
    q->kind = kind;
    q->number = number;
    q->least = callers->acknowledged;
    q->accepted = kind == STATE && callers->told[number].accepted;
    q->tries = tries;
    q->message = soup_message_new(methods[kind], url);
    headers = soup_message_get_request_headers(q->message);
    if (kind == SUBMIT || kind == STATE) {
        soup_message_headers_replace(headers, "Host", HOST);
        soup_message_headers_replace(headers, MW_HEADER_KEY, "k1");
        soup_message_headers_replace(headers, MW_HEADER_DEADLINE_MS, "3000");
    }
    if (kind == SUBMIT) {
        callers->told[number].asked++;
        set_body(q->message,
                 g_strdup("{\"spec\":\"s\",\"phases\":[{\"count\":2,"
                          "\"cpu\":1000,\"gpus\":1}]}"));
    }
    else if (kind == CONFIG) {
        set_body(q->message, config_text(number));
    }
    callers->open++;
    soup_session_send_and_read_async(callers->session, q->message,
                                     G_PRIORITY_DEFAULT, NULL, answered, q);
    g_free(url);
}

void
soak_ask(struct soak_callers *callers)
{
    int what = g_rand_int_range(callers->rand, 0, 8);

    if (what == 0 || callers->acknowledged == 0) {
        ask(callers, CONFIG, ++callers->version, 0);
    }
    else if (what == 1) {
        ask(callers, READ, 0, 0);
    }
    else if (what == 2 && callers->flows > 0) {
        ask(callers, STATE, g_rand_int_range(callers->rand, 0, callers->flows),
            0);
    }
    else if (callers->flows < FLOWS_MAX) {
        ask(callers, SUBMIT, callers->flows++, 0);
    }
}

bool
soak_settled(struct soak_callers *callers)
{
    bool settled = true;

    if (callers->open > 0) {
        return false;
    }
    for (int i = 0; i < callers->flows && !callers->settling; i++) {
        /* what was heard amid the trouble may be out of date */
        callers->told[i].answered = false;
    }
    callers->settling = true;
    for (int i = 0; i < callers->flows; i++) {
        struct told *told = &callers->told[i];
        bool done = told->answered && (told->ended || told->status == 410);

        if (!done && callers->open < 32) {
            ask(callers, STATE, i, 0);
        }
        settled = settled && done;
    }
    return settled;
}

void
soak_check_told(struct soak_callers *callers)
{
    for (int i = 0; i < callers->flows; i++) {
        const struct told *told = &callers->told[i];

        if (told->accepted && !told->ended) {
            g_string_append_printf(callers->fault, "flow %d has not ended; ",
                                   i);
        }
        if (told->refused == told->asked && told->status == 200) {
            g_string_append_printf(callers->fault,
                                   "flow %d was refused, ran; ", i);
        }
    }
}

void
soak_count_told(const struct soak_callers *callers, unsigned *accepted,
                unsigned *refused, unsigned *versions)
{
    *accepted = 0;
    *refused = 0;
    *versions = (unsigned)callers->acknowledged;
    for (int i = 0; i < callers->flows; i++) {
        *accepted += callers->told[i].accepted;
        *refused += callers->told[i].refused == callers->told[i].asked;
    }
}
