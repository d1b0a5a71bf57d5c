/*
 * entry-admission: requests of clients and operators are accepted or refused.
 */
#include "entry-impl.h"

/* an operator waits for the result of a change for so long */
#define CHANGE_TIMEOUT_US 5000000

/* Returns 0 if a new request can be accepted. */
static int
check_admission(struct mw_context *ctx, struct mw_entry *entry)
{
    entry->counters.requests++;
    ctx->detail_len = 0;
    if (entry->leaving) {
        return MW_ERR_LEAVING;
    }
    if (g_hash_table_size(entry->requests) >= MW_ENTRY_PENDING_MAX) {
        return mw_fail(ctx, MW_ERR_OVERLOADED, "%d requests are pending",
                       MW_ENTRY_PENDING_MAX);
    }
    return 0;
}

static int
authorise(struct mw_context *ctx, struct mw_entry *entry,
          struct mw_str token_hash, const struct mw_name *name)
{
    const struct mw_org *org = mw_find_org(entry->document, name);

    if (!entry->document) {
        return mw_fail(ctx, MW_ERR_UNREACHABLE,
                       "no document is in force here yet");
    }
    if (org && mw_str_equal(mw_name_str(&org->token_sha256), token_hash)) {
        return 0;
    }
    entry->counters.denied++;
    return mw_fail(ctx, MW_ERR_DENIED, "organisation %.*s",
                   MW_FMT(mw_name_str(name)));
}

static void
refuse_request(struct mw_entry *entry, uint64_t handle, int error,
               enum mw_execution_status ran, struct mw_str detail)
{
    struct mw_reply reply = {.error = error,
                             .ran = ran,
                             .state = MW_JOB_DONE,
                             .zone = entry->zone,
                             .detail = detail};

    entry->counters.refused++;
    entry->output.reply(entry->output.opaque, handle, &reply);
}

/*
 * The client may have sent a recorded job before, through another entry VM,
 * so it may have run although this submission is refused for a temporary
 * reason.  Only a submission that is invalid in itself can't have run.
 */
static enum mw_execution_status
execution_status_at_refusal(int error, const struct mw_job_spec *spec)
{
    bool temporary = error == MW_ERR_LEAVING || error == MW_ERR_OVERLOADED ||
                     error == MW_ERR_UNREACHABLE;

    return temporary && mw_spec_is_recorded(spec) ? MW_MAY_HAVE_RUN
                                                  : MW_NOT_RUN;
}

void
mw_entry_submit(struct mw_context *ctx, struct mw_entry *entry, int64_t now_us,
                uint64_t handle, struct mw_str token_hash,
                const struct mw_job_spec *spec, struct mw_blob *body)
{
    int err = check_admission(ctx, entry);

    if (!err) {
        err = mw_check_spec(ctx, spec);
    }
    if (!err) {
        err = authorise(ctx, entry, token_hash, &spec->key.org);
    }
    if (err) {
        refuse_request(entry, handle, err,
                       execution_status_at_refusal(err, spec), mw_detail(ctx));
        return;
    }
    struct mw_msg *msg = mw_new_msg(MW_MSG_SUBMIT);

    msg->submit.spec = *spec;
    if (!spec->wait) {
        /* the deadline is for the answer "accepted"; the job has none */
        msg->submit.spec.deadline_us = 0;
    }
    msg->submit.body = mw_keep_blob(body);
    entry->retry_credit = MIN(entry->retry_credit + MW_RETRY_BUDGET_PERCENT,
                              MW_RETRY_BUDGET_BURST * MW_RETRY_COST);
    mw_send_request(entry, now_us,
                    mw_add_request(entry, handle, MW_REQUEST_SUBMIT, msg,
                                   spec->deadline_us));
}

void
mw_entry_query(struct mw_context *ctx, struct mw_entry *entry, int64_t now_us,
               uint64_t handle, struct mw_str token_hash,
               const struct mw_job_key *key, bool cancel, bool until_done,
               int64_t deadline_us)
{
    int err = check_admission(ctx, entry);

    if (!err) {
        err = authorise(ctx, entry, token_hash, &key->org);
    }
    if (err) {
        refuse_request(entry, handle, err, MW_MAY_HAVE_RUN, mw_detail(ctx));
        return;
    }
    struct mw_msg *msg = mw_new_msg(MW_MSG_QUERY);

    msg->query.key = *key;
    msg->query.cancel = cancel;
    msg->query.until_done = until_done;
    struct mw_request *request =
        mw_add_request(entry, handle, MW_REQUEST_QUERY, msg, deadline_us);

    request->may_have_run = true;
    mw_send_request(entry, now_us, request);
}

void
mw_entry_change(struct mw_context *ctx, struct mw_entry *entry, int64_t now_us,
                uint64_t handle, const struct mw_change *change)
{
    int err = check_admission(ctx, entry);

    if (err) {
        refuse_request(entry, handle, err, MW_NOT_RUN, mw_detail(ctx));
        return;
    }
    struct mw_msg *msg = mw_new_msg(MW_MSG_CHANGE);

    msg->change = *change;
    msg->change.document = mw_keep_document(change->document);
    msg->change.known_sequence = mw_zone_sequence(entry->peers, &change->zone);
    mw_send_request(entry, now_us,
                    mw_add_request(entry, handle, MW_REQUEST_CHANGE, msg,
                                   now_us + CHANGE_TIMEOUT_US));
}
