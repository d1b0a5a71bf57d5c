/*
 * worker: a stand-in of a worker, for the scripts of review 3.
 *
 *     worker ID IP PORT ZONE LOG FIRST_RUN CORE_ADDRESS...
 *
 * Speaks what PROTOCOL.md says of workers: liveness reports, run-start,
 * run-stop and hold, fences, leases, numbered ends.  A run works for 800 ms
 * and ends `done`; but the first attempt of a task goes by FIRST_RUN:
 *
 *     good        as any other
 *     fails       ends `failed` 300 ms after its start
 *     fails-late  is at work when it is told to stop, and ends `failed` by
 *                 itself 600 ms later, before the stop has taken effect
 *                 (`stop-timeout-ms` is 900); without a stop it ends `broken`
 *
 * With "long" each run works for 60 s.  With "crashes" for FIRST_RUN, each run
 * of the job 00000000000000d1 crashes the worker 150 ms after its start: its
 * machine is silent for 3 s, answers nothing and reports nothing, and is back
 * under the same ID as a new process that knows nothing of before.  All other
 * runs work for 90 s.  "calm" is the same without a crash.
 *
 * After SIGUSR1 its machine is silent for good.
 *
 * LOG gets a line for each start, stop and end, and for each end that was
 * taken note of.  Only loopback addresses are accepted.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS_MAX 64
#define RUNS_MAX 256
#define REQUEST_MAX 16384
#define WORK_MS 800
#define HOLD_MAX_MS 10000
#define STOP_MS 100
#define CRASH_AFTER_MS 150
#define DEADLY_JOB "00000000000000d1"
#define OTHER_WORK_MS 90000
#define DARK_S 3

struct run {
    char task[64];
    long attempt;
    long begun_ms;
    long end_ms;
    const char *how;
    /* ended: its number; stopped before it was there: no end to list */
    int is_running;
    long number;
};

struct connection {
    int fd;
    char text[REQUEST_MAX + 1];
    size_t len;
    /* a hold that waits for an end */
    long hold_until_ms;
};

static struct run runs[RUNS_MAX];
static int run_count;
static struct connection connections[CONNECTIONS_MAX];
static long fence;
static long lease_ms;
static long acknowledged;
static long last_number;
static struct timespec begun;
static long born;
static const char *first_run;
static FILE *record;
/* of the worker's clock; 0 for never */
static long crash_ms;
static pid_t reporter;
static char **arguments;

static long
clock_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (t.tv_sec - begun.tv_sec) * 1000L +
           (t.tv_nsec - begun.tv_nsec) / 1000000 + 1000;
}

static void
note(const char *format, ...)
{
    struct timespec t;
    va_list args;

    clock_gettime(CLOCK_REALTIME, &t);
    fprintf(record, "%ld.%03ld ", (long)t.tv_sec, t.tv_nsec / 1000000);
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
    fflush(record);
}

static int
read_address(const char *ip, int port, struct sockaddr_in *address)
{
    memset(address, 0, sizeof *address);
    address->sin_family = AF_INET;
    address->sin_port = htons((unsigned short)port);
    return inet_pton(AF_INET, ip, &address->sin_addr) == 1 &&
           (ntohl(address->sin_addr.s_addr) >> 24) == 127;
}

/* The number after "key": in a JSON body; 0 if it is not there. */
static long
get_number(const char *body, const char *key)
{
    char quoted[64];
    const char *at;

    snprintf(quoted, sizeof quoted, "\"%s\":", key);
    at = strstr(body, quoted);
    return at ? atol(at + strlen(quoted)) : 0;
}

static void
get_text(const char *body, const char *key, char *out, size_t size)
{
    char quoted[64];
    const char *at;
    size_t n = 0;

    snprintf(quoted, sizeof quoted, "\"%s\":\"", key);
    at = strstr(body, quoted);
    at = at ? at + strlen(quoted) : "";
    while (at[n] && at[n] != '"' && n + 1 < size) {
        out[n] = at[n];
        n++;
    }
    out[n] = 0;
}

static struct run *
find_run(const char *task, long attempt)
{
    for (int i = 0; i < run_count; i++) {
        if (runs[i].attempt == attempt && strcmp(runs[i].task, task) == 0) {
            return &runs[i];
        }
    }
    return NULL;
}

