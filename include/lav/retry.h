/*
 * rty: whether another attempt of a call may be made after one failed, and
 * at whose cost.
 *
 * Promise: retries for one request are bounded across its entire chain.
 */
#ifndef LAV_RETRY_H
#define LAV_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

#define RETRY_REROUTES_MAX 4          /* free changes of instance, a call */
#define RETRY_OVERLOAD_REROUTES_MAX 2 /* of these, for want of a slot */
#define RETRY_TIME_LEFT_MIN_US 5000   /* with less, another try is idle */

enum retry_end {
    RETRY_END_NOT_SENT,  /* the attempt never left this node */
    RETRY_END_UNREACHED, /* refused by a node that never sent it to its target,
                    * where a change of instance is free */
    RETRY_END_REFUSED,   /* confirmed: not dispatched, and never will be */
    RETRY_END_LOST       /* may have been dispatched */
};

enum retry_action {
    RETRY_STOP,
    RETRY_REROUTE, /* to another instance; no attempt has reached a target */
    RETRY_REDIRECT_OWNER, /* to the owner that the reply named */
    RETRY_RESEND,         /* again, for one unit of the budget */
    RETRY_ASK_OWNER /* the owner again, for one unit: its record answers */
};

typedef struct retry_failure {
    enum retry_end end;
    enum reason reason; /* that the far node gave */
    bool idempotent;
    int budget;   /* extra attempts left */
    int reroutes; /* made so far */
    int64_t time_left_us;
} retry_failure;

enum retry_action retry_decide(const retry_failure *c);

#ifdef __cplusplus
}
#endif

#endif
