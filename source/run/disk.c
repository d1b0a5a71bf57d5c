#include "disk.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>
#include <zlib.h>

#define HEADER_MAGIC "MWLOG\n"
#define HEADER_LEN 96
#define MARK_MAGIC "MWSYNCED"
#define MARK_LENGTH 0xffffffffu
#define ITEM_HEAD 8
#define MARK_LEN 24
#define ITEM_BYTES_MAX MW_FRAME_BYTES_MAX

static const char *const group_files[MW_GROUPS] = {"region.log", "zone.log"};

struct data_file {
    int fd;
    uint64_t length;
    /* a snapshot being written beside the file; -1 for none */
    int new_fd;
    GByteArray *pending;
    uint64_t pending_sequence;
};

struct mw_disk {
    char *folder;
    struct mw_name member;
    int lock_fd;
    struct mw_task *task;
    struct mw_task *owner;
    struct mw_context ctx;
    struct data_file files[MW_GROUPS];
    uint64_t cut;
    bool failed;
};

static char *
path_of(const struct mw_disk *disk, const char *name, const char *suffix)
{
    return g_strdup_printf("%s/%s%s", disk->folder, name, suffix);
}

static int
write_all(int fd, const uint8_t *data, size_t len)
{
    while (len > 0) {
        ssize_t n = write(fd, data, len);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return MW_ERR_DISK;
        }
        data += n;
        len -= (size_t)n;
    }
    return 0;
}

static int
sync_folder(const char *folder)
{
    int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

    if (fd < 0) {
        return MW_ERR_DISK;
    }
    int err = fsync(fd) == 0 ? 0 : MW_ERR_DISK;

    close(fd);
    return err;
}

static void
put32(uint8_t *at, uint32_t value)
{
    value = GUINT32_TO_LE(value);
    memcpy(at, &value, sizeof value);
}

static uint32_t
get32(const uint8_t *at)
{
    uint32_t value;

    memcpy(&value, at, sizeof value);
    return GUINT32_FROM_LE(value);
}

static void
append_item(GByteArray *out, const struct mw_blob *payload)
{
    uint8_t head[ITEM_HEAD];

    put32(head, (uint32_t)payload->len);
    put32(head + 4,
          (uint32_t)crc32(0, (const Bytef *)payload->ptr, (uInt)payload->len));
    g_byte_array_append(out, head, sizeof head);
    g_byte_array_append(out, (const guint8 *)payload->ptr,
                        (guint)payload->len);
}

static void
make_mark(uint8_t *mark, uint64_t offset)
{
    uint64_t le = GUINT64_TO_LE(offset);

    put32(mark, MARK_LENGTH);
    memcpy(mark + 4, MARK_MAGIC, 8);
    memcpy(mark + 12, &le, sizeof le);
    put32(mark + 20, (uint32_t)crc32(0, mark, 20));
}

static void
make_header(const struct mw_disk *disk, enum mw_group group, uint8_t *header)
{
    memset(header, 0, HEADER_LEN);
    memcpy(header, HEADER_MAGIC, 6);
    header[6] = MW_DISK_VERSION;
    header[7] = (uint8_t)group;
    header[8] = disk->member.len;
    memcpy(header + 9, disk->member.ptr, disk->member.len);
    put32(header + HEADER_LEN - 4, (uint32_t)crc32(0, header, HEADER_LEN - 4));
}

static int
disk_error(struct mw_context *ctx, const char *path)
{
    return mw_fail(ctx, MW_ERR_DISK, "%s: %s", path, g_strerror(errno));
}

static int
create_file(struct mw_context *ctx, const struct mw_disk *disk,
            enum mw_group group, uint64_t incarnation)
{
    char *path = path_of(disk, group_files[group], "");
    struct mw_store_item item = {.kind = MW_STORE_META,
                                 .incarnation = incarnation};
    struct mw_blob *payload = mw_encode_stored(&item);
    GByteArray *out = g_byte_array_new();
    uint8_t header[HEADER_LEN];
    int err = 0;
    int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);

    make_header(disk, group, header);
    g_byte_array_append(out, header, sizeof header);
    append_item(out, payload);
    if (fd < 0 || write_all(fd, out->data, out->len) || fsync(fd) != 0) {
        err = disk_error(ctx, path);
    }
    if (fd >= 0) {
        close(fd);
    }
    g_byte_array_unref(out);
    mw_drop_blob(payload);
    g_free(path);
    return err;
}

