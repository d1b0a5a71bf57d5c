#ifndef MW_CORE_ZONE_IMPL_H
#define MW_CORE_ZONE_IMPL_H

#include <glib.h>

#include "mimosawind/zone.h"

#define MW_FREE_BUCKETS (MW_ACCELERATORS_MAX + 1)
#define MW_RUNTIME_BUCKETS 40
/* after a refusal, a failed reservation or a start intent not recorded */
#define MW_RETRY_DELAY_US 500000

struct mw_job;
struct mw_cell;

/* mw_rack: endpoints that share a switch; sums over the usable ones. */
struct mw_rack {
    struct mw_name name;
    GPtrArray *endpoints;
    uint32_t free_accelerators;
    uint32_t total_accelerators;
};

/* mw_endpoint: an endpoint, what runs on it, and its failures. */
struct mw_endpoint {
    struct mw_name name;
    struct mw_name address;
    struct mw_name relay;
    struct mw_rack *rack;
    uint64_t incarnation;
    struct mw_resources total;
    /* allocated to attempts; the sum of preemptible, nonpreemptible and
     * what is claimed in cells */
    struct mw_resources used;
    struct mw_resources preemptible;
    struct mw_resources nonpreemptible;
    /* all cells on this endpoint, claimed or not */
    struct mw_resources cells;
    int64_t lease_deadline_us;
    bool up;
    bool draining;
    /* repeated failures of last_failed_job count once */
    uint32_t consecutive_failures;
    uint64_t last_failed_job;
    bool quarantined;
    uint64_t probe_job;
    /* holder of the backfill reservation that includes this endpoint */
    struct mw_job *reserved_for;
    /* when all work that runs here is expected to have ended */
    int64_t expected_free_us;
    int64_t probe_deadline_us;
    int64_t quarantine_us;
    /* list in the index of free accelerators; -1 when not in the index */
    int bucket;
    struct mw_endpoint *bucket_prev;
    struct mw_endpoint *bucket_next;
    /* jobs with a part here */
    GPtrArray *jobs;
};

/*
 * mw_part_state: progress of one part of an attempt.
 *
 * planned -> reserving -> reserved -> running -> finished, or to
 * terminated from any of them; stopping until a stop is confirmed.
 */
enum mw_part_state {
    MW_PART_PLANNED = 0,
    MW_PART_RESERVING = 1,
    MW_PART_RESERVED = 2,
    MW_PART_RUNNING = 3,
    MW_PART_FINISHED = 4,
    MW_PART_STOPPING = 5,
    /* does not run, and has no result */
    MW_PART_TERMINATED = 6
};

/* mw_attempt_part: the tasks of an attempt on one endpoint. */
struct mw_attempt_part {
    struct mw_endpoint *endpoint;
    uint32_t tasks;
    enum mw_part_state state;
    /* index into the parts of the claimed cell, if any */
    uint32_t cell_part;
    int64_t query_deadline_us;
    /* when a part on a lost endpoint is given up; 0 when not lost */
    int64_t lost_deadline_us;
    struct mw_blob *output;
};

/* mw_alloc_class: how the resources of an attempt may be taken back. */
enum mw_alloc_class {
    /* by preemption, when a guarantee is claimed; may be inside cells */
    MW_ALLOC_PREEMPTIBLE = 0,
    /* never; always outside cells */
    MW_ALLOC_NONPREEMPTIBLE = 1,
    /* by an urgent job of the same organisation, whose cell it is in */
    MW_ALLOC_CELL = 2
};

/*
 * mw_zone_org: queues and cells of one organisation.
 *
 * usage counts allocated accelerators, weight the guaranteed ones plus 1;
 * their ratio decides which organisation is scheduled next.  blocked: no
 * queued job of that level can be placed in the current pass.
 */
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

/* mw_cell: capacity reserved for one instance of a guarantee. */
struct mw_cell {
    struct mw_zone_org *org;
    const struct mw_guarantee *guarantee;
    bool placed;
    uint32_t part_count;
    struct mw_cell_part *parts;
    /* jobs allocated in the cell */
    GPtrArray *claims;
    /* the urgent job for which lower claims are being preempted */
    const struct mw_job *nominated_job;
};

