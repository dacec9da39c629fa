#include "worker.h"

#include "node.h"

static void *
worker_main(void *payload)
{
    worker_thread *d = payload;
    d->body(d->payload);
    return NULL;
}

/* Start the thread. */
int
worker_start(worker_thread *d, worker_cb body, void *payload, err *e)
{
    pthread_attr_t attr;
    d->body = body;
    d->payload = payload;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, NODE_THREAD_STACK_SIZE);
    int failed = pthread_create(&d->thread, &attr, worker_main, d);
    pthread_attr_destroy(&attr);
    if (failed != 0) {
        return ERR_SET(e, ERR_FULL, "no thread can be started");
    }
    d->started = true;
    return 0;
}

/* Ask the thread to end. */
void
worker_request_stop(worker_thread *d)
{
    atomic_store(&d->ended, true);
}

/* Whether the thread was asked to end. */
bool
worker_stop_requested(worker_thread *d)
{
    return atomic_load(&d->ended);
}

/* Ask the thread to end and wait until it has; takes one never started. */
void
worker_join(worker_thread *d)
{
    worker_request_stop(d);
    if (d->started) {
        pthread_join(d->thread, NULL);
        d->started = false;
    }
}
