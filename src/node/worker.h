/*
 * worker_thread: a thread with a small stack that runs one loop until it is told to
 * end.
 */
#ifndef LAV_NODE_WORKER_H
#define LAV_NODE_WORKER_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "lav/err.h"

/* Body of a worker_thread; returns once worker_stop_requested() is true. */
typedef void (*worker_cb)(void *payload);

typedef struct worker_thread {
    pthread_t thread;
    bool started;
    atomic_bool ended;
    worker_cb body;
    void *payload;
} worker_thread;

int worker_start(worker_thread *d, worker_cb body, void *payload, err *e);
void worker_request_stop(worker_thread *d);
bool worker_stop_requested(worker_thread *d);
void worker_join(worker_thread *d);

#endif
