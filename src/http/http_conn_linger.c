/* The end of a server connection after a request that is not read to its
 * end.  Closing a socket with unread input resets the connection, and the
 * client may lose the response. */
#include <sys/socket.h>

#include "http_conn_private.h"
#include "lav/clock.h"

/* Longest time for the client to read the output and close. */
#define HTTP_CONN_LINGER_US (2 * CLOCK_US_PER_S)

/* Discard the head of a request. */
static enum http_conn_head_result
http_conn_linger_on_head(http_conn *c, const http_head *head, void *payload)
{
    (void)c;
    (void)head;
    (void)payload;
    return HTTP_CONN_ACCEPT;
}

/* Discard a part of a body. */
static void
http_conn_linger_on_body(http_conn *c, const char *bytes, size_t length,
                         void *payload)
{
    (void)c;
    (void)bytes;
    (void)length;
    (void)payload;
}

/* Nothing to do: the connection has no owner. */
static void
http_conn_linger_on_event(http_conn *c, void *payload)
{
    (void)c;
    (void)payload;
}

/* Nothing to do: the connection has no owner. */
static void
http_conn_linger_on_close(http_conn *c, enum http_conn_close_reason reason,
                          void *payload)
{
    (void)c;
    (void)reason;
    (void)payload;
}

static const http_conn_handlers http_conn_linger_handlers = {
    http_conn_linger_on_head, http_conn_linger_on_body,
    http_conn_linger_on_event, http_conn_linger_on_event,
    http_conn_linger_on_close};

/* Server: write the queued output, then end the stream and discard what is
 * received until the client closes the connection, for HTTP_CONN_LINGER_US at
 * most.  No handler is called any more.  May be called by on_close. */
void
http_conn_linger(http_conn *c)
{
    if (c->fd < 0 || c->lingering) {
        return;
    }
    c->lingering = true;
    c->unused_bytes = 0;
    c->close_after_flush = false;
    c->deadline_us = c->l->now_us + HTTP_CONN_LINGER_US;
    http_conn_set_handlers(c, &http_conn_linger_handlers, NULL);
    http_conn_finish_head(c);
    http_head_reset(&c->head);
    bytebuf_clear(&c->pending);
    http_conn_set_paused(c, false);
    (void)http_conn_output(c); /* so that http_conn_flush() is called */
}

/* The output of a lingering connection is written: end the stream. */
void
http_conn_linger_flushed(http_conn *c)
{
    if (c->eof_received) {
        http_conn_fail(c, HTTP_CONN_EOF);
    }
    else {
        (void)shutdown(c->fd, SHUT_WR);
    }
}

/* Discard received bytes; a client that goes on sending is reset. */
void
http_conn_linger_discard(http_conn *c, size_t length)
{
    c->unused_bytes += length;
    if (c->unused_bytes > HTTP_CONN_UNUSED_BYTES_MAX) {
        http_conn_fail(c, HTTP_CONN_RESET);
    }
}

/* Return the status of the response to a request that was not read to its end,
 * or 0 if there is none because the client has left or has sent nothing. */
int
http_conn_error_status(const http_conn *c, enum http_conn_close_reason reason)
{
    switch (reason) {
    case HTTP_CONN_MALFORMED:
        return HTTP_STATUS_BAD_REQUEST;
    case HTTP_CONN_TOO_LARGE:
        return HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
    case HTTP_CONN_UNSUPPORTED:
        return HTTP_STATUS_NOT_IMPLEMENTED;
    case HTTP_CONN_TIMEOUT:
        return c->in_message ? HTTP_STATUS_REQUEST_TIMEOUT : 0;
    case HTTP_CONN_EOF:
    case HTTP_CONN_RESET:
    case HTTP_CONN_REFUSED:
        break;
    }
    return 0;
}
