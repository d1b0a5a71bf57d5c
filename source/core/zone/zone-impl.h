#ifndef MW_CORE_ZONE_IMPL_H
#define MW_CORE_ZONE_IMPL_H

#include <glib.h>

#include "mimosawind/zone.h"

#define MW_FREE_BUCKETS (MW_ACCELERATORS_MAX + 1)
#define MW_RUNTIME_BUCKETS 40
#define MW_RETRY_DELAY_US 500000

struct mw_job;
struct mw_cell;

/* mw_rack: endpoints that share a switch. */
struct mw_rack {
    struct mw_name name;
    GPtrArray *endpoints;
    uint32_t free_accelerators;
    uint32_t total_accelerators;
};

struct mw_endpoint {
    struct mw_name name;
    struct mw_name address;
    struct mw_name via;
    struct mw_rack *rack;
    uint64_t incarnation;
    struct mw_amount total;
    /* held by attempts: soft + firm outside cells + claimed in cells */
    struct mw_amount used;
    struct mw_amount preemptible;
    struct mw_amount nonpreemptible;
    /* all cells here, claimed or not */
    struct mw_amount cells;
    int64_t lease_deadline_us;
    bool up;
    bool draining;
    /* failures in a row, each of another job */
    uint32_t consecutive_failures;
    uint64_t last_failed_job;
    bool quarantined;
    uint64_t probe_job;
    /* the waiting gang that this endpoint is kept for; NULL for none */
    struct mw_job *reserved_for;
    /* when the work that runs here is expected to have ended */
    int64_t expected_free_us;
    int64_t probe_deadline_us;
    int64_t quarantine_us;
    /* place in the index of free accelerators; -1 when not in it */
    int bucket;
    struct mw_endpoint *bucket_prev;
    struct mw_endpoint *bucket_next;
    GPtrArray *jobs;
};

enum mw_part_state {
    MW_PART_PLANNED = 0,
    MW_PART_RESERVING = 1,
    MW_PART_RESERVED = 2,
    MW_PART_RUNNING = 3,
    MW_PART_FINISHED = 4,
    MW_PART_STOPPING = 5,
    MW_PART_TERMINATED = 6
};

/* mw_place: tasks of one attempt on one endpoint. */
struct mw_attempt_part {
    struct mw_endpoint *endpoint;
    uint32_t tasks;
    enum mw_part_state state;
    /* index of the part in the cell, when the job claims one */
    uint32_t cell_part;
    int64_t query_deadline_us;
    int64_t lost_deadline_us;
    struct mw_blob *output;
};

enum mw_alloc_class {
    /* free accelerators, to be left when a guarantee is claimed */
    MW_ALLOC_PREEMPTIBLE = 0,
    /* beyond every guarantee, never to be stopped */
    MW_ALLOC_NONPREEMPTIBLE = 1,
    /* inside a guaranteed shape of its organisation */
    MW_ALLOC_CELL = 2
};

/* mw_zone_org: an organisation as the scheduler sees it. */
struct mw_zone_org {
    struct mw_name name;
    GQueue queue[MW_PRIORITIES];
    uint32_t queued;
    uint32_t queued_max;
    uint32_t weight;
    uint64_t usage;
    GPtrArray *cells;
    bool blocked[MW_PRIORITIES];
};

/* mw_cell: the place kept for one guaranteed shape. */
struct mw_cell {
    struct mw_zone_org *org;
    const struct mw_guarantee *guarantee;
    bool placed;
    uint32_t part_count;
    struct mw_cell_part *parts;
    GPtrArray *claims;
    /* the urgent job for which lower claims are leaving; NULL for none */
    const struct mw_job *nominated_job;
};

struct mw_cell_part {
    struct mw_endpoint *endpoint;
    uint32_t tasks;
    struct mw_amount claimed;
};

struct mw_job {
    uint64_t id;
    struct mw_job_spec spec;
    struct mw_blob *body;
    struct mw_zone_org *org;
    enum mw_job_state state;
    bool recorded;
    bool replayed;
    bool stop_requested;
    bool intent_recorded;
    /* an attempt has been started, now or before */
    bool ever_started;
    int error;
    enum mw_ran ran;
    struct mw_blob *output;
    GArray *waiters;
    int64_t submitted_us;
    /* not tried again before */
    int64_t retry_deadline_us;
    int64_t started_us;
    int64_t checkpoint_us;
    int64_t placed_us;
    int64_t done_us;
    uint64_t epoch;
    uint32_t attempt_number;
    uint32_t failures;
    uint32_t resume_from;
    struct mw_endpoint *failed_on[MW_ATTEMPTS_MAX];
    enum mw_alloc_class alloc_class;
    struct mw_cell *cell;
    uint32_t part_count;
    struct mw_attempt_part *parts;
    int64_t stop_deadline_us;
    /* what becomes of it once every part has stopped */
    int stop_error;
    bool stop_requeues;
    enum mw_priority queue_level;
    GList queue_link;
    bool in_queue;
    struct mw_name handed_to;
    bool handover_pending;
    bool allocated;
    bool result_recorded;
    int active_index;
    int64_t deliver_deadline_us;
    uint64_t deliver_ref;
};

