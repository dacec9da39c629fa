#include "dlv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "duty.h"
#include "lav/http_sync.h"
#include "lav/ring.h"

#define DLV_JOBS_MAX 4096
#define DLV_CANCELS_MAX 1024
#define DLV_WAIT_US 5000000 /* 5 s; closing the ring ends it sooner */
#define DLV_CANCEL_TIMEOUT_S 1
#define DLV_CANCEL_ANSWER_MAX 4096
#define DLV_PATH_SIZE 128

typedef struct dlv_cancel_job {
    char url[NODECFG_URL_SIZE];
    char request[ID_SIZE];
} dlv_cancel_job;

/* A client of the target, made anew when the target's address changes. */
typedef struct dlv_client {
    char url[NODECFG_URL_SIZE];
    http_sync_client *http;
} dlv_client;

struct dlv {
    dlv_cb callback;
    void *payload;
    ring *jobs;
    ring *cancels;
    int thread_count;
    duty threads[NODE_SLOTS_MAX];
    duty canceller;
};

static http_sync_client *
dlv_connect(dlv_client *client, const char *url)
{
    if (client->http != NULL && strcmp(client->url, url) == 0) {
        return client->http;
    }
    http_sync_free(client->http);
    client->http = NULL;
    snprintf(client->url, sizeof(client->url), "%s", url);
    if (http_sync_new(&client->http, url, NULL) < 0) {
        return NULL;
    }
    return client->http;
}

static enum dlv_end
dlv_end_of(int result)
{
    switch (result) {
    case 0:
        return DLV_DONE;
    case ERR_UNAVAILABLE:
        return DLV_NOT_SENT;
    case ERR_FULL:
        return DLV_TOO_LARGE;
    default:
        return DLV_LOST;
    }
}

static void
dlv_deliver(dlv_result *out, dlv_client *client, const dlv_job *job)
{
    const msg_call *call = job->call;
    http_sync_response answer = {0};
    http_sync_request request = {
        .method = call->method,
        .path = call->path,
        .content_type = call->content_type,
        .body = call->body.bytes,
        .length = call->body.length,
        .headers = {{"Lav-Request-Id", call->request},
                    {"Lav-Context", job->context}},
        .may_resend = job->may_resend,
        .timeout_s = job->timeout_s,
        .response_body_bytes_max = MSG_BODY_BYTES_MAX,
    };
    *out = (dlv_result){.handle = job->handle, .end = DLV_NOT_SENT};
    http_sync_client *http = dlv_connect(client, job->url);
    if (http == NULL) {
        return;
    }
    out->end = dlv_end_of(http_sync_perform(&answer, http, &request, NULL));
    out->resent = answer.resent;
    out->status = answer.status;
    snprintf(out->content_type, sizeof(out->content_type), "%s",
             answer.content_type);
    if (out->end == DLV_DONE) {
        out->body = (msg_body){answer.length, answer.body};
        answer.body = NULL;
    }
    http_sync_response_clear(&answer);
}

static void
dlv_main(void *payload)
{
    dlv *d = payload;
    dlv_client client = {0};
    dlv_job job;
    while (!duty_ended(&d->canceller)) {
        if (!ring_pop(&job, d->jobs, DLV_WAIT_US)) {
            continue;
        }
        dlv_result result;
        dlv_deliver(&result, &client, &job);
        d->callback(&result, d->payload);
    }
    http_sync_free(client.http);
}

static void
dlv_tell_cancel(dlv_client *client, const dlv_cancel_job *job)
{
    char path[DLV_PATH_SIZE];
    http_sync_response answer;
    snprintf(path, sizeof(path), "/lav/call/%s", job->request);
    http_sync_request request = {.method = "DELETE",
                                 .path = path,
                                 .may_resend = true,
                                 .timeout_s = DLV_CANCEL_TIMEOUT_S,
                                 .response_body_bytes_max =
                                     DLV_CANCEL_ANSWER_MAX};
    http_sync_client *http = dlv_connect(client, job->url);
    if (http != NULL) {
        (void)http_sync_perform(&answer, http, &request, NULL);
        http_sync_response_clear(&answer);
    }
}

static void
dlv_cancel_main(void *payload)
{
    dlv *d = payload;
    dlv_client client = {0};
    dlv_cancel_job job;
    while (!duty_ended(&d->canceller)) {
        if (ring_pop(&job, d->cancels, DLV_WAIT_US)) {
            dlv_tell_cancel(&client, &job);
        }
    }
    http_sync_free(client.http);
}

/* Make it with no thread for calls yet; the callback is told of each job's
 * end, from one of the threads. */
int
dlv_new(dlv **out, dlv_cb callback, void *payload, err *e)
{
    dlv *d = calloc(1, sizeof(*d));
    if (d == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "deliverer");
    }
    d->callback = callback;
    d->payload = payload;
    int result = ring_new(&d->jobs, sizeof(dlv_job), DLV_JOBS_MAX);
    if (result == 0) {
        result =
            ring_new(&d->cancels, sizeof(dlv_cancel_job), DLV_CANCELS_MAX);
    }
    if (result == 0) {
        result = duty_start(&d->canceller, dlv_cancel_main, d, e);
    }
    if (result < 0) {
        dlv_free(d);
        return ERR_SET(e, result, "deliverer");
    }
    *out = d;
    return 0;
}

/* End the threads, each after its present call; takes NULL. */
void
dlv_free(dlv *d)
{
    if (d == NULL) {
        return;
    }
    duty_end(&d->canceller);
    if (d->jobs != NULL) {
        ring_close(d->jobs);
    }
    if (d->cancels != NULL) {
        ring_close(d->cancels);
    }
    for (int i = 0; i < d->thread_count; i++) {
        duty_join(&d->threads[i]);
    }
    duty_join(&d->canceller);
    ring_free(d->jobs);
    ring_free(d->cancels);
    free(d);
}

/* Have at least `threads` threads, up to NODE_SLOTS_MAX. */
int
dlv_set_threads(dlv *d, int threads, err *e)
{
    while (d->thread_count < threads && d->thread_count < NODE_SLOTS_MAX) {
        int result = duty_start(&d->threads[d->thread_count], dlv_main, d, e);
        if (result < 0) {
            return result;
        }
        d->thread_count++;
    }
    return 0;
}

/* Hand a call over; ERR_FULL where too many wait already. */
int
dlv_submit(dlv *d, const dlv_job *job)
{
    return ring_push(d->jobs, job);
}

/* Tell the target that a call is not wanted any more. */
void
dlv_cancel(dlv *d, const char *url, const char *request)
{
    dlv_cancel_job job;
    snprintf(job.url, sizeof(job.url), "%s", url);
    snprintf(job.request, sizeof(job.request), "%s", request);
    (void)ring_push(d->cancels, &job);
}
