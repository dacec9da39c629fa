/*
 * evloop: the event loop that drives all HTTP connections of a node.  Output
 * that handlers queue is written once per iteration, before the loop waits
 * again, so that each connection needs at most one write per wake-up.  It also
 * enforces the timeouts of the connections.
 */
#ifndef LAV_EVLOOP_H
#define LAV_EVLOOP_H

#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#define EVLOOP_READ_SIZE 65536 /* bytes; most that one read takes */

/* Seconds between two scans for expired timeouts, and so the most by which a
 * timeout of a connection is late. */
#define EVLOOP_TIMEOUT_SCAN_PERIOD_S 0.1

struct http_conn;

typedef struct evloop {
    struct ev_loop *loop;
    ev_prepare flush_watcher;
    ev_timer timeout_watcher;
    struct http_conn *connections; /* all open connections */
    struct http_conn *dirty;       /* connections with output to flush */
    struct http_conn *closed; /* to be freed at the end of the iteration */
    size_t open;              /* number of open connections */
    size_t head_bytes;        /* of requests whose heads are incomplete */
    int64_t now_us; /* clock_now_us() at the start of the current handler */
    char read_buffer[EVLOOP_READ_SIZE];
} evloop;

int evloop_new(evloop **out);
void evloop_free(evloop *l);
void evloop_update_now(evloop *l);

#endif
