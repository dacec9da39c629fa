#include "lav/call_outcome.h"

#include "lav/err.h"

/* Start with no attempts. */
void
call_outcome_init(call_outcome *o, bool first)
{
    *o = (call_outcome){.first = first};
}

/* Begin an attempt; its index, or ERR_FULL after CALL_OUTCOME_ATTEMPTS_MAX. */
int
call_outcome_add_attempt(call_outcome *o)
{
    if (o->count == CALL_OUTCOME_ATTEMPTS_MAX) {
        return ERR_FULL;
    }
    o->settled = false;
    o->attempts[o->count] = CALL_OUTCOME_PENDING;
    return (int)o->count++;
}

/* Record what became of an attempt.  An attempt that is done stays done,
 * and one that was lost stays lost unless its answer or a confirmed cancel
 * comes after all. */
void
call_outcome_set_attempt(call_outcome *o, int attempt,
                         enum call_outcome_attempt state)
{
    enum call_outcome_attempt *present = &o->attempts[attempt];
    if (*present == CALL_OUTCOME_DONE) {
        return;
    }
    if (*present == CALL_OUTCOME_LOST && state != CALL_OUTCOME_DONE &&
        state != CALL_OUTCOME_CANCELLED) {
        return;
    }
    *present = state;
}

/* The owner of the id has refused it for good: it is the only node that
 * could dispatch any attempt of it, has not, and never will. */
void
call_outcome_refuse_for_good(call_outcome *o)
{
    o->settled = true;
}

static bool
call_outcome_attempt_not_run(enum call_outcome_attempt state)
{
    return state == CALL_OUTCOME_NOT_SENT || state == CALL_OUTCOME_REFUSED ||
           state == CALL_OUTCOME_CANCELLED;
}

static bool
call_outcome_is_refused_for_good(const call_outcome *o)
{
    if (!o->settled || o->count == 0) {
        return false;
    }
    for (size_t i = 0; i < o->count; i++) {
        if (o->attempts[i] == CALL_OUTCOME_PENDING) {
            return false;
        }
    }
    return o->attempts[o->count - 1] == CALL_OUTCOME_REFUSED;
}

/* What may be said to the caller now.  A lost attempt is unknown, unless
 * the owner has refused the id for good, which covers late copies too. */
enum outcome
call_outcome_get(const call_outcome *o)
{
    bool none_ran = true;
    for (size_t i = 0; i < o->count; i++) {
        if (o->attempts[i] == CALL_OUTCOME_DONE) {
            return OUTCOME_DONE;
        }
        none_ran = none_ran && call_outcome_attempt_not_run(o->attempts[i]);
    }
    if (call_outcome_is_refused_for_good(o)) {
        return OUTCOME_NOT_RUN;
    }
    return none_ran && o->first ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
}
