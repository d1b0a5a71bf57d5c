/*
 * reply-json: writes replies to clients and operators, and state dumps.
 */
#include <string.h>

#include "json-read.h"

static json_t *
json_str(struct mw_str text)
{
    json_t *value = json_stringn(text.ptr, text.len);

    return value ? value : json_string("");
}

static void
set_str(json_t *object, const char *key, struct mw_str text)
{
    json_object_set_new(object, key, json_str(text));
}

static void
set_name(json_t *object, const char *key, const struct mw_name *name)
{
    set_str(object, key, mw_name_str(name));
}

static void
set_int(json_t *object, const char *key, uint64_t value)
{
    json_object_set_new(object, key, json_integer((json_int_t)value));
}

static void
set_bool(json_t *object, const char *key, bool value)
{
    json_object_set_new(object, key, json_boolean(value));
}

static struct mw_blob *
to_blob(json_t *root, size_t flags)
{
    char *text = json_dumps(root, flags);
    struct mw_blob *blob = mw_new_blob(mw_str_from(text));

    free(text);
    json_decref(root);
    return blob;
}

/* Output that is not UTF-8 text is written as base64 under another key. */
static void
set_output(json_t *root, const struct mw_blob *output)
{
    struct mw_str text = mw_blob_str(output);
    json_t *value = json_stringn(text.ptr, text.len);

    if (value) {
        json_object_set_new(root, "output", value);
        return;
    }
    char *encoded = g_base64_encode((const guchar *)text.ptr, text.len);

    json_object_set_new(root, "output_base64", json_string(encoded));
    g_free(encoded);
}

struct mw_blob *
mw_format_reply(const struct mw_reply *reply)
{
    json_t *root = json_object();

    if (reply->error) {
        set_str(root, "kind", mw_error_str(reply->error));
        set_str(root, "message", mw_error_message(reply->error));
    }
    if (reply->detail.len > 0) {
        set_str(root, "detail", reply->detail);
    }
    if (reply->is_change) {
        set_int(root, "version", reply->version);
        return to_blob(root, JSON_COMPACT);
    }
    set_name(root, "organisation", &reply->key.org);
    set_name(root, "request", &reply->key.request);
    set_str(root, "ran", mw_execution_status_str(reply->ran));
    set_name(root, "zone", &reply->zone);
    if (!reply->error || reply->job > 0) {
        set_str(root, "state", mw_job_state_str(reply->state));
        set_int(root, "job", reply->job);
    }
    if (reply->output) {
        set_output(root, reply->output);
    }
    return to_blob(root, JSON_COMPACT);
}

/* Context of the functions below that append one row for each object. */
struct row_list {
    json_t *array;
};

static json_t *
resources_json(const struct mw_resources *resources)
{
    json_t *value = json_object();

    set_int(value, "accelerators", resources->accelerators);
    set_int(value, "slots", resources->slots);
    set_int(value, "processors", resources->processors);
    set_int(value, "memory_mb", resources->memory_mb);
    return value;
}

static void
append_endpoint(void *opaque, const struct mw_endpoint_view *view)
{
    struct row_list *list = opaque;
    json_t *value = json_object();

    set_name(value, "endpoint", &view->name);
    set_name(value, "address", &view->address);
    set_name(value, "rack", &view->rack);
    json_object_set_new(value, "state",
                        json_string(!view->up           ? "lost"
                                    : view->draining    ? "leaving"
                                    : view->quarantined ? "quarantined"
                                                        : "up"));
    json_object_set_new(value, "total", resources_json(&view->total));
    json_object_set_new(value, "used", resources_json(&view->used));
    json_object_set_new(value, "guaranteed", resources_json(&view->cells));
    set_int(value, "parts", view->parts);
    json_array_append_new(list->array, value);
}

static void
append_job(void *opaque, const struct mw_job_view *view)
{
    struct row_list *list = opaque;
    json_t *value = json_object();

    set_int(value, "job", view->id);
    set_name(value, "organisation", &view->spec->key.org);
    set_name(value, "request", &view->spec->key.request);
    set_name(value, "class", &view->spec->class);
    set_int(value, "tasks", view->spec->shape.tasks);
    set_int(value, "accelerators", view->spec->shape.need.accelerators);
    set_str(value, "state", mw_job_state_str(view->state));
    set_str(value, "result", mw_error_str(view->error));
    set_str(value, "ran", mw_execution_status_str(view->ran));
    set_int(value, "attempts", view->attempts);
    set_bool(value, "in_guarantee", view->claimed);
    json_array_append_new(list->array, value);
}

