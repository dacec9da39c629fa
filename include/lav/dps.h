/*
 * dps: settings of a node's data path, read at start and at each reload: the
 * addresses that it listens at, its place, the target beside it, the store,
 * and the figures that the deployment fixes.  TOML with checked fields.
 */
#ifndef LAV_DPS_H
#define LAV_DPS_H

#include <stdint.h>

#include "lav/err.h"
#include "lav/nst.h"
#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct dps {
    char name[SVC_NAME_SIZE];
    char service[SVC_NAME_SIZE];
    char zone[SVC_NAME_SIZE];
    char callers[NST_ADDRESS_SIZE]; /* callers and the target's calls */
    char peers[NST_ADDRESS_SIZE];   /* other nodes */
    char peers_advertised[NST_ADDRESS_SIZE]; /* where they reach it, if that
                                              * differs; empty: `peers` */
    char control[NST_ADDRESS_SIZE];          /* the target's registration */
    char ready[NST_ADDRESS_SIZE];            /* the readiness probe */
    char target[NST_ADDRESS_SIZE];           /* the target beside the node */
    char store[NST_ADDRESS_SIZE];            /* the platform's store */
    char metrics[NST_ADDRESS_SIZE];          /* counters and histograms */
    int log_level;
    int64_t heartbeat_ms; /* period of the target's registration */
    int64_t drain_ms;     /* a leaving target takes new work so long */
    int64_t stop_ms;      /* between the order to stop and the kill */
    double retry_ratio;   /* repeats for each request of a service */
    double retry_slack;   /* repeats beside, of all nodes together */
    int64_t retry_window_ms;
} dps;

int dps_parse(dps *out, const char *text, const char *path, err *e);
int dps_load(dps *out, const char *path, err *e);

#ifdef __cplusplus
}
#endif

#endif
