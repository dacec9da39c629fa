#include "duty.h"

#include "node.h"

static void *
duty_main(void *payload)
{
    duty *d = payload;
    d->body(d->payload);
    return NULL;
}

/* Start the thread. */
int
duty_start(duty *d, duty_cb body, void *payload, err *e)
{
    pthread_attr_t attr;
    d->body = body;
    d->payload = payload;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, NODE_STACK_SIZE);
    int failed = pthread_create(&d->thread, &attr, duty_main, d);
    pthread_attr_destroy(&attr);
    if (failed != 0) {
        return ERR_SET(e, ERR_FULL, "no thread can be started");
    }
    d->started = true;
    return 0;
}

/* Ask the thread to end. */
void
duty_end(duty *d)
{
    atomic_store(&d->ended, true);
}

/* Whether the thread was asked to end. */
bool
duty_ended(duty *d)
{
    return atomic_load(&d->ended);
}

/* Ask the thread to end and wait until it has; takes one never started. */
void
duty_join(duty *d)
{
    duty_end(d);
    if (d->started) {
        pthread_join(d->thread, NULL);
        d->started = false;
    }
}
