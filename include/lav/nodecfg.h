/*
 * nodecfg: settings file of a node, read once at startup: name, service,
 * availability zone, addresses and ports, the platform's URL, the seeds of
 * the membership protocol, and limits.
 */
#ifndef LAV_NODECFG_H
#define LAV_NODECFG_H

#include <stdint.h>

#include "lav/err.h"
#include "lav/svc.h"
#include "lav/toml.h"

#ifdef __cplusplus
extern "C" {
#endif

#define NODECFG_ADDRESS_SIZE 48 /* bytes, with the closing NUL */
#define NODECFG_URL_SIZE 128    /* bytes, with the closing NUL */

typedef struct nodecfg {
    char name[SVC_NAME_SIZE];
    char service[SVC_NAME_SIZE];
    char zone[SVC_NAME_SIZE];
    char address[NODECFG_ADDRESS_SIZE];
    int64_t callers_port; /* HTTP: external requests, status, explain */
    int64_t target_port;  /* HTTP: the local target only */
    int64_t peer_port;    /* nng: calls between nodes */
    int64_t control_port; /* nng: cancels, gossip, configuration */
    int64_t advertised_peer_port;    /* as seen by peers; 0: peer_port */
    int64_t advertised_control_port; /* as seen by peers; 0: control_port */
    char platform_url[NODECFG_URL_SIZE];
    toml_strings seeds; /* "address:control_port" of peers */
    int log_level;
    int64_t calls_max;      /* external requests in flight */
    int64_t linger_ms;      /* grace period in which a stopping node serves */
    int64_t record_ids_max; /* request ids kept for deduplication */
    int64_t record_window_ms; /* how long each of them is kept */
} nodecfg;

int nodecfg_parse(nodecfg *out, const char *text, const char *path, err *e);
int nodecfg_load(nodecfg *out, const char *path, err *e);
int nodecfg_read_text_file(char **out, const char *path, size_t size_max,
                           err *e);

#ifdef __cplusplus
}
#endif

#endif
