/*
 * dispatch_table: what a target's node knows of each attempt that reached it: queued,
 * dispatched or cancelled.  A cancel that comes before dispatch is
 * confirmed and remembered, so that a copy that arrives later is not run.
 *
 * Promise: a refusal that reports "not run" is true.
 */
#ifndef LAV_DISPATCH_H
#define LAV_DISPATCH_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DISPATCH_TTL_US (120 * 1000000LL) /* two of the longest caller waits */
#define DISPATCH_AGE_MAX_MS 60000         /* an older copy is refused */

enum dispatch_arrival {
    DISPATCH_NEW,               /* to be queued */
    DISPATCH_DUPLICATE,         /* this attempt has been seen already */
    DISPATCH_ALREADY_CANCELLED, /* cancelled before it came */
    DISPATCH_TOO_OLD,           /* older than what is remembered */
    DISPATCH_TABLE_FULL         /* no room to remember it */
};

enum dispatch_cancel {
    DISPATCH_CANCEL_CONFIRMED, /* never dispatched, and never will be */
    DISPATCH_CANCEL_TOO_LATE,  /* too late: handed to the target */
    DISPATCH_CANCEL_UNCONFIRMED /* no room to remember it: nothing can be said */
};

typedef struct dispatch_table dispatch_table;

int dispatch_new(dispatch_table **out, size_t attempts_max);
void dispatch_free(dispatch_table *d);
enum dispatch_arrival dispatch_add(dispatch_table *d, uint64_t nonce,
                                   int64_t age_ms, int64_t now_us);
int dispatch_start(dispatch_table *d, uint64_t nonce);
void dispatch_mark_refused(dispatch_table *d, uint64_t nonce);
enum dispatch_cancel dispatch_cancel(dispatch_table *d, uint64_t nonce,
                                     int64_t now_us);
void dispatch_expire(dispatch_table *d, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
