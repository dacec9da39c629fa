/*
 * retry_ledger: the retry budget of a whole chain of calls.  A root request
 * carries a few extra attempts.  A call made by a target takes a share out of
 * the ledger of the call that the target serves; the unused part returns with
 * the reply, and a lost reply counts the share as spent.  The extra attempts
 * below a root therefore never exceed the root's budget.
 *
 * Guarantee: the retries of one request are bounded across its entire chain
 * of calls.
 */
#ifndef LAV_RETRY_LEDGER_H
#define LAV_RETRY_LEDGER_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Token bucket of one caller, in tenths of a retry. */
#define RETRY_BUCKET_CREDIT_TENTHS 1  /* per successful call */
#define RETRY_BUCKET_MAX_TENTHS 200   /* capacity */
#define RETRY_BUCKET_START_TENTHS 100 /* content at start */
#define RETRY_BUCKET_COST_TENTHS 10   /* of one retry */

typedef struct retry_ledger_table retry_ledger_table;

int retry_ledger_new(retry_ledger_table **out, size_t ledgers_max);
void retry_ledger_free(retry_ledger_table *table);
int retry_ledger_open(retry_ledger_table *table, uint64_t token, int amount);
int retry_ledger_left(retry_ledger_table *table, uint64_t token);
int retry_ledger_take(retry_ledger_table *table, uint64_t token, int want);
void retry_ledger_settle(retry_ledger_table *table, uint64_t token,
                         int granted, int unused);
int retry_ledger_close(retry_ledger_table *table, uint64_t token);
int retry_ledger_share_of(int left, int calls_to_come);

/* Token bucket for what the ledgers can't see: new requests that are in fact
 * a caller's retries of earlier ones. */
typedef struct retry_bucket {
    int tenths;
} retry_bucket;

void retry_bucket_credit(retry_bucket *bucket);
int retry_bucket_take(retry_bucket *bucket);

#ifdef __cplusplus
}
#endif

#endif
