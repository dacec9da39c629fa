#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "conn_pool.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "local_target_private.h"

#define LOCAL_TARGET_CONNECT_US 400000 /* 0.4 s on the same host */
#define LOCAL_TARGET_IDLE_US                                                  \
    4000000 /* 4 s; below the shortest usual idle time */
#define LOCAL_TARGET_KEEP_US 8000000 /* 8 s, where the target states none */
#define LOCAL_TARGET_KEEP_MARGIN_US 1000000 /* 1 s before the stated time */
#define LOCAL_TARGET_NUMBER_SIZE 64         /* bytes of a number in a field */
#define LOCAL_TARGET_STATUS_OK 2            /* hundreds of a status: success */
#define LOCAL_TARGET_STATUS_FAILED 5        /* ditto: the target failed */
#define LOCAL_TARGET_MISDIRECTED 421

/* Connection to the target closed or broke before the answer was complete. */
static void
local_target_on_end(http_conn *c, enum http_conn_close_reason end,
                    void *payload)
{
    local_target_call *call = payload;
    bool connected = http_conn_is_connected(c);
    call->c = NULL;
    http_conn_close(c);
    if (!connected) {
        local_target_mark_down(call, end == HTTP_CONN_REFUSED
                                         ? "refuses connections"
                                         : "can't be reached");
        local_target_fail_call(call, OUTCOME_NOT_RUN, REASON_TARGET_DOWN,
                               false);
        return;
    }
    local_target_fail_call(call, OUTCOME_UNKNOWN,
                           end == HTTP_CONN_MALFORMED ? REASON_REPLY_MISMATCH
                                                      : REASON_REPLY_LOST,
                           true);
}

/* The time that the target states for idle connections. */
static int64_t
local_target_keep_us(const http_head *head)
{
    char text[LOCAL_TARGET_NUMBER_SIZE];
    if (!http_str_copy(text, sizeof(text),
                       http_head_get_field(head, "Keep-Alive"))) {
        return LOCAL_TARGET_KEEP_US;
    }
    const char *timeout = strstr(text, "timeout=");
    if (timeout == NULL) {
        return LOCAL_TARGET_KEEP_US;
    }
    int64_t stated_s = strtol(timeout + strlen("timeout="), NULL, 10);
    int64_t keep_us = stated_s * CLOCK_US_PER_S - LOCAL_TARGET_KEEP_MARGIN_US;
    return keep_us < LOCAL_TARGET_KEEP_US ? keep_us : LOCAL_TARGET_KEEP_US;
}

static void
local_target_mismatch(local_target_call *call, http_conn *c, const char *what)
{
    if (log_allow_line("answer_rejected", LOG_LINES_PER_S)) {
        log_event(LOG_WARN, "answer_rejected", call->r->id, "{s:s,s:s}", "why",
                  what, "instance", call->d->instance);
    }
    call->c = NULL;
    http_conn_close(c);
    local_target_fail_call(call, OUTCOME_UNKNOWN, REASON_REPLY_MISMATCH, true);
}

