/*
 * explain: mw explain [--failed] [ID] [FILE]...
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "event-trace.h"
#include "tool.h"

#define ARGUMENTS_MAX 256
#define LINE_BYTES_MAX (64 * 1024)

static void
read_lines(struct mw_event_trace *trace, FILE *in)
{
    char *line = g_malloc(LINE_BYTES_MAX);

    while (fgets(line, LINE_BYTES_MAX, in)) {
        mw_add_trace_line(trace, mw_str_from(line));
    }
    g_free(line);
}

/* Reads the logs from files->filename[first] on, or standard input. */
static int
read_files(struct mw_event_trace *trace, const struct arg_file *files,
           int first)
{
    if (files->count <= first) {
        read_lines(trace, stdin);
    }
    for (int i = first; i < files->count; i++) {
        FILE *in = fopen(files->filename[i], "r");

        if (!in) {
            return mw_usage_error("explain", files->filename[i]);
        }
        read_lines(trace, in);
        fclose(in);
    }
    return MW_EXIT_SUCCESS;
}

static int
explain(bool failed, const struct arg_file *arguments)
{
    struct mw_event_trace *trace = mw_new_event_trace();
    GString *out = g_string_new(NULL);
    int status = read_files(trace, arguments, failed ? 0 : 1);

    if (status == MW_EXIT_SUCCESS && failed) {
        mw_explain_failures(trace, out);
    }
    else if (status == MW_EXIT_SUCCESS) {
        mw_explain_job(trace, mw_str_from(arguments->filename[0]), out);
    }
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
    mw_drop_event_trace(trace);
    return status;
}

int
mw_run_explain(int argc, char **argv)
{
    struct arg_lit *failed =
        arg_lit0(NULL, "failed",
                 "list each job that failed, was delayed or has no end");
    struct arg_lit *help = arg_lit0(NULL, "help", "show this text and exit");
    struct arg_file *arguments =
        arg_filen(NULL, NULL, "[ID] FILE", 0, ARGUMENTS_MAX,
                  "identifier of a job, then log files; "
                  "standard input when there is none");
    struct arg_end *end = arg_end(4);
    void *table[] = {failed, help, arguments, end};
    int errors = arg_parse(argc, argv, table);
    int status;

    if (help->count > 0) {
        printf("Usage: mw explain");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-12s %s\n");
        status = MW_EXIT_SUCCESS;
    }
    else if (errors > 0 || (failed->count == 0 && arguments->count == 0)) {
        status = mw_usage_error("explain",
                                "give the identifier of a job, or --failed");
    }
    else {
        status = explain(failed->count > 0, arguments);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
