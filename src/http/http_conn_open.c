#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_conn_private.h"
#include "lav/err.h"

#define HTTP_CONN_KEEPALIVE_IDLE_S 1     /* before the first probe */
#define HTTP_CONN_KEEPALIVE_PERIOD_S 1   /* between probes */
#define HTTP_CONN_KEEPALIVE_PROBES_MAX 2 /* unanswered ones before it fails */

/* Allocate a connection on a socket and add it to the list of the loop. */
static http_conn *
http_conn_new(evloop *l, int fd, const struct sockaddr_in *peer,
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
    c->next = l->connections;
    if (l->connections != NULL) {
        l->connections->previous = c;
    }
    l->connections = c;
    l->open++;
    return c;
}

/* Set a socket option.  Errors are ignored: a socket without the option still
 * works, only less promptly. */
static void
http_conn_set_option(int fd, int level, int option, int value)
{
    (void)setsockopt(fd, level, option, &value, sizeof(value));
}

/* Create a server connection on an accepted socket, which it owns from now on
 * even on an error.  Heads over `head_bytes_max` bytes end the connection with
 * HTTP_CONN_TOO_LARGE; 0: no limit.  Returns 0 or ERR_NO_MEMORY. */
int
http_conn_accept(http_conn **out, evloop *l, int fd,
                 const struct sockaddr_in *from, size_t head_bytes_max,
                 const http_conn_handlers *handlers, void *payload)
{
    http_conn *c = http_conn_new(l, fd, from, handlers, payload);
    if (c == NULL) {
        close(fd);
        return ERR_NO_MEMORY;
    }
    c->head_bytes_max = head_bytes_max;
    http_conn_set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    http_conn_parser_setup(c, HTTP_REQUEST);
    ev_io_start(l->loop, &c->readable);
    *out = c;
    return 0;
}

/* Start a client connection; output may be queued at once.  Returns 0, ERR_IO,
 * ERR_UNAVAILABLE or ERR_NO_MEMORY.  If connecting fails or takes longer than
 * `connect_timeout_us`, on_close is called with HTTP_CONN_REFUSED,
 * HTTP_CONN_RESET or HTTP_CONN_TIMEOUT while http_conn_is_connected() is
 * false: nothing was sent. */
int
http_conn_connect(http_conn **out, evloop *l, const struct sockaddr_in *to,
                  int64_t connect_timeout_us,
                  const http_conn_handlers *handlers, void *payload)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return ERR_IO;
    }
    http_conn_set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    http_conn_set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                         HTTP_CONN_UNACKED_TIMEOUT_MS);
    int result = connect(fd, (const struct sockaddr *)to, sizeof(*to));
    if (result < 0 && errno != EINPROGRESS) {
        close(fd);
        return ERR_UNAVAILABLE;
    }
    http_conn *c = http_conn_new(l, fd, to, handlers, payload);
    if (c == NULL) {
        close(fd);
        return ERR_NO_MEMORY;
    }
    http_conn_parser_setup(c, HTTP_RESPONSE);
    c->connecting = result < 0;
    if (c->connecting) {
        c->connect_deadline_us = l->now_us + connect_timeout_us;
        ev_io_start(l->loop, &c->writable);
    }
    else {
        ev_io_start(l->loop, &c->readable);
    }
    *out = c;
    return 0;
}

/* Set the deadline to `timeout_us` after the first byte of each message, to
 * limit the time that a head takes; 0: no limit.  The owner's on_head must set
 * another deadline with http_conn_set_deadline(). */
void
http_conn_set_head_timeout(http_conn *c, int64_t timeout_us)
{
    c->head_timeout_us = timeout_us;
}

/* Enable TCP keep-alive probes, so that a dead connection is detected while
 * it is idle. */
void
http_conn_enable_keepalive(http_conn *c)
{
    http_conn_set_option(c->fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    http_conn_set_option(c->fd, IPPROTO_TCP, TCP_KEEPIDLE,
                         HTTP_CONN_KEEPALIVE_IDLE_S);
    http_conn_set_option(c->fd, IPPROTO_TCP, TCP_KEEPINTVL,
                         HTTP_CONN_KEEPALIVE_PERIOD_S);
    http_conn_set_option(c->fd, IPPROTO_TCP, TCP_KEEPCNT,
                         HTTP_CONN_KEEPALIVE_PROBES_MAX);
}
