#include "link.h"

#include <inttypes.h>
#include <string.h>

#include "auth.h"
#include "mimosawind/link-choice.h"

#define LENGTH_LEN 4
#define HEADER_LEN (LENGTH_LEN + MW_MAC_LEN)
#define READ_CHUNK_LEN (64 * 1024)
#define TICK_INTERVAL_US 100000
#define COUNTERS_INTERVAL_US 1000000

struct connection {
    struct mw_links *links;
    int refs;
    GSocketConnection *stream;
    struct mw_name process;
    enum mw_process_role role;
    /* index of the dial target, -1 for an accepted connection */
    int dial;
    bool open;
    /* the peer has sent its hello, so that process, role and incarnation are
     * known */
    bool has_hello;
    uint64_t peer_incarnation;
    bool has_peer_nonce;
    bool writing;
    uint8_t nonce[MW_NONCE_LEN];
    uint8_t peer_nonce[MW_NONCE_LEN];
    /* frames so far; authenticated, so that none can be replayed */
    uint64_t sent_count;
    uint64_t received_count;
    GByteArray *in;
    /* queued frames, and those that are being written */
    GByteArray *out;
    GByteArray *out_in_flight;
    uint8_t *chunk;
    int64_t last_receive_us;
};

struct dial_state {
    struct mw_dial_target dial;
    /* connecting or connected */
    bool active;
    int64_t redial_deadline_us;
};

struct mw_links {
    /* the owner, and each accept and connect that is pending */
    int refs;
    struct mw_link_setup setup;
    struct mw_task *task;
    struct mw_context ctx;
    GSocketListener *listener;
    GCancellable *cancel;
    GPtrArray *connections;
    GHashTable *by_process;
    uint32_t dial_count;
    struct dial_state dials[2 * MW_MEMBERS_MAX + MW_ZONES_MAX];
    int64_t tick_deadline_us;
    int64_t counters_deadline_us;
    struct mw_link_counters counters;
    GRand *rand;
};

static void read_more(struct connection *c);
static void write_more(struct connection *c);

static struct mw_links *
keep_links(struct mw_links *links)
{
    links->refs++;
    return links;
}

static void
unref_links(struct mw_links *links)
{
    if (--links->refs > 0) {
        return;
    }
    g_clear_object(&links->listener);
    g_object_unref(links->cancel);
    g_hash_table_unref(links->by_process);
    g_ptr_array_unref(links->connections);
    g_rand_free(links->rand);
    g_free(links);
}

static struct connection *
keep_connection(struct connection *c)
{
    c->refs++;
    return c;
}

static void
drop_connection(struct connection *c)
{
    if (--c->refs > 0) {
        return;
    }
    g_clear_object(&c->stream);
    g_byte_array_unref(c->in);
    g_byte_array_unref(c->out);
    g_byte_array_unref(c->out_in_flight);
    g_free(c->chunk);
    g_free(c);
}

static void
post_link_state(struct mw_links *links, const struct connection *c,
                bool connected)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_LINK);

    task_msg->process = c->process;
    task_msg->role = c->role;
    task_msg->connected = connected;
    mw_post(links->setup.owner, task_msg);
}

static void
close_connection(struct connection *c)
{
    struct mw_links *links = c->links;

    if (!c->open) {
        return;
    }
    c->open = false;
    g_io_stream_close_async(G_IO_STREAM(c->stream), G_PRIORITY_DEFAULT, NULL,
                            NULL, NULL);
    if (c->dial >= 0) {
        links->dials[c->dial].active = false;
        links->dials[c->dial].redial_deadline_us =
            mw_now() + MW_LINK_REDIAL_DELAY_US;
    }
    if (c->has_hello &&
        g_hash_table_lookup(links->by_process, &c->process) == c) {
        g_hash_table_remove(links->by_process, &c->process);
        post_link_state(links, c, false);
    }
    g_ptr_array_remove_fast(links->connections, c);
    drop_connection(c);
}

static void
append_frame(struct connection *c, const struct mw_blob *payload)
{
    uint32_t len = GUINT32_TO_BE((uint32_t)payload->len);
    uint8_t mac[MW_MAC_LEN];

    mw_frame_mac(mw_blob_str(c->links->setup.key), c->nonce, c->peer_nonce,
                 c->sent_count++, mw_blob_str(payload), mac);
    g_byte_array_append(c->out, (const guint8 *)&len, sizeof len);
    g_byte_array_append(c->out, mac, sizeof mac);
    g_byte_array_append(c->out, (const guint8 *)payload->ptr,
                        (guint)payload->len);
    c->links->counters.frames_out++;
    c->links->counters.bytes_out += HEADER_LEN + payload->len;
}

