/*
 * mwentryd: daemon of an entry process, one on every entry VM.
 *
 * It accepts requests of clients, operators and endpoints, and forwards them
 * to the control processes.
 */
#include <stdio.h>

#include "daemon.h"
#include "entry-task.h"

static struct mw_setting settings[] = {
    {.name = "name",
     .kind = MW_SETTING_NAME,
     .required = true,
     .help = "name of this process"},
    {.name = "zone",
     .kind = MW_SETTING_NAME,
     .required = true,
     .help = "availability zone of this VM"},
    {.name = "listen",
     .kind = MW_SETTING_ADDRESS,
     .required = true,
     .help = "IP:PORT for clients"},
    {.name = "operator",
     .kind = MW_SETTING_ADDRESS,
     .required = true,
     .help = "IP:PORT for operators"},
    {.name = "endpoints",
     .kind = MW_SETTING_ADDRESS,
     .required = true,
     .help = "IP:PORT for endpoints"},
    {.name = "control",
     .kind = MW_SETTING_PROCESS_LIST,
     .required = true,
     .help = "control processes, NAME=IP:PORT,..."},
    {.name = "key-file",
     .kind = MW_SETTING_PATH,
     .required = true,
     .help = "file with the shared key"},
};

#define SETTING_COUNT G_N_ELEMENTS(settings)

static void
leave(void *opaque)
{
    mw_entry_task_leave(opaque);
}

static void
dump(void *opaque)
{
    mw_entry_task_dump(opaque);
}

int
main(int argc, char **argv)
{
    struct mw_daemon daemon = {
        .name = "mwentryd", .leave = leave, .dump = dump};
    struct mw_entry_task_setup setup = {
        .ctx = {.opaque = (void *)"mwentryd",
                .emit_event = mw_write_syslog_line},
        .opaque = &daemon,
        .ended = mw_daemon_ended,
    };
    struct mw_process_list control;
    char message[MW_SETTING_MESSAGE_MAX];
    int err = mw_read_settings(
        argc, argv, "accepts requests of clients, operators and endpoints",
        settings, SETTING_COUNT, NULL, 0, NULL);

    if (err) {
        return err > 0 ? 0 : 2;
    }
    setup.key = mw_read_key_file(
        daemon.name, mw_get_setting(settings, SETTING_COUNT, "key-file"));
    if (!setup.key) {
        return 2;
    }
    setup.name = mw_get_setting_name(settings, SETTING_COUNT, "name");
    setup.zone = mw_get_setting_name(settings, SETTING_COUNT, "zone");
    setup.listen = mw_get_setting_name(settings, SETTING_COUNT, "listen");
    setup.operator= mw_get_setting_name(settings, SETTING_COUNT, "operator");
    setup.endpoints =
        mw_get_setting_name(settings, SETTING_COUNT, "endpoints");
    mw_parse_process_list(mw_get_setting(settings, SETTING_COUNT, "control"),
                          &control, message);
    mw_add_dials(&control, setup.dials, &setup.dial_count, NULL, &setup.name);
    daemon.loop = g_main_loop_new(NULL, FALSE);
    struct mw_entry_task *task = mw_new_entry_task(&setup);

    daemon.opaque = task;
    int status = mw_run_daemon(&daemon);

    mw_drop_entry_task(task);
    mw_drop_blob(setup.key);
    g_main_loop_unref(daemon.loop);
    return status;
}
