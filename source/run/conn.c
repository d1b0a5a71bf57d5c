#include "conn.h"

#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include "loop.h"

#define READ_BYTES (64 * 1024)
#define LISTEN_BACKLOG 512
#define KEEPALIVE_DELAY_S 20

struct mw_conn {
    uv_tcp_t tcp;
    struct mw_conn_callbacks callbacks;
    uv_connect_t connect;
    uv_write_t write;
    uv_shutdown_t shutdown;
    /* bytes that libuv writes, and those that wait for it; NULL if none */
    GByteArray *in_flight;
    GByteArray *queued;
    bool connecting;
    /* mw_conn_end was called */
    bool ending;
    bool closing;
    bool timed_out;
};

struct mw_listener {
    uv_tcp_t tcp;
    struct mw_listener_callbacks callbacks;
};

/* read buffer of all connections of a thread */
static __thread char read_buffer[READ_BYTES];

static void write_queued(struct mw_conn *conn);

static struct mw_conn *
new_conn(void)
{
    struct mw_conn *conn = g_new0(struct mw_conn, 1);

    uv_tcp_init(mw_thread_loop(), &conn->tcp);
    conn->tcp.data = conn;
    return conn;
}

static void
free_conn(uv_handle_t *handle)
{
    struct mw_conn *conn = handle->data;

    g_clear_pointer(&conn->in_flight, g_byte_array_unref);
    g_clear_pointer(&conn->queued, g_byte_array_unref);
    g_free(conn);
}

void
mw_conn_close(struct mw_conn *conn)
{
    if (conn && !conn->closing) {
        conn->closing = true;
        uv_close((uv_handle_t *)&conn->tcp, free_conn);
    }
}

void
mw_conn_reset(struct mw_conn *conn)
{
    if (conn->closing) {
        return;
    }
    conn->closing = true;
    if (uv_tcp_close_reset(&conn->tcp, free_conn) != 0) {
        uv_close((uv_handle_t *)&conn->tcp, free_conn);
    }
}

/* Reports the end of the connection and closes it. */
static void
fail(struct mw_conn *conn, int error)
{
    if (conn->closing) {
        return;
    }
    conn->timed_out = error == UV_ETIMEDOUT;
    if (conn->callbacks.closed) {
        conn->callbacks.closed(conn->callbacks.opaque,
                               error == UV_ECONNREFUSED);
    }
    mw_conn_close(conn);
}

static void
provide_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(read_buffer, sizeof read_buffer);
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buffer)
{
    struct mw_conn *conn = stream->data;

    if (got < 0) {
        fail(conn, (int)got);
    }
    else if (got > 0 && conn->callbacks.received) {
        conn->callbacks.received(conn->callbacks.opaque,
                                 (struct mw_str){buffer->base, (size_t)got});
    }
}

static void
start_reading(struct mw_conn *conn)
{
    /* small messages are sent without delay */
    uv_tcp_nodelay(&conn->tcp, 1);
    uv_read_start((uv_stream_t *)&conn->tcp, provide_buffer, on_read);
}

void
mw_conn_set_callbacks(struct mw_conn *conn,
                      const struct mw_conn_callbacks *callbacks)
{
    conn->callbacks = *callbacks;
    start_reading(conn);
}

static void
on_connected(uv_connect_t *connect, int status)
{
    struct mw_conn *conn = connect->data;

    conn->connecting = false;
    if (conn->closing) {
        return;
    }
    if (status < 0) {
        fail(conn, status);
        return;
    }
    start_reading(conn);
    if (conn->callbacks.opened) {
        conn->callbacks.opened(conn->callbacks.opaque);
    }
    if (!conn->closing) {
        write_queued(conn);
    }
}

struct mw_conn *
mw_dial_conn(const struct mw_name *address,
             const struct mw_conn_callbacks *callbacks)
{
    struct sockaddr_storage to;
    struct mw_conn *conn;

    if (!mw_parse_address(address, &to)) {
        return NULL;
    }
    conn = new_conn();
    conn->callbacks = *callbacks;
    conn->connect.data = conn;
    conn->connecting = true;
    if (uv_tcp_connect(&conn->connect, &conn->tcp, (struct sockaddr *)&to,
                       on_connected) != 0) {
        mw_conn_close(conn);
        return NULL;
    }
    return conn;
}

static void
on_written(uv_write_t *write, int status)
{
    struct mw_conn *conn = write->data;

    g_clear_pointer(&conn->in_flight, g_byte_array_unref);
    if (status < 0) {
        fail(conn, status);
    }
    else if (!conn->closing) {
        write_queued(conn);
    }
}

static void
on_shutdown(uv_shutdown_t *shutdown, int status)
{
    (void)shutdown;
    (void)status;
}

static void
write_queued(struct mw_conn *conn)
{
    uv_buf_t buffer;

    if (conn->connecting || conn->in_flight) {
        return;
    }
    if (conn->queued) {
        conn->in_flight = g_steal_pointer(&conn->queued);
        buffer =
            uv_buf_init((char *)conn->in_flight->data, conn->in_flight->len);
        conn->write.data = conn;
        uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buffer, 1,
                 on_written);
    }
    else if (conn->ending) {
        uv_shutdown(&conn->shutdown, (uv_stream_t *)&conn->tcp, on_shutdown);
    }
}

