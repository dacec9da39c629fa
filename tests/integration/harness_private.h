/*
 * harness_private: what the parts of the harness share: the listener that
 * serves a port, all connections at the same time, reading and writing of
 * HTTP messages, and the two stand-ins.
 */
#ifndef LAV_HARNESS_PRIVATE_H
#define LAV_HARNESS_PRIVATE_H

#include <pthread.h>

#include "harness.h"

#define HARNESS_HEAD_SIZE_MAX 16384
#define HARNESS_HEALTH_PATH "/health"
#define HARNESS_REPORT_SIZE 256 /* of the lines that report a target's state */

/* A request as a stand-in has read it. */
typedef struct harness_request {
    char head[HARNESS_HEAD_SIZE_MAX];
    char method[16];
    char path[512];
    char *body; /* the reader's buffer of HARNESS_BODY_SIZE_MAX bytes */
    size_t length;
    int64_t arrived_us; /* monotonic time at which its head came whole */
} harness_request;

#define HARNESS_PORTS 8 /* of a node, by enum harness_port */

enum harness_port {
    HARNESS_CALLERS,
    HARNESS_PEERS,
    HARNESS_CONTROL,
    HARNESS_READY,
    HARNESS_TARGET,
    HARNESS_METRICS,
    HARNESS_PEERS_PROXY,
    HARNESS_STORE_PROXY
};

typedef struct harness_node {
    pid_t pid;
    bool started; /* before, which its settings tell it */
    int ports[HARNESS_PORTS];
    int target_fd;
    char service[32];
    char instance[64];
    long born;    /* start time that the target reports in heartbeats */
    int sequence; /* of the last heartbeat */
    fault_proxy *peers_proxy;
    fault_proxy *store_proxy;
} harness_node;

/* Serves one connection until it ends; `index` is that of harness_listen().
 * Does not close the descriptor. */
typedef void (*harness_serve_cb)(int fd, int index);

/* Guards the state of both stand-ins. */
extern pthread_mutex_t harness_lock;

extern harness_node harness_nodes[HARNESS_NODES_MAX];

int harness_listen(int port, int index, harness_serve_cb serve);
bool harness_read_request(harness_request *out, int fd);
bool harness_find_header(char *out, size_t size, const char *head,
                         const char *name);
void harness_write_response(int fd, int status, const char *headers,
                            const char *body, size_t length);
void harness_serve_store(int fd, int index);
int harness_add_waiting(const char *kind);
void harness_remove_waiting(int place);
void harness_count_stale_read(const char *kind);
int64_t harness_stale_age_us(void);
void harness_reset_stale_reads(void);
void harness_serve_target(int fd, int index);
void harness_store_reset(void);
void harness_target_reset(void);
void harness_health_reset(void);
void harness_held_reset(void);
void harness_hold(int node);
void harness_format_report_headers(char *out, size_t size, int node);
void harness_serve_health(int fd, const char *name, int node);
void harness_set_target_instance(int node, const char *instance);
bool harness_flood_runs(const char *name);
bool harness_send_flood(int fd, const char *name, const char *id);
int harness_connect_port(int port);
int harness_request_status(int port, const char *request);

#endif
