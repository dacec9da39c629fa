/*
 * ingress: HTTP server (libmicrohttpd) with two listeners, one for callers and
 * one for the local target.  The connection of a call is suspended until the
 * router has its response.
 *
 *   ANY  /call/SERVICE/OPERATION[/...][?...]   both listeners
 *   POST /lav/target                           target: report of its state
 *   GET  /lav/status, /lav/explain?id=ID       callers
 *
 * Request headers: Lav-Request-Id, Lav-Attempt, Lav-Earlier (callers);
 * Lav-Context, Lav-Call-Key (target).  Response headers: Lav-Outcome,
 * Lav-Reason, Lav-Request-Id.
 */
#ifndef LAV_NODE_INGRESS_H
#define LAV_NODE_INGRESS_H

#include "pending.h"
#include "node.h"

typedef struct ingress ingress;

int ingress_new(ingress **out, node *n, pending_table *calls, err *e);
void ingress_free(ingress *server);
void ingress_stop_accepting(ingress *server);
void ingress_send_response(ingress *server, int handle);

#endif
