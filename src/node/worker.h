/*
 * worker: a thread with a small stack that runs one loop until it is asked to
 * stop.
 */
#ifndef LAV_NODE_WORKER_H
#define LAV_NODE_WORKER_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "lav/err.h"

/* Body of a thread; must return soon after worker_stop_requested() is true. */
typedef void (*worker_cb)(void *payload);

typedef struct worker_thread {
    pthread_t thread;
    bool started;
    atomic_bool stop_requested;
    worker_cb body;
    void *payload;
} worker_thread;

int worker_start(worker_thread *w, worker_cb body, void *payload, err *e);
void worker_request_stop(worker_thread *w);
bool worker_stop_requested(worker_thread *w);
void worker_join(worker_thread *w);

#endif
