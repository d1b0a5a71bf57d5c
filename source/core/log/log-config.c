/*
 * log-config: the configurations, and the slots of the members in memory.
 */
#include <string.h>

#include "log-impl.h"

static struct mw_log_slot *
find_slot(struct mw_log_config *config, const struct mw_name *member)
{
    for (unsigned i = 0; i < MW_MEMBERS_MAX; i++) {
        if (mw_name_equal(&config->slots[i].member, member)) {
            return &config->slots[i];
        }
    }
    return NULL;
}

/* The slot's former member, and the member's former slot, are no more. */
static void
give_slot(struct mw_log_config *config, const struct mw_record_member *given)
{
    struct mw_log_slot *former = find_slot(config, &given->name);

    if (former) {
        *former = (struct mw_log_slot){0};
    }
    config->slots[given->slot] = (struct mw_log_slot){.member = given->name};
}

static void
apply_change(struct mw_log_config *config, const struct mw_record *record)
{
    struct mw_log_slot *slot;

    if (record->kind == MW_RECORD_MEMBER) {
        give_slot(config, &record->member);
        return;
    }
    slot = find_slot(config, &record->admit.member);
    if (slot) {
        slot->incarnation = record->admit.incarnation;
    }
}

bool
mw_log_changes_config(const struct mw_record *record)
{
    return record->kind == MW_RECORD_ADMIT || record->kind == MW_RECORD_MEMBER;
}

static void
add_pending_config(struct mw_log *log, uint64_t index)
{
    struct mw_log_pending_config *next;

    if (log->pending_config_count == MW_LOG_PENDING_CONFIGS_MAX) {
        return;
    }
    next = &log->pending_configs[log->pending_config_count++];
    next->index = index;
    next->config = log->latest_config;
}

void
mw_log_rebuild_config(struct mw_log *log)
{
    log->config = log->snapshot_config;
    log->latest_config = log->snapshot_config;
    log->pending_config_count = 0;
    log->uncommitted_change_index = 0;
    for (guint i = 0; i < log->entries->len; i++) {
        uint64_t index = log->snapshot_index + 1 + i;
        const struct mw_record *record = mw_log_entry_at(log, index)->record;

        if (!mw_log_changes_config(record)) {
            continue;
        }
        apply_change(&log->latest_config, record);
        if (index <= log->commit_index) {
            log->config = log->latest_config;
            continue;
        }
        if (log->uncommitted_change_index == 0) {
            log->uncommitted_change_index = index;
        }
        if (record->kind == MW_RECORD_ADMIT) {
            add_pending_config(log, index);
        }
    }
    mw_log_update_peers(log);
}

void
mw_log_found_config(struct mw_log *log)
{
    for (unsigned i = 0; i < log->peer_count; i++) {
        bool is_founding = i < log->founding_count;

        if (is_founding || log->target_member_count == 0) {
            log->snapshot_config.slots[i].member = log->peers[i].name;
        }
        if (is_founding && log->peers[i].disk) {
            log->snapshot_config.slots[i].incarnation =
                MW_FOUNDING_INCARNATION;
        }
    }
    mw_log_rebuild_config(log);
}

void
mw_log_read_snapshot_config(struct mw_log *log,
                            const uint64_t incarnations[MW_MEMBERS_MAX])
{
    struct mw_log_config *config = &log->snapshot_config;

    if (log->target_member_count > 0) {
        *config = (struct mw_log_config){0};
    }
    for (guint i = 0; i < log->snapshot_records->len; i++) {
        const struct mw_record *record = log->snapshot_records->pdata[i];

        if (record->kind == MW_RECORD_MEMBER) {
            give_slot(config, &record->member);
        }
    }
    for (unsigned i = 0; i < MW_MEMBERS_MAX; i++) {
        config->slots[i].incarnation = incarnations[i];
    }
}

void
mw_log_copy_incarnations(const struct mw_log_config *config,
                         uint64_t incarnations[MW_MEMBERS_MAX])
{
    for (unsigned i = 0; i < MW_MEMBERS_MAX; i++) {
        incarnations[i] = config->slots[i].incarnation;
    }
}

/* A snapshot replaces the MEMBER records that gave the slots. */
void
mw_log_collect_slots(const struct mw_log *log, GPtrArray *records)
{
    for (unsigned i = 0; log->target_member_count > 0 && i < MW_MEMBERS_MAX;
         i++) {
        const struct mw_name *member = &log->config.slots[i].member;
        struct mw_record *record;

        if (member->len == 0) {
            continue;
        }
        record = mw_new_record(MW_RECORD_MEMBER);
        record->member.slot = i;
        record->member.name = *member;
        g_ptr_array_add(records, record);
    }
}

static void
clear_peer(struct mw_log_peer *peer)
{
    g_clear_pointer(&peer->snapshot_records, g_ptr_array_unref);
    memset(peer, 0, sizeof *peer);
}

/* Nothing that is known of the slot's former member holds for this one. */
static void
assign_peer(struct mw_log *log, unsigned i, const struct mw_name *name)
{
    struct mw_log_peer *former = mw_log_find_peer(log, name);
    struct mw_log_peer *peer = &log->peers[i];

    if (former) {
        clear_peer(former);
    }
    clear_peer(peer);
    peer->name = *name;
    peer->disk = true;
    peer->next_index = 1;
    if (mw_name_equal(name, &log->name)) {
        peer->incarnation = log->incarnation;
    }
    log->peer_count = MAX(log->peer_count, i + 1);
}

/* The slot of this member; see mw_log.self. */
static unsigned
find_self(const struct mw_log *log)
{
    for (unsigned i = 0; i < log->peer_count; i++) {
        if (mw_name_equal(&log->peers[i].name, &log->name)) {
            return i;
        }
    }
    return MW_MEMBERS_MAX;
}

void
mw_log_update_peers(struct mw_log *log)
{
    for (unsigned i = 0; i < MW_MEMBERS_MAX; i++) {
        const struct mw_name *member = &log->latest_config.slots[i].member;

        if (member->len > 0 && !mw_name_equal(member, &log->peers[i].name)) {
            assign_peer(log, i, member);
        }
    }
    log->self = find_self(log);
}

void
mw_log_fill_slot(struct mw_log *log, uint32_t slot, const struct mw_name *name)
{
    bool known = slot < log->peer_count && log->peers[slot].name.len > 0;

    /* a leader's slots are those of its log */
    if (log->role == MW_LEADER || known || name->len == 0 ||
        slot >= MW_MEMBERS_MAX || mw_log_find_peer(log, name)) {
        return;
    }
    assign_peer(log, slot, name);
    log->self = find_self(log);
}

void
mw_log_clear_reported_slots(struct mw_log *log)
{
    for (unsigned i = 0; i < log->peer_count; i++) {
        if (log->latest_config.slots[i].member.len == 0) {
            clear_peer(&log->peers[i]);
        }
    }
}

uint32_t
mw_log_get_members(const struct mw_log *log,
                   struct mw_name members[MW_MEMBERS_MAX])
{
    for (unsigned i = 0; i < log->peer_count; i++) {
        members[i] = log->peers[i].name;
    }
    return log->peer_count;
}
