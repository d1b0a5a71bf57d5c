#ifndef MW_DAEMON_H
#define MW_DAEMON_H

#include "link.h"
#include "settings.h"

/*
 * daemon: main loop, signals, key file and peers, common to the daemons.
 *
 * SIGTERM and SIGINT start a graceful shutdown; SIGUSR1 writes a state dump
 * to standard error.
 */

struct mw_daemon {
    GMainLoop *loop;
    const char *name;
    /* why the process failed; 0 after a graceful shutdown */
    int error;
    /* argument of leave and dump */
    void *opaque;
    void (*leave)(void *opaque);
    void (*dump)(void *opaque);
};

/*
 * mw_run_daemon: runs the main loop until mw_daemon_ended.
 *
 * Returns the exit status of the process.
 */
int mw_run_daemon(struct mw_daemon *daemon);

/*
 * mw_daemon_ended: logs the end of the process's task and stops the loop.
 *
 * The task calls it from any thread; daemon is a struct mw_daemon.
 */
void mw_daemon_ended(void *daemon, int error, struct mw_str message);

/*
 * mw_read_key_file: returns the shared key, a new blob.
 *
 * When it can't be read, prints a message for --key-file and returns NULL.
 */
struct mw_blob *mw_read_key_file(const char *program, struct mw_str path);

/*
 * mw_add_dials: adds the members that this process connects to.
 *
 * Leaves out this process itself, members that are already in dials, and
 * those for which should_dial returns false.  NULL for should_dial adds all.
 */
void mw_add_dials(const struct mw_process_list *members,
                  struct mw_dial_target *dials, uint32_t *count,
                  bool (*should_dial)(const struct mw_name *self,
                                      const struct mw_name *peer),
                  const struct mw_name *self);

#endif
