/*
 * shedder_state: which requests of outside callers are begun at all.  Each overloaded
 * service has a level, the share of the requests that lead to it which it
 * can carry; it follows what answers tell of the overload.  The share is
 * filled by priority, with a small part kept for each kind.
 *
 * Load pattern answered: a burst whose calls overload the deepest service.
 * Without it nearly every request loses one of its calls; with it those that
 * are begun are finished, the important ones first.
 */
#ifndef LAV_SHEDDER_H
#define LAV_SHEDDER_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/downstream.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SHEDDER_PERIOD_US 100000 /* 0.1 s between changes of a level */
#define SHEDDER_FEEDBACK_DELAY_PERIODS                                        \
    3 /* periods until a change shows in answers: as
                              * long as a request takes to the deepest call */
#define SHEDDER_TARGET_FACTOR 1.1 /* demand for each call served, aimed at */
#define SHEDDER_GAIN 0.5          /* of the way to the level that would do */
#define SHEDDER_RAISE_RATIO_MAX                                               \
    2.0 /* of a past level: open again within a second */
#define SHEDDER_LEVEL_MIN 0.05 /* level: some requests are always tried */
#define SHEDDER_KIND_SHARE_MIN                                                \
    0.4 /* of the level, kept for each kind: a kind that
                              * gets under a quarter of the rest starves */
#define SHEDDER_REPORT_WEIGHT 0.2 /* weight of one answer's news */
#define SHEDDER_REPORT_MAX_AGE_US                                             \
    1000000                     /* 1 s without news: the level rises */
#define SHEDDER_KINDS_MAX 8     /* priorities told apart */
#define SHEDDER_SERVICES_MAX 32 /* overloaded at a time */

typedef struct shedder_state shedder_state;

int shedder_new(shedder_state **out);
void shedder_free(shedder_state *g);
void shedder_record_report(shedder_state *g, uint32_t route,
                           const downstream_overload *chain_overload,
                           int64_t now_us);
bool shedder_admit(shedder_state *g, uint32_t route, int priority,
                   int64_t now_us);
double shedder_get_level(const shedder_state *g, uint32_t route);
uint32_t shedder_limiting_service(const shedder_state *g, uint32_t route);

#ifdef __cplusplus
}
#endif

#endif
