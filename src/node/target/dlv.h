/*
 * dlv: hands calls to the local target over HTTP, by neon, with one thread
 * for each slot; one more thread tells the target of cancelled calls.
 *
 *   METHOD /OPERATION...   Lav-Request-Id, Lav-Context; the call itself
 *   DELETE /lav/call/ID    the call is not wanted any more
 */
#ifndef LAV_NODE_DLV_H
#define LAV_NODE_DLV_H

#include "lav/call_context.h"
#include "node.h"
#include "lav/msg.h"

enum dlv_end {
    DLV_DONE,     /* the whole answer is here */
    DLV_NOT_SENT, /* no connection: the target never got it */
    DLV_LOST,     /* sent, and no whole answer */
    DLV_TOO_LARGE /* answered, but over the limit */
};

typedef struct dlv_job {
    int handle; /* of the admitter */
    char url[NODECFG_URL_SIZE];
    const msg_call *call; /* stays valid until the job is over */
    char context[CALL_CONTEXT_TEXT_SIZE];
    bool idempotent;
    bool may_resend;
    int timeout_s;
} dlv_job;

typedef struct dlv_result {
    int handle;
    enum dlv_end end;
    bool resent; /* the HTTP library may have sent it twice */
    int status;
    char content_type[MSG_CONTENT_TYPE_SIZE];
    msg_body body; /* owned by the receiver */
} dlv_result;

typedef void (*dlv_cb)(const dlv_result *result, void *payload);

typedef struct dlv dlv;

int dlv_new(dlv **out, dlv_cb callback, void *payload, err *e);
void dlv_free(dlv *d);
int dlv_set_threads(dlv *d, int threads, err *e);
int dlv_submit(dlv *d, const dlv_job *job);
void dlv_cancel(dlv *d, const char *url, const char *request);

#endif
