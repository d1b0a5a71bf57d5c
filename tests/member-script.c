/*
 * member-script: the data directory of a member that is cut off at any step;
 * see store-disk.h.
 *
 * What a start finds is compared with what the member has promised: the
 * entries that were synced under an incarnation are there as long as the
 * process has that incarnation, and a directory that no step has completed
 * never keeps a process from joining.
 */
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "member.h"
#include "script.h"
#include "store-disk.h"

#define SELF "c-za-1"
#define NOTE_WAIT_US 5000000
#define ENTRY_BYTES 300
#define SNAPSHOT_TERM 7

/* promise: what the member owes to the others. */
struct promise {
    /* the files were complete, under this incarnation */
    bool is_member;
    uint64_t incarnation;
    /* the last entry that was synced */
    uint64_t last_index;
    /* since then the test has damaged what was synced */
    bool is_damaged;
    /* founding was complete once */
    bool has_founded;
};

struct contents {
    uint64_t incarnation;
    uint64_t last_index;
};

struct state {
    struct mw_context ctx;
    struct store_disk *store;
    struct mw_disk *disk;
    struct mw_task *owner;
    struct mw_task *task;
    /* 1 for synced, 2 for refused */
    GAsyncQueue *notes;
    bool founding;
    /* of the next member that joins */
    uint64_t next_incarnation;
    struct contents contents;
    struct promise promise;
    /* what the last start did, and its error */
    enum mw_member_outcome outcome;
    int error;
    GRand *random;
};

static void
push_note(void *opaque, struct mw_task_msg *task_msg)
{
    bool refused = task_msg->kind == MW_TASK_MSG_DISK && task_msg->status;

    if (task_msg->kind == MW_TASK_MSG_SYNCED || refused) {
        g_async_queue_push(opaque, GINT_TO_POINTER(refused ? 2 : 1));
    }
}

static void
stop(struct state *st)
{
    mw_drop_disk(st->disk);
    mw_drop_task(st->owner);
    st->disk = NULL;
    st->owner = NULL;
    while (g_async_queue_try_pop(st->notes)) {
    }
}

static void *
begin(void)
{
    struct state *st = g_new0(struct state, 1);

    st->store = store_new_disk();
    st->notes = g_async_queue_new();
    st->founding = true;
    st->next_incarnation = 1000;
    st->random = g_rand_new_with_seed(1);
    return st;
}

static void
end(void *opaque)
{
    struct state *st = opaque;

    stop(st);
    store_drop_disk(st->store);
    g_async_queue_unref(st->notes);
    g_rand_free(st->random);
    g_free(st);
}

static void
begin_contents(void *opaque, uint64_t incarnation,
               const struct mw_name *members, uint32_t count)
{
    struct state *st = opaque;

    (void)incarnation;
    (void)members;
    (void)count;
    st->contents = (struct contents){0};
}

static int
load_item(void *opaque, struct mw_context *ctx, enum mw_group group,
          const struct mw_stored_item *item)
{
    struct state *st = opaque;

    (void)ctx;
    if (group != MW_GROUP_REGION) {
        return 0;
    }
    if (item->kind == MW_STORED_META) {
        st->contents.incarnation = item->incarnation;
    }
    else {
        st->contents.last_index = item->index;
    }
    return 0;
}

static struct mw_member_setup
member_setup(struct state *st, const struct mw_name *founders)
{
    return (struct mw_member_setup){
        .disk = {.data_dir = mw_str_from(st->store->dir),
                 .member = mw_name_from(SELF),
                 .io = &st->store->io},
        .founding = st->founding,
        .founders = founders,
        .founder_count = 2,
        .incarnation = st->next_incarnation++,
        .loader = {st, begin_contents, load_item},
    };
}

static void
start_task(struct state *st)
{
    struct mw_task_callbacks work = {.opaque = st->notes,
                                     .receive = push_note};

    if (st->disk) {
        st->owner = mw_new_task("owner", &work);
        st->task = mw_start_disk(st->disk, st->owner);
    }
}

static void
start(struct state *st)
{
    struct mw_name founders[] = {mw_name_from(SELF), mw_name_from("c-zb-1")};
    struct mw_member_setup setup = member_setup(st, founders);

    stop(st);
    st->error = mw_open_member(&st->ctx, &setup, &st->disk, &st->outcome);
    start_task(st);
}

