#include "settings.h"

#include <argtable2.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "conn.h"

static char *
variable_name(const char *name)
{
    char *text = g_strdup_printf("MW_%s", name);

    for (char *p = text; *p; p++) {
        *p = *p == '-' ? '_' : g_ascii_toupper(*p);
    }
    return text;
}

static int
fail(char *message, const char *format, struct mw_str value)
{
    g_snprintf(message, MW_SETTING_MESSAGE_MAX, format, MW_FMT(value));
    return MW_ERR_INVALID;
}

static int
check_address(struct mw_str text, char *message)
{
    struct sockaddr_storage address;
    struct mw_name name;

    if (mw_set_name(&name, text) != 0 || !mw_parse_address(&name, &address)) {
        return fail(message,
                    "'%.*s' is not IP:PORT; give for example "
                    "127.0.0.1:7001",
                    text);
    }
    return 0;
}

static int
parse_member(struct mw_str item, struct mw_process_list *members,
             char *message)
{
    const char *equal = memchr(item.ptr, '=', item.len);
    struct mw_str memory = MW_STR("/memory");
    uint32_t i = members->count;

    if (i >= G_N_ELEMENTS(members->member)) {
        return fail(message, "'%.*s' is one too many; give at most 32", item);
    }
    if (!equal) {
        return fail(message, "'%.*s' is not NAME=IP:PORT; add the name", item);
    }
    size_t name_len = (size_t)(equal - item.ptr);
    struct mw_str address = {equal + 1, item.len - name_len - 1};

    members->member[i].disk = true;
    if (address.len > memory.len &&
        memcmp(address.ptr + address.len - memory.len, memory.ptr,
               memory.len) == 0) {
        members->member[i].disk = false;
        address.len -= memory.len;
    }
    if (mw_set_name(&members->member[i].name,
                    (struct mw_str){item.ptr, name_len}) ||
        !mw_name_valid(&members->member[i].name)) {
        return fail(message,
                    "'%.*s' has no valid name; give letters, "
                    "digits, . _ - :",
                    item);
    }
    for (uint32_t k = 0; k < i; k++) {
        if (mw_name_equal(&members->member[k].name,
                          &members->member[i].name)) {
            return fail(message, "'%.*s' names a process twice; remove one",
                        item);
        }
    }
    members->address[i] = mw_name_of(address);
    members->count++;
    return check_address(address, message);
}

int
mw_parse_process_list(struct mw_str text, struct mw_process_list *members,
                      char message[MW_SETTING_MESSAGE_MAX])
{
    memset(members, 0, sizeof *members);
    while (text.len > 0) {
        const char *comma = memchr(text.ptr, ',', text.len);
        size_t len = comma ? (size_t)(comma - text.ptr) : text.len;
        int err =
            parse_member((struct mw_str){text.ptr, len}, members, message);

        if (err) {
            return err;
        }
        text.ptr += comma ? len + 1 : len;
        text.len -= comma ? len + 1 : len;
    }
    return 0;
}

static int
check_number(const struct mw_setting *setting, char *message)
{
    char copy[24] = "";
    gint64 number = 0;

    if (setting->value.len < sizeof copy) {
        memcpy(copy, setting->value.ptr, setting->value.len);
    }
    if (g_ascii_string_to_signed(copy, 10, setting->min, setting->max, &number,
                                 NULL)) {
        return 0;
    }
    g_snprintf(message, MW_SETTING_MESSAGE_MAX,
               "'%.*s' is not a whole number in %" G_GINT64_FORMAT
               "..%" G_GINT64_FORMAT "; choose one",
               MW_FMT(setting->value), setting->min, setting->max);
    return MW_ERR_OUT_OF_RANGE;
}

static int
check_value(const struct mw_setting *setting, char *message)
{
    struct mw_process_list members;
    struct mw_name name;

    if (setting->value.len == 0) {
        if (!setting->required) {
            return 0;
        }
        g_snprintf(message, MW_SETTING_MESSAGE_MAX,
                   "is missing; give the flag or "
                   "its variable");
        return MW_ERR_MISSING;
    }
    switch (setting->kind) {
    case MW_SETTING_NAME:
        if (mw_set_name(&name, setting->value) || !mw_name_valid(&name)) {
            return fail(message,
                        "'%.*s' is not a name; give at most 63 "
                        "letters, digits, . _ - :",
                        setting->value);
        }
        return 0;
    case MW_SETTING_ADDRESS:
        return check_address(setting->value, message);
    case MW_SETTING_PROCESS_LIST:
        return mw_parse_process_list(setting->value, &members, message);
    case MW_SETTING_NUMBER:
        return check_number(setting, message);
    default:
        return 0;
    }
}

