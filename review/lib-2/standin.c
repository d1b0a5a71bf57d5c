#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HOST "jobs.example"
#define KEY "d4a3hwrr6x73d3zji9n7"
#define GRACE_MS 6000
/* how soon the connections of a worker that ends are reset */
#define POLL_MS 10
/* by which a cold worker answers later */
#define COLD_ANSWER_MS 300
#define BODY_MAX (256 * 1024)

struct program cores[CORES];
struct program edges[EDGES];
int control_port;
int frontend_port;
struct worker workers[WORKERS_MAX];
int worker_count;
int other_kind_count;
int64_t cold_ms;
void (*on_run_begun)(struct worker *worker, struct run *run);
const char *(*how_run_ends)(struct worker *worker, const struct run *run);

static char net[16];
static char folder[128];
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t begun_ms;
static volatile bool links_held[CORES][CORES];

int64_t
now_ms(void)
{
    struct timespec at;

    clock_gettime(CLOCK_MONOTONIC, &at);
    return (int64_t)at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

int64_t
wall_ms(void)
{
    struct timespec at;

    clock_gettime(CLOCK_REALTIME, &at);
    return (int64_t)at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

void
sleep_ms(int64_t ms)
{
    if (ms > 0) {
        usleep((useconds_t)ms * 1000);
    }
}

void
begin_record(const char *path)
{
    begun_ms = now_ms();
    record = fopen(path, "w");
    if (!record) {
        perror(path);
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
}

void
note(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_lock);
    fprintf(record, "%8.3f ", (double)(now_ms() - begun_ms) / 1000);
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

/* Sockets. */

static struct sockaddr_in
parse_address(const char *address)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    char ip[40];
    const char *colon = strchr(address, ':');

    snprintf(ip, sizeof ip, "%.*s", (int)(colon - address), address);
    inet_pton(AF_INET, ip, &to.sin_addr);
    to.sin_port = htons((uint16_t)atoi(colon + 1));
    return to;
}

static int
listen_at(const char *address)
{
    struct sockaddr_in at = parse_address(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (struct sockaddr *)&at, sizeof at) != 0 ||
        listen(fd, 128) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static int
dial(const char *address, int timeout_ms)
{
    struct sockaddr_in to = parse_address(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    struct pollfd wait = {.fd = fd, .events = POLLOUT};
    int err = 0;
    socklen_t len = sizeof err;
    int on = 1;

    if (connect(fd, (struct sockaddr *)&to, sizeof to) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    if (poll(&wait, 1, timeout_ms) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0 || err) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

static bool
send_all(int fd, const char *data, size_t len)
{
    while (len > 0) {
        ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

        if (n <= 0) {
            return false;
        }
        data += n;
        len -= (size_t)n;
    }
    return true;
}

static void
reset_socket(int fd)
{
    struct linger reset = {1, 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    close(fd);
}

/* message: one HTTP message; text holds its head and its body. */
struct message {
    char *text;
    size_t len;
    size_t head_len;
    size_t body_len;
};

static const char *
find_header(const struct message *message, const char *name)
{
    const char *line = strstr(message->text, "\r\n");
    size_t len = strlen(name);

    while (line && line < message->text + message->head_len) {
        line += 2;
        if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
            line += len + 1;
            while (*line == ' ') {
                line++;
            }
            return line;
        }
        line = strstr(line, "\r\n");
    }
    return NULL;
}

/* Reads one message by the deadline; false without a whole one. */
static bool
read_message(int fd, struct message *message, int64_t deadline_ms,
             bool (*is_over)(void *), void *opaque)
{
    message->text = malloc(BODY_MAX);
    message->len = 0;
    message->head_len = 0;
    for (;;) {
        struct pollfd wait = {.fd = fd, .events = POLLIN};
        int64_t left_ms = deadline_ms - now_ms();
        ssize_t n;

        if (message->head_len > 0 &&
            message->len >= message->head_len + message->body_len) {
            return true;
        }
        if (left_ms <= 0 || (is_over && is_over(opaque))) {
            return false;
        }
        if (is_over && poll(&wait, 1, POLL_MS) == 0) {
            continue;
        }
        if (!is_over && poll(&wait, 1, (int)left_ms) <= 0) {
            return false;
        }
        n = recv(fd, message->text + message->len, BODY_MAX - 1 - message->len,
                 0);
        if (n <= 0) {
            return false;
        }
        message->len += (size_t)n;
        message->text[message->len] = 0;
        if (message->head_len == 0) {
            char *end = strstr(message->text, "\r\n\r\n");
            const char *length;

            if (!end) {
                continue;
            }
            message->head_len = (size_t)(end + 4 - message->text);
            length = find_header(message, "Content-Length");
            message->body_len = length ? (size_t)atol(length) : 0;
        }
    }
}

void
drop_answer(struct answer *answer)
{
    free(answer->body);
    answer->body = NULL;
}

struct answer
call(const char *address, const char *method, const char *path,
     const char *headers, const char *body, int timeout_ms)
{
    struct answer answer = {0};
    int64_t deadline_ms = now_ms() + timeout_ms;
    int fd = dial(address, timeout_ms);
    size_t size = strlen(headers) + (body ? strlen(body) : 0) + 512;
    char *text = malloc(size);
    struct message message = {0};

    if (fd < 0) {
        free(text);
        return answer;
    }
    snprintf(text, size,
             "%s %s HTTP/1.1\r\n%sContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             method, path, headers, body ? strlen(body) : 0,
             body ? body : "");
    if (send_all(fd, text, strlen(text)) &&
        read_message(fd, &message, deadline_ms, NULL, NULL)) {
        answer.status = atoi(message.text + 9);
        answer.body = strndup(message.text + message.head_len,
                              message.body_len);
    }
    free(message.text);
    free(text);
    close(fd);
    return answer;
}

/* The programs. */

const char *
core_control(int index)
{
    static char text[CORES][40];

    snprintf(text[index], sizeof text[index], "%s:%d", cores[index].ip,
             control_port);
    return text[index];
}

const char *
edge_frontend(int index)
{
    static char text[EDGES][40];

    snprintf(text[index], sizeof text[index], "%s:%d", edges[index].ip,
             frontend_port);
    return text[index];
}

static void
write_settings(const struct program *program)
{
    char path[512];
    FILE *out;

    snprintf(path, sizeof path, "%s/node.yaml", program->folder);
    out = fopen(path, "w");
    fprintf(out,
            "node-name: \"%s-%d\"\nrole: \"%s\"\nmachine-class: \"%s\"\n"
            "serves:\n  - \"%s\"\nip: \"%s\"\nzone: \"z%d\"\n"
            "region: \"region\"\nzones:\n  z1: \"region\"\n"
            "  z2: \"region\"\n  z3: \"region\"\nbind-addrs:\n",
            program->core ? "core" : "edge", program->index + 1,
            program->core ? "control" : "entry",
            program->core ? "core" : "edge",
            program->core ? "control_plane" : "edge", program->ip,
            program->index % 3 + 1);
    if (program->core) {
        fprintf(out, "  control: \"%s:%d\"\n", program->ip, control_port);
    }
    else {
        fprintf(out, "  frontend: \"%s:%d\"\n  readiness: \"%s:%d\"\n",
                program->ip, frontend_port, program->ip, frontend_port + 2);
    }
    fprintf(out, "internal-ports:\n  - %d\n  - %d\nseeds:\n",
            program->link_port, program->link_port + 15);
    for (int i = 0; i < CORES; i++) {
        fprintf(out, "  - \"%s:%d\"\n", cores[i].ip, control_port);
    }
    fprintf(out,
            "bootstrap: %s\nis-counted: %s\nlimits:\n  cpu-share: 0.5\n"
            "  cores: 1\n  memory-mb: 256\n  max-fds: 4096\n"
            "  link-mbps: 1000.0\n  disk-mb: 128\n",
            program->started_before ? "false" : "true",
            program->core ? "true" : "false");
    if (program->core) {
        fprintf(out, "data-dir: \"%s/data\"\n", program->folder);
    }
    else {
        fprintf(out, "data-dir: null\n");
    }
    fprintf(out,
            "discovery: \"registry\"\nentry: \"vip\"\nheartbeat-ms: %d\n"
            "contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n"
            "  - \"cost\"\n  - \"recover\"\n  - \"sched\"\n  - \"tenants\"\n"
            "  - \"places\"\nfault-tolerance:\n  machines: 1\n  zones: 1\n"
            "  regions: 0\nbounds:\n  seed-lag-s: 3\n  contact-ms: %d\n"
            "  ack-timeout-ms: 4000\n  catch-up-s: 4\n  drain-ms: 2000\n"
            "  grace-s: 6\n  config-apply-ms: 2000\n  evacuation-ms: %d\n"
            "  recovery-s: 12\n  hold-max-ms: %d\n  stop-timeout-ms: 900\n"
            "  gang-timeout-ms: 3000\n  cancel_ms: 3000\n"
            "  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n"
            "  status_s: 120\n  remote-factor: 3\n  checkpoint-s: 1\n"
            "  restore-ms: 600\nconfig_mode: \"highest\"\n"
            "commands: \"request\"\n",
            BEAT_MS, CONTACT_MS, EVACUATION_MS, HOLD_MAX_MS);
    fclose(out);
}

void
start_program(struct program *program)
{
    char settings[512];
    char log[512];

    snprintf(settings, sizeof settings, "MIMOSAWIND_NODE_FILE=%s/node.yaml",
             program->folder);
    snprintf(log, sizeof log, "%s/log", program->folder);
    write_settings(program);
    program->started_before = true;
    program->pid = fork();
    if (program->pid == 0) {
        char *argv[] = {"target/mwplatformd", program->core ? "core" : "edge",
                        NULL};
        char *env[] = {settings, "PATH=/usr/bin:/bin", NULL};
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

        dup2(fd, 1);
        dup2(fd, 2);
        close(fd);
        execve(argv[0], argv, env);
        _exit(127);
    }
}

void
kill_program(struct program *program, int number)
{
    if (program->pid > 0) {
        kill(program->pid, number);
        if (number == SIGKILL) {
            waitpid(program->pid, NULL, 0);
            program->pid = 0;
        }
    }
}

/* A port that is free at one of our addresses, and the 15 after it. */
static bool
is_free(const char *ip, int port)
{
    char address[40];
    int fd;

    snprintf(address, sizeof address, "%s:%d", ip, port);
    fd = listen_at(address);
    if (fd >= 0) {
        close(fd);
    }
    return fd >= 0;
}

static void
init_program(struct program *program, bool core, int index)
{
    char path[512];

    program->core = core;
    program->index = index;
    snprintf(program->ip, sizeof program->ip, "%s.%d", net,
             core ? 11 + index : 21 + index);
    snprintf(program->folder, sizeof program->folder, "%s/%s%d", folder,
             core ? "core" : "edge", index + 1);
    mkdir(program->folder, 0755);
    snprintf(path, sizeof path, "%s/data", program->folder);
    mkdir(path, 0755);
}

/* pump: one direction of a link through the proxy. */
struct pump {
    int from;
    int to;
    int a;
    int b;
    int *open;
    pthread_mutex_t *lock;
};

static void *
run_pump(void *opaque)
{
    struct pump *pump = opaque;
    char data[65536];
    bool last;

    for (;;) {
        ssize_t n = recv(pump->from, data, sizeof data, 0);

        while (links_held[pump->a][pump->b]) {
            sleep_ms(1);
        }
        if (n <= 0 || !send_all(pump->to, data, (size_t)n)) {
            break;
        }
    }
    shutdown(pump->from, SHUT_RDWR);
    shutdown(pump->to, SHUT_RDWR);
    pthread_mutex_lock(pump->lock);
    last = --*pump->open == 0;
    pthread_mutex_unlock(pump->lock);
    if (last) {
        close(pump->from);
        close(pump->to);
        free(pump->open);
        free(pump->lock);
    }
    free(pump);
    return NULL;
}

/* link_proxy: where one core process dials another. */
struct link_proxy {
    int listener;
    int from;
    int to;
    char target[40];
};

static void
spawn(void *(*work)(void *), void *opaque)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, work, opaque) != 0) {
        perror("pthread_create");
        exit(2);
    }
    pthread_detach(thread);
}

static void
start_pump(int from, int to, const struct link_proxy *proxy, int *open,
           pthread_mutex_t *lock)
{
    struct pump *pump = malloc(sizeof *pump);

    *pump = (struct pump){from, to, proxy->from, proxy->to, open, lock};
    spawn(run_pump, pump);
}

static void *
run_link_proxy(void *opaque)
{
    struct link_proxy *proxy = opaque;

    for (;;) {
        int client = accept4(proxy->listener, NULL, NULL, SOCK_CLOEXEC);
        int server;
        int on = 1;
        int *open;
        pthread_mutex_t *lock;

        if (client < 0) {
            continue;
        }
        while (links_held[proxy->from][proxy->to]) {
            sleep_ms(1);
        }
        server = dial(proxy->target, 500);
        if (server < 0) {
            reset_socket(client);
            continue;
        }
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        open = malloc(sizeof *open);
        *open = 2;
        lock = malloc(sizeof *lock);
        pthread_mutex_init(lock, NULL);
        start_pump(client, server, proxy, open, lock);
        start_pump(server, client, proxy, open, lock);
    }
    return NULL;
}

static void
start_link_proxies(void)
{
    for (int i = 0; i < CORES; i++) {
        for (int k = 0; k < CORES; k++) {
            struct link_proxy *proxy;
            char address[40];

            if (i == k) {
                continue;
            }
            proxy = calloc(1, sizeof *proxy);
            proxy->from = i;
            proxy->to = k;
            snprintf(address, sizeof address, "%s:%d", cores[k].ip,
                     cores[i].link_port);
            snprintf(proxy->target, sizeof proxy->target, "%s:%d",
                     cores[k].ip, cores[k].link_port);
            proxy->listener = listen_at(address);
            if (proxy->listener < 0) {
                fprintf(stderr, "no free port for a proxy\n");
                exit(2);
            }
            spawn(run_link_proxy, proxy);
        }
    }
}

void
hold_link(int a, int b, bool hold)
{
    links_held[a][b] = hold;
    links_held[b][a] = hold;
}

void
start_system(bool separate_links)
{
    int port;

    /* scripts that run at the same time have networks of their own */
    snprintf(net, sizeof net, "127.%d.%d", 64 + getpid() / 250 % 128,
             getpid() % 250);
    srand((unsigned)getpid());
    snprintf(folder, sizeof folder, "/tmp/review-2-XXXXXX");
    if (!mkdtemp(folder)) {
        perror(folder);
        exit(2);
    }
    for (int i = 0; i < CORES; i++) {
        init_program(&cores[i], true, i);
    }
    for (int i = 0; i < EDGES; i++) {
        init_program(&edges[i], false, i);
    }
    port = 20000 + rand() % 8000;
    for (bool all = false; !all; port += all ? 0 : 40) {
        all = true;
        for (int i = 0; i < 32 && all; i++) {
            for (int k = 0; k < CORES && all; k++) {
                all = is_free(cores[k].ip, port + i);
            }
            for (int k = 0; k < EDGES && all; k++) {
                all = is_free(edges[k].ip, port + i);
            }
        }
    }
    control_port = port;
    frontend_port = port + 1;
    for (int i = 0; i < CORES; i++) {
        cores[i].link_port = port + 10 + (separate_links ? i : 0);
    }
    /* an edge dials each core at its own port, and so needs a proxy too */
    for (int i = 0; i < EDGES; i++) {
        edges[i].link_port = port + 10 + (separate_links ? CORES : 0);
    }
    if (separate_links) {
        start_link_proxies();
        for (int k = 0; k < CORES; k++) {
            struct link_proxy *proxy = calloc(1, sizeof *proxy);
            char address[40];

            proxy->from = proxy->to = k;
            snprintf(address, sizeof address, "%s:%d", cores[k].ip,
                     edges[0].link_port);
            snprintf(proxy->target, sizeof proxy->target, "%s:%d",
                     cores[k].ip, cores[k].link_port);
            proxy->listener = listen_at(address);
            spawn(run_link_proxy, proxy);
        }
    }
    for (int i = 0; i < CORES; i++) {
        start_program(&cores[i]);
    }
    for (int i = 0; i < EDGES; i++) {
        start_program(&edges[i]);
    }
    note("logs of the programs in %s", folder);
}

static void
end_program(struct program *program)
{
    for (int i = 0; program->pid > 0 && i < 400; i++) {
        if (waitpid(program->pid, NULL, WNOHANG) == program->pid) {
            program->pid = 0;
            return;
        }
        sleep_ms(10);
    }
    kill_program(program, SIGKILL);
}

void
restart_program(struct program *program, int64_t delay_ms)
{
    kill_program(program, SIGTERM);
    for (int i = 0; program->pid > 0 && i < GRACE_MS / 10; i++) {
        if (waitpid(program->pid, NULL, WNOHANG) == program->pid) {
            program->pid = 0;
        }
        sleep_ms(10);
    }
    kill_program(program, SIGKILL);
    sleep_ms(delay_ms);
    start_program(program);
}

static int
remove_entry(const char *path, const struct stat *status, int kind,
             struct FTW *walk)
{
    (void)status;
    (void)kind;
    (void)walk;
    return remove(path);
}

/* The logs are kept if KEEP is set in the environment. */
void
stop_system(void)
{
    for (int i = 0; i < EDGES + CORES; i++) {
        kill_program(i < EDGES ? &edges[i] : &cores[i - EDGES], SIGCONT);
        kill_program(i < EDGES ? &edges[i] : &cores[i - EDGES], SIGTERM);
    }
    for (int i = 0; i < EDGES + CORES; i++) {
        end_program(i < EDGES ? &edges[i] : &cores[i - EDGES]);
    }
    if (!getenv("KEEP")) {
        nftw(folder, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
    }
}

/* The lines of the programs give the term; the highest one leads. */
int
find_leader(void)
{
    int found = -1;
    long best = -1;

    for (int i = 0; i < CORES; i++) {
        char path[512];
        char line[4096];
        FILE *in;

        if (cores[i].pid <= 0) {
            continue;
        }
        snprintf(path, sizeof path, "%s/log", cores[i].folder);
        in = fopen(path, "r");
        while (in && fgets(line, sizeof line, in)) {
            const char *term = strstr(line, "\"term\":");

            if (strstr(line, "\"event\":\"lead\"") &&
                strstr(line, "\"outcome\":\"gained\"") && term &&
                atol(term + 7) > best) {
                best = atol(term + 7);
                found = i;
            }
        }
        if (in) {
            fclose(in);
        }
    }
    return found;
}

bool
wait_edges_ready(int timeout_ms)
{
    int64_t deadline_ms = now_ms() + timeout_ms;

    for (int i = 0; i < EDGES;) {
        char address[40];
        struct answer answer;

        snprintf(address, sizeof address, "%s:%d", edges[i].ip,
                 frontend_port + 2);
        answer = call(address, "GET", "/mimosawind/readyz", "", NULL, 500);
        i += answer.status == 200;
        drop_answer(&answer);
        if (now_ms() > deadline_ms) {
            return false;
        }
        sleep_ms(20);
    }
    return true;
}

/* Workers. */

static int64_t
clock_of(const struct worker *worker)
{
    return now_ms() - worker->clock_base_ms;
}

static void
begin_life(struct worker *worker)
{
    worker->life++;
    worker->born_ms = wall_ms();
    worker->clock_base_ms = now_ms() - 1000;
    worker->seq = 0;
    worker->fence = 0;
    worker->lease_ms = 0;
    worker->run_count = 0;
    worker->end_count = 0;
    worker->next_end = 1;
    worker->ended_count = 0;
}

static void
note_ended(struct worker *worker, const char *task, uint32_t attempt)
{
    for (int i = 0; i < worker->ended_count; i++) {
        if (strcmp(worker->ended[i].task, task) == 0) {
            if (attempt > worker->ended[i].attempt) {
                worker->ended[i].attempt = attempt;
            }
            return;
        }
    }
    if (worker->ended_count < ENDS_MAX) {
        struct ended_task *ended = &worker->ended[worker->ended_count++];

        snprintf(ended->task, sizeof ended->task, "%.63s", task);
        ended->attempt = attempt;
    }
}

static uint32_t
last_ended(const struct worker *worker, const char *task)
{
    for (int i = 0; i < worker->ended_count; i++) {
        if (strcmp(worker->ended[i].task, task) == 0) {
            return worker->ended[i].attempt;
        }
    }
    return 0;
}

static void
end_run(struct worker *worker, int at, const char *how)
{
    const struct run copy = worker->runs[at];
    const struct run *run = &copy;
    struct end *end;

    note("%s ends %s run %u: %s", worker->id, run->task, run->attempt, how);
    note_ended(worker, run->task, run->attempt);
    if (worker->end_count < ENDS_MAX) {
        end = &worker->ends[worker->end_count++];
        end->number = worker->next_end++;
        snprintf(end->task, sizeof end->task, "%.63s", run->task);
        end->attempt = run->attempt;
        snprintf(end->how, sizeof end->how, "%s", how);
        snprintf(end->checkpoint, sizeof end->checkpoint, "%.31s",
                 run->checkpoint);
    }
    worker->runs[at] = worker->runs[--worker->run_count];
    pthread_cond_broadcast(&worker->changed);
}

static int
find_run(const struct worker *worker, const char *task)
{
    for (int i = 0; i < worker->run_count; i++) {
        if (strcmp(worker->runs[i].task, task) == 0) {
            return i;
        }
    }
    return -1;
}

static void
extend_lease(struct worker *worker, json_t *body)
{
    json_t *deadline = json_object_get(body, "deadline-ms");
    int64_t most_ms = clock_of(worker) + HOLD_MAX_MS;

    if (json_is_integer(deadline)) {
        int64_t lease_ms = json_integer_value(deadline);

        lease_ms = lease_ms > most_ms ? most_ms : lease_ms;
        worker->lease_ms =
            lease_ms > worker->lease_ms ? lease_ms : worker->lease_ms;
    }
}

static json_t *
refuse(struct worker *worker, const char *reason, int *status)
{
    *status = 409;
    return json_pack("{s:I,s:s}", "clock-ms", (json_int_t)clock_of(worker),
                     "reason", reason);
}

static json_t *
do_start(struct worker *worker, json_t *body, int *status)
{
    const char *task = json_string_value(json_object_get(body, "task-id"));
    const char *spec = json_string_value(json_object_get(body, "spec"));
    const char *saved = json_string_value(json_object_get(body, "checkpoint"));
    uint32_t attempt =
        (uint32_t)json_integer_value(json_object_get(body, "attempt"));
    int at = find_run(worker, task);
    struct run *run;

    if (at >= 0 && worker->runs[at].attempt == attempt) {
        extend_lease(worker, body);
        return json_pack("{s:I}", "clock-ms", (json_int_t)clock_of(worker));
    }
    if (attempt <= last_ended(worker, task) || at >= 0) {
        extend_lease(worker, body);
        return refuse(worker, "old", status);
    }
    if (json_integer_value(json_object_get(body, "deadline-ms")) <=
        clock_of(worker)) {
        return refuse(worker, "late", status);
    }
    extend_lease(worker, body);
    run = &worker->runs[worker->run_count++];
    memset(run, 0, sizeof *run);
    snprintf(run->task, sizeof run->task, "%s", task);
    run->attempt = attempt;
    snprintf(run->spec, sizeof run->spec, "%s", spec ? spec : "");
    snprintf(run->checkpoint, sizeof run->checkpoint, "%s",
             saved ? saved : "");
    run->begun_ms = now_ms();
    run->work_ms = strstr(run->spec, "ms=") ? atol(strstr(run->spec, "ms=") + 3)
                                            : 1000;
    note("%s (%s) starts %s run %u", worker->id, worker->zone, task, attempt);
    if (on_run_begun) {
        on_run_begun(worker, run);
    }
    return json_pack("{s:I}", "clock-ms", (json_int_t)clock_of(worker));
}

static json_t *
do_stop(struct worker *worker, json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task-id"));
    uint32_t attempt =
        (uint32_t)json_integer_value(json_object_get(body, "attempt"));
    int at = find_run(worker, task);

    if (at >= 0 && worker->runs[at].attempt <= attempt) {
        end_run(worker, at, "stopped");
    }
    else {
        note_ended(worker, task, attempt);
    }
    return json_pack("{s:I}", "clock-ms", (json_int_t)clock_of(worker));
}

static json_t *
list_runs(struct worker *worker)
{
    json_t *running = json_array();
    json_t *ended = json_array();

    for (int i = 0; i < worker->run_count; i++) {
        const struct run *run = &worker->runs[i];
        int64_t percent = (now_ms() - run->begun_ms) * 100 / run->work_ms;

        json_array_append_new(
            running, json_pack("[s,I,s,I]", run->task,
                               (json_int_t)run->attempt, run->checkpoint,
                               (json_int_t)(percent > 99 ? 99 : percent)));
    }
    for (int i = 0; i < worker->end_count; i++) {
        const struct end *end = &worker->ends[i];

        json_array_append_new(
            ended, json_pack("[I,s,I,s,s]", (json_int_t)end->number, end->task,
                             (json_int_t)end->attempt, end->how,
                             end->checkpoint));
    }
    return json_pack("{s:I,s:I,s:o,s:o}", "clock-ms",
                     (json_int_t)clock_of(worker), "born",
                     (json_int_t)worker->born_ms, "running", running,
                     "finished", ended);
}

static json_t *
do_hold(struct worker *worker, json_t *body)
{
    uint64_t cursor =
        (uint64_t)json_integer_value(json_object_get(body, "ack-cursor"));
    int64_t wait_ms = json_integer_value(json_object_get(body, "wait-ms"));
    int64_t deadline_ms = now_ms() + wait_ms;
    uint32_t life = worker->life;
    int kept = 0;

    extend_lease(worker, body);
    for (int i = 0; i < worker->end_count; i++) {
        if (worker->ends[i].number > cursor) {
            worker->ends[kept++] = worker->ends[i];
        }
    }
    worker->end_count = kept;
    while (worker->end_count == 0 && now_ms() < deadline_ms &&
           worker->life == life) {
        struct timespec until;

        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += 20 * 1000000;
        if (until.tv_nsec >= 1000000000) {
            until.tv_sec++;
            until.tv_nsec -= 1000000000;
        }
        pthread_cond_timedwait(&worker->changed, &worker->lock, &until);
    }
    return list_runs(worker);
}

static json_t *
do_command(struct worker *worker, const char *path, json_t *body, int *status)
{
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(body, "fencing-token"));

    if (fence < worker->fence) {
        return refuse(worker, "fence", status);
    }
    worker->fence = fence;
    if (strcmp(path, "/mimosawind/run-start") == 0) {
        return do_start(worker, body, status);
    }
    if (strcmp(path, "/mimosawind/run-stop") == 0) {
        return do_stop(worker, body);
    }
    return do_hold(worker, body);
}

/* conn: a connection to a worker. */
struct conn {
    struct worker *worker;
    int fd;
    uint32_t life;
};

static bool
serve_one(struct conn *conn, const struct message *message)
{
    struct worker *worker = conn->worker;
    const char *expected = find_header(message, "X-Expected-Instance");
    char path[64] = "";
    int status = 200;
    json_t *body = json_loadb(message->text + message->head_len,
                              message->body_len, 0, NULL);
    json_t *reply = NULL;
    char *text;
    char head[160];
    bool ok;

    sscanf(message->text, "%*s %63s", path);
    if (now_ms() < worker->cold_until_ms) {
        sleep_ms(COLD_ANSWER_MS);
    }
    pthread_mutex_lock(&worker->lock);
    if (worker->dark || worker->life != conn->life) {
        pthread_mutex_unlock(&worker->lock);
        json_decref(body);
        return false;
    }
    if (expected && strncmp(expected, worker->id, strlen(worker->id)) != 0) {
        status = 421;
        reply = json_object();
    }
    else {
        reply = do_command(worker, path, body, &status);
    }
    ok = !worker->dark && worker->life == conn->life;
    pthread_mutex_unlock(&worker->lock);
    text = json_dumps(reply, JSON_COMPACT);
    snprintf(head, sizeof head,
             "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n",
             status, strlen(text));
    ok = ok && send_all(conn->fd, head, strlen(head)) &&
         send_all(conn->fd, text, strlen(text));
    free(text);
    json_decref(body);
    json_decref(reply);
    return ok;
}

/* A machine that is down does not even end its connections. */
static bool
is_conn_over(void *opaque)
{
    const struct conn *conn = opaque;

    return conn->worker->life != conn->life ||
           (conn->worker->dark && conn->worker->refuses);
}

static void *
run_conn(void *opaque)
{
    struct conn *conn = opaque;
    struct worker *worker = conn->worker;
    bool more = true;

    while (more) {
        struct message message = {0};

        more = read_message(conn->fd, &message, now_ms() + 600000,
                            is_conn_over, conn) &&
               serve_one(conn, &message);
        free(message.text);
    }
    while (worker->dark && !is_conn_over(conn)) {
        sleep_ms(5);
    }
    reset_socket(conn->fd);
    free(conn);
    return NULL;
}

static void *
run_listener(void *opaque)
{
    struct worker *worker = opaque;

    for (;;) {
        int fd = accept4(worker->listener, NULL, NULL, SOCK_CLOEXEC);
        struct conn *conn;
        int on = 1;

        if (fd < 0) {
            sleep_ms(1);
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        conn = malloc(sizeof *conn);
        pthread_mutex_lock(&worker->lock);
        *conn = (struct conn){worker, fd, worker->life};
        pthread_mutex_unlock(&worker->lock);
        spawn(run_conn, conn);
    }
    return NULL;
}

static void
beat(struct worker *worker)
{
    char path[64];
    char address[40];
    char *text;
    json_t *body;
    struct answer answer;
    static int next;
    int64_t cold_left_ms;

    pthread_mutex_lock(&worker->lock);
    if (worker->dark) {
        pthread_mutex_unlock(&worker->lock);
        return;
    }
    cold_left_ms = worker->cold_until_ms - now_ms();
    body = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
        "service", "svc", "address", worker->address, "zone", worker->zone,
        "version", "v1", "slots", 8, "state", "ready", "cold-left-ms",
        (json_int_t)(cold_left_ms > 0 ? cold_left_ms : 0),
        "capacity", "cpu", 32000, "mem-mb", 65536, "gpus", 8, "labels", worker->kind,
        worker->rack, "clock-ms", (json_int_t)clock_of(worker), "born",
        (json_int_t)worker->born_ms, "seq", (json_int_t)++worker->seq);
    pthread_mutex_unlock(&worker->lock);
    text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    snprintf(path, sizeof path, "/mimosawind/instances/%s", worker->id);
    for (int tries = 0; tries < CORES + 1; tries++) {
        if (worker->beat_address[0]) {
            snprintf(address, sizeof address, "%s", worker->beat_address);
        }
        else {
            snprintf(address, sizeof address, "%s",
                     core_control(next++ % CORES));
        }
        answer = call(address, "PUT", path, "Host: control\r\n", text, 1000);
        if (answer.status == 200) {
            json_t *reply = json_loads(answer.body, 0, NULL);
            const char *to =
                json_string_value(json_object_get(reply, "heartbeat-addr"));

            snprintf(worker->beat_address, sizeof worker->beat_address, "%s",
                     to ? to : "");
            json_decref(reply);
            drop_answer(&answer);
            worker->acknowledged_beats++;
            break;
        }
        worker->beat_address[0] = 0;
        drop_answer(&answer);
    }
    free(text);
}

static void *
run_beats(void *opaque)
{
    struct worker *worker = opaque;

    sleep_ms(worker->index * 37 % BEAT_MS);
    for (;;) {
        int64_t next_ms = now_ms() + BEAT_MS;
        uint32_t life = worker->life;

        beat(worker);
        while (now_ms() < next_ms && worker->life == life) {
            sleep_ms(10);
        }
    }
    return NULL;
}

static void
tick(struct worker *worker)
{
    pthread_mutex_lock(&worker->lock);
    if (worker->dark && now_ms() >= worker->dark_until_ms) {
        struct pollfd wait = {.fd = worker->listener, .events = POLLIN};

        if (worker->refuses) {
            worker->listener = listen_at(worker->address);
        }
        /* nothing that was sent meanwhile has arrived */
        while (!worker->refuses && poll(&wait, 1, 0) > 0) {
            int fd = accept4(worker->listener, NULL, NULL, SOCK_CLOEXEC);

            if (fd >= 0) {
                reset_socket(fd);
            }
        }
        begin_life(worker);
        worker->cold_until_ms = now_ms() + cold_ms;
        worker->dark = false;
        note("%s is back, born %lld", worker->id, (long long)worker->born_ms);
    }
    if (!worker->dark && worker->run_count > 0 &&
        clock_of(worker) >= worker->lease_ms) {
        while (worker->run_count > 0) {
            end_run(worker, 0, "lapsed");
        }
    }
    for (int i = worker->run_count; !worker->dark && i > 0; i--) {
        const struct run *run = &worker->runs[i - 1];

        if (now_ms() - run->begun_ms >= run->work_ms) {
            const char *how =
                how_run_ends ? how_run_ends(worker, run) : "done";

            if (how) {
                end_run(worker, i - 1, how);
            }
        }
    }
    pthread_mutex_unlock(&worker->lock);
}

static void *
run_ticks(void *opaque)
{
    (void)opaque;
    for (;;) {
        for (int i = 0; i < worker_count; i++) {
            tick(&workers[i]);
        }
        sleep_ms(5);
    }
    return NULL;
}

void
crash_worker(struct worker *worker, int64_t for_ms, bool dark)
{
    worker->dark = true;
    worker->refuses = !dark;
    if (worker->refuses) {
        shutdown(worker->listener, SHUT_RDWR);
        close(worker->listener);
        worker->listener = -1;
    }
    worker->dark_until_ms = now_ms() + for_ms;
    note("%s crashes with %d runs, and %s for %lld ms", worker->id,
         worker->run_count, dark ? "answers nothing" : "is gone",
         (long long)for_ms);
    worker->run_count = 0;
}

void
start_workers(int count)
{
    for (int i = 0; i < count; i++) {
        struct worker *worker = &workers[i];

        worker->index = i;
        snprintf(worker->id, sizeof worker->id, "i-%08x", 0x7f3a0000 + i);
        snprintf(worker->zone, sizeof worker->zone, "z%d", i % 3 + 1);
        snprintf(worker->kind, sizeof worker->kind, "%s",
                 i < other_kind_count ? "b" : "a");
        snprintf(worker->rack, sizeof worker->rack, "r1-%d", i % 3 + 1);
        snprintf(worker->address, sizeof worker->address, "%s.%d:%d", net,
                 51 + i, control_port + 5);
        pthread_mutex_init(&worker->lock, NULL);
        pthread_cond_init(&worker->changed, NULL);
        begin_life(worker);
        worker->listener = listen_at(worker->address);
        if (worker->listener < 0) {
            fprintf(stderr, "no free port for a worker\n");
            stop_system();
            exit(2);
        }
        spawn(run_listener, worker);
        spawn(run_beats, worker);
    }
    worker_count = count;
    spawn(run_ticks, NULL);
}

/* Requests. */

void
put_config(int version)
{
    char text[2048];
    int64_t deadline_ms = now_ms() + 20000;

    snprintf(text, sizeof text,
             "{\"version\":%d,\"routes\":["
             "{\"name\":\"r-0\",\"host\":\"" HOST
             "\",\"path-prefix\":\"/p0/\",\"kind\":\"non_idempotent\","
             "\"timeout-ms\":3000,\"target-latency-ms\":250,\"priority\":0,"
             "\"service\":\"svc\",\"max-attempts\":2,\"slack-factor\":1.5,"
             "\"public\":false},"
             "{\"name\":\"r-1\",\"host\":\"" HOST
             "\",\"path-prefix\":\"/p1/\",\"kind\":\"non_idempotent\","
             "\"timeout-ms\":3000,\"target-latency-ms\":1000,\"priority\":1,"
             "\"service\":\"svc\",\"max-attempts\":2,\"slack-factor\":3.0,"
             "\"public\":false}],"
             "\"services\":[{\"name\":\"svc\",\"health-path\":\"/healthz\","
             "\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,"
             "\"cold-start-s\":0.0,\"cold-per-s\":0.0,"
             "\"enforce-capacity\":false,\"standby\":false}],"
             "\"limits\":{\"max-header-bytes\":16384,"
             "\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
             "\"idle-timeout-ms\":15000},"
             "\"tenants\":[{\"name\":\"t0\",\"api-keys\":[\"" KEY
             "\"],\"priority\":1,\"guaranteed\":{\"gpus\":8}}]}",
             version);
    for (int i = 0; now_ms() < deadline_ms; i++) {
        struct answer answer = call(core_control(i % CORES), "PUT",
                                    "/mimosawind/config", "Host: control\r\n",
                                    text, 1000);
        int status = answer.status;

        drop_answer(&answer);
        if (status == 200) {
            note("configuration %d is acknowledged", version);
            return;
        }
        sleep_ms(200);
    }
    note("no configuration was acknowledged");
    fprintf(stderr, "no configuration was acknowledged\n");
    stop_system();
    exit(2);
}

int
submit_job(int edge, const char *prefix, const char *id, const char *plan)
{
    char path[128];
    struct answer answer;
    int status;

    snprintf(path, sizeof path, "%s%s", prefix, id);
    answer = call(edge_frontend(edge), "POST", path,
                  "Host: " HOST "\r\nX-Credential: " KEY
                  "\r\nX-Deadline-Ms: 3000\r\n",
                  plan, 3000);
    status = answer.status;
    drop_answer(&answer);
    return status;
}

const char *
read_state(int edge, const char *prefix, const char *id)
{
    static char state[32];
    char path[128];
    struct answer answer;

    snprintf(path, sizeof path, "%s%s", prefix, id);
    answer = call(edge_frontend(edge), "GET", path,
                  "Host: " HOST "\r\nX-Credential: " KEY
                  "\r\nX-Deadline-Ms: 3000\r\n",
                  NULL, 3000);
    state[0] = 0;
    if (answer.status == 200) {
        json_t *reply = json_loads(answer.body, 0, NULL);
        const char *text = json_string_value(json_object_get(reply, "state"));

        snprintf(state, sizeof state, "%s", text ? text : "");
        json_decref(reply);
    }
    else {
        snprintf(state, sizeof state, "(%d)", answer.status);
    }
    drop_answer(&answer);
    return state;
}
