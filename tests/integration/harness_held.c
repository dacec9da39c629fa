/* Requests that the targets hold until a test releases them. */
#include <string.h>

#include "harness_private.h"

#define HARNESS_HELD_POLL_MS 5
#define HARNESS_HELD_MS_MAX 20000 /* a request is not held for longer */

static int harness_held_counts[HARNESS_NODES_MAX]; /* requests ever held */
static int harness_released_counts[HARNESS_NODES_MAX];

/* Forget the requests that were held. */
void
harness_held_reset(void)
{
    memset(harness_held_counts, 0, sizeof(harness_held_counts));
    memset(harness_released_counts, 0, sizeof(harness_released_counts));
}

/* How many requests the target beside a node holds. */
int
harness_held_count(int node)
{
    pthread_mutex_lock(&harness_lock);
    int count = harness_held_counts[node] - harness_released_counts[node];
    pthread_mutex_unlock(&harness_lock);
    return count;
}

/* Let the target beside a node answer the request that it has held for
 * longest; has no effect if it holds none. */
void
harness_release_held(int node)
{
    pthread_mutex_lock(&harness_lock);
    if (harness_released_counts[node] < harness_held_counts[node]) {
        harness_released_counts[node]++;
    }
    pthread_mutex_unlock(&harness_lock);
}

/* Hold a request that came to the target beside a node until it is released,
 * or for HARNESS_HELD_MS_MAX. */
void
harness_hold(int node)
{
    pthread_mutex_lock(&harness_lock);
    int place = ++harness_held_counts[node];
    pthread_mutex_unlock(&harness_lock);
    bool released = false;
    for (int i = 0;
         i < HARNESS_HELD_MS_MAX / HARNESS_HELD_POLL_MS && !released; i++) {
        harness_sleep_ms(HARNESS_HELD_POLL_MS);
        pthread_mutex_lock(&harness_lock);
        released = harness_released_counts[node] >= place;
        pthread_mutex_unlock(&harness_lock);
    }
}
