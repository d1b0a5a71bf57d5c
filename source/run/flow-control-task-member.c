/*
 * flow-control-task-member: whether the process is a member of the log, and
 * its data directory.
 */
#include "flow-control-task-impl.h"

#include "first-ref.h"
#include "member.h"

#define OPEN_RETRY_INTERVAL_US 1000000
/* the platform names this many machines at the first start */
#define FOUNDING_MEMBER_COUNT 3

bool
mw_contains_name(const struct mw_name *names, uint32_t count,
                 const struct mw_name *name)
{
    for (uint32_t i = 0; i < count; i++) {
        if (mw_name_equal(&names[i], name)) {
            return true;
        }
    }
    return false;
}

/* Without members the process is a standby. */
static void
replace_control(void *opaque, uint64_t incarnation,
                const struct mw_name *members, uint32_t count)
{
    struct mw_flow_control_task *t = opaque;
    struct mw_flow_control_setup setup = {
        .name = t->setup.name,
        .zone = t->setup.zone,
        .incarnation = incarnation,
        .member_count = count,
        .founding_count = MIN(count, FOUNDING_MEMBER_COUNT),
        .target_member_count = t->setup.target_member_count,
        .compact_after = t->setup.compact_after,
        .random_seed = (uint32_t)incarnation ^ mw_hash_name(&t->setup.name),
        .first_ref = mw_draw_first_ref(),
        .now_us = mw_now(),
        .limits = t->setup.limits,
        .output = mw_flow_control_task_output(t),
    };

    for (uint32_t i = 0; i < count; i++) {
        setup.members[i] = members[i];
    }
    mw_drop_flow_control(t->control);
    t->control = mw_new_flow_control(&setup);
}

static int
restore_stored(void *opaque, struct mw_context *ctx, enum mw_group group,
               const struct mw_stored_item *item)
{
    struct mw_flow_control_task *t = opaque;

    return group == MW_GROUP_REGION
               ? mw_flow_control_restore(ctx, t->control, item)
               : 0;
}

static struct mw_member_setup
member_setup(struct mw_flow_control_task *t)
{
    return (struct mw_member_setup){
        .disk = {.data_dir = t->setup.data_dir,
                 .member = t->setup.name,
                 .ctx = t->ctx},
        .founding = t->setup.founding,
        .founders = t->setup.seeds,
        .founder_count = t->setup.seed_count,
        .incarnation = (uint64_t)g_get_real_time(),
        .loader = {t, replace_control, restore_stored},
    };
}

static void
report_member(struct mw_flow_control_task *t, const char *outcome)
{
    mw_event_log_write_change(t->process.log, mw_now(), "member",
                              mw_name_str(&t->setup.name), outcome);
}

/* A member stores what the log tells it to from now on. */
static void
start_disk(struct mw_flow_control_task *t, int64_t begun_us)
{
    if (t->disk) {
        mw_report_store_read(t, begun_us);
        t->disk_task = mw_start_disk(t->disk, t->task);
    }
}

/* A standby that was a member may reach the others only by their names. */
static void
dial_former_members(struct mw_flow_control_task *t)
{
    struct mw_name members[MW_MEMBERS_MAX] = {{0}};
    uint32_t count = mw_read_former_members(t->setup.data_dir, members);

    for (uint32_t i = 0; i < count; i++) {
        mw_dial_process(t, &members[i]);
    }
}

static void
report_opened(struct mw_flow_control_task *t, enum mw_member_outcome outcome)
{
    switch (outcome) {
    case MW_MEMBER_FOUNDED:
        report_member(t, "founding");
        break;
    case MW_MEMBER_STANDBY:
        report_member(t, "standby");
        break;
    case MW_MEMBER_GIVEN_UP:
        mw_event_log_write_change(t->process.log, mw_now(), "member",
                                  mw_detail(&t->ctx), "given_up");
        mw_emit_event(&t->ctx, MW_SEVERITY_ERROR,
                      "event=member_given_up detail=\"%.*s\"",
                      MW_FMT(mw_detail(&t->ctx)));
        break;
    default:
        break;
    }
}

static int
open_state(struct mw_flow_control_task *t)
{
    struct mw_member_setup setup = member_setup(t);
    enum mw_member_outcome outcome;
    int64_t begun_us = mw_now();
    int err;

    mw_report_store_reading(t);
    err = mw_open_member(&t->ctx, &setup, &t->disk, &outcome);
    if (err) {
        return err;
    }
    start_disk(t, begun_us);
    report_opened(t, outcome);
    if (!t->disk) {
        dial_former_members(t);
    }
    return 0;
}

/* The other members list this process. */
static int
join(struct mw_flow_control_task *t, const struct mw_name *members,
     uint32_t count)
{
    struct mw_member_setup setup = member_setup(t);
    int64_t begun_us = mw_now();
    int err = mw_join_member(&t->ctx, &setup, members, count, &t->disk);

    if (!err) {
        start_disk(t, begun_us);
        report_member(t, "joins_anew");
    }
    return err;
}

void
mw_report_disk(struct mw_flow_control_task *t, int error, struct mw_str detail)
{
    const char *outcome = "writes_again";

    if (error) {
        outcome = error == MW_ERR_DISK ? "refuses_writes" : "unusable";
    }
    mw_event_log_write_change(t->process.log, mw_now(), "disk", detail,
                              outcome);
}

/* Another process has the data directory open, and this one is not needed. */
static bool
must_end(int error)
{
    return error == MW_ERR_LOCKED;
}

/*
 * The data directory can't be opened now, because the disk is full or the
 * files are another member's, for example.  Until it can, the process only
 * forwards requests, as a standby.
 */
static void
run_without_disk(struct mw_flow_control_task *t, int error)
{
    if (t->open_deadline_us == 0) {
        mw_report_disk(t, error, mw_detail(&t->ctx));
        mw_emit_event(&t->ctx, MW_SEVERITY_ERROR,
                      "event=data_dir_unusable kind=%.*s detail=\"%.*s\"",
                      MW_FMT(mw_error_str(error)), MW_FMT(mw_detail(&t->ctx)));
    }
    t->open_deadline_us = mw_now() + OPEN_RETRY_INTERVAL_US;
    replace_control(t, (uint64_t)g_get_real_time(), NULL, 0);
}

int
mw_open_member_state(struct mw_flow_control_task *t)
{
    int err = open_state(t);

    if (!err || must_end(err)) {
        return err;
    }
    run_without_disk(t, err);
    return 0;
}

void
mw_reopen_member_state(struct mw_flow_control_task *t, int64_t now_us)
{
    int err;

    if (t->open_deadline_us == 0 || now_us < t->open_deadline_us) {
        return;
    }
    err = open_state(t);
    if (must_end(err)) {
        mw_end_region_process(&t->process, err, mw_detail(&t->ctx));
    }
    else if (err) {
        run_without_disk(t, err);
    }
    else {
        t->open_deadline_us = 0;
        mw_report_disk(t, 0, t->setup.data_dir);
    }
}

void
mw_check_membership(struct mw_flow_control_task *t)
{
    struct mw_name members[MW_MEMBERS_MAX] = {{0}};
    uint32_t count = mw_flow_control_get_members(t->control, members);
    int err;

    if (t->disk || t->open_deadline_us > 0 ||
        !mw_contains_name(members, count, &t->setup.name)) {
        return;
    }
    err = join(t, members, count);
    if (must_end(err)) {
        mw_end_region_process(&t->process, err, mw_detail(&t->ctx));
    }
    else if (err) {
        run_without_disk(t, err);
    }
    mw_dial_known_processes(t);
}
