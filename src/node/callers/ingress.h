/*
 * ingress: HTTP in, by libmicrohttpd, at two addresses: one for callers, one
 * for the local target.  Calls are suspended while the router works.
 *
 *   ANY  /call/SERVICE/OPERATION[/...][?...]   both
 *   POST /lav/target                           the local target announces
 *   GET  /lav/status, /lav/explain?id=ID       callers' address
 *
 * Request headers: Lav-Request-Id, Lav-Attempt, Lav-Earlier (callers);
 * Lav-Context, Lav-Call-Key (the target).  Answer headers: Lav-Outcome, Lav-Reason,
 * Lav-Request-Id.
 */
#ifndef LAV_NODE_INGRESS_H
#define LAV_NODE_INGRESS_H

#include "pending.h"
#include "node.h"

typedef struct ingress ingress;

int ingress_new(ingress **out, node *n, pending_table *calls, err *e);
void ingress_free(ingress *i);
void ingress_stop_accepting(ingress *i);
void ingress_send_answer(ingress *i, int handle);

#endif
