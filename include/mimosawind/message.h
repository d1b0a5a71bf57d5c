#ifndef MIMOSAWIND_MESSAGE_H
#define MIMOSAWIND_MESSAGE_H

#include "mimosawind/flow.h"
#include "mimosawind/log.h"
#include "mimosawind/zone.h"

/*
 * message: messages between the processes of the system.
 *
 * Messages are structs; source/wire encodes them.  A message owns its blobs,
 * documents and arrays and has a reference count.  Deadlines are encoded as
 * the time left, so that a decoded message has times of the receiver's
 * clock.
 *
 * The sender of a request chooses its ref; the answer repeats it.  An answer
 * is addressed by the name of a process, which its next life takes over, so
 * refs must differ in all lives of a process: each life counts from a
 * first_ref of its own, drawn at random from 1 to MW_FIRST_REF_MAX.
 */

#define MW_FIRST_REF_MAX (UINT64_C(1) << 61)

/* a process without heartbeats for so long is considered unreachable */
#define MW_PEER_TIMEOUT_US 2000000

enum mw_msg_kind {
    MW_MSG_HELLO = 1,
    MW_MSG_HEARTBEAT = 2,
    MW_MSG_LOG = 3,
    MW_MSG_SUBMIT = 4,
    MW_MSG_QUERY = 5,
    MW_MSG_ANSWER = 6,
    MW_MSG_ANNOUNCE = 7,
    MW_MSG_ORDER = 8,
    MW_MSG_REPORT = 9,
    MW_MSG_CHANGE = 10,
    MW_MSG_CHANGE_RESULT = 11,
    MW_MSG_DOCUMENT = 12,
    MW_MSG_GUARANTEE_CHECK = 13,
    MW_MSG_GUARANTEE_CHECK_RESULT = 14,
    /* a request that was forwarded to the leader, and the answer to it */
    MW_MSG_FLOW_CALL = 15,
    MW_MSG_FLOW_RETURN = 16,
    /* heartbeats of endpoints for the leader, and the answers to them */
    MW_MSG_FLOW_HEARTBEATS = 17,
    MW_MSG_FLOW_HEARTBEAT_RESULTS = 18,
    MW_MSG_KIND_COUNT = 19
};

/* the kinds of message that a process understands; grows with each new one */
#define MW_PROTOCOL 1
/* the first that has MW_MSG_FLOW_HEARTBEATS */
#define MW_PROTOCOL_RELAYED_HEARTBEATS 1

enum mw_process_role {
    MW_ROLE_ENTRY = 0,
    MW_ROLE_CONTROL = 1
};

/* mw_group: the groups of processes that replicate a log */
enum mw_group {
    MW_GROUP_REGION = 0,
    MW_GROUP_ZONE = 1,
    MW_GROUPS = 2
};

/* mw_hello: first message on a connection, from both sides. */
struct mw_hello {
    enum mw_process_role role;
    struct mw_name zone;
    uint64_t incarnation;
};

/* mw_heartbeat: periodic message about the state of a process. */
struct mw_heartbeat {
    enum mw_process_role role;
    struct mw_name zone;
    bool leads_zone;
    bool leads_region;
    bool out;
    bool leaving;
    uint64_t epoch;
    /* load of the zone, from its leader */
    struct mw_zone_load load;
    /* versions of the documents in force, by environment; 0 for none */
    uint64_t version[MW_ENVIRONMENTS];
    /* members of the region's log; none if the sender does not know them */
    uint32_t member_count;
    struct mw_name members[MW_MEMBERS_MAX];
    /* MW_PROTOCOL of the sender; 0 of processes that have none */
    uint32_t protocol;
    /* of the last record of the region's log that the sender has applied */
    uint64_t applied_index;
    /* the leader's reading of the flow clock */
    int64_t clock_us;
    /* of a zone's leader: the number of the last change of the zone's state */
    uint64_t zone_sequence;
};

struct mw_msg_log {
    enum mw_group group;
    struct mw_log_msg msg;
};

struct mw_submit {
    uint64_t ref;
    struct mw_job_spec spec;
    struct mw_blob *body;
};

struct mw_query {
    uint64_t ref;
    struct mw_job_key key;
    bool cancel;
    bool until_done;
};

