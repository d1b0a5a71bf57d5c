#ifndef MW_TESTS_STORE_DISK_H
#define MW_TESTS_STORE_DISK_H

#include <glib.h>

#include "disk.h"

/*
 * store-disk: a directory on a disk of limited size that can lose its power.
 *
 * Files are real ones; what the operations on them may not have made
 * persistent is undone when the power is lost.
 */
struct store_disk {
    char *dir;
    struct mw_disk_io io;
    GMutex mutex;
    /* bytes that all files may take */
    uint64_t capacity;
    /* operations until the power is lost, and done so far; -1 for never */
    int operations_left;
    int operations;
    bool power_lost;
    /* inode to its synced length */
    GHashTable *synced;
    /* name changes since the directory was synced, struct name_change */
    GArray *changes;
    /* where replaced and removed files are kept */
    char *attic;
};

/* What a power loss leaves of data that was not synced. */
enum store_data_loss {
    STORE_DATA_KEPT = 0,
    STORE_DATA_TORN = 1,
    STORE_DATA_LOST = 2,
    STORE_DATA_LOSSES = 3
};

struct store_disk *store_new_disk(void);
void store_drop_disk(struct store_disk *disk);

/* store_disk_path: of a file in the directory; free with g_free. */
char *store_disk_path(const struct store_disk *disk, const char *name);

/* store_disk_size: bytes of a file, -1 if it does not exist. */
int64_t store_disk_size(const struct store_disk *disk, const char *name);

/* store_disk_used: bytes of all files. */
uint64_t store_disk_used(const struct store_disk *disk);

/* store_copy_disk: replace the files by those of another disk, all synced. */
void store_copy_disk(struct store_disk *disk, const struct store_disk *from);

/*
 * store_lose_power: undo what was not persistent.
 *
 * The bit 1 << i of lost_names says that the i-th change of a name since the
 * last sync of the directory is lost.
 */
void store_lose_power(struct store_disk *disk, unsigned lost_names,
                      enum store_data_loss data_loss);

#endif
