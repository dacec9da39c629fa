/*
 * server_conn: the server side of an HTTP connection accepted from a caller or
 * a peer: the request in progress on it and the writing of its response.
 */
#ifndef LAV_SERVER_CONN_H
#define LAV_SERVER_CONN_H

#include "attempt.h"
#include "runtime.h"

typedef struct server_conn {
    runtime *n;
    http_conn *c;
    void *request;         /* of the owner's type; NULL: none in progress */
    bool in_exchange;      /* a request has begun and is not finished */
    bool request_complete; /* the whole request has been read */
    bool close_after;      /* no further request on this connection */
    bool head_request;     /* HEAD: the response has no body */
    enum http_conn_framing framing; /* of the response being written */
    int64_t idle_us;                /* idle timeout between requests */
} server_conn;

void server_conn_begin_request(server_conn *s, const http_head *head);
void server_conn_write_head(server_conn *s, int status, const bytebuf *fields,
                            enum http_conn_framing framing, int64_t length);
void server_conn_write_body(server_conn *s, const char *bytes, size_t length);
void server_conn_end_response(server_conn *s);
void server_conn_end_request(server_conn *s);
enum http_conn_framing server_conn_response_framing(const http_head *head);

#endif
