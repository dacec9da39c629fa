#ifndef LAV_HTTP_CONN_PRIVATE_H
#define LAV_HTTP_CONN_PRIVATE_H

#include <http_parser.h>

#include "http_conn.h"

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
    struct http_conn *next, *previous;             /* in evloop.all */
    struct http_conn *dirty_next, *dirty_previous; /* in evloop.dirty */
    bool is_dirty;
    bool connecting;
    bool paused;     /* by its owner */
    bool holding;    /* a message is complete and unanswered */
    bool answer_due; /* a client's: a request is out */
    bool no_body;    /* the answer due has no body (HEAD) */
    bool skipping;   /* this answer is left out */
    bool closing;    /* close once all is written */
    bool eof_seen;
    bool unfit; /* not to be used for another request */
    bool
        was_full; /* over HTTP_CONN_OUTPUT_HIGH_WATER_BYTES since the last drain */
    bool in_message;
    int refs;
    int64_t expire_us;
    int64_t connect_by_us; /* while connecting */
    int64_t head_us;       /* a head may take so long; 0: any time */
    size_t head_max;
    size_t head_bytes;
    enum http_conn_field_part part;
    http_parser parser;
    http_head head;
    bytebuf out;
    bytebuf pending;
    struct sockaddr_in peer;
    const http_conn_handlers *handlers;
    void *payload;
};

void http_conn_ref(http_conn *c);
void http_conn_unref(http_conn *c);
void http_conn_flush(http_conn *c);
void http_conn_on_readable(struct ev_loop *loop, ev_io *watcher, int events);
void http_conn_on_writable(struct ev_loop *loop, ev_io *watcher, int events);
void http_conn_fail(http_conn *c, enum http_conn_close_reason end);
int http_conn_parser_setup(http_conn *c, enum http_parser_type type);
enum http_conn_head_result http_conn_parse(http_conn *c, const char *bytes,
                                           size_t length);
void http_conn_parse_eof(http_conn *c);

#endif
