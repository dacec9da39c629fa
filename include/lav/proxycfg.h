/*
 * proxycfg: settings of a node's data path, read at start and at each reload: the
 * addresses that it listens at, its place, the target beside it, the store,
 * and the figures that the deployment fixes.  TOML with checked fields.
 */
#ifndef LAV_PROXYCFG_H
#define LAV_PROXYCFG_H

#include <stdint.h>

#include "lav/err.h"
#include "lav/nodecfg.h"
#include "lav/svc.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct proxycfg {
    char name[SVC_NAME_SIZE];
    char service[SVC_NAME_SIZE];
    char zone[SVC_NAME_SIZE];
    char callers[NODECFG_ADDRESS_SIZE]; /* callers and the target's calls */
    char peers[NODECFG_ADDRESS_SIZE];   /* other nodes */
    char
        peers_advertised[NODECFG_ADDRESS_SIZE]; /* where they reach it, if that
                                              * differs; empty: `peers` */
    char control[NODECFG_ADDRESS_SIZE];         /* the target's registration */
    char ready[NODECFG_ADDRESS_SIZE];           /* the readiness probe */
    char target[NODECFG_ADDRESS_SIZE];  /* the target beside the node */
    char store[NODECFG_ADDRESS_SIZE];   /* the platform's store */
    char metrics[NODECFG_ADDRESS_SIZE]; /* counters and histograms */
    int log_level;
    int64_t heartbeat_ms;  /* period of the target's registration */
    int64_t drain_ms;      /* a leaving target takes new work so long */
    int64_t stop_grace_ms; /* between the order to stop and the kill */
    double retry_ratio;    /* repeats for each request of a service */
    double retry_slack;    /* repeats beside, of all nodes together */
    int64_t retry_window_ms;
} proxycfg;

int proxycfg_parse(proxycfg *out, const char *text, const char *path, err *e);
int proxycfg_load(proxycfg *out, const char *path, err *e);

#ifdef __cplusplus
}
#endif

#endif
