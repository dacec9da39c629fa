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
    pthread_cond_t not_empty;
    size_t item_size;
    size_t capacity;
    size_t first; /* index of the oldest item */
    size_t count; /* items in the ring */
    bool closed;
    char *items;
};

/* Allocate a ring for `capacity` items of `item_size` bytes each; returns 0
 * or ERR_NO_MEMORY. */
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
    pthread_cond_init(&r->not_empty, &attr);
    pthread_condattr_destroy(&attr);
    pthread_mutex_init(&r->lock, NULL);
    r->item_size = item_size;
    r->capacity = capacity;
    *out = r;
    return 0;
}

/* Free a ring that no thread uses any more; `r` may be NULL. */
void
ring_free(ring *r)
{
    if (r == NULL) {
        return;
    }
    pthread_cond_destroy(&r->not_empty);
    pthread_mutex_destroy(&r->lock);
    free(r->items);
    free(r);
}

/* Append a copy of an item; returns 0, or ERR_FULL if the ring is full or
 * closed. */
int
ring_push(ring *r, const void *item)
{
    int result = ERR_FULL;
    pthread_mutex_lock(&r->lock);
    if (r->count < r->capacity && !r->closed) {
        size_t index = (r->first + r->count) % r->capacity;
        memcpy(r->items + index * r->item_size, item, r->item_size);
        r->count++;
        pthread_cond_signal(&r->not_empty);
        result = 0;
    }
    pthread_mutex_unlock(&r->lock);
    return result;
}

/* Remove the oldest item into `item`, waiting up to `timeout_us` for one.
 * Returns false on timeout, or if the ring is closed and empty. */
bool
ring_pop(void *item, ring *r, int64_t timeout_us)
{
    struct timespec deadline;
    clock_gettime(CLOCK_MONOTONIC, &deadline);
    deadline.tv_sec += timeout_us / CLOCK_US_PER_S;
    deadline.tv_nsec += (timeout_us % CLOCK_US_PER_S) * 1000;
    if (deadline.tv_nsec >= RING_NS_PER_S) {
        deadline.tv_sec++;
        deadline.tv_nsec -= RING_NS_PER_S;
    }
    bool found = false;
    pthread_mutex_lock(&r->lock);
    while (r->count == 0 && !r->closed && timeout_us > 0) {
        if (pthread_cond_timedwait(&r->not_empty, &r->lock, &deadline) ==
            ETIMEDOUT) {
            break;
        }
    }
    if (r->count > 0) {
        memcpy(item, r->items + r->first * r->item_size, r->item_size);
        r->first = (r->first + 1) % r->capacity;
        r->count--;
        found = true;
    }
    pthread_mutex_unlock(&r->lock);
    return found;
}

/* Close the ring: further pushes fail and all waiting threads wake up.  Items
 * already in it can still be popped. */
void
ring_close(ring *r)
{
    pthread_mutex_lock(&r->lock);
    r->closed = true;
    pthread_cond_broadcast(&r->not_empty);
    pthread_mutex_unlock(&r->lock);
}

/* Return the current number of items. */
size_t
ring_count(ring *r)
{
    pthread_mutex_lock(&r->lock);
    size_t count = r->count;
    pthread_mutex_unlock(&r->lock);
    return count;
}
