#ifndef MIMOSAWIND_FLOW_PROCESS_H
#define MIMOSAWIND_FLOW_PROCESS_H

#include "mimosawind/message.h"

/*
 * flow-process: the two processes of a region that runs flows.
 *
 * A control process holds a member of the region's log and the scheduler of
 * flows; the one that leads the log acts.  An entry process hands requests
 * to the leader and keeps them until they are answered: a request may be
 * handed over again to the next leader, since a flow is known by its
 * identifier.
 *
 * A control process that is asked by an operator without leading hands the
 * request to the leader in the same way and passes the answer on: where
 * answers get lost, one answer is lost less often than a redirection and an
 * answer.
 *
 * A process is named by its IP number, which is also how it is found.
 */

#define MW_FLOW_HEARTBEAT_US 400000
/* a leader not heard for so long is not handed requests */
#define MW_FLOW_LEADER_LOST_US 1500000
/* a member of the log not heard for so long does not count as there */
#define MW_FLOW_MEMBER_LOST_US 1000000
/* one not heard for so long may have been replaced */
#define MW_FLOW_MEMBER_GONE_US 10000000
/* an election takes less: without a leader for so long none is near */
#define MW_FLOW_LEADER_OVERDUE_US 3000000
/* a request waits so long for the next leader before it is refused */
#define MW_FLOW_NEXT_LEADER_US 1000000
#define MW_FLOW_CALLS_MAX 4096
/* operators turn to another process after a second without an answer */
#define MW_FLOW_FORWARD_US 900000

struct mw_flow_control_output {
    void *opaque;
    void (*send)(void *opaque, const struct mw_name *to, struct mw_msg *msg);
    void (*send_all)(void *opaque, enum mw_process_role role,
                     struct mw_msg *msg);
    void (*store)(void *opaque, const struct mw_store_item *item);
    void (*order)(void *opaque, const struct mw_flow_order *order);
    /* reply: to a request that came in through this process itself */
    void (*reply)(void *opaque, const struct mw_flow_reply *reply);
    void (*event)(void *opaque, const struct mw_flow_event *event);
    struct mw_flow_config *(*decode_config)(void *opaque,
                                            struct mw_context *ctx,
                                            struct mw_str text, int *error);
    struct mw_flow_plan *(*decode_plan)(void *opaque, struct mw_context *ctx,
                                        struct mw_str text, int *error);
};

struct mw_flow_control_setup {
    struct mw_name name;
    struct mw_name zone;
    uint64_t incarnation;
    /* none for a standby, which only tells where the leader is */
    uint32_t member_count;
    struct mw_name members[MW_MEMBERS_MAX];
    /* of the members, how many founded the log */
    uint32_t founding_count;
    /* how many members the log is to have */
    uint32_t target;
    uint32_t compact_after;
    uint32_t seed;
    int64_t now_us;
    struct mw_flow_bounds bounds;
    struct mw_flow_control_output output;
};

struct mw_flow_control;

struct mw_flow_control *
mw_new_flow_control(const struct mw_flow_control_setup *setup);
void mw_drop_flow_control(struct mw_flow_control *control);

/* mw_flow_control_restore: put back one stored item. */
int mw_flow_control_restore(struct mw_context *ctx,
                            struct mw_flow_control *control,
                            const struct mw_store_item *item);

/* wall_us is the time of day, used for due times alone. */
void mw_flow_control_receive(struct mw_context *ctx,
                             struct mw_flow_control *control, int64_t now_us,
                             int64_t wall_us, const struct mw_name *from,
                             struct mw_msg *msg);
void mw_flow_control_synced(struct mw_context *ctx,
                            struct mw_flow_control *control, int64_t now_us,
                            uint64_t sequence);
/* mw_flow_control_lost: what was handed to the process may be lost. */
void mw_flow_control_lost(struct mw_flow_control *control, int64_t now_us,
                          const struct mw_name *process);
/* mw_flow_control_request: one reply, here or by way of the leader. */
void mw_flow_control_request(struct mw_context *ctx,
                             struct mw_flow_control *control, int64_t now_us,
                             int64_t wall_us,
                             const struct mw_flow_request *request);
