/*
 * nodecfg: settings of one node, read once at start: its addresses,
 * availability zone, service, platform and limits.
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
    int64_t callers_port;         /* HTTP, outside callers, status, explain */
    int64_t target_port;          /* HTTP, the local target only */
    int64_t peer_port;            /* nng, calls between nodes */
    int64_t control_port;         /* nng, cancel, gossip, configuration */
    int64_t advertised_peer_port; /* as others reach it; same if 0 */
    int64_t advertised_control_port; /* ditto */
    char platform_url[NODECFG_URL_SIZE];
    toml_strings seeds; /* "address:control_port" of peers */
    int log_level;
    int64_t calls_max;      /* calls in flight from callers */
    int64_t linger_ms;      /* a stopping node still serves so long */
    int64_t record_ids_max; /* ids kept for at-most-once execution */
    int64_t record_window_ms;
} nodecfg;

int nodecfg_parse(nodecfg *out, const char *text, const char *path, err *e);
int nodecfg_load(nodecfg *out, const char *path, err *e);
int nodecfg_read_text_file(char **out, const char *path, size_t size_max,
                           err *e);

#ifdef __cplusplus
}
#endif

#endif
