/*
 * duty: a thread with a small stack that runs one loop until it is told to
 * end.
 */
#ifndef LAV_NODE_DUTY_H
#define LAV_NODE_DUTY_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "lav/err.h"

/* Body of a duty; returns once duty_ended() is true. */
typedef void (*duty_cb)(void *payload);

typedef struct duty {
    pthread_t thread;
    bool started;
    atomic_bool ended;
    duty_cb body;
    void *payload;
} duty;

int duty_start(duty *d, duty_cb body, void *payload, err *e);
void duty_end(duty *d);
bool duty_ended(duty *d);
void duty_join(duty *d);

#endif
