/*
 * shedder: load shedding of external requests before any work is done for
 * them.  Each overloaded service has an admission level, the share of the
 * requests leading to it that it can carry; the level follows the overload
 * that responses report.  The admitted share is filled by priority, with a
 * small part reserved for each priority.
 *
 * Without it, a burst that overloads the deepest service makes nearly every
 * request lose one of its calls.  With it the admitted requests complete, the
 * important ones first.
 */
#ifndef LAV_SHEDDER_H
#define LAV_SHEDDER_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/downstream.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time between changes of a level. */
#define SHEDDER_PERIOD_US 100000

/* Periods until a change shows in the reports: as long as a request takes to
 * reach the deepest call. */
#define SHEDDER_FEEDBACK_DELAY_PERIODS 3

#define SHEDDER_TARGET_FACTOR 1.1 /* demand per call served that is aimed at */
#define SHEDDER_GAIN 0.5 /* step towards the new level, as a fraction */

/* Largest increase over the past level: fully open again within a second. */
#define SHEDDER_RAISE_RATIO_MAX 2.0

/* Lowest level: some requests are always tried. */
#define SHEDDER_LEVEL_MIN 0.05

/* Fraction of the level reserved for each priority: one that gets less than
 * a quarter of the remainder starves. */
#define SHEDDER_PRIORITY_SHARE_MIN 0.4

#define SHEDDER_REPORT_WEIGHT 0.2 /* of one report in the moving average */

/* Age of the last report beyond which the level rises. */
#define SHEDDER_REPORT_MAX_AGE_US 1000000

#define SHEDDER_PRIORITIES_MAX 8 /* priorities told apart */
#define SHEDDER_SERVICES_MAX 32  /* overloaded at the same time */

typedef struct shedder_state shedder_state;

int shedder_new(shedder_state **out);
void shedder_free(shedder_state *state);
void shedder_record_report(shedder_state *state, uint32_t route,
                           const downstream_overload *chain_overload,
                           int64_t now_us);
bool shedder_admit(shedder_state *state, uint32_t route, int priority,
                   int64_t now_us);
double shedder_get_level(const shedder_state *state, uint32_t route);
uint32_t shedder_limiting_service(const shedder_state *state, uint32_t route);

#ifdef __cplusplus
}
#endif

#endif
