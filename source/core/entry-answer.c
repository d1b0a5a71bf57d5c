/*
 * entry-answer: answers of control processes, and retries.
 */
#include "entry-impl.h"

/* Whether an answer leads to a retry rather than to a reply. */
static bool
is_retryable(const struct mw_request *request,
             const struct mw_msg_answer *answer)
{
    if (answer->error == MW_ERR_NOT_LEADER) {
        return true;
    }
    if (answer->error == MW_ERR_NOT_OWNER) {
        return true;
    }
    if (request->handed_over && answer->error &&
        (answer->ran == MW_NOT_RUN || answer->error == MW_ERR_NOT_FOUND)) {
        return true;
    }
    return !mw_request_is_recorded(request) &&
           (answer->error == MW_ERR_OUT ||
            answer->error == MW_ERR_OVERLOADED ||
            answer->error == MW_ERR_NO_CAPACITY);
}

static bool
spend_retry_credit(struct mw_entry *entry)
{
    if (entry->retry_credit < MW_RETRY_COST) {
        entry->counters.retries_denied++;
        return false;
    }
    entry->retry_credit -= MW_RETRY_COST;
    entry->counters.retries++;
    return true;
}

/* The owner handed the request over to another zone: query that zone. */
static void
follow_handover(struct mw_request *request, const struct mw_name *zone)
{
    request->handover_zone = *zone;
    request->handed_over = true;
    request->may_have_run = true;
    if (request->kind != MW_REQUEST_SUBMIT || request->status_query) {
        return;
    }
    request->status_query = mw_new_msg(MW_MSG_QUERY);
    request->status_query->query.ref = request->ref;
    request->status_query->query.key = request->msg->submit.spec.key;
    request->status_query->query.until_done = request->msg->submit.spec.wait;
}

/*
 * Retries at once, or after a heartbeat interval if the process is not the
 * leader or if the zone of a handover refuses or does not know the job.
 */
static void
retry_request(struct mw_entry *entry, int64_t now_us,
              struct mw_request *request, const struct mw_msg_answer *answer)
{
    request->tries++;
    if (answer->error == MW_ERR_NOT_OWNER) {
        follow_handover(request, &answer->zone);
    }
    else if (request->handed_over) {
        /* ask the owner again; it may have handed over to another zone */
        request->handover_zone = (struct mw_name){0};
    }
    if (answer->error == MW_ERR_NOT_LEADER ||
        (request->handed_over && answer->error != MW_ERR_NOT_OWNER)) {
        request->assigned_to = (struct mw_name){0};
        request->resend_deadline_us = now_us + MW_HEARTBEAT_INTERVAL_US;
        return;
    }
    mw_send_request(entry, now_us, request);
}

void
mw_entry_on_answer(struct mw_entry *entry, int64_t now_us,
                   const struct mw_name *from,
                   const struct mw_msg_answer *answer)
{
    struct mw_request *request =
        g_hash_table_lookup(entry->requests, &answer->ref);

    if (!request || request->kind == MW_REQUEST_CHANGE ||
        !mw_name_equal(&request->assigned_to, from)) {
        entry->counters.late_answers++;
        return;
    }
    bool handed_over =
        answer->error == MW_ERR_NOT_OWNER || request->handed_over;

    if (is_retryable(request, answer) &&
        (handed_over || spend_retry_credit(entry))) {
        request->may_have_run |= answer->ran != MW_NOT_RUN;
        retry_request(entry, now_us, request, answer);
        return;
    }
    struct mw_reply reply = {
        .error = answer->error,
        .ran = answer->ran,
        .state = answer->state,
        .job = answer->job,
        .zone = answer->zone,
        .output = answer->output,
        .detail = mw_blob_str(answer->detail),
    };

    mw_complete_request(entry, request, &reply);
}

void
mw_entry_on_changed(struct mw_entry *entry, int64_t now_us,
                    const struct mw_change_result *changed)
{
    struct mw_request *request =
        g_hash_table_lookup(entry->requests, &changed->ref);

    if (!request || request->kind != MW_REQUEST_CHANGE) {
        entry->counters.late_answers++;
        return;
    }
    if (changed->error == MW_ERR_NOT_LEADER) {
        request->assigned_to = (struct mw_name){0};
        request->resend_deadline_us = now_us + MW_HEARTBEAT_INTERVAL_US;
        return;
    }
    struct mw_reply reply = {
        .error = changed->error,
        .version = changed->version,
        .zone = entry->zone,
        .detail = mw_blob_str(changed->detail),
    };

    mw_complete_request(entry, request, &reply);
}
