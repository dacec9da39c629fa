/*
 * lvl: the levels that targets' nodes demand, as learned from their
 * replies, one for each operation and instance.  A caller's node refuses at
 * the top what every instance would refuse; a level that is not refreshed
 * rises back, so that a healed target is found again.
 */
#ifndef LAV_LVL_H
#define LAV_LVL_H

#include <stddef.h>
#include <stdint.h>

#include "lav/adm.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LVL_HOLD_US 200000     /* a level stands unchanged for 200 ms */
#define LVL_RECOVER_US 1000000 /* from nothing to everything in 1 s more */

typedef struct lvl lvl;

int lvl_new(lvl **out, size_t entries_max);
void lvl_free(lvl *l);
void lvl_note(lvl *l, const char *operation, uint64_t instance, int level,
              int64_t now_us);
int lvl_instance(const lvl *l, const char *operation, uint64_t instance,
                 int64_t now_us);
void lvl_forget_instance(lvl *l, uint64_t instance);

#ifdef __cplusplus
}
#endif

#endif
