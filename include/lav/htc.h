/*
 * htc: one blocking HTTP exchange by neon, with a bounded body both ways.
 * The outcome tells apart what the caller must not confuse: never sent,
 * sent without a trustworthy answer, and answered.
 */
#ifndef LAV_HTC_H
#define LAV_HTC_H

#include <stdbool.h>
#include <stddef.h>

#include "lav/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define HTC_TYPE_SIZE 64 /* bytes of a content type, with the NUL */
#define HTC_TEXT_SIZE 64 /* bytes of another answer header, with the NUL */
#define HTC_HEADERS_MAX 6

typedef struct htc htc;

typedef struct htc_header {
    const char *name;
    const char *value;
} htc_header;

typedef struct htc_request {
    const char *method;
    const char *path;         /* with the query */
    const char *content_type; /* may be NULL */
    const char *body;
    size_t length;
    htc_header headers[HTC_HEADERS_MAX]; /* closed by a NULL name */
    bool may_resend;   /* idempotent: a kept connection may be used, and the
                      * library may send it a second time */
    int timeout_s;     /* for each read */
    size_t answer_max; /* bytes of the answer's body */
} htc_request;

typedef struct htc_answer {
    int status;
    bool resent; /* a kept connection was replaced during the exchange */
    size_t length;
    char *body; /* owned; NUL after the last byte */
    char content_type[HTC_TYPE_SIZE];
    char etag[HTC_TEXT_SIZE];
    char outcome[HTC_TEXT_SIZE]; /* header Lav-Outcome */
    char reason[HTC_TEXT_SIZE];  /* header Lav-Reason */
    char request[HTC_TEXT_SIZE]; /* header Lav-Request-Id */
} htc_answer;

int htc_new(htc **out, const char *url, err *e);
void htc_free(htc *h);
int htc_exchange(htc_answer *out, htc *h, const htc_request *request, err *e);
void htc_answer_clear(htc_answer *answer);
int htc_get_text(char **out, const char *url, const char *path, int timeout_s,
                 size_t answer_max);

#ifdef __cplusplus
}
#endif

#endif