/* mw_runtime_histogram: learnt distribution of run times of one class. */
struct mw_runtime_histogram {
    struct mw_job_key key;
    uint32_t count;
    uint32_t bucket[MW_RUNTIME_BUCKETS];
};

struct mw_zone {
    struct mw_name name;
    struct mw_zone_output output;
    struct mw_zone_counters counters;
    enum mw_lead lead_scope;
    bool leading;
    bool draining;
    uint64_t epoch;
    bool out_of_service;
    uint64_t out_sequence;
    struct mw_name out_operator;
    int64_t in_service_since_us;
    uint32_t slow_start_count;
    struct mw_document *document;
    struct mw_name document_operator;

    GHashTable *endpoints;
    GPtrArray *endpoint_list;
    GPtrArray *racks;
    struct mw_endpoint *bucket[MW_FREE_BUCKETS];
    uint32_t live_endpoints;
    uint32_t quarantined;
    struct mw_amount largest;

    GHashTable *orgs;
    GPtrArray *org_list;
    GPtrArray *cells;

    GHashTable *jobs;
    GHashTable *jobs_by_key;
    uint64_t next_job;
    uint32_t queued;
    GPtrArray *reclaiming;
    /* running, stopping or asking: what deadlines are looked at */
    GPtrArray *active;
    GHashTable *runtime_histograms;
    struct mw_job *reservation_holder;
    bool pass_needed;
    bool cell_plan_needed;
    int64_t tick_deadline_us;
    int64_t forget_deadline_us;
};

/* A place found for a shape, before it is taken. */
struct mw_placement {
    uint32_t count;
    struct mw_attempt_part parts[MW_TASKS_MAX];
};

enum mw_capacity {
    /* accelerators that nothing holds */
    MW_CAPACITY_FREE = 0,
    /* free, and outside every cell */
    MW_CAPACITY_FREE_OUTSIDE_CELLS = 1,
    /* outside every cell, whether or not stoppable work is there */
    MW_CAPACITY_OUTSIDE_CELLS = 2
};

/* endpoints and their index */
struct mw_amount mw_endpoint_free(const struct mw_endpoint *e);
struct mw_amount mw_endpoint_capacity(const struct mw_endpoint *e,
                                      enum mw_capacity capacity);
bool mw_endpoint_usable(const struct mw_endpoint *e);
void mw_index_endpoint(struct mw_zone *zone, struct mw_endpoint *e);
void mw_expire_endpoints(struct mw_context *ctx, struct mw_zone *zone,
                         int64_t now_us);
void mw_count_endpoint_failure(struct mw_context *ctx, struct mw_zone *zone,
                               int64_t now_us, struct mw_endpoint *e,
                               const struct mw_job *job);
void mw_count_job_failure(struct mw_context *ctx, struct mw_zone *zone,
                          int64_t now_us, struct mw_endpoint *e,
                          struct mw_job *job);
void mw_note_endpoint_success(struct mw_context *ctx, struct mw_zone *zone,
                              struct mw_endpoint *e);
void mw_discount_endpoint_failures(struct mw_zone *zone, struct mw_job *job);
bool mw_probe_allows(const struct mw_endpoint *e, const struct mw_job *job,
                     int64_t now_us);

/* finding a place */
bool mw_find_placement(struct mw_zone *zone, int64_t now_us,
                       const struct mw_shape *shape, enum mw_capacity capacity,
                       const struct mw_job *job,
                       struct mw_placement *placement);
bool mw_has_failed_on(const struct mw_job *job, const struct mw_endpoint *e);
bool mw_shape_possible(const struct mw_zone *zone,
                       const struct mw_shape *shape);

/* guaranteed shapes */
void mw_plan_cells(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us);
void mw_remove_cells(struct mw_zone *zone);
void mw_unplace_cell(struct mw_zone *zone, struct mw_cell *cell);
void mw_place_cell(struct mw_zone *zone, struct mw_cell *cell,
                   const struct mw_placement *placement);
void mw_build_cells(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us);
void mw_init_cells(struct mw_zone *zone);
void mw_claim_cells_for_running(struct mw_zone *zone);
bool mw_is_nominated(const struct mw_job *job);
void mw_clear_nominations(struct mw_job *job);
void mw_place_cell_at_job(struct mw_zone *zone, struct mw_job *job);
bool mw_claim_cell(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_job *job, bool preempt);
struct mw_amount mw_cell_unclaimed(const struct mw_cell *cell, uint32_t part);

/* taking and giving back a place */
void mw_allocate_placement(struct mw_zone *zone, struct mw_job *job,
                           const struct mw_placement *placement,
                           enum mw_alloc_class alloc_class,
                           struct mw_cell *cell);
void mw_release_allocation(struct mw_zone *zone, struct mw_job *job);
void mw_clear_part_outputs(struct mw_job *job);
bool mw_preemption_is_done(const struct mw_job *job);
void mw_preempt_for(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us, struct mw_job *job);
int64_t mw_lost_work(const struct mw_job *job, int64_t now_us);

