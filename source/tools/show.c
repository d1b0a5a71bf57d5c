/*
 * show: mw status, mw jobs, mw endpoints, mw guarantees and mw dump.
 */
#include <stdio.h>
#include <string.h>

#include "daemon.h"
#include "tool.h"

static struct mw_setting settings[] = {
    {.name = "operator",
     .kind = MW_SETTING_TEXT,
     .required = true,
     .help = "operators' IP:PORT; status takes a list, separated by commas"},
    {.name = "key-file",
     .kind = MW_SETTING_PATH,
     .required = true,
     .help = "file with the shared key"},
    {.name = "json",
     .kind = MW_SETTING_FLAG,
     .default_value = "no",
     .help = "print JSON instead of a table"},
};

#define SETTING_COUNT G_N_ELEMENTS(settings)

/* Gets /v1/RESOURCE; prints an error and returns NULL when that fails. */
static json_t *
fetch(const char *address, const char *resource, struct mw_blob *key)
{
    struct mw_tool_request request = {
        .method = "GET", .address = address, .key = key};
    json_t *root = NULL;

    request.path = g_strdup_printf("/v1/%s", resource);
    if (mw_send_tool_request(&request) == 0) {
        struct mw_str text = mw_blob_str(request.reply);

        root = json_loadb(text.ptr, text.len, 0, NULL);
        if (request.status != 200) {
            mw_print_error_reply(resource, root);
            g_clear_pointer(&root, json_decref);
        }
    }
    mw_drop_blob(request.reply);
    g_free(request.path);
    return root;
}

static void
print_cell(json_t *value)
{
    char text[64] = "-";

    if (json_is_string(value)) {
        g_strlcpy(text, json_string_value(value), sizeof text);
    }
    else if (json_is_integer(value)) {
        g_snprintf(text, sizeof text, "%" JSON_INTEGER_FORMAT,
                   json_integer_value(value));
    }
    else if (json_is_boolean(value)) {
        g_strlcpy(text, json_is_true(value) ? "yes" : "no", sizeof text);
    }
    printf("%-16s ", text);
}

/* The value of a column: a key, or "outer.inner" for an inner object. */
static json_t *
get_column(json_t *row, const char *column)
{
    const char *dot = strchr(column, '.');

    if (!dot) {
        return json_object_get(row, column);
    }
    char *first = g_strndup(column, (gsize)(dot - column));
    json_t *inner = json_object_get(row, first);

    g_free(first);
    return json_object_get(inner, dot + 1);
}

static void
print_table(json_t *rows, const char *const *columns)
{
    json_t *row;
    size_t i;

    for (const char *const *c = columns; *c; c++) {
        printf("%-16s ", *c);
    }
    printf("\n");
    json_array_foreach(rows, i, row)
    {
        for (const char *const *c = columns; *c; c++) {
            print_cell(get_column(row, *c));
        }
        printf("\n");
    }
}

static bool
wants_json(void)
{
    return mw_str_equal(mw_get_setting(settings, SETTING_COUNT, "json"),
                        MW_STR("yes"));
}

/* Reads the flags and the key; returns an exit status, or -1 to go on. */
static int
read_flags(int argc, char **argv, const char *about, struct mw_blob **key)
{
    int err = mw_read_settings(argc, argv, about, settings, SETTING_COUNT,
                               NULL, 0, NULL);

    if (err) {
        return err > 0 ? MW_EXIT_SUCCESS : MW_EXIT_USAGE;
    }
    *key = mw_read_key_file(
        "mw", mw_get_setting(settings, SETTING_COUNT, "key-file"));
    return *key ? -1 : MW_EXIT_USAGE;
}

