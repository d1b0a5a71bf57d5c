/*
 * heartbeat-script: how heartbeats of endpoints are passed on to the leader,
 * and which control process takes them.
 */
#include "flow-heartbeat-relay.h"
#include "flow-heartbeat-target.h"
#include "script.h"

#define START_US INT64_C(1000000000)
/* of the relay's messages to the leader */
#define FIRST_REF 101

struct state {
    struct mw_script *script;
    struct mw_heartbeat_relay *relay;
    struct mw_heartbeat_targets targets;
    int64_t now_us;
};

static void
print_batch(void *opaque, const struct mw_name *to, struct mw_msg *msg)
{
    struct state *st = opaque;

    for (uint32_t i = 0; i < msg->flow_heartbeats.count; i++) {
        const struct mw_relayed_heartbeat *relayed =
            &msg->flow_heartbeats.heartbeats[i];

        mw_script_printf(st->script, "  to %.*s: %d of %.*s",
                         MW_FMT(mw_name_str(to)), (int)relayed->ref,
                         MW_FMT(mw_name_str(&relayed->heartbeat.id)));
    }
}

static void
print_reply(void *opaque, uint64_t ref, int error)
{
    struct state *st = opaque;

    mw_script_printf(st->script, "  reply %d: %.*s", (int)ref,
                     MW_FMT(error ? mw_error_str(error) : MW_STR("ok")));
}

static void *
begin(void)
{
    struct state *st = g_new0(struct state, 1);
    struct mw_heartbeat_relay_output output = {st, print_batch, print_reply};

    st->relay = mw_new_heartbeat_relay(&output, FIRST_REF);
    st->now_us = START_US;
    return st;
}

static void
end(void *state)
{
    struct state *st = state;

    mw_drop_heartbeat_relay(st->relay);
    g_free(st);
}

static struct state *
get_state(struct mw_script *s)
{
    struct state *st = s->state;

    st->script = s;
    return st;
}

static uint64_t
number(struct mw_script *s, int word)
{
    return g_ascii_strtoull(mw_script_word(s, word), NULL, 10);
}

/* relay REF ENDPOINT */
static void
cmd_relay(struct mw_script *s)
{
    struct state *st = get_state(s);
    struct mw_flow_heartbeat heartbeat = {
        .id = mw_name_from(mw_script_word(s, 2))};
    int err =
        mw_relay_heartbeat(st->relay, st->now_us, &heartbeat, number(s, 1));

    if (err != MW_ERR_PENDING) {
        print_reply(st, number(s, 1), err);
    }
}

/* run MS [LEADER]: advances the time, then lets the relay act */
static void
cmd_run(struct mw_script *s)
{
    struct state *st = get_state(s);
    struct mw_name leader = mw_name_from(mw_script_word(s, 2));

    st->now_us += (int64_t)number(s, 1) * 1000;
    mw_heartbeat_relay_tick(st->relay, st->now_us, &leader);
}

/* settle REF: the leader acknowledges the message with this ref */
static void
cmd_settle(struct mw_script *s)
{
    struct state *st = get_state(s);

    if (!mw_settle_heartbeat(st->relay, number(s, 1), 0)) {
        mw_script_printf(s, "  %d is not known", (int)number(s, 1));
    }
}

static void
cmd_leader_gone(struct mw_script *s)
{
    mw_fail_relayed_heartbeats(get_state(s)->relay);
}

/* process NAME ZONE [leaving=1] [protocol=N]: its own heartbeat arrives */
static void
cmd_process(struct mw_script *s)
{
    struct state *st = get_state(s);
    struct mw_name name = mw_name_from(mw_script_word(s, 1));
    struct mw_heartbeat heartbeat = {
        .zone = mw_name_from(mw_script_word(s, 2)),
        .leaving = mw_script_option_int(s, "leaving", 0) != 0,
        .protocol = (uint32_t)mw_script_option_int(s, "protocol", MW_PROTOCOL),
    };

    mw_note_heartbeat_target(&st->targets, st->now_us, &name, &heartbeat);
}

/* targets ZONE COUNT: how many of COUNT endpoints go to each process */
static void
cmd_targets(struct mw_script *s)
{
    struct state *st = get_state(s);
    struct mw_name zone = mw_name_from(mw_script_word(s, 1));
    uint32_t counts[MW_HEARTBEAT_TARGETS_MAX] = {0};
    uint32_t none = 0;

    for (uint64_t i = 0; i < number(s, 2); i++) {
        char text[16];
        struct mw_name id;
        struct mw_name target;
        uint32_t n = 0;

        g_snprintf(text, sizeof text, "e%d", (int)i);
        id = mw_name_from(text);
        target =
            mw_choose_heartbeat_target(&st->targets, st->now_us, &id, &zone);
        while (n < st->targets.count &&
               !mw_name_equal(&st->targets.targets[n].name, &target)) {
            n++;
        }
        if (n < st->targets.count) {
            counts[n]++;
        }
        else {
            none++;
        }
    }
    for (uint32_t n = 0; n < st->targets.count; n++) {
        mw_script_printf(s, "  %.*s: %u",
                         MW_FMT(mw_name_str(&st->targets.targets[n].name)),
                         counts[n]);
    }
    mw_script_printf(s, "  none: %u", none);
}

static const struct mw_script_command commands[] = {
    {"relay", 2, cmd_relay},
    {"run", 1, cmd_run},
    {"settle", 1, cmd_settle},
    {"leader-gone", 0, cmd_leader_gone},
    {"process", 2, cmd_process},
    {"targets", 2, cmd_targets},
    {NULL, 0, NULL},
};

const struct mw_script_kind mw_heartbeat_scripts = {"heartbeat", commands,
                                                    begin, end};
