/*
 * http_server: a small HTTP server for the control plane.  Requests and
 * responses are buffered whole; one callback handles all requests.
 */
#ifndef LAV_HTTP_SERVER_H
#define LAV_HTTP_SERVER_H

#include "http_listener.h"
#include "http_head.h"

#define HTTP_SERVER_PATH_SIZE 512        /* bytes, including the NUL */
#define HTTP_SERVER_BODY_BYTES_MAX 65536 /* of a request */

typedef struct http_server_request {
    const char *method;
    char path[HTTP_SERVER_PATH_SIZE]; /* with the query; "" if too long */
    const char *body;                 /* NUL-terminated */
    size_t length;
} http_server_request;

typedef struct http_server_response {
    int status;
    const char *type; /* Content-Type, static text; NULL if there is no body */
    bytebuf body;
} http_server_response;

typedef void (*http_server_handler_cb)(http_server_response *out,
                                       const http_server_request *request,
                                       void *payload);

typedef struct http_server http_server;

int http_server_new(http_server **out, evloop *l, const char *address, err *e,
                    http_server_handler_cb handler, void *payload);
void http_server_free(http_server *s);

#endif
