/*
 * input-script: bad input, one row a case, with the kind and the message.
 */
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "disk.h"
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
say_result(struct mw_script *s, const char *what, int err,
           struct mw_str detail)
{
    mw_say(s, "%s: %.*s%s%.*s", what, MW_FMT(mw_error_word(err)),
           err && detail.len ? ": " : "", MW_FMT(err ? detail : MW_STR("")));
}

static void
cmd_document(struct mw_script *s)
{
    struct state *st = s->state;
    int err = 0;
    struct mw_document *doc =
        mw_parse_document(&st->ctx, mw_str_from(s->rest), &err);

    say_result(s, "document", err, mw_detail(&st->ctx));
    mw_drop_document(doc);
}

/* big-document N: that many bytes of spaces */
static void
cmd_big_document(struct mw_script *s)
{
    struct state *st = s->state;
    int err = 0;
    gsize len = (gsize)g_ascii_strtoull(mw_word(s, 1), NULL, 10);
    char *text = g_strnfill(len, ' ');

    mw_drop_document(
        mw_parse_document(&st->ctx, (struct mw_str){text, len}, &err));
    say_result(s, "document", err, mw_detail(&st->ctx));
    g_free(text);
}

static void
cmd_job(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_job_spec spec;
    struct mw_blob *body = NULL;
    int err = mw_parse_job(&st->ctx, mw_str_from(s->rest), 0, &spec, &body);

    say_result(s, "job", err, mw_detail(&st->ctx));
    mw_drop_blob(body);
}

static void
cmd_announce(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_announce announce;
    int err = mw_parse_announce(&st->ctx, mw_str_from(s->rest), &announce);

    say_result(s, "announce", err, mw_detail(&st->ctx));
    g_free(announce.listed);
}

static void
cmd_change(struct mw_script *s)
{
    struct state *st = s->state;
    struct mw_change change;
    int err = mw_parse_change(&st->ctx, mw_str_from(s->rest), &change);

    say_result(s, "change", err, mw_detail(&st->ctx));
    mw_drop_document(change.document);
}

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
    GByteArray *bytes = from_hex(mw_word(s, 1));
    int err = 0;
    struct mw_msg *msg = mw_decode_msg(
        &st->ctx, (struct mw_str){(char *)bytes->data, bytes->len}, 0, NULL,
        &err);

    say_result(s, "frame", err, mw_detail(&st->ctx));
    mw_drop_msg(msg);
    g_byte_array_unref(bytes);
}

static void
cmd_stored(struct mw_script *s)
{
    struct state *st = s->state;
    GByteArray *bytes = from_hex(mw_word(s, 1));
    struct mw_store_item item;
    int err = mw_decode_stored(
        &st->ctx, (struct mw_str){(char *)bytes->data, bytes->len}, &item);

    say_result(s, "stored", err, mw_detail(&st->ctx));
    mw_clear_stored(&item);
    g_byte_array_unref(bytes);
}

static void
cmd_members(struct mw_script *s)
{
    struct mw_members members;
    char message[MW_MESSAGE_MAX] = "";
    int err = mw_parse_members(mw_str_from(mw_word(s, 1)), &members, message);

    say_result(s, "members", err, mw_str_from(message));
}

static void
cmd_attempt(struct mw_script *s)
{
    struct mw_attempt_id id;
    int err = mw_parse_attempt(mw_str_from(mw_word(s, 1)), &id);

    say_result(s, "attempt", err, MW_STR(""));
}

static void
cmd_error(struct mw_script *s)
{
    (void)s;
    for (int err = 0; err > MW_ERR_LAST; err--) {
        mw_say(s, "%d %.*s %d: %.*s", err, MW_FMT(mw_error_word(err)),
               mw_error_status(err), MW_FMT(mw_error_message(err)));
    }
}

/* Data files. */

struct counting {
    unsigned items;
};

static int
count_item(void *opaque, struct mw_context *ctx, enum mw_group group,
           const struct mw_store_item *item)
{
    struct counting *counting = opaque;

    (void)ctx;
    (void)item;
    counting->items += group == MW_GROUP_ZONE;
    return 0;
}

static struct mw_disk *
open_folder(struct mw_context *ctx, const char *folder, const char *member,
            struct counting *counting, int *err)
{
    struct mw_disk_setup setup = {.folder = mw_str_from(folder),
                                  .member = mw_name_word(member)};
    struct mw_disk_take take = {counting, count_item};
    uint64_t incarnation = 77;

    return mw_open_disk(ctx, &setup, &incarnation, &take, err);
}

static void
ignore_mail(void *opaque, struct mw_mail *mail)
{
    GAsyncQueue *done = opaque;

    if (mail->kind == MW_MAIL_SYNCED) {
        g_async_queue_push(done, done);
    }
}

