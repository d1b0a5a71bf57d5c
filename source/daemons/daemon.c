#include "daemon.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "auth.h"

static gboolean
on_shutdown_signal(gpointer data)
{
    struct mw_daemon *daemon = data;

    daemon->leave(daemon->opaque);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_dump_signal(gpointer data)
{
    struct mw_daemon *daemon = data;

    daemon->dump(daemon->opaque);
    return G_SOURCE_CONTINUE;
}

void
mw_daemon_ended(void *opaque, int error, struct mw_str message)
{
    struct mw_daemon *daemon = opaque;
    struct mw_context ctx = {.opaque = (void *)daemon->name,
                             .emit_event = mw_write_syslog_line};

    if (error) {
        mw_emit_event(&ctx, MW_SEVERITY_ERROR,
                      "event=failed kind=%.*s detail=\"%.*s\" remedy=\"%.*s\"",
                      MW_FMT(mw_error_str(error)), MW_FMT(message),
                      MW_FMT(mw_error_message(error)));
    }
    else {
        mw_emit_event(&ctx, MW_SEVERITY_NOTICE, "event=left");
    }
    daemon->error = error;
    g_main_loop_quit(daemon->loop);
}

int
mw_run_daemon(struct mw_daemon *daemon)
{
    g_unix_signal_add(SIGTERM, on_shutdown_signal, daemon);
    g_unix_signal_add(SIGINT, on_shutdown_signal, daemon);
    g_unix_signal_add(SIGUSR1, on_dump_signal, daemon);
    signal(SIGPIPE, SIG_IGN);
    g_main_loop_run(daemon->loop);
    return daemon->error ? 1 : 0;
}

struct mw_blob *
mw_read_key_file(const char *program, struct mw_str path)
{
    char *message = NULL;
    struct mw_blob *key = mw_load_key(path.ptr, &message);

    if (!key) {
        fprintf(stderr, "%s: missing: --key-file: %s\n", program, message);
        g_free(message);
    }
    return key;
}

static bool
has_dial(const struct mw_dial_target *dials, uint32_t count,
         const struct mw_name *name)
{
    for (uint32_t i = 0; i < count; i++) {
        if (mw_name_equal(&dials[i].name, name)) {
            return true;
        }
    }
    return false;
}

void
mw_add_dials(const struct mw_process_list *members,
             struct mw_dial_target *dials, uint32_t *count,
             bool (*should_dial)(const struct mw_name *self,
                                 const struct mw_name *peer),
             const struct mw_name *self)
{
    for (uint32_t i = 0; i < members->count; i++) {
        const struct mw_name *name = &members->member[i].name;

        if (mw_name_equal(name, self) || has_dial(dials, *count, name) ||
            (should_dial && !should_dial(self, name))) {
            continue;
        }
        dials[*count].name = *name;
        dials[*count].address = members->address[i];
        (*count)++;
    }
}
