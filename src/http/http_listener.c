#include "http_listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HTTP_LISTENER_BACKLOG 1024 /* connections waiting to be accepted */
#define HTTP_LISTENER_ACCEPT_BATCH_MAX 64 /* per iteration of the loop */
#define HTTP_LISTENER_PORT_MAX 65535

struct http_listener {
    evloop *l;
    int fd;
    ev_io readable;
    http_listener_accept_cb on_accept;
    void *payload;
};

/* Accept the waiting connections. */
static void
http_listener_on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    http_listener *s = watcher->data;
    evloop_update_now(s->l);
    for (int i = 0; i < HTTP_LISTENER_ACCEPT_BATCH_MAX; i++) {
        struct sockaddr_in from = {0};
        socklen_t size = sizeof(from);
        int fd = accept4(s->fd, (struct sockaddr *)&from, &size,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return; /* none waiting, or out of descriptors: retried later */
        }
        s->on_accept(fd, &from, s->payload);
    }
}

/* Listen on an address; returns 0, ERR_IO or ERR_NO_MEMORY. */
int
http_listener_new(http_listener **out, evloop *l,
                  const struct sockaddr_in *address, err *e,
                  http_listener_accept_cb on_accept, void *payload)
{
    char text[INET_ADDRSTRLEN + sizeof(":65535")];
    http_listener_format_address(text, sizeof(text), address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return ERR_SET(e, ERR_IO, "cannot create a socket for %s: %s", text,
                       strerror(errno));
    }
    int on = 1;
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) < 0 ||
        listen(fd, HTTP_LISTENER_BACKLOG) < 0) {
        int result = ERR_SET(e, ERR_IO, "cannot listen on %s: %s", text,
                             strerror(errno));
        close(fd);
        return result;
    }
    http_listener *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        close(fd);
        return ERR_SET(e, ERR_NO_MEMORY,
                       "out of memory for the listener at %s", text);
    }
    *s = (http_listener){
        .l = l, .fd = fd, .on_accept = on_accept, .payload = payload};
    ev_io_init(&s->readable, http_listener_on_readable, fd, EV_READ);
    s->readable.data = s;
    ev_io_start(l->loop, &s->readable);
    *out = s;
    return 0;
}

/* Stop listening and free the listener; `s` may be NULL. */
void
http_listener_free(http_listener *s)
{
    if (s != NULL) {
        ev_io_stop(s->l->loop, &s->readable);
        close(s->fd);
        free(s);
    }
}

/* Parse "a.b.c.d:port"; returns 0 or ERR_INVALID. */
int
http_listener_parse_address(struct sockaddr_in *out, const char *text)
{
    char host[INET_ADDRSTRLEN];
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return ERR_INVALID;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    guint64 port = 0;
    *out = (struct sockaddr_in){.sin_family = AF_INET};
    if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, HTTP_LISTENER_PORT_MAX,
                                    &port, NULL) ||
        inet_pton(AF_INET, host, &out->sin_addr) != 1) {
        return ERR_INVALID;
    }
    out->sin_port = htons((uint16_t)port);
    return 0;
}

/* Format an address as "a.b.c.d:port". */
void
http_listener_format_address(char *out, size_t size,
                             const struct sockaddr_in *address)
{
    char host[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address->sin_addr, host, sizeof(host));
    snprintf(out, size, "%s:%u", host, ntohs(address->sin_port));
}
