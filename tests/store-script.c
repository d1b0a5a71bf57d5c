/*
 * store-script: the data files of a member on a disk that fills up or loses
 * its power; see store-disk.h.
 */
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "peak-memory.h"
#include "script.h"
#include "store-disk.h"

#define NOTE_WAIT_US 5000000
/* term that a snapshot's items have; entries have term 1 */
#define SNAPSHOT_TERM 7

/* What a start has read of the region's file. */
struct contents {
    int error;
    unsigned entries;
    unsigned snapshots;
    uint64_t term;
    uint64_t last_index;
};

struct state {
    struct mw_context ctx;
    struct store_disk *store;
    struct mw_disk *disk;
    struct mw_task *owner;
    struct mw_task *task;
    /* enum note of the disk task */
    GAsyncQueue *notes;
    uint64_t index;
    struct contents contents;
    /* the first fault of a series is printed */
    bool fault_shown;
};

enum note {
    NOTE_NONE = 0,
    NOTE_SYNCED = 1,
    NOTE_REFUSES = 2,
    NOTE_ACCEPTS = 3
};

static void *
begin(void)
{
    struct state *st = g_new0(struct state, 1);

    st->store = store_new_disk();
    st->notes = g_async_queue_new();
    return st;
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

static void
end(void *state)
{
    struct state *st = state;

    stop(st);
    store_drop_disk(st->store);
    g_async_queue_unref(st->notes);
    g_free(st);
}

static void
push_note(void *opaque, struct mw_task_msg *mail)
{
    enum note note = NOTE_SYNCED;

    if (mail->kind == MW_TASK_MSG_DISK) {
        note = mail->status ? NOTE_REFUSES : NOTE_ACCEPTS;
    }
    g_async_queue_push(opaque, GINT_TO_POINTER(note));
}

static enum note
wait_for_note(struct state *st)
{
    return (enum note)GPOINTER_TO_INT(
        g_async_queue_timeout_pop(st->notes, NOTE_WAIT_US));
}

/* The next sync or refusal. */
static enum note
wait_for_result(struct state *st)
{
    enum note note;

    do {
        note = wait_for_note(st);
    } while (note == NOTE_ACCEPTS);
    return note;
}

static int
load_item(void *opaque, struct mw_context *ctx, enum mw_group group,
          const struct mw_stored_item *item)
{
    struct contents *contents = opaque;

    (void)ctx;
    if (group != MW_GROUP_REGION) {
        return 0;
    }
    contents->entries += item->kind == MW_STORED_ENTRY;
    contents->snapshots += item->kind == MW_STORED_SNAPSHOT;
    if (item->kind == MW_STORED_META) {
        contents->term = item->term;
    }
    else {
        contents->last_index = item->index;
    }
    return 0;
}

/* Opens the files of a disk, and starts the task if there is an owner. */
static struct mw_disk *
open_store(struct state *st, struct store_disk *store)
{
    struct mw_disk_loader loader = {&st->contents, load_item};
    struct mw_disk_setup setup = {.data_dir = mw_str_from(store->dir),
                                  .member = mw_name_from("c-za-1"),
                                  .io = &store->io};
    uint64_t incarnation = MW_FOUNDING_INCARNATION;

    memset(&st->contents, 0, sizeof st->contents);
    return mw_open_disk(&st->ctx, &setup, &incarnation, &loader,
                        &st->contents.error);
}

static void
start(struct state *st, struct store_disk *store)
{
    struct mw_task_callbacks work = {.opaque = st->notes,
                                     .receive = push_note};

    stop(st);
    st->disk = open_store(st, store);
    st->index = st->contents.last_index;
    if (st->disk) {
        st->owner = mw_new_task("owner", &work);
        st->task = mw_start_disk(st->disk, st->owner);
    }
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

/* Routes of a configuration, which differ as those of a deployment do. */
static char *
config_text(uint64_t version, gsize len)
{
    GString *text = g_string_sized_new(len + 128);

    for (unsigned i = 0; text->len < len; i++) {
        uint32_t mixed = (uint32_t)(version + i) * 2654435761u;

        g_string_append_printf(text,
                               "{\"route\": \"r-%u\", \"endpoint\": "
                               "\"10.3.%u.%u:%u\", \"weight\": %u},\n",
                               i, mixed >> 24, mixed >> 16 & 255,
                               8000 + (mixed >> 8 & 255), mixed & 63);
    }
    g_string_truncate(text, len);
    return g_string_free(text, FALSE);
}

static void
add_config(GArray *list, enum mw_stored_kind kind, uint64_t index, gsize len)
{
    struct mw_record *record = mw_new_record(MW_RECORD_CONFIG);
    char *text = config_text(index, len);
    struct mw_stored_item item = {.kind = kind,
                                  .index = index,
                                  .term = 1,
                                  .record_count = 1,
                                  .records = &record};

    record->config.version = index;
    record->config.text = mw_new_blob((struct mw_str){text, len});
    add_item(list, &item);
    mw_drop_record(record);
    g_free(text);
}

static void
post_entry(struct state *st, gsize len)
{
    GArray *list = mw_new_stored_list();

    add_config(list, MW_STORED_ENTRY, ++st->index, len);
    mw_post_stored(st->task, &list);
    g_array_unref(list);
}

/* As a log stores it: the snapshot, the term and the next entry. */
static void
post_snapshot(struct state *st, gsize len)
{
    GArray *list = mw_new_stored_list();
    struct mw_stored_item meta = {.kind = MW_STORED_META,
                                  .term = SNAPSHOT_TERM,
                                  .incarnation = MW_FOUNDING_INCARNATION};

    add_config(list, MW_STORED_SNAPSHOT, st->index, len);
    add_item(list, &meta);
    add_config(list, MW_STORED_ENTRY, ++st->index, 1);
    mw_post_stored(st->task, &list);
    g_array_unref(list);
}

static void
print_note(struct mw_script *s, enum note note)
{
    static const char *const words[] = {"no note", "synced", "refuses writes",
                                        "writes again"};

    mw_script_printf(s, "  %s", words[note]);
}

static void
print_contents(struct mw_script *s, const struct contents *contents)
{
    mw_script_printf(s, "%.*s: %u snapshots, %u entries, last entry %d",
                     MW_FMT(mw_error_str(contents->error)),
                     contents->snapshots, contents->entries,
                     (int)contents->last_index);
}

/* start: opens the files, and accepts items from then on */
static void
cmd_start(struct mw_script *s)
{
    struct state *st = s->state;

    start(st, st->store);
    print_contents(s, &st->contents);
}

/* entries COUNT BYTES: stores so many, up to the first that is refused */
static void
cmd_entries(struct mw_script *s)
{
    struct state *st = s->state;
    gsize len = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);
    enum note note = NOTE_SYNCED;

    for (gint64 i = g_ascii_strtoll(mw_script_word(s, 1), NULL, 10);
         i > 0 && note == NOTE_SYNCED; i--) {
        post_entry(st, len);
        note = wait_for_result(st);
    }
    print_note(s, note);
}

/* snapshot BYTES: stores one that replaces all entries, and one entry more */
static void
cmd_snapshot(struct mw_script *s)
{
    struct state *st = s->state;

    post_snapshot(st, g_ascii_strtoull(mw_script_word(s, 1), NULL, 10));
    print_note(s, wait_for_result(st));
}

/* room BYTES: what the disk can still take */
static void
cmd_room(struct mw_script *s)
{
    struct state *st = s->state;

    st->store->capacity = store_disk_used(st->store) +
                          g_ascii_strtoull(mw_script_word(s, 1), NULL, 10);
}

/* capacity BYTES: of the whole disk */
static void
cmd_capacity(struct mw_script *s)
{
    struct state *st = s->state;

    st->store->capacity = g_ascii_strtoull(mw_script_word(s, 1), NULL, 10);
}

/* reserve on|off: whether the reserve is filled, in the background */
static void
cmd_reserve(struct mw_script *s)
{
    struct state *st = s->state;

    st->store->tells_room = strcmp(mw_script_word(s, 1), "on") == 0;
}

/* file NAME BYTES: makes a file of other data, or one that was left */
static void
cmd_file(struct mw_script *s)
{
    struct state *st = s->state;
    char *path = store_disk_path(st->store, mw_script_word(s, 1));
    gsize len = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10);
    char *data = g_strnfill(len, 'x');

    g_unlink(path);
    g_file_set_contents_full(path, data, (gssize)len, G_FILE_SET_CONTENTS_NONE,
                             0600, NULL);
    g_free(data);
    g_free(path);
}

