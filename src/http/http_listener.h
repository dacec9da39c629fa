/*
 * http_listener: a listening TCP socket on the event loop.  Each accepted
 * socket is passed to a callback, which takes it over.  Also parses and
 * formats socket addresses.
 */
#ifndef LAV_HTTP_LISTENER_H
#define LAV_HTTP_LISTENER_H

#include <netinet/in.h>

#include "evloop.h"
#include "lav/err.h"

typedef struct http_listener http_listener;

typedef void (*http_listener_accept_cb)(int fd, const struct sockaddr_in *from,
                                        void *payload);

int http_listener_new(http_listener **out, evloop *l,
                      const struct sockaddr_in *address, err *e,
                      http_listener_accept_cb on_accept, void *payload);
void http_listener_free(http_listener *s);
int http_listener_parse_address(struct sockaddr_in *out, const char *text);
void http_listener_format_address(char *out, size_t size,
                                  const struct sockaddr_in *address);

#endif
