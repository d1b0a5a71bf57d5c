/*
 * entry-route: chooses the control process that a request is sent to.
 */
#include "entry-impl.h"

const struct mw_job_key *
mw_request_key(const struct mw_request *request)
{
    return request->kind == MW_REQUEST_SUBMIT ? &request->msg->submit.spec.key
                                              : &request->msg->query.key;
}

bool
mw_request_is_recorded(const struct mw_request *request)
{
    if (request->kind != MW_REQUEST_SUBMIT) {
        return true;
    }
    return mw_spec_is_recorded(&request->msg->submit.spec);
}

static void
owner_zone(const struct mw_entry *entry, const struct mw_request *request,
           struct mw_name *zone)
{
    const struct mw_document *doc = entry->document;
    struct mw_name names[MW_ZONES_MAX];

    for (uint32_t i = 0; i < doc->zone_count; i++) {
        names[i] = doc->zones[i].name;
    }
    int owner = mw_owner_zone(mw_request_key(request), names, doc->zone_count);

    *zone = names[MAX(owner, 0)];
}

/*
 * Chooses the own zone on the first try, if it is in service and has a
 * leader.  Otherwise chooses the next such zone, but not the process tried
 * last, and the own zone again if there is none.
 */
static struct mw_peer *
route_to_any_zone(struct mw_entry *entry, int64_t now_us,
                  const struct mw_request *request, struct mw_name *zone)
{
    const struct mw_document *doc = entry->document;
    struct mw_peer *own = mw_zone_leader(entry->peers, now_us, &entry->zone);

    *zone = entry->zone;
    if (own && !own->heartbeat.out && request->tries == 0) {
        return own;
    }
    for (uint32_t i = 0; i < doc->zone_count; i++) {
        uint32_t index = (i + request->tries + request->ref) % doc->zone_count;
        struct mw_peer *peer =
            mw_zone_leader(entry->peers, now_us, &doc->zones[index].name);

        if (peer && !peer->heartbeat.out &&
            !mw_name_equal(&peer->name, &request->assigned_to)) {
            *zone = doc->zones[index].name;
            return peer;
        }
    }
    return own && !own->heartbeat.out ? own : NULL;
}

struct mw_peer *
mw_entry_route(struct mw_entry *entry, int64_t now_us,
               const struct mw_request *request, struct mw_name *zone)
{
    *zone = (struct mw_name){0};
    if (request->kind == MW_REQUEST_CHANGE) {
        if (request->msg->change.kind == MW_CHANGE_ZONE) {
            *zone = request->msg->change.zone;
            return mw_zone_leader(entry->peers, now_us, zone);
        }
        return mw_region_leader(entry->peers, now_us);
    }
    if (!entry->document) {
        return NULL;
    }
    if (request->handover_zone.len > 0) {
        *zone = request->handover_zone;
        return mw_zone_leader(entry->peers, now_us, zone);
    }
    if (!mw_request_is_recorded(request)) {
        return route_to_any_zone(entry, now_us, request, zone);
    }
    owner_zone(entry, request, zone);
    return mw_zone_leader(entry->peers, now_us, zone);
}