/* mw_cell_part: the tasks of the guarantee that fit on one endpoint. */
struct mw_cell_part {
    struct mw_endpoint *endpoint;
    uint32_t tasks;
    struct mw_resources claimed;
};

/*
 * mw_job: a job and its latest attempt.
 *
 * epoch and attempt_number name the attempt.  The parts stay after the
 * resources are released, until the next attempt.
 */
struct mw_job {
    uint64_t id;
    struct mw_job_spec spec;
    struct mw_blob *body;
    struct mw_zone_org *org;
    enum mw_job_state state;
    bool recorded;
    bool replayed;
    /* the stop waits until a proposed record is committed */
    bool stop_requested;
    /* the start intent of the latest attempt is committed */
    bool intent_recorded;
    /* some attempt has been started */
    bool ever_started;
    int error;
    enum mw_execution_status ran;
    struct mw_blob *output;
    GArray *waiters;
    int64_t submitted_us;
    /* not scheduled before this time */
    int64_t retry_deadline_us;
    int64_t started_us;
    /* when the latest checkpoint was reported */
    int64_t checkpoint_us;
    /* when the attempt had its resources to itself */
    int64_t placed_us;
    int64_t done_us;
    uint64_t epoch;
    uint32_t attempt_number;
    uint32_t failures;
    /* the attempt whose checkpoint to resume from, 0 for none */
    uint32_t resume_from;
    /* the endpoints of the first failures, avoided by later attempts */
    struct mw_endpoint *failed_on[MW_ATTEMPTS_MAX];
    enum mw_alloc_class alloc_class;
    struct mw_cell *cell;
    uint32_t part_count;
    struct mw_attempt_part *parts;
    /* when the stop commands are sent again */
    int64_t stop_deadline_us;
    /* what happens to the job once every part has stopped */
    int stop_error;
    bool stop_requeues;
    /* the queue it is in: its priority, or higher by aging */
    enum mw_priority queue_level;
    GList queue_link;
    bool in_queue;
    struct mw_name handed_to;
    /* the other zone has not answered yet */
    bool handover_pending;
    /* holds resources at the endpoints of its parts */
    bool allocated;
    /* its result record is committed */
    bool result_recorded;
    /* the log has refused its record, which is proposed again */
    bool result_refused;
    /* index into zone->active, -1 when not in it */
    int active_index;
    int64_t deliver_deadline_us;
    /* reference of the latest delivery */
    uint64_t deliver_ref;
};

/*
 * mw_runtime_histogram: run times of one organisation and class.
 *
 * bucket[i] counts run times from 2^i up to 2^(i+1) microseconds.
 */
struct mw_runtime_histogram {
    struct mw_job_key key;
    uint32_t count;
    uint32_t bucket[MW_RUNTIME_BUCKETS];
};

struct mw_zone {
    struct mw_name name;
    struct mw_zone_output output;
    struct mw_zone_counters counters;
    enum mw_lead_scope lead_scope;
    bool leading;
    bool draining;
    uint64_t epoch;
    bool out_of_service;
    /* of the latest zone state record */
    uint64_t out_sequence;
    struct mw_name out_operator;
    /* 0 until the zone has returned to service for the first time */
    int64_t in_service_since_us;
    /* tries to start a job since then */
    uint32_t slow_start_count;
    struct mw_document *document;
    struct mw_name document_operator;

    GHashTable *endpoints;
    GPtrArray *endpoint_list;
    GPtrArray *racks;
    /* endpoints by number of free accelerators */
    struct mw_endpoint *bucket[MW_FREE_BUCKETS];
    uint32_t live_endpoints;
    uint32_t quarantined;
    /* maximum of each resource over all endpoints ever announced */
    struct mw_resources largest;

    GHashTable *orgs;
    GPtrArray *org_list;
    GPtrArray *cells;