static struct run *
add_run(const char *task, long attempt)
{
    struct run *run = &runs[run_count];

    if (run_count == RUNS_MAX) {
        exit(2);
    }
    run_count++;
    memset(run, 0, sizeof *run);
    snprintf(run->task, sizeof run->task, "%s", task);
    run->attempt = attempt;
    return run;
}

/* Whether a run that is not lower has been stopped or has ended here. */
static int
is_old(const char *task, long attempt)
{
    for (int i = 0; i < run_count; i++) {
        if (!runs[i].is_running && runs[i].attempt >= attempt &&
            strcmp(runs[i].task, task) == 0) {
            return 1;
        }
    }
    return 0;
}

static void
end_run(struct run *run, const char *how)
{
    run->is_running = 0;
    run->how = how;
    run->number = ++last_number;
    note("end %s run %ld %s, number %ld", run->task, run->attempt, how,
         run->number);
}

static void
pass_time(void)
{
    long now = clock_ms();

    for (int i = 0; i < run_count; i++) {
        if (runs[i].is_running && now >= runs[i].end_ms) {
            end_run(&runs[i], runs[i].how);
        }
        else if (runs[i].is_running && now >= lease_ms) {
            end_run(&runs[i], "lapsed");
        }
    }
}

static void
extend_lease(const char *body)
{
    long deadline = get_number(body, "deadline-ms");
    long longest = clock_ms() + HOLD_MAX_MS;

    if (deadline > longest) {
        deadline = longest;
    }
    if (deadline > lease_ms) {
        lease_ms = deadline;
    }
}

static void
begin_run(const char *task, long attempt)
{
    struct run *run = add_run(task, attempt);
    int is_first = attempt == 1;

    run->is_running = 1;
    run->how = "done";
    run->begun_ms = clock_ms();
    run->end_ms = clock_ms() + WORK_MS;
    if (is_first && strcmp(first_run, "fails") == 0) {
        run->how = "failed";
        run->end_ms = clock_ms() + 300;
    }
    else if (is_first && strcmp(first_run, "fails-late") == 0) {
        run->how = "broken";
        run->end_ms = clock_ms() + 5000;
    }
    else if (strcmp(first_run, "long") == 0) {
        run->end_ms = clock_ms() + 60000;
    }
    else if ((strcmp(first_run, "crashes") == 0 ||
              strcmp(first_run, "calm") == 0) &&
             strncmp(task, DEADLY_JOB, strlen(DEADLY_JOB)) != 0) {
        run->end_ms = clock_ms() + OTHER_WORK_MS;
    }
    else if (strcmp(first_run, "crashes") == 0) {
        run->end_ms = clock_ms() + 60000;
        crash_ms = crash_ms ? crash_ms : clock_ms() + CRASH_AFTER_MS;
    }
    note("start %s run %ld", task, attempt);
}

static void
stop_run(const char *task, long attempt)
{
    struct run *run = find_run(task, attempt);
    int fails_late = attempt == 1 && strcmp(first_run, "fails-late") == 0;

    note("stop %s run %ld", task, attempt);
    if (!run) {
        run = add_run(task, attempt);
        run->how = "stopped";
    }
    else if (run->is_running && strcmp(run->how, "broken") == 0 &&
             fails_late) {
        run->how = "failed";
        run->end_ms = clock_ms() + 600;
    }
    else if (run->is_running && strcmp(run->how, "done") == 0) {
        run->how = "stopped";
        run->end_ms = clock_ms() + STOP_MS;
    }
}

static long
percent(const struct run *run)
{
    long span = run->end_ms - run->begun_ms;
    long done = span > 0 ? 100 * (clock_ms() - run->begun_ms) / span : 0;

    return done < 99 ? done : 99;
}

