#include "frontend.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "frontend_identity.h"
#include "frontend_log.h"
#include "frontend_private.h"
#include "frontend_usage.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "lav/retry_after.h"

/* The most that can be given in microseconds. */
#define FRONTEND_TIME_LEFT_MAX_MS (INT64_MAX / CLOCK_US_PER_MS)
#define FRONTEND_NUMBER_SIZE                                                  \
    24 /* bytes of a number in a field, with the NUL */

/* Limits that apply while no desired state is in force. */
#define FRONTEND_DEFAULT_HEAD_BYTES_MAX 65536
#define FRONTEND_DEFAULT_IDLE_TIMEOUT_US 15000000LL /* 15 s */
#define FRONTEND_DEFAULT_HEAD_TIMEOUT_US 5000000LL  /* 5 s */

static const http_conn_handlers frontend_handlers;

/* Takes a socket accepted at the callers' address. */
void
frontend_accept(int fd, const struct sockaddr_in *from, void *payload)
{
    runtime *n = payload;
    server_conn *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        log_write(LOG_ERROR, NULL, "out of memory for a caller's connection");
        close(fd);
        return;
    }
    const routing_limits *limits =
        n->routes == NULL ? NULL : routing_get_limits(n->routes);
    s->n = n;
    s->idle_us = limits == NULL ? FRONTEND_DEFAULT_IDLE_TIMEOUT_US
                                : limits->idle_timeout_us;
    if (http_conn_accept(&s->c, n->l, fd, from,
                         limits == NULL ? FRONTEND_DEFAULT_HEAD_BYTES_MAX
                                        : limits->header_bytes_max,
                         &frontend_handlers, s) < 0) {
        free(s);
        return;
    }
    http_conn_set_head_timeout(s->c, limits == NULL
                                         ? FRONTEND_DEFAULT_HEAD_TIMEOUT_US
                                         : limits->header_timeout_us);
    http_conn_set_deadline(s->c, n->l->now_us + s->idle_us);
}

/* Selects the fields of a request that are not forwarded, as nodes set them
 * themselves.  Where there are workspaces, API keys stay here. */
static bool
frontend_skip_request_field(http_str name, void *payload)
{
    const runtime *n = payload;
    const runtime_header_names *fields = n->header_names;
    if (routing_get_workspaces(n->routes) != NULL &&
        (http_str_equals_nocase(name, fields->authorization) ||
         http_str_equals_nocase(name, fields->workspace))) {
        return true;
    }
    return http_str_equals_nocase(name, fields->time_left_ms) ||
           http_str_equals_nocase(name, fields->caller_service) ||
           http_str_equals_nocase(name, fields->instance) ||
           hop_is_field(name);
}

/* Returns how many milliseconds the caller will wait, or 0 if the request does
 * not state it. */
static int64_t
frontend_time_left_ms(const runtime *n, const http_head *head)
{
    char text[FRONTEND_NUMBER_SIZE];
    if (!http_str_copy(
            text, sizeof(text),
            http_head_get_field(head, n->header_names->time_left_ms))) {
        return 0;
    }
    char *end = NULL;
    long long left_ms = strtoll(text, &end, 10);
    return *end == '\0' ? CLAMP(left_ms, 0, FRONTEND_TIME_LEFT_MAX_MS) : 0;
}

/* Validates a request head and looks up its route.  Returns 0, or the status
 * of the error response with its reason. */
