/*
 * processes: the programs, and faults injected by signals.
 *
 * Only processes started here are signalled, by their process IDs.
 */
#include <fcntl.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

#define PROCESSES_MAX (SOAK_CORES_MAX + SOAK_ENTRIES)
#define PROGRAM "build/mwplatformd"
/* a disk may be lost once all core processes have run without suspension for
 * this long */
#define CATCH_UP_US 5000000
/* core machines that each machine is told of */
#define SEEDS 3
/* where two machines may be lost, a new one may find two of its seeds down */
#define SUCCESSOR_SEEDS 1
#define SHUTDOWN_TIMEOUT_US 12000000
#define RESTART_DELAY_US 500000
/* until the successor of a machine that was removed starts */
#define SUCCESSOR_DELAY_US 2000000
/* quarters of a tenth of a second in which a process does not run */
#define QUARTER_MS 25
#define CORE_STOPPED_QUARTERS 2
#define ENTRY_STOPPED_QUARTERS 3
#define LIMITS_INTERVAL_MS 200
#define METRICS_PORT 7015
#define LEADS_LINE "mimosawind_leads 1"

struct process {
    struct soak_processes *all;
    char name[8];
    char *folder;
    bool core;
    char ip[24];
    /* of core machines, as they were when this machine was set up */
    char *seeds;
    GPid pid;
    bool suspended;
    bool terminating;
    /* its successor starts once it has ended */
    bool replaced;
    /* number of this replacement; 0 for the first machine in this place */
    unsigned generation;
    bool started_once;
    /* stopped for its share of the processor */
    bool throttled;
    bool over_limits;
    int64_t resume_us;
};

struct soak_processes {
    GString *violations;
    struct process processes[PROCESSES_MAX];
    struct soak_proxy *proxies[SOAK_ENTRIES];
    int64_t healthy_since_us;
    unsigned replaced_count;
    enum soak_order order;
    /* after the next acknowledgement all core processes are killed */
    bool kill_on_acknowledgement;
    guint timer;
    guint limits_timer;
    /* 0 without a share of the processor */
    guint share_timer;
    unsigned quarter;
    bool shutting_down;
};

static int
process_count(void)
{
    return soak_core_count() + SOAK_ENTRIES;
}

/* The machine in this place is new: it takes its address and the seeds. */
static void
set_up(struct process *process)
{
    int index = (int)(process - process->all->processes);
    GString *seeds = g_string_new("seeds:\n");
    /* at the first start all machines are told of the same ones */
    int first = process->started_once ? index + 1 : 0;
    bool few = process->core && process->started_once &&
               soak_core_count() == SOAK_CORES_MAX;

    g_strlcpy(process->ip,
              process->core ? soak_core_ip(index)
                            : soak_ip(11 + index - soak_core_count(), false),
              sizeof process->ip);
    for (int i = 0; i < (few ? SUCCESSOR_SEEDS : SEEDS); i++) {
        g_string_append_printf(seeds, "  - \"%s:%d\"\n",
                               soak_core_ip((first + i) % soak_core_count()),
                               SOAK_CONTROL_PORT);
    }
    g_free(process->seeds);
    process->seeds = g_string_free(seeds, FALSE);
}

static void
write_settings(const struct process *process)
{
    GString *text = g_string_new(NULL);
    char *path = g_strconcat(process->folder, "/node.yaml", NULL);

    g_string_append_printf(text,
                           "node-name: \"%s\"\nip: \"%s\"\nzone: \"z0\"\n"
                           "internal-ports: [%d, %d]\n%s",
                           process->name, process->ip, SOAK_LINK_PORT,
                           SOAK_LINK_PORT + 15, process->seeds);
    if (process->core) {
        g_string_append_printf(
            text,
            "bind-addrs:\n  control: \"%s:%d\"\nbootstrap: %s\n"
            "data-dir: \"%s/data\"\n",
            process->ip, SOAK_CONTROL_PORT,
            process->started_once ? "false" : "true", process->folder);
    }
    else {
        g_string_append_printf(text,
                               "bind-addrs:\n  frontend: \"%s:%d\"\n"
                               "  readiness: \"%s:%d\"\nbootstrap: false\n"
                               "data-dir: null\n",
                               process->ip, SOAK_FRONTEND_PORT, process->ip,
                               SOAK_READINESS_PORT);
    }
    g_string_append_printf(text, "fault-tolerance:\n  machines: %d\n",
                           (soak_core_count() - 1) / 2);
    g_string_append(text, "heartbeat-ms: 500\nbounds:\n  grace-s: 6\n"
                          "  hold-max-ms: 10000\n  stop-timeout-ms: 900\n");
    g_file_set_contents(path, text->str, -1, NULL);
    g_string_free(text, TRUE);
    g_free(path);
}

