#ifndef MW_CORE_CONTROL_IMPL_H
#define MW_CORE_CONTROL_IMPL_H

#include <glib.h>

#include "mimosawind/control.h"
#include "peer.h"

/* mw_region_document: document of an environment, from the region's log. */
struct mw_region_document {
    struct mw_document *document;
    struct mw_name operator;
    /* proposed to the region's log and not yet applied */
    struct mw_document *proposed;
    struct mw_name proposed_operator;
};

/* mw_pending_change: a change that is not answered yet. */
struct mw_pending_change {
    /* the entry process that forwarded it */
    struct mw_name from;
    struct mw_msg *msg;
    /* identifies it in guarantee checks */
    uint64_t ref;
    /* its document is in the region's log or proposed to it */
    bool proposed;
    /* zones that reported that their guarantees fit */
    unsigned checked_zone_count;
    GString *detail;
    int64_t deadline_us;
    /* zone changes: answered once this sequence number is applied */
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
    /* version of the newest document proposed to the zone's log */
    uint64_t zone_proposed_version;
    /* number of the last change of the zone's state, applied and proposed */
    uint64_t zone_sequence;
    uint64_t zone_proposed_sequence;
    GHashTable *peers;
    GPtrArray *pending_changes;
    uint64_t next_ref;
    int64_t heartbeat_deadline_us;
    /* of the event that is being handled, for callbacks */
    int64_t now_us;
    struct mw_context *ctx;
    bool leaving;
    int64_t drain_deadline_us;
    enum mw_lead_scope zone_leadership;
    bool is_region_leader;
};

/* changes by operators: control-change.c */
void mw_change_receive(struct mw_context *ctx, struct mw_control *control,
                       int64_t now_us, const struct mw_name *from,
                       struct mw_msg *msg);
void
mw_change_guarantees_checked(struct mw_context *ctx,
                             struct mw_control *control, int64_t now_us,
                             const struct mw_guarantee_check_result *judged);
void mw_change_tick(struct mw_context *ctx, struct mw_control *control,
                    int64_t now_us);
void mw_change_applied(struct mw_control *control, int64_t now_us,
                       const struct mw_record *record);
void mw_change_leadership_lost(struct mw_control *control,
                               enum mw_group group);
void mw_free_change(void *data);

/* documents and their distribution to the zones: control-document.c */
void mw_region_apply(struct mw_control *control, int64_t now_us,
                     struct mw_record *record);
void mw_region_reset(struct mw_control *control);
void mw_region_collect(struct mw_control *control, void *out,
                       void (*add)(void *out, struct mw_record *record));
void mw_control_propose_zone_document(struct mw_context *ctx,
                                      struct mw_control *control,
                                      int64_t now_us);
void mw_control_send_newer_document(struct mw_control *control,
                                    const struct mw_peer *peer);
void mw_control_receive_document(struct mw_control *control,
                                 const struct mw_msg_document *document);

/* mw_control_zone_output: callbacks for the zone's scheduler. */
struct mw_zone_output mw_control_zone_output(struct mw_control *control);

/* heartbeats to other processes: control-heartbeat.c */
void mw_control_send_heartbeats(struct mw_control *control, int64_t now_us);

#endif
