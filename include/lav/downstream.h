/*
 * downstream: the overload of the services below each route, as seen by the
 * node of the calling target.  It records which routes carry internal
 * requests, which routes depend on a downstream service, and the worst
 * overload downstream, which is reported upstream with each response.
 *
 * Meant for a deep service that slows down: the requests at the top make many
 * calls to it, and nearly all of them lose one.  A route depends on the routes
 * that its runs call, which is learned in calm; where that can't be told, its
 * failures under overload show it.
 */
#ifndef LAV_DOWNSTREAM_H
#define LAV_DOWNSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/call_demand.h"
#include "lav/call_rate.h"
#include "lav/origin.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Age beyond which a report on a route is ignored. */
#define DOWNSTREAM_REPORT_MAX_AGE_US 1000000

/* Weight of one report: instances differ. */
#define DOWNSTREAM_REPORT_WEIGHT 0.2

/* Share of "internal" classifications above which a route is internal. */
#define DOWNSTREAM_INTERNAL_SHARE_MIN 0.5

/* Share of failed runs above which failures are not incidental. */
#define DOWNSTREAM_FAILURE_SHARE_MIN 0.05

#define DOWNSTREAM_FAILURE_WEIGHT 0.05 /* of one run */

/* Demand per call served above which calls have to wait, and runs take longer
 * than usual. */
#define DOWNSTREAM_BUSY_FACTOR_MIN 0.95

/* Demand per call served above which a service is overloaded. */
#define DOWNSTREAM_OVERLOAD_FACTOR_MIN 1.02

/* Time that a detected dependency is remembered. */
#define DOWNSTREAM_DEPENDENCY_TTL_US 60000000

/* Share of failed runs of one route at which another route that is called here
 * as often, and doesn't fail, is seen not to depend on what the first calls. */
#define DOWNSTREAM_SPARED_FAILURE_SHARE_MIN 0.2
#define DOWNSTREAM_SPARED_RUNS_MIN 40 /* runs that must have ended */

/* An overloaded service, and by how much. */
typedef struct downstream_overload {
    uint32_t service; /* hash of its name; 0: none */
    double factor;    /* demand per call served */
    double cost_us;   /* slot time that a request of the route takes there */
} downstream_overload;

typedef struct downstream_table downstream_table;

int downstream_new(downstream_table **out);
void downstream_free(downstream_table *table);
void downstream_set_whole(downstream_table *table, bool whole);
void downstream_record_arrival(downstream_table *table, uint32_t route,
                               uint32_t origin, origin_share_cb node_share,
                               void *payload);
enum origin_kind downstream_route_origin(const downstream_table *table,
                                         uint32_t route);
void downstream_begin_run(downstream_table *table, uint32_t route,
                          double weight, int64_t now_us);
void downstream_end_run(downstream_table *table, uint32_t route,
                        int64_t now_us);
double downstream_run_us(const downstream_table *table, uint32_t route);
double downstream_record_call(downstream_table *table, uint32_t route,
                              int64_t now_us);
void downstream_record_end(downstream_table *table, uint32_t route,
                           bool failed, int64_t now_us);
void downstream_record_report(downstream_table *table, uint32_t route,
                              enum origin_kind origin,
                              const downstream_overload *chain_overload,
                              int64_t now_us);
bool downstream_makes_calls(downstream_table *table, uint32_t route,
                            int64_t now_us);
bool downstream_is_internal(const downstream_table *table, uint32_t route);
downstream_overload downstream_chain_overload(downstream_table *table,
                                              uint32_t route,
                                              const downstream_overload *own,
                                              int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
