#ifndef MIMOSAWIND_CONTEXT_H
#define MIMOSAWIND_CONTEXT_H

#include "mimosawind/error.h"

/*
 * context: error detail and event output of a task.
 *
 * Each task owns one context and passes it as the first argument.  It stores
 * the detail of the last error, and the callback that writes events to the
 * system log.  Memory is allocated by GLib, which aborts the process when
 * there is none left; the process recovers by being restarted.
 */

#define MW_DETAIL_MAX 255

struct mw_context {
    char detail[MW_DETAIL_MAX + 1];
    size_t detail_len;
    void *opaque;
    /* writes one event, a line of text; NULL discards events */
    void (*emit_event)(void *opaque, int priority, struct mw_str line);
};

/* severities of syslog */
#define MW_SEVERITY_ERROR 3
#define MW_SEVERITY_WARNING 4
#define MW_SEVERITY_NOTICE 5

/* mw_fail: store a formatted detail in the context and return the error. */
int mw_fail(struct mw_context *ctx, int error, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* mw_detail: detail of the last error, empty if it has none; borrowed. */
struct mw_str mw_detail(const struct mw_context *ctx);

/* mw_emit_event: write one event, key=value text, to the system log. */
void mw_emit_event(struct mw_context *ctx, int priority, const char *format,
                   ...) __attribute__((format(printf, 3, 4)));

#endif
