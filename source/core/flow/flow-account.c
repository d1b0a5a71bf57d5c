/*
 * flow-account: what the runs of each organisation use in each service.
 *
 * LOAD   queues of thousands of groups that are ordered by their
 *        organisations' shares in each pass: use is a sum that is kept, not
 *        added up again.
 *
 * An account stays until the process ends: 170 bytes for each organisation and
 * service that had a flow.
 */
#include "flow-account.h"

static guint
hash_account(gconstpointer data)
{
    const struct mw_flow_account *account = data;

    return mw_hash_name(&account->org) * 31 + mw_hash_name(&account->service);
}

static gboolean
is_same_account(gconstpointer a, gconstpointer b)
{
    const struct mw_flow_account *x = a;
    const struct mw_flow_account *y = b;

    return mw_name_equal(&x->org, &y->org) &&
           mw_name_equal(&x->service, &y->service);
}

GHashTable *
mw_new_flow_accounts(void)
{
    return g_hash_table_new_full(hash_account, is_same_account, NULL, g_free);
}

struct mw_flow_account *
mw_get_flow_account(GHashTable *accounts, const struct mw_name *org,
                    const struct mw_name *service)
{
    struct mw_flow_account wanted = {.org = *org, .service = *service};
    struct mw_flow_account *account = g_hash_table_lookup(accounts, &wanted);

    if (!account) {
        account = g_new0(struct mw_flow_account, 1);
        *account = wanted;
        g_hash_table_insert(accounts, account, account);
    }
    return account;
}

bool
mw_has_account_of_service(GHashTable *accounts, const struct mw_name *service)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (mw_name_equal(&((struct mw_flow_account *)value)->service,
                          service)) {
            return true;
        }
    }
    return false;
}

void
mw_add_account_use(struct mw_flow_account *account,
                   const struct mw_flow_resources *need)
{
    account->used.cpu += need->cpu;
    account->used.memory_mb += need->memory_mb;
    account->used.gpus += need->gpus;
}

void
mw_subtract_account_use(struct mw_flow_account *account,
                        const struct mw_flow_resources *need)
{
    account->used.cpu -= need->cpu;
    account->used.memory_mb -= need->memory_mb;
    account->used.gpus -= need->gpus;
}
