/*
 * http_conn_private: the connection structure and the functions shared by the
 * http_conn*.c files and the event loop.
 */
#ifndef LAV_HTTP_CONN_PRIVATE_H
#define LAV_HTTP_CONN_PRIVATE_H

#include <http_parser.h>

#include "http_conn.h"
#include "http_conn_silence.h"
#include "http_syntax.h"

/* The part of a header field that was parsed last. */
enum http_conn_field_part {
    HTTP_CONN_PART_NONE,
    HTTP_CONN_PART_NAME,
    HTTP_CONN_PART_VALUE
};

struct http_conn {
    evloop *l;
    int fd; /* -1 once closed */
    ev_io readable;
    ev_io writable;
    struct http_conn *next, *previous;             /* in evloop.connections */
    struct http_conn *dirty_next, *dirty_previous; /* in evloop.dirty */
    bool is_dirty;                                 /* in evloop.dirty */
    bool connecting;
    bool paused;            /* reading is paused by the owner */
    bool message_complete;  /* the parser is paused after a message */
    bool response_pending;  /* client: a request awaits its response */
    bool no_body;           /* client: the response has no body (HEAD) */
    bool skipping_message;  /* the current message is not passed on */
    bool close_after_flush; /* close once all output is written */
    bool eof_received;
    bool not_reusable;  /* no further request may be sent */
    bool drain_pending; /* on_drain is due when the output falls */
    bool lingering;     /* see http_conn_linger() */
    bool in_message;    /* a message has begun and is incomplete */
    int refs;
    int64_t deadline_us;         /* 0: none */
    int64_t connect_deadline_us; /* valid while connecting */
    int64_t head_timeout_us;     /* from the start of a message; 0: none */
    size_t head_bytes_max;       /* 0: no limit */
    size_t head_bytes;           /* of the current message so far */
    size_t unfinished_bytes;     /* part of evloop.head_bytes */
    size_t unused_bytes; /* received since a part was last passed on, or since
                          * the connection lingers */
    http_conn_silence silence; /* client */
    enum http_conn_field_part field_part;
    http_parser parser;
    http_syntax syntax; /* of the bytes that go to the parser */
    bool unsupported;   /* the current head has an unknown coding */
    http_head head;
    bytebuf out;     /* output not written yet */
    bytebuf pending; /* server: bytes received after the current request */
    struct sockaddr_in peer;
    const http_conn_handlers *handlers;
    void *payload;
};

void http_conn_ref(http_conn *c);
void http_conn_unref(http_conn *c);
void http_conn_flush(http_conn *c);
void http_conn_on_readable(struct ev_loop *loop, ev_io *watcher, int events);
void http_conn_on_writable(struct ev_loop *loop, ev_io *watcher, int events);
void http_conn_linger_flushed(http_conn *c);
void http_conn_linger_discard(http_conn *c, size_t length);
void http_conn_fail(http_conn *c, enum http_conn_close_reason reason);
void http_conn_finish_head(http_conn *c);
int http_conn_parser_setup(http_conn *c, enum http_parser_type type);
enum http_conn_head_result http_conn_parse(http_conn *c, const char *bytes,
                                           size_t length);
void http_conn_parse_eof(http_conn *c);

#endif
