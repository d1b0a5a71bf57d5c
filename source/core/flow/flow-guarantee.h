#ifndef MW_CORE_FLOW_GUARANTEE_H
#define MW_CORE_FLOW_GUARANTEE_H

/* flow-guarantee: use of the organisations' guarantees. */

struct mw_flows;

/* which urgent flows are within a guarantee, and which use more, as of now */
void mw_apply_guarantees(struct mw_flows *flows);

#endif
