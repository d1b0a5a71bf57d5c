/*
 * input-script: valid and invalid input, one case a line; prints the kind of
 * the error and its detail.
 */
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include "disk.h"
#include "first-ref.h"
#include "member.h"
#include "script.h"
#include "settings.h"

struct state {
    struct mw_context ctx;
};

static void *
begin(void)
{
    return g_new0(struct state, 1);
}

static void
end(void *state)
{
    g_free(state);
}

static void
print_result(struct mw_script *s, const char *what, int err,
             struct mw_str detail)
{
    mw_script_printf(s, "%s: %.*s%s%.*s", what, MW_FMT(mw_error_str(err)),
                     err && detail.len ? ": " : "",
                     MW_FMT(err ? detail : MW_STR("")));
}

static void
cmd_document(struct mw_script *s)
{
    struct state *st = s->state;
    int err = 0;
    struct mw_document *doc =
        mw_parse_document(&st->ctx, mw_str_from(s->rest), &err);

    print_result(s, "document", err, mw_detail(&st->ctx));
    mw_drop_document(doc);
}

/* big-document N: a document of N spaces */
static void
cmd_big_document(struct mw_script *s)
{
    struct state *st = s->state;
    int err = 0;
    gsize len = (gsize)g_ascii_strtoull(mw_script_word(s, 1), NULL, 10);
    char *text = g_strnfill(len, ' ');

    mw_drop_document(
        mw_parse_document(&st->ctx, (struct mw_str){text, len}, &err));
    print_result(s, "document", err, mw_detail(&st->ctx));
    g_free(text);
}

static void
cmd_job(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_job_spec spec;
    struct mw_blob *body = NULL;
    int err = mw_parse_job(&st->ctx, mw_str_from(s->rest), 0, &spec, &body);

    print_result(s, "job", err, mw_detail(&st->ctx));
    mw_drop_blob(body);
}

static void
cmd_announce(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_announcement announcement;
    int err = mw_parse_announce(&st->ctx, mw_str_from(s->rest), &announcement);

    print_result(s, "announce", err, mw_detail(&st->ctx));
    g_free(announcement.listed);
}

static void
cmd_change(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_change change;
    int err = mw_parse_change(&st->ctx, mw_str_from(s->rest), &change);

    print_result(s, "change", err, mw_detail(&st->ctx));
    mw_drop_document(change.document);
}

/* Stops at the first character that is not part of a hexadecimal byte. */
static GByteArray *
from_hex(const char *hex)
{
    GByteArray *bytes = g_byte_array_new();

    for (; g_ascii_isxdigit(hex[0]) && g_ascii_isxdigit(hex[1]); hex += 2) {
        guint8 byte = (guint8)(g_ascii_xdigit_value(hex[0]) * 16 +
                               g_ascii_xdigit_value(hex[1]));

        g_byte_array_append(bytes, &byte, 1);
    }
    return bytes;
}

static void
cmd_frame(struct mw_script *s)
{
    struct state *st = s->state;
    GByteArray *bytes = from_hex(mw_script_word(s, 1));
    int err = 0;
    struct mw_msg *msg = mw_decode_msg(
        &st->ctx, (struct mw_str){(char *)bytes->data, bytes->len}, 0, NULL,
        &err);

    print_result(s, "frame", err, mw_detail(&st->ctx));
    mw_drop_msg(msg);
    g_byte_array_unref(bytes);
}

static void
cmd_stored(struct mw_script *s)
{
    struct state *st = s->state;
    GByteArray *bytes = from_hex(mw_script_word(s, 1));
    struct mw_stored_item item;
    int err = mw_decode_stored(
        &st->ctx, (struct mw_str){(char *)bytes->data, bytes->len}, &item);

    print_result(s, "stored", err, mw_detail(&st->ctx));
    mw_clear_stored(&item);
    g_byte_array_unref(bytes);
}

static void
cmd_members(struct mw_script *s)
{
    struct mw_process_list members;
    char message[MW_SETTING_MESSAGE_MAX] = "";
    int err = mw_parse_process_list(mw_str_from(mw_script_word(s, 1)),
                                    &members, message);

    print_result(s, "members", err, mw_str_from(message));
}

static void
cmd_attempt(struct mw_script *s)
{
    struct mw_attempt_id id;
    int err = mw_parse_attempt(mw_str_from(mw_script_word(s, 1)), &id);

    print_result(s, "attempt", err, MW_STR(""));
}

