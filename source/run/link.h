#ifndef MW_RUN_LINK_H
#define MW_RUN_LINK_H

#include <gio/gio.h>

#include "task.h"

/*
 * link: the task that owns every connection to other processes.
 *
 * FRAME   length in 4 bytes, big endian; seal in 16 bytes; payload
 *
 * The length is checked before anything is allocated.  A connection on
 * which nothing has arrived for MW_LINK_IDLE_TIMEOUT_US is closed and dialled
 * anew, since old ones go silent for good while new ones work.  A newer
 * connection of the same process replaces the older one.
 */

#define MW_LINK_IDLE_TIMEOUT_US 1500000
#define MW_LINK_REDIAL_DELAY_US 200000
#define MW_LINK_QUEUE_BYTES_MAX (256u * 1024 * 1024)
#define MW_LINKS_MAX 1024

/* mw_dial: a process to keep a connection to. */
struct mw_dial {
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
    uint32_t dial_count;
    struct mw_dial dials[2 * MW_MEMBERS_MAX + MW_ZONES_MAX];
    /* where messages and changes of connections are posted */
    struct mw_task *owner;
    /* copied: the task has a context of its own */
    struct mw_context ctx;
};

struct mw_link_counters {
    uint64_t frames_in;
    uint64_t frames_out;
    uint64_t bytes_in;
    uint64_t bytes_out;
    uint64_t dials;
    uint64_t accepted;
    uint64_t silent;
    uint64_t bad_frames;
    uint64_t bad_seals;
    uint64_t unsent;
    uint64_t queue_full;
};

/*
 * The owner is sent MW_TASK_MSG_STATUS with the counters as JSON text once a
 * second.
 */
struct mw_links;

/*
 * mw_new_links: bind and serve in the owner's thread, which must call it.
 *
 * Returns NULL and a message on failure.
 */
struct mw_links *mw_new_links(const struct mw_link_setup *setup,
                              char **message);
void mw_drop_links(struct mw_links *links);

/* mw_links_task: where to post MW_TASK_MSG_PEER and MW_TASK_MSG_BROADCAST. */
struct mw_task *mw_links_task(struct mw_links *links);

/*
 * mw_links_dial: keep a connection to one more process.
 *
 * To be called in the links' thread; one that is listed already is left.
 */
void mw_links_dial(struct mw_links *links, const struct mw_dial *dial);

/*
 * The key of links within a region whose settings give no secret: it guards
 * against mix-ups, not against an intruder.
 */
#define MW_REGION_LINK_KEY MW_STR("mimosawind-region")

/* mw_region_dial_target: a process that is named by its IP number. */
struct mw_dial mw_region_dial_target(const struct mw_name *name,
                                     uint16_t port);

/* mw_parse_address: IP:PORT into a socket address; NULL when invalid. */
GSocketAddress *mw_parse_address(const struct mw_name *text);

#endif
