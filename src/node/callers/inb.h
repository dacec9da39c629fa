/*
 * inb: HTTP in, by libmicrohttpd, at two addresses: one for callers, one
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
#ifndef LAV_NODE_INB_H
#define LAV_NODE_INB_H

#include "cal.h"
#include "node.h"

typedef struct inb inb;

int inb_new(inb **out, node *n, cal *calls, err *e);
void inb_free(inb *i);
void inb_quiesce(inb *i);
void inb_answer(inb *i, int handle);

#endif
