/*
 * bud: the retry budget of a whole chain.  A root request carries a few
 * extra attempts.  A call that a target makes takes a share out of the
 * ledger of the call that the target serves; what the sub-call did not use
 * comes back with its reply, and a lost reply means that it was spent.  So
 * extra attempts anywhere below a root never exceed the root's budget.
 *
 * Promise: retries for one request are bounded across its entire chain.
 */
#ifndef LAV_BUD_H
#define LAV_BUD_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BUD_RATIO_TENTHS 1   /* retries per ten successes of one caller */
#define BUD_BUCKET_MAX 200   /* tenths of a retry that can be saved up */
#define BUD_BUCKET_START 100 /* tenths of a retry at start */
#define BUD_TENTHS 10        /* tenths of a retry that one retry costs */

typedef struct bud bud;

int bud_new(bud **out, size_t ledgers_max);
void bud_free(bud *b);
int bud_open(bud *b, uint64_t token, int amount);
int bud_left(bud *b, uint64_t token);
int bud_take(bud *b, uint64_t token, int want);
void bud_settle(bud *b, uint64_t token, int granted, int unused);
int bud_close(bud *b, uint64_t token);
int bud_share(int left, int calls_to_come);

/* Token bucket that bounds what the ledgers can't see: new requests that
 * are in truth a caller's retries of old ones. */
typedef struct bud_bucket {
    int tenths;
} bud_bucket;

void bud_bucket_success(bud_bucket *bucket);
int bud_bucket_take(bud_bucket *bucket);

#ifdef __cplusplus
}
#endif

#endif
