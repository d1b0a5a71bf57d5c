#ifndef MIMOSAWIND_RECORD_H
#define MIMOSAWIND_RECORD_H

#include "mimosawind/document.h"
#include "mimosawind/flow-record.h"

/*
 * record: an entry of a replicated log or of a snapshot.
 *
 * A snapshot is a list of records that rebuilds the state, so that log and
 * snapshot have the same format.  Records are immutable and have a reference
 * count.
 */

enum mw_record_kind {
    MW_RECORD_NOOP = 0,
    /* the member is a voter under this incarnation; removed if it is 0 */
    MW_RECORD_ADMIT = 1,
    MW_RECORD_DOCUMENT = 2,
    /* the zone is in or out of service */
    MW_RECORD_ZONE_STATE = 3,
    /* a job was accepted */
    MW_RECORD_ACCEPT = 4,
    /* written before an attempt is started */
    MW_RECORD_INTENT = 5,
    MW_RECORD_RESULT = 6,
    /* a job was handed over to another zone, or taken back by its own */
    MW_RECORD_HANDOVER = 7,
    /* the retention time of a job's result has ended */
    MW_RECORD_FORGET = 8,
    /* a configuration of routes, organisations and services */
    MW_RECORD_CONFIG = 9,
    MW_RECORD_ZONE_OUT = 10,
    MW_RECORD_FLOW = 11,
    MW_RECORD_FLOW_STATE = 12,
    MW_RECORD_TASKS = 13,
    /* a slot of the log's configuration is assigned to a process */
    MW_RECORD_MEMBER = 14,
    MW_RECORD_ENDPOINT = 15,
    MW_RECORD_KIND_COUNT = 16
};

struct mw_record_admit {
    struct mw_name member;
    uint64_t incarnation;
};

struct mw_record_member {
    uint32_t slot;
    struct mw_name name;
};

struct mw_record_document {
    enum mw_environment environment;
    struct mw_name operator;
    struct mw_document *document;
};

/* mw_record_zone_state: sequence numbers the zone's changes, from 1. */
struct mw_record_zone_state {
    bool out;
    uint64_t sequence;
    struct mw_name operator;
};

struct mw_record_accept {
    uint64_t job;
    struct mw_job_spec spec;
    struct mw_blob *body;
};

struct mw_record_intent {
    struct mw_attempt_id attempt;
    uint32_t part_count;
    struct mw_part *parts;
};

struct mw_record_result {
    uint64_t job;
    int error;
    enum mw_execution_status ran;
    struct mw_blob *output;
};

struct mw_record_handover {
    struct mw_job_key key;
    struct mw_name zone;
    uint32_t hops;
};

struct mw_record_forget {
    uint64_t job;
};

struct mw_record {
    int refs;
    enum mw_record_kind kind;
    union {
        struct mw_record_admit admit;
        struct mw_record_member member;
        struct mw_record_document document;
        struct mw_record_zone_state zone_state;
        struct mw_record_accept accept;
        struct mw_record_intent intent;
        struct mw_record_result result;
        struct mw_record_handover handover;
        struct mw_record_forget forget;
        struct mw_record_config config;
        struct mw_record_zone_out zone_out;
        struct mw_record_flow flow;
        struct mw_record_flow_state flow_state;
        struct mw_record_tasks tasks;
        struct mw_record_endpoint endpoint;
    };
};

/* mw_new_record: new zeroed record of a kind with one reference. */
struct mw_record *mw_new_record(enum mw_record_kind kind);

/* mw_record_size: bytes of memory that the record takes, roughly. */
size_t mw_record_size(const struct mw_record *record);

/* mw_keep_record, mw_drop_record: take or release a reference. */
struct mw_record *mw_keep_record(struct mw_record *record);
void mw_drop_record(struct mw_record *record);

#endif
