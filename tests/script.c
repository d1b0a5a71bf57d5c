#include "script.h"

#include <stdarg.h>
#include <string.h>

void
mw_script_printf(struct mw_script *script, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    g_string_append_vprintf(script->out, format, args);
    va_end(args);
    g_string_append_c(script->out, '\n');
}

const char *
mw_script_word(const struct mw_script *script, int index)
{
    return index < script->word_count ? script->words[index] : "";
}

const char *
mw_script_option(const struct mw_script *script, const char *key,
                 const char *default_value)
{
    size_t len = strlen(key);

    for (int i = 1; i < script->word_count; i++) {
        if (strncmp(script->words[i], key, len) == 0 &&
            script->words[i][len] == '=') {
            return script->words[i] + len + 1;
        }
    }
    return default_value;
}

int64_t
mw_script_option_int(const struct mw_script *script, const char *key,
                     int64_t default_value)
{
    const char *text = mw_script_option(script, key, NULL);

    return text ? g_ascii_strtoll(text, NULL, 10) : default_value;
}

struct mw_name
mw_name_from(const char *word)
{
    return mw_name_of(mw_str_from(word));
}

static void
split_line(struct mw_script *script, char *line)
{
    char *save = NULL;
    char *word = strtok_r(line, " \t", &save);

    script->word_count = 0;
    while (word && script->word_count < MW_SCRIPT_WORDS_MAX &&
           word[0] != '#') {
        script->words[script->word_count++] = word;
        word = strtok_r(NULL, " \t", &save);
    }
}

static void
run_line(struct mw_script *script, const struct mw_script_kind *kind)
{
    const struct mw_script_command *command = kind->commands;

    if (script->word_count == 0) {
        return;
    }
    while (command->name && strcmp(command->name, script->words[0]) != 0) {
        command++;
    }
    if (!command->name || script->word_count <= command->min_args) {
        mw_script_printf(script,
                         "line %d: %s: unknown command or too few arguments",
                         script->line, script->words[0]);
        return;
    }
    command->run(script);
}

char *
mw_run_script(const struct mw_script_kind *kind, const char *text)
{
    struct mw_script script = {.out = g_string_new(NULL)};
    char **lines = g_strsplit(text, "\n", 0);

    script.state = kind->begin();
    for (char **line = lines; *line; line++) {
        char *copy = g_strdup(*line);
        char *space = strchr(copy, ' ');

        script.line++;
        script.rest = space ? space + 1 : "";
        split_line(&script, *line);
        run_line(&script, kind);
        g_free(copy);
    }
    kind->end(script.state);
    g_strfreev(lines);
    return g_string_free(script.out, FALSE);
}
