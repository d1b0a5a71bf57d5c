#include "link-impl.h"

#include <inttypes.h>

#include "mimosawind/link-choice.h"

#define TICK_INTERVAL_US 100000
#define COUNTERS_INTERVAL_US 1000000
/*
 * A connection that is not established by then is given up.  The operating
 * system repeats a lost first packet after 1 s only; a new dial sends another.
 */
#define DIAL_TIMEOUT_US 400000

static void
on_accepted(void *opaque, struct mw_conn *conn)
{
    struct mw_links *links = opaque;
    struct mw_link *link;
    struct mw_conn_callbacks callbacks;

    if (links->connections->len >= MW_LINKS_MAX) {
        mw_conn_close(conn);
        return;
    }
    link = mw_new_link(links, MW_LINK_ACCEPTED);
    callbacks = mw_link_callbacks(link);
    link->conn = conn;
    links->counters.accepted++;
    g_ptr_array_add(links->connections, link);
    mw_conn_set_callbacks(conn, &callbacks);
    mw_link_opened(link);
}

static bool
start_listening(struct mw_links *links, char **message)
{
    struct mw_listener_callbacks callbacks = {links, on_accepted};
    const char *reason;

    if (links->setup.listen.len == 0) {
        return true;
    }
    links->listener =
        mw_new_listener(&links->setup.listen, &callbacks, &reason);
    if (!links->listener) {
        *message =
            g_strdup_printf("--listen: %s; choose a free address", reason);
    }
    return links->listener != NULL;
}

static void
send_to_process(struct mw_links *links, const struct mw_task_msg *task_msg)
{
    struct mw_link *link =
        g_hash_table_lookup(links->by_process, &task_msg->process);
    struct mw_blob *payload;

    if (!link ||
        !mw_may_queue_msg(task_msg->msg->kind, mw_link_queued_bytes(link))) {
        links->counters.unsent++;
        return;
    }
    payload = mw_encode_msg(task_msg->msg, &links->setup.name, mw_now());
    if (payload->len > MW_FRAME_BYTES_MAX) {
        links->counters.unsent++;
    }
    else {
        mw_link_send(link, payload);
    }
    mw_drop_blob(payload);
}

static void
send_to_role(struct mw_links *links, const struct mw_task_msg *task_msg)
{
    struct mw_blob *payload =
        mw_encode_msg(task_msg->msg, &links->setup.name, mw_now());

    for (guint i = links->connections->len; i > 0; i--) {
        struct mw_link *link = links->connections->pdata[i - 1];

        if (link->has_hello && link->role == task_msg->role) {
            mw_link_send(link, payload);
        }
    }
    mw_drop_blob(payload);
}

static void
links_receive(void *opaque, struct mw_task_msg *task_msg)
{
    struct mw_links *links = opaque;

    if (task_msg->kind == MW_TASK_MSG_PEER) {
        send_to_process(links, task_msg);
    }
    else if (task_msg->kind == MW_TASK_MSG_BROADCAST) {
        send_to_role(links, task_msg);
    }
}

/* All frames of a batch of messages are written at once. */
static void
links_batch(void *opaque)
{
    struct mw_links *links = opaque;

    for (guint i = 0; i < links->connections->len; i++) {
        mw_flush_link(links->connections->pdata[i]);
    }
}

static bool
is_silent(const struct mw_link *link, int64_t now_us)
{
    return now_us - link->last_receive_us >
           (link->open ? MW_LINK_IDLE_TIMEOUT_US : DIAL_TIMEOUT_US);
}

static void
close_silent(struct mw_links *links, int64_t now_us)
{
    for (guint i = links->connections->len; i > 0; i--) {
        struct mw_link *link = links->connections->pdata[i - 1];

        if (!is_silent(link, now_us)) {
            continue;
        }
        if (link->open) {
            links->counters.silent++;
            mw_emit_event(&links->ctx, MW_SEVERITY_WARNING,
                          "event=link_silent process=%.*s",
                          MW_FMT(mw_name_str(&link->process)));
        }
        mw_close_link(link);
    }
}

static void
post_counters(struct mw_links *links)
{
    const struct mw_link_counters *c = &links->counters;
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_STATUS);
    char text[512];
    int len =
        g_snprintf(text, sizeof text,
                   "{\"connections\": %u, \"frames_in\": %" PRIu64
                   ", \"frames_out\": %" PRIu64 ", \"bytes_in\": %" PRIu64
                   ", \"bytes_out\": %" PRIu64 ", \"dials\": %" PRIu64
                   ", \"accepted\": %" PRIu64 ", \"silent\": %" PRIu64
                   ", \"bad_frames\": %" PRIu64 ", \"bad_seals\": %" PRIu64
                   ", \"unsent\": %" PRIu64 ", \"queue_full\": %" PRIu64 "}",
                   links->connections->len, c->frames_in, c->frames_out,
                   c->bytes_in, c->bytes_out, c->dials, c->accepted, c->silent,
                   c->bad_frames, c->bad_seals, c->unsent, c->queue_full);

    task_msg->text = mw_new_blob((struct mw_str){text, (size_t)len});
    mw_post(links->setup.owner, task_msg);
}

static void
links_tick(void *opaque, int64_t now_us)
{
    struct mw_links *links = opaque;

    links->tick_deadline_us = now_us + TICK_INTERVAL_US;
    if (now_us >= links->counters_deadline_us) {
        links->counters_deadline_us = now_us + COUNTERS_INTERVAL_US;
        post_counters(links);
    }
    close_silent(links, now_us);
    g_ptr_array_set_size(links->closed, 0);
    mw_dial_links(links, now_us);
}

static int64_t
links_deadline(void *opaque)
{
    struct mw_links *links = opaque;

    return links->tick_deadline_us;
}

static void
links_stop(void *opaque)
{
    struct mw_links *links = opaque;

    while (links->connections->len > 0) {
        mw_close_link(links->connections->pdata[links->connections->len - 1]);
    }
    mw_drop_listener(g_steal_pointer(&links->listener));
}

struct mw_links *
mw_new_links(const struct mw_link_setup *setup, char **message)
{
    struct mw_links *links = g_new0(struct mw_links, 1);
    struct mw_task_callbacks work = {
        .opaque = links,
        .receive = links_receive,
        .batch = links_batch,
        .deadline = links_deadline,
        .tick = links_tick,
        .stop = links_stop,
    };

    links->setup = *setup;
    if (setup->queue_max == 0) {
        links->setup.queue_max = MW_LINK_QUEUE_BYTES_MAX;
    }
    links->ctx = setup->ctx;
    links->rand = g_rand_new();
    links->connections = g_ptr_array_new();
    links->closed =
        g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_link);
    links->by_process = g_hash_table_new(mw_hash_name, mw_same_name);
    links->dial_count = setup->dial_count;
    for (uint32_t i = 0; i < setup->dial_count; i++) {
        links->dials[i].target = setup->dials[i];
    }
    links->task = mw_new_task_on_thread(setup->owner, &work);
    if (!start_listening(links, message)) {
        mw_drop_links(links);
        return NULL;
    }
    return links;
}

void
mw_drop_links(struct mw_links *links)
{
    if (!links) {
        return;
    }
    mw_drop_task(links->task);
    g_hash_table_unref(links->by_process);
    g_ptr_array_unref(links->connections);
    g_ptr_array_unref(links->closed);
    g_rand_free(links->rand);
    g_free(links);
}

struct mw_task *
mw_links_task(struct mw_links *links)
{
    return links->task;
}
