/*
 * harness: runs a deployment of lav-platform-node for the platform's tests.
 * The store and the targets are stand-ins in this process, which serve all
 * connections at the same time; the nodes are separate processes.  Node N has
 * target N beside it.
 */
#ifndef LAV_HARNESS_H
#define LAV_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "fault_proxy.h"

#define HARNESS_NODES_MAX 256
#define HARNESS_BODY_SIZE_MAX (4 * 1024 * 1024)

/* What the store does with a request. */
enum harness_store_mode {
    HARNESS_STORE_UP,
    HARNESS_STORE_UNAVAILABLE, /* responds 503 and changes nothing */
    HARNESS_STORE_HANGS,       /* reads the request and never responds */
    HARNESS_STORE_LOSES_REPLY, /* applies a write and closes the connection */
    HARNESS_STORE_MIXES_UP     /* answers a write with an earlier poll's 200
                                * and changes nothing */
};

/* Health status of a target that answers with bytes without end. */
#define HARNESS_HEALTH_FLOOD (-1)

typedef struct harness_response {
    int status; /* 0: the connection ended before a complete head */
    char head[4096];
    char *body; /* owned */
    size_t length;
    bool complete; /* the body has the length that the head declares */
} harness_response;

/* Options of a deployment; all zero for the defaults. */
typedef struct harness_options {
    int drain_ms;      /* drain time of a target; 0: 400 */
    int grace_ms;      /* grace time of a node that stops; 0: 5000 */
    const char *clock; /* preloaded library that shifts the nodes' wall clock,
                        * see harness_set_clock_offset(); NULL: none */
    bool proxied; /* fault proxies in front of the nodes' peer ports and, one
                   * for each node, of the store */
} harness_options;

void harness_start(int nodes, const char *const *services);
void harness_start_with(int nodes, const char *const *services,
                        const harness_options *opts);
int harness_proxied_node_count(void);
fault_proxy *harness_get_peers_proxy(int node);
fault_proxy *harness_get_store_proxy(int node);
bool harness_node_is_running(int node);
const char *harness_log_dir(void);
void harness_stop(void);
void harness_set_store_mode(enum harness_store_mode mode);
int harness_store_write_count(void);
int harness_store_read_count(void);
int harness_store_waiting_count(const char *kind);
void harness_set_store_stale_ms(int stale_ms);
int harness_store_stale_read_count(const char *kind);
void harness_store_put(const char *kind, const char *name, const char *spec);
void harness_store_put_raw(const char *kind, const char *name,
                           const char *text);
void harness_store_put_raw_spec(const char *kind, const char *name,
                                const char *text);
void harness_store_lose_polls(const char *kind);
void harness_store_copy(void);
void harness_store_restore(void);
void harness_store_name_era(bool named);
bool harness_store_contains(const char *kind, const char *name);
bool harness_store_spec_contains(const char *kind, const char *name,
                                 const char *text);
void harness_publish_desired(int version, const char *routes);
void harness_publish_workspaces(int version, const char *routes,
                                const char *workspaces);
void harness_start_node(int node);
void harness_set_clock_offset(int node, int64_t ahead_ms);
void harness_signal_node(int node, int signal_number);
int harness_wait_node_exit(int node);
void harness_set_target_refusing(int node, bool refuse);
void harness_set_target_health(int node, int status, const char *load);
void harness_set_target_headers(int node, const char *lines);
int harness_held_count(int node);
void harness_release_held(int node);
int harness_send_heartbeat(int node, const char *state, int sequence);
int harness_send_heartbeat_body(int node, const char *instance,
                                const char *text);
void harness_format_heartbeat(char *out, size_t size, int node,
                              const char *state, int sequence);
int harness_deregister(int node, const char *instance);
int harness_deregister_target(int node);
void harness_replace_instance(int node, const char *instance);
void harness_replace_instance_clock_back(int node, const char *instance);
bool harness_wait_ready(int node);
int harness_ready_status(int node);
int harness_callers_port(int node);
int harness_metrics_port(int node);
void harness_http_get(harness_response *out, int port, const char *path);
int harness_peers_port(int node);
void harness_rewrite_settings(int node);
int harness_log_count(int node, const char *text);
bool harness_log_contains(int node, const char *text);
long harness_node_peak_kb(int node);

int harness_connect(int node);
void harness_send(int fd, const char *bytes, size_t length);
void harness_read_response(harness_response *out, int fd);
void harness_free_response(harness_response *response);
int harness_start_call(int node, const char *method, const char *path,
                       const char *id);
void harness_call(harness_response *out, int node, const char *method,
                  const char *path, const char *id, const char *body,
                  size_t length);

/* What the targets recorded of a request: how often it was executed, when its
 * first run arrived (monotonic; 0: never) and how often it arrived, the node beside the target where it arrived last (-1 when
 * it never did), whether its connection was closed while it ran, and the head
 * and the size of the body as a target last received them. */
int harness_run_count(const char *id);
int64_t harness_first_run_us(const char *id);
int harness_arrival_count(const char *id);
int harness_last_run_node(const char *id);
bool harness_was_disconnected(const char *id);
const char *harness_received_head(const char *id);
size_t harness_received_body_size(const char *id);

void harness_set_fault_permille(int permille);
void harness_set_target_close_time(int node, int64_t at_us);
int harness_target_connection_count(int node);
int harness_late_arrival_count(void);
int harness_node_arrival_count(int node);
int harness_total_arrival_count(int *repeats);
int harness_named_arrival_count(int *keys);

/* Poll a condition for up to 10 s; evaluates to whether it became true. */
#define HARNESS_WAIT_FOR(condition)                                           \
    ({                                                                        \
        int harness_tries = 0;                                                \
        while (!(condition) && harness_tries++ < 1000) {                      \
            harness_sleep_ms(10);                                             \
        }                                                                     \
        (condition);                                                          \
    })
void harness_sleep_ms(int ms);

#endif
