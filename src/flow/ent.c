#include "ent.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ent_log.h"
#include "ent_private.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "lav/retry_after.h"

#define ENT_TIME_SIZE 24       /* bytes of a number in a field */
#define ENT_HEAD_MAX 65536     /* bytes, while no limits are known */
#define ENT_IDLE_US 15000000LL /* 15 s, while no limits are known */
#define ENT_HEAD_US 5000000LL  /* 5 s, ditto */

static const http_conn_handlers ent_handlers;

/* A socket was accepted at the callers' address. */
void
ent_accept(int fd, const struct sockaddr_in *from, void *payload)
{
    nod *n = payload;
    rsp *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        log_write(LOG_ERROR, NULL, "no memory for a caller's connection");
        close(fd);
        return;
    }
    const routing_limits *limits =
        n->routes == NULL ? NULL : routing_get_limits(n->routes);
    s->n = n;
    s->idle_us = limits == NULL ? ENT_IDLE_US : limits->idle_timeout_us;
    if (http_conn_accept(&s->c, n->l, fd, from,
                         limits == NULL ? ENT_HEAD_MAX
                                        : limits->header_bytes_max,
                         &ent_handlers, s) < 0) {
        free(s);
        return;
    }
    http_conn_set_head_timeout(
        s->c, limits == NULL ? ENT_HEAD_US : limits->header_timeout_us);
    http_conn_set_deadline(s->c, n->l->now_us + s->idle_us);
}

/* Give the attempt under way up. */
void
ent_cancel_attempt(ent_request *q)
{
    switch (q->attempt.kind) {
    case ENT_ATTEMPT_PEER:
        fwd_cancel(q->attempt.of.peer);
        break;
    case ENT_ATTEMPT_LOCAL:
        lcl_cancel(q->attempt.of.local);
        break;
    case ENT_ATTEMPT_NONE:
        break;
    }
    q->attempt.kind = ENT_ATTEMPT_NONE;
}

static void
ent_free(ent_request *q)
{
    ev_timer_stop(q->n->l->loop, &q->deadline);
    q->n->requests--;
    att_request_clear(&q->r);
    bytebuf_clear(&q->fields);
    bytebuf_clear(&q->held);
    free(q);
}

/* The request has its answer. */
void
ent_finish(ent_request *q)
{
    rsp *s = q->s;
    ent_free(q);
    rsp_end(s);
}

/* Answer in our own name.  A 503 says that the request has not run and never
 * will, and when to come back. */
void
ent_own(ent_request *q, int status, enum reason reason)
{
    bytebuf fields = {0};
    counter_add_reason(reason);
    counter_add(status == HTTP_STATUS_SERVICE_UNAVAILABLE ? COUNTER_NOT_RUN
                                                          : COUNTER_UNKNOWN,
                1);
    ent_log_answer(q, status, reason);
    if (status == HTTP_STATUS_SERVICE_UNAVAILABLE) {
        int64_t after_us = q->r.retry_after_us > 0
                               ? q->r.retry_after_us
                               : lcl_retry_after_us(q->n->local);
        bytebuf_appendf(&fields, "Retry-After: %.3f\r\n",
                        (double)after_us / CLOCK_US_PER_S);
    }
    rsp_head(q->s, status, &fields, HTTP_CONN_BODY_LENGTH, 0);
    bytebuf_clear(&fields);
    ent_finish(q);
}

/* The route's time, or the caller's, is over. */
static void
ent_on_deadline(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    ent_request *q = watcher->data;
    evloop_update_now(q->n->l);
    ent_cancel_attempt(q);
    if (q->committed) {
        counter_add_reason(REASON_TIMEOUT);
        http_conn_reset(q->s->c); /* ent_on_end() releases the request */
        return;
    }
    ent_own(q, HTTP_STATUS_GATEWAY_TIMEOUT, REASON_TIMEOUT);
}

static bool
ent_skip_field(http_str name, void *payload)
{
    const nod_fields *fields = payload;
    return http_str_equals_nocase(name, fields->time_left_ms) ||
           http_str_equals_nocase(name, fields->caller_service) ||
           http_str_equals_nocase(name, fields->instance) ||
           http_str_equals_nocase(name, HOP_FIELD);
}

