/*
 * target_http: hands calls to the local target over HTTP, by neon, with one thread
 * for each slot; one more thread tells the target of cancelled calls.
 *
 *   METHOD /OPERATION...   Lav-Request-Id, Lav-Context; the call itself
 *   DELETE /lav/call/ID    the call is not wanted any more
 */
#ifndef LAV_NODE_TARGET_HTTP_H
#define LAV_NODE_TARGET_HTTP_H

#include "lav/call_context.h"
#include "node.h"
#include "lav/msg.h"

enum target_http_outcome {
    TARGET_HTTP_DONE,            /* the whole answer is here */
    TARGET_HTTP_NOT_SENT,        /* no connection: the target never got it */
    TARGET_HTTP_ANSWER_LOST,     /* sent, and no whole answer */
    TARGET_HTTP_ANSWER_TOO_LARGE /* answered, but over the limit */
};

typedef struct target_http_job {
    int handle; /* of the admitter */
    char url[NODECFG_URL_SIZE];
    const msg_call *call; /* stays valid until the job is over */
    char context[CALL_CONTEXT_TEXT_SIZE];
    bool idempotent;
    bool may_resend;
    int timeout_s;
} target_http_job;

typedef struct target_http_result {
    int handle;
    enum target_http_outcome end;
    bool resent; /* the HTTP library may have sent it twice */
    int status;
    char content_type[MSG_CONTENT_TYPE_SIZE];
    msg_body body; /* owned by the receiver */
} target_http_result;

typedef void (*target_http_cb)(const target_http_result *result,
                               void *payload);

typedef struct target_http target_http;

int target_http_new(target_http **out, target_http_cb callback, void *payload,
                    err *e);
void target_http_free(target_http *d);
int target_http_set_threads(target_http *d, int threads, err *e);
int target_http_submit(target_http *d, const target_http_job *job);
void target_http_cancel(target_http *d, const char *url, const char *request);

#endif