static int
frontend_validate_head(const runtime *n, const http_head *head,
                       routing_route **route, enum reason *reason)
{
    http_str host = http_head_get_field(head, "Host");
    http_str target = http_head_get_target(head);
    *reason = REASON_BAD_REQUEST;
    if (http_head_count_field(head, "Host") != 1 || target.length == 0 ||
        target.bytes[0] != '/' ||
        http_head_count_field(head, n->header_names->request_id) != 1 ||
        http_head_get_field(head, n->header_names->request_id).length >=
            ATTEMPT_REQUEST_ID_BYTES) {
        return HTTP_STATUS_BAD_REQUEST;
    }
    if (n->closed) {
        *reason = REASON_STOPPING;
        return HTTP_STATUS_SERVICE_UNAVAILABLE;
    }
    if (n->routes == NULL) {
        *reason = REASON_NO_CONFIG;
        return HTTP_STATUS_SERVICE_UNAVAILABLE;
    }
    *route = routing_find(n->routes, host.bytes, host.length, target.bytes,
                          target.length);
    if (*route == NULL) {
        *reason = REASON_UNKNOWN_OPERATION;
        return HTTP_STATUS_NOT_FOUND;
    }
    if (head->content_length > routing_get_limits(n->routes)->body_bytes_max) {
        *reason = REASON_BODY_TOO_LARGE;
        return HTTP_STATUS_PAYLOAD_TOO_LARGE;
    }
    return 0;
}

/* Sets the parts of a request that its route determines, and starts its
 * deadline timer. */
static void
frontend_apply_route(frontend_request *q, const http_head *head,
                     routing_route *route)
{
    runtime *n = q->n;
    attempt_request *r = &q->r;
    int64_t time_left_us = frontend_time_left_ms(n, head) * CLOCK_US_PER_MS;
    if (time_left_us == 0 || time_left_us > route->timeout_us) {
        time_left_us = route->timeout_us;
    }
    attempt_request_init(r, head, frontend_skip_request_field, n);
    bytebuf_appendf(&r->fields, "%s: %s\r\n", n->header_names->caller_service,
                    n->settings.service);
    r->idempotent = route->idempotent;
    r->priority = route->priority;
    frontend_set_workspace(q, route->priority);
    r->objective_us = route->objective_us;
    r->deadline_us = r->arrived_us + time_left_us;
    r->route = route->key;
    r->origin = n->service_hash;
    r->depth = downstream_is_internal(n->downstream, route->key) ? 1 : 0;
    q->routed_by = runtime_config_version(n);
    q->attempts_left = route->attempts_max;
    q->resend_to = INSTANCE_NONE;
    g_strlcpy(q->service, routing_next_service(route), sizeof(q->service));
    q->query.service = q->service;
    q->query.zone = n->settings.zone;
    r->retry_probability =
        r->depth > 0 ? retry_share_get(n->retry_shares, n->l->now_us) : 0;
    retry_budget_window *budget = runtime_retry_budget(n, q->service);
    r->weight = 1;
    if (r->depth > 0) {
        r->weight =
            downstream_record_call(n->downstream, route->key, n->l->now_us);
        retry_budget_add_call(budget, r->retry_probability, n->l->now_us);
    }
    else {
        retry_budget_add_request(budget, 0, n->l->now_us);
    }
    ev_timer_set(&q->deadline, (double)time_left_us / CLOCK_US_PER_S, 0.);
    ev_timer_start(n->l->loop, &q->deadline);
}

/* Receives a request head: validates, identifies and routes the request, or
 * refuses it. */
static enum http_conn_head_result
frontend_on_head(http_conn *c, const http_head *head, void *payload)
{
    server_conn *s = payload;
    routing_route *route = NULL;
    enum reason reason = REASON_NONE;
    server_conn_begin_request(s, head);
    frontend_request *q = frontend_request_new(s, head);
    if (q == NULL) {
        log_write(LOG_ERROR, NULL, "out of memory for a request");
        http_conn_close(c);
        free(s);
        return HTTP_CONN_CLOSED;
    }
    q->r.retry_after_us = RETRY_AFTER_NO_TARGET_US;
    int status = frontend_validate_head(s->n, head, &route, &reason);
    if (status == 0) {
        status = frontend_identify(q, head, route, &reason);
    }
    if (status != 0) {
        frontend_respond_error(q, status, reason);
        return HTTP_CONN_ACCEPT;
    }
    q->r.retry_after_us = 0;
    frontend_apply_route(q, head, route);
    frontend_take_usage(q);
    return HTTP_CONN_ACCEPT;
}