/* queues */
void mw_queue_job(struct mw_zone *zone, struct mw_job *job, bool first);
void mw_unqueue_job(struct mw_zone *zone, struct mw_job *job);
void mw_schedule(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us);
bool mw_try_job(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                struct mw_job *job);
struct mw_zone_org *mw_get_org(struct mw_zone *zone,
                               const struct mw_name *name);

/* attempts */
void mw_begin_attempt(struct mw_context *ctx, struct mw_zone *zone,
                      int64_t now_us, struct mw_job *job);
void mw_start_gang(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_job *job);
void mw_stop_job(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                 struct mw_job *job, int error, bool requeue);
void mw_check_stopped(struct mw_context *ctx, struct mw_zone *zone,
                      int64_t now_us, struct mw_job *job);
void mw_lose_part(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                  struct mw_job *job, struct mw_attempt_part *part,
                  bool for_good);
void mw_send_command(struct mw_zone *zone, struct mw_job *job,
                     struct mw_attempt_part *part, enum mw_order_kind kind);
/* mw_intent_record: where the attempt under way of a job is to run. */
struct mw_record *mw_intent_record(const struct mw_zone *zone,
                                   const struct mw_job *job);
void mw_resume_reclaiming(struct mw_context *ctx, struct mw_zone *zone,
                          int64_t now_us);
void mw_active_tick(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us);
struct mw_attempt_part *mw_find_part_on(struct mw_job *job,
                                        const struct mw_endpoint *e);

bool mw_part_is_live(const struct mw_attempt_part *part);
unsigned mw_count_parts(const struct mw_job *job, enum mw_part_state state);
/* mw_proceed_to_start: every part has its place; record the intent, or start.
 */
void mw_proceed_to_start(struct mw_context *ctx, struct mw_zone *zone,
                         int64_t now_us, struct mw_job *job);
/* mw_complete_gang: every part has ended; the job has run. */
void mw_complete_gang(struct mw_context *ctx, struct mw_zone *zone,
                      int64_t now_us, struct mw_job *job);
/* mw_abort_gang: one part is lost; stop the rest. */
void mw_abort_gang(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_job *job, int error,
                   bool requeue);
void mw_set_active(struct mw_zone *zone, struct mw_job *job, bool active);
void mw_adopt_jobs(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us);
void mw_intent_applied(struct mw_context *ctx, struct mw_zone *zone,
                       int64_t now_us, struct mw_job *job);

/* jobs */
void mw_accept_applied(struct mw_context *ctx, struct mw_zone *zone,
                       int64_t now_us, const struct mw_record_accept *accept);
void mw_result_applied(struct mw_zone *zone, int64_t now_us,
                       struct mw_job *job,
                       const struct mw_record_result *result);
struct mw_job *mw_add_job(struct mw_zone *zone, uint64_t id,
                          const struct mw_job_spec *spec, struct mw_blob *body,
                          int64_t now_us);
void mw_remove_job(struct mw_zone *zone, struct mw_job *job);
void mw_finish_job(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_job *job, int error,
                   enum mw_ran ran);
void mw_set_job_result(struct mw_zone *zone, int64_t now_us,
                       struct mw_job *job, int error, enum mw_ran ran,
                       struct mw_blob *output);
void mw_answer_waiters(struct mw_zone *zone, struct mw_job *job);
void mw_answer_one(struct mw_zone *zone, const struct mw_waiter *waiter,
                   const struct mw_job *job, int error, enum mw_ran ran,
                   struct mw_str detail);
void mw_free_job(void *job);

/* mw_all_jobs: a new array of every job, for changes while walking. */
GPtrArray *mw_all_jobs(const struct mw_zone *zone);

/* run times learnt */
void mw_add_runtime_sample(struct mw_zone *zone, const struct mw_job *job,
                           int64_t runtime_us);
int64_t mw_expected_remaining(const struct mw_zone *zone,
                              const struct mw_job *job, int64_t now_us);

/* keeping endpoints for a large gang that waits */
void mw_set_backfill_reservation(struct mw_zone *zone, int64_t now_us,
                                 struct mw_job *job);
bool mw_find_reserved_placement(struct mw_zone *zone, const struct mw_job *job,
                                struct mw_placement *placement);
void mw_clear_backfill_reservation(struct mw_zone *zone,
                                   const struct mw_job *job);
bool mw_backfill_allowed(const struct mw_zone *zone,
                         const struct mw_endpoint *e, const struct mw_job *job,
                         int64_t now_us);

/* out of service and back */
void mw_set_out_of_service(struct mw_context *ctx, struct mw_zone *zone,
                           int64_t now_us, bool out);
void mw_handover_tick(struct mw_context *ctx, struct mw_zone *zone,
                      int64_t now_us);
void mw_take_back_job(struct mw_zone *zone, const struct mw_job *job,
                      uint32_t hops);
bool mw_slow_start_allows(struct mw_zone *zone, int64_t now_us);

#endif
