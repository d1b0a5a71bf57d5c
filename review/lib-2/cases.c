/*
 * cases: the scripts of the second review.
 *
 *     cases NAME RECORD TROUBLE
 *
 * With 0 for TROUBLE the disruption is left out.
 *
 * EXIT STATUS  1 if the rule was broken, 0 if it held, 2 if the case could not
 *              run
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"

static bool trouble;

static void
fail_to_run(const char *why)
{
    note("the case could not run: %s", why);
    fprintf(stderr, "the case could not run: %s\n", why);
    stop_system();
    exit(2);
}

static void
begin(int workers, bool separate_links)
{
    start_system(separate_links);
    start_workers(workers);
    put_config(3);
    if (!wait_edges_ready(10000)) {
        fail_to_run("the edge processes are not ready");
    }
    /* each worker has been heard of and listed */
    sleep_ms(4000);
}

/* A task that crashes each worker that starts it; the machine goes dark. */

#define DARK_MS 3000
#define CRASHES_MAX 64

static const char deadly_id[] = "00000000000000d1";
static volatile int deadly_starts;
static volatile int deadly_crashes;

struct crash {
    struct worker *worker;
    uint32_t life;
};

static void *
run_crash(void *opaque)
{
    struct crash *crash = opaque;

    /* the start has been answered by then, and a list has shown the run */
    sleep_ms(150);
    pthread_mutex_lock(&crash->worker->lock);
    if (crash->worker->life == crash->life && !crash->worker->dark) {
        deadly_crashes++;
        crash_worker(crash->worker, DARK_MS, true);
    }
    pthread_mutex_unlock(&crash->worker->lock);
    free(crash);
    return NULL;
}

static void
crash_on_start(struct worker *worker, struct run *run)
{
    struct crash *crash;
    pthread_t thread;

    if (strncmp(run->task, deadly_id, strlen(deadly_id)) != 0) {
        return;
    }
    deadly_starts++;
    if (!trouble) {
        return;
    }
    crash = malloc(sizeof *crash);
    *crash = (struct crash){worker, worker->life};
    pthread_create(&thread, NULL, run_crash, crash);
    pthread_detach(thread);
}

static int
crash_dark(void)
{
    int64_t until_ms;
    int starts_after_three = 0;
    int starts_at_three = 0;
    const char *state = "";

    on_run_begun = crash_on_start;
    begin(9, false);
    if (submit_job(0, "/p1/", deadly_id,
                   "{\"spec\":\"ms=4000\",\"phases\":[{\"count\":1,"
                   "\"cpu\":4000,\"mem-mb\":1024,\"gpus\":1,"
                   "\"estimate-ms\":4000}]}") != 200) {
        fail_to_run("the job was not accepted");
    }
    note("job %s is accepted", deadly_id);
    until_ms = now_ms() + 80000;
    while (now_ms() < until_ms) {
        if (deadly_crashes >= 3 && starts_at_three == 0) {
            starts_at_three = deadly_starts;
        }
        if (starts_at_three > 0) {
            starts_after_three = deadly_starts - starts_at_three;
        }
        state = read_state(0, "/p1/", deadly_id);
        if (strcmp(state, "failed") == 0 || strcmp(state, "completed") == 0 ||
            starts_after_three >= 4) {
            break;
        }
        sleep_ms(100);
    }
    note("job %s is shown as %s after %d starts and %d crashes; %d starts "
         "after three workers had crashed under it",
         deadly_id, state, deadly_starts, deadly_crashes, starts_after_three);
    return starts_after_three >= 3 ? 1 : 0;
}

/* An old order for a zone that a link between core machines held up. */

#define HELD_MS 1250
#define ACK_TIMEOUT_MS 4000

static volatile bool submitting;
static volatile int64_t evacuated_ms;
static volatile int late_starts;

static void
note_late_start(struct worker *worker, struct run *run)
{
    if (evacuated_ms > 0 && strcmp(worker->zone, "z1") == 0 &&
        now_ms() - evacuated_ms > EVACUATION_MS) {
        late_starts++;
        note("EVAC: %s in z1 starts %s %lld ms after the evacuation was "
             "acknowledged",
             worker->id, run->task, (long long)(now_ms() - evacuated_ms));
    }
}

