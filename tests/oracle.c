#include "oracle.h"

#include <string.h>

#define SEARCH_MAX 200000

struct host {
    struct mw_name name;
    struct mw_name rack;
    struct mw_amount room;
    struct mw_amount total;
    struct mw_amount used;
    struct mw_amount held;
    bool up;
};

struct search {
    const struct mw_zone *zone;
    GArray *hosts;
    GArray *shapes;
    const struct mw_job_view *job;
    bool said_lost;
    long tries;
};

static void
add_host(void *opaque, const struct mw_endpoint_view *view)
{
    struct search *s = opaque;
    struct host host = {.name = view->name,
                        .rack = view->rack,
                        .total = view->total,
                        .used = view->used,
                        .room = view->total,
                        .up =
                            view->up && !view->leaving && !view->quarantined};

    g_array_append_val(s->hosts, host);
}

static struct host *
find_host(struct search *s, const struct mw_name *name)
{
    for (guint i = 0; i < s->hosts->len; i++) {
        struct host *host = &g_array_index(s->hosts, struct host, i);

        if (mw_name_equal(&host->name, name)) {
            return host;
        }
    }
    return NULL;
}

static void
take_part(void *opaque, const struct mw_part *part)
{
    struct search *s = opaque;
    struct host *host = find_host(s, &part->endpoint);
    const struct mw_amount *need = &s->job->spec->shape.need;
    struct mw_amount sum = {0};

    mw_amount_add(&sum, need, part->tasks);
    mw_amount_add(&host->held, &sum, 1);
    if (s->job->claimed || !mw_spec_may_stop(s->job->spec)) {
        host->room = mw_amount_less(&host->room, &sum);
    }
}

static void
take_job(void *opaque, const struct mw_job_view *view)
{
    struct search *s = opaque;

    s->job = view;
    mw_zone_each_part(s->zone, view->id, s, take_part);
}

static void
add_cell(void *opaque, const struct mw_cell_view *view)
{
    struct search *s = opaque;

    if (!view->placed) {
        s->said_lost = true;
    }
    if (!view->claimed) {
        g_array_append_val(s->shapes, *view->shape);
    }
}

static bool place_next(struct search *s, guint shape);

/* Try every way to put the tasks that are left on hosts from `at` on. */
static bool
place_tasks(struct search *s, guint shape, uint32_t left, guint at,
            const struct mw_name *rack)
{
    const struct mw_shape *want =
        &g_array_index(s->shapes, struct mw_shape, shape);

    if (left == 0) {
        return place_next(s, shape + 1);
    }
    for (guint i = at; i < s->hosts->len; i++) {
        struct host *host = &g_array_index(s->hosts, struct host, i);
        bool near = !rack || mw_name_equal(rack, &host->rack);
        uint32_t most = mw_amount_times(&want->need, &host->room);

        if (!host->up || !near || ++s->tries > SEARCH_MAX) {
            continue;
        }
        most = MIN(most, left);
        if (want->adjacent == MW_ADJACENT_ENDPOINT && most < left) {
            continue;
        }
        for (uint32_t n = most; n > 0; n--) {
            const struct mw_name *next =
                want->adjacent == MW_ADJACENT_RACK ? &host->rack : NULL;

            mw_amount_sub(&host->room, &want->need, n);
            if (place_tasks(s, shape, left - n, i + 1, next)) {
                return true;
            }
            mw_amount_add(&host->room, &want->need, n);
        }
    }
    return false;
}

static bool
place_next(struct search *s, guint shape)
{
    if (shape == s->shapes->len) {
        return true;
    }
    const struct mw_shape *want =
        &g_array_index(s->shapes, struct mw_shape, shape);

    return place_tasks(s, shape, want->tasks, 0, NULL);
}

static int
by_size(const void *a, const void *b)
{
    const struct mw_shape *x = a;
    const struct mw_shape *y = b;
    uint32_t sx = x->tasks * x->need.accelerators;
    uint32_t sy = y->tasks * y->need.accelerators;

    return sx == sy ? 0 : sx < sy ? 1 : -1;
}

static void
begin(struct search *s, const struct mw_zone *zone)
{
    *s = (struct search){.zone = zone};
    s->hosts = g_array_new(FALSE, FALSE, sizeof(struct host));
    s->shapes = g_array_new(FALSE, FALSE, sizeof(struct mw_shape));
    mw_zone_each_endpoint(zone, s, add_host);
    mw_zone_each_job(zone, s, take_job);
    mw_zone_each_cell(zone, s, add_cell);
    g_array_sort(s->shapes, by_size);
}

static void
end(struct search *s)
{
    g_array_unref(s->hosts);
    g_array_unref(s->shapes);
}

enum mw_verdict
mw_oracle_judge(const struct mw_zone *zone)
{
    struct search s;
    enum mw_verdict verdict = MW_HOLDS;

    begin(&s, zone);
    if (s.said_lost) {
        verdict = MW_SAID_LOST;
    }
    else if (!place_next(&s, 0)) {
        verdict = s.tries > SEARCH_MAX ? MW_UNDECIDED : MW_BROKEN;
    }
    end(&s);
    return verdict;
}

bool
mw_oracle_accounts(const struct mw_zone *zone, GString *fault)
{
    struct search s;
    bool fine = true;

    begin(&s, zone);
    for (guint i = 0; i < s.hosts->len; i++) {
        struct host *host = &g_array_index(s.hosts, struct host, i);

        if (memcmp(&host->used, &host->held, sizeof host->used) != 0) {
            g_string_append_printf(
                fault, "%.*s: books say %u accelerators, jobs hold %u; ",
                MW_FMT(mw_name_str(&host->name)), host->used.accelerators,
                host->held.accelerators);
            fine = false;
        }
    }
    end(&s);
    return fine;
}
