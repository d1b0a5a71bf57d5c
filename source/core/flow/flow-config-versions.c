/*
 * flow-config-versions: the configuration in force, and those that may follow
 * it.
 */
#include "flow-config-versions.h"

#include <inttypes.h>

static void
drop_config(void *config)
{
    mw_drop_flow_config(config);
}

void
mw_init_flow_configs(struct mw_flow_config_versions *configs,
                     const struct mw_flow_output *output)
{
    *configs = (struct mw_flow_config_versions){
        .undecoded =
            g_ptr_array_new_with_free_func((GDestroyNotify)mw_drop_record),
        .validated = g_ptr_array_new_with_free_func(drop_config),
        .decode = output->decode_config,
        .opaque = output->opaque,
    };
}

static void
drop_undecoded(struct mw_flow_config_versions *configs)
{
    g_ptr_array_set_size(configs->undecoded, 0);
    configs->undecoded_bytes = 0;
}

void
mw_reset_flow_configs(struct mw_flow_config_versions *configs)
{
    drop_undecoded(configs);
    mw_forget_validated_configs(configs);
    g_clear_pointer(&configs->current, mw_drop_flow_config);
}

void
mw_clear_flow_configs(struct mw_flow_config_versions *configs)
{
    mw_reset_flow_configs(configs);
    g_ptr_array_unref(configs->undecoded);
    g_ptr_array_unref(configs->validated);
}

void
mw_forget_validated_configs(struct mw_flow_config_versions *configs)
{
    g_ptr_array_set_size(configs->validated, 0);
}

void
mw_commit_flow_config(struct mw_context *ctx,
                      struct mw_flow_config_versions *configs,
                      struct mw_record *record)
{
    configs->ctx = ctx;
    if (!configs->current ||
        record->config.version > configs->current->version) {
        g_ptr_array_add(configs->undecoded, mw_keep_record(record));
        configs->undecoded_bytes += mw_blob_str(record->config.text).len;
    }
    if (configs->undecoded_bytes > MW_FLOW_UNDECODED_BYTES_MAX) {
        mw_get_flow_config(configs);
    }
}

/* NULL if none was decoded from these bytes. */
static struct mw_flow_config *
find_validated(const struct mw_flow_config_versions *configs,
               struct mw_str text)
{
    for (guint i = 0; i < configs->validated->len; i++) {
        struct mw_flow_config *config = configs->validated->pdata[i];

        if (mw_str_equal(mw_blob_str(config->text), text)) {
            return config;
        }
    }
    return NULL;
}

/* The first of those with the highest version, to be dropped by the caller. */
static struct mw_record *
take_highest(GPtrArray *records)
{
    guint highest = 0;

    for (guint i = 1; i < records->len; i++) {
        const struct mw_record *record = records->pdata[i];
        const struct mw_record *other = records->pdata[highest];

        if (record->config.version > other->config.version) {
            highest = i;
        }
    }
    return g_ptr_array_steal_index(records, highest);
}

/* A new reference, or NULL and an error if it can't be decoded. */
static struct mw_flow_config *
decode_record(struct mw_flow_config_versions *configs,
              const struct mw_record_config *record, int *error)
{
    struct mw_str text = mw_blob_str(record->text);
    struct mw_flow_config *config = find_validated(configs, text);

    if (config) {
        config->refs++;
        return config;
    }
    return configs->decode(configs->opaque, configs->ctx, text, error);
}

/* Drops what was validated for this version or a lower one. */
static void
drop_outdated(struct mw_flow_config_versions *configs)
{
    for (guint i = configs->validated->len; i > 0; i--) {
        const struct mw_flow_config *config = configs->validated->pdata[i - 1];

        if (config->version <= configs->current->version) {
            g_ptr_array_remove_index(configs->validated, i - 1);
        }
    }
}

static void
replace_current(struct mw_flow_config_versions *configs,
                struct mw_flow_config *config)
{
    mw_drop_flow_config(configs->current);
    configs->current = config;
    drop_undecoded(configs);
    drop_outdated(configs);
}

const struct mw_flow_config *
mw_get_flow_config(struct mw_flow_config_versions *configs)
{
    while (configs->undecoded->len > 0) {
        struct mw_record *record = take_highest(configs->undecoded);
        int err = 0;
        struct mw_flow_config *config =
            decode_record(configs, &record->config, &err);

        if (config) {
            replace_current(configs, config);
        }
        else {
            mw_emit_event(configs->ctx, MW_SEVERITY_ERROR,
                          "event=config_unreadable version=%" PRIu64
                          " kind=%.*s",
                          record->config.version, MW_FMT(mw_error_str(err)));
        }
        mw_drop_record(record);
    }
    drop_undecoded(configs);
    return configs->current;
}

const struct mw_flow_config *
mw_validate_flow_config(struct mw_context *ctx,
                        struct mw_flow_config_versions *configs,
                        struct mw_str text, int *error)
{
    const struct mw_flow_config *current = mw_get_flow_config(configs);
    struct mw_flow_config *config = find_validated(configs, text);

    if (current && mw_str_equal(mw_blob_str(current->text), text)) {
        return current;
    }
    if (!config) {
        config = configs->decode(configs->opaque, ctx, text, error);
        if (!config) {
            return NULL;
        }
        if (configs->validated->len == MW_FLOW_VALIDATED_MAX) {
            g_ptr_array_remove_index(configs->validated, 0);
        }
        g_ptr_array_add(configs->validated, config);
    }
    return config;
}
