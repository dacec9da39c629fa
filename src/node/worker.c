#include "worker.h"

#include "node.h"

/* Entry point of the thread. */
static void *
worker_main(void *payload)
{
    worker_thread *w = payload;
    w->body(w->payload);
    return NULL;
}

/* Starts the thread with NODE_THREAD_STACK_SIZE bytes of stack.  0 or
 * ERR_FULL. */
int
worker_start(worker_thread *w, worker_cb body, void *payload, err *e)
{
    pthread_attr_t attr;
    w->body = body;
    w->payload = payload;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, NODE_THREAD_STACK_SIZE);
    int error = pthread_create(&w->thread, &attr, worker_main, w);
    pthread_attr_destroy(&attr);
    if (error != 0) {
        return ERR_SET(e, ERR_FULL, "can't start a thread");
    }
    w->started = true;
    return 0;
}

/* Asks the thread to stop; does not wait. */
void
worker_request_stop(worker_thread *w)
{
    atomic_store(&w->stop_requested, true);
}

/* Whether the thread was asked to stop. */
bool
worker_stop_requested(worker_thread *w)
{
    return atomic_load(&w->stop_requested);
}

/* Asks the thread to stop and waits for it.  Does nothing more if it was
 * never started. */
void
worker_join(worker_thread *w)
{
    worker_request_stop(w);
    if (w->started) {
        pthread_join(w->thread, NULL);
        w->started = false;
    }
}
