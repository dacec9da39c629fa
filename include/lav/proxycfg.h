/*
 * proxycfg: settings file of a node's proxy (TOML), read at startup and at
 * each reload: name and zone, listen addresses, the local target, the
 * platform's store, timeouts, the retry budget, and admission.
 */
#ifndef LAV_PROXYCFG_H
#define LAV_PROXYCFG_H

#include <stdbool.h>
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
    char callers[NODECFG_ADDRESS_SIZE]; /* listener: callers and the target */
    char peers[NODECFG_ADDRESS_SIZE];   /* listener: other nodes */
    char peers_advertised[NODECFG_ADDRESS_SIZE]; /* `peers` as seen by other
                                                  * nodes; empty: the same */
    char control[NODECFG_ADDRESS_SIZE]; /* listener: the target's heartbeats */
    char ready[NODECFG_ADDRESS_SIZE];   /* listener: readiness probes */
    char target[NODECFG_ADDRESS_SIZE];  /* the local target */
    char store[NODECFG_ADDRESS_SIZE];   /* the platform's object store */
    char metrics[NODECFG_ADDRESS_SIZE]; /* listener: metrics; empty: none */
    int log_level;
    bool first_start;      /* the whole fleet starts for the first time */
    int64_t heartbeat_ms;  /* period of the target's heartbeats */
    int64_t drain_ms;      /* time for a leaving target to drain */
    int64_t stop_grace_ms; /* from the stop signal until the node is killed */
    double retry_ratio;    /* retries per request of a service */
    double retry_slack;    /* further retries, shared by all nodes */
    int64_t retry_window_ms; /* sliding window of the retry budget */
    bool whole_requests;     /* requests are admitted by what their chains need
                              * where a service takes mixed work */
} proxycfg;

int proxycfg_parse(proxycfg *out, const char *text, const char *path, err *e);
int proxycfg_load(proxycfg *out, const char *path, err *e);

#ifdef __cplusplus
}
#endif

#endif