static int
check_all(const char *program, const struct mw_setting *table, size_t count)
{
    char message[MW_SETTING_MESSAGE_MAX] = "";
    int first_error = 0;

    for (size_t i = 0; i < count; i++) {
        int err = check_value(&table[i], message);

        if (err) {
            struct mw_str kind = mw_error_str(err);

            fprintf(stderr, "%s: %.*s: --%s: %s\n", program, MW_FMT(kind),
                    table[i].name, message);
            first_error = first_error ? first_error : err;
        }
    }
    return first_error;
}

static void
set_values(struct mw_setting *table, size_t count, struct arg_str **args,
           struct arg_lit **flags)
{
    for (size_t i = 0; i < count; i++) {
        char *variable = variable_name(table[i].name);
        const char *text = g_getenv(variable);

        if (flags[i]) {
            text = flags[i]->count > 0 ? "yes" : text;
        }
        else if (args[i]->count > 0) {
            text = args[i]->sval[0];
        }
        table[i].value =
            mw_str_from(g_strdup(text ? text : table[i].default_value));
        g_free(variable);
    }
}

static void
print_help(const char *program, const char *about, void **argtable,
           const struct mw_setting *table, size_t count)
{
    printf("%s: %s\n\nusage: %s", program, about, program);
    arg_print_syntax(stdout, argtable, "\n\n");
    arg_print_glossary(stdout, argtable, "  %-28s %s\n");
    if (count > 0) {
        char *variable = variable_name(table[0].name);

        printf("\nEach setting is also a variable: --%s is %s.\n",
               table[0].name, variable);
        g_free(variable);
    }
}

static void
set_rest(const struct arg_str *words, const char **rest, size_t *rest_count)
{
    *rest_count = (size_t)words->count;
    for (int i = 0; i < words->count; i++) {
        rest[i] = g_strdup(words->sval[i]);
    }
}

int
mw_read_settings(int argc, char **argv, const char *about,
                 struct mw_setting *table, size_t count, const char **rest,
                 size_t rest_max, size_t *rest_count)
{
    void *argtable[MW_SETTINGS_MAX + 4];
    struct arg_str *args[MW_SETTINGS_MAX];
    struct arg_lit *flags[MW_SETTINGS_MAX] = {NULL};
    struct arg_lit *help = arg_lit0(NULL, "help", "print this and exit");
    struct arg_lit *check =
        arg_lit0(NULL, "check", "check the settings and exit");
    struct arg_str *words =
        arg_strn(NULL, NULL, rest_max ? "WORD" : "", 0, (int)rest_max, "");
    struct arg_end *end = arg_end(8);
    size_t n = 0;
    int result = 0;
    char *program = g_path_get_basename(argv[0]);

    for (size_t i = 0; i < count; i++) {
        if (table[i].kind == MW_SETTING_FLAG) {
            flags[i] = arg_lit0(NULL, table[i].name, table[i].help);
            argtable[n++] = flags[i];
            continue;
        }
        args[i] = arg_str0(NULL, table[i].name, "VALUE", table[i].help);
        argtable[n++] = args[i];
    }
    argtable[n++] = help;
    argtable[n++] = check;
    if (rest_max > 0) {
        argtable[n++] = words;
    }
    argtable[n++] = end;
    int errors = arg_parse(argc, argv, argtable);

    if (help->count > 0) {
        print_help(program, about, argtable, table, count);
        result = 1;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, end, program);
        fprintf(stderr, "%s: try --help\n", program);
        result = MW_ERR_INVALID;
    }
    else {
        set_values(table, count, args, flags);
        result = check_all(program, table, count);
        if (!result && rest_max > 0) {
            set_rest(words, rest, rest_count);
        }
        if (!result && check->count > 0) {
            printf("%s: settings are valid\n", program);
            result = 1;
        }
    }
    arg_freetable(argtable, n);
    if (rest_max == 0) {
        arg_freetable((void **)&words, 1);
    }
    g_free(program);
    return result;
}

static const struct mw_setting *
find_setting(const struct mw_setting *table, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(table[i].name, name) == 0) {
            return &table[i];
        }
    }
    return NULL;
}

struct mw_str
mw_get_setting(const struct mw_setting *table, size_t count, const char *name)
{
    const struct mw_setting *setting = find_setting(table, count, name);

    return setting ? setting->value : MW_STR("");
}

struct mw_name
mw_get_setting_name(const struct mw_setting *table, size_t count,
                    const char *name)
{
    return mw_name_of(mw_get_setting(table, count, name));
}

int64_t
mw_get_setting_number(const struct mw_setting *table, size_t count,
                      const char *name)
{
    struct mw_str text = mw_get_setting(table, count, name);

    return text.len ? g_ascii_strtoll(text.ptr, NULL, 10) : 0;
}

void
mw_write_syslog_line(void *opaque, int priority, struct mw_str line)
{
    const char *name = opaque;
    char text[768];
    int len = g_snprintf(text, sizeof text, "<%d>%s[%d]: %.*s\n", priority,
                         name, (int)getpid(), MW_FMT(line));

    len = MIN(len, (int)sizeof text - 1);
    if (write(STDERR_FILENO, text, (size_t)len) < 0) {
        return;
    }
}
