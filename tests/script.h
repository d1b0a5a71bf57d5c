#ifndef MW_TESTS_SCRIPT_H
#define MW_TESTS_SCRIPT_H

#include <glib.h>

#include "mimosawind.h"

/*
 * script: a test as a story, one event or question on a line.
 *
 * A line is words between spaces; # begins a comment.  Each kind of script
 * has a table of commands.  All output goes to a text that is compared with
 * the file beside the script.
 */

#define MW_WORDS_MAX 32

struct mw_script {
    GString *out;
    int line;
    /* the line without its first word */
    const char *rest;
    int word_count;
    char *words[MW_WORDS_MAX];
    void *state;
};

struct mw_script_command {
    const char *name;
    int least_words;
    void (*run)(struct mw_script *script);
};

/* mw_script_kind: a folder of scripts and what runs them. */
struct mw_script_kind {
    const char *folder;
    const struct mw_script_command *commands;
    void *(*begin)(void);
    void (*end)(void *state);
};

/* mw_run_script: output of a script; free with g_free. */
char *mw_run_script(const struct mw_script_kind *kind, const char *text);

/* mw_say: a line of output. */
void mw_say(struct mw_script *script, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* mw_word: word by index, empty when absent. */
const char *mw_word(const struct mw_script *script, int index);

/* mw_option: value of KEY=VALUE among the words, or the default. */
const char *mw_option(const struct mw_script *script, const char *key,
                      const char *otherwise);
int64_t mw_option_int(const struct mw_script *script, const char *key,
                      int64_t otherwise);

struct mw_name mw_name_word(const char *word);

extern const struct mw_script_kind mw_log_scripts;
extern const struct mw_script_kind mw_zone_scripts;
extern const struct mw_script_kind mw_world_scripts;
extern const struct mw_script_kind mw_input_scripts;
extern const struct mw_script_kind mw_flow_scripts;
extern const struct mw_script_kind mw_region_scripts;
extern const struct mw_script_kind mw_story_scripts;
extern const struct mw_script_kind mw_platform_scripts;

#endif
