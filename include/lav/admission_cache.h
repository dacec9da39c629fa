/*
 * admission_cache: the admission levels that targets' nodes report in their
 * replies, one per operation and instance.  A caller's node refuses early what
 * every instance would refuse.  A level that is not refreshed rises again, so
 * that a target that has recovered gets calls.
 */
#ifndef LAV_ADMISSION_CACHE_H
#define LAV_ADMISSION_CACHE_H

#include <stddef.h>
#include <stdint.h>

#include "lav/admission.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A level stays unchanged for 200 ms after the reply. */
#define ADMISSION_CACHE_HOLD_US 200000

/* After that it takes 1 s to rise from admitting nothing to everything. */
#define ADMISSION_CACHE_RECOVERY_US 1000000

typedef struct admission_cache admission_cache;

int admission_cache_new(admission_cache **out, size_t entries_max);
void admission_cache_free(admission_cache *cache);
void admission_cache_put(admission_cache *cache, const char *operation,
                         uint64_t instance, int level, int64_t now_us);
int admission_cache_get(const admission_cache *cache, const char *operation,
                        uint64_t instance, int64_t now_us);
void admission_cache_remove_instance(admission_cache *cache,
                                     uint64_t instance);

#ifdef __cplusplus
}
#endif

#endif
