/* A caller's request: its start, its end and error responses. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "frontend_log.h"
#include "frontend_private.h"
#include "lav/clock.h"
#include "lav/counter.h"

/* Cancels the attempt in progress, if any. */
void
frontend_cancel_attempt(frontend_request *q)
{
    switch (q->attempt.kind) {
    case FRONTEND_ATTEMPT_PEER:
        forward_cancel(q->attempt.handle.peer);
        break;
    case FRONTEND_ATTEMPT_LOCAL:
        local_target_cancel_call(q->attempt.handle.local);
        break;
    case FRONTEND_ATTEMPT_NONE:
        break;
    }
    q->attempt.kind = FRONTEND_ATTEMPT_NONE;
}

/* Releases the copy of the key. */
static void
frontend_identity_clear(frontend_request *q)
{
    if (q->identity.key != NULL) {
        sodium_memzero(q->identity.key, strlen(q->identity.key));
        g_free(q->identity.key);
        q->identity.key = NULL;
    }
}

/* Releases a request; its attempt must have ended. */
void
frontend_free(frontend_request *q)
{
    ev_timer_stop(q->n->l->loop, &q->deadline);
    q->n->requests--;
    g_queue_unlink(&q->n->caller_requests, &q->link);
    usage_gate_cancel(&q->usage);
    frontend_identity_clear(q);
    attempt_request_clear(&q->r);
    bytebuf_clear(&q->fields);
    bytebuf_clear(&q->buffered);
    free(q);
}

/* Releases the request and completes its response. */
void
frontend_finish_request(frontend_request *q)
{
    server_conn *s = q->s;
    frontend_free(q);
    server_conn_end_response(s);
}

/* Counts the end of a request for its workspace, if it has one.  Without
 * memory for the counts nothing is counted. */
void
frontend_count_end(const frontend_request *q, enum workspace_outcome outcome)
{
    runtime *n = q->n;
    if (q->r.workspace == WORKSPACE_NONE || q->identity.exempt ||
        (n->ended == NULL && workspace_counts_new(&n->ended) < 0)) {
        return;
    }
    workspace_counts_add(n->ended, q->r.workspace, outcome);
}

/* Responds with an error of the node itself.  A 503 or 429 states that the
 * request has not run and never will, and carries Retry-After.  Nor has a
 * request run that gets a 401. */
void
frontend_respond_error(frontend_request *q, int status, enum reason reason)
{
    bytebuf fields = {0};
    counter_add_reason(reason);
    bool refused = status == HTTP_STATUS_SERVICE_UNAVAILABLE ||
                   status == HTTP_STATUS_TOO_MANY_REQUESTS;
    bool not_run = refused || status == HTTP_STATUS_UNAUTHORIZED;
    counter_add(not_run ? COUNTER_NOT_RUN : COUNTER_UNKNOWN, 1);
    frontend_log_error_response(q, status, reason);
    frontend_count_end(q, workspace_outcome_of(reason));
    if (refused) {
        usage_gate_return(&q->usage);
        int64_t after_us = q->r.retry_after_us > 0
                               ? q->r.retry_after_us
                               : local_target_retry_after_us(q->n->local);
        bytebuf_appendf(&fields, "Retry-After: %.3f\r\n",
                        (double)after_us / CLOCK_US_PER_S);
    }
    else if (status == HTTP_STATUS_UNAUTHORIZED) {
        bytebuf_append_text(&fields, "WWW-Authenticate: Bearer\r\n");
    }
    server_conn_write_head(q->s, status, &fields, HTTP_CONN_BODY_LENGTH, 0);
    bytebuf_clear(&fields);
    frontend_finish_request(q);
}

/* The timeout of the route, or of the caller, has expired. */
static void
frontend_on_deadline(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    frontend_request *q = watcher->data;
    evloop_update_now(q->n->l);
    frontend_cancel_attempt(q);
    if (q->committed) {
        counter_add_reason(REASON_TIMEOUT);
        http_conn_reset(q->s->c); /* frontend_on_end() releases the request */
        return;
    }
    frontend_respond_error(q, HTTP_STATUS_GATEWAY_TIMEOUT, REASON_TIMEOUT);
}

/* Creates the request in progress on a connection; NULL if out of memory. */
frontend_request *
frontend_request_new(server_conn *s, const http_head *head)
{
    runtime *n = s->n;
    frontend_request *q = calloc(1, sizeof(*q));
    if (q == NULL) {
        return NULL;
    }
    q->n = n;
    q->s = s;
    s->request = q;
    n->requests++;
    q->link.data = q;
    g_queue_push_tail_link(&n->caller_requests, &q->link);
    counter_add(COUNTER_CALLS_IN, 1);
    http_str_copy(q->r.id, sizeof(q->r.id),
                  http_head_get_field(head, n->header_names->request_id));
    q->r.arrived_us = n->l->now_us;
    q->last_member = INSTANCE_NONE;
    q->last_failure = (attempt_failure){OUTCOME_NOT_RUN, REASON_NO_TARGET,
                                        false, false, INSTANCE_NONE};
    ev_init(&q->deadline, frontend_on_deadline);
    q->deadline.data = q;
    return q;
}