size_t
mw_conn_try_send(struct mw_conn *conn, struct mw_str bytes)
{
    uv_buf_t buffer =
        uv_buf_init((char *)(uintptr_t)bytes.ptr, (unsigned int)bytes.len);
    int written;

    if (conn->connecting || conn->in_flight || conn->queued || conn->closing) {
        return 0;
    }
    written = uv_try_write((uv_stream_t *)&conn->tcp, &buffer, 1);
    /* an error shows again when the rest is written */
    return written > 0 ? (size_t)written : 0;
}

void
mw_conn_send(struct mw_conn *conn, struct mw_str bytes)
{
    size_t written;

    if (conn->closing || conn->ending || bytes.len == 0) {
        return;
    }
    written = mw_conn_try_send(conn, bytes);
    if (written == bytes.len) {
        return;
    }
    if (!conn->queued) {
        conn->queued = g_byte_array_new();
    }
    g_byte_array_append(conn->queued, (const guint8 *)bytes.ptr + written,
                        (guint)(bytes.len - written));
    write_queued(conn);
}

size_t
mw_conn_queued_bytes(const struct mw_conn *conn)
{
    return (conn->queued ? conn->queued->len : 0) +
           (conn->in_flight ? conn->in_flight->len : 0);
}

void
mw_conn_end(struct mw_conn *conn)
{
    if (!conn->closing && !conn->ending) {
        conn->ending = true;
        write_queued(conn);
    }
}

void
mw_conn_limit_delivery(struct mw_conn *conn, int64_t duration_us)
{
    unsigned int ms = (unsigned int)CLAMP(duration_us / 1000 + 1, 1, G_MAXINT);
    uv_os_fd_t fd;

    if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) == 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
    }
}

bool
mw_conn_timed_out(const struct mw_conn *conn)
{
    return conn->timed_out;
}

void
mw_conn_keepalive(struct mw_conn *conn)
{
    uv_tcp_keepalive(&conn->tcp, 1, KEEPALIVE_DELAY_S);
}

static void
on_connection(uv_stream_t *stream, int status)
{
    struct mw_listener *listener = stream->data;
    struct mw_conn *conn;

    if (status < 0) {
        return;
    }
    conn = new_conn();
    if (uv_accept(stream, (uv_stream_t *)&conn->tcp) != 0) {
        mw_conn_close(conn);
        return;
    }
    listener->callbacks.accepted(listener->callbacks.opaque, conn);
}

void
mw_accept_waiting(struct mw_listener *listener)
{
    uv_os_fd_t listen_fd;
    int fd = -1;

    if (uv_fileno((uv_handle_t *)&listener->tcp, &listen_fd) != 0) {
        return;
    }
    do {
        fd = accept(listen_fd, NULL, NULL);
        if (fd >= 0) {
            struct mw_conn *conn = new_conn();

            if (uv_tcp_open(&conn->tcp, fd) == 0) {
                listener->callbacks.accepted(listener->callbacks.opaque, conn);
            }
            else {
                close(fd);
                mw_conn_close(conn);
            }
        }
    } while (fd >= 0);
}

static void
free_listener(uv_handle_t *handle)
{
    g_free(handle->data);
}

void
mw_drop_listener(struct mw_listener *listener)
{
    if (listener) {
        uv_close((uv_handle_t *)&listener->tcp, free_listener);
    }
}

struct mw_listener *
mw_new_listener(const struct mw_name *address,
                const struct mw_listener_callbacks *callbacks,
                const char **reason)
{
    struct mw_listener *listener;
    struct sockaddr_storage at;
    int err;

    if (!mw_parse_address(address, &at)) {
        *reason = "not an address like 127.0.0.1:80";
        return NULL;
    }
    listener = g_new0(struct mw_listener, 1);
    listener->callbacks = *callbacks;
    listener->tcp.data = listener;
    uv_tcp_init(mw_thread_loop(), &listener->tcp);
    err = uv_tcp_bind(&listener->tcp, (struct sockaddr *)&at, 0);
    if (!err) {
        err = uv_listen((uv_stream_t *)&listener->tcp, LISTEN_BACKLOG,
                        on_connection);
    }
    if (err) {
        *reason = uv_strerror(err);
        mw_drop_listener(listener);
        return NULL;
    }
    return listener;
}

bool
mw_parse_address(const struct mw_name *text, struct sockaddr_storage *address)
{
    char host[MW_NAME_MAX + 1] = "";
    guint64 port = 0;
    char *colon;

    memcpy(host, text->ptr, text->len);
    colon = strrchr(host, ':');
    if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16,
                                              &port, NULL)) {
        return false;
    }
    *colon = 0;
    memset(address, 0, sizeof *address);
    return uv_ip4_addr(host, (int)port, (struct sockaddr_in *)address) == 0 ||
           uv_ip6_addr(host, (int)port, (struct sockaddr_in6 *)address) == 0;
}
