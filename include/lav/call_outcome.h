/*
 * call_outcome: the outcome of one request at its router.  Each attempt is a
 * small state machine, and the outcome reported to the caller is derived from
 * the states of the attempts alone.
 *
 * Guarantee: a refusal that reports "not run" is true.
 */
#ifndef LAV_CALL_OUTCOME_H
#define LAV_CALL_OUTCOME_H

#include <stdbool.h>
#include <stddef.h>

#include "lav/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CALL_OUTCOME_ATTEMPTS_MAX 16

enum call_outcome_attempt {
    CALL_OUTCOME_PENDING,   /* sent, or about to be sent */
    CALL_OUTCOME_NOT_SENT,  /* never left this node */
    CALL_OUTCOME_REFUSED,   /* not dispatched, and never will be */
    CALL_OUTCOME_CANCELLED, /* cancel confirmed before dispatch */
    CALL_OUTCOME_LOST,      /* sent, without a valid reply */
    CALL_OUTCOME_DONE       /* complete response of the target */
};

typedef struct call_outcome {
    bool first; /* no earlier attempt of this request was made elsewhere */
    bool refused_permanently; /* by the owner of the id */
    size_t count;
    enum call_outcome_attempt attempts[CALL_OUTCOME_ATTEMPTS_MAX];
} call_outcome;

void call_outcome_init(call_outcome *call, bool first);
int call_outcome_add_attempt(call_outcome *call);
void call_outcome_set_attempt(call_outcome *call, int attempt,
                              enum call_outcome_attempt state);
void call_outcome_refuse_permanently(call_outcome *call);
enum outcome call_outcome_get(const call_outcome *call);

#ifdef __cplusplus
}
#endif

#endif
