/*
 * dispatch: the state of each attempt at a target's node: queued, dispatched
 * or cancelled.  A cancel that arrives before dispatch is confirmed and
 * remembered, so that a copy that arrives later is not executed.
 *
 * Guarantee: a refusal that reports "not run" is true.
 */
#ifndef LAV_DISPATCH_H
#define LAV_DISPATCH_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Attempts are remembered for 120 s, twice the longest wait of a caller. */
#define DISPATCH_TTL_US (120 * 1000000LL)

/* A copy that was sent more than 60 s ago is refused: an earlier copy of it
 * may no longer be remembered. */
#define DISPATCH_AGE_MAX_MS 60000

enum dispatch_arrival {
    DISPATCH_NEW,               /* first copy; queue it */
    DISPATCH_DUPLICATE,         /* a copy has arrived before */
    DISPATCH_ALREADY_CANCELLED, /* cancelled or refused before */
    DISPATCH_TOO_OLD,           /* sent more than DISPATCH_AGE_MAX_MS ago */
    DISPATCH_TABLE_FULL         /* the table has no free entry */
};

enum dispatch_cancel {
    DISPATCH_CANCEL_CONFIRMED,  /* not dispatched, and never will be */
    DISPATCH_CANCEL_TOO_LATE,   /* already handed to the target */
    DISPATCH_CANCEL_UNCONFIRMED /* unknown attempt, and the table is full */
};

typedef struct dispatch_table dispatch_table;

int dispatch_new(dispatch_table **out, size_t attempts_max);
void dispatch_free(dispatch_table *table);
enum dispatch_arrival dispatch_add(dispatch_table *table, uint64_t nonce,
                                   int64_t age_ms, int64_t now_us);
int dispatch_start(dispatch_table *table, uint64_t nonce);
void dispatch_mark_refused(dispatch_table *table, uint64_t nonce);
enum dispatch_cancel dispatch_cancel(dispatch_table *table, uint64_t nonce,
                                     int64_t now_us);
void dispatch_expire(dispatch_table *table, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
