#include "target_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "worker.h"
#include "lav/http_sync.h"
#include "lav/ring.h"

#define TARGET_HTTP_JOBS_MAX 4096
#define TARGET_HTTP_CANCELS_MAX 1024
#define TARGET_HTTP_WAIT_US 5000000 /* 5 s; closing the ring ends it sooner */
#define TARGET_HTTP_CANCEL_TIMEOUT_S 1
#define TARGET_HTTP_CANCEL_ANSWER_MAX 4096
#define TARGET_HTTP_PATH_SIZE 128

typedef struct target_http_cancel_job {
    char url[NODECFG_URL_SIZE];
    char request[ID_SIZE];
} target_http_cancel_job;

/* A client of the target, made anew when the target's address changes. */
typedef struct target_http_connection {
    char url[NODECFG_URL_SIZE];
    http_sync_client *http;
} target_http_connection;

struct target_http {
    target_http_cb callback;
    void *payload;
    ring *jobs;
    ring *cancels;
    int thread_count;
    worker_thread threads[NODE_SLOTS_MAX];
    worker_thread canceller;
};

static http_sync_client *
target_http_connect(target_http_connection *client, const char *url)
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

static enum target_http_outcome
target_http_outcome_of(int result)
{
    switch (result) {
    case 0:
        return TARGET_HTTP_DONE;
    case ERR_UNAVAILABLE:
        return TARGET_HTTP_NOT_SENT;
    case ERR_FULL:
        return TARGET_HTTP_ANSWER_TOO_LARGE;
    default:
        return TARGET_HTTP_ANSWER_LOST;
    }
}

static void
target_http_deliver(target_http_result *out, target_http_connection *client,
                    const target_http_job *job)
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
    *out = (target_http_result){.handle = job->handle,
                                .end = TARGET_HTTP_NOT_SENT};
    http_sync_client *http = target_http_connect(client, job->url);
    if (http == NULL) {
        return;
    }
    out->end = target_http_outcome_of(
        http_sync_perform(&answer, http, &request, NULL));
    out->resent = answer.resent;
    out->status = answer.status;
    snprintf(out->content_type, sizeof(out->content_type), "%s",
             answer.content_type);
    if (out->end == TARGET_HTTP_DONE) {
        out->body = (msg_body){answer.length, answer.body};
        answer.body = NULL;
    }
    http_sync_response_clear(&answer);
}

static void
target_http_main(void *payload)
{
    target_http *d = payload;
    target_http_connection client = {0};
    target_http_job job;
    while (!worker_stop_requested(&d->canceller)) {
        if (!ring_pop(&job, d->jobs, TARGET_HTTP_WAIT_US)) {
            continue;
        }
        target_http_result result;
        target_http_deliver(&result, &client, &job);
        d->callback(&result, d->payload);
    }
    http_sync_free(client.http);
}

static void
target_http_tell_cancel(target_http_connection *client,
                        const target_http_cancel_job *job)
{
    char path[TARGET_HTTP_PATH_SIZE];
    http_sync_response answer;
    snprintf(path, sizeof(path), "/lav/call/%s", job->request);
    http_sync_request request = {.method = "DELETE",
                                 .path = path,
                                 .may_resend = true,
                                 .timeout_s = TARGET_HTTP_CANCEL_TIMEOUT_S,
                                 .response_body_bytes_max =
                                     TARGET_HTTP_CANCEL_ANSWER_MAX};
    http_sync_client *http = target_http_connect(client, job->url);
    if (http != NULL) {
        (void)http_sync_perform(&answer, http, &request, NULL);
        http_sync_response_clear(&answer);
    }
}

static void
target_http_cancel_main(void *payload)
{
    target_http *d = payload;
    target_http_connection client = {0};
    target_http_cancel_job job;
    while (!worker_stop_requested(&d->canceller)) {
        if (ring_pop(&job, d->cancels, TARGET_HTTP_WAIT_US)) {
            target_http_tell_cancel(&client, &job);
        }
    }
    http_sync_free(client.http);
}

/* Make it with no thread for calls yet; the callback is told of each job's
 * end, from one of the threads. */
int
target_http_new(target_http **out, target_http_cb callback, void *payload,
                err *e)
{
    target_http *d = calloc(1, sizeof(*d));
    if (d == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "deliverer");
    }
    d->callback = callback;
    d->payload = payload;
    int result =
        ring_new(&d->jobs, sizeof(target_http_job), TARGET_HTTP_JOBS_MAX);
    if (result == 0) {
        result = ring_new(&d->cancels, sizeof(target_http_cancel_job),
                          TARGET_HTTP_CANCELS_MAX);
    }
    if (result == 0) {
        result = worker_start(&d->canceller, target_http_cancel_main, d, e);
    }
    if (result < 0) {
        target_http_free(d);
        return ERR_SET(e, result, "deliverer");
    }
    *out = d;
    return 0;
}

/* End the threads, each after its present call; takes NULL. */
void
target_http_free(target_http *d)
{
    if (d == NULL) {
        return;
    }
    worker_request_stop(&d->canceller);
    if (d->jobs != NULL) {
        ring_close(d->jobs);
    }
    if (d->cancels != NULL) {
        ring_close(d->cancels);
    }
    for (int i = 0; i < d->thread_count; i++) {
        worker_join(&d->threads[i]);
    }
    worker_join(&d->canceller);
    ring_free(d->jobs);
    ring_free(d->cancels);
    free(d);
}

/* Have at least `threads` threads, up to NODE_SLOTS_MAX. */
int
target_http_set_threads(target_http *d, int threads, err *e)
{
    while (d->thread_count < threads && d->thread_count < NODE_SLOTS_MAX) {
        int result =
            worker_start(&d->threads[d->thread_count], target_http_main, d, e);
        if (result < 0) {
            return result;
        }
        d->thread_count++;
    }
    return 0;
}

/* Hand a call over; ERR_FULL where too many wait already. */
int
target_http_submit(target_http *d, const target_http_job *job)
{
    return ring_push(d->jobs, job);
}

/* Tell the target that a call is not wanted any more. */
void
target_http_cancel(target_http *d, const char *url, const char *request)
{
    target_http_cancel_job job;
    snprintf(job.url, sizeof(job.url), "%s", url);
    snprintf(job.request, sizeof(job.request), "%s", request);
    (void)ring_push(d->cancels, &job);
}