struct mw_msg_answer {
    uint64_t ref;
    struct mw_job_key key;
    int error;
    enum mw_execution_status ran;
    enum mw_job_state state;
    uint64_t job;
    struct mw_name zone;
    struct mw_blob *output;
    struct mw_blob *detail;
};

enum mw_change_kind {
    /* put a document in force in trial */
    MW_CHANGE_TRY = 0,
    /* put the document of trial in force in production */
    MW_CHANGE_PROMOTE = 1,
    /* take a zone out of service, or back into service */
    MW_CHANGE_ZONE = 2
};

/* mw_change: a change requested by an operator. */
struct mw_change {
    uint64_t ref;
    enum mw_change_kind kind;
    struct mw_name operator;
    uint64_t version;
    struct mw_document *document;
    struct mw_name zone;
    bool out;
    /*
     * Of MW_CHANGE_ZONE: the number of the last change of the zone's state
     * that was known where this one was received; a later one may be newer.
     */
    uint64_t known_sequence;
};

/* mw_change_result: the result of a change. */
struct mw_change_result {
    uint64_t ref;
    int error;
    uint64_t version;
    struct mw_blob *detail;
};

struct mw_msg_document {
    enum mw_environment environment;
    struct mw_name operator;
    struct mw_document *document;
};

/* mw_guarantee_check: asks a zone whether its guarantees fit its endpoints. */
struct mw_guarantee_check {
    uint64_t ref;
    struct mw_document *document;
};

/* mw_guarantee_check_result: the result of a zone's guarantee check. */
struct mw_guarantee_check_result {
    uint64_t ref;
    int error;
    struct mw_name zone;
    struct mw_blob *detail;
};

/* mw_msg_flow_call: a forwarded request; kind says which fields are set. */
struct mw_msg_flow_call {
    uint64_t ref;
    enum mw_flow_request_kind kind;
    struct mw_blob *host;
    struct mw_blob *path;
    struct mw_blob *key;
    struct mw_blob *body;
    /* see struct mw_flow_request */
    uint64_t known_index;
};

/* mw_msg_flow_return: the reply to a forwarded request. */
struct mw_msg_flow_return {
    uint64_t ref;
    enum mw_flow_reply_kind kind;
    int error;
    enum mw_flow_state state;
    bool queued;
    uint32_t pending;
    /* the configuration, or the detail of an error */
    struct mw_blob *text;
    int64_t retry_after_us;
    bool has_priority;
    uint32_t priority;
};

/* mw_relayed_heartbeat: with the ref of the process that passes it on. */
struct mw_relayed_heartbeat {
    uint64_t ref;
    struct mw_flow_heartbeat heartbeat;
};

struct mw_msg_flow_heartbeats {
    uint32_t count;
    struct mw_relayed_heartbeat *heartbeats;
};

/* mw_heartbeat_result: error is 0 for a heartbeat that is acknowledged. */
struct mw_heartbeat_result {
    uint64_t ref;
    int error;
};

struct mw_msg_flow_heartbeat_results {
    uint32_t count;
    struct mw_heartbeat_result *results;
};

struct mw_msg {
    int refs;
    enum mw_msg_kind kind;
    union {
        struct mw_hello hello;
        struct mw_heartbeat heartbeat;
        struct mw_msg_log log;
        struct mw_submit submit;
        struct mw_query query;
        struct mw_msg_answer answer;
        struct mw_announcement announce;
        struct mw_endpoint_command order;
        struct mw_report report;
        struct mw_change change;
        struct mw_change_result changed;
        struct mw_msg_document document;
        struct mw_guarantee_check judge;
        struct mw_guarantee_check_result judged;
        struct mw_msg_flow_call flow_call;
        struct mw_msg_flow_return flow_return;
        struct mw_msg_flow_heartbeats flow_heartbeats;
        struct mw_msg_flow_heartbeat_results flow_heartbeat_results;
    };
};

/* mw_new_msg: new zeroed message of a kind with one reference. */
struct mw_msg *mw_new_msg(enum mw_msg_kind kind);

/* mw_keep_msg, mw_drop_msg: take or release a reference. */
struct mw_msg *mw_keep_msg(struct mw_msg *msg);
void mw_drop_msg(struct mw_msg *msg);

#endif