static void
append_cell(void *opaque, const struct mw_cell_view *view)
{
    struct row_list *list = opaque;
    json_t *value = json_object();

    set_name(value, "organisation", &view->org);
    set_int(value, "tasks", view->shape->tasks);
    set_int(value, "accelerators", view->shape->need.accelerators);
    json_object_set_new(value, "adjacent",
                        json_string(mw_adjacent_names[view->shape->adjacent]));
    set_bool(value, "placed", view->placed);
    set_bool(value, "claimed", view->claimed);
    json_array_append_new(list->array, value);
}

/* One counter of a structure of counters; all are uint64_t. */
struct counter {
    /* the JSON key, which is the name of the field */
    const char *name;
    size_t offset;
};

#define COUNTER(type, field)                                                  \
    {                                                                         \
#field, offsetof(struct type, field)                                  \
    }

static json_t *
counters_json(const void *counters, const struct counter *list, size_t count)
{
    json_t *value = json_object();

    for (size_t i = 0; i < count; i++) {
        const char *at = (const char *)counters + list[i].offset;
        uint64_t number;

        memcpy(&number, at, sizeof number);
        set_int(value, list[i].name, number);
    }
    return value;
}

static const struct counter zone_counters[] = {
    COUNTER(mw_zone_counters, submitted),
    COUNTER(mw_zone_counters, accepted),
    COUNTER(mw_zone_counters, resent),
    COUNTER(mw_zone_counters, finished),
    COUNTER(mw_zone_counters, refused),
    COUNTER(mw_zone_counters, cancelled),
    COUNTER(mw_zone_counters, placed_claim),
    COUNTER(mw_zone_counters, placed_free),
    COUNTER(mw_zone_counters, placed_firm),
    COUNTER(mw_zone_counters, reclaims),
    COUNTER(mw_zone_counters, victims),
    COUNTER(mw_zone_counters, cells_moved),
    COUNTER(mw_zone_counters, cells_lost),
    COUNTER(mw_zone_counters, retries),
    COUNTER(mw_zone_counters, gangs_broken),
    COUNTER(mw_zone_counters, endpoints_lost),
    COUNTER(mw_zone_counters, quarantined),
    COUNTER(mw_zone_counters, probes),
    COUNTER(mw_zone_counters, stale_reports),
    COUNTER(mw_zone_counters, orphans_stopped),
    COUNTER(mw_zone_counters, asked),
    COUNTER(mw_zone_counters, unknown),
    COUNTER(mw_zone_counters, handed),
    COUNTER(mw_zone_counters, balanced),
    COUNTER(mw_zone_counters, outputs_dropped),
    COUNTER(mw_zone_counters, passes),
    COUNTER(mw_zone_counters, tries),
};

static const struct counter log_counters[] = {
    COUNTER(mw_log_counters, proposed),
    COUNTER(mw_log_counters, committed),
    COUNTER(mw_log_counters, refused),
    COUNTER(mw_log_counters, elections),
    COUNTER(mw_log_counters, terms_won),
    COUNTER(mw_log_counters, early_elections),
    COUNTER(mw_log_counters, lease_lost),
    COUNTER(mw_log_counters, snapshots_taken),
    COUNTER(mw_log_counters, snapshots_sent),
    COUNTER(mw_log_counters, snapshots_received),
    COUNTER(mw_log_counters, admitted),
    COUNTER(mw_log_counters, removed),
    COUNTER(mw_log_counters, stale_incarnation),
};

static const struct counter control_counters[] = {
    COUNTER(mw_control_counters, messages),
    COUNTER(mw_control_counters, documents_sent),
    COUNTER(mw_control_counters, changes),
    COUNTER(mw_control_counters, changes_refused),
    COUNTER(mw_control_counters, changes_resent),
    COUNTER(mw_control_counters, judged),
};

static const struct counter entry_counters[] = {
    COUNTER(mw_entry_counters, requests),
    COUNTER(mw_entry_counters, replies),
    COUNTER(mw_entry_counters, refused),
    COUNTER(mw_entry_counters, denied),
    COUNTER(mw_entry_counters, resends),
    COUNTER(mw_entry_counters, retries),
    COUNTER(mw_entry_counters, retries_denied),
    COUNTER(mw_entry_counters, late_answers),
    COUNTER(mw_entry_counters, announces),
    COUNTER(mw_entry_counters, orders),
    COUNTER(mw_entry_counters, stale_orders),
    COUNTER(mw_entry_counters, deadline),
};