static void
join(struct state *st)
{
    struct mw_name members[] = {mw_name_from(SELF), mw_name_from("c-zb-1")};
    struct mw_member_setup setup = member_setup(st, members);

    st->error = mw_join_member(&st->ctx, &setup, members, 2, &st->disk);
    start_task(st);
}

static void
add_item(GArray *list, struct mw_stored_item *item)
{
    struct mw_stored_blob stored = {.group = MW_GROUP_REGION,
                                    .kind = item->kind,
                                    .sequence = list->len + 1,
                                    .blob = mw_encode_stored(item)};

    g_array_append_val(list, stored);
}

static void
add_config(GArray *list, enum mw_stored_kind kind, uint64_t index)
{
    struct mw_record *record = mw_new_record(MW_RECORD_CONFIG);
    char *text = g_strnfill(ENTRY_BYTES, 'x');
    struct mw_stored_item item = {.kind = kind,
                                  .index = index,
                                  .term = 1,
                                  .record_count = 1,
                                  .records = &record};

    record->config.version = index;
    record->config.text = mw_new_blob(mw_str_from(text));
    add_item(list, &item);
    mw_drop_record(record);
    g_free(text);
}

/* Stores an entry, or a snapshot and an entry; keeps what was promised. */
static void
store(struct state *st, bool is_snapshot)
{
    GArray *list = mw_new_stored_list();
    uint64_t index = st->contents.last_index + 1;
    struct mw_stored_item meta = {.kind = MW_STORED_META,
                                  .term = SNAPSHOT_TERM,
                                  .incarnation = st->contents.incarnation};

    if (is_snapshot) {
        add_config(list, MW_STORED_SNAPSHOT, index++);
        add_item(list, &meta);
    }
    add_config(list, MW_STORED_ENTRY, index);
    mw_post_stored(st->task, &list);
    g_array_unref(list);
    if (g_async_queue_timeout_pop(st->notes, NOTE_WAIT_US) ==
        GINT_TO_POINTER(1)) {
        st->contents.last_index = index;
        st->promise.last_index = index;
    }
}

/* The process is a member from now on, by what it has read or created. */
static void
promise_contents(struct state *st)
{
    st->promise.has_founded |=
        st->contents.incarnation == MW_FOUNDING_INCARNATION;
    st->promise.is_member = true;
    st->promise.incarnation = st->contents.incarnation;
    st->promise.last_index = st->contents.last_index;
    st->promise.is_damaged = false;
}

/* What a start of a process without power loss may not do; NULL if it is
 * right. */
static const char *
find_fault(const struct state *st)
{
    const struct promise *promise = &st->promise;
    const struct contents *contents = &st->contents;

    if (st->error) {
        return "does not start";
    }
    if (st->outcome == MW_MEMBER_GIVEN_UP && !promise->is_damaged) {
        return "gave up what was never damaged";
    }
    if (!st->disk) {
        return promise->is_member && !promise->is_damaged ? "not a member"
                                                          : NULL;
    }
    if (!promise->is_member) {
        return contents->incarnation == MW_FOUNDING_INCARNATION &&
                       promise->has_founded
                   ? "founded twice"
                   : NULL;
    }
    if (contents->incarnation != promise->incarnation) {
        return "other incarnation";
    }
    return contents->last_index < promise->last_index ? "entries lost" : NULL;
}

/* Starts, and joins if it is no member then; returns the fault or NULL. */
static const char *
start_and_join(struct state *st)
{
    const char *fault;

    start(st);
    fault = find_fault(st);
    if (fault) {
        return fault;
    }
    if (!st->disk) {
        st->promise.is_member = false;
        join(st);
        if (st->error) {
            return "does not join";
        }
    }
    promise_contents(st);
    return NULL;
}

static void
write_file(struct state *st, const char *name, const char *data, gsize len)
{
    char *path = store_disk_path(st->store, name);

    g_unlink(path);
    g_file_set_contents_full(path, data, (gssize)len, G_FILE_SET_CONTENTS_NONE,
                             0600, NULL);
    g_free(path);
}

