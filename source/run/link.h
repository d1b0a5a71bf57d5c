#ifndef MW_RUN_LINK_H
#define MW_RUN_LINK_H

#include "task.h"

/*
 * link: the task that owns the connections to other processes.
 *
 * A connection that has received nothing for MW_LINK_IDLE_TIMEOUT_US is closed
 * and dialed again: an established connection can stop carrying data for good
 * while new connections still work.  Two processes keep one connection, see
 * link-choice; its bytes are frames, see link-frame.
 */

#define MW_LINK_IDLE_TIMEOUT_US 1500000
#define MW_LINK_REDIAL_DELAY_US 200000
#define MW_LINKS_MAX 1024

/* mw_dial_target: name and address of a process to keep a connection to. */
struct mw_dial_target {
    struct mw_name name;
    struct mw_name address;
};

struct mw_link_setup {
    struct mw_name name;
    struct mw_name zone;
    enum mw_process_role role;
    uint64_t incarnation;
    struct mw_blob *key;
    /* address to listen on, empty for none */
    struct mw_name listen;
    /* bytes to send on one connection; 0 for MW_LINK_QUEUE_BYTES_MAX */
    size_t queue_max;
    uint32_t dial_count;
    struct mw_dial_target dials[2 * MW_MEMBERS_MAX + MW_ZONES_MAX];
    /* receives messages and changes of connection state */
    struct mw_task *owner;
    /* copied, so that the task has its own context */
    struct mw_context ctx;
};

struct mw_link_counters {
    uint64_t frames_in;
    uint64_t frames_out;
    uint64_t bytes_in;
    uint64_t bytes_out;
    uint64_t dials;
    uint64_t accepted;
    /* closed by the idle timeout */
    uint64_t silent;
    uint64_t bad_frames;
    /* frames with a wrong MAC */
    uint64_t bad_seals;
    /* messages without a connection, or longer than a frame may be */
    uint64_t unsent;
    /* connections closed because their send queue was full */
    uint64_t queue_full;
};

/*
 * mw_links: the connections to other processes.
 *
 * Once a second the owner receives MW_TASK_MSG_STATUS with the counters as
 * JSON text.
 */
struct mw_links;

/*
 * mw_new_links: bind the listening address and serve the connections.
 *
 * Call it in the owner's thread, in which the connections are served.
 * Returns NULL and sets message on failure.
 */
struct mw_links *mw_new_links(const struct mw_link_setup *setup,
                              char **message);
void mw_drop_links(struct mw_links *links);

/* mw_links_task: the task for MW_TASK_MSG_PEER and MW_TASK_MSG_BROADCAST. */
struct mw_task *mw_links_task(struct mw_links *links);

/*
 * mw_links_dial: keep a connection to one more process.
 *
 * Call it in the thread of the links, and again as long as the process is
 * known: where the list is full, the process without a connection that was
 * named least recently gives way.
 */
void mw_links_dial(struct mw_links *links,
                   const struct mw_dial_target *target);

/*
 * Key for connections within a region, whose settings provide no secret.  It
 * guards against connecting the wrong processes, not against an attacker.
 */
#define MW_REGION_LINK_KEY MW_STR("mimosawind-region")

/* mw_region_dial_target: dial target of a process named by its IP address. */
struct mw_dial_target mw_region_dial_target(const struct mw_name *name,
                                            uint16_t port);

#endif