static void
send_payload(struct connection *c, struct mw_blob *payload)
{
    if (c->out->len + payload->len > MW_LINK_QUEUE_BYTES_MAX) {
        c->links->counters.queue_full++;
        close_connection(c);
        return;
    }
    append_frame(c, payload);
    write_more(c);
}

static void
write_finished(GObject *object, GAsyncResult *result, gpointer data)
{
    struct connection *c = data;
    gboolean ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(object),
                                                   result, NULL, NULL);

    c->writing = false;
    if (!ok) {
        close_connection(c);
    }
    else if (c->open) {
        write_more(c);
    }
    drop_connection(c);
}

static void
write_more(struct connection *c)
{
    GByteArray *queued = c->out;

    if (c->writing || !c->open || c->out->len == 0) {
        return;
    }
    c->out = c->out_in_flight;
    c->out_in_flight = queued;
    g_byte_array_set_size(c->out, 0);
    c->writing = true;
    g_output_stream_write_all_async(
        g_io_stream_get_output_stream(G_IO_STREAM(c->stream)),
        c->out_in_flight->data, c->out_in_flight->len, G_PRIORITY_DEFAULT,
        c->links->cancel, write_finished, keep_connection(c));
}

static void
send_hello(struct connection *c)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_HELLO);
    struct mw_blob *payload;

    msg->hello.role = c->links->setup.role;
    msg->hello.zone = c->links->setup.zone;
    msg->hello.incarnation = c->links->setup.incarnation;
    payload = mw_encode_msg(msg, &c->links->setup.name, mw_now());
    send_payload(c, payload);
    mw_drop_blob(payload);
    mw_drop_msg(msg);
}

static struct mw_link_end
link_end(const struct connection *c)
{
    return (struct mw_link_end){
        .dialed_here = c->dial >= 0,
        .peer_incarnation = c->peer_incarnation,
        .last_receive_us = c->last_receive_us,
    };
}

static bool
replaces(const struct connection *c, const struct connection *old)
{
    struct mw_link_end fresh = link_end(c);
    struct mw_link_end present = link_end(old);

    return mw_replaces_link(&c->links->setup.name, &c->process, &present,
                            &fresh, mw_now());
}

/* Returns false if the present connection to the process is kept instead. */
static bool
accept_hello(struct connection *c, const struct mw_msg *msg,
             const struct mw_name *name)
{
    struct mw_links *links = c->links;
    struct connection *old = g_hash_table_lookup(links->by_process, name);

    c->process = *name;
    c->role = msg->hello.role;
    c->peer_incarnation = msg->hello.incarnation;
    if (old && old != c) {
        if (!replaces(c, old)) {
            return false;
        }
        close_connection(old);
    }
    c->has_hello = true;
    g_hash_table_insert(links->by_process, &c->process, c);
    post_link_state(links, c, true);
    return true;
}

/* Returns false if the connection must be closed. */
static bool
handle_payload(struct connection *c, struct mw_str payload)
{
    struct mw_links *links = c->links;
    struct mw_name name = {0};
    int err = 0;
    struct mw_msg *msg =
        mw_decode_msg(&links->ctx, payload, mw_now(), &name, &err);

    if (!msg) {
        links->counters.bad_frames++;
        mw_emit_event(&links->ctx, MW_SEVERITY_WARNING,
                      "event=bad_frame kind=%.*s detail=\"%.*s\"",
                      MW_FMT(mw_error_str(err)),
                      MW_FMT(mw_detail(&links->ctx)));
        return false;
    }
    links->counters.frames_in++;
    if (msg->kind == MW_MSG_HELLO) {
        bool keep = accept_hello(c, msg, &name);

        mw_drop_msg(msg);
        return keep;
    }
    if (!c->has_hello) {
        mw_drop_msg(msg);
        return false;
    }
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_PEER);

    task_msg->process = c->process;
    task_msg->role = c->role;
    task_msg->msg = msg;
    mw_post(links->setup.owner, task_msg);
    return true;
}

static bool
check_mac(struct connection *c, const uint8_t *mac, struct mw_str payload)
{
    uint8_t expected[MW_MAC_LEN];

    mw_frame_mac(mw_blob_str(c->links->setup.key), c->peer_nonce, c->nonce,
                 c->received_count++, payload, expected);
    if (mw_mac_equal(mac, expected)) {
        return true;
    }
    c->links->counters.bad_seals++;
    mw_emit_event(&c->links->ctx, MW_SEVERITY_WARNING,
                  "event=bad_seal kind=auth remedy=\"give both sides the same "
                  "key file\"");
    return false;
}