static void
on_process_exit(GPid pid, gint status, gpointer data)
{
    struct process *process = data;
    bool expected = process->terminating;

    process->pid = 0;
    process->terminating = false;
    g_spawn_close_pid(pid);
    if (WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL) {
        return;
    }
    process->resume_us =
        MAX(process->resume_us, soak_now_us() + RESTART_DELAY_US);
    if (!expected || !WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        g_string_append_printf(process->all->violations,
                               "%s exited with wait status %x; ",
                               process->name, (unsigned)status);
    }
}

/* Redirects the child's output to a separate file. */
static void
set_output(gpointer data)
{
    const char *path = data;
    int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);

    if (fd >= 0) {
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        close(fd);
    }
}

static void
start(struct process *process)
{
    char *settings = g_strconcat(process->folder, "/node.yaml", NULL);
    char *log = g_strconcat(process->folder, "/log", NULL);
    char *argv[] = {(char *)PROGRAM, process->core ? "core" : "edge", NULL};
    char **env = g_environ_setenv(g_get_environ(), "MIMOSAWIND_NODE_FILE",
                                  settings, TRUE);
    GError *error = NULL;

    write_settings(process);
    process->started_once = true;
    process->suspended = false;
    process->throttled = false;
    if (!g_spawn_async(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD, set_output,
                       log, &process->pid, &error)) {
        g_error("soak: %s", error->message);
    }
    g_child_watch_add(process->pid, on_process_exit, process);
    g_strfreev(env);
    g_free(log);
    g_free(settings);
}

static void
send_signal(struct process *process, int number)
{
    if (process->pid > 0) {
        kill(process->pid, number);
    }
}

static void
run_main_loop_for(int64_t duration_us)
{
    int64_t until_us = soak_now_us() + duration_us;

    while (soak_now_us() < until_us) {
        g_main_context_iteration(NULL, FALSE);
        g_usleep(2000);
    }
}

/* Appends random bytes, as a torn write at the time of a kill leaves. */
static void
append_torn_write(const struct process *process, GRand *rand)
{
    char *path = g_strconcat(process->folder, "/data/region.log", NULL);
    int fd = open(path, O_WRONLY | O_APPEND);

    if (fd >= 0) {
        char bytes[64];
        size_t count = (size_t)g_rand_int_range(rand, 1, sizeof bytes);

        for (size_t i = 0; i < count; i++) {
            bytes[i] = (char)g_rand_int_range(rand, 0, 256);
        }
        if (write(fd, bytes, count) < 0) {
            g_warning("soak: can't write to %s", path);
        }
        close(fd);
    }
    g_free(path);
}

static void
remove_data(const struct process *process)
{
    char *folder = g_strconcat(process->folder, "/data", NULL);
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;

    while (dir && (name = g_dir_read_name(dir))) {
        char *path = g_strconcat(folder, "/", name, NULL);

        g_unlink(path);
        g_free(path);
    }
    if (dir) {
        g_dir_close(dir);
    }
    g_free(folder);
}

static void
kill_process(struct process *process, int64_t downtime_us)
{
    send_signal(process, SIGKILL);
    process->resume_us = soak_now_us() + downtime_us;
    while (process->pid > 0) {
        run_main_loop_for(5000);
    }
}

static void
replace_ended(struct process *process)
{
    process->replaced = false;
    remove_data(process);
    soak_move_core((int)(process - process->all->processes));
    set_up(process);
}