/* Why an answer can't be handed on; NULL where it can. */
static const char *
local_target_fault_of(const local_target_call *call, const http_head *head)
{
    const runtime_header_names *names = call->d->n->fields;
    http_str id = http_head_get_field(head, names->request_id);
    if (head->status / 100 != LOCAL_TARGET_STATUS_OK) {
        return id.bytes == NULL && call->reused_connection
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
local_target_on_head(http_conn *c, const http_head *head, void *payload)
{
    local_target_call *call = payload;
    const runtime_header_names *names = call->d->n->fields;
    http_str id = http_head_get_field(head, names->request_id);
    if (id.bytes != NULL && !http_str_equals_nocase(id, call->r->id)) {
        if (log_allow_line("late_answer", LOG_LINES_PER_S)) {
            log_event(LOG_INFO, "late_answer", call->r->id, "{s:s}",
                      "instance", call->d->instance);
        }
        return HTTP_CONN_SKIP;
    }
    const char *fault = local_target_fault_of(call, head);
    if (fault != NULL) {
        local_target_mismatch(call, c, fault);
        return HTTP_CONN_CLOSED;
    }
    local_target_update_load(call->d, head);
    call->keep_us = local_target_keep_us(head);
    call->status = head->status;
    if (head->status == LOCAL_TARGET_MISDIRECTED) {
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
local_target_on_body(http_conn *c, const char *bytes, size_t length,
                     void *payload)
{
    (void)c;
    local_target_call *call = payload;
    if (call->answered) {
        call->sink->body(bytes, length, call->payload);
    }
}

/* Close idle connections so that there are no more than slots, with those of
 * `running` calls: targets reset what exceeds their limit. */
static void
local_target_trim(const local_target *d, int running)
{
    conn_pool_trim(d->n->pool, &d->at, d->slots - running);
}

static void
local_target_on_message(http_conn *c, void *payload)
{
    local_target_call *call = payload;
    local_target *d = call->d;
    call->c = NULL;
    conn_pool_put(d->n->pool, c, call->ended ? call->keep_us : 0);
    local_target_trim(d, admission_in_flight_count(d->admission) - 1);
    if (call->refusal == REASON_WRONG_TARGET) {
        local_target_mark_down(call, "another instance has its address");
    }
    if (call->refusal != REASON_NONE) {
        local_target_fail_call(call, OUTCOME_NOT_RUN, call->refusal, true);
        return;
    }
    const attempt_callbacks *sink = call->sink;
    void *owner = call->payload;
    downstream_record_end(d->n->chains, call->r->route,
                          call->status / 100 == LOCAL_TARGET_STATUS_FAILED,
                          d->n->l->now_us);
    local_target_finish_call(call, false);
    sink->done(owner);
}

static void
local_target_on_drain(http_conn *c, void *payload)
{
    (void)c;
    local_target_call *call = payload;
    local_target_send_body(call);
    call->sink->resume_body(call->payload);
}

static const http_conn_handlers local_target_handlers = {
    local_target_on_head, local_target_on_body, local_target_on_message,
    local_target_on_drain, local_target_on_end};

static void
local_target_write_head(local_target_call *call)
{
    const attempt_request *r = call->r;
    const runtime *n = call->d->n;
    int64_t left_ms = (r->deadline_us - n->l->now_us) / CLOCK_US_PER_MS;
    bytebuf *out = http_conn_output(call->c);
    bytebuf_appendf(out, "%s ", r->method);
    bytebuf_append(out, bytebuf_data(&r->target), bytebuf_length(&r->target));
    bytebuf_append_text(out, " HTTP/1.1\r\n");
    bytebuf_append(out, bytebuf_data(&r->fields), bytebuf_length(&r->fields));
    bytebuf_appendf(out, "%s: %" PRId64 "\r\n%s: %s\r\n",
                    n->fields->time_left_ms, left_ms, n->fields->instance,
                    call->d->instance);
    attempt_write_framing(out, r->framing, r->length);
    http_conn_expect_response(call->c, strcmp(r->method, "HEAD") == 0);
}

/* A connection for a call.  A request that must not run twice gets a new one:
 * the target may close a kept one as the request is sent, and then nobody can
 * tell whether it ran. */
static http_conn *
local_target_connection(local_target_call *call)
{
    local_target *d = call->d;
    http_conn *c = NULL;
    if (call->r->idempotent) {
        c = conn_pool_take(d->n->pool, &d->at, LOCAL_TARGET_IDLE_US);
    }
    call->reused_connection = c != NULL;
    if (c == NULL) {
        local_target_trim(d, admission_in_flight_count(d->admission));
    }
    if (c == NULL &&
        http_conn_connect(&c, d->n->l, &d->at, LOCAL_TARGET_CONNECT_US,
                          &local_target_handlers, call) < 0) {
        return NULL;
    }
    return c;
}

/* Send a call that has a slot to the target; on a negative result it was
 * not sent, for `reason`, and its caller ends it. */
int
local_target_dispatch_call(local_target_call *call, enum reason *reason)
{
    local_target *d = call->d;
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
    call->c = local_target_connection(call);
    if (call->c == NULL) {
        *reason = REASON_TARGET_DOWN;
        return ERR_UNAVAILABLE;
    }
    http_conn_set_handlers(call->c, &local_target_handlers, call);
    counter_add(COUNTER_DISPATCHED, 1);
    retry_share_record_run(d->n->repeats, call->r->route, call->r->repeat,
                           d->n->l->now_us);
    local_target_write_head(call);
    local_target_send_body(call);
    return 0;
}

/* More of the body may have come, or its end. */
void
local_target_send_body(local_target_call *call)
{
    if (call->c == NULL || call->ended) {
        return;
    }
    call->sent = attempt_body_send(call->r, call->sent, call->c);
    if (call->r->body_complete &&
        call->sent == attempt_body_end_offset(call->r)) {
        http_conn_end_body(call->c, call->r->framing);
        call->ended = true;
    }
}

/* Stop or go on taking the answer. */
void
local_target_pause_response(local_target_call *call, bool paused)
{
    if (call->c != NULL) {
        http_conn_set_paused(call->c, paused);
    }
}
