#ifndef MW_CORE_ENTRY_IMPL_H
#define MW_CORE_ENTRY_IMPL_H

#include "mimosawind/entry.h"
#include "peer.h"

/*
 * entry-impl: the state of an entry process.
 *
 * FILES
 *   entry.c            messages of control processes, timers
 *   entry-admission.c  requests of clients and operators, accepted or refused
 *   entry-request.c    pending requests: forwarding, and the reply to each
 *   entry-route.c      the process that a request is sent to
 *   entry-answer.c     answers to requests, and retries
 *   entry-endpoint.c   announcements of endpoints, commands and their outcomes
 */

/* what a retry takes from retry_credit */
#define MW_RETRY_COST 100

enum mw_request_kind {
    MW_REQUEST_SUBMIT = 0,
    MW_REQUEST_QUERY = 1,
    MW_REQUEST_CHANGE = 2
};

/* mw_request: a pending request of a client or an operator. */
struct mw_request {
    /* identifies the request in messages, and to the owner */
    uint64_t ref;
    uint64_t handle;
    enum mw_request_kind kind;
    struct mw_msg *msg;
    /*
     * After a handover a submission is not sent to the other zone; this query
     * for its result is.
     */
    struct mw_msg *status_query;
    int64_t deadline_us;
    int64_t resend_deadline_us;
    /* the process that it was last sent to, empty if it must be sent */
    struct mw_name assigned_to;
    /* the zone that the owner handed it over to, empty for none */
    struct mw_name handover_zone;
    /* sent at least once */
    bool sent;
    bool may_have_run;
    /* handed over at least once; it may run after another zone refused it */
    bool handed_over;
    unsigned tries;
};

struct mw_entry {
    struct mw_name name;
    struct mw_name zone;
    struct mw_entry_output output;
    struct mw_entry_counters counters;
    GHashTable *peers;
    GHashTable *requests;
    GHashTable *requests_by_handle;
    struct mw_document *document;
    uint64_t next_ref;
    /* highest epoch of a leader of the own zone */
    uint64_t epoch;
    /* retry budget; see MW_RETRY_COST */
    uint32_t retry_credit;
    bool leaving;
    int64_t tick_deadline_us;
    int64_t heartbeat_deadline_us;
};

/* entry-request.c */
/* mw_free_request: for entry->requests. */
void mw_free_request(void *request);
/* mw_add_request: takes over msg; not sent yet. */
struct mw_request *mw_add_request(struct mw_entry *entry, uint64_t handle,
                                  enum mw_request_kind kind,
                                  struct mw_msg *msg, int64_t deadline_us);
/* mw_remove_request: without a reply. */
void mw_remove_request(struct mw_entry *entry, struct mw_request *request);
/* mw_send_request: remains unassigned if no process can take it now. */
void mw_send_request(struct mw_entry *entry, int64_t now_us,
                     struct mw_request *request);
/* mw_complete_request: replies and removes the request. */
void mw_complete_request(struct mw_entry *entry, struct mw_request *request,
                         struct mw_reply *reply);
/* mw_send_unassigned_requests: another process may be able to take them. */
void mw_send_unassigned_requests(struct mw_entry *entry, int64_t now_us);
/* mw_unassign_requests: the connection to their process was closed. */
void mw_unassign_requests(struct mw_entry *entry, int64_t now_us,
                          const struct mw_name *process);
/* mw_tick_requests: sends and expires requests that are due. */
void mw_tick_requests(struct mw_entry *entry, int64_t now_us);

/* entry-answer.c */
void mw_entry_on_answer(struct mw_entry *entry, int64_t now_us,
                        const struct mw_name *from,
                        const struct mw_msg_answer *answer);
/* mw_entry_on_changed: the result of a change request. */
void mw_entry_on_changed(struct mw_entry *entry, int64_t now_us,
                         const struct mw_change_result *changed);

/* entry-endpoint.c */
/* mw_entry_on_command: execute a command, unless its epoch is stale. */
void mw_entry_on_command(struct mw_entry *entry, const struct mw_name *from,
                         const struct mw_endpoint_command *command);

/* entry-route.c */
/*
 * mw_entry_route: the process that a request must be sent to, or NULL.
 *
 * *zone is set to the zone of the request, empty if there is none.
 */
struct mw_peer *mw_entry_route(struct mw_entry *entry, int64_t now_us,
                               const struct mw_request *request,
                               struct mw_name *zone);

/* mw_request_key: key of a submission or query. */
const struct mw_job_key *mw_request_key(const struct mw_request *request);

/* mw_request_is_recorded: false only for unrecorded jobs. */
bool mw_request_is_recorded(const struct mw_request *request);

#endif
