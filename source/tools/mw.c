/*
 * mw: one tool for operators and callers.
 */
#include <stdio.h>
#include <string.h>

#include "tool.h"

static const struct mw_command commands[] = {
    {"submit", "submit a job or a list of jobs and wait", mw_run_submit},
    {"wait", "wait for a job to end", mw_run_wait},
    {"cancel", "cancel a job", mw_run_cancel},
    {"try", "put a document in force in trial", mw_run_try},
    {"promote", "move what was tried to production", mw_run_promote},
    {"zone", "take an availability zone out, or bring it in", mw_run_zone},
    {"status", "roles, documents and counters of processes", mw_run_status},
    {"jobs", "jobs of a zone", mw_run_jobs},
    {"endpoints", "endpoints of a zone", mw_run_endpoints},
    {"guarantees", "guaranteed shapes of a zone", mw_run_guarantees},
    {"dump", "whole state of a process", mw_run_dump},
    {"explain", "what became of a job, from logs", mw_run_explain},
    {"init", "make the data folder of a founding member", mw_run_init},
    {"key", "print a new shared key", mw_run_key},
    {"token", "print the hash of a token for a document", mw_run_token},
};

static void
usage(FILE *out)
{
    fprintf(out, "mw: operate and use mimosawind\n\n"
                 "usage: mw COMMAND [--help] ...\n\n");
    for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++) {
        fprintf(out, "  %-11s %s\n", commands[i].name, commands[i].about);
    }
    fprintf(out, "\nexit status: 0 done, 1 refused, 2 wrong use\n");
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        usage(stderr);
        return MW_EXIT_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0) {
        usage(stdout);
        return MW_EXIT_DONE;
    }
    for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            return commands[i].run(argc - 1, argv + 1);
        }
    }
    fprintf(stderr, "mw: '%s' is not a command; try mw --help\n", argv[1]);
    return MW_EXIT_USAGE;
}