int
mw_show_list(int argc, char **argv, const char *list,
             const char *const *columns)
{
    struct mw_blob *key = NULL;
    int status = read_flags(argc, argv, list, &key);

    if (status >= 0) {
        return status;
    }
    json_t *root = fetch(
        mw_get_setting(settings, SETTING_COUNT, "operator").ptr, list, key);
    json_t *rows = json_object_get(json_object_get(root, "state"), list);

    mw_drop_blob(key);
    if (!root) {
        return MW_EXIT_FAILURE;
    }
    if (wants_json()) {
        json_dumpf(rows, stdout, JSON_INDENT(1));
        printf("\n");
    }
    else {
        print_table(rows, columns);
    }
    json_decref(root);
    return MW_EXIT_SUCCESS;
}

int
mw_run_jobs(int argc, char **argv)
{
    static const char *const columns[] = {"job",   "organisation", "request",
                                          "class", "state",        "result",
                                          "ran",   "attempts",     NULL};

    return mw_show_list(argc, argv, "jobs", columns);
}

int
mw_run_endpoints(int argc, char **argv)
{
    static const char *const columns[] = {"endpoint",
                                          "rack",
                                          "state",
                                          "total.accelerators",
                                          "used.accelerators",
                                          "guaranteed.accelerators",
                                          "parts",
                                          NULL};

    return mw_show_list(argc, argv, "endpoints", columns);
}

int
mw_run_guarantees(int argc, char **argv)
{
    static const char *const columns[] = {
        "organisation", "tasks", "accelerators", "adjacent", "placed",
        "claimed",      NULL};

    return mw_show_list(argc, argv, "guarantees", columns);
}

int
mw_run_dump(int argc, char **argv)
{
    struct mw_blob *key = NULL;
    int status = read_flags(argc, argv, "dump", &key);

    if (status >= 0) {
        return status;
    }
    json_t *root = fetch(
        mw_get_setting(settings, SETTING_COUNT, "operator").ptr, "dump", key);

    mw_drop_blob(key);
    if (!root) {
        return MW_EXIT_FAILURE;
    }
    json_dumpf(root, stdout, JSON_INDENT(1));
    printf("\n");
    json_decref(root);
    return MW_EXIT_SUCCESS;
}

static void
print_status(json_t *root)
{
    json_t *state = json_object_get(root, "state");
    json_t *zone_log = json_object_get(state, "zone_log");
    json_t *region_log = json_object_get(state, "region_log");
    json_t *row = json_pack("{s:O, s:O, s:O?, s:O?, s:O?, s:O?, s:O?, s:O?}",
                            "process", json_object_get(root, "process"),
                            "zone", json_object_get(root, "zone"), "zone role",
                            json_object_get(zone_log, "role"), "region role",
                            json_object_get(region_log, "role"), "state",
                            json_object_get(state, "zone_state"), "version",
                            json_object_get(state, "document_version"),
                            "voters", json_object_get(zone_log, "voters"),
                            "open", json_object_get(state, "open"));
    static const char *const columns[] = {"process",     "zone",  "zone role",
                                          "region role", "state", "version",
                                          "voters",      "open",  NULL};

    for (const char *const *c = columns; *c; c++) {
        print_cell(json_object_get(row, *c));
    }
    printf("\n");
    json_decref(row);
}

int
mw_run_status(int argc, char **argv)
{
    struct mw_blob *key = NULL;
    int status = read_flags(argc, argv, "status", &key);

    if (status >= 0) {
        return status;
    }
    char **addresses = g_strsplit(
        mw_get_setting(settings, SETTING_COUNT, "operator").ptr, ",", 0);

    status = MW_EXIT_SUCCESS;
    if (!wants_json()) {
        printf("%-16s %-16s %-16s %-16s %-16s %-16s %-16s %-16s\n", "process",
               "zone", "zone role", "region role", "state", "version",
               "voters", "open");
    }
    for (char **a = addresses; *a; a++) {
        json_t *root = fetch(*a, "status", key);

        if (!root) {
            status = MW_EXIT_FAILURE;
        }
        else if (wants_json()) {
            json_dumpf(root, stdout, JSON_INDENT(1));
            printf("\n");
        }
        else {
            print_status(root);
        }
        json_decref(root);
    }
    g_strfreev(addresses);
    mw_drop_blob(key);
    return status;
}