/* format-attempt ZONE JOB EPOCH NUMBER: as it is named to an endpoint */
static void
cmd_format_attempt(struct mw_script *s)
{
    struct mw_attempt_id id = {
        .zone = mw_name_from(mw_script_word(s, 1)),
        .job = g_ascii_strtoull(mw_script_word(s, 2), NULL, 10),
        .epoch = g_ascii_strtoull(mw_script_word(s, 3), NULL, 10),
        .number = (uint32_t)g_ascii_strtoull(mw_script_word(s, 4), NULL, 10),
    };
    struct mw_attempt_id parsed;
    char *text = mw_format_attempt(&id);
    int err = mw_parse_attempt(mw_str_from(text), &parsed);

    mw_script_printf(s, "%s: %s", text,
                     !err && mw_attempt_equal(&id, &parsed) ? "ok"
                                                            : "another");
    g_free(text);
}

/* errors: the number, word, HTTP status and message of every error */
static void
cmd_errors(struct mw_script *s)
{
    (void)s;
    for (int err = 0; err > MW_ERR_LAST; err--) {
        mw_script_printf(s, "%d %.*s %d: %.*s", err, MW_FMT(mw_error_str(err)),
                         mw_error_http_status(err),
                         MW_FMT(mw_error_message(err)));
    }
}

/* Data files of a control process. */

struct item_counter {
    /* of the zone's log */
    unsigned items;
};

static int
count_item(void *opaque, struct mw_context *ctx, enum mw_group group,
           const struct mw_stored_item *item)
{
    struct item_counter *counter = opaque;

    (void)ctx;
    (void)item;
    counter->items += group == MW_GROUP_ZONE;
    return 0;
}

static struct mw_disk *
open_data_dir(struct mw_context *ctx, const char *data_dir, const char *member,
              struct item_counter *counter, int *err)
{
    struct mw_disk_setup setup = {.data_dir = mw_str_from(data_dir),
                                  .member = mw_name_from(member)};
    struct mw_disk_loader take = {counter, count_item};
    uint64_t incarnation = 77;

    return mw_open_disk(ctx, &setup, &incarnation, &take, err);
}

static void
push_when_synced(void *opaque, struct mw_task_msg *mail)
{
    GAsyncQueue *done = opaque;

    if (mail->kind == MW_TASK_MSG_SYNCED) {
        g_async_queue_push(done, done);
    }
}

static void
post_record(struct mw_task *task, uint64_t i)
{
    struct mw_record *record = mw_new_record(MW_RECORD_FORGET);
    struct mw_stored_item item = {.kind = MW_STORED_ENTRY,
                                  .index = i,
                                  .term = 1,
                                  .record_count = 1,
                                  .records = &record};
    struct mw_task_msg *mail = mw_new_task_msg(MW_TASK_MSG_STORE);
    struct mw_stored_blob stored = {
        .group = MW_GROUP_ZONE, .kind = MW_STORED_ENTRY, .sequence = i};

    record->forget.job = i;
    stored.blob = mw_encode_stored(&item);
    mail->stored = mw_new_stored_list();
    g_array_append_val(mail->stored, stored);
    mw_post(task, mail);
    mw_drop_record(record);
}

/* Writes ten records in ten batches and waits until each is synced. */
static void
write_records(struct mw_disk *disk)
{
    GAsyncQueue *done = g_async_queue_new();
    struct mw_task_callbacks work = {.opaque = done,
                                     .receive = push_when_synced};
    struct mw_task *owner = mw_new_task("owner", &work);
    struct mw_task *task = mw_start_disk(disk, owner);

    for (uint64_t i = 1; i <= 10; i++) {
        post_record(task, i);
        g_async_queue_pop(done);
    }
    mw_drop_disk(disk);
    mw_drop_task(owner);
    g_async_queue_unref(done);
}

static void
append_zeros(char **data, gsize *len, gsize count)
{
    *data = g_realloc(*data, *len + count);
    memset(*data + *len, 0, count);
    *len += count;
}

/*
 * Flips a bit at a byte or truncates there, from the end if negative; or
 * appends so many zeros.
 */
static void
damage_file(const char *data_dir, const char *what, int64_t at)
{
    char *path = g_build_filename(data_dir, "zone.log", NULL);
    char *data = NULL;
    gsize len = 0;

    g_file_get_contents(path, &data, &len, NULL);
    gsize offset = at < 0 ? len - (gsize)(-at) : (gsize)at;

    if (strcmp(what, "flip") == 0) {
        data[offset] = (char)(data[offset] ^ 0x40);
    }
    else if (strcmp(what, "truncate") == 0) {
        len = offset;
    }
    else if (strcmp(what, "zeros") == 0) {
        append_zeros(&data, &len, (gsize)at);
    }
    g_file_set_contents(path, data, (gssize)len, NULL);
    g_free(data);
    g_free(path);
}