static void *
run_submitter(void *opaque)
{
    (void)opaque;
    for (int i = 0; submitting; i++) {
        char id[20];

        snprintf(id, sizeof id, "%016x", 0xe0000000 + i);
        submit_job(i % EDGES, "/p1/", id,
                   "{\"spec\":\"ms=900\",\"phases\":[{\"count\":9,"
                   "\"cpu\":4000,\"mem-mb\":1024,\"gpus\":4,"
                   "\"estimate-ms\":900}]}");
        sleep_ms(150);
    }
    return NULL;
}

static int
order_once(int core, const char *method)
{
    struct answer answer =
        call(core_control(core), method, "/mimosawind/drain/z1",
             "Host: control\r\n", NULL, 1000);
    int status = answer.status;

    note("operator: %s /mimosawind/drain/z1 at core %d is answered %d", method,
         core + 1, status);
    drop_answer(&answer);
    return status;
}

/* As the operator does: the same order again, to the next node, until 200. */
static void
order_zone(int core, const char *method)
{
    int64_t until_ms = now_ms() + ACK_TIMEOUT_MS;
    int64_t backoff_ms = 10;

    while (order_once(core, method) != 200) {
        if (now_ms() >= until_ms) {
            fail_to_run("an order was not acknowledged");
        }
        core = (core + CORES - 1) % CORES;
        sleep_ms(backoff_ms);
        backoff_ms *= 2;
    }
}

static int
stale_zone_order(void)
{
    pthread_t thread;
    int leader;
    int other;
    int64_t held_ms;

    on_run_begun = note_late_start;
    begin(9, true);
    leader = find_leader();
    if (leader < 0) {
        fail_to_run("no leader was found");
    }
    other = (leader + 1) % CORES;
    note("core %d leads; the operator's first address is core %d", leader + 1,
         other + 1);
    submitting = true;
    pthread_create(&thread, NULL, run_submitter, NULL);
    sleep_ms(2000);
    order_zone(other, "POST");
    sleep_ms(2000);
    held_ms = now_ms();
    if (trouble) {
        hold_link(leader, other, true);
        note("cores %d and %d are cut off from each other", leader + 1,
             other + 1);
    }
    /* the zone is taken back: sent again elsewhere without an answer */
    order_zone(other, "DELETE");
    /* and is emptied once more */
    order_zone(leader, "POST");
    evacuated_ms = now_ms();
    if (trouble) {
        sleep_ms(HELD_MS - (now_ms() - held_ms));
        hold_link(leader, other, false);
        note("the cut has healed after %lld ms",
             (long long)(now_ms() - held_ms));
    }
    sleep_ms(EVACUATION_MS + 8000);
    submitting = false;
    pthread_join(thread, NULL);
    note("%d starts in z1 later than %d ms after its evacuation was "
         "acknowledged, and before it was taken back",
         late_starts, EVACUATION_MS);
    return late_starts > 0 ? 1 : 0;
}

/*
 * A run fails while the core is restarted in turn, and its task waits for a
 * start that was sent long ago.
 */

#define ROLL_GAP_MS 2000
#define ROLL_INTERVAL_MS 15000
#define ROLLS 5
#define RESTART_MS 500
#define FINISH_MS 14000
#define IDLE_MS 3000

static const char failing_id[] = "00000000000000f1";
static volatile int failing_starts;
static volatile bool failing_done;

static void
count_failing(struct worker *worker, struct run *run)
{
    (void)worker;
    if (strncmp(run->task, failing_id, strlen(failing_id)) == 0) {
        failing_starts++;
    }
}

/* The first run fails through its own fault; the second one is done. */
static const char *
fail_first(struct worker *worker, const struct run *run)
{
    (void)worker;
    if (strncmp(run->task, failing_id, strlen(failing_id)) != 0) {
        return "done";
    }
    if (run->attempt == 1) {
        return "failed";
    }
    failing_done = true;
    return "done";
}

static int
count_runs(void)
{
    int count = 0;

    for (int i = 0; i < worker_count; i++) {
        pthread_mutex_lock(&workers[i].lock);
        count += workers[i].run_count;
        pthread_mutex_unlock(&workers[i].lock);
    }
    return count;
}

