/*
 * http_sync: blocking HTTP client, one request at a time, with a limit on the
 * size of the response body.  The result distinguishes a
 * request that was never sent, one that may have been sent but has no
 * complete response, and one that was answered.
 */
#ifndef LAV_HTTP_SYNC_H
#define LAV_HTTP_SYNC_H

#include <stdbool.h>
#include <stddef.h>

#include "lav/err.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Bytes of a content type and of other response headers, with the NUL. */
#define HTTP_SYNC_CONTENT_TYPE_SIZE 64
#define HTTP_SYNC_HEADER_SIZE 64
#define HTTP_SYNC_HEADERS_MAX 6

typedef struct http_sync_client http_sync_client;

typedef struct http_sync_header {
    const char *name;
    const char *value;
} http_sync_header;

typedef struct http_sync_request {
    const char *method;
    const char *path;         /* with the query */
    const char *content_type; /* may be NULL */
    const char *body;
    size_t length;                                   /* bytes of the body */
    http_sync_header headers[HTTP_SYNC_HEADERS_MAX]; /* up to a NULL name */
    bool may_resend; /* idempotent: may go over a kept connection, and once
                      * more over a new one if the server closes that */
    int timeout_s;   /* up to the complete response, in seconds */
    size_t response_body_bytes_max;
} http_sync_request;

typedef struct http_sync_response {
    int status;
    bool resent;   /* it may have been received twice */
    size_t length; /* bytes of the body */
    char *body;    /* owned; NUL after the last byte */
    char content_type[HTTP_SYNC_CONTENT_TYPE_SIZE];
    char etag[HTTP_SYNC_HEADER_SIZE];
    char outcome[HTTP_SYNC_HEADER_SIZE]; /* header Lav-Outcome */
    char reason[HTTP_SYNC_HEADER_SIZE];  /* header Lav-Reason */
    char request[HTTP_SYNC_HEADER_SIZE]; /* header Lav-Request-Id */
} http_sync_response;

int http_sync_new(http_sync_client **out, const char *url, err *e);
void http_sync_free(http_sync_client *client);
int http_sync_perform(http_sync_response *out, http_sync_client *client,
                      const http_sync_request *request, err *e);
void http_sync_response_clear(http_sync_response *response);
int http_sync_get_text(char **out, const char *url, const char *path,
                       int timeout_s, size_t response_body_bytes_max);

#ifdef __cplusplus
}
#endif

#endif
