#include "lav/retry.h"

/* Refusals that say "not here", rather than "not now". */
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

/* Refusals for want of a slot, which another instance may have. */
static bool
retry_is_overload(enum reason reason)
{
    switch (reason) {
    case REASON_LEVEL_REFUSAL:
    case REASON_QUEUE_FULL:
    case REASON_QUEUE_DISPLACED:
    case REASON_QUEUE_TIMEOUT:
        return true;
    default:
        return false;
    }
}

/* The target itself said that it has not run the request, and won't. */
static bool
retry_is_target_refusal(enum reason reason)
{
    return reason == REASON_TARGET_SHED || reason == REASON_WRONG_TARGET;
}

static enum retry_action
retry_decide_refused(const retry_failure *c)
{
    bool free_left = c->reroutes < RETRY_REROUTES_MAX;
    if (c->reason == REASON_WRONG_OWNER) {
        return free_left ? RETRY_REDIRECT_OWNER : RETRY_STOP;
    }
    if (retry_is_wrong_instance(c->reason)) {
        return free_left ? RETRY_REROUTE : RETRY_STOP;
    }
    if (retry_is_overload(c->reason) && c->idempotent && c->budget > 0) {
        return RETRY_RESEND;
    }
    if (retry_is_target_refusal(c->reason) && c->budget > 0) {
        return RETRY_RESEND;
    }
    return RETRY_STOP;
}

static enum retry_action
retry_decide_unreached(const retry_failure *c)
{
    int most = retry_is_overload(c->reason) ? RETRY_OVERLOAD_REROUTES_MAX
                                            : RETRY_REROUTES_MAX;
    bool useful =
        retry_is_overload(c->reason) || retry_is_wrong_instance(c->reason);
    return useful && c->reroutes < most ? RETRY_REROUTE : RETRY_STOP;
}

/* Unknown answers after which the owner's record may still have one. */
static bool
retry_may_have_answer(enum reason reason)
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

/* Decide what to do after an attempt has failed.  A call that is not
 * idempotent is only ever sent again to the node that keeps its record. */
enum retry_action
retry_decide(const retry_failure *c)
{
    if (c->time_left_us < RETRY_TIME_LEFT_MIN_US) {
        return RETRY_STOP;
    }
    switch (c->end) {
    case RETRY_END_NOT_SENT:
        return c->reroutes < RETRY_REROUTES_MAX ? RETRY_REROUTE : RETRY_STOP;
    case RETRY_END_UNREACHED:
        return retry_decide_unreached(c);
    case RETRY_END_REFUSED:
        return retry_decide_refused(c);
    case RETRY_END_LOST:
        if (c->budget == 0) {
            return RETRY_STOP;
        }
        if (c->idempotent) {
            return RETRY_RESEND;
        }
        return retry_may_have_answer(c->reason) ? RETRY_ASK_OWNER : RETRY_STOP;
    }
    return RETRY_STOP;
}
