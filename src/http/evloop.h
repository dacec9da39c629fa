/*
 * evloop: the event loop that carries all HTTP connections of a node.  Bytes
 * that handlers queue are written once, before the loop waits again, so
 * that a wake-up costs one write for each connection at most.
 */
#ifndef LAV_EVLOOP_H
#define LAV_EVLOOP_H

#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#define EVLOOP_READ_SIZE 65536 /* bytes of one read */
#define EVLOOP_TIMEOUT_SCAN_PERIOD_S                                          \
    0.1 /* how exactly connection timeouts are kept */

struct http_conn;

typedef struct evloop {
    struct ev_loop *loop;
    ev_prepare before_wait;
    ev_timer sweep;
    struct http_conn *all;    /* every open connection */
    struct http_conn *dirty;  /* those with bytes to write */
    struct http_conn *closed; /* to be freed at the end of this turn */
    size_t open;
    int64_t now_us; /* of this turn of the loop */
    char read_buffer[EVLOOP_READ_SIZE];
} evloop;

int evloop_new(evloop **out);
void evloop_free(evloop *l);
void evloop_update_now(evloop *l);

#endif