    GHashTable *jobs;
    GHashTable *jobs_by_key;
    uint64_t next_job;
    uint32_t queued;
    /* jobs in state MW_JOB_RECLAIMING */
    GPtrArray *reclaiming;
    /* jobs with an attempt, whose deadlines mw_active_tick checks */
    GPtrArray *active;
    GHashTable *runtime_histograms;
    /* the one gang that has a backfill reservation; NULL for none */
    struct mw_job *reservation_holder;
    /* something has changed that may let a queued job start */
    bool pass_needed;
    bool cell_plan_needed;
    int64_t tick_deadline_us;
    int64_t forget_deadline_us;
};

/* mw_placement: endpoints found for a shape, before they are allocated. */
struct mw_placement {
    uint32_t count;
    struct mw_attempt_part parts[MW_TASKS_MAX];
};

/* mw_capacity: which resources of an endpoint count as available. */
enum mw_capacity {
    /* not allocated */
    MW_CAPACITY_FREE = 0,
    /* not allocated, and outside every cell */
    MW_CAPACITY_FREE_OUTSIDE_CELLS = 1,
    /* outside every cell and not used by non-preemptible work; preemptible
     * work may be using it */
    MW_CAPACITY_OUTSIDE_CELLS = 2
};

/* endpoints and the index of free accelerators */

/* mw_endpoint_free: resources that are not allocated. */
struct mw_resources mw_endpoint_free(const struct mw_endpoint *e);
struct mw_resources mw_endpoint_capacity(const struct mw_endpoint *e,
                                         enum mw_capacity capacity);

/* mw_endpoint_usable: up and not draining; may be quarantined. */
bool mw_endpoint_usable(const struct mw_endpoint *e);

/* mw_index_endpoint: updates the index and the sums of the rack. */
void mw_index_endpoint(struct mw_zone *zone, struct mw_endpoint *e);

/* mw_expire_endpoints: takes down endpoints whose lease has expired. */
void mw_expire_endpoints(struct mw_context *ctx, struct mw_zone *zone,
                         int64_t now_us);

/* mw_count_endpoint_failure: may quarantine the endpoint. */
void mw_count_endpoint_failure(struct mw_context *ctx, struct mw_zone *zone,
                               int64_t now_us, struct mw_endpoint *e,
                               const struct mw_job *job);

/* mw_count_job_failure: counts for the job and for the endpoint. */
void mw_count_job_failure(struct mw_context *ctx, struct mw_zone *zone,
                          int64_t now_us, struct mw_endpoint *e,
                          struct mw_job *job);

/* mw_note_endpoint_success: clears its failures, ends its quarantine. */
void mw_note_endpoint_success(struct mw_context *ctx, struct mw_zone *zone,
                              struct mw_endpoint *e);

/* mw_discount_endpoint_failures: the job is at fault, not the endpoints. */
void mw_discount_endpoint_failures(struct mw_zone *zone, struct mw_job *job);

/* mw_probe_allowed: false if e is quarantined and job can't probe it now. */
bool mw_probe_allowed(const struct mw_endpoint *e, const struct mw_job *job,
                      int64_t now_us);

/* placement: finding endpoints for a shape */

/* mw_find_placement: job is NULL for the placement of a cell. */
bool mw_find_placement(struct mw_zone *zone, int64_t now_us,
                       const struct mw_shape *shape, enum mw_capacity capacity,
                       const struct mw_job *job,
                       struct mw_placement *placement);
bool mw_has_failed_on(const struct mw_job *job, const struct mw_endpoint *e);

/* mw_shape_possible: whether the zone could hold the shape when empty. */
bool mw_shape_possible(const struct mw_zone *zone,
                       const struct mw_shape *shape);

/* cells */

/* mw_plan_cells: places cells that have no valid placement. */
void mw_plan_cells(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us);

/* mw_remove_cells: removes all cells; jobs in them keep running. */
void mw_remove_cells(struct mw_zone *zone);

