/*
 * retry: decides whether a failed attempt of a call may be followed by
 * another one, where that goes, and whether it is charged to the retry
 * budget.
 *
 * Guarantee: the retries of one request are bounded across its entire chain
 * of calls.
 */
#ifndef LAV_RETRY_H
#define LAV_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Reroutes of one call that are not charged to the budget. */
#define RETRY_REROUTES_MAX 4

/* Of these, reroutes after a refusal for lack of a slot. */
#define RETRY_OVERLOAD_REROUTES_MAX 2

/* With less time left before the deadline another attempt can't succeed. */
#define RETRY_TIME_LEFT_MIN_US 5000

/* Longest wait for a connection to an instance, in ms: where another instance
 * may take the call or an attempt at this one was not sent shortly before, and
 * where the call depends on this instance. */
#define RETRY_CONNECT_TIMEOUT_MS 60
#define RETRY_SOLE_CONNECT_TIMEOUT_MS 250

/* How an attempt failed. */
enum retry_end {
    /* The attempt never left this node. */
    RETRY_END_NOT_SENT,
    /* Refused by a node that never sent it to its target, so that a reroute
     * is free. */
    RETRY_END_NOT_FORWARDED,
    /* Confirmed: it was not dispatched, and never will be. */
    RETRY_END_REFUSED,
    /* It may have been dispatched. */
    RETRY_END_UNKNOWN
};

/* What to do after a failed attempt. */
enum retry_action {
    /* Return the failure to the caller. */
    RETRY_STOP,
    /* Try another instance; no attempt has reached a target yet. */
    RETRY_REROUTE,
    /* Try the owner that the reply named. */
    RETRY_REDIRECT_OWNER,
    /* Send again, for one unit of the budget. */
    RETRY_RESEND,
    /* Send again to the owner, for one unit of the budget; the reply comes
     * from its deduplication record. */
    RETRY_RESEND_TO_OWNER
};

typedef struct retry_failure {
    enum retry_end end;
    enum reason reason; /* given by the remote node */
    bool idempotent;
    int budget;   /* extra attempts left */
    int reroutes; /* made so far */
    int64_t time_left_us;
} retry_failure;

enum retry_action retry_decide(const retry_failure *failure);
int64_t retry_connect_timeout_ms(bool sole_instance, int64_t time_left_us);

#ifdef __cplusplus
}
#endif

#endif
