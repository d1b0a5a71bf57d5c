#include "mimosawind/error.h"

#include <glib.h>

struct error_info {
    struct mw_str str;
    struct mw_str message;
    int http_status;
};

#define ERROR(str, message, http_status)                                      \
    {                                                                         \
        MW_STR(str), MW_STR(message), http_status                             \
    }

static const struct error_info errors[] = {
    [0] = ERROR("ok", "done", 200),
    [-MW_ERR_INVALID] = ERROR("invalid",
                              "the input is not valid; correct it "
                              "as the detail says and send it again",
                              400),
    [-MW_ERR_TOO_LONG] = ERROR("too_long",
                               "a name has more than 63 bytes; "
                               "shorten it",
                               400),
    [-MW_ERR_TOO_LARGE] = ERROR("too_large",
                                "the input exceeds its limit; "
                                "send less, or raise the limit the detail "
                                "names",
                                413),
    [-MW_ERR_SYNTAX] = ERROR("syntax",
                             "the text is not valid JSON; correct "
                             "the line that the detail names",
                             400),
    [-MW_ERR_UNKNOWN_KEY] = ERROR("unknown_key",
                                  "a key is not known; remove "
                                  "it or correct its spelling",
                                  400),
    [-MW_ERR_WRONG_TYPE] = ERROR("wrong_type",
                                 "a value has the wrong type; "
                                 "give the type that the detail names",
                                 400),
    [-MW_ERR_OUT_OF_RANGE] = ERROR("out_of_range",
                                   "a value is out of range; "
                                   "choose one inside the range given",
                                   400),
    [-MW_ERR_MISSING] = ERROR("missing",
                              "a required key or setting is "
                              "absent; add it",
                              400),
    [-MW_ERR_DUPLICATE] = ERROR("duplicate",
                                "a name is used twice; rename "
                                "one of the two",
                                400),
    [-MW_ERR_NO_CAPACITY] =
        ERROR("no_capacity",
              "nothing is free for this shape now; send it again later", 503),
    [-MW_ERR_IMPOSSIBLE] = ERROR("impossible",
                                 "no availability zone could "
                                 "ever hold this shape; ask for fewer or "
                                 "smaller tasks",
                                 422),
    [-MW_ERR_GUARANTEE] = ERROR(
        "guarantee",
        "the guaranteed shapes do not fit together; lower the one named", 422),
    [-MW_ERR_CONFLICT] = ERROR("conflict",
                               "another document holds this version; read the "
                               "current one and try the next number",
                               409),
    [-MW_ERR_NOT_TRIED] = ERROR("not_tried",
                                "this version is not in force "
                                "in trial; run mw try first",
                                409),
    [-MW_ERR_NOT_LEADER] = ERROR(
        "not_leader",
        "this process does not lead; send it again, it will find the leader",
        503),
    [-MW_ERR_NO_QUORUM] = ERROR(
        "no_quorum",
        "too few members answer to record this; restore one and send it again",
        503),
    [-MW_ERR_NOT_OWNER] = ERROR(
        "not_owner",
        "another availability zone owns this request; ask the one named", 421),
    [-MW_ERR_UNREACHABLE] = ERROR("unreachable",
                                  "the process responsible "
                                  "can't be reached; send it again with the "
                                  "same request identifier",
                                  503),
    [-MW_ERR_OVERLOADED] = ERROR("overloaded",
                                 "a queue is full; wait and "
                                 "send it again with the same request "
                                 "identifier",
                                 429),
    [-MW_ERR_DEADLINE] = ERROR("deadline",
                               "the deadline passed; allow more "
                               "time or ask for the job's status",
                               504),
    [-MW_ERR_CANCELLED] = ERROR("cancelled",
                                "the job was cancelled; submit "
                                "it under a new identifier if it is still "
                                "wanted",
                                410),
    [-MW_ERR_NOT_FOUND] = ERROR("not_found",
                                "there is no such job here; "
                                "check the identifier",
                                404),
    [-MW_ERR_DENIED] = ERROR("denied",
                             "the token does not belong to this "
                             "organisation; use the organisation's own",
                             403),
    [-MW_ERR_FAILED] = ERROR("failed",
                             "the job failed on every endpoint tried; mend "
                             "the job before sending it again",
                             422),
    [-MW_ERR_UNKNOWN] = ERROR("unknown",
                              "the job was started and its endpoint lost; "
                              "check its effect before sending a new one",
                              502),
    [-MW_ERR_STOPPED] = ERROR("stopped",
                              "the job was stopped and may have "
                              "run in part; check its effect",
                              502),
    [-MW_ERR_DAMAGED] =
        ERROR("damaged",
              "a data file is damaged before its end; move the data folder "
              "away and start with an empty one to be readmitted",
              500),
    [-MW_ERR_VERSION] = ERROR("version",
                              "a data file or peer has another "
                              "format version; use the matching release",
                              500),
    [-MW_ERR_LOCKED] = ERROR("locked",
                             "another process uses this data folder; stop it "
                             "or choose another folder",
                             500),
    [-MW_ERR_DISK] = ERROR("disk",
                           "a file can't be written; free space or "
                           "replace the disk and restart",
                           500),
    [-MW_ERR_AUTH] = ERROR(
        "auth",
        "the message authentication failed; give both sides the same key file",
        401),
    [-MW_ERR_PENDING] = ERROR("pending",
                              "not in force in the availability "
                              "zone yet; send it to that zone's own entry "
                              "VMs",
                              503),
    [-MW_ERR_LEAVING] = ERROR("leaving",
                              "this process is stopping; send it "
                              "to another entry VM",
                              503),
    [-MW_ERR_SLOW] = ERROR(
        "slow", "the request did not arrive in time; send it whole", 408),
    [-MW_ERR_OUT] = ERROR("out",
                          "the availability zone is out of service; "
                          "send it to another one",
                          503),
    [-MW_ERR_TRUNCATED] =
        ERROR("truncated",
              "the input ends before its declared length; send it whole", 400),
    [-MW_ERR_NO_QUEUE] = ERROR("no_queue",
                               "no route has this host and path; put a "
                               "configuration in force that has one",
                               404),
    [-MW_ERR_OUTDATED] = ERROR("outdated",
                               "a later order may have been taken since this "
                               "one was received; send it again if it is "
                               "still wanted",
                               503),
};

static const struct error_info *
find_error(int error)
{
    if (error > 0 || error <= MW_ERR_LAST) {
        return &errors[-MW_ERR_INVALID];
    }
    return &errors[-error];
}

struct mw_str
mw_error_str(int error)
{
    return find_error(error)->str;
}

struct mw_str
mw_error_message(int error)
{
    return find_error(error)->message;
}

int
mw_error_http_status(int error)
{
    return find_error(error)->http_status;
}

struct mw_str
mw_execution_status_str(enum mw_execution_status ran)
{
    static const struct mw_str names[] = {
        MW_STR("not_run"), MW_STR("may_have_run"), MW_STR("ran")};

    return names[ran <= MW_RAN ? ran : MW_MAY_HAVE_RUN];
}