static int
create_files(struct mw_context *ctx, const struct mw_disk *disk,
             uint64_t incarnation)
{
    for (int group = 0; group < MW_GROUPS; group++) {
        int err = create_file(ctx, disk, (enum mw_group)group, incarnation);

        if (err) {
            return err;
        }
    }
    return sync_folder(disk->folder);
}

static bool
has_file(const struct mw_disk *disk, enum mw_group group)
{
    char *path = path_of(disk, group_files[group], "");
    bool there = g_file_test(path, G_FILE_TEST_EXISTS);

    g_free(path);
    return there;
}

static int
take_lock(struct mw_context *ctx, struct mw_disk *disk)
{
    char *path = path_of(disk, "LOCK", "");
    int err = 0;

    disk->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (disk->lock_fd < 0) {
        err = disk_error(ctx, path);
    }
    else if (flock(disk->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        err = mw_fail(ctx, MW_ERR_LOCKED, "%s", path);
    }
    g_free(path);
    return err;
}

static struct mw_disk *
new_disk(const struct mw_disk_setup *setup)
{
    struct mw_disk *disk = g_new0(struct mw_disk, 1);

    disk->folder = g_strndup(setup->folder.ptr, setup->folder.len);
    disk->member = setup->member;
    disk->owner = setup->owner;
    disk->ctx = setup->ctx;
    disk->lock_fd = -1;
    for (int group = 0; group < MW_GROUPS; group++) {
        disk->files[group].fd = -1;
        disk->files[group].new_fd = -1;
        disk->files[group].pending = g_byte_array_new();
    }
    return disk;
}

static int
prepare_folder(struct mw_context *ctx, struct mw_disk *disk)
{
    if (g_mkdir_with_parents(disk->folder, 0700) != 0) {
        return disk_error(ctx, disk->folder);
    }
    return take_lock(ctx, disk);
}

int
mw_init_folder(struct mw_context *ctx, struct mw_str folder,
               const struct mw_name *member, uint64_t incarnation)
{
    struct mw_disk_setup setup = {.folder = folder, .member = *member};
    struct mw_disk *disk = new_disk(&setup);
    int err = prepare_folder(ctx, disk);

    if (!err &&
        (has_file(disk, MW_GROUP_REGION) || has_file(disk, MW_GROUP_ZONE))) {
        err = mw_fail(ctx, MW_ERR_DUPLICATE, "%s holds data already",
                      disk->folder);
    }
    if (!err) {
        err = create_files(ctx, disk, incarnation);
    }
    mw_drop_disk(disk);
    return err;
}

/* Whether a valid mark lies behind the damage at an offset. */
static bool
mark_follows(const uint8_t *data, size_t len, size_t from)
{
    for (size_t at = from; at + MARK_LEN <= len; at++) {
        uint64_t offset;

        if (memcmp(data + at + 4, MARK_MAGIC, 8) != 0 ||
            get32(data + at) != MARK_LENGTH ||
            get32(data + at + 20) != (uint32_t)crc32(0, data + at, 20)) {
            continue;
        }
        memcpy(&offset, data + at + 12, sizeof offset);
        if (GUINT64_FROM_LE(offset) > from) {
            return true;
        }
    }
    return false;
}

/* Length of the item or mark at an offset, 0 when it is not whole. */
static size_t
item_length(const uint8_t *data, size_t len, size_t at)
{
    if (len - at < ITEM_HEAD) {
        return 0;
    }
    uint32_t size = get32(data + at);

    if (size == MARK_LENGTH) {
        if (len - at < MARK_LEN ||
            get32(data + at + 20) != (uint32_t)crc32(0, data + at, 20)) {
            return 0;
        }
        return MARK_LEN;
    }
    if (size > ITEM_BYTES_MAX || size > len - at - ITEM_HEAD ||
        get32(data + at + 4) !=
            (uint32_t)crc32(0, data + at + ITEM_HEAD, size)) {
        return 0;
    }
    return ITEM_HEAD + size;
}

static int
load_item(struct mw_context *ctx, enum mw_group group, struct mw_str payload,
          const struct mw_disk_take *take, uint64_t *incarnation)
{
    struct mw_store_item item;
    int err = mw_decode_stored(ctx, payload, &item);

    if (err) {
        return MW_ERR_DAMAGED;
    }
    if (item.kind == MW_STORE_META) {
        *incarnation = item.incarnation;
    }
    err = take->take(take->opaque, ctx, group, &item);
    mw_clear_stored(&item);
    return err;
}

static int
check_header(struct mw_context *ctx, const struct mw_disk *disk,
             enum mw_group group, const uint8_t *data, size_t len,
             const char *path)
{
    uint8_t header[HEADER_LEN];

    make_header(disk, group, header);
    if (len < HEADER_LEN || memcmp(data, HEADER_MAGIC, 6) != 0) {
        return mw_fail(ctx, MW_ERR_DAMAGED, "%s: no header", path);
    }
    if (data[6] != MW_DISK_VERSION) {
        return mw_fail(ctx, MW_ERR_VERSION, "%s: version %d, this is %d", path,
                       data[6], MW_DISK_VERSION);
    }
    if (memcmp(data, header, HEADER_LEN) != 0) {
        return mw_fail(ctx, MW_ERR_INVALID,
                       "%s: belongs to another member or group", path);
    }
    return 0;
}

static int
load_items(struct mw_context *ctx, struct mw_disk *disk, enum mw_group group,
           const uint8_t *data, size_t len, const char *path,
           const struct mw_disk_take *take, uint64_t *incarnation)
{
    size_t at = HEADER_LEN;

    while (at < len) {
        size_t size = item_length(data, len, at);

        if (size == 0) {
            if (mark_follows(data, len, at)) {
                return mw_fail(ctx, MW_ERR_DAMAGED, "%s: byte %zu", path, at);
            }
            disk->cut++;
            mw_note(&disk->ctx, MW_PRIORITY_WARNING,
                    "event=tail_cut file=%s at=%zu bytes=%zu", path, at,
                    len - at);
            break;
        }
        if (get32(data + at) != MARK_LENGTH) {
            struct mw_str payload = {(const char *)data + at + ITEM_HEAD,
                                     size - ITEM_HEAD};
            int err = load_item(ctx, group, payload, take, incarnation);

            if (err) {
                return mw_fail(ctx, err, "%s: item at byte %zu", path, at);
            }
        }
        at += size;
    }
    disk->files[group].length = at;
    return 0;
}

static int
load_file(struct mw_context *ctx, struct mw_disk *disk, enum mw_group group,
          const struct mw_disk_take *take, uint64_t *incarnation)
{
    char *path = path_of(disk, group_files[group], "");
    char *data = NULL;
    gsize len = 0;
    int err = 0;

    if (!g_file_get_contents(path, &data, &len, NULL)) {
        err = mw_fail(ctx, MW_ERR_DAMAGED, "%s is missing", path);
    }
    if (!err) {
        err = check_header(ctx, disk, group, (uint8_t *)data, len, path);
    }
    if (!err) {
        err = load_items(ctx, disk, group, (uint8_t *)data, len, path, take,
                         incarnation);
    }
    if (!err) {
        int fd = open(path, O_RDWR | O_CLOEXEC);

        disk->files[group].fd = fd;
        if (fd < 0 || ftruncate(fd, (off_t)disk->files[group].length) ||
            lseek(fd, 0, SEEK_END) < 0 || fsync(fd) != 0) {
            err = disk_error(ctx, path);
        }
    }
    g_free(data);
    g_free(path);
    return err;
}

static int
load_files(struct mw_context *ctx, struct mw_disk *disk, uint64_t *incarnation,
           const struct mw_disk_take *take)
{
    bool region = has_file(disk, MW_GROUP_REGION);
    bool zone = has_file(disk, MW_GROUP_ZONE);
    int err = 0;

    if (!region && !zone) {
        err = create_files(ctx, disk, *incarnation);
    }
    for (int group = 0; group < MW_GROUPS && !err; group++) {
        err = load_file(ctx, disk, (enum mw_group)group, take, incarnation);
    }
    return err;
}

struct mw_disk *
mw_open_disk(struct mw_context *ctx, const struct mw_disk_setup *setup,
             uint64_t *incarnation, const struct mw_disk_take *take,
             int *error)
{
    struct mw_disk *disk = new_disk(setup);

    *error = prepare_folder(ctx, disk);
    if (!*error) {
        *error = load_files(ctx, disk, incarnation, take);
    }
    if (*error) {
        mw_drop_disk(disk);
        return NULL;
    }
    return disk;
}

static void
post_failed(struct mw_disk *disk, const char *what)
{
    char *text =
        g_strdup_printf("%s: %s: %s", disk->folder, what, g_strerror(errno));

    disk->failed = true;
    mw_post_failed(disk->owner, MW_ERR_DISK, mw_str_from(text));
    g_free(text);
}

static void
begin_snapshot(struct mw_disk *disk, enum mw_group group)
{
    struct data_file *file = &disk->files[group];
    char *path = path_of(disk, group_files[group], ".new");
    uint8_t header[HEADER_LEN];

    if (file->new_fd >= 0) {
        close(file->new_fd);
    }
    file->new_fd = open(path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file->new_fd < 0) {
        post_failed(disk, path);
    }
    make_header(disk, group, header);
    g_byte_array_set_size(file->pending, 0);
    g_byte_array_append(file->pending, header, sizeof header);
    g_free(path);
}

static void
add_stored(struct mw_disk *disk, const struct mw_stored_blob *stored)
{
    struct data_file *file = &disk->files[stored->group];

    if (stored->kind == MW_STORE_BASE) {
        begin_snapshot(disk, stored->group);
    }
    append_item(file->pending, stored->blob);
    file->pending_sequence = stored->sequence;
}

static void
disk_mail(void *opaque, struct mw_mail *task_msg)
{
    struct mw_disk *disk = opaque;

    if (task_msg->kind != MW_MAIL_STORE || disk->failed) {
        return;
    }
    for (guint i = 0; i < task_msg->stored->len; i++) {
        add_stored(disk,
                   &g_array_index(task_msg->stored, struct mw_stored_blob, i));
    }
}

static int
finish_snapshot(struct mw_disk *disk, enum mw_group group)
{
    struct data_file *file = &disk->files[group];
    char *from = path_of(disk, group_files[group], ".new");
    char *to = path_of(disk, group_files[group], "");
    int err = rename(from, to) == 0 ? sync_folder(disk->folder) : MW_ERR_DISK;

    close(file->fd);
    file->fd = file->new_fd;
    file->new_fd = -1;
    g_free(from);
    g_free(to);
    return err;
}

/* The mark is not synced itself; a later sync takes it along. */
static void
write_mark(struct data_file *file)
{
    uint8_t mark[MARK_LEN];

    make_mark(mark, file->length);
    if (write_all(file->fd, mark, sizeof mark) == 0) {
        file->length += sizeof mark;
    }
}

static void
sync_file(struct mw_disk *disk, enum mw_group group)
{
    struct data_file *file = &disk->files[group];
    bool snapshot = file->new_fd >= 0;
    int fd = snapshot ? file->new_fd : file->fd;
    struct mw_mail *task_msg;

    if (file->pending->len == 0 || disk->failed) {
        return;
    }
    if (write_all(fd, file->pending->data, file->pending->len) ||
        fdatasync(fd) != 0) {
        post_failed(disk, group_files[group]);
        return;
    }
    file->length =
        snapshot ? file->pending->len : file->length + file->pending->len;
    if (snapshot && finish_snapshot(disk, group)) {
        post_failed(disk, group_files[group]);
        return;
    }
    write_mark(file);
    g_byte_array_set_size(file->pending, 0);
    task_msg = mw_new_mail(MW_MAIL_SYNCED);
    task_msg->group = group;
    task_msg->sequence = file->pending_sequence;
    mw_post(disk->owner, task_msg);
}

static void
disk_batch(void *opaque)
{
    for (int group = 0; group < MW_GROUPS; group++) {
        sync_file(opaque, (enum mw_group)group);
    }
}

struct mw_task *
mw_start_disk(struct mw_disk *disk, struct mw_task *owner)
{
    struct mw_task_work work = {
        .opaque = disk, .mail = disk_mail, .batch = disk_batch};

    disk->owner = owner;
    disk->task = mw_new_task("disk", &work);
    return disk->task;
}

void
mw_drop_disk(struct mw_disk *disk)
{
    if (!disk) {
        return;
    }
    mw_drop_task(disk->task);
    for (int group = 0; group < MW_GROUPS; group++) {
        struct data_file *file = &disk->files[group];

        if (file->fd >= 0) {
            close(file->fd);
        }
        if (file->new_fd >= 0) {
            close(file->new_fd);
        }
        g_byte_array_unref(file->pending);
    }
    if (disk->lock_fd >= 0) {
        close(disk->lock_fd);
    }
    g_free(disk->folder);
    g_free(disk);
}

uint64_t
mw_disk_cut(const struct mw_disk *disk)
{
    return disk->cut;
}
