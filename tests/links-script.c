/*
 * links-script: the connections between processes, against a peer that sends
 * what the script says, over loopback.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "link-frame.h"
#include "link.h"
#include "script.h"

#define PORT_FIRST 12000
#define PORT_COUNT 8000
/* what has not arrived after so long does not come */
#define QUIET_MS 200
#define START_WAIT_US 5000000
#define UNREAD_WAIT_US 400000
/*
 * The operating system repeats a first packet after 1 s: by then that one has
 * been lost, too, and a dial of 2 s begins anew at 2.2 s at the earliest.
 */
#define UNANSWERED_US 1150000
#define REDIAL_WAIT_MS 950
/* that the process keeps to send on a connection */
#define QUEUE_MAX (16u * 1024 * 1024)

struct state {
    struct mw_name address;
    uint16_t port;
    struct mw_blob *key;
    /* the process; its task owns the links */
    struct mw_task *task;
    struct mw_links *links;
    /* lines that the task pushes */
    GAsyncQueue *heard;
    /* the peer's end of the connection, -1 for none */
    int fd;
    struct mw_frame_stream frames;
    GRand *rand;
};

static void
start_process(void *opaque, struct mw_task *task)
{
    struct state *st = opaque;
    char *message = NULL;
    struct mw_link_setup setup = {
        .name = mw_name_from("self"),
        .zone = mw_name_from("za"),
        .role = MW_ROLE_CONTROL,
        .key = st->key,
        .listen = st->address,
        .queue_max = QUEUE_MAX,
        .owner = task,
    };

    st->links = mw_new_links(&setup, &message);
    g_async_queue_push(st->heard,
                       g_strdup(st->links ? "listens" : "can't listen"));
    g_free(message);
}

static void
receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct state *st = opaque;

    if (task_msg->kind == MW_TASK_MSG_DIAL) {
        struct mw_dial_target target = {task_msg->process, task_msg->process};

        mw_links_dial(st->links, &target);
    }
    if (task_msg->kind == MW_TASK_MSG_LINK) {
        g_async_queue_push(
            st->heard,
            g_strdup_printf("%.*s %s", MW_FMT(mw_name_str(&task_msg->process)),
                            task_msg->connected ? "regained" : "lost"));
    }
    else if (task_msg->kind == MW_TASK_MSG_PEER) {
        g_async_queue_push(
            st->heard,
            g_strdup_printf("message from %.*s",
                            MW_FMT(mw_name_str(&task_msg->process))));
    }
}

static void
stop_process(void *opaque)
{
    mw_drop_links(((struct state *)opaque)->links);
}

static void *
begin(void)
{
    static int used;
    struct state *st = g_new0(struct state, 1);
    char text[32];
    struct mw_task_callbacks work = {.opaque = st,
                                     .start = start_process,
                                     .receive = receive,
                                     .stop = stop_process};

    st->port = (uint16_t)(PORT_FIRST + (getpid() + used++) % PORT_COUNT);
    g_snprintf(text, sizeof text, "127.0.0.1:%u", st->port);
    st->address = mw_name_from(text);
    st->key = mw_new_blob(MW_STR("the key of the test"));
    st->heard = g_async_queue_new_full(g_free);
    st->rand = g_rand_new_with_seed(1);
    st->fd = -1;
    st->task = mw_new_task("process", &work);
    return st;
}

static void
close_peer(struct state *st)
{
    if (st->fd >= 0) {
        close(st->fd);
        mw_clear_frame_stream(&st->frames);
        st->frames.in = NULL;
    }
    st->fd = -1;
}

static void
end(void *state)
{
    struct state *st = state;

    close_peer(st);
    mw_drop_task(st->task);
    g_async_queue_unref(st->heard);
    g_rand_free(st->rand);
    mw_drop_blob(st->key);
    g_free(st);
}

/* Reads until it is quiet; returns whether the connection was closed. */
static bool
read_until_quiet(struct state *st)
{
    struct pollfd ready = {.fd = st->fd, .events = POLLIN};
    char buffer[4096];

    while (poll(&ready, 1, QUIET_MS) > 0) {
        ssize_t got = read(st->fd, buffer, sizeof buffer);

        if (got <= 0) {
            return true;
        }
        mw_add_received(&st->frames, (struct mw_str){buffer, (size_t)got});
    }
    return false;
}

/* Prints what the process heard, and the state of the connection. */
static void
print_effects(struct mw_script *s)
{
    struct state *st = s->state;
    bool closed = st->fd >= 0 && read_until_quiet(st);
    char *line;

    while ((line = g_async_queue_timeout_pop(st->heard, QUIET_MS * 1000))) {
        mw_script_printf(s, "  %s", line);
        g_free(line);
    }
    if (st->fd >= 0) {
        mw_script_printf(s, "  %s", closed ? "closed" : "open");
    }
    if (closed) {
        close_peer(st);
    }
}

