/*
 * http_conn: one HTTP/1.1 connection, of a server or of a client, on the loop.
 * It parses strictly, one message at a time, and hands the pieces to its
 * owner.  A message that has not been answered holds back the ones behind
 * it; bytes behind a complete answer make the connection unfit for reuse.
 */
#ifndef LAV_HTTP_CONN_H
#define LAV_HTTP_CONN_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "evloop.h"
#include "http_head.h"

#define HTTP_CONN_OUTPUT_HIGH_WATER_BYTES                                     \
    262144 /* queued bytes at which a source is paused */
#define HTTP_CONN_OUTPUT_LOW_WATER_BYTES                                      \
    65536 /* ... and at which it goes on */
#define HTTP_CONN_PENDING_BYTES_MAX                                           \
    65536 /* bytes kept that follow a request */

typedef struct http_conn http_conn;

enum http_conn_close_reason {
    HTTP_CONN_EOF,       /* the other side closed in order */
    HTTP_CONN_RESET,     /* the connection was reset or could not be made */
    HTTP_CONN_REFUSED,   /* nothing listens there: nothing was sent */
    HTTP_CONN_TIMEOUT,   /* the time set by http_conn_set_deadline() is over */
    HTTP_CONN_MALFORMED, /* bytes that are no message */
    HTTP_CONN_TOO_LARGE  /* a head over the limit */
};

enum http_conn_head_result {
    HTTP_CONN_ACCEPT,
    HTTP_CONN_SKIP, /* this answer is not ours: wait for the next one */
    HTTP_CONN_CLOSED
};

/* Handlers; each may close the connection. */
typedef struct http_conn_handlers {
    enum http_conn_head_result (*on_head)(http_conn *c, const http_head *head,
                                          void *payload);
    void (*on_body)(http_conn *c, const char *bytes, size_t length,
                    void *payload);
    void (*on_message)(http_conn *c,
                       void *payload); /* the message is complete */
    void (*on_drain)(
        http_conn *c,
        void *payload); /* queue below HTTP_CONN_OUTPUT_LOW_WATER_BYTES */
    void (*on_end)(http_conn *c, enum http_conn_close_reason end,
                   void *payload);
} http_conn_handlers;

enum http_conn_framing {
    HTTP_CONN_BODY_NONE,
    HTTP_CONN_BODY_LENGTH,
    HTTP_CONN_BODY_CHUNKED
};

int http_conn_accept(http_conn **out, evloop *l, int fd,
                     const struct sockaddr_in *from, size_t head_max,
                     const http_conn_handlers *handlers, void *payload);
int http_conn_connect(http_conn **out, evloop *l, const struct sockaddr_in *to,
                      int64_t connect_us, const http_conn_handlers *handlers,
                      void *payload);
void http_conn_set_handlers(http_conn *c, const http_conn_handlers *handlers,
                            void *payload);
void http_conn_close(http_conn *c);
void http_conn_reset(http_conn *c);
void http_conn_set_deadline(http_conn *c, int64_t at_us);
void http_conn_set_head_timeout(http_conn *c, int64_t head_us);
void http_conn_enable_keepalive(http_conn *c);
void http_conn_set_paused(http_conn *c, bool paused);
void http_conn_next_request(http_conn *c);
void http_conn_expect_response(http_conn *c, bool no_body);
bytebuf *http_conn_output(http_conn *c);
void http_conn_write_body(http_conn *c, enum http_conn_framing framing,
                          const char *bytes, size_t length);
void http_conn_end_body(http_conn *c, enum http_conn_framing framing);
size_t http_conn_queued_bytes(const http_conn *c);
void http_conn_close_after_flush(http_conn *c);
void http_conn_flush_before_close(http_conn *c);
bool http_conn_is_connected(const http_conn *c);
bool http_conn_is_reusable(const http_conn *c);
const struct sockaddr_in *http_conn_peer(const http_conn *c);
bool http_conn_is_mid_message(const http_conn *c);

#endif
