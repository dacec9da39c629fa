#include "lav/call_outcome.h"

#include "lav/err.h"

/* Start without attempts; `first`: none was made elsewhere either. */
void
call_outcome_init(call_outcome *call, bool first)
{
    *call = (call_outcome){.first = first};
}

/* Add a pending attempt.  Returns its index, or ERR_FULL after
 * CALL_OUTCOME_ATTEMPTS_MAX. */
int
call_outcome_add_attempt(call_outcome *call)
{
    if (call->count == CALL_OUTCOME_ATTEMPTS_MAX) {
        return ERR_FULL;
    }
    call->refused_permanently = false;
    call->attempts[call->count] = CALL_OUTCOME_PENDING;
    return (int)call->count++;
}

/* Set the state of an attempt.  One that is done stays done, and a lost one
 * stays lost unless its response or a confirmed cancel still arrives. */
void
call_outcome_set_attempt(call_outcome *call, int attempt,
                         enum call_outcome_attempt state)
{
    enum call_outcome_attempt *current = &call->attempts[attempt];
    if (*current == CALL_OUTCOME_DONE) {
        return;
    }
    if (*current == CALL_OUTCOME_LOST && state != CALL_OUTCOME_DONE &&
        state != CALL_OUTCOME_CANCELLED) {
        return;
    }
    *current = state;
}

/* Note that the owner of the id has refused it permanently.  No other node can
 * dispatch an attempt of it, and the owner has not and never will. */
void
call_outcome_refuse_permanently(call_outcome *call)
{
    call->refused_permanently = true;
}

/* Whether an attempt in this state was not executed and never will be. */
static bool
call_outcome_attempt_not_run(enum call_outcome_attempt state)
{
    return state == CALL_OUTCOME_NOT_SENT || state == CALL_OUTCOME_REFUSED ||
           state == CALL_OUTCOME_CANCELLED;
}

/* Whether the owner's permanent refusal answered the last attempt and no
 * attempt is pending. */
static bool
call_outcome_is_refused_permanently(const call_outcome *call)
{
    if (!call->refused_permanently || call->count == 0) {
        return false;
    }
    for (size_t i = 0; i < call->count; i++) {
        if (call->attempts[i] == CALL_OUTCOME_PENDING) {
            return false;
        }
    }
    return call->attempts[call->count - 1] == CALL_OUTCOME_REFUSED;
}

/* Outcome to report to the caller now.  With a lost attempt it is unknown,
 * unless the owner has refused the id permanently, which covers copies that
 * arrive late as well. */
enum outcome
call_outcome_get(const call_outcome *call)
{
    bool none_ran = true;
    for (size_t i = 0; i < call->count; i++) {
        if (call->attempts[i] == CALL_OUTCOME_DONE) {
            return OUTCOME_DONE;
        }
        none_ran = none_ran && call_outcome_attempt_not_run(call->attempts[i]);
    }
    if (call_outcome_is_refused_permanently(call)) {
        return OUTCOME_NOT_RUN;
    }
    return none_ran && call->first ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
}
