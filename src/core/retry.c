#include "lav/retry.h"

#include "lav/clock.h"

/* Whether a refusal means that this instance can't take the call, rather than
 * that it can't now. */
static bool
retry_is_wrong_instance(enum reason reason)
{
    switch (reason) {
    case REASON_DRAINING:
    case REASON_TARGET_DOWN:
    case REASON_NO_CONFIG:
    case REASON_RING_FULL:
    case REASON_STOPPING:
    case REASON_NO_TARGET:
        return true;
    default:
        return false;
    }
}

/* Whether a refusal is for lack of a slot, which another instance may
 * have. */
static bool
retry_is_overload(enum reason reason)
{
    switch (reason) {
    case REASON_LEVEL_REFUSAL:
    case REASON_QUEUE_FULL:
    case REASON_QUEUE_DISPLACED:
    case REASON_QUEUE_TIMEOUT:
    case REASON_RATE_LIMITED:
        return true;
    default:
        return false;
    }
}

/* Whether the target itself stated that it has not run the request, and never
 * will. */
static bool
retry_is_target_refusal(enum reason reason)
{
    return reason == REASON_TARGET_SHED || reason == REASON_WRONG_TARGET;
}

/* Decides after a confirmed refusal, RETRY_END_REFUSED. */
static enum retry_action
retry_decide_refused(const retry_failure *failure)
{
    bool reroutes_left = failure->reroutes < RETRY_REROUTES_MAX;
    if (failure->reason == REASON_WRONG_OWNER) {
        return reroutes_left ? RETRY_REDIRECT_OWNER : RETRY_STOP;
    }
    if (retry_is_wrong_instance(failure->reason)) {
        return reroutes_left ? RETRY_REROUTE : RETRY_STOP;
    }
    if (retry_is_overload(failure->reason) && failure->idempotent &&
        failure->budget > 0) {
        return RETRY_RESEND;
    }
    if (retry_is_target_refusal(failure->reason) && failure->budget > 0) {
        return RETRY_RESEND;
    }
    return RETRY_STOP;
}

/* Decides after a refusal by a node that never sent the call to its target,
 * RETRY_END_NOT_FORWARDED. */
static enum retry_action
retry_decide_unreached(const retry_failure *failure)
{
    int reroutes_max = retry_is_overload(failure->reason)
                           ? RETRY_OVERLOAD_REROUTES_MAX
                           : RETRY_REROUTES_MAX;
    bool useful = retry_is_overload(failure->reason) ||
                  retry_is_wrong_instance(failure->reason);
    return useful && failure->reroutes < reroutes_max ? RETRY_REROUTE
                                                      : RETRY_STOP;
}

/* Whether the owner's deduplication record may still hold the response after
 * an attempt with an unknown outcome. */
static bool
retry_may_have_response(enum reason reason)
{
    switch (reason) {
    case REASON_IN_PROGRESS:
    case REASON_REPLY_LOST:
    case REASON_REPLY_MISMATCH:
        return true;
    default:
        return false;
    }
}

/* Decides what to do after an attempt has failed.  A call that is not
 * idempotent is only ever sent again to the node that keeps its deduplication
 * record. */
enum retry_action
retry_decide(const retry_failure *failure)
{
    if (failure->time_left_us < RETRY_TIME_LEFT_MIN_US) {
        return RETRY_STOP;
    }
    switch (failure->end) {
    case RETRY_END_NOT_SENT:
        return failure->reroutes < RETRY_REROUTES_MAX ? RETRY_REROUTE
                                                      : RETRY_STOP;
    case RETRY_END_NOT_FORWARDED:
        return retry_decide_unreached(failure);
    case RETRY_END_REFUSED:
        return retry_decide_refused(failure);
    case RETRY_END_UNKNOWN:
        if (failure->budget == 0) {
            return RETRY_STOP;
        }
        if (failure->idempotent) {
            return RETRY_RESEND;
        }
        return retry_may_have_response(failure->reason) ? RETRY_RESEND_TO_OWNER
                                                        : RETRY_STOP;
    }
    return RETRY_STOP;
}

/* Longest wait for a connection, in ms, of an attempt at the only instance that
 * may take its call, or at one of several.  Half of the time that is left stays
 * for the call, so that an attempt never sent is known to be that. */
int64_t
retry_connect_timeout_ms(bool sole_instance, int64_t time_left_us)
{
    int64_t half_ms = time_left_us / 2 / CLOCK_US_PER_MS;
    if (!sole_instance || half_ms < RETRY_CONNECT_TIMEOUT_MS) {
        return RETRY_CONNECT_TIMEOUT_MS;
    }
    return half_ms < RETRY_SOLE_CONNECT_TIMEOUT_MS
               ? half_ms
               : RETRY_SOLE_CONNECT_TIMEOUT_MS;
}
