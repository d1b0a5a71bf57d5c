/*
 * zone-view: read-only access to the scheduler's state.
 */
#include "zone-impl.h"

bool
mw_zone_is_out_of_service(const struct mw_zone *zone)
{
    return zone->out_of_service;
}

uint64_t
mw_zone_document_version(const struct mw_zone *zone)
{
    return zone->document ? zone->document->version : 0;
}

struct mw_document *
mw_zone_document(const struct mw_zone *zone)
{
    return zone->document;
}

const struct mw_zone_counters *
mw_zone_get_counters(const struct mw_zone *zone)
{
    return &zone->counters;
}

void
mw_zone_drain(struct mw_zone *zone)
{
    zone->draining = true;
}

uint32_t
mw_zone_count_awaited_jobs(const struct mw_zone *zone)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, zone->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_job *job = value;

        count += job->waiters->len > 0;
    }
    return count;
}

void
mw_zone_get_load(const struct mw_zone *zone, struct mw_zone_load *load)
{
    *load = (struct mw_zone_load){.queued = zone->queued};
    for (guint i = 0; i < zone->racks->len; i++) {
        const struct mw_rack *rack = zone->racks->pdata[i];

        load->free_accelerators += rack->free_accelerators;
    }
}

void
mw_zone_each_endpoint(const struct mw_zone *zone, void *opaque,
                      void (*each)(void *opaque,
                                   const struct mw_endpoint_view *view))
{
    for (guint i = 0; i < zone->endpoint_list->len; i++) {
        const struct mw_endpoint *e = zone->endpoint_list->pdata[i];
        struct mw_endpoint_view view = {
            .name = e->name,
            .address = e->address,
            .rack = e->rack->name,
            .total = e->total,
            .used = e->used,
            .cells = e->cells,
            .up = e->up,
            .draining = e->draining,
            .quarantined = e->quarantined,
            .parts = e->jobs->len,
        };

        each(opaque, &view);
    }
}

void
mw_zone_each_job(const struct mw_zone *zone, void *opaque,
                 void (*each)(void *opaque, const struct mw_job_view *view))
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, zone->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mw_job *job = value;
        struct mw_job_view view = {
            .id = job->id,
            .epoch = job->epoch,
            .spec = &job->spec,
            .state = job->state,
            .error = job->error,
            .ran = job->ran,
            .attempts = job->attempt_number,
            .part_count = job->allocated ? job->part_count : 0,
            .claimed = job->allocated && job->alloc_class == MW_ALLOC_CELL,
            .nonpreemptible =
                job->allocated && job->alloc_class == MW_ALLOC_NONPREEMPTIBLE,
            .submitted_us = job->submitted_us,
            .started_us = job->started_us,
        };

        each(opaque, &view);
    }
}

void
mw_zone_each_cell(const struct mw_zone *zone, void *opaque,
                  void (*each)(void *opaque, const struct mw_cell_view *view))
{
    for (guint i = 0; i < zone->cells->len; i++) {
        const struct mw_cell *cell = zone->cells->pdata[i];
        struct mw_cell_view view = {
            .org = cell->org->name,
            .shape = &cell->guarantee->shape,
            .placed = cell->placed,
            .claimed = cell->claims->len > 0,
        };

        each(opaque, &view);
    }
}

void
mw_zone_each_part(const struct mw_zone *zone, uint64_t id, void *opaque,
                  void (*each)(void *opaque, const struct mw_part *part))
{
    const struct mw_job *job = g_hash_table_lookup(zone->jobs, &id);

    for (uint32_t i = 0; job && job->allocated && i < job->part_count; i++) {
        struct mw_part part = {job->parts[i].endpoint->name,
                               job->parts[i].tasks};

        each(opaque, &part);
    }
}

struct mw_str
mw_job_state_str(enum mw_job_state state)
{
    static const struct mw_str words[] = {
        MW_STR("queued"),    MW_STR("reclaiming"), MW_STR("intending"),
        MW_STR("reserving"), MW_STR("running"),    MW_STR("stopping"),
        MW_STR("done"),      MW_STR("accepting"),  MW_STR("handed"),
    };

    return state < MW_JOB_STATE_COUNT ? words[state] : MW_STR("unknown");
}

struct mw_str
mw_command_kind_str(enum mw_endpoint_command_kind kind)
{
    static const struct mw_str words[] = {MW_STR("reserve"), MW_STR("start"),
                                          MW_STR("stop"), MW_STR("ask"),
                                          MW_STR("forget")};

    return kind < MW_COMMAND_KIND_COUNT ? words[kind] : MW_STR("unknown");
}

struct mw_str
mw_outcome_str(enum mw_outcome outcome)
{
    static const struct mw_str words[] = {
        MW_STR("reserved"), MW_STR("started"), MW_STR("finished"),
        MW_STR("failed"),   MW_STR("stopped"), MW_STR("absent"),
        MW_STR("refused"),  MW_STR("lost"),    MW_STR("checkpointed"),
    };

    return outcome < MW_OUTCOME_COUNT ? words[outcome] : MW_STR("unknown");
}
