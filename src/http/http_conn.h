/*
 * http_conn: one HTTP/1.1 connection, server or client side, on the event
 * loop.  It parses strictly, one message at a time, and passes the parts to
 * its handlers.  On a server, pipelined requests wait until the one before
 * them is answered; on a client, bytes after a complete response prevent the
 * reuse of the connection.
 */
#ifndef LAV_HTTP_CONN_H
#define LAV_HTTP_CONN_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "evloop.h"
#include "http_head.h"

/* Queued output at which a handler should pause its source, and below which
 * on_drain lets it continue. */
#define HTTP_CONN_OUTPUT_HIGH_WATER_BYTES 262144
#define HTTP_CONN_OUTPUT_LOW_WATER_BYTES 65536

/* Pipelined bytes kept behind a request; above this, reading stops. */
#define HTTP_CONN_PENDING_BYTES_MAX 65536

/* Bytes received in a row of which nothing is passed on, such as responses to
 * earlier requests or what follows a rejected request; above this, the
 * connection fails. */
#define HTTP_CONN_UNUSED_BYTES_MAX 1048576

/* Server: unfinished request heads of all connections of a loop; above this,
 * the largest ones are rejected. */
#define HTTP_CONN_HEADS_BYTES_MAX 8388608

typedef struct http_conn http_conn;

enum http_conn_close_reason {
    HTTP_CONN_EOF,        /* closed in order, by either side */
    HTTP_CONN_RESET,      /* reset, or could not be established */
    HTTP_CONN_REFUSED,    /* connection refused: nothing was sent */
    HTTP_CONN_TIMEOUT,    /* a deadline, head or connect timeout expired */
    HTTP_CONN_MALFORMED,  /* received bytes that are not valid HTTP, or too
                          * many that belong to no awaited response */
    HTTP_CONN_TOO_LARGE,  /* a head over the limit */
    HTTP_CONN_UNSUPPORTED /* server: a method or transfer coding that is not
                           * implemented */
};

enum http_conn_head_result {
    HTTP_CONN_ACCEPT,
    HTTP_CONN_SKIP,  /* not the expected response: wait for the next one */
    HTTP_CONN_CLOSED /* the handler closed the connection */
};

/* Callbacks of the owner; each may close the connection. */
typedef struct http_conn_handlers {
    /* The head of a message was received. */
    enum http_conn_head_result (*on_head)(http_conn *c, const http_head *head,
                                          void *payload);
    /* A part of the body was received. */
    void (*on_body)(http_conn *c, const char *bytes, size_t length,
                    void *payload);
    /* The message is complete. */
    void (*on_message)(http_conn *c, void *payload);
    /* The output fell below HTTP_CONN_OUTPUT_LOW_WATER_BYTES after it had
     * exceeded HTTP_CONN_OUTPUT_HIGH_WATER_BYTES. */
    void (*on_drain)(http_conn *c, void *payload);
    /* The connection is about to be closed, unless http_conn_linger() is
     * called; not called for http_conn_close(). */
    void (*on_close)(http_conn *c, enum http_conn_close_reason reason,
                     void *payload);
} http_conn_handlers;

enum http_conn_framing {
    HTTP_CONN_BODY_NONE,   /* no body */
    HTTP_CONN_BODY_LENGTH, /* Content-Length */
    HTTP_CONN_BODY_CHUNKED /* chunked transfer coding */
};

int http_conn_accept(http_conn **out, evloop *l, int fd,
                     const struct sockaddr_in *from, size_t head_bytes_max,
                     const http_conn_handlers *handlers, void *payload);
int http_conn_connect(http_conn **out, evloop *l, const struct sockaddr_in *to,
                      int64_t connect_timeout_us,
                      const http_conn_handlers *handlers, void *payload);
void http_conn_set_handlers(http_conn *c, const http_conn_handlers *handlers,
                            void *payload);
void http_conn_close(http_conn *c);
void http_conn_reset(http_conn *c);
void http_conn_set_deadline(http_conn *c, int64_t deadline_us);
void http_conn_set_head_timeout(http_conn *c, int64_t timeout_us);
void http_conn_enable_keepalive(http_conn *c);
void http_conn_set_paused(http_conn *c, bool paused);
void http_conn_next_request(http_conn *c);
void http_conn_expect_response(http_conn *c, bool no_body);
bytebuf *http_conn_output(http_conn *c);
void http_conn_write_body(http_conn *c, enum http_conn_framing framing,
                          const char *bytes, size_t length);
void http_conn_end_body(http_conn *c, enum http_conn_framing framing);
size_t http_conn_queued_bytes(const http_conn *c);
bool http_conn_is_any_response_queued(const evloop *l);
void http_conn_close_after_flush(http_conn *c);
void http_conn_linger(http_conn *c);
int http_conn_error_status(const http_conn *c,
                           enum http_conn_close_reason reason);
bool http_conn_is_connected(const http_conn *c);
bool http_conn_is_reusable(const http_conn *c);
const struct sockaddr_in *http_conn_peer(const http_conn *c);
bool http_conn_is_mid_message(const http_conn *c);

#endif