/* Ten records in ten batches, each synced. */
static void
write_items(struct mw_disk *disk)
{
    GAsyncQueue *done = g_async_queue_new();
    struct mw_task_work work = {.opaque = done, .mail = ignore_mail};
    struct mw_task *owner = mw_new_task("owner", &work);
    struct mw_task *task = mw_start_disk(disk, owner);

    for (uint64_t i = 1; i <= 10; i++) {
        struct mw_record *record = mw_new_record(MW_RECORD_FORGET);
        struct mw_store_item item = {.kind = MW_STORE_ENTRY,
                                     .index = i,
                                     .term = 1,
                                     .record_count = 1,
                                     .records = &record};
        struct mw_mail *mail = mw_new_mail(MW_MAIL_STORE);
        struct mw_stored_blob stored = {
            .group = MW_GROUP_ZONE, .kind = MW_STORE_ENTRY, .sequence = i};

        record->forget.job = i;
        stored.blob = mw_encode_stored(&item);
        mail->stored =
            g_array_new(FALSE, FALSE, sizeof(struct mw_stored_blob));
        g_array_append_val(mail->stored, stored);
        mw_post(task, mail);
        g_async_queue_pop(done);
        mw_drop_record(record);
    }
    mw_drop_disk(disk);
    mw_drop_task(owner);
    g_async_queue_unref(done);
}

static void
damage(const char *folder, const char *what, int64_t at)
{
    char *path = g_build_filename(folder, "zone.log", NULL);
    char *data = NULL;
    gsize len = 0;

    g_file_get_contents(path, &data, &len, NULL);
    gsize where = at < 0 ? len - (gsize)(-at) : (gsize)at;

    if (strcmp(what, "flip") == 0) {
        data[where] = (char)(data[where] ^ 0x40);
    }
    else if (strcmp(what, "cut") == 0) {
        len = where;
    }
    g_file_set_contents(path, data, (gssize)len, NULL);
    g_free(data);
    g_free(path);
}

static void
remove_folder(const char *folder)
{
    static const char *const names[] = {"LOCK", "zone.log", "region.log"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *path = g_build_filename(folder, names[i], NULL);

        g_unlink(path);
        g_free(path);
    }
    g_rmdir(folder);
}

/* Cut the path of the temporary folder out of a detail. */
static struct mw_str
without_folder(struct mw_str detail, const char *folder)
{
    size_t len = strlen(folder) + 1;

    if (detail.len > len && memcmp(detail.ptr, folder, len - 1) == 0) {
        return (struct mw_str){detail.ptr + len, detail.len - len};
    }
    return detail;
}

/* disk WHAT AT: write, damage, open again */
static void
cmd_disk(struct mw_script *s)
{
    struct state *st = s->state;
    char *folder = g_dir_make_tmp("mwdisk.XXXXXX", NULL);
    struct counting counting = {0};
    struct mw_name member = mw_name_word("c-za-1");
    const char *what = mw_word(s, 1);
    const char *as = "c-za-1";
    struct mw_disk *disk, *held = NULL;
    int err = mw_init_folder(&st->ctx, mw_str_from(folder), &member, 1);

    disk = open_folder(&st->ctx, folder, as, &counting, &err);
    write_items(disk);
    damage(folder, what, g_ascii_strtoll(mw_word(s, 2), NULL, 10));
    counting.items = 0;
    if (strcmp(what, "locked") == 0) {
        held = open_folder(&st->ctx, folder, as, &counting, &err);
    }
    if (strcmp(what, "other") == 0) {
        as = "c-zb-1";
    }
    if (strcmp(what, "init") == 0) {
        err = mw_init_folder(&st->ctx, mw_str_from(folder), &member, 1);
        disk = NULL;
    }
    else {
        counting.items = 0;
        disk = open_folder(&st->ctx, folder, as, &counting, &err);
    }
    say_result(s, "disk", err, without_folder(mw_detail(&st->ctx), folder));
    if (disk) {
        mw_say(s, "  %u items, %d cut", counting.items,
               (int)mw_disk_cut(disk));
    }
    mw_drop_disk(disk);
    mw_drop_disk(held);
    remove_folder(folder);
    g_free(folder);
}

static const struct mw_script_command commands[] = {
    {"document", 1, cmd_document}, {"big-document", 1, cmd_big_document},
    {"job", 1, cmd_job},           {"announce", 1, cmd_announce},
    {"change", 1, cmd_change},     {"frame", 0, cmd_frame},
    {"stored", 0, cmd_stored},     {"members", 0, cmd_members},
    {"attempt", 0, cmd_attempt},   {"errors", 0, cmd_error},
    {"disk", 1, cmd_disk},         {NULL, 0, NULL},
};

const struct mw_script_kind mw_input_scripts = {"input", commands, begin, end};
