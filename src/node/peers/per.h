/*
 * per: attempts sent to the nodes of other targets, over nng's REQ with
 * its own resending switched off: an attempt is sent at most once, and what
 * became of it is told to the router.
 */
#ifndef LAV_NODE_PER_H
#define LAV_NODE_PER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lav/err.h"
#include "lav/msg.h"

#define PER_PEERS_MAX 512
#define PER_CONNECT_MS 60 /* an attempt waits so long for a connection */

enum per_result {
    PER_REPLY,    /* `reply` holds a decoded message, owned by the receiver */
    PER_NOT_SENT, /* it never left this node */
    PER_LOST      /* sent; the connection or the time ran out */
};

/* Told once for each attempt, from a thread of nng's. */
typedef void (*per_cb)(uint64_t nonce, enum per_result result, msg *reply,
                       void *payload);

typedef struct per per;

int per_new(per **out, size_t attempts_max, per_cb callback, void *payload,
            err *e);
void per_free(per *p);
int per_send(per *p, const char *address, uint16_t port, const msg *m,
             uint64_t nonce, int64_t wait_ms);

#endif
