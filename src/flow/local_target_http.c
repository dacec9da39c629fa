#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "conn_pool.h"
#include "lav/clock.h"
#include "lav/counter.h"
#include "lav/log.h"
#include "local_target_private.h"

#define LOCAL_TARGET_CONNECT_TIMEOUT_US 400000 /* 0.4 s, on the same host */

/* 4 s; below the shortest usual idle timeout of HTTP servers. */
#define LOCAL_TARGET_MAX_IDLE_US 4000000

/* 8 s; also applies if the target states no Keep-Alive timeout. */
#define LOCAL_TARGET_KEEP_ALIVE_MAX_US 8000000

/* 1 s by which connections are dropped before the stated timeout. */
#define LOCAL_TARGET_KEEP_ALIVE_MARGIN_US 1000000

/* Bodies of which a larger part is not read: that of a refusal, and that of a
 * response without the target's seal. */
#define LOCAL_TARGET_UNSEALED_BODY_BYTES_MAX 65536

#define LOCAL_TARGET_NUMBER_SIZE 64 /* bytes of a number in a field */
#define LOCAL_TARGET_STATUS_CLASS_SUCCESS 2
#define LOCAL_TARGET_STATUS_CLASS_SERVER_ERROR 5
#define LOCAL_TARGET_STATUS_MISDIRECTED 421

/* The connection to the target closed or broke before the response was
 * complete. */
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
                                         ? "connection refused"
                                         : "unreachable");
        local_target_fail_call(call, OUTCOME_NOT_RUN, REASON_TARGET_DOWN,
                               false);
        return;
    }
    local_target_fail_call(call, OUTCOME_UNKNOWN,
                           end == HTTP_CONN_MALFORMED ? REASON_REPLY_MISMATCH
                                                      : REASON_REPLY_LOST,
                           true);
}

/* Returns how long a connection may be kept idle: the time that the target
 * states, less a margin, up to LOCAL_TARGET_KEEP_ALIVE_MAX_US. */
static int64_t
local_target_keep_alive_us(const http_head *head)
{
    char text[LOCAL_TARGET_NUMBER_SIZE];
    if (!http_str_copy(text, sizeof(text),
                       http_head_get_field(head, "Keep-Alive"))) {
        return LOCAL_TARGET_KEEP_ALIVE_MAX_US;
    }
    const char *timeout = strstr(text, "timeout=");
    if (timeout == NULL) {
        return LOCAL_TARGET_KEEP_ALIVE_MAX_US;
    }
    int64_t stated_s = strtol(timeout + strlen("timeout="), NULL, 10);
    int64_t most_s =
        (LOCAL_TARGET_KEEP_ALIVE_MAX_US + LOCAL_TARGET_KEEP_ALIVE_MARGIN_US) /
        CLOCK_US_PER_S;
    return CLAMP(stated_s, 0, most_s) * CLOCK_US_PER_S -
           LOCAL_TARGET_KEEP_ALIVE_MARGIN_US;
}

/* Fails a call whose response cannot be trusted, and closes its connection. */
static void
local_target_reject_response(local_target_call *call, http_conn *c,
                             const char *what)
{
    if (log_allow_line("answer_rejected", LOG_LINES_PER_S)) {
        log_event(LOG_WARN, "answer_rejected", call->r->id, "{s:s,s:s}", "why",
                  what, "instance", call->target->instance);
    }
    call->c = NULL;
    http_conn_close(c);
    local_target_fail_call(call, OUTCOME_UNKNOWN, REASON_REPLY_MISMATCH, true);
}

/* Returns the reason of a response that states that the request has not run,
 * or REASON_NONE for any other. */
static enum reason
local_target_refusal(const local_target_call *call, const http_head *head)
{
    const runtime_header_names *names = call->target->n->header_names;
    if (head->status == LOCAL_TARGET_STATUS_MISDIRECTED) {
        return REASON_WRONG_TARGET;
    }
    return http_head_get_field(head, names->not_executed).bytes != NULL
               ? REASON_TARGET_SHED
               : REASON_NONE;
}

/* Returns why a response cannot be relayed, or NULL if it can.  A refusal
 * without the request's id proves nothing: the request may run all the
 * same. */
