/* rig_slow: requesters that read their answers slowly. */
#ifndef REVIEW_RIG_SLOW_H
#define REVIEW_RIG_SLOW_H

#include <pthread.h>

#include "rig.h"

typedef struct rig_slow {
    /* Set by the case. */
    char id[32];
    long size; /* bytes of the answer's body */
    long bytes_per_s;
    bool kept;     /* the connection has carried another request before */
    int budget_ms; /* Lavenderfield-Deadline-Ms */
    /* What it saw. */
    pthread_t thread;
    int64_t sent_ms;
    int64_t ended_ms;
    char head[4096];
    long bytes; /* of the body */
    int status;
    char end[64];
} rig_slow;

void rig_slow_start(rig_slow *r);
bool rig_slow_was_cut(rig_slow *r);

#endif
