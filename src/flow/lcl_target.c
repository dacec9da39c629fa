#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "conn_pool.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "lcl_private.h"

#define LCL_CONNECT_US 400000 /* 0.4 s on the same host */
#define LCL_IDLE_US 4000000   /* 4 s; below the shortest usual idle time */
#define LCL_KEEP_US 8000000   /* 8 s, where the target states none */
#define LCL_KEEP_MARGIN_US 1000000 /* 1 s before the stated time */
#define LCL_NUMBER_SIZE 64         /* bytes of a number in a field */
#define LCL_STATUS_OK 2            /* hundreds of a status: success */
#define LCL_STATUS_FAILED 5        /* ditto: the target failed */
#define LCL_MISDIRECTED 421

/* Connection to the target closed or broke before the answer was complete. */
static void
lcl_on_end(http_conn *c, enum http_conn_close_reason end, void *payload)
{
    lcl_call *call = payload;
    bool connected = http_conn_is_connected(c);
    call->c = NULL;
    http_conn_close(c);
    if (!connected) {
        lcl_call_down(call, end == HTTP_CONN_REFUSED ? "refuses connections"
                                                     : "can't be reached");
        lcl_fail(call, OUTCOME_NOT_RUN, REASON_TARGET_DOWN, false);
        return;
    }
    lcl_fail(call, OUTCOME_UNKNOWN,
             end == HTTP_CONN_MALFORMED ? REASON_REPLY_MISMATCH
                                        : REASON_REPLY_LOST,
             true);
}

/* The time that the target states for idle connections. */
static int64_t
lcl_keep_us(const http_head *head)
{
    char text[LCL_NUMBER_SIZE];
    if (!http_str_copy(text, sizeof(text),
                       http_head_get_field(head, "Keep-Alive"))) {
        return LCL_KEEP_US;
    }
    const char *timeout = strstr(text, "timeout=");
    if (timeout == NULL) {
        return LCL_KEEP_US;
    }
    int64_t stated_s = strtol(timeout + strlen("timeout="), NULL, 10);
    int64_t keep_us = stated_s * CLOCK_US_PER_S - LCL_KEEP_MARGIN_US;
    return keep_us < LCL_KEEP_US ? keep_us : LCL_KEEP_US;
}

static void
lcl_mismatch(lcl_call *call, http_conn *c, const char *what)
{
    if (log_allow_line("answer_rejected", LOG_LINES_PER_S)) {
        log_event(LOG_WARN, "answer_rejected", call->r->id, "{s:s,s:s}", "why",
                  what, "instance", call->d->instance);
    }
    call->c = NULL;
    http_conn_close(c);
    lcl_fail(call, OUTCOME_UNKNOWN, REASON_REPLY_MISMATCH, true);
}

/* Why an answer can't be handed on; NULL where it can. */
static const char *
lcl_fault_of(const lcl_call *call, const http_head *head)
{
    const nod_fields *names = call->d->n->fields;
    http_str id = http_head_get_field(head, names->request_id);
    if (head->status / 100 != LCL_STATUS_OK) {
        return id.bytes == NULL && call->kept_connection
                   ? "a failure without the request's id"
                   : NULL;
    }
    if (id.bytes == NULL) {
        return "success without the request's id";
    }
    if (http_head_get_field(head, names->seal).bytes == NULL) {
        return "success without the target's seal";
    }
    if (http_head_get_field(head, "Content-Encoding").bytes != NULL) {
        return "an encoding that was not asked for";
    }
    return NULL;
}

static enum http_conn_head_result
lcl_on_head(http_conn *c, const http_head *head, void *payload)
{
    lcl_call *call = payload;
    const nod_fields *names = call->d->n->fields;
    http_str id = http_head_get_field(head, names->request_id);
    if (id.bytes != NULL && !http_str_equals_nocase(id, call->r->id)) {
        if (log_allow_line("late_answer", LOG_LINES_PER_S)) {
            log_event(LOG_INFO, "late_answer", call->r->id, "{s:s}",
                      "instance", call->d->instance);
        }
        return HTTP_CONN_SKIP;
    }
    const char *fault = lcl_fault_of(call, head);
    if (fault != NULL) {
        lcl_mismatch(call, c, fault);
        return HTTP_CONN_CLOSED;
    }
    lcl_told_load(call->d, head);
    call->keep_us = lcl_keep_us(head);
    call->status = head->status;
    if (head->status == LCL_MISDIRECTED) {
        call->refusal = REASON_WRONG_TARGET;
    }
    else if (http_head_get_field(head, names->not_executed).bytes != NULL) {
        call->refusal = REASON_TARGET_SHED;
    }
    else {
        call->answered = true;
        call->sink->head(head, call->payload);
    }
    return call->c == NULL ? HTTP_CONN_CLOSED : HTTP_CONN_ACCEPT;
}

static void
lcl_on_body(http_conn *c, const char *bytes, size_t length, void *payload)
{
    (void)c;
    lcl_call *call = payload;
    if (call->answered) {
        call->sink->body(bytes, length, call->payload);
    }
}

