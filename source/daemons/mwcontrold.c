/*
 * mwcontrold: daemon of a control process.
 *
 * A control process is a member of its zone's replicated log, and may be one
 * of the region's log; the leader of the zone's log schedules the zone's jobs.
 */
#include <stdio.h>
#include <string.h>

#include "control-task.h"
#include "daemon.h"

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
     .help = "IP:PORT for the other processes of the system"},
    {.name = "operator",
     .kind = MW_SETTING_ADDRESS,
     .required = true,
     .help = "IP:PORT for operators"},
    {.name = "region",
     .kind = MW_SETTING_PROCESS_LIST,
     .required = true,
     .help = "members of the region's log, NAME=IP:PORT,..."},
    {.name = "group",
     .kind = MW_SETTING_PROCESS_LIST,
     .required = true,
     .help = "members of the zone's log; append /memory for no disk"},
    {.name = "data",
     .kind = MW_SETTING_PATH,
     .help = "data folder; leave out for a standby without a disk"},
    {.name = "key-file",
     .kind = MW_SETTING_PATH,
     .required = true,
     .help = "file with the shared key"},
    {.name = "compact-after",
     .kind = MW_SETTING_NUMBER,
     .min = 16,
     .max = 1000000,
     .default_value = "4096",
     .help = "log entries between snapshots"},
};

#define SETTING_COUNT G_N_ELEMENTS(settings)

static void
leave(void *opaque)
{
    mw_control_task_leave(opaque);
}

static void
dump(void *opaque)
{
    mw_control_task_dump(opaque);
}

/*
 * Whether self connects to peer.  Of two members that list each other, the
 * one whose name sorts first connects, so that there is one connection.
 */
static bool
should_dial_member(const struct mw_name *self, const struct mw_name *peer)
{
    size_t len = MIN(self->len, peer->len);
    int order = memcmp(self->ptr, peer->ptr, len);

    return order < 0 || (order == 0 && self->len < peer->len);
}

static const struct mw_member *
find_member(const struct mw_process_list *members, const struct mw_name *name)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (mw_name_equal(&members->member[i].name, name)) {
            return &members->member[i];
        }
    }
    return NULL;
}

static void
set_members(struct mw_control_setup *setup, enum mw_group group,
            const struct mw_process_list *members)
{
    setup->member_count[group] = members->count;
    for (uint32_t i = 0; i < members->count; i++) {
        setup->members[group][i] = members->member[i];
    }
}

static int
check_members(const struct mw_control_task_setup *setup,
              const struct mw_process_list *region,
              const struct mw_process_list *group)
{
    const char *problem = NULL;
    const struct mw_member *own = find_member(group, &setup->control.name);

    if (region->count > MW_MEMBERS_MAX || group->count > MW_MEMBERS_MAX) {
        problem = "--region, --group: give at most 8 members";
    }
    else if (!own) {
        problem = "--group: the list does not contain --name; add it";
    }
    else if (own->disk != (setup->data_dir.len > 0)) {
        problem = "--data: give a folder for a member with a disk, and "
                  "no folder for a member listed with /memory";
    }
    if (problem) {
        fprintf(stderr, "mwcontrold: invalid: %s\n", problem);
        return MW_ERR_INVALID;
    }
    return 0;
}

/*
 * Members of the region's log connect to each other.  None of them connects
 * to a standby, which is no member of it; so a standby connects to all of
 * them, and with the other standbys of its zone the order of names decides.
 */
static void
set_dials(struct mw_control_task_setup *setup,
          const struct mw_process_list *region,
          const struct mw_process_list *group)
{
    const struct mw_name *self = &setup->control.name;
    bool standby = !find_member(region, self);

    mw_add_dials(region, setup->dials, &setup->dial_count,
                 standby ? NULL : should_dial_member, self);
    if (standby) {
        mw_add_dials(group, setup->dials, &setup->dial_count,
                     should_dial_member, self);
    }
}

static void
read_setup(struct mw_control_task_setup *setup, struct mw_process_list *region,
           struct mw_process_list *group)
{
    char message[MW_SETTING_MESSAGE_MAX];
    uint64_t start_us = (uint64_t)g_get_real_time();

    setup->control.name = mw_get_setting_name(settings, SETTING_COUNT, "name");
    setup->control.zone = mw_get_setting_name(settings, SETTING_COUNT, "zone");
    setup->listen = mw_get_setting_name(settings, SETTING_COUNT, "listen");
    setup->operator= mw_get_setting_name(settings, SETTING_COUNT, "operator");
    setup->data_dir = mw_get_setting(settings, SETTING_COUNT, "data");
    mw_parse_process_list(mw_get_setting(settings, SETTING_COUNT, "region"),
                          region, message);
    mw_parse_process_list(mw_get_setting(settings, SETTING_COUNT, "group"),
                          group, message);
    setup->control.compact_after = (uint32_t)mw_get_setting_number(
        settings, SETTING_COUNT, "compact-after");
    setup->control.seed = (uint32_t)start_us;
    for (int i = 0; i < MW_GROUPS; i++) {
        setup->control.incarnation[i] = start_us;
    }
}

int
main(int argc, char **argv)
{
    struct mw_daemon daemon = {
        .name = "mwcontrold", .leave = leave, .dump = dump};
    struct mw_control_task_setup setup = {
        .ctx = {.opaque = (void *)"mwcontrold",
                .emit_event = mw_write_syslog_line},
        .opaque = &daemon,
        .ended = mw_daemon_ended,
    };
    struct mw_process_list region, group;
    int err =
        mw_read_settings(argc, argv, "records changes and schedules jobs",
                         settings, SETTING_COUNT, NULL, 0, NULL);

    if (err) {
        return err > 0 ? 0 : 2;
    }
    setup.key = mw_read_key_file(
        daemon.name, mw_get_setting(settings, SETTING_COUNT, "key-file"));
    if (!setup.key) {
        return 2;
    }
    read_setup(&setup, &region, &group);
    if (check_members(&setup, &region, &group)) {
        return 2;
    }
    if (find_member(&region, &setup.control.name)) {
        set_members(&setup.control, MW_GROUP_REGION, &region);
    }
    set_members(&setup.control, MW_GROUP_ZONE, &group);
    set_dials(&setup, &region, &group);
    daemon.loop = g_main_loop_new(NULL, FALSE);
    struct mw_control_task *task = mw_new_control_task(&setup);

    daemon.opaque = task;
    int status = mw_run_daemon(&daemon);

    mw_drop_control_task(task);
    mw_drop_blob(setup.key);
    g_main_loop_unref(daemon.loop);
    return status;
}
