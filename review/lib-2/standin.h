#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * standin: what the scripts of the second review start beside the programs:
 * workers, requesters, an operator, and a proxy on the links between the core
 * processes.  All addresses are loopback addresses.
 */

#define CORES 3
#define EDGES 2
#define WORKERS_MAX 16
#define RUNS_MAX 64
#define ENDS_MAX 256

/* bounds of the pages, in milliseconds */
#define BEAT_MS 1500
#define HOLD_MAX_MS 10000
#define EVACUATION_MS 5000
#define CONTACT_MS 3000

int64_t now_ms(void);
/* since 1970 */
int64_t wall_ms(void);
void sleep_ms(int64_t ms);
/* a line of record.txt, with the time since the script began */
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Responses: status 0 for none. */
struct answer {
    int status;
    char *body;
};
struct answer call(const char *address, const char *method, const char *path,
                   const char *headers, const char *body, int timeout_ms);
void drop_answer(struct answer *answer);

/* The programs. */
struct program {
    bool core;
    int index;
    char ip[24];
    int link_port;
    char folder[256];
    pid_t pid;
    bool started_before;
};
extern struct program cores[CORES];
extern struct program edges[EDGES];
extern int control_port;
extern int frontend_port;
/* separate_links: a proxy stands on each link between core processes */
void start_system(bool separate_links);
void start_program(struct program *program);
void kill_program(struct program *program, int number);
/* SIGTERM, and after its end a start; SIGKILL after the grace time */
void restart_program(struct program *program, int64_t delay_ms);
void stop_system(void);
/* index of the core that last said that it leads; -1 for none */
int find_leader(void);
const char *core_control(int index);
const char *edge_frontend(int index);
/* holds all bytes on the link between two core processes */
void hold_link(int a, int b, bool hold);
bool wait_edges_ready(int timeout_ms);

/* Workers. */
struct run {
    char task[64];
    uint32_t attempt;
    char checkpoint[32];
    char spec[64];
    int64_t begun_ms;
    int64_t work_ms;
};
struct end {
    uint64_t number;
    char task[64];
    uint32_t attempt;
    char how[12];
    char checkpoint[32];
};
struct ended_task {
    char task[64];
    uint32_t attempt;
};
struct worker {
    int index;
    char id[24];
    char zone[8];
    char rack[8];
    char address[40];
    int listener;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    /* of this life */
    uint32_t life;
    int64_t born_ms;
    int64_t clock_base_ms;
    uint64_t seq;
    uint64_t fence;
    int64_t lease_ms;
    struct run runs[RUNS_MAX];
    int run_count;
    struct end ends[ENDS_MAX];
    int end_count;
    uint64_t next_end;
    struct ended_task ended[ENDS_MAX];
    int ended_count;
    char kind[4];
    /* answers nothing; its connections hang, or are refused */
    bool dark;
    bool refuses;
    int64_t dark_until_ms;
    /* slow after its start, as it says in cold-left-ms */
    int64_t cold_until_ms;
    char beat_address[40];
    uint64_t acknowledged_beats;
};
extern struct worker workers[WORKERS_MAX];
extern int worker_count;
/* the first workers, of kind b in place of a; set before they start */
extern int other_kind_count;
/* how long workers that come back are cold; 0 for not at all */
extern int64_t cold_ms;
/* called with the worker locked when it has begun a run */
extern void (*on_run_begun)(struct worker *worker, struct run *run);
/* called with the worker locked when a run has worked for its time */
extern const char *(*how_run_ends)(struct worker *worker,
                                   const struct run *run);
void start_workers(int count);
/*
 * The worker is down for a while and comes back as a new life.  Of a dark one
 * the whole machine is down, and connections to it hang; else its process has
 * ended, and they are refused.  Called with the worker locked.
 */
void crash_worker(struct worker *worker, int64_t for_ms, bool dark);

/* Requests. */
void put_config(int version);
int submit_job(int edge, const char *prefix, const char *id, const char *plan);
/* state of the job, "" without a 200; static buffer */
const char *read_state(int edge, const char *prefix, const char *id);

void begin_record(const char *path);

#endif
