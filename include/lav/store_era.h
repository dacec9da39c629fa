/*
 * store_era: which life of the store an answer belongs to.  A store that is
 * restored from a copy loses what it has acknowledged since and gives its
 * revisions out again; it then names a higher era.  What was read or written
 * in an earlier era says nothing about the present one.
 *
 * Load pattern: noted with each answer of the store.
 */
#ifndef LAV_STORE_ERA_H
#define LAV_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct store_era {
    bool known; /* an answer has named an era */
    uint64_t value;
} store_era;

enum store_era_order {
    STORE_ERA_PRESENT, /* the answer is of the era that is known */
    STORE_ERA_NEWER,   /* the store was restored before the answer */
    STORE_ERA_OLDER    /* the store was restored after the answer */
};

enum store_era_order store_era_note(store_era *era, bool named,
                                    uint64_t value);

#ifdef __cplusplus
}
#endif

#endif
