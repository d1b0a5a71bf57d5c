/*
 * proxy: a loopback address that passes bytes on, late, one way or not.
 */
#include <string.h>

#include "soak.h"

#define CHUNK 65536
#define DELAY_MS 150

struct soak_proxy {
    GSocketService *service;
    GSocketAddress *target;
    GPtrArray *pairs;
    enum soak_path path;
};

struct pair;

struct side {
    struct pair *pair;
    GIOStream *from;
    GIOStream *to;
    /* from the target back to who dialled */
    bool back;
    char buffer[CHUNK];
    gsize len;
};

/* pair: one connection through the proxy; both sides share its end. */
struct pair {
    struct soak_proxy *proxy;
    GIOStream *near;
    GIOStream *far;
    struct side sides[2];
    unsigned busy;
    bool closed;
    /* it has gone silent for good */
    bool mute;
};

static void pump(struct side *side);

static void
close_now(GIOStream *stream)
{
    if (stream) {
        g_socket_close(
            g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream)), NULL);
    }
}

static void
free_pair(struct pair *pair)
{
    g_clear_object(&pair->near);
    g_clear_object(&pair->far);
    g_free(pair);
}

static void
end_pair(struct pair *pair)
{
    if (!pair->closed) {
        pair->closed = true;
        close_now(pair->near);
        close_now(pair->far);
        if (pair->proxy) {
            g_ptr_array_remove_fast(pair->proxy->pairs, pair);
        }
    }
    if (pair->busy == 0) {
        free_pair(pair);
    }
}

static bool
may_pass(const struct side *side)
{
    enum soak_path path =
        side->pair->proxy ? side->pair->proxy->path : SOAK_PASS;

    if (path == SOAK_SILENT) {
        side->pair->mute = true;
    }
    return !side->pair->mute && !(path == SOAK_ONE_WAY && side->back);
}

static void
written(GObject *object, GAsyncResult *result, gpointer data)
{
    struct side *side = data;
    bool ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(object), result,
                                               NULL, NULL);

    side->pair->busy--;
    if (!ok || side->pair->closed) {
        end_pair(side->pair);
        return;
    }
    pump(side);
}

static void
pass_on(struct side *side)
{
    side->pair->busy++;
    g_output_stream_write_all_async(g_io_stream_get_output_stream(side->to),
                                    side->buffer, side->len,
                                    G_PRIORITY_DEFAULT, NULL, written, side);
}

static gboolean
pass_on_late(gpointer data)
{
    struct side *side = data;

    side->pair->busy--;
    if (side->pair->closed) {
        end_pair(side->pair);
    }
    else {
        pass_on(side);
    }
    return G_SOURCE_REMOVE;
}

static void
have_read(GObject *object, GAsyncResult *result, gpointer data)
{
    struct side *side = data;
    struct pair *pair = side->pair;
    gssize got =
        g_input_stream_read_finish(G_INPUT_STREAM(object), result, NULL);

    pair->busy--;
    if (got <= 0 || pair->closed) {
        end_pair(pair);
        return;
    }
    side->len = (gsize)got;
    if (!may_pass(side)) {
        /* lost, and nobody is told */
        pump(side);
    }
    else if (pair->proxy && pair->proxy->path == SOAK_DELAY) {
        pair->busy++;
        g_timeout_add(DELAY_MS, pass_on_late, side);
    }
    else {
        pass_on(side);
    }
}

static void
pump(struct side *side)
{
    side->pair->busy++;
    g_input_stream_read_async(g_io_stream_get_input_stream(side->from),
                              side->buffer, CHUNK, G_PRIORITY_DEFAULT, NULL,
                              have_read, side);
}

static void
connected(GObject *object, GAsyncResult *result, gpointer data)
{
    struct pair *pair = data;
    GSocketConnection *far =
        g_socket_client_connect_finish(G_SOCKET_CLIENT(object), result, NULL);

    pair->busy--;
    if (!far || pair->closed) {
        g_clear_object(&far);
        end_pair(pair);
        return;
    }
    pair->far = G_IO_STREAM(far);
    pair->sides[0].to = pair->sides[1].from = pair->far;
    pair->sides[0].from = pair->sides[1].to = pair->near;
    pump(&pair->sides[0]);
    pump(&pair->sides[1]);
}

static gboolean
incoming(GSocketService *service, GSocketConnection *connection,
         GObject *source, gpointer data)
{
    struct soak_proxy *proxy = data;
    struct pair *pair = g_new0(struct pair, 1);
    GSocketClient *client = g_socket_client_new();

    (void)service;
    (void)source;
    pair->proxy = proxy;
    pair->near = g_object_ref(G_IO_STREAM(connection));
    pair->sides[0].pair = pair->sides[1].pair = pair;
    pair->sides[1].back = true;
    pair->busy = 1;
    g_ptr_array_add(proxy->pairs, pair);
    g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(proxy->target),
                                  NULL, connected, pair);
    g_object_unref(client);
    return TRUE;
}

struct soak_proxy *
soak_new_proxy(const char *listen_ip, const char *to_ip, uint16_t port)
{
    struct soak_proxy *proxy = g_new0(struct soak_proxy, 1);
    GSocketAddress *at =
        g_inet_socket_address_new_from_string(listen_ip, port);
    GError *error = NULL;

    proxy->pairs = g_ptr_array_new();
    proxy->target = g_inet_socket_address_new_from_string(to_ip, port);
    proxy->service = g_socket_service_new();
    if (!g_socket_listener_add_address(
            G_SOCKET_LISTENER(proxy->service), at, G_SOCKET_TYPE_STREAM,
            G_SOCKET_PROTOCOL_TCP, NULL, NULL, &error)) {
        g_error("soak: proxy at %s:%u: %s", listen_ip, port, error->message);
    }
    g_signal_connect(proxy->service, "incoming", G_CALLBACK(incoming), proxy);
    g_object_unref(at);
    return proxy;
}

void
soak_reset(struct soak_proxy *proxy)
{
    while (proxy->pairs->len > 0) {
        end_pair(proxy->pairs->pdata[0]);
    }
}

void
soak_drop_proxy(struct soak_proxy *proxy)
{
    g_socket_service_stop(proxy->service);
    g_socket_listener_close(G_SOCKET_LISTENER(proxy->service));
    for (guint i = 0; i < proxy->pairs->len; i++) {
        ((struct pair *)proxy->pairs->pdata[i])->proxy = NULL;
    }
    g_ptr_array_unref(proxy->pairs);
    g_object_unref(proxy->target);
    g_object_unref(proxy->service);
    g_free(proxy);
}

void
soak_set_path(struct soak_proxy *proxy, enum soak_path path)
{
    proxy->path = path;
}