static size_t
read_peer_nonce(struct connection *c)
{
    if (c->in->len < MW_NONCE_LEN) {
        return 0;
    }
    memcpy(c->peer_nonce, c->in->data, MW_NONCE_LEN);
    c->has_peer_nonce = true;
    send_hello(c);
    return MW_NONCE_LEN;
}

/* Handles all complete frames; returns false to close the connection. */
static bool
handle_frames(struct connection *c)
{
    size_t at = c->has_peer_nonce ? 0 : read_peer_nonce(c);
    bool ok = true;

    while (ok && c->open && c->has_peer_nonce &&
           c->in->len - at >= HEADER_LEN) {
        const uint8_t *head = c->in->data + at;
        uint32_t len;

        memcpy(&len, head, sizeof len);
        len = GUINT32_FROM_BE(len);
        if (len > MW_FRAME_BYTES_MAX) {
            c->links->counters.bad_frames++;
            return false;
        }
        if (c->in->len - at < HEADER_LEN + (size_t)len) {
            break;
        }
        struct mw_str payload = {(const char *)head + HEADER_LEN, len};

        ok = check_mac(c, head + LENGTH_LEN, payload) &&
             handle_payload(c, payload);
        at += HEADER_LEN + len;
    }
    if (at > 0) {
        g_byte_array_remove_range(c->in, 0, (guint)MIN(at, c->in->len));
    }
    return ok;
}

static void
read_finished(GObject *object, GAsyncResult *result, gpointer data)
{
    struct connection *c = data;
    gssize got =
        g_input_stream_read_finish(G_INPUT_STREAM(object), result, NULL);

    if (!c->open) {
        drop_connection(c);
        return;
    }
    if (got <= 0) {
        close_connection(c);
        drop_connection(c);
        return;
    }
    c->last_receive_us = mw_now();
    c->links->counters.bytes_in += (uint64_t)got;
    g_byte_array_append(c->in, c->chunk, (guint)got);
    if (!handle_frames(c)) {
        close_connection(c);
    }
    else if (c->open) {
        read_more(c);
    }
    drop_connection(c);
}

static void
read_more(struct connection *c)
{
    g_input_stream_read_async(
        g_io_stream_get_input_stream(G_IO_STREAM(c->stream)), c->chunk,
        READ_CHUNK_LEN, G_PRIORITY_DEFAULT, c->links->cancel, read_finished,
        keep_connection(c));
}

static void
add_connection(struct mw_links *links, GSocketConnection *stream, int dial)
{
    struct connection *c = g_new0(struct connection, 1);

    c->links = links;
    c->refs = 1;
    c->stream = stream;
    c->dial = dial;
    c->open = true;
    c->in = g_byte_array_new();
    c->out = g_byte_array_new();
    c->out_in_flight = g_byte_array_new();
    c->chunk = g_malloc(READ_CHUNK_LEN);
    c->last_receive_us = mw_now();
    for (int i = 0; i < MW_NONCE_LEN; i++) {
        c->nonce[i] = (uint8_t)g_rand_int_range(links->rand, 0, 256);
    }
    /* IPPROTO_TCP, TCP_NODELAY: send small frames without delay */
    g_socket_set_option(g_socket_connection_get_socket(stream), 6, 1, 1, NULL);
    g_ptr_array_add(links->connections, c);
    g_byte_array_append(c->out, c->nonce, MW_NONCE_LEN);
    write_more(c);
    read_more(c);
}

static void accept_finished(GObject *object, GAsyncResult *result,
                            gpointer data);

static void
accept_next(struct mw_links *links)
{
    g_socket_listener_accept_async(links->listener, links->cancel,
                                   accept_finished, keep_links(links));
}

static void
accept_finished(GObject *object, GAsyncResult *result, gpointer data)
{
    struct mw_links *links = data;
    GSocketConnection *stream = g_socket_listener_accept_finish(
        G_SOCKET_LISTENER(object), result, NULL, NULL);

    if (g_cancellable_is_cancelled(links->cancel)) {
        g_clear_object(&stream);
        unref_links(links);
        return;
    }
    if (stream && links->connections->len < MW_LINKS_MAX) {
        links->counters.accepted++;
        add_connection(links, stream, -1);
    }
    else {
        g_clear_object(&stream);
    }
    accept_next(links);
    unref_links(links);
}