/* mw_unplace_cell, mw_place_cell: clear or set a cell's endpoints. */
void mw_unplace_cell(struct mw_zone *zone, struct mw_cell *cell);
void mw_place_cell(struct mw_zone *zone, struct mw_cell *cell,
                   const struct mw_placement *placement);

/* mw_build_cells: replaces all cells by those of the document. */
void mw_build_cells(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us);
void mw_init_cells(struct mw_zone *zone);

/* mw_claim_cells_for_running: jobs outside cells claim one if possible. */
void mw_claim_cells_for_running(struct mw_zone *zone);

/* mw_is_nominated: whether a cell is kept for the job during preemption. */
bool mw_is_nominated(const struct mw_job *job);
void mw_clear_nominations(struct mw_job *job);

/* mw_place_cell_at_job: places a matching cell where the job already is. */
void mw_place_cell_at_job(struct mw_zone *zone, struct mw_job *job);

/* mw_claim_cell: allocates the job in a cell, by preemption if allowed. */
bool mw_claim_cell(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_job *job, bool preempt);

/* mw_cell_unclaimed: what is left of one part of a cell. */
struct mw_resources mw_cell_unclaimed(const struct mw_cell *cell,
                                      uint32_t part);

/* allocation and preemption */

void mw_allocate_placement(struct mw_zone *zone, struct mw_job *job,
                           const struct mw_placement *placement,
                           enum mw_alloc_class alloc_class,
                           struct mw_cell *cell);
void mw_release_allocation(struct mw_zone *zone, struct mw_job *job);
void mw_clear_part_outputs(struct mw_job *job);

/* mw_preemption_is_done: none of the job's endpoints is overcommitted. */
bool mw_preemption_is_done(const struct mw_job *job);

/* mw_preempt_for: stops the cheapest victims on the job's endpoints. */
void mw_preempt_for(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us, struct mw_job *job);

/* mw_lost_work: accelerator-microseconds lost if the job stops now. */
int64_t mw_lost_work(const struct mw_job *job, int64_t now_us);

/* queues */

/* mw_queue_job: first puts it at the head of its queue. */
void mw_queue_job(struct mw_zone *zone, struct mw_job *job, bool first);
void mw_unqueue_job(struct mw_zone *zone, struct mw_job *job);

/* mw_schedule: one scheduling pass, if one is needed. */
void mw_schedule(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us);

/* mw_try_job: places and starts one job outside of a pass. */
bool mw_try_job(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                struct mw_job *job);

/* mw_find_or_add_org: finds the organisation or adds it. */
struct mw_zone_org *mw_find_or_add_org(struct mw_zone *zone,
                                       const struct mw_name *name);

/* attempts */

/* mw_begin_attempt: begins an attempt on the allocated placement. */
void mw_begin_attempt(struct mw_context *ctx, struct mw_zone *zone,
                      int64_t now_us, struct mw_job *job);

/* mw_start_gang: sends the start commands. */
void mw_start_gang(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_job *job);

/* mw_stop_job: stops all parts, then requeues the job or ends it. */
void mw_stop_job(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                 struct mw_job *job, int error, bool requeue);

/* mw_check_stopped: requeues or ends the job if no part is left. */
void mw_check_stopped(struct mw_context *ctx, struct mw_zone *zone,
                      int64_t now_us, struct mw_job *job);

/* mw_lose_part: permanent: it can't come back with a result. */
void mw_lose_part(struct mw_context *ctx, struct mw_zone *zone, int64_t now_us,
                  struct mw_job *job, struct mw_attempt_part *part,
                  bool permanent);
void mw_send_command(struct mw_zone *zone, struct mw_job *job,
                     struct mw_attempt_part *part,
                     enum mw_endpoint_command_kind kind);
/* mw_intent_record: the start intent of the job's latest attempt. */
struct mw_record *mw_intent_record(const struct mw_zone *zone,
                                   const struct mw_job *job);

/* mw_resume_reclaiming: continues jobs whose preemption is done. */
void mw_resume_reclaiming(struct mw_context *ctx, struct mw_zone *zone,
                          int64_t now_us);
