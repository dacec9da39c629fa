#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_conn_private.h"
#include "lav/err.h"

#define HTTP_CONN_UNACKED_MS                                                  \
    1500 /* bytes unacknowledged so long: it is dead */
#define HTTP_CONN_PROBE_IDLE_S                                                \
    1 /* idle time before the first keep-alive probe */
#define HTTP_CONN_PROBE_PERIOD_S 1 /* between probes */
#define HTTP_CONN_PROBES 2 /* unanswered ones that end the connection */

static http_conn *
http_conn_make(evloop *l, int fd, const struct sockaddr_in *peer,
               const http_conn_handlers *handlers, void *payload)
{
    http_conn *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->l = l;
    c->fd = fd;
    c->peer = *peer;
    c->refs = 1;
    c->handlers = handlers;
    c->payload = payload;
    http_head_reset(&c->head);
    ev_io_init(&c->readable, http_conn_on_readable, fd, EV_READ);
    ev_io_init(&c->writable, http_conn_on_writable, fd, EV_WRITE);
    c->readable.data = c;
    c->writable.data = c;
    c->next = l->all;
    if (l->all != NULL) {
        l->all->previous = c;
    }
    l->all = c;
    l->open++;
    return c;
}

static void
http_conn_option(int fd, int level, int option, int value)
{
    /* A socket without the option still works, only less promptly. */
    (void)setsockopt(fd, level, option, &value, sizeof(value));
}

/* Take over an accepted socket; heads over `head_max` bytes end it. */
int
http_conn_accept(http_conn **out, evloop *l, int fd,
                 const struct sockaddr_in *from, size_t head_max,
                 const http_conn_handlers *handlers, void *payload)
{
    http_conn *c = http_conn_make(l, fd, from, handlers, payload);
    if (c == NULL) {
        close(fd);
        return ERR_NO_MEMORY;
    }
    c->head_max = head_max;
    http_conn_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    http_conn_parser_setup(c, HTTP_REQUEST);
    ev_io_start(l->loop, &c->readable);
    *out = c;
    return 0;
}

/* Begin to connect, for `connect_us` at most; bytes may be queued at once.
 * A failure is told by on_end: HTTP_CONN_REFUSED, HTTP_CONN_RESET or HTTP_CONN_TIMEOUT, while
 * http_conn_is_connected() is false: nothing was sent. */
int
http_conn_connect(http_conn **out, evloop *l, const struct sockaddr_in *to,
                  int64_t connect_us, const http_conn_handlers *handlers,
                  void *payload)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return ERR_IO;
    }
    http_conn_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    http_conn_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, HTTP_CONN_UNACKED_MS);
    int result = connect(fd, (const struct sockaddr *)to, sizeof(*to));
    if (result < 0 && errno != EINPROGRESS) {
        close(fd);
        return ERR_UNAVAILABLE;
    }
    http_conn *c = http_conn_make(l, fd, to, handlers, payload);
    if (c == NULL) {
        close(fd);
        return ERR_NO_MEMORY;
    }
    http_conn_parser_setup(c, HTTP_RESPONSE);
    c->connecting = result < 0;
    if (c->connecting) {
        c->connect_by_us = l->now_us + connect_us;
        ev_io_start(l->loop, &c->writable);
    }
    else {
        ev_io_start(l->loop, &c->readable);
    }
    *out = c;
    return 0;
}

/* on_end(HTTP_CONN_TIMEOUT) comes when a head takes longer than this. */
void
http_conn_set_head_timeout(http_conn *c, int64_t head_us)
{
    c->head_us = head_us;
}

/* Probe a long-lived connection while it is idle, so that one that has gone
 * silent is found. */
void
http_conn_enable_keepalive(http_conn *c)
{
    http_conn_option(c->fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    http_conn_option(c->fd, IPPROTO_TCP, TCP_KEEPIDLE, HTTP_CONN_PROBE_IDLE_S);
    http_conn_option(c->fd, IPPROTO_TCP, TCP_KEEPINTVL,
                     HTTP_CONN_PROBE_PERIOD_S);
    http_conn_option(c->fd, IPPROTO_TCP, TCP_KEEPCNT, HTTP_CONN_PROBES);
}