/* Close idle connections so that there are no more than slots, with those of
 * `running` calls: targets reset what exceeds their limit. */
static void
lcl_trim(const lcl *d, int running)
{
    conn_pool_trim(d->n->pool, &d->at, d->slots - running);
}

static void
lcl_on_message(http_conn *c, void *payload)
{
    lcl_call *call = payload;
    lcl *d = call->d;
    call->c = NULL;
    conn_pool_put(d->n->pool, c, call->ended ? call->keep_us : 0);
    lcl_trim(d, admission_in_flight_count(d->admission) - 1);
    if (call->refusal == REASON_WRONG_TARGET) {
        lcl_call_down(call, "another instance has its address");
    }
    if (call->refusal != REASON_NONE) {
        lcl_fail(call, OUTCOME_NOT_RUN, call->refusal, true);
        return;
    }
    const att_sink *sink = call->sink;
    void *owner = call->payload;
    downstream_record_end(d->n->chains, call->r->route,
                          call->status / 100 == LCL_STATUS_FAILED,
                          d->n->l->now_us);
    lcl_finish(call, false);
    sink->done(owner);
}

static void
lcl_on_drain(http_conn *c, void *payload)
{
    (void)c;
    lcl_call *call = payload;
    lcl_body(call);
    call->sink->wants_body(call->payload);
}

static const http_conn_handlers lcl_handlers = {
    lcl_on_head, lcl_on_body, lcl_on_message, lcl_on_drain, lcl_on_end};

static void
lcl_write_head(lcl_call *call)
{
    const att_request *r = call->r;
    const nod *n = call->d->n;
    int64_t left_ms = (r->deadline_us - n->l->now_us) / CLOCK_US_PER_MS;
    bytebuf *out = http_conn_output(call->c);
    bytebuf_appendf(out, "%s ", r->method);
    bytebuf_append(out, bytebuf_data(&r->target), bytebuf_length(&r->target));
    bytebuf_append_text(out, " HTTP/1.1\r\n");
    bytebuf_append(out, bytebuf_data(&r->fields), bytebuf_length(&r->fields));
    bytebuf_appendf(out, "%s: %" PRId64 "\r\n%s: %s\r\n",
                    n->fields->time_left_ms, left_ms, n->fields->instance,
                    call->d->instance);
    att_write_framing(out, r->framing, r->length);
    http_conn_expect_response(call->c, strcmp(r->method, "HEAD") == 0);
}

/* A connection for a call.  A request that must not run twice gets a new one:
 * the target may close a kept one as the request is sent, and then nobody can
 * tell whether it ran. */
static http_conn *
lcl_connection(lcl_call *call)
{
    lcl *d = call->d;
    http_conn *c = NULL;
    if (call->r->idempotent) {
        c = conn_pool_take(d->n->pool, &d->at, LCL_IDLE_US);
    }
    call->kept_connection = c != NULL;
    if (c == NULL) {
        lcl_trim(d, admission_in_flight_count(d->admission));
    }
    if (c == NULL && http_conn_connect(&c, d->n->l, &d->at, LCL_CONNECT_US,
                                       &lcl_handlers, call) < 0) {
        return NULL;
    }
    return c;
}

/* Send a call that has a slot to the target; on a negative result it was
 * not sent, for `reason`, and its caller ends it. */
int
lcl_dispatch(lcl_call *call, enum reason *reason)
{
    lcl *d = call->d;
    call->started_us = d->n->l->now_us;
    call->start = d->start;
    if (call->r->deadline_us <= d->n->l->now_us) {
        *reason = REASON_DEADLINE;
        return ERR_UNAVAILABLE;
    }
    if (!call->r->idempotent && dispatch_start(d->record, call->nonce) < 0) {
        *reason = REASON_CANCELLED;
        return ERR_CONFLICT;
    }
    call->c = lcl_connection(call);
    if (call->c == NULL) {
        *reason = REASON_TARGET_DOWN;
        return ERR_UNAVAILABLE;
    }
    http_conn_set_handlers(call->c, &lcl_handlers, call);
    counter_add(COUNTER_DISPATCHED, 1);
    retry_share_record_run(d->n->repeats, call->r->route, call->r->repeat,
                           d->n->l->now_us);
    lcl_write_head(call);
    lcl_body(call);
    return 0;
}

/* More of the body may have come, or its end. */
void
lcl_body(lcl_call *call)
{
    if (call->c == NULL || call->ended) {
        return;
    }
    call->sent = att_body_send(call->r, call->sent, call->c);
    if (call->r->body_complete && call->sent == att_body_end(call->r)) {
        http_conn_end_body(call->c, call->r->framing);
        call->ended = true;
    }
}

/* Stop or go on taking the answer. */
void
lcl_pause(lcl_call *call, bool paused)
{
    if (call->c != NULL) {
        http_conn_set_paused(call->c, paused);
    }
}
