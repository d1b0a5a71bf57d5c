#ifndef MIMOSAWIND_CONTEXT_H
#define MIMOSAWIND_CONTEXT_H

#include "mimosawind/error.h"

/*
 * context: what a call needs besides its operands.
 *
 * Each task owns one context and passes it first.  It carries the text of
 * the last error and the output for changes of state.  Memory comes from
 * GLib, which ends the process when there is none; recovery is the restart.
 */

#define MW_DETAIL_MAX 255

struct mw_context {
    char detail[MW_DETAIL_MAX + 1];
    size_t detail_len;
    void *opaque;
    /* note: one line for a change of state; NULL discards it. */
    void (*note)(void *opaque, int priority, struct mw_str line);
};

#define MW_PRIORITY_ERROR 3
#define MW_PRIORITY_WARNING 4
#define MW_PRIORITY_NOTICE 5

/* mw_fail: keep a formatted detail for the caller and return the error. */
int mw_fail(struct mw_context *ctx, int error, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* mw_detail: detail of the last error, empty when there was none. */
struct mw_str mw_detail(const struct mw_context *ctx);

/* mw_note: report one change of state as key=value text. */
void mw_note(struct mw_context *ctx, int priority, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