void mw_active_tick(struct mw_context *ctx, struct mw_zone *zone,
                    int64_t now_us);
struct mw_attempt_part *mw_find_part_on(struct mw_job *job,
                                        const struct mw_endpoint *e);

/* mw_part_is_live: being reserved, reserved or running. */
bool mw_part_is_live(const struct mw_attempt_part *part);
unsigned mw_count_parts(const struct mw_job *job, enum mw_part_state state);
/*
 * mw_proceed_to_start: every part has its resources.
 *
 * Records the start intent, or starts an unrecorded job.
 */
void mw_proceed_to_start(struct mw_context *ctx, struct mw_zone *zone,
                         int64_t now_us, struct mw_job *job);
/* mw_complete_gang: every part has finished; the job has run. */
void mw_complete_gang(struct mw_context *ctx, struct mw_zone *zone,
                      int64_t now_us, struct mw_job *job);
/* mw_abort_gang: one part is lost; stops the others. */
void mw_abort_gang(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_job *job, int error,
                   bool requeue);
void mw_set_active(struct mw_zone *zone, struct mw_job *job, bool active);

/* mw_adopt_jobs: a new leader takes over the jobs known from records. */
void mw_adopt_jobs(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us);

/* mw_intent_applied: the leader's own start intent is committed. */
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

/* mw_finish_job: ends a job; proposes the result if it is recorded. */
void mw_finish_job(struct mw_context *ctx, struct mw_zone *zone,
                   int64_t now_us, struct mw_job *job, int error,
                   enum mw_execution_status ran);

/* mw_set_job_result: sets the result and answers all waiters. */
void mw_set_job_result(struct mw_zone *zone, int64_t now_us,
                       struct mw_job *job, int error,
                       enum mw_execution_status ran, struct mw_blob *output);
/* mw_record_refused_results: proposes again what the log has refused. */
void mw_record_refused_results(struct mw_zone *zone);
void mw_answer_waiters(struct mw_zone *zone, struct mw_job *job);
void mw_answer_waiter(struct mw_zone *zone, const struct mw_waiter *waiter,
                      const struct mw_job *job, int error,
                      enum mw_execution_status ran, struct mw_str detail);
void mw_free_job(void *job);

/* mw_all_jobs: a new array of every job, to iterate while jobs change. */
GPtrArray *mw_all_jobs(const struct mw_zone *zone);

/* run times */

void mw_add_runtime_sample(struct mw_zone *zone, const struct mw_job *job,
                           int64_t runtime_us);

/* mw_expected_remaining: expected time until the job ends. */
int64_t mw_expected_remaining(const struct mw_zone *zone,
                              const struct mw_job *job, int64_t now_us);

/* backfill reservation: endpoints set aside for a large waiting gang */

void mw_set_backfill_reservation(struct mw_zone *zone, int64_t now_us,
                                 struct mw_job *job);

/* mw_find_reserved_placement: on the endpoints of its reservation. */
bool mw_find_reserved_placement(struct mw_zone *zone, const struct mw_job *job,
                                struct mw_placement *placement);
void mw_clear_backfill_reservation(struct mw_zone *zone,
                                   const struct mw_job *job);

/* mw_backfill_allowed: whether job may use e despite a reservation. */
bool mw_backfill_allowed(const struct mw_zone *zone,
                         const struct mw_endpoint *e, const struct mw_job *job,
                         int64_t now_us);

/* out of service: handover to other zones, slow start on return */

void mw_set_out_of_service(struct mw_context *ctx, struct mw_zone *zone,
                           int64_t now_us, bool out);

/* mw_handover_tick: hands over, balances load, delivers. */
void mw_handover_tick(struct mw_context *ctx, struct mw_zone *zone,
                      int64_t now_us);

/* mw_take_back_job: proposes that the job is this zone's again. */
void mw_take_back_job(struct mw_zone *zone, const struct mw_job *job,
                      uint32_t hops);

/* mw_slow_start_admits: counts one try if it returns true. */
bool mw_slow_start_admits(struct mw_zone *zone, int64_t now_us);

#endif
