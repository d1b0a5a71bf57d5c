/*
 * load: short checks sent to a fake endpoint directly and through the whole
 * path, in turn, on connections that are kept.
 *
 *   load ENDPOINT ENTRY TOKEN PID,PID,...
 */
#include <gio/gio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "link.h"

#define ROUNDS 3000
#define WARM 300
#define PARALLEL 16
#define BURST 4000

struct peer {
    GSocketConnection *stream;
    GDataInputStream *in;
    GOutputStream *out;
};

static unsigned sequence;

static void
fail(const char *what)
{
    fprintf(stderr, "load: %s\n", what);
    exit(1);
}

static struct peer
dial(const char *address)
{
    GSocketClient *client = g_socket_client_new();
    struct mw_name name = mw_name_of(mw_str_from(address));
    GSocketAddress *at = mw_parse_address(&name);
    struct peer peer = {0};

    peer.stream =
        g_socket_client_connect(client, G_SOCKET_CONNECTABLE(at), NULL, NULL);
    if (!peer.stream) {
        fail(address);
    }
    g_socket_set_option(g_socket_connection_get_socket(peer.stream), 6, 1, 1,
                        NULL);
    peer.in = g_data_input_stream_new(
        g_io_stream_get_input_stream(G_IO_STREAM(peer.stream)));
    g_data_input_stream_set_newline_type(peer.in,
                                         G_DATA_STREAM_NEWLINE_TYPE_CR_LF);
    peer.out = g_io_stream_get_output_stream(G_IO_STREAM(peer.stream));
    g_object_unref(client);
    g_object_unref(at);
    return peer;
}

static int
read_reply(struct peer *peer)
{
    char *line = g_data_input_stream_read_line(peer->in, NULL, NULL, NULL);
    int status = line ? atoi(line + 9) : 0;
    gsize length = 0, got = 0;

    while (line && line[0]) {
        if (g_ascii_strncasecmp(line, "content-length:", 15) == 0) {
            length = (gsize)g_ascii_strtoull(line + 15, NULL, 10);
        }
        g_free(line);
        line = g_data_input_stream_read_line(peer->in, NULL, NULL, NULL);
    }
    g_free(line);
    char *body = g_malloc(length + 1);

    g_input_stream_read_all(G_INPUT_STREAM(peer->in), body, length, &got, NULL,
                            NULL);
    g_free(body);
    return got == length ? status : 0;
}

static void
send_text(struct peer *peer, const char *text)
{
    if (!g_output_stream_write_all(peer->out, text, strlen(text), NULL, NULL,
                                   NULL)) {
        fail("write");
    }
}

static void
send_direct(struct peer *peer)
{
    char text[512];

    g_snprintf(text, sizeof text,
               "PUT /v1/attempts/direct.%u.1.1 HTTP/1.1\r\nHost: x\r\n"
               "X-MW-Order: start\r\nContent-Length: 8\r\n\r\nid=check",
               ++sequence);
    send_text(peer, text);
}

static void
send_through(struct peer *peer, const char *token, bool recorded)
{
    char body[256], text[768];

    g_snprintf(body, sizeof body,
               "{\"organisation\":\"corrib-galway\",\"request\":\"load-%d-%u"
               "\",\"accelerators\":0,\"priority\":\"urgent\",\"idempotent\":"
               "%s,\"wait\":true,\"body\":\"id=check\"}",
               (int)getpid(), ++sequence, recorded ? "false" : "true");
    g_snprintf(text, sizeof text,
               "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
               "%s\r\nContent-Length: %zu\r\n\r\n%s",
               token, strlen(body), body);
    send_text(peer, text);
}

static int
by_value(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return x < y ? -1 : x > y;
}

static int64_t
at(int64_t *values, int count, double share)
{
    qsort(values, (size_t)count, sizeof *values, by_value);
    return values[(int)((count - 1) * share)];
}

static void
compare(struct peer *direct, struct peer *through, const char *token,
        bool recorded)
{
    static int64_t d[ROUNDS], t[ROUNDS];
    int rounds = recorded ? ROUNDS / 4 : ROUNDS;

    for (int i = -WARM; i < rounds; i++) {
        int64_t began = g_get_monotonic_time();

        send_direct(direct);
        if (read_reply(direct) != 200) {
            fail("direct reply");
        }
        int64_t middle = g_get_monotonic_time();

        send_through(through, token, recorded);
        if (read_reply(through) != 200) {
            fail("reply through the path");
        }
        if (i >= 0) {
            d[i] = middle - began;
            t[i] = g_get_monotonic_time() - middle;
        }
    }
    int64_t d50 = at(d, rounds, 0.5), d99 = at(d, rounds, 0.99);
    int64_t t50 = at(t, rounds, 0.5), t99 = at(t, rounds, 0.99);

    printf("%s direct_p50_us %d through_p50_us %d direct_p99_us %d "
           "through_p99_us %d ratio_p50 %.2f ratio_p99 %.2f\n",
           recorded ? "recorded" : "unrecorded", (int)d50, (int)t50, (int)d99,
           (int)t99, (double)t50 / (double)d50, (double)t99 / (double)d99);
}

/* Processor time of the processes that the script started, in seconds. */
static double
used(char **pids)
{
    double sum = 0;

    for (char **pid = pids; *pid; pid++) {
        char *path = g_strdup_printf("/proc/%s/stat", *pid);
        char *text = NULL;

        if (g_file_get_contents(path, &text, NULL, NULL)) {
            char **words = g_strsplit(strrchr(text, ')') + 2, " ", 0);

            sum += g_ascii_strtod(words[11], NULL) +
                   g_ascii_strtod(words[12], NULL);
            g_strfreev(words);
        }
        g_free(text);
        g_free(path);
    }
    return sum / (double)sysconf(_SC_CLK_TCK);
}

static void
burst(const char *address, const char *token, bool recorded, char **pids)
{
    struct peer peers[PARALLEL];
    int count = recorded ? BURST / 4 : BURST;
    int64_t began;
    double before;

    for (int i = 0; i < PARALLEL; i++) {
        peers[i] = dial(address);
        send_through(&peers[i], token, recorded);
    }
    began = g_get_monotonic_time();
    before = used(pids);
    for (int i = 0; i < count; i++) {
        struct peer *peer = &peers[i % PARALLEL];

        int status = read_reply(peer);

        if (status != 200) {
            fprintf(stderr, "reply %d of %d: ", i, status);
            fail("burst");
        }
        send_through(peer, token, recorded);
    }
    double seconds = (double)(g_get_monotonic_time() - began) / 1e6;

    printf("%s requests_per_second %.0f requests_per_core_second %.0f\n",
           recorded ? "recorded" : "unrecorded", count / seconds,
           count / MAX(used(pids) - before, 0.01));
    for (int i = 0; i < PARALLEL; i++) {
        read_reply(&peers[i]);
        g_object_unref(peers[i].in);
        g_object_unref(peers[i].stream);
    }
}

int
main(int argc, char **argv)
{
    if (argc < 5) {
        fail("usage: load ENDPOINT ENTRY TOKEN PID,PID");
    }
    char **pids = g_strsplit(argv[4], ",", 0);

    for (int recorded = 0; recorded < 2; recorded++) {
        struct peer direct = dial(argv[1]);
        struct peer through = dial(argv[2]);

        compare(&direct, &through, argv[3], recorded);
        burst(argv[2], argv[3], recorded, pids);
        g_object_unref(direct.in);
        g_object_unref(direct.stream);
        g_object_unref(through.in);
        g_object_unref(through.stream);
    }
    g_strfreev(pids);
    return 0;
}