/* Cuts a file to some length, 0 to that of a new one without its item. */
static void
cut_file(struct state *st, const char *name, gsize len)
{
    char *path = store_disk_path(st->store, name);
    char *data = NULL;
    gsize size = 0;

    if (g_file_get_contents(path, &data, &size, NULL)) {
        write_file(st, name, data, MIN(size, len));
        st->promise.is_damaged = true;
    }
    g_free(data);
    g_free(path);
}

static void
remove_file(struct state *st, const char *name)
{
    char *path = store_disk_path(st->store, name);

    st->promise.is_damaged |= g_unlink(path) == 0;
    g_free(path);
}

/* lose-disk: the process starts again without data, and does not found */
static void
lose_disk(struct state *st)
{
    GDir *dir;
    const char *name;

    stop(st);
    dir = g_dir_open(st->store->dir, 0, NULL);
    while ((name = g_dir_read_name(dir))) {
        char *path = store_disk_path(st->store, name);

        g_unlink(path);
        g_free(path);
    }
    g_dir_close(dir);
    st->founding = false;
    st->promise.is_member = false;
    st->promise.is_damaged = false;
}

static const char *const files[] = {"region.log", "zone.log", "members"};

/* One fault of the disk, while the process does not run. */
static void
damage(struct state *st)
{
    static const gsize lengths[] = {0, 7, 60, 96};
    const char *name =
        files[g_rand_int_range(st->random, 0, G_N_ELEMENTS(files))];

    stop(st);
    if (g_rand_boolean(st->random)) {
        remove_file(st, name);
    }
    else {
        /* without its end, "members" is no whole list either */
        cut_file(st, name,
                 strcmp(name, "members") == 0
                     ? (gsize)g_rand_int_range(st->random, 0, 7)
                     : lengths[g_rand_int_range(st->random, 0, 4)]);
    }
    /* without the list nothing says that there was a member */
    if (strcmp(name, "members") == 0) {
        st->promise.is_member = st->promise.is_member &&
                                store_disk_size(st->store, "members") >= 0;
        st->founding = false;
    }
}

static void
act(struct state *st)
{
    switch (g_rand_int_range(st->random, 0, 8)) {
    case 0:
        stop(st);
        break;
    case 1:
        damage(st);
        break;
    case 2:
        lose_disk(st);
        break;
    case 3:
        store(st, true);
        break;
    default:
        store(st, false);
        break;
    }
}

/* Runs with power for some operations, then loses it, or is killed. */
static void
run_into_cut(struct state *st)
{
    unsigned lost_names = g_rand_int(st->random);
    enum store_data_loss data_loss = (enum store_data_loss)g_rand_int_range(
        st->random, 0, STORE_DATA_LOSSES);
    bool is_power_loss = g_rand_boolean(st->random);

    st->store->operations_left = g_rand_int_range(st->random, 0, 24);
    start(st);
    if (!st->error && !st->disk) {
        st->promise.is_member = false;
        join(st);
    }
    if (!st->error && st->disk) {
        promise_contents(st);
    }
    while (!st->store->power_lost && st->store->operations_left > 0 &&
           st->disk) {
        store(st, g_rand_int_range(st->random, 0, 4) == 0);
    }
    stop(st);
    if (is_power_loss) {
        store_lose_power(st->store, lost_names, data_loss);
    }
    st->store->operations_left = -1;
    st->store->power_lost = false;
    g_array_set_size(st->store->changes, 0);
}

/* Returns the first fault of a course, or NULL. */
static const char *
run_course(struct state *st, int steps)
{
    const char *fault = start_and_join(st);

    for (int i = 0; i < steps && !fault; i++) {
        act(st);
        if (g_rand_boolean(st->random)) {
            run_into_cut(st);
        }
        fault = start_and_join(st);
    }
    return fault;
}

#define COURSE_STEPS 10

/* seeds FIRST COUNT: random courses, each on a new disk */
static void
cmd_seeds(struct mw_script *s)
{
    unsigned first = (unsigned)atoi(mw_script_word(s, 1));
    unsigned count = (unsigned)atoi(mw_script_word(s, 2));
    unsigned faults = 0;

    for (unsigned seed = first; seed < first + count; seed++) {
        struct state *st = begin();

        g_rand_set_seed(st->random, seed);
        const char *fault = run_course(st, COURSE_STEPS);

        if (fault && faults++ == 0) {
            mw_script_printf(s, "seed %u: %s; %.*s", seed, fault,
                             MW_FMT(mw_detail(&st->ctx)));
        }
        end(st);
    }
    mw_script_printf(s, "  %u courses, %u faults", count, faults);
}