static void
remove_data_dir(const char *data_dir)
{
    static const char *const names[] = {"LOCK", "RESERVE", "zone.log",
                                        "region.log"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *path = g_build_filename(data_dir, names[i], NULL);

        g_unlink(path);
        g_free(path);
    }
    g_rmdir(data_dir);
}

/* Removes the temporary directory's path, which varies, from a detail. */
static struct mw_str
strip_data_dir(struct mw_str detail, const char *data_dir)
{
    size_t len = strlen(data_dir) + 1;

    if (detail.len > len && memcmp(detail.ptr, data_dir, len - 1) == 0) {
        return (struct mw_str){detail.ptr + len, detail.len - len};
    }
    return detail;
}

/* disk intact|flip|truncate|zeros|locked|other-member|init AT: writes records,
 * damages the file at AT or prepares the named case, opens the files again */
static void
cmd_disk(struct mw_script *s)
{
    struct state *st = s->state;
    char *data_dir = g_dir_make_tmp("mwdisk.XXXXXX", NULL);
    struct item_counter counter = {0};
    struct mw_name member = mw_name_from("c-za-1");
    const char *what = mw_script_word(s, 1);
    const char *opened_as = "c-za-1";
    struct mw_disk *disk, *held = NULL;
    int err = mw_init_data_dir(&st->ctx, mw_str_from(data_dir), &member, 1);

    disk = open_data_dir(&st->ctx, data_dir, opened_as, &counter, &err);
    write_records(disk);
    damage_file(data_dir, what,
                g_ascii_strtoll(mw_script_word(s, 2), NULL, 10));
    counter.items = 0;
    if (strcmp(what, "locked") == 0) {
        held = open_data_dir(&st->ctx, data_dir, opened_as, &counter, &err);
    }
    if (strcmp(what, "other-member") == 0) {
        opened_as = "c-zb-1";
    }
    if (strcmp(what, "init") == 0) {
        err = mw_init_data_dir(&st->ctx, mw_str_from(data_dir), &member, 1);
        disk = NULL;
    }
    else {
        counter.items = 0;
        disk = open_data_dir(&st->ctx, data_dir, opened_as, &counter, &err);
    }
    print_result(s, "disk", err,
                 strip_data_dir(mw_detail(&st->ctx), data_dir));
    if (disk) {
        mw_script_printf(s, "  %u stored items, %d truncated tails",
                         counter.items,
                         (int)mw_disk_truncated_tail_count(disk));
    }
    mw_drop_disk(disk);
    mw_drop_disk(held);
    remove_data_dir(data_dir);
    g_free(data_dir);
}

static void
begin_no_items(void *opaque, uint64_t incarnation,
               const struct mw_name *members, uint32_t count)
{
    (void)opaque;
    (void)incarnation;
    (void)members;
    (void)count;
}

/* As the first start of a founding member, which is the only one. */
static int
found_member(struct mw_context *ctx, const char *data_dir)
{
    struct mw_name self = mw_name_from("c-za-1");
    struct item_counter counter = {0};
    struct mw_member_setup setup = {
        .disk = {.data_dir = mw_str_from(data_dir), .member = self},
        .founding = true,
        .founders = &self,
        .founder_count = 1,
        .loader = {&counter, begin_no_items, count_item},
    };
    struct mw_disk *disk;
    enum mw_member_outcome outcome;
    int err = mw_open_member(ctx, &setup, &disk, &outcome);

    mw_drop_disk(disk);
    return err;
}

/*
 * founding: the first start of a member whose list of members the disk
 * refuses, then one whose list it takes
 */
static void
cmd_founding(struct mw_script *s)
{
    struct state *st = s->state;
    char *data_dir = g_dir_make_tmp("mwdisk.XXXXXX", NULL);
    char *in_the_way = g_build_filename(data_dir, "members.new", NULL);
    char *list = g_build_filename(data_dir, "members", NULL);
    struct mw_name found[MW_MEMBERS_MAX];
    uint32_t count;

    g_mkdir(in_the_way, 0700);
    for (int attempt = 0; attempt < 2; attempt++) {
        int err = found_member(&st->ctx, data_dir);

        print_result(s, "founding", err,
                     strip_data_dir(mw_detail(&st->ctx), data_dir));
        mw_read_members(&st->ctx, mw_str_from(data_dir), found, &count);
        mw_script_printf(s, "  %u members", count);
        g_rmdir(in_the_way);
    }
    g_unlink(list);
    remove_data_dir(data_dir);
    g_free(list);
    g_free(in_the_way);
    g_free(data_dir);
}

