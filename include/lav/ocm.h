/*
 * ocm: the truth about one request as its router knows it.  Every attempt
 * moves through a small state machine, and the answer to the caller follows
 * from the attempts alone.
 *
 * Promise: a refusal that reports "not run" is true.
 */
#ifndef LAV_OCM_H
#define LAV_OCM_H

#include <stdbool.h>
#include <stddef.h>

#include "lav/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

#define OCM_ATTEMPTS_MAX 16

enum ocm_attempt {
    OCM_PENDING,   /* sent, or about to be */
    OCM_NOT_SENT,  /* never left this node */
    OCM_REFUSED,   /* the far node has not dispatched it, and never will */
    OCM_CANCELLED, /* the far node confirmed a cancel before dispatch */
    OCM_LOST,      /* sent, and no trustworthy answer */
    OCM_DONE       /* complete answer of the target */
};

typedef struct ocm {
    bool first;   /* no earlier attempt of this request was made elsewhere */
    bool settled; /* the owner of the id has refused it for good */
    size_t count;
    enum ocm_attempt attempts[OCM_ATTEMPTS_MAX];
} ocm;

void ocm_init(ocm *o, bool first);
int ocm_begin(ocm *o);
void ocm_set(ocm *o, int attempt, enum ocm_attempt state);
void ocm_settle(ocm *o);
enum outcome ocm_verdict(const ocm *o);

#ifdef __cplusplus
}
#endif

#endif
