/*
 * setup: mw init, mw key and mw token.
 */
#include <stdio.h>
#include <string.h>

#include "disk.h"
#include "tool.h"

int
mw_run_init(int argc, char **argv)
{
    static struct mw_setting settings[] = {
        {.name = "data",
         .kind = MW_SETTING_PATH,
         .required = true,
         .help = "data folder to create"},
        {.name = "name",
         .kind = MW_SETTING_NAME,
         .required = true,
         .help = "name of the control process"},
    };
    struct mw_context ctx = {0};
    int err = mw_read_settings(argc, argv,
                               "run once for each founding member; never for "
                               "a member that replaces a lost disk",
                               settings, 2, NULL, 0, NULL);

    if (err) {
        return err > 0 ? MW_EXIT_SUCCESS : MW_EXIT_USAGE;
    }
    struct mw_name name = mw_get_setting_name(settings, 2, "name");

    err = mw_init_data_dir(&ctx, mw_get_setting(settings, 2, "data"), &name,
                           MW_FOUNDING_INCARNATION);
    if (err) {
        fprintf(stderr, "mw init: %.*s: %.*s; %.*s\n",
                MW_FMT(mw_error_str(err)), MW_FMT(mw_detail(&ctx)),
                MW_FMT(mw_error_message(err)));
        return MW_EXIT_FAILURE;
    }
    return MW_EXIT_SUCCESS;
}

int
mw_run_key(int argc, char **argv)
{
    int err = mw_read_settings(argc, argv, "print a new shared key", NULL, 0,
                               NULL, 0, NULL);
    uint8_t bytes[32];
    FILE *random;

    if (err) {
        return err > 0 ? MW_EXIT_SUCCESS : MW_EXIT_USAGE;
    }
    random = fopen("/dev/urandom", "rb");
    if (!random || fread(bytes, 1, sizeof bytes, random) != sizeof bytes) {
        return mw_usage_error("key",
                              "can't read random bytes from /dev/urandom");
    }
    fclose(random);
    for (size_t i = 0; i < sizeof bytes; i++) {
        printf("%02x", bytes[i]);
    }
    printf("\n");
    return MW_EXIT_SUCCESS;
}

int
mw_run_token(int argc, char **argv)
{
    const char *arguments[1];
    size_t count = 0;
    int err = mw_read_settings(argc, argv, "mw token TOKEN", NULL, 0,
                               arguments, 1, &count);

    if (err) {
        return err > 0 ? MW_EXIT_SUCCESS : MW_EXIT_USAGE;
    }
    if (count != 1) {
        return mw_usage_error("token", "the token is missing");
    }
    char *hash =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, arguments[0], -1);

    printf("%s\n", hash);
    g_free(hash);
    return MW_EXIT_SUCCESS;
}