/* size NAME: of a file, in KB */
static void
cmd_size(struct mw_script *s)
{
    struct state *st = s->state;
    int64_t size = store_disk_size(st->store, mw_script_word(s, 1));

    if (size < 0) {
        mw_script_printf(s, "  no %s", mw_script_word(s, 1));
        return;
    }
    mw_script_printf(s, "  %s: %d KB", mw_script_word(s, 1),
                     (int)(size / 1024));
}

/* summary: what the last start says that it has read */
static void
cmd_summary(struct mw_script *s)
{
    struct state *st = s->state;
    const struct mw_disk_summary *summary =
        mw_disk_get_summary(st->disk, MW_GROUP_REGION);

    mw_script_printf(s,
                     "  %d bytes, %d entries, %d snapshots, term %d, commit "
                     "%d, last entry %d",
                     (int)summary->bytes, (int)summary->entries,
                     (int)summary->snapshots, (int)summary->term,
                     (int)summary->commit, (int)summary->last_index);
}

/* wait-for NAME KB: until the file has this size, for 20 s at most */
static void
cmd_wait_for(struct mw_script *s)
{
    struct state *st = s->state;
    int64_t wanted = atoi(mw_script_word(s, 2)) * INT64_C(1024);
    int64_t deadline_us = g_get_monotonic_time() + 20 * G_USEC_PER_SEC;

    while (store_disk_size(st->store, mw_script_word(s, 1)) != wanted &&
           g_get_monotonic_time() < deadline_us) {
        g_usleep(10000);
    }
    cmd_size(s);
}