static const char *
local_target_response_fault(const local_target_call *call,
                            const http_head *head)
{
    const runtime_header_names *names = call->target->n->header_names;
    http_str id = http_head_get_field(head, names->request_id);
    if (head->status / 100 != LOCAL_TARGET_STATUS_CLASS_SUCCESS) {
        bool proves = local_target_refusal(call, head) != REASON_NONE;
        return id.bytes == NULL && (proves || call->reused_connection)
                   ? "error response without the request id"
                   : NULL;
    }
    if (id.bytes == NULL) {
        return "success without the request id";
    }
    if (http_head_get_field(head, names->seal).bytes == NULL) {
        return "success without the target's seal";
    }
    if (http_head_get_field(head, "Content-Encoding").bytes != NULL) {
        return "unrequested content encoding";
    }
    return NULL;
}

/* Receives a response head.  A response to an earlier request on the
 * connection is skipped; a refusal by the target is noted and not relayed. */
static enum http_conn_head_result
local_target_on_head(http_conn *c, const http_head *head, void *payload)
{
    local_target_call *call = payload;
    const runtime_header_names *names = call->target->n->header_names;
    http_str id = http_head_get_field(head, names->request_id);
    if (id.bytes != NULL && !http_str_equals_nocase(id, call->r->id)) {
        if (!call->late_response_logged &&
            log_allow_line("late_answer", LOG_LINES_PER_S)) {
            call->late_response_logged = true;
            log_event(LOG_INFO, "late_answer", call->r->id, "{s:s}",
                      "instance", call->target->instance);
        }
        call->reused_connection = true;
        return HTTP_CONN_SKIP;
    }
    const char *fault = local_target_response_fault(call, head);
    if (fault != NULL) {
        local_target_reject_response(call, c, fault);
        return HTTP_CONN_CLOSED;
    }
    if (call->generation == call->target->generation &&
        head->status != LOCAL_TARGET_STATUS_MISDIRECTED) {
        local_target_update_rate(call->target, head);
        local_target_update_leaving(call->target, head);
    }
    local_target_update_load(call->target, head);
    call->keep_alive_us = local_target_keep_alive_us(head);
    call->status = head->status;
    call->sealed = http_head_get_field(head, names->seal).bytes != NULL;
    call->refusal = local_target_refusal(call, head);
    if (call->refusal == REASON_NONE) {
        call->response_started = true;
        call->callbacks->head(head, call->payload);
    }
    return call->c == NULL ? HTTP_CONN_CLOSED : HTTP_CONN_ACCEPT;
}

/* Fails a call that the target has refused. */
static void
local_target_fail_refused(local_target_call *call)
{
    if (call->refusal == REASON_WRONG_TARGET) {
        local_target_mark_down(call,
                               "another instance responds at its address");
    }
    local_target_fail_call(call, OUTCOME_NOT_RUN, call->refusal, true);
}

/* Passes a part of the response body on, unless the response is a refusal. */
static void
local_target_on_body(http_conn *c, const char *bytes, size_t length,
                     void *payload)
{
    local_target_call *call = payload;
    call->body_bytes += length;
    bool large = call->body_bytes > LOCAL_TARGET_UNSEALED_BODY_BYTES_MAX;
    if (large && call->refusal != REASON_NONE) {
        local_target_fail_refused(call);
    }
    else if (large && !call->sealed) {
        local_target_reject_response(call, c, "large body without the seal");
    }
    else if (call->response_started) {
        call->callbacks->body(bytes, length, call->payload);
    }
}

/* Closes idle connections so that, with those of `running` calls, there are no
 * more than slots: targets reset connections over their limit. */
static void
local_target_trim_connections(const local_target *t, int running)
{
    conn_pool_trim(t->n->pool, &t->address, t->slots - running);
}

/* The response is complete: returns the connection to the pool and ends the
 * call. */
static void
local_target_on_message(http_conn *c, void *payload)
{
    local_target_call *call = payload;
    local_target *t = call->target;
    call->c = NULL;
    conn_pool_put(t->n->pool, c, call->body_sent ? call->keep_alive_us : 0);
    local_target_trim_connections(t, target_queue_running_count(t->queue) - 1);
    if (call->refusal != REASON_NONE) {
        local_target_fail_refused(call);
        return;
    }
    const attempt_callbacks *callbacks = call->callbacks;
    void *owner = call->payload;
    downstream_record_end(t->n->downstream, call->r->route,
                          call->status / 100 ==
                              LOCAL_TARGET_STATUS_CLASS_SERVER_ERROR,
                          t->n->l->now_us);
    local_target_finish_call(call, false);
    callbacks->done(owner);
}