/* Restarts and resumes the processes that are due. */
static gboolean
supervise(gpointer data)
{
    struct soak_processes *all = data;
    int64_t now_us = soak_now_us();
    bool healthy = true;

    for (int i = 0; i < process_count(); i++) {
        struct process *process = &all->processes[i];

        if (process->core) {
            healthy &= process->pid > 0 && !process->suspended &&
                       !process->terminating;
        }
        if (all->shutting_down || now_us < process->resume_us) {
            continue;
        }
        if (process->pid == 0 && process->replaced) {
            replace_ended(process);
        }
        if (process->pid == 0) {
            if (!process->core) {
                set_up(process);
            }
            start(process);
        }
        else if (process->suspended) {
            process->suspended = false;
            process->throttled = false;
            send_signal(process, SIGCONT);
        }
    }
    if (!healthy) {
        all->healthy_since_us = now_us;
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
check_limits(gpointer data)
{
    struct soak_processes *all = data;

    for (int i = 0; i < process_count(); i++) {
        struct process *process = &all->processes[i];
        char *folder = g_strconcat(process->folder, "/data", NULL);

        if (process->pid > 0 && !process->over_limits) {
            process->over_limits = !soak_check_limits(
                all->violations, process->name, process->pid, folder);
        }
        g_free(folder);
    }
    return G_SOURCE_CONTINUE;
}

static void
throttle(struct process *process, bool throttled)
{
    if (process->throttled == throttled || process->suspended) {
        return;
    }
    process->throttled = throttled;
    send_signal(process, throttled ? SIGSTOP : SIGCONT);
}

static gboolean
share_processor(gpointer data)
{
    struct soak_processes *all = data;

    all->quarter = (all->quarter + 1) % 4;
    for (int i = 0; i < process_count(); i++) {
        struct process *process = &all->processes[i];
        unsigned stopped =
            process->core ? CORE_STOPPED_QUARTERS : ENTRY_STOPPED_QUARTERS;

        throttle(process, !all->shutting_down && all->quarter < stopped);
    }
    return G_SOURCE_CONTINUE;
}

void
soak_share_processor(struct soak_processes *all)
{
    all->share_timer = g_timeout_add(QUARTER_MS, share_processor, all);
}

struct soak_processes *
soak_new_processes(const char *folder, GString *violations)
{
    struct soak_processes *all = g_new0(struct soak_processes, 1);

    all->violations = violations;
    for (int i = 0; i < process_count(); i++) {
        struct process *process = &all->processes[i];
        char *data;

        process->all = all;
        process->core = i < soak_core_count();
        g_snprintf(process->name, sizeof process->name, "%c%d",
                   process->core ? 'c' : 'e', i + 1);
        set_up(process);
        process->folder = g_strconcat(folder, "/", process->name, NULL);
        data = g_strconcat(process->folder, "/data", NULL);
        g_mkdir_with_parents(data, 0755);
        remove_data(process);
        g_free(data);
        start(process);
    }
    for (int i = 0; i < SOAK_ENTRIES; i++) {
        all->proxies[i] = soak_new_proxy(
            soak_ip(11 + i, true), all->processes[soak_core_count() + i].ip,
            SOAK_FRONTEND_PORT);
    }
    all->healthy_since_us = soak_now_us();
    all->timer = g_timeout_add(20, supervise, all);
    all->limits_timer = g_timeout_add(LIMITS_INTERVAL_MS, check_limits, all);
    return all;
}

static void
lose_disk(struct soak_processes *all, GRand *rand)
{
    struct process *process =
        &all->processes[g_rand_int_range(rand, 0, soak_core_count())];

    if (soak_now_us() - all->healthy_since_us < CATCH_UP_US) {
        return;
    }
    kill_process(process, g_rand_int_range(rand, 200, 1500) * 1000);
    remove_data(process);
    all->healthy_since_us = soak_now_us();
}

void
soak_set_order(struct soak_processes *all, enum soak_order order)
{
    all->order = order;
}

/* Whether the process says so on its metrics address. */
static bool
leads(const struct process *process)
{
    char *url =
        g_strdup_printf("http://%s:%d/metrics", process->ip, METRICS_PORT);
    SoupSession *session = soup_session_new_with_options("timeout", 1, NULL);
    SoupMessage *message = soup_message_new("GET", url);
    GBytes *body = soup_session_send_and_read(session, message, NULL, NULL);
    bool is_leader =
        body && g_strstr_len(g_bytes_get_data(body, NULL),
                             (gssize)g_bytes_get_size(body), LEADS_LINE);

    g_clear_pointer(&body, g_bytes_unref);
    g_object_unref(message);
    g_object_unref(session);
    g_free(url);
    return is_leader;
}

static struct process *
pick_core(struct soak_processes *all, GRand *rand)
{
    struct process *picked =
        &all->processes[g_rand_int_range(rand, 0, soak_core_count())];

    for (int i = 0; all->order != SOAK_ANY && i < soak_core_count(); i++) {
        struct process *process = &all->processes[i];

        if (all->order == SOAK_LEADER
                ? leads(process)
                : (process->generation < picked->generation) ==
                      (all->order == SOAK_OLDEST)) {
            picked = process;
        }
    }
    return picked;
}

bool
soak_replace_core(struct soak_processes *all, GRand *rand)
{
    struct process *process;
    bool by_signal = g_rand_boolean(rand);

    if (soak_now_us() - all->healthy_since_us < CATCH_UP_US) {
        return false;
    }
    process = pick_core(all, rand);
    process->replaced = true;
    process->generation = ++all->replaced_count;
    process->terminating = by_signal;
    process->resume_us = soak_now_us() + SUCCESSOR_DELAY_US;
    send_signal(process, by_signal ? SIGTERM : SIGKILL);
    all->healthy_since_us = soak_now_us();
    return true;
}

unsigned
soak_count_replaced(const struct soak_processes *all)
{
    return all->replaced_count;
}

void
soak_restart_all(struct soak_processes *all, bool lose_disk, GRand *rand)
{
    struct process *process =
        &all->processes[g_rand_int_range(rand, 0, soak_core_count())];

    for (int i = 0; i < process_count(); i++) {
        send_signal(&all->processes[i], SIGKILL);
        all->processes[i].resume_us = soak_now_us() + SOAK_RESTART_US;
    }
    if (lose_disk) {
        kill_process(process, SOAK_RESTART_US);
        remove_data(process);
    }
}

void
soak_inject_fault(struct soak_processes *all, GRand *rand)
{
    struct process *process =
        &all->processes[g_rand_int_range(rand, 0, process_count())];
    int proxy = g_rand_int_range(rand, 0, SOAK_ENTRIES);
    int64_t duration_us = g_rand_int_range(rand, 100, 3000) * 1000;

    switch (g_rand_int_range(rand, 0, 10)) {
    case 9:
        soak_replace_core(all, rand);
        break;
    case 8:
        all->kill_on_acknowledgement = true;
        break;
    case 0:
        kill_process(process, duration_us);
        if (process->core && g_rand_int_range(rand, 0, 2)) {
            append_torn_write(process, rand);
        }
        break;
    case 1:
    case 2:
        process->suspended = process->pid > 0;
        process->resume_us = soak_now_us() + duration_us;
        send_signal(process, SIGSTOP);
        break;
    case 3:
        if (!process->suspended) {
            process->terminating = process->pid > 0;
            process->resume_us = soak_now_us() + duration_us;
            send_signal(process, SIGTERM);
        }
        break;
    case 4:
        lose_disk(all, rand);
        break;
    case 5:
        send_signal(process, SIGHUP);
        break;
    case 6:
        soak_reset_connections(all->proxies[proxy]);
        break;
    default:
        soak_set_proxy_mode(all->proxies[proxy],
                            (enum soak_proxy_mode)g_rand_int_range(
                                rand, 0, SOAK_PROXY_MODE_COUNT));
        break;
    }
}

void
soak_kill_after_acknowledgement(void *processes)
{
    struct soak_processes *all = processes;

    for (int i = 0; i < soak_core_count() && all->kill_on_acknowledgement;
         i++) {
        send_signal(&all->processes[i], SIGKILL);
    }
    all->kill_on_acknowledgement = false;
}

void
soak_end_faults(struct soak_processes *all)
{
    for (int i = 0; i < SOAK_ENTRIES; i++) {
        soak_set_proxy_mode(all->proxies[i], SOAK_FORWARD);
        soak_reset_connections(all->proxies[i]);
    }
    all->kill_on_acknowledgement = false;
    for (int i = 0; i < process_count(); i++) {
        all->processes[i].resume_us = 0;
    }
    supervise(all);
}

void
soak_drop_processes(struct soak_processes *all)
{
    int64_t until_us = soak_now_us() + SHUTDOWN_TIMEOUT_US;
    bool all_exited = false;

    all->shutting_down = true;
    if (all->share_timer > 0) {
        share_processor(all);
        g_source_remove(all->share_timer);
    }
    for (int i = 0; i < process_count(); i++) {
        all->processes[i].terminating = all->processes[i].pid > 0;
        send_signal(&all->processes[i], SIGTERM);
    }
    while (!all_exited) {
        all_exited = true;
        for (int i = 0; i < process_count(); i++) {
            struct process *process = &all->processes[i];

            all_exited &= process->pid == 0;
            if (process->pid > 0 && soak_now_us() > until_us) {
                g_string_append_printf(all->violations,
                                       "%s did not exit after SIGTERM; ",
                                       process->name);
                kill_process(process, 0);
            }
        }
        run_main_loop_for(5000);
    }
    g_source_remove(all->timer);
    g_source_remove(all->limits_timer);
    for (int i = 0; i < SOAK_ENTRIES; i++) {
        soak_drop_proxy(all->proxies[i]);
    }
    for (int i = 0; i < process_count(); i++) {
        g_free(all->processes[i].folder);
        g_free(all->processes[i].seeds);
    }
    g_free(all);
}
