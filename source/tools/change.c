/*
 * change: mw try, mw promote and mw zone.
 */
#include <stdio.h>
#include <string.h>

#include "daemon.h"
#include "tool.h"

static struct mw_setting settings[] = {
    {.name = "operator",
     .kind = MW_SETTING_ADDRESS,
     .required = true,
     .help = "operators' IP:PORT of an entry process"},
    {.name = "key-file",
     .kind = MW_SETTING_PATH,
     .required = true,
     .help = "file with the shared key"},
    {.name = "as",
     .kind = MW_SETTING_NAME,
     .default_value = "operator",
     .help = "your name, shown to other operators on a conflict"},
    {.name = "json",
     .kind = MW_SETTING_FLAG,
     .default_value = "no",
     .help = "print the reply as JSON"},
};

#define SETTING_COUNT G_N_ELEMENTS(settings)

static int
print_reply(const char *command, const struct mw_tool_request *request)
{
    struct mw_str text = mw_blob_str(request->reply);
    json_t *reply = json_loadb(text.ptr, text.len, 0, NULL);
    bool json = mw_str_equal(mw_get_setting(settings, SETTING_COUNT, "json"),
                             MW_STR("yes"));
    const char *detail = json_string_value(json_object_get(reply, "detail"));

    if (json) {
        printf("%.*s\n", MW_FMT(text));
    }
    else if (request->status != 200) {
        mw_print_error_reply(command, reply);
    }
    else {
        printf(
            "version %lld: %s\n",
            (long long)json_integer_value(json_object_get(reply, "version")),
            detail ? detail : "done");
    }
    json_decref(reply);
    return request->status == 200 ? MW_EXIT_SUCCESS : MW_EXIT_FAILURE;
}

static int
send_change(const char *command, json_t *change)
{
    struct mw_str address =
        mw_get_setting(settings, SETTING_COUNT, "operator");
    struct mw_str as = mw_get_setting(settings, SETTING_COUNT, "as");
    struct mw_tool_request request = {
        .method = "POST",
        .address = address.ptr,
        .path = (char *)"/v1/changes",
        .key = mw_read_key_file(
            "mw", mw_get_setting(settings, SETTING_COUNT, "key-file"))};
    int status = MW_EXIT_FAILURE;

    if (!request.key) {
        json_decref(change);
        return MW_EXIT_USAGE;
    }
    json_object_set_new(change, "operator", json_stringn(as.ptr, as.len));
    char *text = json_dumps(change, JSON_COMPACT);

    request.body = mw_str_from(text);
    if (mw_send_tool_request(&request) == 0) {
        status = print_reply(command, &request);
    }
    mw_drop_blob(request.reply);
    mw_drop_blob(request.key);
    free(text);
    json_decref(change);
    return status;
}

/* Reads flags and arguments; returns an exit status, or -1 to go on. */
static int
read_arguments(int argc, char **argv, const char *about,
               const char **arguments, size_t expected)
{
    size_t count = 0;
    int err = mw_read_settings(argc, argv, about, settings, SETTING_COUNT,
                               arguments, expected, &count);

    if (err) {
        return err > 0 ? MW_EXIT_SUCCESS : MW_EXIT_USAGE;
    }
    if (count != expected) {
        return mw_usage_error(argv[0], "an argument is missing");
    }
    return -1;
}

int
mw_run_try(int argc, char **argv)
{
    const char *arguments[1];
    size_t len = 0;
    int status =
        read_arguments(argc, argv, "mw try DOCUMENT.json", arguments, 1);

    if (status >= 0) {
        return status;
    }
    char *text = mw_read_text_file("try", arguments[0], &len);

    if (!text) {
        return MW_EXIT_USAGE;
    }
    json_t *document = json_stringn(text, len);

    g_free(text);
    if (!document) {
        return mw_usage_error("try", "the document is not UTF-8 text");
    }
    return send_change(
        "try", json_pack("{s:s, s:o}", "change", "try", "document", document));
}

int
mw_run_promote(int argc, char **argv)
{
    const char *arguments[1];
    guint64 version = 0;
    int status =
        read_arguments(argc, argv, "mw promote VERSION", arguments, 1);

    if (status >= 0) {
        return status;
    }
    if (!g_ascii_string_to_unsigned(arguments[0], 10, 1, G_MAXINT64, &version,
                                    NULL)) {
        return mw_usage_error("promote",
                              "VERSION must be a whole number, 1 or more");
    }
    return send_change("promote", json_pack("{s:s, s:I}", "change", "promote",
                                            "version", (json_int_t)version));
}

int
mw_run_zone(int argc, char **argv)
{
    const char *arguments[2];
    int status =
        read_arguments(argc, argv, "mw zone out|in ZONE", arguments, 2);

    if (status >= 0) {
        return status;
    }
    if (strcmp(arguments[0], "out") != 0 && strcmp(arguments[0], "in") != 0) {
        return mw_usage_error("zone", "the first argument must be out or in");
    }
    return send_change("zone", json_pack("{s:s, s:s}", "change", arguments[0],
                                         "zone", arguments[1]));
}
