#include "target_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "worker.h"
#include "lav/http_sync.h"
#include "lav/ring.h"

#define TARGET_HTTP_JOBS_MAX 4096
#define TARGET_HTTP_CANCELS_MAX 1024
#define TARGET_HTTP_POLL_US 5000000 /* 5 s; closing the ring wakes it */
#define TARGET_HTTP_CANCEL_TIMEOUT_S 1
#define TARGET_HTTP_CANCEL_RESPONSE_MAX 4096
#define TARGET_HTTP_PATH_SIZE 128

typedef struct target_http_cancel_job {
    char url[NODECFG_URL_SIZE];
    char request[ID_SIZE];
} target_http_cancel_job;

/* Connection to the target, re-created when its address changes. */
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
    worker_thread cancel_thread;
};

/* Client for `url`, re-created if the target's address has changed.  NULL if
 * that fails. */
static http_sync_client *
target_http_get_client(target_http_connection *connection, const char *url)
{
    if (connection->http != NULL && strcmp(connection->url, url) == 0) {
        return connection->http;
    }
    http_sync_free(connection->http);
    connection->http = NULL;
    snprintf(connection->url, sizeof(connection->url), "%s", url);
    if (http_sync_new(&connection->http, url, NULL) < 0) {
        return NULL;
    }
    return connection->http;
}

/* Outcome for a return value of http_sync_perform(). */
static enum target_http_outcome
target_http_outcome_from(int result)
{
    switch (result) {
    case 0:
        return TARGET_HTTP_DONE;
    case ERR_UNAVAILABLE:
        return TARGET_HTTP_NOT_SENT;
    case ERR_FULL:
        return TARGET_HTTP_RESPONSE_TOO_LARGE;
    default:
        return TARGET_HTTP_RESPONSE_LOST;
    }
}

/* Sends a call to the target and waits for the response. */
static void
target_http_perform(target_http_result *out,
                    target_http_connection *connection,
                    const target_http_job *job)
{
    const msg_call *call = job->call;
    http_sync_response response = {0};
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
                                .outcome = TARGET_HTTP_NOT_SENT};
    http_sync_client *http = target_http_get_client(connection, job->url);
    if (http == NULL) {
        return;
    }
    out->outcome = target_http_outcome_from(
        http_sync_perform(&response, http, &request, NULL));
    out->resent = response.resent;
    out->status = response.status;
    snprintf(out->content_type, sizeof(out->content_type), "%s",
             response.content_type);
    if (out->outcome == TARGET_HTTP_DONE) {
        out->body = (msg_body){response.length, response.body};
        response.body = NULL;
    }
    http_sync_response_clear(&response);
}

/* Loop of a thread that performs calls. */
static void
target_http_call_main(void *payload)
{
    target_http *t = payload;
    target_http_connection connection = {0};
    target_http_job job;
    while (!worker_stop_requested(&t->cancel_thread)) {
        if (!ring_pop(&job, t->jobs, TARGET_HTTP_POLL_US)) {
            continue;
        }
        target_http_result result;
        target_http_perform(&result, &connection, &job);
        t->callback(&result, t->payload);
    }
    http_sync_free(connection.http);
}

/* Tells the target that a call was cancelled; a failure is ignored. */
static void
target_http_send_cancel(target_http_connection *connection,
                        const target_http_cancel_job *job)
{
    char path[TARGET_HTTP_PATH_SIZE];
    http_sync_response response;
    snprintf(path, sizeof(path), "/lav/call/%s", job->request);
    http_sync_request request = {.method = "DELETE",
                                 .path = path,
                                 .may_resend = true,
                                 .timeout_s = TARGET_HTTP_CANCEL_TIMEOUT_S,
                                 .response_body_bytes_max =
                                     TARGET_HTTP_CANCEL_RESPONSE_MAX};
    http_sync_client *http = target_http_get_client(connection, job->url);
    if (http != NULL) {
        (void)http_sync_perform(&response, http, &request, NULL);
        http_sync_response_clear(&response);
    }
}

/* Loop of the thread that sends cancellations. */
static void
target_http_cancel_main(void *payload)
{
    target_http *t = payload;
    target_http_connection connection = {0};
    target_http_cancel_job job;
    while (!worker_stop_requested(&t->cancel_thread)) {
        if (ring_pop(&job, t->cancels, TARGET_HTTP_POLL_US)) {
            target_http_send_cancel(&connection, &job);
        }
    }
    http_sync_free(connection.http);
}

/* Creates the client, as yet without threads for calls:
 * target_http_set_threads() starts them.  0, or a negative code with the
 * reason in `e`. */
int
target_http_new(target_http **out, target_http_cb callback, void *payload,
                err *e)
{
    target_http *t = calloc(1, sizeof(*t));
    if (t == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "target client");
    }
    t->callback = callback;
    t->payload = payload;
    int result =
        ring_new(&t->jobs, sizeof(target_http_job), TARGET_HTTP_JOBS_MAX);
    if (result == 0) {
        result = ring_new(&t->cancels, sizeof(target_http_cancel_job),
                          TARGET_HTTP_CANCELS_MAX);
    }
    if (result == 0) {
        result =
            worker_start(&t->cancel_thread, target_http_cancel_main, t, e);
    }
    if (result < 0) {
        target_http_free(t);
        return ERR_SET(e, result, "target client");
    }
    *out = t;
    return 0;
}

/* Stops the threads, each after its present call, and frees the client; takes
 * NULL. */
void
target_http_free(target_http *t)
{
    if (t == NULL) {
        return;
    }
    worker_request_stop(&t->cancel_thread);
    if (t->jobs != NULL) {
        ring_close(t->jobs);
    }
    if (t->cancels != NULL) {
        ring_close(t->cancels);
    }
    for (int i = 0; i < t->thread_count; i++) {
        worker_join(&t->threads[i]);
    }
    worker_join(&t->cancel_thread);
    ring_free(t->jobs);
    ring_free(t->cancels);
    free(t);
}

/* Grows the pool to `threads` threads, at most NODE_SLOTS_MAX; never shrinks
 * it.  0, or a negative code with the reason in `e`. */
int
target_http_set_threads(target_http *t, int threads, err *e)
{
    while (t->thread_count < threads && t->thread_count < NODE_SLOTS_MAX) {
        int result = worker_start(&t->threads[t->thread_count],
                                  target_http_call_main, t, e);
        if (result < 0) {
            return result;
        }
        t->thread_count++;
    }
    return 0;
}

/* Queues a call; the result goes to the callback.  ERR_FULL if the queue is
 * full. */
int
target_http_submit(target_http *t, const target_http_job *job)
{
    return ring_push(t->jobs, job);
}

/* Queues a cancellation of a call at the target; dropped if the queue is
 * full. */
void
target_http_cancel(target_http *t, const char *url, const char *request)
{
    target_http_cancel_job job;
    snprintf(job.url, sizeof(job.url), "%s", url);
    snprintf(job.request, sizeof(job.request), "%s", request);
    (void)ring_push(t->cancels, &job);
}
