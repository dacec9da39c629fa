/*
 * http_async: one small HTTP exchange of the control plane, whole bodies both ways:
 * calls to the platform's store and between nodes.  Never sent twice.
 */
#ifndef LAV_HTTP_ASYNC_H
#define LAV_HTTP_ASYNC_H

#include "conn_pool.h"

#define HTTP_ASYNC_BODY_BYTES_MAX (8 * 1024 * 1024) /* bytes of an answer */
#define HTTP_ASYNC_RESPONSE_FIELDS_MAX 2 /* header fields asked for */
#define HTTP_ASYNC_FIELD_VALUE_SIZE 128  /* bytes of one, with the NUL */

enum http_async_result {
    HTTP_ASYNC_COMPLETE,
    HTTP_ASYNC_NOT_SENT,   /* provably not received */
    HTTP_ASYNC_NO_RESPONSE /* sent, and no whole answer came */
};

typedef struct http_async_response {
    enum http_async_result result;
    int status;
    const char *body; /* valid during the callback */
    size_t length;
    /* Of the fields that were asked for; "": absent or too long. */
    char values[HTTP_ASYNC_RESPONSE_FIELDS_MAX][HTTP_ASYNC_FIELD_VALUE_SIZE];
} http_async_response;

typedef void (*http_async_done_cb)(const http_async_response *answer,
                                   void *payload);

typedef struct http_async_call http_async_call;

typedef struct http_async_options {
    const char *method;
    const char *path;
    const char *body; /* JSON; NULL: none */
    size_t length;
    int64_t timeout_us;
    const char *fields
        [HTTP_ASYNC_RESPONSE_FIELDS_MAX]; /* of the answer, wanted; or NULL */
} http_async_options;

int http_async_start(http_async_call **out, conn_pool *pool, evloop *l,
                     const struct sockaddr_in *to,
                     const http_async_options *opts, http_async_done_cb done,
                     void *payload);
void http_async_cancel(http_async_call *call);

#endif
