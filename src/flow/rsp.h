/*
 * rsp: the server's side of an exchange: one connection that callers or
 * peers opened, the request on it, and the writing of answers.
 */
#ifndef LAV_RSP_H
#define LAV_RSP_H

#include "att.h"
#include "nod.h"

typedef struct rsp {
    nod *n;
    http_conn *c;
    void *request;     /* of the owner's type; NULL: none is under way */
    bool in_exchange;  /* a request has begun, and is not done with */
    bool message_done; /* all of the request has been read */
    bool close_after;  /* no other request on this connection */
    bool head_request; /* the answer has no body */
    enum http_conn_framing framing; /* of the answer being written */
    int64_t idle_us;                /* between requests, then it is closed */
} rsp;

void rsp_begin(rsp *s, const http_head *head);
void rsp_head(rsp *s, int status, const bytebuf *fields,
              enum http_conn_framing framing, int64_t length);
void rsp_body(rsp *s, const char *bytes, size_t length);
void rsp_end(rsp *s);
void rsp_read_all(rsp *s);
enum http_conn_framing rsp_framing_of(const http_head *head);

#endif
