#ifndef MW_DAEMON_H
#define MW_DAEMON_H

#include "link.h"
#include "settings.h"

/*
 * daemon: signals and the end of a process, the same for both daemons.
 *
 * SIGTERM and SIGINT leave in a planned way; SIGUSR1 writes the dump.
 */

struct mw_daemon {
    GMainLoop *loop;
    const char *name;
    int error;
    void *opaque;
    void (*leave)(void *opaque);
    void (*dump)(void *opaque);
};

/* mw_run_daemon: wait until ended; returns the exit status. */
int mw_run_daemon(struct mw_daemon *daemon);

/* mw_daemon_ended: callback for the process's task; any thread. */
void mw_daemon_ended(void *daemon, int error, struct mw_str message);

/* mw_daemon_key: the shared key, or NULL with a line on standard error. */
struct mw_blob *mw_daemon_key(const char *program, struct mw_str path);

/* mw_add_dials: processes to dial, but not this one or one listed. */
void mw_add_dials(const struct mw_members *members, struct mw_dial *dials,
                  uint32_t *count,
                  bool (*wanted)(const struct mw_name *self,
                                 const struct mw_name *peer),
                  const struct mw_name *self);

#endif