#define COUNTERS(value, list) counters_json(value, list, G_N_ELEMENTS(list))

static json_t *
log_json(const struct mw_control *control, enum mw_group group, int64_t now_us)
{
    struct mw_log_status view;
    json_t *value = json_object();

    mw_control_get_log_status(control, group, &view);
    set_str(value, "role", mw_log_role_str(view.role));
    set_bool(value, "leads", mw_control_is_leader(control, group, now_us));
    set_name(value, "leader", &view.leader);
    set_int(value, "term", view.term);
    set_int(value, "commit", view.commit_index);
    set_int(value, "last", view.last_index);
    set_int(value, "base", view.snapshot_index);
    set_int(value, "voters", view.voter_count);
    set_int(value, "disks", view.disk_voter_count);
    set_bool(value, "admitted", view.admitted);
    set_int(value, "incarnation", view.incarnation);
    if (view.counters) {
        json_object_set_new(value, "counters",
                            COUNTERS(view.counters, log_counters));
    }
    return value;
}

static json_t *
list_json(const struct mw_zone *zone, struct mw_str name)
{
    struct row_list list = {json_array()};

    if (mw_str_equal(name, MW_STR("jobs"))) {
        mw_zone_each_job(zone, &list, append_job);
    }
    else if (mw_str_equal(name, MW_STR("guarantees"))) {
        mw_zone_each_cell(zone, &list, append_cell);
    }
    else {
        mw_zone_each_endpoint(zone, &list, append_endpoint);
    }
    return list.array;
}

struct mw_blob *
mw_dump_control(const struct mw_control *control, struct mw_str what,
                int64_t now_us)
{
    const struct mw_zone *zone = mw_control_get_zone(control);
    bool all = mw_str_equal(what, MW_STR("dump"));
    json_t *root = json_object();
    static const char *const lists[] = {"endpoints", "jobs", "guarantees"};

    json_object_set_new(root, "role", json_string("control"));
    json_object_set_new(
        root, "zone_state",
        json_string(mw_zone_is_out_of_service(zone) ? "out" : "in"));
    set_int(root, "document_version", mw_zone_document_version(zone));
    struct mw_document *trial = mw_control_get_document(control, MW_TRIAL);

    set_int(root, "trial_version", trial ? trial->version : 0);
    json_object_set_new(root, "region_log",
                        log_json(control, MW_GROUP_REGION, now_us));
    json_object_set_new(root, "zone_log",
                        log_json(control, MW_GROUP_ZONE, now_us));
    json_object_set_new(root, "scheduler",
                        COUNTERS(mw_zone_get_counters(zone), zone_counters));
    json_object_set_new(
        root, "control",
        COUNTERS(mw_control_get_counters(control), control_counters));
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        if (all || mw_str_equal(what, mw_str_from(lists[i]))) {
            json_object_set_new(root, lists[i],
                                list_json(zone, mw_str_from(lists[i])));
        }
    }
    return to_blob(root, JSON_INDENT(1));
}

static void
append_peer(void *opaque, const struct mw_name *name,
            const struct mw_heartbeat *heartbeat, int64_t last_heartbeat_us)
{
    struct row_list *list = opaque;
    json_t *value = json_object();

    set_name(value, "process", name);
    set_name(value, "zone", &heartbeat->zone);
    set_bool(value, "leads_zone", heartbeat->leads_zone);
    set_bool(value, "leads_region", heartbeat->leads_region);
    set_bool(value, "out", heartbeat->out);
    set_int(value, "epoch", heartbeat->epoch);
    set_int(value, "document_version", heartbeat->version[MW_PRODUCTION]);
    set_int(value, "heard_us", (uint64_t)last_heartbeat_us);
    json_array_append_new(list->array, value);
}

struct mw_blob *
mw_dump_entry(const struct mw_entry *entry, int64_t now_us)
{
    struct row_list list = {json_array()};
    struct mw_document *doc = mw_entry_get_document(entry);
    json_t *root = json_object();

    json_object_set_new(root, "role", json_string("entry"));
    set_bool(root, "ready", mw_entry_is_ready(entry, now_us));
    set_int(root, "open", mw_entry_pending_count(entry));
    set_int(root, "now_us", (uint64_t)now_us);
    set_int(root, "document_version", doc ? doc->version : 0);
    json_object_set_new(
        root, "counters",
        COUNTERS(mw_entry_get_counters(entry), entry_counters));
    mw_entry_each_peer(entry, &list, append_peer);
    json_object_set_new(root, "processes", list.array);
    return to_blob(root, JSON_INDENT(1));
}
