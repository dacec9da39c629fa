/*
 * server_conn: the server's side of an exchange: one connection that callers or
 * peers opened, the request on it, and the writing of answers.
 */
#ifndef LAV_SERVER_CONN_H
#define LAV_SERVER_CONN_H

#include "attempt.h"
#include "runtime.h"

typedef struct server_conn {
    runtime *n;
    http_conn *c;
    void *request;         /* of the owner's type; NULL: none is under way */
    bool in_exchange;      /* a request has begun, and is not done with */
    bool request_complete; /* all of the request has been read */
    bool close_after;      /* no other request on this connection */
    bool head_request;     /* the answer has no body */
    enum http_conn_framing framing; /* of the answer being written */
    int64_t idle_us;                /* between requests, then it is closed */
} server_conn;

void server_conn_begin_request(server_conn *s, const http_head *head);
void server_conn_write_head(server_conn *s, int status, const bytebuf *fields,
                            enum http_conn_framing framing, int64_t length);
void server_conn_write_body(server_conn *s, const char *bytes, size_t length);
void server_conn_end_response(server_conn *s);
void server_conn_end_request(server_conn *s);
enum http_conn_framing server_conn_response_framing(const http_head *head);

#endif
