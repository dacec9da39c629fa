#include "lav/ocm.h"

#include "lav/err.h"

/* Start with no attempts. */
void
ocm_init(ocm *o, bool first)
{
    *o = (ocm){.first = first};
}

/* Begin an attempt; its index, or ERR_FULL after OCM_ATTEMPTS_MAX. */
int
ocm_begin(ocm *o)
{
    if (o->count == OCM_ATTEMPTS_MAX) {
        return ERR_FULL;
    }
    o->settled = false;
    o->attempts[o->count] = OCM_PENDING;
    return (int)o->count++;
}

/* Record what became of an attempt.  An attempt that is done stays done,
 * and one that was lost stays lost unless its answer or a confirmed cancel
 * comes after all. */
void
ocm_set(ocm *o, int attempt, enum ocm_attempt state)
{
    enum ocm_attempt *present = &o->attempts[attempt];
    if (*present == OCM_DONE) {
        return;
    }
    if (*present == OCM_LOST && state != OCM_DONE && state != OCM_CANCELLED) {
        return;
    }
    *present = state;
}

/* The owner of the id has refused it for good: it is the only node that
 * could dispatch any attempt of it, has not, and never will. */
void
ocm_settle(ocm *o)
{
    o->settled = true;
}

static bool
ocm_attempt_ran_not(enum ocm_attempt state)
{
    return state == OCM_NOT_SENT || state == OCM_REFUSED ||
           state == OCM_CANCELLED;
}

static bool
ocm_settled_refusal(const ocm *o)
{
    if (!o->settled || o->count == 0) {
        return false;
    }
    for (size_t i = 0; i < o->count; i++) {
        if (o->attempts[i] == OCM_PENDING) {
            return false;
        }
    }
    return o->attempts[o->count - 1] == OCM_REFUSED;
}

/* What may be said to the caller now.  A lost attempt is unknown, unless
 * the owner has refused the id for good, which covers late copies too. */
enum outcome
ocm_verdict(const ocm *o)
{
    bool none_ran = true;
    for (size_t i = 0; i < o->count; i++) {
        if (o->attempts[i] == OCM_DONE) {
            return OUTCOME_DONE;
        }
        none_ran = none_ran && ocm_attempt_ran_not(o->attempts[i]);
    }
    if (ocm_settled_refusal(o)) {
        return OUTCOME_NOT_RUN;
    }
    return none_ran && o->first ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
}
