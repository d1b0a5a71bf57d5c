#ifndef MW_CORE_FLOW_CONFIG_VERSIONS_H
#define MW_CORE_FLOW_CONFIG_VERSIONS_H

#include <glib.h>

#include "mimosawind/flow.h"

/*
 * flow-config-versions: the configuration in force, and those that may follow
 * it.
 *
 * A committed configuration is decoded when it is needed.  If a later one is
 * committed before, it is never decoded: a process that reads many of them
 * from its log decodes the last.  The leader keeps what it decoded to validate
 * an operator's order until the record is committed.
 *
 * Records that are not decoded yet take memory until the next call of
 * mw_get_flow_config, which the owner makes for each of its heartbeats but not
 * while it reads its log; beyond MW_FLOW_UNDECODED_BYTES_MAX the last one is
 * decoded at once.
 */

/* as many orders as an operator may have in progress at once */
#define MW_FLOW_VALIDATED_MAX 8
/* text of committed records that are not decoded */
#define MW_FLOW_UNDECODED_BYTES_MAX (1024 * 1024)

struct mw_flow_config_versions {
    /* the last that was decoded; to be read with mw_get_flow_config */
    struct mw_flow_config *current;
    /* committed records of higher versions, in the order of the log */
    GPtrArray *undecoded;
    size_t undecoded_bytes;
    /* struct mw_flow_config without a committed record, oldest first */
    GPtrArray *validated;
    /* of the last committed record */
    struct mw_context *ctx;
    /* the callback decode_config of mw_flow_output, and its opaque */
    struct mw_flow_config *(*decode)(void *opaque, struct mw_context *ctx,
                                     struct mw_str text, int *error);
    void *opaque;
};

void mw_init_flow_configs(struct mw_flow_config_versions *configs,
                          const struct mw_flow_output *output);
void mw_clear_flow_configs(struct mw_flow_config_versions *configs);
/* mw_reset_flow_configs: as if no record had been committed. */
void mw_reset_flow_configs(struct mw_flow_config_versions *configs);

/* mw_commit_flow_config: a committed record; ctx must outlive configs. */
void mw_commit_flow_config(struct mw_context *ctx,
                           struct mw_flow_config_versions *configs,
                           struct mw_record *record);

/*
 * mw_get_flow_config: the configuration in force; NULL for none.
 *
 * It is the one with the highest version that this process can decode, and
 * stays valid until another record is committed.  Those that it can't decode
 * are reported as events of the context.
 */
const struct mw_flow_config *
mw_get_flow_config(struct mw_flow_config_versions *configs);

/*
 * mw_validate_flow_config: decode an operator's text, unless it is known.
 *
 * Returns the configuration in force or one of the last MW_FLOW_VALIDATED_MAX
 * that were validated, for use until the next call; NULL with the error and a
 * detail in ctx if the text is not valid.
 */
const struct mw_flow_config *
mw_validate_flow_config(struct mw_context *ctx,
                        struct mw_flow_config_versions *configs,
                        struct mw_str text, int *error);

/* mw_forget_validated_configs: their orders have ended with the leadership. */
void mw_forget_validated_configs(struct mw_flow_config_versions *configs);

#endif
