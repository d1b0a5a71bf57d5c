/*
 * mw: command line tool for operators and clients.
 */
#include <stdio.h>
#include <string.h>

#include "tool.h"

static const struct mw_subcommand subcommands[] = {
    {"submit", "submit a job or a list of jobs and wait", mw_run_submit},
    {"wait", "wait for a job to end", mw_run_wait},
    {"cancel", "cancel a job", mw_run_cancel},
    {"try", "put a document in force in the trial environment", mw_run_try},
    {"promote", "put the trial document in force in production",
     mw_run_promote},
    {"zone", "take an availability zone out of service, or back in",
     mw_run_zone},
    {"status", "show roles, documents and counters of processes",
     mw_run_status},
    {"jobs", "list the jobs of a zone", mw_run_jobs},
    {"endpoints", "list the endpoints of a zone", mw_run_endpoints},
    {"guarantees", "list the guaranteed shapes of a zone", mw_run_guarantees},
    {"dump", "print the whole state of a process", mw_run_dump},
    {"explain", "explain the outcome of a job from logs", mw_run_explain},
    {"init", "create the data folder of a founding member", mw_run_init},
    {"key", "print a new shared key", mw_run_key},
    {"token", "print the hash of a token for a document", mw_run_token},
};

static void
print_usage(FILE *out)
{
    fprintf(out, "mw: operate and use mimosawind\n\n"
                 "usage: mw COMMAND [--help] ...\n\n");
    for (size_t i = 0; i < sizeof subcommands / sizeof subcommands[0]; i++) {
        fprintf(out, "  %-11s %s\n", subcommands[i].name,
                subcommands[i].summary);
    }
    fprintf(out, "\nexit status: 0 success, 1 failure, 2 usage error\n");
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        print_usage(stderr);
        return MW_EXIT_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0) {
        print_usage(stdout);
        return MW_EXIT_SUCCESS;
    }
    for (size_t i = 0; i < sizeof subcommands / sizeof subcommands[0]; i++) {
        if (strcmp(argv[1], subcommands[i].name) == 0) {
            return subcommands[i].run(argc - 1, argv + 1);
        }
    }
    fprintf(stderr, "mw: '%s' is not a command; try mw --help\n", argv[1]);
    return MW_EXIT_USAGE;
}
