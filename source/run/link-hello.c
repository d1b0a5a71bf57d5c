/*
 * link-hello: who the peer of a connection is; one connection is kept to each
 * process.
 */
#include "link-impl.h"

#include "mimosawind/link-choice.h"

static void
post_link_state(const struct mw_link *link, bool connected)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_LINK);

    task_msg->process = link->process;
    task_msg->role = link->role;
    task_msg->connected = connected;
    mw_post(link->links->setup.owner, task_msg);
}

void
mw_send_hello(struct mw_link *link)
{
    const struct mw_link_setup *setup = &link->links->setup;
    struct mw_msg *msg = mw_new_msg(MW_MSG_HELLO);
    struct mw_blob *payload;

    msg->hello.role = setup->role;
    msg->hello.zone = setup->zone;
    msg->hello.incarnation = setup->incarnation;
    payload = mw_encode_msg(msg, &setup->name, mw_now());
    mw_link_send(link, payload);
    mw_flush_link(link);
    mw_drop_blob(payload);
    mw_drop_msg(msg);
}

static struct mw_link_end
link_end(const struct mw_link *link)
{
    return (struct mw_link_end){
        .dialed_here = link->dial != MW_LINK_ACCEPTED,
        .peer_incarnation = link->peer_incarnation,
        .last_receive_us = link->last_receive_us,
    };
}

static bool
replaces(const struct mw_link *link, const struct mw_link *old)
{
    struct mw_link_end fresh = link_end(link);
    struct mw_link_end present = link_end(old);

    return mw_replaces_link(&link->links->setup.name, &link->process, &present,
                            &fresh, mw_now());
}

bool
mw_accept_hello(struct mw_link *link, const struct mw_msg *msg,
                const struct mw_name *name)
{
    GHashTable *by_process = link->links->by_process;
    struct mw_link *old = g_hash_table_lookup(by_process, name);

    link->process = *name;
    link->role = msg->hello.role;
    link->peer_incarnation = msg->hello.incarnation;
    if (old && old != link) {
        if (!replaces(link, old)) {
            return false;
        }
        mw_close_link(old);
    }
    link->has_hello = true;
    g_hash_table_insert(by_process, &link->process, link);
    post_link_state(link, true);
    return true;
}

void
mw_forget_process(struct mw_link *link)
{
    GHashTable *by_process = link->links->by_process;

    if (link->has_hello &&
        g_hash_table_lookup(by_process, &link->process) == link) {
        g_hash_table_remove(by_process, &link->process);
        post_link_state(link, false);
    }
}