/* Passes the body received so far to the attempt in progress. */
static void
frontend_send_body(frontend_request *q)
{
    switch (q->attempt.kind) {
    case FRONTEND_ATTEMPT_PEER:
        forward_send_body(q->attempt.handle.peer);
        break;
    case FRONTEND_ATTEMPT_LOCAL:
        local_target_send_body(q->attempt.handle.local);
        break;
    case FRONTEND_ATTEMPT_NONE:
        break;
    }
}

/* Buffers a part of the request body and passes it on; pauses reading while
 * too much is buffered. */
static void
frontend_on_body(http_conn *c, const char *bytes, size_t length, void *payload)
{
    server_conn *s = payload;
    frontend_request *q = s->request;
    if (q == NULL) {
        return; /* a response was already sent */
    }
    attempt_body_append(&q->r, bytes, length);
    int64_t max = routing_get_limits(q->n->routes)->body_bytes_max;
    if ((int64_t)attempt_body_end_offset(&q->r) > max) {
        frontend_cancel_attempt(q);
        s->close_after = true;
        frontend_respond_error(q, HTTP_STATUS_PAYLOAD_TOO_LARGE,
                               REASON_BODY_TOO_LARGE);
        return;
    }
    frontend_send_body(q);
    if (bytebuf_length(&q->r.body) > ATTEMPT_BODY_BUFFERED_BYTES_MAX) {
        http_conn_set_paused(c, true);
    }
}

/* The whole request has been read. */
static void
frontend_on_message(http_conn *c, void *payload)
{
    (void)c;
    server_conn *s = payload;
    frontend_request *q = s->request;
    if (q != NULL) {
        q->r.body_complete = true;
        frontend_send_body(q);
    }
    server_conn_end_request(s);
}

/* The caller's connection drained: resume reading the response. */
static void
frontend_on_drain(http_conn *c, void *payload)
{
    (void)c;
    server_conn *s = payload;
    frontend_request *q = s->request;
    if (q == NULL) {
        return;
    }
    switch (q->attempt.kind) {
    case FRONTEND_ATTEMPT_PEER:
        forward_pause_response(q->attempt.handle.peer, false);
        break;
    case FRONTEND_ATTEMPT_LOCAL:
        local_target_pause_response(q->attempt.handle.local, false);
        break;
    case FRONTEND_ATTEMPT_NONE:
        break;
    }
}

/* Returns the reason of the response to a request that was not read to its
 * end. */
static enum reason
frontend_rejection_reason(enum http_conn_close_reason end)
{
    switch (end) {
    case HTTP_CONN_TOO_LARGE:
        return REASON_HEAD_TOO_LARGE;
    case HTTP_CONN_TIMEOUT:
        return REASON_HEAD_TIMEOUT;
    default:
        return REASON_BAD_REQUEST;
    }
}

/* Responds to a malformed, oversized or late request, which may have been
 * passed on in part, before the connection closes.  The response before it is
 * written out in any case. */
static void
frontend_reject_request(server_conn *s, int status, enum reason reason)
{
    frontend_request *q = s->request;
    s->close_after = true;
    if (q != NULL) {
        frontend_cancel_attempt(q);
        frontend_respond_error(q, status, reason);
    }
    else if (!s->in_exchange) {
        counter_add_reason(reason);
        server_conn_write_head(s, status, NULL, HTTP_CONN_BODY_LENGTH, 0);
    }
    http_conn_linger(s->c);
}

/* The caller closed the connection, or it broke. */
static void
frontend_on_end(http_conn *c, enum http_conn_close_reason end, void *payload)
{
    server_conn *s = payload;
    frontend_request *q = s->request;
    int status = http_conn_error_status(c, end);
    if (status != 0 &&
        (q == NULL || (!q->committed && end != HTTP_CONN_TIMEOUT))) {
        frontend_reject_request(s, status, frontend_rejection_reason(end));
    }
    else if (q != NULL) {
        counter_add_reason(REASON_CALLER_GONE);
        frontend_cancel_attempt(q);
        frontend_free(q);
    }
    free(s);
}

static const http_conn_handlers frontend_handlers = {
    frontend_on_head, frontend_on_body, frontend_on_message, frontend_on_drain,
    frontend_on_end};
