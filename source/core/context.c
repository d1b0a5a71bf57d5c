#include "mimosawind/context.h"

#include <glib.h>
#include <stdarg.h>

int
mw_fail(struct mw_context *ctx, int error, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    int len = g_vsnprintf(ctx->detail, sizeof ctx->detail, format, args);
    va_end(args);
    ctx->detail_len = (size_t)CLAMP(len, 0, MW_DETAIL_MAX);
    return error;
}

struct mw_str
mw_detail(const struct mw_context *ctx)
{
    return (struct mw_str){ctx->detail, ctx->detail_len};
}

void
mw_emit_event(struct mw_context *ctx, int priority, const char *format, ...)
{
    char line[512];
    va_list args;

    if (!ctx->emit_event) {
        return;
    }
    va_start(args, format);
    int len = g_vsnprintf(line, sizeof line, format, args);
    va_end(args);
    len = CLAMP(len, 0, (int)sizeof line - 1);
    ctx->emit_event(ctx->opaque, priority, (struct mw_str){line, (size_t)len});
}
