/*
 * ring: a bounded, thread-safe queue of fixed-size items.  Any thread may push
 * or pop; a push to a full ring fails at once instead of blocking.
 */
#ifndef LAV_RING_H
#define LAV_RING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct ring ring;

int ring_new(ring **out, size_t item_size, size_t capacity);
void ring_free(ring *r);
int ring_push(ring *r, const void *item);
bool ring_pop(void *item, ring *r, int64_t timeout_us);
void ring_close(ring *r);
size_t ring_count(ring *r);

#ifdef __cplusplus
}
#endif

#endif