static void
print_state(struct mw_script *s)
{
    static const char *const outcomes[] = {"standby", "opened", "founded",
                                           "given up"};
    struct state *st = s->state;

    if (st->error) {
        mw_script_printf(s, "  %.*s", MW_FMT(mw_error_str(st->error)));
        return;
    }
    mw_script_printf(s, "  %s", outcomes[st->outcome]);
    if (st->disk) {
        mw_script_printf(s, "  incarnation %d, last entry %d",
                         (int)st->contents.incarnation,
                         (int)st->contents.last_index);
    }
}

/* start [standby]: opens the directory; a standby may not found the log */
static void
cmd_start(struct mw_script *s)
{
    struct state *st = s->state;

    st->founding = strcmp(mw_script_word(s, 1), "standby") != 0;
    start(st);
    print_state(s);
}

/* join: the other members list the process */
static void
cmd_join(struct mw_script *s)
{
    struct state *st = s->state;

    join(st);
    st->outcome = MW_MEMBER_OPENED;
    print_state(s);
}

/* entries COUNT: each is synced */
static void
cmd_entries(struct mw_script *s)
{
    for (int i = atoi(mw_script_word(s, 1)); i > 0; i--) {
        store(s->state, false);
    }
}

/* stop: the process ends */
static void
cmd_stop(struct mw_script *s)
{
    stop(s->state);
}

static void
cmd_lose_disk(struct mw_script *s)
{
    lose_disk(s->state);
}

/* cut NAME BYTES: a file gets shorter */
static void
cmd_cut(struct mw_script *s)
{
    cut_file(s->state, mw_script_word(s, 1),
             (gsize)atoi(mw_script_word(s, 2)));
}

/* remove NAME */
static void
cmd_remove(struct mw_script *s)
{
    remove_file(s->state, mw_script_word(s, 1));
}

/* file NAME TEXT: in place of what there was; an underscore ends a line */
static void
cmd_file(struct mw_script *s)
{
    char *text = g_strdelimit(g_strdup(mw_script_word(s, 2)), "_", '\n');

    write_file(s->state, mw_script_word(s, 1), text, strlen(text));
    g_free(text);
}

/* flip NAME AT: inverts a byte */
static void
cmd_flip(struct mw_script *s)
{
    struct state *st = s->state;
    char *path = store_disk_path(st->store, mw_script_word(s, 1));
    gsize at = (gsize)atoi(mw_script_word(s, 2));
    char *data = NULL;
    gsize size = 0;

    if (g_file_get_contents(path, &data, &size, NULL) && at < size) {
        data[at] = (char)~data[at];
        write_file(st, mw_script_word(s, 1), data, size);
    }
    g_free(data);
    g_free(path);
}

/* files: which there are, without RESERVE and LOCK */
static void
cmd_files(struct mw_script *s)
{
    static const char *const names[] = {
        "members",    "members.new",    "members.damaged",
        "region.log", "region.log.new", "region.log.damaged",
        "zone.log",   "zone.log.new",   "zone.log.damaged"};
    struct state *st = s->state;

    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        if (store_disk_size(st->store, names[i]) >= 0) {
            mw_script_printf(s, "  %s", names[i]);
        }
    }
}

static const struct mw_script_command commands[] = {
    {"start", 0, cmd_start},         {"join", 0, cmd_join},
    {"entries", 1, cmd_entries},     {"stop", 0, cmd_stop},
    {"lose-disk", 0, cmd_lose_disk}, {"cut", 2, cmd_cut},
    {"remove", 1, cmd_remove},       {"file", 2, cmd_file},
    {"flip", 2, cmd_flip},           {"files", 0, cmd_files},
    {"seeds", 2, cmd_seeds},         {NULL, 0, NULL},
};

const struct mw_script_kind mw_member_scripts = {"member", commands, begin,
                                                 end};
