/*
 * retry_ledger_table: the retry budget of a whole chain.  A root request carries a few
 * extra attempts.  A call that a target makes takes a share out of the
 * ledger of the call that the target serves; what the sub-call did not use
 * comes back with its reply, and a lost reply means that it was spent.  So
 * extra attempts anywhere below a root never exceed the root's budget.
 *
 * Promise: retries for one request are bounded across its entire chain.
 */
#ifndef LAV_RETRY_LEDGER_H
#define LAV_RETRY_LEDGER_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RETRY_BUCKET_CREDIT_TENTHS                                            \
    1 /* retries per ten successes of one caller */
#define RETRY_BUCKET_MAX_TENTHS                                               \
    200 /* tenths of a retry that can be saved up */
#define RETRY_BUCKET_START_TENTHS 100 /* tenths of a retry at start */
#define RETRY_BUCKET_COST_TENTHS                                              \
    10 /* tenths of a retry that one retry costs */

typedef struct retry_ledger_table retry_ledger_table;

int retry_ledger_new(retry_ledger_table **out, size_t ledgers_max);
void retry_ledger_free(retry_ledger_table *b);
int retry_ledger_open(retry_ledger_table *b, uint64_t token, int amount);
int retry_ledger_left(retry_ledger_table *b, uint64_t token);
int retry_ledger_take(retry_ledger_table *b, uint64_t token, int want);
void retry_ledger_repay(retry_ledger_table *b, uint64_t token, int granted,
                        int unused);
int retry_ledger_close(retry_ledger_table *b, uint64_t token);
int retry_ledger_share_of(int left, int calls_to_come);

/* Token bucket that bounds what the ledgers can't see: new requests that
 * are in truth a caller's retries of old ones. */
typedef struct retry_bucket {
    int tenths;
} retry_bucket;

void retry_bucket_credit(retry_bucket *bucket);
int retry_bucket_take(retry_bucket *bucket);

#ifdef __cplusplus
}
#endif

#endif
