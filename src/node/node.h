/*
 * node: the process that runs as a sidecar of each target.  The struct ties
 * its modules together.  A module with a thread owns its state and takes
 * events through a ring.
 *
 *   ingress       HTTP from callers and the local target (libmicrohttpd)
 *   router        routes calls to nodes, retries, answers callers
 *   rpc_client    connections to other nodes (nng)
 *   rpc_server    calls and control requests from other nodes (nng)
 *   admitter      admission control for the local target
 *   target_http   HTTP client of the local target
 *   control       cancellation, gossip and objects for other nodes
 *   gossip        probes members and spreads membership changes (nng)
 *   config_store  files of the configuration in force
 *   store_sync    platform: configuration, membership, owners of ids
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

#define NODE_SLOTS_MAX 512       /* most calls at the local target at a time */
#define NODE_PEER_CALLS_MAX 1024 /* most calls from nodes at a time */
#define NODE_DECISIONS_MAX 4096  /* in the decision log */
#define NODE_THREAD_STACK_SIZE (256 * 1024) /* bytes, of a worker thread */

/* Load and state that the threads share without a lock. */
typedef struct node_load {
    atomic_int callers;  /* external and internal calls not answered yet */
    atomic_int serving;  /* calls at the local target or queued for it */
    atomic_int limit;    /* concurrency limit of the target */
    atomic_int slots;    /* announced by the target */
    atomic_int level;    /* priority from which calls are refused */
    atomic_int ready;    /* the target is up */
    atomic_int draining; /* the target or the node is draining */
    atomic_int drained;  /* ... and no call is left at the target */
    atomic_int stopping; /* a planned stop of the node has begun */
    /* By operation of this node's service: lowest level of its callees. */
    atomic_int callee_levels[SVC_OPERATIONS_MAX];
    /* Ids from this Unix time on belong to other nodes; 0: not draining. */
    atomic_llong relinquished_ms;
} node_load;

typedef struct node {
    nodecfg settings;
    uint64_t incarnation;
    node_load load;
    snapshot *snapshot;
    served_call_table *served_calls;
    decision_log *decisions;
    struct pending_table *calls;
    struct ingress *ingress;
    struct router_state *router;
    struct rpc_server *call_server;
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
