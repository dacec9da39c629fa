#include "evloop.h"

#include <stdlib.h>

#include "http_conn_private.h"
#include "lav/clock.h"
#include "lav/err.h"

/* Update now_us; every event handler calls this first. */
void
evloop_update_now(evloop *l)
{
    l->now_us = clock_now_us();
}

/* Free the connections closed during this iteration. */
static void
evloop_free_closed(evloop *l)
{
    while (l->closed != NULL) {
        struct http_conn *c = l->closed;
        l->closed = c->next;
        free(c);
    }
}

/* Flush the queued output before the loop waits. */
static void
evloop_on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    (void)loop;
    (void)events;
    evloop *l = watcher->data;
    evloop_update_now(l);
    while (l->dirty != NULL) {
        http_conn_flush(l->dirty);
    }
    evloop_free_closed(l);
}

/* Fail the connections whose deadline has passed or whose peer is dead. */
static void
evloop_on_timeout_scan(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    evloop *l = watcher->data;
    evloop_update_now(l);
    struct http_conn *next = NULL;
    for (struct http_conn *c = l->connections; c != NULL; c = next) {
        http_conn_ref(c);
        bool expired = c->deadline_us != 0 && l->now_us >= c->deadline_us;
        if (expired ||
            (c->connecting && l->now_us >= c->connect_deadline_us)) {
            c->deadline_us = 0;
            http_conn_fail(c, HTTP_CONN_TIMEOUT);
        }
        else if (http_conn_silence_check(c)) {
            http_conn_reset(c);
        }
        next = c->next; /* valid: a referenced connection stays listed */
        http_conn_unref(c);
    }
}

/* Create a loop on epoll; returns 0, ERR_NO_MEMORY or ERR_IO. */
int
evloop_new(evloop **out)
{
    evloop *l = calloc(1, sizeof(*l));
    if (l == NULL) {
        return ERR_NO_MEMORY;
    }
    l->loop = ev_loop_new(EVFLAG_NOENV | EVFLAG_NOTIMERFD | EVBACKEND_EPOLL);
    if (l->loop == NULL) {
        free(l);
        return ERR_IO;
    }
    evloop_update_now(l);
    ev_prepare_init(&l->flush_watcher, evloop_on_prepare);
    l->flush_watcher.data = l;
    ev_prepare_start(l->loop, &l->flush_watcher);
    ev_timer_init(&l->timeout_watcher, evloop_on_timeout_scan,
                  EVLOOP_TIMEOUT_SCAN_PERIOD_S, EVLOOP_TIMEOUT_SCAN_PERIOD_S);
    l->timeout_watcher.data = l;
    ev_timer_start(l->loop, &l->timeout_watcher);
    *out = l;
    return 0;
}

/* Close all connections and free the loop; `l` may be NULL. */
void
evloop_free(evloop *l)
{
    if (l == NULL) {
        return;
    }
    while (l->connections != NULL) {
        http_conn_close(l->connections);
    }
    evloop_free_closed(l);
    ev_loop_destroy(l->loop);
    free(l);
}
