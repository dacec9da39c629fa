/*
 * call_outcome: the truth about one request as its router knows it.  Every attempt
 * moves through a small state machine, and the answer to the caller follows
 * from the attempts alone.
 *
 * Promise: a refusal that reports "not run" is true.
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
    CALL_OUTCOME_PENDING,  /* sent, or about to be */
    CALL_OUTCOME_NOT_SENT, /* never left this node */
    CALL_OUTCOME_REFUSED, /* the far node has not dispatched it, and never will */
    CALL_OUTCOME_CANCELLED, /* the far node confirmed a cancel before dispatch */
    CALL_OUTCOME_LOST,      /* sent, and no trustworthy answer */
    CALL_OUTCOME_DONE       /* complete answer of the target */
};

typedef struct call_outcome {
    bool first;   /* no earlier attempt of this request was made elsewhere */
    bool settled; /* the owner of the id has refused it for good */
    size_t count;
    enum call_outcome_attempt attempts[CALL_OUTCOME_ATTEMPTS_MAX];
} call_outcome;

void call_outcome_init(call_outcome *o, bool first);
int call_outcome_add_attempt(call_outcome *o);
void call_outcome_set_attempt(call_outcome *o, int attempt,
                              enum call_outcome_attempt state);
void call_outcome_refuse_for_good(call_outcome *o);
enum outcome call_outcome_get(const call_outcome *o);

#ifdef __cplusplus
}
#endif

#endif
