/*
 * gat: which requests of outside callers are begun at all.  Each overloaded
 * service has a level, the share of the requests that lead to it which it
 * can carry; it follows what answers tell of the overload.  The share is
 * filled by priority, with a small part kept for each kind.
 *
 * Load pattern answered: a burst whose calls overload the deepest service.
 * Without it nearly every request loses one of its calls; with it those that
 * are begun are finished, the important ones first.
 */
#ifndef LAV_GAT_H
#define LAV_GAT_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/chn.h"

#ifdef __cplusplus
extern "C" {
#endif

#define GAT_PERIOD_US 100000 /* 0.1 s between changes of a level */
#define GAT_DELAY                                                             \
    3                      /* periods until a change shows in answers: as
                              * long as a request takes to the deepest call */
#define GAT_TARGET 1.1     /* demand for each call served, aimed at */
#define GAT_GAIN 0.5       /* of the way to the level that would do */
#define GAT_RAISE_MOST 2.0 /* of a past level: open again within a second */
#define GAT_LEAST 0.05     /* level: some requests are always tried */
#define GAT_FLOOR                                                             \
    0.4                      /* of the level, kept for each kind: a kind that
                              * gets under a quarter of the rest starves */
#define GAT_HEARD_STEP 0.2   /* weight of one answer's news */
#define GAT_STALE_US 1000000 /* 1 s without news: the level rises */
#define GAT_KINDS_MAX 8      /* priorities told apart */
#define GAT_SERVICES_MAX 32  /* overloaded at a time */

typedef struct gat gat;

int gat_new(gat **out);
void gat_free(gat *g);
void gat_heard(gat *g, uint32_t route, const chn_strain *strain,
               int64_t now_us);
bool gat_admit(gat *g, uint32_t route, int priority, int64_t now_us);
double gat_level_of(const gat *g, uint32_t route);
uint32_t gat_service_of(const gat *g, uint32_t route);

#ifdef __cplusplus
}
#endif

#endif
