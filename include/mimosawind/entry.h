#ifndef MIMOSAWIND_ENTRY_H
#define MIMOSAWIND_ENTRY_H

#include "mimosawind/message.h"

/*
 * entry: the state machine of an entry process.
 *
 * An entry process accepts the requests of clients and operators and
 * forwards them to control processes.  It keeps pending requests in memory
 * and stores nothing.  It finds the owner of each request, resends the
 * request under the same identifier when a process or connection fails, and
 * replies to each request exactly once, by its deadline.
 *
 * ROUTING
 *   The submission of a recorded job, a query or a cancellation goes to the
 *   zone that owns the identifier, or to the zone that the owner names after
 *   a handover.  The submission of an unrecorded job goes to the own zone,
 *   or to another one while the own zone is out of service, has no leader or
 *   is overloaded.  Retries of unrecorded jobs are limited by a budget.
 */

#define MW_ENTRY_PENDING_MAX 65536
#define MW_DEFAULT_DEADLINE_US 30000000
#define MW_DEADLINE_MAX_US 3600000000
#define MW_RESEND_INTERVAL_US 1000000
/* retry budget: one retry for each ten submissions, up to 100 saved up */
#define MW_RETRY_BUDGET_PERCENT 10
#define MW_RETRY_BUDGET_BURST 100

/* mw_reply: the reply to a client or an operator. */
struct mw_reply {
    int error;
    enum mw_execution_status ran;
    enum mw_job_state state;
    struct mw_job_key key;
    uint64_t job;
    uint64_t version;
    struct mw_name zone;
    struct mw_blob *output;
    struct mw_str detail;
    bool is_change;
};

/*
 * mw_entry_output: callbacks to the owner of the state machine.
 *
 * handle is the number that the owner passed in with the request.
 */
struct mw_entry_output {
    void *opaque;
    void (*send)(void *opaque, const struct mw_name *to, struct mw_msg *msg);
    void (*send_all)(void *opaque, enum mw_process_role role,
                     struct mw_msg *msg);
    void (*reply)(void *opaque, uint64_t handle, const struct mw_reply *reply);
    /* call: send a command to its endpoint, then call mw_entry_command_done */
    void (*execute_command)(void *opaque, const struct mw_name *control,
                            const struct mw_endpoint_command *order);
};

struct mw_entry_setup {
    struct mw_name name;
    struct mw_name zone;
    /* of its requests; see message.h */
    uint64_t first_ref;
    struct mw_entry_output output;
};

struct mw_entry_counters {
    uint64_t requests;
    uint64_t replies;
    uint64_t refused;
    uint64_t denied;
    uint64_t resends;
    uint64_t retries;
    uint64_t retries_denied;
    uint64_t late_answers;
    uint64_t announces;
    uint64_t orders;
    uint64_t stale_orders;
    uint64_t deadline;
};

struct mw_entry;

struct mw_entry *mw_new_entry(const struct mw_entry_setup *setup);
void mw_drop_entry(struct mw_entry *entry);

/*
 * mw_entry_submit, mw_entry_query: handle a request of a client.
 *
 * token_hash is the SHA-256 digest of the client's token, empty for none.
 * Each call leads to exactly one reply for the handle.
 */
void mw_entry_submit(struct mw_context *ctx, struct mw_entry *entry,
                     int64_t now_us, uint64_t handle, struct mw_str token_hash,
                     const struct mw_job_spec *spec, struct mw_blob *body);
void mw_entry_query(struct mw_context *ctx, struct mw_entry *entry,
                    int64_t now_us, uint64_t handle, struct mw_str token_hash,
                    const struct mw_job_key *key, bool cancel, bool until_done,
                    int64_t deadline_us);

/* mw_entry_change: handle a change request; takes its own reference. */
void mw_entry_change(struct mw_context *ctx, struct mw_entry *entry,
                     int64_t now_us, uint64_t handle,
                     const struct mw_change *change);

/* mw_entry_client_closed: the client closed its connection; there is no reply.
 */
void mw_entry_client_closed(struct mw_entry *entry, uint64_t handle);

/*
 * mw_entry_announce: forward an endpoint's announcement to the zone.
 *
 * Returns 0, or MW_ERR_UNREACHABLE if no leader of the zone is reachable, so
 * that the endpoint does not consider its lease renewed.
 */
int mw_entry_announce(struct mw_context *ctx, struct mw_entry *entry,
                      int64_t now_us, const struct mw_announcement *announce);

/* mw_entry_get_epoch: the highest known epoch of the own zone's scheduler. */
uint64_t mw_entry_get_epoch(const struct mw_entry *entry);

/* mw_entry_command_done: report the outcome of a command. */
void mw_entry_command_done(struct mw_entry *entry,
                           const struct mw_name *control,
                           const struct mw_report *report);

/* mw_entry_receive: handle a message from a connected control process. */
void mw_entry_receive(struct mw_context *ctx, struct mw_entry *entry,
                      int64_t now_us, const struct mw_name *from,
                      struct mw_msg *msg);

/* mw_entry_disconnected: the connection to a process was closed. */
void mw_entry_disconnected(struct mw_context *ctx, struct mw_entry *entry,
                           int64_t now_us, const struct mw_name *process);

void mw_entry_tick(struct mw_context *ctx, struct mw_entry *entry,
                   int64_t now_us);
int64_t mw_entry_deadline(const struct mw_entry *entry);

/*
 * mw_entry_leave: graceful shutdown: refuse new requests.
 *
 * mw_entry_pending_count is the number of requests that are still pending.
 */
void mw_entry_leave(struct mw_entry *entry);
uint32_t mw_entry_pending_count(const struct mw_entry *entry);

/* mw_entry_is_ready: whether requests can be served, for readiness probes. */
bool mw_entry_is_ready(const struct mw_entry *entry, int64_t now_us);

/* state for dumps; returned pointers are borrowed */
const struct mw_entry_counters *
mw_entry_get_counters(const struct mw_entry *entry);
struct mw_document *mw_entry_get_document(const struct mw_entry *entry);
void mw_entry_each_peer(const struct mw_entry *entry, void *opaque,
                        void (*each)(void *opaque, const struct mw_name *name,
                                     const struct mw_heartbeat *heartbeat,
                                     int64_t last_heartbeat_us));

#endif
