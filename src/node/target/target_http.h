/*
 * target_http: HTTP client of the local target, on http_sync.  Calls run on a
 * pool with one thread per slot of the target; a further thread sends
 * cancellations.
 *
 *   METHOD /OPERATION...   sends a call; Lav-Request-Id, Lav-Context
 *   DELETE /lav/call/ID    cancels the call
 */
#ifndef LAV_NODE_TARGET_HTTP_H
#define LAV_NODE_TARGET_HTTP_H

#include "lav/call_context.h"
#include "node.h"
#include "lav/msg.h"

enum target_http_outcome {
    TARGET_HTTP_DONE,              /* a complete response */
    TARGET_HTTP_NOT_SENT,          /* no connection: the target never got it */
    TARGET_HTTP_RESPONSE_LOST,     /* sent; no complete response came */
    TARGET_HTTP_RESPONSE_TOO_LARGE /* over MSG_BODY_BYTES_MAX */
};

typedef struct target_http_job {
    int handle; /* slot of the call in the admitter */
    char url[NODECFG_URL_SIZE];
    const msg_call *call; /* valid until the callback returns */
    char context[CALL_CONTEXT_TEXT_SIZE];
    bool idempotent;
    bool may_resend; /* by the HTTP library, on a kept connection */
    int timeout_s;   /* for each read */
} target_http_job;

typedef struct target_http_result {
    int handle;
    enum target_http_outcome outcome;
    bool resent; /* the HTTP library may have sent it twice */
    int status;
    char content_type[MSG_CONTENT_TYPE_SIZE];
    msg_body body; /* owned by the callback */
} target_http_result;

/* Called with the result of each job, on one of the threads. */
typedef void (*target_http_cb)(const target_http_result *result,
                               void *payload);

typedef struct target_http target_http;

int target_http_new(target_http **out, target_http_cb callback, void *payload,
                    err *e);
void target_http_free(target_http *t);
int target_http_set_threads(target_http *t, int threads, err *e);
int target_http_submit(target_http *t, const target_http_job *job);
void target_http_cancel(target_http *t, const char *url, const char *request);

#endif
