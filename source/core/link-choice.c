/*
 * link-choice: which of two connections between the same processes is kept,
 * and what is queued for a process that reads slowly.
 */
#include "mimosawind/link-choice.h"

#include <string.h>

static bool
is_preferred(const struct mw_name *self, const struct mw_name *peer,
             const struct mw_link_end *link)
{
    return link->dialed_here == (memcmp(self, peer, sizeof *self) > 0);
}

bool
mw_replaces_link(const struct mw_name *self, const struct mw_name *peer,
                 const struct mw_link_end *present,
                 const struct mw_link_end *fresh, int64_t now_us)
{
    return fresh->peer_incarnation != present->peer_incarnation ||
           fresh->dialed_here == present->dialed_here ||
           is_preferred(self, peer, fresh) ||
           now_us - present->last_receive_us >= MW_LINK_STALE_US;
}

bool
mw_may_queue_msg(enum mw_msg_kind kind, size_t queued_bytes)
{
    return kind != MW_MSG_LOG || queued_bytes < MW_LINK_LOG_QUEUE_BYTES_MAX;
}
