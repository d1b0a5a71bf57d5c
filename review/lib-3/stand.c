/*
 * stand: small stand-ins of a client, an operator and a supervisor, for the
 * scripts of review 3.
 *
 *     stand http IP PORT METHOD PATH HOST KEY TIMEOUT_MS [BODY]
 *         sends one request on a new connection; writes "STATUS BODY", or
 *         "0 REASON" if there was no complete answer in time
 *     stand free PORT IP...
 *         exits with 0 if the port can be bound at each address
 *     stand end-at PID FILE TIMEOUT_MS
 *         sends SIGKILL to the process as soon as the file exists; exits with
 *         1 if it does not in time
 *
 * Only loopback addresses are accepted.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define ANSWER_MAX (1 << 20)

static long
now_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000L + t.tv_nsec / 1000000;
}

static int
read_address(const char *ip, const char *port, struct sockaddr_in *address)
{
    memset(address, 0, sizeof *address);
    address->sin_family = AF_INET;
    address->sin_port = htons((unsigned short)atoi(port));
    if (inet_pton(AF_INET, ip, &address->sin_addr) != 1 ||
        (ntohl(address->sin_addr.s_addr) >> 24) != 127) {
        fprintf(stderr, "stand: %s is no loopback address\n", ip);
        return -1;
    }
    return 0;
}

static int
wait_for(int fd, short events, long deadline_ms)
{
    struct pollfd p = {.fd = fd, .events = events};
    long left = deadline_ms - now_ms();

    return left > 0 && poll(&p, 1, (int)left) == 1;
}

static int
give_up(const char *reason)
{
    printf("0 %s\n", reason);
    return 0;
}

/* Returns the length of the whole answer once its header is there, else 0. */
static size_t
answer_length(const char *text, size_t len)
{
    const char *end = len ? strstr(text, "\r\n\r\n") : NULL;
    const char *field = text;

    if (!end) {
        return 0;
    }
    while (field && field < end) {
        if (strncasecmp(field, "Content-Length:", 15) == 0) {
            return (size_t)(end - text) + 4 + (size_t)atol(field + 15);
        }
        field = strstr(field, "\r\n");
        field = field ? field + 2 : NULL;
    }
    return (size_t)(end - text) + 4;
}

static int
http(char **arg, int count)
{
    static char text[ANSWER_MAX + 1];
    const char *body = count > 7 ? arg[7] : "";
    long deadline_ms = now_ms() + atol(arg[6]);
    struct sockaddr_in to;
    size_t len = 0;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int status = 0;
    int error = 0;
    socklen_t size = sizeof error;
    char *request;

    if (fd < 0 || read_address(arg[0], arg[1], &to)) {
        return 2;
    }
    if (connect(fd, (struct sockaddr *)&to, sizeof to) != 0 &&
        errno != EINPROGRESS) {
        return give_up("connection_refused");
    }
    if (!wait_for(fd, POLLOUT, deadline_ms)) {
        return give_up("no_connection");
    }
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error) {
        return give_up("connection_refused");
    }
    if (asprintf(&request,
                 "%s %s HTTP/1.1\r\nHost: %s\r\nX-Credential: %s\r\n"
                 "X-Deadline-Ms: %s\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n%s",
                 arg[2], arg[3], arg[4], arg[5], arg[6], strlen(body),
                 body) < 0 ||
        send(fd, request, strlen(request), MSG_NOSIGNAL) !=
            (ssize_t)strlen(request)) {
        return give_up("not_sent");
    }
    while (answer_length(text, len) == 0 || len < answer_length(text, len)) {
        ssize_t n;

        if (!wait_for(fd, POLLIN, deadline_ms)) {
            return give_up("no_answer");
        }
        n = recv(fd, text + len, ANSWER_MAX - len, 0);
        if (n <= 0) {
            return give_up("connection_closed");
        }
        len += (size_t)n;
        text[len] = 0;
    }
    sscanf(text, "HTTP/1.1 %d", &status);
    printf("%d %s\n", status, strstr(text, "\r\n\r\n") + 4);
    return 0;
}

static int
is_free(char **arg, int count)
{
    for (int i = 1; i < count; i++) {
        struct sockaddr_in at;
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int failed = fd < 0 || read_address(arg[i], arg[0], &at) ||
                     bind(fd, (struct sockaddr *)&at, sizeof at) != 0;

        close(fd);
        if (failed) {
            return 1;
        }
    }
    return 0;
}

static int
end_at(char **arg)
{
    pid_t pid = (pid_t)atol(arg[0]);
    long deadline_ms = now_ms() + atol(arg[2]);

    while (access(arg[1], F_OK) != 0) {
        if (now_ms() >= deadline_ms) {
            return 1;
        }
    }
    return kill(pid, SIGKILL) == 0 ? 0 : 1;
}

int
main(int argc, char **argv)
{
    const char *verb = argc > 1 ? argv[1] : "";

    if (strcmp(verb, "http") == 0 && argc >= 9) {
        return http(argv + 2, argc - 2);
    }
    if (strcmp(verb, "free") == 0 && argc >= 4) {
        return is_free(argv + 2, argc - 2);
    }
    if (strcmp(verb, "end-at") == 0 && argc == 5) {
        return end_at(argv + 2);
    }
    fprintf(stderr, "stand: http, free or end-at; see stand.c\n");
    return 2;
}
