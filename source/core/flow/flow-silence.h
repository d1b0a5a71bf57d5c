#ifndef MW_CORE_FLOW_SILENCE_H
#define MW_CORE_FLOW_SILENCE_H

#include "mimosawind/flow.h"

/*
 * flow-silence: endpoints that do not answer, over changes of the leader.
 *
 * LOAD   an endpoint that is lost with its runs while the control processes
 *        are restarted in turn.  Its runs are over once the leases of earlier
 *        leaders have expired, and each of these may have granted one just
 *        before its end.
 *
 * A leader that gets no answer from an endpoint records that, with the time on
 * the flow clock since when no lease was granted there.  From then on it
 * grants none, and starts nothing, before the log says that the endpoint was
 * heard of again: the endpoint is muted.  The next leader reckons from the
 * recorded time, in place of its own takeover.
 */

struct mw_flow_endpoint;
struct mw_flows;

/* mw_recall_silence: takes over what the log says, when leadership begins. */
void mw_recall_silence(const struct mw_flows *flows, int64_t now_us,
                       struct mw_flow_endpoint *endpoint);
/* mw_record_silences: proposes a record of each endpoint that was not heard.
 */
void mw_record_silences(struct mw_flows *flows, int64_t now_us);
/* mw_end_silence: a list of the endpoint was read. */
void mw_end_silence(struct mw_flows *flows, int64_t now_us,
                    struct mw_flow_endpoint *endpoint);
/* mw_apply_silence: a record of the endpoint is committed. */
void mw_apply_silence(struct mw_flow_endpoint *endpoint,
                      const struct mw_record_endpoint *record);

#endif