static void
answer(struct connection *c, int status, const char *reason, int lists)
{
    static char body[65536];
    static char text[66000];
    int n = snprintf(body, sizeof body, "{\"clock-ms\":%ld,\"born\":%ld",
                     clock_ms(), born);
    int is_first = 1;

    if (reason) {
        n += snprintf(body + n, sizeof body - n, ",\"reason\":\"%s\"", reason);
    }
    if (lists) {
        n += snprintf(body + n, sizeof body - n, ",\"running\":[");
        for (int i = 0; i < run_count; i++) {
            if (runs[i].is_running) {
                n += snprintf(body + n, sizeof body - n,
                              "%s[\"%s\",%ld,\"\",%ld,500]",
                              is_first ? "" : ",", runs[i].task,
                              runs[i].attempt, percent(&runs[i]));
                is_first = 0;
            }
        }
        n += snprintf(body + n, sizeof body - n, "],\"finished\":[");
        is_first = 1;
        for (long k = acknowledged + 1; k <= last_number; k++) {
            for (int i = 0; i < run_count; i++) {
                if (!runs[i].is_running && runs[i].number == k) {
                    n += snprintf(body + n, sizeof body - n,
                                  "%s[%ld,\"%s\",%ld,\"%s\",\"\"]",
                                  is_first ? "" : ",", k, runs[i].task,
                                  runs[i].attempt, runs[i].how);
                    is_first = 0;
                }
            }
        }
        n += snprintf(body + n, sizeof body - n, "]");
    }
    n += snprintf(body + n, sizeof body - n, "}");
    n = snprintf(text, sizeof text,
                 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                 "Content-Length: %d\r\n\r\n%s",
                 status, n, body);
    send(c->fd, text, (size_t)n, MSG_NOSIGNAL);
    c->hold_until_ms = 0;
}

static void
acknowledge(long number)
{
    if (number > acknowledged) {
        acknowledged = number;
        note("ends up to %ld taken note of", number);
    }
}

static void
handle(struct connection *c, const char *path, const char *body)
{
    char task[64];
    long attempt = get_number(body, "attempt");
    long token = get_number(body, "fencing-token");

    get_text(body, "task-id", task, sizeof task);
    if (token < fence) {
        answer(c, 409, "fence", 0);
        return;
    }
    fence = token;
    if (strstr(path, "/mimosawind/hold") == path) {
        acknowledge(get_number(body, "ack-cursor"));
        extend_lease(body);
        c->hold_until_ms = clock_ms() + get_number(body, "wait-ms");
    }
    else if (strstr(path, "/mimosawind/run-stop") == path) {
        stop_run(task, attempt);
        answer(c, 200, NULL, 0);
    }
    else if (is_old(task, attempt)) {
        answer(c, 409, "old", 0);
    }
    else {
        extend_lease(body);
        if (!find_run(task, attempt)) {
            begin_run(task, attempt);
        }
        answer(c, 200, NULL, 0);
    }
}

/* Handles the next whole request, if there is one. */
static int
take_request(struct connection *c)
{
    char *end = strstr(c->text, "\r\n\r\n");
    char *field = end ? strcasestr(c->text, "\r\nContent-Length:") : NULL;
    size_t body_len = field && field < end ? (size_t)atol(field + 17) : 0;
    size_t whole = end ? (size_t)(end - c->text) + 4 + body_len : 0;
    char path[256] = "";
    char kept;

    if (!end || c->len < whole) {
        return 0;
    }
    sscanf(c->text, "%*s %255s", path);
    kept = c->text[whole];
    c->text[whole] = 0;
    handle(c, path, end + 4);
    c->text[whole] = kept;
    c->len -= whole;
    memmove(c->text, c->text + whole, c->len + 1);
    return 1;
}

static void
close_connection(struct connection *c)
{
    close(c->fd);
    memset(c, 0, sizeof *c);
}

static void
receive(struct connection *c)
{
    ssize_t n = recv(c->fd, c->text + c->len, REQUEST_MAX - c->len, 0);

    if (n <= 0) {
        close_connection(c);
        return;
    }
    c->len += (size_t)n;
    c->text[c->len] = 0;
    while (c->fd && c->hold_until_ms == 0 && take_request(c)) {
    }
}

static void
accept_connection(int listener)
{
    int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

    for (int i = 0; fd >= 0 && i < CONNECTIONS_MAX; i++) {
        if (connections[i].fd == 0) {
            connections[i].fd = fd;
            return;
        }
    }
    if (fd >= 0) {
        close(fd);
    }
}