/* read-memory BYTES: whether a start takes at most this much more memory */
static void
cmd_read_memory(struct mw_script *s)
{
    struct state *st = s->state;
    uint64_t bound = g_ascii_strtoull(mw_script_word(s, 1), NULL, 10);

    stop(st);
    mw_reset_peak_memory();
    uint64_t before = mw_peak_memory();
    struct mw_disk *disk = open_store(st, st->store);

    print_contents(s, &st->contents);
    mw_script_printf(s, "  %s",
                     mw_peak_memory() - before <= bound ? "little memory"
                                                        : "much memory");
    mw_drop_disk(disk);
}

/* Whether the files hold the old items or all of the new ones. */
static bool
is_intact(const struct contents *contents, const struct contents *old,
          bool synced)
{
    bool is_old = contents->snapshots == old->snapshots &&
                  contents->entries == old->entries &&
                  contents->last_index == old->last_index;
    bool is_new = contents->snapshots == 1 && contents->entries == 1 &&
                  contents->term == SNAPSHOT_TERM &&
                  contents->last_index == old->last_index + 1;

    return contents->error == 0 && (is_new || (is_old && !synced));
}

/* Stores a snapshot while the power is lost; returns whether it was synced. */
static bool
run_into_power_loss(struct state *st, struct store_disk *copy, int operations,
                    gsize len)
{
    copy->operations_left = -1;
    start(st, copy);
    copy->operations = 0;
    copy->operations_left = operations;
    post_snapshot(st, len);
    bool synced = wait_for_result(st) == NOTE_SYNCED;

    stop(st);
    return synced;
}

/* Loses the power at one operation with one outcome; returns the faults. */
static int
try_power_loss(struct mw_script *s, int operations, unsigned lost_names,
               enum store_data_loss data_loss, gsize len)
{
    struct state *st = s->state;
    struct store_disk *copy = store_new_disk();
    struct contents old;
    bool failed;

    copy->capacity = st->store->capacity;
    store_copy_disk(copy, st->store);
    bool synced = run_into_power_loss(st, copy, operations, len);

    old = st->contents;
    store_lose_power(copy, lost_names, data_loss);
    copy->operations_left = -1;
    mw_drop_disk(open_store(st, copy));
    failed = !is_intact(&st->contents, &old, synced) ||
             store_disk_size(copy, "region.log.new") >= 0;
    if (failed && !st->fault_shown) {
        st->fault_shown = true;
        mw_script_printf(s,
                         "after %d operations, names %u, data %d:", operations,
                         lost_names, (int)data_loss);
        print_contents(s, &st->contents);
    }
    store_drop_disk(copy);
    return failed;
}

#define NAME_LOSSES 8

/*
 * power-losses BYTES: stores a snapshot of this size once for each operation
 * that can be the last, and each outcome of the power loss
 */
static void
cmd_power_losses(struct mw_script *s)
{
    struct state *st = s->state;
    gsize len = g_ascii_strtoull(mw_script_word(s, 1), NULL, 10);
    struct store_disk *copy = store_new_disk();
    int faults = 0;

    /* a later command must start again */
    stop(st);
    st->fault_shown = false;
    copy->capacity = st->store->capacity;
    store_copy_disk(copy, st->store);
    print_note(s, run_into_power_loss(st, copy, -1, len) ? NOTE_SYNCED
                                                         : NOTE_REFUSES);
    int operations = copy->operations;

    store_drop_disk(copy);
    for (int n = 0; n <= operations; n++) {
        for (unsigned i = 0; i < NAME_LOSSES * STORE_DATA_LOSSES; i++) {
            faults += try_power_loss(
                s, n, i / STORE_DATA_LOSSES,
                (enum store_data_loss)(i % STORE_DATA_LOSSES), len);
        }
    }
    mw_script_printf(s, "  %d operations, %d faults", operations, faults);
}

static const struct mw_script_command commands[] = {
    {"start", 0, cmd_start},
    {"entries", 2, cmd_entries},
    {"snapshot", 1, cmd_snapshot},
    {"room", 1, cmd_room},
    {"capacity", 1, cmd_capacity},
    {"reserve", 1, cmd_reserve},
    {"file", 2, cmd_file},
    {"size", 1, cmd_size},
    {"summary", 0, cmd_summary},
    {"wait-for", 2, cmd_wait_for},
    {"read-memory", 1, cmd_read_memory},
    {"power-losses", 1, cmd_power_losses},
    {NULL, 0, NULL},
};

const struct mw_script_kind mw_store_scripts = {"store", commands, begin, end};