/* One core process at a time gets SIGTERM, the leader first. */
static void *
run_rolls(void *opaque)
{
    (void)opaque;
    for (int roll = 0; roll < ROLLS && !failing_done; roll++) {
        int64_t begun = now_ms();
        int first = find_leader();

        for (int i = 0; i < CORES; i++) {
            struct program *core = &cores[(first + i) % CORES];
            int64_t next = now_ms() + ROLL_GAP_MS;

            note("core %d gets SIGTERM", core->index + 1);
            restart_program(core, RESTART_MS);
            sleep_ms(next - now_ms());
        }
        sleep_ms(begun + ROLL_INTERVAL_MS - now_ms());
    }
    return NULL;
}

static int
late_start_wait(void)
{
    pthread_t thread;
    int64_t sent_ms;
    int64_t idle_ms = 0;
    int64_t longest_ms = 0;
    int64_t last_ms;

    on_run_begun = count_failing;
    how_run_ends = fail_first;
    begin(9, false);
    if (submit_job(0, "/p1/", failing_id,
                   "{\"spec\":\"ms=700\",\"phases\":[{\"count\":1,"
                   "\"cpu\":4000,\"mem-mb\":1024,\"gpus\":1,"
                   "\"estimate-ms\":700}]}") != 200) {
        fail_to_run("the job was not accepted");
    }
    sent_ms = now_ms();
    note("job %s is accepted; it is the last request", failing_id);
    sleep_ms(200);
    if (trouble) {
        pthread_create(&thread, NULL, run_rolls, NULL);
    }
    last_ms = now_ms();
    while (!failing_done && now_ms() - sent_ms < 90000) {
        int64_t at_ms = now_ms();

        idle_ms = count_runs() > 0 ? 0 : idle_ms + at_ms - last_ms;
        last_ms = at_ms;
        if (at_ms - sent_ms > FINISH_MS && idle_ms > longest_ms) {
            longest_ms = idle_ms;
        }
        sleep_ms(20);
    }
    if (trouble) {
        pthread_join(thread, NULL);
    }
    note("job %s has begun %d runs and is %s %lld ms after it was accepted; "
         "later than %d ms after the last request it had nothing running for "
         "%lld ms on end, with all workers idle",
         failing_id, failing_starts, failing_done ? "done" : "not done",
         (long long)(now_ms() - sent_ms), FINISH_MS, (long long)longest_ms);
    return longest_ms >= IDLE_MS ? 1 : 0;
}

/*
 * Workers go down and up by turns while they are idle, and a task is sent to
 * the one that is down.
 */

#define FLAP_DOWN_MS 3000
#define FLAP_PERIOD_MS 4000
#define FLAP_COLD_MS 500
#define FLAPPING 2
#define FLAP_WORKERS 16

static const char flapped_id[] = "00000000000000c1";
static volatile int flapped_starts;
static volatile int crashes_under_runs;
static volatile bool flapping;

static void
count_flapped(struct worker *worker, struct run *run)
{
    (void)worker;
    if (strncmp(run->task, flapped_id, strlen(flapped_id)) == 0) {
        flapped_starts++;
    }
}

/* Down for three quarters of the time; the second one half a turn later. */
static void *
run_flap(void *opaque)
{
    struct worker *worker = opaque;
    int64_t next_ms = now_ms() + worker->index * FLAP_PERIOD_MS / FLAPPING;

    while (flapping) {
        sleep_ms(next_ms - now_ms());
        pthread_mutex_lock(&worker->lock);
        crashes_under_runs += worker->run_count > 0;
        crash_worker(worker, FLAP_DOWN_MS, false);
        pthread_mutex_unlock(&worker->lock);
        next_ms += FLAP_PERIOD_MS;
    }
    return NULL;
}

static int
failed_unstarted(void)
{
    pthread_t threads[FLAPPING];
    const char *state = "";
    int64_t until_ms;

    on_run_begun = count_flapped;
    other_kind_count = FLAPPING;
    cold_ms = FLAP_COLD_MS;
    begin(FLAP_WORKERS, false);
    if (trouble) {
        flapping = true;
        for (int i = 0; i < FLAPPING; i++) {
            pthread_create(&threads[i], NULL, run_flap, &workers[i]);
        }
        /* both are down by then */
        sleep_ms(FLAP_PERIOD_MS / FLAPPING + 300);
    }
    if (submit_job(0, "/p1/", flapped_id,
                   "{\"spec\":\"ms=300\",\"phases\":[{\"count\":1,"
                   "\"cpu\":4000,\"mem-mb\":1024,\"gpus\":1,"
                   "\"estimate-ms\":300,\"requirements\":\"b\"}]}") != 200) {
        fail_to_run("the job was not accepted");
    }
    note("job %s is accepted", flapped_id);
    until_ms = now_ms() + 60000;
    while (now_ms() < until_ms) {
        state = read_state(0, "/p1/", flapped_id);
        if (strcmp(state, "failed") == 0 || strcmp(state, "completed") == 0) {
            break;
        }
        sleep_ms(50);
    }
    flapping = false;
    note("job %s is shown as %s; its task was begun %d times and %d workers "
         "crashed under it",
         flapped_id, state, flapped_starts, crashes_under_runs);
    for (int i = 0; trouble && i < FLAPPING; i++) {
        pthread_join(threads[i], NULL);
    }
    return strcmp(state, "failed") == 0 && crashes_under_runs < 2 ? 1 : 0;
}