/* Notes of a disk task to its owner: the state of the disk, or a sync. */
enum disk_note {
    NOTE_SYNCED = 1,
    NOTE_REFUSES = 2,
    NOTE_ACCEPTS = 3
};

static void
push_note(void *opaque, struct mw_task_msg *mail)
{
    GAsyncQueue *notes = opaque;
    enum disk_note note = NOTE_SYNCED;

    if (mail->kind == MW_TASK_MSG_DISK) {
        note = mail->status ? NOTE_REFUSES : NOTE_ACCEPTS;
    }
    g_async_queue_push(notes, GINT_TO_POINTER(note));
}

#define NOTE_WAIT_US 5000000

/* Prints the notes up to the next sync. */
static void
print_notes(struct mw_script *s, GAsyncQueue *notes)
{
    static const char *const words[] = {"no note", "synced", "refuses writes",
                                        "writes again"};
    int note;

    do {
        note = GPOINTER_TO_INT(g_async_queue_timeout_pop(notes, NOTE_WAIT_US));
        mw_script_printf(s, "  %s", words[note]);
    } while (note == NOTE_ACCEPTS);
}

/* The size that files may have; writes beyond it fail as on a full disk. */
static void
limit_file_size(rlim_t bytes)
{
    struct rlimit limit;

    signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &limit);
    limit.rlim_cur = bytes;
    setrlimit(RLIMIT_FSIZE, &limit);
}

/* full-disk BYTES: writes ten records, then one that the full disk refuses in
 * part; with room again it is written, and the files are opened again */
static void
cmd_full_disk(struct mw_script *s)
{
    struct state *st = s->state;
    char *data_dir = g_dir_make_tmp("mwdisk.XXXXXX", NULL);
    char *path = g_build_filename(data_dir, "zone.log", NULL);
    GAsyncQueue *notes = g_async_queue_new();
    struct mw_task_callbacks work = {.opaque = notes, .receive = push_note};
    struct mw_task *owner = mw_new_task("owner", &work);
    struct item_counter counter = {0};
    int err = 0;
    struct mw_disk *disk =
        open_data_dir(&st->ctx, data_dir, "c-za-1", &counter, &err);
    struct mw_task *task;
    struct stat file;

    write_records(disk);
    disk = open_data_dir(&st->ctx, data_dir, "c-za-1", &counter, &err);
    task = mw_start_disk(disk, owner);
    stat(path, &file);
    limit_file_size((rlim_t)file.st_size +
                    g_ascii_strtoull(mw_script_word(s, 1), NULL, 10));
    post_record(task, 11);
    print_notes(s, notes);
    limit_file_size(RLIM_INFINITY);
    post_record(task, 12);
    print_notes(s, notes);
    mw_drop_disk(disk);
    counter.items = 0;
    disk = open_data_dir(&st->ctx, data_dir, "c-za-1", &counter, &err);
    print_result(s, "disk", err, mw_detail(&st->ctx));
    mw_script_printf(s, "  %u stored items", counter.items);
    mw_drop_disk(disk);
    mw_drop_task(owner);
    g_async_queue_unref(notes);
    remove_data_dir(data_dir);
    g_free(path);
    g_free(data_dir);
}

/* first-refs COUNT: draws them as for so many lives of a process */
static void
cmd_first_refs(struct mw_script *s)
{
    guint64 count = g_ascii_strtoull(mw_script_word(s, 1), NULL, 10);
    GHashTable *drawn =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    bool in_range = true;

    for (guint64 i = 0; i < count; i++) {
        uint64_t ref = mw_draw_first_ref();

        in_range &= ref >= 1 && ref <= MW_FIRST_REF_MAX;
        g_hash_table_add(drawn, g_memdup2(&ref, sizeof ref));
    }
    mw_script_printf(s, "  %u different ones, %s", g_hash_table_size(drawn),
                     in_range ? "in range" : "out of range");
    g_hash_table_unref(drawn);
}

static const struct mw_script_command commands[] = {
    {"document", 1, cmd_document},
    {"big-document", 1, cmd_big_document},
    {"job", 1, cmd_job},
    {"announce", 1, cmd_announce},
    {"change", 1, cmd_change},
    {"frame", 0, cmd_frame},
    {"stored", 0, cmd_stored},
    {"members", 0, cmd_members},
    {"attempt", 0, cmd_attempt},
    {"format-attempt", 4, cmd_format_attempt},
    {"errors", 0, cmd_errors},
    {"disk", 1, cmd_disk},
    {"founding", 0, cmd_founding},
    {"full-disk", 1, cmd_full_disk},
    {"first-refs", 1, cmd_first_refs},
    {NULL, 0, NULL},
};

const struct mw_script_kind mw_input_scripts = {"input", commands, begin, end};
