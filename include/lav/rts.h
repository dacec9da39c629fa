/*
 * rts: the set of routes of one version of the desired state.  The host and
 * the longest path prefix select a route; a route leads to one service, or
 * to several in the proportions of their weights.  A set is built once and
 * then only read, but for the turns that the weights take.
 */
#ifndef LAV_RTS_H
#define LAV_RTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

#define RTS_PARTS_MAX 8  /* services that one route leads to */
#define RTS_TEXT_MAX 512 /* bytes of a host or a prefix, with the NUL */

typedef struct rts_part {
    char service[SVC_NAME_SIZE];
    int weight;
    int64_t credit; /* turns saved up, smooth weighted round robin */
} rts_part;

typedef struct rts_route {
    char *host;
    char *prefix; /* begins and ends with a slash */
    size_t prefix_length;
    uint32_t key; /* hash of both; the same in each version */
    bool idempotent;
    int64_t timeout_us;   /* longest time that a caller is kept waiting */
    int64_t objective_us; /* an answer within it earns its full benefit */
    int priority;         /* 0 is the highest */
    int attempts_max;     /* targets that one request may be sent to */
    int part_count;
    rts_part parts[RTS_PARTS_MAX];
} rts_route;

typedef struct rts_limits {
    size_t header_bytes_max;
    int64_t body_bytes_max;
    int64_t header_timeout_us;
    int64_t idle_timeout_us;
} rts_limits;

typedef struct rts rts;

int rts_new(rts **out, uint64_t version, const rts_limits *limits);
void rts_free(rts *set);
int rts_add(rts *set, const rts_route *route);
int rts_set_health(rts *set, const char *service, const char *path);
const char *rts_health(const rts *set, const char *service);
void rts_seal(rts *set);
const rts_limits *rts_limits_of(const rts *set);
uint64_t rts_version(const rts *set);
size_t rts_count(const rts *set);
rts_route *rts_find(const rts *set, const char *host, size_t host_length,
                    const char *path, size_t path_length);
const char *rts_next_service(rts_route *route);

#ifdef __cplusplus
}
#endif

#endif
