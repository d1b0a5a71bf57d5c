#ifndef MW_TOOL_H
#define MW_TOOL_H

#include <jansson.h>

#include "settings.h"

/*
 * tool: functions that the subcommands of mw share.
 *
 * EXIT STATUS  0 success; 1 failure, with the reason on standard error;
 *              2 usage error
 */

enum mw_exit_status {
    MW_EXIT_SUCCESS = 0,
    MW_EXIT_FAILURE = 1,
    MW_EXIT_USAGE = 2
};

/* mw_subcommand: argv[0] of run is the name of the subcommand. */
struct mw_subcommand {
    const char *name;
    const char *summary;
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

/*
 * mw_tool_request: one HTTP request and its reply.
 *
 * With a key the request carries a message authentication code, with a
 * token an Authorization header.  timeout_s 0 stands for the default of 15.
 * status and reply are filled in; the caller drops reply.
 */
struct mw_tool_request {
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
 * mw_send_tool_request: sends a request and waits for the reply.
 *
 * Returns 0, or a negative error after printing it to standard error.
 */
int mw_send_tool_request(struct mw_tool_request *request);

/* mw_usage_error: prints a message and a hint; returns MW_EXIT_USAGE. */
int mw_usage_error(const char *command, const char *text);

/*
 * mw_read_text_file: returns a whole file, to be freed with g_free.
 *
 * When it can't be read, prints a message and returns NULL.
 */
char *mw_read_text_file(const char *command, const char *path, size_t *len);

/*
 * mw_print_error_reply: prints the error in a reply to standard error: its
 * kind, message, detail and execution status.
 */
void mw_print_error_reply(const char *command, json_t *reply);

/*
 * mw_show_list: fetches one list of a control process and prints it as a
 * table.
 *
 * list is its name in the path and in the reply.  columns are keys of a row,
 * "outer.inner" for a key of an inner object; the last one is NULL.
 */
int mw_show_list(int argc, char **argv, const char *list,
                 const char *const *columns);

#endif
