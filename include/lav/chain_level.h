/*
 * chain_level: which share of the requests that make many calls to a service
 * can be admitted while its targets themselves refuse a part of the calls.
 * Each call must succeed in the end, so each needs its retries, and the budget
 * has retries for some of the requests only.
 *
 * Load pattern: a deep service that refuses half of all calls for seconds, with
 * free slots.  A request of eight calls then succeeds as good as never, however
 * many are admitted; its callers learn that after all the work above was done.
 */
#ifndef LAV_CHAIN_LEVEL_H
#define LAV_CHAIN_LEVEL_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/service_level.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Length of a window, and the calls that must have ended in it. */
#define CHAIN_LEVEL_WINDOW_US 100000
#define CHAIN_LEVEL_CALLS_MIN 8

#define CHAIN_LEVEL_WINDOW_WEIGHT 0.4 /* of the last window in the average */

/* Share of the retries that the budget allows which the calls are to need:
 * callers share them unevenly, and some are used for other failures. */
#define CHAIN_LEVEL_BUDGET_SHARE 0.4

/* Share of the calls refused up to which all chains are admitted: their calls
 * succeed with the retries of usual times. */
#define CHAIN_LEVEL_REFUSED_MIN 0.25

/* All zero: nothing observed. */
typedef struct chain_level_meter {
    int64_t since_us;     /* start of the window */
    int ended;            /* calls that ended in the window */
    int refused;          /* of them, refused or failed by the target */
    double refused_share; /* moving average */
} chain_level_meter;

uint32_t chain_level_key(uint32_t service);
void chain_level_count_end(chain_level_meter *meter, bool refused);
bool chain_level_close_window(chain_level_meter *meter, int64_t now_us);
double chain_level_factor(const chain_level_meter *meter, double retry_ratio);
double chain_level_get(const chain_level_meter *meter, double retry_ratio);

#ifdef __cplusplus
}
#endif

#endif
