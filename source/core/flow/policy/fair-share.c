/*
 * fair-share: the order of waiting work by weighted dominant shares.
 *
 * LOAD   bursts of one organisation beyond the capacity of a service, while
 *        others have work with later deadlines.  The organisation with the
 *        smallest dominant share for its weight goes next.
 *
 * The groups are sorted by section, then by account.  A section is a rank, or
 * the part of a rank that is too late.  The queues of a section's accounts are
 * then merged with a heap, the account with the smallest share at its top.
 */
#include <glib.h>
#include <string.h>

#include "fair-share.h"

static int
compare(uint64_t a, uint64_t b)
{
    return (a > b) - (a < b);
}

static bool
is_shared(const struct mw_fair_group *group)
{
    return group->rank >= MW_FAIR_SHARE_RANK_MIN;
}

static int
compare_sections(const struct mw_fair_group *a, const struct mw_fair_group *b)
{
    int order = compare(a->rank, b->rank);

    if (order == 0 && is_shared(a)) {
        order =
            compare(a->lateness == MW_TOO_LATE, b->lateness == MW_TOO_LATE);
    }
    return order;
}

/* Due time, then identifier. */
static int
compare_due(const struct mw_fair_group *a, const struct mw_fair_group *b)
{
    if (a->due_us != b->due_us) {
        return a->due_us < b->due_us ? -1 : 1;
    }
    if (a->id != b->id) {
        int order = memcmp(a->id, b->id, sizeof *a->id);

        if (order != 0) {
            return order;
        }
    }
    return compare(a->number, b->number);
}

static gint
by_section_and_account(gconstpointer x, gconstpointer y)
{
    const struct mw_fair_group *a = x;
    const struct mw_fair_group *b = y;
    int order = compare_sections(a, b);

    if (order == 0 && is_shared(a)) {
        order = compare(a->account, b->account);
    }
    if (order == 0) {
        order = compare(a->lateness, b->lateness);
    }
    return order ? order : compare_due(a, b);
}

/* The weighted share of the total; 0 if the service has none of it. */
static double
share_of(uint64_t use, uint64_t total, uint32_t weight)
{
    return total > 0 ? (double)use / ((double)total * MAX(weight, 1)) : 0;
}

double
mw_dominant_share(const struct mw_fair_account *account)
{
    const struct mw_flow_amounts *use = &account->use;
    const struct mw_flow_amounts *total = &account->total;
    double share = share_of(use->cpu, total->cpu, account->weight);

    share = MAX(share,
                share_of(use->memory_mb, total->memory_mb, account->weight));
    return MAX(share, share_of(use->gpus, total->gpus, account->weight));
}

static void
add_demand(struct mw_fair_account *account, const struct mw_fair_group *group)
{
    account->use.cpu += group->demand.cpu;
    account->use.memory_mb += group->demand.memory_mb;
    account->use.gpus += group->demand.gpus;
}

/* queue: the groups of one account in a section that are not taken yet. */
struct queue {
    double share;
    const struct mw_fair_group *next;
    const struct mw_fair_group *end;
};

/* Whether the queue is served before another one. */
static bool
goes_before(const struct queue *a, const struct queue *b)
{
    if (a->share != b->share) {
        return a->share < b->share;
    }
    return compare_due(a->next, b->next) < 0;
}

/* Moves a queue of the heap down until no queue below it goes before it. */
static void
sift_down(struct queue *heap, uint32_t count, uint32_t at)
{
    for (;;) {
        uint32_t first = at;
        struct queue held;

        for (uint32_t i = 2 * at + 1; i <= 2 * at + 2 && i < count; i++) {
            if (goes_before(&heap[i], &heap[first])) {
                first = i;
            }
        }
        if (first == at) {
            return;
        }
        held = heap[at];
        heap[at] = heap[first];
        heap[first] = held;
        at = first;
    }
}

/* Makes a heap of the queues of a section; returns their number. */
static uint32_t
fill_heap(const struct mw_fair_account *accounts,
          const struct mw_fair_group *groups, uint32_t group_count,
          struct queue *heap)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < group_count; i++) {
        if (i == 0 || groups[i].account != groups[i - 1].account) {
            heap[count++] = (struct queue){
                .share = mw_dominant_share(&accounts[groups[i].account]),
                .next = &groups[i],
            };
        }
        heap[count - 1].end = &groups[i] + 1;
    }
    for (uint32_t i = count / 2; i > 0; i--) {
        sift_down(heap, count, i - 1);
    }
    return count;
}

/* Writes the groups of a section to ordered, by the shares of the accounts. */
static void
merge_queues(struct mw_fair_account *accounts,
             const struct mw_fair_group *groups, uint32_t group_count,
             struct queue *heap, struct mw_fair_group *ordered)
{
    uint32_t count = fill_heap(accounts, groups, group_count, heap);

    while (count > 0) {
        struct queue *first = &heap[0];
        struct mw_fair_account *account = &accounts[first->next->account];

        add_demand(account, first->next);
        *ordered++ = *first->next++;
        first->share = mw_dominant_share(account);
        if (first->next == first->end) {
            *first = heap[--count];
        }
        sift_down(heap, count, 0);
    }
}

/* Writes the groups of a section to ordered, as they are. */
static void
copy_section(struct mw_fair_account *accounts,
             const struct mw_fair_group *groups, uint32_t group_count,
             struct mw_fair_group *ordered)
{
    for (uint32_t i = 0; i < group_count; i++) {
        add_demand(&accounts[groups[i].account], &groups[i]);
        ordered[i] = groups[i];
    }
}

void
mw_order_by_fair_share(struct mw_fair_account *accounts,
                       uint32_t account_count, struct mw_fair_group *groups,
                       uint32_t group_count)
{
    GArray *copy =
        g_array_sized_new(FALSE, FALSE, sizeof *groups, group_count);
    struct queue *heap = g_new(struct queue, account_count);
    const struct mw_fair_group *sorted;
    uint32_t begin = 0;

    g_array_append_vals(copy, groups, group_count);
    g_array_sort(copy, by_section_and_account);
    sorted = &g_array_index(copy, struct mw_fair_group, 0);
    while (begin < group_count) {
        uint32_t end = begin + 1;

        while (end < group_count &&
               compare_sections(&sorted[begin], &sorted[end]) == 0) {
            end++;
        }
        if (is_shared(&sorted[begin])) {
            merge_queues(accounts, &sorted[begin], end - begin, heap,
                         &groups[begin]);
        }
        else {
            copy_section(accounts, &sorted[begin], end - begin,
                         &groups[begin]);
        }
        begin = end;
    }
    g_free(heap);
    g_array_unref(copy);
}
