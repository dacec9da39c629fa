#include "lav/ring.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "lav/clock.h"
#include "lav/err.h"

#define RING_NS_PER_S 1000000000L

struct ring {
    pthread_mutex_t lock;
    pthread_cond_t filled;
    size_t item_size;
    size_t capacity;
    size_t head;  /* index of the oldest item */
    size_t count; /* items in the ring */
    bool closed;
    char *items;
};

/* Make a ring of `capacity` items of `item_size` bytes. */
int
ring_new(ring **out, size_t item_size, size_t capacity)
{
    ring *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return ERR_NO_MEMORY;
    }
    r->items = calloc(capacity, item_size);
    if (r->items == NULL) {
        free(r);
        return ERR_NO_MEMORY;
    }
    pthread_condattr_t attr;
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&r->filled, &attr);
    pthread_condattr_destroy(&attr);
    pthread_mutex_init(&r->lock, NULL);
    r->item_size = item_size;
    r->capacity = capacity;
    *out = r;
    return 0;
}

/* Release a ring that no thread uses any more; takes NULL. */
void
ring_free(ring *r)
{
    if (r == NULL) {
        return;
    }
    pthread_cond_destroy(&r->filled);
    pthread_mutex_destroy(&r->lock);
    free(r->items);
    free(r);
}

/* Copy an item in; ERR_FULL where there is no room or the ring is closed. */
int
ring_push(ring *r, const void *item)
{
    int result = ERR_FULL;
    pthread_mutex_lock(&r->lock);
    if (r->count < r->capacity && !r->closed) {
        size_t index = (r->head + r->count) % r->capacity;
        memcpy(r->items + index * r->item_size, item, r->item_size);
        r->count++;
        pthread_cond_signal(&r->filled);
        result = 0;
    }
    pthread_mutex_unlock(&r->lock);
    return result;
}

/* Copy the oldest item out, waiting up to `wait_us`; false on a timeout
 * and on a ring that is closed and empty. */
bool
ring_pop(void *item, ring *r, int64_t wait_us)
{
    struct timespec until;
    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += wait_us / CLOCK_US_PER_S;
    until.tv_nsec += (wait_us % CLOCK_US_PER_S) * 1000;
    if (until.tv_nsec >= RING_NS_PER_S) {
        until.tv_sec++;
        until.tv_nsec -= RING_NS_PER_S;
    }
    bool found = false;
    pthread_mutex_lock(&r->lock);
    while (r->count == 0 && !r->closed && wait_us > 0) {
        if (pthread_cond_timedwait(&r->filled, &r->lock, &until) ==
            ETIMEDOUT) {
            break;
        }
    }
    if (r->count > 0) {
        memcpy(item, r->items + r->head * r->item_size, r->item_size);
        r->head = (r->head + 1) % r->capacity;
        r->count--;
        found = true;
    }
    pthread_mutex_unlock(&r->lock);
    return found;
}

/* Refuse further pushes and wake every waiting thread. */
void
ring_close(ring *r)
{
    pthread_mutex_lock(&r->lock);
    r->closed = true;
    pthread_cond_broadcast(&r->filled);
    pthread_mutex_unlock(&r->lock);
}

/* Items in the ring at this moment. */
size_t
ring_count(ring *r)
{
    pthread_mutex_lock(&r->lock);
    size_t count = r->count;
    pthread_mutex_unlock(&r->lock);
    return count;
}
