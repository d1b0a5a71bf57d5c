#include "mimosawind/error.h"

#include <glib.h>

struct kind {
    struct mw_str word;
    struct mw_str message;
    int status;
};

#define KIND(word, message, status)                                           \
    {                                                                         \
        MW_STR(word), MW_STR(message), status                                 \
    }

static const struct kind kinds[] = {
    [0] = KIND("ok", "done", 200),
    [-MW_ERR_INVALID] = KIND("invalid",
                             "the input is not valid; correct it "
                             "as the detail says and send it again",
                             400),
    [-MW_ERR_TOO_LONG] = KIND("too_long",
                              "a name has more than 63 bytes; "
                              "shorten it",
                              400),
    [-MW_ERR_TOO_LARGE] = KIND("too_large",
                               "the input exceeds its limit; "
                               "send less, or raise the limit the detail "
                               "names",
                               413),
    [-MW_ERR_SYNTAX] = KIND("syntax",
                            "the text is not valid JSON; correct "
                            "the line that the detail names",
                            400),
    [-MW_ERR_UNKNOWN_KEY] = KIND("unknown_key",
                                 "a key is not known; remove "
                                 "it or correct its spelling",
                                 400),
    [-MW_ERR_WRONG_TYPE] = KIND("wrong_type",
                                "a value has the wrong type; "
                                "give the type that the detail names",
                                400),
    [-MW_ERR_OUT_OF_RANGE] = KIND("out_of_range",
                                  "a value is out of range; "
                                  "choose one inside the range given",
                                  400),
    [-MW_ERR_MISSING] = KIND("missing",
                             "a required key or setting is "
                             "absent; add it",
                             400),
    [-MW_ERR_DUPLICATE] = KIND("duplicate",
                               "a name is used twice; rename "
                               "one of the two",
                               400),
    [-MW_ERR_NO_CAPACITY] = KIND("no_capacity",
                                 "nothing is free for this "
                                 "shape now; send it again later",
                                 503),
    [-MW_ERR_IMPOSSIBLE] = KIND("impossible",
                                "no availability zone could "
                                "ever hold this shape; ask for fewer or "
                                "smaller tasks",
                                422),
    [-MW_ERR_GUARANTEE] = KIND("guarantee",
                               "the guaranteed shapes do not "
                               "fit together; lower the one named",
                               422),
    [-MW_ERR_CONFLICT] = KIND("conflict",
                              "another document holds this "
                              "version; read the current one and try the "
                              "next number",
                              409),
    [-MW_ERR_NOT_TRIED] = KIND("not_tried",
                               "this version is not in force "
                               "in trial; run mw try first",
                               409),
    [-MW_ERR_NOT_LEADER] = KIND("not_leader",
                                "this process does not lead; "
                                "send it again, it will find the leader",
                                503),
    [-MW_ERR_NO_QUORUM] = KIND("no_quorum",
                               "too few members answer to "
                               "record this; restore one and send it "
                               "again",
                               503),
    [-MW_ERR_NOT_OWNER] = KIND("not_owner",
                               "another availability zone owns "
                               "this request; ask the one named",
                               421),
    [-MW_ERR_UNREACHABLE] = KIND("unreachable",
                                 "the process responsible "
                                 "can't be reached; send it again with the "
                                 "same request identifier",
                                 503),
    [-MW_ERR_OVERLOADED] = KIND("overloaded",
                                "a queue is full; wait and "
                                "send it again with the same request "
                                "identifier",
                                429),
    [-MW_ERR_DEADLINE] = KIND("deadline",
                              "the deadline passed; allow more "
                              "time or ask for the job's status",
                              504),
    [-MW_ERR_CANCELLED] = KIND("cancelled",
                               "the job was cancelled; submit "
                               "it under a new identifier if it is still "
                               "wanted",
                               410),
    [-MW_ERR_NOT_FOUND] = KIND("not_found",
                               "there is no such job here; "
                               "check the identifier",
                               404),
    [-MW_ERR_DENIED] = KIND("denied",
                            "the token does not belong to this "
                            "organisation; use the organisation's own",
                            403),
    [-MW_ERR_FAILED] = KIND("failed",
                            "the job failed on every endpoint "
                            "tried; mend the job before sending it "
                            "again",
                            422),
    [-MW_ERR_UNKNOWN] = KIND("unknown",
                             "the job was started and its "
                             "endpoint lost; check its effect before "
                             "sending a new one",
                             502),
    [-MW_ERR_STOPPED] = KIND("stopped",
                             "the job was stopped and may have "
                             "run in part; check its effect",
                             502),
    [-MW_ERR_DAMAGED] = KIND("damaged",
                             "a data file is damaged before its "
                             "end; move the data folder away and start "
                             "with an empty one to be readmitted",
                             500),
    [-MW_ERR_VERSION] = KIND("version",
                             "a data file or peer has another "
                             "format version; use the matching release",
                             500),
    [-MW_ERR_LOCKED] = KIND("locked",
                            "another process uses this data "
                            "folder; stop it or choose another folder",
                            500),
    [-MW_ERR_DISK] = KIND("disk",
                          "a file can't be written; free space or "
                          "replace the disk and restart",
                          500),
    [-MW_ERR_AUTH] = KIND("auth",
                          "the message authentication failed; give "
                          "both sides the same key file",
                          401),
    [-MW_ERR_PENDING] = KIND("pending",
                             "not in force in the availability "
                             "zone yet; send it to that zone's own entry "
                             "VMs",
                             503),
    [-MW_ERR_LEAVING] = KIND("leaving",
                             "this process is stopping; send it "
                             "to another entry VM",
                             503),
    [-MW_ERR_SLOW] = KIND("slow",
                          "the request did not arrive in time; send "
                          "it whole",
                          408),
    [-MW_ERR_OUT] = KIND("out",
                         "the availability zone is out of service; "
                         "send it to another one",
                         503),
    [-MW_ERR_TRUNCATED] = KIND("truncated",
                               "the input ends before its "
                               "declared length; send it whole",
                               400),
    [-MW_ERR_NO_QUEUE] = KIND("no_queue",
                              "no route has this host and path; put a "
                              "configuration in force that has one",
                              404),
};

static const struct kind *
find_kind(int error)
{
    if (error > 0 || error <= MW_ERR_LAST) {
        return &kinds[-MW_ERR_INVALID];
    }
    return &kinds[-error];
}

struct mw_str
mw_error_word(int error)
{
    return find_kind(error)->word;
}

struct mw_str
mw_error_message(int error)
{
    return find_kind(error)->message;
}

int
mw_error_status(int error)
{
    return find_kind(error)->status;
}

struct mw_str
mw_ran_word(enum mw_ran ran)
{
    static const struct mw_str words[] = {
        MW_STR("not_run"), MW_STR("may_have_run"), MW_STR("ran")};

    return words[ran <= MW_RAN ? ran : MW_MAY_HAVE_RUN];
}
