/*
 * relay: a cut between two addresses, for the proofs.
 *
 *   relay LISTEN TARGET [LISTEN TARGET ...]
 *
 * Passes bytes both ways.  SIGUSR1 holds everything back: connections stay
 * open and go silent, new ones are taken and go nowhere.  SIGUSR2 lets new
 * connections through again, while the old ones stay silent for good.
 */
#include <gio/gio.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>

#include "link.h"

#define CHUNK 65536

struct side {
    GIOStream *from;
    GIOStream *to;
    char buffer[CHUNK];
    bool dead;
};

static GPtrArray *sides;
static bool cut;

static void pump(struct side *side);

static void
written(GObject *object, GAsyncResult *result, gpointer data)
{
    struct side *side = data;

    if (g_output_stream_write_all_finish(G_OUTPUT_STREAM(object), result, NULL,
                                         NULL)) {
        pump(side);
    }
}

static void
have_read(GObject *object, GAsyncResult *result, gpointer data)
{
    struct side *side = data;
    gssize got =
        g_input_stream_read_finish(G_INPUT_STREAM(object), result, NULL);

    if (side->dead || cut) {
        /* the bytes are lost and nobody is told */
        side->dead = true;
        return;
    }
    if (got <= 0) {
        g_io_stream_close(side->to, NULL, NULL);
        return;
    }
    g_output_stream_write_all_async(g_io_stream_get_output_stream(side->to),
                                    side->buffer, (gsize)got,
                                    G_PRIORITY_DEFAULT, NULL, written, side);
}

static void
pump(struct side *side)
{
    g_input_stream_read_async(g_io_stream_get_input_stream(side->from),
                              side->buffer, CHUNK, G_PRIORITY_DEFAULT, NULL,
                              have_read, side);
}

static void
join(GIOStream *from, GIOStream *to)
{
    struct side *side = g_new0(struct side, 1);

    side->from = g_object_ref(from);
    side->to = g_object_ref(to);
    side->dead = cut;
    g_ptr_array_add(sides, side);
    pump(side);
}

static gboolean
incoming(GSocketService *service, GSocketConnection *near, GObject *source,
         gpointer data)
{
    GSocketClient *client = g_socket_client_new();
    GSocketConnection *far = NULL;

    (void)service;
    (void)source;
    if (!cut) {
        far = g_socket_client_connect(client, G_SOCKET_CONNECTABLE(data), NULL,
                                      NULL);
    }
    if (far) {
        join(G_IO_STREAM(near), G_IO_STREAM(far));
        join(G_IO_STREAM(far), G_IO_STREAM(near));
        g_object_unref(far);
    }
    else if (cut) {
        g_object_ref(near);
    }
    g_object_unref(client);
    return TRUE;
}

static gboolean
on_cut(gpointer data)
{
    (void)data;
    cut = true;
    for (guint i = 0; i < sides->len; i++) {
        ((struct side *)sides->pdata[i])->dead = true;
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
on_heal(gpointer data)
{
    (void)data;
    cut = false;
    return G_SOURCE_CONTINUE;
}

int
main(int argc, char **argv)
{
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);

    sides = g_ptr_array_new();
    for (int i = 1; i + 1 < argc; i += 2) {
        struct mw_name listen = mw_name_of(mw_str_from(argv[i]));
        struct mw_name target = mw_name_of(mw_str_from(argv[i + 1]));
        GSocketService *service = g_socket_service_new();

        if (!g_socket_listener_add_address(
                G_SOCKET_LISTENER(service), mw_parse_address(&listen),
                G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
                NULL)) {
            fprintf(stderr, "relay: %s is taken\n", argv[i]);
            return 1;
        }
        g_signal_connect(service, "incoming", G_CALLBACK(incoming),
                         mw_parse_address(&target));
        g_socket_service_start(service);
    }
    g_unix_signal_add(SIGUSR1, on_cut, NULL);
    g_unix_signal_add(SIGUSR2, on_heal, NULL);
    g_main_loop_run(loop);
    return 0;
}