/* The output buffer drained: sends more of the body and resumes its source. */
static void
local_target_on_drain(http_conn *c, void *payload)
{
    (void)c;
    local_target_call *call = payload;
    local_target_send_body(call);
    call->callbacks->resume_body(call->payload);
}

static const http_conn_handlers local_target_handlers = {
    local_target_on_head, local_target_on_body, local_target_on_message,
    local_target_on_drain, local_target_on_end};

/* Writes the request head, with the time left and the expected instance. */
static void
local_target_write_head(local_target_call *call)
{
    const attempt_request *r = call->r;
    const runtime *n = call->target->n;
    int64_t left_ms = (r->deadline_us - n->l->now_us) / CLOCK_US_PER_MS;
    bytebuf *out = http_conn_output(call->c);
    bytebuf_appendf(out, "%s ", r->method);
    bytebuf_append(out, bytebuf_data(&r->target), bytebuf_length(&r->target));
    bytebuf_append_text(out, " HTTP/1.1\r\n");
    bytebuf_append(out, bytebuf_data(&r->fields), bytebuf_length(&r->fields));
    bytebuf_appendf(out, "%s: %" PRId64 "\r\n%s: %s\r\n",
                    n->header_names->time_left_ms, left_ms,
                    n->header_names->instance, call->target->instance);
    attempt_write_framing(out, r->framing, r->length);
    http_conn_expect_response(call->c, strcmp(r->method, "HEAD") == 0);
}

/* Returns a connection for a call, or NULL.  A non-idempotent request gets a
 * new one: the target may close a reused one just as the request is sent,
 * after which it is unknown whether the request ran.  So does a request that
 * the target has refused before: on a reused one, its earlier refusal may come
 * once more, and carries its id. */
static http_conn *
local_target_get_connection(local_target_call *call)
{
    local_target *t = call->target;
    http_conn *c = NULL;
    if (call->r->idempotent && !call->r->resent) {
        c = conn_pool_take(t->n->pool, &t->address, LOCAL_TARGET_MAX_IDLE_US);
    }
    call->reused_connection = c != NULL;
    if (c == NULL) {
        local_target_trim_connections(t, target_queue_running_count(t->queue));
    }
    if (c == NULL && http_conn_connect(&c, t->n->l, &t->address,
                                       LOCAL_TARGET_CONNECT_TIMEOUT_US,
                                       &local_target_handlers, call) < 0) {
        return NULL;
    }
    return c;
}

/* Sends a call that has a slot to the target.  On a negative result it was not
 * sent, for `reason`, and the caller has to end it. */
int
local_target_dispatch_call(local_target_call *call, enum reason *reason)
{
    local_target *t = call->target;
    call->started_us = t->n->l->now_us;
    call->host_percent = t->capacity.host_percent;
    call->beside = target_queue_running_count(t->queue);
    call->generation = t->generation;
    if (call->r->deadline_us <= t->n->l->now_us) {
        *reason = REASON_DEADLINE;
        return ERR_UNAVAILABLE;
    }
    if (!call->r->idempotent &&
        dispatch_start(t->dispatches, call->nonce) < 0) {
        *reason = REASON_CANCELLED;
        return ERR_CONFLICT;
    }
    call->c = local_target_get_connection(call);
    if (call->c == NULL) {
        *reason = REASON_TARGET_DOWN;
        return ERR_UNAVAILABLE;
    }
    http_conn_set_handlers(call->c, &local_target_handlers, call);
    counter_add(COUNTER_DISPATCHED, 1);
    call->begun = true;
    call->retry_probability = call->r->retry_probability;
    retry_share_begin_run(t->n->retry_shares, call->r->route,
                          call->retry_probability, t->n->l->now_us);
    downstream_begin_run(t->n->downstream, call->r->route, call->r->weight,
                         t->n->l->now_us);
    local_target_write_head(call);
    local_target_send_body(call);
    return 0;
}

/* Sends the part of the body received since the last call, and its end. */
void
local_target_send_body(local_target_call *call)
{
    if (call->c == NULL || call->body_sent) {
        return;
    }
    call->sent = attempt_body_send(call->r, call->sent, call->c);
    if (call->r->body_complete &&
        call->sent == attempt_body_end_offset(call->r)) {
        http_conn_end_body(call->c, call->r->framing);
        call->body_sent = true;
    }
}

/* Pauses or resumes reading of the response. */
void
local_target_pause_response(local_target_call *call, bool paused)
{
    if (call->c != NULL) {
        http_conn_set_paused(call->c, paused);
    }
}