struct connect_request {
    struct mw_links *links;
    int dial;
};

static void
connect_finished(GObject *object, GAsyncResult *result, gpointer data)
{
    struct connect_request *connect_request = data;
    struct mw_links *links = connect_request->links;
    int dial = connect_request->dial;
    GSocketConnection *stream =
        g_socket_client_connect_finish(G_SOCKET_CLIENT(object), result, NULL);

    g_free(connect_request);
    if (g_cancellable_is_cancelled(links->cancel)) {
        g_clear_object(&stream);
    }
    else if (stream) {
        add_connection(links, stream, dial);
    }
    else {
        links->dials[dial].active = false;
        links->dials[dial].redial_deadline_us =
            mw_now() + MW_LINK_REDIAL_DELAY_US;
    }
    unref_links(links);
}

static void
begin_connect(struct mw_links *links, int index)
{
    struct dial_state *state = &links->dials[index];
    GSocketAddress *address = mw_parse_address(&state->dial.address);
    GSocketClient *client = g_socket_client_new();
    struct connect_request *connect_request =
        g_new0(struct connect_request, 1);

    connect_request->links = keep_links(links);
    connect_request->dial = index;
    state->active = true;
    links->counters.dials++;
    g_socket_client_set_timeout(client, 2);
    g_socket_client_set_enable_proxy(client, FALSE);
    g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(address),
                                  links->cancel, connect_finished,
                                  connect_request);
    g_object_unref(client);
    g_object_unref(address);
}

static void
post_counters(struct mw_links *links)
{
    const struct mw_link_counters *c = &links->counters;
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_STATUS);
    char text[512];
    int len =
        g_snprintf(text, sizeof text,
                   "{\"connections\": %u, \"frames_in\": %" PRIu64
                   ", \"frames_out\": %" PRIu64 ", \"bytes_in\": %" PRIu64
                   ", \"bytes_out\": %" PRIu64 ", \"dials\": %" PRIu64
                   ", \"accepted\": %" PRIu64 ", \"silent\": %" PRIu64
                   ", \"bad_frames\": %" PRIu64 ", \"bad_seals\": %" PRIu64
                   ", \"unsent\": %" PRIu64 ", \"queue_full\": %" PRIu64 "}",
                   links->connections->len, c->frames_in, c->frames_out,
                   c->bytes_in, c->bytes_out, c->dials, c->accepted, c->silent,
                   c->bad_frames, c->bad_seals, c->unsent, c->queue_full);

    task_msg->text = mw_new_blob((struct mw_str){text, (size_t)len});
    mw_post(links->setup.owner, task_msg);
}

/* Not while the process has dialed this one. */
static bool
should_dial(const struct mw_links *links, const struct dial_state *state,
            int64_t now_us)
{
    return !state->active && now_us >= state->redial_deadline_us &&
           !g_hash_table_contains(links->by_process, &state->dial.name);
}

static void
links_tick(void *opaque, int64_t now_us)
{
    struct mw_links *links = opaque;

    links->tick_deadline_us = now_us + TICK_INTERVAL_US;
    if (now_us >= links->counters_deadline_us) {
        links->counters_deadline_us = now_us + COUNTERS_INTERVAL_US;
        post_counters(links);
    }
    for (guint i = links->connections->len; i > 0; i--) {
        struct connection *c = links->connections->pdata[i - 1];

        if (now_us - c->last_receive_us > MW_LINK_IDLE_TIMEOUT_US) {
            links->counters.silent++;
            mw_emit_event(&links->ctx, MW_SEVERITY_WARNING,
                          "event=link_silent process=%.*s",
                          MW_FMT(mw_name_str(&c->process)));
            close_connection(c);
        }
    }
    for (uint32_t i = 0; i < links->dial_count; i++) {
        if (should_dial(links, &links->dials[i], now_us)) {
            begin_connect(links, (int)i);
        }
    }
}

static int64_t
links_deadline(void *opaque)
{
    struct mw_links *links = opaque;

    return links->tick_deadline_us;
}

static void
send_to_process(struct mw_links *links, const struct mw_task_msg *task_msg)
{
    struct connection *c =
        g_hash_table_lookup(links->by_process, &task_msg->process);
    struct mw_blob *payload;

    if (!c) {
        links->counters.unsent++;
        return;
    }
    payload = mw_encode_msg(task_msg->msg, &links->setup.name, mw_now());
    if (payload->len > MW_FRAME_BYTES_MAX) {
        links->counters.unsent++;
    }
    else {
        send_payload(c, payload);
    }
    mw_drop_blob(payload);
}

