/*
 * shedder: load shedding of external requests before any work is done for
 * them.  Each overloaded service has an admission level, the share of the
 * requests leading to it that it can carry, as its instances report it
 * (service_level).  The admitted share is filled by priority, with a small
 * part reserved for each priority, and divided among the workspaces of a
 * priority (fair_share).
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
#include "lav/fair_share.h"
#include "lav/service_level.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time between two divisions of a level among the priorities. */
#define SHEDDER_PERIOD_US 100000

/* Time constant with which the shares of the priorities among the requests
 * are averaged: at some nodes requests come seconds apart. */
#define SHEDDER_MIX_MEMORY_US 10000000

/* Fraction of the level reserved for each priority: one that gets less than
 * a quarter of the remainder starves. */
#define SHEDDER_PRIORITY_SHARE_MIN 0.4

/* Share of the recent reports that must name the service that limits a route,
 * where whole chains are admitted, and weight of one of them. */
#define SHEDDER_AGREED_MIN 0.25
#define SHEDDER_AGREED_WEIGHT 0.3

#define SHEDDER_COST_WEIGHT 0.2 /* of one report in the moving average */

/* Cost of a request whose cost is not known, 1 ms. */
#define SHEDDER_COST_MIN_US 1000.0

#define SHEDDER_PRIORITIES_MAX 8 /* priorities told apart */
#define SHEDDER_SERVICES_MAX 32  /* overloaded at the same time */

typedef struct shedder_state shedder_state;

int shedder_new(shedder_state **out, const service_level_table *levels,
                uint64_t seed);
void shedder_set_whole(shedder_state *state, bool whole);
void shedder_free(shedder_state *state);
void shedder_record_report(shedder_state *state, uint32_t route,
                           uint32_t runs_at,
                           const downstream_overload *chain_overload,
                           int64_t now_us);
bool shedder_admit(shedder_state *state, uint32_t route, int priority,
                   const workspace *from, int64_t now_us);
double shedder_get_share(const shedder_state *state, uint32_t route,
                         int priority);
service_level_report shedder_get_limit(const shedder_state *state,
                                       uint32_t route, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
