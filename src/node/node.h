/*
 * node: one process beside each target.  The struct ties its duties
 * together; each worker_thread owns its state and is spoken to through its ring.
 *
 *   ingress  HTTP of callers and of the local target     (libmicrohttpd)
 *   router_state  routes calls to targets' nodes, retries, answers callers
 *   rpc_client  connections to the nodes of other targets   (nng)
 *   rpc_server  calls and questions from other nodes        (nng)
 *   admitter_state  admits calls to the local target
 *   target_http  hands calls to the local target             (neon)
 *   control_server  cancels, gossip and objects for other nodes (nng)
 *   gossip_agent  probes members and tells the news           (nng)
 *   config_store  files of the configuration in force
 *   store_sync  platform: configuration, membership, owners of ids (neon)
 */
#ifndef LAV_NODE_H
#define LAV_NODE_H

#include <stdatomic.h>
#include <stdint.h>

#include "lav/nodecfg.h"
#include "lav/svc.h"
#include "served_call.h"
#include "snapshot.h"
#include "decision_log.h"

#define NODE_SLOTS_MAX 512       /* calls at the local target */
#define NODE_PEER_CALLS_MAX 1024 /* calls of other nodes at a time */
#define NODE_DECISIONS_MAX 4096
#define NODE_THREAD_STACK_SIZE                                                \
    (256 * 1024) /* bytes of a worker_thread's stack */

typedef struct node_load {
    atomic_int callers;  /* calls of callers without an answer */
    atomic_int serving;  /* calls at the local target or queued for it */
    atomic_int limit;    /* calls that the target may hold */
    atomic_int slots;    /* that the target announced */
    atomic_int level;    /* priority from which calls are refused */
    atomic_int ready;    /* the target is up and takes new work */
    atomic_int draining; /* the target or the node is leaving */
    atomic_int drained;  /* ... and nothing is left at the target */
    atomic_int stopping; /* a planned stop of the node has begun */
    atomic_int callee_levels[SVC_OPERATIONS_MAX]; /* of the own service */
    atomic_llong relinquished_ms; /* ids from here on belong to others */
} node_load;

typedef struct node {
    nodecfg settings;
    uint64_t incarnation;
    node_load load;
    snapshot *snapshot;
    served_call_table *served_calls;
    decision_log *decisions;
    struct pending_table *calls;
    struct ingress *caller_http;
    struct router_state *router;
    struct rpc_server *receiver;
    struct admitter_state *admitter;
    struct target_http *target_pool;
    struct control_server *control;
    struct gossip_agent *gossip;
    struct config_store *configs;
    struct store_sync *sync;
} node;

int node_new(node **out, const nodecfg *settings, err *e);
void node_free(node *n);
int node_run(node *n);
void node_request_stop(void);

#endif