/* mw_flow_control_beat: see mw_flows_beat; ref is the caller's own. */
int mw_flow_control_beat(struct mw_flow_control *control, int64_t now_us,
                         const struct mw_beat *beat, uint64_t ref);
void mw_flow_control_answer(struct mw_flow_control *control, int64_t now_us,
                            const struct mw_flow_answer *answer);
void mw_flow_control_tick(struct mw_context *ctx,
                          struct mw_flow_control *control, int64_t now_us,
                          int64_t wall_us);
int64_t mw_flow_control_deadline(const struct mw_flow_control *control);

/* mw_flow_control_leads: whether this process may act for the region. */
bool mw_flow_control_leads(struct mw_flow_control *control, int64_t now_us);

/* mw_flow_control_leader: who leads, as last heard; empty for nobody. */
struct mw_name mw_flow_control_leader(const struct mw_flow_control *control,
                                      int64_t now_us);

/* mw_flow_control_leave: hand the lead over; true once it may exit. */
bool mw_flow_control_leave(struct mw_flow_control *control, int64_t now_us);

/* mw_flow_control_members: of the log, as this process knows them. */
uint32_t mw_flow_control_members(const struct mw_flow_control *control,
                                 struct mw_name *members);

void mw_flow_control_look(const struct mw_flow_control *control,
                          struct mw_log_view *log,
                          struct mw_flows_view *flows);
const struct mw_flow_histogram *
mw_flow_control_histogram(const struct mw_flow_control *control,
                          enum mw_flow_time time);
const struct mw_flow_counters *
mw_flow_control_counters(const struct mw_flow_control *control);

struct mw_flow_entry_output {
    void *opaque;
    void (*send)(void *opaque, const struct mw_name *to, struct mw_msg *msg);
    void (*reply)(void *opaque, const struct mw_flow_reply *reply);
    void (*event)(void *opaque, const struct mw_flow_event *event);
};

struct mw_flow_entry_counters {
    uint64_t requests;
    uint64_t refused;
    uint64_t handed_again;
    uint64_t timed_out;
    uint64_t leaders;
};

struct mw_flow_entry;

/* mw_new_flow_entry: self names a process that is a member of the log. */
struct mw_flow_entry *
mw_new_flow_entry(const struct mw_flow_entry_output *output,
                  const struct mw_name *self);
void mw_drop_flow_entry(struct mw_flow_entry *entry);

/* mw_flow_entry_request: one reply, at the latest at the deadline. */
void mw_flow_entry_request(struct mw_flow_entry *entry, int64_t now_us,
                           const struct mw_flow_request *request,
                           int64_t deadline_us);
void mw_flow_entry_gone(struct mw_flow_entry *entry, uint64_t ref);
void mw_flow_entry_receive(struct mw_flow_entry *entry, int64_t now_us,
                           const struct mw_name *from, struct mw_msg *msg);
void mw_flow_entry_lost(struct mw_flow_entry *entry, int64_t now_us,
                        const struct mw_name *process);
void mw_flow_entry_tick(struct mw_flow_entry *entry, int64_t now_us);
int64_t mw_flow_entry_deadline(const struct mw_flow_entry *entry);
/*
 * mw_flow_entry_can_serve: whether a leader is there, or soon will be: one
 * was heard of late, and is still, or a majority of the log's members is.
 */
bool mw_flow_entry_can_serve(const struct mw_flow_entry *entry,
                             int64_t now_us);
/* mw_flow_entry_leader: who is handed requests; empty for nobody. */
struct mw_name mw_flow_entry_leader(const struct mw_flow_entry *entry,
                                    int64_t now_us);
bool mw_flow_entry_ready(const struct mw_flow_entry *entry, int64_t now_us);
uint32_t mw_flow_entry_open(const struct mw_flow_entry *entry);
const struct mw_flow_entry_counters *
mw_flow_entry_counters_of(const struct mw_flow_entry *entry);

#endif
