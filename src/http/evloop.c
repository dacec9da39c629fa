#include "evloop.h"

#include <stdlib.h>

#include "http_conn_private.h"
#include "lav/clock.h"
#include "lav/err.h"

/* Take the time of this turn; called first in each handler. */
void
evloop_update_now(evloop *l)
{
    l->now_us = clock_now_us();
}

static void
evloop_free_closed(evloop *l)
{
    while (l->closed != NULL) {
        struct http_conn *c = l->closed;
        l->closed = c->next;
        free(c);
    }
}

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

static void
evloop_on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    evloop *l = watcher->data;
    evloop_update_now(l);
    struct http_conn *next = NULL;
    for (struct http_conn *c = l->all; c != NULL; c = next) {
        http_conn_ref(c);
        bool late = c->expire_us != 0 && l->now_us >= c->expire_us;
        if (late || (c->connecting && l->now_us >= c->connect_by_us)) {
            c->expire_us = 0;
            http_conn_fail(c, HTTP_CONN_TIMEOUT);
        }
        next = c->next; /* valid: a held connection keeps its place */
        http_conn_unref(c);
    }
}

/* Make a loop on the platform's event interface. */
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
    ev_prepare_init(&l->before_wait, evloop_on_prepare);
    l->before_wait.data = l;
    ev_prepare_start(l->loop, &l->before_wait);
    ev_timer_init(&l->sweep, evloop_on_sweep, EVLOOP_TIMEOUT_SCAN_PERIOD_S,
                  EVLOOP_TIMEOUT_SCAN_PERIOD_S);
    l->sweep.data = l;
    ev_timer_start(l->loop, &l->sweep);
    *out = l;
    return 0;
}

/* Close all connections and release the loop; takes NULL. */
void
evloop_free(evloop *l)
{
    if (l == NULL) {
        return;
    }
    while (l->all != NULL) {
        http_conn_close(l->all);
    }
    evloop_free_closed(l);
    ev_loop_destroy(l->loop);
    free(l);
}