static void
send_to_role(struct mw_links *links, const struct mw_task_msg *task_msg)
{
    struct mw_blob *payload =
        mw_encode_msg(task_msg->msg, &links->setup.name, mw_now());

    for (guint i = links->connections->len; i > 0; i--) {
        struct connection *c = links->connections->pdata[i - 1];

        if (c->has_hello && c->role == task_msg->role) {
            send_payload(c, payload);
        }
    }
    mw_drop_blob(payload);
}

static void
links_receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_links *links = opaque;

    if (task_msg->kind == MW_TASK_MSG_PEER) {
        send_to_process(links, task_msg);
    }
    else if (task_msg->kind == MW_TASK_MSG_BROADCAST) {
        send_to_role(links, task_msg);
    }
}

static void
links_start(void *opaque, struct mw_task *task)
{
    struct mw_links *links = opaque;

    (void)task;
    if (links->listener) {
        accept_next(links);
    }
}

static void
links_stop(void *opaque)
{
    struct mw_links *links = opaque;

    g_cancellable_cancel(links->cancel);
    while (links->connections->len > 0) {
        close_connection(
            links->connections->pdata[links->connections->len - 1]);
    }
    if (links->listener) {
        g_socket_listener_close(links->listener);
    }
}

struct mw_dial_target
mw_region_dial_target(const struct mw_name *name, uint16_t port)
{
    struct mw_dial_target dial = {.name = *name};
    char address[MW_NAME_MAX + 1];

    g_snprintf(address, sizeof address, "%.*s:%u", MW_FMT(mw_name_str(name)),
               port);
    dial.address = mw_name_of(mw_str_from(address));
    return dial;
}

void
mw_links_dial(struct mw_links *links, const struct mw_dial_target *dial)
{
    for (uint32_t i = 0; i < links->dial_count; i++) {
        if (mw_name_equal(&links->dials[i].dial.name, &dial->name)) {
            return;
        }
    }
    if (links->dial_count < G_N_ELEMENTS(links->dials)) {
        links->dials[links->dial_count++].dial = *dial;
    }
}

GSocketAddress *
mw_parse_address(const struct mw_name *text)
{
    char copy[MW_NAME_MAX + 1] = "";
    guint64 port = 0;

    memcpy(copy, text->ptr, text->len);
    char *colon = strrchr(copy, ':');

    if (!colon ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL)) {
        return NULL;
    }
    *colon = 0;
    return g_inet_socket_address_new_from_string(copy, (guint)port);
}

static bool
bind_listener(struct mw_links *links, char **message)
{
    GError *error = NULL;
    GSocketAddress *address;

    if (links->setup.listen.len == 0) {
        return true;
    }
    address = mw_parse_address(&links->setup.listen);
    links->listener = g_socket_listener_new();
    g_socket_listener_set_backlog(links->listener, 256);
    if (!g_socket_listener_add_address(
            links->listener, address, G_SOCKET_TYPE_STREAM,
            G_SOCKET_PROTOCOL_TCP, NULL, NULL, &error)) {
        *message = g_strdup_printf("--listen: %s; choose a free address",
                                   error->message);
        g_error_free(error);
        g_object_unref(address);
        return false;
    }
    g_object_unref(address);
    return true;
}

struct mw_links *
mw_new_links(const struct mw_link_setup *setup, char **message)
{
    struct mw_links *links = g_new0(struct mw_links, 1);
    struct mw_task_callbacks work = {
        .opaque = links,
        .start = links_start,
        .receive = links_receive,
        .deadline = links_deadline,
        .tick = links_tick,
        .stop = links_stop,
    };

    links->refs = 1;
    links->setup = *setup;
    links->ctx = setup->ctx;
    links->cancel = g_cancellable_new();
    links->rand = g_rand_new();
    links->connections = g_ptr_array_new();
    links->by_process = g_hash_table_new(mw_hash_name, mw_same_name);
    links->dial_count = setup->dial_count;
    for (uint32_t i = 0; i < setup->dial_count; i++) {
        links->dials[i].dial = setup->dials[i];
    }
    if (!bind_listener(links, message)) {
        mw_drop_links(links);
        return NULL;
    }
    links->task = mw_new_task_on_thread(setup->owner, &work);
    return links;
}

void
mw_drop_links(struct mw_links *links)
{
    if (!links) {
        return;
    }
    mw_drop_task(links->task);
    unref_links(links);
}

struct mw_task *
mw_links_task(struct mw_links *links)
{
    return links->task;
}