static void
send_queued(struct state *st)
{
    GByteArray *out = st->frames.out;

    send(st->fd, out->data, out->len, MSG_NOSIGNAL);
    g_byte_array_set_size(out, 0);
}

static bool
is_connected(struct mw_script *s)
{
    struct state *st = s->state;

    if (st->fd < 0) {
        mw_script_printf(s, "  no connection");
    }
    return st->fd >= 0;
}

/* listen: waits until the process listens */
static void
cmd_listen(struct mw_script *s)
{
    struct state *st = s->state;
    char *line = g_async_queue_timeout_pop(st->heard, START_WAIT_US);

    mw_script_printf(s, "  %s", line ? line : "nothing");
    g_free(line);
}

/* connect: the peer connects, and both sides exchange their nonces */
static void
cmd_connect(struct mw_script *s)
{
    struct state *st = s->state;
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(st->port)};

    close_peer(st);
    st->fd = socket(AF_INET, SOCK_STREAM, 0);
    inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    mw_init_frame_stream(&st->frames, st->key, st->rand);
    if (connect(st->fd, (struct sockaddr *)&to, sizeof to) != 0) {
        mw_script_printf(s, "  can't connect");
        close_peer(st);
        return;
    }
    mw_append_nonce(&st->frames);
    send_queued(st);
    print_effects(s);
    if (st->fd >= 0 && !mw_read_nonce(&st->frames)) {
        mw_script_printf(s, "  no nonce");
    }
}

static void
send_payload(struct mw_script *s, const struct mw_blob *payload)
{
    struct state *st = s->state;

    if (is_connected(s)) {
        mw_append_frame(&st->frames, payload);
        send_queued(st);
        print_effects(s);
    }
}

static void
send_msg(struct mw_script *s, struct mw_msg *msg, const char *name)
{
    struct mw_name from = mw_name_from(name);
    struct mw_blob *payload = mw_encode_msg(msg, &from, mw_now());

    send_payload(s, payload);
    mw_drop_blob(payload);
    mw_drop_msg(msg);
}

/* hello NAME: the peer says who it is */
static void
cmd_hello(struct mw_script *s)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_HELLO);

    msg->hello.role = MW_ROLE_CONTROL;
    msg->hello.zone = mw_name_from("za");
    msg->hello.incarnation = 1;
    send_msg(s, msg, mw_script_word(s, 1));
}

/* heartbeat NAME: another message */
static void
cmd_heartbeat(struct mw_script *s)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_HEARTBEAT);

    msg->heartbeat.role = MW_ROLE_CONTROL;
    msg->heartbeat.zone = mw_name_from("za");
    send_msg(s, msg, mw_script_word(s, 1));
}

/* payload TEXT: a frame whose payload is no message */
static void
cmd_payload(struct mw_script *s)
{
    struct mw_blob *payload = mw_new_blob(mw_str_from(mw_script_word(s, 1)));

    send_payload(s, payload);
    mw_drop_blob(payload);
}

/* bytes TEXT: bytes that are no frame; \ooo is an octal escape */
static void
cmd_bytes(struct mw_script *s)
{
    struct state *st = s->state;
    const char *word = mw_script_word(s, 1);

    if (!is_connected(s)) {
        return;
    }
    for (const char *at = word; *at; at++) {
        guint8 byte = (guint8)*at;

        if (*at == '\\' && strlen(at) >= 4) {
            byte = (guint8)g_ascii_strtoull((char[]){at[1], at[2], at[3], 0},
                                            NULL, 8);
            at += 3;
        }
        g_byte_array_append(st->frames.out, &byte, 1);
    }
    send_queued(st);
    print_effects(s);
}

/* send NAME: the process sends a message to the process of that name */
static void
cmd_send(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_name to = mw_name_from(mw_script_word(s, 1));
    struct mw_msg *msg = mw_new_msg(MW_MSG_HEARTBEAT);
    guint before = st->frames.in ? st->frames.in->len : 0;

    mw_post_peer_msg(mw_links_task(st->links), &to, msg);
    mw_drop_msg(msg);
    print_effects(s);
    if (st->fd >= 0 && st->frames.in->len > before) {
        mw_script_printf(s, "  received");
    }
}

/* Something that the process hears, so that the connection is not idle. */
static void
send_heartbeat(struct state *st, const struct mw_name *from)
{
    struct mw_msg *msg = mw_new_msg(MW_MSG_HEARTBEAT);
    struct mw_blob *payload = mw_encode_msg(msg, from, mw_now());

    mw_append_frame(&st->frames, payload);
    send_queued(st);
    mw_drop_blob(payload);
    mw_drop_msg(msg);
}

/* Waits until the process loses the peer; other lines are dropped. */
static bool
is_lost(struct state *st)
{
    bool lost = false;
    char *line;

    while (!lost &&
           (line = g_async_queue_timeout_pop(st->heard, UNREAD_WAIT_US))) {
        lost = g_str_has_suffix(line, "lost");
        g_free(line);
    }
    return lost;
}

