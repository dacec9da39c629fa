/*
 * http_sync_client: one blocking HTTP exchange by neon, with a bounded body both ways.
 * The outcome tells apart what the caller must not confuse: never sent,
 * sent without a trustworthy answer, and answered.
 */
#ifndef LAV_HTTP_SYNC_H
#define LAV_HTTP_SYNC_H

#include <stdbool.h>
#include <stddef.h>

#include "lav/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define HTTP_SYNC_CONTENT_TYPE_SIZE                                           \
    64 /* bytes of a content type, with the NUL */
#define HTTP_SYNC_HEADER_SIZE                                                 \
    64 /* bytes of another answer header, with the NUL */
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
    size_t length;
    http_sync_header
        headers[HTTP_SYNC_HEADERS_MAX]; /* closed by a NULL name */
    bool may_resend; /* idempotent: a kept connection may be used, and the
                      * library may send it a second time */
    int timeout_s;   /* for each read */
    size_t response_body_bytes_max; /* bytes of the answer's body */
} http_sync_request;

typedef struct http_sync_response {
    int status;
    bool resent; /* a kept connection was replaced during the exchange */
    size_t length;
    char *body; /* owned; NUL after the last byte */
    char content_type[HTTP_SYNC_CONTENT_TYPE_SIZE];
    char etag[HTTP_SYNC_HEADER_SIZE];
    char outcome[HTTP_SYNC_HEADER_SIZE]; /* header Lav-Outcome */
    char reason[HTTP_SYNC_HEADER_SIZE];  /* header Lav-Reason */
    char request[HTTP_SYNC_HEADER_SIZE]; /* header Lav-Request-Id */
} http_sync_response;

int http_sync_new(http_sync_client **out, const char *url, err *e);
void http_sync_free(http_sync_client *h);
int http_sync_perform(http_sync_response *out, http_sync_client *h,
                      const http_sync_request *request, err *e);
void http_sync_response_clear(http_sync_response *answer);
int http_sync_get_text(char **out, const char *url, const char *path,
                       int timeout_s, size_t response_body_bytes_max);

#ifdef __cplusplus
}
#endif

#endif
