/*
 * admission_cache: the levels that targets' nodes demand, as learned from their
 * replies, one for each operation and instance.  A caller's node refuses at
 * the top what every instance would refuse; a level that is not refreshed
 * rises back, so that a healed target is found again.
 */
#ifndef LAV_ADMISSION_CACHE_H
#define LAV_ADMISSION_CACHE_H

#include <stddef.h>
#include <stdint.h>

#include "lav/admission.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ADMISSION_CACHE_HOLD_US                                               \
    200000 /* a level stands unchanged for 200 ms */
#define ADMISSION_CACHE_RECOVERY_US                                           \
    1000000 /* from nothing to everything in 1 s more */

typedef struct admission_cache admission_cache;

int admission_cache_new(admission_cache **out, size_t entries_max);
void admission_cache_free(admission_cache *l);
void admission_cache_put(admission_cache *l, const char *operation,
                         uint64_t instance, int level, int64_t now_us);
int admission_cache_get(const admission_cache *l, const char *operation,
                        uint64_t instance, int64_t now_us);
void admission_cache_remove_instance(admission_cache *l, uint64_t instance);

#ifdef __cplusplus
}
#endif

#endif
