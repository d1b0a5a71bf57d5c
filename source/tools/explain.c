/*
 * explain: mw explain ID|--failed [FILE...]
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "story.h"
#include "tool.h"

#define FILES_MAX 256
#define LINE_BYTES_MAX (64 * 1024)

static void
read_lines(struct mw_story *story, FILE *in)
{
    char *line = g_malloc(LINE_BYTES_MAX);

    while (fgets(line, LINE_BYTES_MAX, in)) {
        mw_add_story_line(story, mw_str_from(line));
    }
    g_free(line);
}

static int
read_files(struct mw_story *story, const struct arg_file *files, int from)
{
    if (files->count <= from) {
        read_lines(story, stdin);
    }
    for (int i = from; i < files->count; i++) {
        FILE *in = fopen(files->filename[i], "r");

        if (!in) {
            return mw_fail_use("explain", files->filename[i]);
        }
        read_lines(story, in);
        fclose(in);
    }
    return MW_EXIT_DONE;
}

static int
tell(bool failed, const struct arg_file *words)
{
    struct mw_story *story = mw_new_story();
    GString *out = g_string_new(NULL);
    int status = read_files(story, words, failed ? 0 : 1);

    if (status == MW_EXIT_DONE && failed) {
        mw_tell_failures(story, out);
    }
    else if (status == MW_EXIT_DONE) {
        mw_tell_story(story, mw_str_from(words->filename[0]), out);
    }
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
    mw_drop_story(story);
    return status;
}

int
mw_run_explain(int argc, char **argv)
{
    struct arg_lit *failed =
        arg_lit0(NULL, "failed", "every job that did not end well at once");
    struct arg_lit *help = arg_lit0(NULL, "help", "show this text and end");
    struct arg_file *words = arg_filen(NULL, NULL, "[ID] FILE", 0, FILES_MAX,
                                       "a job, then logs; standard input "
                                       "where no log is named");
    struct arg_end *end = arg_end(4);
    void *table[] = {failed, help, words, end};
    int errors = arg_parse(argc, argv, table);
    int status;

    if (help->count > 0) {
        printf("Usage: mw explain");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-12s %s\n");
        status = MW_EXIT_DONE;
    }
    else if (errors > 0 || (failed->count == 0 && words->count == 0)) {
        status = mw_fail_use("explain", "name a job, or --failed");
    }
    else {
        status = tell(failed->count > 0, words);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
