/*
 * link-connection: one connection to another process: its frames, and its
 * end.
 */
#include "link-impl.h"

#include "mimosawind/link-choice.h"

struct mw_link *
mw_new_link(struct mw_links *links, int dial)
{
    struct mw_link *link = g_new0(struct mw_link, 1);

    link->links = links;
    link->dial = dial;
    link->last_receive_us = mw_now();
    mw_init_frame_stream(&link->frames, links->setup.key, links->rand);
    return link;
}

void
mw_drop_link(struct mw_link *link)
{
    mw_conn_close(link->conn);
    mw_clear_frame_stream(&link->frames);
    g_free(link);
}

void
mw_close_link(struct mw_link *link)
{
    struct mw_links *links = link->links;

    if (!g_ptr_array_remove_fast(links->connections, link)) {
        return;
    }
    link->open = false;
    mw_conn_close(g_steal_pointer(&link->conn));
    if (link->dial != MW_LINK_ACCEPTED) {
        mw_redial_later(&links->dials[link->dial]);
    }
    mw_forget_process(link);
    g_ptr_array_add(links->closed, link);
}

size_t
mw_link_queued_bytes(const struct mw_link *link)
{
    return mw_conn_queued_bytes(link->conn) + link->frames.out->len;
}

void
mw_link_send(struct mw_link *link, const struct mw_blob *payload)
{
    struct mw_link_counters *counters = &link->links->counters;

    if (!link->open) {
        return;
    }
    if (mw_link_queued_bytes(link) + payload->len >
        link->links->setup.queue_max) {
        counters->queue_full++;
        mw_close_link(link);
        return;
    }
    counters->bytes_out += mw_append_frame(&link->frames, payload);
    counters->frames_out++;
}

void
mw_flush_link(struct mw_link *link)
{
    GByteArray *out = link->frames.out;

    if (link->open && out->len > 0) {
        mw_conn_send(link->conn,
                     (struct mw_str){(const char *)out->data, out->len});
        g_byte_array_set_size(out, 0);
    }
}

static void
post_msg(const struct mw_link *link, struct mw_msg *msg)
{
    struct mw_task_msg *task_msg = mw_new_task_msg(MW_TASK_MSG_PEER);

    task_msg->process = link->process;
    task_msg->role = link->role;
    task_msg->msg = msg;
    mw_post(link->links->setup.owner, task_msg);
}

/* Returns false if the connection must be closed. */
static bool
handle_payload(struct mw_link *link, struct mw_str payload)
{
    struct mw_links *links = link->links;
    struct mw_name name = {0};
    int err = 0;
    struct mw_msg *msg =
        mw_decode_msg(&links->ctx, payload, mw_now(), &name, &err);

    if (!msg) {
        links->counters.bad_frames++;
        mw_emit_event(&links->ctx, MW_SEVERITY_WARNING,
                      "event=bad_frame kind=%.*s detail=\"%.*s\"",
                      MW_FMT(mw_error_str(err)),
                      MW_FMT(mw_detail(&links->ctx)));
        return false;
    }
    links->counters.frames_in++;
    if (msg->kind == MW_MSG_HELLO) {
        /* a peer says only once who it is */
        bool keep = !link->has_hello && mw_accept_hello(link, msg, &name);

        mw_drop_msg(msg);
        return keep;
    }
    if (!link->has_hello) {
        mw_drop_msg(msg);
        return false;
    }
    post_msg(link, msg);
    return true;
}

/* Returns false if the connection must be closed. */
static bool
handle_frame(struct mw_link *link, enum mw_frame_result result,
             struct mw_str payload)
{
    struct mw_links *links = link->links;

    switch (result) {
    case MW_FRAME_READ:
        return handle_payload(link, payload);
    case MW_FRAME_TOO_LONG:
        links->counters.bad_frames++;
        return false;
    case MW_FRAME_WRONG_MAC:
        links->counters.bad_seals++;
        mw_emit_event(&links->ctx, MW_SEVERITY_WARNING,
                      "event=bad_seal kind=auth remedy=\"give both sides the "
                      "same key file\"");
        return false;
    default:
        return true;
    }
}

/* Handles all complete frames; returns false to close the connection. */
static bool
handle_frames(struct mw_link *link)
{
    enum mw_frame_result result = MW_FRAME_READ;
    struct mw_str payload;

    if (!link->frames.has_peer_nonce) {
        if (!mw_read_nonce(&link->frames)) {
            return true;
        }
        mw_send_hello(link);
    }
    while (link->open && result != MW_FRAME_INCOMPLETE) {
        result = mw_read_frame(&link->frames, &payload);
        if (!handle_frame(link, result, payload)) {
            return false;
        }
    }
    mw_discard_read(&link->frames);
    return true;
}

static void
on_received(void *opaque, struct mw_str bytes)
{
    struct mw_link *link = opaque;

    link->last_receive_us = mw_now();
    link->links->counters.bytes_in += bytes.len;
    mw_add_received(&link->frames, bytes);
    if (!handle_frames(link)) {
        mw_close_link(link);
    }
}

static void
on_closed(void *opaque, bool refused)
{
    (void)refused;
    mw_close_link(opaque);
}

void
mw_link_opened(void *opaque)
{
    struct mw_link *link = opaque;

    link->open = true;
    link->last_receive_us = mw_now();
    mw_append_nonce(&link->frames);
    mw_flush_link(link);
}

struct mw_conn_callbacks
mw_link_callbacks(struct mw_link *link)
{
    return (struct mw_conn_callbacks){
        .opaque = link,
        .opened = mw_link_opened,
        .received = on_received,
        .closed = on_closed,
    };
}
