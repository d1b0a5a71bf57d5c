#ifndef MW_TOOL_H
#define MW_TOOL_H

#include <jansson.h>

#include "settings.h"

/*
 * tool: what the subcommands of mw share.
 *
 * EXIT STATUS  0 done; 1 refused, with the reason; 2 wrong use
 */

enum mw_exit {
    MW_EXIT_DONE = 0,
    MW_EXIT_REFUSED = 1,
    MW_EXIT_USAGE = 2
};

/* mw_command: one subcommand; argv[0] is its own name. */
struct mw_command {
    const char *name;
    const char *about;
    int (*run)(int argc, char **argv);
};

int mw_run_submit(int argc, char **argv);
int mw_run_wait(int argc, char **argv);
int mw_run_cancel(int argc, char **argv);
int mw_run_try(int argc, char **argv);
int mw_run_promote(int argc, char **argv);
int mw_run_zone(int argc, char **argv);
int mw_run_status(int argc, char **argv);
int mw_run_jobs(int argc, char **argv);
int mw_run_endpoints(int argc, char **argv);
int mw_run_guarantees(int argc, char **argv);
int mw_run_dump(int argc, char **argv);
int mw_run_explain(int argc, char **argv);
int mw_run_init(int argc, char **argv);
int mw_run_key(int argc, char **argv);
int mw_run_token(int argc, char **argv);

/* mw_call: one request of a tool, signed when key is not NULL. */
struct mw_call {
    const char *method;
    const char *address;
    char *path;
    struct mw_str body;
    struct mw_blob *key;
    const char *token;
    unsigned timeout_s;
    int status;
    struct mw_blob *reply;
};

/*
 * mw_call_one: send and wait.
 *
 * Returns 0 with status and reply, or an error printed to standard error.
 */
int mw_call_one(struct mw_call *call);

/* mw_fail_use: print a message of wrong use; returns MW_EXIT_USAGE. */
int mw_fail_use(const char *command, const char *text);

/* mw_load_text: a whole file; NULL and a message when it can't be read. */
char *mw_load_text(const char *command, const char *path, size_t *len);

/* mw_print_refusal: kind, message and detail of a reply. */
void mw_print_refusal(const char *command, json_t *reply);

/* mw_show_list: one list of a control process's dump as a plain table. */
int mw_show_list(int argc, char **argv, const char *what,
                 const char *const *columns);

#endif