/* Milliseconds that the caller will wait; 0 where it doesn't say. */
static int64_t
ent_time_left_ms(const nod *n, const http_head *head)
{
    char text[ENT_TIME_SIZE];
    if (!http_str_copy(text, sizeof(text),
                       http_head_get_field(head, n->fields->time_left_ms))) {
        return 0;
    }
    char *end = NULL;
    long long left_ms = strtoll(text, &end, 10);
    return *end == '\0' && left_ms > 0 ? left_ms : 0;
}

/* A request that can't be taken: the status and the reason, or 0. */
static int
ent_check(const nod *n, const http_head *head, routing_route **route,
          enum reason *reason)
{
    http_str host = http_head_get_field(head, "Host");
    http_str target = http_head_get_target(head);
    *reason = REASON_BAD_REQUEST;
    if (http_head_count_field(head, "Host") != 1 || target.length == 0 ||
        target.bytes[0] != '/' ||
        http_head_count_field(head, n->fields->request_id) != 1 ||
        http_head_get_field(head, n->fields->request_id).length >=
            ATT_ID_SIZE) {
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

static ent_request *
ent_request_new(rsp *s, const http_head *head)
{
    nod *n = s->n;
    ent_request *q = calloc(1, sizeof(*q));
    if (q == NULL) {
        return NULL;
    }
    q->n = n;
    q->s = s;
    s->request = q;
    n->requests++;
    counter_add(COUNTER_CALLS_IN, 1);
    http_str_copy(q->r.id, sizeof(q->r.id),
                  http_head_get_field(head, n->fields->request_id));
    q->r.arrived_us = n->l->now_us;
    q->last_member = INSTANCE_NONE;
    q->last = (att_failure){OUTCOME_NOT_RUN, REASON_NO_TARGET, false, false,
                            INSTANCE_NONE};
    ev_init(&q->deadline, ent_on_deadline);
    q->deadline.data = q;
    return q;
}

/* Set what the route says of the request. */
static void
ent_route(ent_request *q, const http_head *head, routing_route *route)
{
    nod *n = q->n;
    att_request *r = &q->r;
    int64_t time_left_us = ent_time_left_ms(n, head) * CLOCK_US_PER_MS;
    if (time_left_us == 0 || time_left_us > route->timeout_us) {
        time_left_us = route->timeout_us;
    }
    att_request_take(r, head, ent_skip_field, (void *)n->fields);
    bytebuf_appendf(&r->fields, "%s: %s\r\n", n->fields->caller_service,
                    n->settings.service);
    r->idempotent = route->idempotent;
    r->priority = route->priority;
    r->objective_us = route->objective_us;
    r->deadline_us = r->arrived_us + time_left_us;
    r->route = route->key;
    r->origin = n->service;
    r->depth = downstream_is_internal(n->chains, route->key) ? 1 : 0;
    q->attempts_left = route->attempts_max;
    q->resend_to = INSTANCE_NONE;
    g_strlcpy(q->service, routing_next_service(route), sizeof(q->service));
    q->choice.service = q->service;
    q->choice.zone = n->settings.zone;
    r->repeat = r->depth > 0 ? retry_share_get(n->repeats, n->l->now_us) : 0;
    retry_budget_add_request(nod_budget(n, q->service), r->repeat,
                             n->l->now_us);
    ev_timer_set(&q->deadline, (double)time_left_us / CLOCK_US_PER_S, 0.);
    ev_timer_start(n->l->loop, &q->deadline);
}

static enum http_conn_head_result
ent_on_head(http_conn *c, const http_head *head, void *payload)
{
    rsp *s = payload;
    routing_route *route = NULL;
    enum reason reason = REASON_NONE;
    rsp_begin(s, head);
    ent_request *q = ent_request_new(s, head);
    if (q == NULL) {
        log_write(LOG_ERROR, NULL, "no memory for a request");
        http_conn_close(c);
        free(s);
        return HTTP_CONN_CLOSED;
    }
    int status = ent_check(s->n, head, &route, &reason);
    if (status != 0) {
        q->r.retry_after_us = RETRY_AFTER_NO_TARGET_US;
        ent_own(q, status, reason);
        return HTTP_CONN_ACCEPT;
    }
    ent_route(q, head, route);
    if (q->r.depth == 0 && !shedder_admit(s->n->gate, route->key,
                                          route->priority, s->n->l->now_us)) {
        q->r.retry_after_us =
            retry_after_shed_us(q->r.objective_us, nod_random());
        ent_own(q, HTTP_STATUS_SERVICE_UNAVAILABLE, REASON_EARLY_REFUSAL);
        return HTTP_CONN_ACCEPT;
    }
    ent_try(q);
    return HTTP_CONN_ACCEPT;
}

/* Send on what has come of the body. */
static void
ent_pass_body(ent_request *q)
{
    switch (q->attempt.kind) {
    case ENT_ATTEMPT_PEER:
        fwd_body(q->attempt.of.peer);
        break;
    case ENT_ATTEMPT_LOCAL:
        lcl_body(q->attempt.of.local);
        break;
    case ENT_ATTEMPT_NONE:
        break;
    }
}

static void
ent_on_body(http_conn *c, const char *bytes, size_t length, void *payload)
{
    rsp *s = payload;
    ent_request *q = s->request;
    if (q == NULL) {
        return; /* answered already */
    }
    att_body_add(&q->r, bytes, length);
    int64_t max = routing_get_limits(q->n->routes)->body_bytes_max;
    if ((int64_t)att_body_end(&q->r) > max) {
        ent_cancel_attempt(q);
        s->close_after = true;
        ent_own(q, HTTP_STATUS_PAYLOAD_TOO_LARGE, REASON_BODY_TOO_LARGE);
        return;
    }
    ent_pass_body(q);
    if (bytebuf_length(&q->r.body) > ATT_BODY_HELD_MAX) {
        http_conn_set_paused(c, true);
    }
}

static void
ent_on_message(http_conn *c, void *payload)
{
    (void)c;
    rsp *s = payload;
    ent_request *q = s->request;
    if (q != NULL) {
        q->r.body_complete = true;
        ent_pass_body(q);
    }
    rsp_read_all(s);
}

/* The caller reads again: go on taking the answer. */
static void
ent_on_drain(http_conn *c, void *payload)
{
    (void)c;
    rsp *s = payload;
    ent_request *q = s->request;
    if (q == NULL) {
        return;
    }
    switch (q->attempt.kind) {
    case ENT_ATTEMPT_PEER:
        fwd_pause(q->attempt.of.peer, false);
        break;
    case ENT_ATTEMPT_LOCAL:
        lcl_pause(q->attempt.of.local, false);
        break;
    case ENT_ATTEMPT_NONE:
        break;
    }
}

/* A head that can't be taken gets an answer before the close. */
static void
ent_answer_bad_head(rsp *s, enum http_conn_close_reason end)
{
    int status = 0;
    if (end == HTTP_CONN_MALFORMED) {
        status = HTTP_STATUS_BAD_REQUEST;
        counter_add_reason(REASON_BAD_REQUEST);
    }
    else if (end == HTTP_CONN_TOO_LARGE) {
        status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
        counter_add_reason(REASON_HEAD_TOO_LARGE);
    }
    else if (end == HTTP_CONN_TIMEOUT && http_conn_is_mid_message(s->c)) {
        status = HTTP_STATUS_REQUEST_TIMEOUT;
        counter_add_reason(REASON_HEAD_TIMEOUT);
    }
    if (status != 0) {
        s->close_after = true;
        rsp_head(s, status, NULL, HTTP_CONN_BODY_LENGTH, 0);
        http_conn_flush_before_close(s->c);
    }
}

/* The caller has left, or its connection broke. */
static void
ent_on_end(http_conn *c, enum http_conn_close_reason end, void *payload)
{
    (void)c;
    rsp *s = payload;
    ent_request *q = s->request;
    if (q != NULL) {
        counter_add_reason(REASON_CALLER_GONE);
        ent_cancel_attempt(q);
        ent_free(q);
    }
    else if (!s->in_exchange) {
        ent_answer_bad_head(s, end);
    }
    free(s);
}

static const http_conn_handlers ent_handlers = {
    ent_on_head, ent_on_body, ent_on_message, ent_on_drain, ent_on_end};
