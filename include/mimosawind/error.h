#ifndef MIMOSAWIND_ERROR_H
#define MIMOSAWIND_ERROR_H

#include "mimosawind/str.h"

/*
 * error: error codes.
 *
 * A function that can fail returns 0 or one of these negative numbers.  Each
 * code has a stable string for programs, and a message for people that says
 * what to do about the error.  The numbers are part of the wire format: add
 * new ones at the end.
 */

enum mw_error {
    MW_OK = 0,
    MW_ERR_INVALID = -1,
    MW_ERR_TOO_LONG = -2,
    MW_ERR_TOO_LARGE = -3,
    MW_ERR_SYNTAX = -4,
    MW_ERR_UNKNOWN_KEY = -5,
    MW_ERR_WRONG_TYPE = -6,
    MW_ERR_OUT_OF_RANGE = -7,
    MW_ERR_MISSING = -8,
    MW_ERR_DUPLICATE = -9,
    MW_ERR_NO_CAPACITY = -10,
    MW_ERR_IMPOSSIBLE = -11,
    MW_ERR_GUARANTEE = -12,
    MW_ERR_CONFLICT = -13,
    MW_ERR_NOT_TRIED = -14,
    MW_ERR_NOT_LEADER = -15,
    MW_ERR_NO_QUORUM = -16,
    MW_ERR_NOT_OWNER = -17,
    MW_ERR_UNREACHABLE = -18,
    MW_ERR_OVERLOADED = -19,
    MW_ERR_DEADLINE = -20,
    MW_ERR_CANCELLED = -21,
    MW_ERR_NOT_FOUND = -22,
    MW_ERR_DENIED = -23,
    MW_ERR_FAILED = -24,
    MW_ERR_UNKNOWN = -25,
    MW_ERR_STOPPED = -26,
    MW_ERR_DAMAGED = -27,
    MW_ERR_VERSION = -28,
    MW_ERR_LOCKED = -29,
    MW_ERR_DISK = -30,
    MW_ERR_AUTH = -31,
    MW_ERR_PENDING = -32,
    MW_ERR_LEAVING = -33,
    MW_ERR_SLOW = -34,
    MW_ERR_TRUNCATED = -35,
    MW_ERR_OUT = -36,
    MW_ERR_NO_QUEUE = -37,
    MW_ERR_OUTDATED = -38,
    /* one past the last code */
    MW_ERR_LAST = -39
};

/* mw_execution_status: execution status, what is known of whether a job was
 * executed. */
enum mw_execution_status {
    MW_NOT_RUN = 0,
    MW_MAY_HAVE_RUN = 1,
    MW_RAN = 2
};

/* mw_error_str: stable string of an error code, "ok" for 0. */
struct mw_str mw_error_str(int error);

/* mw_error_message: what went wrong and what to do about it. */
struct mw_str mw_error_message(int error);

/* mw_error_http_status: HTTP status code of a reply with this error. */
int mw_error_http_status(int error);

/* mw_execution_status_str: string of an execution status, as replies have it.
 */
struct mw_str mw_execution_status_str(enum mw_execution_status ran);

#endif
