#include "region-process.h"

#include <unistd.h>

/* more than the pending requests, or the largest messages of the log */
#define LINK_QUEUE_BYTES_MAX (32u * 1024 * 1024)

static bool
start_links(struct mw_region_process *process, struct mw_task *owner,
            char **message)
{
    const struct mw_region_process_setup *setup = &process->setup;
    struct mw_link_setup link = {
        .name = setup->name,
        .zone = setup->zone,
        .role = setup->role,
        .incarnation = (uint64_t)g_get_real_time(),
        .key = process->key,
        .queue_max = LINK_QUEUE_BYTES_MAX,
        .owner = owner,
        .ctx = setup->ctx,
    };

    if (setup->role == MW_ROLE_CONTROL) {
        link.listen =
            mw_region_dial_target(&setup->name, setup->link_port).address;
    }
    process->links = mw_new_links(&link, message);
    if (!process->links) {
        return false;
    }
    process->links_task = mw_links_task(process->links);
    return true;
}

bool
mw_start_region_process(struct mw_region_process *process,
                        const struct mw_region_process_setup *setup,
                        struct mw_task *owner, char **message)
{
    process->setup = *setup;
    process->log = mw_new_event_log(STDOUT_FILENO, mw_name_str(&setup->name));
    process->key = mw_new_blob(MW_REGION_LINK_KEY);
    mw_event_log_write_start(process->log, mw_now(), mw_name_str(&setup->zone),
                             setup->role == MW_ROLE_CONTROL ? "control"
                                                            : "entry");
    return start_links(process, owner, message);
}

void
mw_stop_region_process(struct mw_region_process *process)
{
    mw_drop_links(process->links);
    mw_drop_event_log(process->log);
    mw_drop_blob(process->key);
}

void
mw_end_region_process(struct mw_region_process *process, int error,
                      struct mw_str message)
{
    const struct mw_region_process_setup *setup = &process->setup;

    if (!process->ended) {
        process->ended = true;
        mw_event_log_write_change(process->log, mw_now(), "stop", message,
                                  error ? "failed" : "planned");
        mw_flush_event_log(process->log, mw_now());
        setup->ended(setup->opaque, error, message);
    }
}

void
mw_dial_region_process(struct mw_region_process *process,
                       const struct mw_name *name)
{
    struct mw_dial_target target =
        mw_region_dial_target(name, process->setup.link_port);

    if (name->len > 0) {
        mw_links_dial(process->links, &target);
    }
}

void
mw_log_link_change(struct mw_region_process *process,
                   const struct mw_task_msg *task_msg)
{
    mw_event_log_write_change(process->log, mw_now(), "link",
                              mw_name_str(&task_msg->process),
                              task_msg->connected ? "regained" : "lost");
}
