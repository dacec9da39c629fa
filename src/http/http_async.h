/*
 * http_async: an asynchronous HTTP client for requests with complete bodies
 * both ways: to the platform store, between nodes, and, through http_sync, to
 * targets.  A request is never sent twice.
 */
#ifndef LAV_HTTP_ASYNC_H
#define LAV_HTTP_ASYNC_H

#include "conn_pool.h"

#define HTTP_ASYNC_BODY_BYTES_MAX (8 * 1024 * 1024) /* of a response */
#define HTTP_ASYNC_RESPONSE_FIELDS_MAX 5 /* response fields of interest */
#define HTTP_ASYNC_FIELD_VALUE_SIZE 128  /* bytes, including the NUL */

enum http_async_result {
    HTTP_ASYNC_COMPLETE,
    HTTP_ASYNC_NOT_SENT,    /* the server certainly did not receive it */
    HTTP_ASYNC_NO_RESPONSE, /* may have been received; no complete response */
    HTTP_ASYNC_TOO_LARGE    /* the body exceeds its limit */
};

typedef struct http_async_response {
    enum http_async_result result;
    bool dropped; /* the server closed a kept connection, instead of a
                   * response */
    int status;
    const char *body; /* NUL-terminated; valid during the callback */
    size_t length;
    /* Values of http_async_options.fields; "" if absent or too long. */
    char values[HTTP_ASYNC_RESPONSE_FIELDS_MAX][HTTP_ASYNC_FIELD_VALUE_SIZE];
} http_async_response;

typedef void (*http_async_done_cb)(const http_async_response *response,
                                   void *payload);

typedef struct http_async_call http_async_call;

typedef struct http_async_options {
    const char *method;
    const char *path;
    const char *body; /* NULL: no body */
    size_t length;
    /* Lines of the head, each with CRLF; NULL: the type JSON for a body. */
    const char *header_lines;
    int64_t timeout_us;             /* up to the complete response */
    int64_t connect_timeout_us;     /* 0: as `timeout_us` */
    size_t response_body_bytes_max; /* 0: HTTP_ASYNC_BODY_BYTES_MAX */
    /* Names of response fields to return in `values`; NULL: unused. */
    const char *fields[HTTP_ASYNC_RESPONSE_FIELDS_MAX];
} http_async_options;

int http_async_start(http_async_call **out, conn_pool *pool, evloop *l,
                     const struct sockaddr_in *to,
                     const http_async_options *opts, http_async_done_cb done,
                     void *payload);
void http_async_cancel(http_async_call *call);

#endif