/* One liveness report; returns whether it was acknowledged. */
static int
report(const char *core, const char *id, const char *address, const char *zone,
       long seq)
{
    char text[2048];
    char body[1024];
    struct sockaddr_in to;
    struct timeval second = {.tv_sec = 1};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int ok = 0;
    int n = snprintf(
        body, sizeof body,
        "{\"service\":\"vanhub\",\"address\":\"%s\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,"
        "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpus\":8},"
        "\"labels\":[\"a\",\"r1-1\"],\"clock-ms\":%ld,\"seq\":%ld,"
        "\"born\":%ld}",
        address, zone, clock_ms(), seq, born);

    n = snprintf(text, sizeof text,
                 "PUT /mimosawind/instances/%s HTTP/1.1\r\nHost: control\r\n"
                 "Content-Type: application/json\r\n"
                 "Content-Length: %d\r\n\r\n%s",
                 id, n, body);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &second, sizeof second);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof second);
    if (read_address(core, 18526, &to) &&
        connect(fd, (struct sockaddr *)&to, sizeof to) == 0 &&
        send(fd, text, (size_t)n, MSG_NOSIGNAL) == n &&
        recv(fd, text, sizeof text - 1, 0) > 12) {
        ok = strncmp(text, "HTTP/1.1 200", 12) == 0;
    }
    close(fd);
    return ok;
}

static void
report_for_ever(const char *id, const char *address, const char *zone,
                char **cores, int count)
{
    int next = 0;

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (long seq = 1; getppid() != 1; seq++) {
        for (int i = 0; i < count; i++) {
            if (report(cores[next % count], id, address, zone, seq)) {
                break;
            }
            next++;
            seq++;
            usleep(100000);
        }
        usleep(1500000);
    }
    _exit(0);
}

/* Nothing is answered or reported any more; the connections stay open. */
static void
go_silent(int signal_number)
{
    (void)signal_number;
    kill(reporter, SIGKILL);
    for (;;) {
        pause();
    }
}

/* Nothing is answered meanwhile; the connections end as it is back. */
static void
crash(void)
{
    note("crash");
    kill(reporter, SIGKILL);
    waitpid(reporter, NULL, 0);
    sleep(DARK_S);
    execv("/proc/self/exe", arguments);
    exit(2);
}

static void
serve(int listener)
{
    for (;;) {
        struct pollfd p[CONNECTIONS_MAX + 1] = {
            {.fd = listener, .events = POLLIN}};

        for (int i = 0; i < CONNECTIONS_MAX; i++) {
            p[i + 1].fd = connections[i].fd ? connections[i].fd : -1;
            p[i + 1].events = POLLIN;
        }
        poll(p, CONNECTIONS_MAX + 1, 5);
        pass_time();
        if (crash_ms && clock_ms() >= crash_ms) {
            crash();
        }
        for (int i = 0; i < CONNECTIONS_MAX; i++) {
            struct connection *c = &connections[i];

            if (c->fd && c->fd == p[i + 1].fd && p[i + 1].revents) {
                receive(c);
            }
            if (c->fd && c->hold_until_ms &&
                (last_number > acknowledged ||
                 clock_ms() >= c->hold_until_ms)) {
                answer(c, 200, NULL, 1);
                while (c->fd && c->hold_until_ms == 0 && take_request(c)) {
                }
            }
        }
        if (p[0].revents) {
            accept_connection(listener);
        }
    }
}

int
main(int argc, char **argv)
{
    struct sockaddr_in at;
    struct timespec wall;
    char address[64];
    int on = 1;
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (argc < 8 || !read_address(argv[2], atoi(argv[3]), &at)) {
        fprintf(stderr, "worker: see worker.c\n");
        return 2;
    }
    clock_gettime(CLOCK_MONOTONIC, &begun);
    clock_gettime(CLOCK_REALTIME, &wall);
    born = wall.tv_sec * 1000L + wall.tv_nsec / 1000000;
    first_run = argv[6];
    record = fopen(argv[5], "ae");
    snprintf(address, sizeof address, "%s:%s", argv[2], argv[3]);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!record || bind(listener, (struct sockaddr *)&at, sizeof at) != 0 ||
        listen(listener, 64) != 0) {
        perror("worker");
        return 2;
    }
    arguments = argv;
    reporter = fork();
    if (reporter == 0) {
        close(listener);
        report_for_ever(argv[1], address, argv[4], argv + 7, argc - 7);
    }
    signal(SIGUSR1, go_silent);
    serve(listener);
    return 0;
}
