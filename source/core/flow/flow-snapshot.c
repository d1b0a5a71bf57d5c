/*
 * flow-snapshot: writes the replicated state as the records of a snapshot.
 */
#include "flow-config-versions.h"
#include "flow-registry.h"
#include "flow-scheduler-state.h"
#include "flow-state.h"
#include "flow-task-state.h"
#include "mimosawind/flow.h"

static void
snapshot_tasks(const struct mw_flows *flows, struct mw_flow *flow, void *out,
               void (*add)(void *out, struct mw_record *record))
{
    for (uint32_t i = 0; i < flow->group_count; i++) {
        struct mw_task_group *group = &flow->groups[i];
        struct mw_record *record = mw_new_record(MW_RECORD_TASKS);

        record->tasks.clock_term = flows->clock.term;
        record->tasks.clock_us =
            mw_flow_clock_time(&flows->clock, flows->now_us);
        record->tasks.entries =
            g_new0(struct mw_task_record, group->step->count);
        for (uint32_t t = 0; t < group->step->count; t++) {
            const struct mw_flow_task *task = &group->tasks[t];
            struct mw_task_record *entry =
                &record->tasks.entries[record->tasks.count];

            if (task->run == 0 && task->state == MW_TASK_WAITING) {
                continue;
            }
            mw_init_task_record(group, t, entry);
            entry->state = task->state;
            entry->crash_score = task->crash_score;
            entry->run_crash_score = task->run_crash_score;
            entry->endpoint = task->endpoint;
            entry->incarnation = task->incarnation;
            entry->is_identified = task->is_identified;
            record->tasks.count++;
        }
        if (record->tasks.count > 0) {
            add(out, record);
        }
        mw_drop_record(record);
    }
}

static void
snapshot_flow(const struct mw_flows *flows, struct mw_flow *flow, void *out,
              void (*add)(void *out, struct mw_record *record))
{
    struct mw_record *record = mw_new_record(MW_RECORD_FLOW);

    record->flow.id = flow->id;
    record->flow.route = flow->route;
    record->flow.org = flow->org;
    record->flow.accepted_wall_us = flow->accepted_wall_us;
    record->flow.state = flow->state;
    record->flow.plan = mw_keep_blob(flow->plan_text);
    add(out, record);
    mw_drop_record(record);
    snapshot_tasks(flows, flow, out, add);
}

static gint
by_acceptance(gconstpointer a, gconstpointer b)
{
    const struct mw_flow *x = *(const struct mw_flow *const *)a;
    const struct mw_flow *y = *(const struct mw_flow *const *)b;

    if (x->accepted_wall_us != y->accepted_wall_us) {
        return x->accepted_wall_us < y->accepted_wall_us ? -1 : 1;
    }
    return memcmp(x->id.ptr, y->id.ptr, MW_NAME_MAX);
}

void
mw_flows_snapshot(struct mw_flows *flows, void *out,
                  void (*add)(void *out, struct mw_record *record))
{
    const struct mw_flow_config *config = mw_get_flow_config(&flows->configs);
    GPtrArray *all = g_ptr_array_new();
    GHashTableIter iter;
    gpointer zone;
    gpointer flow;

    if (config) {
        struct mw_record *record = mw_new_record(MW_RECORD_CONFIG);

        record->config.version = config->version;
        record->config.text = mw_keep_blob(config->text);
        add(out, record);
        mw_drop_record(record);
    }
    g_hash_table_iter_init(&iter, flows->zones_out);
    while (g_hash_table_iter_next(&iter, &zone, NULL)) {
        struct mw_record *record = mw_new_record(MW_RECORD_ZONE_OUT);

        record->zone_out.zone = *(struct mw_name *)zone;
        record->zone_out.out = true;
        add(out, record);
        mw_drop_record(record);
    }
    mw_snapshot_flow_endpoints(flows, out, add);
    g_hash_table_iter_init(&iter, flows->flows);
    while (g_hash_table_iter_next(&iter, NULL, &flow)) {
        g_ptr_array_add(all, flow);
    }
    g_ptr_array_sort(all, by_acceptance);
    for (guint i = 0; i < all->len; i++) {
        snapshot_flow(flows, all->pdata[i], out, add);
    }
    g_ptr_array_unref(all);
}
