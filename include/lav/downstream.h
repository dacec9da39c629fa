/*
 * downstream_table: what the calls below a route suffer, as the node beside the calling
 * target can tell it: which routes are calls of targets rather than of
 * outside callers, which routes fail when a service below is overloaded, and
 * the worst overload below.  It is handed up with each answer.
 *
 * Load pattern answered: a deep service slows and the requests at the top,
 * which make many calls down to it, nearly all lose one of them.
 */
#ifndef LAV_DOWNSTREAM_H
#define LAV_DOWNSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/origin.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DOWNSTREAM_REPORT_MAX_AGE_US                                          \
    1000000 /* 1 s; older news of a route is not used */
#define DOWNSTREAM_REPORT_WEIGHT                                              \
    0.2 /* weight of one answer: instances differ */
#define DOWNSTREAM_INTERNAL_SHARE_MIN                                         \
    0.5 /* more verdicts than this: inner calls */
#define DOWNSTREAM_FAILURE_SHARE_MIN                                          \
    0.05 /* share of failed runs that is no accident */
#define DOWNSTREAM_FAILURE_WEIGHT 0.05      /* weight of one run */
#define DOWNSTREAM_OVERLOAD_FACTOR_MIN 1.02 /* demand over what is served */
#define DOWNSTREAM_DEPENDENCY_TTL_US                                          \
    60000000 /* 60 s that a found dependence is kept */

/* An overloaded service, and by how much. */
typedef struct downstream_overload {
    uint32_t service; /* hash of its name; 0: none */
    double factor;    /* demand for each call served */
} downstream_overload;

typedef struct downstream_table downstream_table;

int downstream_new(downstream_table **out);
void downstream_free(downstream_table *c);
void downstream_record_arrival(downstream_table *c, uint32_t route,
                               uint32_t origin, origin_share_cb node_share,
                               void *payload);
enum origin_kind downstream_route_origin(const downstream_table *c,
                                         uint32_t route);
void downstream_record_end(downstream_table *c, uint32_t route, bool failed,
                           int64_t now_us);
void downstream_record_report(downstream_table *c, uint32_t route,
                              enum origin_kind origin,
                              const downstream_overload *chain_overload,
                              int64_t now_us);
bool downstream_is_internal(const downstream_table *c, uint32_t route);
downstream_overload downstream_chain_overload(const downstream_table *c,
                                              uint32_t route,
                                              const downstream_overload *own,
                                              int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