/*
 * unread NAME COUNT BYTES: the process sends so many requests with bodies of
 * that size, and the peer reads none of them
 */
static void
cmd_unread(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_name to = mw_name_from(mw_script_word(s, 1));
    char *body = g_strnfill((gsize)atoi(mw_script_word(s, 3)), 'a');

    send_heartbeat(st, &to);
    for (int i = 0; i < atoi(mw_script_word(s, 2)); i++) {
        struct mw_msg *msg = mw_new_msg(MW_MSG_FLOW_CALL);

        msg->flow_call.body = mw_new_blob(mw_str_from(body));
        mw_post_peer_msg(mw_links_task(st->links), &to, msg);
        mw_drop_msg(msg);
    }
    mw_script_printf(s, "  %s", is_lost(st) ? "lost" : "kept");
    g_free(body);
}

/* Listens on a port of its own; returns the socket, and the address. */
static int
listen_without_queue(struct sockaddr_in *address)
{
    socklen_t len = sizeof *address;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    *address = (struct sockaddr_in){.sin_family = AF_INET};
    inet_pton(AF_INET, "127.0.0.1", &address->sin_addr);
    if (bind(fd, (struct sockaddr *)address, len) != 0 || listen(fd, 0) != 0 ||
        getsockname(fd, (struct sockaddr *)address, &len) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Whether a connection is established within QUIET_MS; *fd is its socket. */
static bool
try_connect(const struct sockaddr_in *to, int *fd)
{
    struct pollfd ready = {.events = POLLOUT};

    *fd = socket(AF_INET, SOCK_STREAM, 0);
    fcntl(*fd, F_SETFL, O_NONBLOCK);
    ready.fd = *fd;
    return connect(*fd, (const struct sockaddr *)to, sizeof *to) == 0 ||
           poll(&ready, 1, QUIET_MS) > 0;
}

/* Whether another process connects in time after the queue got room. */
static bool
is_dialed_anew(int listener)
{
    struct pollfd ready = {.fd = listener, .events = POLLIN};
    int fd = accept(listener, NULL, NULL);
    bool dialed = poll(&ready, 1, REDIAL_WAIT_MS) > 0;

    close(fd);
    return dialed;
}

/*
 * dial-unanswered: the process dials a peer that answers no first packet for
 * a while, as its queue of connections is full
 */
static void
cmd_dial_unanswered(struct mw_script *s)
{
    struct state *st = s->state;
    struct sockaddr_in address;
    struct mw_name name;
    char text[32];
    int first = -1;
    int second = -1;
    int listener = listen_without_queue(&address);

    if (!try_connect(&address, &first) || try_connect(&address, &second)) {
        mw_script_printf(s, "  the queue is not full");
    }
    close(second);
    g_snprintf(text, sizeof text, "127.0.0.1:%u", ntohs(address.sin_port));
    name = mw_name_from(text);
    mw_post_dial(st->task, &name);
    g_usleep(UNANSWERED_US);
    mw_script_printf(s, "  %s",
                     is_dialed_anew(listener) ? "dialed anew" : "not dialed");
    close(first);
    close(listener);
}

/*
 * dial-after COUNT: the process dials so many others that refuse it, and then
 * the peer
 */
static void
cmd_dial_after(struct mw_script *s)
{
    struct state *st = s->state;
    struct sockaddr_in address;
    struct pollfd ready = {.events = POLLIN};
    struct mw_name name;
    char text[32];

    ready.fd = listen_without_queue(&address);
    for (int i = 0; i < atoi(mw_script_word(s, 1)); i++) {
        g_snprintf(text, sizeof text, "127.0.1.%d:1", 1 + i);
        name = mw_name_from(text);
        mw_post_dial(st->task, &name);
    }
    g_snprintf(text, sizeof text, "127.0.0.1:%u", ntohs(address.sin_port));
    name = mw_name_from(text);
    mw_post_dial(st->task, &name);
    mw_script_printf(s, "  %s",
                     poll(&ready, 1, REDIAL_WAIT_MS) > 0 ? "dialed"
                                                         : "not dialed");
    close(ready.fd);
}

/* close: the peer closes the connection */
static void
cmd_close(struct mw_script *s)
{
    close_peer(s->state);
    print_effects(s);
}

static const struct mw_script_command commands[] = {
    {"listen", 0, cmd_listen},
    {"connect", 0, cmd_connect},
    {"hello", 1, cmd_hello},
    {"heartbeat", 1, cmd_heartbeat},
    {"payload", 1, cmd_payload},
    {"bytes", 1, cmd_bytes},
    {"send", 1, cmd_send},
    {"unread", 3, cmd_unread},
    {"close", 0, cmd_close},
    {"dial-unanswered", 0, cmd_dial_unanswered},
    {"dial-after", 1, cmd_dial_after},
    {NULL, 0, NULL},
};

const struct mw_script_kind mw_links_scripts = {"links", commands, begin, end};
