/*
 * srv: a server of nng's REP protocol with a bounded number of requests at
 * a time.  Each request is decoded and handed on with its slot; the answer
 * goes back through the slot, later and from any thread.
 */
#ifndef LAV_NODE_SRV_H
#define LAV_NODE_SRV_H

#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"
#include "lav/msg.h"

/* Takes the message over; must lead to one srv_answer() for the slot. */
typedef void (*srv_cb)(int slot, msg *request, void *payload);

typedef struct srv srv;

int srv_new(srv **out, const char *address, int64_t port, size_t slots,
            srv_cb callback, void *payload, err *e);
void srv_free(srv *s);
void srv_answer(srv *s, int slot, const msg *answer);

#endif
