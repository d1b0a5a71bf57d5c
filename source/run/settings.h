#ifndef MW_RUN_SETTINGS_H
#define MW_RUN_SETTINGS_H

#include "mimosawind/log.h"

/*
 * settings: command line flags and environment variables.
 *
 * Each setting is a flag --NAME and an environment variable MW_NAME, in
 * capitals and with underscores.  The flag takes precedence.  All values are
 * checked at startup; a message names the setting, its value and the remedy.
 */

enum mw_setting_kind {
    MW_SETTING_NAME = 0,
    MW_SETTING_ADDRESS = 1,
    MW_SETTING_PROCESS_LIST = 2,
    MW_SETTING_PATH = 3,
    MW_SETTING_NUMBER = 4,
    MW_SETTING_TEXT = 5,
    /* a flag without a value; in the environment the value is yes */
    MW_SETTING_FLAG = 6
};

#define MW_SETTINGS_MAX 24
#define MW_SETTING_MESSAGE_MAX 512

/* mw_setting: a row of a program's table; mw_read_settings sets value. */
struct mw_setting {
    const char *name;
    enum mw_setting_kind kind;
    bool required;
    /* bounds of a number */
    int64_t min;
    int64_t max;
    const char *default_value;
    const char *help;
    struct mw_str value;
};

/* mw_process_list: a list of NAME=IP:PORT; /memory marks one without a disk.
 */
struct mw_process_list {
    uint32_t count;
    struct mw_member member[MW_MEMBERS_MAX * 4];
    struct mw_name address[MW_MEMBERS_MAX * 4];
};

/*
 * mw_read_settings: set the table's values from argv and the environment.
 *
 * Returns 0 on success, 1 if --help or --check was given and answered, or a
 * negative error after printing a message.  rest receives up to rest_max
 * arguments that are not flags.
 */
int mw_read_settings(int argc, char **argv, const char *about,
                     struct mw_setting *table, size_t count, const char **rest,
                     size_t rest_max, size_t *rest_count);

/* mw_get_setting: value of a setting, empty if it has none. */
struct mw_str mw_get_setting(const struct mw_setting *table, size_t count,
                             const char *name);
struct mw_name mw_get_setting_name(const struct mw_setting *table,
                                   size_t count, const char *name);
int64_t mw_get_setting_number(const struct mw_setting *table, size_t count,
                              const char *name);

/* mw_parse_process_list: parse a list; returns 0, or an error and a message.
 */
int mw_parse_process_list(struct mw_str text, struct mw_process_list *members,
                          char message[MW_SETTING_MESSAGE_MAX]);

/* mw_write_syslog_line: write a line with a syslog priority to standard error.
 */
void mw_write_syslog_line(void *opaque, int priority, struct mw_str line);

#endif
