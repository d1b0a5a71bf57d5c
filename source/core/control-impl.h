#ifndef MW_CORE_CONTROL_IMPL_H
#define MW_CORE_CONTROL_IMPL_H

#include <glib.h>

#include "mimosawind/control.h"

/* mw_control_peer: another process, by its last heartbeat. */
struct mw_control_peer {
    struct mw_name name;
    struct mw_heartbeat heartbeat;
    int64_t last_heartbeat_us;
};

/* mw_region_document: the region's document of one environment. */
struct mw_region_document {
    struct mw_document *document;
    struct mw_name operator;
    /* proposed and not yet applied */
    struct mw_document *proposed;
    struct mw_name proposed_operator;
};

/* mw_pending_change: an operator who waits for an answer. */
struct mw_pending_change {
    struct mw_name from;
    struct mw_msg *msg;
    uint64_t ref;
    bool proposed;
    unsigned checked_zone_count;
    GString *detail;
    int64_t deadline_us;
    /* zone changes: the sequence that answers it */
    uint64_t sequence;
};

struct mw_control {
    struct mw_name name;
    struct mw_name zone_name;
    struct mw_control_output output;
    struct mw_control_counters counters;
    struct mw_log *log[MW_GROUPS];
    struct mw_zone *zone;
    struct mw_region_document documents[MW_ENVIRONMENTS];
    uint64_t zone_proposed_version;
    uint64_t zone_sequence;
    uint64_t zone_proposed_sequence;
    GHashTable *peers;
    GPtrArray *pending_changes;
    uint64_t next_ref;
    int64_t heartbeat_deadline_us;
    int64_t now_us;
    struct mw_context *ctx;
    bool leaving;
    int64_t drain_deadline_us;
    enum mw_lead zone_leadership;
    bool is_region_leader;
};

/* operators' changes */
void mw_change_receive(struct mw_context *ctx, struct mw_control *control,
                       int64_t now_us, const struct mw_name *from,
                       struct mw_msg *msg);
void mw_change_guarantees_checked(struct mw_context *ctx,
                                  struct mw_control *control, int64_t now_us,
                                  const struct mw_judged *judged);
void mw_change_tick(struct mw_context *ctx, struct mw_control *control,
                    int64_t now_us);
void mw_change_applied(struct mw_control *control, int64_t now_us,
                       const struct mw_record *record);
void mw_change_leadership_lost(struct mw_control *control,
                               enum mw_group group);
void mw_free_change(void *data);

/* documents and their way to the zones */
void mw_region_apply(struct mw_control *control, int64_t now_us,
                     struct mw_record *record);
void mw_region_reset(struct mw_control *control);
void mw_region_collect(struct mw_control *control, void *out,
                       void (*add)(void *out, struct mw_record *record));
void mw_control_propose_zone_document(struct mw_context *ctx,
                                      struct mw_control *control,
                                      int64_t now_us);
void mw_control_send_newer_document(struct mw_control *control,
                                    const struct mw_control_peer *process);
void mw_control_receive_document(struct mw_control *control,
                                 const struct mw_msg_document *document);

/* mw_control_zone_output: the callbacks of the zone's scheduler. */
struct mw_zone_output mw_control_zone_output(struct mw_control *control);

/* other processes */
struct mw_control_peer *
mw_control_update_peer(struct mw_control *control, int64_t now_us,
                       const struct mw_name *from,
                       const struct mw_heartbeat *heartbeat);
struct mw_control_peer *
mw_control_zone_leader(const struct mw_control *control, int64_t now_us,
                       const struct mw_name *zone);
void mw_control_send_heartbeats(struct mw_control *control, int64_t now_us);

#endif
