/*
 * node: one process beside each target.  The struct ties its duties
 * together; each duty owns its state and is spoken to through its ring.
 *
 *   inb  HTTP of callers and of the local target     (libmicrohttpd)
 *   rtr  routes calls to targets' nodes, retries, answers callers
 *   per  connections to the nodes of other targets   (nng)
 *   srv  calls and questions from other nodes        (nng)
 *   atr  admits calls to the local target
 *   dlv  hands calls to the local target             (neon)
 *   ctl  cancels, gossip and objects for other nodes (nng)
 *   gsp  probes members and tells the news           (nng)
 *   cfs  files of the configuration in force
 *   syn  platform: configuration, membership, owners of ids (neon)
 */
#ifndef LAV_NODE_H
#define LAV_NODE_H

#include <stdatomic.h>
#include <stdint.h>

#include "lav/nodecfg.h"
#include "lav/svc.h"
#include "tok.h"
#include "view.h"
#include "xpl.h"

#define NODE_SLOTS_MAX 512    /* calls at the local target */
#define NODE_RECEIVE_MAX 1024 /* calls of other nodes at a time */
#define NODE_DECISIONS_MAX 4096
#define NODE_STACK_SIZE (256 * 1024) /* bytes of a duty's stack */

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
    view *view;
    tok *tokens;
    xpl *decisions;
    struct cal *calls;
    struct inb *inbound;
    struct rtr *router;
    struct srv *receiver;
    struct atr *admitter;
    struct dlv *deliverer;
    struct ctl *control;
    struct gsp *gossip;
    struct cfs *configs;
    struct syn *sync;
} node;

int node_new(node **out, const nodecfg *settings, err *e);
void node_free(node *n);
int node_run(node *n);
void node_request_stop(void);

#endif