/*
 * Another writer announces something else at the address of an idle worker,
 * under a service that no configuration has.
 */

#define WAIT_MS 60000

static const char waiting_id[] = "00000000000000b1";
static volatile int waiting_starts;

static void
count_waiting(struct worker *worker, struct run *run)
{
    (void)worker;
    if (strncmp(run->task, waiting_id, strlen(waiting_id)) == 0) {
        waiting_starts++;
    }
}

static int
put_foreign_entry(const struct worker *worker)
{
    char body[512];
    struct answer answer;
    int status;

    snprintf(body, sizeof body,
             "{\"service\":\"another\",\"address\":\"%s\","
             "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":1,"
             "\"state\":\"ready\",\"cold-left-ms\":0,"
             "\"clock-ms\":1000,\"born\":%lld,\"seq\":1}",
             worker->address, worker->zone, (long long)wall_ms());
    answer = call(core_control(0), "PUT", "/mimosawind/instances/another-1",
                  "Host: control\r\n", body, 1000);
    status = answer.status;
    drop_answer(&answer);
    return status;
}

static int
foreign_entry(void)
{
    struct worker *worker = &workers[0];
    const char *state = "";
    int64_t sent_ms;
    uint64_t beats;

    on_run_begun = count_waiting;
    other_kind_count = 1;
    begin(FLAP_WORKERS, false);
    if (trouble) {
        note("another writer announces a service that no configuration has, "
             "at the address of %s: answered %d",
             worker->id, put_foreign_entry(worker));
    }
    sleep_ms(2 * BEAT_MS);
    if (submit_job(0, "/p1/", waiting_id,
                   "{\"spec\":\"ms=300\",\"phases\":[{\"count\":1,"
                   "\"cpu\":4000,\"mem-mb\":1024,\"gpus\":1,"
                   "\"estimate-ms\":300,\"requirements\":\"b\"}]}") != 200) {
        fail_to_run("the job was not accepted");
    }
    sent_ms = now_ms();
    beats = worker->acknowledged_beats;
    note("job %s is accepted; it requires %s, which is idle", waiting_id,
         worker->id);
    while (now_ms() - sent_ms < WAIT_MS) {
        state = read_state(0, "/p1/", waiting_id);
        if (strcmp(state, "completed") == 0) {
            break;
        }
        sleep_ms(100);
    }
    note("job %s is shown as %s %lld ms after it was accepted; its task was "
         "begun %d times; %s has had %llu of its liveness reports "
         "acknowledged meanwhile",
         waiting_id, state, (long long)(now_ms() - sent_ms), waiting_starts,
         worker->id,
         (unsigned long long)(worker->acknowledged_beats - beats));
    return strcmp(state, "completed") != 0 ? 1 : 0;
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        int (*run)(void);
    } all[] = {
        {"crash-dark", crash_dark},
        {"stale-zone-order", stale_zone_order},
        {"late-start-wait", late_start_wait},
        {"failed-unstarted", failed_unstarted},
        {"foreign-entry", foreign_entry},
    };
    trouble = argc == 4 && strcmp(argv[3], "0") != 0;
    for (size_t i = 0; argc == 4 && i < sizeof all / sizeof *all; i++) {
        if (strcmp(argv[1], all[i].name) == 0) {
            int status;

            begin_record(argv[2]);
            note("%s, %s the disruption", argv[1],
                 trouble ? "with" : "without");
            status = all[i].run();
            stop_system();
            note("exit status %d", status);
            return status;
        }
    }
    fprintf(stderr, "usage: cases NAME RECORD TROUBLE\n");
    return 2;
}
