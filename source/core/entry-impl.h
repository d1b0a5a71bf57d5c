#ifndef MW_CORE_ENTRY_IMPL_H
#define MW_CORE_ENTRY_IMPL_H

#include <glib.h>

#include "mimosawind/entry.h"

/* mw_entry_peer: a control process, by its last heartbeat. */
struct mw_entry_peer {
    struct mw_name name;
    struct mw_heartbeat heartbeat;
    int64_t last_heartbeat_us;
    bool connected;
};

enum mw_request_kind {
    MW_REQUEST_SUBMIT = 0,
    MW_REQUEST_QUERY = 1,
    MW_REQUEST_CHANGE = 2
};

/* mw_request: one open request of a caller or an operator. */
struct mw_request {
    uint64_t ref;
    uint64_t handle;
    enum mw_request_kind kind;
    struct mw_msg *msg;
    /* a submission that was handed on is asked about there, never sent */
    struct mw_msg *status_query;
    int64_t deadline_us;
    int64_t resend_deadline_us;
    /* the process that has it now, empty for none */
    struct mw_name assigned_to;
    /* the zone that the owner named, empty for none */
    struct mw_name handover_zone;
    bool sent;
    bool may_have_run;
    /* the owner has handed it on; what another zone refuses may yet run */
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
    uint64_t epoch;
    uint32_t retry_credit;
    bool leaving;
    int64_t tick_deadline_us;
    int64_t heartbeat_deadline_us;
};

/* mw_entry_on_command: carry out an order, unless a newer epoch is known. */
void mw_entry_on_command(struct mw_entry *entry, const struct mw_name *from,
                         const struct mw_order *order);

/* who can take a request */
struct mw_entry_peer *mw_entry_leader(const struct mw_entry *entry,
                                      int64_t now_us,
                                      const struct mw_name *zone);
struct mw_entry_peer *mw_entry_region_leader(const struct mw_entry *entry,
                                             int64_t now_us);
struct mw_entry_peer *mw_entry_route(struct mw_entry *entry, int64_t now_us,
                                     const struct mw_request *request,
                                     struct mw_name *zone);
const struct mw_job_key *mw_request_key(const struct mw_request *request);
bool mw_request_is_recorded(const struct mw_request *request);

#endif
