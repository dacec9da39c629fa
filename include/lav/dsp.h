/*
 * dsp: what a target's node knows of each attempt that reached it: queued,
 * dispatched or cancelled.  A cancel that comes before dispatch is
 * confirmed and remembered, so that a copy that arrives later is not run.
 *
 * Promise: a refusal that reports "not run" is true.
 */
#ifndef LAV_DSP_H
#define LAV_DSP_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DSP_KEEP_US (120 * 1000000LL) /* two of the longest caller waits */
#define DSP_AGE_MAX_MS 60000          /* an older copy is refused */

enum dsp_arrival {
    DSP_NEW,       /* to be queued */
    DSP_DUPLICATE, /* this attempt has been seen already */
    DSP_CANCELLED, /* cancelled before it came */
    DSP_TOO_OLD,   /* older than what is remembered */
    DSP_FULL       /* no room to remember it */
};

enum dsp_cancel {
    DSP_CONFIRMED,  /* never dispatched, and never will be */
    DSP_DISPATCHED, /* too late: handed to the target */
    DSP_UNCONFIRMED /* no room to remember it: nothing can be said */
};

typedef struct dsp dsp;

int dsp_new(dsp **out, size_t attempts_max);
void dsp_free(dsp *d);
enum dsp_arrival dsp_arrive(dsp *d, uint64_t nonce, int64_t age_ms,
                            int64_t now_us);
int dsp_dispatch(dsp *d, uint64_t nonce);
void dsp_refuse(dsp *d, uint64_t nonce);
enum dsp_cancel dsp_cancel(dsp *d, uint64_t nonce, int64_t now_us);
void dsp_expire(dsp *d, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
