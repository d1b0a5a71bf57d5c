/*
 * change: try, promote, and zones out and in.
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
     .otherwise = "operator",
     .help = "your name, told to others on a conflict"},
    {.name = "json",
     .kind = MW_SETTING_FLAG,
     .otherwise = "no",
     .help = "print the reply as JSON"},
};

#define COUNT G_N_ELEMENTS(settings)

static int
finish(const char *command, const struct mw_call *call)
{
    struct mw_str text = mw_blob_str(call->reply);
    json_t *reply = json_loadb(text.ptr, text.len, 0, NULL);
    bool json =
        mw_str_equal(mw_setting_of(settings, COUNT, "json"), MW_STR("yes"));
    const char *detail = json_string_value(json_object_get(reply, "detail"));

    if (json) {
        printf("%.*s\n", MW_FMT(text));
    }
    else if (call->status != 200) {
        mw_print_refusal(command, reply);
    }
    else {
        printf(
            "version %lld: %s\n",
            (long long)json_integer_value(json_object_get(reply, "version")),
            detail ? detail : "done");
    }
    json_decref(reply);
    return call->status == 200 ? MW_EXIT_DONE : MW_EXIT_REFUSED;
}

static int
send_change(const char *command, json_t *change)
{
    struct mw_str address = mw_setting_of(settings, COUNT, "operator");
    struct mw_str as = mw_setting_of(settings, COUNT, "as");
    struct mw_call call = {
        .method = "POST",
        .address = address.ptr,
        .path = (char *)"/v1/changes",
        .key = mw_read_key_file("mw",
                                mw_setting_of(settings, COUNT, "key-file"))};
    int status = MW_EXIT_REFUSED;

    if (!call.key) {
        json_decref(change);
        return MW_EXIT_USAGE;
    }
    json_object_set_new(change, "operator", json_stringn(as.ptr, as.len));
    char *text = json_dumps(change, JSON_COMPACT);

    call.body = mw_str_from(text);
    if (mw_call_one(&call) == 0) {
        status = finish(command, &call);
    }
    mw_drop_blob(call.reply);
    mw_drop_blob(call.key);
    free(text);
    json_decref(change);
    return status;
}

static int
read_words(int argc, char **argv, const char *about, const char **words,
           size_t want)
{
    size_t got = 0;
    int err = mw_read_settings(argc, argv, about, settings, COUNT, words, want,
                               &got);

    if (err) {
        return err > 0 ? MW_EXIT_DONE : MW_EXIT_USAGE;
    }
    if (got != want) {
        return mw_fail_use(argv[0], "a word is missing");
    }
    return -1;
}

int
mw_run_try(int argc, char **argv)
{
    const char *words[1];
    size_t len = 0;
    int status = read_words(argc, argv, "mw try DOCUMENT.json", words, 1);

    if (status >= 0) {
        return status;
    }
    char *text = mw_load_text("try", words[0], &len);

    if (!text) {
        return MW_EXIT_USAGE;
    }
    json_t *document = json_stringn(text, len);

    g_free(text);
    if (!document) {
        return mw_fail_use("try", "the document is not UTF-8 text");
    }
    return send_change(
        "try", json_pack("{s:s, s:o}", "change", "try", "document", document));
}

int
mw_run_promote(int argc, char **argv)
{
    const char *words[1];
    guint64 version = 0;
    int status = read_words(argc, argv, "mw promote VERSION", words, 1);

    if (status >= 0) {
        return status;
    }
    if (!g_ascii_string_to_unsigned(words[0], 10, 1, G_MAXINT64, &version,
                                    NULL)) {
        return mw_fail_use("promote", "VERSION is a whole number from 1");
    }
    return send_change("promote", json_pack("{s:s, s:I}", "change", "promote",
                                            "version", (json_int_t)version));
}

int
mw_run_zone(int argc, char **argv)
{
    const char *words[2];
    int status = read_words(argc, argv, "mw zone out|in ZONE", words, 2);

    if (status >= 0) {
        return status;
    }
    if (strcmp(words[0], "out") != 0 && strcmp(words[0], "in") != 0) {
        return mw_fail_use("zone", "say out or in");
    }
    return send_change(
        "zone", json_pack("{s:s, s:s}", "change", words[0], "zone", words[1]));
}
